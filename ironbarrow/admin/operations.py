"""Implements the operators' requests in one process: readiness, metrics, bans."""

from collections.abc import Callable
from pathlib import Path

import structlog

from heathway import api
from ironbarrow.admin.ban_file import BanFile
from ironbarrow.admin.bans import Bans
from ironbarrow.core.host import Host
from ironbarrow.runtime.loop import MS, Loop

log = structlog.get_logger()

_FILE_CHECK_INTERVAL = 200 * MS  # the other process of a hand-over may change the file


class Operations:
    """Applies bans to the worker list and reports metrics. Bans are stored in ``folder``; with None they end
    with the process."""

    def __init__(self, loop: Loop, host: Host, folder: Path | None, name: str) -> None:
        self._loop = loop
        self._host = host
        self._bans = Bans()
        self._file = BanFile(folder, name)
        self._bans.set_banned(self._file.read())
        self.stopping = False
        # announces to the old process that this one can serve
        self.announce_ready: Callable[[], bool] = lambda: True
        # number of jobs of the old process that this one has still to answer
        self.pending_jobs: Callable[[], int] = lambda: 0
        loop.call_at(loop.now() + _FILE_CHECK_INTERVAL, self._check_file)

    def apply_bans(self, update: api.WorkerList) -> api.WorkerList:
        """Returns the discovery service's update of the worker list for the host, with the bans applied."""
        return self._bans.apply_to_list(update)

    def is_ready(self) -> bool:
        """Returns whether this process can serve: it has a worker list, is announced and is not stopping."""
        return self._host.has_worker_list and self.announce_ready() and not self.stopping

    def stats(self) -> str:
        """Returns the metrics as text."""
        listed = self._bans.listed
        excluded = (self._bans.banned & listed) | (self._host.ejected_workers & listed)
        return self._host.metrics.render(
            in_flight=self._host.unanswered + self.pending_jobs(),
            workers_known=len(listed),
            workers_excluded=len(excluded),
        )

    def worker_down(self, worker: str) -> bool:
        """Bans a worker; False if its id was never on the worker list."""
        if not self._bans.knows(worker):
            return False
        self._set_bans(self._file.set_banned(worker, True))
        log.info("worker banned", worker=worker)
        return True

    def worker_up(self, worker: str) -> bool:
        """Lifts the ban of a worker; False if its id was never on the worker list."""
        if not self._bans.knows(worker):
            return False
        self._set_bans(self._file.set_banned(worker, False))
        log.info("ban of a worker lifted", worker=worker)
        return True

    @property
    def is_stored(self) -> bool:
        """Whether every change of the bans is stored; always True without a folder."""
        return self._file.is_stored

    def _check_file(self) -> None:
        self._file.flush()
        if self._file.has_changed():
            self._set_bans(self._file.read())
        self._loop.call_at(self._loop.now() + _FILE_CHECK_INTERVAL, self._check_file)

    def _set_bans(self, banned: frozenset[str]) -> None:
        update = self._bans.set_banned(banned)
        if update is not None:
            self._host.update_workers(update)
