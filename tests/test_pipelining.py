"""Sound clients that pipeline: their requests may be cut anywhere, and their bodies hold any bytes."""

import random
from collections.abc import Callable
from itertools import pairwise

import pytest

from tests.scenario import Harness, call_back
from tests.test_client_memory import Clients

EVERY_BYTE = bytes(range(256))
BODIES = (
    EVERY_BYTE,
    b"",
    b"POST /map HTTP/1.1\r\nHost: b\r\n\r\n",
    b"\r\n\r\n" + EVERY_BYTE[::-1],
    b"P",
    EVERY_BYTE * 40,
)


def head(number: int, framing: bytes) -> bytes:
    return b"POST /map/%d HTTP/1.1\r\nHost: b\r\nX-Request-ID: j%d\r\nX-Timeout-Ms: 9000\r\n%s\r\n\r\n" % (
        number,
        number,
        framing,
    )


def sized(number: int, body: bytes) -> bytes:
    return head(number, b"Content-Length: %d" % len(body)) + body


def chunked(number: int, body: bytes) -> bytes:
    chunks = [body[n : n + 100] for n in range(0, len(body), 100)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head(number, b"Transfer-Encoding: chunked") + framed + b"0\r\n\r\n"


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(cuts), len(data)]
    return [data[start:end] for start, end in pairwise(edges)]


def serve_all(harness: Harness, clients: Clients, count: int) -> tuple[list[bytes], bytes]:
    """Answers the jobs of one client as they come; the bodies that workers got, and what the client got."""
    bodies: list[bytes] = []
    answered = b""
    worker = harness.peers["p1"]
    for number in range(count):
        harness.run_until(f"j{number} is sent", lambda: _is_whole(worker.received), 3.0)
        lines, _, body = worker.received.partition(b"\r\n\r\n")
        assert b"X-Request-ID: j%d\r\n" % number in lines
        bodies.append(body)
        worker.received = b""  # the next job may come as soon as this one is answered
        harness.step("p1 send HTTP/1.1 202 X\\r\\nContent-Length: 0\\r\\n\\r\\n")
        harness.step(f"c9 send {call_back('done', f'j{number}', result=f'r{number}')}")
        harness.step("c9 expect 204")
        harness.run_for(0.01)
        answered += clients.received()[0]
    return bodies, answered


def _is_whole(received: bytes) -> bool:
    lines, _, body = received.partition(b"\r\n\r\n")
    length = int(lines.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0")
    return bool(lines) and len(body) == length


@pytest.mark.parametrize("make", [sized, chunked])
@pytest.mark.parametrize("seed", range(12))
def test_pipelined_jobs_cut_anywhere_reach_workers_as_they_were_sent(
    new_harness: Callable[..., Harness], make: Callable[[int, bytes], bytes], seed: int
) -> None:
    """Guards against checks on what follows a body that a sound client falls foul of."""
    drawn = random.Random(seed)
    harness = new_harness(workers=1)
    clients = Clients(harness, 1)
    order = drawn.sample(BODIES, len(BODIES))
    requests = [make(number, body) for number, body in enumerate(order)]
    data = b"".join(requests)
    starts = [sum(map(len, requests[:number])) for number in range(1, len(requests))]
    # in a method of each request, and anywhere
    cuts = [start + drawn.randrange(0, 6) for start in starts] + drawn.choices(range(1, len(data)), k=10)
    for piece in pieces_of(data, cuts):
        clients._send_all(clients.socks[0], piece)
        harness.run_for(drawn.choice((0, 0.002, 0.02)))
    bodies, answered = serve_all(harness, clients, len(requests))
    assert bodies == order
    assert answered.count(b"HTTP/1.1 200") == len(order)
    assert [answered.index(b"r%d" % number) for number in range(len(order))] == sorted(
        answered.index(b"r%d" % number) for number in range(len(order))
    )
    clients.close()


@pytest.mark.parametrize("size", range(1, 6))
def test_a_pause_inside_a_method_is_waited_for(new_harness: Callable[..., Harness], size: int) -> None:
    """Guards against an error for a client whose next bytes are late by a retransmission."""
    harness = new_harness(workers=1)
    clients = Clients(harness, 1)
    data = sized(0, EVERY_BYTE) + sized(1, EVERY_BYTE)
    cut = len(sized(0, EVERY_BYTE)) + size
    clients._send_all(clients.socks[0], data[:cut])
    harness.run_for(0.6)
    clients._send_all(clients.socks[0], data[cut:])
    bodies, answered = serve_all(harness, clients, 2)
    assert bodies == [EVERY_BYTE, EVERY_BYTE]
    assert answered.count(b"HTTP/1.1 200") == 2
    clients.close()
