"""The known state that a probe carries to its target, so that it can refute a suspicion at once."""

from typing import NamedTuple

from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.members.messages import RANK_BY_HEALTH
from ironbarrow.fleet.members.table import MembershipTable

UNKNOWN_VERSION = -1


class KnownState(NamedTuple):
    """A member's version and health rank as another member knows them; the greater state is newer."""

    version: int = UNKNOWN_VERSION
    health_rank: int = 0


UNKNOWN_STATE = KnownState()


def latest_known_state(
    table: MembershipTable, incarnation: Incarnation, reported: KnownState = UNKNOWN_STATE
) -> KnownState:
    """The state of an incarnation in the table, or ``reported`` if that is newer."""
    entry = table.of_incarnation(incarnation)
    if entry is None:
        return reported
    return max(KnownState(entry.advertised_version, RANK_BY_HEALTH[entry.health]), reported)
