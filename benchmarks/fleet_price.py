"""What sharing a fleet costs a dispatcher: CPU a job, wait to the first byte, memory.

    python benchmarks/fleet_price.py [--rate 100] [--seconds 10] [--rounds 3] [--modes off k3 k5]
    python benchmarks/fleet_price.py --modes before off --before FOLDER   # FOLDER: another revision's program

Six `serve` processes on loopback, each with a process of scripted parties of its own: clients that send
short jobs at an even rate (a fifth of them bookings) and workers that answer 202 at once and call back 5 ms
later. Modes are played in turn, round after round, and compared within a round. No stand-ins between
dispatchers.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

from ironbarrow.config.units import ms
from ironbarrow.lab.fleet.files import fleet_file
from ironbarrow.lab.live.discovery_server import DiscoveryAgent
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.lab.live.processes import Instance, Program
from ironbarrow.lab.model import spec
from ironbarrow.lab.model.discovery import Discovery, Entry
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import MS, READ, SECOND, Coroutine, Loop, Wait, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import connect

WORKERS = 4
WORK = 5 * MS
BODY = b"x" * 200
LOAD = {"eps": 0.0, "queue": 0.0, "x0": 32.0}  # a worker with room
WARM_UP_S = 2.0


# The scripted parties of one dispatcher, in a process of their own


class Party:
    """Clients and workers that do as little as they can."""

    def __init__(self, dispatcher: Address, listen: list[Address], rate: float, until: float) -> None:
        self.loop = Loop(self._failed)
        self.dispatcher, self.rate = dispatcher, rate
        self.ends_at = int(until * 1e9)
        self.idle: deque[Any] = deque()
        self.sent: dict[str, int] = {}
        self.rows: list[tuple[float, float, float, int]] = []  # sent (s), wait (ms), latency (ms), status
        self.first: dict[str, int] = {}
        self.errors = 0
        self.open = 0
        for number, address in enumerate(listen):
            self.loop.spawn(self._accept(sockets.listen(address), f"p{number}"))
        self.loop.spawn(self._clients())

    def _failed(self, error: Exception) -> None:
        self.errors += 1

    def _accept(self, listener: Any, name: str) -> Coroutine[None]:
        while True:
            yield Wait(listener.fileno(), READ, self.loop.now() + 3600 * SECOND)
            while (sock := sockets.accept(listener)) is not None:
                self.loop.spawn(self._provide(sock, name))

    def _read(self, sock: Any, data: bytearray) -> Coroutine[tuple[bytes, bytes] | None]:
        """Head and body of the next message; None at the end."""
        while True:
            head, gap, rest = bytes(data).partition(b"\r\n\r\n")
            if gap:
                size = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        size = int(line[15:])
                if len(rest) >= size:
                    del data[: len(head) + 4 + size]
                    return head, rest[:size]
            try:
                more = sock.recv(65536)
            except BlockingIOError:
                yield Wait(sock.fileno(), READ, self.loop.now() + 60 * SECOND)
                continue
            if not more:
                return None
            data += more

    def _provide(self, sock: Any, name: str) -> Coroutine[None]:
        data = bytearray()
        try:
            while True:
                yield Wait(sock.fileno(), READ, self.loop.now() + 3600 * SECOND)
                first = time.time_ns()
                found = yield from self._read(sock, data)
                if found is None:
                    return
                if not found[0].startswith(b"POST"):
                    sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                job_id = _header(found[0], b"x-request-id")
                self.first.setdefault(job_id, first)
                sock.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                self.loop.call_at(self.loop.now() + WORK, self._done, job_id, name)
        except OSError:
            return
        finally:
            sock.close()

    def _done(self, job_id: str, name: str) -> None:
        body = json.dumps({"id": job_id, "from": name, "state": "done", "result": "r", "load": LOAD}).encode()
        self.loop.spawn(self._call_back(body))

    def _call_back(self, body: bytes) -> Coroutine[None]:
        yield from self._exchange("/callback", [], body)

    def _exchange(self, target: str, headers: list[str], body: bytes) -> Coroutine[int]:
        """One request to the dispatcher; the status."""
        if self.idle:
            sock = self.idle.pop()
        else:
            sock = (yield from connect(self.dispatcher, self.loop.now() + SECOND)).sock
        lines = [f"POST {target} HTTP/1.1", "Host: d", f"Content-Length: {len(body)}", *headers, "", ""]
        sock.send("\r\n".join(lines).encode() + body)
        found = yield from self._read(sock, bytearray())
        if found is None:
            self.errors += 1
            sock.close()
            return 0
        self.idle.append(sock)
        return int(found[0].split(b" ", 2)[1])

    def _clients(self) -> Coroutine[None]:
        number, due = 0, self.loop.now()
        while due < self.ends_at:
            yield from sleep(due)
            self.loop.spawn(self._consume(number))
            number += 1
            due += int(1e9 / self.rate)
        while self.open:
            yield from sleep(self.loop.now() + 20 * MS)
        self.loop.stop()

    def _consume(self, number: int) -> Coroutine[None]:
        job_id = f"{self.dispatcher[0]}-{number}"
        cls = "booking" if number % 5 == 0 else "map"
        self.open += 1
        sent = time.time_ns()
        try:
            status = yield from self._exchange(
                f"/{cls}/{number}", [f"X-Request-ID: {job_id}", "X-Timeout-Ms: 5000"], BODY
            )
        finally:
            self.open -= 1
        now = time.time_ns()
        wait = self.first.pop(job_id, now) - sent
        self.rows.append((sent / 1e9, wait / 1e6, (now - sent) / 1e6, status))


def _header(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n"):
        if line[: len(name)].lower() == name:
            return line.partition(b":")[2].strip().decode()
    return ""


def party(text: str) -> None:
    """The process of one dispatcher's parties; its rows as JSON."""
    told = json.loads(text)
    made = Party(tuple(told["dispatcher"]), [tuple(a) for a in told["listen"]], told["rate"], told["until"])
    made.loop.run()
    print(json.dumps({"rows": made.rows, "errors": made.errors}))


# The dispatchers


def world(replicas: int, count: int) -> spec.World:
    fleet = None
    if replicas:
        fleet = spec.convert({"ledgers": {"keepers": replicas}}, spec.Fleet, "benchmark")
    cls = spec.JobClass(
        name="map",
        share=4,
        work=spec.Distribution(mean=ms(5)),
        wanted=ms(500),
        deadline=ms(5000),
        stretch=4.0,
    )
    booking = spec.JobClass(
        name="booking",
        share=1,
        work=spec.Distribution(mean=ms(5)),
        wanted=ms(500),
        deadline=ms(5000),
        effect="unsafe",
        stretch=4.0,
    )
    return spec.World(
        name="price",
        duration=ms(1000),
        classes=[cls, booking],
        workers=[spec.WorkerGroup(name="p", count=WORKERS, slots=32, cores=32)],
        arrivals=spec.Arrivals(rate=1.0),
        network=spec.Network(zones=["north", "middle", "south"]),
        dispatchers=spec.Dispatchers(count=count, probes=False, tells_start=False, fleet=fleet),
    )


def play(mode: str, count: int, rate: float, seconds: float, program: Program) -> dict[str, Any]:
    """One round of a mode."""
    replicas = {"k3": 3, "k5": 5}.get(mode, 0)
    of = world(replicas, count)
    folder = Path(tempfile.mkdtemp(prefix="fleet-price-"))
    errors: list[Exception] = []
    loop = Loop(errors.append)
    discovery = Discovery(loop, of.discovery, Streams(1))
    discovery.start([Entry(f"p{n}", "north", "", 32.0) for n in range(WORKERS)])
    ready: set[int] = set()
    instances, agents, parties = [], [], []
    network = LoopbackNetwork.reserve(count)
    addresses = [network.dispatcher(n) for n in range(count)]
    members = ["{}:{}".format(*network.fleet_member(n)) for n in range(count)]
    workers = [[(network.lab_listener(n)[0], 9200 + p) for p in range(WORKERS)] for n in range(count)]
    for n in range(count):
        names = {f"p{p}": "{}:{}".format(*workers[n][p]) for p in range(WORKERS)}
        agent = DiscoveryAgent(loop, discovery, f"d{n}", names, lambda name, up: None, network.worker_agents)
        agents.append(agent)
        text = None
        if of.dispatchers.fleet is not None:
            others = {f"d{o}": members[o] for o in range(count) if o != n}
            site = of.network.zones[n % 3]
            text = fleet_file(of.dispatchers.fleet, members[n], site, others)
        made = Instance(loop, of, n, addresses[n], agent, folder, program, n, text)
        made.on_ready = ready.add
        instances.append(made)
        made.start()

    def turn_until(until: float, done: Any = lambda: False) -> None:
        while time.time() < until and not done():
            loop.call_at(loop.now() + 20 * MS, lambda: None)
            loop.run_once()

    try:
        turn_until(time.time() + 20, lambda: len(ready) == count)
        if len(ready) < count:
            raise SystemExit(f"{mode}: not all dispatchers came up; see {folder}")
        turn_until(time.time() + 2)  # members find each other
        begins = time.time() + WARM_UP_S + 0.5
        until = begins + seconds
        for n in range(count):
            told = {"dispatcher": addresses[n], "listen": workers[n], "rate": rate, "until": until + 0.5}
            command = [sys.executable, __file__, "--party", json.dumps(told)]
            parties.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        turn_until(begins)
        before = [instance.cpu_s for instance in instances]
        turn_until(until)
        used = [i.cpu_s - b for i, b in zip(instances, before, strict=True)]
        resident = [_resident_mb(i.pid) for i in instances]
        turn_until(until + 8, lambda: all(p.poll() is not None for p in parties))
        rows, party_errors = [], 0
        for one in parties:
            found = json.loads(one.communicate(timeout=5)[0])
            rows += [row for row in found["rows"] if begins <= row[0] < until]
            party_errors += found["errors"]
    finally:
        for one in parties:
            if one.poll() is None:
                one.kill()
        for instance in instances:
            instance.close()
        for agent in agents:
            agent.close()
        loop.close()
        network.close()
    waits = sorted(row[1] for row in rows)
    return {
        "mode": mode,
        "jobs": len(rows),
        "statuses": dict(Counter(row[3] for row in rows)),
        "errors": party_errors + len(errors),
        "cpu_ms_a_job": sum(used) * 1000 / max(1, len(rows)),
        "wait_p50_ms": waits[len(waits) // 2],
        "wait_p99_ms": waits[int(len(waits) * 0.99)],
        "resident_mb": max(resident),
        "folder": str(folder),
    }


def _resident_mb(pid: int | None) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--party", help=argparse.SUPPRESS)
    parser.add_argument("--rate", type=float, default=100.0, help="jobs a second and a process")
    parser.add_argument("--count", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--modes", nargs="+", choices=["off", "before", "k3", "k5"], default=["off", "k3", "k5"]
    )
    parser.add_argument("--before", type=Path, help="folder of another revision, for mode 'before'")
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    if asked.party:
        party(asked.party)
        return
    rows = []
    for number in range(asked.rounds):
        for mode in asked.modes if number % 2 == 0 else reversed(asked.modes):
            program = Program.in_folder(asked.before.resolve()) if mode == "before" else Program.own()
            rows.append(play(mode, asked.count, asked.rate, asked.seconds, program))
            if not asked.json:
                print(
                    {k: round(v, 3) if isinstance(v, float) else v for k, v in rows[-1].items()}, flush=True
                )
    first = asked.modes[0]
    found = {}
    for mode in asked.modes:
        mine = [row for row in rows if row["mode"] == mode]
        base_rows = [row for row in rows if row["mode"] == first]
        ratios = [a["cpu_ms_a_job"] / b["cpu_ms_a_job"] for a, b in zip(mine, base_rows, strict=True)]
        middle = {
            k: round(statistics.median(row[k] for row in mine), 3)
            for k in mine[0]
            if isinstance(mine[0][k], float)
        }
        found[mode] = {**middle, "cpu_over_first": round(statistics.median(ratios), 4), "ratios": ratios}
    print(json.dumps(found) if asked.json else "\n".join(f"{m}: {f}" for m, f in found.items()))


if __name__ == "__main__":
    main()
