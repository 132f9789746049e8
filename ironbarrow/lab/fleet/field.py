"""A rollout without jobs: members, agents and targets in virtual time, with random load of faults.

For what the coordinator promises whatever happens: a step once, floors kept, sites in order. ``RolloutField``
judges by what the machines did, not by what the coordinator believes.
"""

import dataclasses
import random

from ironbarrow.fleet.api import News
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.rollout.commands import AGENT, Agent, Answer, Command, Observed, StarvationSeen
from ironbarrow.fleet.rollout.coordinator import Listed, RolloutChanged, Rollouts
from ironbarrow.fleet.rollout.plan import Target
from ironbarrow.lab.fleet.agents import AgentMachine
from ironbarrow.lab.fleet.net import Seat, SimulatedNet
from ironbarrow.lab.fleet.standin import Shared, StandInLedgers, StandInMembers
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS, SECOND

KINDS = (Command, Answer, Observed, StarvationSeen)


@dataclasses.dataclass(slots=True, eq=False)
class FieldBox:
    """A target's machine that only takes its time: a ``Box``."""

    field: "RolloutField"
    target: Target
    serving: bool = True
    draining: bool = False
    up_at: int = 0
    started_at: int = 0
    runtime: str = "1.0"
    history: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    broken: bool = False  # it does not come up
    lost: bool = False  # by something that has nothing to do with the rollout

    def drain(self) -> None:
        self.draining = True
        self.field.changed(self.target)

    def end(self) -> None:
        self.serving = False
        self.field.changed(self.target)

    def begin(self, runtime: str) -> None:
        now = self.field.clock.now()
        self.runtime, self.draining, self.serving = runtime, False, False
        self.up_at, self.started_at = now + self.field.start_time, now
        self.history.append((now, runtime))
        self.field.clock.call_at(self.up_at, self._comes_up, self.started_at)

    def _comes_up(self, started_at: int) -> None:
        if self.started_at == started_at and not self.broken and not self.lost:
            self.serving = True
            self.field.changed(self.target)

    def up(self) -> bool | None:
        if self.serving:
            return True
        return None if self.field.clock.now() < self.up_at else False

    def process(self) -> tuple[str, int]:
        return self.target.name, self.started_at

    def in_use(self) -> bool:
        return self.serving and not self.draining and not self.lost


class RolloutField:
    """Members that may lead, agents, targets. Everything follows from ``seed``."""

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
        self.net = SimulatedNet(self.clock, Codec(KINDS), seed)
        self.shared = Shared(self.net, self._tell, seed)
        self.start_time, self.list_delay = start_time, list_delay
        self.classes: dict[str, str | None] = {"map": None, "decode": "fast"}
        self.boxes = {target.name: FieldBox(self, target) for target in targets}
        self.agents = {target.name: Agent(target.name, "1.0") for target in targets}
        self.machines: dict[str, Rollouts] = {}
        self.news: list[RolloutChanged] = []
        for number in range(members):
            name, site = f"m{number}", sites[number % len(sites)]
            seat = self.net.add(name, site, self._member)
            seat.on_news = lambda news, name=name: self._heard(name, news)
            self.net.start(name)
        for target in targets:
            self.net.add(AGENT + target.name, target.site, self._agent)
            self.net.start(AGENT + target.name)
        self._push()

    def _member(self, seat: Seat, node: Node) -> None:
        members = StandInMembers(self.shared, node.life, seat.site)
        ledgers = StandInLedgers(self.shared, members)
        machine = Rollouts(members, ledgers, lambda now: now, None, self.classes)
        self.machines[seat.name] = machine
        machine.providers(self.clock.now(), self._list())
        node.add([machine])

    def _agent(self, seat: Seat, node: Node) -> None:
        name = seat.name.removeprefix(AGENT)
        node.add([AgentMachine(self.agents[name], self.boxes[name])])

    def _tell(self, name: str, news: News) -> None:
        self.net.order(name, lambda node, now: node.carry_out(self.machines[name].told(now, news)))

    def _heard(self, name: str, news: News) -> None:
        if isinstance(news, RolloutChanged):
            self.news.append(news)

    # The list of targets

    def _list(self) -> list[Listed]:
        return [Listed(box.target, box.in_use(), box.started_at) for box in self.boxes.values()]

    def changed(self, target: Target) -> None:
        """A target has changed: what is in use is looked at, and the list goes out a little later."""
        self.clock.call_at(self.clock.now() + self.list_delay, self._push)

    def _push(self) -> None:
        for name, machine in self.machines.items():
            if self.net.seats[name].node is not None:
                machine.providers(self.clock.now(), self._list())

    # What is done to it

    def start(self, name: str, plan: str) -> None:
        machine = self.machines[name]
        self.net.order(name, lambda node, now: node.carry_out(machine.start(now, plan.encode())))

    def run(self, seconds: float) -> None:
        self.net.run(int(seconds * SECOND))

    def crash(self, name: str, down: int) -> None:
        """Ends a member; it starts again after ``down`` ns."""
        if self.net.seats[name].node is None:
            return
        self.shared.crash(name)

        def again() -> None:
            self.net.start(name)

        self.clock.call_at(self.clock.now() + down, again)

    def leader(self) -> str | None:
        """Who leads, and writes the ledger that counts."""
        for name, machine in self.machines.items():
            lead = machine.lead
            if lead is not None and self.net.seats[name].node is not None:
                found = self.shared.ledgers.get(lead.ledger)
                if found is not None and found.writer == self.net.seats[name].node.life:  # type: ignore[union-attr]
                    return name
        return None

    def stage(self) -> str:
        name = self.leader()
        lead = self.machines[name].lead if name is not None else None
        return lead.state.stage.name if lead is not None else "none"

    # The judgement

    def replaced(self, runtime: str) -> dict[str, int]:
        """How often each target was started with a runtime."""
        return {
            name: sum(started == runtime for _, started in box.history) for name, box in self.boxes.items()
        }

    def in_use(self, site: str = "", kind: str = "") -> float:
        """Slots in use now, by the machines' own state."""
        return sum(
            box.target.slots
            for box in self.boxes.values()
            if box.in_use() and site in ("", box.target.site) and kind in ("", box.target.kind)
        )


def targets_of(sites: int, each: int, slots: float = 4.0) -> list[Target]:
    """So many sites (a, b, ...) with so many targets each, by turns of the kinds "slow" and "fast"."""
    return [
        Target(f"{chr(97 + s)}{n}", chr(97 + s), ("slow", "fast")[n % 2], slots)
        for s in range(sites)
        for n in range(each)
    ]
