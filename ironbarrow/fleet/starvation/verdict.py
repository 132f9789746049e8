"""Whether a tenant starves in a partition: tests, least effects, verdicts that begin and end once. No input
or output.

A tenant is compared with its own waits elsewhere and with the other tenants in the same partition; both must
show it. In strata of class and size, so that another mix of classes shows nothing; the comparison with others
also in strata of time, since a short stall falls on whoever is there.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import erfc, inf, sqrt

from msgspec import Struct

from ironbarrow.fleet.api import News
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
# danger: jobs that queue behind each other wait alike, so that chance alone has the test's value spread
# wider than it should; measured in fleets where nobody starves
VARIANCE_INFLATION = 3.0


@dataclass(frozen=True, slots=True)
class LogRankTest:
    """A one-sided log-rank test. ``z`` above 0: fewer starts than expected, so longer waits."""

    observed: float = 0.0
    expected: float = 0.0
    variance: float = 0.0

    def inflated(self, factor: float) -> "LogRankTest":
        """The same test where so many waits go together, and count as one."""
        return LogRankTest(self.observed, self.expected, self.variance * factor)

    @property
    def z(self) -> float:
        return (self.expected - self.observed) / sqrt(self.variance) if self.variance > 0 else 0.0

    @property
    def p(self) -> float:
        return erfc(self.z / sqrt(2)) / 2


def logrank(strata: Iterable[tuple[Curve, Curve]]) -> LogRankTest:
    """Compares the first of each pair with the second, over all strata."""
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
    """The part that still waits at the end of each bucket (Kaplan-Meier)."""
    surviving, found = 1.0, []
    for risk, starts in zip(*curve, strict=True):
        if starts:
            surviving *= max(0.0, 1 - starts / risk) if risk > starts else 0.0
        found.append(surviving)
    return found


def restricted_mean_wait(curve: Curve, horizon: int, bounds: Sequence[int] = BUCKET_BOUNDS) -> float:
    """The restricted mean wait, ns: the area under the survival curve up to the beginning of the bucket
    ``horizon``; starts lie in the middle of their bucket."""
    area, before = 0.0, 1.0
    surviving = survival_curve(curve)
    for b in range(min(horizon, len(bounds) - 1)):
        after = surviving[b] if b < len(surviving) else before
        area += (before + after) / 2 * (bounds[b + 1] - bounds[b])
        before = after
    return area


def horizon(curve: Curve) -> float:
    """The bucket up to which a curve says something: all of them once it has come down to nothing."""
    surviving = survival_curve(curve)
    return inf if surviving and surviving[-1] == 0 else len(surviving)


def wait_ratio(strata: Iterable[tuple[Curve, Curve, float]]) -> tuple[float, float]:
    """How many times as long the first of each pair waits, and its mean wait in ns: restricted means up to
    where both say something, each stratum with its weight. (1, 0) where nothing can be compared."""
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
    """The names whose hypothesis falls at a family-wise level, of so many tests."""
    found: set[TenantClass] = set()
    for rank, (name, p_value) in enumerate(sorted(p_values.items(), key=lambda item: (item[1], item[0]))):
        if p_value * max(1, tests - rank) > level:
            break
        found.add(name)
    return found


class Evidence(Struct, frozen=True, array_like=True):
    """What a verdict stands on. Waits in us; ``job_class`` "": of all classes together."""

    job_class: str
    jobs: int
    jobs_elsewhere: int
    jobs_of_others: int
    z_elsewhere: float
    p_elsewhere: float
    z_others: float
    p_others: float
    times_elsewhere: float  # times as long a wait as its own elsewhere
    times_others: float  # as that of others here
    wait: int
    strata: int
    seen: float  # part of the fleet whose tables were in it


class TenantState(enum.Enum):
    """What one look says of a tenant."""

    STARVED = "starved"
    NOT_STARVED = "fine"
    TOO_FEW_JOBS = "too few jobs"
    OVER_SHARE = "over its share"
    NOT_COMPARABLE = "nobody to compare with"
    TOO_FEW_REPORTS = "too little of the fleet seen"


@dataclass(frozen=True, slots=True)
class Assessment:
    """One look at a tenant."""

    state: TenantState
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class RemoteWaits:
    """What a partition knows of a tenant elsewhere: its rows in all other partitions, the jobs that these
    took of all tenants, and which part of the fleet that was."""

    rows: Mapping[RowKey, Tally]
    taken: int
    fleet_share: float


_NO_REMOTE_WAITS = RemoteWaits({}, 0, 0.0)


def end_threshold(rules: StarvationRules) -> float:
    """The effect under which a verdict ends: halfway to none."""
    return 1 + (rules.least_effect - 1) / 2


class _LocalComparison:
    """One partition's windows, prepared for comparing each tenant with the others."""

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
        """A tenant's jobs here and elsewhere, and those of others here in the same strata."""
        strata = self._strata(tenant, job_class)
        mine = sum(self._jobs[tenant, *s] for s in strata)
        outside = sum(t.entered for k, t in remote.rows.items() if k[0] == tenant and k[1:] in strata)
        return mine, outside, sum(self._jobs_by_stratum[s] for s in strata) - mine

    def evidence(self, rules: StarvationRules, tenant: str, job_class: str, remote: RemoteWaits) -> Evidence:
        """Both comparisons."""
        strata = self._strata(tenant, job_class)
        local = {s: self._curves[tenant, *s] for s in strata}
        rest = {s: add_curves(self._sums[s], local[s], -1) for s in strata}
        weight = {s: float(self._jobs[tenant, *s]) for s in strata}
        times_others, wait = wait_ratio((local[s], rest[s], weight[s]) for s in strata if any(rest[s][0]))
        times_elsewhere, elsewhere, others = 1.0, LogRankTest(), LogRankTest()
        # what is fine by its effect is not tested, to spare the time; it still counts among the tests
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
    """Looks at every tenant of a partition.

    ``whole``: the rows of all its ``windows`` as one table; ``over``: tenants beyond their share, which are
    neither evidence_by_class nor compared with; ``partitions``: in the fleet, all of which look.
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
    """Of several looks at a tenant (all classes, each class) the worst counts."""
    evidence = assessment.evidence
    z = min(evidence.z_elsewhere, evidence.z_others) if evidence is not None else -inf
    return assessment.state is TenantState.STARVED, z


# Verdicts


@dataclass(frozen=True, slots=True)
class StarvationBegan(News):
    """A tenant starves in this partition, since ``began_at``, ns."""

    tenant: str
    partition: str
    began_at: int
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class StarvationEnded(News):
    """It does so no more. ``why``: what the last looks said."""

    tenant: str
    partition: str
    began_at: int
    ended_at: int
    reason: str


@dataclass(slots=True)
class _TenantRecord:
    starved_in_a_row: int = 0  # looks in a row
    calm_in_a_row: int = 0
    began_at: int = 0  # 0: no verdict
    begin_count: int = 0
    end_count: int = 0
    cooldown: int = 0  # looks to come before another verdict may begin
    absent: int = 0  # looks since it was last in a table


class Verdicts:
    """Verdicts of one partition: each begins once, after starving for ``lasting`` looks in a row, and ends
    once, after twice as many calm ones. A look that saw too little of the fleet counts neither way."""

    def __init__(self, partition: str, rules: StarvationRules) -> None:
        self._partition, self._rules = partition, rules
        self._tenants: dict[str, _TenantRecord] = {}

    def open_tenants(self) -> list[str]:
        """The tenants that starve here, as far as is known."""
        return [tenant for tenant, record in self._tenants.items() if record.began_at]

    def update(
        self, now: int, assessments: Mapping[str, Assessment]
    ) -> list[StarvationBegan | StarvationEnded]:
        """Takes in one look at all tenants."""
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
            # danger: memory is bounded by the tenants of the tables
            if not record.began_at and record.absent > self._rules.windows and not record.cooldown:
                del self._tenants[tenant]
        return events

    def _still_starved(self, assessment: Assessment) -> bool:
        """Hysteresis: a tenant that starved does so until its waits are clearly nearer to the others'."""
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
