"""Which older processes of this dispatcher still run beside this one. No input or output."""

from collections.abc import Callable, Iterable

import structlog

log = structlog.get_logger()


class RunningPredecessors:
    """The processes that had opened their channel before this one did, until all of them have ended.

    Nothing that they send is needed to know of their end, so that no lost, late or outdated message can hide
    one that runs."""

    def __init__(
        self, paths: Iterable[str], may_run: Callable[[str], bool], report: Callable[[bool], None]
    ) -> None:
        """``paths``: of their sockets. ``may_run``: whether the process with that socket may run. ``report``:
        called with whether any of them runs, now and whenever that changes."""
        self._may_run = may_run
        self._report = report
        self._running = [path for path in paths if may_run(path)]
        if self._running:
            log.info("an older process runs beside this one", sockets=self._running)
        report(bool(self._running))

    def check(self) -> None:
        """Looks again for those that have run so far. A process that has ended is not looked for any more."""
        if not self._running:
            return
        self._running = [path for path in self._running if self._may_run(path)]
        if not self._running:
            log.info("the older processes have ended")
            self._report(False)
