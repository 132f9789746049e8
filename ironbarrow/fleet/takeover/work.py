"""The machine of taking over beside the host: jobs come in through here, attempts go out through here.

It stands between the clients' front and the host (``take``), and between the host and what carries its
attempts (``start``, ``give_up``). Works on any clock; the sockets are the front's and the back's.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from hashlib import blake2b
from typing import Any, Protocol

import structlog

from heathway import api
from ironbarrow.core.endings import Ending
from ironbarrow.core.host import Host, Invoker
from ironbarrow.core.jobs import Answer, Attempt, Job, JobLimiter, JobOptions, Payload, Verdict
from ironbarrow.fleet.api import Action, News
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.records import JobRecord, Stage
from ironbarrow.fleet.takeover.machine import Rules, Takeover
from ironbarrow.fleet.takeover.orders import (
    Adopted,
    CallOff,
    Forget,
    Go,
    Heard,
    Keep,
    Reply,
    Superseded,
    Take,
    Withdraw,
)
from ironbarrow.handover.keeper import Keeper, Kept
from ironbarrow.handover.records import Record
from ironbarrow.runtime.clock import MS, SECOND, Clock

log = structlog.get_logger()

_LOOK = 20 * MS  # at kept jobs whose time may be over
# danger: a call-back for a job of a dispatcher that has died finds nobody until its ledger is taken over
_EARLY_FOR = 15 * SECOND
_EARLY_MOST = 4096
_FINAL = ("done", "failed", "returned", "lost")


class Back(Invoker, Protocol):
    """What carries attempts, and can let go of them."""

    def call_off(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        """Calls a job off that another had sent. ``done`` is told whether the worker has confirmed it, or
        False at ``until`` (ns)."""

    def called_back(self, raw: Any) -> bool:
        """A worker's word on an attempt, and whether any is out that it is about; a ValueError if it is
        malformed."""


@dataclass(slots=True, eq=False)
class _Waiter:
    """A client that waits."""

    id: str
    answered: Callable[[Answer | None], None]
    watch: JobLimiter | None = None  # until a job of the host's has it
    over: bool = False


def rules_of(settings: api.Settings, fleet: Fleet, passed: Callable[[str], None] | None = None) -> Rules:
    """The machine's rules. A job of an unsafe class is turned away without a majority, unless the file says
    otherwise."""
    safe = {cls.name: cls.effect is api.Effect.SAFE for cls in settings.classes}
    away = "turn away"
    turned = {n for n, s in safe.items() if fleet.without_majority.get(n, "" if s else away) == away}
    return Rules(
        safe=safe,
        turn_away=frozenset(turned),
        most_attempts=settings.max_attempts,
        wait=fleet.ledgers.wait,
        keep_for=fleet.answers.keep_for,
        most_answers=fleet.answers.most,
        retry_after=min(200 * MS, settings.max_retry_after) if settings.gives_retry_after else 0,
        ask_all=fleet.answers.ask == "all",
        passed=passed,
    )


class Work:
    """One dispatcher's work as its fleet knows it. ``machine`` is set before the first job, and anew with
    each incarnation."""

    machine: Takeover

    def __init__(
        self, clock: Clock, host: Host, back: Back, carry_out: Callable[[Iterable[Action]], None]
    ) -> None:
        self._clock, self._host, self._back, self._carry_out = clock, host, back, carry_out
        self._classes = {cls.name: cls for cls in host.settings.classes}
        rules = host.settings
        advice = min(200 * MS, rules.max_retry_after) if rules.gives_retry_after else 0
        self.keeper = Keeper(rules.max_attempts, advice, early_for=_EARLY_FOR, early_most=_EARLY_MOST)
        self.superseded: Callable[[], None] = lambda: None
        self.adopted: Callable[[Adopted], None] = lambda news: None
        self._jobs: dict[str, Job] = {}
        self._placed: dict[str, tuple[_Waiter, dict[str, Any]]] = {}
        self._planned = False
        self._looking = False
        host.invoker = self
        host.on_attempt_ended = self._attempt_over
        self._orders: dict[type[News], Callable[[Any], None]] = {
            Take: self._take,
            Keep: self._keep,
            CallOff: self._call_off,
            Reply: self._reply,
            Go: self._go,
            Withdraw: self._withdraw,
            Forget: self._forget,
            Heard: self._heard,
            Adopted: self._adopted,
            Superseded: lambda news: self.superseded(),
        }

    # News

    def told(self, news: News) -> None:
        """All news of this member's machines, in order."""
        order = self._orders.get(type(news))
        if order is not None:
            order(news)
        else:
            self._do(self.machine.told(self._clock.now(), news))

    def _do(self, actions: Iterable[Action]) -> None:
        self._carry_out(actions)
        if self.machine.unflushed and not self._planned:
            self._planned = True
            self._clock.call_soon(self._flush)  # with all that comes in this turn

    def _flush(self) -> None:
        self._planned = False
        self._carry_out(self.machine.flush(self._clock.now()))

    # The front

    def take(
        self, payload: Payload, answered: Callable[[Answer | None], None], **placed: Any
    ) -> Callable[[], None]:
        """As ``Host.submit``; ``answered`` is told None where another request is under that id. Gives back
        what is called when the client leaves or has its answer."""
        now = self._clock.now()
        text = f"{payload.method}\0{payload.target}\0".encode()
        terms: JobOptions | None = placed.get("options")
        record = JobRecord(
            id=payload.id,
            job_class=placed["job_class"],
            method=payload.method,
            target=payload.target,
            body=payload.body,
            content_type=payload.content_type,
            taken_at=now,
            until=now + placed["time_left"],
            stage=Stage.TAKEN,
            key=placed.get("key"),
            tenant=placed.get("tenant"),
            slots=placed["slots"],
            memory=placed["memory"],
            idempotency_key=payload.idempotency_key,
            digest=blake2b(text + payload.body, digest_size=16).digest(),
        )
        waiter = _Waiter(payload.id, answered, terms.limiter if terms is not None else None)
        if payload.id not in self._placed:
            self._placed[payload.id] = waiter, placed
        self._do(self.machine.arrive(now, record, placed["repeat"], waiter))
        return partial(self._left, waiter)

    def readiness(self) -> str:
        machine = self.machine
        state = "leaving" if machine.leaving else "no majority" if machine.alone else "majority"
        away = ",".join(sorted(machine.rules.turn_away)) if machine.alone else ""
        return (
            f"{state}; turned-away={away or '-'}; members={len(machine.members.alive())}; "
            f"taking-over={len(machine.open)}; lost={machine.counts['ledgers lost']}"
        )

    @property
    def owed(self) -> int:
        """Jobs that this member owes their answer, those that only wait for a call-back included."""
        return len(self.machine.held)

    def _left(self, waiter: _Waiter) -> None:
        if waiter.over:
            return
        self._over(waiter, None)
        self._do(self.machine.left(self._clock.now(), waiter.id, waiter))

    def _over(self, waiter: _Waiter, answer: Answer | None) -> None:
        waiter.over = True
        placed = self._placed.get(waiter.id)
        if placed is not None and placed[0] is waiter:
            del self._placed[waiter.id]
        if waiter.watch is not None:
            served = answer is not None and answer.verdict is Verdict.SERVED
            waiter.watch.ended(self._clock.now(), in_time=served)

    def _reply(self, news: Reply) -> None:
        waiter = news.waiter
        assert isinstance(waiter, _Waiter)
        check("one answer", not waiter.over, id=waiter.id)
        if not waiter.over:
            self._over(waiter, news.answer)
            waiter.answered(news.answer)

    # The host's jobs

    def _take(self, news: Take) -> None:
        record, now = news.record, self._clock.now()
        waiter, placed = self._placed.pop(record.id, (None, {}))
        terms: JobOptions = placed.get("options") or JobOptions()
        if waiter is not None:
            waiter.watch = None  # the host tells it
        left = max(1, self._host.settings.max_attempts - record.attempts)
        cls = self._classes[record.job_class]
        wanted = terms.wanted
        if waiter is None and not cls.stretch:
            wanted = max(1, min(cls.aim, record.taken_at + cls.aim - now))
        self._jobs[record.id] = self._host.submit(
            Payload(
                record.id,
                record.method,
                record.target,
                record.body,
                record.content_type,
                record.idempotency_key,
            ),
            partial(self._ended, record.id),
            job_class=record.job_class,
            time_left=max(1, record.until - now),
            key=record.key,
            tenant=record.tenant,
            slots=record.slots,
            memory=record.memory,
            repeat=bool(placed.get("repeat")) or record.may_have_run,
            options=replace(terms, wanted=wanted, most_attempts=min(terms.most_attempts or left, left)),
            tried=record.tried,
        )

    def _ended(self, job_id: str, answer: Answer) -> None:
        self._jobs.pop(job_id, None)
        self._do(self.machine.ended(self._clock.now(), job_id, answer))

    def _withdraw(self, news: Withdraw) -> None:
        job = self._jobs.pop(news.id, None)
        if job is not None:
            self._host.withdraw(job)

    def _forget(self, news: Forget) -> None:
        """Danger: what is called off here may be what another has sent by now."""
        self.keeper.gone(news.id)
        job = self._jobs.pop(news.id, None)
        if job is not None:
            for attempt in job.attempts:
                if not attempt.ended:
                    self._back.detach(attempt)
            self._host.detach(job)

    def _adopted(self, news: Adopted) -> None:
        log.info(
            "ledger taken over", of=str(news.incarnation), jobs=news.jobs, whole=news.whole, after=news.after
        )
        self.adopted(news)

    # Jobs that a worker has

    def _keep(self, news: Keep) -> None:
        record, now = news.record, self._clock.now()
        fields = {n: getattr(record, n) for n in Record.__slots__ if n not in ("time_left", "attempts")}
        kept = Record(**fields, time_left=max(1, record.until - now), attempts=record.attempts)
        self.keeper.keep(Kept(kept, news.safe, record.until, self._kept_ended(record), self._again), now)
        self._look()

    def _kept_ended(self, record: JobRecord) -> Callable[[Answer], None]:
        def ended(answer: Answer) -> None:
            self._host.count_answer(record.job_class, answer.verdict)
            self._do(self.machine.ended(self._clock.now(), record.id, answer))

        return ended

    def _again(self, record: Record) -> None:
        now = self._clock.now()
        self._do(self.machine.again(now, record.id, may_have_run=record.may_have_run))

    def _look(self) -> None:
        if not self._looking:
            self._looking = True
            self._clock.call_at(self._clock.now() + _LOOK, self._look_now)

    def _look_now(self) -> None:
        self._looking = False
        self.keeper.run_out(self._clock.now())
        if self.keeper.jobs:
            self._look()

    def _call_off(self, news: CallOff) -> None:
        """Danger: until the worker has confirmed it, the attempt may run: it is kept for its call-back."""
        record, machine = news.record, self.machine
        self._keep(Keep(record, safe=True))
        kept = self.keeper.jobs.get(record.id)
        if kept is None:
            return  # its call-back had come already

        def done(confirmed: bool) -> None:
            still_kept = self.keeper.jobs.get(record.id) is kept
            if confirmed and still_kept and machine is self.machine:
                self.keeper.gone(record.id)
                self._do(machine.called_off(self._clock.now(), record.id))

        self._back.call_off(record.id, record.worker, record.until, done)

    def stray(self, raw: dict[str, Any]) -> None:
        """A call-back for no attempt of this process: for a job kept here, or for another member."""
        if not self._kept_called_back(raw) and raw["state"] in _FINAL:
            result = raw.get("result", "")
            data = result.encode() if isinstance(result, str) else b""
            self._do(self.machine.stray(raw["id"], raw["from"], raw["state"], data))

    def _kept_called_back(self, raw: dict[str, Any]) -> bool:
        result = raw.get("result", "")
        data = result.encode() if isinstance(result, str) else b""
        return self.keeper.called_back(raw["id"], raw["from"], raw["state"], data, self._clock.now())

    def _heard(self, news: Heard) -> None:
        """Passed on by another. Danger: passed on again, what nobody knows would go round for ever."""
        raw = {"id": news.id, "from": news.worker, "state": news.state}
        raw["result"] = news.result.decode("utf-8", "replace")
        try:
            if not self._back.called_back(raw):
                self._kept_called_back(raw)
        except ValueError as error:
            log.error("forwarded call-back passed over", error=str(error))

    # The host's attempts

    def start(self, attempt: Attempt) -> None:
        now = self._clock.now()
        self._do(self.machine.intent(now, attempt, attempt.job.payload.id, attempt.worker))

    def _go(self, news: Go) -> None:
        attempt = news.attempt
        assert isinstance(attempt, Attempt)
        if attempt.ended:
            return
        if news.may:
            job_id = attempt.job.payload.id
            check("intent before send", self.machine.may_send(job_id), id=job_id, worker=attempt.worker)
            self._back.start(attempt)
        else:
            self._host.attempt_ended(attempt, Ending.NOT_SENT)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        if self.machine.given_up(attempt):
            self._host.attempt_ended(attempt, Ending.NOT_SENT)
        else:
            self._back.give_up(attempt, ending)

    def detach(self, attempt: Attempt) -> None:
        self._back.detach(attempt)

    def _attempt_over(self, attempt: Attempt) -> None:
        self.machine.attempt_over(attempt.job.payload.id, never_ran=attempt.never_ran)
        self._do(())

    def probe(self, worker: str) -> None:
        self._back.probe(worker)

    def close_idle(self, worker: str) -> None:
        self._back.close_idle(worker)
