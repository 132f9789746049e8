"""Message transport between members: TCP on the event loop, one connection for each direction."""

from ironbarrow.fleet.links.links import Links

__all__ = ["Links"]
