"""Signals that come before the program can handle them, with the time at which they came."""

import signal
import time
from collections.abc import Iterable
from types import FrameType


class EarlySignals:
    """Notes signals from its construction until other handlers are installed for them.

    Unlike a blocked signal, a noted one has a time, from which the limits of a shutdown count."""

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._first_at: dict[int, int] = {}  # by number; ns of the monotonic clock
        for number in numbers:
            signal.signal(number, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._first_at.setdefault(number, time.monotonic_ns())

    def first_at(self, numbers: Iterable[signal.Signals]) -> int | None:
        """When the first of these signals came, in ns of the monotonic clock; None if none did."""
        return min((self._first_at[number] for number in numbers if number in self._first_at), default=None)
