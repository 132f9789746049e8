"""The membership protocol on the simulated network: which health members see, and how soon."""

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path
from types import ModuleType

import pytest

from ironbarrow.config.units import ms
from ironbarrow.fleet.api import (
    NEVER,
    Card,
    Health,
    Incarnation,
    LedgerLocation,
    MemberChanged,
    Message,
    Send,
)
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.members import machine as machine_module
from ironbarrow.fleet.members import merge as merge_module
from ironbarrow.fleet.members.messages import RANK_BY_HEALTH, VERSION_LIMIT, Ack, Ping, Rumour, RumourBatch
from ironbarrow.lab.fleet.net import SimulatedNet
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

SITES = ("x", "y", "z")


@pytest.fixture(autouse=True)
def fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(INVARIANTS, "fatal", True)


class SimulatedFleet:
    """``count`` members named m0, m1, ..., distributed over three sites."""

    def __init__(self, count: int, seed: int = 1, rules: MemberRules | None = None) -> None:
        self.rules = rules or MemberRules()
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.machines: dict[str, MemberMachine] = {}
        self.names = [f"m{i}" for i in range(count)]
        for i, name in enumerate(self.names):
            self.net.add(name, SITES[i % 3], self._build)
            self.net.start(name)

    def _build(self, seat, node) -> None:
        card = Card(node.incarnation, f"{seat.name}:1", seat.site, version=1)
        seeds = [name for name in self.names[:3] if name != seat.name]
        machine = MemberMachine(card, self.rules, seeds, self.net.clock.now())
        self.machines[seat.name] = machine
        node.add([machine])

    def running(self) -> list[str]:
        return [name for name in self.names if self.net.peers[name].node is not None]

    def healths(self, of: str) -> dict[str, Health | None]:
        """The health of a member's current incarnation as each other running member sees it."""
        incarnation = self.machines[of].me.incarnation
        return {name: self.machines[name].health(incarnation) for name in self.running() if name != of}

    def all_alive(self) -> bool:
        return all(set(self.healths(name).values()) == {Health.ALIVE} for name in self.running())

    def run_until(self, holds: Callable[[], bool], limit: int) -> int:
        """Runs until a condition holds; returns the time that took, ns. An AssertionError after ``limit``."""
        start = self.net.clock.now()
        while not holds():
            assert self.net.clock.now() - start < limit, "the condition did not hold in time"
            self.net.run(20 * MS)
        return self.net.clock.now() - start

    def death_events(self) -> int:
        """The number of death events at all running members."""
        return sum(
            isinstance(event, MemberChanged) and event.member.health is Health.DEAD
            for seat in self.net.peers.values()
            for event in seat.events
        )


def converged_fleet(count: int, seed: int = 1) -> SimulatedFleet:
    """A fleet in which all members know each other."""
    fleet = SimulatedFleet(count, seed)
    fleet.run_until(fleet.all_alive, 20 * SECOND)
    fleet.net.run(2 * SECOND)
    assert fleet.death_events() == 0
    return fleet


@pytest.mark.parametrize(("count", "bound_s"), [(3, 2.5), (10, 3.0), (30, 3.5)])
def test_a_death_is_known_to_all_in_time(count: int, bound_s: float) -> None:
    for seed in (1, 2, 3):
        fleet = converged_fleet(count, seed)
        fleet.net.crash("m1")
        duration = fleet.run_until(
            lambda fleet=fleet: set(fleet.healths("m1").values()) == {Health.DEAD}, int(bound_s * SECOND)
        )
        assert duration > fleet.rules.suspect_for // 3
        fleet.net.run(5 * SECOND)
        assert fleet.death_events() == count - 1  # only m1's, once at each other member


@pytest.mark.parametrize("both", [False, True])
def test_a_cut_between_two_members_causes_no_death_while_a_third_reaches_both(both: bool) -> None:
    fleet = converged_fleet(3)
    fleet.net.cut("m0", "m1", both=both)
    fleet.net.run(60 * SECOND)
    assert fleet.death_events() == 0
    fleet.net.heal()
    fleet.net.run(2 * SECOND)
    assert fleet.all_alive()


def test_a_cut_between_two_sites_causes_no_death_and_an_isolated_site_is_recognized() -> None:
    fleet = converged_fleet(9)
    fleet.net.cut_sites("x", "y")
    fleet.net.run(20 * SECOND)
    assert fleet.death_events() == 0
    fleet.net.cut_sites("x", "z")
    fleet.net.run(5 * SECOND)
    assert {name: m.unreachable_sites() for name, m in fleet.machines.items()} == {
        name: ["y", "z"] if fleet.net.peers[name].site == "x" else ["x"] for name in fleet.names
    }
    fleet.net.heal()
    fleet.run_until(fleet.all_alive, 10 * SECOND)


@pytest.mark.parametrize(("pause_s", "dies"), [(0.5, False), (10, True)])
def test_only_a_long_pause_is_a_death(pause_s: float, dies: bool) -> None:
    fleet = converged_fleet(10)
    fleet.net.pause("m4")
    fleet.net.run(int(pause_s * SECOND))
    assert (fleet.death_events() == 9) == dies
    assert dies or fleet.death_events() == 0
    fleet.net.resume("m4")
    fleet.run_until(lambda: set(fleet.healths("m4").values()) == {Health.ALIVE}, 3 * SECOND)
    assert (fleet.machines["m4"].refutations > 0) or not dies
    assert not any(isinstance(n, MemberChanged) and n.member.health is Health.DEAD
                   for n in fleet.net.peers["m4"].events)  # fmt: skip
    fleet.net.run(3 * SECOND)
    assert fleet.all_alive()


def test_a_command_between_two_ticks_is_not_mistaken_for_a_pause() -> None:
    """Gossip started by a command has an older time; it must not look overdue and raise the health score."""
    fleet = SimulatedFleet(3, rules=MemberRules(period=ms(1500), suspect_for=ms(3000)))
    fleet.run_until(fleet.all_alive, 20 * SECOND)
    machine = fleet.machines["m0"]
    for segment in range(20):
        fleet.net.run((6130 + 97 * segment) * MS)
        at = (LedgerLocation("l", segment, ()),)
        fleet.net.run_on("m0", lambda node, now, at=at: node.carry_out(machine.announce_ledgers(at)))
        fleet.net.run(MS)
        assert machine.local_health.score == 0, segment
    fleet.net.pause("m0")
    fleet.net.run(3 * SECOND)
    fleet.net.resume("m0")
    assert machine.local_health.score > 0


def test_a_flapping_member_returns_each_time() -> None:
    fleet = converged_fleet(10)
    for _ in range(10):
        fleet.net.pause("m2")
        fleet.net.run(1500 * MS)
        fleet.net.resume("m2")
        fleet.net.run(1500 * MS)
    fleet.run_until(fleet.all_alive, 3 * SECOND)
    assert all(
        event.member.card.incarnation.name == "m2"
        for seat in fleet.net.peers.values()
        for event in seat.events
        if isinstance(event, MemberChanged) and event.member.health is Health.DEAD
    )


@pytest.mark.parametrize("count", [6, 30])
def test_sites_cut_off_from_each_other_merge_again(count: int) -> None:
    fleet = converged_fleet(count)
    for other in "yz":
        fleet.net.cut_sites("x", other)
    fleet.net.run(5 * SECOND)
    third, death_events = count // 3, fleet.death_events()
    assert death_events >= 0.9 * (2 * third * 2 * third)
    fleet.net.heal()
    fleet.run_until(fleet.all_alive, 10 * SECOND)
    fleet.net.run(5 * SECOND)
    assert fleet.death_events() == death_events  # no further deaths from the outdated views of the other side
    assert fleet.all_alive()


def test_five_percent_message_loss_causes_no_death() -> None:
    for seed in (1, 2, 3):
        fleet = converged_fleet(10, seed)
        fleet.net.default_link.lost = 0.05
        fleet.net.run(60 * SECOND)
        assert fleet.death_events() == 0


def test_a_restart_is_a_new_incarnation_and_the_earlier_one_ends_first() -> None:
    fleet = converged_fleet(6)
    before = fleet.machines["m3"].me.incarnation
    fleet.net.crash("m3")
    fleet.net.run(100 * MS)
    after = fleet.net.start("m3")
    fleet.run_until(lambda: set(fleet.healths("m3").values()) == {Health.ALIVE}, 3 * SECOND)
    for name in fleet.running():
        if name != "m3":
            assert fleet.machines[name].health(before) is Health.DEAD
            events = [
                (n.member.card.incarnation, n.member.health)
                for n in fleet.net.peers[name].events
                if isinstance(n, MemberChanged) and n.member.card.incarnation.name == "m3"
            ]
            assert events.index((before, Health.DEAD)) == events.index((after, Health.ALIVE)) - 1
    assert before == Incarnation("m3", before.start)
    assert fleet.all_alive()


def test_a_member_that_leaves_is_not_dead() -> None:
    fleet = converged_fleet(10)
    fleet.net.run_on("m5", lambda node, now: node.carry_out(fleet.machines["m5"].leave(now)))
    fleet.net.run(500 * MS)
    fleet.net.crash("m5")
    fleet.run_until(lambda: set(fleet.healths("m5").values()) == {Health.LEFT}, 2 * SECOND)
    fleet.net.run(3 * SECOND)
    assert fleet.death_events() == 0


def run_random_faults(seed: int, count: int = 7, steps: int = 25) -> None:
    """Random crashes, starts, pauses, departures, network cuts and losses; after repair all must agree."""
    rng = random.Random(seed)
    fleet = SimulatedFleet(count, seed)
    net = fleet.net
    net.run(3 * SECOND)
    for _ in range(steps):
        name, other = rng.sample(fleet.names, 2)
        seat = net.peers[name]
        what = rng.choice(["kill", "stop", "leave", "cut", "half", "site", "mend", "loss", "write"])
        if seat.node is None:
            net.start(name)
        elif seat.paused:
            net.resume(name)
        elif what == "kill":
            net.crash(name)
        elif what == "stop":
            net.pause(name)
        elif what == "leave":
            net.run_on(name, lambda node, now, name=name: node.carry_out(fleet.machines[name].leave(now)))
            net.run(rng.randrange(200 * MS))
            net.crash(name)
        elif what in ("cut", "half"):
            net.cut(name, other, both=what == "cut")
        elif what == "site":
            net.cut_sites(*rng.sample(SITES, 2))
        elif what == "mend":
            net.heal()
        elif what == "loss":
            net.default_link.lost, net.default_link.doubled = rng.choice([(0.0, 0.0), (0.2, 0.1)])
            net.default_link.jitter = rng.choice([MS // 10, 100 * MS])
        else:
            at = (LedgerLocation("l", rng.randrange(9), ()),)
            net.run_on(
                name, lambda node, now, m=fleet.machines[name], at=at: node.carry_out(m.announce_ledgers(at))
            )
        net.run(rng.randrange(3 * SECOND))
    net.heal()
    net.default_link.lost = net.default_link.doubled = 0.0
    net.default_link.jitter = MS // 10
    for name in fleet.names:
        seat = net.peers[name]
        if seat.node is None:
            net.start(name)
        elif seat.paused:
            net.resume(name)

    def cards_agree() -> bool:
        cards = {name: machine.me for name, machine in fleet.machines.items()}
        return fleet.all_alive() and all(
            machine.card(name) == of for machine in fleet.machines.values() for name, of in cards.items()
        )

    fleet.run_until(cards_agree, 15 * SECOND)
    for seat in net.peers.values():
        last: dict[str, Incarnation] = {}
        ended: dict[Incarnation, Health] = {}
        for event in seat.events:
            assert isinstance(event, MemberChanged)
            incarnation, health = event.member.card.incarnation, event.member.health
            before = last.get(incarnation.name, incarnation)
            assert incarnation.start >= before.start
            assert incarnation == before or ended.get(before) in (Health.DEAD, Health.LEFT)
            assert ended.get(incarnation) is not Health.LEFT
            last[incarnation.name], ended[incarnation] = incarnation, health


# FLEET_SEEDS="FROM TO" runs other seeds; the test id has the seed
SEEDS = (
    range(*map(int, os.environ["FLEET_SEEDS"].split())) if "FLEET_SEEDS" in os.environ else [*range(10), 124]
)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_members_agree_after_random_faults(seed: int) -> None:
    run_random_faults(seed)


# Malformed input, bounds, versions


def standalone_machine(
    rules: MemberRules | None = None, machine: type[MemberMachine] = MemberMachine
) -> MemberMachine:
    return machine(Card(Incarnation("me", 5), "h:1", "x", version=1), rules or MemberRules(), (), 0)


def card(name: str, start: int = 1, version: int = 1, **more: object) -> Card:
    return Card(Incarnation(name, start), "h:2", "y", version=version, **more)  # type: ignore[arg-type]


def make_rumour(
    what: Card, health: Health = Health.ALIVE, version: int | None = None, **more: object
) -> Rumour:
    at = what.version if version is None else version
    return Rumour(what.incarnation, at, RANK_BY_HEALTH[health], card=what, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "rumour",
    [
        make_rumour(card("")),
        make_rumour(card("n" * 65)),
        make_rumour(card("a", start=-1)),
        make_rumour(card("a", start=NEVER)),
        make_rumour(card("a"), version=VERSION_LIMIT),
        make_rumour(card("a", version=-1), version=1),
        make_rumour(card("a"), age_ms=-1),
        make_rumour(card("a", ledgers=(LedgerLocation("l", 1, (Incarnation("k"),)),))),
        make_rumour(card("a", ledgers=(LedgerLocation("l" * 301, 1, ()),))),
        make_rumour(card("a", front="f" * 301)),
        Rumour(Incarnation("b", 1), 1, 0, card=card("a")),
        Rumour(Incarnation("a", 1), 1, 4, card=card("a")),
        Rumour(Incarnation("me", 5), VERSION_LIMIT, 2),
    ],
)
def test_rumours_out_of_range_are_counted_and_change_nothing(rumour: Rumour) -> None:
    machine = standalone_machine()
    actions = machine.received(1, Incarnation("x", 1), RumourBatch((rumour,)))
    assert not actions and machine.dropped == {"malformed": 1}
    assert len(machine.alive()) == 1 and machine.me.version == 1


@pytest.mark.parametrize("count", [1024, 2000])
def test_the_table_holds_its_capacity_and_no_more(count: int) -> None:
    machine = standalone_machine(MemberRules(most=count))
    for start in range(0, count + 50, 50):
        names = [f"m{i}" for i in range(start, start + 50)]
        machine.received(
            1 + start, Incarnation("m0", 1), RumourBatch(tuple(make_rumour(card(name)) for name in names))
        )
    assert len(machine.alive()) == count
    assert machine.dropped["full"] == start + 50 - (count - 1)
    later = 2 * SECOND
    machine.received(later, Incarnation("m0", 1), RumourBatch((make_rumour(card("m7"), Health.LEFT),)))
    # replaces the member that left
    machine.received(later, Incarnation("m0", 1), RumourBatch((make_rumour(card("new")),)))
    assert machine.health(Incarnation("new", 1)) is Health.ALIVE and machine.card("m7") is None
    codec = Codec(MemberMachine.handles)
    sizes: list[int] = []
    now = later
    for _ in range(400):  # messages stay small at any number of members
        now = max(now, min(machine.next_at(), now + 100 * MS))
        for action in machine.ticked(now):
            if isinstance(action, Send):
                sizes.append(len(codec.encode(machine.me.incarnation, 0, action.message)))
    assert len(sizes) > 100 and max(sizes) < 8_000


def test_a_joining_member_learns_two_thousand_members_from_one() -> None:
    machine, joiner = (
        standalone_machine(),
        MemberMachine(Card(Incarnation("j", 9), "h:3", "x", version=1), MemberRules(), ("me",), 0),
    )
    for start in range(0, 2000, 50):
        names = [f"m{i}" for i in range(start, start + 50)]
        machine.received(
            1, Incarnation("m0", 1), RumourBatch(tuple(make_rumour(card(name)) for name in names))
        )
    asked = [a.message for a in joiner.ticked(1) if isinstance(a, Send)]
    codec, largest = Codec(MemberMachine.handles), 0
    for action in machine.received(2, Incarnation("j", 9), asked[0]):
        if isinstance(action, Send):
            largest = max(largest, len(codec.encode(machine.me.incarnation, 0, action.message)))
            joiner.received(3, machine.me.incarnation, action.message)
    assert len(joiner.alive()) == len(machine.alive()) == 2002
    assert largest < 16_000


def test_unknown_fields_of_a_later_program_version_are_ignored() -> None:
    class LaterPing(Message, frozen=True, array_like=True):
        KIND = 1
        number: int
        version: int
        known_version: int = -1
        known_health: int = 0
        piggybacked: tuple[Rumour, ...] = ()
        more: str = ""

    frame = Codec([LaterPing]).encode(
        Incarnation("new", 3), 0, LaterPing(7, 1, 1, 0, (make_rumour(card("a")),), "x")
    )
    found = Codec(MemberMachine.handles).decode(frame[4:])
    assert found is not None
    machine = standalone_machine()
    (answer,) = [a for a in machine.received(1, found[0], found[2]) if isinstance(a, Send)]
    assert isinstance(answer.message, Ack) and answer.message.number == 7
    assert machine.health(Incarnation("a", 1)) is Health.ALIVE


# Invariants


def feed_random_messages(machine: MemberMachine, seed: int) -> None:
    """Sends random messages about a few incarnations, including this member's own."""
    rng = random.Random(seed)
    now, versions = 1, dict[str, int]()
    for _ in range(150):
        now += rng.randrange(400 * MS)
        name, start = rng.choice(["me", "a", "b", "c"]), rng.choice([4, 5, 6])
        found = Card(Incarnation(name, start), "h:1", rng.choice("xy"), version=rng.randrange(6))
        items = [
            Rumour(
                found.incarnation,
                rng.randrange(6),
                rng.choice([0, 0, 1, 2, 2, 3]),
                rng.choice(["", "a", "b", "c", "me"]),
                rng.randrange(3000),
                rng.choice([found, found, None]),
            )
        ]
        sender = Incarnation(rng.choice("abc"), start)
        from_sync = rng.random() < 0.3
        seen = rng.randrange(-1, 6), rng.randrange(4)
        message = rng.choice(
            [
                RumourBatch(tuple(items), from_sync),
                Ping(1, 1, *seen, tuple(items)),
                Ack(rng.randrange(9), 2, *seen),
            ]
        )
        machine.received(now, sender, message)
        machine.ticked(max(now, min(machine.next_at(), now + SECOND)))
        for member in machine.alive():
            before = versions.get(str(member.card.incarnation), -1)
            assert member.card.version >= before
            versions[str(member.card.incarnation)] = member.card.version


def test_random_messages_break_no_invariant() -> None:
    for seed in range(200):
        machine = standalone_machine()
        feed_random_messages(machine, seed)
        assert machine.me.incarnation == Incarnation("me", 5)


MUTANTS = {
    "gone stays gone": (
        "if entry.health is Health.LEFT:\n            return\n",
        "if False:\n            return\n",
    ),
    "versions rise": ("max(entry.version, rumour.version), Health.LEFT", "rumour.version, Health.LEFT"),
    "self alive": (
        "self._local_member.on_rumour(incarnation, rumour.version, health)\n            return\n",
        "self._local_member.on_rumour(incarnation, rumour.version, health)\n",
    ),
}


def module_from_source(name: str, text: str) -> ModuleType:
    """Creates a module from source text."""
    fleet = ModuleType(name)
    sys.modules[name] = fleet  # dataclasses look the module up here
    exec(compile(text, name, "exec"), fleet.__dict__)
    return fleet


def mutant(monkeypatch: pytest.MonkeyPatch, old: str, new: str) -> type[MemberMachine]:
    """The machine with one change in the source of ``merge``."""
    text = Path(merge_module.__file__).read_text()
    assert text.count(old) == 1
    mutated = module_from_source("ironbarrow.fleet.members.mutant_merge", text.replace(old, new))
    with monkeypatch.context() as patch:
        patch.setitem(sys.modules, merge_module.__name__, mutated)
        machine_text = Path(machine_module.__file__).read_text()
        machine = module_from_source("ironbarrow.fleet.members.mutant_machine", machine_text)
    assert machine.RumourMerger is mutated.RumourMerger
    found: type[MemberMachine] = machine.MemberMachine
    return found


@pytest.mark.parametrize("name", MUTANTS)
def test_each_invariant_catches_its_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    broken = mutant(monkeypatch, *MUTANTS[name])
    with pytest.raises(InvariantError, match=name):
        for seed in range(50):
            feed_random_messages(standalone_machine(machine=broken), seed)
