"""Who there is: members that watch each other, as in SWIM, with suspicion and by site."""

from ironbarrow.fleet.members.machine import MemberMachine
from ironbarrow.fleet.members.news import Replaced

__all__ = ["MemberMachine", "Replaced"]
