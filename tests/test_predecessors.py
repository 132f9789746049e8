"""A cold worker's share while a process serves on beside its successor, and after a restart.

In virtual time, with two dispatchers in one thread, and with real processes.
"""

import errno
import os
import signal
import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway import api
from heathway.settings import read_settings
from ironbarrow.handover import channel as channel_module
from ironbarrow.handover.channel import Channel
from ironbarrow.handover.predecessors import RunningPredecessors
from tests.dispatcher_harness import MS, S
from tests.process_rig import SHARE, WINDOW, DispatcherProcess, ProcessRig, most_within_window
from tests.scenario import SETTINGS, job
from tests.test_handover import Pair
from tests.test_warming import CLASS_MEANS, AdmitsAll, Fleet, Offer, fleet_settings, fleets

ALL_CLASSES = Offer((0, 1))
STEPS = ("none", "start beside", "oldest ends", "newest ends", "restart")
MOST_PROCESSES = 3  # of one dispatcher at a time
LATENESS_LIMIT = 2 * S  # of a process on a busy machine
LONG_JOB = job("j1", "book/x", ms=25_000)  # may wait for longer than any step below takes


class ReplacedProcesses(Fleet):
    """A fleet whose dispatchers may have several processes each, which run beside each other."""

    def __init__(self, rules: api.Settings, means: tuple[int, ...], size: float) -> None:
        self.processes: list[list[AdmitsAll]] = []  # by dispatcher: those that run, the oldest first
        super().__init__(rules, means, size)
        self.processes = [[process] for process in self.dispatchers]

    def start_beside(self, me: int) -> AdmitsAll:
        """Starts one more process; the host tells it at once of those that run."""
        process = self.start(me)
        self.processes[me].append(process)
        self.tell_of_older_process(process)
        return process

    def end(self, me: int, position: int) -> None:
        """Ends a process. The others hear of it when they are offered jobs next."""
        del self.processes[me][position]

    def tell_of_older_process(self, dispatcher: AdmitsAll) -> None:
        for processes in self.processes:
            if dispatcher in processes:
                older_runs = processes[0] is not dispatcher
                dispatcher.handle(self.now, [api.PredecessorState(older_runs)])


def pair_of_processes(**changes: object) -> tuple[ReplacedProcesses, AdmitsAll, AdmitsAll]:
    """A dispatcher's process that has used its share of a cold worker, and one started beside it."""
    fleet = ReplacedProcesses(fleet_settings(1, fall_multiple=4.0, **changes), CLASS_MEANS[1:], 6.0)
    fleet.now += S
    fleet.tell_all()
    assert fleet.offer(fleet.dispatchers[0], ALL_CLASSES)
    return fleet, fleet.dispatchers[0], fleet.start_beside(0)


def test_a_successor_uses_the_share_one_window_after_the_older_process_has_ended() -> None:
    fleet, older, successor = pair_of_processes()
    fleet.now += 2 * fleet.rules.fall_window
    assert fleet.offer(successor, ALL_CLASSES) == 0
    assert fleet.offer(older, ALL_CLASSES)
    fleet.end(0, 0)
    fleet.tell(successor)
    assert fleet.offer(successor, ALL_CLASSES) == 0
    fleet.now += fleet.rules.fall_window - 1
    assert fleet.offer(successor, ALL_CLASSES) == 0
    fleet.now += 1
    assert fleet.offer(successor, ALL_CLASSES)
    fleet.check()


def test_an_older_process_keeps_the_share_when_its_successor_ends() -> None:
    fleet, older, _ = pair_of_processes()
    fleet.end(0, 1)
    fleet.now += fleet.rules.fall_window
    assert fleet.offer(older, ALL_CLASSES)
    fleet.check()


@pytest.mark.parametrize("after_end", [0, 1, 500 * MS])
def test_a_worker_that_starts_as_the_older_process_ends_is_held_back_for_a_window(after_end: int) -> None:
    # guards against a share spent twice where the older process heard of the start before its successor
    fleet, older, successor = pair_of_processes()
    fleet.now += 2 * fleet.rules.fall_window
    started = replace(fleet.entry, started_at=fleet.now)
    older.handle(fleet.now, [api.WorkerList(api.ListKind.CHANGES, (started,))])
    assert fleet.offer(older, ALL_CLASSES)
    fleet.end(0, 0)
    assert fleet.offer(successor, ALL_CLASSES) == 0
    ended_at = fleet.now
    fleet.now += after_end
    successor.handle(fleet.now, [api.WorkerList(api.ListKind.CHANGES, (started,))])
    assert fleet.offer(successor, ALL_CLASSES) == 0
    fleet.now = ended_at + fleet.rules.fall_window
    assert fleet.offer(successor, ALL_CLASSES)


def test_the_newest_of_three_processes_waits_for_both_older_ones() -> None:
    fleet, _, second = pair_of_processes()
    third = fleet.start_beside(0)
    window = fleet.rules.fall_window
    fleet.end(0, 0)
    assert fleet.offer(second, ALL_CLASSES) == fleet.offer(third, ALL_CLASSES) == 0
    fleet.now += window
    assert fleet.offer(third, ALL_CLASSES) == 0
    assert fleet.offer(second, ALL_CLASSES)
    fleet.end(0, 0)
    assert fleet.offer(third, ALL_CLASSES) == 0
    fleet.now += window
    assert fleet.offer(third, ALL_CLASSES)
    fleet.check()


def carry_out(fleet: ReplacedProcesses, me: int, step: str) -> None:
    processes = fleet.processes[me]
    if step == "start beside" and len(processes) < MOST_PROCESSES:
        fleet.start_beside(me)
    elif step == "oldest ends" and len(processes) > 1:
        fleet.end(me, 0)
    elif step == "newest ends" and len(processes) > 1:
        fleet.end(me, -1)
    elif step == "restart":
        processes.clear()
        fleet.start_beside(me)


@settings(max_examples=100)
@given(st.data())
def test_processes_replaced_at_any_time_keep_within_the_budget(data: st.DataObject) -> None:
    drawn = data.draw(fleets((1, 2, 3)))
    fleet = ReplacedProcesses(drawn.rules, drawn.means, drawn.size)
    window = fleet.rules.fall_window
    for _ in range(data.draw(st.integers(2, 8))):
        fleet.now += data.draw(st.sampled_from((0, 1, window // 2, window - 1, window, window + 1)))
        for me, processes in enumerate(fleet.processes):
            carry_out(fleet, me, data.draw(st.sampled_from(STEPS)))
            for process in data.draw(st.permutations(processes)):
                if data.draw(st.booleans()):
                    fleet.tell(process)
                fleet.offer(process, Offer(tuple(range(len(fleet.means)))), most=40)
    fleet.check()


# Two dispatchers in one thread, with real sockets between them

COLD_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "familyInfo": {**SETTINGS["familyInfo"], "classStretch": [8.0, 8.0]},  # so that jobs may wait
    "guarantees": {**SETTINGS["guarantees"], "cold": 60 * S, "fallMultiple": 1000.0, "tipAfter": WINDOW},
}


class ColdPair(Pair):
    """An old process and its successor; the workers have just started."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, settings=read_settings(COLD_SETTINGS))

    def entry(self, name: str, status: str = "up") -> dict[str, Any]:
        return {**super().entry(name, status), "since_ms": time.time_ns() // MS - 1000}

    def steps(self, text: str) -> None:
        for line in text.strip().splitlines():
            self.step(line.strip())

    def has_been_sent(self, job_id: str) -> bool:
        """Whether a worker has got the job."""
        return any(f"X-Request-ID: {job_id}".encode() in self.peers[name].received for name in ("p1", "p2"))


@pytest.fixture
def cold_pair(tmp_path: Path) -> Iterator[ColdPair]:
    pair = ColdPair(tmp_path)
    yield pair
    pair.close()


def time_until_sent(pair: ColdPair, job_id: str) -> int:
    """Runs both processes until a worker has got the job; returns how long that took, ns."""
    begun = time.monotonic_ns()
    pair.run_until("sent", lambda: pair.has_been_sent(job_id))
    return time.monotonic_ns() - begun


WAITING_AT_THE_NEW_PROCESS = f"""
    new
    wait 1500
    n1 send {LONG_JOB}
    wait 500
    """


def test_a_successor_sends_to_cold_workers_one_window_after_the_end_of_the_old_process(
    cold_pair: ColdPair,
) -> None:
    cold_pair.steps(WAITING_AT_THE_NEW_PROCESS)
    assert not cold_pair.has_been_sent("j1")
    cold_pair.steps("stop\nexits")
    cold_pair.run_for(1.2)
    assert not cold_pair.has_been_sent("j1")  # its loop has ended, its process has not
    cold_pair.dispatcher.close()
    assert WINDOW <= time_until_sent(cold_pair, "j1") < WINDOW + LATENESS_LIMIT


def test_an_old_process_sends_to_cold_workers_whatever_successors_come_and_go(cold_pair: ColdPair) -> None:
    cold_pair.steps(f"""
        new
        wait 1200
        c1 send {job("j1")}
        """)
    time_until_sent(cold_pair, "j1")
    cold_pair.steps(f"""
        new dies
        c2 send {job("j2")}
        """)
    time_until_sent(cold_pair, "j2")


def test_the_socket_of_a_process_that_has_ended_delays_nothing(tmp_path: Path) -> None:
    # guards against a restart after SIGKILL that waits for the ended process for ever
    ended = ColdPair(tmp_path)
    left_behind = ended.dispatcher._upgrade._channel.path
    ended.dispatcher._upgrade._channel._sock.close()
    restarted = ColdPair(tmp_path)
    assert Path(left_behind).is_socket()
    restarted.step(f"c1 send {LONG_JOB}")
    assert time_until_sent(restarted, "j1") < WINDOW + LATENESS_LIMIT
    restarted.close()
    ended.close()


def failing_listing(*arguments: object) -> list[str]:
    raise OSError(errno.EIO, "error of the test")


def test_a_process_whose_folder_fails_sends_to_cold_workers_once_it_can_tell_who_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, "listdir", failing_listing)
    pair = ColdPair(tmp_path)
    assert pair.dispatcher._upgrade is None and not list(tmp_path.glob("ironbarrow-*.[0-9]*"))
    pair.steps(f"wait 1500\nc1 send {LONG_JOB}\nwait 1000")
    assert not pair.has_been_sent("j1")
    monkeypatch.undo()
    pair.run_until("the channel is open", lambda: pair.dispatcher._upgrade is not None)
    assert not pair.has_been_sent("j1")
    assert time_until_sent(pair, "j1") < WINDOW + LATENESS_LIMIT
    pair.close()


def test_a_process_without_a_folder_sends_to_cold_workers_after_one_window(tmp_path: Path) -> None:
    pair = ColdPair(tmp_path / "missing")
    assert pair.dispatcher._upgrade is None
    pair.step(f"c1 send {LONG_JOB}")
    assert time_until_sent(pair, "j1") < WINDOW + LATENESS_LIMIT
    pair.close()


def test_a_process_counts_as_running_until_the_system_says_otherwise(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = str(tmp_path / "socket")
    assert not Channel.may_run(path)
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.bind(path)
        assert Channel.may_run(path)
    assert os.path.exists(path) and not Channel.may_run(path)

    def no_descriptor_left(*arguments: object) -> socket.socket:
        raise OSError(errno.EMFILE, "error of the test")

    monkeypatch.setattr(channel_module.socket, "socket", no_descriptor_left)
    assert Channel.may_run(path)


def test_the_end_of_the_last_older_process_is_reported_once() -> None:
    running, reports = {"a", "b"}, list[bool]()
    older = RunningPredecessors(["a", "b", "ended"], running.__contains__, reports.append)
    older.check()
    running.discard("a")
    older.check()
    running.add("ended")  # the path of a later process
    running.discard("b")
    older.check()
    running.add("a")
    older.check()
    assert reports == [True, False]
    RunningPredecessors([], running.__contains__, reports.append).check()
    assert reports == [True, False, False]


# Real processes at one address


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[ProcessRig]:
    rig = ProcessRig(tmp_path)
    yield rig
    rig.close()


def start_pair(rig: ProcessRig) -> tuple[DispatcherProcess, DispatcherProcess]:
    """Starts a process and, once it has sent to the cold worker, another one beside it; lets both serve for
    longer than a process that was alone would wait."""
    older = rig.start()
    rig.wait_until(lambda: len(older.sent()) >= SHARE)
    successor = rig.start()
    rig.run_for(5 * WINDOW // 2)
    return older, successor


def check_shares(rig: ProcessRig, ended_at: int, process: DispatcherProcess) -> None:
    """Waits until that process has used the share after the other one's end, about one window after it, and
    checks that the share was used once in each window."""
    rig.wait_until(lambda: len(process.sent_after(ended_at)) >= SHARE)
    assert process.sent_after(ended_at)[0].at < ended_at + WINDOW + LATENESS_LIMIT
    assert most_within_window(rig.sent()) <= SHARE


@pytest.mark.parametrize(
    "signals", [[signal.SIGTERM], [signal.SIGKILL], [signal.SIGSTOP, signal.SIGKILL]], ids=str
)
def test_a_share_is_used_once_where_the_older_process_ends_first(
    rig: ProcessRig, signals: list[signal.Signals]
) -> None:
    older, successor = start_pair(rig)
    for number in signals:
        older.send_signal(number)
        if number is signal.SIGSTOP:
            rig.run_for(2 * WINDOW)
    ended_at = rig.wait_for_end(older)
    check_shares(rig, ended_at, successor)
    assert successor.sent()[0].at >= older.sent()[-1].at + WINDOW


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_share_is_used_once_where_the_successor_ends_first(rig: ProcessRig, number: signal.Signals) -> None:
    older, successor = start_pair(rig)
    successor.send_signal(number)
    ended_at = rig.wait_for_end(successor)
    check_shares(rig, ended_at, older)
    assert successor.sent() == []


def test_a_share_is_used_one_window_after_a_restart(rig: ProcessRig) -> None:
    earlier = rig.start()
    rig.wait_until(lambda: len(earlier.sent()) >= SHARE)
    earlier.send_signal(signal.SIGKILL)  # its socket stays in the folder
    rig.wait_for_end(earlier)
    restarted = rig.start()
    started_at = restarted.entries("settings")[0]["at"]
    check_shares(rig, started_at, restarted)
    assert restarted.sent()[0].at >= started_at + WINDOW
