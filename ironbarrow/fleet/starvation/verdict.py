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

from ironbarrow.fleet.api import FleetEvent
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.starvation.tables import BOUNDS, REST, Curve, Key, Tally, plus, sums_by_stratum
from ironbarrow.fleet.starvation.waits import Closed

Name = tuple[str, str]  # tenant, class
# danger: jobs that queue behind each other wait alike, so that chance alone has the test's value spread
# wider than it should; measured in fleets where nobody starves
TOGETHER = 3.0


@dataclass(frozen=True, slots=True)
class Test:
    """A one-sided log-rank test. ``z`` above 0: fewer starts than expected, so longer waits."""

    observed: float = 0.0
    expected: float = 0.0
    variance: float = 0.0

    def apart(self, together: float) -> "Test":
        """The same test where so many waits go together, and count as one."""
        return Test(self.observed, self.expected, self.variance * together)

    @property
    def z(self) -> float:
        return (self.expected - self.observed) / sqrt(self.variance) if self.variance > 0 else 0.0

    @property
    def p(self) -> float:
        return erfc(self.z / sqrt(2)) / 2


def logrank(strata: Iterable[tuple[Curve, Curve]]) -> Test:
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
    return Test(observed, expected, variance)


def survival(curve: Curve) -> list[float]:
    """The part that still waits at the end of each bucket (Kaplan-Meier)."""
    left, found = 1.0, []
    for risk, starts in zip(*curve, strict=True):
        if starts:
            left *= max(0.0, 1 - starts / risk) if risk > starts else 0.0
        found.append(left)
    return found


def mean_wait(curve: Curve, horizon: int, bounds: Sequence[int] = BOUNDS) -> float:
    """The restricted mean wait, ns: the area under the survival curve up to the beginning of the bucket
    ``horizon``; starts lie in the middle of their bucket."""
    area, before = 0.0, 1.0
    left = survival(curve)
    for b in range(min(horizon, len(bounds) - 1)):
        after = left[b] if b < len(left) else before
        area += (before + after) / 2 * (bounds[b + 1] - bounds[b])
        before = after
    return area


def horizon(curve: Curve) -> float:
    """The bucket up to which a curve says something: all of them once it has come down to nothing."""
    left = survival(curve)
    return inf if left and left[-1] == 0 else len(left)


def ratio(strata: Iterable[tuple[Curve, Curve, float]]) -> tuple[float, float]:
    """How many times as long the first of each pair waits, and its mean wait in ns: restricted means up to
    where both say something, each stratum with its weight. (1, 0) where nothing can be compared."""
    mine = other = weights = 0.0
    for curve, reference, weight in strata:
        to = min(horizon(curve), horizon(reference), max(len(curve[0]), len(reference[0])))
        mine += weight * mean_wait(curve, int(to))
        other += weight * mean_wait(reference, int(to))
        weights += weight
    if not weights or not other:
        return 1.0, 0.0
    return mine / other, mine / weights


def holm(chances: Mapping[Name, float], level: float, tests: int) -> set[Name]:
    """The names whose hypothesis falls at a family-wise level, of so many tests."""
    found: set[Name] = set()
    for rank, (name, chance) in enumerate(sorted(chances.items(), key=lambda item: (item[1], item[0]))):
        if chance * max(1, tests - rank) > level:
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


class State(enum.Enum):
    """What one look says of a tenant."""

    STARVED = "starved"
    FINE = "fine"
    FEW = "too few jobs"
    OVER = "over its share"
    ALONE = "nobody to compare with"
    UNSEEN = "too little of the fleet seen"


@dataclass(frozen=True, slots=True)
class Look:
    """One look at a tenant."""

    state: State
    evidence: Evidence | None = None


@dataclass(frozen=True, slots=True)
class Elsewheres:
    """What a partition knows of a tenant elsewhere: its rows in all other partitions, the jobs that these
    took of all tenants, and which part of the fleet that was."""

    rows: Mapping[Key, Tally]
    taken: int
    seen: float


_NOBODY = Elsewheres({}, 0, 0.0)


def ends_under(rules: StarvationRules) -> float:
    """The effect under which a verdict ends: halfway to none."""
    return 1 + (rules.least_effect - 1) / 2


class _Here:
    """One partition's windows, prepared for comparing each tenant with the others."""

    def __init__(self, windows: Sequence[Closed], whole: Mapping[Key, Tally], over: Collection[str]) -> None:
        self._windows, self._whole, self._over = windows, whole, set(over)
        self._curves = {key: tally.at_risk() for key, tally in whole.items()}
        self._jobs = {key: tally.entered for key, tally in whole.items()}
        self._sums = self._without_over(sums_by_stratum(self._curves), self._curves)
        self._sums_in_time = [self._without_over(w.sums, w.curves) for w in windows]
        self._jobs_by_stratum = Counter[tuple[str, int]]()
        for key, jobs in self._jobs.items():
            if key[0] not in self._over:
                self._jobs_by_stratum[key[1:]] += jobs

    def _without_over(
        self, sums: Mapping[tuple[str, int], Curve], curves: Mapping[Key, Curve]
    ) -> dict[tuple[str, int], Curve]:
        found = dict(sums)
        for key, curve in curves.items():
            if key[0] in self._over:
                found[key[1:]] = plus(found[key[1:]], curve, -1)
        return found

    def _strata(self, tenant: str, job_class: str) -> list[tuple[str, int]]:
        return [k[1:] for k in self._whole if k[0] == tenant and job_class in ("", k[1])]

    def counts(self, tenant: str, job_class: str, known: Elsewheres) -> tuple[int, int, int]:
        """A tenant's jobs here and elsewhere, and those of others here in the same strata."""
        strata = self._strata(tenant, job_class)
        mine = sum(self._jobs[tenant, *s] for s in strata)
        outside = sum(t.entered for k, t in known.rows.items() if k[0] == tenant and k[1:] in strata)
        return mine, outside, sum(self._jobs_by_stratum[s] for s in strata) - mine

    def evidence(self, rules: StarvationRules, tenant: str, job_class: str, known: Elsewheres) -> Evidence:
        """Both comparisons."""
        strata = self._strata(tenant, job_class)
        here = {s: self._curves[tenant, *s] for s in strata}
        rest = {s: plus(self._sums[s], here[s], -1) for s in strata}
        weight = {s: float(self._jobs[tenant, *s]) for s in strata}
        times_others, wait = ratio((here[s], rest[s], weight[s]) for s in strata if any(rest[s][0]))
        times_elsewhere, elsewhere, others = 1.0, Test(), Test()
        # what is fine by its effect is not tested, to spare the time; it still counts among the tests
        if times_others >= ends_under(rules) and wait >= rules.least_wait:
            away = {s: known.rows[tenant, *s].at_risk() for s in strata if (tenant, *s) in known.rows}
            times_elsewhere, _ = ratio((here[s], away[s], weight[s]) for s in away)
            elsewhere = logrank((here[s], away[s]) for s in away).apart(TOGETHER)
            others = logrank(
                (window.curves[tenant, *s], plus(sums[s], window.curves[tenant, *s], -1))
                for window, sums in zip(self._windows, self._sums_in_time, strict=True)
                for s in strata
                if (tenant, *s) in window.curves
            ).apart(TOGETHER)
        return Evidence(
            job_class,
            *self.counts(tenant, job_class, known),
            elsewhere.z,
            elsewhere.p,
            others.z,
            others.p,
            times_elsewhere,
            times_others,
            int(wait / 1000),
            len(strata),
            known.seen,
        )


def look(
    rules: StarvationRules,
    windows: Sequence[Closed],
    whole: Mapping[Key, Tally],
    elsewhere: Mapping[str, Elsewheres],
    over: Collection[str],
    partitions: int,
) -> dict[str, Look]:
    """Looks at every tenant of a partition.

    ``whole``: the rows of all its ``windows`` as one table; ``over``: tenants beyond their share, which are
    neither judged nor compared with; ``partitions``: in the fleet, all of which look.
    """
    here = _Here(windows, whole, over)
    found: dict[str, Look] = {}
    judged: dict[tuple[str, str], Evidence] = {}
    tests = 0
    for tenant in sorted({key[0] for key in whole} - {REST}):
        known = elsewhere.get(tenant, _NOBODY)
        if tenant in over:
            found[tenant] = Look(State.OVER)
            continue
        if known.seen < rules.least_seen:
            found[tenant] = Look(State.UNSEEN)
            continue
        classes = sorted({key[1] for key in whole if key[0] == tenant})
        states = set()
        for job_class in ["", *(classes if len(classes) > 1 else ())]:
            mine, outside, others = here.counts(tenant, job_class, known)
            if mine < rules.least_jobs:
                states.add(State.FEW)
            elif min(outside, others) < rules.least_jobs:
                states.add(State.ALONE)
            else:
                tests += 1
                judged[tenant, job_class] = here.evidence(rules, tenant, job_class, known)
        found[tenant] = Look(State.FEW if states == {State.FEW} else State.ALONE)
    fallen = holm(
        {name: max(e.p_elsewhere, e.p_others) for name, e in judged.items()},
        rules.false_alarms / max(1, partitions),
        tests,
    )
    for name, evidence in judged.items():
        tenant, _ = name
        effect = min(evidence.times_elsewhere, evidence.times_others) >= rules.least_effect
        long = evidence.wait * 1000 >= rules.least_wait
        state = State.STARVED if name in fallen and effect and long else State.FINE
        if _rank(Look(state, evidence)) > _rank(found[tenant]):
            found[tenant] = Look(state, evidence)
    return found


def _rank(seen: Look) -> tuple[bool, float]:
    """Of several looks at a tenant (all classes, each class) the worst counts."""
    evidence = seen.evidence
    z = min(evidence.z_elsewhere, evidence.z_others) if evidence is not None else -inf
    return seen.state is State.STARVED, z


# Verdicts


@dataclass(frozen=True, slots=True)
class StarvationBegan(FleetEvent):
    """A tenant starves in this partition, since ``began_at``, ns."""

    tenant: str
    partition: str
    began_at: int
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class StarvationEnded(FleetEvent):
    """It does so no more. ``why``: what the last looks said."""

    tenant: str
    partition: str
    began_at: int
    ended_at: int
    why: str


@dataclass(slots=True)
class _Tenant:
    starved: int = 0  # looks in a row
    calm: int = 0
    began_at: int = 0  # 0: no verdict
    begun: int = 0
    ended: int = 0
    quiet: int = 0  # looks to come before another verdict may begin
    unheard: int = 0  # looks since it was last in a table


class Verdicts:
    """Verdicts of one partition: each begins once, after starving for ``lasting`` looks in a row, and ends
    once, after twice as many calm ones. A look that saw too little of the fleet counts neither way."""

    def __init__(self, partition: str, rules: StarvationRules) -> None:
        self._partition, self._rules = partition, rules
        self._tenants: dict[str, _Tenant] = {}

    def open(self) -> list[str]:
        """The tenants that starve here, as far as is known."""
        return [tenant for tenant, now in self._tenants.items() if now.began_at]

    def looked(self, now: int, looks: Mapping[str, Look]) -> list[StarvationBegan | StarvationEnded]:
        """Takes in one look at all tenants."""
        news: list[StarvationBegan | StarvationEnded] = []
        for tenant in sorted(self._tenants.keys() | looks.keys()):
            seen = looks.get(tenant, Look(State.FEW))
            about = self._tenants.setdefault(tenant, _Tenant())
            about.unheard = 0 if tenant in looks else about.unheard + 1
            if seen.state is State.UNSEEN:
                continue
            about.quiet = max(0, about.quiet - 1)
            if seen.state is State.STARVED:
                about.starved, about.calm = about.starved + 1, 0
            elif about.began_at and self._still(seen):
                about.calm = 0
            else:
                about.starved, about.calm = 0, about.calm + 1
            if not about.began_at and about.starved >= self._rules.lasting and not about.quiet:
                assert seen.evidence is not None
                news.append(self._begin(now, tenant, about, seen.evidence))
            elif about.began_at and about.calm >= 2 * self._rules.lasting:
                news.append(self._end(now, tenant, about, seen.state.value))
            # danger: memory is bounded by the tenants of the tables
            if not about.began_at and about.unheard > self._rules.windows and not about.quiet:
                del self._tenants[tenant]
        return news

    def _still(self, seen: Look) -> bool:
        """Hysteresis: a tenant that starved does so until its waits are clearly nearer to the others'."""
        if seen.evidence is None:
            return False
        return min(seen.evidence.times_elsewhere, seen.evidence.times_others) >= ends_under(self._rules)

    def _begin(self, now: int, tenant: str, about: _Tenant, evidence: Evidence) -> StarvationBegan:
        about.begun += 1
        about.began_at, about.calm = now, 0
        self._checked(tenant, about)
        return StarvationBegan(tenant, self._partition, now, evidence)

    def _end(self, now: int, tenant: str, about: _Tenant, why: str) -> StarvationEnded:
        about.ended += 1
        began_at, about.began_at, about.starved = about.began_at, 0, 0
        about.quiet = self._rules.windows
        self._checked(tenant, about)
        return StarvationEnded(tenant, self._partition, began_at, now, why)

    def _checked(self, tenant: str, about: _Tenant) -> None:
        check(
            "a verdict begins and ends once",
            about.begun - about.ended == (1 if about.began_at else 0),
            tenant=tenant,
            begun=about.begun,
            ended=about.ended,
        )
