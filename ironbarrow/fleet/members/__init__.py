"""Who there is: members that watch each other, as in SWIM, with suspicion and by site."""

from ironbarrow.fleet.members.machine import MemberMachine, Replaced

__all__ = ["MemberMachine", "Replaced"]
