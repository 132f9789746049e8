"""Fault-injecting proxies between dispatchers, one for each ordered pair, on the laboratory's event loop.

A proxy splits the byte stream into frames, so that it can lose, duplicate, delay and reorder whole messages,
or block all of them while the connection stays open; it never forwards part of a message. Replies on a
connection are subject to the fault of the opposite pair.
"""

import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.fleet.codec import FrameError, FrameSplitter
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import connect

_CONNECT_TIMEOUT = 2 * SECOND
_MAX_BUFFERED_BYTES = 4 << 20  # per direction of a connection, if its reader does not read
_READ_SIZE = 64 * 1024
_WRITE_RETRY_INTERVAL = 2 * MS  # after a send to a full socket
_CUT_POLL_INTERVAL = 20 * MS
_LENGTH_PREFIX_BYTES = 4


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What happens to frames from one dispatcher to another. Probabilities from 0 to 1, times in ns.

    ``jitter`` is added to the delay, uniformly distributed; a large one reorders frames."""

    delay: int = 0
    jitter: int = 0
    lost: float = 0.0
    doubled: float = 0.0
    cut: bool = False


NO_FAULT = LinkFault()
CUT = LinkFault(cut=True)


class LinkProxies:
    """All proxies of a fleet, by dispatcher names. A fault may be set at any time and applies to the frames
    that arrive from then on."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self._loop, self._random = loop, random.Random(seed)
        self._faults: dict[tuple[str, str], LinkFault] = {}
        self._proxies: dict[tuple[str, str], _LinkProxy] = {}
        self.frames: Counter[str] = Counter()  # by what was done with them
        self.bytes: Counter[tuple[str, str]] = Counter()  # received, by pair

    def add(self, sender: str, target: str, address: Address, destination: Address) -> Address:
        """Adds the proxy of an ordered pair. Returns the address where ``sender`` reaches ``target``."""
        proxy = self._proxies[sender, target] = _LinkProxy(
            self, self._loop, sender, target, address, destination
        )
        return proxy.address

    def fault(self, sender: str, target: str) -> LinkFault:
        """Returns the current fault of an ordered pair."""
        return self._faults.get((sender, target), NO_FAULT)

    def set(self, pairs: Iterable[tuple[str, str]], fault: LinkFault = NO_FAULT) -> None:
        """Sets the fault of these ordered pairs."""
        for pair in pairs:
            if fault == NO_FAULT:
                self._faults.pop(pair, None)
            else:
                self._faults[pair] = fault

    def heal(self) -> None:
        """Removes the faults of all pairs."""
        self._faults.clear()

    def close(self) -> None:
        for proxy in self._proxies.values():
            proxy.close()

    def delays(self, sender: str, target: str) -> list[int]:
        """Returns the delay (ns) of each copy of a frame that arrives now: none if it is lost, two if it is
        duplicated."""
        fault = self.fault(sender, target)
        if fault is NO_FAULT:
            self.frames["passed"] += 1
            return [0]
        if fault.cut or self._random.random() < fault.lost:
            self.frames["cut off" if fault.cut else "lost"] += 1
            return []
        doubled = self._random.random() < fault.doubled
        self.frames["doubled" if doubled else "passed"] += 1
        draws = range(2 if doubled else 1)
        return [fault.delay + int(self._random.random() * fault.jitter) for _ in draws]


class _LinkProxy:
    """The proxy of one ordered pair."""

    def __init__(
        self,
        links: LinkProxies,
        loop: Loop,
        sender: str,
        target: str,
        address: Address,
        destination: Address,
    ) -> None:
        self._links, self._loop = links, loop
        self._sender, self._target, self._destination = sender, target, destination
        self._listener = sockets.listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self._tasks: dict[Task, None] = {}
        self._accepting = loop.spawn(self._accept())

    def close(self) -> None:
        self._accepting.cancel()
        self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            while (sock := sockets.accept(self._listener)) is not None:
                self._spawn(self._connect(sock))

    def _spawn(self, coroutine: Coroutine[None]) -> None:
        tasks = self._tasks

        def tracked() -> Coroutine[None]:
            task = self._loop.current
            assert task is not None
            tasks[task] = None
            try:
                yield from coroutine
            finally:
                tasks.pop(task, None)

        self._loop.spawn(tracked())

    def _connect(self, client: socket.socket) -> Coroutine[None]:
        """Connects a client to the destination and forwards both directions until one side ends.

        A cut link also hides the end of the connection: the other side sees it once the link is healed."""
        server: socket.socket | None = None
        return_task: Task | None = None
        try:
            server = (yield from connect(self._destination, self._loop.now() + _CONNECT_TIMEOUT)).sock
            to_server, to_client = _DelayedWriter(self._loop, server), _DelayedWriter(self._loop, client)
            this_task = self._loop.current
            assert this_task is not None
            return_task = self._loop.spawn(
                self._forward(server, to_client, self._target, self._sender, this_task.wake)
            )
            yield from self._forward(client, to_server, self._sender, self._target, lambda: None, return_task)
        except ConnectionEndedError:
            yield from self._wait_until_healed(self._target, self._sender)
        finally:
            if return_task is not None:
                return_task.cancel()
            if server is not None:
                server.close()
            client.close()

    def _wait_until_healed(self, sender: str, target: str) -> Coroutine[None]:
        while self._links.fault(sender, target).cut:
            yield from sleep(self._loop.now() + _CUT_POLL_INTERVAL)

    def _forward(
        self,
        source: socket.socket,
        writer: "_DelayedWriter",
        sender: str,
        target: str,
        on_end: Callable[[], None],
        other_direction: Task | None = None,
    ) -> Coroutine[None]:
        """Forwards one direction until its source ends, or ``other_direction`` has ended."""
        splitter = FrameSplitter()
        while not (other_direction is not None and other_direction.done):
            if writer.buffered > _MAX_BUFFERED_BYTES:
                yield from sleep(self._loop.now() + _WRITE_RETRY_INTERVAL)
                continue
            yield Wait(source.fileno(), READ, self._loop.now() + 3600 * SECOND)
            try:
                data = source.recv(_READ_SIZE)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                break
            if not data:
                break
            self._links.bytes[sender, target] += len(data)
            try:
                frames = splitter.feed(data)
            except FrameError:
                self._links.frames["foreign"] += 1
                break
            for frame in frames:
                data_out = len(frame).to_bytes(_LENGTH_PREFIX_BYTES, "big") + frame
                for delay in self._links.delays(sender, target):
                    writer.put(data_out, delay)
        yield from self._wait_until_healed(sender, target)
        self._loop.call_soon(on_end)


class _DelayedWriter:
    """Writes frames to a socket, each after its delay, as fast as the reader accepts them."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self._loop, self._sock = loop, sock
        self._pending: deque[memoryview] = deque()
        self._retry_scheduled = False
        self._peer_closed = False
        self.buffered = 0  # bytes

    def put(self, data: bytes, delay: int) -> None:
        if self._peer_closed:
            return
        self.buffered += len(data)
        if delay:
            self._loop.call_at(self._loop.now() + delay, self._enqueue, data)
        else:
            self._enqueue(data)

    def _enqueue(self, data: bytes) -> None:
        self._pending.append(memoryview(data))
        if not self._retry_scheduled:
            self._flush()

    def _flush(self) -> None:
        self._retry_scheduled = False
        while self._pending:
            try:
                sent = self._sock.send(self._pending[0])
            except (BlockingIOError, InterruptedError):
                self._retry_scheduled = True
                self._loop.call_at(self._loop.now() + _WRITE_RETRY_INTERVAL, self._flush)
                return
            except OSError:  # the reader closed; the opposite direction detects that and ends
                self._peer_closed = True
                self._pending.clear()
                return
            self.buffered -= sent
            remainder = self._pending.popleft()[sent:]
            if remainder:
                self._pending.appendleft(remainder)
