"""Interfaces between the parts of a fleet: incarnations, messages, state machines, ledgers. Plain data.

Every part is a state machine without input or output: its methods get the time, messages and calls, and
return actions, as the decisions in ``heathway`` do. Its runner (``node`` on the event loop, or the
laboratory's network in simulated time) carries these out. Times are whole nanoseconds on one monotonic clock;
those that cross the network are durations.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, ClassVar, Protocol

from msgspec import Struct

NEVER = 1 << 62  # ns; as a due time: nothing is planned


class Incarnation(Struct, frozen=True, array_like=True, order=True):
    """One incarnation of a member: its name and the start of that process, Unix ns.

    A member that restarts is another incarnation: it has lost its state, so it may not vote as the earlier
    one. ``start`` 0 in a ``Send``: any incarnation of that name. The incarnation number of SWIM is the
    version of the member's ``Card`` here.
    """

    name: str
    start: int = 0

    def __str__(self) -> str:
        return f"{self.name}/{self.start}"


class Message(Struct, frozen=True, array_like=True):
    """A message between members.

    ``KIND`` is its number on the wire: 1 to 19 members, 20 to 39 ledgers, 40 to 59 take-over, 60 to 79
    rollouts, 80 to 99 starvation. New fields go last and have a default, so that two versions of the program
    understand each other."""

    KIND: ClassVar[int] = 0


@dataclass(frozen=True, slots=True)
class Send:
    """An action: sends a message to a member. It may be lost, delayed, duplicated or reordered."""

    to: Incarnation
    message: Message


@dataclass(frozen=True, slots=True)
class FleetEvent:
    """An action: an event of a machine for its process. Each kind of event is a subclass."""


Action = Send | FleetEvent


class Machine(Protocol):
    """A state machine driven by messages and time."""

    handles: tuple[type[Message], ...]  # the types of messages that it receives

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Handles a message of one of those types."""

    def ticked(self, now: int) -> list[Action]:
        """Does what is due; calls before ``next_at`` are harmless."""

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if nothing is planned."""


# Members


class Health(enum.Enum):
    """The state of a member as another one sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"  # it did not answer; it may still refute the suspicion
    DEAD = "dead"
    LEFT = "left"  # it left in good order: nothing of it is lost


class LedgerLocation(Struct, frozen=True, array_like=True):
    """Where a ledger is: its current segment and the replicas of that."""

    ledger: str
    segment: int
    replicas: tuple[Incarnation, ...]


class Card(Struct, frozen=True, array_like=True):
    """A member's description of itself.

    ``version`` rises with each change and with each refuted suspicion; of two cards of one incarnation the
    higher version counts. ``front``: the address for clients and workers, ``host:port``."""

    incarnation: Incarnation
    address: str
    site: str
    front: str = ""
    version: int = 0
    ledgers: tuple[LedgerLocation, ...] = ()  # the ledgers that it writes


@dataclass(frozen=True, slots=True)
class Member:
    """A member as seen by this one."""

    card: Card
    health: Health
    since: int  # ns, when it was first seen in that state


@dataclass(frozen=True, slots=True)
class MemberChanged(FleetEvent):
    """A member is new, or its health has changed. Before a new incarnation the earlier one of that name is
    reported as DEAD."""

    member: Member


class Members(Protocol):
    """The list of members as the other parts use it. It includes this member, always ALIVE."""

    @property
    def me(self) -> Card:
        """The current card of this member."""

    def alive(self) -> Sequence[Member]:
        """The members that are ALIVE or SUSPECT, in order of name."""

    def health(self, incarnation: Incarnation) -> Health | None:
        """The health of an incarnation; None if it is unknown or forgotten."""

    def card(self, name: str) -> Card | None:
        """The newest card of a name, dead or alive; remembered for a while after its death."""

    def announce_ledgers(self, ledgers: tuple[LedgerLocation, ...]) -> list[Action]:
        """Announces to all other members where the ledgers are that this member writes."""


# Ledgers


class Change(Struct, frozen=True, array_like=True):
    """One change of a ledger's content, a table of keys and values: sets a key, or removes it (None). A
    ledger shrinks as the keys of ended jobs are removed."""

    key: str
    value: bytes | None = None


class Ballot(Struct, frozen=True, array_like=True, order=True):
    """The right to write a segment: a higher ballot fences off lower ones. Round 0: the writer that opened
    it."""

    round: int
    by: Incarnation


class Fate(enum.IntEnum):
    """How a segment ends: decided once by a majority of its replicas, and final."""

    MOVED = 1  # the ledger goes on in the next segment, written by ``by`` at ``replicas``
    CLAIMED = 2  # its content belongs to ``by``; nothing is appended any more


class Decision(Struct, frozen=True, array_like=True):
    """The fate of a segment."""

    fate: Fate
    by: Incarnation
    replicas: tuple[Incarnation, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed(FleetEvent):
    """A majority of the replicas has stored all changes of a ledger up to and including ``seq``."""

    ledger: str
    seq: int


@dataclass(frozen=True, slots=True)
class Moved(FleetEvent):
    """The ledger has new replicas, or this member has become its writer (``content``: its content by key).
    All earlier appends still count."""

    at: LedgerLocation
    content: dict[str, bytes] | None = None


@dataclass(frozen=True, slots=True)
class Fenced(FleetEvent):
    """Another member has sealed the ledger: this one no longer writes it, and appends after the last
    ``Committed`` may be lost."""

    ledger: str
    by: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class NoMajority(FleetEvent):
    """No majority of the replicas has answered within ``LedgerRules.wait``; ``restored``: one answers
    again."""

    ledger: str
    restored: bool = False


@dataclass(frozen=True, slots=True)
class Claimed(FleetEvent):
    """This member alone has the ledger's content: no other member gets it, and its writer can't append.

    ``recorded_in``: the own ledger that has the key ``c/LEDGER``. The content has to replace that key in one
    append, and must not be acted on before that is committed. Otherwise two members could own the content
    once that ledger is lost."""

    ledger: str
    content: dict[str, bytes]
    recorded_in: str = ""


@dataclass(frozen=True, slots=True)
class ClaimFailed(FleetEvent):
    """A claim has failed. ``by``: the member that has the ledger; None: no majority of its replicas remembers
    it.

    ``partial``: the content at the replicas that answered. Nothing proves that it is complete, or that the
    ledger's writer has stopped."""

    ledger: str
    by: Incarnation | None
    partial: dict[str, bytes]


class Ledgers(Protocol):
    """The ledgers of this member as the other parts use them.

    Every call returns actions to carry out. Results follow as the events ``Committed``, ``Moved``,
    ``Fenced``, ``NoMajority``, ``Claimed`` and ``ClaimFailed``."""

    def create(self, now: int, ledger: str) -> list[Action]:
        """Opens a new ledger with this member as its writer; appends may follow at once."""

    def append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        """Appends changes. Returns the number that ``Committed`` has to reach; 0 and no actions if this
        member is not the ledger's writer."""

    def claim(self, now: int, at: LedgerLocation, into: str = "") -> list[Action]:
        """Seals a ledger, following it from ``at`` to its current segment, and takes over its content for
        good. The result is ``Claimed`` or ``ClaimFailed``.

        ``into``: the own ledger that records the claim; empty: whichever has a majority of its replicas."""

    def lead(self, now: int, at: LedgerLocation) -> list[Action]:
        """Seals a ledger and becomes its writer in the next segment. The result is ``Moved`` with the
        content, or ``ClaimFailed``. The segment's number is the epoch of the new writer."""

    def close(self, now: int, ledger: str) -> list[Action]:
        """Closes a ledger of this member that is no longer needed: its replicas may delete it."""


def job_ledger(incarnation: Incarnation) -> str:
    """The name of the ledger with the jobs of one incarnation of a dispatcher."""
    return f"jobs/{incarnation}"


def rank(key: str, name: str) -> int:
    """Rendezvous hashing: the rank of a name for a key, the same at every member. A name that comes or goes
    changes the assignment of only those keys for which it ranks highest."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")
