"""A dispatcher's part in rollouts: feeds its list of workers and its attempts to the rollouts' machine."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from heathway import api
from ironbarrow.core.endings import Ending, outcome_of
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.fleet.api import FleetEvent, Ledgers, MemberChanged
from ironbarrow.fleet.file import FleetError, RolloutRules
from ironbarrow.fleet.rollout.commands import StarvationReport
from ironbarrow.fleet.rollout.coordinator import ListedTarget, RolloutChanged, RolloutMachine
from ironbarrow.fleet.rollout.plan import Inventory, Plan, PlanError, Target, parse
from ironbarrow.fleet.rollout.records import LEDGER_PREFIX, Stage
from ironbarrow.fleet.rollout.signals import AttemptEnd
from ironbarrow.fleet.service import FleetService
from ironbarrow.runtime.loop import MS, Loop

log = structlog.get_logger()

_START_RETRY_INTERVAL = 200 * MS  # between checks whether the plan can be started
_AVERAGED_JOBS = 16  # jobs; weight of the moving average of a job class's duration
_END_BY_OUTCOME = {
    api.Outcome.OK: AttemptEnd.DONE,
    api.Outcome.ERROR: AttemptEnd.FAILED,
    api.Outcome.RESET: AttemptEnd.RESET,
}
_WARNING_STAGES = (Stage.STOPPED, Stage.HELD, Stage.BACK, Stage.WENT_BACK)


def _to_unix(now: int) -> int:
    """Converts the loop's time to Unix time, ns: they are the same."""
    return now


class RolloutParticipant:
    """Lasts as long as the process; ``machine`` is replaced in each incarnation of the member.

    Raises a FleetError for a plan that can't be read, a PlanError for one that can't be used."""

    machine: RolloutMachine

    def __init__(
        self,
        loop: Loop,
        host: Host,
        service: FleetService,
        rules: RolloutRules,
        ledgers: Callable[[], Ledgers],
    ) -> None:
        """``ledgers`` returns the ledgers of the service's current incarnation."""
        self._loop, self._host, self._service, self._rules = loop, host, service, rules
        self._targets: dict[str, ListedTarget] = {}
        self._absent: dict[str, int] = {}  # targets that are no longer listed: since when, ns
        # running attempts: when their worker's process and they themselves (0: not yet) started, ns
        self._sent: dict[Attempt, tuple[int, int]] = {}
        self._usual_times: dict[str, float] = {}  # by job class: average duration here, ns
        self._plan: tuple[bytes, Plan] | None = None
        self._update_targets()
        if rules.plan:
            self._plan = self._read_plan(Path(rules.plan))
            loop.call_at(loop.now() + rules.meet, self._start_rollout)
        host.attempt_observer, host.on_worker_list = self, self._worker_list_changed
        self._ledgers = ledgers
        self._starvation_event: type[FleetEvent] | None = None
        if service.fleet.starvation is not None:
            from ironbarrow.fleet.starvation.verdict import StarvationBegan

            self._starvation_event = StarvationBegan
        self._add_machine(service)
        service.on_new_incarnation(self._add_machine)
        service.subscribe(self._on_event)

    def _add_machine(self, service: FleetService) -> None:
        """Adds the machine of a new incarnation of the member."""
        self.machine = RolloutMachine(service.members, self._ledgers(), _to_unix, self._host.settings)
        self.machine.waiting_slots = lambda: self._host.slots_waiting
        self.machine.update_targets(self._loop.now(), self._targets.values())
        service.add(self.machine)

    # The plan

    def _read_plan(self, path: Path) -> tuple[bytes, Plan]:
        """Reads and checks the plan, also against the workers if any are known.

        Raises a FleetError if the file can't be read, and a PlanError for a plan that can't be used."""
        try:
            text = path.read_bytes()
            settings = self._host.settings
            classes = {cls.name: cls.worker_kind for cls in settings.classes}
            known = Inventory(
                tuple(listed_target.target for listed_target in self._targets.values()), classes
            )
            return text, parse(text, str(path), known if self._targets else None)
        except OSError as error:
            raise FleetError(f"rollout.plan: {path}: can't be read: {error.strerror}") from None

    def _start_rollout(self) -> None:
        """Starts the rollout once workers are listed and another member is known.

        A process that restarts must not begin a rollout again that is running or done. It knows of that from
        the card of the rollout's coordinator, which announces the ledger and which all members remember."""
        if self._plan is None:
            return
        if not self._targets or len(self._service.members.alive()) < 2:
            self._loop.call_at(self._loop.now() + _START_RETRY_INTERVAL, self._start_rollout)
            return
        (text, plan), self._plan = self._plan, None
        if self.machine.known_ledger == LEDGER_PREFIX + plan.name:
            log.info("rollout is already running or done", plan=plan.name)
            return
        try:
            self._service.carry_out(self.machine.start(self._loop.now(), text, self._rules.plan))
            log.info("rollout begins", plan=plan.name, runtime=plan.runtime)
        except PlanError as error:
            log.error("rollout not started", error=str(error))

    # Events

    def _on_event(self, event: FleetEvent) -> None:
        """Logs the stages of rollouts, and passes all other events of this member to the machine."""
        if isinstance(event, RolloutChanged):
            report_stage = log.warning if event.stage in _WARNING_STAGES else log.info
            report_stage(
                "rollout",
                plan=event.name,
                stage=event.stage.name.lower(),
                wave=event.wave,
                rule=event.rule,
                figures=event.details,
            )
        elif self._starvation_event is not None and isinstance(event, self._starvation_event):
            self._on_starvation(event)
        else:
            self._service.carry_out(self.machine.on_event(self._loop.now(), event))
            if isinstance(event, MemberChanged):
                self._drop_absent()

    def _on_starvation(self, event: Any) -> None:
        """Tells the rollout of a tenant that starves at this member."""
        seen = StarvationReport(event.tenant, event.partition, event.began_at)
        self._service.carry_out(self.machine.report_starvation(self._loop.now(), seen))

    # The list of workers

    def _worker_list_changed(self) -> None:
        self._update_targets()
        self.machine.update_targets(self._loop.now(), self._targets.values())

    def _update_targets(self) -> None:
        """Updates the targets from the list of workers.

        A target's slots are the most that its worker was ever listed with, as live weights fall with load."""
        now, listed = self._loop.now(), set()
        for entry in self._host.workers:
            if entry.state is api.WorkerState.GONE:
                continue
            listed.add(entry.worker)
            known = self._targets.get(entry.worker)
            slots = max(entry.weight, known.target.slots if known is not None else 0.0)
            target = Target(entry.worker, entry.zone, entry.kind, slots)
            self._targets[entry.worker] = ListedTarget(
                target, entry.state is api.WorkerState.UP, entry.started_at
            )
            self._absent.pop(entry.worker, None)
        for name, listed_target in self._targets.items():
            if name not in listed and name not in self._absent:
                self._absent[name] = now
                self._targets[name] = ListedTarget(listed_target.target, False, listed_target.started_at)
        self._drop_absent()

    def _drop_absent(self) -> None:
        """Drops targets that have not been listed for ``absent_for``. A worker that is being replaced is not
        listed for a while but must remain a target."""
        now = self._loop.now()
        for name in [n for n, since in self._absent.items() if now > since + self._rules.absent_for]:
            del self._absent[name], self._targets[name]

    # The host's observer of attempts

    def sent(self, attempt: Attempt) -> None:
        """Notes that an attempt is sent."""
        if not self.machine.known_ledger:
            return
        listed = self._targets.get(attempt.worker)
        since = listed.started_at if listed is not None else 0
        self._sent[attempt] = since, 0
        request = attempt.job.arrival
        usual_time = int(self._usual_times.get(request.job_class, 0.0))
        self.machine.signals.attempt_sent(attempt.worker, since, request.job_class, usual_time, request.slots)

    def started(self, attempt: Attempt) -> None:
        """Notes that a worker has started an attempt."""
        sent = self._sent.get(attempt)
        if sent is not None:
            self._sent[attempt] = sent[0], self._loop.now()

    def ended(self, attempt: Attempt, ending: Ending, report: api.LoadReport | None) -> None:
        """Reports an attempt's end to the rollout's signals. An attempt whose request was not written
        completely says nothing about its worker's runtime, so it counts without an end."""
        worker_started, started = self._sent.pop(attempt, (-1, 0))
        if worker_started < 0:
            return
        end = _END_BY_OUTCOME.get(outcome_of(ending, attempt.written)) if attempt.written else None
        request = attempt.job.arrival
        elapsed = self._loop.now() - started if end is AttemptEnd.DONE and started else 0
        if elapsed:
            before = self._usual_times.get(request.job_class, float(elapsed))
            self._usual_times[request.job_class] = before + (elapsed - before) / _AVERAGED_JOBS
        free_slots = report.free_slots if report is not None else None
        worker, name = attempt.worker, request.job_class
        self.machine.signals.attempt_ended(
            worker, worker_started, name, request.slots, end, elapsed, free_slots
        )
