"""What a probe states of its target, so that the target can refute a suspicion at once."""

from typing import NamedTuple

from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.members.messages import RANK
from ironbarrow.fleet.members.table import MembershipTable

UNKNOWN_VERSION = -1


class SeenState(NamedTuple):
    """The version and health (by rank) that a member holds of another; the greater one is later."""

    version: int = UNKNOWN_VERSION
    health: int = 0


UNKNOWN = SeenState()


def seen_state(table: MembershipTable, incarnation: Incarnation, told: SeenState = UNKNOWN) -> SeenState:
    """What the table holds of an incarnation, or what was told of it if that is later."""
    entry = table.of_incarnation(incarnation)
    if entry is None:
        return told
    return max(SeenState(entry.advertised_version, RANK[entry.health]), told)
