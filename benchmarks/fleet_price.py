"""Overhead of fleet membership for a dispatcher: CPU time per job, time to first byte, memory.

    python benchmarks/fleet_price.py [--rate 100] [--seconds 10] [--rounds 3] [--modes off k3 k5]
    python benchmarks/fleet_price.py --modes before off --before FOLDER   # FOLDER: another revision's program

Six `serve` processes on loopback, each with a process that simulates its clients and workers: clients send
short jobs at a constant rate (a fifth of them bookings), workers answer 202 at once and call back 5 ms later.
Modes alternate in every round and are compared within a round. Dispatchers connect to each other directly,
without proxies.
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
WORK_TIME = 5 * MS
BODY = b"x" * 200
LOAD_REPORT = {"eps": 0.0, "queue": 0.0, "x0": 32.0}  # load report of a worker with free capacity
WARM_UP_S = 2.0


# Simulated clients and workers of one dispatcher, in a separate process


class SimulatedPeers:
    """Minimal clients and workers of one dispatcher, which add as little CPU time as possible."""

    def __init__(self, dispatcher: Address, listen: list[Address], rate: float, until: float) -> None:
        self.loop = Loop(self._failed)
        self.dispatcher, self.rate = dispatcher, rate
        self.ends_at = int(until * 1e9)
        self.idle_sockets: deque[Any] = deque()
        self.sent: dict[str, int] = {}
        self.rows: list[tuple[float, float, float, int]] = []  # sent (s), wait (ms), latency (ms), status
        self.first_byte_at: dict[str, int] = {}
        self.errors = 0
        self.open_jobs = 0
        for number, address in enumerate(listen):
            self.loop.spawn(self._accept(sockets.listen(address), f"p{number}"))
        self.loop.spawn(self._generate_load())

    def _failed(self, error: Exception) -> None:
        self.errors += 1

    def _accept(self, listener: Any, name: str) -> Coroutine[None]:
        while True:
            yield Wait(listener.fileno(), READ, self.loop.now() + 3600 * SECOND)
            while (sock := sockets.accept(listener)) is not None:
                self.loop.spawn(self._serve_connection(sock, name))

    def _read(self, sock: Any, data: bytearray) -> Coroutine[tuple[bytes, bytes] | None]:
        """Returns head and body of the next message, or None at the end of the connection."""
        while True:
            head, separator, rest = bytes(data).partition(b"\r\n\r\n")
            if separator:
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

    def _serve_connection(self, sock: Any, name: str) -> Coroutine[None]:
        data = bytearray()
        try:
            while True:
                yield Wait(sock.fileno(), READ, self.loop.now() + 3600 * SECOND)
                first = time.time_ns()
                message = yield from self._read(sock, data)
                if message is None:
                    return
                if not message[0].startswith(b"POST"):
                    sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                job_id = _header(message[0], b"x-request-id")
                self.first_byte_at.setdefault(job_id, first)
                sock.send(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                self.loop.call_at(self.loop.now() + WORK_TIME, self._finish_job, job_id, name)
        except OSError:
            return
        finally:
            sock.close()

    def _finish_job(self, job_id: str, name: str) -> None:
        body = json.dumps(
            {"id": job_id, "from": name, "state": "done", "result": "r", "load": LOAD_REPORT}
        ).encode()
        self.loop.spawn(self._call_back(body))

    def _call_back(self, body: bytes) -> Coroutine[None]:
        yield from self._exchange("/callback", [], body)

    def _exchange(self, target: str, headers: list[str], body: bytes) -> Coroutine[int]:
        """Sends one request to the dispatcher and returns its status, or 0 if the connection ended."""
        if self.idle_sockets:
            sock = self.idle_sockets.pop()
        else:
            sock = (yield from connect(self.dispatcher, self.loop.now() + SECOND)).sock
        lines = [f"POST {target} HTTP/1.1", "Host: d", f"Content-Length: {len(body)}", *headers, "", ""]
        sock.send("\r\n".join(lines).encode() + body)
        message = yield from self._read(sock, bytearray())
        if message is None:
            self.errors += 1
            sock.close()
            return 0
        self.idle_sockets.append(sock)
        return int(message[0].split(b" ", 2)[1])

    def _generate_load(self) -> Coroutine[None]:
        number, due = 0, self.loop.now()
        while due < self.ends_at:
            yield from sleep(due)
            self.loop.spawn(self._send_job(number))
            number += 1
            due += int(1e9 / self.rate)
        while self.open_jobs:
            yield from sleep(self.loop.now() + 20 * MS)
        self.loop.stop()

    def _send_job(self, number: int) -> Coroutine[None]:
        job_id = f"{self.dispatcher[0]}-{number}"
        cls = "booking" if number % 5 == 0 else "map"
        self.open_jobs += 1
        sent = time.time_ns()
        try:
            status = yield from self._exchange(
                f"/{cls}/{number}", [f"X-Request-ID: {job_id}", "X-Timeout-Ms: 5000"], BODY
            )
        finally:
            self.open_jobs -= 1
        now = time.time_ns()
        wait = self.first_byte_at.pop(job_id, now) - sent
        self.rows.append((sent / 1e9, wait / 1e6, (now - sent) / 1e6, status))


def _header(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n"):
        if line[: len(name)].lower() == name:
            return line.partition(b":")[2].strip().decode()
    return ""


def run_peers(text: str) -> None:
    """Entry point of the process of simulated peers; prints its rows as JSON."""
    peer_options = json.loads(text)
    peers = SimulatedPeers(
        tuple(peer_options["dispatcher"]),
        [tuple(a) for a in peer_options["listen"]],
        peer_options["rate"],
        peer_options["until"],
    )
    peers.loop.run()
    print(json.dumps({"rows": peers.rows, "errors": peers.errors}))


# The dispatchers


def build_world(replicas: int, count: int) -> spec.World:
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


def run_round(mode: str, count: int, rate: float, seconds: float, program: Program) -> dict[str, Any]:
    """Runs one round of a mode and returns its row."""
    replicas = {"k3": 3, "k5": 5}.get(mode, 0)
    benchmark_world = build_world(replicas, count)
    folder = Path(tempfile.mkdtemp(prefix="fleet-price-"))
    errors: list[Exception] = []
    loop = Loop(errors.append)
    discovery = Discovery(loop, benchmark_world.discovery, Streams(1))
    discovery.start([Entry(f"p{n}", "north", "", 32.0) for n in range(WORKERS)])
    ready: set[int] = set()
    instances, agents, peer_processes = [], [], []
    network = LoopbackNetwork.reserve(count)
    addresses = [network.dispatcher(n) for n in range(count)]
    members = ["{}:{}".format(*network.fleet_member(n)) for n in range(count)]
    workers = [[(network.lab_listener(n)[0], 9200 + p) for p in range(WORKERS)] for n in range(count)]
    for n in range(count):
        names = {f"p{p}": "{}:{}".format(*workers[n][p]) for p in range(WORKERS)}
        agent = DiscoveryAgent(loop, discovery, f"d{n}", names, lambda name, up: None, network.worker_agents)
        agents.append(agent)
        text = None
        if benchmark_world.dispatchers.fleet is not None:
            others = {f"d{o}": members[o] for o in range(count) if o != n}
            site = benchmark_world.network.zones[n % 3]
            text = fleet_file(benchmark_world.dispatchers.fleet, members[n], site, others)
        dispatcher = Instance(loop, benchmark_world, n, addresses[n], agent, folder, program, n, text)
        dispatcher.on_ready = ready.add
        instances.append(dispatcher)
        dispatcher.start()

    def run_until(until: float, done: Any = lambda: False) -> None:
        while time.time() < until and not done():
            loop.call_at(loop.now() + 20 * MS, lambda: None)
            loop.run_once()

    try:
        run_until(time.time() + 20, lambda: len(ready) == count)
        if len(ready) < count:
            raise SystemExit(f"{mode}: not all dispatchers became ready within 20 s; see {folder}")
        run_until(time.time() + 2)  # until the members have found each other
        measured_from = time.time() + WARM_UP_S + 0.5
        until = measured_from + seconds
        for n in range(count):
            peer_options = {
                "dispatcher": addresses[n],
                "listen": workers[n],
                "rate": rate,
                "until": until + 0.5,
            }
            command = [sys.executable, __file__, "--party", json.dumps(peer_options)]
            peer_processes.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        run_until(measured_from)
        before = [instance.cpu_s for instance in instances]
        run_until(until)
        used = [i.cpu_s - b for i, b in zip(instances, before, strict=True)]
        resident = [_resident_mb(i.pid) for i in instances]
        run_until(until + 8, lambda: all(p.poll() is not None for p in peer_processes))
        rows, peer_errors = [], 0
        for peer_process in peer_processes:
            output = json.loads(peer_process.communicate(timeout=5)[0])
            rows += [row for row in output["rows"] if measured_from <= row[0] < until]
            peer_errors += output["errors"]
    finally:
        for peer_process in peer_processes:
            if peer_process.poll() is None:
                peer_process.kill()
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
        "errors": peer_errors + len(errors),
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
    options = parser.parse_args()
    if options.party:
        run_peers(options.party)
        return
    rows = []
    for number in range(options.rounds):
        for mode in options.modes if number % 2 == 0 else reversed(options.modes):
            program = Program.in_folder(options.before.resolve()) if mode == "before" else Program.own()
            rows.append(run_round(mode, options.count, options.rate, options.seconds, program))
            if not options.json:
                print(
                    {k: round(v, 3) if isinstance(v, float) else v for k, v in rows[-1].items()}, flush=True
                )
    first = options.modes[0]
    summary = {}
    for mode in options.modes:
        mode_rows = [row for row in rows if row["mode"] == mode]
        base_rows = [row for row in rows if row["mode"] == first]
        ratios = [a["cpu_ms_a_job"] / b["cpu_ms_a_job"] for a, b in zip(mode_rows, base_rows, strict=True)]
        medians = {
            k: round(statistics.median(row[k] for row in mode_rows), 3)
            for k in mode_rows[0]
            if isinstance(mode_rows[0][k], float)
        }
        summary[mode] = {**medians, "cpu_over_first": round(statistics.median(ratios), 4), "ratios": ratios}
    print(json.dumps(summary) if options.json else "\n".join(f"{m}: {f}" for m, f in summary.items()))


if __name__ == "__main__":
    main()
