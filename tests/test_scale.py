"""Scale runs: limits, hollow workers and dispatchers, results and tables, and one small run."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from ironbarrow.cli import main
from ironbarrow.cli import scale as command
from ironbarrow.fleet.file import parse
from ironbarrow.fleet.ledgers.messages import Append
from ironbarrow.fleet.members.messages import Ping
from ironbarrow.fleet.starvation.tables import WaitReport
from ironbarrow.fleet.takeover.messages import JobAnswer
from ironbarrow.lab.live.http import HttpClient
from ironbarrow.lab.model.discovery import Entry
from ironbarrow.lab.scale.discovery import DispatcherAgent, RegionFeed, WorkerList
from ironbarrow.lab.scale.fleet import Collected
from ironbarrow.lab.scale.hollow_dispatchers import Counters, HollowMember, LoopGroup
from ironbarrow.lab.scale.hollow_workers import HollowWorkerProcess, dispatcher_of
from ironbarrow.lab.scale.kinds import KINDS, kind_of
from ironbarrow.lab.scale.limits import LimitError, Limits
from ironbarrow.lab.scale.live import ScaleRun
from ironbarrow.lab.scale.measuring import Measurement
from ironbarrow.lab.scale.messages import (
    DispatchersReport,
    Lateness,
    MemberUpdate,
    Traffic,
    WorkerSpec,
    WorkersSpec,
)
from ironbarrow.lab.scale.meters import LATE_MS, LatenessMeter, memory_total_mb, percentile, usage
from ironbarrow.lab.scale.phases import PhaseDurations
from ironbarrow.lab.scale.result import (
    HOLLOW,
    REAL,
    Phase,
    Process,
    PropagationTime,
    Rate,
    ScaleResult,
    StateSizes,
    control_bytes,
    read,
    tables,
    write,
)
from ironbarrow.lab.scale.target import SIZES, Size, size_of, zone_of
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection

ROOT = Path(__file__).parents[1]
TINY = Size(
    "tiny",
    workers=4,
    dispatchers=3,
    real=1,
    teams=2,
    starts_per_second=4.0,
    list_starts_per_second=4.0,
    failures=1,
    rack_workers=1,
    replaced=1,
)


# Sizes


def test_sizes_are_the_whole_fleet_and_fractions_of_it():
    assert [size_of(name).dispatchers for name in SIZES] == [29, 58, 115, 230]
    assert [size_of(name).workers for name in SIZES] == [104, 208, 415, 830]
    whole = size_of("whole")
    assert (whole.teams, whole.starts_per_second, whole.replaced, whole.failures) == (290, 70.0, 250, 8)
    assert whole.hollow == 222


def test_the_number_of_dispatchers_can_be_set_alone():
    few = size_of("whole", dispatchers=23)
    assert (few.name, few.workers, few.dispatchers, few.teams) == ("whole-23d", 830, 23, 290)
    assert few.starts_per_second == pytest.approx(7.0)  # per dispatcher as in the whole fleet
    assert few.list_starts_per_second == 70.0


# Limits


def test_too_many_processes_are_refused_before_any_is_started():
    with pytest.raises(LimitError, match="4 processes exceed the limit of 3"):
        Limits(3, 1000.0).check_plan(4)
    Limits(4, 1000.0).check_plan(4)


def test_too_much_memory_is_an_error():
    own = os.getpid()
    held = usage(own)
    assert held is not None
    with pytest.raises(LimitError, match="exceed the limit of 1 MB"):
        Limits(10, 1.0).check([own])
    assert Limits(10, 10 * held.resident_mb).check([own, 0]) == pytest.approx(held.resident_mb, rel=0.2)


def test_limits_allow_at_most_half_of_the_machines_memory():
    limits = Limits.of_machine()
    assert limits.memory_mb <= memory_total_mb() / 2
    assert limits.processes == 300


def test_a_run_that_exceeds_its_memory_limit_stops_itself(tmp_path: Path):
    run = ScaleRun(TINY, durations=PhaseDurations(calm=60), limits=Limits(300, 20.0), folder=tmp_path)
    result = run.run()
    assert "exceed the limit of 20 MB" in result.stopped
    assert result.phases == []
    assert result.took_s < 30


def test_a_run_with_too_many_processes_starts_none(tmp_path: Path):
    with pytest.raises(LimitError):
        ScaleRun(TINY, limits=Limits(2, 1000.0), folder=tmp_path).run()
    assert list(tmp_path.iterdir()) == []


# Meters


def test_percentiles_are_by_nearest_rank():
    assert percentile([], 0.5) == 0.0
    assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0
    assert percentile([float(n) for n in range(100)], 0.99) == 99.0


def test_a_blocked_loop_is_late():
    loop = Loop(_fail)
    meter = LatenessMeter(loop)
    blocked_until = loop.now() + 300 * MS

    def stand_still() -> None:
        while loop.now() < blocked_until:
            pass
        loop.call_at(loop.now() + 120 * MS, loop.stop)

    loop.call_soon(stand_still)
    loop.run()
    loop.close()
    taken = meter.take()
    assert taken.most_ms >= 200
    assert taken.p99_ms > LATE_MS
    assert meter.take().most_ms == 0.0


def test_messages_are_classified_by_the_part_of_the_fleet():
    kinds = [kind_of(kind) for kind in (Ping, Append, JobAnswer, WaitReport)]
    assert kinds == [KINDS[0], KINDS[1], KINDS[2], KINDS[4]]


def _fail(error: Exception) -> None:
    raise error


# Hollow workers


class CallBackServer:
    """A dispatcher's server that records call-backs."""

    def __init__(self, loop: Loop) -> None:
        from ironbarrow.lab.live.http import Server, next_message

        self.messages: list[dict[str, Any]] = []
        listener = listen(("127.0.0.1", 0))
        self.address: Address = listener.getsockname()[:2]

        def serve(connection: Connection) -> Coroutine[None]:
            while True:
                _, request = yield from next_message(loop, connection, SECOND, SECOND)
                assert (request.method, request.target) == ("POST", "/callback")
                self.messages.append(msgspec.json.decode(request.body))
                yield from connection.write(connection.response_bytes(204), loop.now() + SECOND)
                if not connection.next_cycle():
                    return

        self.server = Server(loop, listener, serve)


class WorkerWorld:
    """One hollow worker in region north with two slots, and one dispatcher's server."""

    def __init__(self) -> None:
        # reserve free ports, since the specification has to name them
        probes = [listen(("127.0.0.1", 0)) for _ in range(2)]
        self.addresses = [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]
        for probe in probes:
            probe.close()
        addresses = dict(zip(("north", "south"), self.addresses, strict=True))
        spec = WorkerSpec("w0", "north-1", addresses)
        front = listen(("127.0.0.1", 0))
        address = "{}:{}".format(*front.getsockname()[:2])
        front.close()
        self.process = HollowWorkerProcess(WorkersSpec([spec], [address], 2, 0.05, 10.0))
        self.loop = self.process.loop
        self.call_backs = CallBackServer(self.loop)
        self.process._dispatcher_clients = [HttpClient(self.loop, self.call_backs.address)]
        self.answers: list[tuple[int, dict[str, str], bytes]] = []

    def ask(self, *requests: tuple[str, str, str], region: int = 0, lasts: int = 400 * MS) -> None:
        """Sends requests (method, target, job id) in sequence; runs the loop for ``lasts`` ns."""
        host, _, port = self.addresses[region].rpartition(":")
        client = HttpClient(self.loop, (host, int(port)))

        def send_requests() -> Coroutine[None]:
            for method, target, job_id in requests:
                headers = [("X-Request-ID", job_id)] if job_id else []
                answer = yield from client.exchange(method, target, headers, b"", self.loop.now() + SECOND)
                self.answers.append((answer.status, answer.headers, answer.body))

        self.loop.spawn(send_requests())
        self.loop.call_at(self.loop.now() + lasts, self.loop.stop)
        self.loop.stopped = False
        self.loop.run()

    def close(self) -> None:
        self.loop.close()


@pytest.fixture
def workers():
    made = WorkerWorld()
    yield made
    made.close()


def test_a_hollow_worker_accepts_a_job_and_calls_back(workers: WorkerWorld):
    workers.ask(("POST", "/task/1", "j-0-1"))
    assert [status for status, _, _ in workers.answers] == [202]
    assert [
        (message["id"], message["from"], message["state"]) for message in workers.call_backs.messages
    ] == [
        ("j-0-1", "w0", "started"),
        ("j-0-1", "w0", "done"),
    ]
    assert workers.call_backs.messages[1]["result"] == "done j-0-1"
    assert workers.call_backs.messages[1]["load"] == {"eps": 0.0, "queue": 0.0, "x0": 2.0}


def test_a_full_hollow_worker_answers_that_the_job_was_not_processed(workers: WorkerWorld):
    jobs = [("POST", "/task/1", f"j-0-{n}") for n in (1, 2, 3)]
    workers.ask(*jobs, lasts=40 * MS)
    assert [status for status, _, _ in workers.answers] == [202, 202, 503]
    assert workers.answers[2][1]["x-not-processed"] == "1"


def test_a_hollow_worker_answers_probes_and_forgets_a_cancelled_job(workers: WorkerWorld):
    workers.ask(
        ("GET", "/-/healthy", ""),
        ("POST", "/task/1", "j-0-1"),
        ("GET", "/-/load", ""),
        ("DELETE", "/jobs/j-0-1", ""),
        ("GET", "/-/load", ""),
        ("GET", "/elsewhere", ""),
        ("POST", "/task/1", ""),
    )
    assert [status for status, _, _ in workers.answers] == [200, 202, 200, 204, 200, 404, 400]
    assert workers.answers[2][2] == b"eps=0,queue=0,x0=1"
    assert workers.answers[4][2] == b"eps=0,queue=0,x0=2"
    assert [message["state"] for message in workers.call_backs.messages] == ["started"]
    assert set(workers.process.requests) == {"probes", "jobs", "cancellations", "other"}


def test_a_hollow_worker_does_not_answer_a_partitioned_region(workers: WorkerWorld):
    workers.process.cut = True
    workers.ask(("GET", "/-/healthy", ""), region=1, lasts=200 * MS)
    assert workers.answers == []
    workers.ask(("GET", "/-/healthy", ""), region=0, lasts=200 * MS)
    assert [status for status, _, _ in workers.answers] == [200]


def test_the_dispatcher_of_a_job_is_read_from_its_id():
    assert dispatcher_of("j-17-3") == 17
    assert [dispatcher_of(text) for text in ("", "j-17", "j-x-3", "k-17-3")] == [None] * 4


# Worker list


def test_an_agent_publishes_a_change_after_its_own_delay():
    loop = Loop(_fail)
    workers = WorkerList([Entry("w0", "north-1", "", 5.0)])
    region = RegionFeed(workers, {"w0": "127.0.0.1:1", "w1": "127.0.0.1:2"})
    traffic: dict[str, Traffic] = {name: Traffic() for name in ("heads", "changes", "whole lists")}
    agent = DispatcherAgent(loop, region, 100 * MS, traffic)
    changed_at, heard_at = 0, 0
    client_connection: list[Connection] = []

    def follow() -> Coroutine[None]:
        nonlocal changed_at, heard_at
        from ironbarrow.transport.http import connect

        until = loop.now() + 2 * SECOND
        connection = yield from connect(agent.address, until)
        client_connection.append(connection)
        headers = [("Host", "discovery")]
        target = "/api/targets?follow=1&since=1"
        yield from connection.write(connection.request_bytes("GET", target, headers), until)
        yield from connection.next_event(until)  # the head
        yield from sleep(loop.now() + 50 * MS)
        changed_at = loop.now()
        assert workers.change(Entry("w1", "north-2", "", 5.0)) == 2
        event = yield from connection.next_event(until)
        heard_at = loop.now()
        change = msgspec.json.decode(bytes(event.data))  # type: ignore[union-attr]
        assert (change["index"], change["snapshot"]) == (2, False)
        assert [line["name"] for line in change["endpoints"]] == ["w1"]
        loop.stop()

    loop.spawn(follow())
    loop.call_at(loop.now() + 3 * SECOND, loop.stop)
    loop.run()
    client_connection[0].close()
    loop.close()
    assert heard_at - changed_at >= 100 * MS
    assert traffic["changes"].messages == 1


# Hollow dispatchers' members


def test_members_of_two_regions_see_each_other_dead_during_a_partition():
    loop = Loop(_fail)
    counters = Counters(["d0"])
    listeners = {name: listen(("127.0.0.1", 0)) for name in ("d0", "d1", "d4")}
    addresses = {name: f"127.0.0.1:{one.getsockname()[1]}" for name, one in listeners.items()}
    members = {}
    for name, listener in listeners.items():
        seeds = tuple(f"{other}={address}" for other, address in addresses.items() if other != name)
        listener.close()
        text = f"listen = {json.dumps(addresses[name])}\nseeds = {json.dumps(seeds)}\n"
        fleet = parse(text.encode(), "test", name)
        members[name] = HollowMember(loop, fleet, name, zone_of(int(name[1:])), "", counters=counters)

    def alive(name: str) -> list[str]:
        return [member.card.incarnation.name for member in members[name].members.alive()]

    def run_until(condition: Callable[[], bool]) -> bool:
        limit = loop.now() + 30 * SECOND
        while not condition() and loop.now() < limit:
            loop.call_at(loop.now() + 20 * MS, lambda: None)
            loop.run_once()
        return condition()

    try:
        assert run_until(lambda: all(len(alive(name)) == 3 for name in members))
        counters.cut = True
        assert run_until(lambda: alive("d0") == ["d0", "d1"] and alive("d4") == ["d4"])
        counters.cut = False
        assert run_until(lambda: all(len(alive(name)) == 3 for name in members))
        dead = {
            (update.observer, update.subject) for update in counters.member_news if update.health == "dead"
        }
        assert dead >= {("d0", "d4"), ("d1", "d4"), ("d4", "d0"), ("d4", "d1")}
        sent, received = counters.sent["members"], counters.received["members"]
        assert 0 < received.messages <= sent.messages
        assert 0 < counters.from_real["members"].messages < received.messages
        assert sent.messages == sum(traffic.messages for traffic in counters.sent_by_type.values())
    finally:
        for member in members.values():
            member.close()
        loop.close()


def test_a_loop_removed_from_its_group_does_not_run():
    # guards against a loop that runs once more because its timer is due in the pass in which it is removed
    leading, other = Loop(_fail), Loop(_fail)
    group = LoopGroup(leading)
    ticks: list[str] = []

    def tick() -> None:
        ticks.append("tick")
        other.call_at(other.now() + 10 * MS, tick)

    def remove() -> None:
        group.remove(other)
        ticks.append("out")
        while other.poll_timeout_s() > 0:
            pass  # the pass of the group goes on once the next tick is due

    tick()
    group.add(other)
    leading.call_at(leading.now() + 100 * MS, remove)
    leading.call_at(leading.now() + 200 * MS, leading.stop)
    group.run()
    assert ticks[-1] == "out"
    assert ticks.count("tick") >= 3
    other.close()
    leading.close()


# Measurements


def test_deaths_exclude_incarnations_that_a_later_one_replaces():
    updates = [
        MemberUpdate(1, "d0", "d1", 10, "alive"),
        MemberUpdate(2, "d0", "d1", 10, "dead"),
        MemberUpdate(3, "d0", "d1", 20, "alive"),  # a later incarnation of the same member
        MemberUpdate(4, "d0", "d2", 10, "suspect"),
        MemberUpdate(5, "d0", "d2", 10, "dead"),
        MemberUpdate(6, "d3", "d2", 10, "dead"),
        MemberUpdate(7, "d3", "d2", 10, "alive"),  # seen dead, then alive again in the same incarnation
    ]
    measurement = Measurement(None, None, "calm")  # type: ignore[arg-type]
    report = DispatchersReport(Lateness(0, 0, 0), member_news=updates)
    measurement.collected = Collected(dispatchers=[report])
    assert [(one.observer, one.subject) for one in measurement.deaths()] == [("d0", "d2"), ("d3", "d2")]
    assert measurement._replaced_incarnations() == {("d1", 10)}


def test_updates_count_once_for_each_pair_of_members():
    updates = [MemberUpdate(at, "d0", "d1", 10, "dead") for at in (2_000_000, 5_000_000)]
    measurement = Measurement(None, None, "calm")  # type: ignore[arg-type]
    first = measurement.propagation_time("deaths", measurement.first_of_each(updates), 0, 1)
    last = measurement.propagation_time("deaths", measurement.last_of_each(updates), 0, 1)
    assert (first.last_ms, first.told, first.expected) == (2.0, 1, 1)
    assert (last.last_ms, last.told) == (5.0, 1)


# Results


def make_phase(name: str = "calm", *, late: bool = False) -> Phase:
    rates = [Rate("members", 7.0, 500.0)]
    processes = [Process(REAL, 8, 8, 2.5, 3.5, 30.0, 31.0), Process(HOLLOW, 2, 10, 10.0, 12.0, 60.0, 61.0)]
    return Phase(
        name,
        20.0,
        late,
        1.0,
        150.0 if late else 20.0,
        4.0,
        rates,
        rates,
        rates,
        [Rate("changes", 1.0, 2000.0)],
        Rate("probes", 0.5, 100.0),
        processes,
        [PropagationTime("changes of the list of workers", 5.0, 20.0, 33.0, 10, 10)],
        StateSizes(29.0, 29, 104.0, 3.0, 8.0, 6000.0),
        {"served": 12, "refused": 1},
        0,
        0,
    )


def make_result(size: str = "1-8", dispatchers: int = 29, *, late: bool = False) -> ScaleResult:
    return ScaleResult(size, 104, dispatchers, 8, 37, 8.75, 0.5, 400.0, 11, 120.0, [make_phase(late=late)])


def test_a_result_is_read_back_as_written(tmp_path: Path):
    path = tmp_path / "results" / "scale-1-8.json"
    write(make_result(), path)
    assert read(path) == make_result()


def test_tables_have_a_column_for_each_size_and_the_budget():
    text = tables([make_result("1-4", 58), make_result("1-8", 29)])
    assert "| a dispatcher, calm | 1-8 | 1-4 |" in text  # in order of size
    assert "| CPU of a real process, % of a core, mean (most) | 2.5 (3.5) | 2.5 (3.5) | 3.2 |" in text
    assert "| control, bytes/s both ways | 3100 | 3100 | 15000 |" in text
    assert "| CPU of a hollow one, % of a core, mean | 2.00 | 2.00 | 3.2 |" in text
    for block in text.split("\n\n"):
        lines = [line for line in block.splitlines() if line.startswith("|")]
        assert len({line.count("|") for line in lines}) <= 1  # the same number of cells in each row


def test_tables_show_no_values_of_a_late_run():
    text = tables([make_result(late=True)])
    assert "1-8 (late)" in text
    assert "| control, bytes/s both ways | late | 15000 |" in text
    assert "2.5 (3.5)" not in text
    assert "| 1.0 / 150.0 |" in text


def test_control_bytes_exclude_the_jobs():
    assert control_bytes(make_phase()) == 500 + 500 + 2000 + 100


# A small run


def test_a_small_run_counts_messages_of_real_and_hollow_dispatchers(tmp_path: Path):
    durations = PhaseDurations(
        1, calm=4, workers=2, rack=2, zone=1.5, zone_back=1, cut=2, heal=2, rolling=1.5
    )
    found = ScaleRun(TINY, durations=durations, folder=tmp_path).run()
    assert (found.stopped, found.errors) == ("", 0)
    assert found.all_met_after_s >= 0
    names = ["calm", "workers fail", "rack lost", "zone lost", "zone back", "regions apart"]
    assert [phase.name for phase in found.phases] == [*names, "regions together again", "rolling restart"]
    calm = found.phases[0]
    assert calm.held.members == 3
    assert calm.held.workers == 4
    assert {rate.kind for rate in calm.sent} >= {"members", "ledgers"}
    assert all(rate.messages > 0 for rate in calm.from_real)
    assert calm.told[0].expected >= 2
    assert calm.told[0].told == calm.told[0].expected
    real = next(process for process in calm.processes if process.role == REAL)
    assert real.processes == 1
    assert 10 < real.resident_mb_most < 64
    assert found.processes == 4  # with the leader
    assert not [line for log in tmp_path.glob("*.log") for line in _errors(log)]


def test_a_run_ended_by_sigterm_leaves_no_process_behind(tmp_path: Path):
    code = (
        "from pathlib import Path; from ironbarrow.lab.scale.live import ScaleRun; "
        "from tests.test_scale import TINY; "
        f"print(ScaleRun(TINY, folder=Path({str(tmp_path)!r})).run().stopped)"
    )
    process = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    limit = time.monotonic() + 30
    while not (tmp_path / "d0.log").exists() and time.monotonic() < limit:
        time.sleep(0.05)
    time.sleep(1)
    assert len(_processes_of(tmp_path)) >= 3  # two hollow processes, one real dispatcher
    process.send_signal(signal.SIGTERM)
    output, _ = process.communicate(timeout=30)
    assert output.strip() == "told to stop"
    assert _processes_of(tmp_path) == []


def _processes_of(folder: Path) -> list[int]:
    """Ids of processes with a file of the folder in their arguments or environment."""
    found = []
    for place in Path("/proc").iterdir():
        if place.name.isdigit():
            try:
                started_with = (place / "cmdline").read_bytes() + (place / "environ").read_bytes()
            except OSError:
                continue
            if f"{folder}/".encode() in started_with:
                found.append(int(place.name))
    return found


def _errors(log: Path) -> list[str]:
    return [line for line in log.read_text().splitlines() if "Traceback" in line or '"error"' in line]


# The command


def run_command(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, *, late: bool, stopped: str = ""
) -> list[str]:
    """The sizes that the command runs when asked for 1-4 and every run has this outcome."""
    sizes_run: list[str] = []

    def run(name: str, dispatchers: int) -> ScaleResult:
        sizes_run.append(name)
        made = make_result(name, late=late)
        made.stopped = stopped
        return made

    monkeypatch.setattr(command, "_run_size", run)
    CliRunner().invoke(main.app, ["lab", "scale", "--size", "1-4", "--out", str(tmp_path)])
    assert [path.name for path in sorted(tmp_path.iterdir())] == sorted(f"scale-{n}.json" for n in sizes_run)
    return sizes_run


def test_a_late_run_is_repeated_at_the_next_smaller_size(monkeypatch: pytest.MonkeyPatch, tmp_path: Path):
    assert run_command(monkeypatch, tmp_path, late=True) == ["1-4", "1-8"]


def test_a_run_in_time_is_not_repeated(monkeypatch: pytest.MonkeyPatch, tmp_path: Path):
    assert run_command(monkeypatch, tmp_path, late=False) == ["1-4"]


def test_nothing_follows_a_run_that_was_stopped(monkeypatch: pytest.MonkeyPatch, tmp_path: Path):
    assert run_command(monkeypatch, tmp_path, late=True, stopped="told to stop") == ["1-4"]


def test_an_unknown_size_and_a_folder_without_results_are_errors(tmp_path: Path):
    asked = CliRunner().invoke(main.app, ["lab", "scale", "--size", "1-3"])
    assert (asked.exit_code, asked.output.count("1-3")) == (2, 1)
    asked = CliRunner().invoke(main.app, ["lab", "scale", "--tables", "--out", str(tmp_path)])
    assert asked.exit_code == 2
