"""What must hold at each change of state, checked where the state changes.

In tests and in the laboratory a broken one ends the run; in service it is counted and logged, since a
process that ends for it would lose what it has taken. No input or output but the log.
"""

from collections import Counter
from collections.abc import Callable

import structlog

log = structlog.get_logger()


class InvariantError(AssertionError):
    """What must never be; the text says what, and with which figures."""


class Invariants:
    """Counts checks and failures by name. ``fatal``: a failure raises an InvariantError."""

    def __init__(self, fatal: bool = False) -> None:
        self.fatal = fatal
        self.checked: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()
        self.on_broken: Callable[[str, str], None] | None = None  # name, text

    def check(self, name: str, holds: bool, **details: object) -> None:
        """Notes one check. ``name``: a few words such as "one holder"."""
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


INVARIANTS = Invariants()  # this process's
check = INVARIANTS.check
