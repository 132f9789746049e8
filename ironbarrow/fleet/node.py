"""The machines of one member together: each message goes to the machine that wants it, each action to whoever
carries it out. No input or output: the loop's links or the laboratory's network drive it.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from ironbarrow.fleet.api import NEVER, Action, FleetEvent, Incarnation, Machine, Message, Send


class Node:
    """Runs machines. ``send`` carries messages away; ``on_event`` gets all news, in order."""

    def __init__(
        self, incarnation: Incarnation, send: Callable[[Send], None], on_event: Callable[[FleetEvent], None]
    ) -> None:
        self.incarnation = incarnation
        self._send, self._on_event = send, on_event
        self._machines: list[Machine] = []
        self._by_type: dict[type[Message], Machine] = {}
        # messages for another incarnation, or that no machine wants
        self.ignored: Counter[str] = Counter()

    def add(self, machines: Iterable[Machine]) -> None:
        """Adds machines; a ValueError if two want the same message."""
        for machine in machines:
            self._machines.append(machine)
            for kind in machine.handles:
                if kind in self._by_type:
                    raise ValueError(f"{kind.__name__}: two machines want it")
                self._by_type[kind] = machine

    def received(self, now: int, sender: Incarnation, to_start: int, message: Message) -> None:
        """Takes in a message. Danger: one that is meant for an earlier incarnation of this member must change
        nothing."""
        machine = self._by_type.get(type(message))
        if to_start not in (0, self.incarnation.start):
            self.ignored["another incarnation"] += 1
        elif machine is None:
            self.ignored[type(message).__name__] += 1
        else:
            self.carry_out(machine.received(now, sender, message))

    def ticked(self, now: int) -> None:
        for machine in self._machines:
            if machine.next_at() <= now:
                self.carry_out(machine.ticked(now))

    def next_at(self) -> int:
        """ns; NEVER if nothing is planned."""
        return min((machine.next_at() for machine in self._machines), default=NEVER)

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carries out what a machine answered, also to an order given to it directly."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            else:
                self._on_event(action)
