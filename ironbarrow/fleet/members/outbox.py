"""The actions with which a call to the member machine answers."""

from ironbarrow.fleet.api import Action, FleetEvent, Incarnation, Message, Send


class Outbox:
    """Collects actions in the order in which the parts of a machine ask for them."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def __len__(self) -> int:
        return len(self._actions)

    def send(self, to: Incarnation, message: Message) -> None:
        """Sends a message to another member."""
        self._actions.append(Send(to, message))

    def publish(self, news: FleetEvent) -> None:
        """Tells the process that hosts the machine."""
        self._actions.append(news)

    def drain(self) -> list[Action]:
        """Returns all collected actions and starts anew."""
        actions, self._actions = self._actions, []
        return actions
