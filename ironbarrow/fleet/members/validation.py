"""Range checks on received rumours.

A rumour that fails them is counted and dropped as a whole: a value out of range would spread to all members,
and no later rumour could supersede it.
"""

from ironbarrow.fleet.api import NEVER, Card, Health, Incarnation, LedgerLocation
from ironbarrow.fleet.members.messages import HEALTH_BY_RANK, VERSION_LIMIT, Rumour

MAX_NAME_LENGTH = 64  # characters, as in the fleet file
MAX_TEXT_LENGTH = 300  # characters of an address, a site or a ledger's name
MAX_REPLICAS = 8
MAX_LEDGERS = 64


def health_from_rank(number: int) -> Health | None:
    """The health with this number on the wire; None for an unknown number."""
    return HEALTH_BY_RANK[number] if 0 <= number < len(HEALTH_BY_RANK) else None


def is_valid_rumour(rumour: Rumour) -> bool:
    """Whether all values of a rumour are in range and its card, if any, has the same incarnation."""
    return (
        health_from_rank(rumour.health_rank) is not None
        and 0 <= rumour.version < VERSION_LIMIT
        and 0 <= rumour.age_ms < VERSION_LIMIT
        and len(rumour.accuser) <= MAX_NAME_LENGTH
        and _is_valid_incarnation(rumour.incarnation)
        and (rumour.card is None or _is_valid_card(rumour.card, rumour.incarnation))
    )


def _is_valid_incarnation(incarnation: Incarnation) -> bool:
    return 0 < len(incarnation.name) <= MAX_NAME_LENGTH and 0 < incarnation.start < NEVER


def _is_valid_card(card: Card, incarnation: Incarnation) -> bool:
    return (
        card.incarnation == incarnation
        and 0 <= card.version < VERSION_LIMIT
        and max(len(card.address), len(card.site), len(card.front)) <= MAX_TEXT_LENGTH
        and len(card.ledgers) <= MAX_LEDGERS
        and all(_is_valid_ledger(ledger) for ledger in card.ledgers)
    )


def _is_valid_ledger(at: LedgerLocation) -> bool:
    return (
        len(at.ledger) <= MAX_TEXT_LENGTH
        and len(at.replicas) <= MAX_REPLICAS
        and all(_is_valid_incarnation(replica) for replica in at.replicas)
    )
