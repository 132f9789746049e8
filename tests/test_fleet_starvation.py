"""Starvation detection: wait tables, statistics compared with scipy, verdicts, and moves of waiting jobs."""

import random
from collections import Counter
from itertools import pairwise, permutations
from pathlib import Path

import msgspec
import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scipy import stats

from ironbarrow.fleet import records
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.starvation import tables, verdict, waits
from ironbarrow.fleet.starvation.job_moves import MAX_MOVES_AT_ONCE, MovePlanner, WaitingJob
from ironbarrow.fleet.starvation.machine import TenantShares, VerdictRecord
from ironbarrow.fleet.starvation.tables import BUCKET_COUNT, Row, Tally, WaitCollector, WaitReport, Window
from ironbarrow.fleet.starvation.verdict import Assessment, Evidence, TenantState, Verdicts
from ironbarrow.lab.fleet import starvation
from ironbarrow.lab.model.spec import load_world
from ironbarrow.lab.sim.run import Simulation
from ironbarrow.runtime.clock import MS, SECOND

RULES = StarvationRules()


@pytest.fixture(autouse=True)
def _fatal(monkeypatch):
    monkeypatch.setattr(INVARIANTS, "fatal", True)


# Statistics, compared with scipy


def _life_curve(times, started, bounds):
    """The curve of a group of waits over buckets with these bounds."""
    tally = Tally(len(times))
    for time, event in zip(times, started, strict=True):
        (tally.started if event else tally.censored)[int(np.searchsorted(bounds, time, "right")) - 1] += 1
    return tally.at_risk()


def _censored(times, started):
    return stats.CensoredData(uncensored=times[started], right=times[~started])


@pytest.mark.parametrize("seed", range(12))
def test_log_rank_and_survival_equal_scipy_with_one_time_per_bucket(seed):
    rng = np.random.default_rng(seed)
    groups = []
    for size in rng.integers(8, 120, 2):
        times = rng.exponential(rng.uniform(0.5, 2), size)
        limits = rng.exponential(2, size)
        groups.append((np.minimum(times, limits), times <= limits))
    bounds = np.concatenate([[0.0], np.sort(np.concatenate([g[0] for g in groups]))])  # one time per bucket
    curves = [_life_curve(*group, bounds) for group in groups]
    ours = verdict.logrank([(curves[0], curves[1])])
    theirs = stats.logrank(_censored(*groups[0]), _censored(*groups[1]), alternative="less")
    assert ours.z == pytest.approx(
        -theirs.statistic, rel=1e-9
    )  # opposite sign: here longer waits are positive
    assert ours.p == pytest.approx(theirs.pvalue, rel=1e-9)
    for group, curve in zip(groups, curves, strict=True):
        found = verdict.survival_curve(curve)
        ecdf = stats.ecdf(_censored(*group)).sf
        assert found == pytest.approx(list(ecdf.evaluate(bounds[: len(found)])), abs=1e-9)
        steps = [0.0, *group[0]]  # exact area; ours places each start half a bucket later
        area = sum(ecdf.evaluate(a) * (b - a) for a, b in pairwise(sorted(steps)))
        most = np.diff(bounds).max()
        assert verdict.restricted_mean_wait(curve, len(found), list(bounds)) == pytest.approx(area, abs=most)


@pytest.mark.parametrize("seed", range(6))
def test_log_rank_in_the_real_buckets_is_close_to_scipy(seed):
    rng = np.random.default_rng(100 + seed)
    groups = []
    for slower in (2.0, 1.0):
        wanted, limits = rng.exponential(slower, 200), rng.exponential(3, 200)
        groups.append((np.minimum(wanted, limits) * SECOND, wanted <= limits))
    ours = verdict.logrank([tuple(_life_curve(*group, tables.BUCKET_BOUNDS) for group in groups)])
    theirs = stats.logrank(_censored(*groups[0]), _censored(*groups[1]))
    assert ours.z == pytest.approx(abs(theirs.statistic), rel=0.1)


# Tables

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "wait", "back", "start", "end", "close"]),
        st.integers(0, 30),  # job number
        st.integers(0, 8_000),  # ms since the previous event
        st.sampled_from(["a", "b", "c", "d", None]),
        st.sampled_from(["map", "decode"]),
        st.sampled_from([1.0, 3.0]),
    ),
    max_size=70,
)


def _recorded(events, rules=RULES):
    """A recorder after these events, its windows, and how many stays began and ended, by end and bucket."""
    recorder, now, closed = waits.WaitRecorder(rules, 0), 0, []
    waiting, ends = {}, Counter()
    for what, number, later, tenant, job_class, slots in [*events, ("close", 0, 1, None, "map", 1.0)]:
        now += later * MS
        if what in ("wait", "back") and number not in waiting:
            waiting[number] = since = now if what == "wait" else max(0, now - 700 * MS)
            recorder.waiting(now, number, since, tenant, job_class, slots)
            ends["entered"] += 1
        elif what == "start" and number in waiting:
            ends["started", tables.bucket_of(now - waiting.pop(number))] += 1
            recorder.started(now, number)
        elif what == "end" and number in waiting:
            ends["censored", tables.bucket_of(now - waiting.pop(number))] += 1
            recorder.ended(now, number)
        elif what == "close":
            closed.append(recorder.close(now))
    for since in waiting.values():
        ends["waiting", tables.bucket_of(now - since)] += 1
    return recorder, closed, ends


@given(EVENTS)
def test_merged_windows_equal_the_recorded_waits(events):
    """A job carried over windows counts once, whichever rows it was in."""
    _, closed, ends = _recorded(events, msgspec.structs.replace(RULES, windows=200, tenants=2))
    total = Tally()
    for window in closed:
        merged = Tally()
        for tally in window.rows.values():
            merged.add(tally)
        total.append_later(merged)
    for name in ("started", "censored", "waiting"):
        assert getattr(total, name) == Counter(
            {b: n for (what, b), n in _counts_by_bucket(ends) if what == name}
        )
    assert total.entered == total.exited == ends["entered"]
    assert sum(window.taken for window in closed) == total.taken


def _counts_by_bucket(ends):
    return [(key, n) for key, n in ends.items() if isinstance(key, tuple)]


@pytest.mark.parametrize("bounds", [{"tenants": 3}, {"table_bytes": 200}])
def test_a_table_is_bounded_and_counts_the_remaining_tenants_together(bounds):
    rules = msgspec.structs.replace(RULES, **bounds)
    recorder, rng, number = waits.WaitRecorder(rules, 0), random.Random(4), 0
    for window in range(6):
        for _ in range(400):
            number += 1
            at = window * 5 * SECOND + number * MS
            heavy = rng.random() < 0.5
            tenant = rng.choice("xyz") if heavy else f"t{rng.randrange(5000)}"
            recorder.waiting(at, number, at, tenant, "map", 1.0)
            recorder.started(at + 5 * MS, number)
        closed = recorder.close((window + 1) * 5 * SECOND)
        assert sum(t.entered for t in closed.rows.values()) == 400
    tenants = {key[0] for key in closed.rows} - {""}
    assert {"x", "y", "z"} <= tenants  # the tenants with the most jobs are kept
    rows = waits.rows_to_send(closed)
    assert sum(len(msgspec.msgpack.encode(row)) for row in rows) <= rules.table_bytes
    assert len(tenants) <= rules.tenants
    assert len(recorder._weights) <= 4 * rules.tenants


def _messages(seed):
    """Windows of three partitions, some in two versions."""
    rng, found = random.Random(seed), []
    for name in "pqr":
        for number in range(rng.randrange(1, 5)):
            for version in range(1, rng.randrange(2, 4)):
                rows = []
                for tenant in rng.sample(["a", "b", "c"], rng.randrange(3)):
                    tally = Tally(0)
                    for _ in range(rng.randrange(1, 6)):
                        tally.taken += 1
                        rng.choice([tally.started, tally.censored, tally.waiting])[
                            rng.randrange(BUCKET_COUNT)
                        ] += 1
                    rows.append(tables.row_from_tally((tenant, "map", 0), tally))
                shards = tuple(range(tables.SHARD_COUNT))
                window = Window(number, version, len(rows), tuple(rows))
                found.append((Incarnation(name, 1), WaitReport("s", 1, shards, (window,))))
    return found


def _collector_state(collector):
    return {
        (shard, incarnation): (
            collector.window_numbers(shard, incarnation),
            collector._by_shard[shard][incarnation].taken,
            _rows_of_others(shard, collector, incarnation),
        )
        for shard in range(tables.SHARD_COUNT)
        for incarnation in collector.reporting_partitions(shard)
    }


def _rows_of_others(shard, collector, incarnation):
    return sorted(
        tables.row_from_tally(k, t) for k, t in collector.sums_of_others(shard, incarnation).items()
    )


def _collect(messages):
    collector = WaitCollector(3, 5 * SECOND)
    for sender, message in messages:
        collector.add_report(7, sender, message)
    return collector


@pytest.mark.parametrize("seed", range(25))
def test_collected_state_is_independent_of_order_and_repetition(seed):
    messages, rng = _messages(seed), random.Random(seed)
    expected = _collector_state(_collect(messages))
    for _ in range(4):
        repeated = messages + rng.choices(messages, k=len(messages))
        rng.shuffle(repeated)
        assert _collector_state(_collect(repeated)) == expected
    for permuted in permutations(messages[:4]):
        assert _collector_state(_collect(permuted)) == _collector_state(_collect(messages[:4]))


@settings(max_examples=60)
@given(st.binary(max_size=60), st.lists(st.integers(-3, 50), max_size=8), st.integers(-2, 5))
def test_malformed_rows_are_dropped_and_change_nothing(tenant, histogram, taken):
    collector = _collect(_messages(1))
    before = _collector_state(collector)
    row = Row(repr(tenant), "map", 0, taken, (), tuple(histogram), (), ())
    message = WaitReport("s", 1, tuple(range(tables.SHARD_COUNT)), (Window(0, 9, 1, (row,)),))
    is_valid = tables.parse_row(row) is not None
    assert not is_valid or (taken == sum(histogram[1::2]) and len(histogram) % 2 == 0)
    collector.add_report(7, Incarnation("p", 1), message)
    if not is_valid:
        assert collector.dropped["malformed"] == 1
        rest = {k: v for k, v in _collector_state(collector).items() if k[1] != Incarnation("p", 1)}
        assert {k: v[:2] for k, v in rest.items()} == {
            k: v[:2] for k, v in before.items() if k[1] != Incarnation("p", 1)
        }


def test_windows_of_a_dead_partition_expire():
    collector = _collect(_messages(3))
    assert any(collector.reporting_partitions(shard) for shard in range(tables.SHARD_COUNT))
    collector.expire(7 + 4 * 5 * SECOND - 1)
    assert any(collector.reporting_partitions(shard) for shard in range(tables.SHARD_COUNT))
    collector.expire(7 + 4 * 5 * SECOND)
    assert not any(collector.reporting_partitions(shard) for shard in range(tables.SHARD_COUNT))
    assert all(not sums for sums in collector._sums.values())


def test_sums_that_are_not_conserved_are_caught(monkeypatch):
    """Mutants: a start that is not counted; rows that are never subtracted."""
    with monkeypatch.context() as broken:
        broken.setattr(waits.WaitRecorder, "started", lambda self, now, number: self._jobs.pop(number, None))
        with pytest.raises(InvariantError, match="sums of tables conserved"):
            _recorded([("wait", 1, 1, "a", "map", 1.0), ("start", 1, 1, "a", "map", 1.0)])
    add_rows = tables.add_rows
    monkeypatch.setattr(tables, "add_rows", lambda rows, into, sign=1: add_rows(rows, into, 1))
    with pytest.raises(InvariantError, match="sums of tables conserved"):
        _collect(_messages(2))


# Verdicts

_EVIDENCE = Evidence("", 50, 50, 50, 9, 0, 9, 0, 5.0, 5.0, 900_000, 1, 1.0)
_NEAR = msgspec.structs.replace(_EVIDENCE, times_others=1.8)
_ASSESSMENTS = {
    "starved": Assessment(TenantState.STARVED, _EVIDENCE),
    "near": Assessment(TenantState.NOT_STARVED, _NEAR),
    "fine": Assessment(TenantState.NOT_STARVED, msgspec.structs.replace(_EVIDENCE, times_elsewhere=1.0)),
    "few": Assessment(TenantState.TOO_FEW_JOBS),
    "unseen": Assessment(TenantState.TOO_FEW_REPORTS),
}


@given(st.lists(st.sampled_from(sorted(_ASSESSMENTS)), max_size=60))
def test_a_verdict_begins_and_ends_once(assessments):
    verdicts, open_at, ended_at = Verdicts("p", RULES), None, -99
    for number, name in enumerate(assessments):
        for event in verdicts.update(number + 1, {"a": _ASSESSMENTS[name]}):
            counted = [n for n in assessments[: number + 1] if n != "unseen"]
            if isinstance(event, verdict.StarvationBegan):
                assert open_at is None and number - ended_at > RULES.windows
                assert counted[-RULES.lasting :] == ["starved"] * RULES.lasting
                open_at = event.began_at
            else:
                assert event.began_at == open_at
                assert not {"starved", "near"} & set(counted[-2 * RULES.lasting :])
                open_at, ended_at = None, number
        assert verdicts.open_tenants() == (["a"] if open_at else [])


def test_a_verdict_that_begins_twice_is_caught(monkeypatch):
    end = Verdicts._end

    def uncounted_end(self, now, tenant, record, reason):
        record.end_count -= 1
        return end(self, now, tenant, record, reason)

    monkeypatch.setattr(Verdicts, "_end", uncounted_end)
    verdicts = Verdicts("p", RULES)
    with pytest.raises(InvariantError, match="begins and ends once"):
        for number, name in enumerate(["starved"] * 3 + ["fine"] * 5):
            verdicts.update(number + 1, {"a": _ASSESSMENTS[name]})


def test_holm_keeps_the_family_wise_error_rate():
    rng = np.random.default_rng(1)
    alarms = sum(
        bool(verdict.holm_rejected({("t", str(i)): p for i, p in enumerate(rng.random(40))}, 0.05, 40))
        for _ in range(2000)
    )
    assert 60 < alarms < 140  # 0.05 of 2000 is 100
    p_values = {("t", "a"): 0.001, ("t", "b"): 0.02, ("t", "c"): 0.5}
    assert verdict.holm_rejected(p_values, 0.05, 3) == {("t", "a"), ("t", "b")}


def _rows(**waits_of):
    """Rows with 60 jobs per tenant, given the mean wait in ms."""
    found = {}
    for tenant, wait in waits_of.items():
        found[tenant, "map", 0] = tally = Tally(60)
        for i in range(60):
            tally.started[tables.bucket_of(int(wait * MS * (0.5 + i / 60)))] += 1
    return found


@pytest.mark.parametrize(
    ("here", "away", "over_share", "seen", "state"),
    [
        ({"x": 900, "y": 100, "z": 100}, 100, (), 1.0, TenantState.STARVED),
        ({"x": 900, "y": 900, "z": 900}, 100, (), 1.0, TenantState.NOT_STARVED),  # slow for all tenants
        # equally slow in other partitions
        ({"x": 900, "y": 100, "z": 100}, 900, (), 1.0, TenantState.NOT_STARVED),
        ({"x": 130, "y": 100, "z": 100}, 100, (), 1.0, TenantState.NOT_STARVED),  # below least_effect
        ({"x": 9, "y": 1, "z": 1}, 1, (), 1.0, TenantState.NOT_STARVED),  # below least_wait
        ({"x": 900, "y": 100, "z": 100}, 100, ("x",), 1.0, TenantState.OVER_SHARE),
        ({"x": 900, "y": 9000}, 100, ("y",), 1.0, TenantState.NOT_COMPARABLE),
        # a tenant over its share must not hide the starved one
        ({"x": 900, "y": 9000, "z": 100}, 100, ("y",), 1.0, TenantState.STARVED),
        ({"x": 900, "y": 100, "z": 100}, 100, (), 0.4, TenantState.TOO_FEW_REPORTS),
    ],
)
def test_assessment_of_a_tenant(here, away, over_share, seen, state):
    rows = _rows(**here)
    elsewhere = {"x": verdict.RemoteWaits(_rows(x=away), 60, seen)}
    curves = {key: tally.at_risk() for key, tally in rows.items()}
    window = waits.ClosedWindow(0, 0, SECOND, rows, curves, tables.sums_by_stratum(curves))
    found = verdict.assess_tenants(RULES, [window], rows, elsewhere, over_share, partitions=6)
    assert found["x"].state is state


def test_shares_come_from_the_settings_or_from_other_partitions():
    rows = _rows(x=100, y=100, z=100)
    elsewhere = {"x": verdict.RemoteWaits(_rows(x=1), 600, 1.0)}
    assert TenantShares({"x": 10.0}).tenants_over_share(rows, 10, {}) == set()
    assert TenantShares({"x": 2.0}).tenants_over_share(rows, 10, {}) == {"x"}
    assert TenantShares().tenants_over_share(rows, 10, elsewhere) == set()
    rows["x", "map", 0].taken = 300
    assert TenantShares().tenants_over_share(rows, 10, elsewhere) == {"x"}


# Moves

PARTITION_WAITS = [
    tables.PartitionWait("x", Incarnation(n, 1), "s", 400, wait)
    for n, wait in (("q", 50_000), ("r", 80_000), ("t", 600_000))
]


def test_moves_stay_within_the_rate_limit_and_no_job_moves_twice():
    planner, moved, now, jobs = MovePlanner(5 * SECOND, 6), [], 0, {}
    for second in range(60):
        now = second * SECOND
        for i in range(20):
            jobs[f"{second}.{i}"] = WaitingJob(f"{second}.{i}", 0, 9 * SECOND, attempted=i == 0, moved=i == 1)
        moves = planner.plan(now, "x", 1000 * MS, jobs.values(), PARTITION_WAITS)
        for move in moves:
            job = jobs.pop(move.id)
            # the wait at t is not clearly shorter
            assert not job.attempted and not job.moved and move.to.name in "qr"
        moved += [move.id for move in moves]
    assert len(set(moved)) == len(moved) <= MAX_MOVES_AT_ONCE + 2 * 60
    assert len(moved) > 60
    left = MovePlanner(5 * SECOND, 6).plan(
        0, "x", 1000 * MS, [WaitingJob("1", 0, SECOND), WaitingJob("2", 5, 0)], PARTITION_WAITS
    )
    assert [move.id for move in left] == ["1"]  # half stay; a job that cannot start in time there stays, too
    planner.on_job_received(now, "x")
    # no moves soon after receiving one
    assert not planner.plan(now + 29 * SECOND, "x", 1000 * MS, jobs.values(), PARTITION_WAITS)
    assert planner.plan(now + 31 * SECOND, "x", 1000 * MS, jobs.values(), PARTITION_WAITS)


# Several machines on the simulated network


@pytest.mark.parametrize(("kind", "lost"), [("busy neighbour", 0.4), ("slow for all", 0.2)])
def test_only_starved_tenants_are_found_despite_lost_messages(kind, lost):
    world = starvation.generate(kind, 0, length=60.0)
    seen = starvation.run_detection(world, RULES, lost)
    found = seen.detected_at(world)
    assert seen.false_alarms(world) == 0
    assert (found is not None and found - world.onset < 30) == world.starved


def test_a_verdict_is_stored_in_the_ledger_of_its_partition_until_its_cause_ends():
    world = starvation.generate("one partition", 0, length=60.0)
    fleet = starvation.StarvationFleet(world.sites, world.shares, RULES, 1)
    for name, events in world.events.items():
        fleet.replay(name, events)
    fleet.net.run(int(world.length) * SECOND)
    here = fleet.ledgers[world.partition]
    assert list(here.content) == [records.VERDICT + world.tenant]
    record = msgspec.msgpack.decode(here.content[records.VERDICT + world.tenant], type=VerdictRecord)
    assert record.tenant == world.tenant and record.evidence.seen == 1.0
    assert min(record.evidence.times_elsewhere, record.evidence.times_others) >= RULES.least_effect
    fleet.net.run(90 * SECOND)  # no more jobs arrive
    assert not here.content and here.appended == 2
    assert not any(pages.appended for name, pages in fleet.ledgers.items() if name != world.partition)


def test_messages_of_unknown_senders_and_unexpected_replies_change_nothing():
    sites = dict.fromkeys("abc", "s")
    fleet = starvation.StarvationFleet(sites, {}, RULES, 1)
    machine, now = fleet.machines["a"], fleet.clock.now()
    assert machine.received(now, Incarnation("z", 1), WaitReport("s", 1, (0,), ())) == []
    assert machine.received(now, Incarnation("b", 1), tables.WaitReportReply(9, (0,), (), 3, 0, ())) == []
    assert machine.dropped == {"unknown sender": 1, "unexpected reply": 1}


def test_the_host_reports_every_wait():
    """On a simulated day with deploys and returned jobs, every taken job starts or ends without a start."""
    spec = load_world(Path(__file__).parents[1] / "experiments" / "small.toml")
    simulation = Simulation(spec, 3)
    recorders = []
    for dispatcher in simulation.dispatchers:
        start = dispatcher.start

        def start_with_recorder(dispatcher=dispatcher, start=start):
            start()
            recorders.append(waits.WaitRecorder(RULES, simulation.clock.now()))
            dispatcher.process.host.wait_observer = recorders[-1]

        dispatcher.start = start_with_recorder
    simulation.run()
    total = Tally()
    for recorder in recorders:
        assert not recorder._jobs
        for tally in recorder.close(simulation.clock.now()).rows.values():
            total.add(tally)
    assert total.entered == total.exited and total.taken >= 100
    hosts = [dispatcher.process.host for dispatcher in simulation.dispatchers]
    served = sum(n for host in hosts for (_, how), n in host.metrics.ended.items() if how == "served")
    assert sum(total.started.values()) >= served > 100
