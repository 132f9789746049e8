"""Invoker calls: what may come in a bad order between the dispatcher and a provider, each order forced.

The decisions here are the plainest ones, so that each case says where a job goes and sees each outcome."""

import contextlib
import socket
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import pytest

from heathway import api
from heathway.api import Outcome
from heathway.settings import read_settings
from ironbarrow.backs import invoker
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Wait
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect
from tests.scenario import SETTINGS, Stage, answer, call_back, job

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)


class Plain:
    """Sends each job at once to the first provider of ``order``, after an end that was no success to the next
    one; at the last it refuses what is proven never to have run, and fails the rest."""

    def __init__(self, order: tuple[str, ...]) -> None:
        self.order = order
        self.timeout = 0
        self.outcomes: list[Outcome] = []
        self._ended: dict[int, list[Outcome]] = {}

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.JobArrived):
                self._ended[event.job] = []
                actions.append(api.Send(event.job, self.order[0], self.timeout))
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


# Before the first byte

SHORT = replace(
    read_settings(SETTINGS),
    may_cancel=False,  # then the module calls nothing off when a consumer leaves
    classes=(
        *read_settings(SETTINGS).classes,
        api.JobClass("charge", api.Effect.KEYED, 1 * SECOND, 25 * SECOND, window=100 * MS),
    ),
)


class Gate:
    """Holds calls before their first byte until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moment: str) -> None:
        self.open = True
        self.held = 0
        real_connect, real_send = invoker.connect, socket.socket.send

        def connect(address: Address, until: int) -> Coroutine[Connection]:
            while not self.open:
                self.held += 1
                yield Wait(-1, 0, time.time_ns() + MS)
            return (yield from real_connect(address, until))

        def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
            if not self.open and bytes(data).startswith(b"POST"):
                self.held += 1
                raise BlockingIOError
            return real_send(sock, data, flags)

        if moment == "connecting":
            monkeypatch.setattr(invoker, "connect", connect)
        else:
            monkeypatch.setattr(socket.socket, "send", send)


# The job, the providers it goes to, what happens while a call is held, the outcomes, what the consumer gets
HELD = {
    "the consumer leaves": (booking(), ("p1",), "c1 close", [Outcome.MOOT], ""),
    "the provider drains": (booking(), ("p1",), "d send $drained", [Outcome.FULL], "503"),
    "the job's time ends": (booking(ms=300), ("p1",), "c1 expect 503", [Outcome.MOOT], ""),
    "the attempt's time ends": (booking(), ("p1",), "time", [Outcome.CONNECT_FAILED], "503"),
    "the window for a repeat ends": (
        job(path="charge/x"),
        ("p2", "p1"),
        "wait 150",
        [Outcome.ERROR, Outcome.MOOT],
        "500",
    ),
}


@pytest.mark.parametrize("moment", ["connecting", "the first byte can't be written"])
@pytest.mark.parametrize("name", HELD)
def test_a_call_is_not_begun_when_what_it_was_decided_on_is_over(
    name: str, moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, order, happens, outcomes, status = HELD[name]
    gate = Gate(monkeypatch, moment)
    stage, decisions = plain(*order, settings=SHORT)
    if happens == "time":
        decisions.timeout = 150 * MS
        happens = "c1 expect 503"
    stage.step("d expect GET")
    stage.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    if order == ("p1",):
        gate.open = False
    stage.step(f"c1 send {sent}")
    if order != ("p1",):
        stage.step("p2 expect in$")
        gate.open = False
        stage.step(f"p2 send {answer(500)}")
    stage.until("held", lambda: gate.held)
    news = stage.news(stage.entry("p1", "draining")).replace("\r", "\\r").replace("\n", "\\n")
    stage.step(happens.replace("$drained", news))
    stage.pass_time(0.05)
    gate.open = True
    stage.pass_time(0.1)
    assert decisions.outcomes == outcomes
    assert stage.peers["p1"].seen == b""
    assert not stage.dispatcher.host.held_in_memory
    if status and "expect" not in happens:
        stage.step(f"c1 expect ^HTTP/1.1 {status}")
    stage.close()


@pytest.mark.parametrize(("effect", "outcome"), [("book", "CONNECT_FAILED"), ("map", "CANCELLED")])
def test_a_call_called_off_before_its_last_byte_never_ran(
    effect: str, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # a safe job may go elsewhere anyway, and its provider need not be set aside
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    stage, decisions = plain("p1")
    stage.step(f"c1 send {job(path=effect)}")
    stage.until("held", lambda: gate.held)
    host = stage.dispatcher.host
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    gate.open = True
    stage.pass_time(0.05)
    assert [found.name for found in decisions.outcomes] == [outcome]
    assert stage.peers["p1"].seen == b""
    stage.close()


def test_a_wake_up_meant_for_another_socket_does_not_make_a_connection() -> None:
    with socket.socket() as listener, contextlib.ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):  # more than its backlog takes: further ones don't come up
            other = waiting.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        coming_up = connect(listener.getsockname(), 1)
        assert isinstance(next(coming_up), Wait)
        assert isinstance(coming_up.send(True), Wait)
        with pytest.raises(ConnectionEndedError) as found:
            coming_up.send(False)
        assert found.value.ending is Ending.CONNECT_TIMED_OUT
