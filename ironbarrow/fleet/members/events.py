"""Events of the member machine for its process, besides ``MemberChanged``."""

from dataclasses import dataclass

from ironbarrow.fleet.api import FleetEvent, Incarnation


@dataclass(frozen=True, slots=True)
class IncarnationReplaced(FleetEvent):
    """Another process uses this member's name and started later (incarnation ``by``).

    The other members regard this incarnation as DEAD from now on; it cannot refute that.
    """

    by: Incarnation
