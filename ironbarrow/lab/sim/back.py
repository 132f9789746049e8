"""Carries a simulated dispatcher's attempts to workers of the model, as the HTTP back end does over sockets.

Connections are only counted: an attempt without an idle connection takes a round trip to connect, and a
worker limits the number of its connections. Attempts end as in ``ironbarrow.backend.invoker``.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from heathway import api
from ironbarrow.core.attempt import Observation, Progress
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.model.fleet import Fleet
from ironbarrow.lab.model.worker import Admission, Demand, Report, State, Worker
from ironbarrow.lab.sim.clock import ProcessClock
from ironbarrow.runtime.clock import MS, SECOND

_CONNECT_TIMEOUT = 250 * MS
_IDLE_TIMEOUT = 13 * SECOND
_MAX_IDLE_CONNECTIONS = 8
_DELETE_TIMEOUT = 100 * MS  # for attempts that end without an answer to the DELETE
_DELETE_RETRY_PAUSE = 500 * MS  # between DELETEs that are not answered
_PROBE_TIMEOUT = 1 * SECOND
_ENDINGS = {"done": Ending.DONE, "failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}
_NEVER_RAN = frozenset(
    (
        Ending.RETURNED,
        Ending.NOT_PROCESSED,
        Ending.DRAINED,
        Ending.CONNECT_REFUSED,
        Ending.CONNECT_TIMED_OUT,
        Ending.FAILED_HERE,
        Ending.NOT_SENT,
    )
)


@dataclass(slots=True, eq=False)
class _Exchange:
    """The HTTP exchange of an attempt with its worker."""

    worker: Worker
    connected: bool = False  # it occupies a connection
    answered: bool = False  # the worker's 202 has arrived
    closed: bool = False


class SimulatedBack:
    """Carries the attempts and probes of one dispatcher."""

    def __init__(
        self,
        clock: ProcessClock,
        host: Host,
        fleet: Fleet,
        audit: Auditor,
        name: str,
        zone: str,
        demands: dict[str, Demand],
    ) -> None:
        self._clock, self._host, self._fleet, self._audit = clock, host, fleet, audit
        self._name, self._zone, self._demands = name, zone, demands
        self._idle: dict[str, deque[int]] = {}
        self._exchanges: dict[Attempt, _Exchange] = {}

    # Attempts

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt: over an idle connection if there is one, else over a new one."""
        worker = self._fleet.workers.get(attempt.worker)
        if worker is None:
            self._host.attempt_ended(attempt, Ending.DRAINED)
            return
        exchange = self._exchanges[attempt] = _Exchange(worker)
        if self._take_idle_connection(worker):
            exchange.connected = True
            self._write(attempt, exchange)
        else:
            self._connect(attempt, exchange)

    def _connect(self, attempt: Attempt, exchange: _Exchange) -> None:
        worker = exchange.worker
        reaches = self._fleet.network.reaches(self._zone, worker.zone)
        if worker.state is State.VANISHED or not reaches:
            self._clock.call_at(
                self._clock.now() + _CONNECT_TIMEOUT, self._end, attempt, Ending.CONNECT_TIMED_OUT
            )
            return
        round_trip = self._latency(worker) + self._latency(worker)
        if worker.state is State.DOWN or worker.connections >= worker.group.connections:
            self._clock.call_at(self._clock.now() + round_trip, self._end, attempt, Ending.CONNECT_REFUSED)
            return
        worker.connections += 1
        exchange.connected = True
        self._clock.call_at(self._clock.now() + round_trip, self._write, attempt, exchange)

    def _latency(self, worker: Worker) -> int:
        return self._fleet.network.latency(self._zone, worker.zone, worker.name)

    def _write(self, attempt: Attempt, exchange: _Exchange) -> None:
        if exchange.closed:
            return
        if not self._host.may_send_to(attempt.worker):
            self._release_connection(exchange)
            self._end(attempt, Ending.DRAINED)
            return
        self._host.attempt_written(attempt)
        self._audit.attempt_sent(attempt.job.payload.id, attempt.worker)
        self._fleet.network.send(
            self._zone, exchange.worker.zone, exchange.worker.name, self._arrive, attempt, exchange
        )

    def _arrive(self, attempt: Attempt, exchange: _Exchange) -> None:
        """The request arrives at the worker, even if the dispatcher has ended since."""
        worker = exchange.worker
        demand = self._demands[attempt.job.payload.id]

        def on_state(state: str, report: Report | None) -> None:
            self._send_back(worker, self._state_received, attempt, exchange, state, report)

        if worker.holds(attempt.job.payload.id):
            return
        reply = worker.arrive(attempt.job.payload.id, demand, on_state)
        if reply is Admission.ACCEPTED:
            self._send_back(worker, self._accepted, attempt, exchange)
        elif reply is Admission.FULL:
            self._send_back(worker, self._rejected, attempt, exchange, worker.report())
        elif reply is Admission.NO_PROCESS and worker.state is State.DOWN:
            self._send_back(worker, self._reset, attempt)

    def _send_back(self, worker: Worker, call: Callable[..., None], *args: object) -> None:
        if not self._clock.ended:
            self._fleet.network.send(worker.zone, self._zone, worker.name, self._clock.run, call, args)

    def _accepted(self, attempt: Attempt, exchange: _Exchange) -> None:
        if not exchange.answered:
            exchange.answered = True
            attempt.advance_to(Progress.ACCEPTED)
            self._release_connection(exchange)

    def _rejected(self, attempt: Attempt, exchange: _Exchange, report: Report) -> None:
        self._release_connection(exchange)
        self._end(attempt, Ending.NOT_PROCESSED, _load_report(report))

    def _reset(self, attempt: Attempt) -> None:
        self._end(attempt, Ending.RESET)

    def _state_received(
        self, attempt: Attempt, exchange: _Exchange, state: str, report: Report | None
    ) -> None:
        if attempt.ended:
            return
        if state == "accepted":
            self._accepted(attempt, exchange)
        elif state == "started":
            self._host.attempt_started(attempt)
        else:
            self._end(attempt, _ENDINGS[state], _load_report(report), b"done" if state == "done" else b"")

    def _end(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        exchange = self._exchanges.pop(attempt, None)
        if exchange is not None:
            exchange.closed = True
            self._drop_connection(exchange)
        self._audit.attempt_finished(attempt.job.payload.id, attempt.worker, never_ran=ending in _NEVER_RAN)
        self._host.attempt_ended(attempt, ending, report, result)

    # Giving up

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Cancels an attempt, with ``ending`` as its end; if it was written, sends its worker a DELETE."""
        exchange = self._exchanges.get(attempt)
        if exchange is None or not attempt.written:
            self._end(attempt, ending)
            return
        if attempt.is_ended_by(Observation.CONNECTION_ENDED):
            self._audit.attempt_finished(attempt.job.payload.id, attempt.worker, never_ran=False)
            self._clock.call_at(self._clock.now() + _DELETE_TIMEOUT, self._end, attempt, ending)
        self._send_delete(attempt, exchange, ending)

    def detach(self, attempt: Attempt) -> None:
        """Drops an attempt without reporting its end to the host."""
        exchange = self._exchanges.pop(attempt, None)
        if exchange is not None:
            exchange.closed = True
            self._drop_connection(exchange)
            self._audit.attempt_finished(attempt.job.payload.id, attempt.worker, never_ran=False)

    def _send_delete(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        """Sends a DELETE, and repeats it until it is answered or the attempt has ended otherwise."""
        if attempt.ended or exchange.closed:
            return
        self._fleet.network.send(
            self._zone, exchange.worker.zone, exchange.worker.name, self._delete, attempt, exchange, ending
        )
        self._clock.call_at(
            self._clock.now() + _DELETE_RETRY_PAUSE, self._send_delete, attempt, exchange, ending
        )

    def _delete(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        worker = exchange.worker
        if worker.impairment.hung or worker.state is State.VANISHED:
            return
        worker.cancel(attempt.job.payload.id)
        self._audit.attempt_finished(attempt.job.payload.id, attempt.worker, never_ran=False)
        self._send_back(worker, self._end, attempt, ending)

    # Probes and connections

    def probe(self, worker: str) -> None:
        """Probes a worker; the result goes to the host."""
        target = self._fleet.workers.get(worker)
        if target is None:
            self._host.probe_ended(worker, Ending.CONNECT_REFUSED, 0)
            return
        round_trip = self._latency(target) + self._latency(target)
        self._clock.call_at(self._clock.now() + round_trip, self._probed, target, self._clock.now())

    def _probed(self, worker: Worker, sent_at: int) -> None:
        unreachable = (
            worker.impairment.hung
            or worker.state is State.VANISHED
            or not self._fleet.network.reaches(self._zone, worker.zone)
        )
        elapsed = self._clock.now() - sent_at
        if unreachable:
            self._clock.call_at(
                sent_at + _PROBE_TIMEOUT,
                self._host.probe_ended,
                worker.name,
                Ending.TIMED_OUT,
                _PROBE_TIMEOUT,
            )
        elif worker.state is State.DOWN:
            self._host.probe_ended(worker.name, Ending.CONNECT_REFUSED, elapsed)
        else:
            self._host.probe_ended(worker.name, Ending.DONE, elapsed, _load_report(worker.report()))

    def close_idle(self, worker: str) -> None:
        """Closes the idle connections to a worker."""
        target = self._fleet.workers.get(worker)
        closed = len(self._idle.pop(worker, ()))
        if target is not None:
            target.connections -= closed

    def close(self) -> None:
        """Closes all connections, after the dispatcher's process has ended."""
        for name in list(self._idle):
            self.close_idle(name)
        for exchange in self._exchanges.values():
            self._drop_connection(exchange)

    def _take_idle_connection(self, worker: Worker) -> bool:
        idle = self._idle.get(worker.name)
        oldest = self._clock.now() - _IDLE_TIMEOUT
        while idle:
            if idle.pop() > oldest and worker.state in (State.UP, State.DRAINING):
                return True
            worker.connections -= 1
        return False

    def _release_connection(self, exchange: _Exchange) -> None:
        if exchange.connected:
            idle = self._idle.setdefault(exchange.worker.name, deque())
            if len(idle) < _MAX_IDLE_CONNECTIONS:
                exchange.connected = False
                idle.append(self._clock.now())
            else:
                self._drop_connection(exchange)

    @staticmethod
    def _drop_connection(exchange: _Exchange) -> None:
        if exchange.connected:
            exchange.connected = False
            exchange.worker.connections -= 1


def _load_report(report: Report | None) -> api.LoadReport | None:
    if report is None:
        return None
    return api.LoadReport(free_slots=report.free_slots, waiting=report.waiting, errors=report.errors)
