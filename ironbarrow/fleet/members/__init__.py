"""Group membership after SWIM: failure detection with suspicion, dissemination and anti-entropy."""

from ironbarrow.fleet.members.events import IncarnationReplaced
from ironbarrow.fleet.members.machine import MemberMachine

__all__ = ["IncarnationReplaced", "MemberMachine"]
