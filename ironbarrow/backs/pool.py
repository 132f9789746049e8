"""Idle connections to workers, kept for further requests."""

from collections import deque
from dataclasses import dataclass

from ironbarrow.runtime.loop import MS, SECOND, Loop
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection

_POOL = 8  # idle connections kept to one worker
# danger: an answer that comes twice, the second time some milliseconds late, would be taken for the answer to
# the next request. The price: more than one call within that time to one worker takes a further connection
_SETTLED_AFTER = 30 * MS
# danger: the second copy of a proof that a job never ran would be a false proof for another job
_SETTLED_AFTER_PROOF = 250 * MS


@dataclass(slots=True, eq=False)
class _Idle:
    connection: Connection
    since: int
    settled_at: int  # what comes after that belongs to no earlier request


class Pools:
    """The idle connections to each worker; in all no more than ``most``."""

    def __init__(self, loop: Loop, *, idle_limit: int, most: int) -> None:
        self._loop = loop
        # danger: a request written to a connection that the worker is about to close ends as a reset
        self._idle_limit = idle_limit - min(idle_limit // 2, 2 * SECOND)
        self._most = most
        self._pools: dict[Address, deque[_Idle]] = {}
        self._count = 0
        loop.call_at(loop.now() + SECOND, self._sweep)

    def take(self, address: Address, *, settled: bool) -> Connection | None:
        """A connection that is surely still open, the one used last first; ``settled``: no answer to an
        earlier request can still come on it, as far as that can be known."""
        now = self._loop.now()
        pool = self._pools.get(address, deque())
        for idle in reversed(list(pool)):
            if settled and now < idle.settled_at:
                continue
            pool.remove(idle)
            self._count -= 1
            if now - idle.since < self._idle_limit and idle.connection.is_idle():
                return idle.connection
            idle.connection.close()
        return None

    def put_back(self, address: Address, connection: Connection, *, proof: bool = False) -> None:
        """Keeps a connection whose answer is whole, if it can carry another; ``proof``: that answer was the
        proof that a job never ran."""
        pool = self._pools.setdefault(address, deque())
        # danger: what is in beyond the answer would be taken for the answer to the next request
        if connection.has_unread or not connection.next_cycle() or len(pool) >= _POOL:
            connection.close()
            return
        now = self._loop.now()
        pool.append(_Idle(connection, now, now + (_SETTLED_AFTER_PROOF if proof else _SETTLED_AFTER)))
        self._count += 1
        if self._count > self._most:
            # danger: kept to the end of their time, old connections to workers that get little
            # would leave none for the busy ones, and each call there would pay for a handshake
            self.drop_oldest()

    def drop_oldest(self) -> bool:
        """Closes the connection that has been idle for longest; whether there was one."""
        pools = [pool for pool in self._pools.values() if pool]
        if not pools:
            return False
        min(pools, key=lambda pool: pool[0].since).popleft().connection.close()
        self._count -= 1
        return True

    def close_to(self, address: Address) -> None:
        for idle in self._pools.pop(address, ()):
            self._count -= 1
            idle.connection.close()

    def close_all(self) -> None:
        for address in list(self._pools):
            self.close_to(address)

    def _sweep(self) -> None:
        """Closes connections that are too old to be used again, and those that the worker has closed."""
        oldest = self._loop.now() - self._idle_limit
        for address in list(self._pools):
            pool = self._pools[address]
            while pool and (pool[0].since < oldest or not pool[0].connection.is_idle()):
                pool.popleft().connection.close()
                self._count -= 1
            if not pool:
                del self._pools[address]
        self._loop.call_at(self._loop.now() + SECOND, self._sweep)
