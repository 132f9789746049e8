"""The back of a simulated dispatcher: invoker calls to providers of the model, as the HTTP back makes them.

Connections are counted, not opened: a call without an idle one pays a round trip to connect, and a
provider takes only so many. Endings are those that ``ironbarrow.backs.invoker`` finds on sockets.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from heathway import api
from ironbarrow.core.attempt import Observation, Progress
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Call, Host
from ironbarrow.lab.audit import Auditor
from ironbarrow.lab.model.fleet import Fleet
from ironbarrow.lab.model.provider import Need, Provider, Reply, Report, State
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
        Ending.NO_DESCRIPTOR,
        Ending.NOT_SENT,
    )
)


@dataclass(slots=True, eq=False)
class _Way:
    """A call's way to its provider."""

    provider: Provider
    connected: bool = False  # it holds a connection
    answered: bool = False  # the provider's 202 is in
    over: bool = False


class SimulatedBack:
    """Carries one dispatcher's calls."""

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
        self._ways: dict[Call, _Way] = {}

    # What the host asks for

    def start(self, call: Call) -> None:
        provider = self._fleet.providers.get(call.provider)
        if provider is None:
            self._host.call_ended(call, Ending.DRAINED)
            return
        way = self._ways[call] = _Way(provider)
        if self._take_idle(provider):
            way.connected = True
            self._write(call, way)
        else:
            self._connect(call, way)

    def _connect(self, call: Call, way: _Way) -> None:
        provider = way.provider
        reaches = self._fleet.network.reaches(self._zone, provider.zone)
        if provider.state is State.VANISHED or not reaches:
            self._clock.call_at(
                self._clock.now() + _CONNECT_TIMEOUT, self._end, call, Ending.CONNECT_TIMED_OUT
            )
            return
        trip = self._latency(provider) + self._latency(provider)
        if provider.state is State.DOWN or provider.connections >= provider.group.connections:
            self._clock.call_at(self._clock.now() + trip, self._end, call, Ending.CONNECT_REFUSED)
            return
        provider.connections += 1
        way.connected = True
        self._clock.call_at(self._clock.now() + trip, self._write, call, way)

    def _latency(self, provider: Provider) -> int:
        return self._fleet.network.latency(self._zone, provider.zone, provider.name)

    def _write(self, call: Call, way: _Way) -> None:
        if way.over:
            return
        if not self._host.may_send_to(call.provider):
            self._put_back(way)
            self._end(call, Ending.DRAINED)
            return
        self._host.call_written(call)
        self._audit.sent(call.job.payload.id, call.provider)
        self._fleet.network.send(self._zone, way.provider.zone, way.provider.name, self._arrive, call, way)

    def _arrive(self, call: Call, way: _Way) -> None:
        """At the provider, whatever has become of the dispatcher since."""
        provider = way.provider
        need = self._needs[call.job.payload.id]

        def tell(state: str, report: Report | None) -> None:
            self._send_back(provider, self._told, call, way, state, report)

        if provider.holds(call.job.payload.id):
            return
        reply = provider.arrive(call.job.payload.id, need, tell)
        if reply is Reply.TAKEN:
            self._send_back(provider, self._accepted, call, way)
        elif reply is Reply.FULL:
            self._send_back(provider, self._turned_away, call, way, provider.report())
        elif reply is Reply.REFUSED and provider.state is State.DOWN:
            self._send_back(provider, self._reset, call)

    def _send_back(self, provider: Provider, call: Callable[..., None], *args: object) -> None:
        if not self._clock.over:
            self._fleet.network.send(provider.zone, self._zone, provider.name, self._clock.run, call, args)

    def _accepted(self, call: Call, way: _Way) -> None:
        if not way.answered:
            way.answered = True
            call.reach(Progress.ACCEPTED)
            self._put_back(way)

    def _turned_away(self, call: Call, way: _Way, report: Report) -> None:
        self._put_back(way)
        self._end(call, Ending.NOT_PROCESSED, _read(report))

    def _reset(self, call: Call) -> None:
        self._end(call, Ending.RESET)

    def _told(self, call: Call, way: _Way, state: str, report: Report | None) -> None:
        if call.ended:
            return
        if state == "accepted":
            self._accepted(call, way)
        elif state == "started":
            self._host.call_started(call)
        else:
            self._end(call, _TOLD[state], _read(report), b"done" if state == "done" else b"")

    def _end(
        self, call: Call, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        way = self._ways.pop(call, None)
        if way is not None:
            way.over = True
            self._drop_connection(way)
        self._audit.attempt_over(call.job.payload.id, call.provider, never_ran=ending in _NEVER_RAN)
        self._host.call_ended(call, ending, report, result)

    # Giving up

    def give_up(self, call: Call, ending: Ending) -> None:
        way = self._ways.get(call)
        if way is None or not call.written:
            self._end(call, ending)
            return
        if call.is_over(Observation.CONNECTION_ENDED):
            self._audit.attempt_over(call.job.payload.id, call.provider, never_ran=False)
            self._clock.call_at(self._clock.now() + _DELETE_LIMIT, self._end, call, ending)
        self._send_delete(call, way, ending)

    def let_go(self, call: Call) -> None:
        way = self._ways.pop(call, None)
        if way is not None:
            way.over = True
            self._drop_connection(way)
            self._audit.attempt_over(call.job.payload.id, call.provider, never_ran=False)

    def _send_delete(self, call: Call, way: _Way, ending: Ending) -> None:
        """Sent again and again until it is answered, or the call has ended otherwise."""
        if call.ended or way.over:
            return
        self._fleet.network.send(
            self._zone, way.provider.zone, way.provider.name, self._delete, call, way, ending
        )
        self._clock.call_at(self._clock.now() + _DELETE_AGAIN, self._send_delete, call, way, ending)

    def _delete(self, call: Call, way: _Way, ending: Ending) -> None:
        provider = way.provider
        if provider.trouble.hung or provider.state is State.VANISHED:
            return
        provider.cancel(call.job.payload.id)
        self._audit.attempt_over(call.job.payload.id, call.provider, never_ran=False)
        self._send_back(provider, self._end, call, ending)

    # Probes and connections

    def probe(self, provider: str) -> None:
        found = self._fleet.providers.get(provider)
        if found is None:
            self._host.probe_ended(provider, Ending.CONNECT_REFUSED, 0)
            return
        trip = self._latency(found) + self._latency(found)
        self._clock.call_at(self._clock.now() + trip, self._probed, found, self._clock.now())

    def _probed(self, provider: Provider, since: int) -> None:
        silent = (
            provider.trouble.hung
            or provider.state is State.VANISHED
            or not self._fleet.network.reaches(self._zone, provider.zone)
        )
        elapsed = self._clock.now() - since
        if silent:
            self._clock.call_at(
                since + _PROBE_LIMIT, self._host.probe_ended, provider.name, Ending.TIMED_OUT, _PROBE_LIMIT
            )
        elif provider.state is State.DOWN:
            self._host.probe_ended(provider.name, Ending.CONNECT_REFUSED, elapsed)
        else:
            self._host.probe_ended(provider.name, Ending.DONE, elapsed, _read(provider.report()))

    def close_idle(self, provider: str) -> None:
        found = self._fleet.providers.get(provider)
        closed = len(self._idle.pop(provider, ()))
        if found is not None:
            found.connections -= closed

    def close(self) -> None:
        """The dispatcher is gone: its connections with it."""
        for name in list(self._idle):
            self.close_idle(name)
        for way in self._ways.values():
            self._drop_connection(way)

    def _take_idle(self, provider: Provider) -> bool:
        idle = self._idle.get(provider.name)
        oldest = self._clock.now() - _IDLE_LIMIT
        while idle:
            if idle.pop() > oldest and provider.state in (State.UP, State.DRAINING):
                return True
            provider.connections -= 1
        return False

    def _put_back(self, way: _Way) -> None:
        if way.connected:
            idle = self._idle.setdefault(way.provider.name, deque())
            if len(idle) < _POOL:
                way.connected = False
                idle.append(self._clock.now())
            else:
                self._drop_connection(way)

    @staticmethod
    def _drop_connection(way: _Way) -> None:
        if way.connected:
            way.connected = False
            way.provider.connections -= 1


def _read(report: Report | None) -> api.LoadReport | None:
    if report is None:
        return None
    return api.LoadReport(free_slots=report.free_slots, waiting=report.waiting, errors=report.errors)
