"""What a dispatcher has done since its start, by class. No input or output.

Counted in one place each: a job where it gets its final answer, an attempt where its last byte is written.
"""

from collections import Counter
from dataclasses import dataclass, field

OUTCOMES = ("served", "refused", "failed")


@dataclass(slots=True)
class Figures:
    """Counts by class, in numbers of jobs and attempts; ``classes`` are shown from the start, at 0."""

    classes: tuple[str, ...]
    ended: Counter[tuple[str, str]] = field(default_factory=Counter)  # by class and outcome
    attempts: Counter[str] = field(default_factory=Counter)

    def job_ended(self, job_class: str, outcome: str) -> None:
        """Counts a final answer; ``outcome`` is one of ``OUTCOMES``, another is a KeyError."""
        if outcome not in OUTCOMES:
            raise KeyError(outcome)
        self.ended[job_class, outcome] += 1

    def attempt_written(self, job_class: str) -> None:
        """Counts an attempt whose last byte is written to a worker."""
        self.attempts[job_class] += 1

    def text(self, **levels: int) -> str:
        """One line a figure, as the operators' page has them; ``levels``: whole numbers of this moment,
        shown as ``app_NAME``."""
        lines = [
            f'app_requests{{class="{_quoted(name)}",outcome="{outcome}"}} {self.ended[name, outcome]}'
            for name in self.classes
            for outcome in OUTCOMES
        ]
        lines += [f'app_attempts{{class="{_quoted(name)}"}} {self.attempts[name]}' for name in self.classes]
        lines += [f"app_{name} {value}" for name, value in levels.items()]
        return "\n".join(lines) + "\n"


def _quoted(name: str) -> str:
    """Danger: a quote or a line feed in a name would end its label early."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
