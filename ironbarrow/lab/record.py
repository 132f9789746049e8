"""The outcome of each request as one row of named columns, and metrics computed from these rows."""

from array import array
from dataclasses import dataclass
from typing import Any

import numpy as np

from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.runtime.clock import SECOND

OUTCOMES = ("served", "refused", "failed", "no answer", "left")
Column = np.ndarray[Any, np.dtype[Any]]


class Recorder:
    """Collects one row for each request when it ends. Latency counts from the time when it was due."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.due = array("q")  # since the run's start, ns
        self.latency = array("q")  # from due to the last byte of the last answer, ns
        self.cls = array("b")
        self.outcome = array("b")
        self.tries = array("b")
        self.farm = array("h")
        self.in_time = array("b")
        self.work = array("d")
        self.late_by = array("q")  # from due to the first try, ns
        self.started_at = 0

    def __len__(self) -> int:
        return len(self.due)

    def add(self, request: ClientRequest, outcome: str, now: int, tries: int, late_by: int = 0) -> None:
        """Adds a request that ended at ``now``."""
        self.due.append(request.due - self.started_at)
        self.latency.append(now - request.due)
        self.cls.append(request.cls)
        self.outcome.append(OUTCOMES.index(outcome))
        self.tries.append(min(127, tries))
        self.farm.append(request.farm)
        self.in_time.append(outcome == "served" and now - request.due <= request.wanted)
        self.work.append(request.work * request.slots)
        self.late_by.append(late_by)

    def columns(self) -> dict[str, Column]:
        """All rows as numpy columns. Times in ns, work in ns on one core at speed 1."""
        names = ("due", "latency", "cls", "outcome", "tries", "farm", "in_time", "work", "late_by")
        return {name: np.array(getattr(self, name)) for name in names}


@dataclass(slots=True)
class LoadSamples:
    """Load by worker over time: a row with each worker's number of jobs every ``step`` ns."""

    step: int
    names: list[str]
    held: list[list[int]]


def summarise(world: World, rows: dict[str, Column]) -> dict[str, Any]:
    """Metrics of a run, for all jobs and by class. Latencies are in ms and over served jobs."""
    by_class = {}
    for number, cls in enumerate(world.classes):
        mask = rows["cls"] == number
        by_class[cls.name] = _metrics(
            {name: column[mask] for name, column in rows.items()}, np.full(mask.sum(), cls.worth)
        )
    flooding = [f.farm for f in world.faults if f.kind == "flood" and f.farm is not None]
    worth = np.array([cls.worth for cls in world.classes])[rows["cls"]] if len(rows["cls"]) else np.array([])
    if flooding and len(worth):
        mask = ~np.isin(rows["farm"], flooding)
        by_class["other farms"] = _metrics({n: column[mask] for n, column in rows.items()}, worth[mask])
    return {"all": _metrics(rows, worth), "classes": by_class}


def _metrics(rows: dict[str, Column], worth: Column) -> dict[str, Any]:
    asked = len(rows["due"])
    outcome = rows["outcome"]
    value = worth * rows["work"]
    served = outcome == OUTCOMES.index("served")
    latency = rows["latency"][served] / 1e6
    percentiles = np.percentile(latency, [50, 99, 99.9]) if len(latency) else [float("nan")] * 3
    total = float(value.sum())
    return {
        "asked": asked,
        "served": int(served.sum()),
        "in_time": int(rows["in_time"].sum()),
        **{name.replace(" ", "_"): int((outcome == n).sum()) for n, name in enumerate(OUTCOMES) if n},
        "service": float(value[rows["in_time"] == 1].sum()) / total if total else float("nan"),
        "p50_ms": float(percentiles[0]),
        "p99_ms": float(percentiles[1]),
        "p999_ms": float(percentiles[2]),
        "tries": float(rows["tries"].mean()) if asked else float("nan"),
    }


def service_over_time(world: World, rows: dict[str, Column], step_s: float = 1.0) -> tuple[Column, Column]:
    """The share of the requested worth that was served in time, by due time: times (s) and shares."""
    if not len(rows["due"]):
        return np.array([]), np.array([])
    worth = np.array([cls.worth for cls in world.classes])[rows["cls"]] * rows["work"]
    bins = (rows["due"] / (step_s * SECOND)).astype(int)
    asked = np.bincount(bins, worth)
    served = np.bincount(bins, worth * rows["in_time"], minlength=len(asked))
    with np.errstate(invalid="ignore"):
        return np.arange(len(asked)) * step_s, np.where(asked > 0, served / asked, np.nan)
