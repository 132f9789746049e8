"""Rules of lookups: when a job that a client has sent again may be started here. Does no input or output.

A booking must not be started while any ledger that may hold its id is neither adopted nor known to be lost.
Once one is lost, an id that no member knows counts as possibly run, for as long as answers are kept. The same
holds for a marked retry where no member has followed the fleet for that long: all that knew of an earlier
ledger may have ended.
"""

import enum
from collections.abc import Collection
from dataclasses import dataclass

from ironbarrow.fleet.api import Incarnation


class LookupDecision(enum.Enum):
    """What to do with a job that is looked up. The values appear in logs and counters."""

    START = "start the job"
    ANSWER_NOT_FOUND = "no member knows it, and it may have run"
    ANSWER_HISTORY_UNKNOWN = "no member has followed the fleet for long enough to know it"
    WAIT_NEXT_INCARNATION = "this incarnation has ended"
    WAIT_HOLDER = "a member owns it"
    WAIT_CANCELLATION = "an attempt of it is being cancelled here"
    WAIT_OPEN_LEDGER_HERE = "this member knows of a ledger that is not taken over"
    WAIT_OPEN_LEDGER_ELSEWHERE = "another member knows of a ledger that is not taken over"
    WAIT_SETTLING = "this member may not know all others yet"
    WAIT_ANSWERS = "not all members have answered in this round"


@dataclass(frozen=True, slots=True)
class LookupEvidence:
    """What this member knows about a looked-up job at the end of a round of queries."""

    safe: bool  # the job may run twice
    fenced: bool  # this incarnation has ended
    has_holder: bool  # a member has answered that it owns the job
    cancelling: bool  # an attempt of it is being cancelled here
    open_here: Collection[Incarnation]  # ended incarnations whose ledgers this member knows to be open
    open_elsewhere: bool  # a member has reported such a ledger in this round
    settled: bool  # this member has run long enough to know all others
    unanswered: Collection[Incarnation]  # live members that have not answered in this round
    lost: bool  # a member of this round knows of a lost ledger
    # it is no marked retry, or a member of this round has followed the fleet for as long as answers are kept
    history_known: bool
    sent_before: bool  # an earlier incarnation of this process may have sent it


def decide(evidence: LookupEvidence) -> LookupDecision:
    """What may be done with the job now."""
    if evidence.fenced:
        return LookupDecision.WAIT_NEXT_INCARNATION
    if evidence.has_holder:
        return LookupDecision.WAIT_HOLDER
    if evidence.cancelling:
        return LookupDecision.WAIT_CANCELLATION
    if evidence.open_elsewhere:
        return LookupDecision.WAIT_OPEN_LEDGER_ELSEWHERE
    if evidence.open_here:
        return LookupDecision.WAIT_OPEN_LEDGER_HERE
    if not evidence.settled:
        return LookupDecision.WAIT_SETTLING
    if evidence.unanswered:
        return LookupDecision.WAIT_ANSWERS
    if evidence.sent_before or (evidence.lost and not evidence.safe):
        return LookupDecision.ANSWER_NOT_FOUND
    if not evidence.history_known and not evidence.safe:
        return LookupDecision.ANSWER_HISTORY_UNKNOWN
    return LookupDecision.START
