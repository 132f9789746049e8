"""The bounds that a scale run keeps to on its machine, checked by the run itself."""

from collections.abc import Iterable
from dataclasses import dataclass

from ironbarrow.lab.scale.meters import memory_total_mb, usage

MOST_PROCESSES = 300
MOST_MEMORY_PART = 0.5  # of the machine's
MOST_MEMORY_MB = 10_000.0  # whatever the machine has


class LimitError(Exception):
    """A run that would take more of the machine than it may; it ends itself."""


@dataclass(frozen=True, slots=True)
class Limits:
    """How much a run may take: processes, and their resident memory added up."""

    processes: int
    memory_mb: float

    @classmethod
    def of_machine(cls) -> "Limits":
        """The bounds on this machine."""
        return cls(MOST_PROCESSES, min(MOST_MEMORY_MB, MOST_MEMORY_PART * memory_total_mb()))

    def check_plan(self, processes: int) -> None:
        """A LimitError if so many processes are too many, before any is started."""
        if processes > self.processes:
            raise LimitError(f"{processes} processes are over the bound of {self.processes}")

    def check(self, pids: Iterable[int]) -> float:
        """The memory that these processes hold, MB; a LimitError if they or it are over a bound."""
        running = [found for pid in pids if (found := usage(pid)) is not None]
        self.check_plan(len(running))
        held_mb = sum(found.resident_mb for found in running)
        if held_mb > self.memory_mb:
            raise LimitError(f"{held_mb:.0f} MB resident are over the bound of {self.memory_mb:.0f} MB")
        return held_mb
