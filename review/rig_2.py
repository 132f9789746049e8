"""Stand-ins for the cases of the second review: discovery, workers, clients; and the start of the program.

Standard library only. Everything runs on loopback addresses and on the real clock, in one event loop. The
dispatchers are processes of their own, started with the ``run`` command of deploy/balancer.toml.
"""

import asyncio
import contextlib
import gc
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
HOLDS, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the program."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the names of the users' wire page."""
    base: dict[str, Any] = {
        "me": 0,
        "replicasOfMe": 1,
        "zone": "north",
        "zones": ["north"],
        "round": 4 * MS,
        "discovery": "push",
        "valueBy": "request",
        "weightSource": "nominal",
        "requestClasses": [
            {"name": "map", "effect": "pure", "promise": 2000 * MS, "giveUp": 10_000 * MS, "worth": 1.0},
            {
                "name": "booking",
                "effect": "side_effect",
                "promise": 4000 * MS,
                "giveUp": 25_000 * MS,
                "worth": 8.0,
            },
        ],
        "familyInfo": {"tellsStart": True, "reportX0": "free slots"},
        "report": {"how": "off"},
        "limits": {
            "cancel": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "mostTries": 3,
            "maxRetryAfter": 2000 * MS,
            "connIdle": 15_000 * MS,
            "connectTimeout": 250 * MS,
        },
        "guarantees": {
            "answerSlack": 16 * MS,
            "drainGrace": 1000 * MS,
            "cold": 22_000 * MS,
            "startCapacity": 0.15,
            "fallMultiple": 2.5,
            "tipAfter": 3000 * MS,
        },
    }
    base.update(changes)
    return base


class Case:
    """One run of a case: its record, its processes and stand-ins."""

    def __init__(self) -> None:
        self.folder = Path(sys.argv[1]).resolve() if len(sys.argv) > 1 else Path.cwd()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.tmp = tempfile.TemporaryDirectory()
        self.processes: list[asyncio.subprocess.Process] = []
        self.broken: list[str] = []
        self.note(f"trouble: {'on' if self.trouble else 'off'}")

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self.record.write(f"{self.now():9.4f} {text}\n")
        self.record.flush()

    def breaks(self, text: str) -> None:
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    async def dispatcher(
        self,
        name: str,
        port: int,
        discovery: int,
        *,
        config: dict[str, Any] | None = None,
        admin: int | None = None,
        tmpdir: Path | None = None,
        limits: dict[str, Any] | None = None,
        known: dict[str, Any] | None = None,
    ) -> asyncio.subprocess.Process:
        """Starts the program with the command of the deploy file, and waits for its readiness."""
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        folder = tmpdir or Path(tempfile.mkdtemp(dir=self.tmp.name))
        number = len(self.processes)
        path = Path(self.tmp.name) / f"{name}-{number}.json"
        raw: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "5eed",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {},
            "settings": config or settings(),
        }
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(folder),
            "BALANCER_CONFIG": str(path),
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": raw["listen"],
            "BALANCER_DISCOVERY": raw["discovery"],
        }
        if admin is not None:
            raw["admin"] = environment["BALANCER_ADMIN"] = f"127.0.0.1:{admin}"
        path.write_text(json.dumps(raw))
        with open(Path(self.tmp.name) / f"{name}-{number}.log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.processes.append(process)
        self.note(f"started {name}, process {number}")
        for _ in range(600):
            if process.returncode is not None:
                raise CannotRunError(f"{name} ended with {process.returncode} at its start")
            address = ("/ops/readiness", admin) if admin is not None else ("/-/ready", port)
            with contextlib.suppress(OSError, EOFError):
                status, _body = await request(address[1], "GET", address[0])
                if status == 200:
                    self.note(f"{name}, process {number}, is ready")
                    return process
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} is not ready after 30 s")

    def log_of(self, number: int, name: str) -> str:
        return (Path(self.tmp.name) / f"{name}-{number}.log").read_text(errors="replace")

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                await process.wait()


def run(play: Callable[[Case], Awaitable[None]], limit: float = 110.0) -> None:
    """Plays a case and exits: 1 if its rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case()

    async def main() -> int:
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            await asyncio.wait_for(play(case), limit)
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            case.note(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for path in sorted(Path(case.tmp.name).glob("*.log")):
                    (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
            await case.close()
            rest = [task for task in asyncio.all_tasks() if task is not this]
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)
            del rest
            gc.collect()  # closes the connections that are left, while the loop still runs
            await asyncio.sleep(0)
        return BROKEN if case.broken else HOLDS

    status = asyncio.run(main())
    verdict = {HOLDS: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[
        status
    ]
    case.note(verdict)
    print(verdict, *case.broken[:8], sep="\n  ")
    case.tmp.cleanup()
    sys.exit(status)


# HTTP


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """A message with a length or in chunks: its first line, its headers, its body. EOFError at the end."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif length := int(headers.get("content-length", "0")):
        body = await reader.readexactly(length)
    return lines[0], headers, body


async def end_of(reader: asyncio.StreamReader) -> None:
    """Waits until the peer has closed or reset the connection."""
    with contextlib.suppress(OSError):
        await reader.read()


async def request(
    port: int, method: str, path: str, body: bytes = b"", timeout: float = 2.0, **headers: str
) -> tuple[int, bytes]:
    """One exchange on a new connection."""

    async def exchange() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(message(method, path, body, **headers))
            first, _headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except TimeoutError:
        raise EOFError("no answer") from None


def message(method: str, path: str, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response(status: int, body: bytes = b"", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


# Stand-ins


class Discovery:
    """The agent: answers at once with the list, and pushes changes on open watches."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.port = 0
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def text(self) -> bytes:
        """The whole list."""
        content = {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
        return json.dumps(content).encode()

    def put(self, worker: "Worker", status: str = "up", **changes: Any) -> None:
        """Lists a worker, or changes its entry, and tells all watches."""
        entry = {
            "name": worker.name,
            "address": f"127.0.0.1:{worker.port}",
            "zone": "north",
            "type": "m1",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        } | changes
        self.index += 1
        if status == "removed":
            self.entries.pop(worker.name, None)
        else:
            self.entries[worker.name] = entry
        self.case.note(f"discovery: {worker.name} {status}")
        change = {"index": self.index, "snapshot": False, "endpoints": [entry]}
        for writer in list(self.watches):
            self._chunk(writer, json.dumps(change).encode() + b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _headers, _body = await read_message(reader)
                if "follow=1" not in first:
                    writer.write(response(200, self.text()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._chunk(writer, self.text() + b"\n")
                self.watches.add(writer)
                while not reader.at_eof():
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(reader.read(1), 1.5)
                    self._chunk(writer, b"\n")
                return
        except (EOFError, OSError):
            return
        finally:
            self.watches.discard(writer)
            writer.close()


class Worker:
    """A worker with ``slots`` slots: answers 202, tells of the start, and then of the end by call-back.

    ``time_of``: seconds that a job runs. ``state_of``: what becomes of it. Both may be replaced by a case."""

    def __init__(self, case: Case, name: str, seconds: float = 0.3, slots: int = 8) -> None:
        self.case, self.name = case, name
        self.port = 0
        self.call_back_port = 0
        self.slots = asyncio.Semaphore(slots)
        self.time_of: Callable[[str], float] = lambda job: seconds
        self.state_of: Callable[[str], str] = lambda job: "done"
        self.on_job: Callable[[str, dict[str, str]], None] = lambda job, headers: None
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.begun: list[tuple[float, str, int, bytes]] = []  # when, id, X-Timeout-Ms, body
        self.ran: list[str] = []
        self.deleted: list[str] = []
        self.server: asyncio.Server | None = None

    async def start(self, call_back_port: int) -> None:
        self.call_back_port = call_back_port
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path = first.split(" ")[:2]
                if method == "GET":
                    writer.write(response(200, self.load_text()))
                elif method == "DELETE":
                    job = path.rsplit("/", 1)[1]
                    self.deleted.append(job)
                    self.case.note(f"{self.name}: DELETE {job}")
                    task = self.jobs.pop(job, None)
                    if task is not None:
                        task.cancel()
                    writer.write(response(200 if task is not None else 404))
                else:
                    job = headers.get("x-request-id", "")
                    left = int(headers.get("x-timeout-ms", "0"))
                    self.begun.append((self.case.now(), job, left, body))
                    self.case.note(f"{self.name}: attempt of {job}, X-Timeout-Ms {left}, {len(body)} bytes")
                    self.on_job(job, headers)
                    self.jobs[job] = asyncio.create_task(self._work(job))
                    writer.write(response(202))
        except (EOFError, OSError):
            return
        finally:
            writer.close()

    async def _work(self, job: str) -> None:
        async with self.slots:
            await self.call_back(job, "started")
            self.ran.append(job)
            await asyncio.sleep(self.time_of(job))
        state = self.state_of(job)
        self.case.note(f"{self.name}: {state} {job}")
        await self.call_back(job, state)
        self.jobs.pop(job, None)

    def load_text(self) -> bytes:
        """The load report, as the answer to a probe."""
        return b""

    async def call_back(self, job: str, state: str, **more: Any) -> None:
        """Tries until the call is answered, ten times at most."""
        call: dict[str, Any] = {"id": job, "from": self.name, "state": state} | more
        if state == "done":
            call["result"] = f"{self.name} did {job}"
        for _ in range(10):
            with contextlib.suppress(OSError, EOFError):
                status, _body = await request(
                    self.call_back_port, "POST", "/callback", json.dumps(call).encode()
                )
                if status in (200, 204):
                    return
            await asyncio.sleep(0.1)


def job_message(job: str, path: str, timeout_ms: int, body: bytes = b"{}", **headers: str) -> bytes:
    return message("POST", path, body, X_Request_ID=job, X_Timeout_Ms=str(timeout_ms), **headers)


async def send_job(
    case: Case, port: int, job: str, path: str, timeout_ms: int, body: bytes = b"{}", patience: float = 1.0
) -> tuple[int, bytes, float]:
    """Sends one job on a new connection, as a client does. Returns its status (0: closed with no answer, -1:
    none by ``patience`` seconds after its time), body, and the seconds that it took."""
    began = case.now()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    status, answer = 0, b""
    try:
        writer.write(job_message(job, path, timeout_ms, body))
        await writer.drain()
        began = case.now()
        first, _headers, answer = await asyncio.wait_for(read_message(reader), timeout_ms / 1000 + patience)
        status = int(first.split(" ")[1])
    except TimeoutError:
        status = -1
    except (EOFError, OSError):
        status = 0
    finally:
        writer.close()
    case.note(f"client: {job} answered {status} after {case.now() - began:.3f} s")
    return status, answer, case.now() - began
