"""Follows one job through the traces of a fleet: arrival, attempts, call-backs, final answer.

Each send shows what the dispatcher knew of the worker: its state and weight in the last list, the last load
report, and the age of both. Times are seconds from the first line of all logs.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ironbarrow.lab.tally import SECOND, TraceLogError, read_lines, trace_files

_SHOWN_FIELDS = (
    "attempt",
    "worker",
    "outcome",
    "kind",
    "elapsed",
    "verdict",
    "retry_after",
    "job_class",
    "slots",
)
_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Step:
    """A trace line about the job."""

    at: float  # s
    dispatcher: str
    what: str
    fields: dict[str, Any]


@dataclass(slots=True)
class _KnownWorker:
    """What a dispatcher knows of a worker. Times in ns."""

    state: str = "not listed"
    weight: float = 0.0
    listed_at: int = 0
    report: dict[str, float] = field(default_factory=dict)
    reported_at: int = 0

    def as_fields(self, now: int) -> dict[str, Any]:
        """Fields to show with a send at ``now``."""
        fields: dict[str, Any] = {"state": self.state}
        if self.listed_at:
            fields |= {"weight": self.weight, "list_age_ms": (now - self.listed_at) // _MS}
        if self.reported_at:
            fields |= {"report": self.report, "report_age_ms": (now - self.reported_at) // _MS}
        return fields


def _update_known(workers: dict[str, _KnownWorker], line: dict[str, Any]) -> None:
    if line.get("what") == "WorkerList":
        if line["kind"] not in ("changes", "lost"):  # a full list: workers that are not in it are gone
            for known in workers.values():
                known.state = "gone"
        for name, state, weight, _ in line["lines"]:
            known = workers.setdefault(name, _KnownWorker())
            known.state, known.weight, known.listed_at = state, weight, line["at"]
    elif line.get("report") and line.get("worker"):
        known = workers.setdefault(line["worker"], _KnownWorker())
        known.report, known.reported_at = line["report"], line["at"]


def _steps(dispatcher: str, lines: list[dict[str, Any]], job_id: str, start: int) -> Iterator[Step]:
    workers: dict[str, _KnownWorker] = {}
    number: int | None = None
    for line in lines:
        if line.get("event") == "settings":  # a new process numbers its jobs anew and knows no workers
            workers, number = {}, None
        _update_known(workers, line)
        if line.get("event") == "taken" and line["id"] == job_id:
            number = line["job"]
        if number is None or line.get("job") != number:
            continue
        fields = {name: line[name] for name in _SHOWN_FIELDS if line.get(name) is not None}
        if "elapsed" in fields:
            fields["elapsed_ms"] = fields.pop("elapsed") // _MS
        if line.get("what") == "Send":
            fields |= workers.get(line["worker"], _KnownWorker()).as_fields(line["at"])
        what = line.get("what") or line["event"]
        yield Step((line["at"] - start) / SECOND, dispatcher, what, fields)


def follow_job(folder: Path, job_id: str) -> tuple[list[Step], list[Path]]:
    """All trace lines about a job in the logs of a folder, by time, and the logs whose incomplete last line
    was skipped. A TraceLogError if the logs are unusable or none has the id."""
    lines_by_log: dict[Path, list[dict[str, Any]]] = {}
    truncated: list[Path] = []
    for path in trace_files(folder):
        lines_by_log[path] = list(read_lines(path, truncated))
    start = min((line["at"] for lines in lines_by_log.values() for line in lines), default=0)
    steps: list[Step] = []
    for path, lines in lines_by_log.items():
        try:
            steps.extend(_steps(path.stem, lines, job_id, start))
        except (KeyError, TypeError, ValueError) as error:
            raise TraceLogError(
                f"{path}: a trace line lacks a field or has a wrong value: {error!r}"
            ) from None
    if not steps:
        raise TraceLogError(f"{folder}: no job with the id {job_id} in {len(lines_by_log)} logs")
    return sorted(steps, key=lambda step: step.at), truncated
