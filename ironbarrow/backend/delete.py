"""Sends the DELETE of a job to a worker, on an idle connection or a new one, and reports its result."""

from collections import Counter
from collections.abc import Callable

from ironbarrow.backend.pool import ConnectionPools
from ironbarrow.core.attempt import Observation, observation_of_delete_status
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection

# for the answer to a DELETE on a reused idle connection, or to one whose answer is not needed as a proof; ns
SHORT_DELETE_TIMEOUT = 100 * MS
# least time for the answer, as a multiple of the time that connecting took: allows for distant workers
_CONNECT_TIME_MULTIPLE = 6
_MAX_CONCURRENT = 32  # per worker; hundreds to one that is cut off would use up all descriptors
_POLL_PAUSE = 50 * MS  # between checks whether the number of concurrent DELETEs has fallen below the limit
# the result of a DELETE by how connecting failed; any other failure is local to this machine
_CONNECT_OBSERVATIONS = {
    Ending.CONNECT_REFUSED: Observation.DELETE_UNSENT,
    Ending.CONNECT_TIMED_OUT: Observation.DELETE_UNSENT,
}


class DeleteSender:
    """Sends DELETEs. ``connect`` opens a connection to an address; its other arguments are the worker's name
    and the purpose of the connection, for the trace. ``in_flight`` counts the DELETEs per address."""

    def __init__(
        self,
        loop: Loop,
        pools: ConnectionPools,
        connect: Callable[[Address, str, str], Coroutine[Connection]],
    ) -> None:
        self._loop, self._pools, self._connect = loop, pools, connect
        self.in_flight: Counter[Address] = Counter()

    def send(
        self, address: Address, job_id: str, worker: str, timeout: int, until: int
    ) -> Coroutine[Observation]:
        """Sends one DELETE and returns its result. ``timeout``: for the answer on a new connection, ns;
        ``until``: time (ns) from which it need not be sent any more."""
        while self.in_flight[address] >= _MAX_CONCURRENT:
            if self._loop.now() >= until:
                return Observation.DELETE_UNSENT
            yield from sleep(self._loop.now() + _POLL_PAUSE)
        self.in_flight[address] += 1
        connection = self._pools.take(address, settled=False)
        try:
            if connection is not None:
                observation = yield from self._send_on(connection, address, job_id, SHORT_DELETE_TIMEOUT)
                if observation is Observation.DELETE_ANSWERED:
                    return observation
                # The worker may be cut off behind a connection that looks open, or may have closed it
                # meanwhile.
            try:
                connect_started_at = self._loop.now()
                connection = yield from self._connect(address, worker, "delete")
            except ConnectionEndedError as error:
                return _CONNECT_OBSERVATIONS.get(error.ending, Observation.DELETE_FAILED_HERE)
            timeout = max(timeout, _CONNECT_TIME_MULTIPLE * (self._loop.now() - connect_started_at))
            return (yield from self._send_on(connection, address, job_id, timeout))
        finally:
            self.in_flight[address] -= 1
            if not self.in_flight[address]:
                del self.in_flight[address]

    def _send_on(
        self, connection: Connection, address: Address, job_id: str, timeout: int
    ) -> Coroutine[Observation]:
        """Sends a DELETE on this connection, which is then returned to the pool or closed."""
        until = self._loop.now() + timeout
        headers = [("Host", "{}:{}".format(*address))]
        kept = False
        try:
            request = connection.request_bytes("DELETE", f"/jobs/{job_id}", headers)
            yield from connection.write(request, until)
            answer = yield from connection.read_message(until)
            self._pools.release(address, connection)
            kept = True
        except ConnectionEndedError as error:
            silent = error.ending is Ending.STALLED
            return Observation.DELETE_UNANSWERED if silent else Observation.DELETE_BROKEN
        finally:
            if not kept:
                connection.close()
        return observation_of_delete_status(answer.status)
