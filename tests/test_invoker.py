"""Tests of the HTTP invoker: each unfavourable order of events between the dispatcher and a worker is forced.

A minimal decision module is used, so that each case defines which workers a job is sent to and sees each
outcome.
"""

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
from ironbarrow.backend import invoker
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


# The answer that a first request gets twice, and by how many ms the second copy is late. It arrives while the
# next request is waiting for its own answer, and must not be taken for that.
DUPLICATE_ANSWERS = {
    "a proof, in the same read": (NOT_PROCESSED, 0),
    "a proof, some ms late": (NOT_PROCESSED, 20),
    "an acceptance, in the same read": (ACCEPTED, 0),
    "an acceptance, some ms late": (ACCEPTED, 20),
    "an error, in the same read": (answer(500), 0),
    "an error, some ms late": (answer(500), 20),
}


@pytest.mark.parametrize("name", DUPLICATE_ANSWERS)
def test_a_duplicate_answer_is_not_taken_for_the_next_requests(name: str) -> None:
    # A duplicate proof would claim that a booking never ran while it is running.
    first, late = DUPLICATE_ANSWERS[name]
    harness, _ = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {first if late else first + first}"):
        harness.step(line)
    connection = harness.peers["p1"].sock
    assert connection is not None
    harness.run_for(0.01)
    harness.step(f"c2 send {booking('j2')}")
    harness.run_for(0.01)
    if late:
        connection.sendall(first.replace("\\r", "\r").replace("\\n", "\n").encode())
    harness.run(
        f"""p1 expect X-Request-ID: j2.*in$
        c2 silent 30
        p1 send {ACCEPTED}
        c9 send {call_back("done", "j2", result="right")}
        c2 expect HTTP/1.1 200 .*right$"""
    )


# Before the first byte

SHORT = replace(
    read_settings(SETTINGS),
    may_cancel=False,  # then the decision module cancels nothing when a client disconnects
    classes=(
        *read_settings(SETTINGS).classes,
        api.JobClass("charge", api.Effect.KEYED, 1 * SECOND, 25 * SECOND, window=500 * MS),
    ),
)


class Gate:
    """Holds requests back before their first byte while ``open`` is False."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moment: str) -> None:
        self.open = True
        self.held = 0
        self.waiting = 0  # calls that are connecting now
        real_connect, real_send = invoker.connect, socket.socket.send

        def connect(address: Address, until: int) -> Coroutine[Connection]:
            self.waiting += 1
            try:
                while not self.open:
                    self.held += 1
                    yield Wait(-1, 0, time.time_ns() + MS)
            finally:
                self.waiting -= 1
            return (yield from real_connect(address, time.time_ns() + SECOND))  # the time held does not count

        def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
            if not self.open and bytes(data).startswith(b"POST"):
                self.held += 1
                raise BlockingIOError
            return real_send(sock, data, flags)

        if moment == "connecting":
            monkeypatch.setattr(invoker, "connect", connect)
        else:
            monkeypatch.setattr(socket.socket, "send", send)


# The job, the workers it is sent to, the event while its request is held back, the outcomes, the client's
# status
EVENTS_BEFORE_FIRST_BYTE = {
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
@pytest.mark.parametrize("name", EVENTS_BEFORE_FIRST_BYTE)
def test_an_attempt_is_not_sent_when_the_reasons_for_it_no_longer_hold(
    name: str, moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, order, event, outcomes, status = EVENTS_BEFORE_FIRST_BYTE[name]
    gate = Gate(monkeypatch, moment)
    harness, decisions = fixed_order(*order, settings=SHORT)
    if event == "time":
        decisions.timeout = 150 * MS
        event = "c1 expect 503"
    harness.step("d expect GET")
    harness.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    if order == ("p1",):
        gate.open = False
    harness.step(f"c1 send {sent}")
    if order != ("p1",):
        harness.step("p2 expect in$")
        gate.open = False
        harness.step(f"p2 send {answer(500)}")
    harness.run_until("held", lambda: gate.held)
    news = harness.list_chunk(harness.entry("p1", "draining")).replace("\r", "\\r").replace("\n", "\\n")
    harness.step(event.replace("$drained", news))
    harness.run_for(0.05)
    gate.open = True
    harness.run_for(0.1)
    assert decisions.outcomes == outcomes
    assert harness.peers["p1"].received == b""
    assert not harness.dispatcher.host.jobs_in_memory
    if status and "expect" not in event:
        harness.step(f"c1 expect ^HTTP/1.1 {status}")
    harness.close()


def test_the_decision_module_answers_even_if_the_loop_is_late(monkeypatch: pytest.MonkeyPatch) -> None:
    # When the job's deadline and the slack passed in one iteration of the loop, a booking that never ran got
    # 500.
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    harness, _ = fixed_order("p1")
    harness.step(f"c1 send {booking(ms=200)}")
    harness.run_until("held", lambda: gate.held)
    time.sleep(0.3)  # the loop is blocked
    harness.run("c1 expect ^HTTP/1.1 503")


@pytest.mark.parametrize(("effect", "outcome"), [("book", "CONNECT_FAILED"), ("map", "CANCELLED")])
def test_an_attempt_cancelled_before_its_last_byte_never_ran(
    effect: str, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A safe job may be sent elsewhere anyway, so its worker need not be ejected.
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    harness, decisions = fixed_order("p1")
    harness.step(f"c1 send {job(path=effect)}")
    harness.run_until("held", lambda: gate.held)
    host = harness.dispatcher.host
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    gate.open = True
    harness.run_for(0.05)
    assert [found.name for found in decisions.outcomes] == [outcome]
    assert harness.peers["p1"].received == b""
    harness.close()


def test_a_wake_up_meant_for_another_socket_does_not_establish_a_connection() -> None:
    with socket.socket() as listener, contextlib.ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):  # more than the backlog holds: further connections are not established
            other = waiting.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(listener.getsockname())
        coming_up = connect(listener.getsockname(), 1)
        assert isinstance(next(coming_up), Wait)
        assert isinstance(coming_up.send(True), Wait)
        with pytest.raises(ConnectionEndedError) as found:
            coming_up.send(False)
        assert found.value.ending is Ending.CONNECT_TIMED_OUT


# Between the first byte and the last one: half of the request is written, and the rest can't be

EVENTS_DURING_WRITE = {
    "the worker closes": (booking(), "p1 close", [Outcome.CONNECT_FAILED], "503"),
    "the job's time ends": (booking(ms=80), "wait 120", [Outcome.MOOT], "503"),
    "the attempt's time ends": (booking(), "time", [Outcome.CONNECT_FAILED], "503"),
    # The time-out that the worker has been sent would exceed the client's remaining time.
    "the worker reads no more": (booking(), "wait 150", [Outcome.CONNECT_FAILED], "503"),
    "the client leaves": (booking(), "c1 close", [Outcome.CONNECT_FAILED], ""),
    # The request was begun before the drain, and aborting it would waste work.
    "the worker drains": (booking(), "d send $drained", [Outcome.OK], "200"),
}


@pytest.mark.parametrize("name", EVENTS_DURING_WRITE)
def test_a_request_whose_last_byte_was_not_written_never_ran(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, event, outcomes, status = EVENTS_DURING_WRITE[name]
    harness, decisions = fixed_order("p1")
    decisions.cancels = name == "the client leaves"
    if event == "time":
        decisions.timeout, event = 60 * MS, "wait 90"
    real, writable, halves = socket.socket.send, [False], []

    def send(sock: socket.socket, data: Any, flags: int = 0) -> int:
        if bytes(data).startswith(b"POST"):
            halves.append(1)
            return real(sock, data[: len(data) // 2])
        poll = select.poll()
        poll.register(sock, select.POLLHUP | select.POLLERR)
        if halves and not writable[0] and not bytes(data).startswith(b"HTTP") and not poll.poll(0):
            raise BlockingIOError
        return real(sock, data, flags)

    monkeypatch.setattr(socket.socket, "send", send)
    harness.step("d expect GET")
    harness.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    harness.step(f"c1 send {sent}")
    harness.step("p1 expect POST")
    news = harness.list_chunk(harness.entry("p1", "draining")).replace("\r", "\\r").replace("\n", "\\n")
    harness.step(event.replace("$drained", news))
    harness.run_for(0.05)
    writable[0] = True
    if status == "200":
        for line in ("p1 expect in$", f"p1 send {ACCEPTED}", f"c9 send {call_back('done', result='out')}"):
            harness.step(line)
    if status:
        harness.step(f"c1 expect ^HTTP/1.1 {status}")
    assert decisions.outcomes == outcomes
    assert not harness.peers["p1"].received.endswith(b"in")
    harness.close()


# Answers

HEAD = "HTTP/1.1 {} X\\r\\nContent-Length: 5\\r\\n{}\\r\\nab"

# p1's answer to a safe job, whether it then closes, the outcome, whether its connection is kept. If the
# protocol does not define the answer as the end of the attempt, the attempt must be given up, here by closing
# the connection before a 202, before the job is sent to p2.
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
def test_an_attempt_has_ended_or_is_given_up_when_the_next_one_is_sent(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent, closes, outcome, kept = ANSWERS[name]
    monkeypatch.setattr(invoker, "_BODY_TIMEOUT", 50 * MS)
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {sent}"):
        harness.step(line)
    if closes:
        harness.step("p1 close")
    harness.step("p2 expect in$")
    assert decisions.outcomes == [outcome]
    if not closes:
        harness.run_for(0.004)
        assert harness.peers["p1"].ended is not kept
    harness.run(f"p2 send {ACCEPTED}\nc9 send {call_back('done', source='p2', result='out')}\nc1 expect out$")


# The worker has accepted the job; sent to another worker, it would run twice.
INCOMPLETE_ACCEPTANCES = {
    "breaks off": (HEAD.format(202, ""), True),
    "never ends": (HEAD.format(202, ""), False),
    "is garbage": ("HTTP/1.1 202 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n", False),
    "is too large": ("HTTP/1.1 202 X\\r\\nContent-Length: 999999\\r\\n\\r\\n", False),
}


@pytest.mark.parametrize("name", INCOMPLETE_ACCEPTANCES)
def test_a_202_counts_whatever_happens_to_its_body(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    sent, closes = INCOMPLETE_ACCEPTANCES[name]
    monkeypatch.setattr(invoker, "_BODY_TIMEOUT", 50 * MS)
    harness, decisions = fixed_order("p1", "p2")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {sent}"):
        harness.step(line)
    harness.step("p1 close" if closes else "p1 ended")
    harness.run_for(0.05)
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"c9 send {call_back('done', result='out')}\nc1 expect HTTP/1.1 200 .*out$\nwait 10")
    assert decisions.outcomes == [Outcome.OK]
    assert not harness.dispatcher.host.jobs_in_memory


@pytest.mark.parametrize("sent", ["", "HTTP/1.1 20", HEAD.format(202, "")], ids=["none", "half", "no end"])
def test_an_answer_that_never_ends_holds_no_descriptor_once_its_attempt_is_over(
    sent: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(invoker, "_BODY_TIMEOUT", 50 * MS)
    harness, _ = fixed_order("p1")
    for line in (f"c1 send {booking()}", "p1 expect in$", f"c9 send {call_back('done', result='out')}"):
        harness.step(line)
    if sent:
        harness.step(f"p1 send {sent}")
    harness.run("c1 expect out$\np1 ended")


# Call-backs in unusual orders: the steps after p1 has received the request, the outcomes, the client's
# status. A job is sent to p1 and then to p2.
STARTED = f"c9 send {call_back('started')}\nc9 expect 204"
DONE = f"c9 send {call_back('done', result='out')}\nc9 expect 204"
CALL_BACKS = {
    "done before the 202, and twice": (f"{DONE}\n{DONE}\np1 send {ACCEPTED}", [Outcome.OK], "200"),
    "done, then an error as the answer": (f"{DONE}\np1 send {answer(500)}", [Outcome.OK], "200"),
    "done, then a proof as the answer": (f"{DONE}\np1 send {NOT_PROCESSED}", [Outcome.OK], "200"),
    "done, then a closed connection": (f"{DONE}\np1 close", [Outcome.OK], "200"),
    "lost, then a closed connection": (
        f"c9 send {call_back('lost')}\nc9 expect 204\np1 close\np2 expect in$\n"
        f"p2 send {ACCEPTED}\nc9 send {call_back('done', source='p2')}",
        [Outcome.RESET, Outcome.OK],
        "200",
    ),
    # One of the two reports must be wrong, so the job may have run.
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
    # The DELETE crosses the result: the job is served, once.
    "done while the DELETE is in flight": (
        f"p1 send {ACCEPTED}\ncancel\np1 expect DELETE /jobs/j1 HTTP\n{DONE}\np1 send {answer(404)}",
        [Outcome.OK],
        "200",
    ),
    "returned while the DELETE is in flight": (
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
def test_call_backs_in_any_order_lead_to_one_answer(name: str) -> None:
    steps, outcomes, status = CALL_BACKS[name]
    harness, decisions = fixed_order("p1", "p2")
    host = harness.dispatcher.host
    at_deadline = "deadline" in name
    if at_deadline:
        decisions.order = ("p1",)
    harness.step(f"c1 send {job(ms=400 if at_deadline else 9000)}")
    harness.step("p1 expect in$")
    for line in steps.splitlines():
        if line == "cancel":
            host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
        else:
            harness.step(line)
    if status:
        harness.step(f"c1 expect ^HTTP/1.1 {status}")
    harness.step("c1 silent 20")
    assert decisions.outcomes == outcomes
    harness.run_until("forgotten", lambda: not host.jobs_in_memory)
    harness.close()


# DELETE


def test_deletes_to_a_worker_that_is_cut_off_use_few_descriptors_and_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    harness, _ = fixed_order("p1")
    back, done = harness.dispatcher.invoker, []
    until = harness.dispatcher.loop.now() + 150 * MS
    for n in range(200):
        back.cancel_job(f"j{n}", "p1", until, done.append)
    harness.run_for(0.05)
    assert 0 < gate.waiting <= 32
    gate.open = True
    harness.run_until("all DELETEs sent or given up", lambda: len(done) == 200)
    assert not any(done)  # none is confirmed
    assert not back._delete_sender.in_flight
    harness.close()


def test_an_idle_connection_is_closed_when_no_descriptor_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, _ = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", DONE, "c1 expect out$"):
        harness.step(line)
    real = sockets.stream_socket
    fails = iter((True,))

    def stream_socket(address: Address) -> socket.socket:
        if next(fails, False):
            raise OSError(24, "Too many open files")
        return real(address)

    monkeypatch.setattr(sockets, "stream_socket", stream_socket)
    harness.dispatcher.host._dispatcher.order = ("p2",)  # type: ignore[attr-defined]
    harness.run(f"c1 send {job('j2')}\np2 expect X-Request-ID: j2\np1 ended")


def test_no_further_attempt_is_sent_before_the_worker_has_answered_a_delete() -> None:
    # p1 has accepted the job and closes the connection of each DELETE. Until it answers one, p2 gets nothing.
    harness, decisions = fixed_order("p1", "p2")
    host = harness.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", "wait 10"):
        harness.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for _ in range(5):
        harness.step("p1 expect DELETE /jobs/j1 HTTP")
        assert harness.peers["p2"].sock is None
        harness.step("p1 close")
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    assert decisions.outcomes == []
    harness.run(f"p1 send {answer(204)}\np2 expect in$")


def test_a_delete_on_an_idle_connection_counts_only_if_it_is_answered() -> None:
    # A worker that is cut off behind a connection that looks open never receives it, and an attempt at p2
    # would be a second copy.
    harness, _ = fixed_order("p1", "p2")
    host = harness.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", "wait 10"):
        harness.step(line)
    old = harness.peers["p1"].sock
    assert old is not None
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    assert harness.peers["p1"].sock is old
    harness.peers["p1"].earlier.append(old)  # not read or written any more
    harness.peers["p1"].sock = None
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")


def test_a_delete_whose_connection_is_closed_before_the_202_is_sent_again() -> None:
    # The 202 may have been in flight when the attempt's connection was closed, and the worker runs the job.
    harness, _ = fixed_order("p1", "p2")
    host = harness.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for _ in range(2):
        harness.step("p1 close")
        harness.step("p1 expect DELETE /jobs/j1 HTTP")
        assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")


@pytest.mark.parametrize(("took", "waits"), [(10, 0.1), (40, 0.24)])
def test_the_time_out_of_a_delete_allows_for_a_distant_worker(
    took: int, waits: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # With a round trip of 20 ms, the handshake and the DELETE take longer than the time-out for a near
    # worker.
    real, connected_at = invoker.connect, []

    def connect(address: Address, until: int) -> Coroutine[Connection]:
        yield Wait(-1, 0, harness.dispatcher.loop.now() + took * MS)
        connection = yield from real(address, until)
        connected_at.append(time.monotonic())
        return connection

    monkeypatch.setattr(invoker, "connect", connect)
    harness, _ = fixed_order("p1", "p2")
    host = harness.dispatcher.host
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))
    for line in ("p1 ended", "p1 close", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    harness.step(
        "p2 expect in$"
    )  # the close has given the attempt up, so p1 need not answer, but gets the time to
    harness.close()
    _, delete, to_p2 = connected_at
    assert to_p2 - delete >= waits + took / 1000


def test_attempts_at_hung_workers_leave_descriptors_for_others(monkeypatch: pytest.MonkeyPatch) -> None:
    # Otherwise none would be left for clients, call-backs and the discovery service.
    gate = Gate(monkeypatch, "connecting")
    gate.open = False
    harness, decisions = fixed_order("p1", sockets=256)  # 140 connections of clients, 100 to workers
    for n in range(110):
        harness.step(f"c{n} send {job(f'j{n}')}")
    harness.run_until(
        "the others ended without having been sent", lambda: len(decisions.outcomes) == 110 - gate.waiting
    )
    assert 0 < gate.waiting <= 100 and set(decisions.outcomes) == {Outcome.FULL}
    gate.open = True
    harness.run("p1 expect in$")


def test_without_cancellation_an_attempt_has_until_the_deadline() -> None:
    harness, decisions = fixed_order("p1", "p2", settings=SHORT)
    decisions.timeout = 100 * MS
    harness.run(
        f"""c1 send {job(ms=600)}
        p1 expect in$
        p1 send {ACCEPTED}
        c1 silent 300
        c1 expect HTTP/1.1 500
        p1 silent 200"""
    )
    assert decisions.outcomes == [Outcome.TIMEOUT, Outcome.MOOT] and harness.peers["p2"].sock is None


# Sequences of endings, with the real decision module

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
    """A clock that jumps from one timer to the next."""

    def __init__(self) -> None:
        self._now, self._count = SECOND, itertools.count()
        self._timers: list[tuple[int, int, Timer]] = []

    def now(self) -> int:
        return self._now

    def call_at(self, due: int, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(call, args)
        heapq.heappush(self._timers, (due, next(self._count), timer))
        return timer

    def call_soon(self, call: Callable[..., None], *args: Any) -> None:
        self.call_at(self._now, call, *args)

    def run(self, until: int) -> None:
        while self._timers and self._timers[0][0] <= until:
            due, _, timer = heapq.heappop(self._timers)
            self._now = max(self._now, due)
            if timer.call is not None:
                timer.call(*timer.args)


class ScriptedInvoker:
    """An invoker whose attempts end as a script says, 20 ms after they were sent."""

    def __init__(self, host: core.Host, script: tuple[tuple[Ending, bool], ...]) -> None:
        self.host, self.script = host, script
        self.sent: list[core.Attempt] = []

    def start(self, attempt: core.Attempt) -> None:
        assert all(earlier.ended for earlier in self.sent)
        if self.host.reason_not_to_send(attempt) is not None:
            self.host.attempt_ended(attempt, Ending.NOT_SENT)
            return
        ending, written = self.script[len(self.sent) % len(self.script)]
        self.sent.append(attempt)
        if written:
            self.host.attempt_written(attempt)
        self.host.loop.call_at(self.host.loop.now() + 20 * MS, self.host.attempt_ended, attempt, ending)

    def give_up(self, attempt: core.Attempt, ending: Ending) -> None:
        self.host.attempt_ended(attempt, ending)

    def detach(self, attempt: core.Attempt) -> None: ...

    def probe(self, worker: str) -> None: ...

    def close_idle(self, worker: str) -> None: ...


SCRIPT_STEPS = [
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
    for script in itertools.product(SCRIPT_STEPS, repeat=3):
        clock, answers = VirtualClock(), []
        settings = replace(
            read_settings(SETTINGS),
            classes=(api.JobClass("x", effect, 1 * SECOND, 2 * SECOND, window=window),),
        )
        host = core.Host(clock, settings, 1)
        back = host.invoker = ScriptedInvoker(host, script)
        entries = tuple(api.WorkerEntry(f"p{n}", "a") for n in range(5))
        host.update_workers(api.WorkerList(api.ListKind.FULL, entries))
        payload = core.Payload("j1", "POST", "/x", b"")
        host.submit(payload, answers.append, job_class="x", time_left=2 * SECOND)
        clock.run(4 * SECOND)
        ended = script[: len(back.sent)]
        possibly_run = [n for n, (ending, written) in enumerate(ended) if not never_ran(ending, written)]
        assert len(answers) == 1, script
        assert len(back.sent) <= settings.max_attempts
        if effect is api.Effect.UNSAFE:
            assert possibly_run in ([], [len(ended) - 1]), (
                script
            )  # nothing is sent after one that may have run
        if effect is api.Effect.KEYED and possibly_run:
            first = back.sent[possibly_run[0]].sent_at
            assert all(attempt.sent_at < first + window for attempt in back.sent[possibly_run[0] :]), script
        if answers[0].verdict is core.Verdict.REFUSED and effect is api.Effect.UNSAFE:
            assert not possibly_run, script
        served = ended[-1][0] is Ending.DONE if ended else False
        assert (answers[0].verdict is core.Verdict.SERVED) is served, script
        assert not host.jobs_in_memory


def test_an_attempt_beside_a_live_one_is_not_sent() -> None:
    # It would be a second copy, even if the decision module orders it.
    harness, decisions = fixed_order("p1")
    for line in (f"c1 send {job()}", "p1 expect in$"):
        harness.step(line)
    host = harness.dispatcher.host
    host._send(api.Send(next(iter(host._jobs)), "p2"))
    harness.run_for(0.05)
    assert decisions.outcomes[0] is Outcome.MOOT
    assert harness.peers["p2"].sock is None
    harness.close()
