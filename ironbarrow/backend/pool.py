"""Pools of idle connections to workers."""

from collections import deque
from dataclasses import dataclass

from ironbarrow.runtime.loop import MS, SECOND, Loop
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection

_MAX_IDLE_PER_ADDRESS = 8  # idle connections kept to one worker
# How long a connection is not reused for an attempt: the late duplicate of an answer, some milliseconds after
# the first copy, would be taken for the answer to the next request. The cost: a second request to the same
# worker within this time needs another connection.
_SETTLE_TIME = 30 * MS
# The same after a proof that a job never ran: a duplicate of it would be a false proof for another job.
_SETTLE_TIME_AFTER_PROOF = 250 * MS


@dataclass(slots=True, eq=False)
class _IdleConnection:
    connection: Connection
    idle_since: int
    settled_at: int  # from then on, no answer to an earlier request is expected


class ConnectionPools:
    """The idle connections to each worker, at most ``max_idle`` in all. ``idle_limit`` (ns): how long workers
    keep an idle connection open."""

    def __init__(self, loop: Loop, *, idle_limit: int, max_idle: int) -> None:
        self._loop = loop
        # A request written to a connection that the worker is about to close would end in a reset.
        self._idle_limit = idle_limit - min(idle_limit // 2, 2 * SECOND)
        self._max_idle = max_idle
        self._pools: dict[Address, deque[_IdleConnection]] = {}
        self._count = 0
        loop.call_at(loop.now() + SECOND, self._sweep)

    def take(self, address: Address, *, settled: bool) -> Connection | None:
        """Takes out the most recently used connection that is still open; None if there is none. ``settled``:
        only one on which no answer to an earlier request is expected any more."""
        now = self._loop.now()
        pool = self._pools.get(address, deque())
        for idle in reversed(list(pool)):
            if settled and now < idle.settled_at:
                continue
            pool.remove(idle)
            self._count -= 1
            if now - idle.idle_since < self._idle_limit and idle.connection.is_idle():
                return idle.connection
            idle.connection.close()
        return None

    def release(self, address: Address, connection: Connection, *, proof: bool = False) -> None:
        """Returns a connection to its pool after a complete answer, or closes it if it can't be reused.
        ``proof``: the answer was a proof that a job never ran."""
        pool = self._pools.setdefault(address, deque())
        # Unread data after the answer would be taken for the answer to the next request.
        if connection.has_unread or not connection.next_cycle() or len(pool) >= _MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now = self._loop.now()
        pool.append(
            _IdleConnection(connection, now, now + (_SETTLE_TIME_AFTER_PROOF if proof else _SETTLE_TIME))
        )
        self._count += 1
        if self._count > self._max_idle:
            # Otherwise old connections to rarely used workers would leave no room for those to busy workers,
            # and each request to a busy worker would need a new connection.
            self.drop_oldest()

    def drop_oldest(self) -> bool:
        """Closes the connection that has been idle for longest. Returns whether there was one."""
        pools = [pool for pool in self._pools.values() if pool]
        if not pools:
            return False
        min(pools, key=lambda pool: pool[0].idle_since).popleft().connection.close()
        self._count -= 1
        return True

    def close_address(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        for idle in self._pools.pop(address, ()):
            self._count -= 1
            idle.connection.close()

    def close_all(self) -> None:
        """Closes all idle connections."""
        for address in list(self._pools):
            self.close_address(address)

    def _sweep(self) -> None:
        """Closes connections that have been idle for too long or were closed by the worker. Repeats itself
        every second."""
        oldest = self._loop.now() - self._idle_limit
        for address in list(self._pools):
            pool = self._pools[address]
            while pool and (pool[0].idle_since < oldest or not pool[0].connection.is_idle()):
                pool.popleft().connection.close()
                self._count -= 1
            if not pool:
                del self._pools[address]
        self._loop.call_at(self._loop.now() + SECOND, self._sweep)
