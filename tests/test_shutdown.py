"""The order of the end: what comes in each of its moments, and signals in each of the program's.

Danger: what was taken and not answered at the end is lost. Each moment is forced: what comes in it is sent
while the loop stands still, or by the program itself in the very place.
"""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from heathway.settings import read_settings
from ironbarrow.daemon.dispatcher import ShutdownTimes
from ironbarrow.fronts.server import HttpServer
from ironbarrow.runtime.loop import MS, SECOND
from tests.scenario import SETTINGS, Harness, Peer, answer, call_back, job
from tests.test_config import ROOT, WITHOUT_DISCOVERY, wait_for_log, write_config

ACCEPTED = answer(202)
READY = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"


def paced(**times: int) -> Harness:
    stage = Harness()
    stage.dispatcher.shutdown_times = replace(
        stage.dispatcher.shutdown_times, **{name: ms * MS for name, ms in times.items()}
    )
    return stage


def served(job_id: str, worker: str = "p1", client: str = "c1", caller: str = "c9") -> str:
    return f"""
        {worker} expect : {job_id}.*in$
        {worker} send {ACCEPTED}
        {caller} send {call_back("done", job_id, worker, result="out")}
        {caller} expect HTTP/1.1 204
        {client} expect HTTP/1.1 200 .*Connection: close.*out$
        {client} ended
        {client} close
        {caller} close
        """


# each ends with the program's end; "closing" is the moment in which idle connections are closed
MOMENTS = {
    "a request in the buffer of a resting connection": f"""
        c1 send {READY}
        c1 expect 200 OK
        c1 send {job()}
        closing
        {served("j1")}""",
    "a request on a connection that is accepted and not read": f"""
        c1 silent 20
        c1 send {job()}
        closing
        {served("j1")}""",
    "a request on a connection in the listener's queue": f"""
        connects c1
        c1 send {job()}
        closing
        {served("j1")}""",
    # danger: read after the own side has ended and sent on, it would have no answer; unread, the client sends
    # it once more elsewhere
    "a request on a resting connection right after the closing": f"""
        c1 send {READY}
        c1 expect 200 OK
        closing
        c1 send {job()}
        c1 ended
        p1 silent 20
        p2 silent 20
        c1 close""",
    "half a request, and the rest": f"""
        c1 send {job()[:60]}
        wait 20
        closing
        wait 20
        c1 send {job()[60:]}
        {served("j1")}""",
    "half a request in the buffer of a resting connection, and the rest": f"""
        c1 send {READY}
        c1 expect 200 OK
        c1 send {job()[:60]}
        closing
        wait 20
        c1 send {job()[60:]}
        {served("j1")}""",
    "half a request, and never the rest": f"""
        c1 send {job()[:60]}
        wait 20
        closing
        c1 expect ^HTTP/1.1 408
        c1 ended
        c1 close""",
    # danger: the kernel has taken both, and the answer to the first must not end the second's connection
    "two requests at once": f"""
        c1 send {job("j1")}{job("j2")}
        closing
        p1 expect : j1.*in$
        p1 send {ACCEPTED}
        c9 send {call_back("done", "j1", result="first")}
        c9 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*first
        {served("j2", caller="c8")}""",
    "a connection that says nothing, accepted": """
        c1 silent 20
        closing
        c1 ended
        c1 close""",
    "a connection that says nothing, in the queue": """
        connects c1
        closing
        c1 ended
        c1 close""",
    "a client that is gone": f"""
        c1 send {READY}
        c1 expect 200 OK
        c1 close
        closing""",
    "a call-back on a connection of its own, after the closing": f"""
        c1 send {job()}
        wait 20
        closing
        wait 50
        {served("j1")}""",
    "a call-back on a connection that rested": f"""
        c9 send {READY}
        c9 expect 200 OK
        c1 send {job()}
        p1 expect : j1
        p1 send {ACCEPTED}
        wait 20
        closing
        c9 ended
        c9 close
        c9 send {call_back("done", result="out")}
        c9 expect HTTP/1.1 204
        c1 expect 200 .*out$
        c1 close
        c9 close""",
    "a call-back in the buffer of a connection that rested": f"""
        c9 send {READY}
        c9 expect 200 OK
        c1 send {job()}
        p1 expect : j1
        p1 send {ACCEPTED}
        wait 20
        c9 send {call_back("done", result="out")}
        closing
        c9 expect HTTP/1.1 204
        c1 expect 200 .*out$
        c1 close
        c9 close""",
    "a second order to stop": f"""
        c1 send {job()}
        wait 20
        closing
        stop
        {served("j1")}""",
    "a reload": f"""
        c1 send {job()}
        wait 20
        closing
        reload d2
        d2 expect GET /api/targets HTTP
        {served("j1")}""",
}


@pytest.mark.parametrize("name", MOMENTS)
def test_what_was_taken_before_the_closing_is_answered_before_the_end(name: str) -> None:
    stage = paced(idle_close_delay=60_000, answer_limit=120_000)
    try:
        stage.step("stop")
        for line in MOMENTS[name].strip().splitlines():
            word, _, peer = line.strip().partition(" ")
            if not word:
                continue
            if word == "closing":
                stage.dispatcher._close_idle()
            elif word == "connects":  # the loop stands still
                stage.peers[peer] = Peer(stage.address)
                stage.peers[peer].connect()
            else:
                stage.step(line.strip())
        stage.step("exits")
        assert stage.dispatcher.host.unanswered == 0
    finally:
        stage.close()


def test_stopping_finishes_what_was_taken_and_serves_what_still_comes() -> None:
    paced(idle_close_delay=500, answer_limit=60_000).run(
        f"""
        c1 send {job()}
        p1 expect in$
        p1 send {ACCEPTED}
        stop
        wait 50
        c3 send {job("j3")}
        p2 expect X-Request-ID: j3
        p2 send {ACCEPTED}
        wait 600
        c2 send {call_back("done", result="a")}
        c2 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*Connection: close.*a$
        c4 send {call_back("done", "j3", "p2", result="b")}
        c3 expect b$
        c1 close
        c2 close
        c3 close
        c4 close
        exits
        """
    )


def test_a_job_that_comes_while_stopping_is_answered_before_the_end() -> None:
    # danger: killed with it unanswered, the dispatcher loses a job that it took after the order to stop
    stage = paced(answer_limit=600)
    idle = f"c1 send {READY}\nc1 expect 200\nstop\nwait 50\nc1 silent 50\n"
    booking = f"c1 send {job(path='book/x', ms=25000)}\np1 expect in$\np1 send {ACCEPTED}\n"
    stage.run(f"{idle}{booking}c1 expect ^HTTP/1.1 500")


def test_who_connects_before_the_last_look_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = paced(idle_close_delay=0)
    real = HttpServer.has_connections
    sent = iter((f"c1 send {job()}",))

    def busy(self: HttpServer) -> bool:
        for step in sent:
            stage.step(step)
        assert real.fget is not None
        return bool(real.fget(self))

    monkeypatch.setattr(HttpServer, "has_connections", property(busy))
    stage.run(f"stop\n{served('j1').strip()}\nexits")


def test_who_connects_after_the_last_look_is_refused_and_not_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    # danger: taken in by the kernel and then reset, the request has no answer; refused, it goes elsewhere
    stage = paced(idle_close_delay=0)
    loop = stage.dispatcher.loop
    found: list[int] = []

    def connect() -> None:
        with socket.socket() as late:
            found.append(late.connect_ex(stage.address))

    real = loop.stop
    monkeypatch.setattr(loop, "stop", lambda: (connect(), real()))
    stage.run("stop\nexits")
    assert found == [111]


@pytest.mark.parametrize("part", ["the hand-over", "the closing", "the log"])
def test_a_part_that_fails_does_not_keep_the_program_from_its_end(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # danger: a second order to stop changes nothing, and SIGKILL finds what it may
    stage = paced(idle_close_delay=20)

    def fail(*args: Any, **more: Any) -> bool:
        raise BrokenPipeError

    if part == "the hand-over":
        stage.dispatcher._upgrade = SimpleNamespace(hand_over=fail, owed=0, handed_over=0, close=lambda: None)
    elif part == "the closing":
        monkeypatch.setattr(HttpServer, "close_idle", fail)
    else:
        monkeypatch.setattr("ironbarrow.daemon.dispatcher.log", SimpleNamespace(info=fail, error=fail))
    stage.dispatcher.loop.call_soon(stage.dispatcher.stop)
    stage.run("exits")


@pytest.mark.parametrize(
    ("deadlines", "still_coming", "last_answer"),
    [
        ((50,), 500, 600),
        ((500,), 500, 950),
        ((200, 1000), 600, 1200),
        ((2000,), 1100, 2200),
        ((3000,), 1500, 3200),
        ((500, 60_000), 1500, 3200),
    ],
)
def test_the_pace_of_the_end_follows_the_longest_deadline(
    deadlines: tuple[int, ...], still_coming: int, last_answer: int
) -> None:
    # danger: with short deadlines SIGKILL comes sooner, and what came just before it would have no answer
    made = SETTINGS["requestClasses"][0]
    classes = [{**made, "name": str(ms), "promise": ms * MS, "giveUp": ms * MS} for ms in deadlines]
    pace = ShutdownTimes.of(read_settings({**SETTINGS, "requestClasses": classes}))
    assert (pace.idle_close_delay, pace.answer_limit) == (still_coming * MS, last_answer * MS)
    killed = min(max(deadlines), 3000) * MS + 700 * MS
    assert 400 * MS < pace.idle_close_delay < pace.answer_limit <= killed - 150 * MS
    assert pace.leave_delay + pace.leave_timeout == pace.answer_limit
    assert 0 < pace.leave_timeout <= 700 * MS < SECOND


# The program, with real signals

SHORT = {
    **WITHOUT_DISCOVERY,
    "settings": {
        **SETTINGS,
        "requestClasses": [{**SETTINGS["requestClasses"][0], "promise": 400 * MS, "giveUp": 500 * MS}],
    },
}
_SERVE = "\nimport sys\nfrom ironbarrow.cli.serve import serve\nsys.exit(serve())\n"


@contextmanager
def program(tmp_path: Path, before: str = "", **more: Any) -> Iterator["subprocess.Popen[str]"]:
    """``serve`` after some lines that make a signal come in a certain moment."""
    process = subprocess.Popen(
        [sys.executable, "-c", "import os, signal\n" + before + _SERVE],
        cwd=ROOT,
        env={
            "PATH": os.environ["PATH"],
            "BALANCER_DISCOVERY": "127.0.0.1:1",
            **write_config(tmp_path, SHORT),
        },
        **{"stderr": subprocess.PIPE, "text": True, **more},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()


def rest(process: "subprocess.Popen[str]") -> str:
    """What is still logged, to the end, which has to be an orderly one."""
    assert process.stderr is not None
    seen = process.stderr.read()
    assert (process.wait(60), "Traceback" in seen, "Exception ignored" in seen) == (0, False, False), seen
    assert '"stopped"' in seen
    return seen


_AT_START = """
from ironbarrow import config
from ironbarrow.daemon import dispatcher
where = {where}
real = getattr(where, "{name}")
def wrapped(*args, **more):
    found = real(*args, **more)
    os.kill(os.getpid(), signal.{number})
    return found
setattr(where, "{name}", wrapped)
"""


@pytest.mark.parametrize("number", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize(("where", "name"), [("config", "load"), ("dispatcher", "listen")])
def test_an_order_to_stop_during_the_start_waits_for_the_service(
    where: str, name: str, number: str, tmp_path: Path
) -> None:
    # danger: ended by Python's own handling, it would reset what its listener has taken in
    before = _AT_START.format(where=where, name=name, number=number)
    with program(tmp_path, before) as process:
        host, port = wait_for_log(process, '"serving"').split('"address": "')[1].split('"')[0].split(":")
        with socket.create_connection((host, int(port)), 20) as client:
            client.sendall(READY.replace("\\r\\n", "\r\n").encode())
            assert client.recv(100).startswith(b"HTTP/1.1 503 ")
        assert '"stopping"' in rest(process)


def test_further_signals_while_it_ends_change_nothing(tmp_path: Path) -> None:
    with program(tmp_path) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGTERM)
        wait_for_log(process, '"stopping"')
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGINT):
            process.send_signal(number)
        assert '"reloaded"' in rest(process)


_IN_RELOAD = """
from ironbarrow import config
real = config.load
def load(*args, prefer_file=False):
    found = real(*args, prefer_file=prefer_file)
    if prefer_file:
        os.kill(os.getpid(), signal.SIGTERM)
    return found
config.load = load
"""


def test_an_order_to_stop_during_a_reload_waits_for_its_end(tmp_path: Path) -> None:
    with program(tmp_path, _IN_RELOAD) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGHUP)
        seen = rest(process)
        assert seen.index('"reloaded"') < seen.index('"stopping"')


_AFTER = "".join(f"os.kill(os.getpid(), signal.{name}); " for name in ("SIGTERM", "SIGINT", "SIGHUP"))
_LATE = {
    "the loop is closed": f"""
from ironbarrow.runtime import loop
real = loop.Loop.close
def close(self):
    real(self)
    {_AFTER}
loop.Loop.close = close
""",
    "Python has taken its handlers away": f"""
class Last:
    def __del__(self, os=os, signal=signal):
        {_AFTER}
last = Last()
""",
    "the exit begins": f"""
import atexit
def leave():
    {_AFTER}
atexit.register(leave)
""",
}


@pytest.mark.parametrize("moment", _LATE)
def test_a_signal_in_the_last_instants_does_not_change_the_end(moment: str, tmp_path: Path) -> None:
    # danger: a descriptor's number that is closed, or handlers that Python has taken away
    with program(tmp_path, _LATE[moment]) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGTERM)
        rest(process)


def test_a_log_whose_reader_is_gone_does_not_change_the_end(tmp_path: Path) -> None:
    with program(tmp_path) as process:
        wait_for_log(process, '"serving"')
        assert process.stderr is not None
        process.stderr.close()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0


@pytest.mark.parametrize("deadline_ms", [50, 300, 600, 1000, 2000, 3000, 60_000])
def test_the_end_comes_after_the_last_answer_and_before_the_earliest_kill(deadline_ms: int) -> None:
    classes = tuple(replace(cls, deadline=deadline_ms * MS) for cls in read_settings(SETTINGS).classes)
    pace = ShutdownTimes.of(replace(read_settings(SETTINGS), classes=classes))
    earliest_kill = min(deadline_ms, 3000) * MS + 700 * MS
    assert pace.answer_limit < pace.connection_limit <= earliest_kill - 100 * MS


@pytest.mark.parametrize("deadline_ms", [600, 1000, 3000])
@pytest.mark.parametrize("answered", [False, True])
def test_who_keeps_a_connection_open_does_not_hold_up_the_end(deadline_ms: int, answered: bool) -> None:
    """Guards against a process that SIGKILL finds with connections open under short deadlines (bcef66)."""
    classes = tuple(
        replace(cls, aim=deadline_ms * MS // 2, deadline=deadline_ms * MS)
        for cls in read_settings(SETTINGS).classes
    )
    stage = Harness(settings=replace(read_settings(SETTINGS), classes=classes))
    stage.step(f"c1 send {READY}")
    stage.step("c1 expect 200 OK")
    loop = stage.dispatcher.loop
    told_at = loop.now()
    stage.step("stop")
    if answered:
        # its answer comes at the last moment, and it does not close either
        stage.run_for(min(deadline_ms, 500) / 2000)
        stage.step(f"c2 send {job(ms=9000)}")
        stage.step("p1 expect in$")
        stage.step("c2 expect HTTP/1.1 50")
    stage.step("exits")
    took = loop.now() - told_at
    stage.close()
    assert took < (deadline_ms + 700) * MS  # the earliest SIGKILL
