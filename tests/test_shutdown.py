"""Stopping a dispatcher: requests that arrive at any point of it, and signals at any point of the program.

A request that was accepted but not answered at the exit is lost. The tests force each point in time: the
request is sent while the event loop does not run, or the program itself sends the signal there.
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
from ironbarrow.daemon.shutdown_times import ShutdownTimes
from ironbarrow.frontend.server import HttpServer
from ironbarrow.runtime.loop import MS, SECOND
from tests.scenario import SETTINGS, Harness, Peer, answer, call_back, job
from tests.test_config import ROOT, WITHOUT_DISCOVERY, wait_for_log, write_config

ACCEPTED = answer(202)
READY_REQUEST = "GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n"


def harness_with_times(**times: int) -> Harness:
    harness = Harness()
    harness.dispatcher.shutdown_times = replace(
        harness.dispatcher.shutdown_times, **{name: ms * MS for name, ms in times.items()}
    )
    return harness


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


# Each case ends with the program's exit; at "closing" idle connections are closed.
CASES = {
    "a request in the buffer of an idle connection": f"""
        c1 send {READY_REQUEST}
        c1 expect 200 OK
        c1 send {job()}
        closing
        {served("j1")}""",
    "a request on an accepted connection that was not read yet": f"""
        c1 silent 20
        c1 send {job()}
        closing
        {served("j1")}""",
    "a request on a connection in the listen queue": f"""
        connects c1
        c1 send {job()}
        closing
        {served("j1")}""",
    # A request that is read after the dispatcher has shut down its side could not be answered. If it is not
    # read, the client sends it again to another dispatcher.
    "a request on an idle connection right after closing": f"""
        c1 send {READY_REQUEST}
        c1 expect 200 OK
        closing
        c1 send {job()}
        c1 ended
        p1 silent 20
        p2 silent 20
        c1 close""",
    "an incomplete request, and the rest": f"""
        c1 send {job()[:60]}
        wait 20
        closing
        wait 20
        c1 send {job()[60:]}
        {served("j1")}""",
    "an incomplete request in the buffer of an idle connection, and the rest": f"""
        c1 send {READY_REQUEST}
        c1 expect 200 OK
        c1 send {job()[:60]}
        closing
        wait 20
        c1 send {job()[60:]}
        {served("j1")}""",
    "an incomplete request that is never completed": f"""
        c1 send {job()[:60]}
        wait 20
        closing
        c1 expect ^HTTP/1.1 408
        c1 ended
        c1 close""",
    # The kernel has accepted both, so the answer to the first must not close the connection.
    "two requests at once": f"""
        c1 send {job("j1")}{job("j2")}
        closing
        p1 expect : j1.*in$
        p1 send {ACCEPTED}
        c9 send {call_back("done", "j1", result="first")}
        c9 expect HTTP/1.1 204
        c1 expect HTTP/1.1 200 .*first
        {served("j2", caller="c8")}""",
    "a silent connection, accepted": """
        c1 silent 20
        closing
        c1 ended
        c1 close""",
    "a silent connection in the listen queue": """
        connects c1
        closing
        c1 ended
        c1 close""",
    "a client that has disconnected": f"""
        c1 send {READY_REQUEST}
        c1 expect 200 OK
        c1 close
        closing""",
    "a call-back on a new connection after closing": f"""
        c1 send {job()}
        wait 20
        closing
        wait 50
        {served("j1")}""",
    "a call-back after its idle connection was closed": f"""
        c9 send {READY_REQUEST}
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
    "a call-back in the buffer of an idle connection": f"""
        c9 send {READY_REQUEST}
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
    "a second stop signal": f"""
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


@pytest.mark.parametrize("name", CASES)
def test_a_request_accepted_before_closing_is_answered_before_exit(name: str) -> None:
    harness = harness_with_times(idle_close_delay=60_000, answer_limit=120_000)
    try:
        harness.step("stop")
        for line in CASES[name].strip().splitlines():
            command, _, peer = line.strip().partition(" ")
            if not command:
                continue
            if command == "closing":
                harness.dispatcher._close_idle()
            elif command == "connects":  # while the loop does not run
                harness.peers[peer] = Peer(harness.address)
                harness.peers[peer].connect()
            else:
                harness.step(line.strip())
        harness.step("exits")
        assert harness.dispatcher.host.unanswered == 0
    finally:
        harness.close()


def test_stopping_finishes_accepted_jobs_and_serves_late_ones() -> None:
    harness_with_times(idle_close_delay=500, answer_limit=60_000).run(
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


def test_a_job_that_arrives_while_stopping_is_answered_before_exit() -> None:
    # a dispatcher killed before it answers loses a job that it accepted after the stop signal
    harness = harness_with_times(answer_limit=600)
    idle = f"c1 send {READY_REQUEST}\nc1 expect 200\nstop\nwait 50\nc1 silent 50\n"
    booking = f"c1 send {job(path='book/x', ms=25000)}\np1 expect in$\np1 send {ACCEPTED}\n"
    harness.run(f"{idle}{booking}c1 expect ^HTTP/1.1 500")


# Guards against a request that is half written at the end of a shutdown and loses its connection.
def test_a_request_that_is_incomplete_at_the_answer_limit_is_refused() -> None:
    harness_with_times(answer_limit=300, connection_limit=60_000).run(
        f"""
        c1 send {job()[:60]}
        stop
        c1 expect ^HTTP/1.1 503 .*Connection: close
        c1 ended
        c1 close
        p1 silent 1
        exits
        """
    )


# Guards against a job that is sent to a worker though no time for its answer is left.
def test_a_job_that_arrives_past_the_answer_limit_is_refused_and_not_sent() -> None:
    harness_with_times(idle_close_delay=60_000, answer_limit=100).run(
        f"""
        c1 send {job("j1")}
        p1 expect : j1
        p1 send {ACCEPTED}
        stop
        wait 200
        c2 send {job("j2")}
        c2 expect ^HTTP/1.1 503 .*Retry-After.*this process ends
        p2 silent 50
        c2 close
        """
    )


# Guards against a process that SIGKILL finds as it waits for its successor to reject the last jobs.
def test_jobs_handed_over_at_the_last_moment_do_not_delay_the_exit() -> None:
    harness = harness_with_times(rejection_limit=300)
    harness.dispatcher._upgrade = SimpleNamespace(
        hand_over=lambda: True, successor_runs=True, jobs_pending=0, jobs_handed_over=1, close=lambda: None
    )
    harness.step("stop")
    stopped_at = harness.dispatcher.loop.now()
    harness.step("exits")
    assert 300 * MS <= harness.dispatcher.loop.now() - stopped_at < 1 * SECOND
    harness.close()


def test_a_client_that_connects_before_the_last_check_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = harness_with_times(idle_close_delay=0)
    original = HttpServer.has_connections
    steps_left = iter((f"c1 send {job()}",))

    def has_connections(self: HttpServer) -> bool:
        for step in steps_left:
            harness.step(step)
        assert original.fget is not None
        return bool(original.fget(self))

    monkeypatch.setattr(HttpServer, "has_connections", property(has_connections))
    harness.run(f"stop\n{served('j1').strip()}\nexits")


def test_a_client_that_connects_after_the_last_check_is_refused_not_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A request on a connection that the kernel has accepted and that is then reset gets no answer. If the
    # connection is refused, the client goes to another dispatcher.
    harness = harness_with_times(idle_close_delay=0)
    loop = harness.dispatcher.loop
    results: list[int] = []

    def connect() -> None:
        with socket.socket() as late_client:
            results.append(late_client.connect_ex(harness.address))

    original = loop.stop
    monkeypatch.setattr(loop, "stop", lambda: (connect(), original()))
    harness.run("stop\nexits")
    assert results == [111]


@pytest.mark.parametrize("part", ["hand-over", "closing", "log"])
def test_a_failing_part_does_not_prevent_the_exit(part: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # A second stop signal changes nothing, so a shutdown that failed half-way would last until SIGKILL.
    harness = harness_with_times(idle_close_delay=20)

    def fail(*args: Any, **kwargs: Any) -> bool:
        raise BrokenPipeError

    if part == "hand-over":
        harness.dispatcher._upgrade = SimpleNamespace(
            hand_over=fail, jobs_pending=0, jobs_handed_over=0, close=lambda: None
        )
    elif part == "closing":
        monkeypatch.setattr(HttpServer, "close_idle", fail)
    else:
        monkeypatch.setattr("ironbarrow.daemon.dispatcher.log", SimpleNamespace(info=fail, error=fail))
    harness.dispatcher.loop.call_soon(harness.dispatcher.stop)
    harness.run("exits")


@pytest.mark.parametrize(
    ("deadlines", "idle_close_ms", "answer_limit_ms"),
    [
        ((50,), 500, 600),
        ((500,), 500, 950),
        ((200, 1000), 600, 1200),
        ((2000,), 1100, 2200),
        ((3000,), 1500, 3200),
        ((500, 60_000), 1500, 3200),
    ],
)
def test_the_shutdown_times_follow_the_longest_deadline(
    deadlines: tuple[int, ...], idle_close_ms: int, answer_limit_ms: int
) -> None:
    # With short deadlines SIGKILL comes sooner, and requests just before it would get no answer.
    base_class = SETTINGS["requestClasses"][0]
    classes = [{**base_class, "name": str(ms), "promise": ms * MS, "giveUp": ms * MS} for ms in deadlines]
    times = ShutdownTimes.of(read_settings({**SETTINGS, "requestClasses": classes}))
    assert (times.idle_close_delay, times.answer_limit) == (idle_close_ms * MS, answer_limit_ms * MS)
    earliest_kill = min(max(deadlines), 3000) * MS + 700 * MS
    assert 400 * MS < times.idle_close_delay < times.answer_limit <= earliest_kill - 150 * MS
    assert times.leave_delay + times.leave_timeout == times.answer_limit
    assert 0 < times.leave_timeout <= 700 * MS < SECOND
    assert 0 < times.fleet_answer_limit < times.leave_delay


# The program, with real signals

SHORT_DEADLINES = {
    **WITHOUT_DISCOVERY,
    "settings": {
        **SETTINGS,
        "requestClasses": [{**SETTINGS["requestClasses"][0], "promise": 400 * MS, "giveUp": 500 * MS}],
    },
}
_SERVE = "\nimport sys\nfrom ironbarrow.cli.serve import serve\nsys.exit(serve())\n"


@contextmanager
def serve_process(tmp_path: Path, before: str = "", **kwargs: Any) -> Iterator["subprocess.Popen[str]"]:
    """Runs ``serve`` after ``before``: lines of Python that send a signal at a certain point."""
    process = subprocess.Popen(
        [sys.executable, "-c", "import os, signal\n" + before + _SERVE],
        cwd=ROOT,
        env={
            "PATH": os.environ["PATH"],
            "BALANCER_DISCOVERY": "127.0.0.1:1",
            **write_config(tmp_path, SHORT_DEADLINES),
        },
        **{"stderr": subprocess.PIPE, "text": True, **kwargs},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()


def log_until_exit(process: "subprocess.Popen[str]") -> str:
    """Returns the rest of the log; checks that the process exits with status 0 and no traceback."""
    assert process.stderr is not None
    text = process.stderr.read()
    assert (process.wait(60), "Traceback" in text, "Exception ignored" in text) == (0, False, False), text
    assert '"stopped"' in text
    return text


_SIGNAL_DURING_START = """
from ironbarrow import config
from ironbarrow.daemon import dispatcher
where = {where}
real = getattr(where, "{name}")
def wrapped(*args, **kwargs):
    result = real(*args, **kwargs)
    os.kill(os.getpid(), signal.{number})
    return result
setattr(where, "{name}", wrapped)
"""


@pytest.mark.parametrize("number", ["SIGTERM", "SIGINT"])
@pytest.mark.parametrize(("where", "name"), [("config", "load"), ("dispatcher", "listen")])
def test_a_stop_signal_during_start_takes_effect_once_it_serves(
    where: str, name: str, number: str, tmp_path: Path
) -> None:
    # If the default handler ended the process, the connections in its listener's queue would be reset.
    before = _SIGNAL_DURING_START.format(where=where, name=name, number=number)
    with serve_process(tmp_path, before) as process:
        host, port = wait_for_log(process, '"serving"').split('"address": "')[1].split('"')[0].split(":")
        with socket.create_connection((host, int(port)), 20) as client:
            client.sendall(READY_REQUEST.replace("\\r\\n", "\r\n").encode())
            assert client.recv(100).startswith(b"HTTP/1.1 503 ")
        assert '"stopping"' in log_until_exit(process)


def test_further_signals_while_stopping_change_nothing(tmp_path: Path) -> None:
    with serve_process(tmp_path) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGTERM)
        wait_for_log(process, '"stopping"')
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGINT):
            process.send_signal(number)
        assert '"reloaded"' in log_until_exit(process)


_SIGNAL_DURING_RELOAD = """
from ironbarrow import config
real = config.load
def load(*args, prefer_file=False):
    config_read = real(*args, prefer_file=prefer_file)
    if prefer_file:
        os.kill(os.getpid(), signal.SIGTERM)
    return config_read
config.load = load
"""


def test_a_stop_signal_during_a_reload_waits_for_its_end(tmp_path: Path) -> None:
    with serve_process(tmp_path, _SIGNAL_DURING_RELOAD) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGHUP)
        text = log_until_exit(process)
        assert text.index('"reloaded"') < text.index('"stopping"')


_SEND_SIGNALS = "".join(f"os.kill(os.getpid(), signal.{name}); " for name in ("SIGTERM", "SIGINT", "SIGHUP"))
_LATE_SIGNALS = {
    "the loop is closed": f"""
from ironbarrow.runtime import loop
real = loop.Loop.close
def close(self):
    real(self)
    {_SEND_SIGNALS}
loop.Loop.close = close
""",
    "Python has removed its handlers": f"""
class SendsSignalsWhenDeleted:
    def __del__(self, os=os, signal=signal):
        {_SEND_SIGNALS}
kept_until_exit = SendsSignalsWhenDeleted()
""",
    "the exit begins": f"""
import atexit
def send_signals():
    {_SEND_SIGNALS}
atexit.register(send_signals)
""",
}


@pytest.mark.parametrize("moment", _LATE_SIGNALS)
def test_a_signal_during_exit_does_not_change_the_exit_status(moment: str, tmp_path: Path) -> None:
    # The signal may be written to a closed descriptor, or find its handler already removed by Python.
    with serve_process(tmp_path, _LATE_SIGNALS[moment]) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGTERM)
        log_until_exit(process)


def test_nothing_is_left_to_do_after_stopped_is_logged(tmp_path: Path) -> None:
    # guards against a process that SIGKILL still finds, in the clean-up of the interpreter, after its end
    before = 'import atexit\natexit.register(os.write, 2, b"clean-up of the interpreter")\n'
    with serve_process(tmp_path, before) as process:
        wait_for_log(process, '"serving"')
        process.send_signal(signal.SIGTERM)
        assert "clean-up" not in log_until_exit(process)


def test_a_log_without_a_reader_does_not_change_the_exit_status(tmp_path: Path) -> None:
    with serve_process(tmp_path) as process:
        wait_for_log(process, '"serving"')
        assert process.stderr is not None
        process.stderr.close()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0


@pytest.mark.parametrize("deadline_ms", [50, 300, 600, 1000, 2000, 3000, 60_000])
def test_the_exit_comes_after_the_last_answer_and_before_the_earliest_kill(deadline_ms: int) -> None:
    classes = tuple(replace(cls, deadline=deadline_ms * MS) for cls in read_settings(SETTINGS).classes)
    times = ShutdownTimes.of(replace(read_settings(SETTINGS), classes=classes))
    earliest_kill = min(deadline_ms, 3000) * MS + 700 * MS
    assert times.answer_limit < times.connection_limit <= earliest_kill - 100 * MS
    assert times.answer_limit < times.rejection_limit <= earliest_kill - 100 * MS


@pytest.mark.parametrize("deadline_ms", [600, 1000, 3000])
@pytest.mark.parametrize("answered", [False, True])
def test_a_client_that_keeps_its_connection_open_does_not_delay_the_exit(
    deadline_ms: int, answered: bool
) -> None:
    """Guards against open connections that delay the exit until SIGKILL, with short deadlines (bcef66)."""
    classes = tuple(
        replace(cls, aim=deadline_ms * MS // 2, deadline=deadline_ms * MS)
        for cls in read_settings(SETTINGS).classes
    )
    harness = Harness(settings=replace(read_settings(SETTINGS), classes=classes))
    harness.step(f"c1 send {READY_REQUEST}")
    harness.step("c1 expect 200 OK")
    loop = harness.dispatcher.loop
    stopped_at = loop.now()
    harness.step("stop")
    if answered:
        # its answer comes at the last moment, and this client does not close its connection either
        harness.run_for(min(deadline_ms, 500) / 2000)
        harness.step(f"c2 send {job(ms=9000)}")
        harness.step("p1 expect in$")
        harness.step("c2 expect HTTP/1.1 50")
    harness.step("exits")
    duration = loop.now() - stopped_at
    harness.close()
    assert duration < (deadline_ms + 700) * MS  # the earliest SIGKILL
