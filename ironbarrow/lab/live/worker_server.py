"""Serves a model worker over HTTP/1.1: takes jobs, and reports their states by call-backs."""

import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.live.http import HttpClient, Server, next_message
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.worker import Admission, Demand, Report, State, Worker
from ironbarrow.runtime.loop import HANGUP, MS, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection
from ironbarrow.wire.http import Message

_IDLE_TIMEOUT = 15 * SECOND
_READ_TIMEOUT = 5 * SECOND
_WRITE_TIMEOUT = 5 * SECOND
_ACCEPTED = 202
_CALL_BACK_TIMEOUT = 2 * SECOND
_CALL_BACK_ATTEMPTS = 10
_CALL_BACK_PAUSE = 100 * MS


@dataclass(slots=True, eq=False)
class _ReceivedJob:
    """A job that a dispatcher has sent, and its states that are still to be reported."""

    job_id: str
    states: deque[tuple[str, Report | None]] = field(default_factory=deque)
    sending: bool = False
    waiter: Task | None = None  # the request's task, while the hanging worker sends no 202
    late_reply: str = ""  # the state that ended this wait: accepted or returned


class WorkerEndpoint:
    """A worker's HTTP server for one dispatcher. Each pair of both has an address of its own."""

    def __init__(
        self,
        loop: Loop,
        worker: Worker,
        address: Address,
        *,
        zone: str,
        client: HttpClient,
        needs: Mapping[str, Demand],
        audit: Auditor,
        network: Network,
        dispatcher: int = 0,
        alternative: Callable[[], HttpClient | None] | None = None,
    ) -> None:
        """``dispatcher``: its number. ``client``: for call-backs to it. ``alternative``: chooses another
        dispatcher of the fleet for call-backs that this one does not accept; None without a fleet."""
        self._loop, self._worker, self._zone = loop, worker, zone
        self._dispatcher, self._alternative = dispatcher, alternative
        self._client, self._needs, self._audit, self._network = client, needs, audit, network
        self._jobs: dict[str, _ReceivedJob] = {}
        listener = listen(address)
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        self.undelivered_call_backs = 0  # that no dispatcher accepted
        self.undelivered_ends = 0  # of these, those that reported the end of a job

    def close(self) -> None:
        self._server.close()

    @property
    def connections(self) -> int:
        return self._server.connections

    def _is_unreachable(self) -> bool:
        return self._worker.state is State.VANISHED or not self._network.reaches(
            self._zone, self._worker.zone
        )

    def _network_delay(self) -> Coroutine[None]:
        """Waits for the latency of one direction, and before it for the end of a cut."""
        while self._is_unreachable():
            yield from sleep(self._loop.now() + 50 * MS)
        latency = self._network.latency(self._zone, self._worker.zone, self._worker.name)
        yield from sleep(self._loop.now() + latency)

    # Requests

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            first_byte_at, request = yield from next_message(
                self._loop, connection, _IDLE_TIMEOUT, _READ_TIMEOUT
            )
            path = request.target.partition("?")[0]
            arriving_id = request.headers.get("x-request-id", "") if request.method == "POST" else ""
            self._worker.arriving.add(arriving_id)
            try:
                yield from self._network_delay()
            finally:
                self._worker.arriving.discard(arriving_id)
            if self._worker.state is State.DOWN:
                return
            if request.method == "DELETE" and path.startswith("/jobs/"):
                # If this process runs late, a DELETE could overtake its job's POST.
                while path.removeprefix("/jobs/") in self._worker.arriving:
                    yield from sleep(self._loop.now() + MS)
                status, headers, body = self._delete(path.removeprefix("/jobs/"))
            elif request.method == "GET" and path in ("/-/healthy", "/-/load"):
                text = _load_header(self._worker.report()).encode() if path == "/-/load" else b""
                status, headers, body = 200, [], text
            elif request.method == "POST":
                answered = yield from self._receive_job(connection, request, first_byte_at)
                if answered is None:
                    return
                status, headers, body = answered
            else:
                status, headers, body = 404, [], b""
            while self._worker.impairment.hung:  # a worker that hangs sends no answer
                yield from sleep(self._loop.now() + 20 * MS)
            yield from self._network_delay()
            if status == _ACCEPTED and connection.peer_hung_up():
                # A dispatcher gives an attempt up by closing the connection before the 202.
                self._abandon(request.headers.get("x-request-id", ""))
                return
            data = connection.response_bytes(status, headers, body)
            yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
            if not connection.next_cycle():
                return

    def _delete(self, job_id: str) -> tuple[int, list[tuple[str, str]], bytes]:
        self._abandon(job_id)
        return 204, [], b""

    def _abandon(self, job_id: str) -> None:
        """Cancels a job whose attempt the dispatcher has given up."""
        self._audit.attempt_finished(job_id, self._worker.name, never_ran=False)
        self._worker.cancel(job_id)

    def _receive_job(
        self, connection: Connection, request: Message, first_byte_at: int
    ) -> Coroutine[tuple[int, list[tuple[str, str]], bytes] | None]:
        job_id = request.headers.get("x-request-id", "")
        need = self._needs.get(job_id)
        if need is None:
            return (404 if not job_id else 400), [], b""
        name = self._worker.name
        given_up = (
            connection.peer_hung_up()
        )  # closed already, although this process reads the request only now
        self._audit.attempt_sent(job_id, name, first_byte_at, self._dispatcher, given_up=given_up)
        if given_up:
            return None
        job = self._jobs[job_id] = _ReceivedJob(job_id)

        def on_state(state: str, report: Report | None) -> None:
            self._on_state(job, state, report)

        reply = self._worker.arrive(job_id, need, on_state)
        if reply is Admission.NO_REPLY:
            job.waiter = self._loop.current
            while not job.late_reply:
                event = yield Wait(connection.sock.fileno(), HANGUP, self._loop.now() + 600 * SECOND)
                if not job.late_reply and (not event or connection.peer_hung_up()):
                    # The dispatcher has given the attempt up by closing the connection.
                    self._abandon(job_id)
                    return None
            job.waiter = None
            reply = Admission.ACCEPTED if job.late_reply == "accepted" else Admission.FULL
        if reply is Admission.ACCEPTED:
            return _ACCEPTED, [], b""
        self._jobs.pop(job_id, None)
        if reply is Admission.FULL:
            self._audit.attempt_finished(job_id, name, never_ran=True)
            load = ("X-Server-Load", _load_header(self._worker.report()))
            return 503, [("X-Not-Processed", "1"), load], b""
        self._audit.attempt_finished(job_id, name, never_ran=False)
        return None

    # Call-backs

    def _on_state(self, job: _ReceivedJob, state: str, report: Report | None) -> None:
        if state == "accepted" or (state == "returned" and job.waiter is not None):
            job.late_reply = state
            if job.waiter is not None:
                job.waiter.wake()
            return
        if state in ("done", "failed", "returned", "lost"):
            self._audit.attempt_finished(job.job_id, self._worker.name, never_ran=state == "returned")
        job.states.append((state, report))
        if not job.sending:
            job.sending = True
            self._loop.spawn(self._send_call_backs(job))

    def _send_call_backs(self, job: _ReceivedJob) -> Coroutine[None]:
        """Reports the states of a job in order; each is sent at most ten times until it is accepted."""
        while job.states:
            state, report = job.states.popleft()
            message: dict[str, object] = {"id": job.job_id, "from": self._worker.name, "state": state}
            if state == "done":
                message["result"] = f"done {job.job_id}"
            if report is not None:
                message["load"] = report.fields()
            body = json.dumps(message).encode()
            headers = [("Content-Type", "application/json")]
            client: HttpClient | None = self._client
            for attempt in range(_CALL_BACK_ATTEMPTS):
                yield from self._network_delay()
                if attempt and self._alternative is not None:
                    client = self._alternative() if attempt % 2 else self._client
                try:
                    if client is not None:
                        until = self._loop.now() + _CALL_BACK_TIMEOUT
                        answer = yield from client.exchange("POST", "/callback", headers, body, until)
                        if self._alternative is None or answer.status < 500:
                            break
                except ConnectionEndedError:
                    pass
                yield from sleep(self._loop.now() + _CALL_BACK_PAUSE)
            else:
                self.undelivered_call_backs += 1
                self.undelivered_ends += state != "started"
            if state != "started":
                self._jobs.pop(job.job_id, None)
        job.sending = False


def _load_header(report: Report) -> str:
    return ",".join(f"{name}={value:g}" for name, value in report.fields().items())
