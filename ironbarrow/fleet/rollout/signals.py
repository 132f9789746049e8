"""What a dispatcher records of its own attempts during a rollout. The tables are bounded, and are emptied by
each report to the coordinator. No input or output."""

import enum

from ironbarrow.fleet.rollout.commands import AttemptCounts, DispatcherReport, WorkerLoad

MAX_ENTRIES = 2048  # workers and job classes in one report; further ones are only counted
MAX_DURATIONS = 8  # of a worker and job class in one report


class AttemptEnd(enum.Enum):
    """How an attempt ended, as far as its worker is responsible."""

    DONE = "done"
    FAILED = "failed"
    RESET = "reset"


class _Entry:
    __slots__ = ("done", "durations", "failed", "reset", "sent_work")

    def __init__(self) -> None:
        self.done = self.failed = self.reset = self.sent_work = 0
        self.durations: list[int] = []


class Signals:
    """One dispatcher's tables. Workers are identified by name and start of their process (Unix ns; 0: long
    ago)."""

    def __init__(self, site: str) -> None:
        self.site = site
        self.dropped = 0  # entries that did not fit into the table
        self._number = 0
        self._entries: dict[tuple[str, int, str], _Entry] = {}
        self._own_slots: dict[tuple[str, int], float] = {}
        self._free_slots: dict[tuple[str, int], float] = {}

    def _entry(self, worker: str, started_at: int, job_class: str) -> _Entry | None:
        key = (worker, started_at, job_class)
        entry = self._entries.get(key)
        if entry is None:
            if len(self._entries) >= MAX_ENTRIES:
                self.dropped += 1
                return None
            entry = self._entries[key] = _Entry()
        return entry

    def attempt_sent(
        self, worker: str, started_at: int, job_class: str, usual_time: int, slots: float
    ) -> None:
        """Records that an attempt is sent; ``usual_time``: usual duration of its class, ns."""
        entry = self._entry(worker, started_at, job_class)
        if entry is not None:
            entry.sent_work += int(usual_time * slots)
        incarnation = (worker, started_at)
        if incarnation in self._own_slots or len(self._own_slots) < MAX_ENTRIES:
            self._own_slots[incarnation] = self._own_slots.get(incarnation, 0.0) + slots

    def attempt_ended(
        self,
        worker: str,
        started_at: int,
        job_class: str,
        slots: float,
        end: AttemptEnd | None,
        elapsed: int = 0,
        free_slots: float | None = None,
    ) -> None:
        """Records that a sent attempt has ended; ``end`` None: its worker is not responsible for how.

        ``elapsed``: its duration in ns, 0 if not known; ``free_slots``: as reported by the worker with it."""
        incarnation = (worker, started_at)
        if incarnation in self._own_slots:
            self._own_slots[incarnation] = max(0.0, self._own_slots[incarnation] - slots)
            if free_slots is not None:
                self._free_slots[incarnation] = free_slots
        entry = self._entry(worker, started_at, job_class) if end is not None else None
        if entry is None:
            return
        if end is AttemptEnd.DONE:
            entry.done += 1
            if elapsed > 0 and len(entry.durations) < MAX_DURATIONS:
                entry.durations.append(elapsed)
        elif end is AttemptEnd.FAILED:
            entry.failed += 1
        else:
            entry.reset += 1

    def take_report(self, waiting_slots: float) -> DispatcherReport:
        """Returns the report of the period that ends now, and starts a new period.

        ``waiting_slots``: slots wanted by the jobs that wait here."""
        self._number += 1
        counts = tuple(
            AttemptCounts(
                worker,
                started_at,
                job_class,
                entry.done,
                entry.failed,
                entry.reset,
                entry.sent_work,
                tuple(entry.durations),
            )
            for (worker, started_at, job_class), entry in self._entries.items()
        )
        loads = tuple(
            WorkerLoad(worker, started_at, own_slots, self._free_slots.get((worker, started_at), -1.0))
            for (worker, started_at), own_slots in self._own_slots.items()
        )
        self._entries = {}
        self._own_slots = {
            incarnation: own_slots for incarnation, own_slots in self._own_slots.items() if own_slots > 1e-9
        }
        self._free_slots = {}
        return DispatcherReport(self._number, self.site, counts, loads, waiting_slots)
