"""Clients on sockets: an open loop over HTTP/1.1. Latency counts from when an order was due, not from when
it could be sent, so a generator or a dispatcher that falls behind can't hide it (coordinated omission)."""

from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.live.wire import HttpClient
from ironbarrow.lab.model.client import ClientBehaviour, Finished
from ironbarrow.lab.model.load_balancer import LoadBalancer
from ironbarrow.lab.model.network import Network
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.lab.record import Recorder
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.wire.http import Message

_BODY = b"x" * 200
_LOOKS_ON = 100 * MS
_NOBODY_THERE = ("unreachable", "broken")


@dataclass(slots=True, eq=False)
class _Client:
    order: ClientRequest
    tries: int = 0  # jobs that it asked for, each under an id of its own
    askings: int = 0  # of the present one
    late_by: int = 0


class Clients:
    """Sends each order when it is due and records its end."""

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
        self.open = 0
        self.wrong_results = 0
        self.refused_connections = 0
        self.came_again = 0  # under the same id
        self.without_dispatcher: list[ClientRequest] = []  # no answer for want of one
        self.heard: Callable[[ClientRequest, str], None] | None = None  # told of each end

    def take(self, order: ClientRequest) -> None:
        """An order is due now."""
        self.open += 1
        self._loop.spawn(self._serve(_Client(order)))

    def _serve(self, client: _Client) -> Coroutine[None]:
        order = client.order
        outcome = "failed"
        try:
            outcome = yield from self._tries(client)
        finally:
            self.open -= 1
            self._recorder.add(order, outcome, self._loop.now(), max(1, client.tries), client.late_by)
            self._habits.forget(order, client.tries)
            if self.heard is not None:
                self.heard(order, outcome)

    def _tries(self, client: _Client) -> Coroutine[str]:
        order = client.order
        until = order.due + order.patience
        while True:
            client.tries += 1
            client.askings = 0
            how, retry_after = yield from self._ask(client, until)
            if how in ("no answer", "left"):
                return how
            lost = how in _NOBODY_THERE
            step = self._habits.next_step(
                order, "failed" if how == "broken" else how, client.tries, retry_after
            )
            if isinstance(step, Finished):
                if lost:
                    self.without_dispatcher.append(order)
                return step.outcome
            yield from sleep(self._loop.now() + step.pause)

    def _ask(self, client: _Client, until: int) -> Coroutine[tuple[str, int]]:
        """One job, asked for until there is an answer, where clients come again under the same id."""
        while True:
            client.askings += 1
            how, retry_after = yield from self._try(client, until)
            again = self._habits.retry_same_id(client.order, how) if how in _NOBODY_THERE else None
            if again is None:
                return how, retry_after
            self.came_again += 1
            yield from sleep(self._loop.now() + again.pause)

    def _try(self, client: _Client, until: int) -> Coroutine[tuple[str, int]]:
        """How it went; ``unreachable``: no connection, ``broken``: it ended before an answer."""
        order = client.order
        number = self._front.choose(order.zone)
        yield from sleep(self._loop.now() + self._network.client_latency("consumers"))
        if number is None:
            return "unreachable", 0
        cls = self._world.classes[order.cls]
        job_id = self._habits.start_try(order, client.tries)
        left = (order.due + order.deadline - self._loop.now()) // MS
        if left < 1:
            return "no answer", 0
        headers = [("X-Request-ID", job_id), ("X-Timeout-Ms", str(left))]
        if client.askings > 1:
            headers.append(("X-Retried", "1"))
        if order.session is not None:
            headers.append(("Cookie", f"sid={order.session}"))
        if order.slots > 1:
            headers.append(("X-Attrs", f"slots={order.slots}"))
        if client.tries == 1 and client.askings == 1:
            due = order.due + self._world.network.client
            client.late_by = max(0, self._loop.now() - due)

        def sent() -> None:
            self._audit.job_taken(job_id, order.number, number, left * MS, unsafe=cls.effect == "unsafe")

        target = f"/{cls.name}/{order.number}"
        if order.patience >= order.deadline:
            # it has no use for an answer past its time, and still looks whether one comes in the slack
            until += self._world.dispatchers.answer_slack + _LOOKS_ON
        try:
            answer = yield from self._http_clients[number].exchange(
                "POST", target, headers, _BODY, until, sent
            )
        except ConnectionEndedError as error:
            self._audit.client_left(job_id)
            if error.ending is Ending.STALLED:
                return self._habits.timeout_outcome(order), 0
            if error.ending in (Ending.CONNECT_REFUSED, Ending.CONNECT_TIMED_OUT):
                self.refused_connections += 1
                return "unreachable", 0
            return "broken", 0
        read = self._read(job_id, answer)
        return read if self._loop.now() <= order.due + order.deadline else ("no answer", 0)

    def _read(self, job_id: str, answer: Message) -> tuple[str, int]:
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
