"""The actions that a call to the member machine returns."""

from ironbarrow.fleet.api import Action, FleetEvent, Incarnation, Message, Send


class Outbox:
    """Collects the actions of all components of a machine, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def __len__(self) -> int:
        return len(self._actions)

    def send(self, to: Incarnation, message: Message) -> None:
        """Adds a message to another member."""
        self._actions.append(Send(to, message))

    def publish(self, event: FleetEvent) -> None:
        """Adds an event for the process that hosts the machine."""
        self._actions.append(event)

    def drain(self) -> list[Action]:
        """Returns all collected actions and empties the outbox."""
        actions, self._actions = self._actions, []
        return actions
