"""TCP connections between the members, on the event loop.

A message from A to B uses the connection that A has opened to B, and B's reply the one that B has opened to
A, so that each direction works or fails on its own. A connection is opened for the first message, stays open
while it is used and is closed when it has been idle. All waits have a time-out, and all queues and buffers
are bounded.
"""

import errno
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ironbarrow.fleet.api import Incarnation, Message, Send
from ironbarrow.fleet.codec import Codec, FrameError, FrameSplitter
from ironbarrow.fleet.file import LinkRules
from ironbarrow.fleet.links.queue import Budget, SendQueue, category_of
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import HANGUP, MS, READ, SECOND, WRITE, Coroutine, Loop, Task, Wait, sleep

log = structlog.get_logger()
_CONNECT_TIMEOUT = SECOND
_WRITE_TIMEOUT = 3 * SECOND  # without progress: the peer has stopped reading
_FRAME_TIMEOUT = 5 * SECOND  # between two reads of an incomplete frame, and until the first frame
_BACKOFF_MIN = 50 * MS
_BACKOFF_MAX = 500 * MS
_STABLE_AFTER = 2 * SECOND  # when a connection that lasted longer fails, the backoff starts over
_WRITE_SIZE = 64 * 1024
_READ_SIZE = 256 * 1024
_MAX_ACCEPTS_PER_WAKEUP = 16
_ACCEPT_RETRY_DELAY = 50 * MS  # after accept has failed for want of descriptors
_LOG_INTERVAL = 1000 * MS  # between two log lines about the same peer


@dataclass(slots=True, eq=False)
class _Peer:
    """The outgoing connection to one member, and its queue."""

    name: str
    queue: SendQueue
    address: str = ""
    sock: socket.socket | None = None
    task: Task | None = None
    sleeping: bool = False  # the task waits for messages on an open connection
    opened_at: int = 0  # ns, of the loop's clock as the others
    used_at: int = 0
    failures: int = 0  # consecutive
    retry_at: int = 0  # messages are dropped until then
    logged_at: int = 0  # when a failure was last logged


@dataclass(slots=True, eq=False)
class _Incoming:
    """A connection that another member has opened."""

    sock: socket.socket
    used_at: int
    splitter: FrameSplitter = field(default_factory=FrameSplitter)
    task: Task | None = None


class Links:
    """All connections of one member. ``address_of`` gives the address of a member by name, "" if it is
    unknown; ``on_message`` is called with each message, and ``on_broken`` with the name of a member when the
    connection to it fails or is refused."""

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        codec: Codec,
        incarnation: Incarnation,
        rules: LinkRules,
        address_of: Callable[[str], str],
        on_message: Callable[[Incarnation, int, Message], None],
        on_broken: Callable[[str], None],
    ) -> None:
        self.incarnation = incarnation
        self.metrics: Counter[str] = Counter()  # messages, bytes, connections and errors
        self.dropped: Counter[str] = Counter()  # messages, by category or by cause
        self._loop, self._listener, self._codec, self._rules = loop, listener, codec, rules
        self._address_of, self._on_message, self._on_broken = address_of, on_message, on_broken
        self._budget = Budget(rules.memory_mb << 20)
        self._peers: dict[str, _Peer] = {}  # least recently used first
        self._incoming: dict[_Incoming, None] = {}  # least recently used first
        self._partial_frames: dict[_Incoming, int] = {}  # bytes of incomplete frames, oldest first
        self._partial_bytes = 0
        self._accept_task = loop.spawn(self._accept())

    @property
    def port(self) -> int:
        """The port on which this member listens."""
        return int(self._listener.getsockname()[1])

    @property
    def unsent(self) -> int:
        """The number of queued messages, plus the number of peers with a connect or write in progress."""
        peers = self._peers.values()
        return sum(peer.queue.count + (peer.task is not None and not peer.sleeping) for peer in peers)

    @property
    def open_connections(self) -> int:
        """The number of connections in both directions; besides the listener, all descriptors in use."""
        return sum(peer.sock is not None for peer in self._peers.values()) + len(self._incoming)

    def send(self, action: Send) -> None:
        """Queues a message to be sent. Counts it as dropped if its target is unknown or unreachable or the
        queue is full; dropped messages are never sent later."""
        name, message = action.to.name, action.message
        address = self._address_of(name)
        now = self._loop.now()
        peer = self._peers.get(name)
        if not address:
            self.dropped["no address"] += 1
            return
        if peer is None:
            peer = self._add_peer(name)
            if peer is None:
                self.dropped["too many peers"] += 1
                return
        elif address != peer.address and peer.address:
            self._disconnect(peer)
            peer.retry_at = peer.failures = 0
        peer.address = address
        if now < peer.retry_at:
            # messages queued for an unreachable peer would be out of date once it can be reached
            self.dropped["unreachable"] += 1
            return
        try:
            frame = self._codec.encode(self.incarnation, action.to.start, message)
        except ValueError as error:
            self.dropped["oversized"] += 1
            log.error("message too large to send", peer=name, reason=str(error))
            return
        if not peer.queue.put(category_of(message.KIND), frame):
            return
        if peer.task is None:
            peer.task = self._loop.spawn(self._run_sender(peer))
        elif peer.sleeping:
            peer.sleeping = False
            peer.task.wake()

    def close(self) -> None:
        """Closes all connections and the listener."""
        self._accept_task.cancel()
        self._listener.close()
        for peer in list(self._peers.values()):
            self._disconnect(peer)
        self._peers.clear()
        for incoming in list(self._incoming):
            self._close_incoming(incoming)

    # Outgoing

    def _add_peer(self, name: str) -> _Peer | None:
        """Adds a peer, in place of the least recently used one without queued messages if there are too many;
        None if all have some."""
        if len(self._peers) >= self._rules.outgoing:
            idle_peer = next((peer for peer in self._peers.values() if not peer.queue.count), None)
            if idle_peer is None:
                return None
            self._disconnect(idle_peer)
            del self._peers[idle_peer.name]
        rules = self._rules
        queue = SendQueue(rules.queue, rules.queue_kb << 10, self._budget, self.dropped)
        self._peers[name] = peer = _Peer(name, queue)
        return peer

    def _disconnect(self, peer: _Peer) -> None:
        """Closes the connection to a peer and drops its queue."""
        if peer.task is not None:
            peer.task.cancel()
        peer.task, peer.sleeping = None, False
        self._close_socket(peer)
        peer.queue.clear("disconnected")

    @staticmethod
    def _close_socket(peer: _Peer) -> None:
        if peer.sock is not None:
            peer.sock.close()
            peer.sock = None

    def _run_sender(self, peer: _Peer) -> Coroutine[None]:
        """Connects to a peer and sends its queue, until the connection has been idle or fails."""
        try:
            yield from self._connect(peer)
            while True:
                yield from self._write(peer)
                self._peers[peer.name] = self._peers.pop(peer.name)
                peer.used_at = self._loop.now()
                peer.sleeping = not peer.queue.count
                while peer.sleeping:
                    assert peer.sock is not None
                    ready = yield Wait(peer.sock.fileno(), READ | HANGUP, peer.used_at + self._rules.idle)
                    if peer.sleeping and not ready:
                        return
                    if peer.sleeping:
                        # the peer sends nothing on this connection, so it has closed it
                        raise OSError(errno.ECONNRESET, "closed by the peer")
        except (OSError, ValueError) as error:
            self._on_failure(peer, error)
        finally:
            peer.task, peer.sleeping = None, False
            self._close_socket(peer)

    def _on_failure(self, peer: _Peer, error: Exception) -> None:
        """Drops the queue of a peer whose connection failed, and schedules the next attempt."""
        now = self._loop.now()
        # the backoff grows even if connections are accepted: a process that listens at a dead peer's address
        # and closes them at once would otherwise be reconnected to without a pause
        peer.failures = 1 if now - peer.opened_at > _STABLE_AFTER else peer.failures + 1
        backoff = min(_BACKOFF_MAX, _BACKOFF_MIN << min(peer.failures - 1, 8))
        peer.retry_at = now + backoff
        peer.queue.clear("unreachable")
        self.metrics["broken"] += 1
        if self._loop.now() >= peer.logged_at + _LOG_INTERVAL:
            # such an address would otherwise cause a log line for each attempt
            peer.logged_at = self._loop.now()
            log.debug("link broken", peer=peer.name, address=peer.address, reason=str(error))
        self._loop.call_soon(self._on_broken, peer.name)

    def _connect(self, peer: _Peer) -> Coroutine[None]:
        """Opens the connection; an OSError if that fails or takes too long."""
        peer.opened_at = self._loop.now()
        address = sockets.parse_address(peer.address)
        sock = peer.sock = sockets.stream_socket(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        number = sock.connect_ex(address)
        if number == errno.EINPROGRESS:
            if not (yield Wait(sock.fileno(), WRITE, self._loop.now() + _CONNECT_TIMEOUT)):
                raise OSError(errno.ETIMEDOUT, "connect timed out")
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, "connect failed")
        self.metrics["opened"] += 1

    def _write(self, peer: _Peer) -> Coroutine[None]:
        """Sends all queued frames; an OSError if the peer stops reading."""
        sock = peer.sock
        assert sock is not None
        while peer.queue.count:
            data = memoryview(peer.queue.take(_WRITE_SIZE))
            while data:
                try:
                    sent = sock.send(data)
                except BlockingIOError:
                    if not (yield Wait(sock.fileno(), WRITE, self._loop.now() + _WRITE_TIMEOUT)):
                        raise OSError(errno.ETIMEDOUT, "write timed out") from None
                    continue
                data = data[sent:]
                self.metrics["bytes out"] += sent

    # Incoming

    def _accept(self) -> Coroutine[None]:
        """Accepts connections; closes the least recently used one if there are too many, or no
        descriptors."""
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_MAX_ACCEPTS_PER_WAKEUP):
                try:
                    sock = sockets.accept(self._listener)
                except OSError as error:
                    log.warning("no descriptor left", error=str(error), links=self.open_connections)
                    self._evict_oldest()
                    yield from sleep(self._loop.now() + _ACCEPT_RETRY_DELAY)
                    continue
                if sock is None:
                    break
                if len(self._incoming) >= self._rules.incoming:
                    self._evict_oldest()
                incoming = _Incoming(sock, self._loop.now())
                self._incoming[incoming] = None
                self.metrics["accepted"] += 1
                incoming.task = self._loop.spawn(self._read(incoming))

    def _evict_oldest(self) -> None:
        """Closes the least recently used incoming connection."""
        for incoming in self._incoming:
            self.metrics["evicted"] += 1
            self._close_incoming(incoming)
            return

    def _close_incoming(self, incoming: _Incoming) -> None:
        """Cancels the task of a connection and closes it. Cancelling alone is not enough: a task that has not
        run yet does not enter its ``finally``."""
        if incoming.task is not None:
            incoming.task.cancel()
        self._remove_incoming(incoming)

    def _remove_incoming(self, incoming: _Incoming) -> None:
        """Closes the socket and removes the connection; harmless when repeated."""
        self._incoming.pop(incoming, None)
        self._set_partial(incoming, 0)
        incoming.sock.close()

    def _set_partial(self, incoming: _Incoming, size: int) -> None:
        """Accounts for the bytes of a connection's incomplete frame. They are bounded over all connections,
        because many incomplete frames together could exhaust the memory."""
        self._partial_bytes += size - self._partial_frames.get(incoming, 0)
        if size:
            self._partial_frames[incoming] = size
        else:
            self._partial_frames.pop(incoming, None)

    def _read(self, incoming: _Incoming) -> Coroutine[None]:
        """Reads frames until the connection ends, is idle too long or violates the protocol."""
        sock, now = incoming.sock, self._loop.now
        frame_seen = False  # a complete frame has been read
        try:
            while True:
                timeout = (
                    self._rules.idle * 3 if frame_seen and not incoming.splitter.buffered else _FRAME_TIMEOUT
                )
                if not (yield Wait(sock.fileno(), READ, now() + timeout)):
                    return
                try:
                    data = sock.recv(_READ_SIZE)
                except BlockingIOError:
                    continue
                if not data:
                    return
                incoming.used_at = now()
                self._incoming[incoming] = self._incoming.pop(incoming)
                self.metrics["bytes in"] += len(data)
                for frame in incoming.splitter.feed(data):
                    frame_seen = True
                    self._handle_frame(frame)
                    if incoming not in self._incoming:
                        return  # the message's handler has closed the links
                self._set_partial(incoming, incoming.splitter.buffered)
                while self._partial_bytes > self._budget.limit and len(self._partial_frames) > 1:
                    oldest = next(
                        candidate for candidate in self._partial_frames if candidate is not incoming
                    )
                    self.metrics["evicted"] += 1
                    self._close_incoming(oldest)
        except FrameError as error:
            self.metrics["protocol errors"] += 1
            log.debug("protocol error on an incoming connection", reason=str(error))
        except OSError:
            pass
        finally:
            self._remove_incoming(incoming)

    def _handle_frame(self, frame: bytes) -> None:
        """Decodes a frame and passes its message on; a FrameError if it is malformed."""
        malformed = self._codec.dropped["malformed"]
        decoded = self._codec.decode(frame)
        if decoded is None:
            if self._codec.dropped["malformed"] > malformed:
                raise FrameError("malformed frame")
            return
        self.metrics["messages in"] += 1
        peer = self._peers.get(decoded[0].name)
        if peer is not None and peer.retry_at:
            peer.retry_at = peer.failures = 0  # the peer is reachable again
        self._on_message(*decoded)
