"""A worker of the model on sockets: takes jobs over HTTP/1.1 and tells of them by call-backs."""

import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.live.wire import HttpClient, Server, next_message
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.worker import Admission, Demand, Report, State, Worker
from ironbarrow.runtime.loop import HANGUP, MS, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection
from ironbarrow.wire.http import Message

_IDLE = 15 * SECOND
_WHOLE = 5 * SECOND
_WRITE = 5 * SECOND
_ACCEPTED = 202
_CALL_BACK_LIMIT = 2 * SECOND
_CALL_BACK_TRIES = 10
_CALL_BACK_PAUSE = 100 * MS


@dataclass(slots=True, eq=False)
class _Taken:
    """A job that came in through a connection."""

    job_id: str
    states: deque[tuple[str, Report | None]] = field(default_factory=deque)
    telling: bool = False
    waiter: Task | None = None  # whoever waits for a 202 while the worker hangs
    late_reply: str = ""


class Door:
    """One dispatcher's way to a worker: an address of its own, as a machine each would have."""

    def __init__(
        self,
        loop: Loop,
        worker: Worker,
        address: Address,
        *,
        zone: str,
        call_back: HttpClient,
        needs: Mapping[str, Demand],
        audit: Auditor,
        network: Network,
        number: int = 0,
        elsewhere: Callable[[], HttpClient | None] | None = None,
    ) -> None:
        """``elsewhere``: who hears of a call-back that its own dispatcher does not take; where dispatchers
        share a fleet, another one through the clients' front."""
        self._loop, self._worker, self._zone = loop, worker, zone
        self._number, self._elsewhere = number, elsewhere
        self._call_back, self._needs, self._audit, self._network = call_back, needs, audit, network
        self._taken: dict[str, _Taken] = {}
        listener = listen(address)
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        self.gave_up_calls = 0  # call-backs that no dispatcher took
        self.gave_up_ends = 0  # of these, those of work that had ended

    def close(self) -> None:
        self._server.close()

    @property
    def connections(self) -> int:
        return self._server.connections

    def _silent(self) -> bool:
        return self._worker.state is State.VANISHED or not self._network.reaches(
            self._zone, self._worker.zone
        )

    def _way(self) -> Coroutine[None]:
        """One way through the network; a cut holds everything back until it is mended."""
        while self._silent():
            yield from sleep(self._loop.now() + 50 * MS)
        latency = self._network.latency(self._zone, self._worker.zone, self._worker.name)
        yield from sleep(self._loop.now() + latency)

    # Requests

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            first, request = yield from next_message(self._loop, connection, _IDLE, _WHOLE)
            path = request.target.partition("?")[0]
            arrives = request.headers.get("x-request-id", "") if request.method == "POST" else ""
            self._worker.arriving.add(arrives)
            try:
                yield from self._way()
            finally:
                self._worker.arriving.discard(arrives)
            if self._worker.state is State.DOWN:
                return
            if request.method == "DELETE" and path.startswith("/jobs/"):
                # danger: where this process is late, a DELETE would overtake the job that it is about
                while path.removeprefix("/jobs/") in self._worker.arriving:
                    yield from sleep(self._loop.now() + MS)
                status, headers, body = self._delete(path.removeprefix("/jobs/"))
            elif request.method == "GET" and path in ("/-/healthy", "/-/load"):
                text = _header(self._worker.report()).encode() if path == "/-/load" else b""
                status, headers, body = 200, [], text
            elif request.method == "POST":
                answered = yield from self._job(connection, request, first)
                if answered is None:
                    return
                status, headers, body = answered
            else:
                status, headers, body = 404, [], b""
            while self._worker.impairment.hung:  # it says nothing while it hangs
                yield from sleep(self._loop.now() + 20 * MS)
            yield from self._way()
            if status == _ACCEPTED and connection.peer_hung_up():
                # the dispatcher gave it up by closing the connection before the 202
                self._give_up(request.headers.get("x-request-id", ""))
                return
            data = connection.response_bytes(status, headers, body)
            yield from connection.write(data, self._loop.now() + _WRITE)
            if not connection.next_cycle():
                return

    def _delete(self, job_id: str) -> tuple[int, list[tuple[str, str]], bytes]:
        self._give_up(job_id)
        return 204, [], b""

    def _give_up(self, job_id: str) -> None:
        """Its dispatcher has given the job up."""
        self._audit.attempt_finished(job_id, self._worker.name, never_ran=False)
        self._worker.cancel(job_id)

    def _job(
        self, connection: Connection, request: Message, first: int
    ) -> Coroutine[tuple[int, list[tuple[str, str]], bytes] | None]:
        job_id = request.headers.get("x-request-id", "")
        need = self._needs.get(job_id)
        if need is None:
            return (404 if not job_id else 400), [], b""
        name = self._worker.name
        given_up = connection.peer_hung_up()  # closed before the 202, though this process sees it only now
        self._audit.attempt_sent(job_id, name, first, self._number, given_up=given_up)
        if given_up:
            return None
        taken = self._taken[job_id] = _Taken(job_id)

        def tell(state: str, report: Report | None) -> None:
            self._tell(taken, state, report)

        reply = self._worker.arrive(job_id, need, tell)
        if reply is Admission.NO_REPLY:
            taken.waiter = self._loop.current
            while not taken.late_reply:
                woken = yield Wait(connection.sock.fileno(), HANGUP, self._loop.now() + 600 * SECOND)
                if not taken.late_reply and (not woken or connection.peer_hung_up()):
                    # the dispatcher gave it up by closing the connection
                    self._give_up(job_id)
                    return None
            taken.waiter = None
            reply = Admission.ACCEPTED if taken.late_reply == "accepted" else Admission.FULL
        if reply is Admission.ACCEPTED:
            return _ACCEPTED, [], b""
        self._taken.pop(job_id, None)
        if reply is Admission.FULL:
            self._audit.attempt_finished(job_id, name, never_ran=True)
            load = ("X-Server-Load", _header(self._worker.report()))
            return 503, [("X-Not-Processed", "1"), load], b""
        self._audit.attempt_finished(job_id, name, never_ran=False)
        return None

    # Call-backs

    def _tell(self, taken: _Taken, state: str, report: Report | None) -> None:
        if state == "accepted" or (state == "returned" and taken.waiter is not None):
            taken.late_reply = state
            if taken.waiter is not None:
                taken.waiter.wake()
            return
        if state in ("done", "failed", "returned", "lost"):
            self._audit.attempt_finished(taken.job_id, self._worker.name, never_ran=state == "returned")
        taken.states.append((state, report))
        if not taken.telling:
            taken.telling = True
            self._loop.spawn(self._call(taken))

    def _call(self, taken: _Taken) -> Coroutine[None]:
        """Tells one state after another, each until it is answered, at most ten times."""
        while taken.states:
            state, report = taken.states.popleft()
            message: dict[str, object] = {"id": taken.job_id, "from": self._worker.name, "state": state}
            if state == "done":
                message["result"] = f"done {taken.job_id}"
            if report is not None:
                message["load"] = report.fields()
            body = json.dumps(message).encode()
            headers = [("Content-Type", "application/json")]
            client: HttpClient | None = self._call_back
            for turn in range(_CALL_BACK_TRIES):
                yield from self._way()
                if turn and self._elsewhere is not None:
                    client = self._elsewhere() if turn % 2 else self._call_back
                try:
                    if client is not None:
                        until = self._loop.now() + _CALL_BACK_LIMIT
                        answer = yield from client.exchange("POST", "/callback", headers, body, until)
                        if self._elsewhere is None or answer.status < 500:
                            break
                except ConnectionEndedError:
                    pass
                yield from sleep(self._loop.now() + _CALL_BACK_PAUSE)
            else:
                self.gave_up_calls += 1
                self.gave_up_ends += state != "started"
            if state != "started":
                self._taken.pop(taken.job_id, None)
        taken.telling = False


def _header(report: Report) -> str:
    return ",".join(f"{name}={value:g}" for name, value in report.fields().items())
