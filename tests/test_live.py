"""Live runs: the start of their dispatchers, the addresses they reserve, and the errors of a failed start."""

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
STARTUP_TIMEOUT_S = 30.0


def routed_run(folder: Path, program: Program | None = None) -> LiveRun:
    return LiveRun(convert(msgspec.toml.decode(ROUTED), World, "routed"), 1, folder, program)


def run_until_ready_or_ended(run: LiveRun, number: int) -> None:
    """Runs the loop until the dispatcher is ready or its process has ended."""
    instance, deadline = run.instances[number], time.monotonic() + STARTUP_TIMEOUT_S
    while not instance.startup_times and not instance.end_times:
        assert time.monotonic() < deadline, instance.log_path.read_text()
        run._run_loop(20 * MS)


def test_a_start_does_not_truncate_the_files_of_another_dispatcher(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The start of a dispatcher must not truncate files that another one may be reading at that moment.

    The first dispatcher reads its files while the start of the second one has a file open and empty.
    """
    run = routed_run(tmp_path)
    first, second = run.instances
    write_text = Path.write_text

    def write_slowly(path: Path, text: str) -> int:
        path.open("w").close()
        first.resume()
        run_until_ready_or_ended(run, 0)
        return write_text(path, text)

    try:
        first.start()
        first.pause()  # before it has read its files
        monkeypatch.setattr(Path, "write_text", write_slowly)
        second.start()
        assert first.status is None, first.log_path.read_text()
        run_until_ready_or_ended(run, 1)
        assert second.status is None, second.log_path.read_text()
    finally:
        run.close()


def test_a_slow_start_is_noticed_once_the_dispatcher_is_ready(tmp_path: Path) -> None:
    run = routed_run(tmp_path)
    instance = run.instances[0]
    try:
        instance.start()
        instance.pause()
        run._run_loop(20 * MS)  # the watching task starts
        run.loop._offset += 12 * SECOND  # a long start, simulated by the loop's clock
        run._run_loop(20 * MS)
        instance.resume()
        run_until_ready_or_ended(run, 0)
        assert instance.startup_times and instance.startup_times[0] > 12 * SECOND
    finally:
        run.close()


def test_a_request_whose_connection_is_closed_before_it_is_read_is_not_started(tmp_path: Path) -> None:
    """Guards against a false report of a second copy if a given-up request is read after the next one.

    Both requests are sent before the laboratory reads either, and the first connection is closed by then.
    """
    run = routed_run(tmp_path)
    run._habits.demands["j1"] = Demand(work=1.0, slots=1, key=None, class_mean=1.0)
    run.audit.job_taken("j1", 1, 0, 9000 * MS, unsafe=False)
    request = b"POST /map/1 HTTP/1.1\r\nHost: p\r\nX-Request-ID: j1\r\nContent-Length: 0\r\n\r\n"
    first, second = run._endpoints["p-0"]
    try:
        with socket.create_connection(first.address) as given_up:
            given_up.sendall(request)
        with socket.create_connection(second.address) as kept:
            kept.sendall(request)
            deadline = time.monotonic() + STARTUP_TIMEOUT_S
            while run.audit._checked["attempts"] < 2 and time.monotonic() < deadline:
                run._run_loop(20 * MS)
        verdicts = run.audit.finish()
        assert verdicts.kept and verdicts.looked_at["attempts"] == 2 and verdicts.looked_at["starts"] == 1
    finally:
        run.close()


# Addresses

_RESERVING_PROGRAM = """
import sys
from ironbarrow.lab.live import ports
ports._FIRST_SECOND_BYTE, ports._FIRST_THIRD_BYTE, ports._NETWORKS = {range}
network = ports.LoopbackNetwork.reserve(2)
print(network.prefix, flush=True)
sys.stdin.read()
"""


@pytest.fixture
def private_range(monkeypatch: pytest.MonkeyPatch) -> tuple[int, int, int]:
    """A range of four networks that no other live run uses, nor tests in another process."""
    number = os.getpid()
    chosen = (200 + number % 50, 1 + 4 * (number // 50 % 50), 4)
    for name, value in zip(("_FIRST_SECOND_BYTE", "_FIRST_THIRD_BYTE", "_NETWORKS"), chosen, strict=True):
        monkeypatch.setattr(ports, name, value)
    return chosen


def test_two_concurrent_runs_in_one_process_both_become_ready(tmp_path: Path) -> None:
    runs = [routed_run(tmp_path / name) for name in ("a", "b")]
    try:
        for run in runs:
            for instance in run.instances:
                instance.start()
        for run in runs:
            for number in range(2):
                run_until_ready_or_ended(run, number)
        found = [(i.status, i.log_path.read_text()) for run in runs for i in run.instances if i.end_times]
        assert found == []
    finally:
        for run in runs:
            run.close()


def test_a_network_is_reserved_across_processes_and_free_once_its_process_is_killed(
    private_range: tuple[int, int, int],
) -> None:
    others = [LoopbackNetwork.reserve(2) for _ in range(3)]
    process = subprocess.Popen(
        [sys.executable, "-c", _RESERVING_PROGRAM.replace("{range}", str(private_range))],
        cwd=Program.own().folder,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        reserved = process.stdout.readline().strip()
        assert len({reserved, *(network.prefix for network in others)}) == 4
        with pytest.raises(LoopbackError, match="no free loopback network"):
            LoopbackNetwork.reserve(2)
    finally:
        process.kill()
        process.communicate(timeout=10)
    for _ in range(2):
        again = LoopbackNetwork.reserve(2)
        assert again.prefix == reserved
        again.close()
    for network in others:
        network.close()


@pytest.mark.parametrize("port", [ports.DISPATCHER_PORT, ports.FLEET_PORT])
def test_a_network_in_which_a_dispatcher_still_listens_is_skipped(port: int, private_range: object) -> None:
    network = LoopbackNetwork.reserve(2)
    network.close()
    with socket.create_server((network.dispatcher(1)[0], port)):
        other = LoopbackNetwork.reserve(2)
        assert other.prefix != network.prefix
        other.close()


def test_addresses_of_a_network_are_distinct_and_its_size_is_checked() -> None:
    network = LoopbackNetwork.reserve(ports.MAX_DISPATCHERS)
    numbers = range(ports.MAX_DISPATCHERS)
    hosts = [address(n)[0] for address in (network.dispatcher, network.lab_listener) for n in numbers]
    hosts.append(network.worker_agents[0])
    network.close()
    assert len(set(hosts)) == len(hosts)
    assert all(socket.inet_aton(host) for host in hosts)
    assert [network.fleet_member(n)[0] for n in numbers] == [network.dispatcher(n)[0] for n in numbers]
    with pytest.raises(LoopbackError, match="expected at most"):
        LoopbackNetwork.reserve(ports.MAX_DISPATCHERS + 1)


def test_the_laboratory_does_not_listen_at_a_dispatchers_address(tmp_path: Path) -> None:
    """Guards against a listener that is given a dispatcher's port, where this is an ephemeral port."""
    run = routed_run(tmp_path)
    try:
        hosts = {instance.address[0] for instance in run.instances}
        listeners = [agent.address for agent in run._discovery_agents]
        listeners += [endpoint.address for endpoints in run._endpoints.values() for endpoint in endpoints]
        assert listeners and not hosts & {host for host, _ in listeners}
    finally:
        run.close()


# Errors of a failed start

_LOGS_AND_EXITS = """
for number in range(30):
    print("line", number, "of the log", flush=True)
raise SystemExit(3)
"""


def test_a_dispatcher_that_ends_at_its_start_is_reported_with_its_status_and_last_log_lines(
    tmp_path: Path,
) -> None:
    run = routed_run(tmp_path, Program([sys.executable, "-c", _LOGS_AND_EXITS], tmp_path))
    with pytest.raises(LiveError) as caught:
        run.run()
    message = str(caught.value)
    assert "ended at its start" in message and str(tmp_path) in message
    assert "exit status 3" in message
    assert "line 29 of the log" in message and "line 20 of the log" in message
    assert "line 19 of the log" not in message


def test_a_dispatcher_that_does_not_become_ready_is_reported_with_its_last_log_lines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ironbarrow.lab.live.run._STARTUP_TIMEOUT_S", 0.3)
    program = "import time; print('still at it', flush=True); time.sleep(60)"
    run = routed_run(tmp_path, Program([sys.executable, "-c", program], tmp_path))
    with pytest.raises(LiveError) as caught:
        run.run()
    message = str(caught.value)
    assert "not all dispatchers are ready" in message and "d0, runs" in message and "d1, runs" in message
