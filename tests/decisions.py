"""A stub of the decisions with a fixed order of workers, so that a test chooses where each job goes."""

from collections.abc import Iterable
from typing import Any

from heathway import api
from heathway.api import Outcome
from tests.scenario import Harness


class FixedOrder:
    """Sends each job at once to the first worker of ``order``, and after each failed attempt to the next one.

    When no worker is left, it refuses a job that is proven never to have run, and fails any other.
    """

    def __init__(self, order: tuple[str, ...]) -> None:
        self.order = order
        self.timeout = 0
        self.cancels = False  # whether it cancels the attempts of clients that disconnect
        self.outcomes: list[Outcome] = []
        self._ended: dict[int, list[Outcome]] = {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.JobArrived):
                self._ended[event.job] = []
                actions.append(api.Send(event.job, self.order[0], self.timeout))
            elif isinstance(event, api.JobWithdrawn) and self.cancels:
                actions.append(api.CancelAttempt(event.job, len(self._ended[event.job])))
            elif isinstance(event, api.AttemptEnded):
                self.outcomes.append(event.outcome)
                ended = self._ended[event.job]
                ended.append(event.outcome)
                if event.last:
                    continue
                if len(ended) < len(self.order):
                    actions.append(api.Send(event.job, self.order[len(ended)]))
                elif all(outcome in api.NEVER_RAN for outcome in ended):
                    actions.append(api.Refuse(event.job))
                else:
                    actions.append(api.Fail(event.job))
        return actions


def fixed_order(*order: str, **config: Any) -> tuple[Harness, FixedOrder]:
    """A stage whose dispatcher uses FixedOrder; ``config``: arguments of the stage."""
    stage, decisions = Harness(**config), FixedOrder(order)
    stage.dispatcher.host._dispatcher = decisions  # type: ignore[assignment]
    return stage, decisions
