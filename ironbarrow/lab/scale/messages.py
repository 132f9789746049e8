"""Messages between the leader of a scale run and its processes of hollow dispatchers and workers: JSON
lines."""

from typing import Union

import msgspec
from msgspec import Struct


class Lateness(Struct, frozen=True):
    """Lateness of a process against its own schedule, ms."""

    p50_ms: float
    p99_ms: float
    most_ms: float


class Traffic(Struct):
    """Number and bytes of messages of one kind."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Counts one message of ``size`` bytes."""
        self.messages += 1
        self.bytes += size


# Commands


class Command(Struct, frozen=True, tag=True):
    """A command to a process of hollow dispatchers or workers."""


class CutRegions(Command, frozen=True):
    """Partitions the regions, or ends the partition."""

    cut: bool


class Pause(Command, frozen=True):
    """Makes these dispatchers or workers unresponsive; their connections stay open."""

    names: list[str]


class End(Command, frozen=True):
    """Ends these dispatchers or workers and their connections at once."""

    names: list[str]


class Begin(Command, frozen=True):
    """Starts these dispatchers or workers again, without their earlier state."""

    names: list[str]


class Report(Command, frozen=True):
    """Requests a report of the counts since the last one."""


class Stop(Command, frozen=True):
    """Ends the process."""


AnyCommand = Union[CutRegions, Pause, End, Begin, Report, Stop]  # noqa: UP007 - the decoder wants a union


# Reports


class MemberUpdate(Struct, frozen=True, array_like=True):
    """A hollow dispatcher saw another member's health change."""

    at: int  # ns on the machine's monotonic clock
    observer: str
    subject: str
    start: int  # of the subject's incarnation
    health: str


class ListUpdate(Struct, frozen=True, array_like=True):
    """A hollow dispatcher applied a version of the worker list."""

    at: int  # ns on the machine's monotonic clock
    observer: str
    version: int


class StateTotals(Struct):
    """Sizes of the state of a process's hollow dispatchers, added up."""

    dispatchers: int = 0
    members: int = 0
    least_members: int = 0  # the least that any of them knows
    workers: int = 0
    segments: int = 0  # of other members' ledgers, held as replicas
    segment_entries: int = 0
    segment_bytes: int = 0


class DispatchersReport(Struct):
    """Counts of a process of hollow dispatchers. ``from_real``: the part of ``received`` from real ones."""

    lateness: Lateness
    sent: dict[str, Traffic] = {}
    received: dict[str, Traffic] = {}
    from_real: dict[str, Traffic] = {}
    member_news: list[MemberUpdate] = []
    list_news: list[ListUpdate] = []
    states: StateTotals = msgspec.field(default_factory=StateTotals)
    errors: int = 0
    sent_by_type: dict[str, Traffic] = {}  # ``sent`` by type of message


class WorkersReport(Struct):
    """Counts of a process of hollow workers: requests with their answers, and call-backs."""

    lateness: Lateness
    requests: dict[str, Traffic] = {}
    call_backs: int = 0
    unheard: int = 0  # call-backs that no dispatcher took
    running: int = 0
    errors: int = 0


# Specifications of processes


class DispatcherSpec(Struct, frozen=True):
    """One hollow dispatcher: its name and the paths of its files."""

    name: str
    config: str
    fleet: str


class DispatchersSpec(Struct, frozen=True):
    """The hollow dispatchers of a process."""

    dispatchers: list[DispatcherSpec]
    real: list[str]  # names of dispatchers with a process of their own
    lives_s: float  # the process ends by itself after this time


class WorkerSpec(Struct, frozen=True):
    """One hollow worker; ``addresses``: its address ``host:port`` for each region."""

    name: str
    zone: str
    addresses: dict[str, str]


class WorkersSpec(Struct, frozen=True):
    """The hollow workers of a process."""

    workers: list[WorkerSpec]
    fronts: list[str]  # addresses of the dispatchers for call-backs, by number
    slots: int
    job_s: float  # duration of a job
    lives_s: float
