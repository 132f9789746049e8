"""The leader's handles of the child processes: hollow ones are controlled by pipes, real ones by signals."""

import os
import subprocess
import sys
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

from ironbarrow.lab.live.processes import Instance
from ironbarrow.lab.scale.layout import Layout
from ironbarrow.lab.scale.messages import Command, Report, Stop
from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Wait

_READ_BYTES = 1 << 20
_REPORT_TIMEOUT = 30 * SECOND
_EXIT_TIMEOUT_S = 3.0

ReportT = TypeVar("ReportT", bound=msgspec.Struct)


class ChildError(Exception):
    """A process of hollow dispatchers or workers has ended or does not answer."""


class Child(Generic[ReportT]):
    """A process of hollow dispatchers or workers. ``names``: those that it runs."""

    def __init__(
        self,
        loop: Loop,
        module: str,
        spec: msgspec.Struct,
        folder: Path,
        label: str,
        names: list[str],
        report: type[ReportT],
    ) -> None:
        self._loop, self.label, self.names = loop, label, names
        self._decoder = msgspec.json.Decoder(report)
        self._buffer = bytearray()
        path = folder / f"{label}.json"
        path.write_bytes(msgspec.json.encode(spec))
        with (folder / f"{label}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, str(path)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=Path(__file__).resolve().parents[3],
                env={"PATH": os.environ.get("PATH", ""), "PYTHONDONTWRITEBYTECODE": "1"},
            )
        assert self._process.stdin is not None and self._process.stdout is not None
        self._input, self._output = self._process.stdin, self._process.stdout
        os.set_blocking(self._output.fileno(), False)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def send(self, command: Command) -> None:
        """Sends a command; raises ChildError if the process has ended."""
        try:
            self._input.write(msgspec.json.encode(command) + b"\n")
            self._input.flush()
        except OSError as error:
            raise ChildError(f"{self.label} has ended: {error}; see its log") from None

    def report(self) -> Coroutine[ReportT]:
        """Requests and returns the counts since the last report; raises ChildError if there is no answer in
        30 s."""
        self.send(Report())
        until = self._loop.now() + _REPORT_TIMEOUT
        while b"\n" not in self._buffer:
            if not (yield Wait(self._output.fileno(), READ, until)):
                raise ChildError(f"{self.label} sent no report within 30 s")
            try:
                data = os.read(self._output.fileno(), _READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                raise ChildError(f"{self.label} has ended; see its log")
            self._buffer += data
        line, _, rest = bytes(self._buffer).partition(b"\n")
        self._buffer = bytearray(rest)
        return self._decoder.decode(line)

    def close(self) -> None:
        """Ends the process and waits for it; kills it after 3 s."""
        try:
            self.send(Stop())
            self._process.wait(_EXIT_TIMEOUT_S)
        except (ChildError, subprocess.TimeoutExpired):
            self._process.kill()
            self._process.wait()
        for pipe in (self._input, self._output):
            try:
                pipe.close()
            except OSError:
                continue


class RealDispatcher(Instance):
    """A ``serve`` process with a fleet file and the layout's settings, in which teams are tenants."""

    layout: Layout

    def _config(self) -> dict[str, Any]:
        return {**super()._config(), "settings": self.layout.settings(self.number)}
