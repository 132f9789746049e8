"""Runs many hollow workers in one process, which speak the worker's protocol but do no work.

A job is answered with 202 at once, followed by a call-back ``started`` and, after the job's duration,
``done``. The dispatcher that sent it is taken from the job's id, ``j-NUMBER-SERIAL``.

python -m ironbarrow.lab.scale.hollow_workers SPEC.json
"""

import sys
from collections import defaultdict
from functools import partial
from pathlib import Path

import msgspec

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.live.http import HttpClient, Server, next_message
from ironbarrow.lab.scale.control import CommandReader
from ironbarrow.lab.scale.messages import (
    AnyCommand,
    Begin,
    CutRegions,
    End,
    Pause,
    Report,
    Traffic,
    WorkerSpec,
    WorkersReport,
    WorkersSpec,
)
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.target import region_of, zone_of
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import listen, parse_address
from ironbarrow.transport.http import Connection
from ironbarrow.wire.http import Headers, Message

_IDLE_TIMEOUT = 15 * SECOND
_REQUEST_TIMEOUT = 5 * SECOND
_WRITE_TIMEOUT = 5 * SECOND
_CALL_BACK_TIMEOUT = 2 * SECOND
_CALL_BACK_ATTEMPTS = 10
_CALL_BACK_INTERVAL = 100 * MS
_LINK_POLL_INTERVAL = 50 * MS

Answer = tuple[int, Headers, bytes]


class HollowWorker:
    """One worker, with a listener for each region."""

    def __init__(self, process: "HollowWorkerProcess", spec: WorkerSpec) -> None:
        self.process, self.spec = process, spec
        self.region = region_of(spec.zone)
        self.unresponsive = False
        self.running: set[str] = set()
        self._servers = [
            Server(process.loop, listen(parse_address(address)), partial(self._serve, region))
            for region, address in spec.addresses.items()
        ]

    def close(self) -> None:
        """Ends like a process: connections are refused, and its jobs are lost."""
        self.unresponsive = True
        self.running.clear()
        for server in self._servers:
            server.close()

    def _ignores(self, region: str) -> bool:
        return self.unresponsive or (self.process.cut and region != self.region)

    def _wait_until_responsive(self, region: str) -> Coroutine[None]:
        while self._ignores(region):
            yield from sleep(self.process.loop.now() + _LINK_POLL_INTERVAL)

    def _serve(self, region: str, connection: Connection) -> Coroutine[None]:
        loop = self.process.loop
        while True:
            connection.message_bytes = 0
            _, request = yield from next_message(loop, connection, _IDLE_TIMEOUT, _REQUEST_TIMEOUT)
            yield from self._wait_until_responsive(region)
            kind, (status, headers, body) = self._answer(request)
            data = connection.response_bytes(status, headers, body)
            self.process.requests[kind].add(connection.message_bytes + len(data))
            yield from connection.write(data, loop.now() + _WRITE_TIMEOUT)
            if not connection.next_cycle():
                return

    def _answer(self, request: Message) -> tuple[str, Answer]:
        path = request.target.partition("?")[0]
        if request.method == "GET" and path in ("/-/healthy", "/-/load"):
            text = self.load_header().encode() if path == "/-/load" else b""
            return "probes", (200, [], text)
        if request.method == "DELETE" and path.startswith("/jobs/"):
            self.running.discard(path.removeprefix("/jobs/"))
            return "cancellations", (204, [], b"")
        if request.method == "POST":
            return "jobs", self._accept(request.headers.get("x-request-id", ""))
        return "other", (404, [], b"")

    def _accept(self, job_id: str) -> Answer:
        if dispatcher_of(job_id) is None:
            return 400, [], b""
        if job_id in self.running:
            return 202, [], b""
        if len(self.running) >= self.process.slots:
            return 503, [("X-Not-Processed", "1"), ("X-Server-Load", self.load_header())], b""
        self.running.add(job_id)
        self.process.loop.spawn(self._run(job_id))
        return 202, [], b""

    def _run(self, job_id: str) -> Coroutine[None]:
        yield from self.process.call_back(self, job_id, "started")
        yield from sleep(self.process.loop.now() + self.process.job_ns)
        if job_id in self.running:
            self.running.discard(job_id)
            yield from self.process.call_back(self, job_id, "done")

    def load(self) -> dict[str, float]:
        """Its load report."""
        return {"eps": 0.0, "queue": 0.0, "x0": float(self.process.slots - len(self.running))}

    def load_header(self) -> str:
        """Its load report as a header value."""
        return ",".join(f"{name}={value:g}" for name, value in self.load().items())


def dispatcher_of(job_id: str) -> int | None:
    """The number of the dispatcher that a job was sent to; None for an id of another form."""
    parts = job_id.split("-")
    return int(parts[1]) if len(parts) == 3 and parts[0] == "j" and parts[1].isdigit() else None


class HollowWorkerProcess:
    """The hollow workers of this process, and their control."""

    def __init__(self, spec: WorkersSpec) -> None:
        self.slots = spec.slots
        self.job_ns = int(spec.job_s * SECOND)
        self.cut = False  # whether the regions are partitioned
        self.requests: dict[str, Traffic] = defaultdict(Traffic)
        self._specs = {one.name: one for one in spec.workers}
        self._workers: dict[str, HollowWorker] = {}
        self._call_backs = self._undelivered = self._errors = 0
        self.loop = Loop(self._failed)
        self._dispatcher_clients = [HttpClient(self.loop, parse_address(front)) for front in spec.fronts]
        self._lateness = LatenessMeter(self.loop)
        for one in spec.workers:
            self._workers[one.name] = HollowWorker(self, one)

    def read_commands(self, lifetime_s: float) -> None:
        """Executes commands from standard input for at most ``lifetime_s``."""
        CommandReader(self.loop, self._execute, lifetime_s)

    def _failed(self, error: Exception) -> None:
        self._errors += 1
        print(f"error in a hollow worker: {error!r}", file=sys.stderr, flush=True)

    def call_back(self, worker: HollowWorker, job_id: str, state: str) -> Coroutine[None]:
        """Sends a call-back to the job's dispatcher and then, until one accepts it, to the others in turn."""
        message: dict[str, object] = {"id": job_id, "from": worker.spec.name, "state": state}
        message["load"] = worker.load()
        if state == "done":
            message["result"] = f"done {job_id}"
        body = msgspec.json.encode(message)
        own = dispatcher_of(job_id)
        assert own is not None
        for attempt in range(_CALL_BACK_ATTEMPTS):
            if worker.unresponsive:
                return
            number = (own + attempt) % len(self._dispatcher_clients)
            reachable = not (self.cut and region_of(zone_of(number)) != worker.region)
            if reachable and (yield from self._post_call_back(number, body)):
                self._call_backs += 1
                return
            yield from sleep(self.loop.now() + _CALL_BACK_INTERVAL)
        self._undelivered += 1

    def _post_call_back(self, number: int, body: bytes) -> Coroutine[bool]:
        headers = [("Content-Type", "application/json")]
        until = self.loop.now() + _CALL_BACK_TIMEOUT
        try:
            answer = yield from self._dispatcher_clients[number].exchange(
                "POST", "/callback", headers, body, until
            )
        except ConnectionEndedError:
            return False
        return answer.status < 500

    def _execute(self, command: AnyCommand) -> WorkersReport | None:
        match command:
            case CutRegions():
                self.cut = command.cut
            case Pause():
                for name in self._running_of(command.names):
                    self._workers[name].unresponsive = True
            case End():
                for name in self._running_of(command.names):
                    self._workers.pop(name).close()
            case Begin():
                for name in command.names:
                    if name in self._specs and name not in self._workers:
                        self._workers[name] = HollowWorker(self, self._specs[name])
            case Report():
                return self._report()
        return None

    def _running_of(self, names: list[str]) -> list[str]:
        return [name for name in names if name in self._workers]

    def _report(self) -> WorkersReport:
        report = WorkersReport(
            self._lateness.take(),
            dict(self.requests),
            self._call_backs,
            self._undelivered,
            sum(len(worker.running) for worker in self._workers.values()),
            self._errors,
        )
        self.requests.clear()
        self._call_backs = self._undelivered = 0
        return report


def main() -> None:
    """Runs the hollow workers of a specification file."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkersSpec)
    process = HollowWorkerProcess(spec)
    process.read_commands(spec.lives_s)
    process.loop.run()
    process.loop.close()


if __name__ == "__main__":
    main()
