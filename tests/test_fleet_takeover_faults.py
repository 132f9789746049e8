"""Faults during a take-over, forced in virtual time: a crash of the claimant, pauses of other members."""

from collections.abc import Iterator
from dataclasses import replace

import pytest

from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.takeover_sweep import Play, run_play
from ironbarrow.runtime.clock import MS


@pytest.fixture(autouse=True)
def fatal_invariants() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


# d0 is killed and its claimant crashes. The next member has already begun to claim the ledger of d0, and
# waits for the paused d3, when it takes over the ledger of that claimant.
CLAIM_RUNS_WHILE_INHERITED = Play("after-seal", ("d3",), pause_at=2000 * MS, pause_for=1500 * MS)


@pytest.mark.parametrize("seed", [35, 38, 61])
def test_a_claim_that_ran_while_it_was_inherited_still_reads_the_ledger(seed: int) -> None:
    # guards against a ledger adopted as empty: its bookings were run again on their clients' retries
    _, violations = run_play(replace(CLAIM_RUNS_WHILE_INHERITED, seed=seed))
    assert not violations
