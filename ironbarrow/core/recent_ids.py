"""Remembers the ids of finished jobs that must not run again. No I/O."""

from collections import OrderedDict

from ironbarrow.runtime.clock import SECOND

_MAX_IDS = 4096
RETENTION = 120 * SECOND


class RecentIds:
    """A set of ids with a retention time. Limited in size; the oldest ids are dropped first."""

    def __init__(self) -> None:
        self._expiries: OrderedDict[str, int] = OrderedDict()

    def add(self, job_id: str, now: int, retention: int = RETENTION) -> None:
        """Adds an id at ``now`` (ns) for ``retention`` ns, or longer if it is retained for longer already."""
        expiry = max(now + retention, self._expiries.pop(job_id, 0))
        self._expiries[job_id] = expiry

    def drop_expired(self, now: int) -> list[str]:
        """Removes the oldest ids that are not retained at ``now`` (ns) any more, or exceed the size. Returns
        them."""
        dropped = []
        while len(self._expiries) > _MAX_IDS or (
            self._expiries and next(iter(self._expiries.values())) < now
        ):
            dropped.append(self._expiries.popitem(last=False)[0])
        return dropped

    def has(self, job_id: str, now: int) -> bool:
        """Whether an id is still retained at ``now`` (ns)."""
        return self._expiries.get(job_id, -1) >= now

    def remaining(self, now: int) -> dict[str, int]:
        """How long each id is still retained at ``now``; both in ns."""
        return {job_id: expiry - now for job_id, expiry in self._expiries.items() if expiry > now}
