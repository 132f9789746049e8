"""Replicated ledgers: appends, replacement of replicas, recovery and fencing, on a simulated network."""

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
from ironbarrow.fleet.ledgers.messages import Append, Close, ReplyStatus, Seal
from ironbarrow.fleet.ledgers.proposal import Proposal, Step
from ironbarrow.fleet.ledgers.recovery import LedgerRecovery
from ironbarrow.fleet.ledgers.replica import SEGMENT_OVERHEAD, Replica
from ironbarrow.fleet.records import CLAIM
from ironbarrow.lab.fleet.ledger_costs import LedgerFleet, append_cost, expected_lost_share, mass_kill
from ironbarrow.lab.fleet.random_ledgers import LedgerSimulation
from ironbarrow.runtime.clock import MS


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


class Fleet(LedgerFleet):
    """Adds calls, events and locations by member name to the fleet of the laboratory."""

    def call(self, name: str, method: str, *args):
        """Calls a method of a member's machine; its result."""
        results = []

        def order(now):
            results.append(getattr(self.machines[name], method)(now, *args))
            return results[0][1] if isinstance(results[0], tuple) else results[0]

        self.run_on(name, order)
        return results[0] if results else None

    def events(self, name: str, kind: type) -> list:
        return [event for event in self.net.peers[name].events if isinstance(event, kind)]

    def location(self, name: str) -> LedgerLocation:
        """The location of a member's first ledger, as it publishes it."""
        return self.membership.members[name].card.ledgers[0]

    def run(self, ms: float) -> None:
        self.net.run(round(ms * MS))


def job_ledger(fleet: Fleet, name: str) -> str:
    return f"jobs/{fleet.machines[name].me}"


def puts(n: int, first: int = 0) -> list[Change]:
    return [Change(f"j/{i}", b"x" * (i + 1)) for i in range(first, first + n)]


def open_fleet(n: int, replicas: int = 3, **more) -> Fleet:
    """A fleet whose members have opened their job ledgers."""
    fleet = Fleet(n, replicas, **more)
    fleet.create()
    return fleet


@pytest.mark.parametrize(("n", "replicas"), [(2, 3), (3, 3), (4, 3), (9, 3), (3, 5), (9, 5)])
def test_a_claim_gets_all_committed_changes(n: int, replicas: int) -> None:
    fleet = open_fleet(n, replicas)
    ledger = job_ledger(fleet, "m0")
    seq, _ = fleet.call("m0", "append", ledger, puts(20))
    assert seq == 20
    fleet.run(5)
    seq, _ = fleet.call("m0", "append", ledger, [Change("j/3")])
    fleet.run(5)
    assert [event.seq for event in fleet.events("m0", Committed)][-1] == 21
    at = fleet.location("m0")
    assert len(at.replicas) == (1 if n == 2 else min(replicas, n)) and (
        n <= replicas or Incarnation("m0") not in at.replicas
    )
    if n == 2:
        return  # the claimant's own ledger has lost its only replica: it can't commit the key of a claim
    fleet.kill("m0")
    fleet.call("m1", "claim", at)
    fleet.run(50)
    (claimed,) = fleet.events("m1", Claimed)
    assert claimed.content == {c.key: c.value for c in puts(20) if c.key != "j/3"}
    fleet.call("m2", "claim", at)
    fleet.run(50)
    (lost,) = fleet.events("m2", ClaimFailed)
    assert lost.by == fleet.machines["m1"].me


def test_a_writer_resumed_after_a_claim_is_fenced() -> None:
    fleet = open_fleet(5)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    fleet.call("m0", "append", ledger, puts(3))
    fleet.run(5)
    fleet.net.pause("m0")
    fleet.call("m1", "claim", at)
    fleet.run(100)
    assert fleet.events("m1", Claimed)[0].content.keys() == {"j/0", "j/1", "j/2"}
    fleet.net.resume("m0")
    fleet.call("m0", "append", ledger, puts(1, 7))
    fleet.run(100)
    assert fleet.events("m0", Fenced) == [Fenced(ledger, fleet.machines["m1"].me)]
    assert fleet.events("m0", Committed)[-1].seq == 3
    assert fleet.call("m0", "append", ledger, puts(1))[0] == 0


def test_a_fenced_writer_still_tells_where_its_job_ledger_is() -> None:
    # guards against a ledger that nobody can open again once its claimant has ended before its decision
    fleet = open_fleet(5)
    at = fleet.location("m0")
    fleet.net.pause("m0")
    fleet.call("m1", "claim", at)
    fleet.run(100)
    fleet.net.resume("m0")
    fleet.run(100)
    assert fleet.events("m0", Fenced)
    assert fleet.location("m0") == at


def test_a_lost_replica_is_replaced_without_losing_changes() -> None:
    fleet = open_fleet(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    fleet.call("m0", "append", ledger, puts(500))
    fleet.run(5)
    fleet.kill(at.replicas[0].name)
    fleet.run(1000)
    moved = fleet.events("m0", Moved)[-1]
    assert (
        moved.at.segment == 1 and at.replicas[0] not in moved.at.replicas and fleet.location("m0") == moved.at
    )
    seq, _ = fleet.call("m0", "append", ledger, puts(2, 900))
    fleet.run(5)
    assert fleet.events("m0", Committed)[-1].seq == seq == 502
    by = next(n for n in fleet.names[1:] if fleet.net.peers[n].node)
    for start in (at, moved.at):  # a recovery that starts at the old location finds the new one
        fleet.call(by, "claim", start)
        fleet.run(200)
    (claimed,) = fleet.events(by, Claimed)
    assert len(claimed.content) == 502


def test_without_a_majority_nothing_is_committed_and_it_is_reported() -> None:
    fleet = open_fleet(4)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    for replica in at.replicas[:2]:
        fleet.net.cut("m0", replica.name)
    fleet.call("m0", "append", ledger, puts(1))
    fleet.run(2000)
    assert fleet.events("m0", NoMajority) == [NoMajority(ledger)] and not fleet.events("m0", Committed)
    fleet.net.heal()
    fleet.run(500)
    assert fleet.events("m0", NoMajority)[-1].restored and fleet.events("m0", Committed)[-1].seq == 1


def test_a_new_leader_has_a_higher_epoch_and_fences_the_old_one() -> None:
    fleet = open_fleet(5)
    fleet.call("m0", "create", "rollout/r")
    fleet.run(5)
    fleet.call("m0", "append", "rollout/r", puts(4))
    fleet.run(5)
    at = next(a for a in fleet.membership.members["m0"].card.ledgers if a.ledger == "rollout/r")
    fleet.call("m1", "lead", at)
    fleet.run(50)
    moved = fleet.events("m1", Moved)[-1]
    assert moved.at.segment == 1 and len(moved.content) == 4
    assert fleet.events("m0", Fenced) == [Fenced("rollout/r", fleet.machines["m1"].me)]
    seq, _ = fleet.call("m1", "append", "rollout/r", puts(1, 30))
    fleet.run(5)
    assert Committed("rollout/r", seq) in fleet.events("m1", Committed)


@pytest.mark.parametrize("sealed_first", [False, True], ids=["seal refused", "accept refused"])
def test_a_claim_continues_if_one_replica_is_dead_and_another_has_promised_a_rival(
    sealed_first: bool,
) -> None:
    """One promise, one refusal and one missing reply are no majority, so the claim must start another
    round."""
    fleet = open_fleet(9)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    fleet.call("m0", "append", ledger, puts(3))
    fleet.run(5)
    _, refuses, dead = at.replicas
    fleet.kill("m0")
    fleet.kill(dead.name)
    others = [n for n in fleet.names if fleet.net.peers[n].node and Incarnation(n) not in at.replicas]
    # the replicas of its own ledger are other members, so it can commit the key of its claim
    first = next(n for n in others if not {refuses, dead} & set(fleet.location(n).replicas))
    rival = next(n for n in others if n != first)
    if not sealed_first:
        fleet.net.cut(first, refuses.name)
    fleet.call(first, "claim", at)
    for _ in range(200):
        step = fleet.machines[first].recovery.claims[ledger].proposal.step
        if step is Step.SEALED or not sealed_first:
            break
        fleet.run(0.05)
    fleet.net.cut(first, refuses.name)
    fleet.run(10)
    assert fleet.machines[first].recovery.claims[ledger].proposal.step is (
        Step.DECIDING if sealed_first else Step.SEALING
    )
    fleet.call(rival, "claim", at)
    fleet.run(100)
    fleet.net.heal()
    fleet.run(1000)
    winners = [name for name in (first, rival) if fleet.events(name, Claimed)]
    assert winners == [first] if sealed_first else len(winners) == 1
    (winner,) = winners
    (loser,) = {first, rival} - {winner}
    (claimed,) = fleet.events(winner, Claimed)
    assert claimed.content.keys() == {"j/0", "j/1", "j/2"}
    assert [event.by for event in fleet.events(loser, ClaimFailed)] == [fleet.machines[winner].me]


def test_a_claim_is_inherited_from_a_dead_claimant() -> None:
    """m1 has claimed m0's ledger and dies before it has adopted the content: the member that claims m1's
    ledger gets both."""
    fleet = open_fleet(9)
    fleet.call("m0", "append", job_ledger(fleet, "m0"), puts(3))
    fleet.run(5)
    first, second = fleet.location("m0"), fleet.location("m1")
    fleet.kill("m0")
    fleet.call("m1", "claim", first)
    fleet.run(20)
    assert fleet.events("m1", Claimed)[0].recorded_in == second.ledger
    fleet.kill("m1")
    by = next(n for n in fleet.names[2:] if Incarnation(n) not in (*first.replicas, *second.replicas))
    fleet.call(by, "claim", second)
    fleet.run(20)
    key = CLAIM + first.ledger
    assert fleet.events(by, Claimed)[0].content.keys() == {key}
    fleet.call(by, "claim", first)
    fleet.run(20)
    content = fleet.events(by, Claimed)[1].content
    assert content.keys() == {"j/0", "j/1", "j/2"}
    # once the jobs are in its own ledger in place of the key, the replicas release the tables
    recorded_in = fleet.events(by, Claimed)[1].recorded_in
    fleet.call(by, "append", recorded_in, [*(Change(k, v) for k, v in content.items()), Change(key)])
    fleet.run(20)
    stored = [m.replica.segments.get((first.ledger, 0)) for m in fleet.machines.values()]
    assert all(
        s is None or s.released for s, n in zip(stored, fleet.names, strict=True) if fleet.net.peers[n].node
    )
    fleet.call(by, "claim", first)
    fleet.run(20)
    assert (
        len(fleet.events(by, Claimed)) == 2 and fleet.events(by, ClaimFailed)[-1].by == fleet.machines[by].me
    )


@pytest.mark.parametrize("mutant", [False, True])
def test_a_claim_lost_with_its_ledger_is_not_started_again(
    mutant: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """m1 has claimed m0's ledger; m2 has claimed m1's ledger and, with the key in it, m0's. m1 is still alive
    and claims m0's ledger again, which must fail: otherwise both would own its jobs, as the mutant shows."""
    if mutant:
        monkeypatch.setattr(LedgerRecovery, "_record_settled", lambda self, ledger, by: None)
    fleet = open_fleet(9)
    fleet.call("m0", "append", job_ledger(fleet, "m0"), puts(3))
    fleet.run(5)
    first, second = fleet.location("m0"), fleet.location("m1")
    fleet.call("m1", "claim", first)
    fleet.run(20)
    fleet.call("m2", "claim", second)
    fleet.run(20)
    fleet.call("m2", "claim", first)
    fleet.run(20)
    assert fleet.events("m1", Fenced) and len(fleet.events("m2", Claimed)) == 2
    fleet.call("m1", "create", second.ledger + "+1")
    fleet.call("m1", "claim", first)
    fleet.run(500)
    assert len(fleet.events("m1", Claimed)) == 1 + mutant
    assert mutant or fleet.events("m1", ClaimFailed)[-1].by == fleet.machines["m2"].me


def test_a_paused_lease_holder_acts_twice_but_a_fenced_writer_does_not() -> None:
    """A process is paused between its check and its action for longer than its lease lasts. A lease alone
    lets it act when it resumes; with a ledger its intent is never committed."""
    fleet = open_fleet(5)
    ledger, at, lease_until = job_ledger(fleet, "m0"), fleet.location("m0"), 3_000
    fleet.call("m0", "append", ledger, [Change("j/1", b"taken")])
    fleet.run(5)
    by_lease, by_ledger = [], []
    clock = 1_000
    m0_may_act = clock < lease_until  # m0 checks its lease, and is paused
    fleet.net.pause("m0")
    clock += 10_000
    if clock >= lease_until:
        by_lease.append("m1")
    fleet.call("m1", "claim", at)
    fleet.run(10_000)
    (claimed,) = fleet.events("m1", Claimed)
    assert claimed.content == {"j/1": b"taken"}
    intent = [Change("j/1", b"intent"), Change(CLAIM + ledger)]
    seq, _ = fleet.call("m1", "append", claimed.recorded_in, intent)
    fleet.run(5)
    by_ledger += ["m1"] * (fleet.events("m1", Committed)[-1].seq >= seq)
    fleet.net.resume("m0")  # it continues with the action that it was about to take
    if m0_may_act:
        by_lease.append("m0")
    seq, _ = fleet.call("m0", "append", ledger, [Change("j/1", b"intent")])
    fleet.run(2_000)
    by_ledger += ["m0"] * (bool(seq) and fleet.events("m0", Committed)[-1].seq >= seq)
    assert by_lease == ["m1", "m0"] and by_ledger == ["m1"]


def test_replica_memory_is_bounded_by_the_open_jobs() -> None:
    fleet = open_fleet(4)
    ledger = job_ledger(fleet, "m0")
    others = {m: m.replica.size for m in fleet.machines.values()}
    most = 0
    for batch in range(250):  # 100,000 jobs written and dropped
        keys = [f"j/{batch * 400 + i}" for i in range(400)]
        fleet.call("m0", "append", ledger, [Change(k, b"x" * 500) for k in keys])
        fleet.run(1)
        most = max(most, *(m.replica.size - before for m, before in others.items()))
        fleet.call("m0", "append", ledger, [Change(k) for k in keys])
        fleet.run(2)
    writer = fleet.machines["m0"].writers[ledger]
    assert most < 400 * 650
    assert {m.replica.size - before for m, before in others.items()} == {0}
    assert (writer.table, writer._tail, writer._tail_bytes) == ({}, [], 0)
    fleet.call("m0", "close", ledger)
    fleet.run(5)
    assert all(m.replica.size in (b, b - SEGMENT_OVERHEAD) for m, b in others.items())
    assert not any(ledger == name for m in fleet.machines.values() for name, _ in m.replica.segments)


def test_a_full_replica_refuses_growth_and_keeps_its_segments() -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules(memory_mb=1))
    writer, other = Incarnation("a", 1), Incarnation("b", 1)
    seq = 0
    answers = []
    for seq in range(1, 12):
        message = Append("l", 0, 0, seq, (Change(str(seq), b"x" * 100_000),))
        answers.append(replica.append(0, writer, message).status)
    assert answers == [ReplyStatus.OK] * 10 + [ReplyStatus.FULL] and replica.segments["l", 0].last_index == 10
    assert (
        replica.append(0, other, Append("m", 0, 0, 1)).status is ReplyStatus.FULL
        and len(replica.segments) == 1
    )
    assert replica.append(0, writer, Append("l", 0, 0, 11, (Change("1"),))).status is ReplyStatus.OK
    assert replica.size < 1 << 20


def test_a_deleted_segment_is_never_created_again() -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules())
    writer, claimant = Incarnation("a", 1), Incarnation("c", 1)
    replica.append(0, writer, Append("l", 0, 0, 1, (Change("x", b""),)))
    replica.close(0, writer, Close("l", 0))
    assert replica.append(0, writer, Append("l", 0, 0, 1)).status is ReplyStatus.UNKNOWN
    assert replica.seal(0, claimant, Seal("l", 0, Ballot(1, claimant), writer)).status is ReplyStatus.UNKNOWN
    assert replica.seal(0, claimant, Seal("l", 1, Ballot(1, claimant))).status is ReplyStatus.UNKNOWN
    # sealed and empty
    assert replica.seal(0, claimant, Seal("l", 1, Ballot(1, claimant), writer)).snapshot_size == -1
    assert replica.append(0, writer, Append("l", 1, 0, 1)).status is ReplyStatus.SEALED


def test_large_tables_move_and_are_read_in_pages() -> None:
    fleet = open_fleet(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    for i in range(40):
        fleet.call("m0", "append", ledger, [Change(f"j/{i}", bytes([i]) * 60_000)])
        fleet.run(1)
    fleet.run(20)
    fleet.kill(at.replicas[1].name)
    fleet.run(1500)
    assert fleet.location("m0").segment == 1
    by = next(n for n in fleet.names[1:] if fleet.net.peers[n].node)
    fleet.kill("m0")
    fleet.call(by, "claim", at)
    fleet.run(200)
    (claimed,) = fleet.events(by, Claimed)
    assert claimed.content == {f"j/{i}": bytes([i]) * 60_000 for i in range(40)}


@pytest.mark.parametrize("replicas", [3, 5])
def test_the_share_of_ledgers_lost_in_a_mass_failure_matches_the_formula(replicas: int) -> None:
    found = [mass_kill(30, replicas, 0.7, seed) for seed in range(5)]
    measured = sum(f.lost for f in found) / sum(f.ledgers for f in found)
    assert abs(measured - expected_lost_share(30, replicas, 21)) < 0.1
    # by hand: three replicas of four members, two of which are dead: at least two of three are dead in half
    # of the cases
    assert expected_lost_share(5, 3, 3) == pytest.approx(0.5)


@pytest.mark.parametrize(("replicas", "batch"), [(3, 1), (3, 20), (5, 1), (5, 20)])
def test_changes_appended_together_cost_one_round_trip(replicas: int, batch: int) -> None:
    messages, size, wait = append_cost(replicas, batch, turns=20)
    assert messages == pytest.approx(2 * replicas / batch)
    assert size < replicas * (460 + 220 / batch) and wait < 0.8


@pytest.mark.parametrize("seed", range(12))
def test_random_load(seed: int) -> None:
    """Reproduce with: python -m ironbarrow.lab.fleet.random_ledgers --seeds 1 --from SEED"""
    counts = LedgerSimulation(seed).run()
    assert counts["jobs"] > 50 and counts["Committed"] > 50


# Mutants: each invariant, in the code or in the observer, must detect one.


def _claim_while_the_writer_appends() -> None:
    fleet = open_fleet(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    by = [n for n in fleet.names[1:] if Incarnation(n) not in {Incarnation(k.name) for k in at.replicas}]
    fleet.call("m0", "append", ledger, puts(2))
    fleet.net.cut("m0", at.replicas[0].name)
    fleet.call("m0", "append", ledger, puts(2, 5))
    fleet.run(2)
    fleet.call(by[0], "claim", at)
    fleet.call(by[1], "claim", at)
    for i in range(10):
        fleet.run(0.3)
        fleet.call("m0", "append", ledger, puts(1, 10 + i))
    fleet.run(300)


def two_writers(patch: pytest.MonkeyPatch) -> None:
    replica = Replica(Incarnation("k", 1), lambda incarnation: True, LedgerRules())
    replica.append(0, Incarnation("a", 1), Append("l", 0, 0, 1))
    replica._apply(replica.segments["l", 0], Incarnation("b", 1), (Change("x", b""),))


def appends_to_a_sealed_segment(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "_is_sealed", lambda self, segment: False)
    _claim_while_the_writer_appends()


def accepted_decision_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Proposal, "accepted_decision", lambda self: None)
    for _ in range(20):
        _claim_while_the_writer_appends()


def reads_the_shortest_table(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proposal, "_last_index_of", lambda promise: -promise.last_index)
    _claim_while_the_writer_appends()


def decides_before_its_key_is_committed(patch: pytest.MonkeyPatch) -> None:
    ensure_key = LedgerRecovery._ensure_key

    def without_commit(self, now, claim):
        _, actions = ensure_key(self, now, claim)
        return True, actions

    patch.setattr(LedgerRecovery, "_ensure_key", without_commit)
    _claim_while_the_writer_appends()


@pytest.mark.parametrize(
    ("mutant", "name"),
    [
        (two_writers, "one writer a segment"),
        (appends_to_a_sealed_segment, "no append under a seal"),
        (accepted_decision_ignored, "one fate a segment"),
        (reads_the_shortest_table, "what counted is in the content"),
        (decides_before_its_key_is_committed, "one holder"),
    ],
)
def test_each_invariant_detects_its_mutant(mutant, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    _claim_while_the_writer_appends()
    with pytest.raises(InvariantError, match=f"^{name}"):
        mutant(monkeypatch)
