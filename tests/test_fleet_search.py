"""The model search: the invariants hold in every interleaving, and the search detects each mutant."""

from collections.abc import Callable, Iterator

import pytest

from ironbarrow.fleet.api import LedgerLocation
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.ledgers import proposal, replica
from ironbarrow.fleet.ledgers.proposal import Proposal, Step
from ironbarrow.fleet.ledgers.replica import Replica
from ironbarrow.fleet.ledgers.writer import Writer
from ironbarrow.lab.fleet.search import SCENARIOS, Scenario, Search

MAX_STATES = 20_000  # of a scenario


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


def test_the_invariants_hold_in_every_interleaving() -> None:
    states = 0
    for scenario in SCENARIOS:
        found = Search(scenario).run(MAX_STATES)
        assert found.violation is None, (found.violation.what, *found.violation.trace)
        states += found.states
    assert states >= 100_000


def append_to_a_sealed_segment(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "_is_sealed", lambda self, segment: False)


def accepted_decision_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proposal, "accepted_decision", lambda self: None)


def decides_without_acceptance(patch: pytest.MonkeyPatch) -> None:
    def propose(self, now, value):
        self.decision, self.step = value, Step.DECIDED
        return []

    patch.setattr(Proposal, "propose", propose)


def reads_the_shortest_table(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proposal, "_last_index_of", lambda promise: -promise.last_index)


def replicas_changed_without_a_seal(patch: pytest.MonkeyPatch) -> None:
    def replace(self, now):
        if self.at.segment or not self._lost_replicas(now)[0]:
            return []
        self.at = LedgerLocation(
            self.at.ledger, 1, self._host.choose_replicas(self.at.ledger, self._avoided(now))
        )
        return self.open(now)

    patch.setattr(Writer, "_replace_replicas", replace)


def lower_ballot_accepted(patch: pytest.MonkeyPatch) -> None:
    accept = Replica.accept

    def ignoring_the_promise(self, now, sender, message):
        segment = self.segments.get((message.ledger, message.segment))
        if segment is not None:
            segment.promised = min(segment.promised, message.ballot)
        return accept(self, now, sender, message)

    patch.setattr(Replica, "accept", ignoring_the_promise)


def votes_after_data_loss(patch: pytest.MonkeyPatch) -> None:
    """The search lets a replica that has lost its data vote as its former incarnation; nothing is patched."""


MUTANTS: list[tuple[Callable[[pytest.MonkeyPatch], None], Scenario]] = [
    (votes_after_data_loss, Scenario("", claims=("c0",), doubles=1, restarts=1)),
    (append_to_a_sealed_segment, Scenario("", appends=1, claims=("c0",))),
    (accepted_decision_ignored, Scenario("", appends=0)),
    (decides_without_acceptance, Scenario("", appends=0)),
    (reads_the_shortest_table, Scenario("", appends=1, claims=("c0",))),
    (replicas_changed_without_a_seal, Scenario("", appends=1, claims=("c0",), changes=1)),
    (lower_ballot_accepted, Scenario("", appends=0)),
]


@pytest.mark.parametrize(("mutant", "scenario"), MUTANTS, ids=lambda value: getattr(value, "__name__", ""))
def test_each_mutant_is_detected(
    mutant: Callable[[pytest.MonkeyPatch], None], scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module in (replica, proposal):  # only the observer may detect the mutant
        monkeypatch.setattr(module, "check", lambda *_, **__: None)
    mutant(monkeypatch)
    found = Search(scenario, reuse_incarnations=mutant is votes_after_data_loss).run(100_000)
    assert found.violation is not None and len(found.violation.trace) > 2, found
