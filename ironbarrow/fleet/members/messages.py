"""What members say to each other. Times that cross the network are lengths, ms."""

from typing import ClassVar

from msgspec import Struct

from ironbarrow.fleet.api import Card, Health, Incarnation, Message

HEALTH_BY_RANK = (Health.ALIVE, Health.SUSPECT, Health.DEAD, Health.LEFT)  # by their number on the wire
RANK_BY_HEALTH = {health: number for number, health in enumerate(HEALTH_BY_RANK)}
VERSION_LIMIT = 1 << 53  # danger: a version without bound in a broken message could never be outdone


class Rumour(Struct, frozen=True, array_like=True):
    """What is said of an incarnation: of two, the higher (version, health) counts, and LEFT over all."""

    incarnation: Incarnation
    version: int
    health_rank: int
    accuser: str = ""  # who could not reach it itself
    age_ms: int = 0  # since its death
    card: Card | None = None


class Ping(Message, frozen=True, array_like=True):
    """Are you there? ``version``: of the sender's card; ``seen``, ``seen_health``: what it holds of the one
    that is asked (-1: nothing), so that that one can object at once."""

    KIND: ClassVar[int] = 1
    number: int
    version: int
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()


class Ack(Message, frozen=True, array_like=True):
    """Here, or (with ``about``) what came of an ``Ask``."""

    KIND: ClassVar[int] = 2
    number: int
    version: int
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()
    relayed_target: Incarnation | None = None
    reached: bool = True


class PingRequest(Message, frozen=True, array_like=True):
    """Ask that one for me."""

    KIND: ClassVar[int] = 3
    number: int
    target: Incarnation
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()


class Sync(Message, frozen=True, array_like=True):
    """All that the sender knows of one of ``parts`` parts of the names, without cards, and its own card. The
    answer is ``Cards`` and ``Want``."""

    KIND: ClassVar[int] = 4
    card: Card
    partitions: int = 1
    partition: int = 0
    states: tuple[Rumour, ...] = ()


class RumourBatch(Message, frozen=True, array_like=True):
    """Rumours, most of them with cards. ``synced``: they are one member's view, not news."""

    KIND: ClassVar[int] = 5
    rumours: tuple[Rumour, ...]
    from_sync: bool = False


class CardRequest(Message, frozen=True, array_like=True):
    """The cards of these, please."""

    KIND: ClassVar[int] = 6
    names: tuple[str, ...]
