"""The dispatcher on real sockets, against scripted clients, workers and a discovery service."""

import socket
from collections.abc import Iterable
from contextlib import suppress

import pytest

from heathway import api
from heathway.logic import Dispatcher
from ironbarrow.fronts import clients
from ironbarrow.runtime.loop import MS
from ironbarrow.wire.http import BODY_LIMIT
from tests.scenario import Peer, Stage, answer, call_back, job, post

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)
SLOTS = "X-Attrs: slots=2,other=x\\r\\n"
KEYED = "Cookie: a=b; sid=7f3a\\r\\n"
CONTENT_TYPE = "Content-Type: text/\xe9\\r\\n"
IDEMPOTENT = "Idempotency-Key: 6d18-fb\\r\\n"
CLOSE = "Connection: close\\r\\n"


def get(path: str, method: str = "GET") -> str:
    return f"{method} {path} HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"


SCENARIOS = {
    "served": f"""
        c1 send {job(more=SLOTS)}
        p1 expect POST /map/x\\?y=1 HTTP/1.1.*X-Request-ID: j1.*X-Timeout-Ms: [0-9]+.*\\r\\n\\r\\nin$
        p1 send {ACCEPTED}
        c1 silent 50
        c2 send {call_back("started")}
        c2 expect HTTP/1.1 204
        c2 send {call_back("running", share=0.4)}
        c2 expect HTTP/1.1 204
        c2 send {call_back("done", result="out", load={"x0": 3})}
        c2 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*\\r\\n\\r\\nout$
        c1 send {job("j2")}
        p1 expect X-Request-ID: j2
        """,
    # danger: call-backs overtake the 202, come twice, and come for what is over
    "call-back before the 202, twice, late and unknown": f"""
        c1 send {job()}
        p1 expect in$
        c2 send {call_back("done", result="out")}
        c2 expect HTTP/1.1 204
        c2 send {call_back("done", result="other")}
        c2 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*out$
        p1 send {ACCEPTED}
        c2 send {call_back("failed")}
        c2 expect HTTP/1.1 204
        c2 send {call_back("done", "never-seen", result="x")}
        c2 expect HTTP/1.1 204
        c1 silent 30
        """,
    # danger: a worker that lost the job must not end another worker's call
    "call-back from a worker that does not have the call": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="wrong")}
        c2 expect HTTP/1.1 204
        c1 silent 50
        c2 send {call_back("done", result="right")}
        c1 expect right$
        """,
    "a safe job that failed goes out again": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {answer(500)}
        p2 expect X-Request-ID: j1
        p2 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="out")}
        c1 expect 200 .*out$
        """,
    # danger: a 503 proves nothing by itself, and a booking must not run twice
    "a booking after a bare 503 is failed, not sent again or refused": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {answer(503)}
        c1 expect HTTP/1.1 500
        p2 silent 50
        """,
    "a booking proven not processed goes out again": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {NOT_PROCESSED}
        p2 expect X-Request-ID: j1
        """,
    "a returned booking goes out again": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {ACCEPTED}
        c2 send {call_back("returned")}
        p2 expect X-Request-ID: j1
        """,
    "a booking whose connection broke before the 202 is failed": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 close
        c1 expect HTTP/1.1 500
        """,
    "a booking that was lost is failed": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {ACCEPTED}
        c2 send {call_back("lost")}
        c1 expect HTTP/1.1 500
        """,
    "a refused connection proves that a booking never ran": f"""
        p1 refuse
        c1 send {job(path="book/x")}
        p2 expect X-Request-ID: j1
        """,
    # danger: a hung worker says nothing; the client is answered at its deadline all the same
    "silence to the deadline": f"""
        c1 send {job(path="book/x", ms=1500)}
        p1 expect in$
        c1 expect HTTP/1.1 500
        """,
    "silence after the 202 is given up by DELETE": f"""
        c1 send {job(ms=1500)}
        p1 expect in$
        p1 send {ACCEPTED}
        c1 expect HTTP/1.1 503 .*Retry-After: 0.2
        p1 expect DELETE /jobs/j1 HTTP
        """,
    "a client that leaves has its call given up": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        wait 30
        c1 close
        p1 expect DELETE /jobs/j1 HTTP
        p1 send {answer(204)}
        c2 send {call_back("done", result="late")}
        c2 expect HTTP/1.1 204
        """,
    # danger: until the worker knows that a call is given up, a repeat would be a second copy
    "a DELETE that did not get through is sent again": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        wait 30
        c1 close
        {
        '''p1 expect DELETE /jobs/j1 HTTP
        p1 close
        '''
        * 5
    }p1 expect DELETE /jobs/j1 HTTP
        p1 send {answer(404)}
        p1 silent 200
        """,
    # danger: a connection the worker has closed would swallow the next request
    "a closed pooled connection is not used again": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        c2 send {call_back("done", result="a")}
        c1 expect a$
        p1 close
        c1 send {job("j2", path="book/x")}
        p1 expect X-Request-ID: j2
        p1 send {ACCEPTED}
        c2 send {call_back("done", "j2", result="b")}
        c1 expect b$
        """,
    "an answer that says close is not pooled": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {answer(202, CLOSE)}
        p1 ended
        """,
    # danger: a worker that answers with garbage may have run the job
    "garbage instead of an answer": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send hello?\\r\\n\\r\\n
        c1 expect HTTP/1.1 500
        """,
    "pieces of a request": f"""
        c1 send {job()[:40]}
        wait 20
        c1 send {job()[40:]}
        p1 expect in$
        """,
    "a content type beyond ASCII passes on": f"""
        c1 send {job(more=CONTENT_TYPE)}
        p1 expect Content-Type: text/\\xe9\\r\\n.*in$
        """,
    # danger: without it, a worker can't know the repeat of a keyed job that has run
    "an idempotency key passes on, also to the next worker": f"""
        c1 send {job(more=IDEMPOTENT)}
        p1 expect Idempotency-Key: 6d18-fb\\r\\n.*in$
        p1 send {answer(500)}
        p2 expect Idempotency-Key: 6d18-fb\\r\\n.*in$
        """,
    "100-continue": """
        c1 send POST /map HTTP/1.1\\r\\nHost: b\\r\\nExpect: 100-continue\\r\\nContent-Length: 2\\r\\n\\r\\n
        c1 expect HTTP/1.1 100
        """,
    "the key in the cookie says where first fit starts": f"""
        c1 send {job(more=KEYED)}
        p2 expect in$
        """,
    "the class alone as the path": f"""
        c1 send {job(path="map")}
        p1 expect POST /map HTTP
        """,
}

BAD = {
    "no id": (job().replace("X-Request-ID", "X-Other"), 400),
    "an id that would break a path": (job("a/b"), 400),
    "no time": (job().replace("X-Timeout-Ms", "X-Other"), 400),
    "time 0": (job(ms=0), 400),
    "a negative time": (job(ms=-5), 400),
    "an absurd time": (job(ms=10**30), 400),
    "slots that are no number": (job(more="X-Attrs: slots=many\\r\\n"), 400),
    "slots without end": (job(more="X-Attrs: slots=inf\\r\\n"), 400),
    "slots that are not a number": (job(more="X-Attrs: slots=nan\\r\\n"), 400),
    "attributes without a value": (job(more="X-Attrs: slots\\r\\n"), 400),
    # danger: what one reader takes for the body holds a request for another
    "a length and chunks": (
        job(more="Transfer-Encoding: chunked\\r\\n", body="0\\r\\n\\r\\n" + job("hidden")),
        400,
    ),
    "two ids": (job(more="X-Request-ID: j2\\r\\n"), 400),
    "two idempotency keys": (job(more=IDEMPOTENT * 2), 400),
    "two tenants": (job(more="X-Tenant-Id: a\\r\\nX-Tenant-Id: b\\r\\n"), 400),
    "two times": (job(more="X-Timeout-Ms: 5\\r\\n"), 400),
    "a length of thousands of digits": (
        job().replace("Content-Length: 2", f"Content-Length: {'9' * 9000}"),
        400,
    ),
    "a negative length": (job().replace("Content-Length: 2", "Content-Length: -2"), 400),
    "a length without end": (job().replace("Content-Length: 2", "Content-Length: 99999999999"), 413),
    "chunks of a byte each": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + "1\\r\\nx\\r\\n" * 40_000,
        413,
    ),
    "not HTTP": ("hello there\\r\\n\\r\\n", 400),
    "two lengths": (job(more="Content-Length: 7\\r\\n"), 400),
    "a body too large by its length": (job(body="x" * (BODY_LIMIT + 1)), 413),
    "a chunked body too large": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + f"{BODY_LIMIT + 1:x}\\r\\n{'x' * (BODY_LIMIT + 1)}\\r\\n0\\r\\n\\r\\n",
        413,
    ),
    "a job by GET": (get("/map/x"), 405),
    "a call-back by GET": (get("/callback"), 405),
    "readiness by POST": (post("", "/-/ready"), 405),
    "an unknown path": (get("/nowhere"), 404),
    "a class nobody knows": (job(path="unknown/x"), 404),
    "a head too large": (job(more=f"X-Long: {'x' * 40000}\\r\\n"), 431),
    "an absolute target": (get("http://elsewhere/"), 404),
    "a call-back that is not JSON": (post("{"), 400),
    "a call-back nested without end": (post("[" * 60000), 400),
    "a call-back that is no object": (post("[1]"), 400),
    "a call-back without an id": (post('{"from":"p1","state":"done"}'), 400),
    "a call-back in an unknown state": (call_back("dancing"), 400),
    "a call-back whose result is no text": (call_back("done", result=7), 400),
    "a call-back whose share is no number": (call_back("running", share="x"), 400),
    "a call-back whose load is no object": (call_back("done", load=[1]), 400),
    "a call-back whose load is no number": (call_back("done", load={"x0": "y"}), 400),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    Stage().play(SCENARIOS[name])


@pytest.mark.parametrize("name", BAD)
def test_bad_input_is_answered_and_serving_goes_on(name: str, caplog: pytest.LogCaptureFixture) -> None:
    sent, status = BAD[name]
    Stage().play(f"c1 send {sent}\nc1 expect ^HTTP/1.1 {status} \nc2 send {job('ok')}\np1 expect : ok")


def test_an_id_under_way_is_not_taken_twice() -> None:
    # danger: two jobs under one id could not be told apart in call-backs
    Stage().play(f"c1 send {job()}\np1 expect in$\nc2 send {job()}\nc2 expect ^HTTP/1.1 409")


def test_ready_only_with_a_list() -> None:
    Stage().play(f"c1 send {get('/-/ready')}\nc1 expect ^HTTP/1.1 200")
    stage = Stage(known=False)
    news = stage.news(stage.entry("p1"), whole=True).split("\r\n")[1].strip()
    stage.play(
        f"""c1 send {get("/-/ready")}
        c1 expect ^HTTP/1.1 503
        d expect GET /api/targets HTTP
        d send HTTP/1.1 200 X\\r\\nContent-Length: {len(news)}\\r\\n\\r\\n{news}
        c1 send {get("/-/ready")}
        c1 expect HTTP/1.1 200 OK"""
    )


def test_no_descriptor_left_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: accept fails at once as long as no descriptor is free, and the loop would spin or end
    stage = Stage()
    real = socket.socket.accept
    fails = iter((True, True, False))

    def accept(self: socket.socket) -> tuple[socket.socket, object]:
        if self is stage.dispatcher.listener and next(fails, False):
            raise OSError(24, "Too many open files")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    stage.play(f"c1 send {job()}\np1 expect in$")


def test_connections_over_the_limit_wait_until_idle_ones_are_closed() -> None:
    stage = Stage(sockets=38)  # room for three clients
    idle = "".join(f"c{n} send {get('/-/ready')}\nc{n} expect 200\n" for n in range(1, 9))
    stage.play(idle + f"c1 ended\nc9 send {job()}\np1 expect in$")


def test_a_request_that_stops_half_way_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: a client that freezes would keep its connection for ever
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 200 * MS)
    Stage().play(f"c1 send {job()[:40]}\nc1 expect ^HTTP/1.1 408\nc1 ended")


def test_a_connection_that_brings_no_request_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: hundreds that say nothing would hold the places of usual clients
    monkeypatch.setattr(clients, "_FIRST_LIMIT", 200 * MS)
    Stage().play("c1 silent 100\nc1 ended")


def test_silent_connections_make_room_for_one_that_asks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "_FIRST_LIMIT", 60_000 * MS)
    stage = Stage(sockets=38)  # room for three clients
    silent = "".join(f"c{n} silent 1\n" for n in range(1, 6))
    stage.play(f"{silent}c6 send {job()[:40]}\nc9 send {job()}\np1 expect in$\nc1 ended\nc6 ended")


def test_a_fast_sender_lets_the_others_have_their_turn() -> None:
    stage = Stage()
    stage.step(f"c1 send {job(body='x' * (BODY_LIMIT + 1))}")
    stage.step("c1 expect ^HTTP/1.1 413")
    sock = stage.peers["c1"].sock
    assert sock is not None
    turns = 0
    try:
        while turns < 1000:  # it takes away a little in each turn, and in all no more than its limit
            with suppress(BlockingIOError):
                while sock.send(b"x" * 65536):
                    pass
            stage.dispatcher.loop.run_once()
            turns += 1
    except ConnectionError:
        pass
    stage.close()
    assert 3 < turns < 1000


def test_requests_that_stop_half_way_share_a_limit_on_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 60_000 * MS)
    stage = Stage(sockets=1024, memory_mb=1)  # half a megabyte for all of them
    half = job().replace("Content-Length: 2", "Content-Length: 60000") + "x" * 50_000
    stage.play(
        "".join(f"c{n} send {half}\nwait 20\n" for n in range(1, 13)) + "c1 ended\nc2 ended\nc12 silent 20"
    )


def test_an_idle_connection_is_closed_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "_IDLE_LIMIT", 200 * MS)
    Stage().play(f"c1 send {get('/-/ready')}\nc1 expect 200\nc1 ended")


def served(job_id: str, worker: str, more: str = "") -> str:
    return (
        f"c1 send {job(job_id, more=more)}\n{worker} expect in$\n{worker} send {ACCEPTED}\n"
        f"c9 send {call_back('done', job_id, worker, result='out')}\nc1 expect out$\n"
    )


def test_the_pool_gives_up_its_oldest_connection_when_it_is_full() -> None:
    # danger: with few sockets, idle connections to quiet workers kept out those to busy ones
    stage = Stage(sockets=36)  # room for one idle connection to workers
    stage.play(served("j1", "p1") + served("j2", "p2", KEYED) + "p1 ended")


def test_many_that_connect_at_once_do_not_use_up_the_places() -> None:
    # danger: a connection ended before its task had run kept its place for ever
    stage = Stage(sockets=38)
    peers = [Peer(stage.address) for _ in range(12)]
    for peer in peers:
        peer.connect()
    stage.pass_time(0.1)
    for peer in peers:
        peer.close()
    stage.play("".join(f"c{n} send {job(f'j{n}')}\np{n} expect in$\n" for n in (1, 2)))


def test_a_decision_that_fails_does_not_end_the_program(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage()
    real = Dispatcher.handle
    fails = iter((True,))

    def handle(self: Dispatcher, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        if next(fails, False):
            raise ZeroDivisionError
        return real(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", handle)
    # the first job's arrival is lost with the failure, and yet it gets its one answer
    stage.play(
        f"c1 send {job('j1', ms=200)}\nc1 expect HTTP/1.1 500\nc2 send {job('j2')}\np1 expect : j2.*in$"
    )


def test_nothing_stays_of_finished_jobs() -> None:
    # danger: a job withdrawn while held, or one whose call was given up, would stay for ever
    stage = Stage(workers=0)
    rounds = "".join(f"c1 send {job(f'j{n}')}\nwait 10\nc1 close\nwait 10\n" for n in range(3))
    stage.play(rounds)
    assert stage.dispatcher.host.unanswered == 0
    assert stage.dispatcher.host.jobs_in_memory == 0


def test_a_trace_tells_each_event_and_action(capsys: pytest.CaptureFixture[str]) -> None:
    Stage(traced=True).play(served("j1", "p1"))
    seen = capsys.readouterr().out
    for word in ("WorkerList", "JobArrived", "Send", "connect", "AttemptEnded", "outcome"):
        assert word in seen
    assert "TimerFired" not in seen
