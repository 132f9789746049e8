"""Work taken over once: rules, scenarios and random load in virtual time, mutants, the program itself."""

import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironbarrow.config import ConfigError
from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.daemon.dispatcher import Dispatcher
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.records import JobRecord
from ironbarrow.fleet.records import Stage as Come
from ironbarrow.fleet.takeover import claims, faults
from ironbarrow.fleet.takeover.claims import What
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.fleet.takeover.orders import Go
from ironbarrow.fleet.takeover.repeats import Answers
from ironbarrow.lab.fleet.random_work import KINDS, SETTINGS, UNSAFE, play
from ironbarrow.lab.fleet.work import WorkWorld, ms
from ironbarrow.runtime.sockets import listen
from tests.scenario import Stage, answer, call_back, job


@pytest.fixture(autouse=True)
def fatal() -> Iterator[None]:
    INVARIANTS.fatal = True
    yield
    INVARIANTS.fatal = False


# Rules

RECORD = JobRecord(
    id="x",
    job_class="c",
    method="POST",
    target="/c",
    body=b"",
    content_type="",
    taken_at=0,
    until=9,
    stage=Come.TAKEN,
)
RECORDS = st.builds(
    lambda stage, attempts, ran, until: _with(stage=stage, attempts=attempts, may_have_run=ran, until=until),
    st.sampled_from(Come),
    st.integers(0, 4),
    st.booleans(),
    st.sampled_from((3, 9)),
)


def _with(**fields: Any) -> JobRecord:
    return JobRecord(**{name: getattr(RECORD, name) for name in RECORD.__struct_fields__} | fields)


@given(RECORDS, st.booleans(), st.booleans())
@settings(derandomize=True)
def test_what_becomes_of_a_job_that_another_has_left(record: JobRecord, safe: bool, whole: bool) -> None:
    what = claims.what(record, safe=safe, whole=whole, most_attempts=3, now=5)
    may_run = record.may_have_run or record.stage is Come.INTENT
    if record.stage is Come.REFUSED:
        assert what is What.REFUSED
    elif what is What.AGAIN:  # with attempts and time left, and for a job that may not run twice a proof
        assert record.attempts < 3 and record.until > 5
        assert record.stage is Come.TAKEN and (safe or (whole and not may_run))
    elif what is What.REFUSED:
        assert safe or not may_run  # a repeat is harmless
    elif what is What.KEEP:
        assert not safe and record.stage is Come.INTENT
    elif what is What.CALL_OFF:
        assert safe and record.stage is Come.INTENT
    else:
        assert not safe and (may_run or not whole)


@given(st.lists(st.text("abcdef", min_size=1, max_size=3), min_size=1, unique=True))
@settings(derandomize=True)
def test_claimants_stand_in_one_line(names: list[str]) -> None:
    assert sorted(claims.turn("jobs/x", name, names) for name in names) == list(range(len(names)))


def test_kept_answers_are_bounded_by_number_bytes_and_time() -> None:
    kept = Answers(keep_for=100, most=3)
    for number in range(5):
        kept.keep(str(number), b"", Answer(Verdict.SERVED, b"r"), number, short=False)
    assert (
        len(kept) == 3 and kept.find("1", 4) is None and kept.find("4", 103) and kept.find("4", 104) is None
    )
    for number in range(3):
        kept.keep(f"large{number}", b"", Answer(Verdict.SERVED, b"x" * (5 << 20)), 0, short=False)
    assert len(kept) == 1


def test_faults_are_read_counted_and_carried_out() -> None:
    done: list[str] = []
    wanted = faults.parse("after-intent:2, after-seal:1:stop")
    passed = faults.Faults(wanted, lambda: done.append("end"), lambda: done.append("stop"))
    for point in ("after-intent", "after-seal", "after-intent", "after-intent", "after-adoption"):
        passed(point)
    assert done == ["stop", "end"]
    assert faults.from_environment({}) is None
    for wrong in ("nowhere:1", "after-seal:x", "after-seal:1:later"):
        with pytest.raises(ValueError, match="expected POINT"):
            faults.parse(wrong)


# In virtual time


def world(n: int = 5, seed: int = 1, **fleet: Any) -> WorkWorld:
    found = WorkWorld(SETTINGS, n, seed=seed, fleet=Fleet(listen="127.0.0.1:0", **fleet), workers=8)
    found.run(ms(1500))
    return found


def counts(played: WorkWorld, name: str) -> int:
    return sum(process.work.machine.counts[name] for process in played.processes.values())


@pytest.mark.parametrize("job_class", ["map", "book"])
def test_a_job_that_is_out_survives_its_dispatcher(job_class: str) -> None:
    played = world()
    played.lasts = (ms(1700), ms(1700))
    order = played.order("j", job_class, ms(9000), "d0")
    played.run(ms(300))
    assert played.workers.starts["j"] == 1
    played.kill("d0")
    played.run(ms(9000))
    assert [a and a.verdict for a in order.heard] == [Verdict.SERVED]
    assert played.workers.starts["j"] == (1 if job_class == "book" else 2)
    assert not played.workers.copies and not played.broken(UNSAFE) and not played.workers.unheard


@pytest.mark.parametrize(("lasts", "verdict"), [(1700, Verdict.SERVED), (20_000, Verdict.REFUSED)])
def test_what_could_not_be_called_off_is_not_sent_again(lasts: int, verdict: Verdict) -> None:
    # danger: its worker may be cut off from the heir alone, and runs on
    played = world()
    played.lasts = (ms(lasts), ms(lasts))
    played.deletes_lost = True
    order = played.order("j", "map", ms(5000), "d0")
    played.run(ms(300))
    played.kill("d0")
    played.run(ms(9000))
    assert [a and a.verdict for a in order.heard] == [verdict]
    assert played.workers.starts["j"] == 1 and not played.workers.copies


def test_stopped_between_the_look_and_the_write_nothing_is_sent_twice() -> None:
    """Where a lease would fail: the process has all it needs to send, is stopped, and others go on."""
    played = world()
    played.net.pause("d0")
    order = played.order("j", "book", ms(15_000), "d0")  # in its socket, not read yet
    played.run(ms(4000))
    assert counts(played, "ledgers taken over") == 1
    played.again(order, "d1")
    played.run(ms(1500))
    assert played.workers.starts["j"] == 1
    played.resume("d0")  # reads the first request now, as a dispatcher that believes itself alive
    played.run(ms(6000))
    assert played.counts["renewed"] == 1
    assert played.workers.starts["j"] == 1 and [a and a.verdict for a in order.heard] == [Verdict.SERVED]


def test_an_old_holder_answers_by_the_new_one() -> None:
    played = world()
    played.lasts = (ms(5000), ms(5000))
    order = played.order("j", "book", ms(15_000), "d0")
    played.run(ms(300))
    played.net.pause("d0")
    played.run(ms(3000))
    played.resume("d0")  # its client still waits there
    played.run(ms(6000))
    assert played.counts["renewed"] == 1 and order.tries == 1
    assert [a and a.verdict for a in order.heard] == [Verdict.SERVED]
    assert played.workers.starts["j"] == 1


def test_a_repeat_joins_hears_the_answer_again_and_another_request_is_refused() -> None:
    played = world()
    order = played.order("j", "book", ms(9000), "d0")
    played.run(ms(50))
    played.again(order, "d1")
    played.run(ms(3000))
    assert played.workers.starts["j"] == 1 and [a and a.verdict for a in order.heard] == [Verdict.SERVED]
    late = played.order("other", "book", ms(9000), "d2")
    late.id, late.job_class, late.tries = "j", "map", 1
    played.again(late, "d3")
    order.heard.clear()
    played.again(order, "d4")
    played.run(ms(1000))
    assert late.heard[-1] is None and [a and a.verdict for a in order.heard] == [Verdict.SERVED]
    assert played.workers.starts["j"] == 1


def test_a_refusal_of_a_booking_waits_for_a_majority_or_is_a_failure() -> None:
    heard = {}
    for cut in (False, True):
        played = world()
        played.returns, played.lasts, played.call_backs_to = 1.0, (ms(200), ms(200)), "d0"
        order = played.order("j", "book", ms(4000), "d0")
        played.run(ms(300))
        assert played.workers.returned["j"] == 1 and not order.heard
        if cut:
            for other in ("d1", "d2", "d3", "d4"):
                played.net.cut("d0", other)
        played.run(ms(2000))
        heard[cut] = [a and a.verdict for a in order.heard]
    assert heard == {False: [Verdict.REFUSED], True: [Verdict.FAILED]}


@pytest.mark.parametrize("rule", ["turn away", "serve unprotected"])
def test_without_a_majority_the_file_says_what_becomes_of_bookings(rule: Any) -> None:
    played = world(without_majority={"book": rule})
    played.call_backs_to = "d0"
    for other in ("d1", "d2", "d3", "d4"):
        played.net.cut("d0", other)
    played.run(ms(100))
    orders = [played.order(f"j{kind}{n}", kind, ms(4000), "d0") for kind in ("map", "book") for n in (1, 2)]
    played.run(ms(600))
    assert "no majority" in played.processes["d0"].work.readiness()
    played.run(ms(4000))
    served = [bool(o.heard and o.heard[0] and o.heard[0].verdict is Verdict.SERVED) for o in orders]
    assert served[:2] == [True, True] and served[2:] == [rule == "serve unprotected"] * 2


def test_where_no_majority_is_left_bookings_not_proven_are_not_sent() -> None:
    played = world(7)
    played.lasts = (ms(1500), ms(1500))
    orders = [played.order(f"j{n}", ("map", "book")[n % 2], ms(20_000), f"d{n % 5}") for n in range(20)]
    played.run(ms(300))
    for n in range(5):
        played.kill(f"d{n}")
    played.run(ms(22_000))
    assert not played.broken(UNSAFE) and counts(played, "ledgers lost") > 0
    served = sum(bool(o.heard and o.heard[0] and o.heard[0].verdict is Verdict.SERVED) for o in orders)
    # what a replica that is left had is saved, the rest is told its clients and counted
    assert 5 <= served < 20 and all(order.heard for order in orders)
    assert counts(played, "taken over: keep") > 0 and counts(played, "taken over: call off") > 0


def test_an_orderly_stop_hands_over_what_is_owed() -> None:
    played = world()
    played.lasts = (ms(4000), ms(4000))
    orders = [played.order(f"j{n}", ("map", "book")[n % 2], ms(9000), "d0") for n in range(6)]
    played.run(ms(200))
    work = played.processes["d0"].work

    def leave(node: Any, now: int) -> None:
        node.carry_out(work.machine.leave(now))
        node.carry_out(played.processes["d0"].members.leave(now))

    played.net.order("d0", leave)
    played.run(ms(100))
    played.kill("d0")
    played.run(ms(9000))
    assert [a and a.verdict for o in orders for a in o.heard] == [Verdict.SERVED] * 6
    assert all(played.workers.starts[f"j{n}"] == 1 for n in (1, 3, 5)) and not played.broken(UNSAFE)


# Which rules may be broken where, so that a random play ends in one verdict; more seeds by
# python -m ironbarrow.lab.fleet.random_work FIRST LAST [KIND]
@pytest.mark.parametrize(("kind", "seed"), [(kind, seed) for kind in KINDS for seed in (1, 2)])
def test_random_load_keeps_the_rules(kind: str, seed: int) -> None:
    played = play(seed, KINDS[kind], jobs=60)
    assert not played.broken(UNSAFE), (
        f"replay: python -m ironbarrow.lab.fleet.random_work {seed} {seed} {kind}"
    )
    assert played.ends()["served"] > 20 and played.workers.unheard == 0


# Mutants: each invariant catches the fault that it is there for


def _sent_before_kept(self: Takeover, now: int, call: Any, job_id: str, worker: str) -> list[Any]:
    return [*_INTENT(self, now, call, job_id, worker), Go(call, True)]


def _any_number(self: Takeover, now: int, call: Any, job_id: str, worker: str) -> list[Any]:
    held = self.held[job_id]
    held.record = _with(
        **{n: getattr(held.record, n) for n in held.record.__struct_fields__} | {"attempts": 3}
    )
    self.rules = replace(self.rules, most_attempts=9)
    actions = _INTENT(self, now, call, job_id, worker)
    self.rules = replace(self.rules, most_attempts=3)
    return actions


def _kept_are_sent(record: JobRecord, **rules: Any) -> What:
    what = _WHAT(record, **rules)
    return What.AGAIN if what is What.KEEP else what


def _tells_twice(self: Takeover, *told: Any) -> list[Any]:
    return [action for action in _TELL_ALL(self, *told) for _ in range(2)]


def _has_it_twice(self: Takeover, now: int, news: Any) -> list[Any]:
    self.taken_over |= {opened.incarnation: True for opened in self.open.values()}
    return _TOLD(self, now, news)


_INTENT, _WHAT, _TELL_ALL, _TOLD = Takeover.intent, claims.what, Takeover._tell_all, Takeover.told
MUTANTS = {
    "intent before send": (Takeover, "intent", _sent_before_kept),
    "at most three attempts": (Takeover, "intent", _any_number),
    "unsafe never sent twice": (claims, "what", _kept_are_sent),
    "one answer": (Takeover, "_tell_all", _tells_twice),
    "one holder": (Takeover, "told", _has_it_twice),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_an_invariant_catches_its_mutant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, attribute, mutant = MUTANTS[name]
    monkeypatch.setattr(target, attribute, mutant)
    with pytest.raises(InvariantError, match=name):
        played = world()
        played.lasts = (ms(3000), ms(3000))
        for n in range(6):
            played.order(f"j{n}", ("map", "book")[n % 2], ms(9000), "d0")
        played.run(ms(300))
        played.kill("d0")
        played.run(ms(4000))


# The program itself


class Three(Stage):
    """Three dispatchers of a fleet in one thread; ``c*`` talk to the first, ``n*`` to the second, ``m*``
    to the third."""

    def __init__(self, folder: Path) -> None:
        listeners = {name: listen(("127.0.0.1", 0)) for name in ("n1", "n2", "n3")}
        at = {name: "{}:{}".format(*sock.getsockname()) for name, sock in listeners.items()}
        for name, sock in listeners.items():
            sock.close()
            seeds = [f"{other}={address}" for other, address in at.items() if other != name]
            (folder / f"{name}.toml").write_text(f"listen = {at[name]!r}\nseeds = {seeds!r}\n")
        super().__init__(fleet=folder / "n1.toml")
        self.more: dict[str, Dispatcher] = {}
        for letter, name in (("n", "n2"), ("m", "n3")):
            config = replace(self.config, name=name, fleet=folder / f"{name}.toml")
            self.more[letter] = Dispatcher(config, listen(("127.0.0.1", 0)))
        self.dead = False

    def step(self, line: str) -> None:
        letter = line[:1]
        if not line:
            return
        if line == "dies":
            self.dispatcher.close()
            self.dead = True
        elif line == "known":
            work = self.dispatcher.fleet.work
            self.until(line, lambda: "members=3" in work.readiness() and not work.machine.alone)
        elif line == "taken over":
            self.until(line, lambda: any(other.fleet.work.owed for other in self.more.values()))
        elif letter in self.more and line.split()[0] not in self.peers:
            old, self.address = self.address, self.more[letter].listener.getsockname()
            super().step(line)
            self.address = old
        else:
            super().step(line)

    def pass_time(self, seconds: float) -> None:
        parts = [*self.more.values(), *([] if self.dead else [self.dispatcher])]
        for part in parts:
            if not part.loop.stopped:
                part.loop.call_at(part.loop.now() + int(seconds * 1e9 / 8), lambda: None)
                part.loop.run_once()
        for peer in self.peers.values():
            peer.look()

    def close(self) -> None:
        self.peers.pop("gone", None)
        if self.dead:
            self.dispatcher.close = lambda: None  # type: ignore[method-assign]
        super().close()
        for other in self.more.values():
            other.close()


AGAIN = "X-Retried: 1\\r\\n"
BOOKED = f"""known
        c1 send {job("j1", "book/x")}
        p1 expect X-Request-ID: j1
        p1 send {answer(202)}
        """
PLAYS = {
    "a booking outlives its dispatcher: its repeat, here and there, and its call-back, there": f"""
        {BOOKED}
        dies
        n1 send {job("j1", "book/x", more=AGAIN)}
        taken over
        m1 send {call_back("done", result="out")}
        m1 expect HTTP/1.1 204
        n1 expect HTTP/1.1 200 .*out$
        m2 send {job("j1", "book/x", more=AGAIN)}
        m2 expect HTTP/1.1 200 .*out$
        m3 send {job("j1", "book/other", more=AGAIN)}
        m3 expect HTTP/1.1 409
        """,
    "an orderly stop hands a booking over": f"""
        {BOOKED}
        stop
        exits
        dies
        c1 ended
        n1 send {job("j1", "book/x", more=AGAIN)}
        taken over
        n2 send {call_back("done", result="out")}
        n1 expect HTTP/1.1 200 .*out$
        """,
    "readiness says who answers for whom": """
        known
        c1 send GET /-/ready HTTP/1.1\\r\\nHost: b\\r\\n\\r\\n
        c1 expect 200 .*X-Fleet: majority; turned-away=-; members=3; taking-over=0; lost=0
        """,
}


@pytest.mark.parametrize("name", PLAYS)
def test_the_program_in_a_fleet(tmp_path: Path, name: str) -> None:
    Three(tmp_path).play(PLAYS[name])


def test_a_wrong_fleet_file_ends_the_start_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text('listen = "127.0.0.1:0"\nkeepers = 3\n')
    with pytest.raises(ConfigError, match=r"fleet\.toml: .*keepers"):
        Stage(fleet=path)
    path.write_text('listen = "127.0.0.1:0"\n')
    with pytest.raises(
        ConfigError, match=r"fleet\.toml: links: 258 descriptors leave -90 of limits\.sockets = 200"
    ):
        Stage(fleet=path, sockets=200)


def test_without_a_fleet_file_nothing_of_it_is_imported() -> None:
    code = (
        "from tests.scenario import Stage; import sys; Stage().close(); "
        "print([m for m in sys.modules if m.startswith('ironbarrow.fleet') or m == 'msgspec'])"
    )
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])}
    found = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]", found.stderr
