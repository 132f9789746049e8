"""What the operators' calls do in one process: readiness, figures, bans."""

from collections.abc import Callable
from pathlib import Path

import structlog

from heathway import api
from ironbarrow.admin.bans import Bans
from ironbarrow.admin.keep import BanFile
from ironbarrow.core.host import Host
from ironbarrow.runtime.loop import MS, Loop

log = structlog.get_logger()

_LOOK_EVERY = 200 * MS  # at the file of bans, which the process beside this one may have changed


class Operations:
    """Joins bans with the list and tells the figures. ``folder``: what outlasts the process is kept there;
    None: nothing does."""

    def __init__(self, loop: Loop, host: Host, folder: Path | None, name: str) -> None:
        self._loop = loop
        self._host = host
        self._bans = Bans()
        self._file = BanFile(folder, name)
        self._bans.set(self._file.read())
        self.stopping = False
        self.announced: Callable[[], bool] = lambda: True  # to the process that this one replaces
        self.kept: Callable[[], int] = lambda: 0  # jobs of a process that this one replaces
        loop.call_at(loop.now() + _LOOK_EVERY, self._look)

    def listed(self, news: api.WorkerList) -> api.WorkerList:
        """The discovery service's news as the host is to hear them."""
        return self._bans.take_list(news)

    def is_ready(self) -> bool:
        return self._host.has_worker_list and self.announced() and not self.stopping

    def stats(self) -> str:
        listed = self._bans.listed
        excluded = (self._bans.banned & listed) | (self._host.ejected_workers & listed)
        return self._host.metrics.render(
            in_flight=self._host.unanswered + self.kept(),
            workers_known=len(listed),
            workers_excluded=len(excluded),
        )

    def worker_down(self, worker: str) -> bool:
        if not self._bans.knows(worker):
            return False
        self._apply(self._file.change(worker, True))
        log.info("worker taken out of use", worker=worker)
        return True

    def worker_up(self, worker: str) -> bool:
        if not self._bans.knows(worker):
            return False
        self._apply(self._file.change(worker, False))
        log.info("worker back in use", worker=worker)
        return True

    @property
    def is_stored(self) -> bool:
        """Whether every change of bans outlasts this process, as far as anything does here."""
        return self._file.is_stored

    def _look(self) -> None:
        self._file.settle()
        if self._file.changed():
            self._apply(self._file.read())
        self._loop.call_at(self._loop.now() + _LOOK_EVERY, self._look)

    def _apply(self, banned: frozenset[str]) -> None:
        news = self._bans.set(banned)
        if news is not None:
            self._host.update_workers(news)
