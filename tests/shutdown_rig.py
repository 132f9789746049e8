"""Real dispatcher processes that are told to stop while clients go on sending, under failing system calls.

Workers serve until the moment of their impairment. SIGKILL comes at the earliest time that the protocol
allows. A job that came after SIGTERM and was forwarded must not lose its connection without an answer, unless
SIGKILL ended the process and the job came no more than 0.7 s after SIGTERM. The rig runs on one event loop,
beside the processes.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.faults.rules import PLAN_VARIABLE
from ironbarrow.lab.live.http import HttpClient, Server, next_message
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection, connect
from tests.scenario import SETTINGS
from tests.test_config import ROOT

_EXCUSED_BY_KILL = 700 * MS  # after SIGTERM; an earlier job may be found unanswered by SIGKILL
_KILL_MARGIN = 700 * MS  # from the longest deadline, counted as 3 s at most, to SIGKILL
_JOB_TIME = 80 * MS
_WORKERS = 3
_NEW_CONNECTIONS = 300 * MS  # after SIGTERM, new connections still come for so long
_CONNECT_TIMEOUT = 1 * SECOND
_START_TIMEOUT_S = 20.0
_MAX_COUNTED_DEADLINE = 3 * SECOND
_MEMBERS = 3  # of the fleet, where there is one


class Impairment(Enum):
    """What the workers do from their impairment on."""

    NONE = "serve"
    SILENT = "accept jobs and never call back"
    HUNG = "accept connections and never answer"


class Restart(Enum):
    """What else runs of the dispatcher that is told to stop."""

    ALONE = "nothing"
    NO_SUCCESSOR = "nothing, though a successor could come"
    SUCCESSOR = "a successor that stays"
    SUCCESSOR_ENDS = "a successor that is killed"
    FLEET = "the other members of its fleet"


@dataclass(frozen=True, slots=True)
class StopPlan:
    """One play. Times in ns; those without another origin count from SIGTERM."""

    restart: Restart = Restart.ALONE
    deadline: int = 25 * SECOND  # of both classes of jobs
    timeout: int | None = None  # told by clients; None: the deadline
    impairment: Impairment = Impairment.SILENT
    impaired_from: int = 600 * MS
    rules: tuple[dict[str, Any], ...] = ()  # failing calls of the process that is told to stop
    successor_ends_at: int = 500 * MS
    resting: int = 24  # clients that send one more job on a connection that rested
    slow: int = 24  # clients that connect about the time of SIGTERM, and complete their request later
    sigterm_at_start: bool = False  # SIGTERM comes as soon as the process accepts connections

    @property
    def kill_delay(self) -> int:
        """From SIGTERM to SIGKILL, ns."""
        return min(_MAX_COUNTED_DEADLINE, self.deadline) + _KILL_MARGIN


@dataclass(slots=True)
class SentJob:
    """A job that a client has sent. Times in ns."""

    sent_at: int
    forwarded: bool = False
    status: int | None = None  # of its answer
    broken_at: int | None = None  # when the connection ended without an answer


@dataclass(slots=True)
class StopResult:
    """What became of the jobs, and how the process ended."""

    stopped_at: int
    jobs: dict[str, SentJob]
    end_delay: int  # from SIGTERM to the end of the process, ns
    killed: bool
    successor_ended_at: int | None
    log: str

    @property
    def forwarded(self) -> list[str]:
        """The jobs that came after SIGTERM and reached a worker."""
        return sorted(n for n, job in self.jobs.items() if job.forwarded and job.sent_at > self.stopped_at)

    @property
    def lost(self) -> list[str]:
        """Those of them that had a right to an answer and lost their connection without one."""
        excused_until = self.stopped_at + (_EXCUSED_BY_KILL if self.killed else 0)
        if self.successor_ended_at is not None:
            # a job that came before may have been lost with the successor, which was killed
            excused_until = max(excused_until, self.successor_ended_at)
        broken = [name for name in self.forwarded if self.jobs[name].broken_at is not None]
        return [name for name in broken if self.jobs[name].sent_at > excused_until]

    def events(self, name: str) -> list[dict[str, Any]]:
        """The log entries of that event, of the process that was told to stop."""
        lines = (json.loads(line) for line in self.log.splitlines() if line.startswith("{"))
        return [entry for entry in lines if entry["event"] == name]


@dataclass
class ShutdownRig:
    """Plays one plan."""

    plan: StopPlan
    folder: Path
    jobs: dict[str, SentJob] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._errors: list[Exception] = []
        self.loop = Loop(self._errors.append)
        self._network = LoopbackNetwork.reserve(_MEMBERS)
        self.address = self._network.dispatcher(0)
        self._stopped_at = 0
        self._successor_ended_at: int | None = None
        self._call_backs = HttpClient(self.loop, self.address)
        self._workers = [Server(self.loop, listen(("127.0.0.1", 0)), self._serve) for _ in range(_WORKERS)]
        self._processes: list[subprocess.Popen[bytes]] = []

    # Workers

    def _impairment(self) -> Impairment:
        impaired = self._stopped_at and self.loop.now() >= self._stopped_at + self.plan.impaired_from
        return self.plan.impairment if impaired else Impairment.NONE

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            _, request = yield from next_message(self.loop, connection, 60 * SECOND, 5 * SECOND)
            status = 204
            if request.method == "POST":
                job_id = request.headers["x-request-id"]
                self.jobs[job_id].forwarded = True
                impairment = self._impairment()
                if impairment is Impairment.HUNG:
                    yield from sleep(self.loop.now() + 60 * SECOND)
                status = 202
                if impairment is Impairment.NONE:
                    self.loop.spawn(self._run_job(job_id))
            yield from connection.write(connection.response_bytes(status), self.loop.now() + SECOND)
            if not connection.next_cycle():
                return

    def _run_job(self, job_id: str) -> Coroutine[None]:
        yield from sleep(self.loop.now() + _JOB_TIME)
        names = [f"w{number}" for number in range(_WORKERS)]
        for name in names:  # the worker's own name among them; the others match no attempt
            body = {"id": job_id, "from": name, "state": "done", "result": "out", "load": {"x0": 40}}
            try:
                until = self.loop.now() + SECOND
                yield from self._call_backs.exchange(
                    "POST", "/callback", [], json.dumps(body).encode(), until
                )
            except ConnectionEndedError:
                continue

    # Clients

    def _request(self, connection: Connection, job_id: str) -> bytes:
        job_class = "map" if len(self.jobs) % 2 else "book"
        timeout = (self.plan.timeout or self.plan.deadline) // MS
        headers = [("Host", "a"), ("X-Request-ID", job_id), ("X-Timeout-Ms", str(timeout))]
        return connection.request_bytes("POST", f"/{job_class}/x", headers, b"in")

    def _send(self, connection: Connection, job_id: str, data: bytes) -> Coroutine[None]:
        """Writes the last bytes of a request and waits for its answer."""
        yield from connection.write(data, self.loop.now() + SECOND)
        self.jobs[job_id] = job = SentJob(self.loop.now())
        try:
            answer = yield from connection.read_message(self.loop.now() + self.plan.deadline + 2 * SECOND)
        except ConnectionEndedError:
            job.broken_at = self.loop.now()
            raise
        job.status = answer.status

    def _resting_client(self, number: int, sends_at: int) -> Coroutine[None]:
        try:
            connection = yield from connect(self.address, self.loop.now() + _CONNECT_TIMEOUT)
            yield from self._exchange_ready(connection)
            while not self._stopped_at or self.loop.now() < self._stopped_at + sends_at:
                yield from sleep(self.loop.now() + 5 * MS)
            if connection.is_closed():
                return
            job_id = f"r{number}"
            yield from self._send(connection, job_id, self._request(connection, job_id))
        except ConnectionEndedError:
            return

    def _exchange_ready(self, connection: Connection) -> Coroutine[None]:
        data = connection.request_bytes("GET", "/-/ready", [("Host", "a")])
        yield from connection.write(data, self.loop.now() + SECOND)
        yield from connection.read_message(self.loop.now() + SECOND)
        connection.next_cycle()

    def _slow_client(self, number: int, completes_at: int) -> Coroutine[None]:
        while not self._stopped_at:
            yield from sleep(self.loop.now() + 5 * MS)
        yield from sleep(self._stopped_at + _NEW_CONNECTIONS * number // max(1, self.plan.slow))
        try:
            connection = yield from connect(self.address, self.loop.now() + _CONNECT_TIMEOUT)
            job_id = f"s{number}"
            data = self._request(connection, job_id)
            yield from connection.write(data[:30], self.loop.now() + SECOND)
            yield from sleep(self._stopped_at + completes_at)
            yield from self._send(connection, job_id, data[30:])
        except ConnectionEndedError:
            return

    def _start_clients(self) -> None:
        span = self.plan.kill_delay - 200 * MS
        for number in range(self.plan.resting):
            self.loop.spawn(self._resting_client(number, span * number // self.plan.resting))
        for number in range(self.plan.slow):
            at = _NEW_CONNECTIONS + min(2 * SECOND, span - _NEW_CONNECTIONS) * number // self.plan.slow
            self.loop.spawn(self._slow_client(number, at))

    # Processes

    def _settings(self) -> dict[str, Any]:
        deadline = self.plan.deadline
        classes = [
            {"name": "map", "effect": "pure", "promise": deadline // 2, "giveUp": deadline},
            {"name": "book", "effect": "side_effect", "promise": deadline // 2, "giveUp": deadline},
        ]
        return {
            **SETTINGS,
            "requestClasses": classes,
            "familyInfo": {"reportX0": "free slots", "tellsStart": False, "classStretch": [8.0, 8.0]},
        }

    def _start(self, number: int) -> "subprocess.Popen[bytes]":
        """Starts the process that is told to stop (0), or another one."""
        in_fleet = self.plan.restart is Restart.FLEET
        address = self._network.dispatcher(number if in_fleet else 0)
        config = self.folder / f"config-{number}.json"
        config.write_text(json.dumps(self._config(f"d{number}" if in_fleet else "d0", address)))
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.folder),
            "BALANCER_CONFIG": str(config),
            PLAN_VARIABLE: json.dumps({"rules": list(self.plan.rules) if number == 0 else []}),
        }
        if in_fleet:
            environment["BALANCER_FLEET"] = str(self._write_fleet_file(number))
        elif self.plan.restart is not Restart.ALONE:
            environment["BALANCER_ADMIN"] = "127.0.0.1:0"
        command = [sys.executable, "-m", "ironbarrow.cli.serve_with_faults"]
        with self._log(number).open("wb") as log:
            process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log)
        self._processes.append(process)
        return process

    def _config(self, name: str, address: Address) -> dict[str, Any]:
        entries = [
            {
                "name": f"w{number}",
                "address": "{}:{}".format(*worker.listener.getsockname()),
                "zone": "a",
                "status": "up",
                "weight": 40,
                "since_ms": 0,
            }
            for number, worker in enumerate(self._workers)
        ]
        return {
            "name": name,
            "listen": "{}:{}".format(*address),
            "discovery": "127.0.0.1:1",
            "limits": {"sockets": 512, "memory_mb": 96},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": self._settings(),
        }

    def _write_fleet_file(self, number: int) -> Path:
        members = {f"d{n}": "{}:{}".format(*self._network.fleet_member(n)) for n in range(_MEMBERS)}
        own = members.pop(f"d{number}")
        seeds = [f"{name}={address}" for name, address in members.items()]
        path = self.folder / f"fleet-{number}.toml"
        path.write_text(f'listen = "{own}"\nsite = "a"\nseeds = {json.dumps(seeds)}\n')
        return path

    def _log(self, number: int) -> Path:
        return self.folder / f"log-{number}"

    def _run_for(self, duration: int) -> None:
        until = self.loop.now() + duration
        while self.loop.now() < until:
            self.loop.call_at(min(until, self.loop.now() + 5 * MS), lambda: None)
            self.loop.run_once()

    def _wait_for_log(self, number: int, text: str) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        while text not in self._log(number).read_text():
            assert time.monotonic() < deadline, self._log(number).read_text()
            self._run_for(20 * MS)

    def _wait_until_accepting(self) -> None:
        deadline = time.monotonic() + _START_TIMEOUT_S
        accepting = False
        while not accepting:
            assert time.monotonic() < deadline, self._log(0).read_text()
            self._run_for(5 * MS)
            with socket.socket() as probe:
                accepting = probe.connect_ex(self.address) == 0

    def play(self) -> StopResult:
        """Plays the plan."""
        try:
            return self._play()
        finally:
            self._close()

    def _play(self) -> StopResult:
        process = self._start(0)
        others = [self._start(n) for n in range(1, _MEMBERS)] if self.plan.restart is Restart.FLEET else []
        if self.plan.sigterm_at_start:
            self._wait_until_accepting()
        else:
            self._wait_for_log(0, '"serving"')
            for number in range(1, len(others) + 1):
                self._wait_for_log(number, '"serving"')
            self._start_clients()
            self._run_for(500 * MS)
        if self.plan.restart in (Restart.SUCCESSOR, Restart.SUCCESSOR_ENDS):
            others = [self._start(1)]
            self._wait_for_log(1, '"serving"')
            self._run_for(400 * MS)
        self._stopped_at = self.loop.now()
        process.send_signal(signal.SIGTERM)
        if self.plan.sigterm_at_start:
            self._start_clients()
        if self.plan.restart is Restart.SUCCESSOR_ENDS:
            self.loop.call_at(self._stopped_at + self.plan.successor_ends_at, self._end_successor, others[0])
        kill_at = self._stopped_at + self.plan.kill_delay
        while process.poll() is None and self.loop.now() < kill_at:
            self._run_for(2 * MS)
        killed = process.poll() is None
        process.kill()
        end_delay = self.loop.now() - self._stopped_at
        process.wait()
        self._run_for(100 * MS)
        assert not self._errors, self._errors
        return StopResult(
            self._stopped_at,
            self.jobs,
            end_delay,
            killed,
            self._successor_ended_at,
            self._log(0).read_text(),
        )

    def _end_successor(self, process: "subprocess.Popen[bytes]") -> None:
        self._successor_ended_at = self.loop.now()
        process.kill()

    def _close(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait()
        for worker in self._workers:
            worker.close()
        self.loop.close()
        self._network.close()
