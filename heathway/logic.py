"""All decisions of one dispatcher. Its settings, events and actions are in heathway/api.py.

Ordinary path (Hollfelder and Aberer, strategy 2 with EDF): new sessions enter while
r * (|C| + 1) < tau; held jobs leave by earliest deadline; first fit over the sorted worker ids.
The records it keeps are in heathway/state.py.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop
from typing import Any

from heathway import api, probing, slow_start, state
from heathway.api import Effect, Group, ListKind, Outcome, Reason, WorkerState
from heathway.backoff import CallPace
from heathway.state import Attempt, Job, Share, Worker

MS = 1_000_000
PERIOD = 200 * MS  # one service period k
LOOKBACK = 20  # lambda: periods in the average; short, since a long one lags after a shrink
TAU = 1.25  # admit up to this load; held jobs count in it, so 1 is where queueing starts
SESSION_IDLE = 2_000 * MS  # a session without jobs for so long is closed
REPORT_AGE = 800 * MS  # reports are taken to be this old: own sends since then are debited
LIST_AGE = 1_000 * MS  # likewise the live weights of a list
TOLD_BEFORE = 7_500 * MS  # coarser, they count where own jobs told nothing for this over the dispatchers
REPORT_BELIEVED = 3_000 * MS  # over this time a report gives way to what is usual
FULL_PAUSE = 150 * MS  # a worker that sent a job back is left alone for so long
DOUBLINGS = 3  # pauses double so often while a worker goes on failing
PASSED_OVER = 8  # so many held jobs that fit nowhere may be passed over for one that does
ASIDE_PAUSE = 2_000 * MS  # a worker set aside gets one trial job after this
ASIDE_MOST = 0.3  # at most this share is set aside for silence: all silent is a shared slowdown
SILENCE_DEVIATIONS = 4.0  # silence: mean plus so many deviations of the service time (as in TCP)
LEARNING = 0.05  # weight of a new service time in the averages
CUT_AFTER = 3  # so many failed connections to a zone, none answered between: it is cut off
START_WITHIN = 40 * MS
FAULT_PRICE = 2  # so many good answers make up for one fault
FAULTS_MOST = 4  # and for all that are remembered
ERRORS_MOST = 0.3  # errors a second in a report that count as a fault


class Dispatcher:
    """Decides for one dispatcher: feed it events, do what it answers, in that order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._set = settings
        self._random = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        self._service = {cls.name: state.ServiceTime(cls.aim, cls.aim / 4) for cls in settings.classes}
        # danger: sent to a worker that may be full, a job must show at once that it waits there
        self._reserves = (1.0, 0.0, -1.0) if settings.tells_start else (1.0, 0.0)
        self._now = 0
        self._out: list[api.Action] = []
        self._jobs: dict[int, Job] = {}
        self._held = state.HeldJobs()
        self._running_slots = 0.0
        self._sessions = state.Sessions()
        self._shares = {t.name: Share(t.allowance_per_s / settings.dispatchers) for t in settings.tenants}
        self._worths = state.Worths(settings.worth_by_work)
        self._rates: deque[float] = deque(maxlen=LOOKBACK)  # l / |C| of past periods
        self._workers: dict[str, Worker] = {}
        self.ring = state.Ring(settings.cold_time)
        self._keys = state.KeyShares(settings.me % settings.dispatchers / settings.dispatchers)
        self._probes = probing.ProbeBudget(settings.probe_price)
        self._calls = CallPace(settings.dispatchers, settings.ask_within, self._random)
        self._aside = 0
        self._agenda = state.Agenda()
        self._guesses = state.Guesses()
        self._usual = (0.0, 0.0)  # of a worker: its size, the slots that others use
        self._next_period = self._gathered_at = self._timer_at = self._asked_at = 0
        self._take: dict[type, Callable[[Any], None]] = {
            api.WorkerList: self._listed,
            api.JobArrived: self._arrived,
            api.JobWithdrawn: self._withdrawn,
            api.AttemptEnded: self._ended,
            api.AttemptNote: self._noted,
            api.StreamStarted: self._stream_started,
            api.ProbeEnded: self._probed,
        }

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Takes in what happened at ``now`` and answers with what to do."""
        self._now, self._out = now, []
        if not self._timer_at:
            # danger: while the first sessions gather, each has a job open and looks far too heavy
            self._gathered_at = now + SESSION_IDLE
            if self._set.asks_for_list:
                self._ask_after(self._calls.first())
        for event in events:
            if type(event) in self._take:
                self._take[type(event)](event)
        self._agenda.run(now)
        if now >= self._next_period:
            self._end_period()
        for queue in self._held.queues.values():
            self._release(queue)
        due = max(now + self._set.tick, self._held.first_start(self._agenda.first(self._next_period)))
        if self._timer_at <= now + self._set.tick or due < self._timer_at:  # one may come a little early
            self._timer_at = due
            self._out.append(api.SetTimer(due - now, "wake"))
        return self._out

    # Admission

    def _end_period(self) -> None:
        """Notes l / |C| of the period and closes idle sessions."""
        self._note_usual()
        self._probe_quiet()
        if self._sessions and self._now >= self._gathered_at:  # none: it says nothing of sessions
            load = (self._held.slots + self._running_slots) / max(1.0, self._capacity())
            self._rates.append(load / len(self._sessions))
        self._sessions.close_idle(self._now - SESSION_IDLE, self._now)
        self._next_period = self._now + PERIOD

    def _capacity(self) -> float:
        """Res_max: own running slots and the fleet's free ones, which all count as their own."""
        return self._running_slots + self.ring.spare(self._now, REPORT_BELIEVED, self._usual)

    def _note_usual(self) -> None:
        after = self._now - REPORT_BELIEVED
        self._usual = self.ring.usual(self._running_slots, self._set.dispatchers, after)

    def _admits(self, cls: api.JobClass) -> bool:
        if not self._sessions or not self._rates:  # no session, or no past period: by free room
            return self.ring.open != 0 or self._held.slots <= self._running_slots
        if self._worths.dear(cls, self._service[cls.name].mean):
            return True  # danger: shed with the rest, it takes more worth with it than it frees room
        load = sum(self._rates) / len(self._rates) * (len(self._sessions) + 1)
        return load < TAU or self._worths.starves(cls, TAU / load)

    def _arrived(self, event: api.JobArrived) -> None:
        cls = self._classes.get(event.job_class)
        if cls is None:  # danger: nothing is known of its effects
            self._out.append(api.Refuse(event.job, 0, Reason.UNKNOWN_CLASS))
            return
        name = (event.tenant, event.key) if event.tenant or event.key is not None else event.job
        work = self._service[cls.name].mean if event.work_hint is None else event.work_hint
        deadline = self._now + event.time_left
        aim_at = min(self._now + (event.wanted or cls.aim + int(cls.stretch * work)), deadline)
        job = Job(
            event.job, cls, name, event.slots, event.memory, aim_at, deadline, self._keys.point(event.key)
        )
        job.most = min(event.most_attempts or self._set.max_attempts, self._set.max_attempts)
        job.resend, job.pause, self._jobs[job.id] = event.resend, event.pause, job
        job.foretold = event.work_hint is not None or event.wanted > 0
        job.tried_before = tuple(self._workers[name] for name in event.tried if name in self._workers)
        self._probes.job_arrived()
        self._worths.job_arrived(cls, self._service[cls.name].mean)
        # danger: one tenant floods; beyond its share each of its jobs has to enter anew
        share = self._shares.get(event.tenant or "")
        within = share is None or share.take(self._now)
        if not (within and name in self._sessions) and not self._admits(cls):
            self._settle(job, Reason.NOT_ADMITTED)
            return
        self._worths.job_entered(cls)
        self._sessions.job_arrived(name, self._now)
        self._hold(job)

    # Holding and release

    def _hold(self, job: Job) -> None:
        """Held by the latest start that still makes an answer in time."""
        if job.over:
            return
        last = job.deadline - 2 * self._set.tick  # danger: an answer past the deadline breaks a rule
        start_by = min(job.latest_start(self._service[job.cls.name].mean), last)
        # danger: after a slowdown nothing looks possible; a free slot is tried at least once
        self._held.add(job, max(start_by, self._now + 1))

    def _release(self, queue: list[tuple[int, int, Job]]) -> None:
        skipped: list[tuple[int, int, Job]] = []
        while queue:
            start_by, _, job = queue[0]
            if job.held and start_by <= self._now:
                # danger: a job that can't be in time takes the room of one that can
                self._settle(job, self.ring.why_held(job))
            if job.held:
                worker = self._place(job, self._reserves)
                if worker is not None:
                    self._send(job, worker)
                elif self.ring.open and len(skipped) < PASSED_OVER:
                    skipped.append(queue[0])  # danger: bound or large, it would block all the others
                else:
                    break
            heappop(queue)
        self._held.put_back(queue, skipped)

    def _place(self, job: Job, reserves: tuple[float, ...]) -> Worker | None:
        """First fit from the job's point of the ring, warm workers before cold ones."""
        ring, rules = self.ring, self._set
        kind = job.cls.worker_kind
        some = ring.open if kind is None else ring.open & ring.group("kind", kind)
        some &= self._repeat_group(job, job.risky())
        if job.cls.effect is Effect.UNSAFE:
            some &= ~ring.trials  # danger: lost on a worker still hung, it can't be sent again
        if 2 * len(job.attempts) >= rules.max_attempts:
            some &= ring.reported  # danger: guesses would use up its last attempts
        some &= ~job.tried()
        some &= ~ring.cut_off(CUT_AFTER, rules.zone) | ring.trials  # danger: it takes all that is sent
        warm = some & ~ring.cold
        start = int(len(ring.workers) * job.point)
        # danger: in a cut, what may only be repeated in its own group is lost beyond it
        own = ring.group("zone", rules.zone)
        parts = [(part, reserve) for reserve in reserves for part in (warm & own, warm & ~own)]
        # danger: left to the last, cold workers idle beside full ones; but one long booking pushes them over
        at = 0 if self._guesses.mostly_wrong() else 2
        parts.insert(at if job.cls.effect is Effect.SAFE else len(parts), (some & ring.cold, 0.0))
        for part, reserve in parts:
            for worker in ring.walk(part, start):
                if self._fits(worker, job, reserve):
                    return worker
        return None

    def _repeat_group(self, job: Job, risky: Attempt | None) -> int:
        """Danger: only the group of the first attempt's worker drops a repeat, and only for a while."""
        if risky is None or job.cls.effect is not Effect.KEYED:
            return -1
        if self._now + self._set.tick >= risky.sent_at + job.cls.window:
            return 0
        return self.ring.drops_repeats(risky.worker, job.cls.group)

    def _fits(self, worker: Worker, job: Job, reserve: float) -> bool:
        free = worker.free(self._now, REPORT_BELIEVED, self._usual)
        if worker.trial:
            slots = True
        elif free is None:  # room for one job, as far as the list does not say otherwise
            slots = reserve <= 0 and not worker.attempts and worker.looks_free()
        else:
            slots = free + 0.5 >= job.slots + reserve
        memory = worker.memory is None or worker.memory >= job.memory
        return slots and memory and (worker.cold_until <= self._now or self._cold_allows(worker, job))

    def _cold_part(self, worker: Worker) -> slow_start.Part:
        size = self.ring.size_when_warm(worker, self._usual[0], self._set.live_weights)
        runs = (None, worker.entry.kind)
        means = (self._service[c.name].mean for c in self._set.classes if c.worker_kind in runs)
        return slow_start.part_of(self._set, worker.entry, self._now - worker.started_at, size, means)

    def _cold_allows(self, worker: Worker, job: Job) -> bool:
        """Danger: all dispatchers together push a cold worker over. Each keeps to its part of the budget."""
        capacity = slow_start.likely_capacity(self._set, worker.started_at, self._now)
        mean = self._service[job.cls.name].mean
        if self._now + mean / capacity > job.aim_at and self.ring.open & ~self.ring.cold:
            return False
        begun, window = self._gathered_at - SESSION_IDLE, self._set.fall_window
        if worker.started_at < begun and self._now < begun + window:
            return False  # danger: killed and restarted, it has forgotten that its part is spent
        sent = worker.sent_since(self._now - window)
        return self._cold_part(worker).holds(sent, mean * max(1.0, job.slots))

    def _send(self, job: Job, worker: Worker) -> None:
        self._held.remove(job)
        attempt = Attempt(job, len(job.attempts), worker, self._now)
        job.attempts.append(attempt)
        self._out.append(api.Send(job.id, worker.id))
        attempt.guessed = not worker.trial and worker.cold_until <= self._now
        worker.trial = False
        worker.note_sent(self._now, job.slots, self._service[job.cls.name].mean, self._set.fall_window)
        self._book(worker, job, 1)
        self._update(worker)
        self._agenda.at(
            self._now + self._service[job.cls.name].longest(SILENCE_DEVIATIONS), self._check_silence, attempt
        )
        if self._set.tells_start:
            self._agenda.at(self._now + START_WITHIN, self._check_start, attempt)

    def _book(self, worker: Worker, job: Job, sign: int) -> None:
        """Books an own send (1) or end (-1). Danger: a report made before does not show it, and the
        same free slot would be used again and again."""
        worker.book(self._now, job, sign)
        if not worker.aside:
            self._running_slots += sign * job.slots

    # Endings

    def _ended(self, event: api.AttemptEnded) -> None:
        job = self._jobs.get(event.job)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        worker = attempt.worker
        attempt.out = False
        attempt.never_ran = event.outcome in api.NEVER_RAN
        attempt.waits_no_more()
        self._book(worker, job, -1)
        if event.outcome is Outcome.OK:
            self._guesses.note(attempt, True)
            worker.faults = max(0, worker.faults - 1)
        if event.outcome in api.SIGNS_OF_LIFE:
            self._alive(worker)
        if event.outcome is Outcome.FULL:
            self._guesses.note(attempt, False)
            self._pause(worker)
        elif event.report is not None:
            self._reported(worker, event.report)
            if (report_errors := event.report.errors) and report_errors >= ERRORS_MOST and not worker.aside:
                self._fault(worker)
        if event.outcome in api.FAULTS:
            self._fault(worker)
        if event.outcome is Outcome.CONNECT_FAILED:
            self._set_aside(worker)
            self.ring.unreached[worker.entry.zone] += 1
        elif event.outcome is Outcome.OK:
            worker.fulls = 0
            ran = self._now - attempt.started_at if attempt.started_at else event.elapsed
            self._service[job.cls.name].learn(ran, LEARNING)
        self._update(worker)
        if event.last or job.over:
            self._close(job)
        elif not job.held and not job.out():
            in_time = event.outcome is not Outcome.MOOT and self._now < job.deadline - 2 * self._set.tick
            again = in_time and event.retry and self._may_send_again(job)
            ran = event.outcome not in api.NEVER_RAN and not self._may_send_again(job)
            self._again(job) if again else self._settle(
                job, Reason.MAY_HAVE_RUN if ran else Reason.NO_ATTEMPTS
            )

    def _again(self, job: Job) -> None:
        if job.pause and self._now + job.pause < job.deadline - 2 * self._set.tick:
            self._agenda.at(self._now + job.pause, self._hold, job)
        else:
            self._hold(job)

    def _may_send_again(self, job: Job) -> bool:
        """Danger: a job that must not run twice may have run."""
        risky, effect = job.risky(), job.cls.effect
        allowed = risky is None or (effect is Effect.SAFE and job.resend)
        allowed = allowed or (effect is Effect.KEYED and self._repeat_group(job, risky) != 0)
        return allowed and len(job.attempts) < job.most

    def _may_refuse(self, job: Job) -> bool:
        """Danger: a refusal invites a repeat of an effect that may have happened."""
        everywhere = job.cls.effect is Effect.KEYED and job.cls.group is Group.ALL
        return everywhere or job.cls.effect is Effect.SAFE or job.risky() is None

    def _stream_started(self, event: api.StreamStarted) -> None:
        """The attempt belongs to the client now: nothing more is owed and nothing may be called off."""
        self._alive(self._workers.get(event.worker))
        if event.job in self._jobs:
            self._close(self._jobs[event.job])

    def _withdrawn(self, event: api.JobWithdrawn) -> None:
        job = self._jobs.get(event.job)
        if job is not None and not job.over:
            if self._set.may_cancel:
                self._out.extend(api.CancelAttempt(job.id, a.number) for a in job.attempts if a.out)
            self._close(job)

    def _settle(self, job: Job, why: Reason) -> None:
        """Gives the final answer: a refusal where that is legal, else a failure."""
        if self._may_refuse(job):
            pause = min(PERIOD, self._set.max_retry_after) if self._set.gives_retry_after else 0
            self._out.append(api.Refuse(job.id, pause, why))
        else:
            self._out.append(api.Fail(job.id, why))
        self._close(job)

    def _close(self, job: Job) -> None:
        self._held.remove(job)
        if not job.over:
            self._sessions.job_over(job.session)
        job.over = True
        if not job.out():
            self._jobs.pop(job.id, None)

    # Health of workers

    def _probe_quiet(self) -> None:
        """Danger: of a worker that gets no jobs nothing is heard, and of one whose jobs are long, little."""
        if not self._set.may_probe or not self._set.report_fields:
            return
        up = (w for w in self.ring.workers if w.entry.state is WorkerState.UP)
        for worker in sorted(up, key=lambda worker: worker.heard_of):
            if worker.heard_of + probing.EVERY > self._now or not self._probes.take(probing.FOR_CHECKS):
                break
            self._probe(worker)

    def _probe(self, worker: Worker) -> None:
        worker.heard_of = self._now
        self._out.append(api.Probe(worker.id))

    def _probed(self, event: api.ProbeEnded) -> None:
        worker = self._workers.get(event.worker)
        if worker is None:
            return
        if event.report is not None:
            self._reported(worker, event.report)
        if event.outcome is Outcome.CONNECT_FAILED:
            self._set_aside(worker)
        elif event.outcome is not Outcome.TIMEOUT:  # busy or not, the process answers
            self._alive(worker)

    def _reported(self, worker: Worker, report: api.LoadReport) -> None:
        worker.heard_of = self._now
        if self._now - REPORT_AGE > worker.told_at:  # else: it was seen to be full since
            worker.take_report(self._now - REPORT_AGE, report)

    def _pause(self, worker: Worker) -> None:
        """Danger: jobs sent back at once by one full worker after another use up all their attempts."""
        worker.seen_full(self._now, worker.slots_out)
        if not worker.paused:
            worker.paused = True
            self._agenda.at(self._now + (FULL_PAUSE << min(worker.fulls, DOUBLINGS)), self._resume, worker)
            worker.fulls += 1

    def _resume(self, worker: Worker) -> None:
        worker.paused = False
        self._update(worker)

    def _alive(self, worker: Worker | None) -> None:
        if worker is None:
            return
        worker.heard_at = self._now
        self.ring.unreached[worker.entry.zone] = 0
        if worker.aside and worker.faults:  # danger: of one that fails quickly, some answers are good
            worker.trial = True
            self._update(worker)
        elif worker.aside:
            worker.aside, worker.trial, worker.asides = False, False, 0
            self._aside -= 1
            self._running_slots += worker.slots_out
            self._update(worker)

    def _check_silence(self, attempt: Attempt) -> None:
        """Danger: a hung worker takes jobs and answers none. Silence past what its jobs explain sets
        it aside; jobs that may run again are called back from it."""
        worker, job = attempt.worker, attempt.job
        if not attempt.out or (job.over and job.cls.streaming):
            return
        limit = self._service[job.cls.name].longest(SILENCE_DEVIATIONS)
        due = max(worker.heard_at, attempt.sent_at) + limit
        if not worker.aside and self._aside >= ASIDE_MOST * len(self.ring.workers):
            due = max(due, self._now + limit)  # danger: all silent is a shared slowdown or a cut
        check = (
            worker.heard_at >= attempt.checked_at and self._now < attempt.sent_at + probing.CHECKED * limit
        )
        check = check and self._set.may_probe and not worker.aside
        if due <= self._now and check and self._probes.take():
            # danger: in a large fleet each hears of a worker by its own long job alone, and calls it back
            attempt.checked_at = self._now
            self._probe(worker)
            # danger: its deadline ends a short job first, and then nothing would set the worker aside
            due = min(self._now + probing.WITHIN, job.deadline - 2 * self._set.tick)
        if due > self._now:
            self._agenda.at(due, self._check_silence, attempt)
            return
        self._set_aside(worker)
        if not job.over and self._set.may_cancel and self._may_send_again(job):
            self._out.append(api.CancelAttempt(job.id, attempt.number))

    def _noted(self, event: api.AttemptNote) -> None:
        job = self._jobs.get(event.job)
        if job is None or event.attempt >= len(job.attempts):
            return
        attempt = job.attempts[event.attempt]
        worker = attempt.worker
        self._alive(worker)
        if attempt.out and not attempt.started_at:
            attempt.started_at = self._now
            self._guesses.note(attempt, True)
            attempt.waits_no_more()
            self._update(worker)

    def _check_start(self, attempt: Attempt) -> None:
        """Danger: a job that has not started soon waits behind others, whatever reports say."""
        worker, job = attempt.worker, attempt.job
        if not attempt.out or attempt.started_at:
            return
        if not attempt.waits:
            self._guesses.note(attempt, False)
            attempt.waits = True
            worker.waiting += 1
            worker.seen_full(self._now, worker.slots_out - job.slots)
            self._update(worker)
        if job.over or not self._set.may_cancel or job.cls.effect is not Effect.SAFE:
            return
        late = job.too_late(self._now, self._service[job.cls.name].mean)
        if late or (self._may_send_again(job) and self._place(job, self._reserves[:2]) is not None):
            self._out.append(api.CancelAttempt(job.id, attempt.number))
            if late:  # danger: what waits beyond that takes the slots of jobs that could be in time
                self._settle(job, Reason.QUEUED)
        else:
            self._agenda.at(self._now + START_WITHIN, self._check_start, attempt)

    def _fault(self, worker: Worker) -> None:
        """Danger: a worker that fails quickly is always free and gets all that comes."""
        worker.faults = min(worker.faults + FAULT_PRICE, FAULTS_MOST)
        if worker.aside or self._aside < ASIDE_MOST * len(self.ring.workers):
            self._set_aside(worker)

    def _set_aside(self, worker: Worker) -> None:
        if not worker.aside:
            worker.aside = True
            self._aside += 1
            self._running_slots -= worker.slots_out  # danger: its attempts would hold Res_max
        elif worker.trial or worker.aside_until > self._now:
            return
        worker.aside_until = self._now + (ASIDE_PAUSE << min(worker.asides, DOUBLINGS))
        worker.asides += 1
        self._update(worker)
        self._agenda.at(worker.aside_until, self._try_aside, worker)

    def _try_aside(self, worker: Worker) -> None:
        worker.trial = worker.aside and self._now >= worker.aside_until
        self._update(worker)

    def _update(self, worker: Worker) -> None:
        """Sets the worker's bits in the ring."""
        takes = not worker.aside or worker.trial
        if worker.entry.state is not WorkerState.UP or worker.paused or worker.waiting:
            takes = False  # danger: nothing new goes to a worker that drains or is gone
        self.ring.mark(worker, takes, cold=worker.cold_until > self._now)

    # The worker list

    def _ask_after(self, pause: int) -> None:
        self._agenda.at(self._now + pause, self._ask)

    def _ask(self) -> None:
        self._asked_at = self._now
        self._out.append(api.Subscribe(True))

    def _listed(self, event: api.WorkerList) -> None:
        if event.kind is ListKind.LOST:  # the old list stays
            self._ask_after(self._calls.failed(self._now - self._asked_at))
            return
        self._calls.answered()
        self._asked_at = 0  # what is lost from now on is the watch
        if event.kind is not ListKind.CHANGES:
            listed = {entry.worker for entry in event.entries}
            for worker in self._workers.values():
                if worker.id not in listed:
                    worker.entry = replace(worker.entry, state=WorkerState.GONE)
        self.ring.starts.take(event.entries, self._now, event.kind)
        for entry in event.entries:
            self._take_entry(entry)
        self.ring.sort(self._workers)
        self._note_usual()
        for worker in self.ring.workers:
            self._update(worker)

    def _take_entry(self, entry: api.WorkerEntry) -> None:
        worker = self._workers.setdefault(entry.worker, Worker(entry.worker, entry))
        if worker.relist(entry, self._set.cold_time, self.ring.starts.of(worker.id)):
            worker.forget()
            self._alive(worker)
        full = self.ring.full_weight(entry)
        if self._set.live_weights:
            newer = self._now - max(LIST_AGE, TOLD_BEFORE // self._set.dispatchers)
            worker.take_weight(self._now - LIST_AGE, newer, full, self._usual[0])
        if worker.cold_until > self._now:
            self._agenda.at(worker.cold_until, self._update, worker)
