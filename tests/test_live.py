"""Live runs: what their dispatchers' processes find at a start, and what is told of one that ended there."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from ironbarrow.lab.live import ports
from ironbarrow.lab.live.ports import LoopbackError, LoopbackNetwork
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.spec import World, convert
from ironbarrow.lab.model.worker import Demand
from ironbarrow.runtime.loop import MS, SECOND

ROUTED = """
name = "routed"
duration = "1 s"
arrivals = { rate = 10.0 }
network = { zones = ["north"] }
[dispatchers]
count = 2
routes = '''
version = 1
[[routes]]
name = "all"
when = 'method == "POST"'
class = "map"
'''
[[classes]]
name = "map"
share = 1.0
work = { mean = "50 ms", kind = "fixed" }
wanted = "2 s"
deadline = "3 s"
[[workers]]
name = "p"
count = 1
cores = 4
slots = 4
"""
START_LIMIT_S = 30.0


def routed_run(folder: Path, program: Program | None = None) -> LiveRun:
    return LiveRun(convert(msgspec.toml.decode(ROUTED), World, "routed"), 1, folder, program)


def turn_until_ready_or_ended(run: LiveRun, number: int) -> None:
    """Turns the run's loop until one dispatcher serves, or its process has ended."""
    instance, limit = run.instances[number], time.monotonic() + START_LIMIT_S
    while not instance.ready_after and not instance.ended_at:
        assert time.monotonic() < limit, instance.log_path.read_text()
        run._turn(20 * MS)


def test_a_start_leaves_the_files_of_another_dispatcher_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The worst order: a dispatcher reads its files when the start of another has emptied what it writes."""
    run = routed_run(tmp_path)
    first, second = run.instances
    write_text = Path.write_text

    def write_slowly(path: Path, text: str) -> int:
        path.open("w").close()
        first.go_on()
        turn_until_ready_or_ended(run, 0)
        return write_text(path, text)

    try:
        first.start()
        first.pause()  # before it has read anything
        monkeypatch.setattr(Path, "write_text", write_slowly)
        second.start()
        assert first.status is None, first.log_path.read_text()
        turn_until_ready_or_ended(run, 1)
        assert second.status is None, second.log_path.read_text()
    finally:
        run.close()


def test_a_dispatcher_that_takes_long_to_come_up_is_noticed_when_it_has(tmp_path: Path) -> None:
    run = routed_run(tmp_path)
    instance = run.instances[0]
    try:
        instance.start()
        instance.pause()
        run._turn(20 * MS)  # somebody watches it
        run.loop._offset += 12 * SECOND  # the time that is called a long one here
        run._turn(20 * MS)
        instance.go_on()
        turn_until_ready_or_ended(run, 0)
        assert instance.ready_after and instance.ready_after[0] > 12 * SECOND
    finally:
        run.close()


def test_a_request_whose_connection_is_closed_before_it_is_read_is_not_begun(tmp_path: Path) -> None:
    """Guards against a second copy that is none: the laboratory reads the given-up request after the next."""
    run = routed_run(tmp_path)
    run._habits.demands["j1"] = Demand(work=1.0, slots=1, key=None, class_mean=1.0)
    run.audit.job_taken("j1", 1, 0, 9000 * MS, unsafe=False)
    request = b"POST /map/1 HTTP/1.1\r\nHost: p\r\nX-Request-ID: j1\r\nContent-Length: 0\r\n\r\n"
    first, second = run._doors["p-0"]
    try:
        with socket.create_connection(first.address) as given_up:
            given_up.sendall(request)
        with socket.create_connection(second.address) as kept:
            kept.sendall(request)
            limit = time.monotonic() + START_LIMIT_S
            while run.audit._checked["attempts"] < 2 and time.monotonic() < limit:
                run._turn(20 * MS)
        verdicts = run.audit.finish()
        assert verdicts.kept and verdicts.looked_at["attempts"] == 2 and verdicts.looked_at["starts"] == 1
    finally:
        run.close()


# Addresses

_HOLDER = """
import sys
from ironbarrow.lab.live import ports
ports._FIRST_SECOND_BYTE, ports._FIRST_THIRD_BYTE, ports._NETWORKS = {range}
network = ports.LoopbackNetwork.reserve(2)
print(network.prefix, flush=True)
sys.stdin.read()
"""


@pytest.fixture
def own_range(monkeypatch: pytest.MonkeyPatch) -> tuple[int, int, int]:
    """Four networks that no other live run comes to, nor the tests in another process."""
    number = os.getpid()
    chosen = (200 + number % 50, 1 + 4 * (number // 50 % 50), 4)
    for name, value in zip(("_FIRST_SECOND_BYTE", "_FIRST_THIRD_BYTE", "_NETWORKS"), chosen, strict=True):
        monkeypatch.setattr(ports, name, value)
    return chosen


def test_two_runs_side_by_side_in_one_process_both_come_up(tmp_path: Path) -> None:
    runs = [routed_run(tmp_path / name) for name in ("a", "b")]
    try:
        for run in runs:
            for instance in run.instances:
                instance.start()
        for run in runs:
            for number in range(2):
                turn_until_ready_or_ended(run, number)
        found = [(i.status, i.log_path.read_text()) for run in runs for i in run.instances if i.ended_at]
        assert found == []
    finally:
        for run in runs:
            run.close()


def test_a_network_has_one_holder_over_all_processes_and_is_free_once_that_is_killed(
    own_range: tuple[int, int, int],
) -> None:
    others = [LoopbackNetwork.reserve(2) for _ in range(3)]
    holder = subprocess.Popen(
        [sys.executable, "-c", _HOLDER.replace("{range}", str(own_range))],
        cwd=Program.own().folder,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert holder.stdout is not None
        held = holder.stdout.readline().strip()
        assert len({held, *(network.prefix for network in others)}) == 4
        with pytest.raises(LoopbackError, match="no free loopback network"):
            LoopbackNetwork.reserve(2)
    finally:
        holder.kill()
        holder.communicate(timeout=10)
    for _ in range(2):
        again = LoopbackNetwork.reserve(2)
        assert again.prefix == held
        again.close()
    for network in others:
        network.close()


@pytest.mark.parametrize("port", [ports.DISPATCHER_PORT, ports.FLEET_PORT])
def test_a_network_in_which_a_dispatcher_was_left_over_is_passed_over(port: int, own_range: object) -> None:
    network = LoopbackNetwork.reserve(2)
    network.close()
    with socket.create_server((network.dispatcher(1)[0], port)):
        other = LoopbackNetwork.reserve(2)
        assert other.prefix != network.prefix
        other.close()


def test_addresses_of_a_network_are_distinct_and_its_size_is_checked() -> None:
    network = LoopbackNetwork.reserve(ports.MOST_DISPATCHERS)
    numbers = range(ports.MOST_DISPATCHERS)
    hosts = [address(n)[0] for address in (network.dispatcher, network.party) for n in numbers]
    hosts.append(network.agents[0])
    network.close()
    assert len(set(hosts)) == len(hosts)
    assert all(socket.inet_aton(host) for host in hosts)
    assert [network.fleet_member(n)[0] for n in numbers] == [network.dispatcher(n)[0] for n in numbers]
    with pytest.raises(LoopbackError, match="expected at most"):
        LoopbackNetwork.reserve(ports.MOST_DISPATCHERS + 1)


def test_nothing_of_the_laboratory_listens_at_a_dispatchers_address(tmp_path: Path) -> None:
    """Where the kernel's own choice of ports reaches down to the dispatchers' it could be given theirs."""
    run = routed_run(tmp_path)
    try:
        hosts = {instance.address[0] for instance in run.instances}
        listeners = [agent.address for agent in run._agents]
        listeners += [door.address for doors in run._doors.values() for door in doors]
        assert listeners and not hosts & {host for host, _ in listeners}
    finally:
        run.close()


# What is told of a start that failed

_TALKS_AND_ENDS = """
for number in range(30):
    print("line", number, "of the log", flush=True)
raise SystemExit(3)
"""


def test_a_dispatcher_that_ends_at_its_start_is_told_with_its_status_and_last_lines(tmp_path: Path) -> None:
    run = routed_run(tmp_path, Program([sys.executable, "-c", _TALKS_AND_ENDS], tmp_path))
    with pytest.raises(LiveError) as caught:
        run.run()
    text = str(caught.value)
    assert "ended at its start" in text and str(tmp_path) in text
    assert "exit status 3" in text
    assert "line 29 of the log" in text and "line 20 of the log" in text
    assert "line 19 of the log" not in text


def test_a_dispatcher_that_does_not_become_ready_is_told_with_its_last_lines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ironbarrow.lab.live.run._START_LIMIT_S", 0.3)
    talks = "import time; print('still at it', flush=True); time.sleep(60)"
    run = routed_run(tmp_path, Program([sys.executable, "-c", talks], tmp_path))
    with pytest.raises(LiveError) as caught:
        run.run()
    text = str(caught.value)
    assert "not all dispatchers are ready" in text and "d0, runs" in text and "d1, runs" in text
