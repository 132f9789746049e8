"""Jobs written down before they are done, and what others have left taken over. No input or output.

The process tells it what comes (``arrive``, ``intent``, ``attempt_over``, ``ended``, ``left``, ``stray``) and
carries out what it answers (``orders``). Changes of one turn are gathered; ``flush`` appends them together.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ironbarrow.core.jobs import Answer, Verdict
from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Change,
    Claimed,
    ClaimLost,
    Fenced,
    Health,
    Incarnation,
    Kept,
    LedgerAt,
    Ledgers,
    MemberChanged,
    Members,
    Message,
    Moved,
    News,
    NoMajority,
    Send,
    job_ledger,
)
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.records import (
    CLAIM,
    AnswerRecord,
    JobRecord,
    Stage,
    answers,
    claims,
    drop,
    drop_answer,
    drop_claim,
    jobs,
    put,
    put_answer,
)
from ironbarrow.fleet.takeover import recovery as recovery_rules
from ironbarrow.fleet.takeover.actions import (
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
from ironbarrow.fleet.takeover.deduplication import POLL, Answers, Asking, Promises
from ironbarrow.fleet.takeover.messages import KINDS, Ask, CallBack, Said, TakenOver, Told, Word
from ironbarrow.fleet.takeover.recovery import STAND, What, turn
from ironbarrow.runtime.clock import MS, SECOND

LINGER = 10 * SECOND  # the answer of a job that must not run twice stays in the ledger so long after its end
_LINGERING = 1024  # such answers at the most
_RESULT_WRITTEN = 4096  # bytes; a longer result is not written down, and a repeat elsewhere hears "failed"
_SAFE_WAITS = 5 * SECOND  # at most, and half of its time: then a safe job that is asked for is refused
_SETTLED = 1 * SECOND  # so long after its start a member does not yet know all others
_REMOTE = 64  # others that are told a job's answer unasked
_TELL_AGAIN = (200 * MS, 1 * SECOND, 3 * SECOND)  # after a ledger is taken over, since messages are lost
_RETRY = 1 * SECOND  # a claim that has no end yet is looked at again
_TRIES = 3  # of a claim, while a majority of the replicas seems to be there
# without a majority of replicas, until this incarnation is given up for one that has them
_GONE_FOR = 2 * SECOND
_GONE_AT_MOST = 15 * SECOND  # while a job that may not run twice is out
_REMEMBERED = 1024  # incarnations taken over

# as ledgers and messages have them: members of other versions read and write the same words
ENCODED_VERDICTS = {Verdict.SERVED: "served", Verdict.REFUSED: "rejected", Verdict.FAILED: "failed"}
_VERDICTS = {encoded: verdict for verdict, encoded in ENCODED_VERDICTS.items()}
_FAILED = Answer(Verdict.FAILED)


@dataclass(frozen=True, slots=True)
class Rules:
    """What the machine goes by. Times in ns."""

    safe: dict[str, bool]  # by class
    turn_away: frozenset[str]  # classes that are not served without a majority
    most_attempts: int
    wait: int
    keep_for: int
    most_answers: int
    retry_after: int = 0
    ask_all: bool = False  # also those that do not say that they come again
    passed: Callable[[str], None] | None = None  # tests end the process at named points


@dataclass(slots=True, eq=False)
class Held:
    """A job that this member owes its answer."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    remote: dict[Incarnation, None] = field(default_factory=dict)
    adopted: bool = False
    intent: "_Wait | None" = None  # the present attempt's
    unprotected: bool = False  # it goes out though no majority knows
    unproven: bool = False  # an attempt may have run
    answering: bool = False  # its refusal is being written
    over: bool = False


@dataclass(slots=True, eq=False)
class _Wait:
    """What waits for a majority. ``attempt``: the attempt that an intent is about."""

    until: int
    kept: Callable[[int], list[Action]]
    failed: Callable[[int], list[Action]]
    attempt: object = None
    off: bool = False
    again: bool = False  # its time was given once more
    seq: int = NEVER  # the append's that has to be kept


@dataclass(slots=True, eq=False)
class _Open:
    """A ledger that somebody has to take over."""

    incarnation: Incarnation
    at: LedgerAt
    since: int
    due: int
    by: Incarnation | None = None  # who has claimed it; it has ended too
    claiming: bool = False
    heir_of: Incarnation | None = None  # the claim was found in that one's ledger, which is this member's now
    adopting: bool = False
    tries: int = 0


class Takeover:
    """One incarnation's machine; ``succeed`` moves on what outlives an incarnation."""

    handles: tuple[type[Message], ...] = KINDS

    def __init__(self, now: int, me: Incarnation, members: Members, ledgers: Ledgers, rules: Rules) -> None:
        self.me, self.members, self.ledgers, self.rules = me, members, ledgers, rules
        self.ledger = job_ledger(me)
        self.begun = now
        self.fenced = False
        self.alone = False  # no majority answers
        self.kept = 0  # the number up to which a majority has this ledger
        self.leaving = False
        self.held: dict[str, Held] = {}
        self.asking: dict[str, Asking] = {}
        self.answers = Answers(rules.keep_for, rules.most_answers)
        self.promises = Promises(rules.keep_for)
        self.open: dict[Incarnation, _Open] = {}
        self.left_open: list[_Open] = []  # by an incarnation that is over
        self.taken_over: OrderedDict[Incarnation, bool] = OrderedDict()  # whether whole
        self.counts: Counter[str] = Counter()
        self._changes: dict[str, Change] = {}
        self._gathered: list[_Wait] = []
        self._waits: deque[tuple[int, list[_Wait]]] = deque()
        self._attempts: dict[object, _Wait] = {}
        self.closing: set[str] = set()  # ids whose clients have left, being called off
        self._look_at = now
        self._gone_since = NEVER
        self._linger: deque[tuple[int, str]] = deque()
        self._tell: list[tuple[int, Incarnation, bool]] = []
        self._lost: dict[Incarnation, int] = {}  # until when a repeat may be about a job of it

    # What the process tells

    def begin(self, now: int) -> list[Action]:
        """Opens this incarnation's ledger."""
        return self.ledgers.create(now, self.ledger)

    def succeed(self, now: int, earlier: "Takeover") -> list[Action]:
        """Takes on the clients, answers and promises of an earlier incarnation, which others have taken
        over. Their jobs are asked for first, and those that may have gone out from here are not taken
        anew."""
        self.answers, self.promises, self.counts = earlier.answers, earlier.promises, earlier.counts
        self._lost, self.taken_over = earlier._lost, earlier.taken_over
        actions: list[Action] = []
        for asking in earlier.asking.values():
            asking.holder = None
            asking.remote.clear()
            asking.begun = now
            self.asking[asking.record.id] = asking
            actions += self._ask(now, asking)
        earlier.asking = {}
        for opened in earlier.left_open:
            if opened.incarnation not in self.open and opened.incarnation not in self.taken_over:
                self._open(now, opened.incarnation, opened.at, None)
        return actions

    def arrive(self, now: int, record: JobRecord, marked: bool, waiter: object) -> list[Action]:
        """A client's request. ``marked``: it says that it comes again."""
        if (known := self._join(now, record, waiter)) is not None:
            return known
        safe = self.rules.safe.get(record.job_class, False)
        if self.fenced:
            # the next incarnation asks for it, as for all that came when this one was over
            self.asking[record.id] = Asking(record, safe, [waiter], now, next_at=NEVER)
            return []
        seen = record.id in self.closing or self.promises.given(record.id, now)
        if marked or seen or (not safe and self._asks_unmarked(now)):
            asking = Asking(record, safe, [waiter], now)
            self.asking[record.id] = asking
            return self._ask(now, asking)
        if self.alone and record.job_class in self.rules.turn_away:
            # nothing of it was written, nobody can do it: a repeat is harmless
            self.counts["turned away"] += 1
            return [Reply(waiter, Answer(Verdict.REFUSED, retry_after=self.rules.retry_after))]
        return self._take(now, Held(record, safe, [waiter]))

    def intent(self, now: int, attempt: object, job_id: str, worker: str) -> list[Action]:
        """An attempt is about to go out; ``Go`` follows, at once or once a majority knows."""
        held = self.held.get(job_id)
        if held is None or self.fenced or self.leaving:
            return [Go(attempt, False)]
        old = held.record
        held.record = msgspec.structs.replace(
            old,
            stage=Stage.INTENT,
            attempts=old.attempts + 1,
            worker=worker,
            may_have_run=old.may_have_run or held.unproven,
            tried=(*old.tried, worker),
        )
        if held.record.attempts > self.rules.most_attempts:
            held.record = old
            return [Go(attempt, False)]
        wait = _Wait(
            now + self.rules.wait,
            lambda at: self._go(at, held, attempt, kept=True),
            lambda at: self._unkept(at, held, attempt),
            attempt,
        )
        held.intent, held.unprotected = wait, False
        self._write(put(held.record), wait)
        if self.alone:
            return self._fail(now, wait)
        self._attempts[attempt] = wait
        return []

    def given_up(self, attempt: object) -> bool:
        """An attempt is called off; whether it had no leave to go yet, and now never gets it."""
        wait = self._attempts.pop(attempt, None)
        if wait is None:
            return False
        wait.off = True
        return True

    def attempt_over(self, job_id: str, *, never_ran: bool) -> None:
        """An attempt has ended, its job may have not."""
        self.closing.discard(job_id)
        held = self.held.get(job_id)
        if held is None or held.record.stage is not Stage.INTENT or held.answering:
            return
        if never_ran:
            held.unproven = held.record.may_have_run
        if never_ran or held.safe:
            held.record = msgspec.structs.replace(
                held.record, stage=Stage.TAKEN, worker="", may_have_run=held.unproven
            )
            self._write(put(held.record))

    def ended(self, now: int, job_id: str, answer: Answer) -> list[Action]:
        """The host, or the keeper of jobs handed over, has a job's final answer."""
        held = self.held.get(job_id)
        if held is None or held.answering:
            return []
        if answer.verdict is not Verdict.REFUSED or held.safe:
            return self._finish(now, held, answer)
        if self.fenced or self.alone:
            return self._finish(now, held, _FAILED)
        self._passed("before-refusal")
        held.answering = True
        held.record = msgspec.structs.replace(held.record, stage=Stage.REFUSED)
        wait = _Wait(
            now + self.rules.wait,
            lambda at: self._refused(at, held, answer),
            lambda at: self._finish(at, held, _FAILED),
        )
        self._write(put(held.record), wait)
        return []

    def left(self, now: int, job_id: str, waiter: object) -> list[Action]:
        """A client has gone before its answer."""
        asking = self.asking.get(job_id)
        if asking is not None and waiter in asking.waiters:
            asking.waiters.remove(waiter)
            if not asking.waiters and not asking.remote:
                del self.asking[job_id]
            return []
        held = self.held.get(job_id)
        if held is None or waiter not in held.waiters:
            return []
        held.waiters.remove(waiter)
        if held.waiters or held.remote or held.adopted or held.answering:
            return []
        if not held.safe and held.record.stage is not Stage.TAKEN:
            return []  # it may have run: it goes on, for the client that comes again
        del self.held[job_id]
        if held.record.stage is Stage.INTENT:
            self.closing.add(job_id)
        self._write(drop(job_id))
        return [Withdraw(job_id)]

    def stray(self, job_id: str, worker: str, state: str, result: bytes) -> list[Action]:
        """A worker's word on a job that is not here: all others hear it."""
        self.counts["call-backs passed on"] += 1
        return self._to_all(CallBack(job_id, worker, state, result))

    def called_off(self, now: int, job_id: str) -> list[Action]:
        """A job that was taken over is called off at the worker that had it."""
        held = self.held.get(job_id)
        if held is None or held.answering:
            return []
        return self._again(now, held)

    def again(self, now: int, job_id: str, *, may_have_run: bool) -> list[Action]:
        """A kept job's attempt has ended and it may be taken anew."""
        held = self.held.get(job_id)
        if held is None:
            return []
        held.unproven = may_have_run
        return self._again(now, held)

    def leave(self, now: int) -> list[Action]:
        """From now on nothing is sent; what is owed stays in the ledger, for the others."""
        self.leaving = True
        actions: list[Action] = []
        for wait in list(self._attempts.values()):
            if not wait.off:
                wait.off = True
                actions.append(Go(wait.attempt, False))
        self._attempts.clear()
        return actions + self.flush(now)

    @property
    def unflushed(self) -> bool:
        return bool(self._changes)

    @property
    def settled(self) -> bool:
        """Whether all that was appended is at a majority."""
        return not self._changes and not self._waits

    def flush(self, now: int) -> list[Action]:
        """Appends all that was gathered."""
        if not self._changes:
            return []
        changes, self._changes = list(self._changes.values()), {}
        gathered, self._gathered = self._gathered, []
        if self.fenced:
            return self._fail_all(now, gathered)
        seq, actions = self.ledgers.append(now, self.ledger, changes)
        # 0: not its writer any more, as will be told; until then it is as if nobody answered
        for wait in gathered:
            wait.seq = seq or NEVER
        self._waits.append((seq or NEVER, gathered))
        return actions

    # Machine

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        late = [w for _, waits in self._waits for w in waits if w.until <= now and not w.off]
        if late and now - late[0].until > self.rules.wait:
            # this process was stopped: nobody had the time to answer
            for wait in [w for w in late if not w.again]:
                wait.until, wait.again = now + self.rules.wait, True
            late = [w for w in late if w.until <= now]
        if late:
            self.alone = True
            self.counts["waits without a majority"] += len(late)
            actions += self._fail_all(now, late)
        while self._linger and (self._linger[0][0] <= now or len(self._linger) > _LINGERING):
            self._write(drop_answer(self._linger.popleft()[1]))
        if self.alone and not self.fenced:
            actions += self._give_up_ledger(now)
        waiting = [] if self.fenced else list(self.asking.values())
        for asking in [a for a in waiting if min(a.next_at, self._gives_up_at(a)) <= now]:
            if self.asking.get(asking.record.id) is asking:
                actions += self._ask(now, asking)
        for due, incarnation, whole in [told for told in self._tell if told[0] <= now]:
            self._tell.remove((due, incarnation, whole))
            actions += self._to_all(TakenOver(incarnation, whole))
        for opened in [o for o in self.open.values() if o.due <= now]:
            actions += self._claim(now, opened)
        return actions + self.flush(now)

    def next_at(self) -> int:
        times = [w.until for _, waits in self._waits for w in waits if not w.off]
        times += [min(a.next_at, self._gives_up_at(a)) for a in self.asking.values() if not self.fenced]
        times += [o.due for o in self.open.values()]
        times += [due for due, _, _ in self._tell]
        if self._linger:
            times.append(self._linger[0][0])
        if self.alone and not self.fenced:
            times.append(self._look_at)
        return min(times, default=NEVER)

    def received(self, now: int, sender: Incarnation, message: Message) -> list[Action]:
        actions: list[Action] = []
        if isinstance(message, Ask):
            actions = self._asked(now, sender, message)
        elif isinstance(message, Said):
            actions = self._said(now, sender, message)
        elif isinstance(message, Told):
            actions = self._told(now, message.id, message.verdict, message.result, message.retry_after)
        elif isinstance(message, CallBack):
            actions = [Heard(message.id, message.worker, message.state, message.result)]
        elif isinstance(message, TakenOver) and message.incarnation != self.me:
            self._note_taken_over(now, message.incarnation, message.whole)
        return actions + self.flush(now)

    def told(self, now: int, news: News) -> list[Action]:
        """News of the other machines."""
        actions: list[Action] = []
        if isinstance(news, Kept):
            if news.ledger == self.ledger:
                actions = self._kept(now, news.seq)
        elif isinstance(news, MemberChanged):
            self._member(now, news)
        elif isinstance(news, Claimed):
            actions = self._claimed(now, news.ledger, news.content, whole=True)
        elif isinstance(news, ClaimLost):
            actions = self._claim_lost(now, news)
        elif isinstance(news, NoMajority):
            if news.ledger == self.ledger:
                self.alone = not news.back
                if self.alone:
                    waits = [w for _, group in self._waits for w in group if w.until < NEVER and not w.off]
                    actions = self._fail_all(now, waits)
        elif isinstance(news, Moved):
            if news.at.ledger == self.ledger:
                self.alone = False
        elif isinstance(news, Fenced) and news.ledger == self.ledger and not self.fenced:
            actions = self._fence(now)
        return actions + self.flush(now)

    # Own jobs

    def _passed(self, point: str) -> None:
        if self.rules.passed is not None:
            self.rules.passed(point)

    def _write(self, change: Change, wait: _Wait | None = None) -> None:
        # danger: a later change of the same key takes the place of the earlier one, at the end of the line
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if wait is not None:
            self._gathered.append(wait)

    def _take(self, now: int, held: Held) -> list[Action]:
        held.record = msgspec.structs.replace(held.record, stage=Stage.TAKEN, worker="")
        self.held[held.record.id] = held
        self._write(put(held.record))
        self._passed("after-taken")
        return [Take(held.record)]

    def _again(self, now: int, held: Held) -> list[Action]:
        """Takes a job anew that another had, or answers it where it has no time or attempts left."""
        held.record = msgspec.structs.replace(
            held.record,
            stage=Stage.TAKEN,
            worker="",
            may_have_run=held.record.may_have_run or held.unproven,
        )
        left = recovery_rules.what(
            held.record, safe=held.safe, whole=True, most_attempts=self.rules.most_attempts, now=now
        )
        if left is What.AGAIN:
            return self._take(now, held)
        answer = _FAILED if left is What.FAILED else self._refusal()
        return self.ended(now, held.record.id, answer)

    def _refusal(self) -> Answer:
        return Answer(Verdict.REFUSED, retry_after=self.rules.retry_after)

    def _go(self, now: int, held: Held, attempt: object, *, kept: bool) -> list[Action]:
        self._attempts.pop(attempt, None)
        if held.over or self.fenced or self.leaving:
            return [Go(attempt, False)]
        if kept:
            self._passed("after-intent")
        else:
            self.counts["unprotected"] += 1
        held.unprotected = not kept
        check("unsafe never sent twice", held.safe or not held.unproven, id=held.record.id)
        check("at most three attempts", held.record.attempts <= self.rules.most_attempts, id=held.record.id)
        held.unproven = True
        return [Go(attempt, True)]

    def may_send(self, job_id: str) -> bool:
        """Whether an attempt's intent is at a majority, or its class is served without one: looked at by who
        writes the first byte."""
        held = self.held.get(job_id)
        if held is None or held.intent is None:
            return False
        away = held.record.job_class in self.rules.turn_away
        return held.intent.seq <= self.kept or (held.unprotected and not away)

    def _unkept(self, now: int, held: Held, attempt: object) -> list[Action]:
        """No majority has answered in time."""
        if held.over:
            return [Go(attempt, False)]
        if not self.fenced and held.record.job_class not in self.rules.turn_away:
            return self._go(now, held, attempt, kept=False)
        self._attempts.pop(attempt, None)
        if self.fenced:
            return [Go(attempt, False)]
        self.counts["turned away"] += 1
        answer = self._refusal() if held.safe else _FAILED
        return [Go(attempt, False), Withdraw(held.record.id), *self._finish(now, held, answer)]

    def _refused(self, now: int, held: Held, answer: Answer) -> list[Action]:
        self._passed("after-refusal")
        return self._finish(now, held, answer)

    def _finish(self, now: int, held: Held, answer: Answer) -> list[Action]:
        if held.over:
            return []
        record = held.record
        check("one answer", self.held.get(record.id) is held, id=record.id)
        held.over = True
        self.held.pop(record.id, None)
        refused = answer.verdict is Verdict.REFUSED
        self.answers.keep(record.id, record.digest, answer, now, short=refused and held.safe)
        self._write(drop(record.id))
        if not held.safe and not refused:
            self._write_answer(now, record.id, record.digest, answer)
        return self._tell_all(record.id, held.waiters, held.remote, answer)

    def _write_answer(self, now: int, job_id: str, digest: bytes, answer: Answer) -> None:
        """Danger: dropped alone, a booking whose answer was lost on the way would be unknown to whoever takes
        over, and its repeat would run."""
        verdict, result = answer.verdict, answer.result
        if len(result) > _RESULT_WRITTEN:
            verdict, result = Verdict.FAILED, b""
        self._write(
            put_answer(
                AnswerRecord(id=job_id, digest=digest, verdict=ENCODED_VERDICTS[verdict], result=result)
            )
        )
        self._linger.append((now + LINGER, job_id))

    def _tell_all(
        self, job_id: str, waiters: Iterable[object], remote: Iterable[Incarnation], answer: Answer
    ) -> list[Action]:
        told = Told(job_id, ENCODED_VERDICTS[answer.verdict], answer.result, answer.retry_after)
        return [
            *(Reply(waiter, answer) for waiter in waiters),
            *(Send(incarnation, told) for incarnation in remote),
        ]

    def _kept(self, now: int, seq: int) -> list[Action]:
        self.alone = False
        self.kept = max(self.kept, seq)
        actions: list[Action] = []
        while self._waits and self._waits[0][0] <= seq:
            for wait in self._waits.popleft()[1]:
                if not wait.off:
                    wait.off = True
                    actions += wait.kept(now)
        return actions

    def _fail(self, now: int, wait: _Wait) -> list[Action]:
        if wait.off:
            return []
        wait.off = True
        return wait.failed(now)

    def _fail_all(self, now: int, waits: Iterable[_Wait]) -> list[Action]:
        return [action for wait in waits for action in self._fail(now, wait)]

    def supersede(self, now: int) -> list[Action]:
        """This incarnation is over by a word from elsewhere: as if its ledger had been sealed."""
        return [action for action in self._fence(now) if not isinstance(action, Superseded)]

    def _give_up_ledger(self, now: int) -> list[Action]:
        """Where a majority of its replicas is gone for good no ledger comes back: this incarnation ends, as
        if another had sealed it, and the next one has new replicas. Jobs that may not run twice and are out
        are waited for, up to a bound."""
        if now < self._look_at:
            return []
        self._look_at = now + _RETRY
        at = next((at for at in self.members.me.ledgers if at.ledger == self.ledger), None)
        if at is None or self.leaving:
            return []
        gone = sum(self.members.health(k) in (Health.DEAD, Health.LEFT) for k in at.replicas)
        if 2 * (len(at.replicas) - gone) > len(at.replicas):
            self._gone_since = NEVER
            return []
        self._gone_since = min(self._gone_since, now)
        # danger: what was saved of others is nowhere else
        out = any(held.adopted or (held.unproven and not held.safe) for held in self.held.values())
        # danger: of two that keep for each other alone, each that begins anew ends the other one's ledger
        patience = _GONE_FOR << min(self.counts["own ledger given up"], 5)
        if now < self._gone_since + max(patience, _GONE_AT_MOST if out else 0):
            return []
        self.counts["own ledger given up"] += 1
        return self._fence(now)

    def _fence(self, now: int) -> list[Action]:
        """Danger: from here on another may do whatever this incarnation owes."""
        self.fenced = True
        self.counts["fenced"] += 1
        waits = [w for _, group in self._waits for w in group] + self._gathered
        self._waits.clear()
        self._gathered, self._changes = [], {}
        actions = self._fail_all(now, waits)
        self._changes.clear()
        for job_id, held in list(self.held.items()):
            held.over = True
            actions.append(Forget(job_id))
            if held.waiters:
                # its clients still wait: they get the answer from whoever has it now, or, where it
                # never went out from here and nobody has it, it is taken anew
                self.asking[job_id] = Asking(
                    held.record, held.safe, held.waiters, now, may_take=not held.unproven
                )
        self.held.clear()
        self.left_open, self.open = list(self.open.values()), {}
        return [*actions, Superseded()]

    # Repeats

    def _asks_unmarked(self, now: int) -> bool:
        """Danger: a process that was stopped may read requests that came before it was taken over, and
        another has them by now; at first it asks for all that must not run twice."""
        return self.rules.ask_all or (
            self.me.start > 0 and self.counts["fenced"] > 0 and now < self.begun + LINGER
        )

    def _join(self, now: int, record: JobRecord, waiter: object) -> list[Action] | None:
        """Joins a client to what is known of its id here; None if nothing is."""
        ended = self.answers.find(record.id, now)
        if ended is not None:
            self.counts["answered again"] += 1
            return [Reply(waiter, ended.answer if ended.digest == record.digest else None)]
        known = self.held.get(record.id) or self.asking.get(record.id)
        if known is None:
            return None
        if known.record.digest != record.digest:
            return [Reply(waiter, None)]
        self.counts["joined"] += 1
        known.waiters.append(waiter)
        return []

    def _gives_up_at(self, asking: Asking) -> int:
        if not asking.safe or asking.holder is not None:
            return asking.record.until
        return min(asking.begun + _SAFE_WAITS, (asking.begun + asking.record.until) // 2)

    def _ask(self, now: int, asking: Asking) -> list[Action]:
        """Begins a round; ends the asking where time is over, or the job has come here meanwhile."""
        record = asking.record
        if self.fenced:
            asking.next_at = NEVER
            return []
        if (held := self.held.get(record.id)) is not None:
            del self.asking[record.id]
            held.waiters += asking.waiters
            held.remote |= asking.remote
            return []
        if (ended := self.answers.find(record.id, now)) is not None:
            del self.asking[record.id]
            return self._tell_all(record.id, asking.waiters, asking.remote, ended.answer)
        if now >= self._gives_up_at(asking):
            # danger: a repeat of a job that somebody may have, or has run
            self.counts["not all have answered"] += 1
            answer = self._refusal() if asking.safe else _FAILED
            return self._end_asking(now, asking, answer)
        asking.new_round(now)
        if asking.holder is not None:
            return [Send(asking.holder, Ask(record.id, record.digest, asking.round))]
        actions = self._to_all(Ask(record.id, record.digest, asking.round))
        return actions + self._decide(now, asking)

    def _end_asking(self, now: int, asking: Asking, answer: Answer) -> list[Action]:
        self.asking.pop(asking.record.id, None)
        return self._tell_all(asking.record.id, asking.waiters, asking.remote, answer)

    def _take_asked(self, now: int, asking: Asking) -> list[Action]:
        del self.asking[asking.record.id]
        held = Held(asking.record, asking.safe, asking.waiters, asking.remote)
        if self.alone and asking.record.job_class in self.rules.turn_away:
            return self._tell_all(asking.record.id, asking.waiters, asking.remote, _FAILED)
        return self._take(now, held)

    def _decide(self, now: int, asking: Asking) -> list[Action]:
        """Takes the job once all that live have said, in one round, that they have it not."""
        if (
            self.fenced
            or asking.holder is not None
            or asking.record.id in self.closing
            or not asking.clean
            or self.open
            or now < self.begun + _SETTLED
        ):
            return []
        if any(
            m.card.incarnation not in asking.heard
            for m in self.members.alive()
            if m.card.incarnation != self.me
        ):
            return []
        lost = asking.lost or self._has_lost(now)
        if (lost and not asking.safe) or not asking.may_take:
            # nobody has it: it has ended and is forgotten, or nobody knows all that an ended incarnation had
            self.counts["not found"] += 1
            return self._end_asking(now, asking, self._refusal() if asking.safe else _FAILED)
        self.counts["repeats taken"] += 1
        return self._take_asked(now, asking)

    def _has_lost(self, now: int) -> bool:
        self._lost = {incarnation: until for incarnation, until in self._lost.items() if until > now}
        return bool(self._lost)

    def _asked(self, now: int, sender: Incarnation, ask: Ask) -> list[Action]:
        word, answer = Word.NONE, None
        ended = self.answers.find(ask.id, now)
        held, asking = self.held.get(ask.id), self.asking.get(ask.id)
        known = held or asking
        actions: list[Action] = []
        if ended is not None:
            word, answer = (Word.ENDED, ended.answer) if ended.digest == ask.digest else (Word.OTHER, None)
        elif known is not None and known.record.digest != ask.digest:
            word = Word.OTHER
        elif held is not None or (asking is not None and asking.holder is None and self.me < sender):
            # of two that ask for the same id, the one whose name is first goes on
            word = Word.HAVE
            assert known is not None
            if len(known.remote) < _REMOTE:
                known.remote[sender] = None
        else:
            self.promises.give(ask.id, now)
            if asking is not None:
                asking.new_round(now)  # danger: what it was told before it gave way does not count any more
                asking.next_at = now
        said = Said(
            ask.id,
            ask.round,
            word,
            ENCODED_VERDICTS[answer.verdict] if answer is not None else "",
            answer.result if answer is not None else b"",
            answer.retry_after if answer is not None else 0,
            (*self.open, *((self.me,) if ask.id in self.closing else ())),
            tuple(self._lost) if self._has_lost(now) else (),
        )
        return [*actions, Send(sender, said)]

    def _said(self, now: int, sender: Incarnation, said: Said) -> list[Action]:
        asking = self.asking.get(said.id)
        if asking is None:
            return []
        if said.word is Word.ENDED:
            return self._told(now, said.id, said.verdict, said.result, said.retry_after)
        if said.word is Word.OTHER:
            self._drop_asking(asking)
            return [Reply(waiter, None) for waiter in asking.waiters]
        if said.word is Word.HAVE:
            if asking.holder != sender:
                asking.holder, asking.next_at = sender, now + POLL
            return []
        if asking.holder == sender:
            # it had it and has forgotten: all are asked again
            asking.lost_holder(now)
            return []
        if said.round != asking.round:
            return []
        asking.heard.add(sender)
        asking.clean = asking.clean and not said.open
        asking.lost = asking.lost or bool(said.lost)
        return self._decide(now, asking)

    def _drop_asking(self, asking: Asking) -> None:
        self.asking.pop(asking.record.id, None)

    def _told(self, now: int, job_id: str, verdict: str, result: bytes, retry_after: int) -> list[Action]:
        asking = self.asking.get(job_id)
        if asking is None or verdict not in _VERDICTS:
            return []
        answer = Answer(_VERDICTS[verdict], result, retry_after)
        short = answer.verdict is Verdict.REFUSED and asking.safe
        self.answers.keep(job_id, asking.record.digest, answer, now, short=short)
        return self._end_asking(now, asking, answer)

    def _to_all(self, message: Message) -> list[Action]:
        return [
            Send(m.card.incarnation, message) for m in self.members.alive() if m.card.incarnation != self.me
        ]

    # Taking over

    def _member(self, now: int, news: MemberChanged) -> None:
        card, incarnation = news.member.card, news.member.card.incarnation
        if incarnation == self.me:
            return
        if news.member.health not in (Health.DEAD, Health.LEFT):
            opened = self.open.get(incarnation)
            if opened is not None and not opened.claiming and opened.heir_of is None:
                del self.open[incarnation]
            return
        for asking in self.asking.values():
            asking.remote.pop(incarnation, None)
            if asking.holder == incarnation:
                asking.lost_holder(now)
        for held in self.held.values():
            held.remote.pop(incarnation, None)
        if incarnation in self.open or incarnation in self.taken_over or self.leaving or self.fenced:
            return
        ledger = job_ledger(incarnation)
        at = next((at for at in card.ledgers if at.ledger == ledger), None)
        if at is not None:
            self._open(now, incarnation, at, None)

    def _open(self, now: int, incarnation: Incarnation, at: LedgerAt, heir_of: Incarnation | None) -> None:
        names = [m.card.incarnation.name for m in self.members.alive()]
        before = 0 if heir_of is not None else turn(at.ledger, self.me.name, names)
        self.open[incarnation] = _Open(incarnation, at, now, now + before * STAND, heir_of=heir_of)

    def _claim(self, now: int, opened: _Open) -> list[Action]:
        """This member's turn has come: the claim is written down, then the ledger sealed."""
        opened.due = now + _RETRY
        if opened.by is not None and opened.by not in self.open:
            opened.by = None  # whoever had it has been taken over: with it, this
            if opened.heir_of is None:
                del self.open[opened.incarnation]
                return []
        if opened.claiming or opened.adopting or opened.by is not None or self.leaving:
            return []
        opened.claiming = True
        opened.tries += 1
        self.counts["claims"] += 1
        self._passed("before-claim")
        return self.ledgers.claim(now, opened.at)

    def _find_open(self, ledger: str) -> _Open | None:
        return next((o for o in self.open.values() if o.at.ledger == ledger), None)

    def _claim_lost(self, now: int, news: ClaimLost) -> list[Action]:
        opened = self._find_open(news.ledger)
        if opened is None:
            return []
        if news.by is None:
            replicas = opened.at.replicas
            there = sum(self.members.health(k) in (Health.ALIVE, Health.SUSPECT) for k in replicas)
            if 2 * there > len(replicas) and opened.tries < _TRIES:
                opened.claiming, opened.due = False, now + _RETRY
                return []
            self.counts["ledgers lost"] += 1
            if opened.incarnation in self.taken_over:
                # danger: nothing but its word keeps whoever read a part first from doing the same jobs
                del self.open[opened.incarnation]
                return []
            return self._claimed(now, news.ledger, news.partial, whole=False)
        if news.by == self.me or news.by == opened.heir_of:
            return self._claimed(now, news.ledger, news.partial, whole=True)
        opened.claiming = False
        if self.members.health(news.by) in (Health.ALIVE, Health.SUSPECT):
            # it tells itself that the ledger is open until all of it is its own
            del self.open[opened.incarnation]
            self._remember(now, opened.incarnation, True)
        else:
            opened.by = news.by
        return []

    def _claimed(self, now: int, ledger: str, content: dict[str, bytes], *, whole: bool) -> list[Action]:
        """All goes into the own ledger, in one append, before anything of it is done."""
        opened = self._find_open(ledger)
        if opened is None or opened.adopting:
            return []
        self._passed("after-seal")
        opened.adopting = True
        check("one holder", not whole or not self.taken_over.get(opened.incarnation), ledger=ledger)
        records = jobs(content)
        kept_answers = answers(content)
        further = [at for at in claims(content) if at.ledger != self.ledger]
        self.counts["unreadable"] += len(content) - len(records) - len(kept_answers) - len(further)
        for record in records:
            if record.id not in self.held:
                self._write(put(record))
        for answer in kept_answers:
            self._write(put_answer(answer))
        for at in further:
            self._write(Change(CLAIM + at.ledger, content[CLAIM + at.ledger]))

        def act(at: int) -> list[Action]:
            return self._act(at, opened, records, kept_answers, further, whole=whole)

        # last: whoever reads a part of this append finds the claim still
        if whole:
            self._write(drop_claim(ledger), _Wait(NEVER, act, lambda at: []))
            return self.flush(now)
        # nothing proves that nobody else has these, so that to wait for a majority would prove nothing either
        self._write(drop_claim(ledger))
        return self.flush(now) + act(now)

    def _act(
        self,
        now: int,
        opened: _Open,
        records: list[JobRecord],
        kept_answers: list[AnswerRecord],
        further: list[LedgerAt],
        *,
        whole: bool,
    ) -> list[Action]:
        self._passed("after-adoption")
        incarnation = opened.incarnation
        actions: list[Action] = []
        for answer in kept_answers:
            verdict = _VERDICTS.get(answer.verdict, Verdict.FAILED)
            found = Answer(verdict, answer.result)
            self.answers.keep(answer.id, answer.digest, found, now, short=False)
            self._linger.append((now + LINGER, answer.id))
        for record in records:
            actions += self._adopt(now, record, whole=whole)
        del self.open[incarnation]
        for at in further:
            other = _incarnation_of(at.ledger)
            if other is None or other == self.me:
                continue
            # danger: it counts as taken over since the one that is taken over here won it, but that one has
            # not made it its own: the key would be gone
            self.taken_over.pop(other, None)
            known = self.open.get(other)
            if known is None:
                self._open(now, other, at, incarnation)
            elif not known.adopting:
                known.heir_of, known.by, known.due = incarnation, None, now
        self._note_taken_over(now, incarnation, whole)
        self._tell += [(now + later, incarnation, whole) for later in _TELL_AGAIN]
        self.counts["ledgers taken over"] += 1
        self.counts["jobs taken over"] += len(records)
        # what waits here for an answer may be among these
        for asking in list(self.asking.values()):
            actions += self._ask(now, asking)
        return [
            *self._to_all(TakenOver(incarnation, whole)),
            Adopted(incarnation, len(records), whole, now - opened.since),
            *actions,
        ]

    def _adopt(self, now: int, record: JobRecord, *, whole: bool) -> list[Action]:
        if record.id in self.held:
            self.counts["already here"] += 1
            return []
        safe = self.rules.safe.get(record.job_class, False)
        out = record.may_have_run or record.stage is Stage.INTENT
        held = Held(record, safe, [], adopted=True, unproven=out)
        what = recovery_rules.what(
            record, safe=safe, whole=whole, most_attempts=self.rules.most_attempts, now=now
        )
        if record.job_class not in self.rules.safe:
            what = What.FAILED
        self.counts[f"taken over: {what.value}"] += 1
        self.held[record.id] = held
        if what is What.AGAIN:
            return self._take(now, held)
        if what is What.CALL_OFF:
            return [CallOff(record)]
        if what is What.KEEP:
            return [Keep(record, safe)]
        if what is What.REFUSED:
            return self._finish(now, held, self._refusal())
        return self._finish(now, held, _FAILED)

    def _note_taken_over(self, now: int, incarnation: Incarnation, whole: bool) -> None:
        self._remember(now, incarnation, whole)
        opened = self.open.get(incarnation)
        # danger: what another could still read in part is no end of a claim that may bring all of it
        if opened is not None and not opened.adopting and (whole or not opened.claiming):
            del self.open[incarnation]
        for other in list(self.open.values()):
            if other.by == incarnation and other.heir_of is None and not other.adopting:
                del self.open[other.incarnation]

    def _remember(self, now: int, incarnation: Incarnation, whole: bool) -> None:
        self.taken_over[incarnation] = whole
        if not whole:
            self._lost[incarnation] = now + self.rules.keep_for
        while len(self.taken_over) > _REMEMBERED:
            self.taken_over.popitem(last=False)


def _incarnation_of(ledger: str) -> Incarnation | None:
    """Whose jobs are in a ledger of that name; None for another kind of ledger."""
    name, _, start = ledger.removeprefix("jobs/").rpartition("/")
    if not ledger.startswith("jobs/") or not name or not start.isdigit():
        return None
    return Incarnation(name, int(start))
