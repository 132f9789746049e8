"""Ids of jobs that are over and must not run again. No input or output."""

from collections import OrderedDict

from ironbarrow.runtime.clock import SECOND

_MOST = 4096
_KEPT_FOR = 120 * SECOND


class RecentIds:
    """Ids for a while, the oldest forgotten first; bounded in number."""

    def __init__(self) -> None:
        self._until: OrderedDict[str, int] = OrderedDict()

    def add(self, job_id: str, now: int) -> None:
        """Remembers an id from ``now`` (ns) on."""
        self._until.pop(job_id, None)
        self._until[job_id] = now + _KEPT_FOR
        while len(self._until) > _MOST or next(iter(self._until.values())) < now:
            self._until.popitem(last=False)

    def has(self, job_id: str, now: int) -> bool:
        """Whether an id is remembered at ``now`` (ns)."""
        return self._until.get(job_id, 0) >= now
