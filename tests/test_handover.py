"""Hand-over between two dispatcher processes, here two dispatchers in one thread."""

import errno
import itertools
import json
import os
import socket
import struct
import time
from pathlib import Path
from typing import Any

import pytest

from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.daemon.dispatcher import Dispatcher
from ironbarrow.handover import records
from ironbarrow.handover.pending import PendingJob, PendingJobs
from ironbarrow.handover.records import Record
from ironbarrow.runtime.sockets import listen
from tests.scenario import Harness, answer, call_back, job

ACCEPTED = answer(202)
EARLIEST_SIGKILL_S = 3.7  # after SIGTERM, for deadlines of 3 s or more


class Pair(Harness):
    """An old process and, once it is started, the one that replaces it.

    ``new`` starts it; ``c*`` then still talk to the old one and ``n*`` to the new one.
    """

    def __init__(self, folder: Path, status: str = "up", **config: Any) -> None:
        """``status``: of the workers, in the list."""
        self.status = status
        super().__init__(admin=("127.0.0.1", 0), folder=folder, **config)
        self.new: Dispatcher | None = None

    def entry(self, name: str, status: str = "") -> dict[str, Any]:
        return super().entry(name, status or self.status)

    def step(self, line: str) -> None:
        if line == "new":
            # it has an address of its own here, so that the scenario says which process is addressed
            self.new = Dispatcher(self.config, listen(("127.0.0.1", 0)))
            assert self.new._operations.is_ready()  # once this is seen the old one may be stopped at once
        elif line == "again":
            # the new one is replaced in turn: from here on it is the old one
            self.run_until("old one gone", lambda: self.dispatcher.loop.stopped)
            assert self.new is not None
            self.dispatcher.close()
            self.dispatcher, self.address = self.new, self.new.listener.getsockname()
            self.new = None
            self.peers = {name: peer for name, peer in self.peers.items() if name[0] != "n"}
        elif line == "gone":
            # as "exits", and its channel and locks are closed, as at the end of a process
            self.run_until(line, lambda: self.dispatcher.loop.stopped)
            self.dispatcher._upgrade.close()
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
SCENARIOS = {
    "a call-back to the new process ends the old one's job": f"""
        {BOOKED}
        new
        n1 send {call_back("done", result="out")}
        n1 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*out$
        """,
    "a running booking survives the end of the old process": f"""
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
    "a booking that never ran is started again by the new process": f"""
        {BOOKED}
        new
        stop
        exits
        {RETURNED}
        """,
    "a job that still arrives at the old process is served": f"""
        new
        stop
        c1 send {job("j1")}
        p1 expect X-Request-ID: j1
        p1 send {ACCEPTED}
        n1 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        exits
        """,
    "two hand-overs in a row: a pending job keeps its attempts": f"""
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
    "a job started again is handed over as well": f"""
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
    "the new process dies: the old one continues": f"""
        {BOOKED}
        new
        new dies
        stop
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        exits
        """,
}


# Events during a hand-over with failing calls, each of which could run a booking twice

REPEATED_CALL_BACKS = {
    # the 204 to the first call-back was lost, so the worker repeats it
    "a repeated call-back of the attempt before": f"""
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

# The process that is told of the start of a booking that its worker then returns
REPORTED_STARTS = {
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


@pytest.mark.parametrize("name", REPEATED_CALL_BACKS)
def test_a_booking_handed_over_is_not_run_twice(tmp_path: Path, name: str) -> None:
    """Guards against a booking sent again because of a call-back for an earlier attempt (bcef66)."""
    Pair(tmp_path).run(REPEATED_CALL_BACKS[name])


@pytest.mark.parametrize("name", REPORTED_STARTS)
def test_a_booking_that_has_started_is_not_sent_again_when_returned(tmp_path: Path, name: str) -> None:
    """Guards against a hand-over that loses a reported start: the booking would run twice (bcef66)."""
    pair = Pair(tmp_path)
    for line in REPORTED_STARTS[name].splitlines():
        pair.step(line.strip())
    pair.step(f"n2 send {call_back('returned')}")
    pair.step("c1 expect HTTP/1.1 500")
    assert pair.peers["p2"].sock is None
    pair.close()


@pytest.mark.parametrize("name", SCENARIOS)
def test_an_old_process_and_its_successor(tmp_path: Path, name: str) -> None:
    Pair(tmp_path).run(SCENARIOS[name])
    assert not list(tmp_path.glob("ironbarrow-*.[0-9]*"))


def test_without_a_folder_it_serves_without_hand_over(tmp_path: Path) -> None:
    for folder in (None, tmp_path / "missing"):
        scenario = Harness(admin=("127.0.0.1", 0), folder=folder)
        assert scenario.dispatcher._upgrade is None
        scenario.run(f"c1 send {job()}\np1 expect X-Request-ID: j1")


RECORD = Record("j1", "map", "POST", "/map", b"\x00in", "text/x", 1_000, 1, "p1")


def test_a_job_message_decodes_to_the_encoded_job() -> None:
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
def test_an_invalid_message_raises_a_record_error(change: dict[str, Any]) -> None:
    message = json.loads(records.job_message(RECORD))
    job_change = change.get("job")
    message |= (
        change
        if not isinstance(job_change, dict) or "id" in job_change
        else {"job": message["job"] | job_change}
    )
    with pytest.raises(records.RecordError):
        records.parse(json.dumps(message).encode())


@pytest.mark.parametrize("safe", [True, False])
@pytest.mark.parametrize("attempts", [1, 3])
@pytest.mark.parametrize("may_have_run", [True, False])
@pytest.mark.parametrize("state", ["done", "returned", "failed", "lost", None])
def test_a_pending_job_ends_once_and_as_the_rules_allow(
    safe: bool, attempts: int, may_have_run: bool, state: str | None
) -> None:
    results: list[Answer | Record] = []
    fields = {name: getattr(RECORD, name) for name in Record.__slots__}
    record = Record(**fields | {"attempts": attempts, "may_have_run": may_have_run})
    pending = PendingJobs(3, 200)
    pending.add(PendingJob(record, safe, 1_000, results.append, results.append), 0)
    assert not pending.on_call_back("j1", "p2", "done", b"", 1)
    assert pending.on_call_back("j1", "p1", "started", b"", 1)
    for _ in range(2):
        if state is not None:
            pending.on_call_back("j1", "p1", state, b"out", 2)
        pending.expire(1_000)
    (result,) = results
    if state == "done":
        assert result == Answer(Verdict.SERVED, b"out")
    elif isinstance(result, Record):
        assert attempts < 3 and state is not None and (safe or (state == "returned" and not may_have_run))
    elif result.verdict is Verdict.REFUSED:
        assert safe or (state == "returned" and not may_have_run)
    else:
        assert not safe


def test_a_call_back_that_arrives_before_its_job_ends_it() -> None:
    results: list[Any] = []
    pending = PendingJobs(3, 0)
    assert not pending.on_call_back("j1", "p1", "done", b"out", 0)
    pending.add(PendingJob(RECORD, False, 1_000, results.append, results.append), 1)
    assert results == [Answer(Verdict.SERVED, b"out")]


class FailingSocket:
    """A channel's socket whose calls fail with ``errors`` in turn, and then succeed."""

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
            raise OSError(self.errors.pop(0), "temporary error of the test")

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_a_message_between_processes_survives_failed_sends(tmp_path: Path) -> None:
    """Guards against a call-back that one process confirms and never forwards to the other (bcef66)."""
    pair = Pair(tmp_path)
    for line in [line.strip() for line in BOOKED.splitlines()]:
        pair.step(line)
    for line in ("new", "stop", "exits"):
        pair.step(line)
    successor = Dispatcher(pair.config, listen(("127.0.0.1", 0)))
    channel = successor._upgrade._channel
    channel._sock = FailingSocket(channel._sock, errno.ENOBUFS, errno.ENOMEM, errno.ENOBUFS)
    successor._upgrade.on_unmatched_call_back({"id": "j1", "from": "p1", "state": "done", "result": "out"})

    def is_sent() -> bool:
        successor.loop.run_once(wait=False)
        return not channel._queue

    pair.run_until("sent at last", is_sent)
    assert not channel._sock.errors
    pair.step("c1 expect HTTP/1.1 200 .*out$")
    successor.close()
    pair.close()


class SocketLosingDescriptors:
    """A channel's socket that drops the descriptors of the first ``lost`` messages with one."""

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


def booking_with_a_new_process(folder: Path) -> tuple[Pair, Any]:
    """Returns an old process with a booking at p1, and the channel of the new process beside it."""
    pair = Pair(folder)
    for line in [line.strip() for line in BOOKED.splitlines()]:
        pair.step(line)
    pair.step("new")
    assert pair.new is not None
    return pair, pair.new._upgrade._channel


@pytest.mark.parametrize("state", ["done", "returned"])
def test_a_job_that_arrives_without_its_connection_stays_with_the_old_process(
    tmp_path: Path, state: str
) -> None:
    """Guards against a job that neither process has because the new one had no free descriptor (bcef66)."""
    pair, channel = booking_with_a_new_process(tmp_path)
    channel._sock = SocketLosingDescriptors(channel._sock, 2)
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


# Guards against a successor that reads no more messages, as it could not open a received connection.
def test_a_connection_that_cannot_be_opened_stays_with_the_old_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair, _ = booking_with_a_new_process(tmp_path)
    failures = iter((errno.ENOBUFS,))

    class SocketThatFailsOnce(socket.socket):
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            if kwargs.get("fileno") is not None and (error := next(failures, 0)):
                raise OSError(error, os.strerror(error))
            super().__init__(*args, **kwargs)

    monkeypatch.setattr("ironbarrow.handover.upgrade.socket.socket", SocketThatFailsOnce)
    for line in ("stop", "wait 100", f"n1 send {call_back('done', result='out')}", "n1 expect 204"):
        pair.step(line)
    for line in ("c1 expect HTTP/1.1 200 .*out$", "exits"):
        pair.step(line)
    assert next(failures, 0) == 0
    pair.close()


def test_the_channel_survives_failed_reads(tmp_path: Path) -> None:
    """Guards against a process that reads no more messages after one failed read (bcef66)."""
    pair, channel = booking_with_a_new_process(tmp_path)
    channel._sock = FailingSocket(channel._sock, errno.ENOMEM, errno.EIO)
    for line in ("stop", "exits", f"n1 send {call_back('done', result='out')}", "c1 expect 200 .*out$"):
        pair.step(line)
    pair.close()


def test_a_job_that_comes_after_the_stop_is_answered_where_the_successor_has_ended(tmp_path: Path) -> None:
    """Guards against a hand-over to a process that has ended: SIGKILL would find the job unanswered."""
    pair = Pair(tmp_path)
    for line in BOOKED.splitlines():
        pair.step(line.strip())
    for line in ("new", "new dies", "stop"):
        pair.step(line)
    stopped_at = time.monotonic()
    for line in ("wait 1000", f"c2 send {job('j2', 'book/x')}", "c2 expect HTTP/1.1 50[03]"):
        pair.step(line)
    assert time.monotonic() - stopped_at < EARLIEST_SIGKILL_S
    pair.close()


def test_the_old_process_ends_while_clients_keep_connecting(tmp_path: Path) -> None:
    """Guards against an old process that accepts connections until SIGKILL, which finds jobs unanswered."""
    pair = Pair(tmp_path, status="draining")  # jobs wait, and are handed over at once
    for line in ("new", "stop"):
        pair.step(line)
    stopped_at = time.monotonic()
    clients: list[str] = []
    prefix = "c"  # once the old process accepts no more connections, they reach the new one
    while not pair.dispatcher.loop.stopped:
        assert time.monotonic() - stopped_at < EARLIEST_SIGKILL_S
        name = f"{prefix}{len(clients)}"
        try:
            pair.step(f"{name} send {job(f'j-{name}', 'book/x')}")
            clients.append(name)
        except ConnectionRefusedError:
            prefix = "n"
        pair.run_for(0.05)
    assert {"c0", f"n{len(clients) - 1}"} <= set(clients)
    for name in clients:
        pair.step(f"{name} expect HTTP/1.1 503")
    pair.close()


def test_a_successor_whose_folder_cannot_be_read_at_first_is_announced_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hand-over checks that end for good at an error: the old process would never be told of
    its successor, and the booking would end with it."""
    pair = Pair(tmp_path)
    for line in BOOKED.splitlines():
        pair.step(line.strip())
    pair.new = Dispatcher(pair.config, listen(("127.0.0.1", 0)))
    monkeypatch.setattr(pair.new._upgrade._channel, "others", failing_listing)
    for _ in range(10):
        pair.run_for(0.01)
        assert not pair.new._operations.is_ready()
    monkeypatch.undo()
    pair.run_until("announced", pair.new._operations.is_ready)
    for line in ("stop", "exits", f"n1 send {call_back('done', result='out')}", "c1 expect 200 .*out$"):
        pair.step(line)
    pair.close()


def failing_listing() -> list[str]:
    raise OSError(errno.EIO, "error of the test")


def test_descriptors_of_an_invalid_message_are_closed(tmp_path: Path) -> None:
    scenario = Harness(admin=("127.0.0.1", 0), folder=tmp_path)
    own_end, sent_end = socket.socketpair()
    sender = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    sender.connect(scenario.dispatcher._upgrade._channel.path)
    socket.send_fds(sender, [b"{"], [sent_end.fileno()])
    sent_end.close()
    scenario.run_for(0.05)
    assert own_end.recv(1) == b""
    own_end.close()
    sender.close()
    scenario.close()
