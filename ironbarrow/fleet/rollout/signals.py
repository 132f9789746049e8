"""What a dispatcher notes of its own attempts while a rollout is under way: bounded tables, told and emptied
each stretch. No input or output."""

import enum

from ironbarrow.fleet.rollout.commands import Counts, Load, Observed

ENTRIES_MOST = 2048  # workers and classes in one stretch; what is beyond is counted
TIMES_MOST = 8  # of a worker and class in one stretch


class End(enum.Enum):
    """How an attempt ended, as far as its worker is to blame."""

    DONE = "done"
    FAILED = "failed"
    RESET = "reset"


class _Entry:
    __slots__ = ("done", "failed", "reset", "sent_work", "times")

    def __init__(self) -> None:
        self.done = self.failed = self.reset = self.sent_work = 0
        self.times: list[int] = []


class Signals:
    """One dispatcher's tables. Workers are told by name and start (Unix ns; 0: long ago)."""

    def __init__(self, site: str) -> None:
        self.site = site
        self.beyond = 0  # notes that found no room
        self._number = 0
        self._entries: dict[tuple[str, int, str], _Entry] = {}
        self._mine: dict[tuple[str, int], float] = {}
        self._free: dict[tuple[str, int], float] = {}

    def _entry(self, worker: str, started_at: int, job_class: str) -> _Entry | None:
        key = (worker, started_at, job_class)
        found = self._entries.get(key)
        if found is None:
            if len(self._entries) >= ENTRIES_MOST:
                self.beyond += 1
                return None
            found = self._entries[key] = _Entry()
        return found

    def sent(self, worker: str, started_at: int, job_class: str, work: int, slots: float) -> None:
        """An attempt went out; ``work``: ns that its class usually takes."""
        entry = self._entry(worker, started_at, job_class)
        if entry is not None:
            entry.sent_work += int(work * slots)
        incarnation = (worker, started_at)
        if incarnation in self._mine or len(self._mine) < ENTRIES_MOST:
            self._mine[incarnation] = self._mine.get(incarnation, 0.0) + slots

    def ended(
        self,
        worker: str,
        started_at: int,
        job_class: str,
        slots: float,
        end: End | None,
        elapsed: int = 0,
        free: float | None = None,
    ) -> None:
        """An attempt that was sent has ended; ``end`` None: its worker is not to blame for how.
        ``elapsed``: ns, 0 if it says nothing; ``free``: slots that the worker tells with it."""
        incarnation = (worker, started_at)
        if incarnation in self._mine:
            self._mine[incarnation] = max(0.0, self._mine[incarnation] - slots)
            if free is not None:
                self._free[incarnation] = free
        entry = self._entry(worker, started_at, job_class) if end is not None else None
        if entry is None:
            return
        if end is End.DONE:
            entry.done += 1
            if elapsed > 0 and len(entry.times) < TIMES_MOST:
                entry.times.append(elapsed)
        elif end is End.FAILED:
            entry.failed += 1
        else:
            entry.reset += 1

    def take(self, held: float) -> Observed:
        """All of the stretch that ends now; ``held``: slots of the jobs that wait here."""
        self._number += 1
        counts = tuple(
            Counts(w, s, c, e.done, e.failed, e.reset, e.sent_work, tuple(e.times))
            for (w, s, c), e in self._entries.items()
        )
        loads = tuple(Load(w, s, mine, self._free.get((w, s), -1.0)) for (w, s), mine in self._mine.items())
        self._entries = {}
        self._mine = {incarnation: mine for incarnation, mine in self._mine.items() if mine > 1e-9}
        self._free = {}
        return Observed(self._number, self.site, counts, loads, held)
