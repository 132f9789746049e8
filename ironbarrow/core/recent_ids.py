"""Remembers the ids of finished jobs that must not run again. No I/O."""

from collections import OrderedDict

from ironbarrow.runtime.clock import SECOND

_MAX_IDS = 4096
_RETENTION = 120 * SECOND


class RecentIds:
    """A set of ids with a retention time. Limited in size; the oldest ids are dropped first."""

    def __init__(self) -> None:
        self._expiries: OrderedDict[str, int] = OrderedDict()

    def add(self, job_id: str, now: int) -> None:
        """Adds an id at ``now`` (ns); if it is present, its retention time starts anew."""
        self._expiries.pop(job_id, None)
        self._expiries[job_id] = now + _RETENTION
        while len(self._expiries) > _MAX_IDS or next(iter(self._expiries.values())) < now:
            self._expiries.popitem(last=False)

    def has(self, job_id: str, now: int) -> bool:
        """Whether an id is still retained at ``now`` (ns)."""
        return self._expiries.get(job_id, 0) >= now
