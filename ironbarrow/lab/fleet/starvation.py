"""Worlds with a known truth about who starves, and the machines of a fleet that look at them.

Each partition has its own arrivals, queue and servers, simulated first; what happened is then told to the
real machines on the simulated network. A cause sets in at ``onset`` and stays. Three kinds are starvation,
four only look so, one is nothing at all.
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
from ironbarrow.lab.fleet.net import Seat, SimulatedNet
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

STARVED = ("one partition", "one class", "busy neighbour")
ONLY_LOOKS_SO = ("slow for all", "over its share", "another mix", "too few")
KINDS = (*STARVED, *ONLY_LOOKS_SO, "nothing")

# class: mean service s, latest start s after it was taken (the queue's order), patience s
_CLASSES = {"map": (0.06, 0.5, 3.0), "decode": (0.15, 2.0, 6.0), "booking": (0.10, 4.0, 8.0)}
_SIZES = ((1.0, 0.8), (2.0, 0.15), (4.0, 0.05))  # slots, part of the jobs; work grows with the root


@dataclass(slots=True, eq=False)
class Arrival:
    """A job: when it comes (s), what it is, and where it queues."""

    at: float
    tenant: str
    job_class: str
    slots: float
    work: float  # s
    order: float  # the lowest is served first
    lane: str = ""  # servers of its own, where a cause has it so


@dataclass(slots=True, eq=False)
class Lane:
    """Servers of a partition, with one queue. ``stalls``: when none of them starts anything, s."""

    servers: int
    speed: float = 1.0
    slow_from: float = 1e9
    slow: float = 1.0  # speed from then on
    stalls: list[tuple[float, float]] = field(default_factory=list)


Event = tuple[
    int, int, int, str, str, float
]  # ns, what (0 taken, 1 started, 2 ended), job, tenant, class, slots


def served(lanes: dict[str, Lane], arrivals: Sequence[Arrival], length: float) -> list[Event]:
    """What happens to jobs: started, given up when their patience is over, or still waiting at the end."""
    events: list[Event] = []
    by_lane: dict[str, list[tuple[int, Arrival]]] = defaultdict(list)
    for number, job in enumerate(arrivals):
        by_lane[job.lane if job.lane in lanes else ""].append((number, job))
        events.append((int(job.at * SECOND), 0, number, job.tenant, job.job_class, job.slots))

    def ended(at: float, what: int, number: int, job: Arrival) -> None:
        if at < length:
            events.append((int(at * SECOND), what, number, job.tenant, job.job_class, job.slots))

    for name, jobs in by_lane.items():
        lane = lanes[name]
        free = [0.0] * lane.servers  # when each server is free
        heapify(free)
        queue: list[tuple[float, int, Arrival]] = []
        coming, at = 0, 0.0
        while coming < len(jobs) or queue:
            at = max(at, free[0], jobs[coming][1].at if not queue else 0.0)
            at = max([at, *(end for begin, end in lane.stalls if begin <= at < end)])
            while coming < len(jobs) and jobs[coming][1].at <= at:
                number, job = jobs[coming]
                heappush(queue, (job.order, number, job))
                coming += 1
            _, number, job = heappop(queue)
            gives_up = job.at + _CLASSES[job.job_class][2]
            if gives_up <= at:
                ended(gives_up, 2, number, job)
                continue
            ended(at, 1, number, job)
            speed = lane.slow if at >= lane.slow_from else lane.speed
            heappop(free)
            heappush(free, at + job.work / speed)
    events.sort()
    return events


@dataclass(slots=True, eq=False)
class World:
    """What happens in a fleet, and what is true of it."""

    kind: str
    seed: int
    onset: float
    length: float
    sites: dict[str, str]  # by partition
    events: dict[str, list[Event]]
    shares: dict[str, dict[str, float]]  # by partition and tenant, jobs a second
    tenant: str  # of whom the question is
    partition: str

    @property
    def starved(self) -> bool:
        return self.kind in STARVED


def generate(kind: str, seed: int, length: float = 85.0, onset: float = 30.0) -> World:
    """One world of a kind. The same arguments give the same world."""
    draw = random.Random(f"{kind}/{seed}")
    names = [f"p{i}" for i in range(draw.randrange(3, 6))]
    tenants = [f"t{i}" for i in range(draw.randrange(5, 10))]
    total = draw.uniform(14, 26)  # jobs a second in a partition
    parts = [1 / (i + 1) ** draw.uniform(0.3, 1.0) for i in range(len(tenants))]
    rates = {t: total * p / sum(parts) for t, p in zip(tenants, parts, strict=True)}
    mixes = {t: [draw.gammavariate(2, 1) for _ in _CLASSES] for t in tenants}
    bursts = {t: draw.random() < 0.3 for t in tenants}
    x = draw.choice(tenants[1:4])
    y = draw.choice([t for t in tenants if t != x])
    where = draw.choice(names)
    load, crowded = draw.uniform(0.55, 0.85), draw.uniform(0.93, 1.0)
    few_rate = draw.uniform(0.15, 0.45)
    world = World(kind, seed, onset, length, {}, {}, {}, x, where)
    for place, name in enumerate(names):
        here = name == where
        world.sites[name] = "abc"[place % 3]
        local = {t: rate * draw.uniform(0.6, 1.4) for t, rate in rates.items()}
        world.shares[name] = {t: 1.5 * rate for t, rate in local.items()}
        work = sum(local[t] * _mean_work(mixes[t]) for t in tenants)
        lanes = {"": Lane(max(2, round(work / load)))}
        stalls = _stalls(draw, 0, length, 40.0)
        if here and kind == "too few":
            local[x] = few_rate
            stalls += _stalls(draw, onset, length, 8.0)
        lanes[""].stalls = sorted(stalls)
        arrivals: list[Arrival] = []
        for t in tenants:
            late_rate, late_mix = local[t], mixes[t]
            if kind == "another mix" and t == x:
                # dear to wait for here, cheap elsewhere
                late_mix = [0.5, 9.0, 0.5] if here else [9.0, 0.5, 0.5]
            if here and ((kind == "over its share" and t == x) or (kind == "busy neighbour" and t == y)):
                late_rate *= draw.uniform(4, 8)
            arrivals += _arrivals(draw, t, local[t], mixes[t], 0, onset, bursts[t])
            arrivals += _arrivals(draw, t, late_rate, late_mix, onset, length, bursts[t])
        if here:
            _cause(draw, world, lanes, arrivals, y, local, mixes)
        if kind == "another mix":
            decodes = [a for a in arrivals if a.job_class == "decode"]
            for job in decodes:
                job.lane = "decode"
            busy = sum(job.work for job in decodes if job.at >= onset) / (length - onset)
            lanes["decode"] = Lane(max(1, round(busy)), speed=busy / max(1, round(busy)) / crowded)
        arrivals.sort(key=lambda job: job.at)
        world.events[name] = served(lanes, arrivals, length)
    return world


def _mean_work(mix: list[float]) -> float:
    size: float = sum(part * slots**0.5 for slots, part in _SIZES)
    return size * sum(m * c[0] for m, c in zip(mix, _CLASSES.values(), strict=True)) / sum(mix)


def _stalls(draw: random.Random, begin: float, end: float, every: float) -> list[tuple[float, float]]:
    found, at = [], begin + draw.expovariate(1 / every)
    while at < end:
        found.append((at, at + draw.uniform(0.3, 1.4)))
        at += 1.4 + draw.expovariate(1 / every)
    return found


def _arrivals(
    draw: random.Random, tenant: str, rate: float, mix: list[float], begin: float, end: float, bursts: bool
) -> list[Arrival]:
    """Poisson, or (``bursts``) on and off in turn, on for a third of the time."""
    found, at, until, on = [], begin, end, True
    if bursts:
        rate, until, on = 3 * rate, begin + draw.expovariate(1.0), draw.random() < 1 / 3
    while at < end:
        if not on:
            at, on = at + draw.expovariate(1 / 2.0), True
            until = at + draw.expovariate(1.0)
            continue
        at += draw.expovariate(rate)
        if at >= until and bursts:
            at, on = until, False
            continue
        if at < end:
            (name,) = draw.choices(list(_CLASSES), mix)
            mean, start_by, _ = _CLASSES[name]
            (slots,) = draw.choices([s for s, _ in _SIZES], [p for _, p in _SIZES])
            work = slots**0.5 * mean * draw.gammavariate(2, 0.5)
            found.append(Arrival(at, tenant, name, slots, work, at + start_by))
    return found


def _cause(
    draw: random.Random,
    world: World,
    lanes: dict[str, Lane],
    arrivals: list[Arrival],
    y: str,
    local: dict[str, float],
    mixes: dict[str, list[float]],
) -> None:
    """Lays the world's cause on the partition of the question."""
    x, kind, onset = world.tenant, world.kind, world.onset
    late = world.length - onset
    hit = [job for job in arrivals if job.tenant == x and job.at >= onset]
    if kind == "one class":  # the one of which there is most
        worst = Counter(job.job_class for job in hit).most_common(1)[0][0]
        hit = [job for job in hit if job.job_class == worst]
    if kind in ("one partition", "one class"):
        # bound to workers that can't do it all, or do it barely
        for job in hit:
            job.lane = "bound"
        lanes["bound"] = Lane(1, speed=sum(job.work for job in hit) / late / draw.uniform(1.0, 2.0))
    elif kind == "busy neighbour":
        # y's keys are on the same workers as those of x, and its jobs are wanted sooner
        flood = [job for job in arrivals if job.tenant == y and job.at >= onset]
        for job in (*hit, *flood):
            job.lane = "bound"
        for job in flood:
            job.order -= 10
        lanes["bound"] = Lane(2, speed=sum(job.work for job in flood) / late / 2 / draw.uniform(0.85, 1.0))
    elif kind == "slow for all":
        lanes[""].slow_from, lanes[""].slow = onset, draw.uniform(0.4, 0.65)
    elif kind == "over its share":
        # what is over waits for the share's own slots
        for job in hit:
            job.lane = "share"
        lanes["share"] = Lane(1, speed=1.5 * local[x] * _mean_work(mixes[x]))
    elif kind == "too few":
        # its few jobs come when nothing starts
        stalls = [stall for stall in lanes[""].stalls if stall[0] >= onset]
        for job in hit:
            if stalls and draw.random() < 0.8:
                begin, end = draw.choice(stalls)
                job.at = draw.uniform(begin, (begin + end) / 2)
                job.order = job.at + _CLASSES[job.job_class][1]


# The fleet that looks at it


class AllThere:
    """Members that are all alive, all the time."""

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


class Pages:
    """Ledgers that keep at once what is appended."""

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

    def claim(self, now: int, at: LedgerLocation) -> list[Action]:
        return []

    def lead(self, now: int, at: LedgerLocation) -> list[Action]:
        return []

    def close(self, now: int, ledger: str) -> list[Action]:
        return []


@dataclass(slots=True, eq=False)
class Seen:
    """What the machines made of a world. Times in s."""

    began: list[tuple[float, str, str]] = field(default_factory=list)  # when, partition, tenant
    ended: list[tuple[float, str, str]] = field(default_factory=list)
    evidence: list[StarvationBegan] = field(default_factory=list)
    bytes_a_second: float = 0.0  # a member, mean
    bytes_most: float = 0.0  # of the member with most
    messages_a_second: float = 0.0

    def found_at(self, world: World) -> float | None:
        """When what is true was told; None: never."""
        times = [
            at
            for at, partition, tenant in self.began
            if world.starved and (partition, tenant) == (world.partition, world.tenant) and at >= world.onset
        ]
        return min(times, default=None)

    def false_alarms(self, world: World) -> int:
        """Verdicts on what is not so."""
        return sum(
            not world.starved or (partition, tenant) != (world.partition, world.tenant) or at < world.onset
            for at, partition, tenant in self.began
        )


class Fleet:
    """Machines of a fleet on the simulated network."""

    def __init__(
        self, sites: dict[str, str], shares: dict[str, dict[str, float]], rules: StarvationRules, seed: int
    ) -> None:
        self.clock = SimulatedClock()
        self.begins = self.clock.now()
        self.net = SimulatedNet(self.clock, Codec((WaitReport, WaitReportReply)), seed)
        self.machines: dict[str, StarvationMachine] = {}
        self.pages: dict[str, Pages] = {}
        place = {name: number for number, name in enumerate(sites)}
        cards = [Card(Incarnation(name, self.begins + 1), "", site) for name, site in sites.items()]

        def build(seat: Seat, node: Node) -> None:
            card = next(c for c in cards if c.incarnation.name == seat.name)
            pages = self.pages[seat.name] = Pages()
            members = AllThere(card, cards)
            # their windows end at different times
            began = self.begins - place[seat.name] * rules.window // len(sites)
            machine = StarvationMachine(
                card, members, pages, rules, TenantShares(shares.get(seat.name, {})), began
            )
            self.machines[seat.name] = machine
            node.add([machine])

        for name, site in sites.items():
            self.net.add(name, site, build)
            self.net.start(name)

    def tell(self, name: str, events: Iterable[Event]) -> None:
        """Has a partition's book told of events as their time comes; times count from the fleet's start."""
        coming = iter(events)

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
            following = next(coming, None)
            if following is not None:
                self.clock.call_at(self.begins + following[0], step, following)

        first = next(coming, None)
        if first is not None:
            self.clock.call_at(self.begins + first[0], step, first)


def watched(world: World, rules: StarvationRules, lost: float) -> Seen:
    """A world as the machines see it, with that part of all messages lost."""
    fleet = Fleet(world.sites, world.shares, rules, world.seed)
    fleet.net.usual.lost = lost
    fleet.net.usual.doubled, fleet.net.usual.jitter = lost / 2, 400 * MS
    seen = Seen()

    def told(news: FleetEvent) -> None:
        at = (fleet.clock.now() - fleet.begins) / SECOND
        if isinstance(news, StarvationBegan):
            seen.began.append((at, news.partition, news.tenant))
            seen.evidence.append(news)
        elif isinstance(news, StarvationEnded):
            seen.ended.append((at, news.partition, news.tenant))

    for name, events in world.events.items():
        fleet.net.seats[name].on_news = told
        fleet.tell(name, events)
    fleet.net.run(int(world.length * SECOND))
    sent = [fleet.net.bytes[name] / world.length for name in world.sites]
    seen.bytes_a_second, seen.bytes_most = sum(sent) / len(sent), max(sent)
    seen.messages_a_second = fleet.net.messages.total() / len(sent) / world.length
    return seen


def naive(world: World, window: float = 5.0, windows: int = 6) -> Seen:
    """The rule that is set beside it: the mean of a tenant's finished waits in a partition over the last
    windows is more than twice that of the others there. It begins at once, and again after it was not so."""
    seen = Seen()
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
            seen.began += [(to, name, tenant) for tenant in sorted(now - flagged)]
            flagged = now
    return seen
