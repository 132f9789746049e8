"""Clients' connections, each order of events forced: how they end, who leaves when, who has the places."""

import errno
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import pytest

from heathway.settings import read_settings
from ironbarrow.core.endings import Ending
from ironbarrow.core.jobs import Attempt
from ironbarrow.fronts import clients
from ironbarrow.runtime.loop import MS
from ironbarrow.transport import http
from ironbarrow.transport.http import Connection
from tests.scenario import SETTINGS, Stage, answer, call_back, job

NOT_PROCESSED = answer(503, "X-Not-Processed: 1\\r\\n")
ACCEPTED = answer(202)
READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"
UPGRADE = "Connection: upgrade\\r\\nUpgrade: h2c\\r\\n"
LAST = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\nConnection: close\\r\\n\\r\\n"
CRLF = "\\r\\n"
WITHIN = 0.1  # seconds from a client's leaving to the end of its job


class Sent:
    """Counts the attempts that go out."""

    def __init__(self, stage: Stage) -> None:
        self.ids: list[str] = []
        stage.dispatcher.host.attempt_observer = self

    def sent(self, attempt: Attempt) -> None:
        self.ids.append(attempt.job.payload.id)

    def started(self, attempt: Attempt) -> None:
        pass

    def ended(self, attempt: Attempt, ending: Ending, report: object) -> None:
        pass


@pytest.fixture
def stages() -> Iterator[Callable[..., Stage]]:
    made: list[Stage] = []

    def make(**more: object) -> Stage:
        made.append(Stage(**more))  # type: ignore[arg-type]
        return made[-1]

    yield make
    for stage in made:
        stage.close()


def steps(stage: Stage, scenario: str) -> None:
    for line in scenario.strip().splitlines():
        stage.step(line.strip())


# A client that leaves

LEAVES = {
    "closes": "c1 close",
    "resets": "c1 reset",
    "ends its side": "c1 half-close",
    "leaves after half a request more": f"c1 send {job('j2')[:40]}\nc1 close",
    "leaves after requests more": f"c1 send {job('j2') * 3}\nc1 close",
    # danger: its end stands behind more than the buffers take
    "leaves behind full buffers": f"c1 fill {job('j2') * 100}\nc1 close",
}
STAGES = {  # what goes before it leaves, and what would have its job sent on after that
    "held": ("hold\nc1 send {job}\nwait 20", "wait 200"),
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


@pytest.mark.parametrize("leaves", LEAVES)
@pytest.mark.parametrize("when", STAGES)
def test_one_that_leaves_takes_its_job_back(stages: Callable[..., Stage], when: str, leaves: str) -> None:
    stage = stages()
    sent = Sent(stage)
    before, after = STAGES[when]
    for line in before.format(job=job()).splitlines():
        if line == "hold":  # the decisions' next turn does not come yet
            stage.dispatcher.host._next_run_at = stage.dispatcher.loop.now() + 200 * MS
        else:
            stage.step(line)
    assert stage.dispatcher.host.unanswered == 1
    steps(stage, LEAVES[leaves])
    stage.until("its job is withdrawn", lambda: stage.dispatcher.host.unanswered == 0, WITHIN)
    count = len(sent.ids)
    steps(stage, after)
    stage.pass_time(0.1)
    assert len(sent.ids) == count
    assert sent.ids == ([] if when == "held" else ["j1"])


@pytest.mark.parametrize("leaves", ["closes", "ends its side", "leaves after half a request more"])
def test_one_that_has_left_before_its_job_is_read_gets_none(
    stages: Callable[..., Stage], leaves: str
) -> None:
    stage = stages()
    sent = Sent(stage)
    # on one that has rested, the job is taken and its attempt sent in one turn of the loop
    steps(stage, f"c1 send {READY}\nc1 expect ready\nwait 20\nc1 send {job()}\n{LEAVES[leaves]}\nwait 50")
    assert sent.ids == []
    assert stage.dispatcher.clients.busy is False


def test_one_that_leaves_at_the_moment_of_the_answer_holds_nothing(stages: Callable[..., Stage]) -> None:
    stage = stages()
    steps(
        stage, f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}"
    )
    steps(stage, "c1 close\nc2 expect 204\nc2 close")
    stage.until("all is closed", lambda: not stage.dispatcher.clients.busy, 0.5)
    assert stage.dispatcher.host.jobs_in_memory == 0


def test_requests_more_are_served_one_after_the_other_if_their_sender_stays(
    stages: Callable[..., Stage],
) -> None:
    stage = stages(workers=1)
    steps(stage, f"c1 send {job('j1')}\np1 expect in$\nc1 send {job('j2')[:50]}\nwait 20\np1 send {ACCEPTED}")
    steps(stage, f"c1 send {job('j2')[50:]}\nwait 20\nc2 send {call_back('done', 'j1', result='a')}")
    steps(stage, f"c1 expect a$\np1 expect : j2.*in$\np1 send {ACCEPTED}")
    steps(stage, f"c2 send {call_back('done', 'j2', result='b')}\nc1 expect 200 .*b$\nc1 silent 20")


def test_with_a_gap_in_what_was_sent_early_nothing_of_it_is_served(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http, "_AHEAD_MOST", 1000)
    stage = stages()
    sent = Sent(stage)
    steps(stage, f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nc1 send {job('j2')}\nwait 20")
    steps(stage, f"c1 send {job('j3') * 10}\nwait 20\nc1 send {job('j4')}\nwait 20")
    steps(stage, f"c2 send {call_back('done', result='x')}\nc1 expect 200 .*Connection: close.*x$\nc1 ended")
    assert sent.ids == ["j1"]


def test_what_comes_beyond_a_request_is_kept_up_to_a_limit(stages: Callable[..., Stage]) -> None:
    # danger: hundreds that send without end would together hold more memory than there is
    stage = stages(
        workers=6, memory_mb=1
    )  # half a megabyte for what is not whole, half of that for what comes early
    steps(stage, "".join(f"c{n} send {job(f'j{n}')}\n" for n in range(1, 7)) + "wait 50")
    for _ in range(10):
        steps(stage, "".join(f"c{n} fill {job('more')}\n" for n in range(1, 7)))
        stage.pass_time(0.01)
    held = sum(connection.held for connection, _ in stage.dispatcher.clients.asking.values())
    assert len(stage.dispatcher.clients.asking) == 6
    assert 0 < held <= 256 * 1024
    for n in range(1, 7):
        stage.peers[f"c{n}"].close()
    stage.until("all have left", lambda: stage.dispatcher.host.unanswered == 0, 1.0)
    stage.until("all is closed", lambda: not stage.dispatcher.clients.busy, 2.0)
    assert stage.dispatcher.clients._places._buffered == 0


# The end of a connection


def end_idle(stage: Stage, patch: pytest.MonkeyPatch) -> None:
    stage.dispatcher.clients.close_idle()


def end_new(stage: Stage, patch: pytest.MonkeyPatch) -> None:
    stage.pass_time(0.25)
    stage.dispatcher.clients.close_idle()


def make_room(stage: Stage, patch: pytest.MonkeyPatch) -> None:
    steps(stage, "".join(f"c{n} send {READY}\nc{n} expect 200\n" for n in range(2, 5)))


def let_time_pass(stage: Stage, patch: pytest.MonkeyPatch) -> None:
    stage.pass_time(0.3)


ENDS = {
    "at the order to stop": (READY, end_idle),
    "at the order to stop, before any request": ("", end_new),
    "for another": (READY, make_room),
    "after a time of rest": (READY, let_time_pass),
    "after a time without any request": ("", let_time_pass),
    "after an answer that is the last": (
        LAST,
        let_time_pass,
    ),
    "after an answer to what is malformed": ("hello\\r\\n\\r\\n", let_time_pass),
}


@pytest.mark.parametrize("name", ENDS)
def test_a_request_that_crosses_the_end_is_neither_served_nor_reset(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    # danger: a close over unread bytes resets the connection, and with it goes the answer before it
    first, end = ENDS[name]
    if end is let_time_pass:
        monkeypatch.setattr(clients, "_IDLE_LIMIT", 100 * MS)
        monkeypatch.setattr(clients, "_FIRST_LIMIT", 100 * MS)
    stage = stages(sockets=38)  # room for three clients
    sent = Sent(stage)
    client = socket.create_connection(stage.address)
    crossed: list[int] = []

    def crossing(name: str) -> None:
        real = getattr(Connection, name, None)

        def first_the_request(self: Connection) -> None:
            if not crossed and self.sock.getpeername() == client.getsockname():
                crossed.append(1)
                client.sendall(job("crossing").encode().decode("unicode_escape").encode("latin-1"))
            assert real is not None
            real(self)

        monkeypatch.setattr(Connection, name, first_the_request, raising=False)

    crossing("shut_down")
    crossing("close")
    client.sendall(first.replace("\\r", "\r").replace("\\n", "\n").encode())
    stage.pass_time(0.02)
    end(stage, monkeypatch)
    stage.until("the request has crossed the end", lambda: crossed, 3.0)
    stage.pass_time(0.05)
    seen = b""
    while data := client.recv(65536):  # a reset is an error here
        seen += data
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # nor after the end of the other side
    assert seen.count(b"HTTP/1.1") == bool(first)
    client.close()
    stage.pass_time(0.05)
    assert sent.ids == []


@pytest.mark.parametrize("limit", ["_IDLE_LIMIT", "_FIRST_LIMIT"])
def test_a_request_that_comes_in_the_turn_in_which_the_time_is_over_is_served(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch, limit: str
) -> None:
    monkeypatch.setattr(clients, limit, 100 * MS)
    stage = stages()
    steps(stage, f"c1 send {READY}\nc1 expect 200\nwait 10" if limit == "_IDLE_LIMIT" else "c1 silent 10")
    found = stage.dispatcher.clients._places
    (connection,) = [*found.idle, *found.reading]
    loop = stage.dispatcher.loop
    # called between the poll that found nothing and the limit's own timer
    loop.call_at(connection.used_at + 100 * MS - 1, stage.step, f"c1 send {job()}")
    steps(stage, "p1 expect in$\nc1 silent 10")


def test_a_connection_has_no_place_while_it_is_read_out(stages: Callable[..., Stage]) -> None:
    # danger: peers that never close their side would keep others out for a second each
    stage = stages(sockets=38)  # room for three clients
    begun = stage.dispatcher.loop.now()
    steps(stage, "".join(f"c{n} send {LAST}\nc{n} expect ready\n" for n in range(1, 13)))
    steps(stage, f"c20 send {job()}\np1 expect in$")
    assert stage.dispatcher.loop.now() < begun + 1000 * MS


# Stopping


def test_what_was_sent_at_once_before_the_end_is_answered_before_it(stages: Callable[..., Stage]) -> None:
    # danger: read before the shutdown it was taken; read after it, it must not be sent on
    stage = stages(workers=1)
    steps(stage, f"c1 send {job('j1')}{job('j2')}\np1 expect : j1.*in$\np1 send {ACCEPTED}")
    stage.dispatcher.clients.close_idle()
    steps(stage, f"c2 send {call_back('done', 'j1', result='a')}\nc1 expect a$\np1 expect : j2.*in$")
    steps(stage, f"p1 send {ACCEPTED}\nc3 send {call_back('done', 'j2', result='b')}")
    steps(stage, "c1 expect 200 .*Connection: close.*b$\nc1 ended\nc1 close\nc2 close\nc3 close")
    stage.until("all is closed", lambda: not stage.dispatcher.clients.busy, 0.5)


def test_one_that_always_has_another_in_is_ended_all_the_same(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "LINGER_LIMIT", 200 * MS)
    stage = stages()
    steps(stage, f"c1 send {READY}\nc1 expect 200\nc1 fill {READY * 1000}")
    stage.dispatcher.clients.close_idle()
    stage.until("it is ended", lambda: stage.peers["c1"].over, 1.0)
    assert b"Connection: close" in stage.peers["c1"].seen


def test_a_connection_that_has_just_come_up_may_bring_its_request_while_stopping(
    stages: Callable[..., Stage],
) -> None:
    # danger: a new connection that is closed with no answer is a refusal that nobody needed
    stage = stages()
    steps(stage, "c1 silent 20\nc2 silent 20")
    stage.dispatcher.clients.close_idle()
    steps(stage, f"c1 silent 20\nc1 send {job()}\np1 expect in$\nc2 ended")


# Answers to those who read slowly


def slow_reader(stage: Stage, ms: int) -> socket.socket:
    """A client whose answer of 60 KB can't be written before it reads."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(stage.address)
    client.sendall(job(ms=ms).replace("\\r", "\r").replace("\\n", "\n").encode())
    steps(stage, f"p1 expect in$\np1 send {ACCEPTED}")
    ((connection, _),) = stage.dispatcher.clients.asking.values()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    steps(stage, f"c2 send {call_back('done', result='x' * 60_000)}\nc2 expect 204\nc2 close")
    return client


def test_a_slow_reader_has_its_answer_up_to_its_time(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "_WRITE_LIMIT", 50 * MS)
    stage = stages()
    client = slow_reader(stage, 9000)
    stage.pass_time(0.3)
    client.setblocking(False)
    seen = bytearray()

    def whole() -> bool:
        with suppress(BlockingIOError):
            seen.extend(client.recv(2048))
        return seen.endswith(b"x" * 1000) and seen.count(b"x") >= 60_000

    stage.until("the whole answer", whole, 5.0)
    client.close()


def test_one_that_reads_nothing_holds_its_place_up_to_its_time(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "_WRITE_LIMIT", 50 * MS)
    monkeypatch.setattr(clients, "_AFTER_DEADLINE", 100 * MS)
    stage = stages()
    client = slow_reader(stage, 300)
    assert stage.dispatcher.clients.busy
    stage.until("its place is free", lambda: not stage.dispatcher.clients.busy, 1.0)
    client.close()


# Places


def test_jobs_leave_places_to_call_backs(stages: Callable[..., Stage]) -> None:
    # danger: with jobs in all places, no call-back comes in and each job waits for its time to be over
    stage = stages(workers=12, sockets=48)  # ten places, nine of them for jobs
    steps(stage, "".join(f"c{n} send {job(f'j{n}')}\n" for n in range(1, 10)) + "wait 50")
    steps(stage, f"c10 send {job('j10')}\nc10 expect ^HTTP/1.1 503 .*Retry-After: 0.2.*many")
    steps(stage, f"p1 expect : j1.*in\np1 send {ACCEPTED}")
    steps(stage, f"c11 send {call_back('done', 'j1', result='x')}")
    stage.until("the call-back is served", lambda: b"204" in stage.peers["c11"].seen, 0.5)
    steps(stage, f"c1 expect x$\nc1 send {job('j11')}")
    stage.until("the next job is taken", lambda: stage.dispatcher.host.unanswered == 9, 0.5)


@pytest.mark.parametrize("half", [job()[:40], job()[:-2]])
def test_a_later_request_that_stops_half_way_makes_room_too(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch, half: str
) -> None:
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 60_000 * MS)
    stage = stages(sockets=38)  # room for three clients
    steps(
        stage, "".join(f"c{n} send {READY}\nc{n} expect 200\nc{n} send {half}\nwait 5\n" for n in (1, 2, 3))
    )
    steps(stage, f"c4 send {job('j4')}\np1 expect : j4\nc1 ended\nc3 silent 5")


def test_later_requests_that_stop_half_way_share_the_limit_on_memory(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 60_000 * MS)
    stage = stages(sockets=1024, memory_mb=1)  # half a megabyte for all of them
    half = job().replace("Content-Length: 2", "Content-Length: 60000") + "x" * 50_000
    steps(
        stage, "".join(f"c{n} send {READY}\nc{n} expect 200\nc{n} send {half}\nwait 20\n" for n in range(13))
    )
    steps(stage, "c0 ended\nc1 ended\nc12 silent 20")


def test_requests_sent_at_once_let_the_others_have_their_turn(stages: Callable[..., Stage]) -> None:
    stage = stages()
    steps(stage, f"c1 silent 10\nc1 send {READY * 200}")
    turns = 0
    while stage.peers["c1"].seen.count(b"200 OK") < 200:
        stage.dispatcher.loop.run_once()
        stage.peers["c1"].look()
        turns += 1
        assert turns < 1000
    assert turns >= 100


def test_many_that_ask_at_once_are_read_in_several_turns_and_in_their_order(
    stages: Callable[..., Stage],
) -> None:
    # danger: in a turn that reads hundreds of requests, senders leave and their jobs are sent on
    stage = stages(sockets=1024)
    sent = Sent(stage)
    peers = [socket.create_connection(stage.address) for _ in range(200)]
    stage.pass_time(0.1)
    for n, peer in enumerate(peers):
        peer.sendall(job(f"k{n}").replace("\\r", "\r").replace("\\n", "\n").encode())
    host, most = stage.dispatcher.host, 0
    while host._last_job_number < 200:
        before = host._last_job_number
        stage.dispatcher.loop.run_once()
        most = max(most, host._last_job_number - before)
        if before < 100 <= host._last_job_number:
            for peer in peers:
                peer.close()
            break
    assert most <= 64
    stage.pass_time(0.05)
    count = len(sent.ids)
    assert host._last_job_number < 200  # whoever has left before its turn came has no job
    assert host.unanswered == 0
    stage.pass_time(0.2)
    assert len(sent.ids) == count


def test_bodies_of_jobs_share_a_limit_on_memory(stages: Callable[..., Stage]) -> None:
    # danger: hundreds that are sent at once would together hold more memory than there is
    stage = stages(workers=12, sockets=1024, memory_mb=1)  # half a megabyte for all of them
    large = {n: job(f"j{n}", body="x" * 60_000) for n in range(1, 10)}
    steps(stage, "".join(f"c{n} send {large[n]}\nwait 10\n" for n in range(1, 10)))
    steps(stage, f"c9 expect ^HTTP/1.1 503 .*Retry-After: 0.2.*many\nc10 send {job('j10')}")
    assert stage.dispatcher.host.unanswered == 8
    steps(stage, f"c1 close\nwait 20\nc9 send {large[9]}\nwait 50\nc9 silent 10")


def test_descriptors_that_run_out_are_left_to_others(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    # danger: each one that is freed goes to the next that connects, none to the discovery service or a worker
    stage = stages(sockets=96)  # forty places
    real, opened = socket.socket.accept, stage.dispatcher.clients._places

    def accept(self: socket.socket) -> tuple[socket.socket, object]:
        if self is stage.dispatcher.listener and opened.taken >= 20:
            raise OSError(24, "Too many open files")
        return real(self)

    monkeypatch.setattr(socket.socket, "accept", accept)
    steps(stage, "".join(f"c{n} send {READY}\nc{n} expect 200\n" for n in range(1, 41)) + "wait 50")
    assert 8 <= opened.taken <= 17
    steps(stage, f"c50 send {job()}\np1 expect in$")


def test_no_small_write_is_held_back(stages: Callable[..., Stage]) -> None:
    stage = stages()
    steps(stage, f"c1 send {job()}\np1 expect in$")
    ((connection, _),) = stage.dispatcher.clients.asking.values()
    assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# What is not a request in the form that is wanted

STALLS = {
    "a head with no end": job()[:60],
    "one byte": "P",
    "a body with no end": job()[:-1],
    "chunks with no end": job().replace(
        "Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n"
    )
    + "1\\r\\nx\\r\\n",
    "a body that waits to be asked for": job(more="Expect: 100-continue\\r\\n")[:-2],
}
REFUSED = {
    "a job by HTTP/1.0": (job().replace("HTTP/1.1", "HTTP/1.0"), "400"),
    "a job by HTTP/2": (job().replace("HTTP/1.1", "HTTP/2.0"), "400"),
    "HTTP/2 from the start": ("PRI * HTTP/2.0\\r\\n\\r\\nSM\\r\\n\\r\\n", "404"),
    "a blank line": ("\\r\\n", "400"),
    "a tunnel": ("CONNECT elsewhere:80 HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "40[45]"),
    "the head of a job alone": ("HEAD /map/x HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "405"),
    "the head of nothing": ("HEAD /nowhere HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n", "404"),
    "a coding nobody knows": (job(more="Transfer-Encoding: gzip\\r\\n"), "501"),
    "an absolute target": (job().replace(" /map", " http://b/map"), "404"),
    "no host": (job().replace("Host: b\\r\\n", ""), "400"),
    "a body longer than its length": (job(body="in") + '"more":1}', "400"),
    "a body twice as long as its length": (job(body="in") + "in", "400"),
    "a line that is broken in the middle": (
        job().replace("X-Timeout-Ms: 9000", "X-Timeout\\r\\n-Ms: 9000"),
        "400",
    ),
    "a chunk that is no number": (
        job().replace("Content-Length: 2\\r\\n\\r\\nin", "Transfer-Encoding: chunked\\r\\n\\r\\n")
        + "zz\\r\\n",
        "400",
    ),
}


@pytest.mark.parametrize("again", [False, True])
@pytest.mark.parametrize("name", STALLS)
def test_a_request_that_never_ends_is_answered_and_closed(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch, name: str, again: bool
) -> None:
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 150 * MS)
    stage = stages()
    sent = Sent(stage)
    steps(stage, f"c1 send {READY}\nc1 expect ready\n" if again else "c1 silent 1")
    steps(stage, f"c1 send {STALLS[name]}")
    stage.until("it is ended", lambda: stage.peers["c1"].over, 0.5)
    assert b"HTTP/1.1 408" in stage.peers["c1"].seen
    assert sent.ids == []


def test_bytes_that_come_one_by_one_have_one_limit_together(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "_REQUEST_LIMIT", 200 * MS)
    stage = stages()
    sent = Sent(stage)
    text = iter(job().replace("\\r", "\r").replace("\\n", "\n").encode())

    def one_more() -> bool:
        peer = stage.peers["c1"]
        if peer.sock is not None and not peer.over:
            with suppress(OSError):
                peer.sock.send(bytes((next(text),)))
        return peer.over

    steps(stage, "c1 silent 1")
    stage.until("it is ended", one_more, 0.6)
    assert b"HTTP/1.1 408" in stage.peers["c1"].seen
    assert sent.ids == []


@pytest.mark.parametrize("name", REFUSED)
def test_what_is_not_in_the_form_is_refused_and_never_sent_on(
    stages: Callable[..., Stage], name: str
) -> None:
    stage = stages()
    sent = Sent(stage)
    text, status = REFUSED[name]
    steps(stage, f"c1 send {text}\nc1 expect ^HTTP/1.1 {status} \nwait 20")
    assert sent.ids == []


def test_an_offer_to_change_the_protocol_is_passed_over(stages: Callable[..., Stage]) -> None:
    stage = stages(workers=1)
    steps(stage, f"c1 send {job(more=UPGRADE)}\np1 expect in$")
    steps(stage, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}")
    steps(stage, "c1 expect ^HTTP/1.1 200 .*x$\nc1 ended")


# Ids that come again


def test_an_id_is_under_way_until_its_last_call_is_called_off(stages: Callable[..., Stage]) -> None:
    # danger: taken beside a call that is being called off, its call-backs and its DELETE would meet both
    stage = stages(workers=1)
    steps(stage, f"c1 send {job()}\np1 expect in$\np1 send {ACCEPTED}\nwait 20\nc1 close")
    steps(stage, "p1 expect DELETE /jobs/j1 HTTP")
    steps(stage, f"c2 send {job()}\nc2 expect ^HTTP/1.1 409\np1 send {answer(204)}\nwait 20")
    steps(stage, f"c3 send {job()}\np1 expect POST .*: j1.*in$")


@pytest.mark.parametrize("who", ["c1", "c3"])
def test_an_id_may_come_again_once_it_is_answered(stages: Callable[..., Stage], who: str) -> None:
    stage = stages(workers=1)
    steps(stage, f"c1 send {job()}\np1 expect in$\n{who} send {job()}" if who == "c3" else f"c1 send {job()}")
    steps(stage, "c3 expect ^HTTP/1.1 409" if who == "c3" else "p1 expect in$")
    steps(stage, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}\nc1 expect x$")
    steps(stage, f"{who} send {job()}\np1 expect : j1.*in$")


def test_the_id_of_a_booking_that_ran_is_not_taken_again(stages: Callable[..., Stage]) -> None:
    """Guards against a booking run twice for a client that lost its answer and asks again (bcef66)."""
    stage = stages(workers=1)
    booked = job(path="book/x")
    steps(stage, f"c1 send {booked}\np1 expect in$\np1 send {ACCEPTED}")
    steps(stage, f"c2 send {call_back('done', result='x')}\nc1 expect x$")
    steps(stage, f"c3 send {booked}\nc3 expect ^HTTP/1.1 500")
    assert not stage.peers["p1"].seen
    # one that never ran may come again
    steps(stage, f"c1 send {job('j2', 'book/x', 1000)}\np1 expect : j2.*in$")
    steps(stage, f"p1 send {NOT_PROCESSED}\nc1 expect 503")
    steps(stage, f"c3 send {job('j2', 'book/x')}\np1 expect : j2.*in$")


def test_a_job_that_waited_to_be_accepted_has_less_time_left(
    stages: Callable[..., Stage], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a worker told more time than its client has, after accept has failed (bcef66)."""
    stage = stages(workers=1)
    accept, until = clients.accept, time.monotonic() + 0.3

    def failing(listener: socket.socket) -> Any:
        if time.monotonic() < until:
            raise OSError(errno.ENFILE, "for a moment")
        return accept(listener)

    monkeypatch.setattr(clients, "accept", failing)
    steps(stage, f"c1 send {job(ms=2000)}\np1 expect X-Timeout-Ms: 1[0-7][0-9][0-9]\\r.*in$")
    steps(stage, f"p1 send {ACCEPTED}\nc2 send {call_back('done', result='x')}\nc1 expect x$")
    steps(stage, f"c1 send {job('j2', ms=2000)}\np1 expect X-Timeout-Ms: (2000|19[0-9][0-9])\\r.*in$")


# Room


def test_one_that_comes_ends_one_idle_connection_and_no_more(stages: Callable[..., Stage]) -> None:
    # danger: room made for nobody closed a connection on which the next request was on its way
    stage = stages(workers=1, sockets=38)  # room for three clients
    for n in (1, 2, 3):
        steps(stage, f"c{n} send {READY}\nc{n} expect 200")
    steps(stage, f"c4 send {READY}\nc4 expect 200\nc1 ended\nc2 silent 50\nc3 silent 1")


# Tenants


class Heard:
    """Of which tenant each job is that waits."""

    def __init__(self) -> None:
        self.tenants: list[str | None] = []

    def waiting(
        self, now: int, number: int, since: int, tenant: str | None, job_class: str, slots: float
    ) -> None:
        self.tenants.append(tenant)

    def started(self, now: int, number: int) -> None: ...

    def ended(self, now: int, number: int) -> None: ...


def test_a_job_is_of_the_tenant_that_it_names_where_the_settings_know_it(
    stages: Callable[..., Stage],
) -> None:
    # danger: counted for nobody, the flood of one tenant is paid for by all
    realms = [{"name": "north", "share": 0.5, "allowancePerS": 10.0}]
    stage = stages(workers=1, settings=read_settings({**SETTINGS, "realms": realms}))
    stage.dispatcher.host.wait_observer = heard = Heard()
    for n, name in enumerate(("north", " north ", "south", "")):
        steps(stage, f"c{n} send {job(f'j{n}', more=f'X-Tenant-Id: {name}' + CRLF)}\nwait 20")
    assert heard.tenants == ["north", "north", None, None]
