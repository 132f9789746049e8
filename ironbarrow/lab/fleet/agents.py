"""Agents on the targets' machines: a stand-in. They drain, end and start processes as a coordinator commands.

What an agent must not forget (epoch, number, runtime) is in its ``Agent``, which outlives its process as a
file on its disk would.
"""

from typing import Protocol

from ironbarrow.fleet.api import NEVER, Action, Incarnation, Message, Send
from ironbarrow.fleet.rollout.commands import Agent, AgentStatus, Command, Phase
from ironbarrow.runtime.clock import MS, SECOND

_LOOK = 250 * MS
_AGAIN = 3 * SECOND  # a process that is gone, or did not come up, is started again after this


class Box(Protocol):
    """A target's machine, as its agent uses it."""

    def drain(self) -> None:
        """Wants nothing new any more; the discovery service says so."""

    def end(self) -> None:
        """Ends the process."""

    def begin(self, runtime: str) -> None:
        """Starts a process of that runtime, cold; it takes a while."""

    def up(self) -> bool | None:
        """Whether it serves; None while it starts."""

    def process(self) -> tuple[str, int]:
        """The name under which the process is listed, and its start, Unix ns."""


class AgentMachine:
    """One agent on the network: an ``api.Machine``."""

    handles: tuple[type[Message], ...] = (Command,)

    def __init__(self, agent: Agent, box: Box) -> None:
        self.agent, self.box = agent, box
        self._commander: Incarnation | None = None
        self._end_at = NEVER  # a drain ends then
        self._begin_at = NEVER  # a process is started then
        self._look_at = 0
        if agent.phase is Phase.DRAINING:  # the agent itself was started anew in between
            self._end_at = 0

    def received(self, now: int, sender: Incarnation, command: Command) -> list[Action]:
        if command.target != self.agent.target:
            return []
        begins, answer = self.agent.handle(command)
        if not answer.refused:
            self._commander = sender
        if begins:
            self.box.drain()
            self._end_at, self._begin_at = now + command.drain, NEVER
        return [Send(sender, answer)]

    def next_at(self) -> int:
        return min(self._look_at, self._end_at, self._begin_at)

    def ticked(self, now: int) -> list[Action]:
        agent = self.agent
        before = (agent.phase, agent.starts, agent.crashes)
        if now >= self._end_at:
            self._end_at = NEVER
            self.box.end()
            self._start()
        if now >= self._begin_at:
            self._begin_at = NEVER
            self._start()
        if now >= self._look_at:
            self._look_at = now + _LOOK
            self._look(now)
        changed = before != (agent.phase, agent.starts, agent.crashes)
        return [Send(self._commander, self._answer())] if changed and self._commander is not None else []

    def _start(self) -> None:
        self.agent.phase = Phase.STARTING
        self.box.begin(self.agent.runtime)

    def _look(self, now: int) -> None:
        agent, up = self.agent, self.box.up()
        if agent.phase is Phase.STARTING and up is not None:
            agent.phase = Phase.UP if up else Phase.FAILED
            agent.worker, agent.started_at = self.box.process()
            if not up:
                agent.starts += 1
                self._begin_at = now + _AGAIN
        elif agent.phase is Phase.UP and up is False and self._begin_at == NEVER:
            agent.crashes += 1
            self._begin_at = now + _AGAIN

    def _answer(self) -> AgentStatus:
        return self.agent.status()
