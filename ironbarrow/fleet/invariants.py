"""Run-time checks of invariants, called where the state changes.

In tests and in the laboratory a broken invariant ends the run. In service it is only counted and logged, as a
process that exited would lose the jobs it has accepted.
"""

from collections import Counter
from collections.abc import Callable

import structlog

log = structlog.get_logger()


class InvariantError(AssertionError):
    """A broken invariant; the text has its name and the values involved."""


class Invariants:
    """Counts checks and broken invariants by name. ``fatal``: a broken one raises an InvariantError."""

    def __init__(self, fatal: bool = False) -> None:
        self.fatal = fatal
        self.checked: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()
        self.on_broken: Callable[[str, str], None] | None = None  # name, text

    def check(self, name: str, holds: bool, **details: object) -> None:
        """Checks one invariant. ``name``: a few words such as "one holder"; ``details``: values to report."""
        self.checked[name] += 1
        if holds:
            return
        self.broken[name] += 1
        text = f"{name}: " + ", ".join(f"{key}={value}" for key, value in details.items())
        if self.on_broken is not None:
            self.on_broken(name, text)
        if self.fatal:
            raise InvariantError(text)
        log.error("invariant broken", invariant=name, figures=text)


INVARIANTS = Invariants()  # of this process
check = INVARIANTS.check
