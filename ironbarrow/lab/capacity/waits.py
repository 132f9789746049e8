"""Counts of the tables of waits: by the number of tenants, and by the number of dispatchers."""

from collections.abc import Iterator
from dataclasses import dataclass

from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.starvation.tables import UNTRACKED_TENANT, WaitReport, WaitReportReply
from ironbarrow.lab.capacity.counting import Sent, metered, zone_of
from ironbarrow.lab.fleet.starvation import Event, StarvationFleet
from ironbarrow.runtime.clock import MS

_WAIT = 40 * MS  # of every job, from taken to started
_TAKEN, _STARTED = 0, 1
_CLASSES = ("map", "decode", "booking")
_WARM_UP = 7  # windows before the count: one more than are compared
_NO_LOOK = 1 << 30  # jobs that a verdict needs: a verdict sends nothing, and looking for one takes time


@dataclass(frozen=True, slots=True)
class WaitsCount:
    """One fleet over so many windows."""

    dispatchers: int
    tenants: int
    windows: int
    tables: Sent  # to the collectors
    answers: Sent  # from them
    judged: int  # tenants with rows of their own in one dispatcher's window
    most_bytes: int  # that one member sent in all windows

    def bytes_each(self, window_s: float) -> float:
        """Bytes a second of one member."""
        return (self.tables.bytes + self.answers.bytes) / self.dispatchers / self.windows / window_s


def _jobs(tenants: int, per_window: int, window: int, length: int) -> Iterator[Event]:
    """Each tenant brings as many jobs in every window, of all classes in turn, spread evenly."""
    number, every = 0, window // max(1, tenants * per_window)
    at = 0
    while at < length:
        tenant, job_class = f"team-{number % tenants:03d}", _CLASSES[number // tenants % len(_CLASSES)]
        yield at, _TAKEN, number, tenant, job_class, 1.0
        yield min(at + min(_WAIT, every // 2), length), _STARTED, number, tenant, job_class, 1.0
        at += every
        number += 1


def waits_fleet(
    dispatchers: int, tenants: int, per_window: int, windows: int, rules: StarvationRules
) -> StarvationFleet:
    """A fleet that is about to see jobs for so many windows."""
    names = [f"dispatcher-{number}" for number in range(dispatchers)]
    fleet = StarvationFleet({name: zone_of(number) for number, name in enumerate(names)}, {}, rules, 1)
    for name in names:
        fleet.replay(name, _jobs(tenants, per_window, rules.window, windows * rules.window))
    return fleet


def count_waits(
    dispatchers: int,
    tenants: int,
    *,
    per_window: int = 3,
    windows: int = 2,
    warm_up: int = _WARM_UP,
    rules: StarvationRules | None = None,
) -> WaitsCount:
    """Counts whole windows of a fleet in which every dispatcher serves every tenant alike, after so many
    windows of ``warm_up``."""
    rules = rules or StarvationRules(least_jobs=_NO_LOOK)
    fleet = waits_fleet(dispatchers, tenants, per_window, warm_up + windows + 1, rules)
    traffic = metered(fleet.net, (WaitReport, WaitReportReply))
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
        traffic.most_of_a_sender().bytes,
    )
