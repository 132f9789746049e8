"""Computes the measured values of one phase from the counts of all processes."""

import os
import time
from collections import defaultdict
from collections.abc import Iterable

from ironbarrow.lab.scale.fleet import Collected, ScaleFleet
from ironbarrow.lab.scale.messages import Lateness, MemberUpdate, StateTotals, Traffic
from ironbarrow.lab.scale.meters import LATE_MS, LatenessMeter, Usage, percentile, usage
from ironbarrow.lab.scale.result import (
    HOLLOW,
    LEADER,
    REAL,
    WORKERS,
    Phase,
    Process,
    PropagationTime,
    Rate,
    StateSizes,
)
from ironbarrow.runtime.loop import Coroutine

_NS_PER_MS = 1e6
_NS_PER_S = 1e9
_LIST_SETTLE_NS = 2_000_000_000  # changes of the worker list in the last 2 s of a phase are not counted


class Measurement:
    """Measures one phase, from ``begin`` to ``end``. ``started_at``: ns on the machine's monotonic clock."""

    def __init__(self, fleet: ScaleFleet, lateness: LatenessMeter, name: str) -> None:
        self._fleet, self._lateness, self.name = fleet, lateness, name
        self.started_at = 0
        self._first_version = 0
        self._usages: dict[str, dict[int, Usage]] = {}
        self.collected = Collected()

    def begin(self) -> Coroutine[None]:
        """Starts the measurement."""
        yield from self._fleet.collect()
        self._lateness.take()
        self._usages = self._usages_now()
        self._first_version = self._fleet.workers.version + 1
        self.started_at = time.monotonic_ns()

    def end(self, ended: frozenset[str] = frozenset()) -> Coroutine[Phase]:
        """Ends the measurement and returns the phase. ``ended``: dispatchers that the phase itself paused or
        ended, whose deaths are not false ones."""
        ended_at = time.monotonic_ns()
        seconds = (ended_at - self.started_at) / _NS_PER_S
        usages, own_lateness = self._usages_now(), self._lateness.take()
        self.collected = yield from self._fleet.collect()
        worst = self._worst_lateness(own_lateness)
        size = self._fleet.layout.size
        running = max(1, sum(report.states.dispatchers for report in self.collected.dispatchers))
        all_dispatchers = max(1, running + len(self._fleet.ready))
        reports = self.collected.dispatchers
        probes = _sum(report.requests for report in self.collected.workers).get("probes", Traffic())
        return Phase(
            name=self.name,
            seconds=seconds,
            late=worst.p99_ms > LATE_MS,
            late_p50_ms=worst.p50_ms,
            late_p99_ms=worst.p99_ms,
            load_average=os.getloadavg()[0],
            sent=_rates(_sum(report.sent for report in reports), running * seconds),
            received=_rates(_sum(report.received for report in reports), running * seconds),
            from_real=_rates(_sum(report.from_real for report in reports), size.real * seconds),
            discovery=_rates(self.collected.discovery, all_dispatchers * seconds),
            probes=_rate("probes", probes, all_dispatchers * seconds),
            processes=self._processes(usages, seconds),
            told=[self._list_propagation_time(running, ended_at)],
            held=_mean_state_sizes(report.states for report in reports),
            jobs=self.collected.jobs,
            late_p99_by_role_ms=self._lateness_by_role(own_lateness),
            false_deaths=sum(
                update.subject not in ended and update.observer not in ended for update in self.deaths()
            ),
            replaced_incarnations=len(self._replaced_incarnations()),
            sent_by_type=_rates(_sum(report.sent_by_type for report in reports), running * seconds),
        )

    def member_updates(self) -> Iterable[MemberUpdate]:
        """Membership changes that hollow dispatchers saw in this phase."""
        for report in self.collected.dispatchers:
            yield from report.member_news

    def deaths(self) -> list[MemberUpdate]:
        """Deaths, without those of incarnations that a later one of the same member has replaced."""
        latest = self._latest_incarnations()
        return [
            update
            for update in self.member_updates()
            if update.health == "dead" and update.start >= latest.get((update.observer, update.subject), 0)
        ]

    def _replaced_incarnations(self) -> set[tuple[str, int]]:
        """Incarnations that a later one has replaced, by name and start."""
        latest = self._latest_incarnations()
        return {
            (update.subject, update.start)
            for update in self.member_updates()
            if update.start < latest.get((update.observer, update.subject), 0)
        }

    def _latest_incarnations(self) -> dict[tuple[str, str], int]:
        """The start of the latest incarnation seen alive, by observer and member."""
        found: dict[tuple[str, str], int] = {}
        for update in self.member_updates():
            if update.health == "alive":
                key = (update.observer, update.subject)
                found[key] = max(update.start, found.get(key, 0))
        return found

    def propagation_time(
        self, what: str, updates: Iterable[MemberUpdate], since: int, expected: int
    ) -> PropagationTime:
        """How long these updates took from ``since``, ns on the monotonic clock."""
        return _propagation_time(what, [(one.at - since) / _NS_PER_MS for one in updates], expected)

    def first_of_each(self, updates: Iterable[MemberUpdate]) -> list[MemberUpdate]:
        """The first update for each pair of observer and member."""
        found: dict[tuple[str, str], MemberUpdate] = {}
        for one in updates:
            found.setdefault((one.observer, one.subject), one)
        return list(found.values())

    def last_of_each(self, updates: Iterable[MemberUpdate]) -> list[MemberUpdate]:
        """The last update for each pair of observer and member."""
        return list({(one.observer, one.subject): one for one in updates}.values())

    def _list_propagation_time(self, running: int, ended_at: int) -> PropagationTime:
        changed_at = {
            version: at
            for version, at in self._fleet.workers.changed_at.items()
            if version >= self._first_version and at <= ended_at - _LIST_SETTLE_NS
        }
        took = [
            (update.at - changed_at[update.version] - self._agent_delay(update.observer)) / _NS_PER_MS
            for report in self.collected.dispatchers
            for update in report.list_news
            if update.version in changed_at
        ]
        return _propagation_time("changes of the list of workers", took, len(changed_at) * running)

    def _agent_delay(self, dispatcher: str) -> int:
        """The configured delay of a dispatcher's discovery agent, ns; subtracted since it is not the
        program's."""
        return self._fleet.agents[int(dispatcher[1:])].delay

    def _worst_lateness(self, own: Lateness) -> Lateness:
        collected = self.collected
        found = [own, *(report.lateness for report in collected.dispatchers)]
        found += [report.lateness for report in collected.workers]
        return Lateness(
            max(one.p50_ms for one in found),
            max(one.p99_ms for one in found),
            max(one.most_ms for one in found),
        )

    def _lateness_by_role(self, own: Lateness) -> dict[str, float]:
        collected = self.collected
        return {
            LEADER: own.p99_ms,
            HOLLOW: max((report.lateness.p99_ms for report in collected.dispatchers), default=0.0),
            WORKERS: max((report.lateness.p99_ms for report in collected.workers), default=0.0),
        }

    def _usages_now(self) -> dict[str, dict[int, Usage]]:
        own = usage(os.getpid())
        assert own is not None
        return {
            REAL: self._fleet.real_usage(),
            HOLLOW: self._fleet.hollow_usage(),
            WORKERS: self._fleet.worker_usage(),
            LEADER: {os.getpid(): own},
        }

    def _processes(self, now: dict[str, dict[int, Usage]], seconds: float) -> list[Process]:
        size = self._fleet.layout.size
        parties = {HOLLOW: size.hollow, WORKERS: size.workers}
        return [
            _process(role, parties.get(role, len(found)), self._usages[role], found, seconds)
            for role, found in now.items()
        ]


def _process(
    role: str, parties: int, before: dict[int, Usage], after: dict[int, Usage], seconds: float
) -> Process:
    """Measured values of the processes that ran during the whole phase."""
    both = [pid for pid in after if pid in before]
    percents = [100 * (after[pid].cpu_s - before[pid].cpu_s) / seconds for pid in both] or [0.0]
    resident = [after[pid].resident_mb for pid in both] or [0.0]
    return Process(
        role,
        len(both),
        parties,
        sum(percents) / len(percents),
        max(percents),
        sum(resident) / len(resident),
        max(resident),
        [round(percent, 2) for percent in percents],
        [round(mb, 1) for mb in resident],
    )


def _sum(counts: Iterable[dict[str, Traffic]]) -> dict[str, Traffic]:
    total: dict[str, Traffic] = defaultdict(Traffic)
    for one in counts:
        for kind, traffic in one.items():
            total[kind].messages += traffic.messages
            total[kind].bytes += traffic.bytes
    return total


def _rate(kind: str, traffic: Traffic, party_seconds: float) -> Rate:
    return Rate(kind, traffic.messages / party_seconds, traffic.bytes / party_seconds)


def _rates(traffic: dict[str, Traffic], party_seconds: float) -> list[Rate]:
    return [_rate(kind, found, party_seconds) for kind, found in sorted(traffic.items())]


def _propagation_time(what: str, took_ms: list[float], expected: int) -> PropagationTime:
    last = max(took_ms, default=0.0)
    return PropagationTime(
        what, percentile(took_ms, 0.5), percentile(took_ms, 0.99), last, len(took_ms), expected
    )


def _mean_state_sizes(states: Iterable[StateTotals]) -> StateSizes:
    found = [one for one in states if one.dispatchers]
    count = max(1, sum(one.dispatchers for one in found))
    return StateSizes(
        members=sum(one.members for one in found) / count,
        least_members=min((one.least_members for one in found), default=0),
        workers=sum(one.workers for one in found) / count,
        segments=sum(one.segments for one in found) / count,
        segment_entries=sum(one.segment_entries for one in found) / count,
        segment_bytes=sum(one.segment_bytes for one in found) / count,
    )
