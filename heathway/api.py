"""The interface of heathway: the settings, events and actions of one dispatcher.

Everything here is plain data. Times are whole nanoseconds on one clock that only goes forward.
The decisions are in ``logic.py``.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a repeat of a job may do."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of workers drops repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The workers that drop repeats of a keyed job together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 5  # the worker gave an error; the job may have run
    FULL = 11  # sent back unseen: it never ran
    RESET = 104  # the connection broke; the job may have run
    TIMEOUT = 110  # no answer in time; the job may have run, or may still
    CONNECT_FAILED = 111  # no connection: it never ran
    MOOT = 114  # not sent at all: it never ran
    CANCELLED = 125  # called off; the job may have run


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))  # proven by these alone

ALIVE_OUTCOMES = frozenset((Outcome.OK, Outcome.FULL))
FAULT_OUTCOMES = frozenset((Outcome.ERROR, Outcome.RESET))


class WorkerState(Enum):
    """What the worker list says of a worker."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a worker list holds."""

    CHANGES = "changes"
    FULL = "full"
    LAST_KNOWN = "last known"  # the whole list as this dispatcher had it last; it may be old
    LOST = "lost"  # a call failed or the subscription broke; no entries, the old list stays


class NoteKind(IntEnum):
    """What a note tells of a running attempt."""

    STARTED = 1
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs. An answer within ``aim + stretch * work`` is worth the full ``worth``."""

    name: str
    effect: Effect
    aim: int
    deadline: int  # how long a client waits, over all its tries
    stretch: float = 0.0
    group: Group = Group.ALL
    window: int = 0  # keyed: how long repeats are dropped, from the first attempt that may have run
    worth: float = 1.0
    late_worth: float = 0.0  # part of the worth for an answer between aim and deadline
    worker_kind: str | None = None  # the one kind of worker that runs it; None: any
    priority: int = 0
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share; ``allowance_per_s`` is for all dispatchers together."""

    name: str
    share: float
    allowance_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start."""

    me: int
    dispatchers: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    worth_by_work: bool = False  # worth counts for each unit of work, not for each job
    over_share_worth: float = 1.0
    tick: int = 1_000_000  # the shortest time between two calls of handle
    live_weights: bool = False  # an entry's weight is its size over 1 + jobs held for each core, a while ago
    asks_for_list: bool = False  # the list comes only after Subscribe or FetchList
    counts_memory: bool = False
    report_fields: tuple[str, ...] = ()  # the values in load reports, in no set order
    may_cancel: bool = True
    may_probe: bool = False
    may_tell_peers: bool = False
    may_send_second_copy: bool = False
    gives_retry_after: bool = True
    max_attempts: int = 6
    max_retry_after: int = 1_000_000_000
    tells_start: bool = False
    answer_slack: int = 0
    ask_within: int = 10_000_000_000
    drain_grace: int = 0
    cold_time: int = 0  # a started worker is warm after this time
    start_capacity: float = 1.0  # the part of its capacity a worker has at its start
    fall_multiple: float = 2.0  # a cold worker falls over at this multiple of its present capacity
    fall_window: int = 1_000_000_000  # held for so long
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    probe_price: float = 0.0

    def __post_init__(self) -> None:
        _check("dispatchers", self.dispatchers >= 1)
        _check("me", self.me >= 0)
        _check("classes", len(self.classes) > 0)
        _check("tick", self.tick > 0)
        _check("max_attempts", self.max_attempts >= 1)
        _check("start_capacity", 0 < self.start_capacity <= 1)
        _check("fall_multiple", self.fall_multiple > 0)
        _check("fall_window", self.fall_window > 0)
        for name in (
            "max_retry_after",
            "answer_slack",
            "ask_within",
            "drain_grace",
            "cold_time",
            "probe_price",
        ):
            _check(name, getattr(self, name) >= 0)
        for job_class in self.classes:
            _check(f"classes[{job_class.name}].aim", job_class.aim >= 0)
            _check(f"classes[{job_class.name}].deadline", job_class.deadline > 0)
            _check(f"classes[{job_class.name}].stretch", job_class.stretch >= 0)
            _check(f"classes[{job_class.name}].window", job_class.window >= 0)
            _check(f"classes[{job_class.name}].worth", 0 <= job_class.worth < float("inf"))


def _check(key: str, good: bool) -> None:
    if not good:
        raise ValueError(f"settings: {key} is out of range")


# Events


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One line of a worker list."""

    worker: str
    zone: str = ""
    cell: int | None = None
    kind: str = ""
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    state: WorkerState = WorkerState.UP


@dataclass(frozen=True, slots=True)
class WorkerList:
    """News of the workers. After FULL or LAST_KNOWN, a worker that is not listed is gone."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class JobArrived:
    """A client's job; this dispatcher owes it one final answer within ``time_left``."""

    job: int
    job_class: str
    tenant: str | None
    key: int | None
    time_left: int
    slots: float = 1.0
    memory: float = 0.0
    work_hint: int | None = None
    repeat: bool = False  # the client marked it as a further try
    wanted: int = 0  # an answer is of full worth by then; 0: as its class has it
    most_attempts: int = 0  # 0: as the settings have it, which it may not pass
    resend: bool = True  # False: not even a safe job is sent again if it may have run
    pause: int = 0  # between an attempt's end and the next one
    tried: tuple[str, ...] = ()  # workers that an earlier process had sent it to; it must not go there again


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The client has gone; nothing more is owed."""

    job: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A worker's own figures: late, noisy, any of them may be absent."""

    free_slots: float | None = None
    free_memory: float | None = None
    held: float | None = None  # jobs it holds, waiting or running
    waiting: float | None = None
    busy: float | None = None  # share of its cores that is busy
    service_time: int | None = None
    rate: float | None = None
    errors: float | None = None  # a second


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Every Send gets exactly one. ``last``: the job is over and owed nothing more."""

    job: int
    attempt: int
    worker: str
    outcome: Outcome
    last: bool
    elapsed: int
    report: LoadReport | None = None
    retry: bool = True  # False: no budget is left for another attempt of this job


@dataclass(frozen=True, slots=True)
class AttemptNote:
    """News of an attempt that is still out."""

    job: int
    attempt: int
    worker: str
    kind: NoteKind
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streaming job has begun; its deadline and time-out no longer run."""

    job: int
    attempt: int
    worker: str
    elapsed: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one Probe."""

    worker: str
    outcome: Outcome
    elapsed: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another dispatcher."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has come due."""

    name: str


Event = (
    WorkerList
    | JobArrived
    | JobWithdrawn
    | AttemptEnded
    | AttemptNote
    | StreamStarted
    | ProbeEnded
    | PeerMessage
    | TimerFired
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start the job's next attempt; attempts count 0, 1, 2 in this order. timeout 0: the client's."""

    job: int
    worker: str
    timeout: int = 0


class Reason(Enum):
    """Why a job was given up. For traces: a host does the same whatever the reason."""

    UNKNOWN_CLASS = "unknown class"
    NOT_ADMITTED = "not admitted"  # the session test
    NO_WORKER = "held, no worker takes jobs"  # till its latest start, as are the next ones
    TRIED_ALL = "held, all that take jobs were tried or must not be"
    COLD_ONLY = "held, only cold workers take jobs"
    NO_ROOM = "held, no worker has room"
    QUEUED = "waited at a worker past any start in time"
    MAY_HAVE_RUN = "it may have run"
    NO_ATTEMPTS = "no attempt or time is left"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no, and trying again is harmless. ``retry_after`` 0: no advice."""

    job: int
    retry_after: int = 0
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; it promises nothing about the effect."""

    job: int
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt; its outcome still comes."""

    job: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this dispatcher's idle connections to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the worker list from now on, or stop them."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole worker list once."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to a peer; ``to`` None: to every peer."""

    to: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after ``delay``."""

    delay: int
    name: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = (
    Send | Refuse | Fail | CancelAttempt | Probe | CloseIdle | Subscribe | FetchList | Tell | SetTimer | Log
)
