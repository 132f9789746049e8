"""A simulated network in virtual time that can lose, delay, duplicate, reorder and block messages.

All randomness comes from one seed. Messages are encoded and decoded by the real codec, so that a message that
cannot be encoded fails here too. A fault applies to messages sent from then on; those in flight still arrive,
unless their target has ended.
"""

import random
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, FleetEvent, Incarnation, Send
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.node import Node
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


class ProcessCrashedError(Exception):
    """Raised inside a simulated process that ends in the middle of a call, after ``SimulatedNet.crash``."""


@dataclass(slots=True)
class LinkConditions:
    """What happens to messages from one peer to another. Probabilities from 0 to 1, times in ns."""

    latency: int = MS // 4
    jitter: int = MS // 10  # added to the latency, uniform; a large one reorders messages
    lost: float = 0.0
    doubled: float = 0.0
    cut: bool = False


@dataclass(slots=True, eq=False)
class SimulatedPeer:
    """A name on the network with its current incarnation, if one runs."""

    name: str
    site: str
    build: Callable[["SimulatedPeer", Node], None]  # adds the machines of a new incarnation to its node
    node: Node | None = None  # None while no incarnation runs
    paused: bool = False  # stopped, as by SIGSTOP; arriving messages are deferred
    deferred: list[Callable[[], None]] = field(default_factory=list)
    tick_due_at: int = NEVER
    incarnations: int = 0
    events: list[FleetEvent] = field(default_factory=list)  # of the current incarnation
    on_event: Callable[[FleetEvent], None] | None = None


class SimulatedNet:
    """The network. ``links`` overrides ``default_link`` for (sender, target); looked up at each send."""

    def __init__(self, clock: SimulatedClock, codec: Codec, seed: int) -> None:
        self.clock, self.codec = clock, codec
        self.random = random.Random(seed)
        self.default_link = LinkConditions()
        self.links: dict[tuple[str, str], LinkConditions] = {}
        self.peers: dict[str, SimulatedPeer] = {}
        self.messages: Counter[str] = Counter()  # sent, by sender
        self.bytes: Counter[str] = Counter()
        self.messages_by_type: Counter[str] = Counter()
        self.lost = 0

    def link(self, source: str, target: str) -> LinkConditions:
        """Returns the current conditions from one peer to another."""
        return self.links.get((source, target), self.default_link)

    def cut(self, source: str, target: str, *, both: bool = True) -> None:
        """Blocks all messages from ``source`` to ``target``, and with ``both`` those in the other
        direction."""
        for pair in ((source, target), (target, source))[: 2 if both else 1]:
            self.links[pair] = LinkConditions(cut=True)

    def cut_sites(self, one: str, other: str) -> None:
        """Blocks all messages between the peers of two sites, in both directions."""
        for a in self.peers.values():
            for b in self.peers.values():
                if a.site == one and b.site == other:
                    self.cut(a.name, b.name)

    def heal(self) -> None:
        """Restores the default conditions on all links."""
        self.links.clear()

    def add(self, name: str, site: str, build: Callable[[SimulatedPeer, Node], None]) -> SimulatedPeer:
        """Adds a name; ``start`` starts its first incarnation."""
        self.peers[name] = peer = SimulatedPeer(name, site, build)
        return peer

    def start(self, name: str) -> Incarnation:
        """Starts the next incarnation of a name; it inherits no state from the previous one."""
        peer = self.peers[name]
        peer.incarnations += 1
        incarnation = Incarnation(name, self.clock.now() + peer.incarnations)
        peer.paused, peer.events, peer.tick_due_at = False, [], NEVER
        peer.deferred = []

        def record_event(event: FleetEvent) -> None:
            peer.events.append(event)
            if peer.on_event is not None:
                peer.on_event(event)

        node = peer.node = Node(incarnation, lambda action: self._send(peer, node, action), record_event)
        peer.build(peer, node)
        self._schedule_tick(peer)
        return incarnation

    def crash(self, name: str) -> None:
        """Ends the current incarnation at once, without any message."""
        peer = self.peers[name]
        peer.node, peer.deferred = None, []

    def pause(self, name: str) -> None:
        """Stops a process, as SIGSTOP does, until ``resume``."""
        self.peers[name].paused = True

    def resume(self, name: str) -> None:
        """Continues a paused process: first with the messages that came meanwhile, then with what is due."""
        peer = self.peers[name]
        peer.paused = False
        deferred, peer.deferred = peer.deferred, []
        for call in deferred:
            with suppress(ProcessCrashedError):
                call()
        self._schedule_tick(peer)

    def run_on(self, name: str, call: Callable[[Node, int], None]) -> None:
        """Calls a function with a peer's node and the time, if the peer runs and is not paused."""
        peer = self.peers[name]
        if peer.node is not None and not peer.paused:
            with suppress(ProcessCrashedError):
                call(peer.node, self.clock.now())
            self._schedule_tick(peer)

    def run(self, duration: int) -> None:
        """Advances the virtual time by ``duration`` ns."""
        self.clock.run(self.clock.now() + duration)

    def _schedule_tick(self, peer: SimulatedPeer) -> None:
        if peer.node is None or peer.paused:
            return
        due = max(peer.node.next_at(), self.clock.now())
        if due < NEVER and due < peer.tick_due_at:
            peer.tick_due_at = due
            self.clock.call_at(due, self._tick, peer, peer.node, due)

    def _tick(self, peer: SimulatedPeer, node: Node, due: int) -> None:
        if peer.tick_due_at == due:
            peer.tick_due_at = NEVER
        if peer.node is node and not peer.paused:
            with suppress(ProcessCrashedError):
                node.ticked(self.clock.now())
            self._schedule_tick(peer)

    def _send(self, peer: SimulatedPeer, node: Node, action: Send) -> None:
        if peer.node is not node:
            return
        frame = self.codec.encode(node.incarnation, action.to.start, action.message)
        self.messages[peer.name] += 1
        self.bytes[peer.name] += len(frame)
        self.messages_by_type[type(action.message).__name__] += 1
        link = self.link(peer.name, action.to.name)
        if link.cut or self.random.random() < link.lost:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < link.doubled else 1):
            due = self.clock.now() + link.latency + int(self.random.random() * link.jitter)
            self.clock.call_at(due, self._arrive, action.to.name, frame[4:])

    def _arrive(self, name: str, frame: bytes) -> None:
        peer = self.peers.get(name)
        if peer is None or peer.node is None:
            return
        if peer.paused:
            peer.deferred.append(lambda: self._arrive(name, frame))
            return
        found = self.codec.decode(frame)
        if found is not None:
            with suppress(ProcessCrashedError):
                peer.node.received(self.clock.now(), *found)
            self._schedule_tick(peer)
