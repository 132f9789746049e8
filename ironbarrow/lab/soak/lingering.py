"""Clients that go on using a connection for as long as its dispatcher keeps it open."""

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.model.client import ClientBehaviour
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect

_BETWEEN = 60 * MS  # an answer and the next request
_SLACK = 400 * MS  # after a job's time, for its answer
_CONNECT_LIMIT = 1 * SECOND


class LingeringClient:
    """Sends one safe job after another on one connection, until the other side ends it."""

    def __init__(
        self, loop: Loop, audit: Auditor, habits: ClientBehaviour, dispatcher: int, address: Address
    ) -> None:
        self._loop, self._audit, self._habits = loop, audit, habits
        self._dispatcher, self._address = dispatcher, address
        self.answered = 0
        self.unanswered: list[str] = []  # jobs that stayed open beyond their time

    def run(self, order: ClientRequest, deadline: int, target: str) -> Coroutine[None]:
        """``order`` is tried again and again under new ids, each for ``deadline`` ns."""
        try:
            connection = yield from connect(self._address, self._loop.now() + _CONNECT_LIMIT)
        except ConnectionEndedError:
            return
        tries = 0
        try:
            while True:
                tries += 1
                job_id = self._habits.start_try(order, tries)
                yield from self._ask(connection, job_id, order, deadline, target)
                if not connection.next_cycle():
                    return
                yield from sleep(self._loop.now() + _BETWEEN)
        except ConnectionEndedError:
            return
        finally:
            connection.close()

    def _ask(
        self, connection: Connection, job_id: str, order: ClientRequest, deadline: int, target: str
    ) -> Coroutine[None]:
        headers = [
            ("Host", "{}:{}".format(*self._address)),
            ("X-Request-ID", job_id),
            ("X-Timeout-Ms", str(deadline // MS)),
        ]
        until = self._loop.now() + deadline + _SLACK
        yield from connection.write(connection.request_bytes("POST", target, headers, b"x"), until)
        self._audit.job_taken(job_id, order.number, self._dispatcher, deadline, unsafe=False)
        try:
            answer = yield from connection.read_message(until)
        except ConnectionEndedError as error:
            if error.ending is Ending.STALLED:
                self.unanswered.append(job_id)
            self._audit.client_left(job_id)  # the request crossed the end of the connection
            raise
        self.answered += 1
        verdict = {200: "served", 429: "refused", 503: "refused"}.get(answer.status, "failed")
        self._audit.job_answered(job_id, verdict)
