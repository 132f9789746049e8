"""The back of a simulated dispatcher: attempts to workers of the model, as the HTTP back makes them.

Connections are counted, not opened: an attempt without an idle one pays a round trip to connect, and a
worker takes only so many. Endings are those that ``ironbarrow.backend.invoker`` finds on sockets.
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
from ironbarrow.lab.model.worker import Need, Reply, Report, State, Worker
from ironbarrow.lab.sim.clock import ProcessClock
from ironbarrow.runtime.clock import MS, SECOND

_CONNECT_TIMEOUT = 250 * MS
_IDLE_LIMIT = 13 * SECOND
_POOL = 8
_DELETE_LIMIT = 100 * MS  # where no proof is needed that it has arrived
_DELETE_AGAIN = 500 * MS  # after one that was not answered
_PROBE_LIMIT = 1 * SECOND
_TOLD = {"done": Ending.DONE, "failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}
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
class _Way:
    """An attempt's way to its worker."""

    worker: Worker
    connected: bool = False  # it holds a connection
    answered: bool = False  # the worker's 202 is in
    over: bool = False


class SimulatedBack:
    """Carries one dispatcher's attempts."""

    def __init__(
        self,
        clock: ProcessClock,
        host: Host,
        fleet: Fleet,
        audit: Auditor,
        name: str,
        zone: str,
        needs: dict[str, Need],
    ) -> None:
        self._clock, self._host, self._fleet, self._audit = clock, host, fleet, audit
        self._name, self._zone, self._needs = name, zone, needs
        self._idle: dict[str, deque[int]] = {}
        self._ways: dict[Attempt, _Way] = {}

    # What the host asks for

    def start(self, attempt: Attempt) -> None:
        worker = self._fleet.workers.get(attempt.worker)
        if worker is None:
            self._host.attempt_ended(attempt, Ending.DRAINED)
            return
        way = self._ways[attempt] = _Way(worker)
        if self._take_idle(worker):
            way.connected = True
            self._write(attempt, way)
        else:
            self._connect(attempt, way)

    def _connect(self, attempt: Attempt, way: _Way) -> None:
        worker = way.worker
        reaches = self._fleet.network.reaches(self._zone, worker.zone)
        if worker.state is State.VANISHED or not reaches:
            self._clock.call_at(
                self._clock.now() + _CONNECT_TIMEOUT, self._end, attempt, Ending.CONNECT_TIMED_OUT
            )
            return
        trip = self._latency(worker) + self._latency(worker)
        if worker.state is State.DOWN or worker.connections >= worker.group.connections:
            self._clock.call_at(self._clock.now() + trip, self._end, attempt, Ending.CONNECT_REFUSED)
            return
        worker.connections += 1
        way.connected = True
        self._clock.call_at(self._clock.now() + trip, self._write, attempt, way)

    def _latency(self, worker: Worker) -> int:
        return self._fleet.network.latency(self._zone, worker.zone, worker.name)

    def _write(self, attempt: Attempt, way: _Way) -> None:
        if way.over:
            return
        if not self._host.may_send_to(attempt.worker):
            self._put_back(way)
            self._end(attempt, Ending.DRAINED)
            return
        self._host.attempt_written(attempt)
        self._audit.sent(attempt.job.payload.id, attempt.worker)
        self._fleet.network.send(self._zone, way.worker.zone, way.worker.name, self._arrive, attempt, way)

    def _arrive(self, attempt: Attempt, way: _Way) -> None:
        """At the worker, whatever has become of the dispatcher since."""
        worker = way.worker
        need = self._needs[attempt.job.payload.id]

        def tell(state: str, report: Report | None) -> None:
            self._send_back(worker, self._told, attempt, way, state, report)

        if worker.holds(attempt.job.payload.id):
            return
        reply = worker.arrive(attempt.job.payload.id, need, tell)
        if reply is Reply.TAKEN:
            self._send_back(worker, self._accepted, attempt, way)
        elif reply is Reply.FULL:
            self._send_back(worker, self._turned_away, attempt, way, worker.report())
        elif reply is Reply.REFUSED and worker.state is State.DOWN:
            self._send_back(worker, self._reset, attempt)

    def _send_back(self, worker: Worker, call: Callable[..., None], *args: object) -> None:
        if not self._clock.over:
            self._fleet.network.send(worker.zone, self._zone, worker.name, self._clock.run, call, args)

    def _accepted(self, attempt: Attempt, way: _Way) -> None:
        if not way.answered:
            way.answered = True
            attempt.advance_to(Progress.ACCEPTED)
            self._put_back(way)

    def _turned_away(self, attempt: Attempt, way: _Way, report: Report) -> None:
        self._put_back(way)
        self._end(attempt, Ending.NOT_PROCESSED, _read(report))

    def _reset(self, attempt: Attempt) -> None:
        self._end(attempt, Ending.RESET)

    def _told(self, attempt: Attempt, way: _Way, state: str, report: Report | None) -> None:
        if attempt.ended:
            return
        if state == "accepted":
            self._accepted(attempt, way)
        elif state == "started":
            self._host.attempt_started(attempt)
        else:
            self._end(attempt, _TOLD[state], _read(report), b"done" if state == "done" else b"")

    def _end(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        way = self._ways.pop(attempt, None)
        if way is not None:
            way.over = True
            self._drop_connection(way)
        self._audit.attempt_over(attempt.job.payload.id, attempt.worker, never_ran=ending in _NEVER_RAN)
        self._host.attempt_ended(attempt, ending, report, result)

    # Giving up

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        way = self._ways.get(attempt)
        if way is None or not attempt.written:
            self._end(attempt, ending)
            return
        if attempt.is_ended_by(Observation.CONNECTION_ENDED):
            self._audit.attempt_over(attempt.job.payload.id, attempt.worker, never_ran=False)
            self._clock.call_at(self._clock.now() + _DELETE_LIMIT, self._end, attempt, ending)
        self._send_delete(attempt, way, ending)

    def detach(self, attempt: Attempt) -> None:
        way = self._ways.pop(attempt, None)
        if way is not None:
            way.over = True
            self._drop_connection(way)
            self._audit.attempt_over(attempt.job.payload.id, attempt.worker, never_ran=False)

    def _send_delete(self, attempt: Attempt, way: _Way, ending: Ending) -> None:
        """Sent again and again until it is answered, or the attempt has ended otherwise."""
        if attempt.ended or way.over:
            return
        self._fleet.network.send(
            self._zone, way.worker.zone, way.worker.name, self._delete, attempt, way, ending
        )
        self._clock.call_at(self._clock.now() + _DELETE_AGAIN, self._send_delete, attempt, way, ending)

    def _delete(self, attempt: Attempt, way: _Way, ending: Ending) -> None:
        worker = way.worker
        if worker.trouble.hung or worker.state is State.VANISHED:
            return
        worker.cancel(attempt.job.payload.id)
        self._audit.attempt_over(attempt.job.payload.id, attempt.worker, never_ran=False)
        self._send_back(worker, self._end, attempt, ending)

    # Probes and connections

    def probe(self, worker: str) -> None:
        found = self._fleet.workers.get(worker)
        if found is None:
            self._host.probe_ended(worker, Ending.CONNECT_REFUSED, 0)
            return
        trip = self._latency(found) + self._latency(found)
        self._clock.call_at(self._clock.now() + trip, self._probed, found, self._clock.now())

    def _probed(self, worker: Worker, since: int) -> None:
        silent = (
            worker.trouble.hung
            or worker.state is State.VANISHED
            or not self._fleet.network.reaches(self._zone, worker.zone)
        )
        elapsed = self._clock.now() - since
        if silent:
            self._clock.call_at(
                since + _PROBE_LIMIT, self._host.probe_ended, worker.name, Ending.TIMED_OUT, _PROBE_LIMIT
            )
        elif worker.state is State.DOWN:
            self._host.probe_ended(worker.name, Ending.CONNECT_REFUSED, elapsed)
        else:
            self._host.probe_ended(worker.name, Ending.DONE, elapsed, _read(worker.report()))

    def close_idle(self, worker: str) -> None:
        found = self._fleet.workers.get(worker)
        closed = len(self._idle.pop(worker, ()))
        if found is not None:
            found.connections -= closed

    def close(self) -> None:
        """The dispatcher is gone: its connections with it."""
        for name in list(self._idle):
            self.close_idle(name)
        for way in self._ways.values():
            self._drop_connection(way)

    def _take_idle(self, worker: Worker) -> bool:
        idle = self._idle.get(worker.name)
        oldest = self._clock.now() - _IDLE_LIMIT
        while idle:
            if idle.pop() > oldest and worker.state in (State.UP, State.DRAINING):
                return True
            worker.connections -= 1
        return False

    def _put_back(self, way: _Way) -> None:
        if way.connected:
            idle = self._idle.setdefault(way.worker.name, deque())
            if len(idle) < _POOL:
                way.connected = False
                idle.append(self._clock.now())
            else:
                self._drop_connection(way)

    @staticmethod
    def _drop_connection(way: _Way) -> None:
        if way.connected:
            way.connected = False
            way.worker.connections -= 1


def _read(report: Report | None) -> api.LoadReport | None:
    if report is None:
        return None
    return api.LoadReport(free_slots=report.free_slots, waiting=report.waiting, errors=report.errors)
