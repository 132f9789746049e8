"""Dispatchers as processes, started as the deployment page says: limits, configuration file, environment."""

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

_READY_EVERY = 20 * MS
_ALIVE_EVERY = 10 * MS
_LAST_LINES = 10
_LINE_LENGTH = 500  # of each, at most


class Agent(Protocol):
    """Discovery's agent beside a dispatcher, as far as its process depends on it."""

    address: Address

    def known(self) -> dict[str, object]:
        """The list as it has it now, in discovery's form."""

    def move(self) -> Address:
        """Listens at another port from now on."""


@dataclass(slots=True)
class Program:
    """The command and folder of the dispatcher that is tried."""

    command: list[str]
    folder: Path
    environment: dict[str, str] = field(default_factory=dict)  # beside what each dispatcher is told

    @classmethod
    def own(cls) -> "Program":
        """This very program."""
        return cls.in_folder(Path(__file__).resolve().parents[3])

    @classmethod
    def in_folder(cls, folder: Path) -> "Program":
        """The program whose packages lie in a folder."""
        return cls([sys.executable, "-m", "ironbarrow", "serve"], folder)

    @classmethod
    def with_faults(cls, plan: str) -> "Program":
        """This very program with system calls that fail by a plan, as JSON (``ironbarrow.lab.faults``)."""
        own = cls.own()
        command = [sys.executable, "-m", "ironbarrow.cli.serve_with_faults"]
        return cls(command, own.folder, {PLAN_VARIABLE: plan})


class Instance:
    """One dispatcher's process, over all its incarnations."""

    def __init__(
        self,
        loop: Loop,
        world: World,
        number: int,
        address: Address,
        agent: Agent,
        folder: Path,
        program: Program,
        seed: int,
        fleet_file: str | None = None,
    ) -> None:
        """``fleet_file``: the text of its fleet file, if it shares a fleet."""
        self._loop, self._world, self.number, self.address = loop, world, number, address
        self._agent, self._folder, self.program, self._seed = agent, folder, program, seed
        self._fleet_file = fleet_file
        self._process: subprocess.Popen[bytes] | None = None
        self.fault = ""  # a point at which its next incarnation ends by itself, "POINT:N"
        self.fault_once = False  # unless another has done so before
        self._starts = 0
        self._expected = False  # its end is wanted
        self._client = HttpClient(loop, address)
        self.ready_after: list[int] = []  # from start to ready, ns, one for each start
        self.ended_at: list[int] = []  # ns, one for each end
        self.peak_kb = 0
        self.crashes = 0
        self.on_ready: Callable[[int], None] = lambda number: None
        self.on_end: Callable[[int], None] = lambda number: None

    @property
    def config_path(self) -> Path:
        return self._folder / f"d{self.number}.json"

    @property
    def log_path(self) -> Path:
        return self._folder / f"d{self.number}.log"

    def _config(self) -> dict[str, Any]:
        rules = self._world.dispatchers
        routes = {}
        if rules.routes:
            path = self._folder / f"d{self.number}.routes.toml"
            _replace_text(path, rules.routes)
            routes["routes"] = str(path)
        return {
            **routes,
            "name": f"d{self.number}",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self._agent.address),
            "seed": f"{self._seed * 1000 + self._starts:x}",
            "limits": {"cores": 1.0, "memory_mb": rules.memory_mb, "sockets": rules.sockets},
            "known": self._agent.known(),
            "settings": settings_object(self._world, self.number),
        }

    def start(self) -> None:
        self._starts += 1
        self._expected = False
        self._write_config()
        most = self._world.dispatchers.sockets

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

        environment = {
            **self.program.environment,
            "PATH": os.environ.get("PATH", ""),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BALANCER_NAME": f"d{self.number}",
            "BALANCER_LISTEN": "{}:{}".format(*self.address),
            "BALANCER_DISCOVERY": "{}:{}".format(*self._agent.address),
            "BALANCER_CONFIG": str(self.config_path),
        }
        if self._fleet_file is not None:
            path = self._folder / f"d{self.number}.fleet.toml"
            _replace_text(path, self._fleet_file)
            environment["BALANCER_FLEET"] = str(path)
        if self.fault:
            environment["BALANCER_FAULT"], self.fault = self.fault, ""
            if self.fault_once:
                environment["BALANCER_FAULT_ONCE"] = str(self._folder / "fault-once")
            self._expected = True
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self.program.command,
                cwd=self.program.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=limit,
            )
        self._loop.spawn(self._watch(self._process))

    def _write_config(self) -> None:
        _replace_text(self.config_path, json.dumps(self._config()))

    def _watch(self, process: subprocess.Popen[bytes]) -> Coroutine[None]:
        begun = self._loop.now()
        while process.poll() is None:
            try:
                until = self._loop.now() + SECOND
                answer = yield from self._client.exchange("GET", "/-/ready", [], b"", until)
                if answer.status == 200:
                    self.ready_after.append(self._loop.now() - begun)
                    self.on_ready(self.number)
                    break
            except ConnectionEndedError:
                pass
            yield from sleep(self._loop.now() + _READY_EVERY)
        turns = 0
        while process.poll() is None:
            if turns % 20 == 0:
                self._note_memory(process.pid)
            turns += 1
            yield from sleep(self._loop.now() + _ALIVE_EVERY)
        if not self._expected:
            self.crashes += 1
        self._client.close()
        self.ended_at.append(self._loop.now())
        self.on_end(self.number)

    def _note_memory(self, pid: int) -> None:
        try:
            for line in Path(f"/proc/{pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_kb = max(self.peak_kb, int(line.split()[1]))
        except (OSError, ValueError):
            return

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that runs now, if one does."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        self._expected = True
        self.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """SIGSTOP: it stands still where it is."""
        self.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.send_signal(signal.SIGCONT)

    @property
    def cpu_s(self) -> float:
        """User and system time of the process that runs now, s."""
        fields = self._stat()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def stands_still(self) -> bool:
        """Whether the process that runs now is stopped, as by SIGSTOP."""
        return self.pid is not None and self._stat()[0] == "T"

    def _stat(self) -> list[str]:
        """The fields of /proc/PID/stat behind the command."""
        return Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()

    @property
    def pid(self) -> int | None:
        """Of the process that runs now."""
        if self._process is None or self._process.poll() is not None:
            return None
        return self._process.pid

    @property
    def status(self) -> int | None:
        """The exit status of the last process; None while it runs."""
        return None if self._process is None else self._process.poll()

    @property
    def last_words(self) -> str:
        """Its exit status and the last lines of its log, for the message of a failure."""
        ended = "runs" if self.status is None else f"exit status {self.status}"
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        lines = [f"  {line[:_LINE_LENGTH]}" for line in text.splitlines()[-_LAST_LINES:]]
        return "\n".join([f"d{self.number}, {ended}, log ends with:", *(lines or ["  (nothing)"])])

    def stop(self) -> None:
        """SIGTERM; SIGKILL if it has not ended when its stop time is over."""
        self._expected = True
        process = self._process
        self.send_signal(signal.SIGTERM)
        stop_time = self._world.dispatchers.stop_time
        self._loop.call_at(self._loop.now() + stop_time, self._end, process)

    def _end(self, process: subprocess.Popen[bytes] | None) -> None:
        if process is not None and process.poll() is None:
            process.kill()

    def reload(self) -> None:
        """The discovery service moves, the file is replaced, and SIGHUP says so."""
        self._agent.move()
        self._write_config()
        self.send_signal(signal.SIGHUP)

    def close(self) -> None:
        """Ends it at once and waits for that."""
        self._expected = True
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()


def _replace_text(path: Path, text: str) -> None:
    """Replaces a file. Danger: a process that reads it meanwhile must find the old text or the new one."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_text(text)
    fresh.replace(path)
