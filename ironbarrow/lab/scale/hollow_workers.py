"""A process with many hollow workers: they speak the worker's protocol and do no work.

A job is answered 202 at once, ``started`` is called back, and ``done`` when its time is over. Which
dispatcher has sent it is read from its id, ``j-NUMBER-SERIAL``.

    python -m ironbarrow.lab.scale.hollow_workers SPEC.json
"""

import sys
from collections import defaultdict
from functools import partial
from pathlib import Path

import msgspec

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.live.http import HttpClient, Server, next_message
from ironbarrow.lab.scale.control import Control
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

_IDLE = 15 * SECOND
_WHOLE = 5 * SECOND
_WRITE = 5 * SECOND
_CALL_BACK_LIMIT = 2 * SECOND
_CALL_BACK_TRIES = 10
_CALL_BACK_PAUSE = 100 * MS
_LOOKS_FOR_MEND = 50 * MS

Answer = tuple[int, Headers, bytes]


class HollowWorker:
    """One worker, with a listener for each region."""

    def __init__(self, party: "Party", spec: WorkerSpec) -> None:
        self.party, self.spec = party, spec
        self.region = region_of(spec.zone)
        self.silent = False
        self.running: set[str] = set()
        self._servers = [
            Server(party.loop, listen(parse_address(address)), partial(self._serve, region))
            for region, address in spec.addresses.items()
        ]

    def close(self) -> None:
        """Ends as a process does: connections are refused, and its jobs are lost."""
        self.silent = True
        self.running.clear()
        for server in self._servers:
            server.close()

    def _is_silent_to(self, region: str) -> bool:
        return self.silent or (self.party.cut and region != self.region)

    def _until_heard(self, region: str) -> Coroutine[None]:
        while self._is_silent_to(region):
            yield from sleep(self.party.loop.now() + _LOOKS_FOR_MEND)

    def _serve(self, region: str, connection: Connection) -> Coroutine[None]:
        loop = self.party.loop
        while True:
            connection.message_bytes = 0
            _, request = yield from next_message(loop, connection, _IDLE, _WHOLE)
            yield from self._until_heard(region)
            kind, (status, headers, body) = self._answer(request)
            data = connection.response_bytes(status, headers, body)
            self.party.requests[kind].add(connection.message_bytes + len(data))
            yield from connection.write(data, loop.now() + _WRITE)
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
            return "jobs", self._take(request.headers.get("x-request-id", ""))
        return "other", (404, [], b"")

    def _take(self, job_id: str) -> Answer:
        if dispatcher_of(job_id) is None:
            return 400, [], b""
        if job_id in self.running:
            return 202, [], b""
        if len(self.running) >= self.party.slots:
            return 503, [("X-Not-Processed", "1"), ("X-Server-Load", self.load_header())], b""
        self.running.add(job_id)
        self.party.loop.spawn(self._run(job_id))
        return 202, [], b""

    def _run(self, job_id: str) -> Coroutine[None]:
        yield from self.party.call_back(self, job_id, "started")
        yield from sleep(self.party.loop.now() + self.party.job_ns)
        if job_id in self.running:
            self.running.discard(job_id)
            yield from self.party.call_back(self, job_id, "done")

    def load(self) -> dict[str, float]:
        """Its load report."""
        return {"eps": 0.0, "queue": 0.0, "x0": float(self.party.slots - len(self.running))}

    def load_header(self) -> str:
        """The same as a header's value."""
        return ",".join(f"{name}={value:g}" for name, value in self.load().items())


def dispatcher_of(job_id: str) -> int | None:
    """The number of the dispatcher that a job was given to; None for an id of another form."""
    parts = job_id.split("-")
    return int(parts[1]) if len(parts) == 3 and parts[0] == "j" and parts[1].isdigit() else None


class Party:
    """The hollow workers of this process."""

    def __init__(self, spec: WorkersSpec) -> None:
        self.slots = spec.slots
        self.job_ns = int(spec.job_s * SECOND)
        self.cut = False  # between regions
        self.requests: dict[str, Traffic] = defaultdict(Traffic)
        self._specs = {one.name: one for one in spec.workers}
        self._workers: dict[str, HollowWorker] = {}
        self._call_backs = self._unheard = self._errors = 0
        self.loop = Loop(self._failed)
        self._fronts = [HttpClient(self.loop, parse_address(front)) for front in spec.fronts]
        self._lateness = LatenessMeter(self.loop)
        for one in spec.workers:
            self._workers[one.name] = HollowWorker(self, one)

    def follow_commands(self, lives_s: float) -> None:
        """Does what standard input says, for so long at most."""
        Control(self.loop, self._carry_out, lives_s)

    def _failed(self, error: Exception) -> None:
        self._errors += 1
        print(f"a worker failed: {error!r}", file=sys.stderr, flush=True)

    def call_back(self, worker: HollowWorker, job_id: str, state: str) -> Coroutine[None]:
        """Tells the job's dispatcher, and where that does not answer others, until one has taken it."""
        message: dict[str, object] = {"id": job_id, "from": worker.spec.name, "state": state}
        message["load"] = worker.load()
        if state == "done":
            message["result"] = f"done {job_id}"
        body = msgspec.json.encode(message)
        own = dispatcher_of(job_id)
        assert own is not None
        for turn in range(_CALL_BACK_TRIES):
            if worker.silent:
                return
            number = (own + turn) % len(self._fronts)
            reached = not (self.cut and region_of(zone_of(number)) != worker.region)
            if reached and (yield from self._tell(number, body)):
                self._call_backs += 1
                return
            yield from sleep(self.loop.now() + _CALL_BACK_PAUSE)
        self._unheard += 1

    def _tell(self, number: int, body: bytes) -> Coroutine[bool]:
        headers = [("Content-Type", "application/json")]
        until = self.loop.now() + _CALL_BACK_LIMIT
        try:
            answer = yield from self._fronts[number].exchange("POST", "/callback", headers, body, until)
        except ConnectionEndedError:
            return False
        return answer.status < 500

    def _carry_out(self, command: AnyCommand) -> WorkersReport | None:
        match command:
            case CutRegions():
                self.cut = command.cut
            case Pause():
                for name in self._mine(command.names):
                    self._workers[name].silent = True
            case End():
                for name in self._mine(command.names):
                    self._workers.pop(name).close()
            case Begin():
                for name in command.names:
                    if name in self._specs and name not in self._workers:
                        self._workers[name] = HollowWorker(self, self._specs[name])
            case Report():
                return self._report()
        return None

    def _mine(self, names: list[str]) -> list[str]:
        return [name for name in names if name in self._workers]

    def _report(self) -> WorkersReport:
        report = WorkersReport(
            self._lateness.take(),
            dict(self.requests),
            self._call_backs,
            self._unheard,
            sum(len(worker.running) for worker in self._workers.values()),
            self._errors,
        )
        self.requests.clear()
        self._call_backs = self._unheard = 0
        return report


def main() -> None:
    """The process of one party."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkersSpec)
    party = Party(spec)
    party.follow_commands(spec.lives_s)
    party.loop.run()
    party.loop.close()


if __name__ == "__main__":
    main()
