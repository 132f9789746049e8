"""Ledgers: one writer, kept by others, had by one that follows."""

from collections.abc import Iterator

import pytest

from ironbarrow.fleet.api import (
    Ballot,
    Change,
    Claimed,
    ClaimFailed,
    Committed,
    Fenced,
    Incarnation,
    LedgerLocation,
    Moved,
    NoMajority,
)
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.ledgers import proposal
from ironbarrow.fleet.ledgers.claimant import Claimant
from ironbarrow.fleet.ledgers.messages import Answer, Append, Close, Seal
from ironbarrow.fleet.ledgers.proposal import Proposal, Step
from ironbarrow.fleet.ledgers.replica import SEGMENT_SIZE, Replica
from ironbarrow.fleet.records import CLAIM
from ironbarrow.lab.fleet.losses import LedgerFleet, formula, mass_kill, price
from ironbarrow.lab.fleet.random_ledgers import World
from ironbarrow.runtime.clock import MS


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


class Fleet(LedgerFleet):
    """With what the tests ask of it."""

    def do(self, name: str, what: str, *args):
        """Gives an order; its result."""
        found = []

        def order(now):
            found.append(getattr(self.machines[name], what)(now, *args))
            return found[0][1] if isinstance(found[0], tuple) else found[0]

        self.order(name, order)
        return found[0] if found else None

    def news(self, name: str, kind: type) -> list:
        return [news for news in self.net.seats[name].told if isinstance(news, kind)]

    def at(self, name: str) -> LedgerLocation:
        """Where the first ledger of a member is, by its card."""
        return self.everyone.members[name].card.ledgers[0]

    def run(self, ms: float) -> None:
        self.net.run(round(ms * MS))


def job_ledger(fleet: Fleet, name: str) -> str:
    return f"jobs/{fleet.machines[name].me}"


def put(n: int, first: int = 0) -> list[Change]:
    return [Change(f"j/{i}", b"x" * (i + 1)) for i in range(first, first + n)]


def opened(n: int, replicas: int = 3, **more) -> Fleet:
    """A fleet whose members have their job ledgers."""
    fleet = Fleet(n, replicas, **more)
    fleet.create()
    return fleet


@pytest.mark.parametrize(("n", "replicas"), [(2, 3), (3, 3), (4, 3), (9, 3), (3, 5), (9, 5)])
def test_what_counted_is_had_by_whoever_claims(n: int, replicas: int) -> None:
    fleet = opened(n, replicas)
    ledger = job_ledger(fleet, "m0")
    seq, _ = fleet.do("m0", "append", ledger, put(20))
    assert seq == 20
    fleet.run(5)
    seq, _ = fleet.do("m0", "append", ledger, [Change("j/3")])
    fleet.run(5)
    assert [news.seq for news in fleet.news("m0", Committed)][-1] == 21
    at = fleet.at("m0")
    assert len(at.replicas) == (1 if n == 2 else min(replicas, n)) and (
        n <= replicas or Incarnation("m0") not in at.replicas
    )
    if n == 2:
        return  # two of two are the majority: nothing can be had once one is lost
    fleet.kill("m0")
    fleet.do("m1", "claim", at)
    fleet.run(50)
    (claimed,) = fleet.news("m1", Claimed)
    assert claimed.content == {c.key: c.value for c in put(20) if c.key != "j/3"}
    fleet.do("m2", "claim", at)
    fleet.run(50)
    (lost,) = fleet.news("m2", ClaimFailed)
    assert lost.by == fleet.machines["m1"].me


def test_a_writer_that_wakes_up_is_fenced() -> None:
    fleet = opened(5)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    fleet.do("m0", "append", ledger, put(3))
    fleet.run(5)
    fleet.net.pause("m0")
    fleet.do("m1", "claim", at)
    fleet.run(100)
    assert fleet.news("m1", Claimed)[0].content.keys() == {"j/0", "j/1", "j/2"}
    fleet.net.resume("m0")
    fleet.do("m0", "append", ledger, put(1, 7))
    fleet.run(100)
    assert fleet.news("m0", Fenced) == [Fenced(ledger, fleet.machines["m1"].me)]
    assert fleet.news("m0", Committed)[-1].seq == 3
    assert fleet.do("m0", "append", ledger, put(1))[0] == 0


def test_a_lost_replica_is_replaced_and_nothing_is_open_in_between() -> None:
    fleet = opened(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    fleet.do("m0", "append", ledger, put(500))
    fleet.run(5)
    fleet.kill(at.replicas[0].name)
    fleet.run(1000)
    moved = fleet.news("m0", Moved)[-1]
    assert moved.at.segment == 1 and at.replicas[0] not in moved.at.replicas and fleet.at("m0") == moved.at
    seq, _ = fleet.do("m0", "append", ledger, put(2, 900))
    fleet.run(5)
    assert fleet.news("m0", Committed)[-1].seq == seq == 502
    by = next(n for n in fleet.names[1:] if fleet.net.seats[n].node)
    for start in (at, moved.at):  # an old card leads on
        fleet.do(by, "claim", start)
        fleet.run(200)
    (claimed,) = fleet.news(by, Claimed)
    assert len(claimed.content) == 502


def test_without_a_majority_nothing_counts_and_that_is_told() -> None:
    fleet = opened(4)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    for replica in at.replicas[:2]:
        fleet.net.cut("m0", replica.name)
    fleet.do("m0", "append", ledger, put(1))
    fleet.run(2000)
    assert fleet.news("m0", NoMajority) == [NoMajority(ledger)] and not fleet.news("m0", Committed)
    fleet.net.mend()
    fleet.run(500)
    assert fleet.news("m0", NoMajority)[-1].restored and fleet.news("m0", Committed)[-1].seq == 1


def test_a_leader_is_followed_by_another_with_a_higher_epoch() -> None:
    fleet = opened(5)
    fleet.do("m0", "create", "rollout/r")
    fleet.run(5)
    fleet.do("m0", "append", "rollout/r", put(4))
    fleet.run(5)
    at = next(a for a in fleet.everyone.members["m0"].card.ledgers if a.ledger == "rollout/r")
    fleet.do("m1", "lead", at)
    fleet.run(50)
    moved = fleet.news("m1", Moved)[-1]
    assert moved.at.segment == 1 and len(moved.content) == 4
    assert fleet.news("m0", Fenced) == [Fenced("rollout/r", fleet.machines["m1"].me)]
    seq, _ = fleet.do("m1", "append", "rollout/r", put(1, 30))
    fleet.run(5)
    assert Committed("rollout/r", seq) in fleet.news("m1", Committed)


@pytest.mark.parametrize("sealed_first", [False, True], ids=["its seal", "its fate"])
def test_a_claim_goes_on_where_one_replica_is_dead_and_another_has_promised_a_rival(
    sealed_first: bool,
) -> None:
    """One answer, one refusal and one that never comes are no majority: the round must be begun anew."""
    fleet = opened(9)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    fleet.do("m0", "append", ledger, put(3))
    fleet.run(5)
    _, refuses, dead = at.replicas
    fleet.kill("m0")
    fleet.kill(dead.name)
    others = [n for n in fleet.names if fleet.net.seats[n].node and Incarnation(n) not in at.replicas]
    # its own ledger is kept by others, and it can write its claim down
    first = next(n for n in others if not {refuses, dead} & set(fleet.at(n).replicas))
    rival = next(n for n in others if n != first)
    if not sealed_first:
        fleet.net.cut(first, refuses.name)
    fleet.do(first, "claim", at)
    for _ in range(200):
        step = fleet.machines[first].claimant.claims[ledger].proposal.step
        if step is Step.SEALED or not sealed_first:
            break
        fleet.run(0.05)
    fleet.net.cut(first, refuses.name)
    fleet.run(10)
    assert fleet.machines[first].claimant.claims[ledger].proposal.step is (
        Step.DECIDING if sealed_first else Step.SEALING
    )
    fleet.do(rival, "claim", at)
    fleet.run(100)
    fleet.net.mend()
    fleet.run(1000)
    winners = [name for name in (first, rival) if fleet.news(name, Claimed)]
    assert winners == [first] if sealed_first else len(winners) == 1
    (winner,) = winners
    (loser,) = {first, rival} - {winner}
    (claimed,) = fleet.news(winner, Claimed)
    assert claimed.content.keys() == {"j/0", "j/1", "j/2"}
    assert [news.by for news in fleet.news(loser, ClaimFailed)] == [fleet.machines[winner].me]


def test_a_claim_outlives_its_claimant() -> None:
    """m1 has claimed m0's ledger and dies before it has taken over what it holds: m2 gets both."""
    fleet = opened(9)
    fleet.do("m0", "append", job_ledger(fleet, "m0"), put(3))
    fleet.run(5)
    first, second = fleet.at("m0"), fleet.at("m1")
    fleet.kill("m0")
    fleet.do("m1", "claim", first)
    fleet.run(20)
    assert fleet.news("m1", Claimed)[0].recorded_in == second.ledger
    fleet.kill("m1")
    by = next(n for n in fleet.names[2:] if Incarnation(n) not in (*first.replicas, *second.replicas))
    fleet.do(by, "claim", second)
    fleet.run(20)
    key = CLAIM + first.ledger
    assert fleet.news(by, Claimed)[0].content.keys() == {key}
    fleet.do(by, "claim", first)
    fleet.run(20)
    content = fleet.news(by, Claimed)[1].content
    assert content.keys() == {"j/0", "j/1", "j/2"}
    # once its own ledger has the jobs in the keys' places, the replicas let the tables go
    into = fleet.news(by, Claimed)[1].recorded_in
    fleet.do(by, "append", into, [*(Change(k, v) for k, v in content.items()), Change(key)])
    fleet.run(20)
    kept = [m.replica.segments.get((first.ledger, 0)) for m in fleet.machines.values()]
    assert all(
        s is None or s.released for s, n in zip(kept, fleet.names, strict=True) if fleet.net.seats[n].node
    )
    fleet.do(by, "claim", first)
    fleet.run(20)
    assert len(fleet.news(by, Claimed)) == 2 and fleet.news(by, ClaimFailed)[-1].by == fleet.machines[by].me


@pytest.mark.parametrize("mutant", [False, True])
def test_what_went_with_a_ledger_is_not_claimed_anew(mutant: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """m1 has claimed m0's ledger; m2 has claimed m1's, and with its key m0's. m1 is alive, and asks again."""
    if mutant:
        monkeypatch.setattr(Claimant, "_settle", lambda self, ledger, by: None)
    fleet = opened(9)
    fleet.do("m0", "append", job_ledger(fleet, "m0"), put(3))
    fleet.run(5)
    first, second = fleet.at("m0"), fleet.at("m1")
    fleet.do("m1", "claim", first)
    fleet.run(20)
    fleet.do("m2", "claim", second)
    fleet.run(20)
    fleet.do("m2", "claim", first)
    fleet.run(20)
    assert fleet.news("m1", Fenced) and len(fleet.news("m2", Claimed)) == 2
    fleet.do("m1", "create", second.ledger + "+1")
    fleet.do("m1", "claim", first)
    fleet.run(500)
    assert len(fleet.news("m1", Claimed)) == 1 + mutant
    assert mutant or fleet.news("m1", ClaimFailed)[-1].by == fleet.machines["m2"].me


def test_a_lease_acts_twice_where_a_ledger_does_not() -> None:
    """A process is stopped between its look and its act, longer than its lease lasts. By clocks alone it
    still acts when it goes on; by its ledger the intent is never kept."""
    fleet = opened(5)
    ledger, at, lease_until = job_ledger(fleet, "m0"), fleet.at("m0"), 3_000
    fleet.do("m0", "append", ledger, [Change("j/1", b"taken")])
    fleet.run(5)
    by_lease, by_ledger = [], []
    clock = 1_000
    m0_may_act = clock < lease_until  # m0 looks, and is stopped
    fleet.net.pause("m0")
    clock += 10_000
    if clock >= lease_until:
        by_lease.append("m1")
    fleet.do("m1", "claim", at)
    fleet.run(10_000)
    (claimed,) = fleet.news("m1", Claimed)
    assert claimed.content == {"j/1": b"taken"}
    intent = [Change("j/1", b"intent"), Change(CLAIM + ledger)]
    seq, _ = fleet.do("m1", "append", claimed.recorded_in, intent)
    fleet.run(5)
    by_ledger += ["m1"] * (fleet.news("m1", Committed)[-1].seq >= seq)
    fleet.net.resume("m0")  # what it does first is what it was about to do
    if m0_may_act:
        by_lease.append("m0")
    seq, _ = fleet.do("m0", "append", ledger, [Change("j/1", b"intent")])
    fleet.run(2_000)
    by_ledger += ["m0"] * (bool(seq) and fleet.news("m0", Committed)[-1].seq >= seq)
    assert by_lease == ["m1", "m0"] and by_ledger == ["m1"]


def test_memory_is_bounded_by_what_is_owed() -> None:
    fleet = opened(4)
    ledger = job_ledger(fleet, "m0")
    others = {m: m.replica.size for m in fleet.machines.values()}
    most = 0
    for turn in range(250):  # 100,000 jobs put and dropped
        keys = [f"j/{turn * 400 + i}" for i in range(400)]
        fleet.do("m0", "append", ledger, [Change(k, b"x" * 500) for k in keys])
        fleet.run(1)
        most = max(most, *(m.replica.size - before for m, before in others.items()))
        fleet.do("m0", "append", ledger, [Change(k) for k in keys])
        fleet.run(2)
    writer = fleet.machines["m0"].writers[ledger]
    assert most < 400 * 650
    assert {m.replica.size - before for m, before in others.items()} == {0}
    assert (writer.table, writer._tail, writer._tail_size) == ({}, [], 0)
    fleet.do("m0", "close", ledger)
    fleet.run(5)
    assert all(m.replica.size in (b, b - SEGMENT_SIZE) for m, b in others.items())
    assert not any(ledger == name for m in fleet.machines.values() for name, _ in m.replica.segments)


def test_a_full_replica_opens_nothing_and_keeps_what_it_has() -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules(memory_mb=1))
    writer, other = Incarnation("a", 1), Incarnation("b", 1)
    seq = 0
    answers = []
    for seq in range(1, 12):
        message = Append("l", 0, 0, seq, (Change(str(seq), b"x" * 100_000),))
        answers.append(replica.append(0, writer, message).answer)
    assert answers == [Answer.DONE] * 10 + [Answer.FULL] and replica.segments["l", 0].n == 10
    assert replica.append(0, other, Append("m", 0, 0, 1)).answer is Answer.FULL and len(replica.segments) == 1
    assert replica.append(0, writer, Append("l", 0, 0, 11, (Change("1"),))).answer is Answer.DONE
    assert replica.size < 1 << 20


def test_what_is_forgotten_is_never_made_anew() -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules())
    writer, claimant = Incarnation("a", 1), Incarnation("c", 1)
    replica.append(0, writer, Append("l", 0, 0, 1, (Change("x", b""),)))
    replica.close(0, writer, Close("l", 0))
    assert replica.append(0, writer, Append("l", 0, 0, 1)).answer is Answer.UNKNOWN
    assert replica.seal(0, claimant, Seal("l", 0, Ballot(1, claimant), writer)).answer is Answer.UNKNOWN
    assert replica.seal(0, claimant, Seal("l", 1, Ballot(1, claimant))).answer is Answer.UNKNOWN
    assert replica.seal(0, claimant, Seal("l", 1, Ballot(1, claimant), writer)).base == -1  # sealed and empty
    assert replica.append(0, writer, Append("l", 1, 0, 1)).answer is Answer.SEALED


def test_large_tables_move_and_are_read_in_pages() -> None:
    fleet = opened(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    for i in range(40):
        fleet.do("m0", "append", ledger, [Change(f"j/{i}", bytes([i]) * 60_000)])
        fleet.run(1)
    fleet.run(20)
    fleet.kill(at.replicas[1].name)
    fleet.run(1500)
    assert fleet.at("m0").segment == 1
    by = next(n for n in fleet.names[1:] if fleet.net.seats[n].node)
    fleet.kill("m0")
    fleet.do(by, "claim", at)
    fleet.run(200)
    (claimed,) = fleet.news(by, Claimed)
    assert claimed.content == {f"j/{i}": bytes([i]) * 60_000 for i in range(40)}


@pytest.mark.parametrize("replicas", [3, 5])
def test_the_share_lost_in_a_mass_death_is_the_formula_s(replicas: int) -> None:
    found = [mass_kill(30, replicas, 0.7, seed) for seed in range(5)]
    measured = sum(f.lost for f in found) / sum(f.ledgers for f in found)
    assert abs(measured - formula(30, replicas, 21)) < 0.1
    # by hand: three of four others, two of them dead, all three kept by them: at least two of three are dead
    assert formula(5, 3, 3) == pytest.approx(0.5)


@pytest.mark.parametrize(("replicas", "batch"), [(3, 1), (3, 20), (5, 1), (5, 20)])
def test_an_append_costs_one_round_for_a_turn(replicas: int, batch: int) -> None:
    messages, size, wait = price(replicas, batch, turns=20)
    assert messages == pytest.approx(2 * replicas / batch)
    assert size < replicas * (460 + 220 / batch) and wait < 0.8


@pytest.mark.parametrize("seed", range(12))
def test_random_load(seed: int) -> None:
    """Again: python -m ironbarrow.lab.fleet.random_ledgers --seeds 1 --from SEED"""
    counts = World(seed).run()
    assert counts["jobs"] > 50 and counts["Committed"] > 50


# Mutants: each invariant in the code, or of the observer, catches one.


def _claim_beside_the_old_writer() -> None:
    fleet = opened(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    by = [n for n in fleet.names[1:] if Incarnation(n) not in {Incarnation(k.name) for k in at.replicas}]
    fleet.do("m0", "append", ledger, put(2))
    fleet.net.cut("m0", at.replicas[0].name)
    fleet.do("m0", "append", ledger, put(2, 5))
    fleet.run(2)
    fleet.do(by[0], "claim", at)
    fleet.do(by[1], "claim", at)
    for i in range(10):
        fleet.run(0.3)
        fleet.do("m0", "append", ledger, put(1, 10 + i))
    fleet.run(300)


def two_writers(patch: pytest.MonkeyPatch) -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules())
    replica.append(0, Incarnation("a", 1), Append("l", 0, 0, 1))
    replica._apply(replica.segments["l", 0], Incarnation("b", 1), (Change("x", b""),))


def appends_under_a_seal(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "_sealed", lambda self, segment: False)
    _claim_beside_the_old_writer()


def fate_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proposal, "fate", lambda self: None)
    for _ in range(20):
        _claim_beside_the_old_writer()


def reads_the_lowest(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proposal, "_n", lambda promise: -promise.n)
    _claim_beside_the_old_writer()


def decides_before_its_key_is_kept(patch: pytest.MonkeyPatch) -> None:
    keyed = Claimant._keyed

    def careless(self, now, claim):
        _, actions = keyed(self, now, claim)
        return True, actions

    patch.setattr(Claimant, "_keyed", careless)
    _claim_beside_the_old_writer()


@pytest.mark.parametrize(
    ("mutant", "name"),
    [
        (two_writers, "one writer a segment"),
        (appends_under_a_seal, "no append under a seal"),
        (fate_ignored, "one fate a segment"),
        (reads_the_lowest, "what counted is in the content"),
        (decides_before_its_key_is_kept, "one holder"),
    ],
)
def test_each_invariant_catches_its_mutant(mutant, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    _claim_beside_the_old_writer()
    with pytest.raises(InvariantError, match=f"^{name}"):
        mutant(monkeypatch)
