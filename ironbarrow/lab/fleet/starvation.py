"""Scenarios with known starved tenants, and their detection by the starvation machines of a fleet.

The arrivals, queue and servers of each partition are simulated first; the resulting events are then replayed
to the real machines on the simulated network. A scenario's cause starts at ``onset`` and stays. Three kinds
are starvation, four only look like it, and in one nothing happens.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ironbarrow.fleet.api import Action, Card, Change, FleetEvent, Health, Incarnation, LedgerLocation, Member
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.starvation.machine import StarvationMachine, TenantShares
from ironbarrow.fleet.starvation.tables import WaitReport, WaitReportReply
from ironbarrow.fleet.starvation.verdict import StarvationBegan, StarvationEnded
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

STARVED_KINDS = ("one partition", "one class", "busy neighbour")
FALSE_POSITIVE_KINDS = ("slow for all", "over its share", "another mix", "too few")
KINDS = (*STARVED_KINDS, *FALSE_POSITIVE_KINDS, "nothing")

# by class: mean service time, latest start after arrival (orders the queue), client's patience; all in s
_CLASSES = {"map": (0.06, 0.5, 3.0), "decode": (0.15, 2.0, 6.0), "booking": (0.10, 4.0, 8.0)}
_SIZES = (
    (1.0, 0.8),
    (2.0, 0.15),
    (4.0, 0.05),
)  # slots, share of the jobs; work grows with the square root of the slots


@dataclass(slots=True, eq=False)
class Arrival:
    """A job, with its arrival time ``at`` (s) and its server pool."""

    at: float
    tenant: str
    job_class: str
    slots: float
    work: float  # service time at speed 1, s
    order: float  # the lowest is served first
    pool: str = ""  # the partition's default pool, unless the cause assigns another


@dataclass(slots=True, eq=False)
class ServerPool:
    """Servers of a partition with a common queue. ``stalls``: begin and end (s) of times without any
    start."""

    servers: int
    speed: float = 1.0
    slow_after: float = 1e9  # s
    slow_speed: float = 1.0  # from ``slow_after`` on
    stalls: list[tuple[float, float]] = field(default_factory=list)


# time (ns), kind (0 taken, 1 started, 2 ended without a start), job, tenant, class, slots
Event = tuple[int, int, int, str, str, float]


def simulate_queues(pools: dict[str, ServerPool], arrivals: Sequence[Arrival], length: float) -> list[Event]:
    """Returns the events of all jobs: a job starts, ends when its client gives up, or waits until the end."""
    events: list[Event] = []
    by_pool: dict[str, list[tuple[int, Arrival]]] = defaultdict(list)
    for number, job in enumerate(arrivals):
        by_pool[job.pool if job.pool in pools else ""].append((number, job))
        events.append((int(job.at * SECOND), 0, number, job.tenant, job.job_class, job.slots))

    def ended(at: float, what: int, number: int, job: Arrival) -> None:
        if at < length:
            events.append((int(at * SECOND), what, number, job.tenant, job.job_class, job.slots))

    for name, jobs in by_pool.items():
        pool = pools[name]
        free = [0.0] * pool.servers  # when each server is free
        heapify(free)
        queue: list[tuple[float, int, Arrival]] = []
        next_arrival, at = 0, 0.0
        while next_arrival < len(jobs) or queue:
            at = max(at, free[0], jobs[next_arrival][1].at if not queue else 0.0)
            at = max([at, *(end for begin, end in pool.stalls if begin <= at < end)])
            while next_arrival < len(jobs) and jobs[next_arrival][1].at <= at:
                number, job = jobs[next_arrival]
                heappush(queue, (job.order, number, job))
                next_arrival += 1
            _, number, job = heappop(queue)
            gives_up_at = job.at + _CLASSES[job.job_class][2]
            if gives_up_at <= at:
                ended(gives_up_at, 2, number, job)
                continue
            ended(at, 1, number, job)
            speed = pool.slow_speed if at >= pool.slow_after else pool.speed
            heappop(free)
            heappush(free, at + job.work / speed)
    events.sort()
    return events


@dataclass(slots=True, eq=False)
class StarvationWorld:
    """The events of a fleet, and which tenant is starved in which partition. Times in s."""

    kind: str
    seed: int
    onset: float
    length: float
    sites: dict[str, str]  # by partition
    events: dict[str, list[Event]]
    shares: dict[str, dict[str, float]]  # by partition and tenant, jobs per second
    tenant: str  # that the cause affects
    partition: str

    @property
    def starved(self) -> bool:
        return self.kind in STARVED_KINDS


def generate(kind: str, seed: int, length: float = 85.0, onset: float = 30.0) -> StarvationWorld:
    """Generates a world of one of ``KINDS``. The same arguments give the same world."""
    rng = random.Random(f"{kind}/{seed}")
    names = [f"p{i}" for i in range(rng.randrange(3, 6))]
    tenants = [f"t{i}" for i in range(rng.randrange(5, 10))]
    total = rng.uniform(14, 26)  # jobs per second in a partition
    parts = [1 / (i + 1) ** rng.uniform(0.3, 1.0) for i in range(len(tenants))]
    rates = {t: total * p / sum(parts) for t, p in zip(tenants, parts, strict=True)}
    mixes = {t: [rng.gammavariate(2, 1) for _ in _CLASSES] for t in tenants}
    bursts = {t: rng.random() < 0.3 for t in tenants}
    tenant = rng.choice(tenants[1:4])
    neighbour = rng.choice([t for t in tenants if t != tenant])
    affected = rng.choice(names)
    load, crowded = rng.uniform(0.55, 0.85), rng.uniform(0.93, 1.0)
    few_rate = rng.uniform(0.15, 0.45)
    world = StarvationWorld(kind, seed, onset, length, {}, {}, {}, tenant, affected)
    for position, name in enumerate(names):
        is_affected = name == affected
        world.sites[name] = "abc"[position % 3]
        local = {t: rate * rng.uniform(0.6, 1.4) for t, rate in rates.items()}
        world.shares[name] = {t: 1.5 * rate for t, rate in local.items()}
        work = sum(local[t] * _mean_work(mixes[t]) for t in tenants)
        pools = {"": ServerPool(max(2, round(work / load)))}
        stalls = _stalls(rng, 0, length, 40.0)
        if is_affected and kind == "too few":
            local[tenant] = few_rate
            stalls += _stalls(rng, onset, length, 8.0)
        pools[""].stalls = sorted(stalls)
        arrivals: list[Arrival] = []
        for t in tenants:
            late_rate, late_mix = local[t], mixes[t]
            if kind == "another mix" and t == tenant:
                # here mostly the class with the long waits, elsewhere the one with the short waits
                late_mix = [0.5, 9.0, 0.5] if is_affected else [9.0, 0.5, 0.5]
            if is_affected and (
                (kind == "over its share" and t == tenant) or (kind == "busy neighbour" and t == neighbour)
            ):
                late_rate *= rng.uniform(4, 8)
            arrivals += _arrivals(rng, t, local[t], mixes[t], 0, onset, bursts[t])
            arrivals += _arrivals(rng, t, late_rate, late_mix, onset, length, bursts[t])
        if is_affected:
            _apply_cause(rng, world, pools, arrivals, neighbour, local, mixes)
        if kind == "another mix":
            decodes = [a for a in arrivals if a.job_class == "decode"]
            for job in decodes:
                job.pool = "decode"
            busy = sum(job.work for job in decodes if job.at >= onset) / (length - onset)
            pools["decode"] = ServerPool(max(1, round(busy)), speed=busy / max(1, round(busy)) / crowded)
        arrivals.sort(key=lambda job: job.at)
        world.events[name] = simulate_queues(pools, arrivals, length)
    return world


def _mean_work(mix: list[float]) -> float:
    size: float = sum(part * slots**0.5 for slots, part in _SIZES)
    return size * sum(m * c[0] for m, c in zip(mix, _CLASSES.values(), strict=True)) / sum(mix)


def _stalls(rng: random.Random, begin: float, end: float, every: float) -> list[tuple[float, float]]:
    found, at = [], begin + rng.expovariate(1 / every)
    while at < end:
        found.append((at, at + rng.uniform(0.3, 1.4)))
        at += 1.4 + rng.expovariate(1 / every)
    return found


def _arrivals(
    rng: random.Random, tenant: str, rate: float, mix: list[float], begin: float, end: float, bursts: bool
) -> list[Arrival]:
    """Returns Poisson arrivals; with ``bursts``, only in on-periods, which make up a third of the time."""
    found, at, until, on = [], begin, end, True
    if bursts:
        rate, until, on = 3 * rate, begin + rng.expovariate(1.0), rng.random() < 1 / 3
    while at < end:
        if not on:
            at, on = at + rng.expovariate(1 / 2.0), True
            until = at + rng.expovariate(1.0)
            continue
        at += rng.expovariate(rate)
        if at >= until and bursts:
            at, on = until, False
            continue
        if at < end:
            (name,) = rng.choices(list(_CLASSES), mix)
            mean, start_by, _ = _CLASSES[name]
            (slots,) = rng.choices([s for s, _ in _SIZES], [p for _, p in _SIZES])
            work = slots**0.5 * mean * rng.gammavariate(2, 0.5)
            found.append(Arrival(at, tenant, name, slots, work, at + start_by))
    return found


def _apply_cause(
    rng: random.Random,
    world: StarvationWorld,
    pools: dict[str, ServerPool],
    arrivals: list[Arrival],
    neighbour: str,
    local: dict[str, float],
    mixes: dict[str, list[float]],
) -> None:
    """Applies the cause of the world's kind to the jobs and pools of the affected partition."""
    tenant, kind, onset = world.tenant, world.kind, world.onset
    late = world.length - onset
    affected_jobs = [job for job in arrivals if job.tenant == tenant and job.at >= onset]
    if kind == "one class":  # the tenant's most frequent one
        worst = Counter(job.job_class for job in affected_jobs).most_common(1)[0][0]
        affected_jobs = [job for job in affected_jobs if job.job_class == worst]
    if kind in ("one partition", "one class"):
        # bound to workers whose capacity is too small or barely sufficient
        for job in affected_jobs:
            job.pool = "bound"
        pools["bound"] = ServerPool(
            1, speed=sum(job.work for job in affected_jobs) / late / rng.uniform(1.0, 2.0)
        )
    elif kind == "busy neighbour":
        # the neighbour's keys are on the same workers, and its jobs come first in the queue
        flood = [job for job in arrivals if job.tenant == neighbour and job.at >= onset]
        for job in (*affected_jobs, *flood):
            job.pool = "bound"
        for job in flood:
            job.order -= 10
        pools["bound"] = ServerPool(
            2, speed=sum(job.work for job in flood) / late / 2 / rng.uniform(0.85, 1.0)
        )
    elif kind == "slow for all":
        pools[""].slow_after, pools[""].slow_speed = onset, rng.uniform(0.4, 0.65)
    elif kind == "over its share":
        # jobs beyond the share wait for the slots that the share allows
        for job in affected_jobs:
            job.pool = "share"
        pools["share"] = ServerPool(1, speed=1.5 * local[tenant] * _mean_work(mixes[tenant]))
    elif kind == "too few":
        # most of its few jobs arrive during stalls
        stalls = [stall for stall in pools[""].stalls if stall[0] >= onset]
        for job in affected_jobs:
            if stalls and rng.random() < 0.8:
                begin, end = rng.choice(stalls)
                job.at = rng.uniform(begin, (begin + end) / 2)
                job.order = job.at + _CLASSES[job.job_class][1]


# The fleet that detects starvation


class StaticMembers:
    """A membership in which all members are always alive. Implements ``api.Members``."""

    def __init__(self, me: Card, cards: Sequence[Card]) -> None:
        self.me = me
        self._cards = {card.incarnation.name: card for card in cards}
        self._members = [Member(card, Health.ALIVE, 0) for card in sorted(cards, key=lambda c: c.incarnation)]

    def alive(self) -> Sequence[Member]:
        return self._members

    def health(self, incarnation: Incarnation) -> Health | None:
        return Health.ALIVE if incarnation.name in self._cards else None

    def card(self, name: str) -> Card | None:
        return self._cards.get(name)

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        return []


class InMemoryLedgers:
    """Stand-in for the ledgers: keeps all changes in memory and reports no events."""

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}
        self.appended = 0

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        for change in changes:
            self.appended += 1
            if change.value is None:
                self.content.pop(change.key, None)
            else:
                self.content[change.key] = change.value
        return self.appended, []

    def create(self, now: int, ledger: str) -> list[Action]:
        return []

    def claim(self, now: int, at: LedgerLocation, into: str = "") -> list[Action]:
        return []

    def lead(self, now: int, at: LedgerLocation) -> list[Action]:
        return []

    def close(self, now: int, ledger: str) -> list[Action]:
        return []


@dataclass(slots=True, eq=False)
class DetectionResult:
    """The verdicts on a world and the traffic that they took. Times in s."""

    began: list[tuple[float, str, str]] = field(default_factory=list)  # time, partition, tenant
    ended: list[tuple[float, str, str]] = field(default_factory=list)
    evidence: list[StarvationBegan] = field(default_factory=list)
    bytes_per_second: float = 0.0  # per member, mean
    max_bytes_per_second: float = 0.0  # of the member that sent most
    messages_per_second: float = 0.0  # per member, mean

    def detected_at(self, world: StarvationWorld) -> float | None:
        """Returns when the starved tenant was first reported (s); None if it never was."""
        times = [
            at
            for at, partition, tenant in self.began
            if world.starved and (partition, tenant) == (world.partition, world.tenant) and at >= world.onset
        ]
        return min(times, default=None)

    def false_alarms(self, world: StarvationWorld) -> int:
        """Returns the number of reports of tenants that are not starved."""
        return sum(
            not world.starved or (partition, tenant) != (world.partition, world.tenant) or at < world.onset
            for at, partition, tenant in self.began
        )


class StarvationFleet:
    """The starvation machines of a fleet on the simulated network."""

    def __init__(
        self, sites: dict[str, str], shares: dict[str, dict[str, float]], rules: StarvationRules, seed: int
    ) -> None:
        self.clock = SimulatedClock()
        self.started_at = self.clock.now()
        self.net = SimulatedNet(self.clock, Codec((WaitReport, WaitReportReply)), seed)
        self.machines: dict[str, StarvationMachine] = {}
        self.ledgers: dict[str, InMemoryLedgers] = {}
        position = {name: number for number, name in enumerate(sites)}
        cards = [Card(Incarnation(name, self.started_at + 1), "", site) for name, site in sites.items()]

        def build(peer: SimulatedPeer, node: Node) -> None:
            card = next(c for c in cards if c.incarnation.name == peer.name)
            ledgers = self.ledgers[peer.name] = InMemoryLedgers()
            members = StaticMembers(card, cards)
            # the members' windows end at different times
            began = self.started_at - position[peer.name] * rules.window // len(sites)
            machine = StarvationMachine(
                card, members, ledgers, rules, TenantShares(shares.get(peer.name, {})), began
            )
            self.machines[peer.name] = machine
            node.add([machine])

        for name, site in sites.items():
            self.net.add(name, site, build)
            self.net.start(name)

    def replay(self, name: str, events: Iterable[Event]) -> None:
        """Passes events to a partition's recorder at their times, which count from the fleet's start."""
        remaining_events = iter(events)

        def step(event: Event) -> None:
            _, what, number, tenant, job_class, slots = event
            machine, now = self.machines.get(name), self.clock.now()
            if machine is not None:
                if what == 0:
                    machine.recorder.waiting(now, number, now, tenant, job_class, slots)
                elif what == 1:
                    machine.recorder.started(now, number)
                else:
                    machine.recorder.ended(now, number)
            following = next(remaining_events, None)
            if following is not None:
                self.clock.call_at(self.started_at + following[0], step, following)

        first = next(remaining_events, None)
        if first is not None:
            self.clock.call_at(self.started_at + first[0], step, first)


def run_detection(world: StarvationWorld, rules: StarvationRules, lost: float) -> DetectionResult:
    """Runs the starvation machines on a world. ``lost``: the share of their messages that is lost."""
    fleet = StarvationFleet(world.sites, world.shares, rules, world.seed)
    fleet.net.default_link.lost = lost
    fleet.net.default_link.doubled, fleet.net.default_link.jitter = lost / 2, 400 * MS
    result = DetectionResult()

    def on_event(event: FleetEvent) -> None:
        at = (fleet.clock.now() - fleet.started_at) / SECOND
        if isinstance(event, StarvationBegan):
            result.began.append((at, event.partition, event.tenant))
            result.evidence.append(event)
        elif isinstance(event, StarvationEnded):
            result.ended.append((at, event.partition, event.tenant))

    for name, events in world.events.items():
        fleet.net.peers[name].on_event = on_event
        fleet.replay(name, events)
    fleet.net.run(int(world.length * SECOND))
    sent = [fleet.net.bytes[name] / world.length for name in world.sites]
    result.bytes_per_second, result.max_bytes_per_second = sum(sent) / len(sent), max(sent)
    result.messages_per_second = fleet.net.messages.total() / len(sent) / world.length
    return result


def run_naive_rule(world: StarvationWorld, window: float = 5.0, windows: int = 6) -> DetectionResult:
    """Applies a simple rule for comparison: a tenant is starved in a partition if the mean of its finished
    waits over the last ``windows`` windows is more than twice that of the other tenants there.

    A tenant is reported as soon as the rule holds, and again after it did not hold for a window."""
    result = DetectionResult()
    for name, events in world.events.items():
        taken: dict[int, int] = {}
        finished: list[tuple[float, str, float]] = []
        for at, what, number, tenant, _, _ in events:
            if what == 0:
                taken[number] = at
            elif what == 1:
                finished.append((at / SECOND, tenant, (at - taken[number]) / SECOND))
        flagged: set[str] = set()
        for look in range(1, int(world.length / window) + 1):
            to = look * window
            some = [(t, wait) for at, t, wait in finished if to - windows * window <= at < to]
            sums, counts = defaultdict[str, float](float), Counter[str]()
            for tenant, wait in some:
                sums[tenant] += wait
                counts[tenant] += 1
            everything = sum(sums.values())
            now = set[str]()
            for tenant, n in counts.items():
                others = len(some) - n
                if others and sums[tenant] / n > 2 * (everything - sums[tenant]) / others:
                    now.add(tenant)
            result.began += [(to, name, tenant) for tenant in sorted(now - flagged)]
            flagged = now
    return result
