"""Messages of a rollout between the coordinator, the targets' agents and the other members; an agent's rules.

Message kinds 60 to 79. A command carries the epoch of its coordinator and the number of its step. An agent
refuses commands of an older epoch, carries out each number once, and answers every command with its status,
so that a repeated command is harmless, whoever sends it.
"""

import enum

import msgspec

from ironbarrow.fleet.api import Message
from ironbarrow.fleet.invariants import check

AGENT_PREFIX = "agent:"  # and the target's name: the name of a worker's agent


class Phase(enum.IntEnum):
    """The phase of a target's process."""

    UP = 1  # serving
    DRAINING = 2
    STARTING = 3
    FAILED = 4  # the process did not come up after its last start


class Command(Message, frozen=True, array_like=True):
    """Replaces the target's process: drain it, stop it, start it with ``runtime``."""

    KIND = 60
    rollout: str
    epoch: int
    number: int  # of the step, rising; 0: only report the status, and refuse older epochs from now on
    target: str
    runtime: str
    drain: int = 0  # ns, from the start of draining until the process is stopped


class AgentStatus(Message, frozen=True, array_like=True):
    """An agent's status, sent in reply to each command and whenever it changes."""

    KIND = 61
    rollout: str
    target: str
    epoch: int  # the highest seen
    number: int  # of the last step begun; 0: none
    phase: int
    runtime: str  # that the target runs, or is being started with
    started_at: int = 0  # when its process started, Unix ns
    starts: int = 0  # failed ones of this step
    crashes: int = 0  # unexpected exits of its process in this step
    refused: bool = False  # the command was not accepted: older epoch, or busy with another rollout
    worker: str = ""  # the name under which the discovery service lists its process


class AttemptCounts(msgspec.Struct, frozen=True, array_like=True):
    """A dispatcher's counts for one worker and job class since its last report."""

    worker: str
    started_at: int  # when the worker's process started, Unix ns; 0: long ago
    job_class: str
    done: int = 0
    failed: int = 0  # attempts that ended with an error
    reset: int = 0  # attempts that were lost or whose connection broke
    sent_work: int = 0  # ns: usual durations of the attempts sent, times their slots
    durations: tuple[int, ...] = ()  # ns, of some of the attempts done


class WorkerLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a dispatcher knows of one worker's load at the end of a report's period."""

    worker: str
    started_at: int
    own_slots: float  # used by the dispatcher's own attempts
    free_slots: float = -1.0  # as last reported by the worker; -1: not reported


class DispatcherReport(Message, frozen=True, array_like=True):
    """A dispatcher's report of one period. ``number`` rises with each, so that repeated and late reports
    are recognized."""

    KIND = 62
    number: int
    site: str
    counts: tuple[AttemptCounts, ...] = ()
    loads: tuple[WorkerLoad, ...] = ()
    waiting_slots: float = 0.0  # wanted by the jobs that wait at the dispatcher


class StarvationReport(Message, frozen=True, array_like=True):
    """A verdict that a tenant's jobs have waited too long at a partition since ``began_at`` (Unix ns)."""

    KIND = 63
    tenant: str
    partition: str
    began_at: int


class Agent:
    """The rules of an agent, for any kind of target.

    ``epoch``, ``number`` and ``runtime`` have to survive a restart of the agent."""

    def __init__(self, target: str, runtime: str, started_at: int = 0) -> None:
        self.target, self.runtime, self.started_at = target, runtime, started_at
        self.worker = target
        self.rollout, self.epoch, self.number = "", 0, 0
        self.phase = Phase.UP
        self.starts = self.crashes = 0
        self.begun: list[int] = []  # the numbers of the last steps begun

    def handle(self, command: Command) -> tuple[bool, AgentStatus]:
        """Returns whether the command is to be carried out now, and the reply to it."""
        if command.rollout != self.rollout:
            # epochs and numbers are those of one rollout's ledger; only one rollout runs at a time
            if self.phase in (Phase.DRAINING, Phase.STARTING):
                return False, self.status(refused=True)
            self.rollout, self.epoch, self.number = command.rollout, 0, 0
            self.begun.clear()
        if command.epoch < self.epoch:
            return False, self.status(refused=True)
        self.epoch = command.epoch
        if command.number <= self.number:
            return False, self.status()
        check("a step once", command.number not in self.begun, target=self.target, number=command.number)
        self.number = command.number
        self.begun = [*self.begun[-63:], command.number]
        self.runtime, self.phase = command.runtime, Phase.DRAINING
        self.starts = self.crashes = 0
        return True, self.status()

    def status(self, *, refused: bool = False) -> AgentStatus:
        """Returns the present status; ``refused``: as the reply to a command that was not accepted."""
        return AgentStatus(
            self.rollout,
            self.target,
            self.epoch,
            self.number,
            self.phase,
            self.runtime,
            self.started_at,
            self.starts,
            self.crashes,
            refused,
            self.worker,
        )
