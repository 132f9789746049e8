"""Clients over HTTP/1.1 that send orders at fixed times, whatever the earlier answers were (open loop).

Latency is measured from the time at which an order was due, not from the time at which it was sent. Otherwise
a load generator or a dispatcher that falls behind would hide its delay (coordinated omission).
"""

from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.model.client import ClientBehaviour, Finished
from ironbarrow.lab.model.load_balancer import LoadBalancer
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.lab.record import Recorder
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.wire.http import Message

_BODY = b"x" * 200
_LATE_ANSWER_WAIT = 100 * MS
_DISPATCHER_LOST = ("unreachable", "broken")


@dataclass(slots=True, eq=False)
class _Client:
    order: ClientRequest
    tries: int = 0  # jobs requested for the order, each with an id of its own
    requests: int = 0  # sent for the current job
    late_by: int = 0  # of the first request, ns


class Clients:
    """Sends each order when it is due, and records its outcome."""

    def __init__(
        self,
        loop: Loop,
        world: World,
        habits: ClientBehaviour,
        network: Network,
        front: LoadBalancer,
        http_clients: list[HttpClient],
        audit: Auditor,
        recorder: Recorder,
    ) -> None:
        self._loop, self._world, self._network, self._front = loop, world, network, front
        self._http_clients, self._audit, self._recorder, self._habits = http_clients, audit, recorder, habits
        self.in_progress = 0
        self.wrong_results = 0
        self.refused_connections = 0
        self.repeated_requests = 0  # sent again with the same job id
        self.without_dispatcher: list[ClientRequest] = []  # given up because no dispatcher could be reached
        # called with each order and its outcome
        self.on_end: Callable[[ClientRequest, str], None] | None = None

    def submit(self, order: ClientRequest) -> None:
        """Starts an order that is due now."""
        self.in_progress += 1
        self._loop.spawn(self._serve(_Client(order)))

    def _serve(self, client: _Client) -> Coroutine[None]:
        order = client.order
        outcome = "failed"
        try:
            outcome = yield from self._run(client)
        finally:
            self.in_progress -= 1
            self._recorder.add(order, outcome, self._loop.now(), max(1, client.tries), client.late_by)
            self._habits.forget(order, client.tries)
            if self.on_end is not None:
                self.on_end(order, outcome)

    def _run(self, client: _Client) -> Coroutine[str]:
        order = client.order
        until = order.due + order.patience
        while True:
            client.tries += 1
            client.requests = 0
            outcome, retry_after = yield from self._request_job(client, until)
            if outcome in ("no answer", "left"):
                return outcome
            dispatcher_lost = outcome in _DISPATCHER_LOST
            step = self._habits.next_step(
                order, "failed" if outcome == "broken" else outcome, client.tries, retry_after
            )
            if isinstance(step, Finished):
                if dispatcher_lost:
                    self.without_dispatcher.append(order)
                return step.outcome
            yield from sleep(self._loop.now() + step.pause)

    def _request_job(self, client: _Client, until: int) -> Coroutine[tuple[str, int]]:
        """Requests one job. Clients that reuse the job id repeat the request until there is an answer."""
        while True:
            client.requests += 1
            outcome, retry_after = yield from self._send_request(client, until)
            repeat = (
                self._habits.retry_same_id(client.order, outcome) if outcome in _DISPATCHER_LOST else None
            )
            if repeat is None:
                return outcome, retry_after
            self.repeated_requests += 1
            yield from sleep(self._loop.now() + repeat.pause)

    def _send_request(self, client: _Client, until: int) -> Coroutine[tuple[str, int]]:
        """Sends one request; returns its outcome and the Retry-After time in ns.

        The outcome is ``unreachable`` if there was no connection, and ``broken`` if the connection ended
        before an answer.
        """
        order = client.order
        dispatcher = self._front.choose(order.zone)
        yield from sleep(self._loop.now() + self._network.client_latency("consumers"))
        if dispatcher is None:
            return "unreachable", 0
        cls = self._world.classes[order.cls]
        job_id = self._habits.start_try(order, client.tries)
        time_left_ms = (order.due + order.deadline - self._loop.now()) // MS
        if time_left_ms < 1:
            return "no answer", 0
        headers = [("X-Request-ID", job_id), ("X-Timeout-Ms", str(time_left_ms))]
        if client.requests > 1:
            headers.append(("X-Retried", "1"))
        if order.session is not None:
            headers.append(("Cookie", f"sid={order.session}"))
        if order.slots > 1:
            headers.append(("X-Attrs", f"slots={order.slots}"))
        if client.tries == 1 and client.requests == 1:
            due = order.due + self._world.network.client
            client.late_by = max(0, self._loop.now() - due)

        def sent() -> None:
            self._audit.job_taken(
                job_id, order.number, dispatcher, time_left_ms * MS, unsafe=cls.effect == "unsafe"
            )

        target = f"/{cls.name}/{order.number}"
        if order.patience >= order.deadline:
            # An answer after the deadline is of no use to the client, but the auditor has to see whether the
            # dispatcher answers within its tolerance.
            until += self._world.dispatchers.answer_slack + _LATE_ANSWER_WAIT
        try:
            answer = yield from self._http_clients[dispatcher].exchange(
                "POST", target, headers, _BODY, until, sent
            )
        except ConnectionEndedError as error:
            if error.ending is Ending.STALLED:
                self._audit.client_left(job_id)
            else:
                self._audit.connection_broken(job_id)
            if error.ending is Ending.STALLED:
                return self._habits.timeout_outcome(order), 0
            if error.ending in (Ending.CONNECT_REFUSED, Ending.CONNECT_TIMED_OUT):
                self.refused_connections += 1
                return "unreachable", 0
            return "broken", 0
        result = self._interpret(job_id, answer)
        return result if self._loop.now() <= order.due + order.deadline else ("no answer", 0)

    def _interpret(self, job_id: str, answer: Message) -> tuple[str, int]:
        if answer.status == 200:
            if answer.body != f"done {job_id}".encode():
                self.wrong_results += 1
            self._audit.job_answered(job_id, "served")
            return "served", 0
        if answer.status in (429, 503):
            self._audit.job_answered(job_id, "refused")
            try:
                return "refused", int(float(answer.headers.get("retry-after", "0")) * SECOND)
            except ValueError:
                return "refused", 0
        self._audit.job_answered(job_id, "failed")
        return "failed", 0
