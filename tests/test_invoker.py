"""Invoker calls: what may come in a bad order between the dispatcher and a provider, each order forced.

The decisions here are the plainest ones, so that each case says where a job goes and sees each outcome."""

from collections.abc import Iterable
from typing import Any

import pytest

from heathway import api
from heathway.api import Outcome
from tests.scenario import Stage, answer, call_back, job

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)


class Plain:
    """Sends each job at once to the first provider of ``order``, after an end that was no success to the next
    one; at the last it refuses what is proven never to have run, and fails the rest."""

    def __init__(self, order: tuple[str, ...]) -> None:
        self.order = order
        self.outcomes: list[Outcome] = []
        self._ended: dict[int, list[Outcome]] = {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.JobArrived):
                self._ended[event.job] = []
                actions.append(api.Send(event.job, self.order[0]))
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


def plain(*order: str, **config: Any) -> tuple[Stage, Plain]:
    stage, decisions = Stage(**config), Plain(order)
    stage.dispatcher.host._dispatcher = decisions  # type: ignore[assignment]
    return stage, decisions


def booking(job_id: str = "j1", ms: int = 9000) -> str:
    return job(job_id, path="book/x", ms=ms)


# What a first request is answered with twice, and how many ms after the first copy the second one comes,
# while the next request is on its way. That one must not take it for its own answer.
ANSWERED_TWICE = {
    "a proof, in the same read": (NOT_PROCESSED, 0),
    "a proof, some ms late": (NOT_PROCESSED, 20),
    "an acceptance, in the same read": (ACCEPTED, 0),
    "an acceptance, some ms late": (ACCEPTED, 20),
    "an error, in the same read": (answer(500), 0),
    "an error, some ms late": (answer(500), 20),
}


@pytest.mark.parametrize("name", ANSWERED_TWICE)
def test_a_second_answer_is_not_the_next_requests(name: str) -> None:
    # danger: a stale proof would say of a booking that runs that it never ran
    first, late = ANSWERED_TWICE[name]
    stage, _ = plain("p1")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {first if late else first + first}"):
        stage.step(line)
    connection = stage.peers["p1"].sock
    assert connection is not None
    stage.pass_time(0.01)
    stage.step(f"c2 send {booking('j2')}")
    stage.pass_time(0.01)
    if late:
        connection.sendall(first.replace("\\r", "\r").replace("\\n", "\n").encode())
    stage.play(
        f"""p1 expect X-Request-ID: j2.*in$
        c2 silent 30
        p1 send {ACCEPTED}
        c9 send {call_back("done", "j2", result="right")}
        c2 expect HTTP/1.1 200 .*right$"""
    )
