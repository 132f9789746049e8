"""The list of workers and the watch on it: orders of bytes on sockets, limits and paces in virtual time."""

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
from tests.scenario import SETTINGS, Stage, answer, call_back, job
from tests.virtual import VirtualLoop, wait
from tests.world import World, entries, make_settings

ACCEPTED = answer(202)
TOLD = 6 * SECOND  # after this a change counts as told
GRACE = 1_050 * MS  # after this nothing new may go to a worker that was told to drain
NEVER = 1 << 62
READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"


def watched(stage: Stage, then: str) -> None:
    stage.play(
        "d expect GET /api/targets\\?follow=1&since=41 HTTP\n"
        "d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n\n" + then
    )


def escaped(text: str) -> str:
    return text.replace("\r", "\\r").replace("\n", "\\n")


@pytest.mark.parametrize("status", ["draining", "removed", "in a state nobody knows"])
def test_a_worker_that_is_not_up_gets_nothing_new(status: str) -> None:
    stage = Stage()
    news = escaped(stage.news(stage.entry("p1", status)))
    watched(stage, f"d send {news}\nwait 50\nc1 send {job()}\np2 expect in$")


def test_a_bad_discovery_entry_does_not_hide_the_others() -> None:
    stage = Stage()
    bad = [{"name": "x"}, {"name": 7, "status": "up"}, {"name": "y", "status": "up", "address": "nowhere"}]
    news = escaped(stage.news(*bad, stage.entry("p1", "removed")))
    watched(stage, f"d send {news}\nwait 50\nc1 send {job()}\np2 expect in$")


def test_the_watch_is_taken_up_again_where_it_ended() -> None:
    stage = Stage()
    news = escaped(stage.news(stage.entry("p1", "draining"), index=57))
    watched(stage, f"d send {news}\nwait 50\nd close\nd expect follow=1&since=57")


def test_a_reload_moves_to_the_other_discovery_service_and_drops_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # danger: until the new one has told something, the list, the old one's news and jobs must stay
    monkeypatch.setattr(discovery, "_PUSHED_ANSWER_LIMIT", 20 * SECOND)
    stage = Stage()
    draining = escaped(stage.news(stage.entry("p1", "draining"), index=57))
    later = stage.entry("p1") | {"since_ms": 1_000}  # a process that is not the one told of
    full = escaped(stage.news(later, stage.entry("p2", "draining"), index=3, whole=True))
    body = full.split("\\r\\n")[1]
    watched(
        stage,
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
        c1 send {job("j3")}
        p1 expect : j3
        d2 close
        d2 expect follow=1&since=3 HTTP""",
    )


def test_a_discovery_service_that_is_left_is_not_asked_again_when_its_connection_ends() -> None:
    stage = Stage()
    for line in ("d expect GET", "reload d2", "d close", "d2 expect GET /api/targets HTTP", "wait 400"):
        stage.step(line)
    assert stage.peers["d"].sock is None
    stage.close()


def test_a_discovery_service_that_sends_nonsense_is_asked_for_the_whole_list() -> None:
    watched(Stage(), "d send 5\\r\\nnope\\n\\r\\n\nd ended\nd close\nd expect GET /api/targets HTTP")


def test_a_discovery_service_that_refuses_is_asked_for_the_changes_alone() -> None:
    # danger: after each refusal a whole list, many times as dear, keeps a busy discovery service from
    # answering
    watched(
        Stage(),
        f"d ended\nd close\nd expect follow=1&since=41\nd send {answer(503)}\nd ended\nd close\n"
        "d expect ^GET /api/targets.follow=1&since=41",
    )


def test_a_discovery_service_that_must_be_asked_is_called_when_the_decisions_say() -> None:
    conf = {**SETTINGS, "discovery": "ask"}
    stage = Stage(settings=read_settings(conf))
    for line in ("wait 20", f"c1 send {READY}", "c1 expect 200"):
        stage.step(line)
    assert stage.peers["d"].sock is None  # the first call is somewhere in the first second
    asked = "d expect ^GET /api/targets.follow=1&since=41"
    stage.play(f"{asked}\nd send {answer(503)}\nd ended\nd close\n{asked}")


def test_a_silent_watch_is_left_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: a frozen discovery service keeps its connection open and says nothing
    monkeypatch.setattr(discovery, "_SILENCE_LIMIT", 200 * MS)
    watched(Stage(), "d ended\nd close\nd expect follow=1&since=41")


# Orders of bytes on a watch that is open at version 41. Each: the pieces in which they come, whether p1 still
# gets jobs, and the call that follows, at once or, for "", once the connection has ended.


def entry(name: str = "p1", status: Any = "draining", **more: Any) -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:1", "zone": "a", "status": status} | more


def told(*entries: dict[str, Any], index: Any = 42, indent: int | None = None, whole: bool = False) -> str:
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}, indent=indent)


def chunks(*texts: str) -> list[str]:
    return [f"{len(text):x}\r\n{text}\r\n" for text in texts]


INDENTED = told(entry(), indent=2) + "\n"
WHOLE_LIST, CHANGES = "^GET /api/targets HTTP", "^GET /api/targets.follow=1&since="
ORDERS: dict[str, tuple[list[str], bool, str]] = {
    "indented": (chunks(INDENTED), False, f"{CHANGES}42"),
    "indented by nothing": (chunks(told(entry(), indent=0)), False, f"{CHANGES}42"),
    "a line a chunk": (chunks(*INDENTED.splitlines(keepends=True)), False, f"{CHANGES}42"),
    "a byte a chunk, five bytes a piece": (["".join(chunks(*INDENTED))], False, f"{CHANGES}42"),
    "a chunk that does not end": ([f"{9_999:x}\r\n{INDENTED}"], False, f"{CHANGES}42"),
    "no line end": (chunks(told(entry())), False, f"{CHANGES}42"),
    "two objects in a chunk": (
        chunks(told(entry()) + "\n" + told(entry("p9"), index=43) + "\n"),
        False,
        f"{CHANGES}43",
    ),
    "two objects and a half on a line": (
        chunks(told(entry()) + told(entry("p9"), index=43) + '{"index":44,"endp'),
        False,
        f"{CHANGES}43",
    ),
    "braces and quotes in a name": (
        chunks(told(entry('}]}{"\\'), entry()) + "\n", "\n"),
        False,
        f"{CHANGES}42",
    ),
    "the same worker twice: the last word counts": (
        chunks(told(entry(status="up"), entry()) + "\n"),
        False,
        f"{CHANGES}42",
    ),
    "no entries": (chunks(told() + "\n"), True, f"{CHANGES}42"),
    "a whole list without entries": (chunks(told(whole=True) + "\n"), False, f"{CHANGES}42"),
    "a drain without an address": (
        chunks(told({"name": "p1", "status": "draining"}) + "\n"),
        False,
        f"{CHANGES}42",
    ),
    "a drain with nonsense for a weight": (chunks(told(entry(weight="x")) + "\n"), False, f"{CHANGES}42"),
    "a status that is no text": (chunks(told(entry(status=["up"])) + "\n"), False, f"{CHANGES}42"),
    "a weight without end": (chunks(told(entry(status="up", weight=1e999)) + "\n"), True, f"{CHANGES}42"),
    "true for a version": (chunks(told(entry(), index=True) + "\n"), False, f"{CHANGES}41"),
    "text for a version": (chunks(told(entry(), index="57") + "\n"), False, f"{CHANGES}41"),
    "a version below 0": (chunks(told(entry(), index=-1) + "\n"), False, f"{CHANGES}41"),
    # danger: what was told later must not be undone by what was true before
    "a version that goes back": (chunks(told(entry(), index=40) + "\n"), False, WHOLE_LIST),
    "a version that goes back to up": (
        chunks(told(entry()) + "\n" + told(entry(status="up"), index=40) + "\n"),
        False,
        WHOLE_LIST,
    ),
    "a whole list of an older version": (
        chunks(told(entry(), index=7, whole=True) + "\n"),
        False,
        f"{CHANGES}7",
    ),
    "an object that breaks off, and the next": (
        chunks(told(entry("p9"))[:60] + "\n", told(entry()) + "\n"),
        True,
        WHOLE_LIST,
    ),
    "an object that breaks off, and empty lines": (
        chunks(told(entry())[:60] + "\n", *"\n" * 60),
        True,
        f"{CHANGES}41",
    ),
    "a list": (chunks("[1]\n"), True, WHOLE_LIST),
    "an end without a start": (chunks("}\n"), True, WHOLE_LIST),
    "brackets crossed": (chunks('{"endpoints":[}]\n'), True, WHOLE_LIST),
    "a text without end": (chunks('{"index":"' + "x" * 20_000), True, WHOLE_LIST),
    "bytes that are no text": (chunks('{"index":"\xff\xfe"}\n'), True, WHOLE_LIST),
    "an end in the middle": ([*chunks(told(entry())[:60]), "0\r\n\r\n"], True, f"{CHANGES}41"),
    "bytes that are no chunk": (["what?\r\n"], True, f"{CHANGES}41"),
}


@pytest.mark.parametrize("name", ORDERS)
def test_an_order_of_bytes_on_the_watch(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    pieces, stays, call = ORDERS[name]
    if "empty lines" in name:
        monkeypatch.setattr(discovery, "_SILENCE_LIMIT", 300 * MS)
    if "a byte" in name:
        text = "".join(pieces)
        pieces = [text[at : at + 5] for at in range(0, len(text), 5)]
    stage = Stage()
    peer = stage.peers["d"]
    try:
        stage.step("d expect follow=1&since=41 HTTP")
        stage.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
        for piece in pieces:
            assert peer.sock is not None
            if not peer.over:
                peer.sock.sendall(piece.encode("latin-1"))
            stage.pass_time(0.01 if "empty" in name else 0.002 if "a byte" in name else 0.03)
        assert stage.dispatcher.host.may_send_to("p1") == stays
        if peer.over:
            stage.step("d close")
        elif call == WHOLE_LIST:
            stage.step("d ended")
            stage.step("d close")
        else:
            stage.step("d close")
        stage.step(f"d expect {call}")
    finally:
        stage.close()


@pytest.mark.parametrize(
    "said",
    [
        "200 X\\r\\nContent-Length: 0\\r\\n",
        "200 X\\r\\nContent-Length: 4\\r\\n\\r\\n[{}]",
        "200 X\\r\\nContent-Length: 9\\r\\n\\r\\n{",
        "302 X\\r\\nLocation: /\\r\\nContent-Length: 0\\r\\n",
        "204 X\\r\\n",
        "500 X\\r\\nContent-Length: 0\\r\\n",
    ],
)
def test_a_whole_list_that_does_not_come_is_asked_for_again(
    said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "_SILENCE_LIMIT", 300 * MS)
    stage = Stage(known=False)
    body = told(stage.entry("p1"), whole=True, indent=1).replace("\n", "\\n")
    size = len(body.replace("\\n", "\n"))
    stage.play(
        f"""d expect {WHOLE_LIST}
        d send HTTP/1.1 {said}\\r\\n
        d ended
        d close
        d expect {WHOLE_LIST}
        d send HTTP/1.1 200 X\\r\\nContent-Length: {size}\\r\\n\\r\\n{body}
        d ended
        c1 send {job()}
        p1 expect in$"""
    )


def test_a_worker_is_called_where_the_discovery_service_has_last_said() -> None:
    stage = Stage()
    moved = stage.entry("p1") | {"address": stage.names["$p2"]}
    watched(stage, f"d send {escaped(stage.news(moved))}\nwait 50\nc1 send {job()}\np2 expect in$")


def test_a_list_on_which_the_decisions_fail_is_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: the watch ended with the failure, and nothing was told any more
    stage = Stage()
    real = Dispatcher.handle
    fails = iter((True,))

    def handle(self: Dispatcher, now: int, events: list[api.Event]) -> list[api.Action]:
        if any(isinstance(event, api.WorkerList) for event in events) and next(fails, False):
            raise ZeroDivisionError
        return real(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", handle)
    drains = escaped(stage.news(stage.entry("p1", "draining")))
    watched(stage, f"d send {drains}\nd ended\nd close\nd expect {WHOLE_LIST}")


def test_without_a_free_descriptor_the_watch_takes_its_spare_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: idle clients and calls had them all, and no list came until one of them ended
    stage = Stage()
    real = sockets.stream_socket

    def none_free(address: sockets.Address) -> socket.socket:
        if stage.dispatcher.discovery._spare is not None:
            raise OSError(24, "Too many open files")
        return real(address)

    monkeypatch.setattr(sockets, "stream_socket", none_free)
    again = "d close\nd expect follow=1&since=41 HTTP\n"
    watched(stage, again + again)


# Two discovery services at once


def stage_moved(stage: Stage, *lines: str) -> None:
    stage.step("d expect follow=1&since=41 HTTP")
    stage.step("d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1\\r\\n\\n\\r\\n")
    for line in lines:
        stage.step(line)


def whole(stage: Stage, *entries: dict[str, Any], index: int = 3) -> str:
    body = told(*entries, index=index, whole=True)
    return f"HTTP/1.1 200 X\\r\\nContent-Length: {len(body)}\\r\\n\\r\\n{body}"


@pytest.mark.parametrize("old", ["draining", "removed", "not in its whole list"])
def test_a_new_discovery_service_that_is_behind_does_not_undo_a_drain(
    old: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # danger: both are fed from one truth, at different speeds
    monkeypatch.setattr(discovery, "_PUSHED_ANSWER_LIMIT", 20 * SECOND)
    monkeypatch.setattr(discovery, "_SETTLED", 1_500 * MS)
    stage = Stage()
    if old.startswith("not"):
        news = stage.news(stage.entry("p2"), index=57, whole=True)
    else:
        news = stage.news(stage.entry("p1", old), index=57)
    may = stage.dispatcher.host.may_send_to
    try:
        stage_moved(
            stage,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            f"d send {escaped(news)}",
            "wait 50",
            f"d2 send {whole(stage, stage.entry('p1'), stage.entry('p2'))}",
            "d ended",
        )
        assert not may("p1") and may("p2")
        stage.until("p1 is up again, once the new one had time to tell", lambda: may("p1"))
    finally:
        stage.close()


def test_the_new_discovery_service_has_the_last_word_on_a_drain_of_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "_PUSHED_ANSWER_LIMIT", 20 * SECOND)
    monkeypatch.setattr(discovery, "_SETTLED", 400 * MS)
    stage = Stage()
    may = stage.dispatcher.host.may_send_to
    try:
        stage_moved(
            stage,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            f"d send {escaped(stage.news(stage.entry('p1', 'draining'), index=57))}",
            "wait 50",
            f"d2 send {whole(stage, stage.entry('p1'), stage.entry('p2'))}",
            "d2 ended",
            "d2 close",
            "d2 expect follow=1&since=3",
            "d2 send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
            f"d2 send {escaped(stage.news(stage.entry('p1', 'draining'), index=4))}",
            "wait 800",
        )
        assert not may("p1") and may("p2")
        stage.step(f"d2 send {escaped(stage.news(stage.entry('p1'), index=5))}")
        stage.until("p1 is up", lambda: may("p1"), 5)
    finally:
        stage.close()


def test_there_and_back_the_first_discovery_service_is_followed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: asked for the whole list anew while its own watch went on, it was listened to twice, and the
    # list of the one that was left in between replaced its news
    monkeypatch.setattr(discovery, "_PUSHED_ANSWER_LIMIT", 20 * SECOND)
    stage = Stage()
    drains = escaped(stage.news(stage.entry("p1", "draining"), index=57))
    late = whole(stage, stage.entry("p1"), stage.entry("p2"))
    try:
        stage_moved(
            stage,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            "reload d",
            "d2 ended",
            f"d send {drains}",
            f"d2 send {late}",
            "wait 50",
        )
        assert not stage.dispatcher.host.may_send_to("p1")
        for line in ("d close", "d expect follow=1&since=57"):
            stage.step(line)
    finally:
        stage.close()


def test_of_two_reloads_in_a_row_the_last_one_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "_PUSHED_ANSWER_LIMIT", 20 * SECOND)
    stage = Stage(workers=3)  # p3 plays the third discovery service
    may = stage.dispatcher.host.may_send_to
    try:
        stage_moved(
            stage,
            "reload d2",
            "d2 expect GET /api/targets HTTP",
            "reload p3",
            "p3 expect GET /api/targets HTTP",
            "d2 ended",
            f"d2 send {whole(stage, stage.entry('p2'))}",
            f"d send {escaped(stage.news(stage.entry('p2', 'draining'), index=57))}",
            "wait 50",
        )
        assert may("p1") and not may("p2")
        for line in (f"p3 send {whole(stage, stage.entry('p2'), index=9)}", "d ended"):
            stage.step(line)
        assert not may("p1") and not may("p2")
    finally:
        stage.close()


def test_a_reload_while_the_list_is_out_takes_what_comes_first() -> None:
    stage = Stage(known=False)
    may = stage.dispatcher.host.may_send_to
    lines = (
        "d expect GET /api/targets HTTP",
        "reload d2",
        "d2 expect GET /api/targets HTTP",
        f"d send {whole(stage, stage.entry('p1'), index=57)}",
        "d ended",
        "d close",
        "d expect follow=1&since=57",
    )
    try:
        for line in lines:
            stage.step(line)
        assert may("p1")
        stage.step(f"d2 send {whole(stage, stage.entry('p2'))}")
        stage.step("d ended")
        assert may("p2") and not may("p1")
    finally:
        stage.close()


def test_a_fleet_told_to_move_does_not_ask_its_new_discovery_service_all_at_once() -> None:
    conf = {**SETTINGS, "discovery": "ask", "replicasOfMe": 200}
    stage = Stage(settings=read_settings(conf))
    try:
        for line in ("wait 20", "reload d2", "wait 200"):  # the earliest call is half a second later
            stage.step(line)
        assert stage.peers["d2"].sock is None
        began = stage.dispatcher.loop.now()
        stage.step(f"d2 expect {WHOLE_LIST}")
        assert stage.dispatcher.loop.now() - began < 4 * SECOND
    finally:
        stage.close()


# Objects out of a stream

TEXT = st.text(st.sampled_from('{}[]"\\\n ,:aé'), max_size=6)
VALUES = st.recursive(TEXT | st.integers() | st.none(), lambda some: st.lists(some, max_size=3), max_leaves=4)
OBJECTS = st.lists(st.dictionaries(TEXT, VALUES | st.dictionaries(TEXT, VALUES, max_size=2), max_size=3))


@given(OBJECTS, st.sampled_from([None, 0, 2]), st.sampled_from(["", "\n", "\n\n"]), st.integers(1, 20))
def test_objects_are_found_in_any_form_and_pieces(
    values: list[dict[str, Any]], indent: int | None, between: str, size: int
) -> None:
    data = between.join(json.dumps(value, indent=indent) for value in values).encode()
    objects = discovery._Objects()
    found = [o for at in range(0, len(data), size) for o in objects.feed(data[at : at + size])]
    assert [json.loads(one) for one in found] == values
    assert not objects.unfinished


@pytest.mark.parametrize("indent", [None, 2])
def test_what_is_looked_at_again_with_each_piece_does_not_grow_with_the_list(indent: int | None) -> None:
    data = told(*(entry(f"s-{n}") for n in range(2_000)), indent=indent).encode()
    objects, again = discovery._Objects(), 0
    for at in range(0, len(data), 100):
        again = max(again, len(objects._text) - objects._scanned)
        objects.feed(data[at : at + 100])
    assert not objects.unfinished
    assert again < 1_000


def test_an_object_too_large_ends_the_connection() -> None:
    objects, piece = discovery._Objects(), json.dumps([entry()]).encode()[1:-1] + b","
    with pytest.raises(ConnectionEndedError) as ended:
        objects.feed(b'{"endpoints":[')
        for _ in range(discovery._SIZE_LIMIT // len(piece) + 1):
            objects.feed(piece)
    assert ended.value.ending is Ending.TOO_LARGE


# Failures in virtual time


FAILS = (
    "refused",
    "no descriptor",
    "never up",
    "hung",
    "refused by an answer",
    "ended",
    "silent after its head",
    "nonsense",
)


class Agent:
    """A discovery service that fails in one way between two times, and has one change from ``change_at``
    on."""

    def __init__(self, loop: VirtualLoop, fails: str, down: int, up: int, change_at: int) -> None:
        self.loop, self.fails, self.down, self.up, self.change_at = loop, fails, down, up, change_at
        self.calls: list[int] = []
        self.open: list[AgentConnection] = []

    def failing(self) -> bool:
        return self.down <= self.loop.now() < self.up

    def connect(self, address: object, until: int) -> Coroutine["AgentConnection"]:
        self.calls.append(self.loop.now())
        yield from wait(self.loop.now())
        if self.failing() and self.fails == "refused":
            raise ConnectionEndedError(Ending.CONNECT_REFUSED)
        if self.failing() and self.fails == "no descriptor":
            raise ConnectionEndedError(Ending.FAILED_HERE)
        if self.failing() and self.fails == "never up":
            yield from wait(until)
            raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
        return AgentConnection(self, self.fails if self.failing() else "")


class AgentConnection:
    """Danger: a connection that failed once stays so, also when the discovery service is back."""

    def __init__(self, agent: Agent, fails: str) -> None:
        self.agent, self.fails, self.loop = agent, fails, agent.loop
        self.head = self.told = self.whole = False

    def close(self) -> None: ...

    def request_bytes(self, method: str, target: str, headers: object) -> bytes:
        self.whole = "follow" not in target
        return b""

    def write(self, data: bytes, until: int) -> Coroutine[None]:
        yield from wait(self.loop.now())

    def event(self, until: int) -> Coroutine[Any]:
        agent = self.agent
        yield from wait(self.loop.now())
        if not self.head:
            self.head = True
            if self.fails == "hung":
                yield from wait(until)
                raise ConnectionEndedError(Ending.STALLED)
            status = 503 if self.fails == "refused by an answer" else 200
            return h11.Response(status_code=status, headers=[])
        if not self.fails and agent.failing():
            self.fails = agent.fails  # an open watch
        if not self.fails:
            if not self.told and self.loop.now() >= agent.change_at:
                self.told = True
                return h11.Data(data=told(entry(), whole=self.whole).encode())
            if self.whole and not self.told:
                self.told = True
                return h11.Data(data=told(entry(status="up"), index=41, whole=True).encode())
            if self.whole:
                return h11.EndOfMessage()
            # the change, the next empty line, or the beginning of the failure
            times = [self.loop.now() + 2 * SECOND, agent.change_at, agent.down]
            due = min(t for t in times if t > self.loop.now())
            yield from wait(min(until, due))
            if until < due:
                raise ConnectionEndedError(Ending.STALLED)
            return h11.Data(data=b"\n")
        if self.fails in ("ended", "refused", "no descriptor", "refused by an answer"):
            raise ConnectionEndedError(Ending.RESET)
        if self.fails == "nonsense":
            self.fails = "ended"
            return h11.Data(data=b"nope\n")
        yield from wait(until)
        raise ConnectionEndedError(Ending.STALLED)


def told_at(
    agent: Agent, loop: VirtualLoop, until: int, pace: ListCallBackoff | None, seed: int, known: bool = True
) -> int:
    """When the discovery service's change arrives; ``pace``: it is asked for. Without a known list, as after
    a move, the whole list comes first."""
    found: list[int] = []

    def listed(news: api.WorkerList) -> None:
        if news.kind is api.ListKind.LOST:
            assert pace is not None
            loop.call_at(loop.now() + pace.retry_delay(), client.ask)
        elif any(e.state is api.WorkerState.DRAINING for e in news.entries):
            found.append(loop.now())
        elif pace is not None:
            pace.reset()

    client = discovery.Discovery(loop, ("d", 1), listed, on_request=pace is not None, seed=seed)  # type: ignore[arg-type]
    client.start(json.loads(told(entry(status="up"), index=41, whole=True)) if known else {})
    if pace is not None:
        loop.call_at(loop.now() + pace.first_delay(), client.ask)
    loop.run(until)
    return found[0] if found else NEVER


TIMES = st.integers(0, 8_000)
# of a larger fleet's first calls a service that answers 8 a second can't answer all in time
ANSWERED_IN_TIME = backoff.ANSWERABLE_SPREAD // backoff.CALL_INTERVAL


@given(st.sampled_from(FAILS), TIMES, st.integers(1, 20_000), TIMES, st.integers(0, 99), st.booleans())
def test_what_a_discovery_service_that_pushes_has_when_it_is_back_is_known_within_the_grace(
    fails: str, down: int, lasts: int, change: int, seed: int, known: bool
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
        up = (down + lasts) * MS
        agent = Agent(loop, fails, down * MS, up, change * MS)
        patch.setattr(discovery, "connect", agent.connect)
        arrived = told_at(agent, loop, up + 10 * SECOND, None, seed, known)
        reached = max(agent.change_at, up if agent.change_at >= agent.down else 0)
        # a watch that was open, or had its head, when it fell silent has the clock of silences
        silent = fails in ("hung", "never up", "silent after its head")
        assert arrived <= reached + (TOLD - 2 * SECOND if silent else GRACE)
        if fails in ("hung", "never up") and lasts > 3_000:  # nothing is left of the watch
            assert arrived <= reached + GRACE
        # each try is the whole list and a watch at most
        assert all(c - a >= 50 * MS for a, c in zip(agent.calls, agent.calls[2:], strict=False))


@given(
    st.sampled_from(FAILS),
    st.integers(0, 20_000),
    st.integers(1, 20_000),
    st.integers(-8_000, 8_000),
    st.sampled_from([1, 10, 24, ANSWERED_IN_TIME]),
    st.sampled_from([1, 10, 40]),
    st.integers(0, 99),
)
def test_what_a_discovery_service_that_is_asked_has_is_known_before_it_counts_as_told(
    fails: str, down: int, lasts: int, change: int, dispatchers: int, within: int, seed: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        loop = VirtualLoop()
        up = (down + lasts) * MS
        agent = Agent(loop, fails, down * MS, up, max(0, down + change) * MS)
        patch.setattr(discovery, "connect", agent.connect)
        pace = ListCallBackoff(dispatchers, within * SECOND, random.Random(seed))
        arrived = told_at(agent, loop, up + 40 * SECOND, pace, seed)
        # where it was down at the first call, it could not be reached before it was back
        missed = agent.change_at >= agent.down or agent.down <= agent.calls[0] < up
        reached = max(agent.change_at, up if missed else 0)
        assert arrived < reached + TOLD - SECOND // 2


@given(st.integers(1, 1_024), st.integers(0, 40), st.integers(0, 30), st.integers(0, 99))
def test_a_limit_a_pause_and_an_answer_fit_before_a_change_counts_as_told(
    dispatchers: int, within: int, failures: int, seed: int
) -> None:
    pace = ListCallBackoff(dispatchers, within * SECOND, random.Random(seed))
    first = pace.first_delay() if dispatchers <= ANSWERED_IN_TIME else 0
    pauses = [pace.retry_delay() for _ in range(failures + 1)]
    answer_comes = 1 * SECOND
    lost = max(discovery._SILENCE_LIMIT, discovery._ANSWER_LIMIT)
    assert all(lost + pause + answer_comes < TOLD for pause in pauses)
    # the first call may be refused, too
    assert first + pauses[0] <= TOLD - SECOND // 2
    assert min(pauses) >= 250 * MS


@given(st.integers(40, 1_024), st.integers(1, 40), st.integers(0, 8), st.integers(0, 99))
def test_the_calls_of_a_fleet_are_spread_also_where_all_fail_at_once(
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
    """Of a fleet whose calls all failed in one instant, to a service that answers 8 a second, refuses after
    2 s and serves what it refused all the same: the calls, and the dispatchers answered, within a minute."""
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
def test_a_service_that_is_back_is_not_jammed_for_ever(dispatchers: int) -> None:
    calls, answered = calls_when_a_service_is_back(dispatchers, guarded=True)
    assert answered == dispatchers
    assert calls <= 3 * dispatchers


def test_what_jams_it_is_the_call_after_one_that_was_refused_late() -> None:
    calls, answered = calls_when_a_service_is_back(60, guarded=False)
    assert answered < 30
    assert calls > 400


def test_the_decisions_tell_a_late_refusal_from_a_silence_and_a_lost_watch() -> None:
    def next_call(waited: int, listed: bool) -> int:
        world = World(make_settings(asks_for_list=True, dispatchers=200), entries(2), seed=5)
        while not any(isinstance(action, api.Subscribe) for action in world.actions):
            world.advance(5 * MS)
        world.actions.clear()
        world.advance(waited)
        if listed:
            world.listed(api.ListKind.CHANGES, ())
            world.advance(waited)
        world.listed(api.ListKind.LOST, ())
        lost = world.now
        while not any(isinstance(action, api.Subscribe) for action in world.actions):
            world.advance(5 * MS)
        return world.now - lost

    assert next_call(2 * SECOND, listed=False) > 2_100 * MS
    for waited, listed in ((0, False), (discovery._ANSWER_LIMIT, False), (2 * SECOND, True)):
        assert next_call(waited, listed) <= backoff.RETRY_LIMIT + 210 * MS
