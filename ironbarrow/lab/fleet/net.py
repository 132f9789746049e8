"""Members on a simulated network: virtual time, one seed, messages lost, late, doubled, overtaken, cut one
way.

Messages pass through the codec, so that what is sent is what can be sent. A fault changes what happens to
messages that are sent from then on; those under way still arrive, unless their target has ended.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, FleetEvent, Incarnation, Send
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.node import Node
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


@dataclass(slots=True)
class Way:
    """What happens to messages from one member to another. Chances from 0 to 1, times in ns."""

    latency: int = MS // 4
    jitter: int = MS // 10  # uniform, on top: messages overtake each other where it is large
    lost: float = 0.0
    doubled: float = 0.0
    cut: bool = False


@dataclass(slots=True, eq=False)
class Seat:
    """A name on the network, over all its incarnations."""

    name: str
    site: str
    build: Callable[["Seat", Node], None]  # puts the machines of a new incarnation together
    node: Node | None = None  # None: it does not run
    paused: bool = False  # stopped, as by SIGSTOP: what comes waits
    waiting: list[Callable[[], None]] = field(default_factory=list)
    planned_at: int = NEVER
    incarnations: int = 0
    told: list[FleetEvent] = field(default_factory=list)  # by its present incarnation
    on_news: Callable[[FleetEvent], None] | None = None


class SimulatedNet:
    """The network. ``way``: how messages travel, by sender's and target's names; looked up at each send."""

    def __init__(self, clock: SimulatedClock, codec: Codec, seed: int) -> None:
        self.clock, self.codec = clock, codec
        self.random = random.Random(seed)
        self.usual = Way()
        self.ways: dict[tuple[str, str], Way] = {}
        self.seats: dict[str, Seat] = {}
        self.messages: Counter[str] = Counter()  # sent, by sender
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.lost = 0

    def way(self, source: str, target: str) -> Way:
        return self.ways.get((source, target), self.usual)

    def cut(self, source: str, target: str, *, both: bool = True) -> None:
        """From now on nothing gets from one to the other, nor (``both``) back."""
        for pair in ((source, target), (target, source))[: 2 if both else 1]:
            self.ways[pair] = Way(cut=True)

    def cut_sites(self, one: str, other: str) -> None:
        for a in self.seats.values():
            for b in self.seats.values():
                if a.site == one and b.site == other:
                    self.cut(a.name, b.name)

    def mend(self) -> None:
        """All ways are usual again."""
        self.ways.clear()

    def add(self, name: str, site: str, build: Callable[[Seat, Node], None]) -> Seat:
        """A new name; ``start`` begins its first incarnation."""
        self.seats[name] = seat = Seat(name, site, build)
        return seat

    def start(self, name: str) -> Incarnation:
        """Begins an incarnation, or the next one, which knows nothing of the last."""
        seat = self.seats[name]
        seat.incarnations += 1
        incarnation = Incarnation(name, self.clock.now() + seat.incarnations)
        seat.paused, seat.told, seat.planned_at = False, [], NEVER
        seat.waiting = []

        def told(news: FleetEvent) -> None:
            seat.told.append(news)
            if seat.on_news is not None:
                seat.on_news(news)

        node = seat.node = Node(incarnation, lambda action: self._send(seat, node, action), told)
        seat.build(seat, node)
        self._plan(seat)
        return incarnation

    def crash(self, name: str) -> None:
        """Ends an incarnation at once."""
        seat = self.seats[name]
        seat.node, seat.waiting = None, []

    def pause(self, name: str) -> None:
        self.seats[name].paused = True

    def resume(self, name: str) -> None:
        """Goes on: first all that has come meanwhile, then what is due."""
        seat = self.seats[name]
        seat.paused = False
        waiting, seat.waiting = seat.waiting, []
        for call in waiting:
            call()
        self._plan(seat)

    def order(self, name: str, what: Callable[[Node, int], None]) -> None:
        """Has a member that runs do something, with its node and the time."""
        seat = self.seats[name]
        if seat.node is not None and not seat.paused:
            what(seat.node, self.clock.now())
            self._plan(seat)

    def run(self, duration: int) -> None:
        """Lets time pass, ns."""
        self.clock.run(self.clock.now() + duration)

    def _plan(self, seat: Seat) -> None:
        if seat.node is None or seat.paused:
            return
        due = max(seat.node.next_at(), self.clock.now())
        if due < NEVER and due < seat.planned_at:
            seat.planned_at = due
            self.clock.call_at(due, self._tick, seat, seat.node, due)

    def _tick(self, seat: Seat, node: Node, due: int) -> None:
        if seat.planned_at == due:
            seat.planned_at = NEVER
        if seat.node is node and not seat.paused:
            node.ticked(self.clock.now())
            self._plan(seat)

    def _send(self, seat: Seat, node: Node, action: Send) -> None:
        if seat.node is not node:
            return
        frame = self.codec.encode(node.incarnation, action.to.start, action.message)
        self.messages[seat.name] += 1
        self.bytes[seat.name] += len(frame)
        self.kinds[type(action.message).__name__] += 1
        way = self.way(seat.name, action.to.name)
        if way.cut or self.random.random() < way.lost:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < way.doubled else 1):
            due = self.clock.now() + way.latency + int(self.random.random() * way.jitter)
            self.clock.call_at(due, self._arrive, action.to.name, frame[4:])

    def _arrive(self, name: str, frame: bytes) -> None:
        seat = self.seats.get(name)
        if seat is None or seat.node is None:
            return
        if seat.paused:
            seat.waiting.append(lambda: self._arrive(name, frame))
            return
        found = self.codec.decode(frame)
        if found is not None:
            seat.node.received(self.clock.now(), *found)
            self._plan(seat)
