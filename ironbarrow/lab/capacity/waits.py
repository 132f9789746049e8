"""Counts of the tables of waits by the number of tenants and of dispatchers."""

from collections.abc import Iterator
from dataclasses import dataclass

from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.starvation.tables import UNTRACKED_TENANT, WaitReport, WaitReportReply
from ironbarrow.lab.capacity.counting import SentTotals, meter_traffic, zone_of
from ironbarrow.lab.fleet.starvation import Event, StarvationFleet
from ironbarrow.runtime.clock import MS

_JOB_WAIT = 40 * MS  # of every job, from acceptance to start
_TAKEN, _STARTED = 0, 1
_CLASSES = ("map", "decode", "booking")
_WARM_UP_WINDOWS = 7  # before the count: one more than are compared for starvation
_NO_COMPARISON = 1 << 30  # least number of jobs for a comparison: comparing takes time, and sends nothing


@dataclass(frozen=True, slots=True)
class WaitsCount:
    """Counts of one fleet over ``windows`` windows."""

    dispatchers: int
    tenants: int
    windows: int
    tables: SentTotals  # sent to the collectors
    answers: SentTotals  # sent by the collectors
    judged: int  # tenants with rows of their own in one dispatcher's table
    most_bytes: int  # sent by the member with the largest total, over all windows

    def bytes_per_member_s(self, window_s: float) -> float:
        """Bytes per second sent by one member."""
        return (self.tables.bytes + self.answers.bytes) / self.dispatchers / self.windows / window_s


def _job_events(tenants: int, per_window: int, window: int, length: int) -> Iterator[Event]:
    """Evenly spaced jobs, the same number from each tenant in every window, of all classes in turn."""
    number, every = 0, window // max(1, tenants * per_window)
    at = 0
    while at < length:
        tenant, job_class = f"team-{number % tenants:03d}", _CLASSES[number // tenants % len(_CLASSES)]
        yield at, _TAKEN, number, tenant, job_class, 1.0
        yield min(at + min(_JOB_WAIT, every // 2), length), _STARTED, number, tenant, job_class, 1.0
        at += every
        number += 1


def waits_fleet(
    dispatchers: int, tenants: int, per_window: int, windows: int, rules: StarvationRules
) -> StarvationFleet:
    """A fleet with events scheduled for ``windows`` windows of jobs."""
    names = [f"dispatcher-{number}" for number in range(dispatchers)]
    fleet = StarvationFleet({name: zone_of(number) for number, name in enumerate(names)}, {}, rules, 1)
    for name in names:
        fleet.replay(name, _job_events(tenants, per_window, rules.window, windows * rules.window))
    return fleet


def count_waits(
    dispatchers: int,
    tenants: int,
    *,
    per_window: int = 3,
    windows: int = 2,
    warm_up: int = _WARM_UP_WINDOWS,
    rules: StarvationRules | None = None,
) -> WaitsCount:
    """Counts full windows of a fleet in which every dispatcher serves every tenant alike, after ``warm_up``
    windows that are not counted."""
    rules = rules or StarvationRules(least_jobs=_NO_COMPARISON)
    fleet = waits_fleet(dispatchers, tenants, per_window, warm_up + windows + 1, rules)
    traffic = meter_traffic(fleet.net, (WaitReport, WaitReportReply))
    fleet.net.run(warm_up * rules.window)
    traffic.clear()
    fleet.net.run(windows * rules.window)
    closed = next(iter(fleet.machines.values())).recorder.closed[-1]
    judged = {tenant for tenant, _, _ in closed.rows} - {UNTRACKED_TENANT}
    return WaitsCount(
        dispatchers,
        tenants,
        windows,
        traffic.of_kinds(WaitReport),
        traffic.of_kinds(WaitReportReply),
        len(judged),
        traffic.busiest_sender().bytes,
    )
