"""Coordinates a rollout. The coordinator is the member that writes the rollout's ledger. No input or output.

Every member has one of these machines. It learns from the members' cards where the rollout's ledger is, and
reports what it has seen to the coordinator. When the coordinator has died, it takes over the ledger itself:
the members do so in rendezvous order, each after a further delay. The epoch is the ledger's segment.

A step goes like this: the coordinator writes the entry ``ORDERED``. Once that is committed, it sends the
command and repeats it until the agent replies. Once the agent reports the target as up with that runtime, the
entry ``DONE`` is written. A coordinator that takes over finds every step whose command may have been sent. It
first asks that target's agent for its status: the agent then knows the new epoch and refuses commands of
older ones. Only then does the step continue, under the same number, which an agent carries out only once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from heathway import api, slow_start
from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Change,
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
    rank,
)
from ironbarrow.fleet.invariants import check
from ironbarrow.fleet.rollout import records, sizing
from ironbarrow.fleet.rollout.commands import (
    AGENT_PREFIX,
    AgentStatus,
    Command,
    DispatcherReport,
    Phase,
    StarvationReport,
)
from ironbarrow.fleet.rollout.plan import Inventory, Plan, PlanError, Target, parse
from ironbarrow.fleet.rollout.records import LEDGER_PREFIX, RolloutState, Stage, Step, StepStage
from ironbarrow.fleet.rollout.rules import Cause, Finding, RolloutEvaluator
from ironbarrow.fleet.rollout.signals import Signals
from ironbarrow.fleet.rollout.sizing import TargetCapacity
from ironbarrow.runtime.clock import MS, SECOND

CHECK_INTERVAL = 250 * MS  # between checks by the coordinator
REPORT_INTERVAL = SECOND  # between a member's reports to the coordinator
COMMAND_RETRY_INTERVAL = 500 * MS  # until a command without a reply is sent again
STATUS_POLL_INTERVAL = 2 * SECOND  # between status queries for a step that the agent has begun
SUCCESSION_DELAY = 2 * SECOND  # each further member in line waits this much longer before it takes over
LEAD_RETRY_DELAY = 3 * SECOND  # after a failed attempt to take over


@dataclass(frozen=True, slots=True)
class RolloutChanged(FleetEvent):
    """Reports the stage of a rollout, for logs and operators. ``details``: why it is paused, as text."""

    name: str
    stage: Stage
    wave: int
    rule: str = ""
    details: str = ""


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as it is listed now. ``started_at``: when its process started, Unix ns; 0: long ago."""

    target: Target
    up: bool = True
    started_at: int = 0


@dataclass(slots=True)
class _PendingStep:
    """A step that is not done yet, as this coordinator knows it."""

    step: Step
    committed: bool = False  # its entry is stored at a majority of replicas
    last_sent_at: int = -NEVER  # when a command or status query was last sent
    answered: bool = False  # the agent has replied in this epoch
    command_sent: bool = False  # the command was sent in this epoch
    begun: bool = False  # the agent has begun it
    command_sent_at: int = 0
    failed_starts: int = 0  # that were counted already
    crashes: int = 0


@dataclass(slots=True)
class _LedRollout:
    """The rollout that this member coordinates."""

    ledger: str
    epoch: int
    plan: Plan
    state: RolloutState
    evaluator: RolloutEvaluator
    steps: dict[str, Step]
    pending_steps: dict[str, _PendingStep] = field(default_factory=dict)
    number: int = 0  # of the last step
    committed_seq: int = 0  # the last committed entry of the ledger
    # by the number of the entry whose commit they wait for
    commit_callbacks: list[tuple[int, Callable[[], None]]] = field(default_factory=list)
    majority: bool = True
    # by worker's name and start (ms): its target, and whether it has the new runtime
    incarnations: dict[tuple[str, int], tuple[str, bool]] = field(default_factory=dict)
    began: bool = False
    look_at: int = 0
    # targets of steps that an earlier coordinator finished: when their status was last queried
    unconfirmed: dict[str, int] = field(default_factory=dict)
    last_crashes: dict[str, int] = field(default_factory=dict)
    waiting_reason: str = ""  # why no step starts now, though nothing is wrong


class RolloutMachine:
    """A member's part in rollouts: an ``api.Machine``. ``on_event`` gets the events of ledgers and
    members."""

    handles: tuple[type[Message], ...] = (AgentStatus, DispatcherReport, StarvationReport)

    def __init__(
        self,
        members: Members,
        ledgers: Ledgers,
        to_unix: Callable[[int], int],
        settings: api.Settings | None = None,
        classes: dict[str, str | None] | None = None,
    ) -> None:
        """``to_unix`` converts a time to Unix time; ``settings``: the dispatcher's, for the budget of cold
        workers; ``classes``: the kind of worker that each job class needs."""
        self._members, self._ledgers, self._to_unix, self._settings = members, ledgers, to_unix, settings
        if classes is None:
            classes = {c.name: c.worker_kind for c in settings.classes} if settings is not None else {}
        self.classes = classes
        self.me = members.me.incarnation
        self.signals = Signals(members.me.site)
        self.waiting_slots: Callable[[], float] = lambda: 0.0  # wanted by the jobs that wait here
        self.targets: dict[str, ListedTarget] = {}
        self.led: _LedRollout | None = None
        self.last_change: RolloutChanged | None = None  # the last one of a rollout coordinated here
        self._location: LedgerLocation | None = None
        self._writer: Incarnation | None = None
        self._dead_since: int | None = None
        self._lead_retry_at = 0  # a take-over is under way, or has failed: no other attempt before this
        self._starting: tuple[str, bytes, Plan] | None = None
        self._report_at = self._tick_at = 0
        self._sites_seen: set[str] = set()  # with a member at any time

    @property
    def known_ledger(self) -> str:
        """The ledger of the rollout that this member knows; "": none."""
        return self._location.ledger if self._location is not None else ""

    # Requests

    def start(self, now: int, text: bytes, source: str = "plan") -> list[Action]:
        """Starts a rollout. Raises a PlanError, with nothing changed, if the plan can't be used now."""
        inventory = Inventory(tuple(listed.target for listed in self.targets.values()), self.classes)
        plan = parse(text, source, inventory)
        ledger = LEDGER_PREFIX + plan.name
        if self._starting is not None or (
            self.led is not None and not self._is_finished(self.led.state.stage)
        ):
            raise PlanError(f"{source}: expected no rollout under way, got one ({self._current_ledger()})")
        if self._location is not None:
            same = self._location.ledger == ledger
            if same or not (self.led is not None and self._is_finished(self.led.state.stage)):
                expected = "a name that was not used" if same else "no rollout under way"
                raise PlanError(
                    f"{source}: name: expected {expected}, got {plan.name!r} ({self._current_ledger()})"
                )
        actions = self._ledgers.create(now, ledger)
        state = RolloutState(wave_began_at=self._to_unix(now))
        self._take_lead(now, LedgerLocation(ledger, 0, ()), plan, state, {})
        return [*actions, *self._append(now, [records.plan_change(text), records.state_change(state)])]

    def resume(self, now: int) -> list[Action]:
        """Resumes a stopped or held rollout for an operator; does nothing if this member leads none."""
        led = self.led
        if led is None or led.state.stage not in (Stage.STOPPED, Stage.HELD):
            return []
        led.evaluator.reset(now)
        led.evaluator.begin_wave(now, self._alive())
        return self._change_state(now, stage=Stage.RUNNING, rule="", details="")

    def roll_back(self, now: int) -> list[Action]:
        """Starts a rollback to the last good runtime for an operator."""
        led = self.led
        if led is None or led.state.stage in (Stage.BACK, Stage.WENT_BACK):
            return []
        return self._change_state(now, stage=Stage.BACK)

    def report_starvation(self, now: int, report: StarvationReport) -> list[Action]:
        """Passes a verdict of starvation to the coordinator."""
        if self.led is not None:
            self.led.evaluator.record_starvation(report)
            return []
        return [Send(self._writer, report)] if self._writer is not None else []

    def update_targets(self, now: int, targets: Iterable[ListedTarget]) -> None:
        """Takes the complete list of targets, from the discovery service or the list of members."""
        before, self.targets = self.targets, {listed.target.name: listed for listed in targets}
        if self.led is not None:
            for name, listed in self.targets.items():
                old = self.led.steps.get(name) is None and name in before
                if old and before[name].up and not listed.up:
                    # a process with the old runtime has gone, and no step replaces it
                    self.led.evaluator.record_crash(now, listed.target)
            for listed in self.targets.values():
                self._register_target(self.led, listed)

    @staticmethod
    def _is_finished(stage: Stage) -> bool:
        return stage in (Stage.DONE, Stage.WENT_BACK)

    def _current_ledger(self) -> str:
        return self._location.ledger if self._location is not None else "being started"

    # Events

    def on_event(self, now: int, event: FleetEvent) -> list[Action]:
        """Handles an event of this member's ledgers or of the members."""
        if isinstance(event, MemberChanged):
            self._on_member_changed(now, event)
            return []
        if isinstance(event, Moved) and event.at.ledger.startswith(LEDGER_PREFIX):
            return self._on_moved(now, event)
        led = self.led
        if (
            isinstance(event, ClaimFailed)
            and self._location is not None
            and event.ledger == self._location.ledger
        ):
            self._lead_retry_at = now + LEAD_RETRY_DELAY
            return []
        if led is None or getattr(event, "ledger", "") != led.ledger:
            return []
        if isinstance(event, Fenced):
            self.led = None  # another member leads it: nothing more is sent or written here
            self._dead_since = None
        elif isinstance(event, NoMajority):
            led.majority = event.restored
        elif isinstance(event, Committed):
            return self._on_committed(now, led, event.seq)
        return []

    def _on_member_changed(self, now: int, event: MemberChanged) -> None:
        for at in event.member.card.ledgers:
            self._note_location(at, event.member.card.incarnation)

    def _note_location(self, at: LedgerLocation, writer: Incarnation) -> None:
        if not at.ledger.startswith(LEDGER_PREFIX):
            return
        known = self._location
        newer = known is None or at.ledger != known.ledger or at.segment > known.segment
        if (
            known is not None
            and at.ledger != known.ledger
            and self.led is None
            and not self._is_superseded(at, writer)
        ):
            newer = True
        if newer and not self._is_superseded(at, writer):
            self._location, self._writer, self._dead_since = at, writer, None
        elif known is not None and at == known:
            self._writer = writer

    def _is_superseded(self, at: LedgerLocation, writer: Incarnation) -> bool:
        """Whether a card announces a rollout that another one has followed. Of two rollouts, the one whose
        writer is alive counts."""
        known = self._location
        if known is None or known.ledger == at.ledger:
            return False
        alive = (Health.ALIVE, Health.SUSPECT)
        return (
            self._writer is not None
            and self._members.health(self._writer) in alive
            and self._members.health(writer) not in alive
        )

    def _on_moved(self, now: int, event: Moved) -> list[Action]:
        self._location, self._writer, self._dead_since = event.at, self.me, None
        if self.led is not None and self.led.ledger == event.at.ledger:
            if event.content is None:
                self.led.epoch = max(self.led.epoch, event.at.segment)
            return []
        if event.content is None:
            return []
        self._lead_retry_at = 0
        content = records.parse_content(event.content)
        try:
            plan = parse(content.plan, event.at.ledger)
        except PlanError:
            return []  # the start of the rollout was not committed completely: nothing to continue
        self._take_lead(now, event.at, plan, content.state, content.steps)
        return []

    def _take_lead(
        self, now: int, at: LedgerLocation, plan: Plan, state: RolloutState, steps: dict[str, Step]
    ) -> None:
        cold_time = self._settings.cold_time if self._settings is not None else 0
        evaluator = RolloutEvaluator(plan, self.classes, cold_time, self._to_unix, self._identify)
        led = self.led = _LedRollout(at.ledger, at.segment, plan, state, evaluator, dict(steps))
        self._location, self._writer = at, self.me
        led.number = max((step.number for step in steps.values()), default=0)
        for listed in self.targets.values():
            self._register_target(led, listed)
        for step in steps.values():
            target = self._target(step.target)
            if target is not None:
                evaluator.target_state(target).new = step.runtime == plan.runtime
            if step.stage is StepStage.DONE:
                incarnation = (step.worker or step.target, step.started_at // MS)
                led.incarnations[incarnation] = (step.target, step.runtime == plan.runtime)
                led.unconfirmed[step.target] = -NEVER
            else:
                led.pending_steps[step.target] = _PendingStep(step, committed=True)
        evaluator.begin_wave(now, self._alive())
        evaluator.first_wave_at = min([self._to_unix(now), *(step.at for step in steps.values())])
        self.last_change = RolloutChanged(plan.name, state.stage, state.wave, state.rule, state.details)

    def _register_target(self, led: _LedRollout, listed: ListedTarget) -> None:
        """Registers a listed target. Without a step for it, its process has the old runtime."""
        name = listed.target.name
        led.evaluator.target_state(listed.target)
        step = led.steps.get(name)
        if step is None:
            led.incarnations.setdefault((name, listed.started_at // MS), (name, False))

    def _identify(self, worker: str, started_at: int) -> tuple[str, bool] | None:
        return self.led.incarnations.get((worker, started_at // MS)) if self.led is not None else None

    def _target(self, name: str) -> Target | None:
        found = self.targets.get(name)
        return found.target if found is not None else None

    def _alive(self) -> int:
        return sum(member.health is Health.ALIVE for member in self._members.alive())

    # Messages

    def received(self, now: int, sender: Incarnation, message: object) -> list[Action]:
        led = self.led
        if led is None:
            return []
        if isinstance(message, DispatcherReport):
            led.evaluator.record_report(now, sender, message)
        elif isinstance(message, StarvationReport):
            led.evaluator.record_starvation(message)
        elif isinstance(message, AgentStatus):
            return self._on_agent_status(now, led, message)
        return []

    def _on_agent_status(self, now: int, led: _LedRollout, status: AgentStatus) -> list[Action]:
        if status.rollout not in ("", led.plan.name) or status.epoch > led.epoch:
            return []  # a later coordinator is active; entries written by this one would not count
        target = self._target(status.target)
        step = led.steps.get(status.target)
        pending = led.pending_steps.get(status.target)
        if target is None:
            return []
        target_state = led.evaluator.target_state(target)
        if status.phase == Phase.UP and (step is None or status.number == step.number):
            incarnation = (status.worker or status.target, status.started_at // MS)
            led.incarnations[incarnation] = (status.target, status.runtime == led.plan.runtime)
            target_state.up = True
        before = led.last_crashes.get(status.target, 0)
        if step is None or status.number == step.number:
            for _ in range(max(0, min(8, status.crashes - before))):
                led.evaluator.record_crash(now, target)
            led.last_crashes[status.target] = status.crashes
        if status.epoch == led.epoch:
            led.unconfirmed.pop(status.target, None)
        if pending is None or status.epoch != led.epoch:
            return []
        pending.answered = True
        if status.number < pending.step.number:
            return []
        pending.begun = pending.command_sent = True
        if status.phase == Phase.FAILED and status.starts > pending.failed_starts:
            for _ in range(min(8, status.starts - pending.failed_starts)):
                led.evaluator.record_failed_start(target)
            pending.failed_starts = status.starts
        if status.number == pending.step.number and status.phase == Phase.UP:
            return self._complete_step(now, led, pending, target, status)
        return []

    def _complete_step(
        self, now: int, led: _LedRollout, pending: _PendingStep, target: Target, status: AgentStatus
    ) -> list[Action]:
        done = msgspec.structs.replace(
            pending.step, stage=StepStage.DONE, epoch=led.epoch, at=self._to_unix(now)
        )
        if led.pending_steps.pop(target.name, None) is None:
            return []
        led.steps[target.name] = done
        led.evaluator.record_replacement(target)
        return self._append(now, [records.step_change(done)])

    # Writing

    def _append(
        self, now: int, changes: list[Change], then: Callable[[], None] | None = None
    ) -> list[Action]:
        led = self.led
        assert led is not None
        seq, actions = self._ledgers.append(now, led.ledger, changes)
        if not seq:
            self.led = None
            return actions
        if then is not None:
            led.commit_callbacks.append((seq, then))
        return actions

    def _on_committed(self, now: int, led: _LedRollout, seq: int) -> list[Action]:
        led.committed_seq = max(led.committed_seq, seq)
        due = [then for number, then in led.commit_callbacks if number <= led.committed_seq]
        led.commit_callbacks = [entry for entry in led.commit_callbacks if entry[0] > led.committed_seq]
        for then in due:
            then()
        return self._send_commands(now, led) if due else []

    def _change_state(self, now: int, **changes: object) -> list[Action]:
        """Writes a changed state to the ledger and reports it."""
        led = self.led
        assert led is not None
        if changes.get("stage", led.state.stage) is not led.state.stage:
            changes.setdefault("since", self._to_unix(now))
        led.state = msgspec.structs.replace(led.state, **changes)
        state = led.state
        actions = self._append(now, [records.state_change(state)])
        self.last_change = RolloutChanged(led.plan.name, state.stage, state.wave, state.rule, state.details)
        return [*actions, self.last_change]

    # Time

    def next_at(self) -> int:
        return self._tick_at

    def ticked(self, now: int) -> list[Action]:
        if now < self._tick_at:
            return []
        self._tick_at = now + CHECK_INTERVAL
        for member in self._members.alive():
            for at in member.card.ledgers:
                self._note_location(at, member.card.incarnation)
        actions: list[Action] = []
        if self._location is not None and now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL
            report = self.signals.take_report(self.waiting_slots())
            if self.led is not None:
                self.led.evaluator.record_report(now, self.me, report)
            elif self._writer is not None:
                actions.append(Send(self._writer, report))
        if self.led is None:
            return [*actions, *self._take_over_if_due(now)]
        return [*actions, *self._run_checks(now, self.led)]

    def _take_over_if_due(self, now: int) -> list[Action]:
        """Takes over the ledger if its writer is dead and it is this member's turn."""
        if self._location is None or self._writer is None or now < self._lead_retry_at:
            return []
        if self._members.health(self._writer) in (Health.ALIVE, Health.SUSPECT) and self._writer != self.me:
            self._dead_since = None
            return []
        if self._dead_since is None:
            self._dead_since = now
        names = [m.card.incarnation.name for m in self._members.alive() if m.health is Health.ALIVE]
        names.sort(key=lambda name: rank(self._location.ledger if self._location else "", name), reverse=True)
        position = names.index(self.me.name) if self.me.name in names else len(names)
        if now < self._dead_since + position * SUCCESSION_DELAY:
            return []
        self._lead_retry_at = now + LEAD_RETRY_DELAY
        return self._ledgers.lead(now, self._location)

    def _run_checks(self, now: int, led: _LedRollout) -> list[Action]:
        """Applies the pause rules, starts or rolls back steps, and sends what is due."""
        unix_time = self._to_unix(now)
        led.evaluator.set_member_count(self._alive())
        capacities = self._capacities(led, unix_time)
        actions: list[Action] = []
        if led.state.stage in (Stage.RUNNING, Stage.HELD):
            actions += self._apply_pause_rules(now, led, capacities)
        if self.led is not None and led.state.stage is Stage.RUNNING:
            actions += self._advance(now, led, capacities)
        if self.led is not None and led.state.stage is Stage.BACK:
            actions += self._roll_back(now, led, capacities)
        if self.led is not None:
            actions += self._send_commands(now, led)
        return actions

    # Capacity

    def _capacities(self, led: _LedRollout, unix_time: int) -> dict[str, TargetCapacity]:
        """Returns what each listed target adds to the capacity now: nothing if its command may have been
        sent."""
        found = {}
        for name, listed in self.targets.items():
            pending = led.pending_steps.get(name)
            out = pending is not None and (pending.command_sent or not pending.answered or pending.begun)
            fraction = 1.0 if listed.up and not out else 0.0
            if fraction and listed.started_at and self._settings is not None:
                fraction = slow_start.guaranteed_capacity(self._settings, listed.started_at, unix_time)
            found[name] = TargetCapacity(listed.target, fraction, listed.started_at if fraction < 1 else 0)
        return found

    def _apply_pause_rules(
        self, now: int, led: _LedRollout, capacities: dict[str, TargetCapacity]
    ) -> list[Action]:
        unix_time = self._to_unix(now)
        # targets that the rollout itself has taken out do not count as lost
        lost = {n: c for n, c in capacities.items() if n not in led.pending_steps}
        own = {n: TargetCapacity(capacities[n].target, 1.0) for n in led.pending_steps if n in capacities}
        warm = {n: TargetCapacity(c.target, 1.0 if c.fraction > 0 else 0.0) for n, c in lost.items()}
        floor_shortfalls = [
            (floor.label(), available, floor.slots)
            for floor, available in sizing.broken_floors(led.plan.floors, {**warm, **own}, self.classes)
        ]
        sites = {member.card.site for member in self._members.alive()}
        found = led.evaluator.evaluate(
            now,
            floor_shortfalls=floor_shortfalls,
            cold_budget_use=self._cold_budget_use(now, unix_time, led, capacities),
            sites=self._sites_to_watch(sites, led),
        )
        stop = led.evaluator.update_holds(now, found)
        state = led.state
        if stop is not None:
            back = led.plan.on_pause == "back" and stop.cause is Cause.RUNTIME
            return self._change_state(
                now,
                stage=Stage.BACK if back else Stage.STOPPED,
                rule=stop.rule,
                details=stop.details,
                pauses=state.pauses + 1,
            )
        first = next(iter(led.evaluator.holds.values()), None)
        if first is not None and state.stage is Stage.RUNNING:
            finding = first.finding
            return self._change_state(now, stage=Stage.HELD, rule=finding.rule, details=finding.details)
        if first is None and state.stage is Stage.HELD:
            return self._change_state(now, stage=Stage.RUNNING, rule="", details="")
        return []

    def _sites_to_watch(self, sites: set[str], led: _LedRollout) -> list[str]:
        """Returns the sites that must send reports: those of the plan that have had a member."""
        self._sites_seen |= sites
        return [site for site in led.plan.sites if site in self._sites_seen]

    def _cold_budget_use(
        self, now: int, unix_time: int, led: _LedRollout, capacities: dict[str, TargetCapacity]
    ) -> list[tuple[str, float]]:
        rules = self._settings
        if rules is None or led.plan.targets != "providers":
            return []
        used = []
        for name, capacity in capacities.items():
            if capacity.cold_since and 0 < capacity.fraction < 1:
                budget = rules.fall_multiple * capacity.fraction * rules.fall_window * capacity.target.slots
                used.append((name, led.evaluator.sent_work_within(now, name, rules.fall_window) / budget))
        return used

    # Steps

    def _advance(self, now: int, led: _LedRollout, capacities: dict[str, TargetCapacity]) -> list[Action]:
        plan, state, unix_time = led.plan, led.state, self._to_unix(now)
        groups = plan.groups()
        if state.group >= len(groups):
            return self._change_state(now, stage=Stage.DONE)
        sites = groups[state.group]
        wanted = self._wave_targets(plan, sites, state.wave)
        remaining = [t for t in wanted if led.steps.get(t.name) is None or self._was_rolled_back(led, t)]
        in_progress = [t for t in wanted if t.name in led.pending_steps]
        if not remaining and not in_progress:
            if not state.soak_began_at:
                return self._change_state(now, soak_began_at=unix_time)
            if unix_time - state.soak_began_at < plan.soak:
                led.waiting_reason = "soaks"
                return []
            if not plan.may_start(unix_time):
                led.waiting_reason = "quiet hours"
                return []
            last = state.wave + 1 >= len(plan.waves)
            group, wave = (state.group + 1, 0) if last else (state.group, state.wave + 1)
            led.evaluator.begin_wave(now, self._alive())
            if group >= len(groups):
                return self._change_state(now, stage=Stage.DONE, group=group, wave=0)
            return self._change_state(now, group=group, wave=wave, wave_began_at=unix_time, soak_began_at=0)
        if not plan.may_start(unix_time) or not led.majority:
            led.waiting_reason = "quiet hours" if led.majority else "no majority of replicas"
            return []
        chosen = self._select_batch(led, remaining, capacities, unix_time)
        return self._start_steps(now, led, chosen, plan.runtime)

    def _wave_targets(self, plan: Plan, sites: list[str], wave: int) -> list[Target]:
        found: list[Target] = []
        for site in sites:
            of_site = plan.select((listed.target for listed in self.targets.values()), [site])
            of_site.sort(key=lambda target: rank(plan.name, target.name), reverse=True)
            found += of_site[: plan.waves[wave].size(len(of_site))]
        return found

    @staticmethod
    def _was_rolled_back(led: _LedRollout, target: Target) -> bool:
        step = led.steps[target.name]
        return step.stage is StepStage.DONE and step.runtime != led.plan.runtime

    def _select_batch(
        self,
        led: _LedRollout,
        remaining: list[Target],
        capacities: dict[str, TargetCapacity],
        unix_time: int,
        *,
        back: bool = False,
    ) -> list[Target]:
        """Returns the targets that can be replaced next: at most ``most_out`` at a time, with every floor
        kept, and so few that the load which warm workers can't carry fits into the cold ones' budgets."""
        plan = led.plan
        out = len(led.pending_steps)
        rest = dict(capacities)
        for pending in led.pending_steps.values():
            if pending.step.target in rest:
                rest[pending.step.target] = TargetCapacity(rest[pending.step.target].target, 0.0)
        chosen: list[Target] = []
        average, load = led.evaluator.mean_duration(), led.evaluator.load()
        for target in remaining:
            if out + len(chosen) >= plan.most_out:
                led.waiting_reason = "most out"
                break
            trial = {**rest, target.name: TargetCapacity(target, 0.0)}
            if rest[target.name].fraction > 0 and not self._above_floors(plan, trial):
                led.waiting_reason = "floor"
                continue
            rules = self._settings if plan.targets == "providers" and not back else None
            if (
                rules is not None
                and sizing.sustainable_load(rules, trial.values(), average, unix_time) < load
            ):
                led.waiting_reason = f"load: {load:.1f} slots"
                break
            rest = trial
            chosen.append(target)
        return chosen

    def _above_floors(self, plan: Plan, capacities: dict[str, TargetCapacity]) -> bool:
        return not sizing.broken_floors(plan.floors, capacities, self.classes)

    def _start_steps(self, now: int, led: _LedRollout, targets: list[Target], runtime: str) -> list[Action]:
        """Writes steps to the ledger; their commands are sent once the entries are committed."""
        if not targets:
            return []
        changes: list[Change] = []
        pending_steps: list[_PendingStep] = []
        for target in targets:
            before = led.steps.get(target.name)
            check(
                "a step once",
                before is None or before.runtime != runtime,
                target=target.name,
                before=before,
                runtime=runtime,
            )
            check(
                "one site at a time",
                runtime != led.plan.runtime or target.site in led.plan.groups()[led.state.group],
                target=target.name,
                site=target.site,
            )
            led.number += 1
            step = Step(
                number=led.number,
                target=target.name,
                runtime=runtime,
                stage=StepStage.ORDERED,
                epoch=led.epoch,
                at=self._to_unix(now),
                group=led.state.group,
                wave=led.state.wave,
            )
            led.steps[target.name] = step
            pending = led.pending_steps[target.name] = _PendingStep(step)
            pending.answered = True  # no command of an older epoch can be on its way
            pending_steps.append(pending)
            changes.append(records.step_change(step))

        def mark_committed() -> None:
            for pending in pending_steps:
                pending.committed = True

        return self._append(now, changes, mark_committed)

    def _send_commands(self, now: int, led: _LedRollout) -> list[Action]:
        """Sends the commands, repeats and status queries that are due."""
        actions: list[Action] = []
        unix_time = self._to_unix(now)
        for name, last_sent_at in led.unconfirmed.items():
            if now >= last_sent_at + STATUS_POLL_INTERVAL:
                led.unconfirmed[name] = now
                runtime = led.steps[name].runtime
                actions.append(
                    Send(
                        Incarnation(AGENT_PREFIX + name), Command(led.plan.name, led.epoch, 0, name, runtime)
                    )
                )
        for name, pending in led.pending_steps.items():
            due = pending.last_sent_at + (STATUS_POLL_INTERVAL if pending.begun else COMMAND_RETRY_INTERVAL)
            if not pending.committed or now < due:
                continue
            number = pending.step.number
            if not pending.answered:
                number = 0  # an older epoch's command may still be on its way; the query fences it off
            elif not pending.begun and not pending.command_sent:
                if not self._may_send(led, pending, unix_time):
                    continue
                pending.command_sent, pending.command_sent_at = True, now
                target = self._target(name)
                if target is not None:
                    led.evaluator.target_state(target).new = pending.step.runtime == led.plan.runtime
            elif pending.begun:
                limit = led.plan.drain + led.plan.rules.start_within
                target = self._target(name)
                if (
                    target is not None
                    and now - pending.command_sent_at > limit * (pending.failed_starts + 1)
                    and pending.command_sent_at
                ):
                    pending.failed_starts += 1
                    led.evaluator.record_failed_start(target)
            pending.last_sent_at = now
            command = Command(
                led.plan.name, led.epoch, number, name, pending.step.runtime, int(led.plan.drain)
            )
            actions.append(Send(Incarnation(AGENT_PREFIX + name), command))
        return actions

    def _may_send(self, led: _LedRollout, pending: _PendingStep, unix_time: int) -> bool:
        """Whether the command may be sent now. Since the step was written, the loss of another target may
        have used up the capacity above a floor.

        Targets that are out of use, or may be, must not count as capacity."""
        name = pending.step.target
        if pending.step.runtime == led.plan.runtime and led.state.stage is not Stage.RUNNING:
            return False  # the rollout was paused after the step was written
        capacities = self._capacities(led, unix_time)
        capacity = capacities.get(name)
        if capacity is None:
            return True  # not listed: its replacement takes no capacity away
        after = {**capacities, name: TargetCapacity(capacity.target, 0.0)}
        if capacity.fraction > 0 and not self._above_floors(led.plan, after):
            return False
        broken = sizing.broken_floors(led.plan.floors, after, self.classes) if capacity.fraction > 0 else []
        check(
            "floor kept",
            not broken,
            target=name,
            broken=[(f.label(), f.slots, available) for f, available in broken],
        )
        return True

    # Rollback

    def _roll_back(self, now: int, led: _LedRollout, capacities: dict[str, TargetCapacity]) -> list[Action]:
        plan, unix_time = led.plan, self._to_unix(now)
        new = [s for s in led.steps.values() if s.runtime == plan.runtime]
        if not new and not led.pending_steps:
            return self._change_state(now, stage=Stage.WENT_BACK)
        if not led.majority:
            return []
        stuck = [s for s in new if s.stage is StepStage.ORDERED]
        # Targets that never came up are out of use already: they are replaced first, one at a time.
        for step in stuck:
            pending = led.pending_steps.get(step.target)
            if (
                pending is not None
                and pending.committed
                and (pending.begun or (pending.answered and not pending.command_sent))
            ):
                target = self._target(step.target)
                if target is not None:
                    del led.pending_steps[step.target]
                    return self._start_steps(now, led, [target], plan.last_good)
        done = sorted((s for s in new if s.stage is StepStage.DONE), key=lambda step: step.number)
        targets = [t for t in (self._target(step.target) for step in done) if t is not None]
        absent = [s for s in done if self._target(s.target) is None]
        if absent and not targets and not led.pending_steps:
            return self._change_state(now, stage=Stage.WENT_BACK)
        return self._start_steps(
            now, led, self._select_batch(led, targets, capacities, unix_time, back=True), plan.last_good
        )


__all__ = ["Finding", "ListedTarget", "RolloutChanged", "RolloutMachine"]
