"""The records that the take-over machine keeps: its settings, owned jobs, appends under way, open ledgers.

Does no input or output.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ironbarrow.fleet.api import NEVER, Action, Incarnation, LedgerLocation
from ironbarrow.fleet.records import JobRecord
from ironbarrow.fleet.takeover.steps import StepObserver, ignore_steps


@dataclass(frozen=True, slots=True)
class TakeoverRules:
    """Settings of the machine. Times in ns."""

    safe: dict[str, bool]  # by job class: whether a job may run twice
    turn_away: frozenset[str]  # job classes that are not served without a majority of the ledger's replicas
    most_attempts: int
    majority_timeout: int
    answer_retention: int
    max_answers: int
    retry_after: int = 0
    query_all: bool = False  # look up every new booking at all members, not only those marked as retries
    on_fault_point: Callable[[str], None] | None = None  # called at the points named in ``faults``
    observe: StepObserver = ignore_steps  # told of each step of take-overs and lookups


@dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this member has to answer."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    remote_waiters: dict[Incarnation, None] = field(default_factory=dict)
    adopted: bool = False
    intent_commit: "PendingCommit | None" = None  # of the current attempt's intent
    unprotected: bool = False  # its attempt is sent although the intent is not committed
    attempt_may_have_run: bool = False
    refusal_pending: bool = False  # its refusal is not committed yet
    ended: bool = False


@dataclass(slots=True, eq=False)
class PendingCommit:
    """Callbacks that wait until an append is committed at a majority of the replicas.

    ``attempt``: the attempt whose intent is appended, if any."""

    deadline: int
    on_commit: Callable[[int], list[Action]]
    on_failure: Callable[[int], list[Action]]
    attempt: object = None
    resolved: bool = False
    extended: bool = False  # the deadline was extended once, after a stop of this process
    seq: int = NEVER  # number of the append that has to be committed


@dataclass(slots=True, eq=False)
class OpenLedger:
    """The ledger of an ended incarnation, while it is not known to be taken over."""

    incarnation: Incarnation
    location: LedgerLocation
    since: int
    due: int
    claimed_by: Incarnation | None = None  # the member that has claimed it, and has ended too
    claiming: bool = False
    # set if the claim was found in the ledger of that incarnation, which this member has taken over
    inherited_from: Incarnation | None = None
    adopting: bool = False
    tries: int = 0

    @property
    def is_untouched(self) -> bool:
        """Whether no claim of the ledger is known: its member may go on writing it."""
        return not self.claiming and self.claimed_by is None and self.inherited_from is None


def incarnation_of(ledger: str) -> Incarnation | None:
    """The incarnation whose jobs are in a ledger of that name; None for another kind of ledger."""
    name, _, start = ledger.removeprefix("jobs/").rpartition("/")
    if not ledger.startswith("jobs/") or not name or not start.isdigit():
        return None
    return Incarnation(name, int(start))
