"""Fault injection for tests: named points at which this process is killed or stopped.

``BALANCER_FAULT`` is ``POINT:N`` (the process exits at the N-th pass of the point, as by SIGKILL),
``POINT:N:stop`` (it stops there, as by SIGSTOP, until a SIGCONT), or several of these separated by commas. Of
all processes with the same ``BALANCER_FAULT_ONCE``, the path of a marker file, only the first to get that far
does so. Without ``BALANCER_FAULT`` a point costs one comparison with None.
"""

import os
import signal
from collections import Counter
from collections.abc import Callable, Mapping

POINTS = {
    "after-taken": "a job is accepted, its record is not sent to the replicas yet",
    "after-intent": "an attempt's intent is committed, its first byte is not written yet",
    "before-refusal": "a refusal is decided, its record is not sent to the replicas yet",
    "after-refusal": "a refusal is committed, its client has not been answered yet",
    "before-claim": "this member is about to claim a ledger, no replica is sealed yet",
    "after-seal": "a ledger is claimed, none of its records are in the own ledger yet",
    "after-adoption": "the claimed records are committed in the own ledger, no job of them is handled yet",
    "after-answer": "an answer is sent to the client, its job is not dropped from the ledger yet",
}

KILLED_STATUS = 137  # exit status of a process killed by SIGKILL (128 + 9)


def parse(text: str) -> dict[str, tuple[int, bool]]:
    """By point: the number of the pass that counts, and whether the process stops there instead of exiting.

    Raises a ValueError that quotes the wrong part."""
    found: dict[str, tuple[int, bool]] = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        point, _, rest = part.partition(":")
        number, _, how = rest.partition(":")
        if point not in POINTS or how not in ("", "kill", "stop") or not (number or "1").isdigit():
            raise ValueError(
                f"BALANCER_FAULT: expected POINT[:N[:stop]] with one of {sorted(POINTS)}, got {part!r}"
            )
        found[point] = (max(1, int(number or 1)), how == "stop")
    return found


class FaultInjector:
    """Called at each point by name; counts the passes and kills or stops the process at the chosen ones.

    ``may_act``: asked before it does so; False leaves the process alone."""

    def __init__(
        self,
        points: dict[str, tuple[int, bool]],
        kill: Callable[[], object] = lambda: os._exit(KILLED_STATUS),
        stop: Callable[[], object] = lambda: os.kill(os.getpid(), signal.SIGSTOP),
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        self._points, self._kill, self._stop, self._may_act = points, kill, stop, may_act
        self.passed: Counter[str] = Counter()

    def __call__(self, point: str) -> None:
        self.passed[point] += 1
        at = self._points.get(point)
        if at is not None and at[0] == self.passed[point] and self._may_act():
            (self._stop if at[1] else self._kill)()


def from_environment(environment: Mapping[str, str]) -> FaultInjector | None:
    """The injector that the environment asks for; None without ``BALANCER_FAULT``."""
    text, once = environment.get("BALANCER_FAULT", ""), environment.get("BALANCER_FAULT_ONCE", "")
    if not text:
        return None
    return (
        FaultInjector(parse(text), may_act=lambda: _create_marker(once))
        if once
        else FaultInjector(parse(text))
    )


def _create_marker(path: str) -> bool:
    """Creates a marker file; False if it exists already."""
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY))
    except FileExistsError:
        return False
    return True
