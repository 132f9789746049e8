"""The whole program as an object: for the command line and for whoever embeds it."""

import resource
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any

import structlog

from heathway import api
from ironbarrow.backs.invoker import HttpInvoker
from ironbarrow.config.platform import Config, ConfigError
from ironbarrow.core.host import Host
from ironbarrow.discovery.client import DiscoveryClient
from ironbarrow.fronts.server import HttpServer
from ironbarrow.runtime.loop import MS, SECOND, Loop
from ironbarrow.runtime.retry import retry_transient
from ironbarrow.runtime.sockets import listen

log = structlog.get_logger()

_LONGEST_COUNTED = 3 * SECOND
_KILLED_AFTER = 700 * MS
_HANDING_OVER = 300 * MS  # clients and workers that are just connecting still find this one
_DONE_CHECKED = 10 * MS
_MB = 1 << 20
_PROGRAM_MB = 28  # the program itself, as measured on a calm day
_DOOR = 32  # descriptors for the operators' listener, its connections and the file of bans
_LEAST = 8  # so that no part of what is spare comes to nothing
_LEAST_SPARE = 32  # that clients and workers need beside a fleet's links
# for the program itself, the listener, epoll and the discovery service; calls may take half of them
_RESERVED = 32


@dataclass(frozen=True, slots=True)
class Pace:
    """The times of an orderly end, ns from the order to stop."""

    still_coming: int  # idle connections are kept for so long
    last_answer: int  # what has come since has its answer by then
    gone: int  # connections that others keep open are not waited for any more
    leaving: int  # a fleet takes over what is still owed from then on
    leave_limit: int  # for telling it so, after that

    @staticmethod
    def of(settings: api.Settings) -> "Pace":
        """SIGKILL may come 0.7 s after the longest deadline, 3 s counting for a longer one, and whoever came
        more than 0.7 s after SIGTERM must have its answer by then; 0.2 to 0.4 s long new ones are still sent.

        Danger: closed at once, connections bring nothing more, but while another dispatcher is starting again
        their clients have nowhere to go. Kept for as long where deadlines are short, they would bring what
        finds its end in SIGKILL.
        """
        longest = min(_LONGEST_COUNTED, max(cls.deadline for cls in settings.classes))
        last_answer = longest + _KILLED_AFTER - max(150 * MS, min(500 * MS, longest // 2))
        leave_limit = min(700 * MS, last_answer // 2)
        killed = longest + _KILLED_AFTER
        return Pace(
            still_coming=max(500 * MS, min(1500 * MS, last_answer // 2)),
            last_answer=last_answer,
            gone=last_answer + (killed - last_answer) // 3,
            leaving=last_answer - leave_limit,
            leave_limit=leave_limit,
        )


class Dispatcher:
    """Listens, serves and stops."""

    def __init__(self, config: Config, listener: socket.socket | None = None) -> None:
        # danger: a start that fails for a moment's lack of something is a crash to whoever waits for it
        self.loop = retry_transient(lambda: Loop(_task_failed))
        self._stopping = False
        self._gone_at = 0  # ns, once it is told to stop
        self._signals = False  # they write to the loop
        self.pace = Pace.of(config.settings)
        self._config = config
        self.listener = listener or retry_transient(
            lambda: listen(config.listen, reuse_port=config.admin is not None)
        )
        self.host = Host(self.loop, config.settings, config.seed, traced=config.traced)
        self._operations: Any = None
        self.admin: socket.socket | None = None
        if config.admin is not None:
            # only who has such an address pays for what is behind it
            from ironbarrow.admin.operations import Operations

            self._operations = Operations(self.loop, self.host, config.folder, config.name)
        asks = config.settings.asks_for_list
        self.discovery = DiscoveryClient(
            self.loop, config.discovery, self._listed, on_request=asks, seed=config.seed
        )
        if asks:
            self.host.set_subscribed = self.discovery.subscribe
        spare = _descriptors(config.sockets) - _RESERVED - (_DOOR if config.admin is not None else 0)
        if config.fleet is not None:
            spare = _without_links(config, config.fleet, spare)
        self.invoker = HttpInvoker(
            self.loop,
            self.host,
            self.discovery,
            config.reports,
            connect_timeout=config.connect_timeout,
            idle_limit=config.idle_limit,
            max_idle=spare // 4,
            max_connections=spare - spare * 5 // 8 + _RESERVED // 2,
        )
        self.host.invoker = self.invoker
        self.clients = HttpServer(
            self.loop,
            self.host,
            self.listener,
            self._called_back,
            self.invoker.free_descriptors,
            max_connections=spare * 5 // 8,
            max_buffered_bytes=max(1, config.memory_mb - _PROGRAM_MB) * _MB // 2,
        )
        self._router: Any = None
        if config.routes is not None:
            self._route(self._read_routes(config))
        self.discovery.start(config.known)
        self._upgrade: Any = None
        self.fleet: Any = None
        if config.fleet is not None:
            self._join(config, config.fleet)
        if config.admin is not None:
            from ironbarrow.admin.door import Door

            if self.fleet is None:
                # with a fleet, what a process leaves is taken over by the others
                self._open_channel(config)
            admin = config.admin
            self.admin = retry_transient(lambda: listen(admin))
            Door(self.loop, self.admin, self._operations)

    def _join(self, config: Config, path: Path) -> None:
        """What this process takes and owes is known to its fleet from here on."""
        try:
            from ironbarrow.fleet.file import FleetError
            from ironbarrow.fleet.takeover.participant import FleetParticipant
        except ImportError as error:
            raise ConfigError(f"fleet: {path}: needs msgspec: {error}") from None
        front = self.listener.getsockname()[:2]
        try:
            self.fleet = FleetParticipant(
                self.loop, self.host, self.invoker, path, config.name, config.settings.zone, front
            )
        except (FleetError, ValueError) as error:
            raise ConfigError(str(error)) from None
        except OSError as error:
            raise ConfigError(f"{path}: listen: can't listen there: {error}") from None
        self.clients.fleet_jobs = self.fleet.adapter

    def _open_channel(self, config: Config) -> None:
        """Where the process that replaces this one finds it."""
        if config.folder is None:
            log.warning("no hand-over to a next process: TMPDIR is not set")
            return
        from ironbarrow.handover.upgrade import Upgrade

        try:
            folder = config.folder
            self._upgrade = retry_transient(
                lambda: Upgrade(self.loop, self.host, self.clients, self.invoker, folder, config.name)
            )
        except OSError as error:
            log.warning("no hand-over to a next process", folder=str(config.folder), error=str(error))
            return
        self._operations.announced = self._upgrade.announce
        self._operations.kept = lambda: self._upgrade.owed

    def _called_back(self, raw: Any) -> None:
        if self.invoker.called_back(raw):
            return
        if self.fleet is not None:
            self.fleet.on_unmatched_call_back(raw)
        elif self._upgrade is not None:
            self._upgrade.stray(raw)

    def _listed(self, news: api.WorkerList) -> None:
        self.host.update_workers(news if self._operations is None else self._operations.listed(news))

    def run(self) -> None:
        """Serves until ``stop``, and then until all that was taken has its answer."""
        log.info("serving", address="{}:{}".format(*self.listener.getsockname()[:2]))
        self.loop.run()
        self.close()
        log.info("stopped", events=self.host.event_log.totals())

    def stop_on_signals(self) -> None:
        """SIGTERM and SIGINT mean ``stop``. For programs that are nothing else; main thread only."""
        self._wake_on_signals()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        # one may wait from before. Danger: the kernel takes connections in from the moment the address is
        # bound, and a signal that ends the program during the start would reset them
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM, signal.SIGINT])

    def reload_on_signal(self, read: Callable[[], Config]) -> None:
        """SIGHUP means ``reload`` with what ``read`` brings; a ConfigError leaves all as it is.

        Danger: unhandled, the signal ends the program and all it has taken.
        """
        self._wake_on_signals()
        signal.signal(signal.SIGHUP, lambda number, frame: self.loop.call_soon(self._reload, read))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # one may wait from before

    def _wake_on_signals(self) -> None:
        signal.set_wakeup_fd(self.loop.wake_fd, warn_on_full_buffer=False)
        self._signals = True

    def _reload(self, read: Callable[[], Config]) -> None:
        try:
            self.reload(read())
        except ConfigError as error:
            log.error("configuration not taken, the running one stays", error=str(error))

    def reload(self, config: Config) -> None:
        """Applies what may change while it serves: the discovery service's address and the operators' routes,
        all of it or, with a ConfigError, nothing. Jobs, connections and the list of workers stay; what
        else has changed is named in the log and waits for a start."""
        table = self._read_routes(config)
        self._route(table)
        self.discovery.switch_to(config.discovery)
        fixed = (
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
        waits = [name for name in fixed if getattr(self._config, name) != getattr(config, name)]
        log.info("reloaded", discovery="{}:{}".format(*config.discovery), waits_for_start=waits)

    def _read_routes(self, config: Config) -> Any:
        """The operators' routes, checked whole; None without a file."""
        if config.routes is None:
            return None
        # only who has such a file pays for the libraries that read it
        from ironbarrow.routing.file import RoutesError, load_routes
        from ironbarrow.routing.table import RoutingTable

        try:
            return RoutingTable(load_routes(config.routes), self._config.settings)
        except RoutesError as error:
            raise ConfigError(str(error)) from None

    def _route(self, table: Any) -> None:
        if table is None:
            self._router = None
        elif self._router is None:
            from ironbarrow.routing.router import Router

            self._router = Router(table)
        else:
            self._router.replace_table(table)
        self.clients.router = self._router

    def close(self) -> None:
        """Lets go of every connection and descriptor."""
        if self._signals:
            # danger: one that still comes would be written to whoever has the descriptor's number by then
            self._signals = False
            with suppress(ValueError):  # not on the main thread
                signal.set_wakeup_fd(-1)
        self.loop.close()
        self.listener.close()
        if self._upgrade is not None:
            self._upgrade.close()
        if self.fleet is not None:
            self.fleet.close()
        if self.admin is not None:
            self.admin.close()

    def _signalled(self, number: int, frame: FrameType | None) -> None:
        self.loop.call_soon(self.stop)

    def stop(self) -> None:
        """Takes what still comes for a short while, finishes what was taken, then ends ``run``."""
        if self._stopping:
            return
        self._stopping = True
        now = self.loop.now()
        self._gone_at = now + self.pace.gone
        if self._hands_over():
            # the next process serves already, and takes what still comes here
            self.loop.call_at(now + _HANDING_OVER, self._close_idle)
        else:
            if self.fleet is not None:
                self.loop.call_at(now + self.pace.leaving, self._leave)
            else:
                self.host.answer_deadline = now + self.pace.last_answer
            self.loop.call_at(now + self.pace.still_coming, self._close_idle)
        if self._operations is not None:
            self._operations.stopping = True
        log.info("stopping", owed=self.host.unanswered)

    def _hands_over(self) -> bool:
        """Danger: a channel that fails must not keep the program from its end: a second order is none."""
        try:
            return self._upgrade is not None and self._upgrade.hand_over()
        except OSError as error:
            log.warning("no hand-over to a next process", error=str(error))
            return False

    def _leave(self) -> None:
        """What is still owed goes to the others; its clients come again there. Danger: nothing of it may be
        sent, answered or called off here from now on."""
        self.fleet.leave(self.loop.now() + self.pace.leave_limit)
        self._stop_when_left()

    def _stop_when_left(self) -> None:
        if self.fleet.has_left:
            self._end()
        else:
            self.loop.call_at(self.loop.now() + _DONE_CHECKED, self._stop_when_left)

    def _end(self) -> None:
        # danger: who connects from here on is refused and goes elsewhere; left to the end of this turn, the
        # listener would take it in and drop it with no answer
        self.listener.close()
        self.loop.stop()

    def _close_idle(self) -> None:
        self.loop.call_soon(self._stop_when_done)  # danger: whatever fails here, the end has to come
        self.clients.close_idle()

    def _stop_when_done(self) -> None:
        # danger: the listener stays to the end, since call-backs come in through it
        kept = self._upgrade.owed + self._upgrade.handed_over if self._upgrade is not None else 0
        kept += self.fleet.adapter.owed if self.fleet is not None else 0
        # danger: one whose peer never closes its side would hold up the end beyond SIGKILL
        waited_for = self.clients.has_connections and self.loop.now() < self._gone_at
        if self.host.unanswered or kept or waited_for:
            self.loop.call_at(self.loop.now() + _DONE_CHECKED, self._stop_when_done)
        elif self.fleet is None:
            self._end()
        elif not self.fleet.has_left:
            self.fleet.leave(self.loop.now() + self.pace.leave_limit)
            self._stop_when_left()


def _descriptors(configured: int) -> int:
    """How many there are. Danger: counted on beyond what the system gives, the last ones are never there, and
    the discovery service and workers would get none while clients take all."""
    try:
        given = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    except (OSError, ValueError):
        return configured
    if given == resource.RLIM_INFINITY or given >= configured:
        return configured
    log.warning("the system gives fewer descriptors than limits.sockets says", given=given, limit=configured)
    return max(_RESERVED + _DOOR + _LEAST, given)


def _without_links(config: Config, path: Path, spare: int) -> int:
    """What is left of the descriptors beside the links of a fleet. A ConfigError for a file that can't be
    used, or where too few are left.

    Danger: taken by clients, none would be left for those who keep what this process owes.
    """
    try:
        from ironbarrow.fleet.file import FleetError, load
    except ImportError as error:
        raise ConfigError(f"fleet: {path}: needs msgspec: {error}") from None
    try:
        links = load(path, config.name).descriptors
    except FleetError as error:
        raise ConfigError(str(error)) from None
    if spare - links < _LEAST_SPARE:
        raise ConfigError(
            f"{path}: links: {links} descriptors leave {spare - links} of limits.sockets = {config.sockets}"
            f" to clients and workers, expected {_LEAST_SPARE} or more"
        )
    return spare - links


def _task_failed(error: Exception) -> None:
    log.error("task failed", exc_info=error)
