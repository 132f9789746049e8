"""The take-over state machine: records jobs in the ledger before they run, recovers those of ended members.

The host adapter reports events (``on_request``, ``begin_attempt``, ``attempt_ended``, ``job_ended``,
``client_disconnected``, ``forward_call_back``) and carries out the returned actions (module ``actions``).
Ledger changes made in one turn of the event loop are collected; ``flush`` appends them together. Does no
input or output.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable

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
from ironbarrow.fleet.takeover.lookup_rules import LookupDecision, LookupEvidence, decide
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
from ironbarrow.fleet.takeover.state import (
    OpenLedger,
    OwnedJob,
    PendingCommit,
    TakeoverRules,
    incarnation_of,
)
from ironbarrow.fleet.takeover.steps import LedgerReport, LedgerStep, LookupReport
from ironbarrow.runtime.clock import MS, SECOND

LEDGER_ANSWER_RETENTION = 10 * SECOND  # how long the answer of a booking stays in the ledger after its end
_MAX_LEDGER_ANSWERS = 1024  # answers of bookings in the ledger at a time
# bytes; a longer result is not stored in the ledger: after a take-over a retry of its job gets "failed"
_MAX_LEDGER_RESULT_BYTES = 4096
_SAFE_LOOKUP_LIMIT = 5 * SECOND  # longest lookup of a safe job; half of its remaining time if that is shorter
_SETTLING_TIME = 1 * SECOND  # after its start or a stop a member may not know all other members yet
_ACTIVITY_INTERVAL = 250 * MS  # between two signs that this process runs
_LONGEST_STALL = 500 * MS  # without such a sign it was stopped, and may not know who has ended meanwhile
_MAX_REMOTE_WAITERS = 64  # members per job that are sent its answer without asking again
_NOTICE_DELAYS = (200 * MS, 1 * SECOND, 3 * SECOND)  # a TakeoverNotice is repeated, as messages may be lost
_CLAIM_RETRY_INTERVAL = 1 * SECOND  # between two checks of a claim that has not ended
_MAX_CLAIM_TRIES = 3  # for one ledger, while a majority of its replicas appears to be alive
# how long a majority of the own ledger's replicas may be dead before this incarnation ends and a new one
# chooses other replicas
_MAJORITY_GONE_LIMIT = 2 * SECOND
_MAJORITY_GONE_LIMIT_WITH_JOBS = 15 * SECOND  # the same while bookings are running or adopted jobs are owned
_MAX_REMEMBERED = 1024  # incarnations whose take-over is remembered

# as encoded in ledgers and messages: members of other versions read and write the same words
ENCODED_VERDICTS = {Verdict.SERVED: "served", Verdict.REFUSED: "rejected", Verdict.FAILED: "failed"}
_VERDICTS = {encoded: verdict for verdict, encoded in ENCODED_VERDICTS.items()}
_FAILED_ANSWER = Answer(Verdict.FAILED)


class Takeover:
    """The take-over machine of one incarnation; ``inherit`` carries state over to the next one."""

    handles: tuple[type[Message], ...] = KINDS

    def __init__(
        self,
        now: int,
        me: Incarnation,
        members: Members,
        ledgers: Ledgers,
        rules: TakeoverRules,
        followed_since: int | None = None,
    ) -> None:
        """``followed_since``: ns, since when this process has known of every member's end; None: ``now``."""
        self.me, self.members, self.ledgers, self.rules = me, members, ledgers, rules
        self.ledger = job_ledger(me)
        self.started_at = now
        self.followed_since = now if followed_since is None else followed_since
        self._settled_at = now + _SETTLING_TIME
        self._last_active = now
        self.fenced = False
        self.no_majority = False  # no majority of the own ledger's replicas answers
        self.committed_seq = 0  # appends up to this number are stored at a majority
        self.leaving = False
        self.owned: dict[str, OwnedJob] = {}  # by job id
        self.lookups: dict[str, JobLookup] = {}  # by job id
        self.answers = AnswerCache(rules.answer_retention, rules.max_answers)
        self.disclaimed = DisclaimedIds(rules.answer_retention)
        self.open_ledgers: dict[Incarnation, OpenLedger] = {}
        self.unfinished_ledgers: list[OpenLedger] = []  # left by this incarnation when it was fenced
        # ended incarnations whose ledgers are taken over, and whether each ledger was read completely
        self.taken_over: OrderedDict[Incarnation, bool] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self._changes: dict[str, Change] = {}
        self._pending: list[PendingCommit] = []  # of changes that are not appended yet
        self._commits: deque[tuple[int, list[PendingCommit]]] = deque()  # of appends, by number
        self._attempt_commits: dict[object, PendingCommit] = {}  # of intents, by attempt
        self.cancelling: set[str] = set()  # ids of jobs being cancelled as their clients have disconnected
        self._next_majority_check = now
        self._majority_gone_since = NEVER
        self._answer_expiries: deque[tuple[int, str]] = deque()  # when (ns) to drop which job's answer
        self._notices: list[tuple[int, Incarnation, bool]] = []  # to repeat: when (ns), of whom, whole
        # incarnations whose ledgers were lost, and until when (ns) a retry may be for a job of theirs
        self._lost_until: dict[Incarnation, int] = {}

    # Calls by the host adapter

    def open_ledger(self, now: int) -> list[Action]:
        """Opens this incarnation's ledger."""
        return self.ledgers.create(now, self.ledger)

    def inherit(self, now: int, earlier: "Takeover") -> list[Action]:
        """Continues for the clients of an earlier incarnation of this process, whose ledger others take over.

        Its answers and disclaimed ids stay valid. Its clients' jobs are looked up at the other members first;
        those that may have been sent from here are not started again."""
        self.answers, self.disclaimed, self.counts = earlier.answers, earlier.disclaimed, earlier.counts
        self._lost_until, self.taken_over = earlier._lost_until, earlier.taken_over
        self.followed_since = earlier.followed_since
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
                # an inherited claim stands in the earlier incarnation's ledger
                claimant = open_ledger.claimed_by or (open_ledger.inherited_from and earlier.me)
                self.open_ledgers[open_ledger.incarnation].claimed_by = claimant
        return actions

    def on_request(self, now: int, record: JobRecord, retried: bool, waiter: object) -> list[Action]:
        """Handles a client's request. ``retried``: the client has marked it as a retry."""
        if (known := self._join(now, record, waiter)) is not None:
            if (running := self.lookups.get(record.id)) is not None:
                running.retried = running.retried or retried
            return known
        safe = self.rules.safe.get(record.job_class, False)
        if self.fenced:
            # the next incarnation looks it up, like all other requests that arrive after the fencing
            self.lookups[record.id] = JobLookup(record, safe, [waiter], now, retried=retried, next_at=NEVER)
            return []
        seen = record.id in self.cancelling or self.disclaimed.contains(record.id, now)
        if retried or seen or (not safe and self._queries_first_tries(now)):
            lookup = JobLookup(record, safe, [waiter], now, retried=retried)
            self.lookups[record.id] = lookup
            return self._query(now, lookup)
        if self.no_majority and record.job_class in self.rules.turn_away:
            # the job is in no ledger, so no member can run it and a retry is harmless
            self.counts["turned away"] += 1
            return [ReplyToClient(waiter, Answer(Verdict.REFUSED, retry_after=self.rules.retry_after))]
        return self._take(now, OwnedJob(record, safe, [waiter]))

    def begin_attempt(self, now: int, attempt: object, job_id: str, worker: str) -> list[Action]:
        """Records the intent of an attempt. ``AttemptDecision`` follows, at once or once it is committed."""
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
        commit = PendingCommit(
            now + self.rules.majority_timeout,
            lambda later: self._release_attempt(later, job, attempt, committed=True),
            lambda later: self._intent_failed(later, job, attempt),
            attempt,
        )
        job.intent_commit, job.unprotected = commit, False
        self._add_change(put(job.record), commit)
        if self.no_majority:
            return self._fail(now, commit)
        self._attempt_commits[attempt] = commit
        return []

    def cancel_attempt(self, attempt: object) -> bool:
        """Cancels an attempt; True if it was still waiting for its decision, which then never comes."""
        commit = self._attempt_commits.pop(attempt, None)
        if commit is None:
            return False
        commit.resolved = True
        return True

    def attempt_ended(self, job_id: str, *, never_ran: bool) -> None:
        """Notes the end of an attempt; its job may go on."""
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
            self._add_change(put(job.record))

    def job_ended(self, now: int, job_id: str, answer: Answer) -> list[Action]:
        """Handles a job's final answer from the host or from the keeper of awaited call-backs.

        The refusal of a booking is committed before the client gets it: a refused client may retry, so no
        other member may send the job after a take-over. Without a majority the client gets ``failed``."""
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
        commit = PendingCommit(
            now + self.rules.majority_timeout,
            lambda later: self._refusal_committed(later, job, answer),
            lambda later: self._finish(later, job, _FAILED_ANSWER),
        )
        self._add_change(put(job.record), commit)
        return []

    def client_disconnected(self, now: int, job_id: str, waiter: object) -> list[Action]:
        """Handles a client that has disconnected before its answer."""
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
            return []  # it may have run: it goes on, as the client may retry for its answer
        del self.owned[job_id]
        if job.record.stage is Stage.INTENT:
            self.cancelling.add(job_id)
        self._add_change(drop(job_id))
        return [WithdrawJob(job_id)]

    def forward_call_back(self, job_id: str, worker: str, state: str, result: bytes) -> list[Action]:
        """Forwards a worker's call-back for a job that is unknown here to all other members."""
        self.counts["call-backs passed on"] += 1
        return self._broadcast(ForwardedCallBack(job_id, worker, state, result))

    def cancelled_at_worker(self, now: int, job_id: str) -> list[Action]:
        """Retries or answers an adopted job that its worker has confirmed as cancelled."""
        job = self.owned.get(job_id)
        if job is None or job.refusal_pending:
            return []
        return self._retake(now, job)

    def retry_job(self, now: int, job_id: str, *, may_have_run: bool) -> list[Action]:
        """Retries or answers an adopted job whose earlier attempt has ended without a final answer."""
        job = self.owned.get(job_id)
        if job is None:
            return []
        job.attempt_may_have_run = may_have_run
        return self._retake(now, job)

    def leave(self, now: int) -> list[Action]:
        """Stops sending attempts; jobs without an answer stay in the ledger for the other members."""
        self.leaving = True
        actions: list[Action] = []
        for commit in list(self._attempt_commits.values()):
            if not commit.resolved:
                commit.resolved = True
                actions.append(AttemptDecision(commit.attempt, False))
        self._attempt_commits.clear()
        return actions + self.flush(now)

    def followed(self, now: int) -> int:
        """ns for which this process has known of every member's end; 0 while it may have missed some."""
        return now - self.followed_since if now >= self._settled_at else 0

    def _knows_history(self, now: int) -> bool:
        return self.followed(now) >= self.rules.answer_retention

    def _note_activity(self, now: int) -> None:
        """Detects that this process was stopped: it may not know yet which members have ended meanwhile."""
        if now - self._last_active > _LONGEST_STALL:
            self._settled_at = now + _SETTLING_TIME
        self._last_active = now

    @property
    def has_unflushed(self) -> bool:
        """Whether ``flush`` has changes to append."""
        return bool(self._changes)

    @property
    def all_committed(self) -> bool:
        """Whether no change is unflushed or uncommitted."""
        return not self._changes and not self._commits

    def flush(self, now: int) -> list[Action]:
        """Appends the collected changes to the ledger in one append."""
        if not self._changes:
            return []
        changes, self._changes = list(self._changes.values()), {}
        pending, self._pending = self._pending, []
        if self.fenced:
            return self._fail_all(now, pending)
        seq, actions = self.ledgers.append(now, self.ledger, changes)
        # seq is 0 if this member is no longer the writer: a Fenced event follows, and until then the commits
        # stay pending as if no replica answered
        for commit in pending:
            commit.seq = seq or NEVER
        self._commits.append((seq or NEVER, pending))
        return actions

    # The Machine protocol

    def ticked(self, now: int) -> list[Action]:
        """Fails late commits, repeats queries and notices, and claims the ledgers whose time has come."""
        self._note_activity(now)
        actions: list[Action] = []
        late = [c for _, commits in self._commits for c in commits if c.deadline <= now and not c.resolved]
        if late and now - late[0].deadline > self.rules.majority_timeout:
            # this process was stopped, so the replicas' answers could not be read: extend the deadline once
            for commit in [c for c in late if not c.extended]:
                commit.deadline, commit.extended = now + self.rules.majority_timeout, True
            late = [c for c in late if c.deadline <= now]
        if late:
            self.no_majority = True
            self.counts["waits without a majority"] += len(late)
        if self.no_majority and not self.fenced:
            # before late attempts are released: an incarnation that ends here must send none of them
            actions += self._end_if_replicas_lost(now)
        actions += self._fail_all(now, late)
        while self._answer_expiries and (
            self._answer_expiries[0][0] <= now or len(self._answer_expiries) > _MAX_LEDGER_ANSWERS
        ):
            self._add_change(drop_answer(self._answer_expiries.popleft()[1]))
        waiting = [] if self.fenced else list(self.lookups.values())
        for lookup in [w for w in waiting if min(w.next_at, self._lookup_deadline(w)) <= now]:
            if self.lookups.get(lookup.record.id) is lookup:
                actions += self._query(now, lookup)
        for due, incarnation, whole in [notice for notice in self._notices if notice[0] <= now]:
            self._notices.remove((due, incarnation, whole))
            actions += self._broadcast(TakeoverNotice(incarnation, whole))
        for open_ledger in [o for o in self.open_ledgers.values() if o.due <= now]:
            actions += self._claim(now, open_ledger)
        return actions + self.flush(now)

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if nothing is planned."""
        times = [self._last_active + _ACTIVITY_INTERVAL]
        times += [c.deadline for _, commits in self._commits for c in commits if not c.resolved]
        times += [min(a.next_at, self._lookup_deadline(a)) for a in self.lookups.values() if not self.fenced]
        times += [o.due for o in self.open_ledgers.values()]
        times += [due for due, _, _ in self._notices]
        if self._answer_expiries:
            times.append(self._answer_expiries[0][0])
        if self.no_majority and not self.fenced:
            times.append(self._next_majority_check)
        return min(times, default=NEVER)

    def received(self, now: int, sender: Incarnation, message: Message) -> list[Action]:
        """Handles a message from another member."""
        self._note_activity(now)
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
        """Handles an event of this member's other machines: its ledgers and its list of members."""
        self._note_activity(now)
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

    def _add_change(self, change: Change, commit: PendingCommit | None = None) -> None:
        # A later change of a key replaces the earlier one and moves to the end of the append: left in the
        # earlier place it would overtake changes that were made before it.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if commit is not None:
            self._pending.append(commit)

    def _take(self, now: int, job: OwnedJob) -> list[Action]:
        job.record = msgspec.structs.replace(job.record, stage=Stage.TAKEN, worker="")
        self.owned[job.record.id] = job
        self._add_change(put(job.record))
        self._fault_point("after-taken")
        return [StartJob(job.record)]

    def _retake(self, now: int, job: OwnedJob) -> list[Action]:
        """Starts an adopted job again, or answers it if it has no time or attempts left."""
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
        """Allows an attempt to be sent; ``committed`` False: its intent is stored at no majority."""
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
        """Whether a job's attempt may be sent: its intent is committed, or its class is served without a
        majority. Checked again by the host adapter before an attempt's first byte is written."""
        job = self.owned.get(job_id)
        if job is None or job.intent_commit is None:
            return False
        turned_away = job.record.job_class in self.rules.turn_away
        return job.intent_commit.seq <= self.committed_seq or (job.unprotected and not turned_away)

    def _intent_failed(self, now: int, job: OwnedJob, attempt: object) -> list[Action]:
        """Handles an intent that no majority has stored in time: sends the attempt unprotected or answers the
        job, as its class demands."""
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
        """Ends a job: drops its record, caches its answer and sends that to all who wait for it."""
        if job.ended:
            return []
        record = job.record
        check("one answer", self.owned.get(record.id) is job, id=record.id)
        job.ended = True
        self.owned.pop(record.id, None)
        refused = answer.verdict is Verdict.REFUSED
        self.answers.store(record.id, record.digest, answer, now, short=refused and job.safe)
        self._add_change(drop(record.id))
        if not job.safe and not refused:
            self._write_answer(now, record.id, record.digest, answer)
        return self._reply_all(record.id, job.waiters, job.remote_waiters, answer)

    def _write_answer(self, now: int, job_id: str, digest: bytes, answer: Answer) -> None:
        """Stores a booking's answer in the append that drops its record.

        Without it the booking would be unknown to a member that takes over, and a retry by a client that
        missed the answer would run it again."""
        verdict, result = answer.verdict, answer.result
        if len(result) > _MAX_LEDGER_RESULT_BYTES:
            verdict, result = Verdict.FAILED, b""
        self._add_change(
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

    def _fail(self, now: int, commit: PendingCommit) -> list[Action]:
        if commit.resolved:
            return []
        commit.resolved = True
        return commit.on_failure(now)

    def _fail_all(self, now: int, commits: Iterable[PendingCommit]) -> list[Action]:
        return [action for commit in commits for action in self._fail(now, commit)]

    def supersede(self, now: int) -> list[Action]:
        """Ends this incarnation as if its ledger had been sealed, since a newer one of its name exists."""
        return [action for action in self._fence(now) if not isinstance(action, Superseded)]

    def _end_if_replicas_lost(self, now: int) -> list[Action]:
        """Ends this incarnation if a majority of its ledger's replicas stays dead.

        Such a ledger can't be written again; the next incarnation chooses new replicas. Running bookings and
        adopted jobs get more time to end, up to ``_MAJORITY_GONE_LIMIT_WITH_JOBS``."""
        if now < self._next_majority_check:
            return []
        self._next_majority_check = now + _CLAIM_RETRY_INTERVAL
        if self.leaving or not self._own_replicas_gone():
            self._majority_gone_since = NEVER
            return []
        self._majority_gone_since = min(self._majority_gone_since, now)
        # adopted jobs are stored in no other ledger and would be lost with this one
        wait_longer = any(
            job.adopted or (job.attempt_may_have_run and not job.safe) for job in self.owned.values()
        )
        # Of two members that are each other's only replicas, each new incarnation ends the ledger of the
        # other one. The limit doubles so that they don't go on in turn for ever.
        limit = _MAJORITY_GONE_LIMIT << min(self.counts["own ledger given up"], 5)
        if now < self._majority_gone_since + max(limit, _MAJORITY_GONE_LIMIT_WITH_JOBS if wait_longer else 0):
            return []
        self.counts["own ledger given up"] += 1
        return self._fence(now)

    def _own_replicas_gone(self) -> bool:
        """Whether so many replicas of the own ledger have ended that the others are no majority."""
        at = next((at for at in self.members.me.ledgers if at.ledger == self.ledger), None)
        if at is None:
            return False
        gone = sum(self.members.health(replica) in (Health.DEAD, Health.LEFT) for replica in at.replicas)
        return 2 * (len(at.replicas) - gone) <= len(at.replicas)

    def _fence(self, now: int) -> list[Action]:
        """Ends this incarnation: another member may run its jobs from now on, so all are released here."""
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
                # its clients still wait: the next incarnation asks the new owner for the answer, or starts
                # the job if no member owns it and no attempt of it was sent from here
                self.lookups[job_id] = JobLookup(
                    job.record, job.safe, job.waiters, now, may_take=not job.attempt_may_have_run
                )
        self.owned.clear()
        self.unfinished_ledgers, self.open_ledgers = list(self.open_ledgers.values()), {}
        return [*actions, Superseded()]

    # Retries by clients

    def _queries_first_tries(self, now: int) -> bool:
        """Whether a booking is looked up at all members although its client has not marked it as a retry.

        A process that was stopped may read requests that arrived before its ledger was taken over, and which
        another member may own by now. A new incarnation therefore looks up every booking for a while."""
        return self.rules.query_all or (
            self.me.start > 0
            and self.counts["fenced"] > 0
            and now < self.started_at + LEDGER_ANSWER_RETENTION
        )

    def _join(self, now: int, record: JobRecord, waiter: object) -> list[Action] | None:
        """Adds a client to the job, lookup or answer known here under its id; None if there is none."""
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
        """When a lookup without a result is answered with a refusal or ``failed``, ns."""
        if not lookup.safe or lookup.holder is not None:
            return lookup.record.until
        return min(lookup.started_at + _SAFE_LOOKUP_LIMIT, (lookup.started_at + lookup.record.until) // 2)

    def _query(self, now: int, lookup: JobLookup) -> list[Action]:
        """Begins a round of queries; ends the lookup if its time is over or the job has arrived here."""
        record = lookup.record
        if self.fenced:
            lookup.next_at = NEVER
            return []
        if (job := self.owned.get(record.id)) is not None:
            del self.lookups[record.id]
            self._report_lookup(now, lookup, "joined")
            job.waiters += lookup.waiters
            job.remote_waiters |= lookup.remote_waiters
            return []
        if (ended := self.answers.find(record.id, now)) is not None:
            del self.lookups[record.id]
            self._report_lookup(now, lookup, ended.answer.verdict.value)
            return self._reply_all(record.id, lookup.waiters, lookup.remote_waiters, ended.answer)
        if now >= self._lookup_deadline(lookup):
            # another member may own the job or have run it, so it must not be started here
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
        self._report_lookup(now, lookup, answer.verdict.value)
        return self._reply_all(lookup.record.id, lookup.waiters, lookup.remote_waiters, answer)

    def _report_lookup(self, now: int, lookup: JobLookup, result: str) -> None:
        reason = lookup.decision.value if lookup.decision is not None else ""
        self.rules.observe(
            LookupReport(lookup.record.id, result, reason, lookup.round, now - lookup.started_at)
        )

    def _take_looked_up(self, now: int, lookup: JobLookup) -> list[Action]:
        check(
            "ledgers accounted for",
            lookup.safe or decide(self._evidence(now, lookup)) is LookupDecision.START,
            id=lookup.record.id,
        )
        del self.lookups[lookup.record.id]
        self._report_lookup(now, lookup, "started")
        job = OwnedJob(lookup.record, lookup.safe, lookup.waiters, lookup.remote_waiters)
        if self.no_majority and lookup.record.job_class in self.rules.turn_away:
            return self._reply_all(lookup.record.id, lookup.waiters, lookup.remote_waiters, _FAILED_ANSWER)
        return self._take(now, job)

    def _evidence(self, now: int, lookup: JobLookup) -> LookupEvidence:
        others = [m.card.incarnation for m in self.members.alive() if m.card.incarnation != self.me]
        return LookupEvidence(
            safe=lookup.safe,
            fenced=self.fenced,
            has_holder=lookup.holder is not None,
            cancelling=lookup.record.id in self.cancelling,
            open_here=self.open_ledgers.keys(),
            open_elsewhere=not lookup.no_open_ledger,
            settled=now >= self._settled_at,
            unanswered=[incarnation for incarnation in others if incarnation not in lookup.answered],
            lost=lookup.may_be_lost or self._has_lost_ledgers(now),
            history_known=not lookup.retried or lookup.history_known or self._knows_history(now),
            sent_before=not lookup.may_take,
        )

    def _decide(self, now: int, lookup: JobLookup) -> list[Action]:
        """Acts on what this round of queries has shown so far."""
        lookup.decision = decide(self._evidence(now, lookup))
        if lookup.decision is LookupDecision.START:
            self.counts["repeats taken"] += 1
            return self._take_looked_up(now, lookup)
        if lookup.decision in (LookupDecision.ANSWER_NOT_FOUND, LookupDecision.ANSWER_HISTORY_UNKNOWN):
            # it may have ended long ago, or have been in a ledger that was lost
            self.counts["not found"] += 1
            return self._end_lookup(now, lookup, self._refusal() if lookup.safe else _FAILED_ANSWER)
        return []

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
            # of two members that look up the same id, the one with the lower name goes on
            status = JobStatus.OWNED
            assert known is not None
            if len(known.remote_waiters) < _MAX_REMOTE_WAITERS:
                known.remote_waiters[sender] = None
        else:
            self.disclaimed.add(query.id, now)
            if lookup is not None:
                # replies from before this member gave way to the sender must not count any more
                lookup.new_round(now)
                lookup.next_at = now
        reply = JobQueryReply(
            query.id,
            query.round,
            status,
            ENCODED_VERDICTS[answer.verdict] if answer is not None else "",
            answer.result if answer is not None else b"",
            answer.retry_after if answer is not None else 0,
            (*self.open_ledgers, *((self.me,) if query.id in self.cancelling else ())),
            (
                *(self._lost_until if self._has_lost_ledgers(now) else ()),
                *(() if self._knows_history(now) else (self.me,)),
            ),
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
            # the holder does not know the job any more: query all members again
            lookup.holder_lost(now)
            return []
        if reply.round != lookup.round:
            return []
        lookup.answered.add(sender)
        lookup.no_open_ledger = lookup.no_open_ledger and not reply.open_incarnations
        lookup.may_be_lost = lookup.may_be_lost or any(lost != sender for lost in reply.lost_incarnations)
        lookup.history_known = lookup.history_known or sender not in reply.lost_incarnations
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

    # Taking over ledgers

    def _on_member_changed(self, now: int, event: MemberChanged) -> None:
        card, incarnation = event.member.card, event.member.card.incarnation
        if incarnation == self.me:
            return
        if event.member.health not in (Health.DEAD, Health.LEFT):
            open_ledger = self.open_ledgers.get(incarnation)
            if open_ledger is not None and open_ledger.is_untouched:
                self._close_ledger(incarnation, LedgerStep.CLOSED_MEMBER_ALIVE)
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
        position = 0 if inherited_from is not None else claim_position(at.ledger, self.me.name, names)
        self.open_ledgers[incarnation] = OpenLedger(
            incarnation, at, now, now + position * CLAIM_STAGGER, inherited_from=inherited_from
        )
        step = LedgerStep.OPENED if inherited_from is None else LedgerStep.INHERITED
        self._report_ledger(incarnation, step, by=inherited_from)

    def _report_ledger(
        self,
        incarnation: Incarnation,
        step: LedgerStep,
        *,
        by: Incarnation | None = None,
        records: int | None = None,
        whole: bool | None = None,
    ) -> None:
        self.rules.observe(LedgerReport(incarnation, step, by, records, whole))

    def _close_ledger(
        self, incarnation: Incarnation, reason: LedgerStep, by: Incarnation | None = None
    ) -> None:
        """Forgets an open ledger. ``reason``: why no job in it can be unknown to all members."""
        del self.open_ledgers[incarnation]
        self._report_ledger(incarnation, reason, by=by)

    def _claim(self, now: int, open_ledger: OpenLedger) -> list[Action]:
        """Claims a ledger, unless another member has it: records the claim, then seals the ledger."""
        open_ledger.due = now + _CLAIM_RETRY_INTERVAL
        if open_ledger.claimed_by is not None and open_ledger.claimed_by not in self.open_ledgers:
            claimant, open_ledger.claimed_by = open_ledger.claimed_by, None
            if open_ledger.inherited_from is None and self._has_ended_with(now, open_ledger, claimant):
                return []
        if open_ledger.claiming or open_ledger.adopting or open_ledger.claimed_by is not None or self.leaving:
            return []
        open_ledger.claiming = True
        open_ledger.tries += 1
        self.counts["claims"] += 1
        self._report_ledger(open_ledger.incarnation, LedgerStep.CLAIM_BEGUN, by=open_ledger.inherited_from)
        self._fault_point("before-claim")
        # recorded where the jobs go: members that take over this ledger look in no other one for the claim
        return self.ledgers.claim(now, open_ledger.location, self.ledger)

    def _has_ended_with(self, now: int, open_ledger: OpenLedger, claimant: Incarnation) -> bool:
        """Whether nothing is left to do for a ledger, as the ledger of its ended claimant is taken over, or
        lost, or nobody tells what has become of it."""
        incarnation = open_ledger.incarnation
        whole = self.taken_over.get(claimant)
        if whole:  # and this claim with it
            self._close_ledger(incarnation, LedgerStep.CLOSED_CLAIMANT_TAKEN_OVER, by=claimant)
            return True
        if whole is None and open_ledger.tries < _MAX_CLAIM_TRIES:
            return False
        self.counts["ledgers lost"] += 1
        self._close_ledger(incarnation, LedgerStep.LOST_WITH_CLAIMANT, by=claimant)
        self._remember_taken_over(now, incarnation, False)
        return True

    def _find_open_ledger(self, ledger: str) -> OpenLedger | None:
        return next((o for o in self.open_ledgers.values() if o.location.ledger == ledger), None)

    def _on_claim_failed(self, now: int, event: ClaimFailed) -> list[Action]:
        open_ledger = self._find_open_ledger(event.ledger)
        if open_ledger is None:
            return []
        if event.by is None:
            replicas = open_ledger.location.replicas
            alive = sum(
                self.members.health(replica) in (Health.ALIVE, Health.SUSPECT) for replica in replicas
            )
            if self._own_replicas_gone():
                open_ledger.tries = (
                    0  # the claim could not be recorded here, which tells nothing of its replicas
                )
            if 2 * alive > len(replicas) and open_ledger.tries < _MAX_CLAIM_TRIES:
                open_ledger.claiming, open_ledger.due = False, now + _CLAIM_RETRY_INTERVAL
                self._report_ledger(open_ledger.incarnation, LedgerStep.CLAIM_REPEATED)
                return []
            self.counts["ledgers lost"] += 1
            self._report_ledger(open_ledger.incarnation, LedgerStep.REPLICAS_LOST, records=len(event.partial))
            if open_ledger.incarnation in self.taken_over:
                # Another member has adopted what it could read of this ledger. A partial reading excludes no
                # second reader: only the first one's notice prevents two members from running the same jobs.
                self._close_ledger(open_ledger.incarnation, LedgerStep.CLOSED_READ_IN_PART)
                return []
            return self._on_claimed(now, event.ledger, event.partial, whole=False)
        if event.by == self.me:
            return self._on_claimed(now, event.ledger, event.partial, whole=True)
        if event.by == open_ledger.inherited_from:
            return self._on_inherited_claim_failed(now, open_ledger)
        open_ledger.claiming = False
        if self.members.health(event.by) in (Health.ALIVE, Health.SUSPECT):
            # the claimant itself reports the ledger as open, in its replies, until it has adopted all of it
            self._close_ledger(open_ledger.incarnation, LedgerStep.CLAIMED_BY_MEMBER, by=event.by)
            self._remember_taken_over(now, open_ledger.incarnation, True)
        else:
            open_ledger.claimed_by = event.by
            self._report_ledger(open_ledger.incarnation, LedgerStep.CLAIMED_BY_ENDED, by=event.by)
        return []

    def _on_inherited_claim_failed(self, now: int, open_ledger: OpenLedger) -> list[Action]:
        """A claim has found the ledger to be owned by the member whose ledger was taken over here.

        It was begun before that take-over, so it did not continue that member's claim and read nothing."""
        if self.taken_over.get(open_ledger.inherited_from or self.me):
            open_ledger.claiming, open_ledger.due = False, now
            self._report_ledger(open_ledger.incarnation, LedgerStep.CLAIM_REPEATED)
            return []
        # the owner's ledger was read in part, which excludes no second reader: nobody may act on this one
        self.counts["ledgers lost"] += 1
        self._report_ledger(open_ledger.incarnation, LedgerStep.REPLICAS_LOST)
        return self._on_claimed(now, open_ledger.location.ledger, {}, whole=False)

    def _on_claimed(self, now: int, ledger: str, content: dict[str, bytes], *, whole: bool) -> list[Action]:
        """Appends the content of a claimed ledger to the own one before acting on any of it.

        All goes into one append; ``whole`` False: the content is a partial reading of a lost ledger."""
        open_ledger = self._find_open_ledger(ledger)
        if open_ledger is None or open_ledger.adopting:
            return []
        self._report_ledger(open_ledger.incarnation, LedgerStep.SEALED, records=len(content), whole=whole)
        self._fault_point("after-seal")
        open_ledger.adopting = True
        check("one holder", not whole or not self.taken_over.get(open_ledger.incarnation), ledger=ledger)
        records = jobs(content)
        answer_records = answers(content)
        inherited_claims = [at for at in claims(content) if at.ledger != self.ledger]
        self.counts["unreadable"] += len(content) - len(records) - len(answer_records) - len(inherited_claims)
        for record in records:
            if record.id not in self.owned:
                self._add_change(put(record))
        for answer in answer_records:
            self._add_change(put_answer(answer))
        for at in inherited_claims:
            self._add_change(Change(CLAIM + at.ledger, content[CLAIM + at.ledger]))

        def start_adopted(later: int) -> list[Action]:
            return self._start_adopted(
                later, open_ledger, records, answer_records, inherited_claims, whole=whole
            )

        # last in the append: a member that reads only a part of it still finds the claim
        if whole:
            self._add_change(drop_claim(ledger), PendingCommit(NEVER, start_adopted, lambda later: []))
            actions = self.flush(now)
            self._report_ledger(open_ledger.incarnation, LedgerStep.COPIED, by=self.me)
            return actions
        # A partial reading doesn't prove that no other member has these jobs, and a commit of it would not
        # either: there is nothing to wait for.
        self._add_change(drop_claim(ledger))
        return self.flush(now) + start_adopted(now)

    def _start_adopted(
        self,
        now: int,
        open_ledger: OpenLedger,
        records: list[JobRecord],
        answer_records: list[AnswerRecord],
        inherited_claims: list[LedgerLocation],
        *,
        whole: bool,
    ) -> list[Action]:
        """Acts on the records of a ledger that are now in the own one, and tells all members."""
        incarnation = open_ledger.incarnation
        self._report_ledger(incarnation, LedgerStep.ADOPTED, records=len(records), whole=whole)
        self._fault_point("after-adoption")
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
            other = incarnation_of(at.ledger)
            if other is None or other == self.me:
                continue
            # The incarnation taken over here had won the claim of this ledger, so the ledger was remembered
            # as taken over. It ended before adopting the ledger, or the claim's key would have been removed.
            self.taken_over.pop(other, None)
            known = self.open_ledgers.get(other)
            if known is None:
                self._add_open_ledger(now, other, at, incarnation)
            elif not known.adopting:
                known.inherited_from, known.claimed_by, known.due = incarnation, None, now
                self._report_ledger(other, LedgerStep.INHERITED, by=incarnation)
        self._note_taken_over(now, incarnation, whole)
        self._notices += [(now + later, incarnation, whole) for later in _NOTICE_DELAYS]
        self.counts["ledgers taken over"] += 1
        self.counts["jobs taken over"] += len(records)
        # jobs that are looked up here may be among the adopted ones
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
        may_run = record.may_have_run or record.stage is Stage.INTENT
        job = OwnedJob(record, safe, [], adopted=True, attempt_may_have_run=may_run)
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
        # a partial take-over by another member doesn't end a running claim here, which may get all of it
        if open_ledger is not None and not open_ledger.adopting and (whole or not open_ledger.claiming):
            self._close_ledger(incarnation, LedgerStep.CLOSED_ADOPTED_ELSEWHERE)
        for other in list(self.open_ledgers.values()):
            if other.claimed_by == incarnation and other.inherited_from is None and not other.adopting:
                self._has_ended_with(now, other, incarnation)

    def _remember_taken_over(self, now: int, incarnation: Incarnation, whole: bool) -> None:
        self.taken_over[incarnation] = whole
        if not whole:
            self._lost_until[incarnation] = now + self.rules.answer_retention
        while len(self.taken_over) > _MAX_REMEMBERED:
            self.taken_over.popitem(last=False)
