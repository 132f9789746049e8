"""Attempts at workers: what may come in a bad order between the dispatcher and a worker, each order forced.

The decisions here are the plainest ones, so that each case says where a job goes and sees each outcome."""

import contextlib
import heapq
import itertools
import select
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from heathway import api
from heathway.api import Outcome
from heathway.settings import read_settings
from ironbarrow.backs import invoker
from ironbarrow.core import host as core
from ironbarrow.core.endings import ConnectionEndedError, Ending, outcome_of
from ironbarrow.runtime import sockets
from ironbarrow.runtime.clock import Timer
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Wait
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect
from tests.decisions import fixed_order
from tests.scenario import SETTINGS, answer, call_back, job

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)


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
    stage, _ = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {first if late else first + first}"):
        stage.step(line)
    connection = stage.peers["p1"].sock
    assert connection is not None
    stage.run_for(0.01)
    stage.step(f"c2 send {booking('j2')}")
    stage.run_for(0.01)
    if late:
        connection.sendall(first.replace("\\r", "\r").replace("\\n", "\n").encode())
    stage.run(
        f"""p1 expect X-Request-ID: j2.*in$
        c2 silent 30
        p1 send {ACCEPTED}
        c9 send {call_back("done", "j2", result="right")}
        c2 expect HTTP/1.1 200 .*right$"""
    )


# Before the first byte

SHORT = replace(
    read_settings(SETTINGS),
    may_cancel=False,  # then the module calls nothing off when a client leaves
    classes=(
        *read_settings(SETTINGS).classes,
        api.JobClass("charge", api.Effect.KEYED, 1 * SECOND, 25 * SECOND, window=500 * MS),
    ),
)


class Gate:
    """Holds calls before their first byte until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moment: str) -> None:
        self.open = True
        self.held = 0
        self.waiting = 0  # that connect at present
        real_connect, real_send = invoker.connect, socket.socket.send

        def connect(address: Address, until: int) -> Coroutine[Connection]:
            self.waiting += 1
            try:
                while not self.open:
                    self.held += 1
                    yield Wait(-1, 0, time.time_ns() + MS)
            finally:
                self.waiting -= 1
            return (yield from real_connect(address, time.time_ns() + SECOND))  # not the time that was held

        def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
            if not self.open and bytes(data).startswith(b"POST"):
                self.held += 1
                raise BlockingIOError
            return real_send(sock, data, flags)

        if moment == "connecting":
            monkeypatch.setattr(invoker, "connect", connect)
        else:
            monkeypatch.setattr(socket.socket, "send", send)


# The job, the workers it goes to, what happens while a call is held, the outcomes, what the client gets
HELD = {
    "the client leaves": (booking(), ("p1",), "c1 close", [Outcome.MOOT], ""),
    "the worker drains": (booking(), ("p1",), "d send $drained", [Outcome.FULL], "503"),
    "the job's time ends": (booking(ms=300), ("p1",), "c1 expect 503", [Outcome.MOOT], ""),
    "the attempt's time ends": (booking(), ("p1",), "time", [Outcome.CONNECT_FAILED], "503"),
    "the window for a repeat ends": (
        job(path="charge/x"),
        ("p2", "p1"),
        "wait 550",
        [Outcome.ERROR, Outcome.MOOT],
        "500",
    ),
}


@pytest.mark.parametrize("moment", ["connecting", "the first byte can't be written"])
@pytest.mark.parametrize("name", HELD)
def test_an_attempt_is_not_begun_when_what_it_was_decided_on_is_over(
    name: str, moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, order, happens, outcomes, status = HELD[name]
    gate = Gate(monkeypatch, moment)
    stage, decisions = fixed_order(*order, settings=SHORT)
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
    stage.run_until("held", lambda: gate.held)
    news = stage.list_chunk(stage.entry("p1", "draining")).replace("\r", "\\r").replace("\n", "\\n")
    stage.step(happens.replace("$drained", news))
    stage.run_for(0.05)
    gate.open = True
    stage.run_for(0.1)
    assert decisions.outcomes == outcomes
    assert stage.peers["p1"].received == b""
    assert not stage.dispatcher.host.held_in_memory
    if status and "expect" not in happens:
        stage.step(f"c1 expect ^HTTP/1.1 {status}")
    stage.close()


def test_an_answer_is_the_modules_also_where_the_loop_is_late(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: with the job's time and the slack over in one turn, a booking that never ran got 500
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    stage, _ = fixed_order("p1")
    stage.step(f"c1 send {booking(ms=200)}")
    stage.run_until("held", lambda: gate.held)
    time.sleep(0.3)  # the loop stands still
    stage.run("c1 expect ^HTTP/1.1 503")


@pytest.mark.parametrize(("effect", "outcome"), [("book", "CONNECT_FAILED"), ("map", "CANCELLED")])
def test_an_attempt_called_off_before_its_last_byte_never_ran(
    effect: str, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # a safe job may go elsewhere anyway, and its worker need not be set aside
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    stage, decisions = fixed_order("p1")
    stage.step(f"c1 send {job(path=effect)}")
    stage.run_until("held", lambda: gate.held)
    host = stage.dispatcher.host
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    gate.open = True
    stage.run_for(0.05)
    assert [found.name for found in decisions.outcomes] == [outcome]
    assert stage.peers["p1"].received == b""
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


# Between the first byte and the last one: half of the request is out, and the rest can't be written

HALF = {
    "the worker closes": (booking(), "p1 close", [Outcome.CONNECT_FAILED], "503"),
    "the job's time ends": (booking(ms=80), "wait 120", [Outcome.MOOT], "503"),
    "the attempt's time ends": (booking(), "time", [Outcome.CONNECT_FAILED], "503"),
    # danger: it would be told more time than its client has
    "the worker takes no more": (booking(), "wait 150", [Outcome.CONNECT_FAILED], "503"),
    "the client leaves": (booking(), "c1 close", [Outcome.CONNECT_FAILED], ""),
    # it was begun before, and is not broken off: that would be lost work
    "the worker drains": (booking(), "d send $drained", [Outcome.OK], "200"),
}


@pytest.mark.parametrize("name", HALF)
def test_a_request_whose_last_byte_was_not_written_never_ran(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, happens, outcomes, status = HALF[name]
    stage, decisions = fixed_order("p1")
    decisions.cancels = name == "the client leaves"
    if happens == "time":
        decisions.timeout, happens = 60 * MS, "wait 90"
    real, free, halves = socket.socket.send, [False], []

    def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
        if bytes(data).startswith(b"POST"):
            halves.append(1)
            return real(sock, data[: len(data) // 2])
        poll = select.poll()
        poll.register(sock, select.POLLHUP | select.POLLERR)
        if halves and not free[0] and not bytes(data).startswith(b"HTTP") and not poll.poll(0):
            raise BlockingIOError
        return real(sock, data, flags)

    monkeypatch.setattr(socket.socket, "send", send)
    stage.step("d expect GET")
    stage.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    stage.step(f"c1 send {sent}")
    stage.step("p1 expect POST")
    news = stage.list_chunk(stage.entry("p1", "draining")).replace("\r", "\\r").replace("\n", "\\n")
    stage.step(happens.replace("$drained", news))
    stage.run_for(0.05)
    free[0] = True
    if status == "200":
        for line in ("p1 expect in$", f"p1 send {ACCEPTED}", f"c9 send {call_back('done', result='out')}"):
            stage.step(line)
    if status:
        stage.step(f"c1 expect ^HTTP/1.1 {status}")
    assert decisions.outcomes == outcomes
    assert not stage.peers["p1"].received.endswith(b"in")
    stage.close()


# Answers

HEAD = "HTTP/1.1 {} X\\r\\nContent-Length: 5\\r\\n{}\\r\\nab"

# What p1 answers a safe job with, whether it then closes, the outcome, whether its connection is kept. What
# is no end by the protocol's table must be given up, here by closing before a 202, when the job goes to p2.
ANSWERS = {
    "an error": (answer(500), False, Outcome.ERROR, True),
    "a proof": (NOT_PROCESSED, False, Outcome.FULL, True),
    "a proof by 504": (answer(504, "X-Not-Processed: 1\\r\\n"), False, Outcome.FULL, True),
    "a bare 503": (answer(503), False, Outcome.ERROR, False),
    "a bare 504": (answer(504), False, Outcome.ERROR, False),
    "a proof that says no": (answer(503, "X-Not-Processed: 0\\r\\n"), False, Outcome.ERROR, False),
    "a proof that says both": (
        answer(503, "X-Not-Processed: 1\\r\\nX-Not-Processed: 0\\r\\n"),
        False,
        Outcome.ERROR,
        False,
    ),
    "a proof by another status": (answer(500, "X-Not-Processed: 1\\r\\n"), False, Outcome.ERROR, True),
    "a 200": (answer(200), False, Outcome.ERROR, False),
    "a 302": (answer(302), False, Outcome.ERROR, False),
    "a 404": (answer(404), False, Outcome.ERROR, False),
    "a 101": ("HTTP/1.1 101 X\\r\\n\\r\\n", False, Outcome.RESET, False),
    "garbage": ("hello?\\r\\n\\r\\n", False, Outcome.RESET, False),
    "half a line": ("HTTP/1.1 20", True, Outcome.RESET, False),
    "half a head": ("HTTP/1.1 202 X\\r\\nContent-Le", True, Outcome.RESET, False),
    "a proof that breaks off": (HEAD.format(503, "X-Not-Processed: 1\\r\\n"), True, Outcome.RESET, False),
    "a proof that never ends": (HEAD.format(503, "X-Not-Processed: 1\\r\\n"), False, Outcome.RESET, False),
    "an error that never ends": (HEAD.format(500, ""), False, Outcome.RESET, False),
    "nothing": ("", True, Outcome.RESET, False),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_an_attempt_has_ended_or_is_given_up_when_the_next_one_goes_out(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, closes, outcome, kept = ANSWERS[name]
    monkeypatch.setattr(invoker, "_REST_LIMIT", 50 * MS)
    stage, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {sent}"):
        stage.step(line)
    if closes:
        stage.step("p1 close")
    stage.step("p2 expect in$")
    assert decisions.outcomes == [outcome]
    if not closes:
        stage.run_for(0.004)
        assert stage.peers["p1"].ended is not kept
    stage.run(f"p2 send {ACCEPTED}\nc9 send {call_back('done', source='p2', result='out')}\nc1 expect out$")


# danger: the worker has the job; sent elsewhere, it would run twice
ACCEPTED_IN_PART = {
    "breaks off": (HEAD.format(202, ""), True),
    "never ends": (HEAD.format(202, ""), False),
    "is garbage": ("HTTP/1.1 202 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n", False),
    "is too large": ("HTTP/1.1 202 X\\r\\nContent-Length: 999999\\r\\n\\r\\n", False),
}


@pytest.mark.parametrize("name", ACCEPTED_IN_PART)
def test_a_202_counts_whatever_becomes_of_its_body(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    sent, closes = ACCEPTED_IN_PART[name]
    monkeypatch.setattr(invoker, "_REST_LIMIT", 50 * MS)
    stage, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {sent}"):
        stage.step(line)
    stage.step("p1 close" if closes else "p1 ended")
    stage.run_for(0.05)
    assert decisions.outcomes == []
    assert stage.peers["p2"].sock is None
    stage.run(f"c9 send {call_back('done', result='out')}\nc1 expect HTTP/1.1 200 .*out$\nwait 10")
    assert decisions.outcomes == [Outcome.OK]
    assert not stage.dispatcher.host.held_in_memory


@pytest.mark.parametrize("sent", ["", "HTTP/1.1 20", HEAD.format(202, "")], ids=["none", "half", "no end"])
def test_an_answer_that_never_ends_holds_no_descriptor_once_its_call_is_over(
    sent: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(invoker, "_REST_LIMIT", 50 * MS)
    stage, _ = fixed_order("p1")
    for line in (f"c1 send {booking()}", "p1 expect in$", f"c9 send {call_back('done', result='out')}"):
        stage.step(line)
    if sent:
        stage.step(f"p1 send {sent}")
    stage.run("c1 expect out$\np1 ended")


# Call-backs, each in an order that is not the usual one: the steps after p1 has the request, the outcomes,
# and what the client gets. A job goes to p1 and then to p2.
STARTED = f"c9 send {call_back('started')}\nc9 expect 204"
DONE = f"c9 send {call_back('done', result='out')}\nc9 expect 204"
CALL_BACKS = {
    "done before the 202, and twice": (f"{DONE}\n{DONE}\np1 send {ACCEPTED}", [Outcome.OK], "200"),
    "done, then an error as the answer": (f"{DONE}\np1 send {answer(500)}", [Outcome.OK], "200"),
    "done, then a proof as the answer": (f"{DONE}\np1 send {NOT_PROCESSED}", [Outcome.OK], "200"),
    "done, then a break": (f"{DONE}\np1 close", [Outcome.OK], "200"),
    "lost, then a break": (
        f"c9 send {call_back('lost')}\nc9 expect 204\np1 close\np2 expect in$\n"
        f"p2 send {ACCEPTED}\nc9 send {call_back('done', source='p2')}",
        [Outcome.RESET, Outcome.OK],
        "200",
    ),
    # danger: then one of the two is wrong
    "returned after started": (
        f"p1 send {ACCEPTED}\n{STARTED}\nc9 send {call_back('returned')}\np2 expect in$\n"
        f"p2 send {answer(500)}",
        [Outcome.RESET, Outcome.ERROR],
        "500",
    ),
    "a proof after started": (
        f"{STARTED}\np1 send {NOT_PROCESSED}\np2 expect in$\np2 send {NOT_PROCESSED}",
        [Outcome.RESET, Outcome.FULL],
        "500",
    ),
    "done of the earlier worker while the later one has it": (
        f"p1 send {answer(500)}\np2 expect in$\n{DONE}\nc1 silent 20\np2 send {NOT_PROCESSED}",
        [Outcome.ERROR, Outcome.FULL],
        "500",
    ),
    "for another id and another worker": (
        f"p1 send {ACCEPTED}\nc9 send {call_back('done', 'j2')}\nc9 expect 204\n"
        f"c9 send {call_back('done', source='p2')}\nc9 expect 204\nc1 silent 20\n{DONE}",
        [Outcome.OK],
        "200",
    ),
    # a DELETE that crosses the result: the job is served, once
    "done while the DELETE is on its way": (
        f"p1 send {ACCEPTED}\ncancel\np1 expect DELETE /jobs/j1 HTTP\n{DONE}\np1 send {answer(404)}",
        [Outcome.OK],
        "200",
    ),
    "returned while the DELETE is on its way": (
        f"p1 send {ACCEPTED}\ncancel\np1 expect DELETE /jobs/j1 HTTP\nc9 send {call_back('returned')}\n"
        f"p2 expect in$\np1 send {answer(404)}\np2 send {NOT_PROCESSED}",
        [Outcome.FULL, Outcome.FULL],
        "503",
    ),
    "done after the DELETE is answered": (
        f"p1 send {ACCEPTED}\ncancel\np1 expect DELETE /jobs/j1 HTTP\np1 send {answer(204)}\np2 expect in$\n"
        f"{DONE}\nc1 silent 20\np2 send {NOT_PROCESSED}",
        [Outcome.CANCELLED, Outcome.FULL],
        "500",
    ),
    "done after the answer at the deadline": (
        f"p1 send {ACCEPTED}\nc1 expect ^HTTP/1.1 500\n{DONE}\nc1 silent 20",
        [Outcome.TIMEOUT],
        "",
    ),
}


@pytest.mark.parametrize("name", CALL_BACKS)
def test_call_backs_in_any_order_make_one_answer(name: str) -> None:
    steps, outcomes, status = CALL_BACKS[name]
    stage, decisions = fixed_order("p1", "p2")
    host = stage.dispatcher.host
    at_deadline = "deadline" in name
    if at_deadline:
        decisions.order = ("p1",)
    stage.step(f"c1 send {job(ms=400 if at_deadline else 9000)}")
    stage.step("p1 expect in$")
    for line in steps.splitlines():
        if line == "cancel":
            host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
        else:
            stage.step(line)
    if status:
        stage.step(f"c1 expect ^HTTP/1.1 {status}")
    stage.step("c1 silent 20")
    assert decisions.outcomes == outcomes
    stage.run_until("forgotten", lambda: not host.held_in_memory)
    stage.close()


# DELETE


def test_deletes_to_a_worker_that_is_cut_off_take_few_descriptors_and_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    stage, _ = fixed_order("p1")
    back, done = stage.dispatcher.invoker, []
    until = stage.dispatcher.loop.now() + 150 * MS
    for n in range(200):
        back.call_off(f"j{n}", "p1", until, done.append)
    stage.run_for(0.05)
    assert 0 < gate.waiting <= 32
    gate.open = True
    stage.run_until("all told or given up", lambda: len(done) == 200)
    assert not any(done)  # nobody has confirmed anything
    assert not back._deletes.under_way
    stage.close()


def test_an_idle_connection_makes_room_where_no_descriptor_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    stage, _ = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", DONE, "c1 expect out$"):
        stage.step(line)
    real = sockets.stream_socket
    fails = iter((True,))

    def stream_socket(address: Address) -> socket.socket:
        if next(fails, False):
            raise OSError(24, "Too many open files")
        return real(address)

    monkeypatch.setattr(sockets, "stream_socket", stream_socket)
    stage.dispatcher.host._dispatcher.order = ("p2",)  # type: ignore[attr-defined]
    stage.run(f"c1 send {job('j2')}\np2 expect X-Request-ID: j2\np1 ended")


def test_no_further_attempt_leaves_before_the_worker_is_told_or_can_not_be() -> None:
    # it has taken the job and cuts each DELETE off: until it is told, p2 gets nothing
    stage, decisions = fixed_order("p1", "p2")
    host = stage.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", "wait 10"):
        stage.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for _ in range(5):
        stage.step("p1 expect DELETE /jobs/j1 HTTP")
        assert stage.peers["p2"].sock is None
        stage.step("p1 close")
    stage.step("p1 expect DELETE /jobs/j1 HTTP")
    assert decisions.outcomes == []
    stage.run(f"p1 send {answer(204)}\np2 expect in$")


def test_a_delete_on_an_old_connection_counts_as_told_by_its_answer_alone() -> None:
    # danger: cut off behind a connection that looks open, it never hears of it, and p2's is a second copy
    stage, _ = fixed_order("p1", "p2")
    host = stage.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", "wait 10"):
        stage.step(line)
    old = stage.peers["p1"].sock
    assert old is not None
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    stage.step("p1 expect DELETE /jobs/j1 HTTP")
    assert stage.peers["p1"].sock is old
    stage.peers["p1"].earlier.append(old)  # nothing more is heard or said on it
    stage.peers["p1"].sock = None
    stage.step("p1 expect DELETE /jobs/j1 HTTP")
    assert stage.peers["p2"].sock is None
    stage.run(f"p1 send {answer(204)}\np2 expect in$")


def test_a_delete_that_breaks_off_before_the_202_is_sent_again() -> None:
    # danger: the 202 may have been on its way as the connection was closed, and the worker runs the job
    stage, _ = fixed_order("p1", "p2")
    host = stage.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$"):
        stage.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for _ in range(2):
        stage.step("p1 close")
        stage.step("p1 expect DELETE /jobs/j1 HTTP")
        assert stage.peers["p2"].sock is None
    stage.run(f"p1 send {answer(204)}\np2 expect in$")


@pytest.mark.parametrize(("took", "waits"), [(10, 0.1), (40, 0.24)])
def test_a_delete_has_the_time_that_a_far_worker_takes(
    took: int, waits: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # danger: with 20 ms to and fro, a handshake and the DELETE take more than what is enough nearby
    real, begun = invoker.connect, []

    def connect(address: Address, until: int) -> Coroutine[Connection]:
        yield Wait(-1, 0, stage.dispatcher.loop.now() + took * MS)
        connection = yield from real(address, until)
        begun.append(time.monotonic())
        return connection

    monkeypatch.setattr(invoker, "connect", connect)
    stage, _ = fixed_order("p1", "p2")
    host = stage.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$"):
        stage.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for line in ("p1 ended", "p1 close", "p1 expect DELETE /jobs/j1 HTTP"):
        stage.step(line)
    stage.step("p2 expect in$")  # the close has given the attempt up: p1 need not answer, but has time for it
    stage.close()
    _, delete, to_p2 = begun
    assert to_p2 - delete >= waits + took / 1000


def test_attempts_at_hung_workers_leave_descriptors_to_others(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: clients, call-backs and the discovery service would find none
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    stage, decisions = fixed_order("p1", sockets=256)  # 140 places for clients, 100 connections to workers
    for n in range(110):
        stage.step(f"c{n} send {job(f'j{n}')}")
    stage.run_until(
        "the others refused, as never sent", lambda: len(decisions.outcomes) == 110 - gate.waiting
    )
    assert 0 < gate.waiting <= 100 and set(decisions.outcomes) == {Outcome.FULL}
    gate.open = True
    stage.run("p1 expect in$")


def test_where_nothing_may_be_called_off_an_attempt_has_until_the_deadline() -> None:
    stage, decisions = fixed_order("p1", "p2", settings=SHORT)
    decisions.timeout = 100 * MS
    stage.run(
        f"""c1 send {job(ms=600)}
        p1 expect in$
        p1 send {ACCEPTED}
        c1 silent 300
        c1 expect HTTP/1.1 500
        p1 silent 200"""
    )
    assert decisions.outcomes == [Outcome.TIMEOUT, Outcome.MOOT] and stage.peers["p2"].sock is None


# Sequences of endings, with the decisions of the program

NEVER_RAN_UNWRITTEN = {"CLOSED", "RESET", "UNREACHABLE", "STALLED", "MALFORMED", "TOO_LARGE", "TIMED_OUT"}
NEVER_RAN_ALWAYS = {
    "RETURNED",
    "NOT_PROCESSED",
    "FAILED_HERE",
    "CONNECT_REFUSED",
    "CONNECT_TIMED_OUT",
    "DRAINED",
    "NOT_SENT",
}


def never_ran(ending: Ending, written: bool) -> bool:
    return ending.name in NEVER_RAN_ALWAYS or (not written and ending.name in NEVER_RAN_UNWRITTEN)


@pytest.mark.parametrize("written", [True, False])
@pytest.mark.parametrize("ending", Ending)
def test_each_ending_has_one_outcome(ending: Ending, written: bool) -> None:
    outcome = outcome_of(ending, written)
    assert (outcome in api.NEVER_RAN) is never_ran(ending, written)
    if ending.name in NEVER_RAN_UNWRITTEN - {"TIMED_OUT"}:
        assert outcome.name == ("RESET" if written else "CONNECT_FAILED")


class VirtualClock:
    """Time that passes only from one timer to the next."""

    def __init__(self) -> None:
        self._now, self._count = SECOND, itertools.count()
        self._timers: list[tuple[int, int, Timer]] = []

    def now(self) -> int:
        return self._now

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heapq.heappush(self._timers, (due, next(self._count), timer))
        return timer

    def soon(self, call: Callable[..., None], *args: Any) -> None:
        self.call_at(self._now, call, *args)

    def run(self, until: int) -> None:
        while self._timers and self._timers[0][0] <= until:
            due, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, due)
            if timer.call is not None:
                timer.call(*timer.args)


class Scripted:
    """An invoker whose attempts end as a script says, 20 ms after they went out."""

    def __init__(self, host: core.Host, script: tuple[tuple[Ending, bool], ...]) -> None:
        self.host, self.script = host, script
        self.sent: list[core.Attempt] = []

    def start(self, attempt: core.Attempt) -> None:
        assert all(earlier.ended for earlier in self.sent)
        if self.host.barred(attempt) is not None:
            self.host.attempt_ended(attempt, Ending.NOT_SENT)
            return
        ending, written = self.script[len(self.sent) % len(self.script)]
        self.sent.append(attempt)
        if written:
            self.host.attempt_written(attempt)
        self.host.loop.call_at(self.host.loop.now() + 20 * MS, self.host.attempt_ended, attempt, ending)

    def give_up(self, attempt: core.Attempt, ending: Ending) -> None:
        self.host.attempt_ended(attempt, ending)

    def let_go(self, attempt: core.Attempt) -> None: ...

    def probe(self, worker: str) -> None: ...

    def close_idle(self, worker: str) -> None: ...


SCRIPT = [
    (Ending.RESET, True),
    (Ending.RESET, False),
    (Ending.ERROR_ANSWER, True),
    (Ending.NOT_PROCESSED, True),
    (Ending.RETURNED, True),
    (Ending.LOST, True),
    (Ending.CONNECT_REFUSED, False),
    (Ending.DONE, True),
]
EFFECTS = [
    (api.Effect.SAFE, 0),
    (api.Effect.UNSAFE, 0),
    (api.Effect.KEYED, 2 * SECOND),
    (api.Effect.KEYED, 25 * MS),
]


@pytest.mark.parametrize(("effect", "window"), EFFECTS)
def test_no_sequence_of_endings_breaks_a_rule(effect: api.Effect, window: int) -> None:
    for script in itertools.product(SCRIPT, repeat=3):
        clock, answers = VirtualClock(), []
        settings = replace(
            read_settings(SETTINGS),
            classes=(api.JobClass("x", effect, 1 * SECOND, 2 * SECOND, window=window),),
        )
        host = core.Host(clock, settings, 1)
        back = host.invoker = Scripted(host, script)
        entries = tuple(api.WorkerEntry(f"p{n}", "a") for n in range(5))
        host.workers_listed(api.WorkerList(api.ListKind.FULL, entries))
        payload = core.Payload("j1", "POST", "/x", b"")
        host.take(payload, answers.append, job_class="x", time_left=2 * SECOND)
        clock.run(4 * SECOND)
        ended = script[: len(back.sent)]
        risky = [n for n, (ending, written) in enumerate(ended) if not never_ran(ending, written)]
        assert len(answers) == 1, script
        assert len(back.sent) <= settings.max_attempts
        if effect is api.Effect.UNSAFE:
            assert risky in ([], [len(ended) - 1]), script  # nothing goes out after one that may have run
        if effect is api.Effect.KEYED and risky:
            first = back.sent[risky[0]].sent_at
            assert all(attempt.sent_at < first + window for attempt in back.sent[risky[0] :]), script
        if answers[0].verdict is core.Verdict.REFUSED and effect is api.Effect.UNSAFE:
            assert not risky, script
        served = ended[-1][0] is Ending.DONE if ended else False
        assert (answers[0].verdict is core.Verdict.SERVED) is served, script
        assert not host.held_in_memory


def test_a_send_while_another_is_out_is_not_sent() -> None:
    # danger: it would be a second copy, whatever the decisions say
    stage, decisions = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        stage.step(line)
    host = stage.dispatcher.host
    host._send(api.Send(next(iter(host._jobs)), "p2"))
    stage.run_for(0.05)
    assert decisions.outcomes[0] is Outcome.MOOT
    assert stage.peers["p2"].sock is None
    stage.close()
