"""Dispatches messages to the machines of one member, and their actions to the callbacks that carry them out.

Does no input or output: the fleet service on the event loop or the laboratory's network drives it.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from ironbarrow.fleet.api import NEVER, Action, FleetEvent, Incarnation, Machine, Message, Send


class Node:
    """Runs the machines of a member. ``send`` sends messages; ``on_event`` gets all events, in order."""

    def __init__(
        self, incarnation: Incarnation, send: Callable[[Send], None], on_event: Callable[[FleetEvent], None]
    ) -> None:
        self.incarnation = incarnation
        self._send, self._on_event = send, on_event
        self._machines: list[Machine] = []
        self._by_type: dict[type[Message], Machine] = {}
        # messages dropped, by cause: meant for another incarnation, or a type that no machine handles
        self.ignored: Counter[str] = Counter()

    def add(self, machines: Iterable[Machine]) -> None:
        """Adds machines. Raises a ValueError if two handle the same message."""
        for machine in machines:
            self._machines.append(machine)
            for kind in machine.handles:
                if kind in self._by_type:
                    raise ValueError(f"{kind.__name__}: handled by two machines")
                self._by_type[kind] = machine

    def received(self, now: int, sender: Incarnation, to_start: int, message: Message) -> None:
        """Passes a message to its machine. One that is meant for an earlier incarnation of this member is
        dropped: it must not change the state of the present one."""
        machine = self._by_type.get(type(message))
        if to_start not in (0, self.incarnation.start):
            self.ignored["another incarnation"] += 1
        elif machine is None:
            self.ignored[type(message).__name__] += 1
        else:
            self.carry_out(machine.received(now, sender, message))

    def ticked(self, now: int) -> None:
        """Runs the machines that are due."""
        for machine in self._machines:
            if machine.next_at() <= now:
                self.carry_out(machine.ticked(now))

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if nothing is planned."""
        return min((machine.next_at() for machine in self._machines), default=NEVER)

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carries out the actions of a machine, also those returned to a direct call."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            else:
                self._on_event(action)
