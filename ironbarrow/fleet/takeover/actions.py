"""Actions of the take-over machine that the host adapter carries out. Does no input or output."""

from dataclasses import dataclass

from ironbarrow.core.jobs import Answer
from ironbarrow.fleet.api import FleetEvent, Incarnation
from ironbarrow.fleet.records import JobRecord


@dataclass(frozen=True, slots=True)
class StartJob(FleetEvent):
    """The host accepts the job, with the attempts that it has left."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class AwaitCallBack(FleetEvent):
    """A worker may have the job: it waits for the worker's call-back, no second copy is sent meanwhile."""

    record: JobRecord
    safe: bool


@dataclass(frozen=True, slots=True)
class CancelAtWorker(FleetEvent):
    """The job is cancelled at its worker; on confirmation ``Takeover.cancelled_at_worker`` is called."""

    record: JobRecord


@dataclass(frozen=True, slots=True)
class ReplyToClient(FleetEvent):
    """The only answer to a client; None: the id is in use by another request."""

    waiter: object
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class AttemptDecision(FleetEvent):
    """An attempt may be sent; or (``allowed`` False) it ends unsent."""

    attempt: object
    allowed: bool


@dataclass(frozen=True, slots=True)
class WithdrawJob(FleetEvent):
    """No client waits for the job any more: it ends, and its attempts are cancelled."""

    id: str


@dataclass(frozen=True, slots=True)
class ReleaseJob(FleetEvent):
    """Another member owns the job now: it is dropped here, neither cancelled at its workers nor answered."""

    id: str


@dataclass(frozen=True, slots=True)
class DeliverCallBack(FleetEvent):
    """A worker's call-back that another member has received and forwarded."""

    id: str
    worker: str
    state: str
    result: bytes


@dataclass(frozen=True, slots=True)
class LedgerAdopted(FleetEvent):
    """The jobs of an ended incarnation are in this member's ledger and are being handled.

    ``whole`` False: only those that could still be read."""

    incarnation: Incarnation
    jobs: int
    whole: bool
    after: int  # ns since this member took that incarnation to have ended


@dataclass(frozen=True, slots=True)
class Superseded(FleetEvent):
    """Another member has sealed this member's ledger: the process continues as a new incarnation."""
