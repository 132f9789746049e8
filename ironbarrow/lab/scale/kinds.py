"""The kinds of messages between members, as the numbers of ``fleet.api.Message.KIND`` are dealt out."""

from ironbarrow.fleet.api import Message

MEMBERS, LEDGERS, TAKEOVER, ROLLOUTS, WAITS = "members", "ledgers", "take-over", "rollouts", "tables of waits"
KINDS = (MEMBERS, LEDGERS, TAKEOVER, ROLLOUTS, WAITS)
_NUMBERS_OF_A_KIND = 20
_OTHER = "other"


def kind_of(message: type[Message]) -> str:
    """The part of the fleet to which a kind of message belongs."""
    place = message.KIND // _NUMBERS_OF_A_KIND
    return KINDS[place] if place < len(KINDS) else _OTHER
