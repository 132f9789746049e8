"""The plainest decisions, so that a test says where each job goes and sees each outcome."""

from collections.abc import Iterable
from typing import Any

from heathway import api
from heathway.api import Outcome
from tests.scenario import Harness


class Plain:
    """Sends each job at once to the first worker of ``order``, after an end that was no success to the next
    one; at the last it refuses what is proven never to have run, and fails the rest."""

    def __init__(self, order: tuple[str, ...]) -> None:
        self.order = order
        self.timeout = 0
        self.calls_off = False  # the attempts of clients that leave
        self.outcomes: list[Outcome] = []
        self._ended: dict[int, list[Outcome]] = {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.JobArrived):
                self._ended[event.job] = []
                actions.append(api.Send(event.job, self.order[0], self.timeout))
            elif isinstance(event, api.JobWithdrawn) and self.calls_off:
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


def plain(*order: str, **config: Any) -> tuple[Harness, Plain]:
    stage, decisions = Harness(**config), Plain(order)
    stage.dispatcher.host._dispatcher = decisions  # type: ignore[assignment]
    return stage, decisions
