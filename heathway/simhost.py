"""Hosts many dispatchers behind the simulator's wire, on standard input and output.

The names of the wire's lines appear only here, those of its start-up object in
``settings.py``. No decisions: each line becomes an event, each action a line.
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

_LISTS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.FULL,
    "warm_copy": api.ListKind.LAST_KNOWN,
    "lost": api.ListKind.LOST,
}
_STATES = {"U": api.WorkerState.UP, "L": api.WorkerState.DRAINING, "D": api.WorkerState.GONE}
_REPEAT_MARK = 2


class WireError(Exception):
    """Text on the wire that is not well formed."""


class _Line:
    """One line of the wire, read value by value; errors name the line and the field."""

    __slots__ = ("at", "number", "parts")

    def __init__(self, number: int, text: str, limit: int = -1) -> None:
        self.number = number
        self.parts = text.split("\t", limit)
        self.at = 0

    def error(self, field: str, trouble: str) -> WireError:
        return WireError(f"line {self.number}: {self.parts[0]}: field {field}: {trouble}")

    def text(self, field: str) -> str | None:
        self.at += 1
        if self.at >= len(self.parts):
            raise self.error(field, "missing")
        value = self.parts[self.at]
        return None if value == "-" else value

    def word(self, field: str) -> str:
        value = self.text(field)
        if not value:
            raise self.error(field, "absent")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        value = self.text(field)
        if value is None:
            if default is None:
                raise self.error(field, "absent")
            return default
        try:
            return int(value)
        except ValueError:
            raise self.error(field, f"not a whole number: {value[:40]!r}") from None

    def number_(self, field: str, default: float) -> float:
        value = self.text(field)
        try:
            return default if value is None else float(value)
        except ValueError:
            raise self.error(field, f"not a number: {value[:40] if value else ''!r}") from None

    def flag(self, field: str) -> bool:
        value = self.text(field)
        if value not in ("0", "1"):
            raise self.error(field, f"not 0 or 1: {value!r}")
        return value == "1"

    def outcome(self, field: str) -> api.Outcome:
        code = self.integer(field)
        try:
            return api.Outcome(code)
        except ValueError:
            raise self.error(field, f"unknown outcome {code}") from None


class Instance:
    """One dispatcher as the wire sees it, with the reading of load reports that its settings name."""

    __slots__ = ("dispatcher", "reports")

    def __init__(self, conf: dict[str, Any], seed: int) -> None:
        self.reports = ReportReader(conf)
        self.dispatcher = Dispatcher(read_settings(conf), seed)

    def report(self, line: _Line, field: str) -> api.LoadReport | None:
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
    """Reads batches, hands each dispatcher its events and writes the actions."""

    def __init__(self, source: BinaryIO, out: BinaryIO) -> None:
        self._source = source
        self._out = out
        self._number = 0
        self._instances: dict[int, Instance] = {}
        self._replies: list[str] = []
        self._pending: dict[int, list[api.Event]] = {}
        self._now = 0

    def run(self) -> None:
        """Answers batches until the input ends."""
        for _ in self._batches():
            self._replies.append("next\n")
            self._out.write("".join(self._replies).encode())
            self._out.flush()
            self._replies.clear()

    def _batches(self) -> Iterator[None]:
        while (text := self._read()) is not None:
            line = _Line(self._number, text)
            if line.parts[0] != "round":
                raise WireError(f"line {self._number}: expected round, found {line.parts[0][:40]!r}")
            self._now = line.integer("now")
            while True:
                text = self._read()
                if text is None:
                    raise WireError(f"line {self._number}: the input ended inside a batch")
                if text == "end":
                    break
                self._take(text)
            for who in list(self._pending):
                self._flush(who)
            yield

    def _read(self) -> str | None:
        raw = self._source.readline()
        if not raw:
            return None
        self._number += 1
        try:
            return raw.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise WireError(f"line {self._number}: not UTF-8 text") from None

    def _take(self, text: str) -> None:
        name = text.partition("\t")[0]
        line = _Line(self._number, text, 3 if name == "create" else -1)
        who = line.integer("who") if name in _READERS or name in ("create", "killed") else 0
        if name == "create":
            self._create(line, who)
        elif name == "killed":
            self._pending.pop(who, None)
            self._instances.pop(who, None)
        elif name in _READERS:
            instance = self._instances.get(who)
            if name == "discovery":
                event: api.Event = self._worker_list(line)
            else:
                event = _READERS[name](line, instance)
            if instance is not None:
                self._pending.setdefault(who, []).append(event)
        else:
            raise WireError(f"line {self._number}: unknown message {name[:40]!r}")

    def _create(self, line: _Line, who: int) -> None:
        seed = line.integer("rngSeed")
        text = line.word("conf")
        try:
            conf = json.loads(text)
        except ValueError:
            raise line.error("conf", "not JSON") from None
        if not isinstance(conf, dict):
            raise line.error("conf", "not an object")
        self._pending[who] = []
        try:
            self._instances[who] = Instance(conf, seed)
        except Exception as error:  # noqa: BLE001 - whatever fails in a dispatcher ends the day with its text
            self._instances.pop(who, None)
            del self._pending[who]
            self._replies.append(_broken(who, error))

    def _worker_list(self, line: _Line) -> api.WorkerList:
        how = line.word("how")
        if how not in _LISTS:
            raise line.error("how", f"unknown: {how[:40]!r}")
        version = line.integer("index", 0)
        entries = []
        for _ in range(line.integer("elements", 0)):
            text = self._read()
            if text is None:
                raise WireError(f"line {self._number}: the input ended inside a list")
            row = _Line(self._number, text)
            if row.parts[0] != "row":
                raise WireError(f"line {self._number}: expected row, found {row.parts[0][:40]!r}")
            entries.append(_entry(row))
        return api.WorkerList(_LISTS[how], tuple(entries), version)

    def _flush(self, who: int) -> None:
        events = self._pending.pop(who)
        if not events:
            return
        try:
            actions = self._instances[who].dispatcher.handle(self._now, events)
        except Exception as error:  # noqa: BLE001 - whatever fails in a dispatcher ends the day with its text
            self._replies.append(_broken(who, error))
            return
        for action in actions:
            self._replies.append(_WRITERS[type(action)](who, action))


def _broken(who: int, error: Exception) -> str:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = f" (line {trace.tb_lineno})" if trace is not None else ""
    return f"broken\t{who}\t{text[:300]}{place}\n"


def _entry(row: _Line) -> api.WorkerEntry:
    weight = row.number_("weight", 1.0)
    worker = row.word("worker")
    cell = row.text("cohort")
    site = row.text("site") or ""
    since = row.integer("since", 0)
    kind = row.text("shape") or ""
    state = row.text("readiness") or ""
    if state not in _STATES:
        raise row.error("readiness", f"unknown: {state[:40]!r}")
    try:
        number = None if cell is None else int(cell)
    except ValueError:
        raise row.error("cohort", "not a whole number") from None
    return api.WorkerEntry(worker, site, number, kind, weight, since, _STATES[state])


def _read_arrival(line: _Line, _: Instance | None) -> api.Event:
    job = line.integer("ref")
    job_class = line.word("lane")
    tenant = line.text("account")
    key = line.text("routeKey")
    try:
        subject = None if key is None else int(key)
    except ValueError:
        raise line.error("routeKey", "not a whole number") from None
    left = line.integer("left")
    hint = line.integer("sizeHint", 0)
    slots = line.number_("slots", 1.0)
    memory = line.number_("memory", 0.0)
    marks = line.integer("marks", 0)
    return api.JobArrived(
        job,
        job_class,
        None if tenant == "0" else tenant,
        subject,
        left,
        slots,
        memory,
        hint if marks & 1 else None,
        bool(marks & _REPEAT_MARK),
    )


def _read_alarm(line: _Line, _: Instance | None) -> api.Event:
    return api.TimerFired(line.word("handle"))


def _read_probe(line: _Line, instance: Instance | None) -> api.Event:
    worker = line.word("worker")
    outcome = line.outcome("rc")
    elapsed = line.integer("rtt", 0)
    return api.ProbeEnded(worker, outcome, elapsed, _report(line, instance))


def _read_accepted(line: _Line, _: Instance | None) -> api.Event:
    return api.StreamStarted(
        line.integer("ref"), line.integer("copy"), line.word("worker"), line.integer("rtt", 0)
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
    job, attempt, worker = line.integer("ref"), line.integer("copy"), line.word("worker")
    kind = line.integer("kind")
    if kind not in (1, 2):
        raise line.error("kind", f"unknown: {kind}")
    return api.AttemptNote(job, attempt, worker, api.NoteKind(kind), line.number_("value", 0.0))


def _read_reply(line: _Line, instance: Instance | None) -> api.Event:
    job, attempt, worker = line.integer("ref"), line.integer("copy"), line.word("worker")
    last = line.flag("last")
    line.text("note")
    elapsed = line.integer("rtt", 0)
    outcome = line.outcome("rc")
    return api.AttemptEnded(job, attempt, worker, outcome, last, elapsed, _report(line, instance))


def _report(line: _Line, instance: Instance | None) -> api.LoadReport | None:
    return None if instance is None else instance.report(line, "stats")


def _read_nothing(line: _Line, _: Instance | None) -> api.Event:
    raise AssertionError("a list is read by the host")


_READERS: dict[str, Callable[[_Line, Instance | None], api.Event]] = {
    "discovery": _read_nothing,
    "arrival": _read_arrival,
    "alarm": _read_alarm,
    "probe_result": _read_probe,
    "accepted": _read_accepted,
    "message": _read_message,
    "withdrawn": _read_withdrawn,
    "note": _read_note,
    "reply": _read_reply,
}


def _payload(data: bytes) -> str:
    return base64.b64encode(data).decode() or "-"


_WRITERS: dict[type, Callable[[int, Any], str]] = {
    api.Send: lambda who, a: f"transmit\t{who}\t{a.job}\t{a.timeout}\t{a.worker}\n",
    api.Refuse: lambda who, a: f"reject\t{who}\t{a.job}\t{a.retry_after}\n",
    api.Fail: lambda who, a: f"finish_error\t{who}\t{a.job}\n",
    api.CancelAttempt: lambda who, a: f"drop_attempt\t{who}\t{a.job}\t{a.attempt}\n",
    api.Probe: lambda who, a: f"health_check\t{who}\t{a.worker}\n",
    api.CloseIdle: lambda who, a: f"drop_conns\t{who}\t{a.worker}\n",
    api.Subscribe: lambda who, a: f"follow\t{who}\t{int(a.active)}\n",
    api.FetchList: lambda who, a: f"lookup\t{who}\n",
    api.Tell: lambda who, a: f"share\t{who}\t{-1 if a.to is None else a.to}\t{_payload(a.payload)}\n",
    api.SetTimer: lambda who, a: f"notify_me\t{who}\t{a.delay}\t{a.name}\n",
    api.Log: lambda who, a: f"log\t{who}\t{' '.join(a.text.split())}\n",
}


def main() -> int:
    """Runs the host on standard input and output; 1 on malformed input."""
    try:
        Host(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as error:
        print(f"heathway: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
