"""TCP between the members, on the loop.

A message from A to B goes over the connection that A has opened to B, and B's answer over B's own to A: each
way works, or is cut, for itself. A connection is opened by the first message, kept while it is used, and
closed when it has been idle; nothing here waits without a limit, and nothing grows without one.
"""

import errno
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ironbarrow.fleet.api import Incarnation, Message, Send
from ironbarrow.fleet.codec import Codec, FrameError, Splitter
from ironbarrow.fleet.file import LinkRules
from ironbarrow.fleet.links.queue import Budget, Queue, sort_of
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import HANGUP, MS, READ, SECOND, WRITE, Coroutine, Loop, Task, Wait, sleep

log = structlog.get_logger()
_CONNECT_LIMIT = SECOND
_WRITE_LIMIT = 3 * SECOND  # without a byte taken: the peer reads no more
_FRAME_LIMIT = 5 * SECOND  # between two reads of a frame that is not whole, and to the first one
_BACKOFF_LEAST = 50 * MS
_BACKOFF_MOST = 500 * MS
_LASTED = 2 * SECOND  # the end of a connection that stood so long is a first failure
_WRITE_SIZE = 64 * 1024
_READ_SIZE = 256 * 1024
_ACCEPTS_AT_ONCE = 16
_PAUSE = 50 * MS
_TOLD_EVERY = 1000 * MS  # at most one line in the log for each peer


@dataclass(slots=True, eq=False)
class _Peer:
    """The way to one member."""

    name: str
    queue: Queue
    address: str = ""
    sock: socket.socket | None = None
    task: Task | None = None
    asleep: bool = False
    opened_at: int = 0
    used_at: int = 0
    failed: int = 0  # in a row
    retry_at: int = 0
    told_at: int = 0  # when the log said last that it can't be reached


@dataclass(slots=True, eq=False)
class _Incoming:
    sock: socket.socket
    used_at: int
    splitter: Splitter = field(default_factory=Splitter)
    task: Task | None = None


class Links:
    """All connections of one member. ``address_of``: where a name is reached, "" if nobody knows;
    ``received``: gets each message; ``broke``: a connection to a name broke or was refused."""

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        codec: Codec,
        incarnation: Incarnation,
        rules: LinkRules,
        address_of: Callable[[str], str],
        received: Callable[[Incarnation, int, Message], None],
        broke: Callable[[str], None],
    ) -> None:
        self.incarnation = incarnation
        self.figures: Counter[str] = Counter()  # messages and bytes both ways, connections, foreign ones
        self.shed: Counter[str] = Counter()  # messages that were dropped: by sort, or by cause
        self._loop, self._listener, self._codec, self._rules = loop, listener, codec, rules
        self._address_of, self._received, self._broke = address_of, received, broke
        self._budget = Budget(rules.memory_mb << 20)
        self._peers: dict[str, _Peer] = {}  # the longest unused first
        self._incoming: dict[_Incoming, None] = {}  # the longest silent first
        self._halves: dict[_Incoming, int] = {}  # bytes of frames that are not whole, the oldest first
        self._half_bytes = 0
        self._accepting = loop.spawn(self._accept())

    @property
    def port(self) -> int:
        """Where this member listens."""
        return int(self._listener.getsockname()[1])

    @property
    def waiting(self) -> int:
        """Messages that wait to be sent, and peers to which some are being sent."""
        peers = self._peers.values()
        return sum(peer.queue.count + (peer.task is not None and not peer.asleep) for peer in peers)

    @property
    def open(self) -> int:
        """Connections, both ways: with the listener all descriptors that this holds."""
        return sum(peer.sock is not None for peer in self._peers.values()) + len(self._incoming)

    def send(self, action: Send) -> None:
        """Sends a message, or counts it as shed: it is never sent late to spare somebody's memory."""
        name, message = action.to.name, action.message
        address = self._address_of(name)
        now = self._loop.now()
        peer = self._peers.get(name)
        if not address:
            self.shed["no address"] += 1
            return
        if peer is None:
            peer = self._add(name)
            if peer is None:
                self.shed["too many peers"] += 1
                return
        elif address != peer.address and peer.address:
            self._hang_up(peer)
            peer.retry_at = peer.failed = 0
        peer.address = address
        if now < peer.retry_at:
            # danger: what waits for a peer that can't be reached is old when it can be
            self.shed["unreachable"] += 1
            return
        try:
            frame = self._codec.encode(self.incarnation, action.to.start, message)
        except ValueError as error:
            self.shed["oversized"] += 1
            log.error("message not sent", peer=name, reason=str(error))
            return
        if not peer.queue.put(sort_of(message.KIND), frame):
            return
        if peer.task is None:
            peer.task = self._loop.spawn(self._drive(peer))
        elif peer.asleep:
            peer.asleep = False
            peer.task.wake()

    def close(self) -> None:
        """Ends all connections and the listener."""
        self._accepting.cancel()
        self._listener.close()
        for peer in list(self._peers.values()):
            self._hang_up(peer)
        self._peers.clear()
        for incoming in list(self._incoming):
            self._end(incoming)

    # Outgoing

    def _add(self, name: str) -> _Peer | None:
        if len(self._peers) >= self._rules.outgoing:
            unused = next((peer for peer in self._peers.values() if not peer.queue.count), None)
            if unused is None:
                return None
            self._hang_up(unused)
            del self._peers[unused.name]
        rules = self._rules
        queue = Queue(rules.queue, rules.queue_kb << 10, self._budget, self.shed)
        self._peers[name] = peer = _Peer(name, queue)
        return peer

    def _hang_up(self, peer: _Peer) -> None:
        if peer.task is not None:
            peer.task.cancel()
        peer.task, peer.asleep = None, False
        self._close(peer)
        peer.queue.clear("hung up")

    @staticmethod
    def _close(peer: _Peer) -> None:
        if peer.sock is not None:
            peer.sock.close()
            peer.sock = None

    def _drive(self, peer: _Peer) -> Coroutine[None]:
        """Carries a peer's queue away until it has been idle, or can't be reached."""
        try:
            yield from self._connect(peer)
            while True:
                yield from self._write(peer)
                self._peers[peer.name] = self._peers.pop(peer.name)
                peer.used_at = self._loop.now()
                peer.asleep = not peer.queue.count
                while peer.asleep:
                    assert peer.sock is not None
                    woken = yield Wait(peer.sock.fileno(), READ | HANGUP, peer.used_at + self._rules.idle)
                    if peer.asleep and not woken:
                        return
                    if peer.asleep:
                        # it says nothing on this connection but its end
                        raise OSError(errno.ECONNRESET, "closed by the peer")
        except (OSError, ValueError) as error:
            self._failed(peer, error)
        finally:
            peer.task, peer.asleep = None, False
            self._close(peer)

    def _failed(self, peer: _Peer, error: Exception) -> None:
        now = self._loop.now()
        # danger: what takes connections for a peer that is gone would be called on without a pause
        peer.failed = 1 if now - peer.opened_at > _LASTED else peer.failed + 1
        backoff = min(_BACKOFF_MOST, _BACKOFF_LEAST << min(peer.failed - 1, 8))
        peer.retry_at = now + backoff
        peer.queue.clear("unreachable")
        self.figures["broken"] += 1
        if self._loop.now() >= peer.told_at + _TOLD_EVERY:
            # danger: of a dead peer that something still listens for, each try would be a line
            peer.told_at = self._loop.now()
            log.debug("link broken", peer=peer.name, address=peer.address, reason=str(error))
        self._loop.call_soon(self._broke, peer.name)

    def _connect(self, peer: _Peer) -> Coroutine[None]:
        peer.opened_at = self._loop.now()
        address = sockets.parse_address(peer.address)
        sock = peer.sock = sockets.stream_socket(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        number = sock.connect_ex(address)
        if number == errno.EINPROGRESS:
            if not (yield Wait(sock.fileno(), WRITE, self._loop.now() + _CONNECT_LIMIT)):
                raise OSError(errno.ETIMEDOUT, "connect")
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, "connect")
        self.figures["opened"] += 1

    def _write(self, peer: _Peer) -> Coroutine[None]:
        sock = peer.sock
        assert sock is not None
        while peer.queue.count:
            data = memoryview(peer.queue.take(_WRITE_SIZE))
            while data:
                try:
                    sent = sock.send(data)
                except BlockingIOError:
                    if not (yield Wait(sock.fileno(), WRITE, self._loop.now() + _WRITE_LIMIT)):
                        raise OSError(errno.ETIMEDOUT, "write") from None
                    continue
                data = data[sent:]
                self.figures["bytes out"] += sent

    # Incoming

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPTS_AT_ONCE):
                try:
                    sock = sockets.accept(self._listener)
                except OSError as error:
                    log.warning("no descriptor left", error=str(error), links=self.open)
                    self._make_room()
                    yield from sleep(self._loop.now() + _PAUSE)
                    continue
                if sock is None:
                    break
                if len(self._incoming) >= self._rules.incoming:
                    self._make_room()
                incoming = _Incoming(sock, self._loop.now())
                self._incoming[incoming] = None
                self.figures["accepted"] += 1
                incoming.task = self._loop.spawn(self._read(incoming))

    def _make_room(self) -> None:
        for incoming in self._incoming:
            self.figures["evicted"] += 1
            self._end(incoming)
            return

    def _end(self, incoming: _Incoming) -> None:
        """Danger: a task that has not run yet has no ``finally`` to run."""
        if incoming.task is not None:
            incoming.task.cancel()
        self._forget(incoming)

    def _forget(self, incoming: _Incoming) -> None:
        self._incoming.pop(incoming, None)
        self._half(incoming, 0)
        incoming.sock.close()

    def _half(self, incoming: _Incoming, size: int) -> None:
        """Danger: many frames that stop half-way would together hold more memory than there is."""
        self._half_bytes += size - self._halves.get(incoming, 0)
        if size:
            self._halves[incoming] = size
        else:
            self._halves.pop(incoming, None)

    def _read(self, incoming: _Incoming) -> Coroutine[None]:
        sock, now = incoming.sock, self._loop.now
        whole = False  # a frame has come
        try:
            while True:
                limit = self._rules.idle * 3 if whole and not incoming.splitter.waiting else _FRAME_LIMIT
                if not (yield Wait(sock.fileno(), READ, now() + limit)):
                    return
                try:
                    data = sock.recv(_READ_SIZE)
                except BlockingIOError:
                    continue
                if not data:
                    return
                incoming.used_at = now()
                self._incoming[incoming] = self._incoming.pop(incoming)
                self.figures["bytes in"] += len(data)
                for frame in incoming.splitter.feed(data):
                    whole = True
                    self._take_in(frame)
                    if incoming not in self._incoming:
                        return  # what was taken in closed all
                self._half(incoming, incoming.splitter.waiting)
                while self._half_bytes > self._budget.most and len(self._halves) > 1:
                    other = next(half for half in self._halves if half is not incoming)
                    self.figures["evicted"] += 1
                    self._end(other)
        except FrameError as error:
            self.figures["foreign"] += 1
            log.debug("foreign bytes", reason=str(error))
        except OSError:
            pass
        finally:
            self._forget(incoming)

    def _take_in(self, frame: bytes) -> None:
        malformed = self._codec.dropped["malformed"]
        found = self._codec.decode(frame)
        if found is None:
            if self._codec.dropped["malformed"] > malformed:
                raise FrameError("a frame that can't be read")
            return
        self.figures["messages in"] += 1
        peer = self._peers.get(found[0].name)
        if peer is not None and peer.retry_at:
            peer.retry_at = peer.failed = 0  # it is there again
        self._received(*found)
