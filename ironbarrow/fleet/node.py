"""The machines of one member together: each message goes to the machine that wants it, each action to whoever
carries it out. No input or output: the loop's links or the laboratory's network drive it.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from ironbarrow.fleet.api import NEVER, Action, Life, Machine, Message, News, Send


class Node:
    """Runs machines. ``send`` carries messages away; ``told`` gets all news, in order."""

    def __init__(self, life: Life, send: Callable[[Send], None], told: Callable[[News], None]) -> None:
        self.life = life
        self._send, self._told = send, told
        self._machines: list[Machine] = []
        self._by_type: dict[type[Message], Machine] = {}
        self.passed_over: Counter[str] = Counter()  # messages for another life, or that no machine wants

    def add(self, machines: Iterable[Machine]) -> None:
        """Adds machines; a ValueError if two want the same message."""
        for machine in machines:
            self._machines.append(machine)
            for kind in machine.handles:
                if kind in self._by_type:
                    raise ValueError(f"{kind.__name__}: two machines want it")
                self._by_type[kind] = machine

    def received(self, now: int, sender: Life, to_start: int, message: Message) -> None:
        """Takes in a message. Danger: one that is meant for an earlier life of this member must change
        nothing."""
        machine = self._by_type.get(type(message))
        if to_start not in (0, self.life.start):
            self.passed_over["another life"] += 1
        elif machine is None:
            self.passed_over[type(message).__name__] += 1
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
                self._told(action)
