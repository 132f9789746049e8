"""The discovery client: input on real sockets, time-outs and call rates in virtual time."""

import heapq
import json
import random
import socket
from typing import Any

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathway import api, backoff
from heathway.backoff import ListCallBackoff
from heathway.logic import Dispatcher
from heathway.settings import read_settings
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.discovery import client as discovery
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import MS, SECOND, Coroutine
from tests.dispatcher_harness import DispatcherHarness, entries, make_settings
from tests.scenario import SETTINGS, Harness, answer, call_back, job
from tests.virtual import VirtualLoop, wait

ACCEPTED = answer(202)
KNOWN_WITHIN = 6 * SECOND  # so long after the service had a change, a dispatcher has to know it
GRACE = 1_050 * MS  # after this no new job may go to a worker that was told to drain
NEVER = 1 << 62
READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"


def run_with_watch(harness: Harness, then: str) -> None:
    harness.run(
        "d expect GET /api/targets\\?follow=1&since=41 HTTP\n"
        "d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n\n" + then
    )


def escaped(text: str) -> str:
    return text.replace("\r", "\\r").replace("\n", "\\n")


@pytest.mark.parametrize("status", ["draining", "removed", "in a state nobody knows"])
def test_a_worker_that_is_not_up_gets_no_new_job(status: str) -> None:
    harness = Harness()
    changes = escaped(harness.list_chunk(harness.entry("p1", status)))
    run_with_watch(harness, f"d send {changes}\nwait 50\nc1 send {job()}\np2 expect in$")


def test_a_malformed_entry_does_not_hide_the_others() -> None:
    harness = Harness()
    bad = [{"name": "x"}, {"name": 7, "status": "up"}, {"name": "y", "status": "up", "address": "nowhere"}]
    changes = escaped(harness.list_chunk(*bad, harness.entry("p1", "removed")))
    run_with_watch(harness, f"d send {changes}\nwait 50\nc1 send {job()}\np2 expect in$")


def test_the_watch_resumes_at_the_last_version() -> None:
    harness = Harness()
    changes = escaped(harness.list_chunk(harness.entry("p1", "draining"), index=57))
    run_with_watch(harness, f"d send {changes}\nwait 50\nd close\nd expect follow=1&since=57")


def test_a_reload_switches_the_discovery_service_and_keeps_list_and_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # until the new service has sent a list, the current list, changes by the old service and jobs must stay
    monkeypatch.setattr(discovery, "_PUSH_RESPONSE_TIMEOUT", 20 * SECOND)
    harness = Harness()
    draining = escaped(harness.list_chunk(harness.entry("p1", "draining"), index=57))
    later = harness.entry("p1") | {"since_ms": 1_000}  # a later process than the one that drains
    full_list = escaped(harness.list_chunk(later, harness.entry("p2", "draining"), index=3, full=True))
    body = full_list.split("\\r\\n")[1]
    cold_ms = harness.config.settings.cold_time // MS  # of the later process, which counts as just started
    run_with_watch(
        harness,
        f"""c1 send {job()}
        p1 expect in$
        reload d2
        d2 expect GET /api/targets HTTP
        d send {draining}
        wait 50
        c2 send {job("j2")}
        p2 expect : j2
        d2 send HTTP/1.1 200 X\\r\\nContent-Length: {len(body) - 1}\\r\\n\\r\\n{body}
        d ended
        p1 send {ACCEPTED}
        c3 send {call_back("done", result="out")}
        c1 expect 200 .*out$
        wait {cold_ms}
        c1 send {job("j3")}
        p1 expect : j3
        d2 close
        d2 expect follow=1&since=3 HTTP""",
    )


def test_the_old_discovery_service_is_not_called_again_after_a_switch() -> None:
    harness = Harness()
    for line in ("d expect GET", "reload d2", "d close", "d2 expect GET /api/targets HTTP", "wait 400"):
        harness.step(line)
    assert harness.peers["d"].sock is None
    harness.close()


def test_after_malformed_input_the_full_list_is_fetched() -> None:
    run_with_watch(Harness(), "d send 5\\r\\nnope\\n\\r\\n\nd ended\nd close\nd expect GET /api/targets HTTP")


def test_after_an_error_status_only_the_changes_are_requested() -> None:
    # a full list costs the service many times more; fetched after each error, it would keep a busy discovery
    # service from answering
    run_with_watch(
        Harness(),
        f"d ended\nd close\nd expect follow=1&since=41\nd send {answer(503)}\nd ended\nd close\n"
        "d expect ^GET /api/targets.follow=1&since=41",
    )


def test_a_discovery_service_that_is_asked_is_called_when_the_decision_logic_says() -> None:
    conf = {**SETTINGS, "discovery": "ask"}
    harness = Harness(settings=read_settings(conf))
    for line in ("wait 20", f"c1 send {READY}", "c1 expect 200"):
        harness.step(line)
    assert harness.peers["d"].sock is None  # the first call comes at a random time within the first second
    asked = "d expect ^GET /api/targets.follow=1&since=41"
    harness.run(f"{asked}\nd send {answer(503)}\nd ended\nd close\n{asked}")


def test_a_silent_watch_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    # a frozen discovery service keeps its connection open and sends nothing
    monkeypatch.setattr(discovery, "_SILENCE_TIMEOUT", 200 * MS)
    run_with_watch(Harness(), "d ended\nd close\nd expect follow=1&since=41")


# Input on a watch that is open at version 41. Each: the pieces in which it arrives, whether p1 still gets
# jobs, and the call that follows.


def entry(name: str = "p1", status: Any = "draining", **more: Any) -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:1", "zone": "a", "status": status} | more


def list_json(
    *entries: dict[str, Any], index: Any = 42, indent: int | None = None, full: bool = False
) -> str:
    return json.dumps({"index": index, "snapshot": full, "endpoints": entries}, indent=indent)


def chunks(*texts: str) -> list[str]:
    return [f"{len(text):x}\r\n{text}\r\n" for text in texts]


INDENTED = list_json(entry(), indent=2) + "\n"
WHOLE_LIST, CHANGES = "^GET /api/targets HTTP", "^GET /api/targets.follow=1&since="
WATCH_INPUTS: dict[str, tuple[list[str], bool, str]] = {
    "indented": (chunks(INDENTED), False, f"{CHANGES}42"),
    "indented by nothing": (chunks(list_json(entry(), indent=0)), False, f"{CHANGES}42"),
    "a line a chunk": (chunks(*INDENTED.splitlines(keepends=True)), False, f"{CHANGES}42"),
    "a byte a chunk, five bytes a piece": (["".join(chunks(*INDENTED))], False, f"{CHANGES}42"),
    "a chunk that does not end": ([f"{9_999:x}\r\n{INDENTED}"], False, f"{CHANGES}42"),
    "no line end": (chunks(list_json(entry())), False, f"{CHANGES}42"),
    "two objects in a chunk": (
        chunks(list_json(entry()) + "\n" + list_json(entry("p9"), index=43) + "\n"),
        False,
        f"{CHANGES}43",
    ),
    "two objects and a half on a line": (
        chunks(list_json(entry()) + list_json(entry("p9"), index=43) + '{"index":44,"endp'),
        False,
        f"{CHANGES}43",
    ),
    "braces and quotes in a name": (
        chunks(list_json(entry('}]}{"\\'), entry()) + "\n", "\n"),
        False,
        f"{CHANGES}42",
    ),
    "the same worker twice: the last entry counts": (
        chunks(list_json(entry(status="up"), entry()) + "\n"),
        False,
        f"{CHANGES}42",
    ),
    "no entries": (chunks(list_json() + "\n"), True, f"{CHANGES}42"),
    "a full list without entries": (chunks(list_json(full=True) + "\n"), False, f"{CHANGES}42"),
    "a drain without an address": (
        chunks(list_json({"name": "p1", "status": "draining"}) + "\n"),
        False,
        f"{CHANGES}42",
    ),
    "a drain with nonsense for a weight": (
        chunks(list_json(entry(weight="x")) + "\n"),
        False,
        f"{CHANGES}42",
    ),
    "a status that is no text": (chunks(list_json(entry(status=["up"])) + "\n"), False, f"{CHANGES}42"),
    "a weight without end": (
        chunks(list_json(entry(status="up", weight=1e999)) + "\n"),
        True,
        f"{CHANGES}42",
    ),
    "true for a version": (chunks(list_json(entry(), index=True) + "\n"), False, f"{CHANGES}41"),
    "text for a version": (chunks(list_json(entry(), index="57") + "\n"), False, f"{CHANGES}41"),
    "a version below 0": (chunks(list_json(entry(), index=-1) + "\n"), False, f"{CHANGES}41"),
    # an older change must not undo a later one
    "a version that goes back": (chunks(list_json(entry(), index=40) + "\n"), False, WHOLE_LIST),
    "a version that goes back to up": (
        chunks(list_json(entry()) + "\n" + list_json(entry(status="up"), index=40) + "\n"),
        False,
        WHOLE_LIST,
    ),
    "a full list of an older version": (
        chunks(list_json(entry(), index=7, full=True) + "\n"),
        False,
        f"{CHANGES}7",
    ),
    "an object that breaks off, and the next": (
        chunks(list_json(entry("p9"))[:60] + "\n", list_json(entry()) + "\n"),
        True,
        WHOLE_LIST,
    ),
    "an object that breaks off, and empty lines": (
        chunks(list_json(entry())[:60] + "\n", *"\n" * 60),
        True,
        f"{CHANGES}41",
    ),
    "a list": (chunks("[1]\n"), True, WHOLE_LIST),
    "an end without a start": (chunks("}\n"), True, WHOLE_LIST),
    "brackets crossed": (chunks('{"endpoints":[}]\n'), True, WHOLE_LIST),
    "a text without end": (chunks('{"index":"' + "x" * 20_000), True, WHOLE_LIST),
    "bytes that are no text": (chunks('{"index":"\xff\xfe"}\n'), True, WHOLE_LIST),
    "an end in the middle": ([*chunks(list_json(entry())[:60]), "0\r\n\r\n"], True, f"{CHANGES}41"),
    "bytes that are no chunk": (["what?\r\n"], True, f"{CHANGES}41"),
}


@pytest.mark.parametrize("name", WATCH_INPUTS)
def test_input_on_the_watch(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    pieces, stays, call = WATCH_INPUTS[name]
    if "empty lines" in name:
        monkeypatch.setattr(discovery, "_SILENCE_TIMEOUT", 300 * MS)
    if "a byte" in name:
        text = "".join(pieces)
        pieces = [text[at : at + 5] for at in range(0, len(text), 5)]
    harness = Harness()
    peer = harness.peers["d"]
    try:
        harness.step("d expect follow=1&since=41 HTTP")
        harness.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
        for piece in pieces:
            assert peer.sock is not None
            if not peer.ended:
                peer.sock.sendall(piece.encode("latin-1"))
            harness.run_for(0.01 if "empty" in name else 0.002 if "a byte" in name else 0.03)
        assert harness.dispatcher.host.may_send_to("p1") == stays
        if peer.ended:
            harness.step("d close")
        elif call == WHOLE_LIST:
            harness.step("d ended")
            harness.step("d close")
        else:
            harness.step("d close")
        harness.step(f"d expect {call}")
    finally:
        harness.close()


@pytest.mark.parametrize(
    "response",
    [
        "200 X\\r\\nContent-Length: 0\\r\\n",
        "200 X\\r\\nContent-Length: 4\\r\\n\\r\\n[{}]",
        "200 X\\r\\nContent-Length: 9\\r\\n\\r\\n{",
        "302 X\\r\\nLocation: /\\r\\nContent-Length: 0\\r\\n",
        "204 X\\r\\n",
        "500 X\\r\\nContent-Length: 0\\r\\n",
    ],
)
def test_a_full_list_that_fails_is_fetched_again(response: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "_SILENCE_TIMEOUT", 300 * MS)
    harness = Harness(known=False)
    body = list_json(harness.entry("p1"), full=True, indent=1).replace("\n", "\\n")
    size = len(body.replace("\\n", "\n"))
    harness.run(
        f"""d expect {WHOLE_LIST}
        d send HTTP/1.1 {response}\\r\\n
        d ended
        d close
        d expect {WHOLE_LIST}
        d send HTTP/1.1 200 X\\r\\nContent-Length: {size}\\r\\n\\r\\n{body}
        d ended
        c1 send {job()}
        p1 expect in$"""
    )


def test_a_worker_is_called_at_its_latest_address() -> None:
    harness = Harness()
    moved = harness.entry("p1") | {"address": harness.names["$p2"]}
    run_with_watch(
        harness, f"d send {escaped(harness.list_chunk(moved))}\nwait 50\nc1 send {job()}\np2 expect in$"
    )


def test_a_list_on_which_the_decision_logic_fails_is_fetched_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a watch that ends with the failure, after which no change arrives any more
    harness = Harness()
    real = Dispatcher.handle
    failure = iter((True,))

    def handle(self: Dispatcher, now: int, events: list[api.Event]) -> list[api.Action]:
        if any(isinstance(event, api.WorkerList) for event in events) and next(failure, False):
            raise ZeroDivisionError
        return real(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", handle)
    drains = escaped(harness.list_chunk(harness.entry("p1", "draining")))
    run_with_watch(harness, f"d send {drains}\nd ended\nd close\nd expect {WHOLE_LIST}")


def test_without_a_free_descriptor_the_watch_uses_its_reserved_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against idle clients and calls that use all descriptors, so that no list arrives until one ends
    harness = Harness()
    real = sockets.stream_socket

    def none_free(address: sockets.Address) -> socket.socket:
        if harness.dispatcher.discovery._reserved_socket is not None:
            raise OSError(24, "Too many open files")
        return real(address)

    monkeypatch.setattr(sockets, "stream_socket", none_free)
    again = "d close\nd expect follow=1&since=41 HTTP\n"
    run_with_watch(harness, again + again)


# Two discovery services at once


def run_after_watch_begins(harness: Harness, *lines: str) -> None:
    harness.step("d expect follow=1&since=41 HTTP")
    harness.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    for line in lines:
        harness.step(line)


def full_list_response(harness: Harness, *entries: dict[str, Any], index: int = 3) -> str:
    body = list_json(*entries, index=index, full=True)
    return f"HTTP/1.1 200 X\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}"


@pytest.mark.parametrize("old", ["draining", "removed", "not in its full list"])
def test_a_new_discovery_service_that_is_behind_does_not_undo_a_drain(
    old: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # both receive the same changes, with different delays
    monkeypatch.setattr(discovery, "_PUSH_RESPONSE_TIMEOUT", 20 * SECOND)
    monkeypatch.setattr(discovery, "_CONVERGENCE_TIME", 1_500 * MS)
    harness = Harness()
    if old.startswith("not"):
        changes = harness.list_chunk(harness.entry("p2"), index=57, full=True)
    else:
        changes = harness.list_chunk(harness.entry("p1", old), index=57)
    may = harness.dispatcher.host.may_send_to
    try:
        run_after_watch_begins(
            harness,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            f"d send {escaped(changes)}",
            "wait 50",
            f"d2 send {full_list_response(harness, harness.entry('p1'), harness.entry('p2'))}",
            "d ended",
        )
        assert not may("p1") and may("p2")
        harness.run_until("p1 is up again after _CONVERGENCE_TIME", lambda: may("p1"))
    finally:
        harness.close()


def test_the_new_discovery_service_overrides_a_drain_of_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "_PUSH_RESPONSE_TIMEOUT", 20 * SECOND)
    monkeypatch.setattr(discovery, "_CONVERGENCE_TIME", 400 * MS)
    harness = Harness()
    may = harness.dispatcher.host.may_send_to
    try:
        run_after_watch_begins(
            harness,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            f"d send {escaped(harness.list_chunk(harness.entry('p1', 'draining'), index=57))}",
            "wait 50",
            f"d2 send {full_list_response(harness, harness.entry('p1'), harness.entry('p2'))}",
            "d2 ended",
            "d2 close",
            "d2 expect follow=1&since=3",
            "d2 send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
            f"d2 send {escaped(harness.list_chunk(harness.entry('p1', 'draining'), index=4))}",
            "wait 800",
        )
        assert not may("p1") and may("p2")
        harness.step(f"d2 send {escaped(harness.list_chunk(harness.entry('p1'), index=5))}")
        harness.run_until("p1 is up", lambda: may("p1"), 5)
    finally:
        harness.close()


def test_after_switching_back_the_first_watch_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a second watch on the first service beside the one that goes on, and against a list from
    # the service in between that replaces the changes of the first one
    monkeypatch.setattr(discovery, "_PUSH_RESPONSE_TIMEOUT", 20 * SECOND)
    harness = Harness()
    drains = escaped(harness.list_chunk(harness.entry("p1", "draining"), index=57))
    late = full_list_response(harness, harness.entry("p1"), harness.entry("p2"))
    try:
        run_after_watch_begins(
            harness,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            "reload d",
            "d2 ended",
            f"d send {drains}",
            f"d2 send {late}",
            "wait 50",
        )
        assert not harness.dispatcher.host.may_send_to("p1")
        for line in ("d close", "d expect follow=1&since=57"):
            harness.step(line)
    finally:
        harness.close()


def test_of_two_reloads_in_a_row_the_last_one_applies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "_PUSH_RESPONSE_TIMEOUT", 20 * SECOND)
    harness = Harness(workers=3)  # p3 acts as a third discovery service
    may = harness.dispatcher.host.may_send_to
    try:
        run_after_watch_begins(
            harness,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            "reload p3",
            "p3 expect GET /api/targets HTTP",
            "d2 ended",
            f"d2 send {full_list_response(harness, harness.entry('p2'))}",
            f"d send {escaped(harness.list_chunk(harness.entry('p2', 'draining'), index=57))}",
            "wait 50",
        )
        assert may("p1") and not may("p2")
        for line in (f"p3 send {full_list_response(harness, harness.entry('p2'), index=9)}", "d ended"):
            harness.step(line)
        assert not may("p1") and not may("p2")
    finally:
        harness.close()


def test_during_the_first_fetch_a_reload_accepts_the_list_that_arrives_first() -> None:
    harness = Harness(known=False)
    may = harness.dispatcher.host.may_send_to
    lines = (
        "d expect GET /api/targets HTTP",
        "reload d2",
        "d2 expect GET /api/targets HTTP",
        f"d send {full_list_response(harness, harness.entry('p1'), index=57)}",
        "d ended",
        "d close",
        "d expect follow=1&since=57",
    )
    try:
        for line in lines:
            harness.step(line)
        assert may("p1")
        harness.step(f"d2 send {full_list_response(harness, harness.entry('p2'))}")
        harness.step("d ended")
        assert may("p2") and not may("p1")
    finally:
        harness.close()


def test_a_fleet_that_switches_spreads_its_calls_to_the_new_discovery_service() -> None:
    conf = {**SETTINGS, "discovery": "ask", "replicasOfMe": 200}
    harness = Harness(settings=read_settings(conf))
    try:
        for line in ("wait 20", "reload d2", "wait 200"):  # the earliest call comes after half a second
            harness.step(line)
        assert harness.peers["d2"].sock is None
        began = harness.dispatcher.loop.now()
        harness.step(f"d2 expect {WHOLE_LIST}")
        assert harness.dispatcher.loop.now() - began < 4 * SECOND
    finally:
        harness.close()


# JSON objects from a stream

TEXT = st.text(st.sampled_from('{}[]"\\\n ,:aé'), max_size=6)
VALUES = st.recursive(TEXT | st.integers() | st.none(), lambda some: st.lists(some, max_size=3), max_leaves=4)
OBJECTS = st.lists(st.dictionaries(TEXT, VALUES | st.dictionaries(TEXT, VALUES, max_size=2), max_size=3))


@given(OBJECTS, st.sampled_from([None, 0, 2]), st.sampled_from(["", "\n", "\n\n"]), st.integers(1, 20))
def test_objects_are_found_in_any_format_and_any_pieces(
    values: list[dict[str, Any]], indent: int | None, between: str, size: int
) -> None:
    data = between.join(json.dumps(value, indent=indent) for value in values).encode()
    objects = discovery._ObjectSplitter()
    found = [o for at in range(0, len(data), size) for o in objects.feed(data[at : at + size])]
    assert [json.loads(one) for one in found] == values
    assert not objects.incomplete


@pytest.mark.parametrize("indent", [None, 2])
def test_the_input_scanned_again_with_each_piece_does_not_grow_with_the_list(indent: int | None) -> None:
    data = list_json(*(entry(f"s-{n}") for n in range(2_000)), indent=indent).encode()
    objects, again = discovery._ObjectSplitter(), 0
    for at in range(0, len(data), 100):
        again = max(again, len(objects._buffer) - objects._scanned_to)
        objects.feed(data[at : at + 100])
    assert not objects.incomplete
    assert again < 1_000


def test_an_object_that_is_too_large_ends_the_connection() -> None:
    objects, piece = discovery._ObjectSplitter(), json.dumps([entry()]).encode()[1:-1] + b","
    with pytest.raises(ConnectionEndedError) as ended:
        objects.feed(b'{"endpoints":[')
        for _ in range(discovery._MAX_LIST_BYTES // len(piece) + 1):
            objects.feed(piece)
    assert ended.value.ending is Ending.TOO_LARGE


# Failures in virtual time


FAILURES = (
    "refused",
    "no descriptor",
    "never up",
    "hung",
    "refused by an answer",
    "ended",
    "silent after its head",
    "nonsense",
)


class FakeService:
    """A discovery service that fails in one way from ``down`` to ``up``, and has one change from
    ``change_at`` on."""

    def __init__(self, loop: VirtualLoop, failure: str, down: int, up: int, change_at: int) -> None:
        self.loop, self.failure, self.down, self.up, self.change_at = loop, failure, down, up, change_at
        self.calls: list[int] = []
        self.open: list[FakeServiceConnection] = []

    def failing(self) -> bool:
        return self.down <= self.loop.now() < self.up

    def connect(self, address: object, until: int) -> Coroutine["FakeServiceConnection"]:
        self.calls.append(self.loop.now())
        yield from wait(self.loop.now())
        if self.failing() and self.failure == "refused":
            raise ConnectionEndedError(Ending.CONNECT_REFUSED)
        if self.failing() and self.failure == "no descriptor":
            raise ConnectionEndedError(Ending.FAILED_HERE)
        if self.failing() and self.failure == "never up":
            yield from wait(until)
            raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
        return FakeServiceConnection(self, self.failure if self.failing() else "")


class FakeServiceConnection:
    """A connection to the fake service; one that failed keeps failing after the service is back."""

    def __init__(self, service: FakeService, failure: str) -> None:
        self.service, self.failure, self.loop = service, failure, service.loop
        self.head = self.list_sent = self.full_list = False

    def close(self) -> None: ...

    def request_bytes(self, method: str, target: str, headers: object) -> bytes:
        self.full_list = "follow" not in target
        return b""

    def write(self, data: bytes, until: int) -> Coroutine[None]:
        yield from wait(self.loop.now())

    def next_event(self, until: int) -> Coroutine[Any]:
        service = self.service
        yield from wait(self.loop.now())
        if not self.head:
            self.head = True
            if self.failure == "hung":
                yield from wait(until)
                raise ConnectionEndedError(Ending.STALLED)
            status = 503 if self.failure == "refused by an answer" else 200
            return h11.Response(status_code=status, headers=[])
        if not self.failure and service.failing():
            self.failure = service.failure  # fails an open watch too
        if not self.failure:
            if not self.list_sent and self.loop.now() >= service.change_at:
                self.list_sent = True
                return h11.Data(data=list_json(entry(), full=self.full_list).encode())
            if self.full_list and not self.list_sent:
                self.list_sent = True
                return h11.Data(data=list_json(entry(status="up"), index=41, full=True).encode())
            if self.full_list:
                return h11.EndOfMessage()
            # wait for the change, the next empty line or the start of the failure, whichever is first
            times = [self.loop.now() + 2 * SECOND, service.change_at, service.down]
            due = min(t for t in times if t > self.loop.now())
            yield from wait(min(until, due))
            if until < due:
                raise ConnectionEndedError(Ending.STALLED)
            return h11.Data(data=b"\n")
        if self.failure in ("ended", "refused", "no descriptor", "refused by an answer"):
            raise ConnectionEndedError(Ending.RESET)
        if self.failure == "nonsense":
            self.failure = "ended"
            return h11.Data(data=b"nope\n")
        yield from wait(until)
        raise ConnectionEndedError(Ending.STALLED)


def arrival_time(
    service: FakeService,
    loop: VirtualLoop,
    until: int,
    pace: ListCallBackoff | None,
    seed: int,
    known: bool = True,
) -> int:
    """When the discovery service's change arrives at the client, or NEVER. ``pace``: when to call a service
    that is asked. Without a known list, as after a switch, the full list comes first."""
    found: list[int] = []

    def listed(update: api.WorkerList) -> None:
        if update.kind is api.ListKind.LOST:
            assert pace is not None
            loop.call_at(loop.now() + pace.retry_delay(), client.subscribe)
        elif any(e.state is api.WorkerState.DRAINING for e in update.entries):
            found.append(loop.now())
        elif pace is not None:
            pace.reset()

    client = discovery.DiscoveryClient(loop, ("d", 1), listed, on_request=pace is not None, seed=seed)  # type: ignore[arg-type]
    client.start(json.loads(list_json(entry(status="up"), index=41, full=True)) if known else {})
    if pace is not None:
        loop.call_at(loop.now() + pace.first_delay(), client.subscribe)
    loop.run(until)
    return found[0] if found else NEVER


TIMES = st.integers(0, 8_000)
# dispatchers of the largest fleet whose first calls a service that answers 8 a second answers in time
ANSWERED_IN_TIME = backoff.ANSWERABLE_SPREAD // backoff.CALL_INTERVAL


@given(st.sampled_from(FAILURES), TIMES, st.integers(1, 20_000), TIMES, st.integers(0, 99), st.booleans())
def test_a_change_is_known_within_the_grace_once_a_service_that_pushes_is_back(
    failure: str, down: int, lasts: int, change: int, seed: int, known: bool
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
        up = (down + lasts) * MS
        service = FakeService(loop, failure, down * MS, up, change * MS)
        patch.setattr(discovery, "connect", service.connect)
        arrived = arrival_time(service, loop, up + 10 * SECOND, None, seed, known)
        reached = max(service.change_at, up if service.change_at >= service.down else 0)
        # a watch that fell silent after its response began is only ended by _SILENCE_TIMEOUT
        silent = failure in ("hung", "never up", "silent after its head")
        assert arrived <= reached + (KNOWN_WITHIN - 2 * SECOND if silent else GRACE)
        # here the watch has ended before the service is back
        if failure in ("hung", "never up") and lasts > 3_000:
            assert arrived <= reached + GRACE
        # each attempt is at most a full list and a watch
        assert all(c - a >= 50 * MS for a, c in zip(service.calls, service.calls[2:], strict=False))


@given(
    st.sampled_from(FAILURES),
    st.integers(0, 20_000),
    st.integers(1, 20_000),
    st.integers(-8_000, 8_000),
    st.sampled_from([1, 10, 24, ANSWERED_IN_TIME]),
    st.sampled_from([1, 10, 40]),
    st.integers(0, 99),
)
def test_a_change_is_known_in_time_from_a_service_that_is_asked(
    failure: str, down: int, lasts: int, change: int, dispatchers: int, within: int, seed: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
        up = (down + lasts) * MS
        service = FakeService(loop, failure, down * MS, up, max(0, down + change) * MS)
        patch.setattr(discovery, "connect", service.connect)
        pace = ListCallBackoff(dispatchers, within * SECOND, random.Random(seed))
        arrived = arrival_time(service, loop, up + 40 * SECOND, pace, seed)
        # if it was down at the first call, it could not be reached before it was back
        missed = service.change_at >= service.down or service.down <= service.calls[0] < up
        reached = max(service.change_at, up if missed else 0)
        assert arrived < reached + KNOWN_WITHIN - SECOND // 2


@given(st.integers(1, 1_024), st.integers(0, 40), st.integers(0, 30), st.integers(0, 99))
def test_a_time_out_a_retry_delay_and_an_answer_fit_before_a_change_counts_as_known(
    dispatchers: int, within: int, failures: int, seed: int
) -> None:
    pace = ListCallBackoff(dispatchers, within * SECOND, random.Random(seed))
    first = pace.first_delay() if dispatchers <= ANSWERED_IN_TIME else 0
    pauses = [pace.retry_delay() for _ in range(failures + 1)]
    answer_comes = 1 * SECOND
    lost = max(discovery._SILENCE_TIMEOUT, discovery._RESPONSE_TIMEOUT)
    assert all(lost + pause + answer_comes < KNOWN_WITHIN for pause in pauses)
    # the first call may be refused as well
    assert first + pauses[0] <= KNOWN_WITHIN - SECOND // 2
    assert min(pauses) >= 250 * MS


@given(st.integers(40, 1_024), st.integers(1, 40), st.integers(0, 8), st.integers(0, 99))
def test_calls_of_a_fleet_are_spread_even_if_all_fail_at_once(
    dispatchers: int, within: int, failures: int, seed: int
) -> None:
    paces = [
        ListCallBackoff(dispatchers, within * SECOND, random.Random(seed * 2_000 + n))
        for n in range(dispatchers)
    ]
    longest = min(within * SECOND, 2 * SECOND)
    due = sorted([pace.retry_delay() for _ in range(failures + 1)][-1] for pace in paces)
    assert due[-1] - due[0] > longest // 2
    for start in range(0, longest, longest // 8):
        assert sum(start <= d < start + longest // 8 for d in due) < dispatchers * 0.45


def calls_when_a_service_is_back(dispatchers: int, guarded: bool) -> tuple[int, int]:
    """Simulates a fleet whose calls all failed at one instant, and a service that answers 8 calls a second,
    refuses after 2 s and still spends its time on what it refused. Returns the number of calls and of
    dispatchers answered within a minute. ``guarded``: the calls back off after late refusals."""
    paces = [ListCallBackoff(dispatchers, 10 * SECOND, random.Random(n)) for n in range(dispatchers)]
    due = [(pace.retry_delay(), n) for n, pace in enumerate(paces)]
    heapq.heapify(due)
    free_at = calls = answered = 0
    while due and due[0][0] < 60 * SECOND:
        now, n = heapq.heappop(due)
        calls += 1
        free_at = max(free_at, now) + 125 * MS
        if free_at - now <= 2 * SECOND:
            answered += 1
        else:
            heapq.heappush(due, (now + 2 * SECOND + paces[n].retry_delay(2 * SECOND if guarded else 0), n))
    return calls, answered


@pytest.mark.parametrize("dispatchers", [3, 24, 40, 48, 60])
def test_a_service_that_is_back_recovers_from_overload(dispatchers: int) -> None:
    calls, answered = calls_when_a_service_is_back(dispatchers, guarded=True)
    assert answered == dispatchers
    assert calls <= 3 * dispatchers


def test_without_backoff_after_late_refusals_the_overload_persists() -> None:
    calls, answered = calls_when_a_service_is_back(60, guarded=False)
    assert answered < 30
    assert calls > 400


def test_the_decision_logic_backs_off_after_a_late_refusal_only() -> None:
    def next_call(waited: int, listed: bool) -> int:
        world = DispatcherHarness(make_settings(asks_for_list=True, dispatchers=200), entries(2), seed=5)
        while not any(isinstance(action, api.Subscribe) for action in world.actions):
            world.advance(5 * MS)
        world.actions.clear()
        world.advance(waited)
        if listed:
            world.update_list(api.ListKind.CHANGES, ())
            world.advance(waited)
        world.update_list(api.ListKind.LOST, ())
        lost = world.now
        while not any(isinstance(action, api.Subscribe) for action in world.actions):
            world.advance(5 * MS)
        return world.now - lost

    assert next_call(2 * SECOND, listed=False) > 2_100 * MS
    for waited, listed in ((0, False), (discovery._RESPONSE_TIMEOUT, False), (2 * SECOND, True)):
        assert next_call(waited, listed) <= backoff.RETRY_LIMIT + 210 * MS
