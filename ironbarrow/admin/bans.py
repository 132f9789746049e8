"""Combines operators' bans with the discovery service's worker list. No input or output.

The stricter of the two counts: a banned worker that the discovery service lists as up reaches the decision
logic as draining. That is an ordinary update of the list, so all rules for draining workers apply to it.
"""

from dataclasses import replace

from heathway import api

_MAX_KNOWN_IDS = 65_536  # of workers; beyond that, the oldest that are no longer listed are forgotten


class Bans:
    """The banned workers, and the discovery service's last entry for each worker."""

    def __init__(self) -> None:
        self.banned: frozenset[str] = frozenset()
        self._listed: dict[str, api.WorkerEntry] = {}  # the discovery service's present entries
        self._known: dict[str, None] = {}  # ids that were ever listed, the oldest first

    def knows(self, worker: str) -> bool:
        """Whether the worker was ever on the list, as far as that is remembered."""
        return worker in self._known

    @property
    def listed(self) -> frozenset[str]:
        """The workers on the discovery service's list."""
        return frozenset(self._listed)

    def apply_to_list(self, update: api.WorkerList) -> api.WorkerList:
        """Records an update of the list; returns it with banned workers as draining."""
        if update.kind in (api.ListKind.FULL, api.ListKind.LAST_KNOWN):
            self._listed = {}
        for entry in update.entries:
            if entry.state is api.WorkerState.GONE:
                self._listed.pop(entry.worker, None)
            else:
                self._listed[entry.worker] = entry
            self._known.setdefault(entry.worker)
        while len(self._known) > max(_MAX_KNOWN_IDS, 2 * len(self._listed)):
            oldest = next(name for name in self._known if name not in self._listed)
            del self._known[oldest]
        return replace(update, entries=tuple(self._with_ban(entry) for entry in update.entries))

    def _with_ban(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        if entry.worker in self.banned and entry.state is api.WorkerState.UP:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def set_banned(self, banned: frozenset[str]) -> api.WorkerList | None:
        """Replaces the set of banned workers.

        Returns the update for the decision logic, None if no listed worker is affected."""
        changed = (self.banned ^ banned) & self._listed.keys()
        self.banned = banned
        if not changed:
            return None
        entries = tuple(self._with_ban(self._listed[name]) for name in sorted(changed))
        return api.WorkerList(api.ListKind.CHANGES, entries)
