"""The dispatcher on real sockets, against scripted clients, workers and a discovery service."""

import socket
from collections.abc import Iterable
from contextlib import suppress

import pytest

from heathway import api
from heathway.logic import Dispatcher
from ironbarrow.frontend import server
from ironbarrow.runtime.loop import MS
from ironbarrow.wire.http import BODY_LIMIT
from tests.scenario import Harness, Peer, answer, call_back, job, post

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
    # call-backs may overtake the 202, arrive twice, or arrive for jobs that are over
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
    # a worker that lost the job must not end another worker's attempt
    "call-back from a worker that does not have the attempt": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="wrong")}
        c2 expect HTTP/1.1 204
        c1 silent 50
        c2 send {call_back("done", result="right")}
        c1 expect right$
        """,
    "a safe job that failed is sent again": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {answer(500)}
        p2 expect X-Request-ID: j1
        p2 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="out")}
        c1 expect 200 .*out$
        """,
    # a 503 alone doesn't prove that a booking did not run, and it must not run twice
    "a booking after a bare 503 is failed, not sent again or refused": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {answer(503)}
        c1 expect HTTP/1.1 500
        p2 silent 50
        """,
    "a booking proven not processed is sent again": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send {NOT_PROCESSED}
        p2 expect X-Request-ID: j1
        """,
    "a returned booking is sent again": f"""
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
    # a hung worker sends nothing; the client still gets an answer at its deadline
    "no answer up to the deadline": f"""
        c1 send {job(path="book/x", ms=1500)}
        p1 expect in$
        c1 expect HTTP/1.1 500
        """,
    "no answer after the 202: cancelled by DELETE": f"""
        c1 send {job(ms=1500)}
        p1 expect in$
        p1 send {ACCEPTED}
        c1 expect HTTP/1.1 503 .*Retry-After: 0.2
        p1 expect DELETE /jobs/j1 HTTP
        """,
    "the job of a client that disconnects is cancelled": f"""
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
    # until the worker knows that the attempt is cancelled, a repeat would be a second copy
    "a DELETE that failed is sent again": f"""
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
    # a request on a connection that the worker has closed would be lost
    "a pooled connection that was closed is not used again": f"""
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
    "a connection with Connection: close is not pooled": f"""
        c1 send {job()}
        p1 expect in$
        p1 send {answer(202, CLOSE)}
        p1 ended
        """,
    # a worker that sends a malformed response may have run the job
    "a malformed response": f"""
        c1 send {job(path="book/x")}
        p1 expect in$
        p1 send hello?\\r\\n\\r\\n
        c1 expect HTTP/1.1 500
        """,
    "a request in pieces": f"""
        c1 send {job()[:40]}
        wait 20
        c1 send {job()[40:]}
        p1 expect in$
        """,
    "a content type beyond ASCII is forwarded": f"""
        c1 send {job(more=CONTENT_TYPE)}
        p1 expect Content-Type: text/\\xe9\\r\\n.*in$
        """,
    # without it, a worker can't recognize the repeat of a keyed job that has run
    "an idempotency key is forwarded, also to the next worker": f"""
        c1 send {job(more=IDEMPOTENT)}
        p1 expect Idempotency-Key: 6d18-fb\\r\\n.*in$
        p1 send {answer(500)}
        p2 expect Idempotency-Key: 6d18-fb\\r\\n.*in$
        """,
    "100-continue": """
        c1 send POST /map HTTP/1.1\\r\\nHost: b\\r\\nExpect: 100-continue\\r\\nContent-Length: 2\\r\\n\\r\\n
        c1 expect HTTP/1.1 100
        """,
    "the key in the cookie selects where first fit starts": f"""
        c1 send {job(more=KEYED)}
        p2 expect in$
        """,
    "the class alone as the path": f"""
        c1 send {job(path="map")}
        p1 expect POST /map HTTP
        """,
}

REJECTED = {
    "no id": (job().replace("X-Request-ID", "X-Other"), 400),
    "an id with a slash": (job("a/b"), 400),
    "no time-out": (job().replace("X-Timeout-Ms", "X-Other"), 400),
    "a time-out of 0": (job(ms=0), 400),
    "a negative time-out": (job(ms=-5), 400),
    "a time-out that is too large": (job(ms=10**30), 400),
    "slots that are text": (job(more="X-Attrs: slots=many\\r\\n"), 400),
    "slots that are infinite": (job(more="X-Attrs: slots=inf\\r\\n"), 400),
    "slots that are NaN": (job(more="X-Attrs: slots=nan\\r\\n"), 400),
    "attributes without a value": (job(more="X-Attrs: slots\\r\\n"), 400),
    # request smuggling: what is the body for one reader holds a request for another
    "both Content-Length and chunks": (
        job(more="Transfer-Encoding: chunked\\r\\n", body="0\\r\\n\\r\\n" + job("hidden")),
        400,
    ),
    "two ids": (job(more="X-Request-ID: j2\\r\\n"), 400),
    "two idempotency keys": (job(more=IDEMPOTENT * 2), 400),
    "two tenants": (job(more="X-Tenant-Id: a\\r\\nX-Tenant-Id: b\\r\\n"), 400),
    "two time-outs": (job(more="X-Timeout-Ms: 5\\r\\n"), 400),
    "a Content-Length of thousands of digits": (
        job().replace("Content-Length: 2", f"Content-Length: {'9' * 9000}"),
        400,
    ),
    "a negative Content-Length": (job().replace("Content-Length: 2", "Content-Length: -2"), 400),
    "a Content-Length that is too large": (
        job().replace("Content-Length: 2", "Content-Length: 99999999999"),
        413,
    ),
    "chunks of a byte each": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + "1\\r\\nx\\r\\n" * 40_000,
        413,
    ),
    "not HTTP": ("hello there\\r\\n\\r\\n", 400),
    "two values of Content-Length": (job(more="Content-Length: 7\\r\\n"), 400),
    "a body over the limit": (job(body="x" * (BODY_LIMIT + 1)), 413),
    "a chunked body over the limit": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + f"{BODY_LIMIT + 1:x}\\r\\n{'x' * (BODY_LIMIT + 1)}\\r\\n0\\r\\n\\r\\n",
        413,
    ),
    "a job by GET": (get("/map/x"), 405),
    "a call-back by GET": (get("/callback"), 405),
    "readiness by POST": (post("", "/-/ready"), 405),
    "an unknown path": (get("/nowhere"), 404),
    "an unknown class": (job(path="unknown/x"), 404),
    "a head over the limit": (job(more=f"X-Long: {'x' * 40000}\\r\\n"), 431),
    "an absolute target": (get("http://elsewhere/"), 404),
    "a call-back that is not JSON": (post("{"), 400),
    "a call-back nested too deeply": (post("[" * 60000), 400),
    "a call-back that is not an object": (post("[1]"), 400),
    "a call-back without an id": (post('{"from":"p1","state":"done"}'), 400),
    "a call-back in an unknown state": (call_back("dancing"), 400),
    "a call-back whose result is no text": (call_back("done", result=7), 400),
    "a call-back whose share is no number": (call_back("running", share="x"), 400),
    "a call-back whose load is no object": (call_back("done", load=[1]), 400),
    "a call-back whose load is no number": (call_back("done", load={"x0": "y"}), 400),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name: str) -> None:
    Harness().run(SCENARIOS[name])


@pytest.mark.parametrize("name", REJECTED)
def test_rejected_input_is_answered_and_serving_goes_on(name: str, caplog: pytest.LogCaptureFixture) -> None:
    sent, status = REJECTED[name]
    Harness().run(f"c1 send {sent}\nc1 expect ^HTTP/1.1 {status} \nc2 send {job('ok')}\np1 expect : ok")


def test_an_id_in_progress_is_rejected() -> None:
    # call-backs could not tell two jobs with one id apart
    Harness().run(f"c1 send {job()}\np1 expect in$\nc2 send {job()}\nc2 expect ^HTTP/1.1 409")


def test_ready_only_with_a_list_of_workers() -> None:
    Harness().run(f"c1 send {get('/-/ready')}\nc1 expect ^HTTP/1.1 200")
    harness = Harness(known=False)
    full_list = harness.list_chunk(harness.entry("p1"), full=True).split("\r\n")[1].strip()
    harness.run(
        f"""c1 send {get("/-/ready")}
        c1 expect ^HTTP/1.1 503
        d expect GET /api/targets HTTP
        d send HTTP/1.1 200 X\\r\\nContent-Length: {len(full_list)}\\r\\n\\r\\n{full_list}
        c1 send {get("/-/ready")}
        c1 expect HTTP/1.1 200 OK"""
    )


def test_a_shortage_of_descriptors_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    # accept keeps failing while no descriptor is free; the loop must neither spin nor end
    harness = Harness()
    real = socket.socket.accept
    fails = iter((True, True, False))

    def accept(self: socket.socket) -> tuple[socket.socket, object]:
        if self is harness.dispatcher.listener and next(fails, False):
            raise OSError(24, "Too many open files")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    harness.run(f"c1 send {job()}\np1 expect in$")


def test_connections_over_the_limit_wait_until_idle_ones_are_evicted() -> None:
    harness = Harness(sockets=38)  # room for three clients
    idle = "".join(f"c{n} send {get('/-/ready')}\nc{n} expect 200\n" for n in range(1, 9))
    harness.run(idle + f"c1 ended\nc9 send {job()}\np1 expect in$")


def test_an_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # a client that freezes would hold its connection for ever
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 200 * MS)
    Harness().run(f"c1 send {job()[:40]}\nc1 expect ^HTTP/1.1 408\nc1 ended")


def test_a_connection_without_a_request_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # hundreds of connections that send nothing would hold all connection slots
    monkeypatch.setattr(server, "_FIRST_BYTE_TIMEOUT", 200 * MS)
    Harness().run("c1 silent 100\nc1 ended")


def test_connections_without_a_request_are_evicted_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "_FIRST_BYTE_TIMEOUT", 60_000 * MS)
    harness = Harness(sockets=38)  # room for three clients
    silent = "".join(f"c{n} silent 1\n" for n in range(1, 6))
    harness.run(f"{silent}c6 send {job()[:40]}\nc9 send {job()}\np1 expect in$\nc1 ended\nc6 ended")


def test_a_fast_sender_does_not_block_the_loop() -> None:
    harness = Harness()
    harness.step(f"c1 send {job(body='x' * (BODY_LIMIT + 1))}")
    harness.step("c1 expect ^HTTP/1.1 413")
    sock = harness.peers["c1"].sock
    assert sock is not None
    turns = 0
    try:
        while turns < 1000:  # each turn discards a little input, up to a limit in total
            with suppress(BlockingIOError):
                while sock.send(b"x" * 65536):
                    pass
            harness.dispatcher.loop.run_once()
            turns += 1
    except ConnectionError:
        pass
    harness.close()
    assert 3 < turns < 1000


def test_incomplete_requests_share_a_limit_on_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 60_000 * MS)
    harness = Harness(sockets=1024, memory_mb=1)  # half a megabyte for all of them
    half = job().replace("Content-Length: 2", "Content-Length: 60000") + "x" * 50_000
    harness.run(
        "".join(f"c{n} send {half}\nwait 20\n" for n in range(1, 13)) + "c1 ended\nc2 ended\nc12 silent 20"
    )


def test_an_idle_connection_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "_IDLE_TIMEOUT", 200 * MS)
    Harness().run(f"c1 send {get('/-/ready')}\nc1 expect 200\nc1 ended")


def served(job_id: str, worker: str, more: str = "") -> str:
    return (
        f"c1 send {job(job_id, more=more)}\n{worker} expect in$\n{worker} send {ACCEPTED}\n"
        f"c9 send {call_back('done', job_id, worker, result='out')}\nc1 expect out$\n"
    )


def test_a_full_pool_closes_its_oldest_connection() -> None:
    # guards against idle connections to little-used workers that leave none for the busy ones
    harness = Harness(sockets=36)  # room for one idle connection to workers
    harness.run(served("j1", "p1") + served("j2", "p2", KEYED) + "p1 ended")


def test_a_burst_of_connections_does_not_use_up_the_slots() -> None:
    # guards against a connection that is ended before its task has run and holds its slot for ever
    harness = Harness(sockets=38)
    peers = [Peer(harness.address) for _ in range(12)]
    for peer in peers:
        peer.connect()
    harness.run_for(0.1)
    for peer in peers:
        peer.close()
    harness.run("".join(f"c{n} send {job(f'j{n}')}\np{n} expect in$\n" for n in (1, 2)))


def test_an_exception_in_the_decision_logic_does_not_end_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()
    real = Dispatcher.handle
    fails = iter((True,))

    def handle(self: Dispatcher, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        if next(fails, False):
            raise ZeroDivisionError
        return real(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", handle)
    # the first job's arrival is lost with the exception, but the job still gets its one answer
    harness.run(
        f"c1 send {job('j1', ms=200)}\nc1 expect HTTP/1.1 500\nc2 send {job('j2')}\np1 expect : j2.*in$"
    )


def test_finished_jobs_are_not_held_in_memory() -> None:
    # guards against jobs that stay in memory when withdrawn while queued or after a cancelled attempt
    harness = Harness(workers=0)
    rounds = "".join(f"c1 send {job(f'j{n}')}\nwait 10\nc1 close\nwait 10\n" for n in range(3))
    harness.run(rounds)
    assert harness.dispatcher.host.unanswered == 0
    assert harness.dispatcher.host.jobs_in_memory == 0


def test_a_trace_has_each_event_and_action(capsys: pytest.CaptureFixture[str]) -> None:
    Harness(traced=True).run(served("j1", "p1"))
    seen = capsys.readouterr().out
    for word in ("WorkerList", "JobArrived", "Send", "connect", "AttemptEnded", "outcome"):
        assert word in seen
    assert "TimerFired" not in seen
