"""Tests that no further attempt of a job is sent before the previous one is proven to be over.

The first part replays, on sockets, orders of events that have broken this rule. The second part runs the real
invoker and host in virtual time against random orders of answers, call-backs, connection failures, refusals,
time-outs, restarts and cancellations.
"""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import product
from typing import Any

import pytest

from heathway import api
from heathway.settings import ReportReader, read_settings
from ironbarrow.backend import invoker
from ironbarrow.backend.invoker import HttpInvoker
from ironbarrow.core import attempt
from ironbarrow.core import host as core
from ironbarrow.core.attempt import (
    Observation,
    Progress,
    observation_of_delete_status,
    proves_end,
    restarted_after_write,
)
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, SECOND, Coroutine
from ironbarrow.wire.http import Message
from tests.decisions import FixedOrder, fixed_order
from tests.scenario import SETTINGS, Harness, answer, call_back, job
from tests.virtual import VirtualLoop, wait

ACCEPTED = answer(202)
STARTED = f"c9 send {call_back('started')}\nc9 expect 204"
CLASSES = (
    *read_settings(SETTINGS).classes,
    api.JobClass("charge", api.Effect.KEYED, 1 * SECOND, 25 * SECOND, window=20 * SECOND),
)
JOB_PATHS = ["map", "book", "charge"]


def cancel_attempt(harness: Harness) -> None:
    """Cancels the attempt of the only job, as the decision module does."""
    host = harness.dispatcher.host
    host._cancel(api.CancelAttempt(next(iter(host._jobs)), 0))


def harness_with_attempt(path: str, ms: int = 9000, *, accepted: bool = True) -> tuple[Harness, FixedOrder]:
    """A harness on which p1 has received a job. If ``accepted``, it has also answered 202, called back that
    it runs the job, and closed its connection."""
    harness, decisions = fixed_order("p1", "p2", settings=replace(read_settings(SETTINGS), classes=CLASSES))
    steps = [f"c1 send {job(path=f'{path}/x', ms=ms)}", "p1 expect in$"]
    if accepted:
        steps += [f"p1 send {ACCEPTED}", *STARTED.splitlines(), "wait 10", "p1 close"]
    for line in steps:
        harness.step(line)
    return harness, decisions


# On sockets


@pytest.mark.parametrize("path", JOB_PATHS)
def test_a_refused_delete_does_not_end_an_accepted_attempt(path: str) -> None:
    # A machine that was cut off resets new connections once it is back, with its jobs still running.
    harness, decisions = harness_with_attempt(path)
    harness.step("p1 refuse")
    cancel_attempt(harness)
    harness.step("c1 silent 700")
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    for line in ("p1 listen", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    assert harness.peers["p2"].sock is None
    # The decisions of this test would repeat a booking as well; the host does not.
    next_step = "c1 expect HTTP/1.1 500" if path == "book" else "p2 expect in$"
    harness.step(f"p1 send {answer(204)}")
    harness.step(next_step)
    assert (harness.peers["p2"].sock is None) is (path == "book")
    assert decisions.outcomes[0] is api.Outcome.CANCELLED
    harness.close()


@pytest.mark.parametrize("path", JOB_PATHS)
def test_an_unanswered_delete_does_not_end_an_accepted_attempt(path: str) -> None:
    # A hung process has not read the DELETE, and may continue with the job later.
    harness, decisions = harness_with_attempt(path, ms=1500)
    cancel_attempt(harness)
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    harness.step("c1 expect HTTP/1.1 500")  # in time, at the deadline
    assert decisions.outcomes == [api.Outcome.TIMEOUT, api.Outcome.MOOT]
    assert harness.peers["p2"].sock is None
    harness.run_until("forgotten", lambda: not harness.dispatcher.host.jobs_in_memory)
    harness.run_until("no more DELETEs", lambda: not harness.dispatcher.invoker._delete_sender.in_flight)
    assert not harness.dispatcher.invoker._exchanges
    harness.close()


@pytest.mark.parametrize("status", [400, 500, 503])
def test_a_delete_answered_with_another_status_is_no_proof(status: int) -> None:
    harness, decisions = harness_with_attempt("map")
    cancel_attempt(harness)
    for line in ("p1 expect DELETE /jobs/j1 HTTP", f"p1 send {answer(status)}"):
        harness.step(line)
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    assert decisions.outcomes == []
    harness.run(f"p1 send {answer(404)}\np2 expect in$")


def test_an_attempts_time_out_does_not_end_it_without_a_proof() -> None:
    # An attempt that timed out long before its job's deadline was given up after three DELETEs.
    harness, decisions = fixed_order("p1", "p2")
    decisions.timeout = 100 * MS
    for line in (f"c1 send {job(ms=2500)}", "p1 expect in$", f"p1 send {ACCEPTED}", "p1 close", "p1 refuse"):
        harness.step(line)
    harness.step("c1 silent 1200")
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run("p1 listen\np1 expect DELETE /jobs/j1 HTTP\np1 send " + answer(204) + "\np2 expect in$")


def test_a_closed_connection_does_not_end_an_attempt_that_has_called_back_started() -> None:
    # Its 202 may be lost with the connection while the worker runs the job.
    harness, decisions = harness_with_attempt("map", accepted=False)
    for line in (*STARTED.splitlines(), "p1 close", "p1 expect DELETE /jobs/j1 HTTP"):
        harness.step(line)
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")
    assert decisions.outcomes == [api.Outcome.RESET]


def test_a_start_called_back_while_a_closed_attempt_is_cancelled_requires_a_proof() -> None:
    harness, decisions = harness_with_attempt("map", accepted=False)
    cancel_attempt(harness)
    for line in ("p1 close", "p1 expect DELETE /jobs/j1 HTTP", *STARTED.splitlines(), "p1 close"):
        harness.step(line)
    harness.step("p1 expect DELETE /jobs/j1 HTTP")
    assert decisions.outcomes == []
    assert harness.peers["p2"].sock is None
    harness.run(f"p1 send {answer(204)}\np2 expect in$")


@pytest.mark.parametrize(
    ("since", "deleted"), [("later", True), ("earlier", False), ("in the future", False)]
)
def test_a_delete_is_sent_to_the_new_process_after_a_later_start_in_the_list(
    since: str, deleted: bool
) -> None:
    # When the list alone was taken for the attempt's end, two copies of a job ran in a benchmark.
    harness, decisions = fixed_order("p1", "p2")
    before = harness.dispatcher.loop.now() // MS
    for line in (f"c1 send {job()}", "p1 expect in$", f"p1 send {ACCEPTED}", "wait 20"):
        harness.step(line)
    started = {
        "later": harness.dispatcher.loop.now() // MS,
        "earlier": before,
        "in the future": before + 60_000,
    }
    harness.run_for(0.01)
    entry = {**harness.entry("p1"), "since_ms": started[since]}
    news = harness.list_chunk(entry).replace("\r", "\\r").replace("\n", "\\n")
    harness.step("d expect GET")
    harness.step(f"d send HTTP/1.1 200 X\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{news}")
    if deleted:
        harness.step("p1 expect DELETE /jobs/j1 HTTP")
        assert decisions.outcomes == []
        assert harness.peers["p2"].sock is None
        harness.run(f"p1 send {answer(404)}\np2 expect in$")
    else:
        harness.step("c1 silent 100")
        assert not harness.peers["p1"].received
        harness.close()
    assert decisions.outcomes == ([api.Outcome.CANCELLED] if deleted else [])


def test_cancelling_an_attempt_of_another_process_is_confirmed_only_by_an_answer() -> None:
    harness, _ = fixed_order("p1")
    confirmed: list[bool] = []
    until = harness.dispatcher.loop.now() + 400 * MS
    harness.step("p1 refuse")
    harness.dispatcher.invoker.cancel_job("j1", "p1", until, confirmed.append)
    harness.dispatcher.invoker.cancel_job("j2", "unknown worker", until, confirmed.append)
    harness.run_for(0.2)
    assert confirmed == []
    harness.run_until("the time is over", lambda: confirmed == [False, False])
    harness.step("p1 listen")
    harness.dispatcher.invoker.cancel_job("j3", "p1", until + 9 * SECOND, confirmed.append)
    harness.step("p1 expect DELETE /jobs/j3 HTTP")
    assert len(confirmed) == 2
    harness.step(f"p1 send {answer(204)}")
    harness.run_until("confirmed", lambda: confirmed == [False, False, True])
    harness.close()


# The table of proofs

NO_PROOFS = {
    Observation.DELETE_UNSENT,
    Observation.DELETE_FAILED_HERE,
    Observation.DELETE_UNANSWERED,
    Observation.DELETE_BROKEN,
    Observation.RESTARTED,
    Observation.DELISTED,
    Observation.PROBE_FAILED,
}


@pytest.mark.parametrize(("observation", "progress"), list(product(Observation, Progress)))
def test_what_proves_an_attempt_to_be_over(observation: Observation, progress: Progress) -> None:
    proves = proves_end(observation, progress)
    if observation in NO_PROOFS:
        assert not proves
    if observation is Observation.CALL_BACK:
        assert proves
    if observation is Observation.CONNECTION_ENDED:
        assert proves is (progress < Progress.ACCEPTED)
    if observation is Observation.CONNECTION_FAILED:
        assert proves is (progress < Progress.WRITTEN)
    if observation is Observation.NO_CONNECTION:
        assert proves is (progress is Progress.CONNECTING)


def test_an_answer_to_a_delete_proves_by_its_status() -> None:
    proofs = {
        status
        for status in range(100, 600)
        if observation_of_delete_status(status) is Observation.DELETE_ANSWERED
    }
    assert proofs == {*range(200, 300), 404, 410}


def test_a_restart_is_one_after_the_request_was_written_and_before_now() -> None:
    assert restarted_after_write(started_at=20, written_at=10, now=30)
    assert not restarted_after_write(started_at=10, written_at=10, now=30)
    assert not restarted_after_write(started_at=40, written_at=10, now=30)
    assert not restarted_after_write(started_at=20, written_at=0, now=30)


# Random orders in virtual time. The simulated workers know which attempts they may still be running.


@dataclass(eq=False)
class WorkerAttempt:
    """An attempt as seen by its worker."""

    worker: str
    written_at: int
    confirmed: bool = False  # the dispatcher has been informed that the worker has accepted it
    started: bool = False  # the dispatcher has been informed that it is running
    live: bool = True
    may_have_run: bool = True


@dataclass
class Worker:
    """A worker that changes its behaviour over time: each entry of the timeline is a start time and a
    mode."""

    name: str
    timeline: list[tuple[int, str]]

    def mode(self, now: int) -> str:
        return [mode for since, mode in self.timeline if since <= now][-1]


MODES = ("up", "up", "hung", "cut off", "refuses", "resets")
JOB_ANSWERS = ("202", "202", "202", "late 202", "500", "proof", "200", "break", "never")
DELETE_ANSWERS = ("204", "204", "404", "500", "break", "never")
CALL_BACK_STATES = ("started", "started", "done", "returned", "failed", "lost")
DEADLINE = 6 * SECOND
START = 1_000 * SECOND


@dataclass
class World:
    """Three workers, the host and invoker of one dispatcher, and one job."""

    seed: int
    effect: api.Effect
    loop: VirtualLoop = field(default_factory=lambda: VirtualLoop(START))
    attempts: list[WorkerAttempt] = field(default_factory=list)
    answers: list[core.Answer] = field(default_factory=list)
    second_copies: int = 0
    run_twice: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.workers = {name: Worker(name, list(self._timeline())) for name in ("p1", "p2", "p3")}
        job_class = api.JobClass("x", self.effect, 1 * SECOND, DEADLINE, window=DEADLINE)
        settings = replace(read_settings(SETTINGS), classes=(job_class,), max_attempts=3)
        self.host = core.Host(self.loop, settings, 1)
        self.host._dispatcher = EffectAwareDecisions(self.effect)  # type: ignore[assignment]
        self.back = HttpInvoker(
            self.loop,  # type: ignore[arg-type]
            self.host,
            FakeDiscovery(),  # type: ignore[arg-type]
            ReportReader(SETTINGS),
            connect_timeout=250 * MS,
            idle_limit=10 * SECOND,
            max_idle=8,
            max_connections=100,
        )
        self.host.invoker = self.back
        self.host.update_workers(
            api.WorkerList(api.ListKind.FULL, tuple(api.WorkerEntry(n, "a") for n in self.workers))
        )

    def _timeline(self) -> Iterator[tuple[int, str]]:
        at = 0
        while at < START + 2 * DEADLINE:
            yield at, self.random.choice(MODES)
            at = max(at, START) + self.random.randrange(50, 3000) * MS

    def simulate(self) -> None:
        payload = core.Payload("j1", "POST", "/x", b"in")
        self.host.submit(payload, self.answers.append, job_class="x", time_left=DEADLINE)
        for _ in range(self.random.randrange(4)):
            self.loop.call_at(START + self.random.randrange(5000) * MS, self._cancel_attempt)
        for name in self.workers:
            if self.random.random() < 0.3:
                self.loop.call_at(START + self.random.randrange(5000) * MS, self._restart, name)
        self.loop.run(START + 3 * DEADLINE)

    def _cancel_attempt(self) -> None:
        for number, accepted in self.host._jobs.items():
            if accepted.attempts:
                self.host._cancel(api.CancelAttempt(number, len(accepted.attempts) - 1))

    def _restart(self, name: str) -> None:
        """The worker's process restarts at once; discovery lists that some time later. In the protocol this
        does not end an attempt."""
        started_at = self.loop.now()
        entry = api.WorkerEntry(name, "a", started_at=started_at)
        later = started_at + self.random.randrange(10, 2000) * MS
        update = api.WorkerList(api.ListKind.CHANGES, (entry,))
        self.loop.call_at(later, self.host.update_workers, update)

    # Behaviour of the workers

    def written(self, worker: str) -> WorkerAttempt:
        if any(worker_attempt.live for worker_attempt in self.attempts):
            self.second_copies += 1
        if (
            any(worker_attempt.may_have_run for worker_attempt in self.attempts)
            and self.effect is api.Effect.UNSAFE
        ):
            self.run_twice += 1
        worker_attempt = WorkerAttempt(worker, self.loop.now())
        self.attempts.append(worker_attempt)
        for _ in range(self.random.randrange(3)):
            state = self.random.choice(CALL_BACK_STATES)
            self.loop.call_at(
                self.loop.now() + self.random.randrange(1, 4000) * MS, self._call_back, worker_attempt, state
            )
        return worker_attempt

    def _call_back(self, worker_attempt: WorkerAttempt, state: str) -> None:
        mode = self.workers[worker_attempt.worker].mode(self.loop.now())
        if not worker_attempt.live or mode in ("hung", "cut off"):
            return
        if state == "started":
            worker_attempt.confirmed = worker_attempt.started = True
        else:
            worker_attempt.live = False
            worker_attempt.may_have_run = worker_attempt.may_have_run and (
                state != "returned" or worker_attempt.started
            )
        self.back.handle_call_back(
            {"id": "j1", "from": worker_attempt.worker, "state": state, "result": "out"}
        )

    def deleted(self, worker: str) -> None:
        for worker_attempt in self.attempts:
            if worker_attempt.worker == worker:
                worker_attempt.live = False


class FakeDiscovery:
    """The part of the discovery client that the invoker uses."""

    def address_of(self, worker: str) -> tuple[str, int]:
        return worker, 1


class EffectAwareDecisions(FixedOrder):
    """Continues with the next worker if the job's effect allows it."""

    def __init__(self, effect: api.Effect) -> None:
        super().__init__(("p1", "p2", "p3"))
        self._effect = effect

    def handle(self, now: int, events: Any) -> list[api.Action]:
        actions: list[api.Action] = []
        for action in super().handle(now, events):
            ended = self._ended.get(getattr(action, "job", 0), [])
            risky = self._effect is api.Effect.UNSAFE and any(o not in api.NEVER_RAN for o in ended)
            actions.append(api.Fail(action.job) if risky and isinstance(action, api.Send) else action)
        return actions


class FakeConnection:
    """The dispatcher's end of a connection to a worker of the world."""

    def __init__(self, world: World, worker: Worker) -> None:
        self.world, self.worker = world, worker
        self.worker_attempt: WorkerAttempt | None = None
        self.method = ""
        self.on_close: Any = None
        self.closed = False
        self.has_unread = False
        self.message_started = False

    def request_bytes(self, method: str, target: str, headers: Any, body: bytes = b"") -> bytes:
        self.method = method
        return method.encode()

    def write(self, data: bytes, until: int, before_first_byte: Any = None) -> Coroutine[None]:
        yield from wait(self.world.loop.now() + self.world.random.randrange(20) * MS)
        if before_first_byte is not None:
            before_first_byte()
        if self.worker.mode(self.world.loop.now()) == "resets" and self.world.random.random() < 0.5:
            raise ConnectionEndedError(Ending.RESET)
        if self.method == "POST":
            self.worker_attempt = self.world.written(self.worker.name)

    def read_head(self, until: int) -> Coroutine[Message]:
        loop, chance = self.world.loop, self.world.random
        kind = chance.choice(JOB_ANSWERS if self.method == "POST" else DELETE_ANSWERS)
        delay = chance.randrange(300, 2000) if kind == "late 202" else chance.randrange(1, 60)
        at = loop.now() + delay * MS
        yield from wait(min(at, until))
        mode = self.worker.mode(loop.now())
        if mode in ("hung", "cut off") or kind == "never" or at > until:
            yield from wait(until)
            raise ConnectionEndedError(Ending.STALLED)
        if kind == "break" or mode in ("resets", "refuses"):
            raise ConnectionEndedError(Ending.RESET)
        return self._answer(kind)

    def _answer(self, kind: str) -> Message:
        if self.method == "DELETE":
            if kind in ("204", "404"):
                self.world.deleted(self.worker.name)
            return Message(status=int(kind))
        worker_attempt = self.worker_attempt
        assert worker_attempt is not None
        if kind in ("202", "late 202"):
            worker_attempt.confirmed = True
            return Message(status=202)
        if kind == "proof":
            worker_attempt.live, worker_attempt.may_have_run = (
                False,
                worker_attempt.may_have_run and worker_attempt.started,
            )
            return Message(status=503, headers={"x-not-processed": "1"})
        if kind == "500":
            worker_attempt.live = False
        return Message(status=int(kind))

    def read_body(self, message: Message, until: int) -> Coroutine[None]:
        yield from wait(self.world.loop.now())

    def read_message(self, until: int) -> Coroutine[Message]:
        return (yield from self.read_head(until))

    def is_idle(self) -> bool:
        return not self.closed

    def next_cycle(self) -> bool:
        return True

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.worker_attempt is not None and not self.worker_attempt.confirmed:
            self.worker_attempt.live = False  # given up before the 202
        if self.on_close is not None:
            self.on_close()


def run_world(seed: int, effect: api.Effect, patch: pytest.MonkeyPatch) -> World:
    world = World(seed, effect)

    def connect(address: tuple[str, int], until: int) -> Coroutine[FakeConnection]:
        worker = world.workers[address[0]]
        mode = worker.mode(world.loop.now())
        if mode == "cut off":
            yield from wait(until)
            raise ConnectionEndedError(Ending.CONNECT_TIMED_OUT)
        yield from wait(world.loop.now() + world.random.randrange(1, 30) * MS)
        if mode == "refuses":
            raise ConnectionEndedError(Ending.CONNECT_REFUSED)
        return FakeConnection(world, worker)

    patch.setattr(invoker, "connect", connect)
    world.simulate()
    return world


EFFECTS = [api.Effect.SAFE, api.Effect.UNSAFE, api.Effect.KEYED]
SEEDS = 700


@pytest.mark.parametrize("effect", EFFECTS)
def test_in_any_order_two_attempts_are_never_live_at_once(
    effect: api.Effect, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: Counter[int] = Counter()
    for seed in range(SEEDS):
        world = run_world(seed, effect, monkeypatch)
        assert world.second_copies == 0, seed
        assert world.run_twice == 0, seed
        assert len(world.answers) == 1, seed
        assert len(world.attempts) <= 3, seed
        assert not world.host.jobs_in_memory, seed
        assert not world.back._exchanges and not world.back._delete_sender.in_flight, seed
        seen[len(world.attempts)] += 1
    assert min(seen[1], seen[2]) > 20  # the seeds include enough worlds with one and with two attempts


@pytest.mark.parametrize(
    ("observation", "progress"),
    [
        (Observation.DELETE_UNSENT, Progress.ACCEPTED),
        (Observation.DELETE_UNSENT, Progress.STARTED),
        (Observation.DELETE_UNANSWERED, Progress.ACCEPTED),
        (Observation.DELETE_BROKEN, Progress.ACCEPTED),
        (Observation.DELETE_BROKEN, Progress.STARTED),
        (Observation.CONNECTION_ENDED, Progress.STARTED),
    ],
)
def test_each_false_proof_makes_a_second_copy(
    observation: Observation, progress: Progress, monkeypatch: pytest.MonkeyPatch
) -> None:
    too_lenient = attempt._PROVES_END_AT[observation] | {progress}
    monkeypatch.setitem(attempt._PROVES_END_AT, observation, too_lenient)
    copies = (run_world(seed, api.Effect.SAFE, monkeypatch).second_copies for seed in range(SEEDS))
    assert any(copies)
