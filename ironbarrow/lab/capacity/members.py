"""Counts of the membership protocol by the number of members: calm, after a death, after a region cut."""

from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.fleet.api import Card, FleetEvent, Health, Incarnation, LedgerLocation, MemberChanged
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.lab.capacity.counting import ZONES, Rate, Sent, metered, region_of, zone_of
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

_REPLICAS = 3
_STEP = 50 * MS  # between two looks at whether a state is reached
SETTLE_S = 40.0  # until the news of a start has been told to all


class MemberFleet:
    """Members over the target's zones, each with one ledger on its card, as in service."""

    def __init__(self, size: int, seed: int = 1, rules: MemberRules | None = None) -> None:
        self.rules = rules or MemberRules()
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.traffic = metered(self.net, MemberMachine.handles)
        self.machines: dict[str, MemberMachine] = {}
        self.deaths: list[tuple[str, str]] = []  # who was told, of whom
        self.names = [f"dispatcher-{number}" for number in range(size)]
        for number, name in enumerate(self.names):
            self.net.add(name, zone_of(number), self._build).on_event = self._listener(name)
        incarnations = {name: self.net.start(name) for name in self.names}
        for name in self.names:
            self._announce(name, incarnations)

    def _build(self, seat: SimulatedPeer, node: Node) -> None:
        number = self.names.index(seat.name)
        address = f"10.0.{number // 200}.{number % 200}:7946"
        card = Card(node.incarnation, address, seat.site, "10.0.0.1:8080", 1)
        seeds = [name for name in self.names[: len(ZONES)] if name != seat.name]
        machine = MemberMachine(card, self.rules, seeds, self.net.clock.now())
        self.machines[seat.name] = machine
        node.add([machine])

    def _announce(self, name: str, incarnations: dict[str, Incarnation]) -> None:
        replicas = tuple(incarnations[other] for other in self.names if other != name)[:_REPLICAS]
        at = (LedgerLocation(f"jobs/{incarnations[name]}", 0, replicas),)
        machine = self.machines[name]
        self.net.run_on(name, lambda node, now: node.carry_out(machine.announce_ledgers(at)))

    def _listener(self, name: str) -> Callable[[FleetEvent], None]:
        def told(news: FleetEvent) -> None:
            if isinstance(news, MemberChanged) and news.member.health is Health.DEAD:
                self.deaths.append((name, news.member.card.incarnation.name))

        return told

    def running(self) -> list[str]:
        """The members whose process runs."""
        return [name for name in self.names if self.net.peers[name].node is not None]

    def agree(self, about: list[str], health: Health) -> bool:
        """Whether all members that run hold these for that."""
        incarnations = [self.machines[name].me.incarnation for name in about]
        return all(
            self.machines[name].health(incarnation) is health
            for name in self.running()
            for incarnation in incarnations
            if incarnation.name != name
        )

    def seconds_until(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Virtual seconds until something holds; infinite if it does not within the limit."""
        began = self.net.clock.now()
        while not holds():
            if self.net.clock.now() - began > limit_s * SECOND:
                return float("inf")
            self.net.run(_STEP)
        return (self.net.clock.now() - began) / SECOND

    def meet(self, settle_s: float = SETTLE_S) -> float:
        """Runs until all know each other, and on until that has been told; how long the meeting took, s."""
        took = self.seconds_until(lambda: self.agree(self.names, Health.ALIVE), 120)
        self.run(settle_s)
        return took

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.net.run(int(seconds * SECOND))

    def rate(self, seconds: float) -> Rate:
        """What a member sends a second over the next seconds."""
        self.traffic.clear()
        self.run(seconds)
        return Rate.of(self.traffic, len(self.running()), seconds)

    def cut_regions(self) -> None:
        """From now on nothing gets from one region to the other."""
        seats = list(self.net.peers.values())
        for one in seats:
            for other in seats:
                if region_of(one.site) != region_of(other.site):
                    self.net.cut(one.name, other.name, both=False)

    def regions_apart(self) -> bool:
        """Whether every member holds all of the other region for dead."""
        return all(
            machine.health(other.me.incarnation) is Health.DEAD
            for machine in self.machines.values()
            for other in self.machines.values()
            if region_of(machine.me.site) != region_of(other.me.site)
        )


@dataclass(frozen=True, slots=True)
class CalmCount:
    """What a fleet of one size sends while nothing happens."""

    members: int
    meet_s: float  # until all that started together know each other
    rate: Rate
    by_kind: dict[str, Sent]  # over all members
    seconds: float
    entries: int  # members in the list of one


@dataclass(frozen=True, slots=True)
class EventCount:
    """What one event costs beyond a calm time of the same length, over all members."""

    members: int
    beyond: Sent
    seconds: float  # that were counted
    known_s: float  # until the last member that runs knows, s
    told_dead: int  # deaths told to members, each to each

    @property
    def bytes_each(self) -> float:
        """Bytes beyond a calm time, of one member and second."""
        return self.beyond.bytes / self.members / self.seconds


def count_calm(size: int, seed: int = 1, *, seconds: float = 20, settle_s: float = SETTLE_S) -> CalmCount:
    """Counts a calm time."""
    fleet = MemberFleet(size, seed)
    meet_s = fleet.meet(settle_s)
    rate = fleet.rate(seconds)
    entries = len(fleet.machines[fleet.names[0]].known()) + 1
    return CalmCount(size, meet_s, rate, fleet.traffic.by_kind(), seconds, entries)


def _count(fleet: MemberFleet, calm: Rate, seconds: float, holds: Callable[[], bool]) -> EventCount:
    """Counts what begins now."""
    fleet.deaths.clear()
    fleet.traffic.clear()
    known_s = fleet.seconds_until(holds, seconds)
    if known_s < seconds:
        fleet.run(seconds - known_s)
    running, total = len(fleet.running()), fleet.traffic.total()
    beyond = Sent(
        round(total.messages - calm.messages * running * seconds),
        round(total.bytes - calm.bytes * running * seconds),
        total.items,
    )
    return EventCount(running, beyond, seconds, known_s, len(fleet.deaths))


def count_death(size: int, seed: int = 1, *, seconds: float = 15, settle_s: float = SETTLE_S) -> EventCount:
    """Counts one process that ends without a word."""
    fleet = MemberFleet(size, seed)
    fleet.meet(settle_s)
    calm = fleet.rate(10)
    dead = fleet.names[size // 2]
    fleet.net.crash(dead)
    return _count(fleet, calm, seconds, lambda: fleet.agree([dead], Health.DEAD))


def count_region_cut(
    size: int,
    seed: int = 1,
    *,
    cut_s: float = 10,
    seconds: float = 15,
    settle_s: float = SETTLE_S,
    rules: MemberRules | None = None,
) -> tuple[EventCount, EventCount]:
    """Counts regions that lose each other: the cut itself, and the time from its end on."""
    fleet = MemberFleet(size, seed, rules)
    fleet.meet(settle_s)
    calm = fleet.rate(10)
    fleet.cut_regions()
    cut = _count(fleet, calm, cut_s, fleet.regions_apart)
    fleet.net.heal()
    return cut, _count(fleet, calm, seconds, lambda: fleet.agree(fleet.names, Health.ALIVE))


def count_zone_loss(
    size: int, seed: int = 1, *, seconds: float = 30, settle_s: float = SETTLE_S
) -> EventCount:
    """Counts the loss of all members of one zone at once."""
    fleet = MemberFleet(size, seed)
    fleet.meet(settle_s)
    calm = fleet.rate(10)
    lost = [name for name in fleet.names if fleet.net.peers[name].site == ZONES[0]]
    for name in lost:
        fleet.net.crash(name)
    return _count(fleet, calm, seconds, lambda: fleet.agree(lost, Health.DEAD))
