"""Faults during a take-over, forced in virtual time: a crash of the claimant, pauses of other members."""

from collections.abc import Iterator
from dataclasses import replace

import pytest

from ironbarrow.core.jobs import Verdict
from ironbarrow.fleet.file import AnswerRules, Fleet
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.random_takeovers import SETTINGS
from ironbarrow.lab.fleet.takeover_simulation import TakeoverSimulation
from ironbarrow.lab.fleet.takeover_sweep import DISPATCHERS, Play, run_play
from ironbarrow.runtime.clock import MS, SECOND


@pytest.fixture(autouse=True)
def fatal_invariants() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


# d0 is killed and its claimant crashes. The next member has already begun to claim the ledger of d0, and
# waits for the paused d3, when it takes over the ledger of that claimant.
CLAIM_RUNS_WHILE_INHERITED = Play("after-seal", ("d3",), pause_at=2000 * MS, pause_for=1500 * MS)


# d1 stands still while d0 is killed: both keep the ledger of the member that claims theirs.
CLAIMANT_WITHOUT_MAJORITY = Play(paused=("d1",), pause_at=700 * MS, pause_for=2500 * MS, start=6, seed=6)
# the claimant of d0's ledger gives its own one up, since a majority of its replicas has ended
CLAIMANT_LOST = Play(paused=("d1",), pause_at=1200 * MS, pause_for=3500 * MS, start=6, seed=6)
# d1 stands still, the claimant of its ledger crashes, and d1 goes on
CLAIMED_MEMBER_RETURNS = Play(
    "after-seal",
    ("d1",),
    pause_at=1600 * MS,
    pause_for=3500 * MS,
    majority_timeout=2 * SECOND,
    start=6,
    seed=6,
)


@pytest.mark.parametrize("seed", [35, 38, 61])
def test_a_claim_that_ran_while_it_was_inherited_still_reads_the_ledger(seed: int) -> None:
    # guards against a ledger adopted as empty: its bookings were run again on their clients' retries
    _, violations = run_play(replace(CLAIM_RUNS_WHILE_INHERITED, seed=seed))
    assert not violations


@pytest.mark.parametrize("majority_timeout", [250 * MS, 2 * SECOND])
def test_a_claim_is_recorded_in_the_ledger_that_others_take_over(majority_timeout: int) -> None:
    # guards against a ledger that nobody takes over, as its claim was recorded where no member looks for it
    _, violations = run_play(replace(CLAIMANT_WITHOUT_MAJORITY, majority_timeout=majority_timeout))
    assert not violations


def test_a_ledger_whose_claimant_is_lost_counts_as_lost() -> None:
    # guards against bookings run again: the ledger was closed as if it had been taken over by another member
    _, violations = run_play(CLAIMANT_LOST)
    assert not violations


def test_a_claimed_ledger_stays_open_when_its_member_returns() -> None:
    # guards against a claimed ledger that a member forgets at the sight of its former writer
    _, violations = run_play(CLAIMED_MEMBER_RETURNS)
    assert not violations


@pytest.mark.parametrize(
    "play",
    [
        Play("before-claim", ("d2", "d3"), 1600 * MS, 2500 * MS, 2 * SECOND, start=6, seed=6),
        Play("before-claim", ("d3", "d4"), 2000 * MS, 2500 * MS, 2 * SECOND, start=6, seed=6),
        Play("after-seal", ("d3",), 1200 * MS, 3500 * MS, 2 * SECOND, start=6, seed=6),
    ],
)
def test_an_ended_incarnation_sends_no_attempt(play: Play) -> None:
    # guards against attempts released in the tick in which their incarnation gives itself up
    _, violations = run_play(play)
    assert not violations


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("kill_interval", [0, 100 * MS, 200 * MS, 375 * MS])
@pytest.mark.parametrize("down_time", [300 * MS, 1000 * MS, 3000 * MS])
def test_a_fleet_killed_at_once_runs_no_booking_twice(seed: int, kill_interval: int, down_time: int) -> None:
    # guards against bookings run again where nobody is left who knows what was owed
    play = Play(killed=DISPATCHERS, kill_interval=kill_interval, down_time=down_time, seed=seed)
    world, violations = run_play(play)
    assert not [text for text in violations if "forgotten" not in text]
    assert sum(answer is not None for r in world.requests.values() for answer in r.answers) > 60


def test_a_new_incarnation_knows_which_ledgers_are_claimed() -> None:
    # guards against a claimed ledger that a member forgets as it begins a new incarnation
    _, violations = run_play(replace(CLAIMED_MEMBER_RETURNS, majority_timeout=250 * MS))
    assert not violations


@pytest.mark.parametrize("marked", [False, True])
def test_a_young_fleet_runs_first_bookings_and_fails_only_marked_repeats(marked: bool) -> None:
    # guards against a rule for repeats that turns first requests away after the start of a whole fleet
    fleet = Fleet(listen="127.0.0.1:0", answers=AnswerRules(ask="all"))
    world = TakeoverSimulation(SETTINGS, 5, seed=1, fleet=fleet, workers=8)
    world.run(1500 * MS)
    for process in world.processes.values():
        process.adapter.machine.followed_since = world.clock.now() - 1500 * MS
    request = world.submit("j", "book", 6 * SECOND, "d0")
    if marked:
        world.kill("d0")  # before it has read the request; the client comes again
    world.run(8 * SECOND)
    verdict = Verdict.FAILED if marked else Verdict.SERVED
    assert [answer and answer.verdict for answer in request.answers] == [verdict]
    assert world.workers.starts["j"] == (0 if marked else 1)
