"""The model search: the machines hold in every interleaving, and it finds each way to break them."""

from collections.abc import Callable, Iterator

import pytest

from ironbarrow.fleet.api import LedgerLocation
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.ledgers import proposal, replica
from ironbarrow.fleet.ledgers.proposal import Proposal, Step
from ironbarrow.fleet.ledgers.replica import Replica
from ironbarrow.fleet.ledgers.writer import Writer
from ironbarrow.lab.fleet.search import SCENARIOS, Scenario, Search

MOST = 20_000  # states of a scenario


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


def test_every_interleaving_holds() -> None:
    states = 0
    for scenario in SCENARIOS:
        found = Search(scenario).run(MOST)
        assert found.violation is None, (found.violation.what, *found.violation.trace)
        states += found.states
    assert states >= 100_000


def append_under_a_seal(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "_sealed", lambda self, segment: False)


def accepted_fate_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proposal, "fate", lambda self: None)


def acts_on_a_seal(patch: pytest.MonkeyPatch) -> None:
    def decide(self, now, own):
        self.decision, self.step = own, Step.DECIDED
        return []

    patch.setattr(Proposal, "decide", decide)


def reads_the_lowest(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proposal, "_n", lambda promise: -promise.n)


def replicas_changed_without_a_seal(patch: pytest.MonkeyPatch) -> None:
    def replace(self, now):
        if self.at.segment or not self._lost(now)[0]:
            return []
        self.at = LedgerLocation(self.at.ledger, 1, self._home.choose(self.at.ledger, self._avoided(now)))
        return self.open(now)

    patch.setattr(Writer, "_replace", replace)


def lower_ballot_accepted(patch: pytest.MonkeyPatch) -> None:
    decide = Replica.decide

    def careless(self, now, sender, message):
        segment = self.segments.get((message.ledger, message.segment))
        if segment is not None:
            segment.promised = min(segment.promised, message.ballot)
        return decide(self, now, sender, message)

    patch.setattr(Replica, "decide", careless)


def forgetful(patch: pytest.MonkeyPatch) -> None:
    """The search lets a replica that has forgotten vote as the incarnation that it was."""


MUTANTS: list[tuple[Callable[[pytest.MonkeyPatch], None], Scenario]] = [
    (forgetful, Scenario("", claims=("c0",), doubles=1, restarts=1)),
    (append_under_a_seal, Scenario("", appends=1, claims=("c0",))),
    (accepted_fate_ignored, Scenario("", appends=0)),
    (acts_on_a_seal, Scenario("", appends=0)),
    (reads_the_lowest, Scenario("", appends=1, claims=("c0",))),
    (replicas_changed_without_a_seal, Scenario("", appends=1, claims=("c0",), changes=1)),
    (lower_ballot_accepted, Scenario("", appends=0)),
]


@pytest.mark.parametrize(("mutant", "scenario"), MUTANTS, ids=lambda value: getattr(value, "__name__", ""))
def test_each_mutant_is_found(
    mutant: Callable[[pytest.MonkeyPatch], None], scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module in (replica, proposal):  # the observer alone is to find it
        monkeypatch.setattr(module, "check", lambda *_, **__: None)
    mutant(monkeypatch)
    found = Search(scenario, forgetful=mutant is forgetful).run(100_000)
    assert found.violation is not None and len(found.violation.trace) > 2, found
