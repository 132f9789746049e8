"""Links and a member on the loop: several in one thread, on loopback, and peers that speak bytes."""

import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Iterator

import pytest

from ironbarrow.fleet.api import Health, Incarnation, MemberChanged, Message, News, Send
from ironbarrow.fleet.codec import FRAME_MOST, Codec
from ironbarrow.fleet.file import Fleet, FleetError, parse
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.fleet.links.queue import Budget, Queue, Sort, sort_of
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
    """Wants two kinds of messages and counts them."""

    handles = (Bulk, Table)

    def __init__(self) -> None:
        self.heard: list[tuple[Incarnation, bytes]] = []

    def received(self, now: int, sender: Incarnation, message: Bulk) -> list[Send]:
        self.heard.append((sender, message.data))
        return []

    def ticked(self, now: int) -> list[Send]:
        return []

    def next_at(self) -> int:
        return 1 << 62


class Bench:
    """A loop with some members on it."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []
        self.loop = Loop(self.errors.append)
        # danger: of ports at 127.0.0.1 one that is let go may be another's before it is bound again
        self.network = LoopbackNetwork.reserve(1)
        self.host = self.network.party(0)[0]
        self.services: list[FleetService] = []
        self.sinks: dict[str, Sink] = {}
        self.told: dict[str, list[News]] = {}

    def start(self, name: str, *seeds: FleetService, extra: str = "", port: int = 0) -> FleetService:
        listed = ", ".join(f'"{s.name}={s.address}"' for s in seeds)
        text = f'listen = "{self.host}:{port}"\nseeds = [{listed}]\n{extra}'
        fleet: Fleet = parse(text.encode(), "fleet.toml", name)
        service = FleetService(self.loop, fleet, name, "x", "127.0.0.1:80")
        self.sinks[name] = Sink()
        self.told[name] = []
        service.add(self.sinks[name])
        service.on_news(self.told[name].append)
        self.services.append(service)
        return service

    def end(self, service: FleetService) -> None:
        service.close()
        self.services.remove(service)

    def until(self, holds: Callable[[], bool], limit_s: float = 5) -> None:
        """Turns the loop until something holds."""
        end = self.loop.now() + int(limit_s * SECOND)
        while not holds():
            assert not self.errors, self.errors
            assert self.loop.now() < end, "not in time"
            self.loop.call_at(self.loop.now() + 5 * MS, lambda: None)
            self.loop.run_once()

    def run(self, seconds: float) -> None:
        end = self.loop.now() + int(seconds * SECOND)
        self.until(lambda: self.loop.now() >= end, seconds + 1)

    def met(self) -> bool:
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
        made.end(service)
    made.loop.close()
    made.network.close()
    assert not made.errors, made.errors


def pair(bench: Bench, extra: str = "") -> tuple[FleetService, FleetService]:
    a = bench.start("a", extra=extra)
    b = bench.start("b", a, extra=extra)
    bench.until(bench.met)
    return a, b


def test_three_members_meet_and_a_death_a_leave_and_a_restart_are_told(bench: Bench) -> None:
    a, b = pair(bench)
    c = bench.start("c", a)
    bench.until(bench.met)
    first = c.incarnation
    bench.end(c)
    started = bench.loop.now()
    bench.until(lambda: {s.members.health(first) for s in (a, b)} == {Health.DEAD}, 2)
    assert bench.loop.now() - started < 1500 * MS  # the broken connections told
    c = bench.start("c", a, port=int(c.address.rpartition(":")[2]))
    bench.until(bench.met)
    b.leave()
    bench.until(lambda: b.sent, 1)
    bench.end(b)
    bench.until(lambda: {s.members.health(b.incarnation) for s in (a, c)} == {Health.LEFT}, 2)
    told = [
        (n.member.card.incarnation, n.member.health) for n in bench.told["a"] if isinstance(n, MemberChanged)
    ]
    assert told.index((first, Health.DEAD)) < told.index((c.incarnation, Health.ALIVE))


def test_a_way_that_is_cut_in_one_direction_kills_nobody_where_a_third_sees_both(bench: Bench) -> None:
    a, b = pair(bench)
    c = bench.start("c", a)
    bench.until(bench.met)
    with contextlib.closing(listen(("127.0.0.1", 0))) as hole:  # takes connections and hears nothing
        a.fleet.routes["b"] = f"127.0.0.1:{hole.getsockname()[1]}"
        bench.run(3)
        assert bench.met() or Health.SUSPECT in {m.health for m in c.members.alive()}
        assert not any(
            isinstance(news, MemberChanged) and news.member.health is Health.DEAD
            for told in bench.told.values()
            for news in told
        )
        assert b.links.figures["messages in"] > 0 and not a.links.shed["unreachable"]


def test_a_renewed_member_is_another_incarnation_and_the_old_one_is_dead(bench: Bench) -> None:
    a, b = pair(bench)
    before, sink = b.incarnation, Sink()
    b.on_renewed(lambda service: service.add(sink))
    b.renew()
    assert b.incarnation.name == "b" and b.incarnation.start > before.start
    bench.until(lambda: a.members.health(b.incarnation) is Health.ALIVE)
    assert a.members.health(before) is Health.DEAD
    a.order([Send(before, Bulk(b"old")), Send(b.incarnation, Bulk(b"new"))])
    bench.until(lambda: bool(sink.heard))
    assert sink.heard == [(a.incarnation, b"new")]
    assert bench.sinks["b"].heard == []


def test_a_machine_that_fails_does_not_spin_the_loop(bench: Bench) -> None:
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


def test_a_clock_set_back_does_not_keep_a_member_out(bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
    a, b = pair(bench)
    old = b.incarnation
    bench.end(b)
    monkeypatch.setattr("ironbarrow.fleet.service.time.time_ns", lambda: old.start - SECOND)
    b = bench.start("b", a, port=int(b.address.rpartition(":")[2]))
    bench.until(lambda: b.incarnation.start > old.start and a.members.health(b.incarnation) is Health.ALIVE)
    assert bench.met()


FOREIGN = {
    "a page": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a huge length": b"\xff\xff\xff\xff",
    "no length": b"\0\0\0\0",
    "a frame that is none": b"\0\0\0\5hello",
    "another shape": b"\0\0\0\4\x93\1\1\1",
}


@pytest.mark.parametrize("data", FOREIGN.values(), ids=FOREIGN)
def test_foreign_bytes_close_their_connection_and_are_counted(bench: Bench, data: bytes) -> None:
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
    assert a.links.figures["foreign"] == 1
    bench.run(0.5)
    assert bench.met()


def test_another_version_of_the_program_is_passed_over(bench: Bench) -> None:
    a, _ = pair(bench)

    class Later(Message, frozen=True, array_like=True):
        KIND = 19
        text: str

    frame = Codec([Later]).encode(Incarnation("old", 1), 0, Later("x"))
    with socket.create_connection((bench.host, a.links.port)) as sock:
        sock.sendall(frame * 3)
        bench.until(lambda: a.codec.dropped["kind"] == 3)
        assert a.links.figures["foreign"] == 0


def test_a_peer_that_reads_nothing_costs_a_bounded_queue_and_no_other_peer_anything(bench: Bench) -> None:
    a, b = pair(bench, "[links]\nqueue_kb = 1100")
    with contextlib.closing(listen(("127.0.0.1", 0))) as deaf:
        a.fleet.routes["deaf"] = f"127.0.0.1:{deaf.getsockname()[1]}"
        data = bytes(60_000)
        for _ in range(200):
            a.order([Send(Incarnation("deaf"), Bulk(data)), Send(Incarnation("deaf"), Table(data))])
            bench.run(0.002)
            assert a.links._budget.used <= 1100 << 10
        assert a.links.shed["starvation"] > 100
        assert a.links.shed["ledger"] > 50
        a.order([Send(b.incarnation, Bulk(b"on"))])
        bench.until(lambda: bench.sinks["b"].heard == [(a.incarnation, b"on")])
        bench.until(lambda: not a.links._budget.used)  # it is given up in time
        assert bench.met()


def test_the_number_of_connections_is_bounded(bench: Bench) -> None:
    a, b = pair(bench, "[links]\nincoming = 16\noutgoing = 16")
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.create_connection((bench.host, a.links.port))) for _ in range(40)]
        bench.run(0.3)
        assert a.links.figures["evicted"] >= 24
        for i in range(40):
            a.fleet.routes[f"n{i}"] = b.address
            a.order([Send(Incarnation(f"n{i}"), Bulk(b"x"))])
            bench.run(0.01)
        assert a.links.open <= 32
        assert len(socks) == 40
    bench.until(bench.met)


def test_a_peer_that_takes_connections_and_ends_them_is_called_on_with_pauses(bench: Bench) -> None:
    a = bench.start("a")
    with contextlib.closing(listen(("127.0.0.1", 0))) as shut:
        a.fleet.routes["shut"] = f"127.0.0.1:{shut.getsockname()[1]}"
        end, taken = bench.loop.now() + SECOND, 0
        while bench.loop.now() < end:
            a.order([Send(Incarnation("shut"), Bulk(b"x"))])
            bench.run(0.005)
            while (sock := accept(shut)) is not None:
                taken += 1
                sock.close()
    assert 2 <= taken <= 7
    assert a.links.shed["unreachable"] > 20


def test_half_frames_are_bounded_together(bench: Bench) -> None:
    a, _ = pair(bench, "[links]\nmemory_mb = 2")
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            sock = stack.enter_context(socket.create_connection((bench.host, a.links.port)))
            sock.setblocking(False)
            left = memoryview(FRAME_MOST.to_bytes(4, "big") + bytes(FRAME_MOST - 100_000))
            while left:
                with contextlib.suppress(BlockingIOError):
                    left = left[sock.send(left) :]
                bench.run(0.001)
        bench.run(0.1)
        assert a.links._half_bytes <= 2 << 20
        assert a.links.figures["evicted"] >= 6
    assert bench.met()


def test_a_full_queue_sheds_in_the_stated_order() -> None:
    shed: Counter[str] = Counter()
    budget = Budget(10_000)
    queue = Queue(6, 1000, budget, shed)
    for sort in (Sort.LEDGER, Sort.STARVATION, Sort.MEMBERS, Sort.ROLLOUT, Sort.MEMBERS, Sort.STARVATION):
        assert queue.put(sort, bytes(10))
    gone = []
    for _ in range(6):
        before = shed.copy()
        queue.put(Sort.LEDGER, bytes(10))
        gone += (shed - before).elements()
    assert gone == ["starvation", "starvation", "members", "members", "rollout", "ledger"]
    assert not queue.put(Sort.STARVATION, b"x") and shed["starvation"] == 3  # itself
    assert (queue.count, queue.bytes, budget.used) == (6, 60, 60)
    assert queue.put(Sort.LEDGER, bytes(1000)) and queue.count == 1
    assert queue.take(10) == bytes(1000) and budget.used == queue.bytes == queue.count == 0
    queue.put(Sort.LEDGER, b"l")
    queue.put(Sort.STARVATION, b"s")
    queue.put(Sort.MEMBERS, b"m")
    assert queue.take(100) == b"mls"
    assert [sort_of(kind) for kind in (1, 19, 20, 59, 60, 79, 80, 99, 100)] == [
        Sort.MEMBERS, Sort.MEMBERS, Sort.LEDGER, Sort.LEDGER, Sort.ROLLOUT, Sort.ROLLOUT,
        Sort.STARVATION, Sort.STARVATION, Sort.LEDGER,
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
def test_wrong_rules_of_members_and_links_are_named(text: str, expected: str) -> None:
    with pytest.raises(FleetError, match=r"^fleet\.toml: ") as error:
        parse(text.encode(), "fleet.toml", "me")
    assert expected in str(error.value)
