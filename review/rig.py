"""Stand-ins and helpers that the cases share: a dispatcher's process, discovery, workers and clients.

Everything listens on 127.0.0.1 and runs on one asyncio loop of the case's own process. Only the dispatchers
are processes of their own; they are started with the ``run`` command of ``deploy/balancer.toml``.

A worker answers 202, calls back ``started`` and, after the time that the job's body asks for, ``done``. A
call is tried until it is answered, at most ten times. DELETE ends a job.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
MS, S = 1_000_000, 1_000_000_000
RUN_LIMIT_S = 110.0  # of a whole case

SETTINGS: dict[str, Any] = {
    "me": 0,
    "replicasOfMe": 1,
    "zone": "reykjavik",
    "zones": ["reykjavik"],
    "kinds": ["gen2"],
    "discovery": "push",
    "round": 4 * MS,
    "valueBy": "work",
    "weightSource": "nominal",
    "requestClasses": [
        {"name": "coverage-map", "effect": "pure", "promise": 1 * S, "giveUp": 10 * S, "worth": 1.0},
        {"name": "fault-decode", "effect": "pure", "promise": 800 * MS, "giveUp": 5 * S, "worth": 5.0},
        {
            "name": "service-booking",
            "effect": "side_effect",
            "promise": 4 * S,
            "giveUp": 25 * S,
            "worth": 8.0,
        },
    ],
    "familyInfo": {"classStretch": [2.5, 2.0, 2.0], "reportX0": "free slots", "tellsStart": True},
    "report": {"how": "inline", "fields": ["errors_per_s", "backlog", "x0"]},
    "limits": {
        "cancel": True,
        "connIdle": 15 * S,
        "connectTimeout": 250 * MS,
        "maxRetryAfter": 2 * S,
        "mostTries": 3,
        "probes": False,
        "retryAfter": True,
    },
    "guarantees": {
        "answerSlack": 16 * MS,
        "drainGrace": 1 * S,
        "cold": 22 * S,
        "startCapacity": 0.15,
        "fallMultiple": 2.5,
        "tipAfter": 3 * S,
    },
}


class CannotRunError(Exception):
    """The case could not run, so that nothing is known of the rule."""


class Record:
    """``record.txt``: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, who: str, text: str) -> float:
        """Writes a line; returns its time."""
        at = self.now()
        self._file.write(f"{at:8.3f}  {who:<12} {text}\n")
        self._file.flush()
        return at


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None if the connection ended before its last byte."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.strip().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Message(first_line, headers, body)


def request_bytes(job_class: str, job_id: str, timeout_ms: int, body: bytes) -> bytes:
    """A job as a client sends it."""
    head = (
        f"POST /{job_class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {job_id}\r\n"
        f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def job_body(run_ms: int, padding: int = 0) -> bytes:
    """The body of a job that runs for so long at a worker, with some bytes more."""
    return f"{run_ms} ".encode() + b"." * padding


def answer_bytes(status: int, body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@dataclass(eq=False)
class Run:
    """One attempt as its worker sees it. Times are those of the record."""

    job_id: str
    worker: str
    at: float  # when its last byte came
    told_ms: int  # X-Timeout-Ms
    ended_at: float | None = None
    how: str = "runs"


@dataclass(eq=False)
class Worker:
    """A worker with an endless number of slots."""

    name: str
    record: Record
    dispatcher: tuple[str, int]  # where it calls back
    runs: list[Run] = field(default_factory=list)
    address: str = ""
    _tasks: dict[str, list[tuple[Run, asyncio.Task[None]]]] = field(default_factory=dict)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def entry(self, status: str = "up") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "reykjavik",
            "type": "gen2",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                method, target = request.first_line.split()[:2]
                if method == "DELETE":
                    self._end(target.rpartition("/")[2], "DELETE")
                    writer.write(answer_bytes(200))
                elif method == "POST":
                    self._begin(request)
                    writer.write(answer_bytes(202))
                else:
                    writer.write(answer_bytes(404))
                await writer.drain()
        writer.close()

    def _begin(self, request: Message) -> None:
        job_id = request.headers["x-request-id"]
        told = int(request.headers["x-timeout-ms"])
        at = self.record(self.name, f"takes {job_id}, X-Timeout-Ms {told}")
        run = Run(job_id, self.name, at, told)
        self.runs.append(run)
        task = asyncio.create_task(self._run(run, int(request.body.split(maxsplit=1)[0]) / 1000))
        self._tasks.setdefault(job_id, []).append((run, task))

    async def _run(self, run: Run, duration: float) -> None:
        await self._call_back({"id": run.job_id, "from": self.name, "state": "started"})
        await asyncio.sleep(max(0.0, run.at + duration - self.record.now()))
        self._over(run, "done")
        result = f"result of {run.job_id}, run {self.runs.index(run) + 1} at {self.name}"
        await self._call_back({"id": run.job_id, "from": self.name, "state": "done", "result": result})

    def _over(self, run: Run, how: str) -> None:
        run.how, run.ended_at = how, self.record(self.name, f"ends {run.job_id}: {how}")

    def _end(self, job_id: str, how: str) -> None:
        for run, task in self._tasks.pop(job_id, ()):
            task.cancel()
            if run.ended_at is None:
                self._over(run, how)

    async def _call_back(self, call: dict[str, Any]) -> None:
        body = json.dumps(call).encode()
        head = (
            f"POST /callback HTTP/1.1\r\nHost: d\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        for _ in range(10):
            answer = await exchange(self.dispatcher, head.encode() + body, 2.0)
            if answer is not None and answer.status in (200, 204):
                return
            await asyncio.sleep(0.1)
        self.record(self.name, f"call-back {call['state']} of {call['id']} was never answered")


async def exchange(address: tuple[str, int], data: bytes, timeout_s: float) -> Message | None:
    """Sends a request on a new connection; its answer, or None if there is none."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


class Discovery:
    """The agent that pushes the list of workers: it answers at once, and says an empty line every 2 s.

    While discovery is down it is silent, also on open connections. A call or a watch that it has left silent
    stays so."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self._entries = entries
        self._index = 41
        self._watches: set[asyncio.StreamWriter] = set()
        self.down = False
        self.calls = 0  # that came so far
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def list(self) -> dict[str, Any]:
        return {"index": self._index, "snapshot": True, "endpoints": self._entries}

    def go_down(self) -> None:
        self.down = True
        self._watches.clear()

    def change(self, entry: dict[str, Any]) -> None:
        """Changes an entry, and tells all open watches."""
        self._index += 1
        self._entries = [entry if old["name"] == entry["name"] else old for old in self._entries]
        for writer in self._watches:
            self._tell(writer, {"index": self._index, "snapshot": False, "endpoints": [entry]})

    @staticmethod
    def _tell(writer: asyncio.StreamWriter, value: dict[str, Any] | None) -> None:
        line = (json.dumps(value) if value is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                self.calls += 1
                if self.down:
                    await reader.read()  # until the caller closes
                elif "follow=1" not in request.first_line:
                    writer.write(answer_bytes(200, json.dumps(self.list()).encode()))
                    await writer.drain()
                else:
                    await self._watch(request, writer)
        writer.close()

    async def _watch(self, request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if f"since={self._index} " not in request.first_line:
            self._tell(writer, self.list())
        self._watches.add(writer)
        while writer in self._watches:
            self._tell(writer, None)
            await writer.drain()
            await asyncio.sleep(2.0)
        await asyncio.sleep(RUN_LIMIT_S)


class Dispatcher:
    """One process of a dispatcher, started with the ``run`` command of the deploy file."""

    def __init__(self, label: str, rig: "Rig", admin: int | None = None) -> None:
        self.label, self.rig, self.admin = label, rig, admin
        config = rig.folder / f"config-{label}.json"
        values = {
            "name": "n1",
            "listen": "{}:{}".format(*rig.listen),
            "discovery": rig.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": rig.discovery.list(),
            "settings": rig.settings,
        }
        config.write_text(json.dumps(values), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(rig.shared),
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": values["listen"],
            "BALANCER_DISCOVERY": values["discovery"],
            "BALANCER_CONFIG": str(config),
        }
        if admin is not None:
            environment["BALANCER_ADMIN"] = f"{HOST}:{admin}"
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self.log = rig.folder / f"log-{label}"
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        rig.record(label, "is started")

    async def ready(self) -> None:
        """Waits until this process says that it is ready."""
        port, path = (
            (self.rig.listen[1], "/-/ready") if self.admin is None else (self.admin, "/ops/readiness")
        )
        call = f"GET {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode()
        for _ in range(100):
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.label} ended with {self.process.returncode} at its start")
            answer = await exchange((HOST, port), call, 1.0)
            if answer is not None and answer.status == 200:
                self.rig.record(self.label, "is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.label} was not ready in time")

    def terminate(self) -> float:
        """Sends SIGTERM; returns when."""
        self.process.send_signal(signal.SIGTERM)
        return self.rig.record(self.label, "gets SIGTERM")

    async def ended(self, timeout_s: float) -> bool:
        """Waits for the end of the process; returns whether it came."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.rig.record(self.label, f"has ended with {self.process.returncode}")
                return True
            await asyncio.sleep(0.02)
        return False


class Rig:
    """One play: its folder, its discovery, its workers and its dispatchers."""

    def __init__(self, record: Record, settings: dict[str, Any]) -> None:
        self.record, self.settings = record, settings
        # a short path: the dispatchers' Unix sockets are in this folder
        self.folder = Path(tempfile.mkdtemp(prefix="case-", dir="/tmp"))
        self.shared = self.folder / "shared"
        self.shared.mkdir()
        self.listen = (HOST, free_port())
        self.workers: list[Worker] = []
        self.discovery = Discovery([])
        self.dispatchers: list[Dispatcher] = []
        self.worker_type: type[Worker] = Worker

    async def start(self, workers: int) -> None:
        for number in range(workers):
            worker = self.worker_type(f"w{number + 1}", self.record, self.listen)
            await worker.start()
            self.workers.append(worker)
        self.discovery = Discovery([worker.entry() for worker in self.workers])
        await self.discovery.start()

    async def dispatcher(self, label: str, *, admin: bool = False) -> Dispatcher:
        """Starts a dispatcher's process and waits until it is ready."""
        dispatcher = Dispatcher(label, self, free_port() if admin else None)
        self.dispatchers.append(dispatcher)
        await dispatcher.ready()
        return dispatcher

    def runs(self, job_id: str) -> list[Run]:
        """All runs of a job at all workers, in order of time."""
        found = [run for worker in self.workers for run in worker.runs if run.job_id == job_id]
        return sorted(found, key=lambda run: run.at)

    async def wait_for_runs(self, job_id: str, count: int = 1) -> None:
        for _ in range(500):
            if len(self.runs(job_id)) >= count:
                return
            await asyncio.sleep(0.01)
        raise CannotRunError(f"{job_id} reached no worker")

    def close(self) -> None:
        for dispatcher in self.dispatchers:
            if dispatcher.process.poll() is None:
                dispatcher.process.kill()
            dispatcher.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: str, body: Callable[[Rig, bool], Awaitable[list[str]]], **changes: Any) -> None:
    """Plays a case and ends the process with its status. ``body`` returns the breaks of the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case).resolve().parent / "record.txt")
    record("case", "with the disruption" if trouble else "without the disruption (TROUBLE=0)")

    async def run() -> None:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        rig = Rig(record, {**SETTINGS, **changes})
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                breaks = await body(rig, trouble)
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            rig.close()
            _end(record, COULD_NOT_RUN, [f"could not run: {error!r}"])
        finally:
            rig.close()
        texts = [f"BROKEN: {text}" for text in breaks] or ["the rule held"]
        _end(record, BROKEN if breaks else HELD, texts)

    asyncio.run(run())


def _end(record: Record, status: int, texts: list[str]) -> NoReturn:
    for text in texts:
        record("case", text)
        print(text)
    sys.stdout.flush()
    os._exit(status)  # the stand-ins' connections need no orderly end
