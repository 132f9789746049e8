"""Counts of the membership protocol by the number of members: without failures, after a death, after a region
cut."""

from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.fleet.api import Card, FleetEvent, Health, Incarnation, LedgerLocation, MemberChanged
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.lab.capacity.counting import ZONES, Rate, SentTotals, meter_traffic, region_of, zone_of
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

_REPLICAS = 3
_POLL_INTERVAL = 50 * MS  # between two checks of a condition
SETTLE_S = 40.0  # until the events of the start have been disseminated


class MemberFleet:
    """Members over the target's zones, each with one ledger on its card as in production."""

    def __init__(self, size: int, seed: int = 1, rules: MemberRules | None = None) -> None:
        self.rules = rules or MemberRules()
        self.net = SimulatedNet(SimulatedClock(), Codec(MemberMachine.handles), seed)
        self.traffic = meter_traffic(self.net, MemberMachine.handles)
        self.machines: dict[str, MemberMachine] = {}
        self.deaths: list[tuple[str, str]] = []  # observer and dead member
        self.names = [f"dispatcher-{number}" for number in range(size)]
        for number, name in enumerate(self.names):
            self.net.add(name, zone_of(number), self._build).on_event = self._death_listener(name)
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

    def _death_listener(self, name: str) -> Callable[[FleetEvent], None]:
        def record_death(news: FleetEvent) -> None:
            if isinstance(news, MemberChanged) and news.member.health is Health.DEAD:
                self.deaths.append((name, news.member.card.incarnation.name))

        return record_death

    def running(self) -> list[str]:
        """Names of the members whose process runs."""
        return [name for name in self.names if self.net.peers[name].node is not None]

    def all_see(self, about: list[str], health: Health) -> bool:
        """Whether all running members see the members in ``about`` with that health."""
        incarnations = [self.machines[name].me.incarnation for name in about]
        return all(
            self.machines[name].health(incarnation) is health
            for name in self.running()
            for incarnation in incarnations
            if incarnation.name != name
        )

    def seconds_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Runs until ``condition`` holds; returns the virtual seconds that took, or infinity after
        ``limit_s``."""
        began = self.net.clock.now()
        while not condition():
            if self.net.clock.now() - began > limit_s * SECOND:
                return float("inf")
            self.net.run(_POLL_INTERVAL)
        return (self.net.clock.now() - began) / SECOND

    def converge(self, settle_s: float = SETTLE_S) -> float:
        """Runs until all members know each other, then for ``settle_s``; returns the seconds until they
        did."""
        took = self.seconds_until(lambda: self.all_see(self.names, Health.ALIVE), 120)
        self.run(settle_s)
        return took

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        self.net.run(int(seconds * SECOND))

    def rate(self, seconds: float) -> Rate:
        """Runs for ``seconds`` and returns what a member sent per second."""
        self.traffic.clear()
        self.run(seconds)
        return Rate.of(self.traffic, len(self.running()), seconds)

    def cut_regions(self) -> None:
        """Partitions the network between the regions, in both directions."""
        seats = list(self.net.peers.values())
        for one in seats:
            for other in seats:
                if region_of(one.site) != region_of(other.site):
                    self.net.cut(one.name, other.name, both=False)

    def regions_apart(self) -> bool:
        """Whether every member sees all members of the other region as dead."""
        return all(
            machine.health(other.me.incarnation) is Health.DEAD
            for machine in self.machines.values()
            for other in self.machines.values()
            if region_of(machine.me.site) != region_of(other.me.site)
        )


@dataclass(frozen=True, slots=True)
class CalmCount:
    """What a fleet sends while no member starts or fails."""

    members: int
    meet_s: float  # until all members, started together, know each other
    rate: Rate
    by_kind: dict[str, SentTotals]  # over all members
    seconds: float
    entries: int  # members that one member knows, itself included


@dataclass(frozen=True, slots=True)
class EventCount:
    """The cost of one event over all members, in addition to that of the same time without events."""

    members: int
    beyond: SentTotals
    seconds: float  # length of the count
    known_s: float  # until the last running member knows
    told_dead: int  # deaths seen, counted once for each observer

    @property
    def bytes_per_member_s(self) -> float:
        """Additional bytes per member and second."""
        return self.beyond.bytes / self.members / self.seconds


def count_calm(size: int, seed: int = 1, *, seconds: float = 20, settle_s: float = SETTLE_S) -> CalmCount:
    """Counts a fleet without events for ``seconds``."""
    fleet = MemberFleet(size, seed)
    meet_s = fleet.converge(settle_s)
    rate = fleet.rate(seconds)
    entries = len(fleet.machines[fleet.names[0]].known()) + 1
    return CalmCount(size, meet_s, rate, fleet.traffic.by_kind(), seconds, entries)


def _count_event(fleet: MemberFleet, calm: Rate, seconds: float, condition: Callable[[], bool]) -> EventCount:
    """Counts the ``seconds`` from now on, of which ``calm`` is subtracted, and the time until
    ``condition``."""
    fleet.deaths.clear()
    fleet.traffic.clear()
    known_s = fleet.seconds_until(condition, seconds)
    if known_s < seconds:
        fleet.run(seconds - known_s)
    running, total = len(fleet.running()), fleet.traffic.total()
    beyond = SentTotals(
        round(total.messages - calm.messages * running * seconds),
        round(total.bytes - calm.bytes * running * seconds),
        total.items,
    )
    return EventCount(running, beyond, seconds, known_s, len(fleet.deaths))


def count_death(size: int, seed: int = 1, *, seconds: float = 15, settle_s: float = SETTLE_S) -> EventCount:
    """Counts the crash of one member."""
    fleet = MemberFleet(size, seed)
    fleet.converge(settle_s)
    calm = fleet.rate(10)
    dead = fleet.names[size // 2]
    fleet.net.crash(dead)
    return _count_event(fleet, calm, seconds, lambda: fleet.all_see([dead], Health.DEAD))


def count_region_cut(
    size: int,
    seed: int = 1,
    *,
    cut_s: float = 10,
    seconds: float = 15,
    settle_s: float = SETTLE_S,
    rules: MemberRules | None = None,
) -> tuple[EventCount, EventCount]:
    """Counts a network partition between the regions: the time of the cut, and the time after its end."""
    fleet = MemberFleet(size, seed, rules)
    fleet.converge(settle_s)
    calm = fleet.rate(10)
    fleet.cut_regions()
    cut = _count_event(fleet, calm, cut_s, fleet.regions_apart)
    fleet.net.heal()
    return cut, _count_event(fleet, calm, seconds, lambda: fleet.all_see(fleet.names, Health.ALIVE))


def count_zone_loss(
    size: int, seed: int = 1, *, seconds: float = 30, settle_s: float = SETTLE_S
) -> EventCount:
    """Counts the simultaneous crash of all members of one zone."""
    fleet = MemberFleet(size, seed)
    fleet.converge(settle_s)
    calm = fleet.rate(10)
    lost = [name for name in fleet.names if fleet.net.peers[name].site == ZONES[0]]
    for name in lost:
        fleet.net.crash(name)
    return _count_event(fleet, calm, seconds, lambda: fleet.all_see(lost, Health.DEAD))
