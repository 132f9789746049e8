"""Counts events in the traces of all dispatchers of a fleet, by second and by worker.

A trace is the log of a dispatcher with ``BALANCER_TRACE=1`` (see ``ironbarrow.core.trace``). Text before the
first brace of a line is ignored, such as a time stamp added by a log collector.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

SECOND = 1_000_000_000
_COUNTED = {
    "JobArrived": "jobs",
    "Send": "sends",
    "CancelAttempt": "recalls",
    "Probe": "probes",
    "Refuse": "refusals",
    "Fail": "failures",
    "Subscribe": "list_calls",
    "WorkerList": "lists",
}
COLUMNS = (
    *_COUNTED.values(),
    "lists_lost",
    "lines",
    "connects",
    "not_up",
    "cold",
    "never_ran",
    "may_have_run",
)
_NEVER_RAN = frozenset(("full", "connect_failed", "moot"))
_MAY_HAVE_RUN = frozenset(("error", "reset", "timeout"))


class TraceLogError(Exception):
    """Logs that can't be evaluated; the message names the file and what was expected."""


@dataclass(slots=True)
class TraceCounts:
    """Counts of a fleet by ``COLUMNS``: in total, by second from the start and by worker."""

    dispatchers: int = 0
    total: Counter[str] = field(default_factory=Counter)
    seconds: dict[int, Counter[str]] = field(default_factory=dict)
    workers: dict[str, Counter[str]] = field(default_factory=dict)
    classes: dict[str, Counter[str]] = field(default_factory=dict)  # by outcome, see ``_Job.outcome``

    def per_job(self, column: str) -> float:
        """The count of ``column`` per job; 0 if there are no jobs."""
        return self.total[column] / self.total["jobs"] if self.total["jobs"] else 0.0

    def as_object(self) -> dict[str, Any]:
        """The counts in plain types, for JSON."""
        return {
            "dispatchers": self.dispatchers,
            "total": {name: self.total[name] for name in COLUMNS},
            "per_job": {name: round(self.per_job(name), 4) for name in COLUMNS if name != "jobs"},
            "seconds": {str(at): dict(row) for at, row in sorted(self.seconds.items())},
            "workers": {name: dict(row) for name, row in sorted(self.workers.items())},
            "classes": {name: dict(row) for name, row in sorted(self.classes.items())},
        }


@dataclass(slots=True)
class _Job:
    """A job of one process, as read from its trace so far."""

    job_class: str
    sends: int = 0
    reason: str = ""
    verdict: str = ""

    def outcome(self) -> str:
        """The outcome: the verdict, whether the job was ever sent, and the reason why it was given up."""
        if self.verdict in ("", "served", "gone"):
            return self.verdict or "no answer"
        sent = "after sends" if self.sends else "unsent"
        return f"{self.verdict} {sent}: {self.reason or 'the host gave it up'}"


def trace_files(folder: Path) -> list[Path]:
    """The logs (``*.log``) in a folder, by name; a TraceLogError if it is no folder or has no logs."""
    if not folder.is_dir():
        raise TraceLogError(f"{folder}: not a folder of logs")
    paths = sorted(folder.glob("*.log"))
    if not paths:
        raise TraceLogError(f"{folder}: no file *.log in it")
    return paths


def read_lines(path: Path, truncated: list[Path] | None = None) -> Iterator[dict[str, Any]]:
    """The lines of the trace in one log. If the last line is incomplete, it is skipped and the log is added
    to ``truncated``. A TraceLogError if the file can't be read or a line is invalid."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TraceLogError(f"{path}: cannot be read: {error}") from None
    for number, line in enumerate(text.splitlines(), 1):
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError as error:
            if number == text.count("\n") + 1:
                if truncated is not None:
                    truncated.append(path)
                continue  # the process was killed while it wrote its last line
            raise TraceLogError(f"{path}:{number}: not a line of a log: {error}") from None
        if isinstance(entry, dict) and isinstance(entry.get("at"), int):
            yield entry


class _TraceCounter:
    """Counts over several traces. Whether a worker is cold or up is taken from the dispatcher's own list."""

    def __init__(self, cold_time: int) -> None:
        self.counts = TraceCounts()
        self._cold_time = cold_time
        self._start: int | None = None
        self._jobs: dict[int, _Job] = {}

    def end_process(self) -> None:
        """A log or a process in it has ended: counts its jobs. The next process numbers its jobs anew."""
        for job in self._jobs.values():
            row = self.counts.classes.setdefault(job.job_class, Counter())
            row["asked"] += 1
            row[job.outcome()] += 1
        self._jobs = {}

    def _track_job(self, line: dict[str, Any]) -> None:
        what = line.get("what") or line.get("event")
        if what == "settings":
            self.end_process()
        elif what == "JobArrived":
            self._jobs[line["job"]] = _Job(line["job_class"])
        elif (job := self._jobs.get(line.get("job", 0))) is not None:
            if what == "Send":
                job.sends += 1
            elif what in ("Refuse", "Fail"):
                job.reason = line.get("reason") or "no reason in the trace"
            elif what == "answered":
                job.verdict = line["verdict"]

    def set_start(self, at: int) -> None:
        """The time of a line: the earliest one is second 0."""
        self._start = at if self._start is None else min(self._start, at)

    def count(self, line: dict[str, Any], known: dict[str, tuple[str, int]]) -> None:
        """Counts one line of a dispatcher's trace. ``known``: the state and the start of each worker as that
        dispatcher knows them; updated."""
        assert self._start is not None
        self._track_job(line)
        columns = list(self._column_counts(line, known))
        second = (line["at"] - self._start) // SECOND
        worker = line.get("worker")
        for name, number in columns:
            self.counts.total[name] += number
            self.counts.seconds.setdefault(second, Counter())[name] += number
            if worker:
                self.counts.workers.setdefault(worker, Counter())[name] += number

    def _column_counts(
        self, line: dict[str, Any], known: dict[str, tuple[str, int]]
    ) -> Iterator[tuple[str, int]]:
        what = line.get("what")
        if line.get("event") == "connect":
            yield "connects", 1
        elif what == "WorkerList":
            if line["kind"] == "lost":
                yield "lists_lost", 1
                return
            for name, state, _, started_at in line["lines"]:
                known[name] = (state, started_at)
            yield "lists", 1
            yield "lines", len(line["lines"])
        elif what == "AttemptEnded":
            if line["outcome"] in _NEVER_RAN:
                yield "never_ran", 1
            elif line["outcome"] in _MAY_HAVE_RUN:
                yield "may_have_run", 1
        elif what in _COUNTED:
            yield _COUNTED[what], 1
            if what == "Send":
                state, started_at = known.get(line["worker"], ("up", 0))
                if state != "up":
                    yield "not_up", 1
                elif started_at and line["at"] < started_at + self._cold_time:
                    yield "cold", 1


def count_traces(folder: Path, cold_s: float = 20.0) -> TraceCounts:
    """Counts the logs in a folder (``*.log``, one for each dispatcher); a TraceLogError if they are unusable.

    ``cold_s``: how long a worker is cold after its start, s.
    """
    paths = trace_files(folder)
    counter = _TraceCounter(int(cold_s * SECOND))
    lines_by_log = {path: list(read_lines(path)) for path in paths}
    for lines in lines_by_log.values():
        for line in lines:
            counter.set_start(line["at"])
    if not any(lines_by_log.values()):
        raise TraceLogError(f"{folder}: no trace lines; run the dispatchers with BALANCER_TRACE=1")
    for path, lines in lines_by_log.items():
        known: dict[str, tuple[str, int]] = {}
        for line in lines:
            try:
                counter.count(line, known)
            except (KeyError, TypeError, ValueError) as error:
                raise TraceLogError(
                    f"{path}: a trace line lacks a field or has a wrong value: {error!r}"
                ) from None
        counter.end_process()
    counter.counts.dispatchers = len(paths)
    return counter.counts
