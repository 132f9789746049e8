"""Simulates a rollout without jobs: members, agents and targets in virtual time, on a network with faults.

Used to check the coordinator's invariants: each step is done once, floors are kept, sites are updated in
order. The checks read the state of the simulated target hosts, not the coordinator's own state.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from ironbarrow.fleet.api import Action, Card, Change, Committed, FleetEvent, Message
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LedgerRules, MemberRules
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.rollout.commands import (
    AGENT_PREFIX,
    Agent,
    AgentStatus,
    Command,
    DispatcherReport,
    StarvationReport,
)
from ironbarrow.fleet.rollout.coordinator import ListedTarget, RolloutChanged, RolloutMachine
from ironbarrow.fleet.rollout.plan import Floor, Target, parse
from ironbarrow.fleet.rollout.records import LEDGER_PREFIX
from ironbarrow.lab.fleet.agents import AgentMachine
from ironbarrow.lab.fleet.net import SimulatedNet, SimulatedPeer
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

KINDS = (Command, AgentStatus, DispatcherReport, StarvationReport)


@dataclasses.dataclass(slots=True, eq=False)
class SimulatedTargetHost:
    """A target's machine whose process only takes time to start. Implements ``TargetHost``."""

    simulation: "RolloutSimulation"
    target: Target
    serving: bool = True
    draining: bool = False
    up_at: int = 0
    started_at: int = 0
    runtime: str = "1.0"
    history: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    fails_to_start: bool = False
    lost: bool = False  # failed for a reason other than the rollout

    def drain(self) -> None:
        before = self.simulation.count_broken_floors()
        self.draining = True
        self.simulation.drain_started(before)
        self.simulation.target_changed(self.target)

    def end(self) -> None:
        self.serving = False
        self.simulation.target_changed(self.target)

    def begin(self, runtime: str) -> None:
        now = self.simulation.clock.now()
        self.runtime, self.draining, self.serving = runtime, False, False
        self.up_at, self.started_at = now + self.simulation.start_time, now
        self.history.append((now, runtime))
        self.simulation.clock.call_at(self.up_at, self._finish_start, self.started_at)

    def _finish_start(self, started_at: int) -> None:
        if self.started_at == started_at and not self.fails_to_start and not self.lost:
            self.serving = True
            self.simulation.target_changed(self.target)

    def up(self) -> bool | None:
        if self.serving:
            return True
        return None if self.simulation.clock.now() <= self.up_at else False

    def process(self) -> tuple[str, int]:
        return self.target.name, self.started_at

    def in_use(self) -> bool:
        return self.serving and not self.draining and not self.lost


class CountedLedgers(LedgerMachine):
    """A member's ledgers. Counts each append over the whole simulation and reports it to ``on_write``."""

    simulation: "RolloutSimulation"

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        seq, actions = super().append(now, ledger, changes)
        if seq:
            self.simulation.writes += 1
            self.simulation.write_numbers[self.me.name, seq] = self.simulation.writes
            self.simulation.on_write(self.me.name, self.simulation.writes, False)
        return seq, actions


class RolloutSimulation:
    """Members that may coordinate, agents and targets. A run is determined by ``seed``."""

    def __init__(
        self,
        targets: list[Target],
        seed: int,
        *,
        members: int = 6,
        sites: tuple[str, ...] = ("a", "b", "c"),
        start_time: int = SECOND,
        list_delay: int = 300 * MS,
    ) -> None:
        self.clock = SimulatedClock()
        self.random = random.Random(seed)
        kinds: tuple[type[Message], ...] = (*KINDS, *MemberMachine.handles, *LedgerMachine.handles)
        self.net = SimulatedNet(self.clock, Codec(kinds), seed)
        self.writes = 0  # appends so far, over all members
        self.write_numbers: dict[tuple[str, int], int] = {}  # by writer and sequence number
        # called with False when an append is made, and with True once it is committed, before its
        # writer learns it
        self.on_write: Callable[[str, int, bool], None] = lambda writer, number, committed: None
        self.ledgers: dict[str, CountedLedgers] = {}
        self.start_time, self.list_delay = start_time, list_delay
        self.classes: dict[str, str | None] = {"map": None, "decode": "fast"}
        self.hosts = {target.name: SimulatedTargetHost(self, target) for target in targets}
        self.agents = {target.name: Agent(target.name, "1.0") for target in targets}
        self.machines: dict[str, RolloutMachine] = {}
        self.rollout_changes: list[RolloutChanged] = []
        self.floors: list[Floor] = []  # of the running plan
        self.broken_floors = 0  # drains that broke a floor, by the state of the hosts
        self.names = [f"m{number}" for number in range(members)]
        for number, name in enumerate(self.names):
            site = sites[number % len(sites)]
            peer = self.net.add(name, site, self._member)
            peer.on_event = lambda event, peer=peer: self._on_event(peer, event)
        for name in self.names:
            self.net.start(name)
        for target in targets:
            self.net.add(AGENT_PREFIX + target.name, target.site, self._agent)
            self.net.start(AGENT_PREFIX + target.name)
        self._publish_targets()
        self.run(3)  # until the members know each other

    def _member(self, peer: SimulatedPeer, node: Node) -> None:
        seeds = [name for name in self.names if name != peer.name]
        card = Card(node.incarnation, "", peer.site, version=1)
        members = MemberMachine(card, MemberRules(), seeds, self.clock.now())
        ledgers = self.ledgers[peer.name] = CountedLedgers(node.incarnation, members, LedgerRules())
        ledgers.simulation = self
        machine = RolloutMachine(members, ledgers, lambda now: now, None, self.classes)
        self.machines[peer.name] = machine
        machine.update_targets(self.clock.now(), self._listed_targets())
        node.add([members, ledgers, machine])

    def _agent(self, peer: SimulatedPeer, node: Node) -> None:
        name = peer.name.removeprefix(AGENT_PREFIX)
        node.add([AgentMachine(self.agents[name], self.hosts[name])])

    def _on_event(self, peer: SimulatedPeer, event: FleetEvent) -> None:
        node = peer.node
        if isinstance(event, RolloutChanged):
            self.rollout_changes.append(event)
        elif node is not None:
            if isinstance(event, Committed) and event.ledger.startswith(LEDGER_PREFIX):
                self.on_write(peer.name, self.write_numbers.get((peer.name, event.seq), 0), True)
            if peer.node is node:
                node.carry_out(self.machines[peer.name].on_event(self.clock.now(), event))

    # The worker list

    def _listed_targets(self) -> list[ListedTarget]:
        return [ListedTarget(host.target, host.in_use(), host.started_at) for host in self.hosts.values()]

    def target_changed(self, target: Target) -> None:
        """Publishes the worker list to all members ``list_delay`` after a target has changed."""
        self.clock.call_at(self.clock.now() + self.list_delay, self._publish_targets)

    def _publish_targets(self) -> None:
        for name, machine in self.machines.items():
            if self.net.peers[name].node is not None:
                machine.update_targets(self.clock.now(), self._listed_targets())

    # Actions of a test

    def start(self, name: str, plan: str) -> None:
        """Starts a rollout at a member. ``plan``: the text of the plan file."""
        machine = self.machines[name]
        self.floors = parse(plan.encode(), "plan").floors
        self.net.run_on(name, lambda node, now: node.carry_out(machine.start(now, plan.encode())))

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        self.net.run(int(seconds * SECOND))

    def crash(self, name: str, down: int) -> None:
        """Ends a member; it starts again after ``down`` ns."""
        if self.net.peers[name].node is None:
            return
        self.net.crash(name)

        def restart() -> None:
            self.net.start(name)

        self.clock.call_at(self.clock.now() + down, restart)

    def coordinator(self) -> str | None:
        """Returns the member that coordinates; if several believe that they do, the one of the highest
        epoch."""
        coordinators = [
            (machine.led.epoch, name)
            for name, machine in self.machines.items()
            if machine.led is not None and self.net.peers[name].node is not None
        ]
        return max(coordinators)[1] if coordinators else None

    def stage(self) -> str:
        """Returns the name of the rollout's stage; "none" if no member coordinates."""
        name = self.coordinator()
        rollout = self.machines[name].led if name is not None else None
        return rollout.state.stage.name if rollout is not None else "none"

    # Checks

    def start_counts(self, runtime: str) -> dict[str, int]:
        """Returns how often each target was started with a runtime."""
        return {
            name: sum(started == runtime for _, started in host.history) for name, host in self.hosts.items()
        }

    def count_broken_floors(self) -> int:
        """Returns the number of floors that are not kept now, by the state of the hosts."""
        broken = 0
        for floor in self.floors:
            used_hosts = [
                host
                for host in self.hosts.values()
                if host.in_use() and floor.includes(host.target, self.classes)
            ]
            broken += sum(host.target.slots for host in used_hosts) < floor.slots
        return broken

    def drain_started(self, broken_before: int) -> None:
        """Counts a drain that broke a floor. ``broken_before``: ``count_broken_floors`` before the drain."""
        self.broken_floors += self.count_broken_floors() > broken_before


def make_targets(sites: int, targets_per_site: int, slots: float = 4.0) -> list[Target]:
    """Returns targets at sites a, b, ... that alternate between the kinds "slow" and "fast"."""
    return [
        Target(f"{chr(97 + s)}{n}", chr(97 + s), ("slow", "fast")[n % 2], slots)
        for s in range(sites)
        for n in range(targets_per_site)
    ]
