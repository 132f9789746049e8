"""Replaces calls of this process by ones that fail by a plan, before the program under test is imported."""

import fcntl
import os
import select
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any
from weakref import WeakKeyDictionary, WeakSet

from ironbarrow.lab.faults.rules import Call, FaultPlan, FaultRule, Side

_LOCK_COMMANDS = frozenset((fcntl.F_SETLK, fcntl.F_SETLKW, fcntl.F_OFD_SETLK))
_STANDARD_ERROR = 2  # where the log is written; not one of the program's files


class FaultInjector:
    """Decides for each call whether it fails, and counts the injected failures by call and error."""

    def __init__(self, plan: FaultPlan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)
        self._started = time.monotonic()
        self._stopped: float | None = None  # when the first SIGTERM was handled
        self._opened: WeakSet[socket.socket] = WeakSet()  # connections opened by this process
        self._broken: WeakKeyDictionary[socket.socket, int] = WeakKeyDictionary()
        self.failures: Counter[tuple[str, str]] = Counter()

    def install(self) -> None:
        """Replaces the calls for the whole process. This can't be undone."""
        self._install_sockets()
        self._install_epoll()
        self._install_poll()
        self._install_files()
        self._install_clock()
        self._install_signals()

    # Decisions

    def _matching_rule(self, call: Call, sock: socket.socket | None = None) -> FaultRule | None:
        """The rule by which this call fails now, if any. Counts the failure."""
        now = time.monotonic()
        for rule in self._plan.rules:
            origin = self._stopped if rule.since_stop else self._started
            if rule.call is not call or origin is None or not self._applies_to(rule, sock):
                continue
            if rule.should_fail(now - origin, self._random):
                self.failures[call.value, os.strerror(rule.error) if rule.error else "short"] += 1
                return rule
        return None

    def _applies_to(self, rule: FaultRule, sock: socket.socket | None) -> bool:
        if rule.side is Side.ANY or sock is None:
            return rule.side is Side.ANY
        return (sock in self._opened) is (rule.side is Side.WORKERS)

    def check(self, call: Call, sock: socket.socket | None = None) -> bool:
        """Raises the OSError with which this call fails now. Returns whether the call is to be cut short."""
        if sock is not None and (error := self._broken.get(sock)):
            raise OSError(error, os.strerror(error))
        rule = self._matching_rule(call, sock)
        if rule is None:
            return False
        if not rule.error:
            return True
        if rule.breaks and sock is not None:
            self._broken[sock] = rule.error
        raise OSError(rule.error, os.strerror(rule.error))

    # Replaced calls

    def _install_sockets(self) -> None:
        injector, cls = self, socket.socket
        init, accept, connect_ex = cls.__init__, cls._accept, cls.connect_ex  # type: ignore[attr-defined]
        send, recv, sendmsg, recvmsg = cls.send, cls.recv, cls.sendmsg, cls.recvmsg
        duplicate = cls.dup

        def faulty_init(sock: Any, *args: Any, **kwargs: Any) -> None:
            if kwargs.get("fileno") is None and len(args) < 4:
                injector.check(Call.SOCKET)
            init(sock, *args, **kwargs)

        def faulty_accept(sock: Any) -> Any:
            injector.check(Call.ACCEPT)
            return accept(sock)

        def faulty_connect_ex(sock: Any, address: Any) -> int:
            try:
                injector.check(Call.CONNECT)
            except OSError as error:
                assert error.errno is not None
                return error.errno
            injector._opened.add(sock)
            return connect_ex(sock, address)

        def faulty_send(sock: Any, data: Any, *flags: int) -> int:
            short = injector.check(Call.SEND, sock)
            return send(sock, data[: max(1, injector._short_size(len(data)))] if short else data, *flags)

        def faulty_recv(sock: Any, size: int, *flags: int) -> bytes:
            short = injector.check(Call.RECV, sock)
            return recv(sock, injector._short_size(size) if short else size, *flags)

        def faulty_sendmsg(sock: Any, *args: Any) -> int:
            injector.check(Call.SENDMSG)
            return sendmsg(sock, *args)

        def faulty_recvmsg(sock: Any, *args: Any) -> Any:
            injector.check(Call.RECVMSG)
            return recvmsg(sock, *args)

        def faulty_dup(sock: Any) -> Any:
            injector.check(Call.DUP)
            return duplicate(sock)

        patched: dict[str, Callable[..., Any]] = {
            "__init__": faulty_init,
            "_accept": faulty_accept,
            "connect_ex": faulty_connect_ex,
            "send": faulty_send,
            "recv": faulty_recv,
            "sendmsg": faulty_sendmsg,
            "recvmsg": faulty_recvmsg,
            "dup": faulty_dup,
        }
        for name, call in patched.items():
            setattr(cls, name, call)

    def _short_size(self, limit: int) -> int:
        """A random size for a short read or write: from 1 to ``limit``, but at most 16 bytes."""
        return self._random.randint(1, max(1, min(limit, 16)))

    def _install_epoll(self) -> None:
        injector, original = self, select.epoll

        class FaultyEpoll:
            """As ``select.epoll``, but adding or removing a descriptor may fail."""

            def __init__(self, *args: Any) -> None:
                self._epoll = original(*args)

            def register(self, fd: int, mask: int = 0) -> None:
                injector.check(Call.WATCH)
                self._epoll.register(fd, mask)

            def unregister(self, fd: int) -> None:
                injector.check(Call.UNWATCH)
                self._epoll.unregister(fd)

            def __getattr__(self, name: str) -> Any:
                return getattr(self._epoll, name)

        select.epoll = FaultyEpoll  # type: ignore[misc,assignment]

    def _install_poll(self) -> None:
        injector, original = self, select.poll

        class FaultyPoll:
            """As ``select.poll``, but the poll itself may fail."""

            def __init__(self) -> None:
                self._poll = original()

            def poll(self, *args: Any) -> Any:
                injector.check(Call.POLL)
                return self._poll.poll(*args)

            def __getattr__(self, name: str) -> Any:
                return getattr(self._poll, name)

        select.poll = FaultyPoll  # type: ignore[misc,assignment]

    def _install_signals(self) -> None:
        """Notes the first SIGTERM, and may take the wake-up byte away from a signal."""
        injector, install, set_wakeup_fd = self, signal.signal, signal.set_wakeup_fd

        def noting_signal(number: int, handler: Any) -> Any:
            if number != signal.SIGTERM or not callable(handler):
                return install(number, handler)

            def note_and_handle(*args: Any) -> Any:
                if injector._stopped is None:
                    injector._stopped = time.monotonic()
                return handler(*args)

            return install(number, note_and_handle)

        def faulty_set_wakeup_fd(fd: int, **options: Any) -> int:
            lost = any(rule.call is Call.WAKE_UP for rule in injector._plan.rules)
            return set_wakeup_fd(-1 if lost else fd, **options)

        signal.signal = noting_signal  # type: ignore[assignment]
        signal.set_wakeup_fd = faulty_set_wakeup_fd

    def _install_files(self) -> None:
        injector = self
        lock = fcntl.fcntl

        def faulty_fcntl(fd: Any, command: int, *args: Any) -> Any:
            if command in _LOCK_COMMANDS:
                injector.check(Call.LOCK)
            return lock(fd, command, *args)

        fcntl.fcntl = faulty_fcntl
        write, fsync, replace, open_file = os.write, os.fsync, os.replace, os.open

        def faulty_write(fd: int, data: Any) -> int:
            if fd == _STANDARD_ERROR:
                return write(fd, data)
            short = injector.check(Call.WRITE)
            return write(fd, data[: injector._short_size(len(data))] if short else data)

        def faulty_fsync(fd: Any) -> None:
            injector.check(Call.FSYNC)
            fsync(fd)

        def faulty_replace(*args: Any, **kwargs: Any) -> None:
            injector.check(Call.REPLACE)
            replace(*args, **kwargs)

        def faulty_open(path: Any, flags: int, *args: Any, **kwargs: Any) -> int:
            if flags & (os.O_WRONLY | os.O_RDWR):
                injector.check(Call.OPEN)
            return open_file(path, flags, *args, **kwargs)

        os.write, os.fsync, os.replace, os.open = faulty_write, faulty_fsync, faulty_replace, faulty_open

    def _install_clock(self) -> None:
        injector, original = self, time.time_ns

        def stepped_time_ns() -> int:
            return original() + int(injector.clock_offset_s() * 1e9)

        time.time_ns = stepped_time_ns
        time.time = lambda: stepped_time_ns() / 1e9

    def clock_offset_s(self) -> float:
        """The current error of this process's wall clock, s."""
        now = time.monotonic() - self._started
        plan = self._plan
        return plan.clock_offset_s + sum(step.by_s for step in plan.clock_steps if step.at_s <= now)
