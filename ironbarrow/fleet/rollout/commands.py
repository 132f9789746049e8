"""What a coordinator, the agents at the targets and those who watch say to each other; an agent's rules.

Message kinds 60 to 79. A command carries the epoch of its coordinator and the number of its step. An agent
refuses an older epoch, does a number once, and answers every command with its state, so that a repeat is
harmless whoever sends it.
"""

import enum

import msgspec

from ironbarrow.fleet.api import Message
from ironbarrow.fleet.invariants import check

AGENT = "agent:"  # a target's agent is the member of this name and the target's, at workers


class Phase(enum.IntEnum):
    """What a target is doing."""

    UP = 1  # it serves
    DRAINING = 2
    STARTING = 3
    FAILED = 4  # the last start did not come up


class Command(Message, frozen=True, array_like=True):
    """Replace the target's runtime: drain it, end it, start it with ``runtime``."""

    KIND = 60
    rollout: str
    epoch: int
    number: int  # of the step; rises. 0: only tell the state, and refuse older epochs from now on
    target: str
    runtime: str
    drain: int = 0  # ns, from draining to the end of the process


class Answer(Message, frozen=True, array_like=True):
    """An agent's state: in answer to a command, and unasked when it changes."""

    KIND = 61
    rollout: str
    target: str
    epoch: int  # the highest that it has seen
    number: int  # of the last step that it began; 0: none
    phase: int
    runtime: str  # that it runs, or is about to
    started_at: int = 0  # Unix ns of its process's start
    starts: int = 0  # begun in this step
    crashes: int = 0  # ends of its process that nobody ordered, of this runtime
    refused: bool = False  # the command was of an older epoch
    worker: str = ""  # the name under which its process is listed


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """What a dispatcher saw of one worker and class since it last told."""

    worker: str
    started_at: int  # of the worker's process, Unix ns, as the discovery service tells it; 0: long ago
    job_class: str
    done: int = 0
    failed: int = 0  # ended with an error
    reset: int = 0  # lost, or the connection broke
    sent_work: int = 0  # ns of usual work of the attempts sent
    times: tuple[int, ...] = ()  # ns, of some that are done


class Load(msgspec.Struct, frozen=True, array_like=True):
    """What a dispatcher knows of one worker at the end of a stretch."""

    worker: str
    started_at: int
    mine: float  # slots of its own attempts there
    free: float = -1.0  # slots, as the worker told last; -1: it told nothing


class Observed(Message, frozen=True, array_like=True):
    """A dispatcher's figures of one stretch of time; ``number`` rises with each, so that a repeat or a late
    one changes nothing."""

    KIND = 62
    number: int
    site: str
    counts: tuple[Counts, ...] = ()
    loads: tuple[Load, ...] = ()
    held: float = 0.0  # slots of the jobs that it holds and that wait


class StarvationSeen(Message, frozen=True, array_like=True):
    """A verdict on a tenant: it waits too long at a partition since ``began_at`` (Unix ns)."""

    KIND = 63
    tenant: str
    partition: str
    began_at: int


class Agent:
    """The rules of an agent, for any kind of target. It keeps them over its restarts: what it must not
    forget is ``epoch``, ``number``, ``runtime``."""

    def __init__(self, target: str, runtime: str, started_at: int = 0) -> None:
        self.target, self.runtime, self.started_at = target, runtime, started_at
        self.worker = target
        self.rollout, self.epoch, self.number = "", 0, 0
        self.phase = Phase.UP
        self.starts = self.crashes = 0
        self.done: list[int] = []  # the last numbers that it has begun

    def take(self, command: Command) -> tuple[bool, Answer]:
        """Whether the command is to be carried out now, and the answer to it."""
        if command.rollout != self.rollout:
            # epochs and numbers belong to one rollout's ledger; only one rollout is under way at a time
            if self.phase in (Phase.DRAINING, Phase.STARTING):
                return False, self.answer(refused=True)
            self.rollout, self.epoch, self.number = command.rollout, 0, 0
            self.done.clear()
        if command.epoch < self.epoch:
            return False, self.answer(refused=True)
        self.epoch = command.epoch
        if command.number <= self.number:
            return False, self.answer()
        check("a step once", command.number not in self.done, target=self.target, number=command.number)
        self.number = command.number
        self.done = [*self.done[-63:], command.number]
        self.runtime, self.phase = command.runtime, Phase.DRAINING
        self.starts = self.crashes = 0
        return True, self.answer()

    def answer(self, *, refused: bool = False) -> Answer:
        return Answer(
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
