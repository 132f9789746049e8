"""Steps of take-overs and lookups, reported for the log at the moment in which they happen.

They change nothing: after an incident they show which member held, claimed, adopted or gave up which ledger,
and why a lookup ended as it did. Does no input or output.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.fleet.api import Incarnation


class LedgerStep(enum.Enum):
    """What has happened to the ledger of an ended incarnation at this member."""

    OPENED = "opened"  # to be taken over
    INHERITED = "inherited"  # its claim was found in the ledger of a claimant that has ended
    CLAIM_BEGUN = "claim begun"
    SEALED = "sealed"  # it belongs to this member; nothing of it is adopted yet
    COPIED = "copied"  # its content is appended to the claimant's own ledger, in place of the claim
    ADOPTED = "adopted"  # that append is at a majority of the replicas, or the ledger was read in part
    CLAIMED_BY_MEMBER = "claimed by a live member"
    CLAIMED_BY_ENDED = "claimed by an ended member"
    CLAIM_REPEATED = "claim repeated"
    REPLICAS_LOST = "replicas lost"
    LOST_WITH_CLAIMANT = "lost with its claimant"  # the claimant's ledger is lost, or nobody tells of it
    # the reasons for which a ledger is no longer open here, beside its adoption
    CLOSED_MEMBER_ALIVE = "closed: its member is alive"
    CLOSED_ADOPTED_ELSEWHERE = "closed: adopted by another member"
    CLOSED_CLAIMANT_TAKEN_OVER = "closed: its claimant's ledger is taken over"
    CLOSED_READ_IN_PART = "closed: another member has adopted what is left of it"


@dataclass(frozen=True, slots=True)
class LedgerReport:
    """A step of a take-over. ``by``: the member concerned, if it is another one."""

    incarnation: Incarnation
    step: LedgerStep
    by: Incarnation | None = None
    records: int | None = None
    whole: bool | None = None  # the ledger was read completely


@dataclass(frozen=True, slots=True)
class LookupReport:
    """The end of a lookup. ``waited``: ns since it began, or since the job's holder was lost."""

    id: str
    result: str
    reason: str
    rounds: int
    waited: int


StepReport = LedgerReport | LookupReport
StepObserver = Callable[[StepReport], None]


def ignore_steps(report: StepReport) -> None:
    """An observer that does nothing."""
