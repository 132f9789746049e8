"""Clients' connections, with each order of events forced: how they end, disconnects, connection slots."""

import errno
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from heathway.settings import read_settings
from ironbarrow.core.endings import Ending
from ironbarrow.core.jobs import Attempt
from ironbarrow.frontend import server
from ironbarrow.runtime.loop import MS
from ironbarrow.transport import http
from ironbarrow.transport.http import Connection
from tests.scenario import SETTINGS, Harness, Peer, answer, call_back, job

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)
READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"
UPGRADE = "Connection: upgrade\\r\\nUpgrade: h2c\\r\\n"
READY_AND_CLOSE = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\nConnection: close\\r\\n\\r\\n"
CRLF = "\\r\\n"
WITHDRAWN_WITHIN = 0.1  # seconds from a client's disconnect to the withdrawal of its job


class SentAttempts:
    """Records the attempts that are sent."""

    def __init__(self, harness: Harness) -> None:
        self.ids: list[str] = []
        harness.dispatcher.host.attempt_observer = self

    def sent(self, attempt: Attempt) -> None:
        self.ids.append(attempt.job.payload.id)

    def started(self, attempt: Attempt) -> None:
        pass

    def ended(self, attempt: Attempt, ending: Ending, report: object) -> None:
        pass


def run_steps(harness: Harness, scenario: str) -> None:
    for line in scenario.strip().splitlines():
        harness.step(line.strip())


# Clients that disconnect

DISCONNECTS = {
    "closes": "c1 close",
    "resets": "c1 reset",
    "shuts down its side": "c1 half-close",
    "closes after half of another request": f"c1 send {job('j2')[:40]}\nc1 close",
    "closes after further requests": f"c1 send {job('j2') * 3}\nc1 close",
    # its end of stream comes after more input than the buffers hold
    "closes behind full buffers": f"c1 fill {job('j2') * 100}\nc1 close",
}
PHASES = {  # the steps before the disconnect, and those that would make the dispatcher send the job after it
    "queued": ("hold\nc1 send {job}\nwait 20", "wait 200"),
    "connecting": ("p1 full\np2 full\nc1 send {job}\nwait 20", "wait 250"),
    "waiting for the 202": ("c1 send {job}\np1 expect in$", "p1 close"),
    "waiting for the answer": (
        f"c1 send {{job}}\np1 expect in$\np1 send {ACCEPTED}\nwait 20",
        "p1 expect DELETE /jobs/j1 HTTP",
    ),
    "waiting for another attempt": (
        f"c1 send {{job}}\np1 expect in$\nwait 20\nhold\np1 send {NOT_PROCESSED}\nwait 20",
        "wait 200",
    ),
}


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("when", PHASES)
def test_a_disconnect_withdraws_the_job(
    new_harness: Callable[..., Harness], when: str, disconnect: str
) -> None:
    harness = new_harness()
    sent = SentAttempts(harness)
    before, after = PHASES[when]
    for line in before.format(job=job()).splitlines():
        if line == "hold":  # delays the next turn of the decision logic
            harness.dispatcher.host._next_run_at = harness.dispatcher.loop.now() + 200 * MS
        else:
            harness.step(line)
    assert harness.dispatcher.host.unanswered == 1
    run_steps(harness, DISCONNECTS[disconnect])
    harness.run_until(
        "its job is withdrawn", lambda: harness.dispatcher.host.unanswered == 0, WITHDRAWN_WITHIN
    )
    count = len(sent.ids)
    run_steps(harness, after)
    harness.run_for(0.1)
    assert len(sent.ids) == count
    assert sent.ids == ([] if when == "queued" else ["j1"])


@pytest.mark.parametrize(
    "disconnect",
    ["closes", "shuts down its side", "closes after half of another request", "closes behind full buffers"],
)
def test_a_job_of_a_client_that_has_disconnected_is_not_sent(
    new_harness: Callable[..., Harness], disconnect: str
) -> None:
    harness = new_harness()
    sent = SentAttempts(harness)
    # on an idle connection, the job is taken and its attempt sent in one turn of the loop
    run_steps(
        harness,
        f"c1 send {READY}\nc1 expect ready\nwait 20\nc1 send {job()}\n{DISCONNECTS[disconnect]}\nwait 50",
    )
    assert sent.ids == []
    assert harness.dispatcher.server.has_connections is False


@pytest.mark.parametrize("pause", [0, 60])
@pytest.mark.parametrize("delete_answer", [answer(200), answer(404), ""])
@pytest.mark.parametrize("disconnect", ["closes", "resets", "closes behind full buffers"])
@pytest.mark.parametrize("when", ["waiting for the 202", "waiting for the answer"])
def test_a_booking_that_may_have_run_is_not_run_for_the_next_client(
    new_harness: Callable[..., Harness], when: str, disconnect: str, delete_answer: str, pause: int
) -> None:
    """Guards against an id that runs twice as it comes again after its client has left."""
    harness = new_harness()
    sent = SentAttempts(harness)
    booking = job(path="book/x")
    run_steps(harness, PHASES[when][0].format(job=booking))
    run_steps(harness, f"{DISCONNECTS[disconnect]}\nwait {pause}\nc3 send {booking}\nwait 60")
    if when == "waiting for the answer":
        run_steps(harness, "p1 expect DELETE /jobs/j1 HTTP")
        run_steps(harness, f"p1 send {delete_answer}" if delete_answer else "p1 reset")
    run_steps(harness, f"c3 expect ^HTTP/1.1 (409|500)\nc4 send {booking}\nc4 expect ^HTTP/1.1 (409|500)")
    assert sent.ids == ["j1"]


def test_a_disconnect_at_the_moment_of_the_answer_leaks_nothing(new_harness: Callable[..., Harness]) -> None:
    harness = new_harness()
    run_steps(
        harness,
        f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}",
    )
    run_steps(harness, "c1 close\nc2 expect 204\nc2 close")
    harness.run_until("all is closed", lambda: not harness.dispatcher.server.has_connections, 0.5)
    assert harness.dispatcher.host.jobs_in_memory == 0


def test_pipelined_requests_are_served_one_after_the_other(
    new_harness: Callable[..., Harness],
) -> None:
    harness = new_harness(workers=1)
    run_steps(
        harness, f"c1 send {job('j1')}\np1 expect in$\nc1 send {job('j2')[:50]}\nwait 20\np1 send {ACCEPTED}"
    )
    run_steps(harness, f"c1 send {job('j2')[50:]}\nwait 20\nc2 send {call_back('done', 'j1', result='a')}")
    run_steps(harness, f"c1 expect a$\np1 expect : j2.*in$\np1 send {ACCEPTED}")
    run_steps(harness, f"c2 send {call_back('done', 'j2', result='b')}\nc1 expect 200 .*b$\nc1 silent 20")


def test_after_a_gap_in_pipelined_input_nothing_of_it_is_served(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http, "_READ_AHEAD_MAX_BYTES", 1000)
    harness = new_harness()
    sent = SentAttempts(harness)
    run_steps(harness, f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nc1 send {job('j2')}\nwait 20")
    run_steps(harness, f"c1 send {job('j3') * 10}\nwait 20\nc1 send {job('j4')}\nwait 20")
    run_steps(
        harness, f"c2 send {call_back('done', result='x')}\nc1 expect 200 .*Connection: close.*x$\nc1 ended"
    )
    assert sent.ids == ["j1"]


def test_pipelined_input_is_buffered_up_to_a_limit(new_harness: Callable[..., Harness]) -> None:
    # hundreds of clients that send without end would together exceed the memory
    # half a megabyte for incomplete requests, half of that for pipelined input
    harness = new_harness(workers=6, memory_mb=1)
    run_steps(harness, "".join(f"c{n} send {job(f'j{n}')}\n" for n in range(1, 7)) + "wait 50")
    for _ in range(10):
        run_steps(harness, "".join(f"c{n} fill {job('more')}\n" for n in range(1, 7)))
        harness.run_for(0.01)
    held = sum(
        connection.buffered_bytes for connection, _ in harness.dispatcher.server.awaiting_answer.values()
    )
    assert len(harness.dispatcher.server.awaiting_answer) == 6
    assert 0 < held <= 256 * 1024
    for n in range(1, 7):
        harness.peers[f"c{n}"].close()
    harness.run_until("all jobs are withdrawn", lambda: harness.dispatcher.host.unanswered == 0, 1.0)
    harness.run_until("all is closed", lambda: not harness.dispatcher.server.has_connections, 2.0)
    assert harness.dispatcher.server._slots._buffered_bytes == 0


# The end of connections


def stop_when_idle(harness: Harness, patch: pytest.MonkeyPatch) -> None:
    harness.dispatcher.server.close_idle()


def stop_when_new(harness: Harness, patch: pytest.MonkeyPatch) -> None:
    harness.run_for(0.25)
    harness.dispatcher.server.close_idle()


def fill_slots(harness: Harness, patch: pytest.MonkeyPatch) -> None:
    run_steps(harness, "".join(f"c{n} send {READY}\nc{n} expect 200\n" for n in range(2, 5)))


def wait_for_timeout(harness: Harness, patch: pytest.MonkeyPatch) -> None:
    harness.run_for(0.3)


ENDS = {
    "when stopping": (READY, stop_when_idle),
    "when stopping, before any request": ("", stop_when_new),
    "evicted for another": (READY, fill_slots),
    "idle time-out": (READY, wait_for_timeout),
    "time-out without any request": ("", wait_for_timeout),
    "after the last response": (
        READY_AND_CLOSE,
        wait_for_timeout,
    ),
    "after a response to malformed input": ("hello\\r\\n\\r\\n", wait_for_timeout),
}


@pytest.mark.parametrize("name", ENDS)
def test_a_request_that_crosses_the_shutdown_is_neither_served_nor_reset(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    # a close with unread input resets the connection, and the response before it may be lost
    first, end = ENDS[name]
    if end is wait_for_timeout:
        monkeypatch.setattr(server, "_IDLE_TIMEOUT", 100 * MS)
        monkeypatch.setattr(server, "_FIRST_BYTE_TIMEOUT", 100 * MS)
    harness = new_harness(sockets=38)  # room for three clients
    sent = SentAttempts(harness)
    client = socket.create_connection(harness.address)
    crossed: list[int] = []

    def send_before(name: str) -> None:
        real = getattr(Connection, name, None)

        def send_request_first(self: Connection) -> None:
            if not crossed and self.sock.getpeername() == client.getsockname():
                crossed.append(1)
                client.sendall(job("crossing").encode().decode("unicode_escape").encode("latin-1"))
            assert real is not None
            real(self)

        monkeypatch.setattr(Connection, name, send_request_first, raising=False)

    send_before("shutdown_write")
    send_before("close")
    client.sendall(first.replace("\\r", "\r").replace("\\n", "\n").encode())
    harness.run_for(0.02)
    end(harness, monkeypatch)
    harness.run_until("the request has crossed the shutdown", lambda: crossed, 3.0)
    harness.run_for(0.05)
    seen = b""
    while data := client.recv(65536):  # raises if the connection is reset
        seen += data
    # nor was it reset after the end of the stream
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
    assert seen.count(b"HTTP/1.1") == bool(first)
    client.close()
    harness.run_for(0.05)
    assert sent.ids == []


@pytest.mark.parametrize("limit", ["_IDLE_TIMEOUT", "_FIRST_BYTE_TIMEOUT"])
def test_a_request_in_the_turn_of_the_time_out_is_served(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch, limit: str
) -> None:
    monkeypatch.setattr(server, limit, 100 * MS)
    harness = new_harness()
    run_steps(
        harness, f"c1 send {READY}\nc1 expect 200\nwait 10" if limit == "_IDLE_TIMEOUT" else "c1 silent 10"
    )
    slots = harness.dispatcher.server._slots
    (connection,) = [*slots.idle, *slots.reading]
    loop = harness.dispatcher.loop
    # called between the poll that found nothing and the timer of the time-out
    loop.call_at(connection.last_used_at + 100 * MS - 1, harness.step, f"c1 send {job()}")
    run_steps(harness, "p1 expect in$\nc1 silent 10")


def test_a_lingering_connection_has_no_slot(new_harness: Callable[..., Harness]) -> None:
    # peers that never close their side would each hold a slot for a second
    harness = new_harness(sockets=38)  # room for three clients
    begun = harness.dispatcher.loop.now()
    run_steps(harness, "".join(f"c{n} send {READY_AND_CLOSE}\nc{n} expect ready\n" for n in range(1, 13)))
    run_steps(harness, f"c20 send {job()}\np1 expect in$")
    assert harness.dispatcher.loop.now() < begun + 1000 * MS


# Stopping


def test_pipelined_requests_are_answered_before_the_stop(new_harness: Callable[..., Harness]) -> None:
    # a request read before the shutdown has to be served; one read after it must not be sent to a worker
    harness = new_harness(workers=1)
    run_steps(harness, f"c1 send {job('j1')}{job('j2')}\np1 expect : j1.*in$\np1 send {ACCEPTED}")
    harness.dispatcher.server.close_idle()
    run_steps(harness, f"c2 send {call_back('done', 'j1', result='a')}\nc1 expect a$\np1 expect : j2.*in$")
    run_steps(harness, f"p1 send {ACCEPTED}\nc3 send {call_back('done', 'j2', result='b')}")
    run_steps(harness, "c1 expect 200 .*Connection: close.*b$\nc1 ended\nc1 close\nc2 close\nc3 close")
    harness.run_until("all is closed", lambda: not harness.dispatcher.server.has_connections, 0.5)


def test_a_client_that_never_stops_sending_does_not_prevent_the_stop(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "LINGER_TIMEOUT", 200 * MS)
    harness = new_harness()
    run_steps(harness, f"c1 send {READY}\nc1 expect 200\nc1 fill {READY * 1000}")
    harness.dispatcher.server.close_idle()
    harness.run_until("the connection ends", lambda: harness.peers["c1"].ended, 1.0)
    assert b"Connection: close" in harness.peers["c1"].received


def test_a_new_connection_may_send_its_request_while_stopping(
    new_harness: Callable[..., Harness],
) -> None:
    # a new connection closed without an answer would be a refusal without need
    harness = new_harness()
    run_steps(harness, "c1 silent 20\nc2 silent 20")
    harness.dispatcher.server.close_idle()
    run_steps(harness, f"c1 silent 20\nc1 send {job()}\np1 expect in$\nc2 ended")


# Clients that read slowly


def slow_reader(harness: Harness, ms: int) -> socket.socket:
    """A client whose response of 60 KB can't be written until it reads."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(harness.address)
    client.sendall(job(ms=ms).replace("\\r", "\r").replace("\\n", "\n").encode())
    run_steps(harness, f"p1 expect in$\np1 send {ACCEPTED}")
    ((connection, _),) = harness.dispatcher.server.awaiting_answer.values()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    run_steps(harness, f"c2 send {call_back('done', result='x' * 60_000)}\nc2 expect 204\nc2 close")
    return client


def test_a_slow_reader_gets_its_answer_up_to_its_deadline(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_WRITE_TIMEOUT", 50 * MS)
    harness = new_harness()
    client = slow_reader(harness, 9000)
    harness.run_for(0.3)
    client.setblocking(False)
    seen = bytearray()

    def complete() -> bool:
        with suppress(BlockingIOError):
            seen.extend(client.recv(2048))
        return seen.endswith(b"x" * 1000) and seen.count(b"x") >= 60_000

    harness.run_until("the complete answer", complete, 5.0)
    client.close()


def test_a_client_that_reads_nothing_holds_its_slot_up_to_its_deadline(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_WRITE_TIMEOUT", 50 * MS)
    monkeypatch.setattr(server, "_ANSWER_GRACE", 100 * MS)
    harness = new_harness()
    client = slow_reader(harness, 300)
    assert harness.dispatcher.server.has_connections
    harness.run_until("its slot is free", lambda: not harness.dispatcher.server.has_connections, 1.0)
    client.close()


# Connection slots


def test_jobs_leave_slots_for_call_backs(new_harness: Callable[..., Harness]) -> None:
    # with jobs in all slots, no call-back could come in and each job would wait for its deadline
    harness = new_harness(workers=12, sockets=48)  # ten slots, nine of them for jobs
    run_steps(harness, "".join(f"c{n} send {job(f'j{n}')}\n" for n in range(1, 10)) + "wait 50")
    run_steps(harness, f"c10 send {job('j10')}\nc10 expect ^HTTP/1.1 503 .*Retry-After: 0.2.*many")
    run_steps(harness, f"p1 expect : j1.*in\np1 send {ACCEPTED}")
    run_steps(harness, f"c11 send {call_back('done', 'j1', result='x')}")
    harness.run_until("the call-back is served", lambda: b"204" in harness.peers["c11"].received, 0.5)
    run_steps(harness, f"c1 expect x$\nc1 send {job('j11')}")
    harness.run_until("the next job is taken", lambda: harness.dispatcher.host.unanswered == 9, 0.5)


@pytest.mark.parametrize("half", [job()[:40], job()[:-2]])
def test_an_incomplete_later_request_is_evicted_too(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch, half: str
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 60_000 * MS)
    harness = new_harness(sockets=38)  # room for three clients
    run_steps(
        harness, "".join(f"c{n} send {READY}\nc{n} expect 200\nc{n} send {half}\nwait 5\n" for n in (1, 2, 3))
    )
    run_steps(harness, f"c4 send {job('j4')}\np1 expect : j4\nc1 ended\nc3 silent 5")


def test_incomplete_later_requests_share_the_limit_on_memory(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 60_000 * MS)
    harness = new_harness(sockets=1024, memory_mb=1)  # half a megabyte for all of them
    half = job().replace("Content-Length: 2", "Content-Length: 60000") + "x" * 50_000
    run_steps(
        harness,
        "".join(f"c{n} send {READY}\nc{n} expect 200\nc{n} send {half}\nwait 20\n" for n in range(13)),
    )
    run_steps(harness, "c0 ended\nc1 ended\nc12 silent 20")


def test_pipelined_requests_do_not_block_the_loop(new_harness: Callable[..., Harness]) -> None:
    harness = new_harness()
    run_steps(harness, f"c1 silent 10\nc1 send {READY * 200}")
    turns = 0
    while harness.peers["c1"].received.count(b"200 OK") < 200:
        harness.dispatcher.loop.run_once()
        harness.peers["c1"].receive()
        turns += 1
        assert turns < 1000
    assert turns >= 100


def test_a_burst_of_requests_is_read_in_order_over_several_turns(
    new_harness: Callable[..., Harness],
) -> None:
    # in a turn that reads hundreds of requests, disconnects go unnoticed and the jobs would still be sent
    harness = new_harness(sockets=1024)
    sent = SentAttempts(harness)
    peers = [socket.create_connection(harness.address) for _ in range(200)]
    harness.run_for(0.1)
    for n, peer in enumerate(peers):
        peer.sendall(job(f"k{n}").replace("\\r", "\r").replace("\\n", "\n").encode())
    host, most = harness.dispatcher.host, 0
    while host._last_job_number < 200:
        before = host._last_job_number
        harness.dispatcher.loop.run_once()
        most = max(most, host._last_job_number - before)
        if before < 100 <= host._last_job_number:
            for peer in peers:
                peer.close()
            break
    assert most <= 64
    harness.run_for(0.05)
    count = len(sent.ids)
    assert host._last_job_number < 200  # clients that disconnected before their request was read have no job
    assert host.unanswered == 0
    harness.run_for(0.2)
    assert len(sent.ids) == count


def test_bodies_of_jobs_share_a_limit_on_memory(new_harness: Callable[..., Harness]) -> None:
    # hundreds of bodies sent at once would together exceed the memory
    harness = new_harness(workers=12, sockets=1024, memory_mb=1)  # half a megabyte for all of them
    large = {n: job(f"j{n}", body="x" * 60_000) for n in range(1, 10)}
    run_steps(harness, "".join(f"c{n} send {large[n]}\nwait 10\n" for n in range(1, 10)))
    run_steps(harness, f"c9 expect ^HTTP/1.1 503 .*Retry-After: 0.2.*many\nc10 send {job('j10')}")
    assert harness.dispatcher.host.unanswered == 8
    run_steps(harness, f"c1 close\nwait 20\nc9 send {large[9]}\nwait 50\nc9 silent 10")


def test_a_shortage_of_descriptors_frees_some_for_others(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    # a single descriptor that is freed goes to the next client, none to the discovery client or to a worker
    harness = new_harness(sockets=96)  # forty slots
    real, slots = socket.socket.accept, harness.dispatcher.server._slots

    def accept(self: socket.socket) -> tuple[socket.socket, object]:
        if self is harness.dispatcher.listener and slots.in_use >= 20:
            raise OSError(24, "Too many open files")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    run_steps(harness, "".join(f"c{n} send {READY}\nc{n} expect 200\n" for n in range(1, 41)) + "wait 50")
    assert 8 <= slots.in_use <= 17
    run_steps(harness, f"c50 send {job()}\np1 expect in$")


def test_small_writes_are_not_delayed(new_harness: Callable[..., Harness]) -> None:
    harness = new_harness()
    run_steps(harness, f"c1 send {job()}\np1 expect in$")
    ((connection, _),) = harness.dispatcher.server.awaiting_answer.values()
    assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# Requests that are not in the required form

INCOMPLETE = {
    "an incomplete head": job()[:60],
    "one byte": "P",
    "an incomplete body": job()[:-1],
    "incomplete chunks": job().replace(
        "Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n"
    )
    + "1\\r\\nx\\r\\n",
    "a body after 100-continue that does not come": job(more="Expect: 100-continue\\r\\n")[:-2],
}
REJECTED = {
    "a job by HTTP/1.0": (job().replace("HTTP/1.1", "HTTP/1.0"), "400"),
    "a job by HTTP/2": (job().replace("HTTP/1.1", "HTTP/2.0"), "400"),
    "an HTTP/2 preface": ("PRI * HTTP/2.0\\r\\n\\r\\nSM\\r\\n\\r\\n", "404"),
    "a blank line": ("\\r\\n", "400"),
    "CONNECT": ("CONNECT elsewhere:80 HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "40[45]"),
    "HEAD for a job": ("HEAD /map/x HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "405"),
    "HEAD for an unknown path": ("HEAD /nowhere HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "404"),
    "an unknown transfer coding": (job(more="Transfer-Encoding: gzip\\r\\n"), "501"),
    "an absolute target": (job().replace(" /map", " http://b/map"), "404"),
    "no Host header": (job().replace("Host: b\\r\\n", ""), "400"),
    "a body longer than its Content-Length": (job(body="in") + '"more":1}', "400"),
    "a body twice as long as its Content-Length": (job(body="in") + "in", "400"),
    "a header line broken in the middle": (
        job().replace("X-Timeout-Ms: 9000", "X-Timeout\\r\\n-Ms: 9000"),
        "400",
    ),
    "a chunk size that is not a number": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + "zz\\r\\n",
        "400",
    ),
}


@pytest.mark.parametrize("again", [False, True])
@pytest.mark.parametrize("name", INCOMPLETE)
def test_an_incomplete_request_is_answered_and_closed(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch, name: str, again: bool
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 150 * MS)
    harness = new_harness()
    sent = SentAttempts(harness)
    run_steps(harness, f"c1 send {READY}\nc1 expect ready\n" if again else "c1 silent 1")
    run_steps(harness, f"c1 send {INCOMPLETE[name]}")
    harness.run_until("the connection ends", lambda: harness.peers["c1"].ended, 0.5)
    assert b"HTTP/1.1 408" in harness.peers["c1"].received
    assert sent.ids == []


def test_the_time_out_covers_a_whole_request_sent_byte_by_byte(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 200 * MS)
    harness = new_harness()
    sent = SentAttempts(harness)
    text = iter(job().replace("\\r", "\r").replace("\\n", "\n").encode())

    def send_one_byte() -> bool:
        peer = harness.peers["c1"]
        if peer.sock is not None and not peer.ended:
            with suppress(OSError):
                peer.sock.send(bytes((next(text),)))
        return peer.ended

    run_steps(harness, "c1 silent 1")
    harness.run_until("the connection ends", send_one_byte, 0.6)
    assert b"HTTP/1.1 408" in harness.peers["c1"].received
    assert sent.ids == []


@pytest.mark.parametrize("name", REJECTED)
def test_a_request_in_the_wrong_form_is_rejected_and_never_sent(
    new_harness: Callable[..., Harness], name: str
) -> None:
    harness = new_harness()
    sent = SentAttempts(harness)
    text, status = REJECTED[name]
    run_steps(harness, f"c1 send {text}\nc1 expect ^HTTP/1.1 {status} \nwait 20")
    assert sent.ids == []


def test_an_upgrade_header_is_ignored(new_harness: Callable[..., Harness]) -> None:
    harness = new_harness(workers=1)
    run_steps(harness, f"c1 send {job(more=UPGRADE)}\np1 expect in$")
    run_steps(harness, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}")
    run_steps(harness, "c1 expect ^HTTP/1.1 200 .*x$\nc1 ended")


# Repeated ids


def test_an_id_is_in_progress_until_its_last_attempt_is_cancelled(
    new_harness: Callable[..., Harness],
) -> None:
    # the call-backs and the DELETE of an attempt that is being cancelled would apply to a new job with its id
    harness = new_harness(workers=1)
    run_steps(harness, f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nwait 20\nc1 close")
    run_steps(harness, "p1 expect DELETE /jobs/j1 HTTP")
    run_steps(harness, f"c2 send {job()}\nc2 expect ^HTTP/1.1 409\np1 send {answer(204)}\nwait 20")
    run_steps(harness, f"c3 send {job()}\np1 expect POST .*: j1.*in$")


@pytest.mark.parametrize("who", ["c1", "c3"])
def test_an_id_may_be_used_again_once_it_is_answered(new_harness: Callable[..., Harness], who: str) -> None:
    harness = new_harness(workers=1)
    run_steps(
        harness, f"c1 send {job()}\np1 expect in$\n{who} send {job()}" if who == "c3" else f"c1 send {job()}"
    )
    run_steps(harness, "c3 expect ^HTTP/1.1 409" if who == "c3" else "p1 expect in$")
    run_steps(harness, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}\nc1 expect x$")
    run_steps(harness, f"{who} send {job()}\np1 expect : j1.*in$")


def test_the_id_of_a_booking_that_ran_is_rejected(new_harness: Callable[..., Harness]) -> None:
    """Guards against a booking that runs twice for a client that lost its answer and asks again (bcef66)."""
    harness = new_harness(workers=1)
    booked = job(path="book/x")
    run_steps(harness, f"c1 send {booked}\np1 expect in$\np1 send {ACCEPTED}")
    run_steps(harness, f"c2 send {call_back('done', result='x')}\nc1 expect x$")
    run_steps(harness, f"c3 send {booked}\nc3 expect ^HTTP/1.1 500")
    assert not harness.peers["p1"].received
    # the id of one that never ran may be used again
    run_steps(harness, f"c1 send {job('j2', 'book/x', 1000)}\np1 expect : j2.*in$")
    run_steps(harness, f"p1 send {NOT_PROCESSED}\nc1 expect 503")
    run_steps(harness, f"c3 send {job('j2', 'book/x')}\np1 expect : j2.*in$")


def test_waiting_for_accept_reduces_the_time_left(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a worker that gets more time than its client has, after accept failed (bcef66)."""
    harness = new_harness(workers=1)
    accept, until = server.accept, time.monotonic() + 0.3

    def failing(listener: socket.socket) -> Any:
        if time.monotonic() < until:
            raise OSError(errno.ENFILE, "temporary")
        return accept(listener)

    monkeypatch.setattr(server, "accept", failing)
    run_steps(harness, f"c1 send {job(ms=2000)}\np1 expect X-Timeout-Ms: 1[0-7][0-9][0-9]\\r.*in$")
    run_steps(harness, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}\nc1 expect x$")
    run_steps(harness, f"c1 send {job('j2', ms=2000)}\np1 expect X-Timeout-Ms: (2000|19[0-9][0-9])\\r.*in$")


@pytest.mark.parametrize("known", [True, False])
def test_waiting_behind_silent_connections_reduces_the_time_left(
    new_harness: Callable[..., Harness], monkeypatch: pytest.MonkeyPatch, known: bool
) -> None:
    """Guards against the whole time for a request that has waited for a slot (review/8)."""
    if not known:  # the system doesn't tell when input has arrived
        monkeypatch.setattr(Connection, "input_age", lambda self: None)
    harness = new_harness(workers=1, sockets=38)  # room for three clients
    run_steps(harness, "c1 silent 1\nc2 silent 1\nc3 silent 1")
    run_steps(harness, f"c4 send {job(ms=2000)}\np1 expect X-Timeout-Ms: 1[0-8][0-9][0-9]\\r.*in$")
    run_steps(harness, f"p1 send {ACCEPTED}\nc8 send {call_back('done', result='x')}\nc4 expect x$")
    # the time for which a connection waited before its client sent anything doesn't count
    run_steps(harness, "c5 silent 1\nc6 silent 1\nc7 silent 300\n")
    run_steps(harness, f"c7 send {job('j2', ms=2000)}\np1 expect X-Timeout-Ms: (2000|19[0-9][0-9])\\r.*in$")


def test_a_request_whose_time_is_over_when_it_is_accepted_is_not_sent(
    new_harness: Callable[..., Harness],
) -> None:
    """Guards against an attempt for a client that has given up while it waited for a slot."""
    harness = new_harness(workers=1, sockets=38)
    sent = SentAttempts(harness)
    run_steps(
        harness, f"c1 silent 1\nc2 silent 1\nc3 silent 1\nc4 send {job(ms=100)}\nc4 expect ^HTTP/1.1 503"
    )
    assert sent.ids == []


def test_silent_connections_use_up_their_grace_while_they_wait(
    new_harness: Callable[..., Harness],
) -> None:
    """Guards against requests that wait behind silent connections for a grace of each few of them."""
    harness = new_harness(workers=1, sockets=38)
    silent = [Peer(harness.address) for _ in range(30)]
    for peer in silent:
        peer.connect()
    run_steps(harness, f"c1 send {job(ms=2000)}\np1 expect X-Timeout-Ms: 1[5-8][0-9][0-9]\\r.*in$")
    for peer in silent:
        peer.close()


# Eviction


def test_a_new_connection_evicts_one_idle_connection_only(new_harness: Callable[..., Harness]) -> None:
    # guards against an eviction without need, which loses a request that is on its way
    harness = new_harness(workers=1, sockets=38)  # room for three clients
    for n in (1, 2, 3):
        run_steps(harness, f"c{n} send {READY}\nc{n} expect 200")
    run_steps(harness, f"c4 send {READY}\nc4 expect 200\nc1 ended\nc2 silent 50\nc3 silent 1")


# Tenants


class TenantRecorder:
    """Records the tenant of each job that waits."""

    def __init__(self) -> None:
        self.tenants: list[str | None] = []

    def waiting(
        self, now: int, number: int, since: int, tenant: str | None, job_class: str, slots: float
    ) -> None:
        self.tenants.append(tenant)

    def started(self, now: int, number: int) -> None: ...

    def ended(self, now: int, number: int) -> None: ...


def test_a_job_has_the_tenant_it_names_if_the_settings_know_it(
    new_harness: Callable[..., Harness],
) -> None:
    # if its jobs were counted for no tenant, all others would pay for the flood of one
    realms = [{"name": "north", "share": 0.5, "allowancePerS": 10.0}]
    harness = new_harness(workers=1, settings=read_settings({**SETTINGS, "realms": realms}))
    harness.dispatcher.host.wait_observer = recorder = TenantRecorder()
    for n, name in enumerate(("north", " north ", "south", "")):
        run_steps(harness, f"c{n} send {job(f'j{n}', more=f'X-Tenant-Id: {name}' + CRLF)}\nwait 20")
    assert recorder.tenants == ["north", "north", None, None]
