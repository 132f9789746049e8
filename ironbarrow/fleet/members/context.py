"""State shared by the components of one member machine."""

import random
from collections import Counter
from dataclasses import dataclass, field

from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.members.local_health import LocalHealth
from ironbarrow.fleet.members.outbox import Outbox
from ironbarrow.fleet.members.table import MembershipTable

CREDIBILITY_DELAY_FACTOR = 3  # times the longest suspicion timeout


@dataclass(slots=True, eq=False)
class MemberContext:
    """The settings, table, random source and outgoing actions of one member."""

    rules: MemberRules
    table: MembershipTable
    random: random.Random
    now: int  # ns; the time passed with the latest call that had one
    leaving: bool = False  # this member is shutting down gracefully
    outbox: Outbox = field(default_factory=Outbox)
    local_health: LocalHealth = field(default_factory=LocalHealth)
    dropped: Counter[str] = field(default_factory=Counter)  # ignored messages and rumours, by cause

    @property
    def credibility_delay(self) -> int:
        """How long a member must have been reachable before its accusations are accepted, ns."""
        return CREDIBILITY_DELAY_FACTOR * self.rules.suspect_for
