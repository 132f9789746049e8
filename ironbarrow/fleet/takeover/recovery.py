"""What a dead member's ledger says, and what is to become of each job in it. No input or output.

| in the ledger | safe | not safe |
| --- | --- | --- |
| taken, nobody has it | taken anew | taken anew; of a partial reading: not sent, counted |
| intent | called off at the worker, then anew | kept for its call-back, never sent again |
| refused | remembered | remembered |
| no time or attempts left | refused | refused if no attempt may have run, else failed |
"""

import enum
from collections.abc import Iterable

from ironbarrow.fleet.api import rank
from ironbarrow.fleet.records import JobRecord, Stage
from ironbarrow.runtime.clock import MS

CLAIM_STAGGER = 400 * MS  # how long each claimant in line leaves to the one before it


class RecoveryAction(enum.Enum):
    """What becomes of a job that was taken over."""

    RETRY = "again"
    CANCEL = "call off"
    AWAIT_CALL_BACK = "keep"
    REFUSE = "refused"
    FAIL = "failed"
    ABANDON = "unsaved"  # it may be done by nobody, since nothing proves that nobody else does it


def claim_position(ledger: str, me: str, alive: Iterable[str]) -> int:
    """How many stand before this member in the line of claimants."""
    own = rank(ledger, me)
    return sum(1 for name in alive if name != me and (rank(ledger, name), name) > (own, me))


def choose_action(
    record: JobRecord, *, safe: bool, whole: bool, most_attempts: int, now: int
) -> RecoveryAction:
    """What to do with a job that another has left. ``whole``: the ledger was sealed and read to its end."""
    if record.stage is Stage.REFUSED:
        return RecoveryAction.REFUSE
    may_run = record.may_have_run or record.stage is Stage.INTENT
    if record.stage is Stage.INTENT and not (safe and record.until <= now):
        if not safe:
            return RecoveryAction.AWAIT_CALL_BACK if record.until > now else RecoveryAction.FAIL
        return RecoveryAction.CANCEL
    if not safe and may_run:
        return RecoveryAction.FAIL  # danger: it may have run; a refusal invites a repeat
    if not safe and not whole:
        return RecoveryAction.ABANDON  # danger: an intent may be in what could not be read
    if record.until <= now or record.attempts >= most_attempts:
        return RecoveryAction.REFUSE
    return RecoveryAction.RETRY
