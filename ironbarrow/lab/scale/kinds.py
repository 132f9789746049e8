"""Kinds of messages between members, by the number ranges of ``fleet.api.Message.KIND``."""

from ironbarrow.fleet.api import Message

MEMBERS, LEDGERS, TAKEOVER, ROLLOUTS, WAITS = "members", "ledgers", "take-over", "rollouts", "tables of waits"
KINDS = (MEMBERS, LEDGERS, TAKEOVER, ROLLOUTS, WAITS)
_NUMBERS_PER_KIND = 20
_OTHER = "other"


def kind_of(message: type[Message]) -> str:
    """The part of the fleet protocol that a message type belongs to."""
    index = message.KIND // _NUMBERS_PER_KIND
    return KINDS[index] if index < len(KINDS) else _OTHER
