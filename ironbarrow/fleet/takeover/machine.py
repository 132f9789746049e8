"""Jobs written down before they are done, and what others have left taken over. No input or output.

The process tells it what comes (``arrive``, ``intent``, ``attempt_over``, ``ended``, ``left``, ``stray``) and
carries out what it answers (``orders``). Changes of one turn are pending; ``flush`` appends them together.
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
    ClaimFailed,
    Committed,
    Fenced,
    FleetEvent,
    Health,
    Incarnation,
    LedgerLocation,
    Ledgers,
    MemberChanged,
    Members,
    Message,
    Moved,
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
    AttemptDecision,
    AwaitCallBack,
    CancelAtWorker,
    DeliverCallBack,
    LedgerAdopted,
    ReleaseJob,
    ReplyToClient,
    StartJob,
    Superseded,
    WithdrawJob,
)
from ironbarrow.fleet.takeover.deduplication import (
    HOLDER_POLL_INTERVAL,
    AnswerCache,
    DisclaimedIds,
    JobLookup,
)
from ironbarrow.fleet.takeover.messages import (
    KINDS,
    ForwardedCallBack,
    JobAnswer,
    JobQuery,
    JobQueryReply,
    JobStatus,
    TakeoverNotice,
)
from ironbarrow.fleet.takeover.recovery import CLAIM_STAGGER, RecoveryAction, claim_position
from ironbarrow.runtime.clock import MS, SECOND

LEDGER_ANSWER_RETENTION = (
    10 * SECOND
)  # the answer of a job that must not run twice stays in the ledger so long after its end
_MAX_LEDGER_ANSWERS = 1024  # such answers at the most
_MAX_LEDGER_RESULT_BYTES = (
    4096  # bytes; a longer result is not written down, and a repeat elsewhere hears "failed"
)
_SAFE_LOOKUP_LIMIT = 5 * SECOND  # at most, and half of its time: then a safe job that is asked for is refused
_SETTLING_TIME = 1 * SECOND  # so long after its start a member does not yet know all others
_MAX_REMOTE_WAITERS = 64  # others that are told a job's answer unasked
_NOTICE_DELAYS = (200 * MS, 1 * SECOND, 3 * SECOND)  # after a ledger is taken over, since messages are lost
_CLAIM_RETRY_INTERVAL = 1 * SECOND  # a claim that has no end yet is looked at again
_MAX_CLAIM_TRIES = 3  # of a claim, while a majority of the replicas seems to be there
# without a majority of replicas, until this incarnation is given up for one that has them
_MAJORITY_GONE_LIMIT = 2 * SECOND
_MAJORITY_GONE_LIMIT_WITH_JOBS = 15 * SECOND  # while a job that may not run twice is out
_MAX_REMEMBERED = 1024  # incarnations taken over

# as ledgers and messages have them: members of other versions read and write the same words
ENCODED_VERDICTS = {Verdict.SERVED: "served", Verdict.REFUSED: "rejected", Verdict.FAILED: "failed"}
_VERDICTS = {encoded: verdict for verdict, encoded in ENCODED_VERDICTS.items()}
_FAILED_ANSWER = Answer(Verdict.FAILED)


@dataclass(frozen=True, slots=True)
class Rules:
    """What the machine goes by. Times in ns."""

    safe: dict[str, bool]  # by class
    turn_away: frozenset[str]  # classes that are not served without a majority
    most_attempts: int
    majority_timeout: int
    answer_retention: int
    max_answers: int
    retry_after: int = 0
    query_all: bool = False  # also those that do not say that they come again
    on_fault_point: Callable[[str], None] | None = None  # tests end the process at named points


@dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this member owes its answer."""

    record: JobRecord
    safe: bool
    waiters: list[object]
    remote_waiters: dict[Incarnation, None] = field(default_factory=dict)
    adopted: bool = False
    intent_commit: "_PendingCommit | None" = None  # the present attempt's
    unprotected: bool = False  # it goes out though no majority knows
    attempt_may_have_run: bool = False  # an attempt may have run
    refusal_pending: bool = False  # its refusal is being written
    ended: bool = False


@dataclass(slots=True, eq=False)
class _PendingCommit:
    """What commits for a majority. ``attempt``: the attempt that an intent is about."""

    deadline: int
    on_commit: Callable[[int], list[Action]]
    on_failure: Callable[[int], list[Action]]
    attempt: object = None
    resolved: bool = False
    extended: bool = False  # its time was given once more
    seq: int = NEVER  # the append's that has to be kept


@dataclass(slots=True, eq=False)
class _OpenLedger:
    """A ledger that somebody has to take over."""

    incarnation: Incarnation
    location: LedgerLocation
    since: int
    due: int
    claimed_by: Incarnation | None = None  # who has claimed it; it has ended too
    claiming: bool = False
    inherited_from: Incarnation | None = (
        None  # the claim was found in that one's ledger, which is this member's now
    )
    adopting: bool = False
    tries: int = 0


class Takeover:
    """One incarnation's machine; ``succeed`` moves on what outlives an incarnation."""

    handles: tuple[type[Message], ...] = KINDS

    def __init__(self, now: int, me: Incarnation, members: Members, ledgers: Ledgers, rules: Rules) -> None:
        self.me, self.members, self.ledgers, self.rules = me, members, ledgers, rules
        self.ledger = job_ledger(me)
        self.started_at = now
        self.fenced = False
        self.no_majority = False  # no majority answers
        self.committed_seq = 0  # the number up to which a majority has this ledger
        self.leaving = False
        self.owned: dict[str, OwnedJob] = {}
        self.lookups: dict[str, JobLookup] = {}
        self.answers = AnswerCache(rules.answer_retention, rules.max_answers)
        self.disclaimed = DisclaimedIds(rules.answer_retention)
        self.open_ledgers: dict[Incarnation, _OpenLedger] = {}
        self.unfinished_ledgers: list[_OpenLedger] = []  # by an incarnation that is over
        self.taken_over: OrderedDict[Incarnation, bool] = OrderedDict()  # whether whole
        self.counts: Counter[str] = Counter()
        self._changes: dict[str, Change] = {}
        self._pending: list[_PendingCommit] = []
        self._commits: deque[tuple[int, list[_PendingCommit]]] = deque()
        self._attempt_commits: dict[object, _PendingCommit] = {}
        self.cancelling: set[str] = set()  # ids whose clients have left, being called off
        self._next_majority_check = now
        self._majority_gone_since = NEVER
        self._answer_expiries: deque[tuple[int, str]] = deque()
        self._notices: list[tuple[int, Incarnation, bool]] = []
        self._lost_until: dict[Incarnation, int] = {}  # until when a repeat may be about a job of it

    # What the process tells

    def open_ledger(self, now: int) -> list[Action]:
        """Opens this incarnation's ledger."""
        return self.ledgers.create(now, self.ledger)

    def inherit(self, now: int, earlier: "Takeover") -> list[Action]:
        """Takes on the clients, answers and promises of an earlier incarnation, which others have taken
        over. Their jobs are asked for first, and those that may have gone out from here are not taken
        anew."""
        self.answers, self.disclaimed, self.counts = earlier.answers, earlier.disclaimed, earlier.counts
        self._lost_until, self.taken_over = earlier._lost_until, earlier.taken_over
        actions: list[Action] = []
        for lookup in earlier.lookups.values():
            lookup.holder = None
            lookup.remote_waiters.clear()
            lookup.started_at = now
            self.lookups[lookup.record.id] = lookup
            actions += self._query(now, lookup)
        earlier.lookups = {}
        for open_ledger in earlier.unfinished_ledgers:
            if (
                open_ledger.incarnation not in self.open_ledgers
                and open_ledger.incarnation not in self.taken_over
            ):
                self._add_open_ledger(now, open_ledger.incarnation, open_ledger.location, None)
        return actions

    def on_request(self, now: int, record: JobRecord, retried: bool, waiter: object) -> list[Action]:
        """A client's request. ``retried``: it says that it comes again."""
        if (known := self._join(now, record, waiter)) is not None:
            return known
        safe = self.rules.safe.get(record.job_class, False)
        if self.fenced:
            # the next incarnation asks for it, as for all that came when this one was over
            self.lookups[record.id] = JobLookup(record, safe, [waiter], now, next_at=NEVER)
            return []
        seen = record.id in self.cancelling or self.disclaimed.contains(record.id, now)
        if retried or seen or (not safe and self._queries_first_tries(now)):
            lookup = JobLookup(record, safe, [waiter], now)
            self.lookups[record.id] = lookup
            return self._query(now, lookup)
        if self.no_majority and record.job_class in self.rules.turn_away:
            # nothing of it was written, nobody can do it: a repeat is harmless
            self.counts["turned away"] += 1
            return [ReplyToClient(waiter, Answer(Verdict.REFUSED, retry_after=self.rules.retry_after))]
        return self._take(now, OwnedJob(record, safe, [waiter]))

    def begin_attempt(self, now: int, attempt: object, job_id: str, worker: str) -> list[Action]:
        """An attempt is about to go out; ``AttemptDecision`` follows, at once or once a majority knows."""
        job = self.owned.get(job_id)
        if job is None or self.fenced or self.leaving:
            return [AttemptDecision(attempt, False)]
        old = job.record
        job.record = msgspec.structs.replace(
            old,
            stage=Stage.INTENT,
            attempts=old.attempts + 1,
            worker=worker,
            may_have_run=old.may_have_run or job.attempt_may_have_run,
            tried=(*old.tried, worker),
        )
        if job.record.attempts > self.rules.most_attempts:
            job.record = old
            return [AttemptDecision(attempt, False)]
        commit = _PendingCommit(
            now + self.rules.majority_timeout,
            lambda then: self._release_attempt(then, job, attempt, committed=True),
            lambda then: self._intent_failed(then, job, attempt),
            attempt,
        )
        job.intent_commit, job.unprotected = commit, False
        self._stage(put(job.record), commit)
        if self.no_majority:
            return self._fail(now, commit)
        self._attempt_commits[attempt] = commit
        return []

    def cancel_attempt(self, attempt: object) -> bool:
        """An attempt is called off; whether it had no leave to go yet, and now never gets it."""
        commit = self._attempt_commits.pop(attempt, None)
        if commit is None:
            return False
        commit.resolved = True
        return True

    def attempt_ended(self, job_id: str, *, never_ran: bool) -> None:
        """An attempt has ended, its job may have not."""
        self.cancelling.discard(job_id)
        job = self.owned.get(job_id)
        if job is None or job.record.stage is not Stage.INTENT or job.refusal_pending:
            return
        if never_ran:
            job.attempt_may_have_run = job.record.may_have_run
        if never_ran or job.safe:
            job.record = msgspec.structs.replace(
                job.record, stage=Stage.TAKEN, worker="", may_have_run=job.attempt_may_have_run
            )
            self._stage(put(job.record))

    def job_ended(self, now: int, job_id: str, answer: Answer) -> list[Action]:
        """The host, or the keeper of jobs handed over, has a job's final answer."""
        job = self.owned.get(job_id)
        if job is None or job.refusal_pending:
            return []
        if answer.verdict is not Verdict.REFUSED or job.safe:
            return self._finish(now, job, answer)
        if self.fenced or self.no_majority:
            return self._finish(now, job, _FAILED_ANSWER)
        self._fault_point("before-refusal")
        job.refusal_pending = True
        job.record = msgspec.structs.replace(job.record, stage=Stage.REFUSED)
        commit = _PendingCommit(
            now + self.rules.majority_timeout,
            lambda then: self._refusal_committed(then, job, answer),
            lambda then: self._finish(then, job, _FAILED_ANSWER),
        )
        self._stage(put(job.record), commit)
        return []

    def client_disconnected(self, now: int, job_id: str, waiter: object) -> list[Action]:
        """A client has gone before its answer."""
        lookup = self.lookups.get(job_id)
        if lookup is not None and waiter in lookup.waiters:
            lookup.waiters.remove(waiter)
            if not lookup.waiters and not lookup.remote_waiters:
                del self.lookups[job_id]
            return []
        job = self.owned.get(job_id)
        if job is None or waiter not in job.waiters:
            return []
        job.waiters.remove(waiter)
        if job.waiters or job.remote_waiters or job.adopted or job.refusal_pending:
            return []
        if not job.safe and job.record.stage is not Stage.TAKEN:
            return []  # it may have run: it goes on, for the client that comes again
        del self.owned[job_id]
        if job.record.stage is Stage.INTENT:
            self.cancelling.add(job_id)
        self._stage(drop(job_id))
        return [WithdrawJob(job_id)]

    def forward_call_back(self, job_id: str, worker: str, state: str, result: bytes) -> list[Action]:
        """A worker's word on a job that is not here: all others hear it."""
        self.counts["call-backs passed on"] += 1
        return self._broadcast(ForwardedCallBack(job_id, worker, state, result))

    def cancelled_at_worker(self, now: int, job_id: str) -> list[Action]:
        """A job that was taken over is called off at the worker that had it."""
        job = self.owned.get(job_id)
        if job is None or job.refusal_pending:
            return []
        return self._retake(now, job)

    def retry_job(self, now: int, job_id: str, *, may_have_run: bool) -> list[Action]:
        """A kept job's attempt has ended and it may be taken anew."""
        job = self.owned.get(job_id)
        if job is None:
            return []
        job.attempt_may_have_run = may_have_run
        return self._retake(now, job)

    def leave(self, now: int) -> list[Action]:
        """From now on nothing is sent; what is owed stays in the ledger, for the others."""
        self.leaving = True
        actions: list[Action] = []
        for commit in list(self._attempt_commits.values()):
            if not commit.resolved:
                commit.resolved = True
                actions.append(AttemptDecision(commit.attempt, False))
        self._attempt_commits.clear()
        return actions + self.flush(now)

    @property
    def has_unflushed(self) -> bool:
        return bool(self._changes)

    @property
    def all_committed(self) -> bool:
        """Whether all that was appended is at a majority."""
        return not self._changes and not self._commits

    def flush(self, now: int) -> list[Action]:
        """Appends all that was pending."""
        if not self._changes:
            return []
        changes, self._changes = list(self._changes.values()), {}
        pending, self._pending = self._pending, []
        if self.fenced:
            return self._fail_all(now, pending)
        seq, actions = self.ledgers.append(now, self.ledger, changes)
        # 0: not its writer any more, as will be told; until then it is as if nobody answered
        for commit in pending:
            commit.seq = seq or NEVER
        self._commits.append((seq or NEVER, pending))
        return actions

    # Machine

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        late = [c for _, commits in self._commits for c in commits if c.deadline <= now and not c.resolved]
        if late and now - late[0].deadline > self.rules.majority_timeout:
            # this process was stopped: nobody had the time to answer
            for commit in [c for c in late if not c.extended]:
                commit.deadline, commit.extended = now + self.rules.majority_timeout, True
            late = [c for c in late if c.deadline <= now]
        if late:
            self.no_majority = True
            self.counts["waits without a majority"] += len(late)
            actions += self._fail_all(now, late)
        while self._answer_expiries and (
            self._answer_expiries[0][0] <= now or len(self._answer_expiries) > _MAX_LEDGER_ANSWERS
        ):
            self._stage(drop_answer(self._answer_expiries.popleft()[1]))
        if self.no_majority and not self.fenced:
            actions += self._abandon_ledger_if_lost(now)
        waiting = [] if self.fenced else list(self.lookups.values())
        for lookup in [a for a in waiting if min(a.next_at, self._lookup_deadline(a)) <= now]:
            if self.lookups.get(lookup.record.id) is lookup:
                actions += self._query(now, lookup)
        for due, incarnation, whole in [notice for notice in self._notices if notice[0] <= now]:
            self._notices.remove((due, incarnation, whole))
            actions += self._broadcast(TakeoverNotice(incarnation, whole))
        for open_ledger in [o for o in self.open_ledgers.values() if o.due <= now]:
            actions += self._claim(now, open_ledger)
        return actions + self.flush(now)

    def next_at(self) -> int:
        times = [c.deadline for _, commits in self._commits for c in commits if not c.resolved]
        times += [min(a.next_at, self._lookup_deadline(a)) for a in self.lookups.values() if not self.fenced]
        times += [o.due for o in self.open_ledgers.values()]
        times += [due for due, _, _ in self._notices]
        if self._answer_expiries:
            times.append(self._answer_expiries[0][0])
        if self.no_majority and not self.fenced:
            times.append(self._next_majority_check)
        return min(times, default=NEVER)

    def received(self, now: int, sender: Incarnation, message: Message) -> list[Action]:
        actions: list[Action] = []
        if isinstance(message, JobQuery):
            actions = self._on_query(now, sender, message)
        elif isinstance(message, JobQueryReply):
            actions = self._on_query_reply(now, sender, message)
        elif isinstance(message, JobAnswer):
            actions = self._on_answer(now, message.id, message.verdict, message.result, message.retry_after)
        elif isinstance(message, ForwardedCallBack):
            actions = [DeliverCallBack(message.id, message.worker, message.state, message.result)]
        elif isinstance(message, TakeoverNotice) and message.incarnation != self.me:
            self._note_taken_over(now, message.incarnation, message.whole)
        return actions + self.flush(now)

    def on_event(self, now: int, event: FleetEvent) -> list[Action]:
        """News of the other machines."""
        actions: list[Action] = []
        if isinstance(event, Committed):
            if event.ledger == self.ledger:
                actions = self._on_committed(now, event.seq)
        elif isinstance(event, MemberChanged):
            self._on_member_changed(now, event)
        elif isinstance(event, Claimed):
            actions = self._on_claimed(now, event.ledger, event.content, whole=True)
        elif isinstance(event, ClaimFailed):
            actions = self._on_claim_failed(now, event)
        elif isinstance(event, NoMajority):
            if event.ledger == self.ledger:
                self.no_majority = not event.restored
                if self.no_majority:
                    commits = [
                        c
                        for _, group in self._commits
                        for c in group
                        if c.deadline < NEVER and not c.resolved
                    ]
                    actions = self._fail_all(now, commits)
        elif isinstance(event, Moved):
            if event.at.ledger == self.ledger:
                self.no_majority = False
        elif isinstance(event, Fenced) and event.ledger == self.ledger and not self.fenced:
            actions = self._fence(now)
        return actions + self.flush(now)

    # Own jobs

    def _fault_point(self, point: str) -> None:
        if self.rules.on_fault_point is not None:
            self.rules.on_fault_point(point)

    def _stage(self, change: Change, commit: _PendingCommit | None = None) -> None:
        # danger: a later change of the same key takes the place of the earlier one, at the end of the line
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if commit is not None:
            self._pending.append(commit)

    def _take(self, now: int, job: OwnedJob) -> list[Action]:
        job.record = msgspec.structs.replace(job.record, stage=Stage.TAKEN, worker="")
        self.owned[job.record.id] = job
        self._stage(put(job.record))
        self._fault_point("after-taken")
        return [StartJob(job.record)]

    def _retake(self, now: int, job: OwnedJob) -> list[Action]:
        """Takes a job anew that another had, or answers it where it has no time or attempts left."""
        job.record = msgspec.structs.replace(
            job.record,
            stage=Stage.TAKEN,
            worker="",
            may_have_run=job.record.may_have_run or job.attempt_may_have_run,
        )
        action = recovery_rules.choose_action(
            job.record, safe=job.safe, whole=True, most_attempts=self.rules.most_attempts, now=now
        )
        if action is RecoveryAction.RETRY:
            return self._take(now, job)
        answer = _FAILED_ANSWER if action is RecoveryAction.FAIL else self._refusal()
        return self.job_ended(now, job.record.id, answer)

    def _refusal(self) -> Answer:
        return Answer(Verdict.REFUSED, retry_after=self.rules.retry_after)

    def _release_attempt(self, now: int, job: OwnedJob, attempt: object, *, committed: bool) -> list[Action]:
        self._attempt_commits.pop(attempt, None)
        if job.ended or self.fenced or self.leaving:
            return [AttemptDecision(attempt, False)]
        if committed:
            self._fault_point("after-intent")
        else:
            self.counts["unprotected"] += 1
        job.unprotected = not committed
        check("unsafe never sent twice", job.safe or not job.attempt_may_have_run, id=job.record.id)
        check("at most three attempts", job.record.attempts <= self.rules.most_attempts, id=job.record.id)
        job.attempt_may_have_run = True
        return [AttemptDecision(attempt, True)]

    def may_send(self, job_id: str) -> bool:
        """Whether an attempt's intent is at a majority, or its class is served without one: looked at by who
        writes the first byte."""
        job = self.owned.get(job_id)
        if job is None or job.intent_commit is None:
            return False
        away = job.record.job_class in self.rules.turn_away
        return job.intent_commit.seq <= self.committed_seq or (job.unprotected and not away)

    def _intent_failed(self, now: int, job: OwnedJob, attempt: object) -> list[Action]:
        """No majority has answered in time."""
        if job.ended:
            return [AttemptDecision(attempt, False)]
        if not self.fenced and job.record.job_class not in self.rules.turn_away:
            return self._release_attempt(now, job, attempt, committed=False)
        self._attempt_commits.pop(attempt, None)
        if self.fenced:
            return [AttemptDecision(attempt, False)]
        self.counts["turned away"] += 1
        answer = self._refusal() if job.safe else _FAILED_ANSWER
        return [AttemptDecision(attempt, False), WithdrawJob(job.record.id), *self._finish(now, job, answer)]

    def _refusal_committed(self, now: int, job: OwnedJob, answer: Answer) -> list[Action]:
        self._fault_point("after-refusal")
        return self._finish(now, job, answer)

    def _finish(self, now: int, job: OwnedJob, answer: Answer) -> list[Action]:
        if job.ended:
            return []
        record = job.record
        check("one answer", self.owned.get(record.id) is job, id=record.id)
        job.ended = True
        self.owned.pop(record.id, None)
        refused = answer.verdict is Verdict.REFUSED
        self.answers.store(record.id, record.digest, answer, now, short=refused and job.safe)
        self._stage(drop(record.id))
        if not job.safe and not refused:
            self._write_answer(now, record.id, record.digest, answer)
        return self._reply_all(record.id, job.waiters, job.remote_waiters, answer)

    def _write_answer(self, now: int, job_id: str, digest: bytes, answer: Answer) -> None:
        """Danger: dropped alone, a booking whose answer was lost on the way would be unknown to whoever takes
        over, and its repeat would run."""
        verdict, result = answer.verdict, answer.result
        if len(result) > _MAX_LEDGER_RESULT_BYTES:
            verdict, result = Verdict.FAILED, b""
        self._stage(
            put_answer(
                AnswerRecord(id=job_id, digest=digest, verdict=ENCODED_VERDICTS[verdict], result=result)
            )
        )
        self._answer_expiries.append((now + LEDGER_ANSWER_RETENTION, job_id))

    def _reply_all(
        self, job_id: str, waiters: Iterable[object], remote: Iterable[Incarnation], answer: Answer
    ) -> list[Action]:
        message = JobAnswer(job_id, ENCODED_VERDICTS[answer.verdict], answer.result, answer.retry_after)
        return [
            *(ReplyToClient(waiter, answer) for waiter in waiters),
            *(Send(incarnation, message) for incarnation in remote),
        ]

    def _on_committed(self, now: int, seq: int) -> list[Action]:
        self.no_majority = False
        self.committed_seq = max(self.committed_seq, seq)
        actions: list[Action] = []
        while self._commits and self._commits[0][0] <= seq:
            for commit in self._commits.popleft()[1]:
                if not commit.resolved:
                    commit.resolved = True
                    actions += commit.on_commit(now)
        return actions

    def _fail(self, now: int, commit: _PendingCommit) -> list[Action]:
        if commit.resolved:
            return []
        commit.resolved = True
        return commit.on_failure(now)

    def _fail_all(self, now: int, commits: Iterable[_PendingCommit]) -> list[Action]:
        return [action for commit in commits for action in self._fail(now, commit)]

    def supersede(self, now: int) -> list[Action]:
        """This incarnation is over by a word from elsewhere: as if its ledger had been sealed."""
        return [action for action in self._fence(now) if not isinstance(action, Superseded)]

    def _abandon_ledger_if_lost(self, now: int) -> list[Action]:
        """Where a majority of its replicas is gone for good no ledger comes back: this incarnation ends, as
        if another had sealed it, and the next one has new replicas. Jobs that may not run twice and are out
        are waited for, up to a bound."""
        if now < self._next_majority_check:
            return []
        self._next_majority_check = now + _CLAIM_RETRY_INTERVAL
        at = next((at for at in self.members.me.ledgers if at.ledger == self.ledger), None)
        if at is None or self.leaving:
            return []
        gone = sum(self.members.health(k) in (Health.DEAD, Health.LEFT) for k in at.replicas)
        if 2 * (len(at.replicas) - gone) > len(at.replicas):
            self._majority_gone_since = NEVER
            return []
        self._majority_gone_since = min(self._majority_gone_since, now)
        # danger: what was saved of others is nowhere else
        out = any(job.adopted or (job.attempt_may_have_run and not job.safe) for job in self.owned.values())
        # danger: of two that keep for each other alone, each that begins anew ends the other one's ledger
        limit = _MAJORITY_GONE_LIMIT << min(self.counts["own ledger given up"], 5)
        if now < self._majority_gone_since + max(limit, _MAJORITY_GONE_LIMIT_WITH_JOBS if out else 0):
            return []
        self.counts["own ledger given up"] += 1
        return self._fence(now)

    def _fence(self, now: int) -> list[Action]:
        """Danger: from here on another may do whatever this incarnation owes."""
        self.fenced = True
        self.counts["fenced"] += 1
        commits = [c for _, group in self._commits for c in group] + self._pending
        self._commits.clear()
        self._pending, self._changes = [], {}
        actions = self._fail_all(now, commits)
        self._changes.clear()
        for job_id, job in list(self.owned.items()):
            job.ended = True
            actions.append(ReleaseJob(job_id))
            if job.waiters:
                # its clients still commit: they get the answer from whoever has it now, or, where it
                # never went out from here and nobody has it, it is taken anew
                self.lookups[job_id] = JobLookup(
                    job.record, job.safe, job.waiters, now, may_take=not job.attempt_may_have_run
                )
        self.owned.clear()
        self.unfinished_ledgers, self.open_ledgers = list(self.open_ledgers.values()), {}
        return [*actions, Superseded()]

    # Repeats

    def _queries_first_tries(self, now: int) -> bool:
        """Danger: a process that was stopped may read requests that came before it was taken over, and
        another has them by now; at first it asks for all that must not run twice."""
        return self.rules.query_all or (
            self.me.start > 0
            and self.counts["fenced"] > 0
            and now < self.started_at + LEDGER_ANSWER_RETENTION
        )

    def _join(self, now: int, record: JobRecord, waiter: object) -> list[Action] | None:
        """Joins a client to what is known of its id here; None if nothing is."""
        ended = self.answers.find(record.id, now)
        if ended is not None:
            self.counts["answered again"] += 1
            return [ReplyToClient(waiter, ended.answer if ended.digest == record.digest else None)]
        known = self.owned.get(record.id) or self.lookups.get(record.id)
        if known is None:
            return None
        if known.record.digest != record.digest:
            return [ReplyToClient(waiter, None)]
        self.counts["joined"] += 1
        known.waiters.append(waiter)
        return []

    def _lookup_deadline(self, lookup: JobLookup) -> int:
        if not lookup.safe or lookup.holder is not None:
            return lookup.record.until
        return min(lookup.started_at + _SAFE_LOOKUP_LIMIT, (lookup.started_at + lookup.record.until) // 2)

    def _query(self, now: int, lookup: JobLookup) -> list[Action]:
        """Begins a round; ends the lookup where time is over, or the job has come here meanwhile."""
        record = lookup.record
        if self.fenced:
            lookup.next_at = NEVER
            return []
        if (job := self.owned.get(record.id)) is not None:
            del self.lookups[record.id]
            job.waiters += lookup.waiters
            job.remote_waiters |= lookup.remote_waiters
            return []
        if (ended := self.answers.find(record.id, now)) is not None:
            del self.lookups[record.id]
            return self._reply_all(record.id, lookup.waiters, lookup.remote_waiters, ended.answer)
        if now >= self._lookup_deadline(lookup):
            # danger: a repeat of a job that somebody may have, or has run
            self.counts["not all have answered"] += 1
            answer = self._refusal() if lookup.safe else _FAILED_ANSWER
            return self._end_lookup(now, lookup, answer)
        lookup.new_round(now)
        if lookup.holder is not None:
            return [Send(lookup.holder, JobQuery(record.id, record.digest, lookup.round))]
        actions = self._broadcast(JobQuery(record.id, record.digest, lookup.round))
        return actions + self._decide(now, lookup)

    def _end_lookup(self, now: int, lookup: JobLookup, answer: Answer) -> list[Action]:
        self.lookups.pop(lookup.record.id, None)
        return self._reply_all(lookup.record.id, lookup.waiters, lookup.remote_waiters, answer)

    def _take_looked_up(self, now: int, lookup: JobLookup) -> list[Action]:
        del self.lookups[lookup.record.id]
        job = OwnedJob(lookup.record, lookup.safe, lookup.waiters, lookup.remote_waiters)
        if self.no_majority and lookup.record.job_class in self.rules.turn_away:
            return self._reply_all(lookup.record.id, lookup.waiters, lookup.remote_waiters, _FAILED_ANSWER)
        return self._take(now, job)

    def _decide(self, now: int, lookup: JobLookup) -> list[Action]:
        """Takes the job once all that live have reply, in one round, that they have it not."""
        if (
            self.fenced
            or lookup.holder is not None
            or lookup.record.id in self.cancelling
            or not lookup.no_open_ledger
            or self.open_ledgers
            or now < self.started_at + _SETTLING_TIME
        ):
            return []
        if any(
            m.card.incarnation not in lookup.answered
            for m in self.members.alive()
            if m.card.incarnation != self.me
        ):
            return []
        lost = lookup.may_be_lost or self._has_lost_ledgers(now)
        if (lost and not lookup.safe) or not lookup.may_take:
            # nobody has it: it has ended and is forgotten, or nobody knows all that an ended incarnation had
            self.counts["not found"] += 1
            return self._end_lookup(now, lookup, self._refusal() if lookup.safe else _FAILED_ANSWER)
        self.counts["repeats taken"] += 1
        return self._take_looked_up(now, lookup)

    def _has_lost_ledgers(self, now: int) -> bool:
        self._lost_until = {
            incarnation: until for incarnation, until in self._lost_until.items() if until > now
        }
        return bool(self._lost_until)

    def _on_query(self, now: int, sender: Incarnation, query: JobQuery) -> list[Action]:
        status, answer = JobStatus.UNKNOWN, None
        ended = self.answers.find(query.id, now)
        job, lookup = self.owned.get(query.id), self.lookups.get(query.id)
        known = job or lookup
        actions: list[Action] = []
        if ended is not None:
            status, answer = (
                (JobStatus.ENDED, ended.answer)
                if ended.digest == query.digest
                else (JobStatus.CONFLICT, None)
            )
        elif known is not None and known.record.digest != query.digest:
            status = JobStatus.CONFLICT
        elif job is not None or (lookup is not None and lookup.holder is None and self.me < sender):
            # of two that ask for the same id, the one whose name is first goes on
            status = JobStatus.OWNED
            assert known is not None
            if len(known.remote_waiters) < _MAX_REMOTE_WAITERS:
                known.remote_waiters[sender] = None
        else:
            self.disclaimed.add(query.id, now)
            if lookup is not None:
                lookup.new_round(now)  # danger: what it was told before it gave way does not count any more
                lookup.next_at = now
        reply = JobQueryReply(
            query.id,
            query.round,
            status,
            ENCODED_VERDICTS[answer.verdict] if answer is not None else "",
            answer.result if answer is not None else b"",
            answer.retry_after if answer is not None else 0,
            (*self.open_ledgers, *((self.me,) if query.id in self.cancelling else ())),
            tuple(self._lost_until) if self._has_lost_ledgers(now) else (),
        )
        return [*actions, Send(sender, reply)]

    def _on_query_reply(self, now: int, sender: Incarnation, reply: JobQueryReply) -> list[Action]:
        lookup = self.lookups.get(reply.id)
        if lookup is None:
            return []
        if reply.status is JobStatus.ENDED:
            return self._on_answer(now, reply.id, reply.verdict, reply.result, reply.retry_after)
        if reply.status is JobStatus.CONFLICT:
            self._drop_lookup(lookup)
            return [ReplyToClient(waiter, None) for waiter in lookup.waiters]
        if reply.status is JobStatus.OWNED:
            if lookup.holder != sender:
                lookup.holder, lookup.next_at = sender, now + HOLDER_POLL_INTERVAL
            return []
        if lookup.holder == sender:
            # it had it and has forgotten: all are asked again
            lookup.holder_lost(now)
            return []
        if reply.round != lookup.round:
            return []
        lookup.answered.add(sender)
        lookup.no_open_ledger = lookup.no_open_ledger and not reply.open_incarnations
        lookup.may_be_lost = lookup.may_be_lost or bool(reply.lost_incarnations)
        return self._decide(now, lookup)

    def _drop_lookup(self, lookup: JobLookup) -> None:
        self.lookups.pop(lookup.record.id, None)

    def _on_answer(
        self, now: int, job_id: str, verdict: str, result: bytes, retry_after: int
    ) -> list[Action]:
        lookup = self.lookups.get(job_id)
        if lookup is None or verdict not in _VERDICTS:
            return []
        answer = Answer(_VERDICTS[verdict], result, retry_after)
        short = answer.verdict is Verdict.REFUSED and lookup.safe
        self.answers.store(job_id, lookup.record.digest, answer, now, short=short)
        return self._end_lookup(now, lookup, answer)

    def _broadcast(self, message: Message) -> list[Action]:
        return [
            Send(m.card.incarnation, message) for m in self.members.alive() if m.card.incarnation != self.me
        ]

    # Taking over

    def _on_member_changed(self, now: int, event: MemberChanged) -> None:
        card, incarnation = event.member.card, event.member.card.incarnation
        if incarnation == self.me:
            return
        if event.member.health not in (Health.DEAD, Health.LEFT):
            open_ledger = self.open_ledgers.get(incarnation)
            if open_ledger is not None and not open_ledger.claiming and open_ledger.inherited_from is None:
                del self.open_ledgers[incarnation]
            return
        for lookup in self.lookups.values():
            lookup.remote_waiters.pop(incarnation, None)
            if lookup.holder == incarnation:
                lookup.holder_lost(now)
        for job in self.owned.values():
            job.remote_waiters.pop(incarnation, None)
        if incarnation in self.open_ledgers or incarnation in self.taken_over or self.leaving or self.fenced:
            return
        ledger = job_ledger(incarnation)
        at = next((at for at in card.ledgers if at.ledger == ledger), None)
        if at is not None:
            self._add_open_ledger(now, incarnation, at, None)

    def _add_open_ledger(
        self, now: int, incarnation: Incarnation, at: LedgerLocation, inherited_from: Incarnation | None
    ) -> None:
        names = [m.card.incarnation.name for m in self.members.alive()]
        before = 0 if inherited_from is not None else claim_position(at.ledger, self.me.name, names)
        self.open_ledgers[incarnation] = _OpenLedger(
            incarnation, at, now, now + before * CLAIM_STAGGER, inherited_from=inherited_from
        )

    def _claim(self, now: int, open_ledger: _OpenLedger) -> list[Action]:
        """This member's turn has come: the claim is written down, then the ledger sealed."""
        open_ledger.due = now + _CLAIM_RETRY_INTERVAL
        if open_ledger.claimed_by is not None and open_ledger.claimed_by not in self.open_ledgers:
            open_ledger.claimed_by = None  # whoever had it has been taken over: with it, this
            if open_ledger.inherited_from is None:
                del self.open_ledgers[open_ledger.incarnation]
                return []
        if open_ledger.claiming or open_ledger.adopting or open_ledger.claimed_by is not None or self.leaving:
            return []
        open_ledger.claiming = True
        open_ledger.tries += 1
        self.counts["claims"] += 1
        self._fault_point("before-claim")
        return self.ledgers.claim(now, open_ledger.location)

    def _find_open_ledger(self, ledger: str) -> _OpenLedger | None:
        return next((o for o in self.open_ledgers.values() if o.location.ledger == ledger), None)

    def _on_claim_failed(self, now: int, event: ClaimFailed) -> list[Action]:
        open_ledger = self._find_open_ledger(event.ledger)
        if open_ledger is None:
            return []
        if event.by is None:
            replicas = open_ledger.location.replicas
            there = sum(self.members.health(k) in (Health.ALIVE, Health.SUSPECT) for k in replicas)
            if 2 * there > len(replicas) and open_ledger.tries < _MAX_CLAIM_TRIES:
                open_ledger.claiming, open_ledger.due = False, now + _CLAIM_RETRY_INTERVAL
                return []
            self.counts["ledgers lost"] += 1
            if open_ledger.incarnation in self.taken_over:
                # danger: nothing but its word keeps whoever read a part first from doing the same jobs
                del self.open_ledgers[open_ledger.incarnation]
                return []
            return self._on_claimed(now, event.ledger, event.partial, whole=False)
        if event.by == self.me or event.by == open_ledger.inherited_from:
            return self._on_claimed(now, event.ledger, event.partial, whole=True)
        open_ledger.claiming = False
        if self.members.health(event.by) in (Health.ALIVE, Health.SUSPECT):
            # it tells itself that the ledger is open until all of it is its own
            del self.open_ledgers[open_ledger.incarnation]
            self._remember_taken_over(now, open_ledger.incarnation, True)
        else:
            open_ledger.claimed_by = event.by
        return []

    def _on_claimed(self, now: int, ledger: str, content: dict[str, bytes], *, whole: bool) -> list[Action]:
        """All goes into the own ledger, in one append, before anything of it is done."""
        open_ledger = self._find_open_ledger(ledger)
        if open_ledger is None or open_ledger.adopting:
            return []
        self._fault_point("after-seal")
        open_ledger.adopting = True
        check("one holder", not whole or not self.taken_over.get(open_ledger.incarnation), ledger=ledger)
        records = jobs(content)
        answer_records = answers(content)
        inherited_claims = [at for at in claims(content) if at.ledger != self.ledger]
        self.counts["unreadable"] += len(content) - len(records) - len(answer_records) - len(inherited_claims)
        for record in records:
            if record.id not in self.owned:
                self._stage(put(record))
        for answer in answer_records:
            self._stage(put_answer(answer))
        for at in inherited_claims:
            self._stage(Change(CLAIM + at.ledger, content[CLAIM + at.ledger]))

        def act(then: int) -> list[Action]:
            return self._start_adopted(
                then, open_ledger, records, answer_records, inherited_claims, whole=whole
            )

        # last: whoever reads a part of this append finds the claim still
        if whole:
            self._stage(drop_claim(ledger), _PendingCommit(NEVER, act, lambda then: []))
            return self.flush(now)
        # a partial reading proves no exclusive claim, so a majority of the own replicas would add no proof
        self._stage(drop_claim(ledger))
        return self.flush(now) + act(now)

    def _start_adopted(
        self,
        now: int,
        open_ledger: _OpenLedger,
        records: list[JobRecord],
        answer_records: list[AnswerRecord],
        inherited_claims: list[LedgerLocation],
        *,
        whole: bool,
    ) -> list[Action]:
        self._fault_point("after-adoption")
        incarnation = open_ledger.incarnation
        actions: list[Action] = []
        for answer in answer_records:
            verdict = _VERDICTS.get(answer.verdict, Verdict.FAILED)
            found = Answer(verdict, answer.result)
            self.answers.store(answer.id, answer.digest, found, now, short=False)
            self._answer_expiries.append((now + LEDGER_ANSWER_RETENTION, answer.id))
        for record in records:
            actions += self._adopt_job(now, record, whole=whole)
        del self.open_ledgers[incarnation]
        for at in inherited_claims:
            other = _incarnation_of(at.ledger)
            if other is None or other == self.me:
                continue
            # danger: it counts as taken over since the one that is taken over here won it, but that one has
            # not made it its own: the key would be gone
            self.taken_over.pop(other, None)
            known = self.open_ledgers.get(other)
            if known is None:
                self._add_open_ledger(now, other, at, incarnation)
            elif not known.adopting:
                known.inherited_from, known.claimed_by, known.due = incarnation, None, now
        self._note_taken_over(now, incarnation, whole)
        self._notices += [(now + later, incarnation, whole) for later in _NOTICE_DELAYS]
        self.counts["ledgers taken over"] += 1
        self.counts["jobs taken over"] += len(records)
        # what commits here for an answer may be among these
        for lookup in list(self.lookups.values()):
            actions += self._query(now, lookup)
        return [
            *self._broadcast(TakeoverNotice(incarnation, whole)),
            LedgerAdopted(incarnation, len(records), whole, now - open_ledger.since),
            *actions,
        ]

    def _adopt_job(self, now: int, record: JobRecord, *, whole: bool) -> list[Action]:
        if record.id in self.owned:
            self.counts["already here"] += 1
            return []
        safe = self.rules.safe.get(record.job_class, False)
        out = record.may_have_run or record.stage is Stage.INTENT
        job = OwnedJob(record, safe, [], adopted=True, attempt_may_have_run=out)
        action = recovery_rules.choose_action(
            record, safe=safe, whole=whole, most_attempts=self.rules.most_attempts, now=now
        )
        if record.job_class not in self.rules.safe:
            action = RecoveryAction.FAIL
        self.counts[f"taken over: {action.value}"] += 1
        self.owned[record.id] = job
        if action is RecoveryAction.RETRY:
            return self._take(now, job)
        if action is RecoveryAction.CANCEL:
            return [CancelAtWorker(record)]
        if action is RecoveryAction.AWAIT_CALL_BACK:
            return [AwaitCallBack(record, safe)]
        if action is RecoveryAction.REFUSE:
            return self._finish(now, job, self._refusal())
        return self._finish(now, job, _FAILED_ANSWER)

    def _note_taken_over(self, now: int, incarnation: Incarnation, whole: bool) -> None:
        self._remember_taken_over(now, incarnation, whole)
        open_ledger = self.open_ledgers.get(incarnation)
        # danger: what another could still read in part is no end of a claim that may bring all of it
        if open_ledger is not None and not open_ledger.adopting and (whole or not open_ledger.claiming):
            del self.open_ledgers[incarnation]
        for other in list(self.open_ledgers.values()):
            if other.claimed_by == incarnation and other.inherited_from is None and not other.adopting:
                del self.open_ledgers[other.incarnation]

    def _remember_taken_over(self, now: int, incarnation: Incarnation, whole: bool) -> None:
        self.taken_over[incarnation] = whole
        if not whole:
            self._lost_until[incarnation] = now + self.rules.answer_retention
        while len(self.taken_over) > _MAX_REMEMBERED:
            self.taken_over.popitem(last=False)


def _incarnation_of(ledger: str) -> Incarnation | None:
    """Whose jobs are in a ledger of that name; None for another kind of ledger."""
    name, _, start = ledger.removeprefix("jobs/").rpartition("/")
    if not ledger.startswith("jobs/") or not name or not start.isdigit():
        return None
    return Incarnation(name, int(start))
