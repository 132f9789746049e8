"""Links and members on the event loop: several in one thread on loopback, and peers that send raw bytes."""

import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Iterator

import pytest

from ironbarrow.fleet.api import FleetEvent, Health, Incarnation, MemberChanged, Message, Send
from ironbarrow.fleet.codec import MAX_FRAME_BYTES, Codec
from ironbarrow.fleet.file import Fleet, FleetError, parse
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.links.queue import Budget, Category, SendQueue, category_of
from ironbarrow.fleet.service import FleetService
from ironbarrow.lab.live.ports import LoopbackNetwork
from ironbarrow.runtime.loop import MS, SECOND, Loop
from ironbarrow.runtime.sockets import accept, listen


@pytest.fixture(autouse=True)
def fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(INVARIANTS, "fatal", True)


class Bulk(Message, frozen=True, array_like=True):
    KIND = 25
    data: bytes


class Table(Message, frozen=True, array_like=True):
    KIND = 85
    data: bytes


class Sink:
    """A machine that records the messages of two kinds."""

    handles = (Bulk, Table)

    def __init__(self) -> None:
        self.messages: list[tuple[Incarnation, bytes]] = []

    def received(self, now: int, sender: Incarnation, message: Bulk) -> list[Send]:
        self.messages.append((sender, message.data))
        return []

    def ticked(self, now: int) -> list[Send]:
        return []

    def next_at(self) -> int:
        return 1 << 62


class Bench:
    """An event loop with several members."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []
        self.loop = Loop(self.errors.append)
        # a port of 127.0.0.1 that has been released may be taken by another process before it is bound again
        self.network = LoopbackNetwork.reserve(1)
        self.host = self.network.lab_listener(0)[0]
        self.services: list[FleetService] = []
        self.sinks: dict[str, Sink] = {}
        self.events: dict[str, list[FleetEvent]] = {}

    def start(self, name: str, *seeds: FleetService, extra: str = "", port: int = 0) -> FleetService:
        listed = ", ".join(f'"{s.name}={s.address}"' for s in seeds)
        text = f'listen = "{self.host}:{port}"\nseeds = [{listed}]\n{extra}'
        fleet: Fleet = parse(text.encode(), "fleet.toml", name)
        service = FleetService(self.loop, fleet, name, "x", "127.0.0.1:80")
        self.sinks[name] = Sink()
        self.events[name] = []
        service.add(self.sinks[name])
        service.subscribe(self.events[name].append)
        self.services.append(service)
        return service

    def stop(self, service: FleetService) -> None:
        service.close()
        self.services.remove(service)

    def until(self, condition: Callable[[], bool], limit_s: float = 5) -> None:
        """Runs the loop until a condition holds; fails after ``limit_s`` seconds."""
        end = self.loop.now() + int(limit_s * SECOND)
        while not condition():
            assert not self.errors, self.errors
            assert self.loop.now() < end, "not in time"
            self.loop.call_at(self.loop.now() + 5 * MS, lambda: None)
            self.loop.run_once()

    def run(self, seconds: float) -> None:
        end = self.loop.now() + int(seconds * SECOND)
        self.until(lambda: self.loop.now() >= end, seconds + 1)

    def joined(self) -> bool:
        names = sorted(service.name for service in self.services)
        return all(
            [(m.card.incarnation.name, m.health) for m in s.members.alive()]
            == [(n, Health.ALIVE) for n in names]
            for s in self.services
        )


@pytest.fixture
def bench() -> Iterator[Bench]:
    made = Bench()
    yield made
    for service in list(made.services):
        made.stop(service)
    made.loop.close()
    made.network.close()
    assert not made.errors, made.errors


def pair(bench: Bench, extra: str = "") -> tuple[FleetService, FleetService]:
    a = bench.start("a", extra=extra)
    b = bench.start("b", a, extra=extra)
    bench.until(bench.joined)
    return a, b


def test_three_members_join_and_a_crash_a_departure_and_a_restart_are_noticed(bench: Bench) -> None:
    a, b = pair(bench)
    c = bench.start("c", a)
    bench.until(bench.joined)
    first = c.incarnation
    bench.stop(c)
    started = bench.loop.now()
    bench.until(lambda: {s.members.health(first) for s in (a, b)} == {Health.DEAD}, 2)
    assert bench.loop.now() - started < 1500 * MS  # the broken connections were noticed
    c = bench.start("c", a, port=int(c.address.rpartition(":")[2]))
    bench.until(bench.joined)
    b.leave()
    bench.until(lambda: b.all_sent, 1)
    bench.stop(b)
    bench.until(lambda: {s.members.health(b.incarnation) for s in (a, c)} == {Health.LEFT}, 2)
    changes = [
        (n.member.card.incarnation, n.member.health)
        for n in bench.events["a"]
        if isinstance(n, MemberChanged)
    ]
    assert changes.index((first, Health.DEAD)) < changes.index((c.incarnation, Health.ALIVE))


def test_a_link_cut_in_one_direction_makes_no_member_dead_if_a_third_reaches_both(bench: Bench) -> None:
    a, b = pair(bench)
    c = bench.start("c", a)
    bench.until(bench.joined)
    with contextlib.closing(listen(("127.0.0.1", 0))) as silent:  # accepts connections and reads nothing
        a.fleet.routes["b"] = f"127.0.0.1:{silent.getsockname()[1]}"
        bench.run(3)
        assert bench.joined() or Health.SUSPECT in {m.health for m in c.members.alive()}
        assert not any(
            isinstance(event, MemberChanged) and event.member.health is Health.DEAD
            for events in bench.events.values()
            for event in events
        )
        assert b.links.metrics["messages in"] > 0 and not a.links.dropped["unreachable"]


def test_a_renewed_member_is_a_new_incarnation_and_the_old_one_is_dead(bench: Bench) -> None:
    a, b = pair(bench)
    before, sink = b.incarnation, Sink()
    b.on_new_incarnation(lambda service: service.add(sink))
    b.start_new_incarnation()
    assert b.incarnation.name == "b" and b.incarnation.start > before.start
    bench.until(lambda: a.members.health(b.incarnation) is Health.ALIVE)
    assert a.members.health(before) is Health.DEAD
    a.carry_out([Send(before, Bulk(b"old")), Send(b.incarnation, Bulk(b"new"))])
    bench.until(lambda: bool(sink.messages))
    assert sink.messages == [(a.incarnation, b"new")]
    assert bench.sinks["b"].messages == []


def test_a_failing_machine_does_not_make_the_loop_spin(bench: Bench) -> None:
    class Failing(Sink):
        handles = ()
        tries = 0

        def ticked(self, now: int) -> list[Send]:
            self.tries += 1
            raise KeyError("broken")

        def next_at(self) -> int:
            return 0

    a, failing = bench.start("a"), Failing()
    a.add(failing)
    end = bench.loop.now() + SECOND // 2
    while bench.loop.now() < end:
        bench.loop.run_once()
    assert 2 <= failing.tries <= 12
    assert {type(error) for error in bench.errors} == {KeyError}
    bench.errors.clear()


def test_a_clock_set_back_does_not_keep_a_restarted_member_out(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    a, b = pair(bench)
    old = b.incarnation
    bench.stop(b)
    monkeypatch.setattr("ironbarrow.fleet.service.time.time_ns", lambda: old.start - SECOND)
    b = bench.start("b", a, port=int(b.address.rpartition(":")[2]))
    bench.until(lambda: b.incarnation.start > old.start and a.members.health(b.incarnation) is Health.ALIVE)
    assert bench.joined()


INVALID = {
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a huge length": b"\xff\xff\xff\xff",
    "a zero length": b"\0\0\0\0",
    "a frame that is no msgpack array": b"\0\0\0\5hello",
    "an array of another shape": b"\0\0\0\4\x93\1\1\1",
}


@pytest.mark.parametrize("data", INVALID.values(), ids=INVALID)
def test_invalid_bytes_close_their_connection_and_are_counted(bench: Bench, data: bytes) -> None:
    a, _ = pair(bench)
    with socket.create_connection((bench.host, a.links.port)) as sock:
        sock.sendall(data)
        sock.setblocking(False)

        def closed() -> bool:
            try:
                return sock.recv(100) == b""
            except BlockingIOError:
                return False
            except ConnectionResetError:
                return True

        bench.until(closed)
    assert a.links.metrics["protocol errors"] == 1
    bench.run(0.5)
    assert bench.joined()


def test_unknown_messages_of_another_version_are_ignored(bench: Bench) -> None:
    a, _ = pair(bench)

    class Later(Message, frozen=True, array_like=True):
        KIND = 19
        text: str

    frame = Codec([Later]).encode(Incarnation("old", 1), 0, Later("x"))
    with socket.create_connection((bench.host, a.links.port)) as sock:
        sock.sendall(frame * 3)
        bench.until(lambda: a.codec.dropped["kind"] == 3)
        assert a.links.metrics["protocol errors"] == 0


def test_a_peer_that_does_not_read_has_a_bounded_queue_and_does_not_delay_others(bench: Bench) -> None:
    a, b = pair(bench, "[links]\nqueue_kb = 1100")
    with contextlib.closing(listen(("127.0.0.1", 0))) as stuck:
        a.fleet.routes["stuck"] = f"127.0.0.1:{stuck.getsockname()[1]}"
        data = bytes(60_000)
        for _ in range(200):
            a.carry_out([Send(Incarnation("stuck"), Bulk(data)), Send(Incarnation("stuck"), Table(data))])
            bench.run(0.002)
            assert a.links._budget.used <= 1100 << 10
        assert a.links.dropped["starvation"] > 100
        assert a.links.dropped["ledger"] > 50
        a.carry_out([Send(b.incarnation, Bulk(b"on"))])
        bench.until(lambda: bench.sinks["b"].messages == [(a.incarnation, b"on")])
        bench.until(lambda: not a.links._budget.used)  # the write times out and the queue is dropped
        assert bench.joined()


def test_the_number_of_connections_is_bounded(bench: Bench) -> None:
    a, b = pair(bench, "[links]\nincoming = 16\noutgoing = 16")
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.create_connection((bench.host, a.links.port))) for _ in range(40)]
        bench.run(0.3)
        assert a.links.metrics["evicted"] >= 24
        for i in range(40):
            a.fleet.routes[f"n{i}"] = b.address
            a.carry_out([Send(Incarnation(f"n{i}"), Bulk(b"x"))])
            bench.run(0.01)
        assert a.links.open_connections <= 32
        assert len(socks) == 40
    bench.until(bench.joined)


def test_reconnecting_to_a_peer_that_closes_its_connections_backs_off(bench: Bench) -> None:
    a = bench.start("a")
    with contextlib.closing(listen(("127.0.0.1", 0))) as closer:
        a.fleet.routes["closer"] = f"127.0.0.1:{closer.getsockname()[1]}"
        end, accepted = bench.loop.now() + SECOND, 0
        while bench.loop.now() < end:
            a.carry_out([Send(Incarnation("closer"), Bulk(b"x"))])
            bench.run(0.005)
            while (sock := accept(closer)) is not None:
                accepted += 1
                sock.close()
    assert 2 <= accepted <= 7
    assert a.links.dropped["unreachable"] > 20


def test_incomplete_frames_are_bounded_over_all_connections(bench: Bench) -> None:
    a, _ = pair(bench, "[links]\nmemory_mb = 2")
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            sock = stack.enter_context(socket.create_connection((bench.host, a.links.port)))
            sock.setblocking(False)
            left = memoryview(MAX_FRAME_BYTES.to_bytes(4, "big") + bytes(MAX_FRAME_BYTES - 100_000))
            while left:
                with contextlib.suppress(BlockingIOError):
                    left = left[sock.send(left) :]
                bench.run(0.001)
        bench.run(0.1)
        assert a.links._partial_bytes <= 2 << 20
        assert a.links.metrics["evicted"] >= 6
    assert bench.joined()


def test_a_full_queue_drops_in_the_order_of_categories() -> None:
    dropped: Counter[str] = Counter()
    budget = Budget(10_000)
    queue = SendQueue(6, 1000, budget, dropped)
    for category in (
        Category.LEDGER,
        Category.STARVATION,
        Category.MEMBERS,
        Category.ROLLOUT,
        Category.MEMBERS,
        Category.STARVATION,
    ):
        assert queue.put(category, bytes(10))
    order = []
    for _ in range(6):
        before = dropped.copy()
        queue.put(Category.LEDGER, bytes(10))
        order += (dropped - before).elements()
    assert order == ["starvation", "starvation", "members", "members", "rollout", "ledger"]
    assert not queue.put(Category.STARVATION, b"x") and dropped["starvation"] == 3  # the new frame
    assert (queue.count, queue.bytes, budget.used) == (6, 60, 60)
    assert queue.put(Category.LEDGER, bytes(1000)) and queue.count == 1
    assert queue.take(10) == bytes(1000) and budget.used == queue.bytes == queue.count == 0
    queue.put(Category.LEDGER, b"l")
    queue.put(Category.STARVATION, b"s")
    queue.put(Category.MEMBERS, b"m")
    assert queue.take(100) == b"mls"
    assert [category_of(kind) for kind in (1, 19, 20, 59, 60, 79, 80, 99, 100)] == [
        Category.MEMBERS, Category.MEMBERS, Category.LEDGER, Category.LEDGER, Category.ROLLOUT,
        Category.ROLLOUT, Category.STARVATION, Category.STARVATION, Category.LEDGER,
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('listen = "0.0.0.0:1"', "address: expected one that others can reach"),
        ('listen = "h:1"\naddress = "x"', "address: expected host:port, got 'x'"),
        ('listen = "h:1"\n[members]\ntimeout = "0 ms"', "members.timeout: expected more than 0"),
        (
            'listen = "h:1"\n[members]\nsuspect_for = "100 ms"',
            "members.suspect_for: expected at least 300 ms",
        ),
        ('listen = "h:1"\n[members]\nkeep_dead = "1 s"', "members.keep_dead: expected at least 9000 ms"),
        ('listen = "h:1"\n[links]\nidle = "10 ms"', "links.idle: expected at least 1000 ms, got 10 ms"),
        ('listen = "h:1"\n[links]\nincoming = 4', "links.incoming"),
        ('listen = "h:1"\n[links]\nqueue_kb = 1024', "links.queue_kb"),
    ],
)
def test_invalid_rules_of_members_and_links_are_reported(text: str, expected: str) -> None:
    with pytest.raises(FleetError, match=r"^fleet\.toml: ") as error:
        parse(text.encode(), "fleet.toml", "me")
    assert expected in str(error.value)
