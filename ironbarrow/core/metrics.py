"""Counters of a dispatcher's jobs and attempts since its start, by job class. No I/O.

A job is counted when it gets its final answer, an attempt when its last byte is written.
"""

from collections import Counter
from dataclasses import dataclass, field

OUTCOMES = ("served", "refused", "failed")


@dataclass(slots=True)
class Metrics:
    """Counters of jobs and attempts by class. ``classes`` are listed from the start, with 0."""

    classes: tuple[str, ...]
    ended: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and outcome
    attempts: Counter[str] = field(default_factory=Counter)

    def job_ended(self, job_class: str, outcome: str) -> None:
        """Counts a final answer. Raises KeyError unless ``outcome`` is one of ``OUTCOMES``."""
        if outcome not in OUTCOMES:
            raise KeyError(outcome)
        self.ended[job_class, outcome] += 1

    def attempt_written(self, job_class: str) -> None:
        """Counts an attempt whose last byte has been written to a worker."""
        self.attempts[job_class] += 1

    def render(self, **gauges: int) -> str:
        """The metrics in text form, one a line. ``gauges`` are current values, shown as ``app_NAME``."""
        lines = [
            f'app_requests{{class="{_escape_label(name)}",outcome="{outcome}"}} {self.ended[name, outcome]}'
            for name in self.classes
            for outcome in OUTCOMES
        ]
        lines += [
            f'app_attempts{{class="{_escape_label(name)}"}} {self.attempts[name]}' for name in self.classes
        ]
        lines += [f"app_{name} {value}" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"


def _escape_label(name: str) -> str:
    """Escapes a label value: a quote or a line feed in it would end the label early."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
