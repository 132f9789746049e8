"""A live run with a rollout: agents on the workers' machines, which the dispatchers command over links.

A worker keeps its name over the restarts of its process, as a machine does. Dispatchers reach the agents
directly, by ``[routes]`` of the fleet file: one that is cut off from the others still reaches them.
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

_TICK_INTERVAL = 20 * MS


@dataclass(slots=True, eq=False)
class LiveWorkerHost:
    """A worker's machine, as its agent controls it. Implements ``TargetHost`` of ``lab.fleet.agents``."""

    run: "RolloutRun"
    name: str
    starting: bool = False
    history: list[tuple[int, str]] = field(default_factory=list)  # time (ns) and runtime of each start

    def drain(self) -> None:
        self.run.fleet.drain(self.name)

    def end(self) -> None:
        self.run.fleet.end(self.name)

    def begin(self, runtime: str) -> None:
        loop = self.run.loop
        self.history.append((loop.now(), runtime))
        self.starting = True
        loop.call_at(loop.now() + self.run.start_time, self._start_worker, runtime)

    def _start_worker(self, runtime: str) -> None:
        self.starting = False
        fleet = self.run.fleet
        old = fleet.workers[self.name]
        worker = fleet.add(old.group, self.name, old.zone, self.run.loop.now() // MS * MS)
        worker.fail_fast(self.run.failure_rates.get(runtime, 0.0))
        fleet.discovery.change(fleet.entry(worker))

    def up(self) -> bool | None:
        return None if self.starting else self.run.fleet.workers[self.name].state is State.UP

    def process(self) -> tuple[str, int]:
        return self.name, self.run.fleet.workers[self.name].started_at


class LiveAgent:
    """An agent with links of its own. It carries out the commands of any dispatcher."""

    def __init__(
        self, loop: Loop, name: str, listen: Address, host: LiveWorkerHost, peers: dict[str, str]
    ) -> None:
        incarnation = Incarnation(AGENT_PREFIX + name, loop.now())
        self.agent = Agent(name, "1.0")
        self._loop, self._closed = loop, False
        kinds: tuple[type[Message], ...] = (Command, AgentStatus)
        self._node = Node(incarnation, self._send, self._on_event)
        self._node.add([AgentMachine(self.agent, host)])
        listener = sockets.listen(listen)
        self.address: Address = listener.getsockname()[:2]
        self._links = Links(
            loop,
            listener,
            Codec(kinds),
            incarnation,
            LinkRules(),
            lambda other: peers.get(other, ""),
            self._on_message,
            lambda other: None,
        )
        self._tick()

    def _send(self, action: Send) -> None:
        self._links.send(action)

    def _on_event(self, event: FleetEvent) -> None:
        return

    def _on_message(self, sender: Incarnation, to_start: int, message: Message) -> None:
        self._node.received(self._loop.now(), sender, to_start, message)

    def _tick(self) -> None:
        if not self._closed and self._node.next_at() < NEVER:
            self._node.ticked(self._loop.now())
            self._loop.call_at(self._loop.now() + _TICK_INTERVAL, self._tick)

    def close(self) -> None:
        """Stops the agent and closes its links."""
        self._closed = True
        self._links.close()


class RolloutRun(LiveRun):
    """A live run in which a dispatcher starts a rollout.

    ``plan``: the text of the rollout plan. ``plan_owner``: the number of the dispatcher that starts it.
    ``failure_rates``: the share of its jobs that a runtime fails. ``start_time``: of a worker's process, ns.
    """

    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path,
        plan: str,
        *,
        plan_owner: int = 0,
        failure_rates: dict[str, float] | None = None,
        start_time: int = 300 * MS,
    ) -> None:
        self.plan, self.plan_owner, self.start_time = plan, plan_owner, start_time
        self.failure_rates = failure_rates or {}
        self.hosts: dict[str, LiveWorkerHost] = {}
        self.live_agents: dict[str, LiveAgent] = {}
        self.min_slots: dict[str, float] = {}  # the fewest slots of running workers at any time, by zone
        super().__init__(world, seed, folder)
        self._sample_slots()

    def _start_agents(self) -> None:
        peers = {f"d{n}": "{}:{}".format(*self._loopback.fleet_member(n)) for n in range(len(self._listen))}
        for name in self.fleet.workers:
            host = self.hosts[name] = LiveWorkerHost(self, name)
            self.live_agents[name] = LiveAgent(self.loop, name, self._loopback.worker_agents, host, peers)

    def _fleet_file(self, number: int) -> str | None:
        """Adds the agents' addresses, and for the dispatcher that starts it the plan."""
        text = super()._fleet_file(number)
        if text is None:
            return None
        if not self.live_agents:
            self._start_agents()
        routes = [
            f'"{AGENT_PREFIX}{n}" = "{s.address[0]}:{s.address[1]}"' for n, s in self.live_agents.items()
        ]
        section = ["", "[rollout]", 'meet = "1500 ms"']
        if number == self.plan_owner:
            path = self._folder / "plan.toml"
            path.write_text(self.plan)
            section.append(f"plan = {json.dumps(str(path))}")
        return text + "\n".join(routes + section) + "\n"

    def run(self) -> Result:
        """As ``LiveRun.run``; closes the agents at the end."""
        try:
            return super().run()
        finally:
            for live_agent in self.live_agents.values():
                live_agent.close()

    def _sample_slots(self) -> None:
        """Updates ``min_slots`` from the states of the workers' processes."""
        for zone in self.world.network.zones:
            in_zone = [p for p in self.fleet.workers.values() if p.zone == zone]
            slots = sum(float(p.group.slots) for p in in_zone if p.state is State.UP)
            self.min_slots[zone] = min(slots, self.min_slots.get(zone, slots))
        self.loop.call_at(self.loop.now() + 5 * MS, self._sample_slots)

    def starts(self, runtime: str) -> dict[str, int]:
        """How often each worker was started with ``runtime``."""
        return {n: sum(r == runtime for _, r in host.history) for n, host in self.hosts.items()}
