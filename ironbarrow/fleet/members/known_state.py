"""What a probe states of its target, so that the target can refute a suspicion at once."""

from typing import NamedTuple

from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.members.messages import RANK_BY_HEALTH
from ironbarrow.fleet.members.table import MembershipTable

UNKNOWN_VERSION = -1


class KnownState(NamedTuple):
    """The version and health (by rank) that a member holds of another; the greater one is later."""

    version: int = UNKNOWN_VERSION
    health_rank: int = 0


UNKNOWN_STATE = KnownState()


def latest_known_state(
    table: MembershipTable, incarnation: Incarnation, reported: KnownState = UNKNOWN_STATE
) -> KnownState:
    """What the table holds of an incarnation, or what was told of it if that is later."""
    entry = table.of_incarnation(incarnation)
    if entry is None:
        return reported
    return max(KnownState(entry.advertised_version, RANK_BY_HEALTH[entry.health]), reported)
