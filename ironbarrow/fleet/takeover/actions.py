"""What the machine of taking over tells the process that it is part of. No input or output."""

from dataclasses import dataclass

from ironbarrow.core.jobs import Answer
from ironbarrow.fleet.api import FleetEvent, Incarnation
from ironbarrow.fleet.records import JobRecord


@dataclass(frozen=True, slots=True)
class StartJob(FleetEvent):
    """The job is this process's: the host takes it, with the attempts that are left."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class AwaitCallBack(FleetEvent):
    """A worker may have the job: it waits for its call-back and is never sent beside it."""

    record: JobRecord
    safe: bool


@dataclass(frozen=True, slots=True)
class CancelAtWorker(FleetEvent):
    """The job's worker is told to stop; ``Takeover.called_off`` follows."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class ReplyToClient(FleetEvent):
    """A client's one answer; None: another request is under that id."""

    waiter: object
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class AttemptDecision(FleetEvent):
    """An attempt's first byte may be written, or (``may`` False) never is."""

    attempt: object
    allowed: bool


@dataclass(frozen=True, slots=True)
class WithdrawJob(FleetEvent):
    """Nothing more is owed of the job here: what is out is called off."""

    id: str


@dataclass(frozen=True, slots=True)
class ReleaseJob(FleetEvent):
    """Another has the job now: nothing of it is sent, called off or answered here."""

    id: str


@dataclass(frozen=True, slots=True)
class DeliverCallBack(FleetEvent):
    """A worker's word that came to another member."""

    id: str
    worker: str
    state: str
    result: bytes


@dataclass(frozen=True, slots=True)
class LedgerAdopted(FleetEvent):
    """All that an incarnation owed is in this member's ledger, and what is to be done with it has begun.
    ``whole`` False: what could still be read of it."""

    incarnation: Incarnation
    jobs: int
    whole: bool
    after: int  # ns since this member held that incarnation for ended


@dataclass(frozen=True, slots=True)
class Superseded(FleetEvent):
    """Another has sealed this member's ledger: it goes on as a new incarnation or not at all."""
