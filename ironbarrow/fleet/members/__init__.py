"""Who there is: members that watch each other, as in SWIM, with suspicion and by site."""

from ironbarrow.fleet.members.events import IncarnationReplaced
from ironbarrow.fleet.members.machine import MemberMachine

__all__ = ["IncarnationReplaced", "MemberMachine"]
