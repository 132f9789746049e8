"""Clients that keep using a connection for as long as its dispatcher keeps it open."""

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.model.client import ClientBehaviour
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect

_REQUEST_PAUSE = 60 * MS  # between an answer and the next request
_ANSWER_MARGIN = 400 * MS  # to wait for an answer after the job's deadline
_CONNECT_TIMEOUT = 1 * SECOND
_TRY_BITS = 16  # of the number of a request, for the number of its job on the connection
_FIRST_BYTES = 30  # of a request whose last bytes come after a pause


class KeepAliveClient:
    """Sends one job after another on one connection, until the dispatcher closes it."""

    def __init__(
        self,
        loop: Loop,
        audit: Auditor,
        habits: ClientBehaviour,
        dispatcher: int,
        address: Address,
        *,
        unsafe: bool = False,
        write_pause: int = 0,
    ) -> None:
        """``unsafe``: its jobs must not run twice. ``write_pause``: before a request's last bytes, ns."""
        self._unsafe, self._write_pause = unsafe, write_pause
        self._loop, self._audit, self._habits = loop, audit, habits
        self._dispatcher, self._address = dispatcher, address
        self.answered = 0
        self.unanswered: list[str] = []  # ids of jobs without an answer at the end of the waiting time

    def run(self, order: ClientRequest, deadline: int, target: str) -> Coroutine[None]:
        """Sends ``order`` again and again with new job ids; each job has ``deadline`` ns."""
        try:
            connection = yield from connect(self._address, self._loop.now() + _CONNECT_TIMEOUT)
        except ConnectionEndedError:
            return
        tries = 0
        try:
            while True:
                tries += 1
                job_id = self._habits.start_try(order, tries)
                root = (order.number << _TRY_BITS) + tries  # each job is a request of its own
                yield from self._request(connection, job_id, root, deadline, target)
                if not connection.next_cycle():
                    return
                yield from sleep(self._loop.now() + _REQUEST_PAUSE)
        except ConnectionEndedError:
            return
        finally:
            connection.close()

    def _request(
        self, connection: Connection, job_id: str, root: int, deadline: int, target: str
    ) -> Coroutine[None]:
        headers = [
            ("Host", "{}:{}".format(*self._address)),
            ("X-Request-ID", job_id),
            ("X-Timeout-Ms", str(deadline // MS)),
        ]
        until = self._loop.now() + deadline
        data = connection.request_bytes("POST", target, headers, b"x")
        if self._write_pause:
            yield from connection.write(data[:_FIRST_BYTES], until)
            yield from sleep(self._loop.now() + self._write_pause)
            data = data[_FIRST_BYTES:]
        until = self._loop.now() + deadline + _ANSWER_MARGIN
        yield from connection.write(data, until)
        self._audit.job_taken(job_id, root, self._dispatcher, deadline, unsafe=self._unsafe)
        try:
            answer = yield from connection.read_message(until)
        except ConnectionEndedError as error:
            if error.ending is Ending.STALLED:
                self.unanswered.append(job_id)
                self._audit.client_left(job_id)
            else:
                self._audit.connection_broken(job_id)
            raise
        self.answered += 1
        verdict = {200: "served", 429: "refused", 503: "refused"}.get(answer.status, "failed")
        self._audit.job_answered(job_id, verdict)
