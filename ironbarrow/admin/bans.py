"""Workers that operators have taken out of use, joined with the discovery service's word. No input or output.

The stricter word wins: whatever the discovery service says of a banned worker, the decisions hear that it
drains, as an ordinary event of the list, and every limit on draining workers holds for it as it stands.
"""

from dataclasses import replace

from heathway import api

_KNOWN_MOST = 65_536  # ids ever listed that are remembered; the oldest that are not listed go first


class Bans:
    """Who is banned, and what the discovery service says of each worker."""

    def __init__(self) -> None:
        self.banned: frozenset[str] = frozenset()
        self._listed: dict[str, api.WorkerEntry] = {}  # as the discovery service has it now
        self._known: dict[str, None] = {}  # every id that was ever listed, the oldest first

    def knows(self, worker: str) -> bool:
        """Whether the worker was ever on the list."""
        return worker in self._known

    @property
    def listed(self) -> frozenset[str]:
        """The workers on the discovery service's list."""
        return frozenset(self._listed)

    def take_list(self, news: api.WorkerList) -> api.WorkerList:
        """The same news with banned workers draining."""
        if news.kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            self._listed = {}
        for entry in news.entries:
            if entry.state is api.WorkerState.GONE:
                self._listed.pop(entry.worker, None)
            else:
                self._listed[entry.worker] = entry
            self._known.setdefault(entry.worker)
        while len(self._known) > max(_KNOWN_MOST, 2 * len(self._listed)):
            oldest = next(name for name in self._known if name not in self._listed)
            del self._known[oldest]
        return replace(news, entries=tuple(self._joined(entry) for entry in news.entries))

    def _joined(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        if entry.worker in self.banned and entry.state is api.WorkerState.UP:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def set(self, banned: frozenset[str]) -> api.WorkerList | None:
        """Replaces who is banned; what the decisions must hear of it, None if nothing changes for them.
        Repeated calls are harmless."""
        changed = (self.banned ^ banned) & self._listed.keys()
        self.banned = banned
        if not changed:
            return None
        entries = tuple(self._joined(self._listed[name]) for name in sorted(changed))
        return api.WorkerList(api.ListKind.CHANGES, entries)
