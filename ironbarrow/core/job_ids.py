"""The job ids that a new request must not use. No I/O.

An id is in use from the moment a request claims it, or its job arrives from another process, until the job
has its answer and its last attempt is over. The id of a job that may have run and must not run twice is
retained for a while after that. A dispatcher may run as several processes at once: ``IdLocks`` extends both
to all of them.
"""

from enum import Enum, auto
from typing import Protocol

from ironbarrow.core.recent_ids import RETENTION, RecentIds
from ironbarrow.runtime.clock import Clock


class IdState(Enum):
    """Whether a new request may use an id."""

    FREE = auto()
    IN_USE = auto()  # by a job of this process, or by a live or retained one of another process
    MAY_HAVE_RUN = auto()  # its job has finished, may have run, and must not run twice
    UNKNOWN = auto()  # another process may run, and whether it uses the id can't be told now


class IdLocks(Protocol):
    """Locks on ids between the processes of one dispatcher. They end with the process that holds them."""

    def acquire(self, job_id: str) -> IdState:
        """Locks an id for this process alone; FREE if that was done, else IN_USE or UNKNOWN."""

    def share(self, job_id: str) -> None:
        """Locks an id in common with the other processes that do so; no process can acquire it then."""

    def release(self, job_id: str) -> None:
        """Removes this process's lock on an id."""


class JobIds:
    """The ids in use and the retained ones. ``locks``: None if no other process shares them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_use: set[str] = set()
        self._retained = RecentIds()
        self._locks: IdLocks | None = None

    def set_locks(self, locks: IdLocks) -> None:
        """Shares the ids with other processes from now on, including those that are known already."""
        self._locks = locks
        for job_id in (*self._in_use, *self._retained.remaining(self._clock.now())):
            locks.share(job_id)

    def state(self, job_id: str) -> IdState:
        """Whether an id is free, as far as this process knows without asking others."""
        if job_id in self._in_use:
            return IdState.IN_USE
        if self._retained.has(job_id, self._clock.now()):
            return IdState.MAY_HAVE_RUN
        return IdState.FREE

    def claim(self, job_id: str) -> IdState:
        """Takes an id into use for a new request if no process uses or retains it: FREE if that was done."""
        state = self.state(job_id)
        if state is IdState.FREE and self._locks is not None:
            state = self._locks.acquire(job_id)
            if state is IdState.FREE:
                state = self.state(job_id)  # it may have arrived from a process that has just ended
        if state is IdState.FREE:
            self._in_use.add(job_id)
        return state

    def hold(self, job_id: str) -> None:
        """Takes an id into use for a job that was not claimed here, for example one from another process."""
        if job_id not in self._in_use:
            self._in_use.add(job_id)
            self.share(job_id)

    def share(self, job_id: str) -> None:
        """Allows another process to hold an id as well; needed before its job is handed over."""
        if self._locks is not None:
            self._locks.share(job_id)

    def release(self, job_id: str, *, may_have_run: bool) -> None:
        """Ends the use of an id. ``may_have_run``: the job must not run again, so the id is retained."""
        self._in_use.discard(job_id)
        if may_have_run:
            self.retain(job_id)
        elif self.state(job_id) is IdState.FREE and self._locks is not None:
            self._locks.release(job_id)

    def retain(self, job_id: str, retention: int = RETENTION) -> None:
        """Retains the id of a job that may have run, for ``retention`` ns."""
        self._retained.add(job_id, self._clock.now(), retention)
        self.share(job_id)
        self.drop_expired()

    def retained(self) -> dict[str, int]:
        """How long each retained id is still retained, in ns."""
        return self._retained.remaining(self._clock.now())

    def drop_expired(self) -> None:
        """Frees the ids whose retention has ended."""
        for job_id in self._retained.drop_expired(self._clock.now()):
            if job_id not in self._in_use and self._locks is not None:
                self._locks.release(job_id)
