"""Members on the simulated network: who is held for what, and how soon."""

from collections.abc import Callable

import pytest

from ironbarrow.fleet.api import Card, Health, Life, MemberChanged
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.lab.fleet.net import SimulatedNet
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

SITES = ("x", "y", "z")


@pytest.fixture(autouse=True)
def fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(INVARIANTS, "fatal", True)


class Crowd:
    """So many members, named m0, m1, ..., over three sites in turn."""

    def __init__(self, count: int, seed: int = 1, rules: MemberRules | None = None) -> None:
        self.rules = rules or MemberRules()
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.machines: dict[str, MemberMachine] = {}
        self.names = [f"m{i}" for i in range(count)]
        for i, name in enumerate(self.names):
            self.net.add(name, SITES[i % 3], self._build)
            self.net.start(name)

    def _build(self, seat, node) -> None:
        card = Card(node.life, f"{seat.name}:1", seat.site, version=1)
        seeds = [name for name in self.names[:3] if name != seat.name]
        machine = MemberMachine(card, self.rules, seeds, self.net.clock.now())
        self.machines[seat.name] = machine
        node.add([machine])

    def running(self) -> list[str]:
        return [name for name in self.names if self.net.seats[name].node is not None]

    def healths(self, of: str) -> dict[str, Health | None]:
        """What the others that run hold the present life of a member for."""
        life = self.machines[of].me.life
        return {name: self.machines[name].health(life) for name in self.running() if name != of}

    def all_alive(self) -> bool:
        return all(set(self.healths(name).values()) == {Health.ALIVE} for name in self.running())

    def until(self, holds: Callable[[], bool], limit: int) -> int:
        """ns until something holds; an AssertionError after the limit."""
        start = self.net.clock.now()
        while not holds():
            assert self.net.clock.now() - start < limit, "not in time"
            self.net.run(20 * MS)
        return self.net.clock.now() - start

    def deaths(self) -> int:
        """Deaths that members that run have been told of."""
        return sum(
            isinstance(news, MemberChanged) and news.member.health is Health.DEAD
            for seat in self.net.seats.values()
            for news in seat.told
        )


def crowd(count: int, seed: int = 1) -> Crowd:
    """A crowd in which everybody knows everybody."""
    made = Crowd(count, seed)
    made.until(made.all_alive, 20 * SECOND)
    made.net.run(2 * SECOND)
    assert made.deaths() == 0
    return made


@pytest.mark.parametrize(("count", "bound_s"), [(3, 2.5), (10, 3.0), (30, 3.5)])
def test_a_death_is_known_to_all_in_time(count: int, bound_s: float) -> None:
    for seed in (1, 2, 3):
        made = crowd(count, seed)
        made.net.crash("m1")
        took = made.until(
            lambda made=made: set(made.healths("m1").values()) == {Health.DEAD}, int(bound_s * SECOND)
        )
        assert took > made.rules.suspect_for // 3
        made.net.run(5 * SECOND)
        assert made.deaths() == count - 1  # its own, once at each


@pytest.mark.parametrize("both", [False, True])
def test_a_cut_between_two_kills_nobody_where_a_third_sees_both(both: bool) -> None:
    made = crowd(3)
    made.net.cut("m0", "m1", both=both)
    made.net.run(60 * SECOND)
    assert made.deaths() == 0
    made.net.mend()
    made.net.run(2 * SECOND)
    assert made.all_alive()


def test_a_cut_between_two_sites_kills_nobody_and_a_lost_site_is_told_from_the_rest() -> None:
    made = crowd(9)
    made.net.cut_sites("x", "y")
    made.net.run(20 * SECOND)
    assert made.deaths() == 0
    made.net.cut_sites("x", "z")
    made.net.run(5 * SECOND)
    assert {name: m.sites_out_of_sight() for name, m in made.machines.items()} == {
        name: ["y", "z"] if made.net.seats[name].site == "x" else ["x"] for name in made.names
    }
    made.net.mend()
    made.until(made.all_alive, 10 * SECOND)


@pytest.mark.parametrize(("pause_s", "dies"), [(0.5, False), (10, True)])
def test_a_pause_is_not_a_death_unless_it_is_long(pause_s: float, dies: bool) -> None:
    made = crowd(10)
    made.net.pause("m4")
    made.net.run(int(pause_s * SECOND))
    assert (made.deaths() == 9) == dies
    assert dies or made.deaths() == 0
    made.net.resume("m4")
    made.until(lambda: set(made.healths("m4").values()) == {Health.ALIVE}, 3 * SECOND)
    assert (made.machines["m4"].refuted > 0) or not dies
    assert not any(isinstance(n, MemberChanged) and n.member.health is Health.DEAD
                   for n in made.net.seats["m4"].told)  # fmt: skip
    made.net.run(3 * SECOND)
    assert made.all_alive()


def test_one_that_flaps_comes_back_each_time() -> None:
    made = crowd(10)
    for _ in range(10):
        made.net.pause("m2")
        made.net.run(1500 * MS)
        made.net.resume("m2")
        made.net.run(1500 * MS)
    made.until(made.all_alive, 3 * SECOND)
    assert all(
        news.member.card.life.name == "m2"
        for seat in made.net.seats.values()
        for news in seat.told
        if isinstance(news, MemberChanged) and news.member.health is Health.DEAD
    )


@pytest.mark.parametrize("count", [6, 30])
def test_sites_cut_off_from_each_other_come_together_again(count: int) -> None:
    made = crowd(count)
    for other in "yz":
        made.net.cut_sites("x", other)
    made.net.run(5 * SECOND)
    third = count // 3
    assert made.deaths() == 2 * third * 2 * third
    made.net.mend()
    made.until(made.all_alive, 10 * SECOND)
    made.net.run(5 * SECOND)
    assert made.deaths() == 2 * third * 2 * third  # none died of what the others had thought
    assert made.all_alive()


def test_nobody_dies_of_five_in_a_hundred_messages_lost() -> None:
    for seed in (1, 2, 3):
        made = crowd(10, seed)
        made.net.usual.lost = 0.05
        made.net.run(60 * SECOND)
        assert made.deaths() == 0


def test_a_restart_is_another_life_and_the_earlier_one_ends_first() -> None:
    made = crowd(6)
    before = made.machines["m3"].me.life
    made.net.crash("m3")
    made.net.run(100 * MS)
    after = made.net.start("m3")
    made.until(lambda: set(made.healths("m3").values()) == {Health.ALIVE}, 3 * SECOND)
    for name in made.running():
        if name != "m3":
            assert made.machines[name].health(before) is Health.DEAD
            told = [
                (n.member.card.life, n.member.health)
                for n in made.net.seats[name].told
                if isinstance(n, MemberChanged) and n.member.card.life.name == "m3"
            ]
            assert told.index((before, Health.DEAD)) == told.index((after, Health.ALIVE)) - 1
    assert before == Life("m3", before.start)
    assert made.all_alive()


def test_one_that_leaves_is_not_dead() -> None:
    made = crowd(10)
    made.net.order("m5", lambda node, now: node.carry_out(made.machines["m5"].leave(now)))
    made.net.run(500 * MS)
    made.net.crash("m5")
    made.until(lambda: set(made.healths("m5").values()) == {Health.LEFT}, 2 * SECOND)
    made.net.run(3 * SECOND)
    assert made.deaths() == 0
