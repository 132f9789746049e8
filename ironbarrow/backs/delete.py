"""One DELETE of a job at a worker, on an idle connection or a new one, and what came of it."""

from collections import Counter
from collections.abc import Callable

from ironbarrow.backs.pool import Pools
from ironbarrow.core.attempt import Observation, delete_answered
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection

# for the answer to a DELETE on a connection that had been idle, or of which no proof is needed; ns
TOLD_LIMIT = 100 * MS
_ROUND_TRIPS = 6  # at least so many times what connecting took: handshakes, the request and its answer
_AT_ONCE = 32  # to one worker. Danger: hundreds to one that is cut off would take all descriptors
_PAUSE = 50 * MS  # between two looks whether there are fewer
# what no connection for a DELETE says; whatever else ended it is this machine's own trouble
_UNSENT = {
    Ending.CONNECT_REFUSED: Observation.DELETE_UNSENT,
    Ending.CONNECT_TIMED_OUT: Observation.DELETE_UNSENT,
}


class DeleteSender:
    """Sends DELETEs. ``connect`` opens a connection to an address, for a worker and a purpose by name."""

    def __init__(
        self, loop: Loop, pools: Pools, connect: Callable[[Address, str, str], Coroutine[Connection]]
    ) -> None:
        self._loop, self._pools, self._connect = loop, pools, connect
        self.under_way: Counter[Address] = Counter()

    def send(
        self, address: Address, job_id: str, worker: str, limit: int, until: int
    ) -> Coroutine[Observation]:
        """One DELETE, and what came of it. ``limit``: ns, to its answer on a new connection; ``until``: when
        it need not be sent any more, ns."""
        while self.under_way[address] >= _AT_ONCE:
            if self._loop.now() >= until:
                return Observation.DELETE_UNSENT
            yield from sleep(self._loop.now() + _PAUSE)
        self.under_way[address] += 1
        connection = self._pools.take(address, settled=False)
        try:
            if connection is not None:
                observation = yield from self._send_on(connection, address, job_id, TOLD_LIMIT)
                if observation is Observation.DELETE_ANSWERED:
                    return observation
                # it may be cut off behind a connection that looks open, or have closed it meanwhile
            try:
                asked_at = self._loop.now()
                connection = yield from self._connect(address, worker, "delete")
            except ConnectionEndedError as error:
                return _UNSENT.get(error.ending, Observation.DELETE_FAILED_HERE)
            limit = max(limit, _ROUND_TRIPS * (self._loop.now() - asked_at))
            return (yield from self._send_on(connection, address, job_id, limit))
        finally:
            self.under_way[address] -= 1
            if not self.under_way[address]:
                del self.under_way[address]

    def _send_on(
        self, connection: Connection, address: Address, job_id: str, limit: int
    ) -> Coroutine[Observation]:
        """On that connection, which is kept for further use or closed."""
        until = self._loop.now() + limit
        headers = [("Host", "{}:{}".format(*address))]
        kept = False
        try:
            request = connection.request_bytes("DELETE", f"/jobs/{job_id}", headers)
            yield from connection.write(request, until)
            answer = yield from connection.read_message(until)
            self._pools.put_back(address, connection)
            kept = True
        except ConnectionEndedError as error:
            silent = error.ending is Ending.STALLED
            return Observation.DELETE_UNANSWERED if silent else Observation.DELETE_BROKEN
        finally:
            if not kept:
                connection.close()
        return delete_answered(answer.status)
