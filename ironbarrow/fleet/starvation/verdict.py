"""Decides whether a tenant starves in a partition: statistical tests, effect sizes, verdicts. No I/O.

A tenant's waits are compared with its own waits in other partitions and with those of other tenants in the
same partition; both comparisons must show longer waits. Both are stratified by class and size, so that a
different mix of jobs has no effect. The comparison with other tenants is also stratified by window, because a
short stall only hits the tenants that have jobs at that time.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import erfc, inf, sqrt

from msgspec import Struct

from ironbarrow.fleet.api import FleetEvent
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.starvation.tables import (
    BUCKET_BOUNDS,
    UNTRACKED_TENANT,
    Curve,
    RowKey,
    Tally,
    add_curves,
    sums_by_stratum,
)
from ironbarrow.fleet.starvation.waits import ClosedWindow

TenantClass = tuple[str, str]  # tenant, class
# The waits of jobs in one queue are correlated. Without this factor on the variance the test statistic
# spreads too widely where no tenant starves, and gives false alarms.
VARIANCE_INFLATION = 3.0


@dataclass(frozen=True, slots=True)
class LogRankTest:
    """A one-sided log-rank test. ``z`` > 0: fewer starts than expected, hence longer waits."""

    observed: float = 0.0
    expected: float = 0.0
    variance: float = 0.0

    def inflated(self, factor: float) -> "LogRankTest":
        """The same test with a larger variance, for correlated waits."""
        return LogRankTest(self.observed, self.expected, self.variance * factor)

    @property
    def z(self) -> float:
        """The standardized test statistic; 0 if nothing was compared."""
        return (self.expected - self.observed) / sqrt(self.variance) if self.variance > 0 else 0.0

    @property
    def p(self) -> float:
        """The one-sided p-value."""
        return erfc(self.z / sqrt(2)) / 2


def logrank(strata: Iterable[tuple[Curve, Curve]]) -> LogRankTest:
    """Compares the first curve of each pair with the second, over all strata."""
    observed = expected = variance = 0.0
    for (risk, starts), (other_risk, other_starts) in strata:
        for n1, d1, n2, d2 in zip(risk, starts, other_risk, other_starts, strict=False):
            n, d = n1 + n2, d1 + d2
            if not d or n1 <= 0 or n2 <= 0:
                continue
            observed += d1
            expected += d * n1 / n
            if n > 1:
                variance += d * n1 * n2 * max(0.0, n - d) / (n * n * (n - 1))
    return LogRankTest(observed, expected, variance)


def survival_curve(curve: Curve) -> list[float]:
    """The fraction of jobs that still wait at the end of each bucket (Kaplan-Meier estimate)."""
    surviving, found = 1.0, []
    for risk, starts in zip(*curve, strict=True):
        if starts:
            surviving *= max(0.0, 1 - starts / risk) if risk > starts else 0.0
        found.append(surviving)
    return found


def restricted_mean_wait(curve: Curve, horizon: int, bounds: Sequence[int] = BUCKET_BOUNDS) -> float:
    """The restricted mean wait, ns: the area under the survival curve up to bucket ``horizon``, exclusive.

    Starts count in the middle of their bucket.
    """
    area, before = 0.0, 1.0
    surviving = survival_curve(curve)
    for b in range(min(horizon, len(bounds) - 1)):
        after = surviving[b] if b < len(surviving) else before
        area += (before + after) / 2 * (bounds[b + 1] - bounds[b])
        before = after
    return area


def horizon(curve: Curve) -> float:
    """The bucket up to which a curve has data; infinite if no job waits longer than its last bucket."""
    surviving = survival_curve(curve)
    return inf if surviving and surviving[-1] == 0 else len(surviving)


def wait_ratio(strata: Iterable[tuple[Curve, Curve, float]]) -> tuple[float, float]:
    """The ratio of the mean waits of the first and second curve of each pair, and the mean of the first, ns.

    The means are weighted over the strata and restricted to the buckets in which both curves have data.
    (1, 0) if nothing can be compared.
    """
    mine = other = weights = 0.0
    for curve, reference, weight in strata:
        to = min(horizon(curve), horizon(reference), max(len(curve[0]), len(reference[0])))
        mine += weight * restricted_mean_wait(curve, int(to))
        other += weight * restricted_mean_wait(reference, int(to))
        weights += weight
    if not weights or not other:
        return 1.0, 0.0
    return mine / other, mine / weights


def holm_rejected(p_values: Mapping[TenantClass, float], level: float, tests: int) -> set[TenantClass]:
    """The names whose null hypothesis Holm's method rejects at the family-wise error rate ``level``."""
    found: set[TenantClass] = set()
    for rank, (name, p_value) in enumerate(sorted(p_values.items(), key=lambda item: (item[1], item[0]))):
        if p_value * max(1, tests - rank) > level:
            break
        found.add(name)
    return found


class Evidence(Struct, frozen=True, array_like=True):
    """The figures behind a verdict. Waits in us; ``job_class`` "": all classes together."""

    job_class: str
    jobs: int
    jobs_elsewhere: int
    jobs_of_others: int
    z_elsewhere: float
    p_elsewhere: float
    z_others: float
    p_others: float
    times_elsewhere: float  # ratio of its wait here to its wait elsewhere
    times_others: float  # ratio of its wait here to that of other tenants here
    wait: int
    strata: int
    seen: float  # fraction of the fleet whose tables were included


class TenantState(enum.Enum):
    """The result of assessing a tenant once. The values appear in logs."""

    STARVED = "starved"
    NOT_STARVED = "fine"
    TOO_FEW_JOBS = "too few jobs"
    OVER_SHARE = "over its share"
    NOT_COMPARABLE = "nobody to compare with"
    TOO_FEW_REPORTS = "too little of the fleet seen"


@dataclass(frozen=True, slots=True)
class Assessment:
    """The assessment of a tenant at one time."""

    state: TenantState
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class RemoteWaits:
    """The waits of a tenant in all other partitions.

    ``taken``: jobs of all tenants there; ``fleet_share``: fraction of the fleet with reports.
    """

    rows: Mapping[RowKey, Tally]
    taken: int
    fleet_share: float


_NO_REMOTE_WAITS = RemoteWaits({}, 0, 0.0)


def end_threshold(rules: StarvationRules) -> float:
    """The ratio of waits below which a verdict ends: halfway between ``least_effect`` and 1."""
    return 1 + (rules.least_effect - 1) / 2


class _LocalComparison:
    """The windows of this partition, prepared for comparing each tenant with the others."""

    def __init__(
        self, windows: Sequence[ClosedWindow], all_rows: Mapping[RowKey, Tally], over_share: Collection[str]
    ) -> None:
        self._windows, self._all_rows, self._over_share = windows, all_rows, set(over_share)
        self._curves = {key: tally.at_risk() for key, tally in all_rows.items()}
        self._jobs = {key: tally.entered for key, tally in all_rows.items()}
        self._sums = self._without_over_share(sums_by_stratum(self._curves), self._curves)
        self._sums_by_window = [self._without_over_share(w.sums, w.curves) for w in windows]
        self._jobs_by_stratum = Counter[tuple[str, int]]()
        for key, jobs in self._jobs.items():
            if key[0] not in self._over_share:
                self._jobs_by_stratum[key[1:]] += jobs

    def _without_over_share(
        self, sums: Mapping[tuple[str, int], Curve], curves: Mapping[RowKey, Curve]
    ) -> dict[tuple[str, int], Curve]:
        found = dict(sums)
        for key, curve in curves.items():
            if key[0] in self._over_share:
                found[key[1:]] = add_curves(found[key[1:]], curve, -1)
        return found

    def _strata(self, tenant: str, job_class: str) -> list[tuple[str, int]]:
        return [k[1:] for k in self._all_rows if k[0] == tenant and job_class in ("", k[1])]

    def counts(self, tenant: str, job_class: str, remote: RemoteWaits) -> tuple[int, int, int]:
        """The numbers of a tenant's jobs here and elsewhere, and of others' jobs here in the same strata."""
        strata = self._strata(tenant, job_class)
        mine = sum(self._jobs[tenant, *s] for s in strata)
        outside = sum(t.entered for k, t in remote.rows.items() if k[0] == tenant and k[1:] in strata)
        return mine, outside, sum(self._jobs_by_stratum[s] for s in strata) - mine

    def evidence(self, rules: StarvationRules, tenant: str, job_class: str, remote: RemoteWaits) -> Evidence:
        """The results of both comparisons."""
        strata = self._strata(tenant, job_class)
        local = {s: self._curves[tenant, *s] for s in strata}
        rest = {s: add_curves(self._sums[s], local[s], -1) for s in strata}
        weight = {s: float(self._jobs[tenant, *s]) for s in strata}
        times_others, wait = wait_ratio((local[s], rest[s], weight[s]) for s in strata if any(rest[s][0]))
        times_elsewhere, elsewhere, others = 1.0, LogRankTest(), LogRankTest()
        # a small effect is not tested, to save CPU time; the caller still counts it as a test
        if times_others >= end_threshold(rules) and wait >= rules.least_wait:
            away = {s: remote.rows[tenant, *s].at_risk() for s in strata if (tenant, *s) in remote.rows}
            times_elsewhere, _ = wait_ratio((local[s], away[s], weight[s]) for s in away)
            elsewhere = logrank((local[s], away[s]) for s in away).inflated(VARIANCE_INFLATION)
            others = logrank(
                (window.curves[tenant, *s], add_curves(sums[s], window.curves[tenant, *s], -1))
                for window, sums in zip(self._windows, self._sums_by_window, strict=True)
                for s in strata
                if (tenant, *s) in window.curves
            ).inflated(VARIANCE_INFLATION)
        return Evidence(
            job_class,
            *self.counts(tenant, job_class, remote),
            elsewhere.z,
            elsewhere.p,
            others.z,
            others.p,
            times_elsewhere,
            times_others,
            int(wait / 1000),
            len(strata),
            remote.fleet_share,
        )


def assess_tenants(
    rules: StarvationRules,
    windows: Sequence[ClosedWindow],
    all_rows: Mapping[RowKey, Tally],
    elsewhere: Mapping[str, RemoteWaits],
    over_share: Collection[str],
    partitions: int,
) -> dict[str, Assessment]:
    """Assesses every tenant of a partition.

    ``all_rows``: the rows of all ``windows`` merged into one table; ``over_share``: tenants over their share,
    which are neither assessed nor compared with; ``partitions``: the number of partitions in the fleet, which
    share the rate of false alarms because all of them make assessments.
    """
    comparison = _LocalComparison(windows, all_rows, over_share)
    found: dict[str, Assessment] = {}
    evidence_by_class: dict[tuple[str, str], Evidence] = {}
    tests = 0
    for tenant in sorted({key[0] for key in all_rows} - {UNTRACKED_TENANT}):
        remote = elsewhere.get(tenant, _NO_REMOTE_WAITS)
        if tenant in over_share:
            found[tenant] = Assessment(TenantState.OVER_SHARE)
            continue
        if remote.fleet_share < rules.least_seen:
            found[tenant] = Assessment(TenantState.TOO_FEW_REPORTS)
            continue
        classes = sorted({key[1] for key in all_rows if key[0] == tenant})
        states = set()
        for job_class in ["", *(classes if len(classes) > 1 else ())]:
            mine, outside, others = comparison.counts(tenant, job_class, remote)
            if mine < rules.least_jobs:
                states.add(TenantState.TOO_FEW_JOBS)
            elif min(outside, others) < rules.least_jobs:
                states.add(TenantState.NOT_COMPARABLE)
            else:
                tests += 1
                evidence_by_class[tenant, job_class] = comparison.evidence(rules, tenant, job_class, remote)
        found[tenant] = Assessment(
            TenantState.TOO_FEW_JOBS if states == {TenantState.TOO_FEW_JOBS} else TenantState.NOT_COMPARABLE
        )
    rejected = holm_rejected(
        {name: max(e.p_elsewhere, e.p_others) for name, e in evidence_by_class.items()},
        rules.false_alarms / max(1, partitions),
        tests,
    )
    for name, evidence in evidence_by_class.items():
        tenant, _ = name
        effect = min(evidence.times_elsewhere, evidence.times_others) >= rules.least_effect
        long = evidence.wait * 1000 >= rules.least_wait
        state = TenantState.STARVED if name in rejected and effect and long else TenantState.NOT_STARVED
        if _severity(Assessment(state, evidence)) > _severity(found[tenant]):
            found[tenant] = Assessment(state, evidence)
    return found


def _severity(assessment: Assessment) -> tuple[bool, float]:
    """Orders the assessments of a tenant (all classes, each class): the most severe one counts."""
    evidence = assessment.evidence
    z = min(evidence.z_elsewhere, evidence.z_others) if evidence is not None else -inf
    return assessment.state is TenantState.STARVED, z


# Verdicts


@dataclass(frozen=True, slots=True)
class StarvationBegan(FleetEvent):
    """A tenant starves in this partition since ``began_at``, ns."""

    tenant: str
    partition: str
    began_at: int
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class StarvationEnded(FleetEvent):
    """A tenant no longer starves. Times in ns; ``reason``: the state in the last assessment."""

    tenant: str
    partition: str
    began_at: int
    ended_at: int
    reason: str


@dataclass(slots=True)
class _TenantRecord:
    """The recent assessments of a tenant, counted, and its verdict."""

    starved_in_a_row: int = 0  # consecutive assessments
    calm_in_a_row: int = 0
    began_at: int = 0  # ns; 0: no open verdict
    begin_count: int = 0
    end_count: int = 0
    cooldown: int = 0  # assessments until another verdict may begin
    absent: int = 0  # assessments since it was last in a table


class Verdicts:
    """The verdicts of one partition.

    A verdict begins after ``lasting`` consecutive assessments as starved, and ends after twice as many
    without. An assessment with reports of too little of the fleet is ignored.
    """

    def __init__(self, partition: str, rules: StarvationRules) -> None:
        self._partition, self._rules = partition, rules
        self._tenants: dict[str, _TenantRecord] = {}

    def open_tenants(self) -> list[str]:
        """The tenants with an open verdict."""
        return [tenant for tenant, record in self._tenants.items() if record.began_at]

    def update(
        self, now: int, assessments: Mapping[str, Assessment]
    ) -> list[StarvationBegan | StarvationEnded]:
        """Applies one assessment of all tenants; returns the verdicts that began or ended."""
        events: list[StarvationBegan | StarvationEnded] = []
        for tenant in sorted(self._tenants.keys() | assessments.keys()):
            assessment = assessments.get(tenant, Assessment(TenantState.TOO_FEW_JOBS))
            record = self._tenants.setdefault(tenant, _TenantRecord())
            record.absent = 0 if tenant in assessments else record.absent + 1
            if assessment.state is TenantState.TOO_FEW_REPORTS:
                continue
            record.cooldown = max(0, record.cooldown - 1)
            if assessment.state is TenantState.STARVED:
                record.starved_in_a_row, record.calm_in_a_row = record.starved_in_a_row + 1, 0
            elif record.began_at and self._still_starved(assessment):
                record.calm_in_a_row = 0
            else:
                record.starved_in_a_row, record.calm_in_a_row = 0, record.calm_in_a_row + 1
            if not record.began_at and record.starved_in_a_row >= self._rules.lasting and not record.cooldown:
                assert assessment.evidence is not None
                events.append(self._begin(now, tenant, record, assessment.evidence))
            elif record.began_at and record.calm_in_a_row >= 2 * self._rules.lasting:
                events.append(self._end(now, tenant, record, assessment.state.value))
            # removed so that memory is bounded by the number of tenants in the tables
            if not record.began_at and record.absent > self._rules.windows and not record.cooldown:
                del self._tenants[tenant]
        return events

    def _still_starved(self, assessment: Assessment) -> bool:
        """Hysteresis: a verdict stays open until the ratio of waits is below ``end_threshold``."""
        if assessment.evidence is None:
            return False
        return min(assessment.evidence.times_elsewhere, assessment.evidence.times_others) >= end_threshold(
            self._rules
        )

    def _begin(self, now: int, tenant: str, record: _TenantRecord, evidence: Evidence) -> StarvationBegan:
        record.begin_count += 1
        record.began_at, record.calm_in_a_row = now, 0
        self._check_begins_once(tenant, record)
        return StarvationBegan(tenant, self._partition, now, evidence)

    def _end(self, now: int, tenant: str, record: _TenantRecord, reason: str) -> StarvationEnded:
        record.end_count += 1
        began_at, record.began_at, record.starved_in_a_row = record.began_at, 0, 0
        record.cooldown = self._rules.windows
        self._check_begins_once(tenant, record)
        return StarvationEnded(tenant, self._partition, began_at, now, reason)

    def _check_begins_once(self, tenant: str, record: _TenantRecord) -> None:
        check(
            "a verdict begins and ends once",
            record.begin_count - record.end_count == (1 if record.began_at else 0),
            tenant=tenant,
            begun=record.begin_count,
            ended=record.end_count,
        )
