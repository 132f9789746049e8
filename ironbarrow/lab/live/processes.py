"""Dispatcher processes, started as the deployment page says: limits, configuration file, environment."""

import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.faults.rules import PLAN_VARIABLE
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.settings import settings_object
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address

_READY_POLL_INTERVAL = 20 * MS
_EXIT_POLL_INTERVAL = 10 * MS
_EXCERPT_LINES = 10
_MAX_LINE_LENGTH = 500  # of a log line in an excerpt, in characters


class DiscoverySource(Protocol):
    """The discovery agent that serves a dispatcher, as far as the dispatcher's process depends on it."""

    address: Address

    def known(self) -> dict[str, object]:
        """The current list, in the discovery service's format."""

    def move(self) -> Address:
        """Listens at another port from now on; returns the new address."""


@dataclass(slots=True)
class Program:
    """How to start the dispatcher under test: command, working folder and environment."""

    command: list[str]
    folder: Path
    environment: dict[str, str] = field(
        default_factory=dict
    )  # in addition to each dispatcher's own variables

    @classmethod
    def own(cls) -> "Program":
        """The program of this checkout."""
        return cls.in_folder(Path(__file__).resolve().parents[3])

    @classmethod
    def in_folder(cls, folder: Path) -> "Program":
        """The program whose packages are in ``folder``."""
        return cls([sys.executable, "-m", "ironbarrow", "serve"], folder)

    @classmethod
    def with_faults(cls, plan: str) -> "Program":
        """The program of this checkout with failing system calls. ``plan``: JSON, see ``lab.faults``."""
        own = cls.own()
        command = [sys.executable, "-m", "ironbarrow.cli.serve_with_faults"]
        return cls(command, own.folder, {PLAN_VARIABLE: plan})


class Instance:
    """One dispatcher, over all its incarnations; at most one process runs at a time."""

    def __init__(
        self,
        loop: Loop,
        world: World,
        number: int,
        address: Address,
        agent: DiscoverySource,
        folder: Path,
        program: Program,
        seed: int,
        fleet_file: str | None = None,
    ) -> None:
        """``fleet_file``: the text of the dispatcher's fleet file, if it shares a fleet."""
        self._loop, self._world, self.number, self.address = loop, world, number, address
        self._agent, self._folder, self.program, self._seed = agent, folder, program, seed
        self._fleet_file = fleet_file
        self._process: subprocess.Popen[bytes] | None = None
        self.admin_address: Address | None = None  # with one, a successor may take its jobs over
        self.fault_point = ""  # where the next incarnation ends by itself: "POINT:N" (BALANCER_FAULT)
        self.fault_once = False  # only if no other dispatcher has ended at the point before
        self._starts = 0
        self._end_expected = False  # by the laboratory; any other end is a crash
        self._client = HttpClient(loop, address)
        self.startup_times: list[int] = []  # from the start of a process until it is ready, ns
        self.end_times: list[int] = []  # when each process ended, ns
        self.peak_kb = 0  # the largest resident set of any of its processes, KiB
        self.crashes = 0
        # Called with ``number`` when a process has become ready, and when it has ended.
        self.on_ready: Callable[[int], None] = lambda number: None
        self.on_end: Callable[[int], None] = lambda number: None

    @property
    def config_path(self) -> Path:
        return self._folder / f"d{self.number}.json"

    @property
    def log_path(self) -> Path:
        return self._folder / f"d{self.number}.log"

    def _config(self) -> dict[str, Any]:
        settings = self._world.dispatchers
        routes = {}
        if settings.routes:
            path = self._folder / f"d{self.number}.routes.toml"
            _replace_text(path, settings.routes)
            routes["routes"] = str(path)
        return {
            **routes,
            "name": f"d{self.number}",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self._agent.address),
            "seed": f"{self._seed * 1000 + self._starts:x}",
            "limits": {"cores": 1.0, "memory_mb": settings.memory_mb, "sockets": settings.sockets},
            "known": self._agent.known(),
            "settings": settings_object(self._world, self.number),
        }

    def start(self) -> None:
        """Writes the configuration and starts a process."""
        self._starts += 1
        self._end_expected = False
        self._write_config()
        max_sockets = self._world.dispatchers.sockets

        def limit_sockets() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_sockets, max_sockets))

        environment = {
            **self.program.environment,
            "PATH": os.environ.get("PATH", ""),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BALANCER_NAME": f"d{self.number}",
            "BALANCER_LISTEN": "{}:{}".format(*self.address),
            "BALANCER_DISCOVERY": "{}:{}".format(*self._agent.address),
            "BALANCER_CONFIG": str(self.config_path),
        }
        if self.admin_address is not None:
            environment["BALANCER_ADMIN"] = "{}:{}".format(*self.admin_address)
            environment["TMPDIR"] = str(self._folder)
        if self._fleet_file is not None:
            path = self._folder / f"d{self.number}.fleet.toml"
            _replace_text(path, self._fleet_file)
            environment["BALANCER_FLEET"] = str(path)
        if self.fault_point:
            environment["BALANCER_FAULT"], self.fault_point = self.fault_point, ""
            if self.fault_once:
                environment["BALANCER_FAULT_ONCE"] = str(self._folder / "fault-once")
            self._end_expected = True
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self.program.command,
                cwd=self.program.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=limit_sockets,
            )
        self._loop.spawn(self._watch(self._process))

    def make_successor(self, admin_address: Address) -> "Instance":
        """Another instance of the same dispatcher, which can be started beside this one."""
        successor = Instance(
            self._loop,
            self._world,
            self.number,
            self.address,
            self._agent,
            self._folder,
            self.program,
            self._seed,
        )
        successor._starts = self._starts
        successor.admin_address = admin_address
        return successor

    def _write_config(self) -> None:
        _replace_text(self.config_path, json.dumps(self._config()))

    def _watch(self, process: subprocess.Popen[bytes]) -> Coroutine[None]:
        """Polls a process until it is ready, and then until it ends; reports both."""
        started_at = self._loop.now()
        client, path = self._client, "/-/ready"
        if self.admin_address is not None:
            # at the clients' address its predecessor may answer
            client, path = HttpClient(self._loop, self.admin_address), "/ops/readiness"
        while process.poll() is None:
            try:
                until = self._loop.now() + SECOND
                answer = yield from client.exchange("GET", path, [], b"", until)
                if answer.status == 200:
                    self.startup_times.append(self._loop.now() - started_at)
                    self.on_ready(self.number)
                    break
            except ConnectionEndedError:
                pass
            yield from sleep(self._loop.now() + _READY_POLL_INTERVAL)
        polls = 0
        while process.poll() is None:
            if polls % 20 == 0:
                self._record_peak_memory(process.pid)
            polls += 1
            yield from sleep(self._loop.now() + _EXIT_POLL_INTERVAL)
        if not self._end_expected:
            self.crashes += 1
        self._client.close()
        self.end_times.append(self._loop.now())
        self.on_end(self.number)

    def _record_peak_memory(self, pid: int) -> None:
        try:
            for line in Path(f"/proc/{pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_kb = max(self.peak_kb, int(line.split()[1]))
        except (OSError, ValueError):
            return

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the running process, if there is one."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self._end_expected = True
        self.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    @property
    def cpu_s(self) -> float:
        """User and system time of the running process, s."""
        fields = self._stat()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def is_stopped(self) -> bool:
        """Whether the running process is stopped, as by SIGSTOP."""
        return self.pid is not None and self._stat()[0] == "T"

    def _stat(self) -> list[str]:
        """The fields of /proc/PID/stat after the command name."""
        return Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()

    @property
    def pid(self) -> int | None:
        """The id of the running process; None if none runs."""
        if self._process is None or self._process.poll() is not None:
            return None
        return self._process.pid

    @property
    def status(self) -> int | None:
        """The exit status of the last process; None while it runs, or before the first start."""
        return None if self._process is None else self._process.poll()

    @property
    def log_excerpt(self) -> str:
        """The exit status and the last lines of the log, for error messages."""
        ended = "runs" if self.status is None else f"exit status {self.status}"
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        lines = [f"  {line[:_MAX_LINE_LENGTH]}" for line in text.splitlines()[-_EXCERPT_LINES:]]
        return "\n".join([f"d{self.number}, {ended}, log ends with:", *(lines or ["  (nothing)"])])

    def stop(self) -> None:
        """Stops the process with SIGTERM, and with SIGKILL if it still runs after the stop time."""
        self._end_expected = True
        process = self._process
        self.send_signal(signal.SIGTERM)
        stop_time = self._world.dispatchers.stop_time
        self._loop.call_at(self._loop.now() + stop_time, self._kill_if_running, process)

    def _kill_if_running(self, process: subprocess.Popen[bytes] | None) -> None:
        if process is not None and process.poll() is None:
            process.kill()

    def reload(self) -> None:
        """Moves the discovery agent, replaces the configuration file, and sends SIGHUP."""
        self._agent.move()
        self._write_config()
        self.send_signal(signal.SIGHUP)

    def close(self) -> None:
        """Kills the process and waits for its end."""
        self._end_expected = True
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()


def _replace_text(path: Path, text: str) -> None:
    """Replaces a file atomically. A dispatcher may read the file at any time."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(text)
    temporary.replace(path)
