"""Limits on the connections of one listener: slots, buffered bytes, and the eviction of unused connections.

A connection that is ended between two requests is always ended in the same way: its sending side is shut
down, input that still arrives is discarded and never served, then it is closed. Its slot is free from the
shutdown on.
"""

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.jobs import Payload
from ironbarrow.frontend.requests import JSON_HEADER, error_body
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, Task
from ironbarrow.transport.http import Connection

LINGER_TIMEOUT = 1 * SECOND
NEW_CONNECTION_GRACE = 200 * MS  # a new connection is not evicted for so long
_JOB_RESERVE_DIVISOR = 8  # one slot in so many is reserved for requests other than jobs
_LINGERING_DIVISOR = 16  # one connection in so many may linger beside those that have a slot
_SMALL_MESSAGE_BYTES = 2048  # call-backs and usual heads are read without regard to the limit
_JOB_BYTES = 5000  # memory of a job and its attempt beside the bytes of its request
_NO_ROOM = "too many requests arrive at once"
_USABLE_EIGHTHS = 7  # of the memory for input and jobs; the rest is for what is copied while it is handled
_MIN_SLOTS = 8  # slots that remain when descriptors run out
_SHORTAGE_DURATION = 10 * SECOND  # from a shortage of descriptors until all slots may be used again


class ConnectionSlots:
    """Tracks all connections of one listener.

    ``max_connections``: connections with a slot. ``max_buffered_bytes``: limit on the bytes of incomplete
    requests, and likewise on the memory of jobs.
    """

    def __init__(self, loop: Loop, max_connections: int, max_buffered_bytes: int) -> None:
        self._loop = loop
        self._configured_max = max_connections
        self._max_open = max_connections  # lower than configured while descriptors are short
        self._max_lingering = max(2, max_connections // _LINGERING_DIVISOR)
        self._max_buffered_bytes = max_buffered_bytes
        self._max_memory = 2 * max_buffered_bytes * _USABLE_EIGHTHS // 8  # of both together
        self._buffered_bytes = 0  # of requests that are incomplete or not being read yet
        self._open_count = 0
        self.reading: dict[Connection, Task] = {}  # without a complete request, the oldest first
        self.idle: dict[Connection, Task] = {}  # between requests, the longest idle first
        # memory in bytes, from accepting a job until its response is written
        self._job_sizes: dict[Connection, int] = {}
        self._job_bytes = 0
        self._lingering: dict[Connection, Task] = {}  # after the shutdown, the oldest first

    @property
    def _input_memory(self) -> int:
        """Memory that the buffered input takes, in bytes: buffers are larger than what they hold."""
        return self._buffered_bytes * 5 // 4

    @property
    def _has_room_for_input(self) -> bool:
        memory = self._input_memory
        return memory <= self._max_buffered_bytes and memory + self._job_bytes <= self._max_memory

    @property
    def in_use(self) -> int:
        """Connections that are not closed yet, with or without a slot."""
        return self._open_count + len(self._lingering)

    def has_room_for_job(self, payload: Payload) -> bool:
        """Whether another job may be accepted.

        If jobs held all slots, no call-back could come in and none of the jobs would end. Hundreds of large
        bodies would exceed the memory.
        """
        max_jobs = max(1, self._max_open - max(1, self._max_open // _JOB_RESERVE_DIVISOR))
        memory = self._job_bytes + _memory_of(payload)
        has_memory = memory <= self._max_buffered_bytes and memory + self._input_memory <= self._max_memory
        return len(self._job_sizes) < max_jobs and has_memory

    def begin_job(self, connection: Connection, payload: Payload) -> None:
        """Counts a job until ``end_job``."""
        size = _memory_of(payload)
        self._job_sizes[connection] = size
        self._job_bytes += size

    def end_job(self, connection: Connection) -> None:
        """Ends the count of a job; does nothing if the request was not a job."""
        self._job_bytes -= self._job_sizes.pop(connection, 0)

    def acquire(self, connection: Connection, last_input_at: int | None = None) -> None:
        """Gives a new connection a slot, to be freed by ``release``. ``last_input_at``: ns; when its last
        input arrived or it was established, if it has waited to be accepted."""
        self._open_count += 1
        connection.last_used_at = self._loop.now() if last_input_at is None else last_input_at
        connection.on_buffered = self._on_buffered

    def release(self, connection: Connection) -> None:
        """Frees a connection's slot and closes it; after a shutdown of the sending side, lingers first."""
        self._buffered_bytes -= connection.buffered_bytes
        connection.message_bytes = 0
        self.reading.pop(connection, None)
        self.idle.pop(connection, None)
        self.end_job(connection)
        connection.on_buffered = None
        self._open_count -= 1
        if connection.write_closed:
            self._lingering[connection] = self._loop.spawn(self._linger(connection))
        else:
            connection.close()

    def request_complete(self, connection: Connection) -> None:
        """The connection's buffered input became a complete request and no longer counts."""
        self._buffered_bytes -= connection.message_bytes
        connection.message_bytes = 0

    def evict(self, connection: Connection) -> bool:
        """Ends a connection without a complete request; False if it has unread input. A request that has
        begun is refused: its client may be sending the rest of it."""
        # the unread input may be a whole request, which would be lost if the connection were closed now
        if not connection.is_idle():
            return False
        if connection.message_started and connection.can_answer():
            headers = [JSON_HEADER, ("Connection", "close")]
            connection.write_at_once(connection.response_bytes(503, headers, error_body(_NO_ROOM)))
        connection.shutdown_write()
        (self.reading.pop(connection, None) or self.idle.pop(connection)).cancel()
        return True

    def make_room(self) -> bool:
        """Frees a slot for a new connection if none is free; False if that is not possible.

        Evicts a connection without a complete request, or else the one that has been idle for longest, whose
        client can open another. Otherwise hundreds of connections that send nothing would shut out others.
        """
        if self._open_count >= self._max_open and not self._evict_one():
            return False
        if self.in_use >= self._max_open + self._max_lingering:
            self._close_lingering()
        return True

    def release_descriptors(self) -> None:
        """Lowers the number of slots to three quarters of those in use for _SHORTAGE_DURATION, and evicts
        connections without a complete request down to that.

        If only one descriptor was freed, the next incoming connection would take it, and the discovery client
        and the connections to workers would never get one.
        """
        self._max_open = min(self._max_open, max(_MIN_SLOTS, self.in_use * 3 // 4))
        while self._open_count > self._max_open and self._evict_one():
            pass
        while self._lingering:
            self._close_lingering()
        self._loop.call_at(self._loop.now() + _SHORTAGE_DURATION, self._restore_max)

    def _restore_max(self) -> None:
        self._max_open = self._configured_max

    def read_ahead_budget(self) -> int:
        """Bytes of input beyond the current requests that may still be buffered."""
        room = min(self._max_buffered_bytes // 2, self._max_memory - self._job_bytes) - self._input_memory
        return max(0, room)

    def _evict_one(self) -> bool:
        grace_start = self._loop.now() - NEW_CONNECTION_GRACE
        for connection in self.reading:
            if connection.last_used_at > grace_start:
                break
            if self.evict(connection):
                return True
        return any(self.evict(connection) for connection in list(self.idle))

    def _close_lingering(self) -> None:
        """Closes the connection that has lingered for longest. Otherwise peers that never close their side
        would hold descriptors that new connections need."""
        for connection in self._lingering:
            self._lingering.pop(connection).cancel()
            connection.close()  # a task that is cancelled before it starts doesn't run its finally
            return

    def _on_buffered(self, connection: Connection, size: int) -> None:
        """Counts buffered input; above the limit, evicts other connections with an incomplete request. Raises
        ConnectionEndedError if too few can be evicted. Otherwise many requests that stop half-way or arrive
        at the same time would together exceed the memory."""
        self._buffered_bytes += size
        if size <= 0 or self._has_room_for_input:
            return
        for other in list(self.reading):
            if other is not connection and other.message_started:
                self.evict(other)
            if self._has_room_for_input:
                return
        if connection in self.reading and connection.message_bytes > _SMALL_MESSAGE_BYTES:
            # the request isn't complete, so nothing was sent to a worker
            raise ConnectionEndedError(Ending.TOO_LARGE, _NO_ROOM, status=503)

    def _linger(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from connection.linger(self._loop.now() + LINGER_TIMEOUT)
        finally:
            self._lingering.pop(connection, None)
            connection.close()


def _memory_of(payload: Payload) -> int:
    """Bytes of memory that a job takes."""
    texts = (payload.target, payload.content_type, payload.idempotency_key)
    return _JOB_BYTES + len(payload.body) + sum(len(text) for text in texts)
