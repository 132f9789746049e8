"""Cost of each part by fleet size: slopes of counts in virtual time, and mutants that the bounds must
catch."""

import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from heathway import probing
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.ledgers import machine as ledger_machine
from ironbarrow.fleet.ledgers import writer
from ironbarrow.fleet.members import failure_detector, sync
from ironbarrow.fleet.members import machine as member_machine
from ironbarrow.fleet.rollout import signals
from ironbarrow.fleet.starvation import machine as starvation_machine
from ironbarrow.lab.capacity import (
    costs,
    counting,
    decisions,
    ledgers,
    lists,
    members,
    rollouts,
    summary,
    tables,
    waits,
)
from ironbarrow.lab.capacity.budget import Slopes, Verdict, evaluate
from ironbarrow.lab.capacity.fit import Fit, fit
from ironbarrow.lab.fleet import starvation

MAX_CURVATURE = 0.05  # largest share of the quadratic term in the value at the largest size
MAX_RESIDUAL = 0.05  # largest distance of a point from the line, relative to the mean


def assert_line(found: Fit, least: float, most: float) -> None:
    """Asserts that the points lie on a line whose slope is within the bounds."""
    assert abs(found.curvature) <= MAX_CURVATURE, found
    assert found.residual <= MAX_RESIDUAL, found
    assert least <= found.slope <= most, found


def mutant(module: ModuleType, *changes: tuple[str, str]) -> ModuleType:
    """A copy of a module in whose source each ``old`` text, which must occur once, is replaced by ``new``."""
    text = Path(str(module.__file__)).read_text()
    for old, new in changes:
        assert text.count(old) == 1, old
        text = text.replace(old, new)
    made = ModuleType(f"{module.__name__}_mutant")
    sys.modules[made.__name__] = made  # dataclasses look the module up here
    exec(compile(text, made.__name__, "exec"), made.__dict__)
    return made


# The fits


def test_fit_distinguishes_a_line_from_a_parabola() -> None:
    line = fit([1, 2, 4, 8], [5, 7, 11, 19])
    assert (line.intercept, line.slope) == (pytest.approx(3), pytest.approx(2))
    assert line.r_squared == pytest.approx(1) and line.residual < 1e-9 and abs(line.curvature) < 1e-9
    assert line.at(100) == pytest.approx(203)
    assert line.is_extrapolated(9) and not line.is_extrapolated(8)
    parabola = fit([1, 2, 4, 8], [1, 4, 16, 64])
    assert parabola.quadratic == pytest.approx(1) and parabola.curvature == pytest.approx(1)
    assert parabola.residual > MAX_RESIDUAL
    with pytest.raises(ValueError, match="three sizes"):
        fit([1, 2, 2], [1, 2, 2])


# Members

CALM_SIZES = (8, 16, 32, 48)


def calm_fits(sizes: tuple[int, ...] = CALM_SIZES) -> tuple[Fit, Fit]:
    """Messages per second of the whole fleet, and bytes per second of one member."""
    found = [members.count_calm(size, seconds=10, settle_s=25) for size in sizes]
    assert all(count.entries == count.members for count in found)
    return (
        fit(sizes, [count.rate.messages * count.members for count in found]),
        fit(sizes, [count.rate.bytes for count in found]),
    )


def test_calm_members_send_seven_messages_a_second_each_at_any_size() -> None:
    messages, bytes_per_member_s = calm_fits()
    assert_line(messages, 6.5, 7.2)
    # up to 64 members are compared every 5 s: only these messages grow with the fleet
    assert_line(bytes_per_member_s, 4.0, 8.0)
    assert bytes_per_member_s.intercept < 450


@pytest.mark.parametrize(
    ("module", "name", "change"),
    [
        (
            failure_detector,
            "FailureDetector",
            (
                "        entry = self._schedule.next()\n        if entry is not None:\n",
                "        for entry in list(self._table):\n",
            ),
        ),
        (
            sync,
            "Synchronizer",
            (
                "            self._sync_with(now, self._context.random.choice(alive))\n",
                "            [self._sync_with(now, one) for one in alive]\n",
            ),
        ),
    ],
    ids=["probes all members in each period", "synchronizes with all members"],
)
def test_a_membership_protocol_that_contacts_all_members_is_caught(
    module: ModuleType, name: str, change: tuple[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    broken = mutant(module, change)
    monkeypatch.setattr(member_machine, name, getattr(broken, name))
    messages, _ = calm_fits((6, 9, 12))
    with pytest.raises(AssertionError):
        assert_line(messages, 6.5, 7.2)


def test_a_death_costs_each_member_a_bounded_rate_and_is_detected_in_time() -> None:
    sizes = (8, 16, 24, 32)
    found = [members.count_death(size, settle_s=20) for size in sizes]
    assert all(count.known_s < 3.5 and count.told_dead == count.members for count in found)
    assert_line(fit(sizes, [count.beyond.messages for count in found]), 30, 45)
    # each second one dead member is contacted, with the part of the list that is compared
    assert max(count.bytes_per_member_s for count in found) < 1500


def test_regions_merge_after_a_partition_without_new_deaths() -> None:
    sizes = (7, 14, 28)
    found = [members.count_region_cut(size, settle_s=20) for size in sizes]
    for size, (cut, heal) in zip(sizes, found, strict=True):
        north = sum(zone.startswith("north") for zone in map(counting.zone_of, range(size)))
        assert cut.told_dead == 2 * north * (size - north)
        assert heal.told_dead == 0 and heal.known_s < 6
        assert heal.bytes_per_member_s < 250 * size


def test_the_loss_of_a_zone_is_detected_and_causes_no_other_death() -> None:
    for size in (14, 28):
        found = members.count_zone_loss(size, seconds=15, settle_s=20)
        lost = size // len(counting.ZONES)
        assert found.members == size - lost and found.told_dead == found.members * lost
        assert found.known_s < 5


# Ledgers

JOBS = (10, 20, 40, 80)


def writer_fits() -> tuple[Fit, Fit, Fit]:
    """Messages between a writer and its replicas, and changes and bytes to the replicas, by jobs."""
    found = [ledgers.count_writer(jobs) for jobs in JOBS]
    assert all(count.replica_rows == 0 and count.replica_bytes == 0 for count in found)
    return (
        fit(JOBS, [count.appends.messages + count.acknowledgements.messages for count in found]),
        fit(JOBS, [count.appends.items for count in found]),
        fit(JOBS, [count.appends.bytes for count in found]),
    )


def assert_writer(found: tuple[Fit, Fit, Fit]) -> None:
    messages, changes, size = found
    assert_line(
        messages, 17.9, 18.1
    )  # three changes and three replicas, an append and an acknowledgement each
    assert_line(changes, 8.9, 9.1)
    assert_line(size, 2500, 2800)


def test_the_cost_of_a_job_does_not_depend_on_earlier_jobs() -> None:
    assert_writer(writer_fits())


def test_a_writer_that_resends_its_whole_log_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    broken = mutant(
        writer,
        ("            if acknowledged > 0:\n", "            if acknowledged < 0:\n"),
        ("                first = progress.sent + 1\n", "                first = self._tail_first_index\n"),
        ("progress.sent += len(message.changes)", "progress.sent = self.last_index"),
    )
    monkeypatch.setattr(ledger_machine, "Writer", broken.Writer)
    found = writer_fits()
    with pytest.raises(AssertionError):
        assert_writer(found)
    assert found[1].curvature > 0.5


def test_a_running_job_takes_one_row_at_each_replica() -> None:
    found = [ledgers.count_writer(jobs, keep=True) for jobs in JOBS]
    assert_line(fit(JOBS, [count.replica_rows for count in found]), 0.99, 1.01)
    assert_line(fit(JOBS, [count.replica_bytes for count in found]), 440, 480)


def test_each_byte_of_a_body_is_sent_six_times() -> None:
    sizes = (100, 400, 1600)
    found = [ledgers.count_writer(10, body=size) for size in sizes]
    assert_line(fit(sizes, [count.appends.bytes / count.jobs for count in found]), 5.9, 6.1)


def test_the_cost_of_replacing_a_replica_grows_with_the_running_jobs() -> None:
    found = [ledgers.count_move(running) for running in JOBS]
    assert_line(fit(JOBS, [count.sent.bytes for count in found]), 1400, 2000)
    assert max(count.seconds for count in found) < 1


def test_the_ledger_cost_of_a_job_start_does_not_grow_with_the_fleet() -> None:
    jobs = (15, 30, 60)
    found = [ledgers.count_starts(number) for number in jobs]
    messages = fit(jobs, [count.ledgers.messages for count in found])
    # changes of one turn share a message, so that a busy writer sends fewer messages per job
    assert (
        messages.curvature <= MAX_CURVATURE
        and messages.residual <= MAX_RESIDUAL
        and 11 <= messages.slope <= 20
    ), messages
    assert_line(fit(jobs, [count.changes for count in found]), 8, 11)
    sizes = (5, 10, 15)
    by_size = [ledgers.count_starts(30, size) for size in sizes]
    each = [count.ledgers.messages / count.jobs for count in by_size]
    assert max(each) < 1.1 * min(each)
    # a dispatcher that gets a call-back for a job it does not know asks all members
    assert max(count.takeover.messages / count.jobs / count.dispatchers for count in by_size) < 1.5


# Tables of waits

DISPATCHERS = (4, 6, 8, 10)
TENANTS = (4, 8, 16)


def rows_by_dispatchers() -> Fit:
    """Rows sent in a window, by dispatchers; all dispatchers have the same tenants."""
    found = [waits.count_waits(size, 8, windows=1, warm_up=3) for size in DISPATCHERS]
    return fit(DISPATCHERS, [count.tables.items for count in found])


def test_rows_of_waits_grow_linearly_with_dispatchers_and_with_tenants() -> None:
    # each tenant has two collectors and three classes; a collector does not send to itself
    assert_line(rows_by_dispatchers(), 47, 49)
    by_tenants = [waits.count_waits(4, tenants, windows=1, warm_up=3) for tenants in TENANTS]
    assert_line(fit(TENANTS, [c.tables.items + c.answers.items for c in by_tenants]), 35, 37)
    assert_line(fit(TENANTS, [c.tables.bytes + c.answers.bytes for c in by_tenants]), 800, 1000)


def test_sending_all_rows_to_each_collector_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    broken = mutant(
        starvation_machine,
        ("row for shard, row in rows if shard in owned_shards", "row for shard, row in rows"),
    )
    monkeypatch.setattr(starvation, "StarvationMachine", broken.StarvationMachine)
    found = rows_by_dispatchers()
    with pytest.raises(AssertionError):
        assert_line(found, 47, 49)
    assert found.curvature > 0.5


def test_a_table_has_at_most_its_limit_of_tenants() -> None:
    rules = StarvationRules(tenants=8, least_jobs=1 << 30)
    found = [waits.count_waits(3, tenants, windows=1, warm_up=3, rules=rules) for tenants in (8, 16, 32)]
    assert [count.judged for count in found] == [8, 8, 8]
    assert max(c.tables.items for c in found) == min(c.tables.items for c in found)


# Rollouts


def test_each_member_reports_the_workers_it_used_to_the_coordinator() -> None:
    sizes = (4, 8, 16)
    by_members = [rollouts.count_rollout(size, 8) for size in sizes]
    assert_line(fit(sizes, [count.observed.messages / count.seconds for count in by_members]), 0.99, 1.01)
    by_workers = [rollouts.count_rollout(4, workers) for workers in sizes]
    each = [count.observed.bytes / (count.members - 1) / count.seconds for count in by_workers]
    assert_line(fit(sizes, each), 40, 60)
    assert all(count.commands.messages == count.ledger.messages == 0 for count in by_members)


def test_a_dispatcher_that_reports_workers_of_earlier_periods_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    broken = mutant(
        signals, ("        self._entries = {}\n        self._own_slots = ", "        self._own_slots = ")
    )
    reported_workers: list[int] = []
    for seconds in (4, 8, 16):
        signal_counts = broken.Signals("a")
        for second in range(seconds):
            signal_counts.attempt_sent(f"worker-{second}", 0, "map", 1, 1.0)
            observed = signal_counts.take_report(0.0)
        reported_workers.append(len(observed.counts))
    assert reported_workers == [4, 8, 16]
    signal_counts = signals.Signals("a")
    for second in range(16):
        signal_counts.attempt_sent(f"worker-{second}", 0, "map", 1, 1.0)
        observed = signal_counts.take_report(0.0)
    assert len(observed.counts) == 1


# Worker list


def test_a_list_grows_with_all_workers_and_an_update_with_the_changed_ones() -> None:
    sizes = (25, 50, 100, 200)
    found = [lists.count_list(size) for size in sizes]
    assert_line(fit(sizes, [count.whole_bytes for count in found]), 130, 145)
    # with live weights each update contains every worker
    assert_line(fit(sizes, [count.weights_bytes for count in found]), 130, 145)
    assert_line(fit(sizes, [count.entries_told_by_weights for count in found]), 2.99, 3.01)
    assert len({count.one_bytes for count in found}) == 1 and found[0].one_bytes < 250


# Decisions


def probes(sizes: tuple[int, ...] = (25, 50, 100)) -> list[int]:
    """Probes sent by four dispatchers in six seconds, by workers."""
    return [decisions.count_decisions(4, size, 2.0).probes for size in sizes]


def assert_probes(found: list[int]) -> None:
    jobs = 4 * 11
    assert max(found) <= probing.PROBES_PER_JOB * jobs + 4 * probing.MAX_SAVED
    assert max(found) <= 1.05 * min(found)


def test_the_number_of_probes_depends_on_jobs_and_not_on_workers() -> None:
    assert_probes(probes())
    sizes = (4, 8, 16)
    by_dispatchers = [decisions.count_decisions(size, 50, 2.0).probes for size in sizes]
    assert_line(fit(sizes, by_dispatchers), 20, 30)


def test_probing_without_a_budget_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def always_granted(self: Any, keep: float = 0.0) -> bool:
        return True

    monkeypatch.setattr(probing.ProbeBudget, "take", always_granted)
    with pytest.raises(AssertionError):
        assert_probes(probes())


def test_records_of_a_dispatcher_grow_with_workers_and_with_running_jobs() -> None:
    sizes = (25, 50, 100)
    found = [decisions.count_decisions(1, size, 8.0).records for size in sizes]
    assert [records.workers for records in found] == list(sizes)
    assert len({(records.jobs, records.agenda, records.sessions) for records in found}) == 1
    assert found[0].agenda < 60


def test_each_list_sets_one_timer_for_a_cold_worker() -> None:
    found = [decisions.timers_after_cold_lists(cold, 5) for cold in (10, 20, 40)]
    assert_line(fit((10, 20, 40), found), 4.9, 5.1)


def test_a_cold_workers_budget_is_spent_by_few_dispatchers_in_a_fleet_of_any_size() -> None:
    found = [decisions.count_cold_share(size, 0.2, workers=10) for size in (4, 8, 28)]
    assert {share.with_a_part for share in found} == {1.0}
    assert decisions.count_cold_share(28, 10.0, workers=10).with_a_part == 0.0


def test_a_full_fleet_is_scanned_once_for_each_waiting_job_and_reserve() -> None:
    sizes = (25, 50, 100)
    found = [costs.turn_cost(size).full_looks for size in sizes]
    assert_line(fit(sizes, found), 17.99, 18.01)  # nine jobs, two reserves


# The budget


def line_of(slope: float, intercept: float = 0.0) -> Fit:
    return Fit(100, 800, 4, intercept, slope, 1.0, 0.0, 0.0, 0.0)


SLOPES = Slopes(
    member_bytes=700.0,
    death_bytes=1000.0,
    heal_bytes=20_000.0,
    list_bytes=line_of(140.0),
    change_bytes=190,
    start_bytes=line_of(1700.0),
    callback_lookup_bytes=78.0,
    waits_bytes=900.0,
    observed_bytes=line_of(50.0),
    replica_row_bytes=line_of(457.0),
    cut_share=0.5,
    list_cpu_ms=line_of(0.02),
    member_cpu_ms=1.6,
    start_cpu_ms=1.0,
    full_turn_ms=line_of(0.02),
    idle_mb=32.0,
    worker_kb=line_of(1.0),
    member_kb=line_of(2.0),
)


def test_each_requirement_of_the_target_has_its_verdict() -> None:
    found = {one.name: one for one in evaluate(SLOPES, 230)}
    assert found["worker view, nominal weights"].verdict is Verdict.WITHIN_BUDGET
    live = found["worker view, live weights"]
    assert live.verdict is Verdict.OVER_BUDGET
    assert live.overrun == pytest.approx(140 * 830 / 15_000)
    changed = found["worker view, live weights that have changed alone"]
    assert changed.overrun == pytest.approx(140 * 140 / 15_000)
    assert found["worker view, live weights: CPU"].budget_share == pytest.approx(0.0166 / 0.032)
    assert found["members, calm"].budget_share == pytest.approx(1400 / 15_000)
    assert found["members, a minute after a region cut"].verdict is Verdict.OVER_BUDGET
    assert found["starts written down"].budget_share == pytest.approx(2 * 1700 * 70 / 230 / 15_000)
    assert found["running tasks, as connections of clients"].budget_share == pytest.approx(3800 / 542 / 230)
    assert found["ledgers while regions are apart"].verdict is Verdict.OVER_BUDGET
    assert found["a rollout under way, its coordinator"].budget_share == pytest.approx(
        50 * 3800 / 230 * 229 / 15_000
    )
    scan = found["jobs that wait while all workers are full"]
    assert scan.overrun == pytest.approx(0.0166 * (5 + 1 + 140 / 230) / 0.032)
    memory = found["control, memory"].budget_share
    assert memory == pytest.approx((32 + (830 + 460) / 1024) / 64)
    missing = [one.name for one in found.values() if one.verdict is Verdict.UNSUPPORTED]
    assert missing == [
        "configuration in force everywhere",
        "quotas over all dispatchers",
        "urgent work",
        "gangs",
    ]
    assert all(one.overrun == 0 for one in found.values() if one.verdict is not Verdict.OVER_BUDGET)


def test_too_few_dispatchers_cannot_hold_the_running_tasks() -> None:
    found = {one.name: one for one in evaluate(SLOPES, 7)}
    held = found["running tasks, as connections of clients"]
    assert held.verdict is Verdict.OVER_BUDGET and held.overrun == pytest.approx(3800 / 542 / 7)


def test_failed_sizes_are_left_out_of_a_fit_and_listed_in_the_tables() -> None:
    series = next(one for one in summary.SERIES if one.part == "cpu_list")
    runs = [{"size": size, "load": 1.0, "wall_s": 2.0, "found": 0.02 * size} for size in (100, 200, 400)]
    results = {"cpu_list": [*runs, {"size": 800, "load": 9.0, "wall_s": 1.0, "failed": ["MemoryError"]}]}
    found = summary.fit_series(results, series)
    assert found is not None and found.max_size == 400 and found.slope == pytest.approx(0.02)
    assert "failed: ['MemoryError']" in tables.sizes(results, "cpu_list")
    assert summary.fit_series({"cpu_list": runs[:2]}, series) is None
    row = next(text for text in tables.slopes(results).splitlines() if text.startswith(f"| {series.name} "))
    assert "100 to 400 (3)" in row
    assert "not measured" in tables.slopes({})
