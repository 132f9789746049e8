"""Named points at which a test ends or stops this process. Off, and a comparison with None, otherwise.

``BALANCER_FAULT`` is ``POINT:N`` (at the N-th passing the process ends, as by SIGKILL), ``POINT:N:stop`` (it
stops, as by SIGSTOP, until somebody sends SIGCONT), or several of these with commas between them. Of all
processes with the same ``BALANCER_FAULT_ONCE``, a file's path, only the first one that comes so far does so.
"""

import os
import signal
from collections import Counter
from collections.abc import Callable, Mapping

POINTS = {
    "after-taken": "a job is taken, its record is not sent yet",
    "after-intent": "an attempt's intent is at a majority, its first byte is not written",
    "before-refusal": "a refusal is decided, its record is not sent yet",
    "after-refusal": "a refusal is at a majority, its client has not heard it",
    "before-claim": "it is this member's turn to claim a ledger, nothing is sealed",
    "after-seal": "a ledger is claimed, nothing of it is in the own one",
    "after-adoption": "what was claimed is in the own ledger at a majority, nothing is done with it",
    "after-answer": "an answer is handed out, its job is not dropped from the ledger",
}

KILLED_STATUS = 137  # exit status, as by SIGKILL


def parse(text: str) -> dict[str, tuple[int, bool]]:
    """Points with the passing that counts and whether it stops; a ValueError names what is wrong."""
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
    """Counts passings and carries out what was asked for."""

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
    """None, as in service; else what to call at each point."""
    text, once = environment.get("BALANCER_FAULT", ""), environment.get("BALANCER_FAULT_ONCE", "")
    if not text:
        return None
    return (
        FaultInjector(parse(text), may_act=lambda: _create_marker(once))
        if once
        else FaultInjector(parse(text))
    )


def _create_marker(path: str) -> bool:
    """Whether this process made the file; False if it was there."""
    try:
        os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY))
    except FileExistsError:
        return False
    return True
