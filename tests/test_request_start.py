"""Input after a job: the beginning of another request, or the rest of a body whose length is too short."""

import random
from collections.abc import Iterator

import pytest

from ironbarrow.frontend.request_start import RequestStart, request_start
from tests.scenario import Harness, answer, call_back, job
from tests.test_clients import SentAttempts, run_steps

ACCEPTED = answer(202)
FOLLOWING = (
    b"POST /map/x?y=1 HTTP/1.1\r\nHost: b\r\n",
    b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n",
    b"\r\nPOST /callback HTTP/1.0\n",
    b"DELETE /anything HTTP/1.1\r\n",
)
RESTS = (  # of bodies, in capitals and in the forms of other lines
    " HARVEST 30",
    "QRVFQVSUU",
    "OK",
    "GETAWAY",
    "POST",
    "POST 12",
    "GET ",
    "P",
    "POST /fields now",
    "POST /fields\\n",
    "GET /x HTTP/2",
    "get /x HTTP/1.1",
    '"more":1}',
    "\\x00\\xff",
    "\\r\\n--boundary--\\r\\n",
)


@pytest.fixture
def harness() -> Iterator[Harness]:
    made = Harness(workers=1)
    yield made
    made.close()


def rest_of_body(text: str) -> str:
    """The text with its escapes of single bytes resolved, for a step of a scenario."""
    return text.replace("\\x00", "\x00").replace("\\xff", "\xff")


@pytest.mark.parametrize("data", FOLLOWING)
def test_a_request_is_recognised_wherever_it_is_cut_off(data: bytes) -> None:
    possible = {RequestStart.NOTHING, RequestStart.UNDECIDED, RequestStart.BEGUN, RequestStart.LINE}
    starts = [request_start(data[:size]) for size in range(len(data) + 1)]
    assert set(starts) <= possible
    assert starts[-1] is RequestStart.LINE
    order = list(RequestStart)
    assert [order.index(start) for start in starts] == sorted(order.index(start) for start in starts)


def test_random_bytes_are_decided_once_and_for_all() -> None:
    """More input never makes a request of bytes that could not begin one."""
    drawn = random.Random(62)
    for _ in range(3000):
        data = bytes(drawn.choices(b"GETPOS /H1.\r\n\x00a", k=24))
        starts = [request_start(data[:size]) for size in range(25)]
        if RequestStart.IMPOSSIBLE in starts:
            assert set(starts[starts.index(RequestStart.IMPOSSIBLE) :]) == {RequestStart.IMPOSSIBLE}
        if RequestStart.LINE in starts:
            assert set(starts[starts.index(RequestStart.LINE) :]) == {RequestStart.LINE}


@pytest.mark.parametrize("rest", RESTS)
def test_a_job_whose_length_is_too_short_is_not_sent(harness: Harness, rest: str) -> None:
    """Guards against workers that run a part of a body, and a 200 for it (review/10)."""
    sent = SentAttempts(harness)
    harness.step(f"c1 send {job(path='book/x', ms=400)}{rest_of_body(rest)}")
    harness.step("c1 expect ^HTTP/1.1 400 .*longer than its length")
    harness.step("c1 ended")
    assert sent.ids == []


@pytest.mark.parametrize("rest", RESTS)
def test_the_rest_of_a_body_may_arrive_after_its_job_was_sent(harness: Harness, rest: str) -> None:
    """Guards against a 200 for a part of a body whose rest came in a later piece."""
    run_steps(harness, f"c1 send {job(path='book/x')}\np1 expect in$\np1 send {ACCEPTED}\nwait 10")
    run_steps(harness, f"c1 send {rest_of_body(rest)}")
    if rest in ("P", "POST", "GET "):  # undecided: a pipelined request may go on like this
        run_steps(harness, "wait 10\nc1 send x")
    run_steps(harness, "c1 expect ^HTTP/1.1 400 .*longer than its length\nc1 ended")
    run_steps(harness, "p1 expect DELETE /jobs/j1 HTTP")


def test_the_rest_of_a_body_may_arrive_with_the_answer(harness: Harness) -> None:
    """Guards against a 200 where the rest of the body and the worker's answer arrive in one turn."""
    run_steps(harness, f"c1 send {job(path='book/x')}\np1 expect in$\np1 send {ACCEPTED}\nwait 10")
    run_steps(harness, f"c1 send HARVEST\nc2 send {call_back('done', result='x')}")
    run_steps(harness, "c1 expect ^HTTP/1.1 400\nc2 expect 204")


def test_nothing_may_follow_a_job_that_closes_its_connection(harness: Harness) -> None:
    """Guards against a part of a body that is run as what follows it looks like a request."""
    sent = SentAttempts(harness)
    closing = job(more="Connection: close\\r\\n")
    run_steps(harness, f"c1 send {closing}{job('j2')}\nc1 expect ^HTTP/1.1 400")
    assert sent.ids == []


@pytest.mark.parametrize("size", [*range(1, 30), 60, 90, len(job("j2").encode().decode("unicode_escape"))])
def test_pipelined_requests_may_be_cut_anywhere(harness: Harness, size: int) -> None:
    """Guards against an error for a client whose next request is cut off at its first bytes."""
    second = job("j2").replace("\\r", "\r").replace("\\n", "\n")
    run_steps(harness, "c1 silent 1")
    sock = harness.peers["c1"].sock
    assert sock is not None
    sock.sendall((job("j1").replace("\\r", "\r").replace("\\n", "\n") + second[:size]).encode())
    harness.run_for(0.02)
    sock.sendall(second[size:].encode())
    for name in ("j1", "j2"):
        run_steps(harness, f"p1 expect : {name}\\r.*in$\np1 send {ACCEPTED}")
        run_steps(harness, f"c2 send {call_back('done', name, result=name)}\nc1 expect 200 .*{name}$")


def test_the_time_for_which_a_job_is_held_is_part_of_its_time(harness: Harness) -> None:
    """Guards against a worker that is told more time than its client has left."""
    run_steps(harness, f"c1 send {job(ms=2000)}P\nwait 300\nc1 send {job('j2')[1:]}")
    run_steps(harness, "p1 expect X-Timeout-Ms: 1[0-7][0-9][0-9]\\r.*in$")


def test_a_job_that_is_held_when_the_process_ends_is_refused(harness: Harness) -> None:
    """Guards against a request that is read and never answered, as its process ends."""
    run_steps(harness, f"c1 send {job()}P\nwait 20")
    harness.dispatcher.server.end_incomplete_requests()
    run_steps(harness, "c1 expect ^HTTP/1.1 503")


def test_a_client_that_leaves_while_its_job_is_held_is_noticed(harness: Harness) -> None:
    sent = SentAttempts(harness)
    run_steps(harness, f"c1 send {job()}P\nwait 20\nc1 close")
    harness.run_until("it is closed", lambda: not harness.dispatcher.server.has_connections, 0.1)
    assert sent.ids == []
