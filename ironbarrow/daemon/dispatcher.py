"""The whole program as an object, for the command line and for programs that embed it.

The class connects the parts: listener and clients, the discovery service, workers, the decisions, and where
they are configured the operators' address, the hand-over to a new process and the fleet. It also runs
the orderly shutdown.
"""

import errno
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from types import FrameType
from typing import Any

import structlog

from heathway import api
from ironbarrow.backend.invoker import HttpInvoker
from ironbarrow.config.loader import Config, ConfigError
from ironbarrow.core.host import Host
from ironbarrow.core.shutdown import Phase
from ironbarrow.daemon.descriptors import DescriptorBudget
from ironbarrow.daemon.shutdown_times import ShutdownTimes
from ironbarrow.discovery.client import DiscoveryClient
from ironbarrow.frontend.server import HttpServer
from ironbarrow.runtime.early_signals import EarlySignals
from ironbarrow.runtime.loop import MS, SECOND, Loop
from ironbarrow.runtime.retry import retry_transient
from ironbarrow.runtime.sockets import listen

log = structlog.get_logger()

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_HAND_OVER_DELAY = 300 * MS  # clients and workers that are still connecting reach this process
_DONE_CHECK_INTERVAL = 10 * MS
_DECISION_GRACE = 20 * MS  # after the answer limit, in which the decisions themselves answer the jobs
_CHANNEL_RETRY_PAUSE = SECOND  # after the shared folder has failed
# no process of this dispatcher can have a channel in such a folder
_UNUSABLE_FOLDER_ERRORS = frozenset(
    (
        errno.ENOENT,
        errno.ENOTDIR,
        errno.EACCES,
        errno.EPERM,
        errno.EROFS,
        errno.EAFNOSUPPORT,
        None,  # the socket's path would be too long
    )
)
_MB = 1 << 20
_PROGRAM_MB = 28  # memory of the program itself under low load


class Dispatcher:
    """One dispatcher: listens from its construction on, serves in ``run``, and ends after ``stop``.

    ``listener``: a listening socket to use instead of the configured address. Raises a ConfigError if a file
    that the configuration names can't be used, and an OSError if an address can't be listened on.
    """

    def __init__(self, config: Config, listener: socket.socket | None = None) -> None:
        # A temporary lack of descriptors or memory is retried: if the start failed, the process manager would
        # take it for a crash.
        self.loop = retry_transient(lambda: Loop(_log_task_failure))
        self._stopping = False
        self._connection_deadline = 0  # ns; set by stop
        self._rejection_deadline = 0  # ns; set by stop
        self._wakeup_fd_set = False  # to wake the loop; set by _wake_on_signals
        self.shutdown_times = ShutdownTimes.of(config.settings)
        self._config = config
        self.listener = listener or retry_transient(
            lambda: listen(config.listen, reuse_port=config.admin is not None)
        )
        self.host = Host(self.loop, config.settings, config.seed, traced=config.traced)
        self._operations: Any = None
        self.admin_listener: socket.socket | None = None
        if config.admin is not None:
            # imported here, so that a start without an operators' address does not load it
            from ironbarrow.admin.operations import Operations

            self._operations = Operations(self.loop, self.host, config.folder, config.name)
        list_on_request = config.settings.asks_for_list
        self.discovery = DiscoveryClient(
            self.loop, config.discovery, self._on_worker_list, on_request=list_on_request, seed=config.seed
        )
        if list_on_request:
            self.host.set_subscribed = self.discovery.subscribe
        descriptors = DescriptorBudget.of(config)
        self.invoker = HttpInvoker(
            self.loop,
            self.host,
            self.discovery,
            config.reports,
            connect_timeout=config.connect_timeout,
            idle_limit=config.idle_limit,
            max_idle=descriptors.idle,
            max_connections=descriptors.workers,
        )
        self.host.invoker = self.invoker
        self.server = HttpServer(
            self.loop,
            self.host,
            self.listener,
            self._on_call_back,
            self.invoker.free_descriptors,
            max_connections=descriptors.clients,
            max_buffered_bytes=max(1, config.memory_mb - _PROGRAM_MB) * _MB // 2,
        )
        self._router: Any = None
        if config.routes is not None:
            self._set_routes(self._load_routes(config))
        self.discovery.start(config.known)
        self._upgrade: Any = None
        self.fleet: Any = None
        if config.fleet is not None:
            self._join_fleet(config, config.fleet)
        if config.admin is not None:
            from ironbarrow.admin.server import AdminServer

            if self.fleet is None:
                # in a fleet, the other members take over the jobs that a process leaves
                self._open_hand_over(config)
            admin = config.admin
            self.admin_listener = retry_transient(lambda: listen(admin))
            AdminServer(self.loop, self.admin_listener, self._operations)

    def _join_fleet(self, config: Config, path: Path) -> None:
        """Makes this process a member of the fleet that the file at ``path`` describes; from here on its
        jobs are recorded in the fleet."""
        try:
            from ironbarrow.fleet.file import FleetError
            from ironbarrow.fleet.takeover.participant import FleetParticipant
        except ImportError as error:
            raise ConfigError(f"fleet: {path}: needs msgspec: {error}") from None
        address = self.listener.getsockname()[:2]
        try:
            self.fleet = FleetParticipant(
                self.loop, self.host, self.invoker, path, config.name, config.settings.zone, address
            )
        except (FleetError, ValueError) as error:
            raise ConfigError(str(error)) from None
        except OSError as error:
            raise ConfigError(f"{path}: listen: cannot listen on this address: {error}") from None
        self.server.fleet_jobs = self.fleet.adapter

    def _open_hand_over(self, config: Config) -> None:
        """Opens the channel over which this process hands its jobs over to the one that replaces it.

        Without a folder, or if the channel can't be opened, it logs a warning and serves without. If the
        folder may fail only for a while, it tries again later."""
        if config.folder is None:
            log.warning("hand-over to a new process is off: TMPDIR is not set")
            return
        folder = config.folder
        try:
            retry_transient(lambda: self._open_channel(folder, config.name))
        except OSError as error:
            log.warning("hand-over to a new process is off", folder=str(folder), error=str(error))
            if error.errno not in _UNUSABLE_FOLDER_ERRORS:
                # an older process may run beside this one that can't be seen now
                self.host.set_predecessor_running(True)
                self._open_channel_later(folder, config.name)

    def _open_channel(self, folder: Path, name: str) -> None:
        from ironbarrow.handover.upgrade import Upgrade

        self._upgrade = Upgrade(self.loop, self.host, self.server, self.invoker, folder, name)
        self._operations.announce_ready = self._upgrade.announce
        self._operations.pending_jobs = lambda: self._upgrade.jobs_pending

    def _open_channel_later(self, folder: Path, name: str) -> None:
        self.loop.call_at(self.loop.now() + _CHANNEL_RETRY_PAUSE, self._retry_channel, folder, name)

    def _retry_channel(self, folder: Path, name: str) -> None:
        if self._stopping:
            return  # it would announce itself to other processes as their successor
        try:
            self._open_channel(folder, name)
        except OSError:
            self._open_channel_later(folder, name)
        else:
            log.info("hand-over to a new process is on", folder=str(folder))

    def _on_call_back(self, raw: Any) -> None:
        if self.invoker.handle_call_back(raw):
            return
        if self.fleet is not None:
            self.fleet.on_unmatched_call_back(raw)
        elif self._upgrade is not None:
            self._upgrade.on_unmatched_call_back(raw)

    def _on_worker_list(self, worker_list: api.WorkerList) -> None:
        self.host.update_workers(
            worker_list if self._operations is None else self._operations.apply_bans(worker_list)
        )

    def run(self) -> None:
        """Serves until ``stop``, then until every accepted job is answered or the shutdown times run out."""
        log.info("serving", address="{}:{}".format(*self.listener.getsockname()[:2]))
        self.loop.run()
        self.close()
        log.info("stopped", events=self.host.event_log.totals())

    def stop_on_signals(self, early_signals: EarlySignals | None = None) -> None:
        """Installs handlers of SIGTERM and SIGINT that call ``stop``. They replace the whole process's
        handlers, so this is for programs that only serve; call it on the main thread.

        ``early_signals``: those noted during the start; one of these stops at once."""
        self._wake_on_signals()
        for number in _STOP_SIGNALS:
            signal.signal(number, self._on_signal)
        came_at = None if early_signals is None else early_signals.first_at(_STOP_SIGNALS)
        if came_at is not None:
            self.loop.call_soon(self.stop, self.loop.at(came_at))

    def reload_on_signal(self, read: Callable[[], Config], early_signals: EarlySignals | None = None) -> None:
        """Installs a handler of SIGHUP that calls ``reload`` with the result of ``read``. If that raises a
        ConfigError, it is logged and nothing changes. ``early_signals``: as for ``stop_on_signals``.

        Without a handler, the signal would end the program, and the jobs that it has accepted would be lost.
        """
        self._wake_on_signals()
        signal.signal(signal.SIGHUP, lambda number, frame: self.loop.call_soon(self._reload, read))
        if early_signals is not None and early_signals.first_at([signal.SIGHUP]) is not None:
            self.loop.call_soon(self._reload, read)

    def _wake_on_signals(self) -> None:
        signal.set_wakeup_fd(self.loop.wake_fd, warn_on_full_buffer=False)
        self._wakeup_fd_set = True

    def _reload(self, read: Callable[[], Config]) -> None:
        try:
            self.reload(read())
        except ConfigError as error:
            log.error("reload failed; the running configuration stays", error=str(error))

    def reload(self, config: Config) -> None:
        """Applies the changes that need no restart: the address of the discovery service and the operators'
        routes, both of them or, with a ConfigError, neither.

        Jobs, connections and the worker list stay. Other values that have changed are named in the log and
        apply after a restart.
        """
        table = self._load_routes(config)
        self._set_routes(table)
        self.discovery.switch_to(config.discovery)
        restart_only = (
            "name",
            "listen",
            "admin",
            "settings",
            "fleet",
            "sockets",
            "memory_mb",
            "connect_timeout",
            "idle_limit",
        )
        need_restart = [name for name in restart_only if getattr(self._config, name) != getattr(config, name)]
        log.info("reloaded", discovery="{}:{}".format(*config.discovery), waits_for_start=need_restart)

    def _load_routes(self, config: Config) -> Any:
        """Returns the operators' routes, fully checked; None without a file. Raises a ConfigError."""
        if config.routes is None:
            return None
        # imported here, so that a start without routes does not load the libraries that read them
        from ironbarrow.routing.file import RoutesError, load_routes
        from ironbarrow.routing.table import RoutingTable

        try:
            return RoutingTable(load_routes(config.routes), self._config.settings)
        except RoutesError as error:
            raise ConfigError(str(error)) from None

    def _set_routes(self, table: Any) -> None:
        if table is None:
            self._router = None
        elif self._router is None:
            from ironbarrow.routing.router import Router

            self._router = Router(table)
        else:
            self._router.replace_table(table)
        self.server.router = self._router

    def close(self) -> None:
        """Closes all connections and descriptors."""
        if self._wakeup_fd_set:
            # otherwise a later signal would be written to a descriptor that has reused this number by then
            self._wakeup_fd_set = False
            with suppress(ValueError):  # not on the main thread
                signal.set_wakeup_fd(-1)
        self.loop.close()
        self.listener.close()
        if self._upgrade is not None:
            self._upgrade.close()
        if self.fleet is not None:
            self.fleet.close()
        if self.admin_listener is not None:
            self.admin_listener.close()

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.loop.call_soon(self.stop, self.loop.now())
        self.loop.wake()  # the byte that ``set_wakeup_fd`` writes may have been lost

    def stop(self, signalled_at: int | None = None) -> None:
        """Begins the orderly shutdown: accepts jobs for a short time more, finishes the accepted jobs and
        then ends ``run``. Further calls have no effect. ``signalled_at``: when the process was told to stop,
        ns on the loop's clock; None: now. The times of the shutdown count from there."""
        if self._stopping:
            return
        self._stopping = True
        now = self.loop.now()
        began_at = now if signalled_at is None else signalled_at
        self._connection_deadline = began_at + self.shutdown_times.connection_limit
        self._rejection_deadline = began_at + self.shutdown_times.rejection_limit
        self._limit_late_jobs(began_at)
        if self._begin_hand_over():
            self._enter(Phase.HANDING_OVER)
            # the new process serves already and takes over the jobs that still arrive here
            self.loop.call_at(now + _HAND_OVER_DELAY, self._leave_address)
        else:
            self._enter(Phase.FINISHING)
            if self.fleet is not None:
                self.loop.call_at(began_at + self.shutdown_times.leave_delay, self._leave_fleet)
            self.loop.call_at(began_at + self.shutdown_times.idle_close_delay, self._close_idle)
        if self._operations is not None:
            self._operations.stopping = True
        log.info("stopping", owed=self.host.unanswered)

    def _limit_late_jobs(self, began_at: int) -> None:
        """Sets the answer limit of the jobs that arrive from now on. It holds whoever takes jobs over."""
        times = self.shutdown_times
        limit, end = began_at + times.answer_limit, began_at + times.connection_limit
        if self.fleet is not None:
            limit, end = began_at + times.fleet_answer_limit, began_at + times.leave_delay
        self.host.shutdown.begin(began_at, limit)
        self.loop.call_at(end, self.server.check_late_answers)
        self.loop.call_at(limit + _DECISION_GRACE, self._end_late_jobs)

    def _end_late_jobs(self) -> None:
        self.host.end_late_jobs()
        if self.fleet is not None:
            self.fleet.adapter.end_late_requests()
        self.server.end_incomplete_requests()

    def _enter(self, phase: Phase) -> None:
        self.host.shutdown.enter(phase, self.host.unanswered)

    def _begin_hand_over(self) -> bool:
        """Starts to hand jobs over to the new process; False if there is none or the channel fails.

        An error here must not stop the shutdown, because a second call of ``stop`` does nothing."""
        try:
            return self._upgrade is not None and self._upgrade.hand_over()
        except OSError as error:
            log.warning("hand-over to the new process failed", error=str(error))
            return False

    def _leave_address(self) -> None:
        """Leaves new connections to the new process. While jobs arrived here, this one would not end."""
        if self._upgrade.successor_runs:
            self.server.stop_accepting()
        else:
            self._enter(Phase.SUCCESSOR_GONE)
        self._close_idle()

    def _leave_fleet(self) -> None:
        """Leaves the unanswered jobs to the other members, where their clients ask again.

        From now on this process must not send, answer or cancel any of them."""
        self._enter(Phase.LEAVING_FLEET)
        self.fleet.leave(self.loop.now() + self.shutdown_times.leave_timeout)
        self._finish_when_left()

    def _finish_when_left(self) -> None:
        if self.fleet.has_left and not self.server.unwritten_answers:
            self._finish()
        else:
            self.loop.call_at(self.loop.now() + _DONE_CHECK_INTERVAL, self._finish_when_left)

    def _finish(self) -> None:
        self._enter(Phase.ENDING)
        # From here on new connections are refused, so that clients go to another dispatcher. If the listener
        # stayed open until this turn of the loop ends, they would be accepted and dropped without an answer.
        self.listener.close()
        self.loop.stop()

    def _close_idle(self) -> None:
        # before close_idle, because the program must end even if that raises
        self.loop.call_soon(self._finish_when_done)
        self._enter(Phase.CLOSING_IDLE)
        self.server.close_idle()

    def _unanswered_beside_host(self) -> int:
        """Number of jobs that this process has to answer, or may have to, and that the host does not have."""
        if self.fleet is not None:
            return int(self.fleet.adapter.unanswered)
        if self._upgrade is None:
            return 0
        may_be_rejected = self.loop.now() < self._rejection_deadline
        return int(self._upgrade.jobs_pending + (self._upgrade.jobs_handed_over if may_be_rejected else 0))

    def _finish_when_done(self) -> None:
        if self.loop.stopped:
            return  # the process has left its fleet, and its listener is closed
        # the listener stays open until all jobs are answered, because workers' call-backs arrive through it
        other_unanswered = self._unanswered_beside_host()
        # without this limit, a connection whose peer never closes its side would delay the exit until SIGKILL
        has_open_connections = self.server.has_connections and self.loop.now() < self._connection_deadline
        unanswered = self.host.unanswered + other_unanswered + self.server.unwritten_answers
        if unanswered or has_open_connections:
            self.loop.call_at(self.loop.now() + _DONE_CHECK_INTERVAL, self._finish_when_done)
        elif self.fleet is None:
            self._finish()
        elif not self.fleet.has_left:
            self.fleet.leave(self.loop.now() + self.shutdown_times.leave_timeout)
            self._finish_when_left()


def _log_task_failure(error: Exception) -> None:
    log.error("task failed", exc_info=error)
