"""The messages of the membership protocol. Times in messages are durations in ms, never clock readings."""

from typing import ClassVar

from msgspec import Struct

from ironbarrow.fleet.api import Card, Health, Incarnation, Message

# the index is the number on the wire
HEALTH_BY_RANK = (Health.ALIVE, Health.SUSPECT, Health.DEAD, Health.LEFT)
RANK_BY_HEALTH = {health: number for number, health in enumerate(HEALTH_BY_RANK)}
VERSION_LIMIT = 1 << 53  # no refutation could exceed a corrupt version without bound


class Rumour(Struct, frozen=True, array_like=True):
    """The state of an incarnation: of two rumours the higher (version, health rank) wins, LEFT above all."""

    incarnation: Incarnation
    version: int
    health_rank: int
    accuser: str = ""  # name of a member whose own probes failed; "": none given
    age_ms: int = 0  # since its death; 0 if it is not DEAD
    card: Card | None = None


class Ping(Message, frozen=True, array_like=True):
    """A direct probe. ``number`` identifies the probe; ``version`` is that of the sender's card.

    ``known_version`` (-1: none) and ``known_health``: the target's state as the sender knows it, so that the
    target can refute a suspicion at once. ``piggybacked``: rumours sent along.
    """

    KIND: ClassVar[int] = 1
    number: int
    version: int
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()


class Ack(Message, frozen=True, array_like=True):
    """The answer to a ``Ping``, or to a ``PingRequest`` if it has a ``relayed_target``.

    In the latter case ``reached`` tells whether that target answered the relay.
    """

    KIND: ClassVar[int] = 2
    number: int
    version: int
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()
    relayed_target: Incarnation | None = None
    reached: bool = True


class PingRequest(Message, frozen=True, array_like=True):
    """Asks a relay to probe ``target``; the other fields are those of ``Ping``."""

    KIND: ClassVar[int] = 3
    number: int
    target: Incarnation
    known_version: int = -1
    known_health: int = 0
    piggybacked: tuple[Rumour, ...] = ()


class Sync(Message, frozen=True, array_like=True):
    """Anti-entropy: the sender's own card and its states of one partition of the members, without cards.

    ``partition`` is one of ``partitions`` parts of the name hashes. The answers are ``RumourBatch`` and
    ``CardRequest``.
    """

    KIND: ClassVar[int] = 4
    card: Card
    partitions: int = 1
    partition: int = 0
    states: tuple[Rumour, ...] = ()


class RumourBatch(Message, frozen=True, array_like=True):
    """Rumours, most of them with cards. ``from_sync``: the view of one member, sent by anti-entropy."""

    KIND: ClassVar[int] = 5
    rumours: tuple[Rumour, ...]
    from_sync: bool = False


class CardRequest(Message, frozen=True, array_like=True):
    """Asks for the cards of these members."""

    KIND: ClassVar[int] = 6
    names: tuple[str, ...]
