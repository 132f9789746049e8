"""Resource limits that a scale run enforces on itself."""

from collections.abc import Iterable
from dataclasses import dataclass

from ironbarrow.lab.scale.meters import memory_total_mb, usage

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's
MAX_MEMORY_MB = 10_000.0  # regardless of the machine's memory


class LimitError(Exception):
    """A run exceeds or would exceed its limits."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The most processes and the most total resident memory of a run."""

    processes: int
    memory_mb: float

    @classmethod
    def of_machine(cls) -> "Limits":
        """The limits on this machine."""
        return cls(MAX_PROCESSES, min(MAX_MEMORY_MB, MAX_MEMORY_SHARE * memory_total_mb()))

    def check_plan(self, processes: int) -> None:
        """Raises LimitError if ``processes`` exceeds the limit."""
        if processes > self.processes:
            raise LimitError(f"{processes} processes exceed the limit of {self.processes}")

    def check(self, pids: Iterable[int]) -> float:
        """Returns the total resident memory of these processes, MB; raises LimitError if a limit is
        exceeded."""
        running = [found for pid in pids if (found := usage(pid)) is not None]
        self.check_plan(len(running))
        held_mb = sum(found.resident_mb for found in running)
        if held_mb > self.memory_mb:
            raise LimitError(
                f"{held_mb:.0f} MB of resident memory exceed the limit of {self.memory_mb:.0f} MB"
            )
        return held_mb
