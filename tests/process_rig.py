"""Real dispatcher processes at one address, with a cold worker and clients that always have jobs for it.

The discovery service does not answer: each process takes the worker from its configuration.
"""

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from heathway import slow_start
from tests.dispatcher_harness import MS, S
from tests.scenario import SETTINGS
from tests.test_config import ROOT

WINDOW = 1 * S  # a share may be used once within it
JOB_TIME = 150 * MS  # a job's time at the worker
BUDGET = 2 * S  # work that may be sent to the worker within a window
SHARE = slow_start.jobs_within(BUDGET, JOB_TIME)  # jobs
CLIENTS = 12
WORKER = "w1"
TIMEOUT_S = 30.0
_COLD_TIME = 120 * S
_RIG_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "requestClasses": [
        {"name": "book", "effect": "side_effect", "promise": JOB_TIME, "giveUp": 2 * S},
    ],
    "familyInfo": {"tellsStart": False, "classStretch": [8.0]},  # so that jobs may wait
    "report": {"how": "off"},
    "guarantees": {
        "answerSlack": 16 * MS,
        "drainGrace": 1 * S,
        "cold": _COLD_TIME,
        "startCapacity": 1.0,
        "fallMultiple": BUDGET / WINDOW,
        "tipAfter": WINDOW,
    },
}


@dataclass(frozen=True, slots=True)
class SentJob:
    """A job that a process decided to send to the worker."""

    at: int  # Unix time, ns
    process: int  # its pid


def most_within_window(sent: list[SentJob]) -> int:
    """The largest number of jobs sent within a window."""
    times = sorted(job.at for job in sent)
    return max((sum(at - WINDOW < other <= at for other in times) for at in times), default=0)


class _Worker(ThreadingHTTPServer):
    """Takes each job, and reports its end after ``JOB_TIME`` to the dispatcher's address."""

    daemon_threads = True

    def __init__(self, dispatcher: tuple[str, int]) -> None:
        super().__init__(("127.0.0.1", 0), _WorkerHandler)
        self.dispatcher = dispatcher

    def report_end(self, job_id: str) -> None:
        body = json.dumps({"id": job_id, "from": WORKER, "state": "done", "result": "out"})
        for _ in range(10):
            if exchange(self.dispatcher, "/callback", body) in (200, 204):
                return
            time.sleep(0.05)


class _WorkerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Worker

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        job_id = self.headers["X-Request-ID"]
        threading.Timer(JOB_TIME / S, self.server.report_end, [job_id]).start()
        self._answer(202)

    def do_DELETE(self) -> None:
        self._answer(204)

    def _answer(self, status: int) -> None:
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments: object) -> None:
        return


def exchange(address: tuple[str, int], path: str, body: str, **headers: str) -> int:
    """Posts a body on a new connection; returns the status, or 0 if the connection failed."""
    connection = http.client.HTTPConnection(*address, timeout=5)
    try:
        connection.request("POST", path, body, {name.replace("_", "-"): v for name, v in headers.items()})
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


@dataclass
class DispatcherProcess:
    """A running process and its log."""

    popen: "subprocess.Popen[bytes]"
    log: Path

    @property
    def pid(self) -> int:
        return self.popen.pid

    def entries(self, event: str) -> list[dict[str, Any]]:
        """The log entries of that event."""
        lines = self.log.read_text().splitlines()
        return [entry for line in lines if (entry := json.loads(line))["event"] == event]

    def sent(self) -> list[SentJob]:
        return [SentJob(entry["at"], self.pid) for entry in self.entries("done") if entry["what"] == "Send"]

    def sent_after(self, when: int) -> list[SentJob]:
        return [job for job in self.sent() if job.at > when]

    def send_signal(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)


@dataclass
class ProcessRig:
    """Processes of one dispatcher, which share an address and a folder."""

    folder: Path
    processes: list[DispatcherProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.address = ("127.0.0.1", _free_port())
        self._worker = _Worker(self.address)
        self._worker_started_at = time.time_ns() - S
        self._ended = threading.Event()
        self._threads = [threading.Thread(target=self._worker.serve_forever, daemon=True)]
        self._threads += [threading.Thread(target=self._send_jobs, args=[n]) for n in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _send_jobs(self, client: int) -> None:
        job = 0
        while not self._ended.is_set():
            job += 1
            job_id = f"c{client}-{job}"
            status = exchange(self.address, "/book/x", "in", X_Request_ID=job_id, X_Timeout_Ms="2000")
            if status != 200:
                self._ended.wait(0.02)

    def start(self, program: Path = ROOT) -> DispatcherProcess:
        """Starts a process and waits until it serves. ``program``: the folder of its packages."""
        number = len(self.processes)
        config = self.folder / f"config-{number}.json"
        config.write_text(json.dumps(self._config()))
        log = self.folder / f"log-{number}"
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.folder),
            "BALANCER_CONFIG": str(config),
            "BALANCER_ADMIN": "127.0.0.1:0",
            "BALANCER_TRACE": "1",
        }
        command = [sys.executable, "-m", "ironbarrow", "serve"]
        with log.open("wb") as output:
            popen = subprocess.Popen(command, cwd=program, env=environment, stderr=output)
        process = DispatcherProcess(popen, log)
        self.processes.append(process)
        self.wait_until(lambda: process.entries("serving") != [])
        return process

    def _config(self) -> dict[str, Any]:
        entry = {
            "name": WORKER,
            "address": "{}:{}".format(*self._worker.server_address),
            "zone": "a",
            "status": "up",
            "since_ms": self._worker_started_at // MS,
        }
        return {
            "name": "n1",
            "listen": "{}:{}".format(*self.address),
            "discovery": "127.0.0.1:1",
            "limits": {"sockets": 256, "memory_mb": 96},
            "known": {"index": 1, "snapshot": True, "endpoints": [entry]},
            "settings": _RIG_SETTINGS,
        }

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; fails after ``TIMEOUT_S``."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, [process.log.read_text() for process in self.processes]
            time.sleep(0.02)

    def run_for(self, duration: int) -> None:
        """Lets ``duration`` ns pass."""
        time.sleep(duration / S)

    def wait_for_end(self, process: DispatcherProcess) -> int:
        """Waits for the end of a process; returns the time at which it was noticed, Unix ns."""
        process.popen.wait(TIMEOUT_S)
        return time.time_ns()

    def sent(self) -> list[SentJob]:
        """What all processes sent."""
        return [job for process in self.processes for job in process.sent()]

    def close(self) -> None:
        self._ended.set()
        for process in self.processes:
            process.popen.kill()
            process.popen.wait()
        self._worker.shutdown()
        for thread in self._threads:
            thread.join()
        self._worker.server_close()


def _free_port() -> int:
    with ThreadingHTTPServer(("127.0.0.1", 0), BaseHTTPRequestHandler) as server:
        return server.server_address[1]
