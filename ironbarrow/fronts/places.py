"""Who has a place among the connections that come in, and how a connection gives it up.

A connection ends between requests in one way alone: the own side is shut, what crosses that is read away and
never served, then it is closed. It has no place from the shutdown on.
"""

from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, Task
from ironbarrow.transport.http import Connection

LINGER_LIMIT = 1 * SECOND
FRESH = 200 * MS  # a new connection is left so long for its first request to come
_RESERVED_SHARE = 8  # one place of so many is kept from jobs
_ENDING_SHARE = 16  # so many places in one may end beside those that are taken


class Places:
    """All connections of one listener. ``most``: places; ``most_buffered``: bytes of unfinished requests."""

    def __init__(self, loop: Loop, most: int, most_buffered: int) -> None:
        self._loop = loop
        self._most = most
        self._most_ending = max(2, most // _ENDING_SHARE)
        # danger: with jobs in all places, no call-back comes in any more, and none of the jobs would end
        self._most_jobs = max(1, most - max(1, most // _RESERVED_SHARE))
        self._most_buffered = most_buffered
        self._buffered = 0  # bytes of requests that are not whole yet, or not begun
        self._open = 0
        self.reading: dict[Connection, Task] = {}  # no whole request yet, the oldest first
        self.idle: dict[Connection, Task] = {}  # between requests, the longest idle first
        self.jobs: set[Connection] = set()  # from taking a job to the last byte of its answer
        self._ending: dict[Connection, Task] = {}  # shut, the longest so first

    @property
    def taken(self) -> int:
        """Connections that are not closed yet."""
        return self._open + len(self._ending)

    @property
    def full_of_jobs(self) -> bool:
        """Whether no place is left for one more job."""
        return len(self.jobs) >= self._most_jobs

    def take(self, connection: Connection) -> None:
        """It has a place, to be left by ``leave``."""
        self._open += 1
        connection.used_at = self._loop.now()
        connection.grew = self._grew

    def leave(self, connection: Connection) -> None:
        """Its task ends here: closes it, or, once its own side is shut, reads out what still comes first."""
        self._buffered -= connection.held
        connection.size = 0
        self.reading.pop(connection, None)
        self.idle.pop(connection, None)
        self.jobs.discard(connection)
        connection.grew = None
        self._open -= 1
        if connection.shut:
            self._ending[connection] = self._loop.spawn(self._read_out(connection))
        else:
            connection.close()

    def release(self, connection: Connection) -> None:
        """What it has read is a whole request now."""
        self._buffered -= connection.size
        connection.size = 0

    def drop(self, connection: Connection) -> bool:
        """Ends one between requests; whether that could be."""
        # danger: a request that has just come in was taken; closing now would lose it
        if not connection.is_silent():
            return False
        connection.shut_down()
        (self.reading.pop(connection, None) or self.idle.pop(connection)).cancel()
        return True

    def make_room(self) -> bool:
        """Whether a place is free for one more, or could be made free: by a connection that has brought no
        whole request, else by the one that has been idle longest; its client opens another when it needs one.

        Danger: hundreds that connect and say nothing would leave no place to the usual consumers.
        """
        if self._open >= self._most and not self._drop_one():
            return False
        if self.taken >= self._most + self._most_ending:
            self._close_ending()
        return True

    def free_descriptor(self) -> None:
        """Closes one at once that carries no request, if there is any."""
        if self._ending or self._drop_one():
            self._close_ending()

    def room_ahead(self) -> int:
        """Bytes that may be kept of requests whose turn has not come."""
        return max(0, self._most_buffered // 2 - self._buffered)

    def _drop_one(self) -> bool:
        fresh_since = self._loop.now() - FRESH
        for connection in self.reading:
            if connection.used_at > fresh_since:
                break
            if self.drop(connection):
                return True
        return any(self.drop(connection) for connection in list(self.idle))

    def _close_ending(self) -> None:
        """Danger: peers that never close their side would keep the descriptors of those who ask."""
        for connection in self._ending:
            self._ending.pop(connection).cancel()
            connection.close()  # a task that has not begun runs none of its lines
            return

    def _grew(self, connection: Connection, size: int) -> None:
        """Danger: many requests that stop half-way would together hold more memory than there is."""
        self._buffered += size
        for other in list(self.reading) if self._buffered > self._most_buffered else ():
            if other is not connection and other.started and self.drop(other):
                return

    def _read_out(self, connection: Connection) -> Coroutine[None]:
        try:
            yield from connection.linger(self._loop.now() + LINGER_LIMIT)
        finally:
            self._ending.pop(connection, None)
            connection.close()
