"""Ledgers: one writer, kept by others, had by one that follows."""

from collections.abc import Iterator

import pytest

from ironbarrow.fleet.api import Change, Claimed, ClaimLost, Fenced, Kept, LedgerAt, Life, Moved, NoMajority
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.lab.fleet.net import SimulatedNet
from ironbarrow.lab.fleet.still import Everyone, StillMembers
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


class Fleet:
    """Members on a simulated network that do nothing but keep ledgers."""

    def __init__(self, n: int, keepers: int = 3, sites: int = 3, seed: int = 1) -> None:
        self.net = SimulatedNet(SimulatedClock(), Codec(LedgerMachine.handles), seed)
        self.everyone = Everyone()
        self.machines: dict[str, LedgerMachine] = {}
        self.rules = LedgerRules(keepers=keepers)
        self.names = [f"m{i}" for i in range(n)]

        def build(seat, node):
            self.everyone.started(node.life, seat.site)
            view = StillMembers(self.everyone, node.life)
            self.machines[seat.name] = machine = LedgerMachine(node.life, view, self.rules)
            node.add([machine])

        for i, name in enumerate(self.names):
            self.net.add(name, f"s{i % sites}", build)
            self.net.start(name)

    def do(self, name: str, what: str, *args):
        """Gives an order; its result."""
        found = []

        def order(node, now):
            result = getattr(self.machines[name], what)(now, *args)
            found.append(result)
            node.carry_out(result[1] if isinstance(result, tuple) else result)

        self.net.order(name, order)
        return found[0]

    def news(self, name: str, kind: type) -> list:
        return [news for news in self.net.seats[name].told if isinstance(news, kind)]

    def at(self, name: str) -> LedgerAt:
        """Where the first ledger of a member is, by its card."""
        return self.everyone.members[name].card.ledgers[0]

    def kill(self, name: str) -> None:
        self.net.crash(name)
        self.everyone.ended(name)

    def run(self, ms: float) -> None:
        self.net.run(round(ms * MS))


def job_ledger(fleet: Fleet, name: str) -> str:
    return f"jobs/{fleet.machines[name].me}"


def put(n: int, first: int = 0) -> list[Change]:
    return [Change(f"j/{i}", b"x" * (i + 1)) for i in range(first, first + n)]


def opened(n: int, keepers: int = 3, **more) -> Fleet:
    """A fleet whose members have their job ledgers."""
    fleet = Fleet(n, keepers, **more)
    for name in fleet.names:
        fleet.do(name, "create", job_ledger(fleet, name))
    fleet.run(5)
    return fleet


@pytest.mark.parametrize(("n", "keepers"), [(2, 3), (3, 3), (4, 3), (9, 3), (3, 5), (9, 5)])
def test_what_counted_is_had_by_whoever_claims(n: int, keepers: int) -> None:
    fleet = opened(n, keepers)
    ledger = job_ledger(fleet, "m0")
    seq, _ = fleet.do("m0", "append", ledger, put(20))
    assert seq == 20
    fleet.run(5)
    seq, _ = fleet.do("m0", "append", ledger, [Change("j/3")])
    fleet.run(5)
    assert [news.seq for news in fleet.news("m0", Kept)][-1] == 21
    at = fleet.at("m0")
    assert len(at.keepers) == (1 if n == 2 else min(keepers, n)) and (
        n <= keepers or Life("m0") not in at.keepers
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
    (lost,) = fleet.news("m2", ClaimLost)
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
    assert fleet.news("m0", Kept)[-1].seq == 3
    assert fleet.do("m0", "append", ledger, put(1))[0] == 0


def test_a_lost_keeper_is_replaced_and_nothing_is_open_in_between() -> None:
    fleet = opened(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    fleet.do("m0", "append", ledger, put(500))
    fleet.run(5)
    fleet.kill(at.keepers[0].name)
    fleet.run(1000)
    moved = fleet.news("m0", Moved)[-1]
    assert moved.at.segment == 1 and at.keepers[0] not in moved.at.keepers and fleet.at("m0") == moved.at
    seq, _ = fleet.do("m0", "append", ledger, put(2, 900))
    fleet.run(5)
    assert fleet.news("m0", Kept)[-1].seq == seq == 502
    by = next(n for n in fleet.names[1:] if fleet.net.seats[n].node)
    for start in (at, moved.at):  # an old card leads on
        fleet.do(by, "claim", start)
        fleet.run(200)
    (claimed,) = fleet.news(by, Claimed)
    assert len(claimed.content) == 502


def test_without_a_majority_nothing_counts_and_that_is_told() -> None:
    fleet = opened(4)
    ledger, at = job_ledger(fleet, "m0"), fleet.at("m0")
    for keeper in at.keepers[:2]:
        fleet.net.cut("m0", keeper.name)
    fleet.do("m0", "append", ledger, put(1))
    fleet.run(2000)
    assert fleet.news("m0", NoMajority) == [NoMajority(ledger)] and not fleet.news("m0", Kept)
    fleet.net.mend()
    fleet.run(500)
    assert fleet.news("m0", NoMajority)[-1].back and fleet.news("m0", Kept)[-1].seq == 1


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
    assert Kept("rollout/r", seq) in fleet.news("m1", Kept)
