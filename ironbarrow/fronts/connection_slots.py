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
_FEWEST = 8  # places that stay when descriptors run out
_SHORT_FOR = 10 * SECOND  # from then until all of them may be taken again


class Places:
    """All connections of one listener. ``most``: places; ``most_buffered``: bytes of unfinished requests, and
    as many of the bodies of jobs."""

    def __init__(self, loop: Loop, most: int, most_buffered: int) -> None:
        self._loop = loop
        self._given = most
        self._most = most  # fewer while descriptors are short
        self._most_ending = max(2, most // _ENDING_SHARE)
        self._most_buffered = most_buffered
        self._buffered = 0  # bytes of requests that are not whole yet, or not begun
        self._open = 0
        self.reading: dict[Connection, Task] = {}  # no whole request yet, the oldest first
        self.idle: dict[Connection, Task] = {}  # between requests, the longest idle first
        self._jobs: dict[Connection, int] = {}  # from taking a job to its answer's last byte: the body's size
        self._job_bytes = 0
        self._ending: dict[Connection, Task] = {}  # shut, the longest so first

    @property
    def taken(self) -> int:
        """Connections that are not closed yet."""
        return self._open + len(self._ending)

    def has_room_for_job(self, size: int) -> bool:
        """Whether one more may be taken. Danger: with jobs in all places, no call-back comes in any more and
        none of the jobs would end; and hundreds with large bodies are more than the memory holds."""
        most = max(1, self._most - max(1, self._most // _RESERVED_SHARE))
        return len(self._jobs) < most and self._job_bytes + size <= self._most_buffered

    def begin_job(self, connection: Connection, size: int) -> None:
        self._jobs[connection] = size
        self._job_bytes += size

    def end_job(self, connection: Connection) -> None:
        """Its answer is out, or never will be; not every request is a job."""
        self._job_bytes -= self._jobs.pop(connection, 0)

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
        self.end_job(connection)
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

        Danger: hundreds that connect and say nothing would leave no place to the usual clients.
        """
        if self._open >= self._most and not self._drop_one():
            return False
        if self.taken >= self._most + self._most_ending:
            self._close_ending()
        return True

    def free_descriptors(self) -> None:
        """Gives a quarter of the places back for a while, those of connections that carry no request.

        Danger: one that is freed alone is taken by the next connection that comes in, and the discovery
        service and the workers never get any.
        """
        self._most = min(self._most, max(_FEWEST, self.taken * 3 // 4))
        while self._open > self._most and self._drop_one():
            pass
        while self._ending:
            self._close_ending()
        self._loop.call_at(self._loop.now() + _SHORT_FOR, self._restore)

    def _restore(self) -> None:
        self._most = self._given

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
