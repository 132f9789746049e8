"""The clock interface that the event loop and the simulated clocks implement."""

from collections.abc import Callable
from typing import Any, Protocol

MS = 1_000_000
SECOND = 1_000 * MS


class Timer:
    """A scheduled call. ``call`` is None once it is cancelled."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        """Prevents the call. Has no effect once it has run."""
        # A cancelled timer stays in the heap until it is due, so it drops its references to jobs here.
        self.call, self.args = None, ()


class Clock(Protocol):
    """Monotonic time in integer nanoseconds, and scheduled calls."""

    def now(self) -> int:
        """The current time in ns."""

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call for the current time, after the code that is running now."""

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        """Schedules a call for ``due`` (ns) or as soon as possible after it. Calls that are due at the same
        time run in the order in which they were scheduled."""
