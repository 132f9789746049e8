"""What clients make the process hold, and requests that are costly to parse."""

import random
import socket
import tracemalloc
from collections.abc import Callable, Iterator

import pytest

from ironbarrow.frontend import server
from ironbarrow.runtime.loop import MS, Coroutine
from ironbarrow.transport.http import Connection
from ironbarrow.wire.head_lines import HeadLineCounter
from ironbarrow.wire.http import HEADER_FIELDS_LIMIT
from tests.scenario import Harness, job
from tests.test_clients import run_steps

KB = 1024
CONNECTION_BYTES = 16 * KB  # of a connection, its parser, its task and its timers
CLIENTS = 20
BODY = b"x" * 60_000


def request(job_id: str, more: bytes = b"", length: int = len(BODY), path: str = "map") -> bytes:
    """The head of a job."""
    head = f"POST /{path} HTTP/1.1\r\nHost: b\r\nX-Request-ID: {job_id}\r\nX-Timeout-Ms: 9000\r\n".encode()
    return head + more + b"Content-Length: %d\r\n\r\n" % length


def fields(number: int) -> bytes:
    return b"".join(b"h%d:\r\n" % n for n in range(number))


def chunked(job_id: str, chunks: int) -> bytes:
    head = request(job_id).replace(b"Content-Length: 60000", b"Transfer-Encoding: chunked")
    return head + b"2\r\nab\r\n" * chunks


INCOMPLETE = {  # the pieces that a client sends before it stops
    "half a body": [request("j") + BODY[:50_000]],
    "a body in small pieces": [request("j")] + [b"x" * 1000] * 40,
    "short header fields and half a body": [request("j", fields(100)) + BODY[:30_000]],
    "a long head in small pieces": [
        request("j", b"X-Long: " + b"x" * 15_000)[:-4][n : n + 300] for n in range(0, 15_000, 300)
    ],
    "chunks of two bytes": [chunked("j", 2000)],
}


class Clients:
    """Plain connections to a dispatcher."""

    def __init__(self, harness: Harness, number: int) -> None:
        self.harness = harness
        self.socks = [socket.create_connection(harness.address) for _ in range(number)]
        for sock in self.socks:
            sock.setblocking(False)
        harness.run_for(0.05)

    def send(self, pieces: list[bytes]) -> None:
        """Each sends the pieces, all of them one piece at a time."""
        for piece in pieces:
            for sock in self.socks:
                self._send_all(sock, piece)
            self.harness.run_for(0.002)

    def _send_all(self, sock: socket.socket, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[sock.send(rest) :]
            except BlockingIOError:
                self.harness.run_for(0.002)

    def received(self) -> list[bytes]:
        """What each has received so far."""
        answers = []
        for sock in self.socks:
            try:
                answers.append(sock.recv(KB))
            except BlockingIOError:
                answers.append(b"")
        return answers

    def close(self) -> None:
        for sock in self.socks:
            sock.close()


@pytest.fixture
def traced_memory() -> Iterator[Callable[[], int]]:
    """The memory in bytes that was taken since the test began and is still held."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@pytest.mark.parametrize("name", INCOMPLETE)
def test_incomplete_requests_take_no_more_memory_than_is_counted(
    new_harness: Callable[..., Harness],
    monkeypatch: pytest.MonkeyPatch,
    traced_memory: Callable[[], int],
    name: str,
) -> None:
    """Guards against a process over its limit, as parsed requests take many times their bytes (review/7)."""
    monkeypatch.setattr(server, "_REQUEST_TIMEOUT", 60_000 * MS)
    harness = new_harness(memory_mb=192)
    clients = Clients(harness, CLIENTS)
    before = traced_memory()
    clients.send(INCOMPLETE[name])
    harness.run_until("all is read", lambda: _is_all_read(harness, clients), 15.0)
    held = traced_memory() - before
    counted = harness.dispatcher.server._slots._input_memory
    assert counted > 0
    assert held <= counted + CLIENTS * CONNECTION_BYTES
    clients.close()


def _is_all_read(harness: Harness, clients: Clients) -> bool:
    reading = harness.dispatcher.server._slots.reading
    return len(reading) == len(clients.socks) and all(connection.is_idle() for connection in reading)


def test_requests_that_arrive_at_the_same_time_share_the_limit_on_memory(
    new_harness: Callable[..., Harness],
) -> None:
    """Guards against a limit that none keeps while all connections have input to read (review/7)."""
    harness = new_harness(memory_mb=1)  # half a megabyte
    slots = harness.dispatcher.server._slots
    most = 0
    clients = Clients(harness, 40)
    for sock in clients.socks:
        sock.send(request("half") + BODY[:50_000])
    for _ in range(400):
        harness.dispatcher.loop.run_once(wait=False)
        most = max(most, slots._input_memory)
    assert most <= 512 * KB + 2 * 16 * KB  # one read, and what it is counted as
    refused = sum(answer.startswith(b"HTTP/1.1 503") for answer in clients.received())
    assert refused >= 40 - 512 // 50  # each of the others is told so, and none is ended without a word
    run_steps(harness, f"c1 send {job('usual')}\np1 expect : usual.*in$")
    clients.close()


def test_a_connection_at_rest_holds_no_body(
    new_harness: Callable[..., Harness], traced_memory: Callable[[], int]
) -> None:
    """Guards against connections at rest that keep the last request's body (review/7)."""
    harness = new_harness()
    clients = Clients(harness, CLIENTS)
    before = traced_memory()
    clients.send([request("j", path="nowhere") + BODY])
    harness.run_until("all rest", lambda: len(harness.dispatcher.server._slots.idle) == CLIENTS, 5.0)
    assert traced_memory() - before <= CLIENTS * CONNECTION_BYTES
    clients.close()


def test_a_job_takes_its_body_once(
    new_harness: Callable[..., Harness], traced_memory: Callable[[], int]
) -> None:
    """Guards against further copies of a body, and the head's fields, for as long as the job runs."""
    harness = new_harness(workers=1)
    run_steps(harness, "c1 silent 1")
    before = traced_memory()
    large = job(body="x" * 60_000, more="h: y\\r\\n" * 100)
    run_steps(harness, f"c1 send {large}\np1 expect xxx$\nwait 50")
    harness.peers["p1"].received = b""
    del large
    assert traced_memory() - before <= len(BODY) + 2 * CONNECTION_BYTES + 20 * KB


def test_a_job_that_is_held_counts_as_a_job(new_harness: Callable[..., Harness]) -> None:
    """Guards against bodies that are counted nowhere while the input after them is awaited."""
    harness = new_harness(memory_mb=1)
    clients = Clients(harness, 12)
    for number, sock in enumerate(clients.socks):
        clients._send_all(sock, request(f"j{number}") + BODY + b"P")
    harness.run_for(0.1)
    assert harness.dispatcher.server._slots._job_bytes <= 512 * KB
    assert sum(answer.startswith(b"HTTP/1.1 503") for answer in clients.received()) >= 4
    clients.close()


def test_a_job_counts_while_the_input_behind_it_is_read(new_harness: Callable[..., Harness]) -> None:
    """Guards against bodies that are counted nowhere while much more than them is read (picture a)."""
    harness = new_harness(memory_mb=1)  # half a megabyte for jobs: 8 of these
    server, taken = harness.dispatcher.server, []
    read_to_end = server._read_to_end_of_input

    def read_and_note(connection: Connection) -> Coroutine[bool]:
        taken.append(server._slots._job_sizes.get(connection, 0))
        return (yield from read_to_end(connection))

    server._read_to_end_of_input = read_and_note  # type: ignore[method-assign]
    clients = Clients(harness, 12)
    for number, sock in enumerate(clients.socks):
        clients._send_all(sock, request(f"j{number}") + BODY)
    harness.run_for(0.1)
    assert len(taken) == 8
    assert min(taken) >= len(BODY)
    assert sum(b"too many jobs" in answer for answer in clients.received()) == 4
    clients.close()


@pytest.mark.parametrize("again", [False, True])
def test_a_head_of_very_many_fields_is_rejected_before_it_is_parsed(
    new_harness: Callable[..., Harness], again: bool
) -> None:
    """Guards against heads of thousands of fields, which take many times their bytes and 8 ms each."""
    harness = new_harness()
    run_steps(harness, "c1 silent 1")
    sock = harness.peers["c1"].sock
    assert sock is not None
    first = b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n" if again else b""
    sock.sendall(first + request("j", fields(HEADER_FIELDS_LIMIT + 1)))
    run_steps(harness, "c1 expect HTTP/1.1 431 .*fields\nc1 ended")


def test_usual_heads_of_many_fields_are_served(new_harness: Callable[..., Harness]) -> None:
    harness = new_harness()
    lines = "".join(f"X-Field-{n}: value\\r\\n" for n in range(100))
    body = "\\n" * 500  # its lines are not the head's
    run_steps(harness, f"c1 send {job(more=lines, body='')}\np1 expect : j1")
    text = job("j2", body="").replace("Content-Length: 0", "Content-Length: 500") + body
    run_steps(harness, f"c2 send {text}\np2 expect : j2")


def test_the_lines_of_a_head_are_counted_however_it_is_divided() -> None:
    drawn = random.Random(62)
    for end in (b"\r\n", b"\n"):
        for lines in (1, 2, 7, 50):
            head = b"".join(b"l%d" % n + end for n in range(lines)) + end
            data = head + b"\n\r\n body \n\n"
            for _ in range(50):
                counter, rest = HeadLineCounter(), data
                while rest:
                    size = drawn.choice((1, 1, 2, 3, 20))
                    counter.receive(rest[:size])
                    rest = rest[size:]
                assert counter.lines == lines


def test_bodies_in_very_many_chunks_do_not_delay_others(new_harness: Callable[..., Harness]) -> None:
    """Guards against a loop that parses one client's chunks after another's, and serves none meanwhile."""
    harness = new_harness()
    clients = Clients(harness, CLIENTS)
    for sock in clients.socks:
        clients._send_all(sock, chunked("j", 15_000))
    run_steps(harness, f"c1 send {job('usual', ms=1000)}")
    harness.run_until("it is sent", lambda: b"usual" in harness.peers["p1"].received, 1.0)
    clients.close()
