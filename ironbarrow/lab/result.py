"""The result of a simulated or live run."""

from dataclasses import dataclass, field
from typing import Any

from ironbarrow.lab.audit import AuditResult
from ironbarrow.lab.model.fleet import InjectedFault
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.record import Column, LoadSamples, summarise


@dataclass(slots=True)
class Result:
    """The result of one run of a world with one seed."""

    world: World
    seed: int
    mode: str  # simulated or live
    rows: dict[str, Column]
    verdicts: AuditResult
    faults: list[InjectedFault]
    samples: LoadSamples
    wall_s: float
    span_s: float  # duration on the run's clock, from the start of the arrivals
    digest: str = ""
    events: int = 0
    notes: dict[str, Any] = field(default_factory=dict)

    def summary(self) -> dict[str, Any]:
        """Metrics for all jobs and by class."""
        return summarise(self.world, self.rows)
