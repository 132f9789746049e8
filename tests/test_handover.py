"""Replacing the process: two dispatchers at one address in one thread, and what passes between them."""

import errno
import itertools
import json
import os
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.daemon.dispatcher import Dispatcher
from ironbarrow.handover import records
from ironbarrow.handover.keeper import Keeper, Kept
from ironbarrow.handover.records import Record
from ironbarrow.runtime.sockets import listen
from tests.scenario import Harness, answer, call_back, job

ACCEPTED = answer(202)


class Pair(Harness):
    """An old process and, once it is started, the one that replaces it.

    ``new`` starts it; ``c*`` then still talk to the old one and ``n*`` to the new one.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(admin=("127.0.0.1", 0), folder=folder)
        self.new: Dispatcher | None = None

    def step(self, line: str) -> None:
        if line == "new":
            # of its own address here, so that the scenario says who hears what
            self.new = Dispatcher(self.config, listen(("127.0.0.1", 0)))
            assert self.new._operations.is_ready()  # whoever has seen this may stop the old one at once
        elif line == "again":
            # the new one is replaced in its turn; it is the old one from here on
            self.run_until("old one gone", lambda: self.dispatcher.loop.stopped)
            assert self.new is not None
            self.dispatcher.close()
            self.dispatcher, self.address = self.new, self.new.listener.getsockname()
            self.new = None
            self.peers = {name: peer for name, peer in self.peers.items() if name[0] != "n"}
        elif line == "new dies":
            assert self.new is not None
            self.new.close()
            self.new = None
        else:
            if line.startswith("n") and line.split()[0] not in self.peers:
                assert self.new is not None
                old, self.address = self.address, self.new.listener.getsockname()
                super().step(line)
                self.address = old
            else:
                super().step(line)

    def run_for(self, seconds: float) -> None:
        for part in itertools.repeat(seconds / 4, 4):
            super().run_for(part)
            if self.new is not None:
                for _ in range(4):
                    self.new.loop.call_at(self.new.loop.now(), lambda: None)
                    self.new.loop.run_once()
                for peer in self.peers.values():
                    peer.receive()

    def close(self) -> None:
        super().close()
        if self.new is not None:
            self.new.close()


BOOKED = f"""c1 send {job("j1", "book/x", more="Idempotency-Key: 6d18-fb" + chr(92) + "r" + chr(92) + "n")}
        p1 expect X-Request-ID: j1
        p1 send {ACCEPTED}
        wait 50"""
RETURNED = f"""p1 close
        n1 send {call_back("returned")}
        n1 expect HTTP/1.1 204
        p2 expect X-Request-ID: j1.*Idempotency-Key: 6d18-fb"""
PLAYS = {
    "a call-back that reaches the new process ends the old one's job": f"""
        {BOOKED}
        new
        n1 send {call_back("done", result="out")}
        n1 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*out$
        """,
    "a booking that is out outlives the old process": f"""
        {BOOKED}
        new
        stop
        exits
        n1 send {call_back("done", result="out")}
        n1 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*Connection: close.*out$
        """,
    "a booking that may have run is not run again": f"""
        {BOOKED}
        new
        stop
        exits
        n1 send {call_back("lost")}
        n1 expect HTTP/1.1 204
        c1 expect HTTP/1.1 500
        """,
    "a booking that never ran is taken anew by the new process": f"""
        {BOOKED}
        new
        stop
        exits
        {RETURNED}
        """,
    "what still comes to the old process is served": f"""
        new
        stop
        c1 send {job("j1")}
        p1 expect X-Request-ID: j1
        p1 send {ACCEPTED}
        n1 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        exits
        """,
    "two upgrades in a row: what is kept passes on with its attempts": f"""
        {BOOKED}
        new
        stop
        again
        new
        stop
        exits
        {RETURNED}
        p2 send {ACCEPTED}
        n1 send {call_back("done", source="p2", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        """,
    "what was taken anew passes on as well": f"""
        {BOOKED}
        new
        stop
        wait 100
        {RETURNED}
        p2 send {ACCEPTED}
        wait 50
        again
        new
        stop
        exits
        n1 send {call_back("done", source="p2", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        """,
    "the new process dies: the old one goes on": f"""
        {BOOKED}
        new
        new dies
        stop
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        exits
        """,
}


# What crosses a hand-over while calls fail, each one a way to run a booking twice

COPIES = {
    # the 204 to the first one was lost, so the worker tells it again
    "a copy of the call-back that ended the attempt before": f"""
        {BOOKED}
        new
        stop
        exits
        n1 send {call_back("returned")}
        n1 expect HTTP/1.1 204
        p2 expect X-Request-ID: j1
        p2 send {ACCEPTED}
        n2 send {call_back("returned")}
        n2 expect HTTP/1.1 204
        c1 silent 200
        n3 send {call_back("done", source="p2", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        """,
}

# Who is told of the start of a booking that its worker then hands back
STARTS = {
    "the new process": f"""{BOOKED}
        new
        stop
        exits
        n1 send {call_back("started")}
        n1 expect HTTP/1.1 204""",
    "the old process": f"""{BOOKED}
        c2 send {call_back("started")}
        c2 expect HTTP/1.1 204
        new
        stop
        exits""",
}


@pytest.mark.parametrize("name", COPIES)
def test_a_booking_handed_over_is_not_run_twice(tmp_path: Path, name: str) -> None:
    """Guards against a booking sent again on a call-back that is no proof of its last attempt (bcef66)."""
    Pair(tmp_path).run(COPIES[name])


@pytest.mark.parametrize("name", STARTS)
def test_a_booking_that_has_started_is_not_sent_again_when_handed_back(tmp_path: Path, name: str) -> None:
    """Guards against a hand-over that forgets a start (bcef66)."""
    pair = Pair(tmp_path)
    for line in STARTS[name].splitlines():
        pair.step(line.strip())
    pair.step(f"n2 send {call_back('returned')}")
    pair.step("c1 expect HTTP/1.1 500")
    assert pair.peers["p2"].sock is None
    pair.close()


@pytest.mark.parametrize("name", PLAYS)
def test_an_old_process_and_its_successor(tmp_path: Path, name: str) -> None:
    Pair(tmp_path).run(PLAYS[name])
    assert not list(tmp_path.glob("ironbarrow-*.[0-9]*"))


def test_without_a_folder_it_serves_and_says_what_will_not_last(tmp_path: Path) -> None:
    for folder in (None, tmp_path / "missing"):
        played = Harness(admin=("127.0.0.1", 0), folder=folder)
        assert played.dispatcher._upgrade is None
        played.run(f"c1 send {job()}\np1 expect X-Request-ID: j1")


RECORD = Record("j1", "map", "POST", "/map", b"\x00in", "text/x", 1_000, 1, "p1")


def test_a_job_comes_out_of_its_message_as_it_went_in() -> None:
    assert records.parse(records.job_message(RECORD))["job"] == RECORD


@pytest.mark.parametrize(
    "change",
    [
        {"version": 2},
        {"kind": "other"},
        {"job": None},
        {"job": {"id": "x"}},
        {"job": {"body": "?"}},
        {"job": {"time_left": 0}},
        {"job": {"more": 1}},
    ],
)
def test_what_is_no_message_of_this_version_is_refused(change: dict[str, Any]) -> None:
    found = json.loads(records.job_message(RECORD))
    inner = change.get("job")
    found |= change if not isinstance(inner, dict) or "id" in inner else {"job": found["job"] | inner}
    with pytest.raises(records.RecordError):
        records.parse(json.dumps(found).encode())


@pytest.mark.parametrize("safe", [True, False])
@pytest.mark.parametrize("attempts", [1, 3])
@pytest.mark.parametrize("may_have_run", [True, False])
@pytest.mark.parametrize("state", ["done", "returned", "failed", "lost", None])
def test_a_kept_job_ends_once_and_as_the_rules_allow(
    safe: bool, attempts: int, may_have_run: bool, state: str | None
) -> None:
    ends: list[Answer | Record] = []
    fields = {name: getattr(RECORD, name) for name in Record.__slots__}
    record = Record(**fields | {"attempts": attempts, "may_have_run": may_have_run})
    keeper = Keeper(3, 200)
    keeper.keep(Kept(record, safe, 1_000, ends.append, ends.append), 0)
    assert not keeper.called_back("j1", "p2", "done", b"", 1)
    assert keeper.called_back("j1", "p1", "started", b"", 1)
    for _ in range(2):
        if state is not None:
            keeper.called_back("j1", "p1", state, b"out", 2)
        keeper.run_out(1_000)
    (end,) = ends
    if state == "done":
        assert end == Answer(Verdict.SERVED, b"out")
    elif isinstance(end, Record):
        assert attempts < 3 and state is not None and (safe or (state == "returned" and not may_have_run))
    elif end.verdict is Verdict.REFUSED:
        assert safe or (state == "returned" and not may_have_run)
    else:
        assert not safe


def test_a_call_back_that_comes_before_its_job_counts() -> None:
    ends: list[Any] = []
    keeper = Keeper(3, 0)
    assert not keeper.called_back("j1", "p1", "done", b"out", 0)
    keeper.keep(Kept(RECORD, False, 1_000, ends.append, ends.append), 1)
    assert ends == [Answer(Verdict.SERVED, b"out")]


class FailingSocket:
    """A channel's socket whose calls fail with the errors in ``errors``, in turn, and then go well."""

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self._sock, self.errors = sock, list(errors)

    def sendmsg(self, *args: Any) -> int:
        self._fail()
        return self._sock.sendmsg(*args)

    def sendto(self, *args: Any) -> int:
        self._fail()
        return self._sock.sendto(*args)

    def recvmsg(self, *args: Any) -> Any:
        self._fail()
        return self._sock.recvmsg(*args)

    def _fail(self) -> None:
        if self.errors:
            raise OSError(self.errors.pop(0), "for a moment")

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_a_message_between_processes_outlasts_sends_that_fail(tmp_path: Path) -> None:
    """Guards against a call-back that one process has answered and the other never hears of (bcef66)."""
    pair = Pair(tmp_path)
    for line in [line.strip() for line in BOOKED.splitlines()]:
        pair.step(line)
    for line in ("new", "stop", "exits"):
        pair.step(line)
    again = Dispatcher(pair.config, listen(("127.0.0.1", 0)))
    channel = again._upgrade._channel
    channel._sock = FailingSocket(channel._sock, errno.ENOBUFS, errno.ENOMEM, errno.ENOBUFS)
    again._upgrade.stray({"id": "j1", "from": "p1", "state": "done", "result": "out"})

    def is_sent() -> bool:
        again.loop.run_once(wait=False)
        return not channel._waiting

    pair.run_until("sent after all", is_sent)
    assert not channel._sock.errors
    pair.step("c1 expect HTTP/1.1 200 .*out$")
    again.close()
    pair.close()


class WithoutDescriptors:
    """A channel's socket that loses the descriptors of the first ``lost`` messages that bring one."""

    def __init__(self, sock: socket.socket, lost: int) -> None:
        self._sock, self.lost = sock, lost

    def recvmsg(self, *args: Any) -> Any:
        data, ancillary, flags, sender = self._sock.recvmsg(*args)
        if ancillary and self.lost:
            self.lost -= 1
            for _, _, raw in ancillary:
                os.close(struct.unpack("i", raw[:4])[0])
            return data, [], flags | socket.MSG_CTRUNC, sender
        return data, ancillary, flags, sender

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def booked_beside_a_new_process(folder: Path) -> tuple[Pair, Any]:
    """An old process with a booking at p1, and the channel of the new process beside it."""
    pair = Pair(folder)
    for line in [line.strip() for line in BOOKED.splitlines()]:
        pair.step(line)
    pair.step("new")
    assert pair.new is not None
    return pair, pair.new._upgrade._channel


@pytest.mark.parametrize("state", ["done", "returned"])
def test_a_job_that_comes_without_its_connection_stays_with_the_old_process(
    tmp_path: Path, state: str
) -> None:
    """Guards against a job that neither process has, where the new one lacked a descriptor (bcef66)."""
    pair, channel = booked_beside_a_new_process(tmp_path)
    channel._sock = WithoutDescriptors(channel._sock, 2)
    for line in ("stop", "wait 100", f"n1 send {call_back(state, result='out')}", "n1 expect 204"):
        pair.step(line)
    if state == "returned":
        for line in ("p2 expect X-Request-ID: j1", f"p2 send {ACCEPTED}"):
            pair.step(line)
        pair.step(f"n2 send {call_back('done', source='p2', result='out')}")
    for line in ("c1 expect HTTP/1.1 200 .*out$", "exits"):
        pair.step(line)
    assert not channel._sock.lost
    pair.close()


def test_the_channel_outlasts_reads_that_fail(tmp_path: Path) -> None:
    """Guards against a process that is deaf to its neighbour after one failed read (bcef66)."""
    pair, channel = booked_beside_a_new_process(tmp_path)
    channel._sock = FailingSocket(channel._sock, errno.ENOMEM, errno.EIO)
    for line in ("stop", "exits", f"n1 send {call_back('done', result='out')}", "c1 expect 200 .*out$"):
        pair.step(line)
    pair.close()


def test_descriptors_of_a_foreign_message_are_closed(tmp_path: Path) -> None:
    played = Harness(admin=("127.0.0.1", 0), folder=tmp_path)
    here, there = socket.socketpair()
    sender = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    sender.connect(played.dispatcher._upgrade._channel.path)
    socket.send_fds(sender, [b"{"], [there.fileno()])
    there.close()
    played.run_for(0.05)
    assert here.recv(1) == b""
    here.close()
    sender.close()
    played.close()
