"""What drives time: the one interface that the loop and a simulated clock both provide."""

from collections.abc import Callable
from typing import Any, Protocol

MS = 1_000_000
SECOND = 1_000 * MS


class Timer:
    """A call to come; ``cancel`` takes it back."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        # danger: a cancelled timer stays in the heap until it is due; it must not hold a job alive
        self.call, self.args = None, ()


class Clock(Protocol):
    """Time in whole nanoseconds that only goes forward, and calls at a time."""

    def now(self) -> int:
        """The present time, ns."""

    def soon(self, call: Callable[..., None], *args: Any) -> None:
        """Calls at the present time, after what runs now."""

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        """Calls at ``due`` (ns), or as soon as possible after it; calls of one time in order."""
