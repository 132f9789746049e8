"""Rules of recovery: which member claims an ended member's ledger, and what it does with each job in it.

| in the ledger | safe job | booking |
| --- | --- | --- |
| taken, no attempt sent | started again | started again; after a partial reading: failed and counted |
| intent | cancelled at the worker, then started again | waits for its call-back, never sent again |
| refused | refused | refused |
| no time or attempts left | refused | refused if no attempt may have run, else failed |

Does no input or output.
"""

import enum
from collections.abc import Iterable

from ironbarrow.fleet.api import rank
from ironbarrow.fleet.records import JobRecord, Stage
from ironbarrow.runtime.clock import MS

CLAIM_STAGGER = 400 * MS  # each further member in the order of claimants waits this much longer


class RecoveryAction(enum.Enum):
    """What is done with a job that was taken over. The values are names of counters in results."""

    RETRY = "again"
    CANCEL = "call off"
    AWAIT_CALL_BACK = "keep"
    REFUSE = "refused"
    FAIL = "failed"
    ABANDON = "unsaved"  # answered as failed: nothing proves that no other member runs it


def claim_position(ledger: str, me: str, alive: Iterable[str]) -> int:
    """How many live members come before this one in the order in which they claim that ledger."""
    own = rank(ledger, me)
    return sum(1 for name in alive if name != me and (rank(ledger, name), name) > (own, me))


def choose_action(
    record: JobRecord, *, safe: bool, whole: bool, most_attempts: int, now: int
) -> RecoveryAction:
    """What to do with a job of an ended member. ``whole``: its ledger was sealed and read completely."""
    if record.stage is Stage.REFUSED:
        return RecoveryAction.REFUSE
    may_run = record.may_have_run or record.stage is Stage.INTENT
    if record.stage is Stage.INTENT and not (safe and record.until <= now):
        if not safe:
            return RecoveryAction.AWAIT_CALL_BACK if record.until > now else RecoveryAction.FAIL
        return RecoveryAction.CANCEL
    if not safe and may_run:
        return RecoveryAction.FAIL  # it may have run, and a refused client would retry it
    if not safe and not whole:
        return RecoveryAction.ABANDON  # an intent may be in the part of the ledger that could not be read
    if record.until <= now or record.attempts >= most_attempts:
        return RecoveryAction.REFUSE
    return RecoveryAction.RETRY
