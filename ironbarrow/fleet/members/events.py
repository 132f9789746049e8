"""What the member machine tells its process beyond ``MemberChanged``."""

from dataclasses import dataclass

from ironbarrow.fleet.api import Incarnation, News


@dataclass(frozen=True, slots=True)
class IncarnationReplaced(News):
    """Another process goes by this member's name, with a later start.

    This incarnation is held dead for good.
    """

    by: Incarnation
