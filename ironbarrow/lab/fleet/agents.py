"""Simulated rollout agents: they drain, stop and start a target's process on a coordinator's commands.

The state that an agent must keep over a restart of its own (epoch, step number, runtime) is in its ``Agent``.
That object outlives the agent's process, as a file on disk would.
"""

from typing import Protocol

from ironbarrow.fleet.api import NEVER, Action, Incarnation, Message, Send
from ironbarrow.fleet.rollout.commands import Agent, AgentStatus, Command, Phase
from ironbarrow.runtime.clock import MS, SECOND

_POLL_INTERVAL = 250 * MS
_RESTART_DELAY = 3 * SECOND  # until a crashed process, or one that failed to start, is started again


class TargetHost(Protocol):
    """The machine that a target runs on, as its agent controls it."""

    def drain(self) -> None:
        """Lists the process as draining at the discovery service, so that it gets no new jobs."""

    def end(self) -> None:
        """Stops the process."""

    def begin(self, runtime: str) -> None:
        """Starts a cold process of that runtime; ``up`` returns None until the start has ended."""

    def up(self) -> bool | None:
        """Whether the process serves jobs; None while it starts."""

    def process(self) -> tuple[str, int]:
        """The worker name that the process is listed under, and its start time (Unix ns)."""


class AgentMachine:
    """Runs one agent on the simulated network. Implements ``api.Machine``."""

    handles: tuple[type[Message], ...] = (Command,)

    def __init__(self, agent: Agent, host: TargetHost) -> None:
        self.agent, self.host = agent, host
        self._coordinator: Incarnation | None = None
        self._stop_at = NEVER  # when the drain ends and the process is stopped
        self._start_at = NEVER  # when the process is started again
        self._poll_at = 0
        if agent.phase is Phase.DRAINING:  # the agent was restarted during a drain: finish it now
            self._stop_at = 0

    def received(self, now: int, sender: Incarnation, command: Command) -> list[Action]:
        if command.target != self.agent.target:
            return []
        starts_drain, status = self.agent.handle(command)
        if not status.refused:
            self._coordinator = sender
        if starts_drain:
            self.host.drain()
            self._stop_at, self._start_at = now + command.drain, NEVER
        return [Send(sender, status)]

    def next_at(self) -> int:
        return min(self._poll_at, self._stop_at, self._start_at)

    def ticked(self, now: int) -> list[Action]:
        agent = self.agent
        before = (agent.phase, agent.starts, agent.crashes)
        if now >= self._stop_at:
            self._stop_at = NEVER
            self.host.end()
            self._start()
        if now >= self._start_at:
            self._start_at = NEVER
            self._start()
        if now >= self._poll_at:
            self._poll_at = now + _POLL_INTERVAL
            self._poll(now)
        changed = before != (agent.phase, agent.starts, agent.crashes)
        return [Send(self._coordinator, self._status())] if changed and self._coordinator is not None else []

    def _start(self) -> None:
        self.agent.phase = Phase.STARTING
        self.host.begin(self.agent.runtime)

    def _poll(self, now: int) -> None:
        agent, up = self.agent, self.host.up()
        if agent.phase is Phase.STARTING and up is not None:
            agent.phase = Phase.UP if up else Phase.FAILED
            agent.worker, agent.started_at = self.host.process()
            if not up:
                agent.starts += 1
                self._start_at = now + _RESTART_DELAY
        elif agent.phase is Phase.UP and up is False and self._start_at == NEVER:
            agent.crashes += 1
            self._start_at = now + _RESTART_DELAY

    def _status(self) -> AgentStatus:
        return self.agent.status()
