"""Hosts many dispatchers for the simulator, over its line protocol on standard input and output.

Each input line becomes an event and each action an output line; no decisions are made here. The protocol's
names appear only in this module, those of a dispatcher's settings object only in ``settings.py``.

Lines have tab-separated fields; ``-`` stands for an absent value. Times are in ns.
"""

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

from heathway import api
from heathway.logic import Dispatcher
from heathway.settings import ReportReader, read_settings

_LIST_KINDS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.FULL,
    "warm_copy": api.ListKind.LAST_KNOWN,
    "lost": api.ListKind.LOST,
}
_WORKER_STATES = {"U": api.WorkerState.UP, "L": api.WorkerState.DRAINING, "D": api.WorkerState.GONE}
_REPEAT_MARK = 2  # in the bits of the field ``marks``


class WireError(Exception):
    """Malformed input. The message names the line and, where there is one, the field."""


class _Line:
    """One input line, read field by field from left to right. Errors name the line and the field."""

    __slots__ = ("line_number", "parts", "position")

    def __init__(self, line_number: int, text: str, limit: int = -1) -> None:
        """``limit``: the maximum number of splits, as in ``str.split``."""
        self.line_number = line_number
        self.parts = text.split("\t", limit)
        self.position = 0

    def error(self, field: str, problem: str) -> WireError:
        return WireError(f"line {self.line_number}: {self.parts[0]}: field {field}: {problem}")

    def text(self, field: str) -> str | None:
        """The next field, or None if it is absent."""
        self.position += 1
        if self.position >= len(self.parts):
            raise self.error(field, "missing")
        value = self.parts[self.position]
        return None if value == "-" else value

    def required_text(self, field: str) -> str:
        """The next field, which must be present and not empty."""
        value = self.text(field)
        if not value:
            raise self.error(field, "absent")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """The next field as an integer. Without a default it must be present."""
        value = self.text(field)
        if value is None:
            if default is None:
                raise self.error(field, "absent")
            return default
        try:
            return int(value)
        except ValueError:
            raise self.error(field, f"not an integer: {value[:40]!r}") from None

    def number(self, field: str, default: float) -> float:
        """The next field as a floating-point number."""
        value = self.text(field)
        try:
            return default if value is None else float(value)
        except ValueError:
            raise self.error(field, f"not a number: {value[:40] if value else ''!r}") from None

    def flag(self, field: str) -> bool:
        """The next field, which must be 0 or 1."""
        value = self.text(field)
        if value not in ("0", "1"):
            raise self.error(field, f"not 0 or 1: {value!r}")
        return value == "1"

    def outcome(self, field: str) -> api.Outcome:
        """The next field, which must be the code of an ``api.Outcome``."""
        code = self.integer(field)
        try:
            return api.Outcome(code)
        except ValueError:
            raise self.error(field, f"unknown outcome {code}") from None


class Instance:
    """One hosted dispatcher, with the reader of load reports that its settings configure."""

    __slots__ = ("dispatcher", "reports")

    def __init__(self, conf: dict[str, Any], seed: int) -> None:
        self.reports = ReportReader(conf)
        self.dispatcher = Dispatcher(read_settings(conf), seed)

    def report(self, line: _Line, field: str) -> api.LoadReport | None:
        """The next field as a load report, ``name:value`` pairs with commas between; None if it is absent."""
        text = line.text(field)
        if text is None:
            return None
        pairs = []
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            if not colon:
                raise line.error(field, f"not a name:value pair: {pair[:40]!r}")
            pairs.append((name, value))
        try:
            return self.reports.read(pairs)
        except ValueError as error:
            raise line.error(field, str(error)) from None


class Host:
    """Reads batches of lines, passes each dispatcher its events and writes the resulting actions.

    A batch goes from a ``round`` line to an ``end`` line and is answered by actions and a ``next`` line.
    """

    def __init__(self, source: BinaryIO, out: BinaryIO) -> None:
        self._source = source
        self._out = out
        self._line_number = 0
        self._instances: dict[int, Instance] = {}
        self._output: list[str] = []
        self._pending: dict[int, list[api.Event]] = {}
        self._now = 0

    def run(self) -> None:
        """Answers batches until the input ends. Raises a WireError on malformed input."""
        for _ in self._batches():
            self._output.append("next\n")
            self._out.write("".join(self._output).encode())
            self._out.flush()
            self._output.clear()

    def _batches(self) -> Iterator[None]:
        while (text := self._read_line()) is not None:
            line = _Line(self._line_number, text)
            if line.parts[0] != "round":
                raise WireError(f"line {self._line_number}: expected round, found {line.parts[0][:40]!r}")
            self._now = line.integer("now")
            while True:
                text = self._read_line()
                if text is None:
                    raise WireError(f"line {self._line_number}: the input ended inside a batch")
                if text == "end":
                    break
                self._process_line(text)
            for dispatcher_id in list(self._pending):
                self._handle_pending(dispatcher_id)
            yield

    def _read_line(self) -> str | None:
        raw = self._source.readline()
        if not raw:
            return None
        self._line_number += 1
        try:
            return raw.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {self._line_number}: not UTF-8 text") from None

    def _process_line(self, text: str) -> None:
        name = text.partition("\t")[0]
        line = _Line(self._line_number, text, 3 if name == "create" else -1)
        dispatcher_id = line.integer("who") if name in _READERS or name in ("create", "killed") else 0
        if name == "create":
            self._create_dispatcher(line, dispatcher_id)
        elif name == "killed":
            self._pending.pop(dispatcher_id, None)
            self._instances.pop(dispatcher_id, None)
        elif name in _READERS:
            instance = self._instances.get(dispatcher_id)
            if name == "discovery":
                event: api.Event = self._read_worker_list(line)
            else:
                event = _READERS[name](line, instance)
            if instance is not None:
                self._pending.setdefault(dispatcher_id, []).append(event)
        else:
            raise WireError(f"line {self._line_number}: unknown message {name[:40]!r}")

    def _create_dispatcher(self, line: _Line, dispatcher_id: int) -> None:
        seed = line.integer("rngSeed")
        text = line.required_text("conf")
        try:
            conf = json.loads(text)
        except ValueError:
            raise line.error("conf", "not JSON") from None
        if not isinstance(conf, dict):
            raise line.error("conf", "not an object")
        self._pending[dispatcher_id] = []
        try:
            self._instances[dispatcher_id] = Instance(conf, seed)
        except Exception as error:  # noqa: BLE001 - the simulator ends its run and shows this error
            self._instances.pop(dispatcher_id, None)
            del self._pending[dispatcher_id]
            self._output.append(_format_error(dispatcher_id, error))

    def _read_worker_list(self, line: _Line) -> api.WorkerList:
        how = line.required_text("how")
        if how not in _LIST_KINDS:
            raise line.error("how", f"unknown: {how[:40]!r}")
        version = line.integer("index", 0)
        entries = []
        for _ in range(line.integer("elements", 0)):
            text = self._read_line()
            if text is None:
                raise WireError(f"line {self._line_number}: the input ended inside a list")
            row = _Line(self._line_number, text)
            if row.parts[0] != "row":
                raise WireError(f"line {self._line_number}: expected row, found {row.parts[0][:40]!r}")
            entries.append(_read_worker_entry(row))
        return api.WorkerList(_LIST_KINDS[how], tuple(entries), version)

    def _handle_pending(self, dispatcher_id: int) -> None:
        events = self._pending.pop(dispatcher_id)
        if not events:
            return
        try:
            actions = self._instances[dispatcher_id].dispatcher.handle(self._now, events)
        except Exception as error:  # noqa: BLE001 - the simulator ends its run and shows this error
            self._output.append(_format_error(dispatcher_id, error))
            return
        for action in actions:
            self._output.append(_WRITERS[type(action)](dispatcher_id, action))


def _format_error(dispatcher_id: int, error: Exception) -> str:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    location = f" (line {traceback.tb_lineno})" if traceback is not None else ""
    return f"broken\t{dispatcher_id}\t{text[:300]}{location}\n"


def _read_worker_entry(row: _Line) -> api.WorkerEntry:
    weight = row.number("weight", 1.0)
    worker = row.required_text("worker")
    cell = row.text("cohort")
    zone = row.text("site") or ""
    started_at = row.integer("since", 0)
    kind = row.text("shape") or ""
    state = row.text("readiness") or ""
    if state not in _WORKER_STATES:
        raise row.error("readiness", f"unknown: {state[:40]!r}")
    try:
        cell_index = None if cell is None else int(cell)
    except ValueError:
        raise row.error("cohort", "not an integer") from None
    return api.WorkerEntry(worker, zone, cell_index, kind, weight, started_at, _WORKER_STATES[state])


def _read_arrival(line: _Line, _: Instance | None) -> api.Event:
    job = line.integer("ref")
    job_class = line.required_text("lane")
    tenant = line.text("account")
    key = line.text("routeKey")
    try:
        job_key = None if key is None else int(key)
    except ValueError:
        raise line.error("routeKey", "not an integer") from None
    time_left = line.integer("left")
    work_hint = line.integer("sizeHint", 0)
    slots = line.number("slots", 1.0)
    memory = line.number("memory", 0.0)
    marks = line.integer("marks", 0)
    return api.JobArrived(
        job,
        job_class,
        None if tenant == "0" else tenant,
        job_key,
        time_left,
        slots,
        memory,
        work_hint if marks & 1 else None,
        bool(marks & _REPEAT_MARK),
    )


def _read_alarm(line: _Line, _: Instance | None) -> api.Event:
    return api.TimerFired(line.required_text("handle"))


def _read_probe(line: _Line, instance: Instance | None) -> api.Event:
    worker = line.required_text("worker")
    outcome = line.outcome("rc")
    elapsed = line.integer("rtt", 0)
    return api.ProbeEnded(worker, outcome, elapsed, _read_report(line, instance))


def _read_accepted(line: _Line, _: Instance | None) -> api.Event:
    return api.StreamStarted(
        line.integer("ref"), line.integer("copy"), line.required_text("worker"), line.integer("rtt", 0)
    )


def _read_message(line: _Line, _: Instance | None) -> api.Event:
    sender = line.integer("by")
    try:
        return api.PeerMessage(sender, base64.b64decode(line.text("payload") or "", validate=True))
    except (binascii.Error, ValueError):
        raise line.error("payload", "not base64") from None


def _read_withdrawn(line: _Line, _: Instance | None) -> api.Event:
    return api.JobWithdrawn(line.integer("ref"))


def _read_note(line: _Line, _: Instance | None) -> api.Event:
    job, attempt, worker = line.integer("ref"), line.integer("copy"), line.required_text("worker")
    kind = line.integer("kind")
    if kind not in (1, 2):
        raise line.error("kind", f"unknown: {kind}")
    return api.AttemptNote(job, attempt, worker, api.NoteKind(kind), line.number("value", 0.0))


def _read_reply(line: _Line, instance: Instance | None) -> api.Event:
    job, attempt, worker = line.integer("ref"), line.integer("copy"), line.required_text("worker")
    last = line.flag("last")
    line.text("note")
    elapsed = line.integer("rtt", 0)
    outcome = line.outcome("rc")
    return api.AttemptEnded(job, attempt, worker, outcome, last, elapsed, _read_report(line, instance))


def _read_report(line: _Line, instance: Instance | None) -> api.LoadReport | None:
    return None if instance is None else instance.report(line, "stats")


def _unreachable_reader(line: _Line, _: Instance | None) -> api.Event:
    raise AssertionError("the host reads worker lists itself, as they have several lines")


_READERS: dict[str, Callable[[_Line, Instance | None], api.Event]] = {
    "discovery": _unreachable_reader,
    "arrival": _read_arrival,
    "alarm": _read_alarm,
    "probe_result": _read_probe,
    "accepted": _read_accepted,
    "message": _read_message,
    "withdrawn": _read_withdrawn,
    "note": _read_note,
    "reply": _read_reply,
}


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode() or "-"


_WRITERS: dict[type, Callable[[int, Any], str]] = {
    api.Send: lambda dispatcher_id, action: (
        f"transmit\t{dispatcher_id}\t{action.job}\t{action.timeout}\t{action.worker}\n"
    ),
    api.Refuse: lambda dispatcher_id, action: (
        f"reject\t{dispatcher_id}\t{action.job}\t{action.retry_after}\n"
    ),
    api.Fail: lambda dispatcher_id, action: f"finish_error\t{dispatcher_id}\t{action.job}\n",
    api.CancelAttempt: lambda dispatcher_id, action: (
        f"drop_attempt\t{dispatcher_id}\t{action.job}\t{action.attempt}\n"
    ),
    api.Probe: lambda dispatcher_id, action: f"health_check\t{dispatcher_id}\t{action.worker}\n",
    api.CloseIdle: lambda dispatcher_id, action: f"drop_conns\t{dispatcher_id}\t{action.worker}\n",
    api.Subscribe: lambda dispatcher_id, action: f"follow\t{dispatcher_id}\t{int(action.active)}\n",
    api.FetchList: lambda dispatcher_id, action: f"lookup\t{dispatcher_id}\n",
    api.Tell: lambda dispatcher_id, action: (
        f"share\t{dispatcher_id}\t{-1 if action.to is None else action.to}\t{_base64(action.payload)}\n"
    ),
    api.SetTimer: lambda dispatcher_id, action: (
        f"notify_me\t{dispatcher_id}\t{action.delay}\t{action.name}\n"
    ),
    api.Log: lambda dispatcher_id, action: f"log\t{dispatcher_id}\t{' '.join(action.text.split())}\n",
}


def main() -> int:
    """Runs the host on standard input and output. Returns the exit status: 1 on malformed input."""
    try:
        Host(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as error:
        print(f"heathway: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
