"""A live run with a rollout: agents at the workers' machines, which the dispatchers command over links.

A worker's process keeps its name over its restarts, as a machine does. Agents are reached straight, by
``[routes]``: a dispatcher that is cut off from the others still reaches them.
"""

import json
from dataclasses import dataclass, field
from pathlib import Path

from ironbarrow.fleet.api import NEVER, FleetEvent, Incarnation, Message, Send
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LinkRules
from ironbarrow.fleet.links import Links
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.rollout.commands import AGENT_PREFIX, Agent, AgentStatus, Command
from ironbarrow.lab.fleet.agents import AgentMachine
from ironbarrow.lab.live.run import LiveRun
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.worker import State
from ironbarrow.lab.result import Result
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import MS, Loop
from ironbarrow.runtime.sockets import Address

_TICK = 20 * MS


@dataclass(slots=True, eq=False)
class LiveBox:
    """A worker's machine, as its agent uses it: a ``Box``."""

    run: "RolloutRun"
    name: str
    starting: bool = False
    history: list[tuple[int, str]] = field(default_factory=list)  # starts: when (ns), of which runtime

    def drain(self) -> None:
        self.run.fleet.drain(self.name)

    def end(self) -> None:
        self.run.fleet.end(self.name)

    def begin(self, runtime: str) -> None:
        loop = self.run.loop
        self.history.append((loop.now(), runtime))
        self.starting = True
        loop.call_at(loop.now() + self.run.start_time, self._comes_up, runtime)

    def _comes_up(self, runtime: str) -> None:
        self.starting = False
        fleet = self.run.fleet
        old = fleet.workers[self.name]
        made = fleet.add(old.group, self.name, old.zone, self.run.loop.now() // MS * MS)
        made.fail_fast(self.run.failing.get(runtime, 0.0))
        fleet.discovery.change(fleet.entry(made))

    def up(self) -> bool | None:
        return None if self.starting else self.run.fleet.workers[self.name].state is State.UP

    def process(self) -> tuple[str, int]:
        return self.name, self.run.fleet.workers[self.name].started_at


class AgentSeat:
    """An agent on the loop, with links of its own. It answers to whoever commands."""

    def __init__(self, loop: Loop, name: str, listen: Address, box: LiveBox, peers: dict[str, str]) -> None:
        incarnation = Incarnation(AGENT_PREFIX + name, loop.now())
        self.agent = Agent(name, "1.0")
        self._loop, self._closed = loop, False
        kinds: tuple[type[Message], ...] = (Command, AgentStatus)
        self._node = Node(incarnation, self._send, self._told)
        self._node.add([AgentMachine(self.agent, box)])
        listener = sockets.listen(listen)
        self.address: Address = listener.getsockname()[:2]
        self._links = Links(
            loop,
            listener,
            Codec(kinds),
            incarnation,
            LinkRules(),
            lambda other: peers.get(other, ""),
            self._received,
            lambda other: None,
        )
        self._tick()

    def _send(self, action: Send) -> None:
        self._links.send(action)

    def _told(self, news: FleetEvent) -> None:
        return

    def _received(self, sender: Incarnation, to_start: int, message: Message) -> None:
        self._node.received(self._loop.now(), sender, to_start, message)

    def _tick(self) -> None:
        if not self._closed and self._node.next_at() < NEVER:
            self._node.ticked(self._loop.now())
            self._loop.call_at(self._loop.now() + _TICK, self._tick)

    def close(self) -> None:
        self._closed = True
        self._links.close()


class RolloutRun(LiveRun):
    """``plan``: the text of the plan that the dispatcher ``leads`` starts; ``failing``: which part of its
    jobs a runtime fails."""

    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path,
        plan: str,
        *,
        leads: int = 0,
        failing: dict[str, float] | None = None,
        start_time: int = 300 * MS,
    ) -> None:
        self.plan, self.leads, self.start_time = plan, leads, start_time
        self.failing = failing or {}
        self.boxes: dict[str, LiveBox] = {}
        self.seats: dict[str, AgentSeat] = {}
        self.low: dict[str, float] = {}  # the fewest slots in use at any moment, by zone
        super().__init__(world, seed, folder)
        self._watch()

    def _place_agents(self) -> None:
        peers = {f"d{n}": "{}:{}".format(*self._loopback.fleet_member(n)) for n in range(len(self._listen))}
        for name in self.fleet.workers:
            box = self.boxes[name] = LiveBox(self, name)
            self.seats[name] = AgentSeat(self.loop, name, self._loopback.agents, box, peers)

    def _fleet_file(self, number: int) -> str | None:
        """With the agents' addresses, and the plan at the one that starts it."""
        text = super()._fleet_file(number)
        if text is None:
            return None
        if not self.seats:
            self._place_agents()
        routes = [f'"{AGENT_PREFIX}{n}" = "{s.address[0]}:{s.address[1]}"' for n, s in self.seats.items()]
        rules = ["", "[rollout]", 'meet = "1500 ms"']
        if number == self.leads:
            path = self._folder / "plan.toml"
            path.write_text(self.plan)
            rules.append(f"plan = {json.dumps(str(path))}")
        return text + "\n".join(routes + rules) + "\n"

    def run(self) -> Result:
        try:
            return super().run()
        finally:
            for seat in self.seats.values():
                seat.close()

    def _watch(self) -> None:
        """What is in use, by the processes' own state."""
        for zone in self.world.network.zones:
            here = [p for p in self.fleet.workers.values() if p.zone == zone]
            slots = sum(float(p.group.slots) for p in here if p.state is State.UP)
            self.low[zone] = min(slots, self.low.get(zone, slots))
        self.loop.call_at(self.loop.now() + 5 * MS, self._watch)

    def starts(self, runtime: str) -> dict[str, int]:
        """How often each worker was started with a runtime."""
        return {n: sum(r == runtime for _, r in box.history) for n, box in self.boxes.items()}
