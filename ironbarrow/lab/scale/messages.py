"""What the process that leads a scale run and those with the hollow parties say to each other: JSON lines."""

from typing import Union

import msgspec
from msgspec import Struct


class Lateness(Struct, frozen=True):
    """How late a process was against its own schedule, ms."""

    p50_ms: float
    p99_ms: float
    most_ms: float


class Traffic(Struct):
    """Messages and bytes of one kind."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message."""
        self.messages += 1
        self.bytes += size


# Orders


class Command(Struct, frozen=True, tag=True):
    """An order to a process of hollow parties."""


class CutRegions(Command, frozen=True):
    """From now on nothing passes between regions, or everything does again."""

    cut: bool


class Pause(Command, frozen=True):
    """These parties stand still: their connections stay open and say nothing."""

    names: list[str]


class End(Command, frozen=True):
    """These parties end at once, and their connections with them."""

    names: list[str]


class Begin(Command, frozen=True):
    """These parties begin again, with nothing left of what they knew."""

    names: list[str]


class Report(Command, frozen=True):
    """Tell what was counted since the last report."""


class Stop(Command, frozen=True):
    """The process ends."""


AnyCommand = Union[CutRegions, Pause, End, Begin, Report, Stop]  # noqa: UP007 - the decoder wants a union


# Reports


class MemberNews(Struct, frozen=True, array_like=True):
    """A hollow dispatcher has learnt of another's health."""

    at: int  # ns on the machine's monotonic clock
    observer: str
    subject: str
    start: int  # of the incarnation that is meant
    health: str


class ListNews(Struct, frozen=True, array_like=True):
    """A hollow dispatcher has taken in a version of the list of workers."""

    at: int  # ns on the machine's monotonic clock
    observer: str
    version: int


class States(Struct):
    """What the hollow dispatchers of a process hold, added up."""

    dispatchers: int = 0
    members: int = 0
    least_members: int = 0  # at any one of them
    workers: int = 0
    segments: int = 0  # of ledgers that they keep for others
    segment_entries: int = 0
    segment_bytes: int = 0


class DispatchersReport(Struct):
    """What a process of hollow dispatchers has counted. ``from_real``: of ``received``, from real ones."""

    lateness: Lateness
    sent: dict[str, Traffic] = {}
    received: dict[str, Traffic] = {}
    from_real: dict[str, Traffic] = {}
    member_news: list[MemberNews] = []
    list_news: list[ListNews] = []
    states: States = msgspec.field(default_factory=States)
    errors: int = 0
    sent_by_type: dict[str, Traffic] = {}  # the same as ``sent``, by type of message


class WorkersReport(Struct):
    """What a process of hollow workers has counted: requests and their answers, and call-backs."""

    lateness: Lateness
    requests: dict[str, Traffic] = {}
    call_backs: int = 0
    unheard: int = 0  # call-backs that no dispatcher took
    running: int = 0
    errors: int = 0


# What a process is told at its start


class DispatcherSpec(Struct, frozen=True):
    """One hollow dispatcher: its files."""

    name: str
    config: str
    fleet: str


class DispatchersSpec(Struct, frozen=True):
    """The hollow dispatchers of a process."""

    dispatchers: list[DispatcherSpec]
    real: list[str]  # names of dispatchers with a process of their own
    lives_s: float  # the process ends by itself after so long


class WorkerSpec(Struct, frozen=True):
    """One hollow worker; ``addresses``: where each region reaches it, ``host:port``."""

    name: str
    zone: str
    addresses: dict[str, str]


class WorkersSpec(Struct, frozen=True):
    """The hollow workers of a process."""

    workers: list[WorkerSpec]
    fronts: list[str]  # of the dispatchers, by number
    slots: int
    job_s: float  # how long a job runs
    lives_s: float
