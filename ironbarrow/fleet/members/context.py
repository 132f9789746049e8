"""What the parts of one member machine share."""

import random
from collections import Counter
from dataclasses import dataclass, field

from ironbarrow.fleet.file import MemberRules
from ironbarrow.fleet.members.local_health import LocalHealth
from ironbarrow.fleet.members.outbox import Outbox
from ironbarrow.fleet.members.table import MembershipTable

CREDIBILITY_DELAY_FACTOR = 3  # times the longest suspicion


@dataclass(slots=True, eq=False)
class MemberContext:
    """One member's rules, table, random numbers and outgoing actions."""

    rules: MemberRules
    table: MembershipTable
    random: random.Random
    now: int  # ns, of the latest call that brought the time
    leaving: bool = False  # this member goes in good order
    outbox: Outbox = field(default_factory=Outbox)
    local_health: LocalHealth = field(default_factory=LocalHealth)
    dropped: Counter[str] = field(default_factory=Counter)  # received and not used, by cause

    @property
    def credibility_delay(self) -> int:
        """How long a member must have been in sight until its suspicions count, ns."""
        return CREDIBILITY_DELAY_FACTOR * self.rules.suspect_for
