"""Link proxies, the audit of jobs over several dispatchers, and live runs with faults between dispatchers."""

import multiprocessing
import socket
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ironbarrow.config.units import ms
from ironbarrow.fleet.api import Change, Claimed, Moved, NoMajority
from ironbarrow.fleet.codec import FrameSplitter
from ironbarrow.fleet.file import parse
from ironbarrow.lab.audit import Auditor, Breach
from ironbarrow.lab.fleet.files import fleet_file
from ironbarrow.lab.fleet.links import CUT, NO_FAULT, LinkFault, LinkProxies
from ironbarrow.lab.live.run import LiveRun
from ironbarrow.lab.model.spec import (
    Fault,
    Fleet,
    World,
    WorldError,
    convert,
    load_world,
    to_plain_data,
    with_fleet,
)
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.lab.sim.run import Simulation
from ironbarrow.runtime.loop import MS, Loop
from ironbarrow.runtime.sockets import listen
from tests.test_fleet_ledgers import job_ledger, open_fleet, puts

EXPERIMENTS = Path(__file__).parents[1] / "experiments"


def world(*faults: Fault, **changes: Any) -> World:
    small = with_fleet(load_world(EXPERIMENTS / "small.toml"))
    return msgspec.structs.replace(small, faults=list(faults), **changes)


# Link proxies


class ProxiedConnection:
    """Both ends of a connection from a to b through a proxy."""

    def __init__(self) -> None:
        self.loop = Loop(self.failed)
        self.links = LinkProxies(self.loop, seed=3)
        self.b_listener = listen(("127.0.0.1", 0))
        address = self.links.add("a", "b", ("127.0.0.1", 0), self.b_listener.getsockname()[:2])
        self.a = socket.create_connection(address)
        self.a.setblocking(False)
        self.run_for(20)
        self.b, _ = self.b_listener.accept()
        self.b.setblocking(False)
        self.splitters = {self.a: FrameSplitter(), self.b: FrameSplitter()}

    def failed(self, error: Exception) -> None:
        raise error

    def run_for(self, duration_ms: int) -> None:
        until = self.loop.now() + duration_ms * MS
        while self.loop.now() < until:
            self.loop.call_at(self.loop.now() + MS, lambda: None)
            self.loop.run_once()

    def send_frames(self, end: socket.socket, numbers: range) -> None:
        end.sendall(b"".join(len(b"%d" % n).to_bytes(4, "big") + b"%d" % n for n in numbers))

    def received(self, end: socket.socket) -> list[int] | None:
        """Returns the numbers received since the last call; None at the end of the connection."""
        found: list[int] = []
        while True:
            try:
                data = end.recv(65536)
            except BlockingIOError:
                return found
            if not data:
                return None
            found += [int(frame) for frame in self.splitters[end].feed(data)]

    def close(self) -> None:
        self.links.close()
        self.loop.close()
        for sock in (self.a, self.b, self.b_listener):
            sock.close()


@pytest.fixture
def connection() -> Iterator[ProxiedConnection]:
    proxied = ProxiedConnection()
    yield proxied
    proxied.close()


ALL = list(range(400))
LINK_FAULTS = {
    "no fault": (NO_FAULT, lambda got: got == ALL),
    "delayed": (LinkFault(delay=30 * MS), lambda got: got == ALL),
    "lost": (LinkFault(lost=0.5), lambda got: 150 < len(got) < 250 and got == sorted(set(got))),
    "doubled": (LinkFault(doubled=1.0), lambda got: got == sorted(ALL * 2)),
    "reordered": (LinkFault(jitter=50 * MS), lambda got: got != ALL and sorted(got) == ALL),
    "cut": (CUT, lambda got: got == []),
}


@pytest.mark.parametrize(("fault", "is_expected"), LINK_FAULTS.values(), ids=LINK_FAULTS)
def test_a_proxy_applies_a_fault_to_its_direction_only(
    connection: ProxiedConnection, fault: LinkFault, is_expected: Any
) -> None:
    connection.links.set([("a", "b")], fault)
    connection.send_frames(connection.a, range(400))
    connection.send_frames(connection.b, range(7))
    connection.run_for(120)
    assert is_expected(connection.received(connection.b))
    assert connection.received(connection.a) == list(range(7))
    connection.links.heal()
    connection.send_frames(connection.a, range(5))
    connection.run_for(20)
    assert connection.received(connection.b) == list(range(5))  # the same connection works again


def test_a_cut_link_hides_the_end_of_a_connection_until_it_is_healed(connection: ProxiedConnection) -> None:
    connection.links.set([("b", "a")], CUT)
    connection.b.close()
    connection.run_for(60)
    assert connection.received(connection.a) == []
    connection.links.heal()
    connection.run_for(60)
    assert connection.received(connection.a) is None


def test_a_stalled_reader_blocks_its_writer_and_loses_nothing(connection: ProxiedConnection) -> None:
    sent_batches, frame = 0, b"x" * 60_000
    data = (len(frame).to_bytes(4, "big") + frame) * 20
    pending = b""
    for _ in range(60):
        connection.run_for(2)
        pending = pending or data
        try:
            sent = connection.a.send(pending)
        except BlockingIOError:
            continue
        sent_batches += not pending[sent:]
        pending = pending[sent:]
    assert sent_batches < 60  # the writer was blocked
    found = 0
    for _ in range(400):
        connection.run_for(2)
        if pending:
            try:
                pending = pending[connection.a.send(pending) :]
                sent_batches += not pending
            except BlockingIOError:
                pass
        try:
            while got := connection.b.recv(1 << 20):
                found += len(connection.splitters[connection.b].feed(got))
        except BlockingIOError:
            pass
        if not pending and found == sent_batches * 20:
            break
    assert found == sent_batches * 20 > 0


# Worlds


@pytest.mark.parametrize(
    ("fault", "named_key"),
    [
        ({"kind": "links cut", "at": "1 s", "lasts": "1 s"}, "a pair or two zones"),
        ({"kind": "links cut", "at": "1 s", "pair": [0, 1]}, "faults[0].lasts"),
        ({"kind": "links", "at": "1 s", "lasts": "1 s", "pair": [0, 9]}, "faults[0].pair"),
        ({"kind": "links", "at": "1 s", "lasts": "1 s", "pair": [1, 1]}, "faults[0].pair"),
        ({"kind": "links", "at": "1 s", "lasts": "1 s", "lost": 2.0}, "lost"),
        ({"kind": "links cut", "at": "1 s", "lasts": "1 s", "zones": ["north", "x"]}, "zones"),
        ({"kind": "dispatcher stopped", "at": "1 s"}, "faults[0].lasts"),
    ],
)
def test_an_invalid_fleet_fault_is_reported_with_its_key(fault: dict[str, Any], named_key: str) -> None:
    raw = {**to_plain_data(world()), "faults": [fault]}
    with pytest.raises(WorldError) as error:
        convert(raw, World, "w.toml")
    assert named_key in str(error.value)


def test_link_faults_without_a_fleet_and_a_simulated_fleet_are_rejected() -> None:
    alone = load_world(EXPERIMENTS / "small.toml")
    fault = {"kind": "links", "at": "1 s", "lasts": "1 s"}
    with pytest.raises(WorldError, match=r"expects \[dispatchers.fleet\]"):
        convert({**to_plain_data(alone), "faults": [fault]}, World, "w.toml")
    with pytest.raises(WorldError, match="live runs only"):
        Simulation(world(), 1)


def test_the_fleet_file_of_a_world_is_valid() -> None:
    rules = convert(
        {"ledgers": {"keepers": 5}, "members": {"period": "200 ms"}, "without_majority": {"a": "turn away"}},
        Fleet,
        "w.toml",
    )
    text = fleet_file(rules, "127.0.0.1:9100", "north", {"d1": "127.0.0.1:1", "d2": "127.0.0.1:2"})
    read = parse(text.encode(), "fleet.toml", "d0")
    assert (read.ledgers.replicas, read.members.period, read.site) == (5, ms(200), "north")
    assert read.seed_addresses() == {"d1": ("127.0.0.1", 1), "d2": ("127.0.0.1", 2)}
    assert read.routes == {"d1": "127.0.0.1:1", "d2": "127.0.0.1:2"}
    assert read.without_majority == {"a": "turn away"}


FAULTS_AND_PAIRS = [
    (Fault(kind="links cut", at=ms(0), pair=[0, 2], one_way=True), [("d0", "d2")]),
    (Fault(kind="links cut", at=ms(0), pair=[2, 0]), [("d0", "d2"), ("d2", "d0")]),
    (Fault(kind="links cut", at=ms(0), zones=["north", "south"], one_way=True), [("d0", "d2")]),
    (
        Fault(kind="links cut", at=ms(0), zones=["middle", "north", "south"]),
        [("d0", "d1"), ("d1", "d0"), ("d1", "d2"), ("d2", "d1")],
    ),
    (Fault(kind="links", at=ms(0)), [(f"d{a}", f"d{b}") for a in range(3) for b in range(3) if a != b]),
]


def test_faults_apply_to_the_links_that_they_name(tmp_path: Path) -> None:
    run = LiveRun(load_world(EXPERIMENTS / "kill-day.toml"), 1, tmp_path)
    for fault, pairs in FAULTS_AND_PAIRS:
        assert run.link_pairs(fault) == pairs
    run.loop.close()


# The audit of one job id over several dispatchers

TAKEN, TAKEN_AGAIN = ("taken", "j", 7, 0, 10**10), ("taken", "j", 7, 1, 10**10)
SERVED = ("answered", "served")
DISPATCHER_DIED, CLIENT_LEFT = ("dispatcher_died", 0), ("client_left", "j")
DONE = [("job_ended", "p", "j", "done"), ("attempt_over", "j", "p")]
EVENT_SEQUENCES: dict[str, tuple[list[Any], Breach | None]] = {
    "taken over once": (
        [
            TAKEN,
            ("attempt_sent", "j", "p"),
            DISPATCHER_DIED,
            CLIENT_LEFT,
            TAKEN_AGAIN,
            ("job_started", "p", "j"),
            *DONE,
            ("answered", "served"),
        ],
        None,
    ),
    "deleted, then sent again": (
        [
            TAKEN,
            ("attempt_sent", "j", "p"),
            DISPATCHER_DIED,
            CLIENT_LEFT,
            TAKEN_AGAIN,
            ("attempt_over", "j", "p"),
            ("attempt_sent", "j", "q"),
        ],
        Breach.UNSAFE_RESEND,  # for a booking; allowed for a safe job
    ),
    "sent again beside the first": (
        [TAKEN, ("attempt_sent", "j", "p"), DISPATCHER_DIED, TAKEN_AGAIN, ("attempt_sent", "j", "q")],
        Breach.SECOND_COPY,
    ),
    "a booking started by two workers": (
        [TAKEN, ("job_started", "p", "j"), DISPATCHER_DIED, TAKEN_AGAIN, ("job_started", "q", "j")],
        Breach.UNSAFE_JOB_RAN_TWICE,
    ),
    "four attempts over two dispatchers": (
        [TAKEN, *[("attempt_sent", "j", "p"), ("never", "j", "p")] * 2, DISPATCHER_DIED, TAKEN_AGAIN]
        + [("attempt_sent", "j", "p"), ("never", "j", "p")] * 2,
        Breach.TOO_MANY_ATTEMPTS,
    ),
    "the same answer twice": (
        [TAKEN, ("attempt_sent", "j", "p"), ("job_started", "p", "j"), *DONE, SERVED, TAKEN_AGAIN, SERVED],
        None,
    ),
    "two answers that differ": (
        [TAKEN, ("answered", "refused"), TAKEN_AGAIN, ("answered", "failed")],
        Breach.TWO_ANSWERS,
    ),
    "run after its refusal": (
        [TAKEN, ("answered", "refused"), ("job_started", "p", "j")],
        Breach.UNSAFE_REFUSAL,
    ),
}


@pytest.mark.parametrize(("steps", "breach"), EVENT_SEQUENCES.values(), ids=EVENT_SEQUENCES)
def test_the_audit_follows_an_id_over_all_dispatchers(steps: list[Any], breach: Breach | None) -> None:
    audit = Auditor(SimulatedClock(), world())
    for what, *more in steps:
        if what == "taken":
            audit.job_taken(*more, unsafe=True)
        elif what == "answered":
            audit.job_answered("j", *more)
        elif what in ("attempt_over", "never"):
            audit.attempt_finished(*more, never_ran=what == "never")
        else:
            getattr(audit, what)(*more)
    assert dict(audit.finish().breaches) == ({breach.value: 1} if breach else {})


# Ledgers in states that earlier live runs with kills had produced


def test_a_writer_whose_replicas_restarted_moves_once_it_holds_no_jobs() -> None:
    fleet = open_fleet(6)
    ledger, at = job_ledger(fleet, "m0"), fleet.location("m0")
    fleet.call("m0", "append", ledger, puts(20))
    fleet.run(5)
    for replica in at.replicas[:2]:
        fleet.kill(replica.name)
    fleet.call("m0", "append", ledger, puts(3, 50))
    fleet.run(3000)
    assert (
        fleet.location("m0") == at and fleet.events("m0", NoMajority)[-1].restored is False
    )  # replicas seen as dead may just be partitioned
    for replica in at.replicas[:2]:
        fleet.net.start(replica.name)
    fleet.run(1000)
    # before their restart the replicas may have decided that another member takes over the content
    assert fleet.location("m0") == at and not fleet.events("m0", NoMajority)[-1].restored
    fleet.call("m0", "append", ledger, [Change(c.key) for c in (*puts(20), *puts(3, 50))])
    fleet.run(1000)
    moved = fleet.events("m0", Moved)[-1].at
    assert (moved.segment, len(moved.replicas)) == (1, 3) and not set(moved.replicas) & set(at.replicas[:2])
    assert fleet.events("m0", NoMajority)[-1].restored
    fleet.call("m0", "append", ledger, puts(4, 90))
    fleet.run(5)
    fleet.kill("m0")
    by = next(n for n in fleet.names[1:] if fleet.net.peers[n].node)
    fleet.call(by, "claim", moved)
    fleet.run(200)
    assert fleet.events(by, Claimed)[0].content.keys() == {c.key for c in puts(4, 90)}


def test_a_writer_that_started_with_too_few_replicas_gets_the_full_number_and_keeps_it() -> None:
    fleet = open_fleet(3)
    fleet.kill("m2")
    fleet.net.start("m1")
    fleet.call("m1", "create", job_ledger(fleet, "m1"))
    fleet.run(50)
    assert len(fleet.location("m1").replicas) < 3
    fleet.net.start("m2")
    fleet.run(300)
    assert len(fleet.location("m1").replicas) == 3
    fleet.net.pause("m2")  # slow, not dead
    fleet.call("m1", "append", job_ledger(fleet, "m1"), puts(1))
    fleet.run(3000)
    assert len(fleet.location("m1").replicas) == 3


# Live runs: several dispatcher processes with faults between them, judged by the workers' counts

LIVE_WORLD = """
name = "tried"
duration = "4 s"
arrivals = { rate = 30.0, shape = "even" }
network = { zones = ["north", "middle", "south"] }
clients = { retries = 0, notice = "500 ms", same_id = true }
[dispatchers]
count = 5
tells_start = false
probes = false
[dispatchers.fleet.ledgers]
wait = "2 s"
[dispatchers.fleet.without_majority]
map = "turn away"
booking = "turn away"
[[classes]]
name = "map"
share = 0.65
work = { mean = "400 ms", kind = "fixed" }
wanted = "4 s"
deadline = "6 s"
[[classes]]
name = "booking"
share = 0.35
work = { mean = "1200 ms", kind = "fixed" }
wanted = "4 s"
deadline = "6 s"
effect = "unsafe"
[[workers]]
name = "p"
count = 6
cores = 10
slots = 10
"""
FORBIDDEN_BREACHES = (
    Breach.TWO_ANSWERS,
    Breach.SECOND_COPY,
    Breach.TOO_MANY_ATTEMPTS,
    Breach.UNSAFE_JOB_RAN_TWICE,
    Breach.UNSAFE_RESEND,
    Breach.UNSAFE_REFUSAL,
    Breach.UNFOUNDED_SUCCESS,
)


@dataclass(frozen=True)
class Case:
    """The faults of a run, and the least effects that they must have had.

    ``most_lost`` is above 0 only where the replicas of a ledger are lost together with its dispatcher."""

    faults: tuple[Fault, ...] = ()
    # dispatchers' first incarnations crash at these fault points
    crash_points: tuple[tuple[int, str], ...] = ()
    first_crash_point: str = ""  # the first dispatcher that reaches this fault point crashes
    # dispatchers stop at these fault points, for so many ms
    pause_points: tuple[tuple[int, str, int], ...] = ()
    least_ends: int = 0
    least_stops: int = 0
    least_adopted: int = 0
    frame_outcomes: tuple[str, ...] = ()
    most_lost: int = 0


def kill(number: int, at: float, down: float = 500) -> Fault:
    return Fault(kind="dispatcher killed", at=ms(at), dispatcher=number, down=ms(down))


def link_fault(at: float, lasts: float, **how: Any) -> Fault:
    return Fault(kind="links cut" if not how.get("lost") else "links", at=ms(at), lasts=ms(lasts), **how)


BAD_LINKS = link_fault(300, 3500, lost=0.15, doubled=0.15, delay=ms(5), jitter=ms(40))
CASES = {
    "bad links": Case((BAD_LINKS,), frame_outcomes=("lost", "doubled")),
    "bad links and one killed": Case(
        (BAD_LINKS, kill(1, 1200)), least_ends=1, least_adopted=1, frame_outcomes=("lost",)
    ),
    "one killed": Case((kill(0, 1500),), least_ends=1, least_adopted=1),
    "two killed at once, with a majority of the replicas of some ledgers": Case(
        (kill(0, 1500), kill(1, 1500)), least_ends=2
    ),
    "one killed while another gets nothing from a third": Case(
        (link_fault(500, 3000, pair=[1, 3], one_way=True), kill(0, 1500)),
        least_ends=1,
        least_adopted=1,
        frame_outcomes=("cut off",),
    ),
    "a site cut off": Case(
        (link_fault(1000, 2000, zones=["south", "north", "middle"]),), frame_outcomes=("cut off",)
    ),
    "one stopped": Case(
        (Fault(kind="dispatcher stopped", at=ms(1200), lasts=ms(3000), dispatcher=2),),
        least_stops=1,
        least_adopted=1,
    ),
    "one stopped briefly": Case(
        (Fault(kind="dispatcher stopped", at=ms(1200), lasts=ms(600), dispatcher=2),), least_stops=1
    ),
    "one restarted": Case(
        (Fault(kind="dispatcher restarted", at=ms(1200), dispatcher=1, down=ms(100)),), least_ends=1
    ),
    "crash between intent and first byte": Case(
        crash_points=((0, "after-intent:8"),), least_ends=1, least_adopted=1
    ),
    "stop between intent and first byte": Case(
        pause_points=((0, "after-intent:8", 3000),), least_stops=1, least_adopted=1
    ),
    "the claimant crashes between seal and adoption": Case(
        (kill(0, 1500),), first_crash_point="after-seal:1", least_ends=2
    ),
    "the claimant crashes right after the adoption": Case(
        (kill(0, 1500),), first_crash_point="after-adoption:1", least_ends=2
    ),
}


def run_case(name: str, folder: Path) -> dict[str, Any]:
    """Runs a case; called in a process of its own."""
    case = CASES[name]
    raw = {**msgspec.toml.decode(LIVE_WORLD), "faults": to_plain_data(list(case.faults))}
    run = LiveRun(convert(raw, World, name), 1, folder)
    if case.first_crash_point:
        run.inject_first_exit(case.first_crash_point, 500 * MS)
    for number, point in case.crash_points:
        run.inject_exit(number, point, 500 * MS)
    for number, point, lasts in case.pause_points:
        run.inject_stop(number, point, lasts * MS)
    result = run.run()
    notes = result.notes
    return {
        "breaches": {b.name: n for b in FORBIDDEN_BREACHES if (n := result.verdicts.breaches[b.value])},
        "examples": result.verdicts.examples,
        "broken": notes["fleet"]["broken_invariants"],
        "failed": {e: n for e, n in notes["fleet"]["events"].items() if "failed" in e},
        "crashes": notes["crashes"],
        "wrong_results": notes["wrong_results"],
        "lost": sum(notes["without_dispatcher"].values()),
        "unheard": notes["unheard_ends"],
        "ends": sum(len(instance.end_times) for instance in run.instances),
        "stops": run.pauses,
        "adopted": notes["fleet"]["adoptions"],
        "frames": notes["fleet"]["frames"],
        "asked": result.summary()["all"]["asked"],
        "served": result.summary()["all"]["served"],
        "notes": {k: v for k, v in notes.items() if "per_s" not in k},
        "summary": result.summary(),
    }


@pytest.fixture(scope="module")
def case_results(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[dict[str, Any]]]]:
    """Runs all cases, three at a time."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(3, mp_context=context) as pool:
        yield {name: pool.submit(run_case, name, tmp_path_factory.mktemp("rig")) for name in CASES}


@pytest.mark.parametrize("name", CASES)
def test_no_job_runs_or_is_answered_twice_despite_faults(name: str, case_results: Any) -> None:
    case, found = CASES[name], case_results[name].result(60)
    assert not found["breaches"], found["examples"]
    assert (found["broken"], found["failed"]) == ({}, {})
    assert (found["crashes"], found["wrong_results"]) == (0, 0)
    assert found["ends"] >= case.least_ends and found["stops"] >= case.least_stops
    assert found["adopted"] >= case.least_adopted
    assert all(found["frames"].get(what, 0) > 0 for what in case.frame_outcomes)
    assert found["lost"] <= case.most_lost and found["unheard"] <= case.most_lost
    assert found["asked"] > 100 and found["served"] > 20
