"""The interface of heathway: the settings, events and actions of one dispatcher.

Everything here is plain data. Times are integers in ns; points in time are on one clock that never goes
back. The decisions are in ``logic.py``.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What it means for a job to run more than once."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of workers detects and drops repeats for a while
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
    FULL = 11  # turned away by the worker: it never ran
    RESET = 104  # the connection broke; the job may have run
    TIMEOUT = 110  # no answer in time; the job may have run, or may still
    CONNECT_FAILED = 111  # no connection: it never ran
    MOOT = 114  # not sent at all: it never ran
    CANCELLED = 125  # cancelled by the dispatcher; the job may have run


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))  # no other outcome proves it

ALIVE_OUTCOMES = frozenset((Outcome.OK, Outcome.FULL))
FAULT_OUTCOMES = frozenset((Outcome.ERROR, Outcome.RESET))


class WorkerState(Enum):
    """The state of a worker in the worker list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a worker list contains."""

    CHANGES = "changes"
    FULL = "full"
    LAST_KNOWN = "last known"  # the whole list as this dispatcher had it last; it may be old
    LOST = "lost"  # a call failed or the subscription broke; no entries, the old list stays valid


class NoteKind(IntEnum):
    """What an AttemptNote reports."""

    STARTED = 1
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs. An answer within ``aim + stretch * work`` (ns) has the full ``worth``."""

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
    """A tenant and its share; ``allowance_per_s``: jobs a second, for all dispatchers together."""

    name: str
    share: float
    allowance_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a dispatcher. A value out of range raises a ValueError that names it."""

    me: int
    dispatchers: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    worth_by_work: bool = False  # a worth is that of a unit of work, not of a job
    over_share_worth: float = 1.0
    tick: int = 1_000_000  # the shortest time between two calls of handle
    live_weights: bool = False  # a weight is the worker's size over 1 + its jobs per core, a while ago
    asks_for_list: bool = False  # the list comes only on Subscribe or FetchList
    counts_memory: bool = False
    report_fields: tuple[str, ...] = ()  # the values in load reports, in any order
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
    start_capacity: float = 1.0  # the part of its capacity that a worker has at its start
    fall_multiple: float = 2.0  # a cold worker fails under this multiple of its present capacity
    fall_window: int = 1_000_000_000  # if that lasts for so long
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
    """One worker in a worker list."""

    worker: str
    zone: str = ""
    cell: int | None = None
    kind: str = ""
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    state: WorkerState = WorkerState.UP


@dataclass(frozen=True, slots=True)
class WorkerList:
    """A worker list or changes to it. After FULL or LAST_KNOWN, a worker that is not listed is gone."""

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
    wanted: int = 0  # an answer within this time has its full worth; 0: as in its class
    most_attempts: int = 0  # at most max_attempts of the settings; 0: that many
    resend: bool = True  # False: it is not sent again if it may have run, even if it is safe
    pause: int = 0  # between the end of an attempt and the next attempt
    tried: tuple[str, ...] = ()  # workers that an earlier process sent it to; it must not go there again


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The client has disconnected; it is owed no answer."""

    job: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A worker's own load figures: delayed, noisy, and any of them may be absent."""

    free_slots: float | None = None
    free_memory: float | None = None
    held: float | None = None  # jobs it holds, waiting or running
    waiting: float | None = None
    busy: float | None = None  # busy part of its cores
    service_time: int | None = None
    rate: float | None = None
    errors: float | None = None  # per second


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt: one for every Send. ``last``: the job is over and owed no answer."""

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
    """A message about an attempt that has not ended."""

    job: int
    attempt: int
    worker: str
    kind: NoteKind
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streaming job has begun; its deadline and time-out no longer apply."""

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


@dataclass(frozen=True, slots=True)
class PredecessorState:
    """Whether an older process of this dispatcher runs, or may run, beside this one.

    Without such an event, all of them had ended before this one started."""

    running: bool


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
    | PredecessorState
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start the job's next attempt; its attempts are numbered from 0. ``timeout`` 0: the client's."""

    job: int
    worker: str
    timeout: int = 0


class Reason(Enum):
    """Why a job was given up. For traces only: a host does the same whatever the reason."""

    UNKNOWN_CLASS = "unknown class"
    NOT_ADMITTED = "not admitted"  # its session or tenant was not admitted
    NO_WORKER = "held, no worker takes jobs"  # held until its latest start, like the next ones
    TRIED_ALL = "held, all that take jobs were tried or must not be"
    COLD_ONLY = "held, only cold workers take jobs"
    NO_ROOM = "held, no worker has room"
    QUEUED = "waited at a worker past any start in time"
    MAY_HAVE_RUN = "it may have run"
    NO_ATTEMPTS = "no attempt or time is left"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, and a repeat is harmless. ``retry_after`` 0: no advice."""

    job: int
    retry_after: int = 0
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed. The job may have run or not."""

    job: int
    reason: Reason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; its AttemptEnded still comes."""

    job: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a worker responds, and ask for its load."""

    worker: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this dispatcher's idle connections to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the worker list, or end the subscription."""

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
    """Write a log line for operators."""

    text: str


Action = (
    Send | Refuse | Fail | CancelAttempt | Probe | CloseIdle | Subscribe | FetchList | Tell | SetTimer | Log
)
