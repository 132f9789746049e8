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

STAND = 400 * MS  # how long each claimant in line leaves to the one before it


class What(enum.Enum):
    """What becomes of a job that was taken over."""

    AGAIN = "again"
    CALL_OFF = "call off"
    KEEP = "keep"
    REFUSED = "refused"
    FAILED = "failed"
    UNSAVED = "unsaved"  # it may be done by nobody, since nothing proves that nobody else does it


def turn(ledger: str, me: str, alive: Iterable[str]) -> int:
    """How many stand before this member in the line of claimants."""
    own = rank(ledger, me)
    return sum(1 for name in alive if name != me and (rank(ledger, name), name) > (own, me))


def what(record: JobRecord, *, safe: bool, whole: bool, most_attempts: int, now: int) -> What:
    """What to do with a job that another has left. ``whole``: the ledger was sealed and read to its end."""
    if record.stage is Stage.REFUSED:
        return What.REFUSED
    may_run = record.may_have_run or record.stage is Stage.INTENT
    if record.stage is Stage.INTENT and not (safe and record.until <= now):
        if not safe:
            return What.KEEP if record.until > now else What.FAILED
        return What.CALL_OFF
    if not safe and may_run:
        return What.FAILED  # danger: it may have run; a refusal invites a repeat
    if not safe and not whole:
        return What.UNSAVED  # danger: an intent may be in what could not be read
    if record.until <= now or record.attempts >= most_attempts:
        return What.REFUSED
    return What.AGAIN
