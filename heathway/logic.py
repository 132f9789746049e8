"""All decisions of one dispatcher. Its settings, events and actions are in heathway/api.py.

Admission and placement follow Hollfelder and Aberer, strategy 2 with EDF: a new session is admitted while
r * (|C| + 1) < tau, with r the mean load per session and |C| the number of sessions; held jobs are sent by
earliest deadline, first fit over the sorted worker ids. The records are in heathway/state.py.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop
from typing import Any

from heathway import api, probing, slow_start, state
from heathway.api import Effect, Group, ListKind, Outcome, Reason, WorkerState
from heathway.backoff import ListCallBackoff
from heathway.cold_shares import ColdShares
from heathway.state import Attempt, Job, Quota, Worker

MS = 1_000_000
PERIOD = 200 * MS  # length of a service period (k)
LOAD_PERIODS = 20  # periods in the mean load (lambda); over more, the mean lags when the fleet shrinks
TAU = 1.25  # sessions are admitted below this load; held jobs count in it, so queueing starts at 1
SESSION_IDLE = 2_000 * MS  # a session without jobs for this long is closed
REPORT_AGE = 800 * MS  # load reports are taken to be this old; own sends since then are added to them
WEIGHT_AGE = 1_000 * MS  # the same for the live weights of a list
REPORT_PRECEDENCE = 7_500 * MS  # divided by dispatchers: how long a known load outranks the coarser weights
REPORT_TRUST_TIME = 3_000 * MS  # over this time a known load gives way to the typical one
PAUSE_AFTER_FULL = 150 * MS  # a worker that was full gets no jobs for this long
MAX_DOUBLINGS = 3  # of a pause or an ejection, while the worker keeps failing
MAX_SKIPPED_JOBS = 8  # held jobs that fit nowhere and may be skipped for one that fits
EJECTION_TIME = 2_000 * MS  # after this, an ejected worker gets one trial job
MAX_EJECTED_SHARE = 0.3  # of the workers; above it, silence and faults are taken to have a common cause
SILENCE_FACTOR = 4.0  # silence limit: mean plus this many deviations of the service time (as TCP's RTO)
AVERAGE_WEIGHT = 0.05  # weight of a new service time in the averages
ZONE_CONNECT_FAILURES = 3  # in a row, without an answer between: the zone counts as unreachable
START_TIMEOUT = 40 * MS  # a worker that has room has reported a job's start by then
ANSWERS_PER_FAULT = 2  # good answers that make up for one fault
MAX_FAULT_SCORE = 4  # good answers that make up for any number of faults
FAULT_ERROR_RATE = 0.3  # errors a second; a load report with this rate or more is a fault


class Dispatcher:
    """Decides for one dispatcher: its host passes events to ``handle`` and carries out the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._classes = {cls.name: cls for cls in settings.classes}
        self._service_time = {cls.name: state.ServiceTime(cls.aim, cls.aim / 4) for cls in settings.classes}
        # slots to leave free; a full worker (-1) is worth a try only if a job that waits there shows at once
        self._reserves = (1.0, 0.0, -1.0) if settings.tells_start else (1.0, 0.0)
        self._now = 0
        self._actions: list[api.Action] = []
        self._jobs: dict[int, Job] = {}
        self._held = state.HeldJobs()
        self._running_slots = 0.0
        self._sessions = state.Sessions()
        self._quotas = {t.name: Quota(t.allowance_per_s / settings.dispatchers) for t in settings.tenants}
        self._worth_stats = state.WorthStats(settings.worth_by_work)
        self._load_per_session: deque[float] = deque(maxlen=LOAD_PERIODS)  # r: l / |C| of past periods
        self._workers: dict[str, Worker] = {}
        self.ring = state.Ring(settings.cold_time)
        self._cold_shares = ColdShares(settings, self.ring.start_times)
        self._keys = state.KeyShares(settings.me % settings.dispatchers / settings.dispatchers)
        self._probes = probing.ProbeBudget(settings.probe_price)
        self._list_backoff = ListCallBackoff(settings.dispatchers, settings.ask_within, self._random)
        self._ejected_count = 0
        self._timers = state.TimerQueue()
        self._room_accuracy = state.RoomAccuracy()
        self._typical = (0.0, 0.0)  # of a worker: size, slots that other dispatchers use
        self._next_period = self._sessions_settled_at = self._timer_at = self._list_asked_at = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.WorkerList: self._on_worker_list,
            api.JobArrived: self._on_job_arrived,
            api.JobWithdrawn: self._on_job_withdrawn,
            api.AttemptEnded: self._on_attempt_ended,
            api.AttemptNote: self._on_attempt_note,
            api.StreamStarted: self._on_stream_started,
            api.ProbeEnded: self._on_probe_ended,
            api.PredecessorState: lambda event: self._cold_shares.predecessor_state(event, self._now),
        }

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Handles what happened at ``now`` (ns, never going back) and returns what to do, in order."""
        self._now, self._actions = now, []
        if not self._timer_at:
            # at first every session has a job open, so the load per session would be far too high
            self._sessions_settled_at = now + SESSION_IDLE
            self._cold_shares.process_started(now)
            if self._settings.asks_for_list:
                self._schedule_list_call(self._list_backoff.first_delay())
        for event in events:
            if type(event) in self._handlers:
                self._handlers[type(event)](event)
        self._timers.run_due(now)
        if now >= self._next_period:
            self._end_period()
        for queue in self._held.queues.values():
            self._release_held(queue)
        due = max(now + self._settings.tick, self._held.next_start(self._timers.next_due(self._next_period)))
        if self._timer_at <= now + self._settings.tick or due < self._timer_at:  # timers may fire early
            self._timer_at = due
            self._actions.append(api.SetTimer(due - now, "wake"))
        return self._actions

    # Admission

    def _end_period(self) -> None:
        """Notes l / |C| of the period, closes idle sessions and probes silent workers."""
        self._update_typical()
        self._probe_silent()
        if self._sessions and self._now >= self._sessions_settled_at:  # none: no load per session
            load = (self._held.slots + self._running_slots) / max(1.0, self._capacity())
            self._load_per_session.append(load / len(self._sessions))
        self._sessions.close_idle(self._now - SESSION_IDLE, self._now)
        self._next_period = self._now + PERIOD

    def _capacity(self) -> float:
        """Res_max: own running slots and all free slots of the fleet, as if no other dispatcher used them."""
        return self._running_slots + self.ring.total_free(self._now, REPORT_TRUST_TIME, self._typical)

    def _update_typical(self) -> None:
        after = self._now - REPORT_TRUST_TIME
        self._typical = self.ring.typical_load(self._running_slots, self._settings.dispatchers, after)

    def _admits(self, cls: api.JobClass) -> bool:
        if not self._sessions or not self._load_per_session:  # no mean: by free room
            return self.ring.available != 0 or self._held.slots <= self._running_slots
        if self._worth_stats.is_valuable(cls, self._service_time[cls.name].mean):
            return True  # shedding it would lose more worth than other jobs gain from its slots
        load = sum(self._load_per_session) / len(self._load_per_session) * (len(self._sessions) + 1)
        return load < TAU or self._worth_stats.is_starved(cls, TAU / load)

    def _on_job_arrived(self, event: api.JobArrived) -> None:
        cls = self._classes.get(event.job_class)
        if cls is None:  # whether it may run twice is not known
            self._actions.append(api.Refuse(event.job, 0, Reason.UNKNOWN_CLASS))
            return
        name = (event.tenant, event.key) if event.tenant or event.key is not None else event.job
        work = self._service_time[cls.name].mean if event.work_hint is None else event.work_hint
        deadline = self._now + event.time_left
        aim_at = min(self._now + (event.wanted or cls.aim + int(cls.stretch * work)), deadline)
        job = Job(
            event.job, cls, name, event.slots, event.memory, aim_at, deadline, self._keys.start(event.key)
        )
        job.max_sends = min(event.most_attempts or self._settings.max_attempts, self._settings.max_attempts)
        job.resend, job.pause, self._jobs[job.id] = event.resend, event.pause, job
        job.target_known = event.work_hint is not None or event.wanted > 0
        job.tried_before = tuple(self._workers[name] for name in event.tried if name in self._workers)
        self._probes.job_arrived()
        self._worth_stats.job_arrived(cls, self._service_time[cls.name].mean)
        # a tenant must not flood the fleet through open sessions: beyond its quota, each job needs admission
        quota = self._quotas.get(event.tenant or "")
        within = quota is None or quota.take(self._now)
        if not (within and name in self._sessions) and not self._admits(cls):
            self._give_up(job, Reason.NOT_ADMITTED)
            return
        self._worth_stats.job_admitted(cls)
        self._sessions.job_arrived(name, self._now)
        self._hold(job)

    # Holding and release

    def _hold(self, job: Job) -> None:
        """Queues a job by the latest start that still makes an answer in time."""
        if job.over:
            return
        last = job.deadline - 2 * self._settings.tick  # the answer must be out by the deadline
        start_by = min(job.latest_start(self._service_time[job.cls.name].mean), last)
        # after a slowdown no start may seem to be in time: a free slot is tried at least once all the same
        self._held.add(job, max(start_by, self._now + 1))

    def _release_held(self, queue: list[tuple[int, int, Job]]) -> None:
        skipped: list[tuple[int, int, Job]] = []
        while queue:
            start_by, _, job = queue[0]
            if job.held and start_by <= self._now:
                self._give_up(job, self.ring.hold_reason(job))  # late, it would waste a slot others need
            if job.held:
                worker = self._choose_worker(job, self._reserves)
                if worker is not None:
                    self._send(job, worker)
                elif self.ring.available and len(skipped) < MAX_SKIPPED_JOBS:
                    skipped.append(queue[0])  # a large or restricted job must not block the others
                else:
                    break
            heappop(queue)
        self._held.put_back(queue, skipped)

    def _choose_worker(self, job: Job, reserves: tuple[float, ...]) -> Worker | None:
        """First fit from the job's start on the ring, if possible with room to spare and in the own zone."""
        ring, settings = self.ring, self._settings
        kind = job.cls.worker_kind
        mask = ring.available if kind is None else ring.available & ring.group("kind", kind)
        mask &= self._repeat_group(job, job.possible_run())
        if job.cls.effect is Effect.UNSAFE:
            mask &= ~ring.trials  # if the worker still hangs, the job is lost: it can't be sent again
        if 2 * len(job.attempts) >= settings.max_attempts:
            mask &= ring.reported  # its last attempts must not go to workers of unknown load
        mask &= ~job.tried_mask()
        # unreachable workers always look free and would get all jobs; on trial they get one
        mask &= ~ring.unreachable(ZONE_CONNECT_FAILURES, settings.zone) | ring.trials
        warm = mask & ~ring.cold
        start = int(len(ring.workers) * job.ring_start)
        # own zone first: sent to a zone that is then cut off, a job bound to its worker's group would be lost
        own = ring.group("zone", settings.zone)
        parts = [(part, reserve) for reserve in reserves for part in (warm & own, warm & ~own)]
        # used last, cold workers would idle beside full ones; but a single long booking can overload them
        at = 0 if self._room_accuracy.mostly_wrong() else 2
        parts.insert(at if job.cls.effect is Effect.SAFE else len(parts), (mask & ring.cold, 0.0))
        for part, reserve in parts:
            for worker in ring.walk(part, start):
                if self._fits(worker, job, reserve):
                    return worker
        return None

    def _repeat_group(self, job: Job, possible_run: Attempt | None) -> int:
        """Where a job may run again: for a while, at the workers that drop its repeats; -1: anywhere."""
        if possible_run is None or job.cls.effect is not Effect.KEYED:
            return -1
        if self._now + self._settings.tick >= possible_run.sent_at + job.cls.window:
            return 0
        return self.ring.dedup_group(possible_run.worker, job.cls.group)

    def _fits(self, worker: Worker, job: Job, reserve: float) -> bool:
        free = worker.estimated_free(self._now, REPORT_TRUST_TIME, self._typical)
        if worker.on_trial:
            slots = True
        elif free is None:  # size unknown: room for one job if the weight shows no load
            slots = reserve <= 0 and not worker.attempts and worker.seems_idle()
        else:
            slots = free + 0.5 >= job.slots + reserve
        memory = worker.memory is None or worker.memory >= job.memory
        return slots and memory and (worker.cold_until <= self._now or self._cold_share_allows(worker, job))

    def _cold_share_allows(self, worker: Worker, job: Job) -> bool:
        """Whether a job fits this dispatcher's share of what a cold worker can take from the whole fleet."""
        capacity = slow_start.expected_capacity(self._settings, worker.started_at, self._now)
        mean = self._service_time[job.cls.name].mean
        if self._now + mean / capacity > job.aim_at and self.ring.available & ~self.ring.cold:
            return False  # it would be late there, and warm workers may get free
        if self._cold_shares.predecessors_may_use(worker, self._now):
            return False
        size = self.ring.size_when_warm(worker, self._typical[0], self._settings.live_weights)
        runs = (None, worker.entry.kind)
        means = (self._service_time[c.name].mean for c in self._settings.classes if c.worker_kind in runs)
        return self._cold_shares.allows(worker, mean * max(1.0, job.slots), size, means, self._now)

    def _send(self, job: Job, worker: Worker) -> None:
        self._held.remove(job)
        attempt = Attempt(job, len(job.attempts), worker, self._now)
        job.attempts.append(attempt)
        self._actions.append(api.Send(job.id, worker.id))
        attempt.room_expected = not worker.on_trial and worker.cold_until <= self._now
        worker.on_trial = False
        worker.sent(self._now, job.slots, self._service_time[job.cls.name].mean, self._settings.fall_window)
        self._adjust_load(worker, job, 1)
        self._update_ring(worker)
        self._timers.call_at(
            self._now + self._service_time[job.cls.name].bound(SILENCE_FACTOR), self._check_silence, attempt
        )
        if self._settings.tells_start:
            self._timers.call_at(self._now + START_TIMEOUT, self._check_start, attempt)

    def _adjust_load(self, worker: Worker, job: Job, sign: int) -> None:
        """Counts a sent (1) or ended (-1) job at once: reports lag, and its slot would be used repeatedly."""
        worker.adjust_load(self._now, job, sign)
        if not worker.ejected:
            self._running_slots += sign * job.slots

    # Ends of attempts and jobs

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        job = self._jobs.get(event.job)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].in_flight:
            return
        attempt = job.attempts[event.attempt]
        worker = attempt.worker
        attempt.in_flight = False
        attempt.never_ran = event.outcome in api.NEVER_RAN
        attempt.clear_start_overdue()
        self._adjust_load(worker, job, -1)
        if event.outcome is Outcome.OK:
            self._room_accuracy.record(attempt, True)
            worker.fault_score = max(0, worker.fault_score - 1)
        if event.outcome in api.ALIVE_OUTCOMES:
            self._mark_alive(worker)
        if event.outcome is Outcome.FULL:
            self._room_accuracy.record(attempt, False)
            self._pause(worker)
        elif event.report is not None:
            self._apply_report(worker, event.report)
            if (error_rate := event.report.errors) and error_rate >= FAULT_ERROR_RATE and not worker.ejected:
                self._record_fault(worker)
        if event.outcome in api.FAULT_OUTCOMES:
            self._record_fault(worker)
        if event.outcome is Outcome.CONNECT_FAILED:
            self._eject(worker)
            self.ring.connect_failures[worker.entry.zone] += 1
        elif event.outcome is Outcome.OK:
            worker.full_count = 0
            ran = self._now - attempt.started_at if attempt.started_at else event.elapsed
            self._service_time[job.cls.name].update(ran, AVERAGE_WEIGHT)
        self._update_ring(worker)
        if event.last or job.over:
            self._close(job)
        elif not job.held and not job.in_flight():
            in_time = event.outcome is not Outcome.MOOT and self._now < job.deadline - 2 * self._settings.tick
            again = in_time and event.retry and self._may_send_again(job)
            ran = event.outcome not in api.NEVER_RAN and not self._may_send_again(job)
            self._retry(job) if again else self._give_up(
                job, Reason.MAY_HAVE_RUN if ran else Reason.NO_ATTEMPTS
            )

    def _retry(self, job: Job) -> None:
        if job.pause and self._now + job.pause < job.deadline - 2 * self._settings.tick:
            self._timers.call_at(self._now + job.pause, self._hold, job)
        else:
            self._hold(job)

    def _may_send_again(self, job: Job) -> bool:
        """Whether another attempt is allowed: a job that must not run twice may have run already."""
        possible_run, effect = job.possible_run(), job.cls.effect
        allowed = possible_run is None or (effect is Effect.SAFE and job.resend)
        allowed = allowed or (effect is Effect.KEYED and self._repeat_group(job, possible_run) != 0)
        return allowed and len(job.attempts) < job.max_sends

    def _may_refuse(self, job: Job) -> bool:
        """Whether a refusal is allowed: clients may repeat refused jobs, which then must do no harm."""
        everywhere = job.cls.effect is Effect.KEYED and job.cls.group is Group.ALL
        return everywhere or job.cls.effect is Effect.SAFE or job.possible_run() is None

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        """The answer is on its way to the client: no other is owed, and the attempt must not be cancelled."""
        self._mark_alive(self._workers.get(event.worker))
        if event.job in self._jobs:
            self._close(self._jobs[event.job])

    def _on_job_withdrawn(self, event: api.JobWithdrawn) -> None:
        job = self._jobs.get(event.job)
        if job is not None and not job.over:
            if self._settings.may_cancel:
                self._actions.extend(api.CancelAttempt(job.id, a.number) for a in job.attempts if a.in_flight)
            self._close(job)

    def _give_up(self, job: Job, why: Reason) -> None:
        """Gives the final answer: a refusal where that is allowed, else a failure."""
        if self._may_refuse(job):
            pause = min(PERIOD, self._settings.max_retry_after) if self._settings.gives_retry_after else 0
            self._actions.append(api.Refuse(job.id, pause, why))
        else:
            self._actions.append(api.Fail(job.id, why))
        self._close(job)

    def _close(self, job: Job) -> None:
        self._held.remove(job)
        if not job.over:
            self._sessions.job_over(job.session)
        job.over = True
        if not job.in_flight():
            self._jobs.pop(job.id, None)

    # Health of workers

    def _probe_silent(self) -> None:
        """Probes workers without news: one without jobs sends no reports, and one with long jobs few."""
        if not self._settings.may_probe or not self._settings.report_fields:
            return
        up = (w for w in self.ring.workers if w.entry.state is WorkerState.UP)
        for worker in sorted(up, key=lambda worker: worker.checked_at):
            if worker.checked_at + probing.PROBE_AFTER > self._now or not self._probes.take(probing.RESERVE):
                break
            self._probe(worker)

    def _probe(self, worker: Worker) -> None:
        worker.checked_at = self._now
        self._actions.append(api.Probe(worker.id))

    def _on_probe_ended(self, event: api.ProbeEnded) -> None:
        worker = self._workers.get(event.worker)
        if worker is None:
            return
        if event.report is not None:
            self._apply_report(worker, event.report)
        if event.outcome is Outcome.CONNECT_FAILED:
            self._eject(worker)
        elif event.outcome is not Outcome.TIMEOUT:  # any answer shows a live process
            self._mark_alive(worker)

    def _apply_report(self, worker: Worker, report: api.LoadReport) -> None:
        worker.checked_at = self._now
        if self._now - REPORT_AGE > worker.load_observed_at:  # else what is known is newer
            worker.apply_report(self._now - REPORT_AGE, report)

    def _pause(self, worker: Worker) -> None:
        """Pauses a full worker: jobs would use up their attempts on one full worker after another."""
        worker.mark_full(self._now, worker.slots_in_flight)
        if not worker.paused:
            worker.paused = True
            self._timers.call_at(
                self._now + (PAUSE_AFTER_FULL << min(worker.full_count, MAX_DOUBLINGS)), self._resume, worker
            )
            worker.full_count += 1

    def _resume(self, worker: Worker) -> None:
        worker.paused = False
        self._update_ring(worker)

    def _mark_alive(self, worker: Worker | None) -> None:
        if worker is None:
            return
        worker.alive_at = self._now
        self.ring.connect_failures[worker.entry.zone] = 0
        if worker.ejected and worker.fault_score:  # failing workers also give some good answers
            worker.on_trial = True
            self._update_ring(worker)
        elif worker.ejected:
            worker.ejected, worker.on_trial, worker.ejections = False, False, 0
            self._ejected_count -= 1
            self._running_slots += worker.slots_in_flight
            self._update_ring(worker)

    def _check_silence(self, attempt: Attempt) -> None:
        """Ejects a worker that is silent for longer than its jobs explain: it may hang, and take jobs without
        ever answering. An attempt there is cancelled if the job may run again."""
        worker, job = attempt.worker, attempt.job
        if not attempt.in_flight or (job.over and job.cls.streaming):
            return
        limit = self._service_time[job.cls.name].bound(SILENCE_FACTOR)
        due = max(worker.alive_at, attempt.sent_at) + limit
        if not worker.ejected and self._ejected_count >= MAX_EJECTED_SHARE * len(self.ring.workers):
            due = max(due, self._now + limit)  # many at once: a common slowdown or a network cut
        check = (
            worker.alive_at >= attempt.probed_at and self._now < attempt.sent_at + probing.PROBE_LIMIT * limit
        )
        check = check and self._settings.may_probe and not worker.ejected
        if due <= self._now and check and self._probes.take():
            # in a large fleet, this long job may be the only sign of the worker: probe before cancelling it
            attempt.probed_at = self._now
            self._probe(worker)
            # check before the deadline, which ends the attempt: after it nothing would eject the worker
            due = min(self._now + probing.PROBE_TIMEOUT, job.deadline - 2 * self._settings.tick)
        if due > self._now:
            self._timers.call_at(due, self._check_silence, attempt)
            return
        self._eject(worker)
        if not job.over and self._settings.may_cancel and self._may_send_again(job):
            self._actions.append(api.CancelAttempt(job.id, attempt.number))

    def _on_attempt_note(self, event: api.AttemptNote) -> None:
        job = self._jobs.get(event.job)
        if job is None or event.attempt >= len(job.attempts):
            return
        attempt = job.attempts[event.attempt]
        worker = attempt.worker
        self._mark_alive(worker)
        if attempt.in_flight and not attempt.started_at:
            attempt.started_at = self._now
            self._room_accuracy.record(attempt, True)
            attempt.clear_start_overdue()
            self._update_ring(worker)

    def _check_start(self, attempt: Attempt) -> None:
        """Moves a job that has not started in time: it waits behind others, whatever the reports say."""
        worker, job = attempt.worker, attempt.job
        if not attempt.in_flight or attempt.started_at:
            return
        if not attempt.start_overdue:
            self._room_accuracy.record(attempt, False)
            attempt.start_overdue = True
            worker.overdue_starts += 1
            worker.mark_full(self._now, worker.slots_in_flight - job.slots)
            self._update_ring(worker)
        if job.over or not self._settings.may_cancel or job.cls.effect is not Effect.SAFE:
            return
        late = job.too_late(self._now, self._service_time[job.cls.name].mean)
        if late or (self._may_send_again(job) and self._choose_worker(job, self._reserves[:2]) is not None):
            self._actions.append(api.CancelAttempt(job.id, attempt.number))
            if late:  # waiting on, it would take a slot from jobs that can be in time
                self._give_up(job, Reason.QUEUED)
        else:
            self._timers.call_at(self._now + START_TIMEOUT, self._check_start, attempt)

    def _record_fault(self, worker: Worker) -> None:
        """Ejects a worker for a fault: one that fails quickly always looks free and would get all jobs."""
        worker.fault_score = min(worker.fault_score + ANSWERS_PER_FAULT, MAX_FAULT_SCORE)
        if worker.ejected or self._ejected_count < MAX_EJECTED_SHARE * len(self.ring.workers):
            self._eject(worker)

    def _eject(self, worker: Worker) -> None:
        if not worker.ejected:
            worker.ejected = True
            self._ejected_count += 1
            self._running_slots -= worker.slots_in_flight  # attempts there are no capacity (Res_max)
        elif worker.on_trial or worker.ejected_until > self._now:
            return
        worker.ejected_until = self._now + (EJECTION_TIME << min(worker.ejections, MAX_DOUBLINGS))
        worker.ejections += 1
        self._update_ring(worker)
        self._timers.call_at(worker.ejected_until, self._start_trial, worker)

    def _start_trial(self, worker: Worker) -> None:
        worker.on_trial = worker.ejected and self._now >= worker.ejected_until
        self._update_ring(worker)

    def _update_ring(self, worker: Worker) -> None:
        takes = not worker.ejected or worker.on_trial
        if worker.entry.state is not WorkerState.UP or worker.paused or worker.overdue_starts:
            takes = False  # a draining worker, too, gets nothing new
        self.ring.mark(worker, takes, cold=worker.cold_until > self._now)

    # The worker list

    def _schedule_list_call(self, pause: int) -> None:
        self._timers.call_at(self._now + pause, self._call_for_list)

    def _call_for_list(self) -> None:
        self._list_asked_at = self._now
        self._actions.append(api.Subscribe(True))

    def _on_worker_list(self, event: api.WorkerList) -> None:
        if event.kind is ListKind.LOST:  # the old list stays in use
            self._schedule_list_call(self._list_backoff.retry_delay(self._now - self._list_asked_at))
            return
        self._list_backoff.reset()
        self._list_asked_at = 0  # from now on, a loss is one of the watch, not of a call
        if event.kind is not ListKind.CHANGES:
            listed = {entry.worker for entry in event.entries}
            for worker in self._workers.values():
                if worker.id not in listed:
                    worker.entry = replace(worker.entry, state=WorkerState.GONE)
        self.ring.start_times.apply_list(event.entries, self._now, event.kind)
        for entry in event.entries:
            self._apply_entry(entry)
        self.ring.rebuild(self._workers)
        self._update_typical()
        for worker in self.ring.workers:
            self._update_ring(worker)

    def _apply_entry(self, entry: api.WorkerEntry) -> None:
        worker = self._workers.setdefault(entry.worker, Worker(entry.worker, entry))
        if worker.apply_entry(entry, self._settings.cold_time, self.ring.start_times):
            worker.reset_load()
            self._mark_alive(worker)
        idle_weight = self.ring.update_idle_weight(entry)
        if self._settings.live_weights:
            stale_before = self._now - max(WEIGHT_AGE, REPORT_PRECEDENCE // self._settings.dispatchers)
            worker.apply_weight(self._now - WEIGHT_AGE, stale_before, idle_weight, self._typical[0])
        if worker.cold_until > self._now:
            self._timers.call_at(worker.cold_until, self._update_ring, worker)
