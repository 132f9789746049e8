"""What carries messages between members: TCP on the loop, one connection for each direction."""

from ironbarrow.fleet.links.links import Links

__all__ = ["Links"]
