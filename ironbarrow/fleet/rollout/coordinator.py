"""Leads a rollout: one member at a time, the writer of the rollout's ledger. No input or output.

Every member has one of these machines. It watches where the rollout's ledger is (the cards tell), tells the
coordinator what it saw, and leads the ledger itself when its writer has died: by rendezvous order, the next
in line after a delay. The ledger's segment is the epoch.

A step is: the entry ``ORDERED`` is written; once it is kept its command goes out, again and again until the
agent has answered; once the agent tells that the target is up with that runtime, the entry ``DONE`` is
written. A coordinator that takes over finds every step whose command may be out, and first asks that target's
agent for its state: with that the agent has seen the new epoch and takes no command of an older one.
Only then is the step carried on with, under the same number, which an agent does once.
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
from ironbarrow.fleet.rollout.commands import AGENT, Answer, Command, Observed, Phase, StarvationSeen
from ironbarrow.fleet.rollout.plan import Inventory, Plan, PlanError, Target, parse
from ironbarrow.fleet.rollout.records import LEDGER, Stage, State, Step, StepStage
from ironbarrow.fleet.rollout.rules import Blame, Finding, Judge
from ironbarrow.fleet.rollout.signals import Signals
from ironbarrow.fleet.rollout.sizing import Capacity
from ironbarrow.runtime.clock import MS, SECOND

LOOK = 250 * MS  # the coordinator looks so often
TELL = SECOND  # each member tells what it saw so often
REPEAT = 500 * MS  # a command without an answer goes out again after this
POLL = 2 * SECOND  # the state of a target on its way is asked for so often
TURN = 2 * SECOND  # the next in line waits so much longer
RETRY = 3 * SECOND  # to lead, after it came to nothing


@dataclass(frozen=True, slots=True)
class RolloutChanged(FleetEvent):
    """How far a rollout is: for logs, readiness and people. ``figures``: why it is paused, in words."""

    name: str
    stage: Stage
    wave: int
    rule: str = ""
    figures: str = ""


@dataclass(frozen=True, slots=True)
class Listed:
    """A target as it is listed now. ``since``: Unix ns of its start, 0 long ago."""

    target: Target
    up: bool = True
    since: int = 0


@dataclass(slots=True)
class _Way:
    """A step on its way, as this coordinator knows it."""

    step: Step
    kept: bool = False  # its entry is at a majority
    asked_at: int = -NEVER  # when a command or question last went out
    answered: bool = False  # the agent has answered under this epoch
    sent: bool = False  # the command has gone out under this epoch
    begun: bool = False  # the agent has begun it
    sent_at: int = 0
    failed: int = 0  # failed starts that have been counted
    crashes: int = 0


@dataclass(slots=True)
class _Lead:
    """What the coordinator has in hand."""

    ledger: str
    epoch: int
    plan: Plan
    state: State
    judge: Judge
    steps: dict[str, Step]
    ways: dict[str, _Way] = field(default_factory=dict)
    number: int = 0  # of the last step
    kept: int = 0  # the ledger's last entry that counts
    waiting: list[tuple[int, Callable[[], None]]] = field(default_factory=list)
    majority: bool = True
    incarnations: dict[tuple[str, int], tuple[str, bool]] = field(default_factory=dict)
    began: bool = False
    look_at: int = 0
    unasked: dict[str, int] = field(
        default_factory=dict
    )  # finished steps' targets: when they were last asked
    last_crashes: dict[str, int] = field(default_factory=dict)
    note: str = ""  # what it waits for, if nothing is wrong


class Rollouts:
    """A member's part in rollouts: an ``api.Machine``. News of the ledgers and members goes to ``told``."""

    handles: tuple[type[Message], ...] = (Answer, Observed, StarvationSeen)

    def __init__(
        self,
        members: Members,
        ledgers: Ledgers,
        unix: Callable[[int], int],
        settings: api.Settings | None = None,
        classes: dict[str, str | None] | None = None,
    ) -> None:
        """``unix``: the Unix time of a time; ``settings``: of this dispatcher, for the cold budget;
        ``classes``: the kind that each class needs."""
        self._members, self._ledgers, self._unix, self._settings = members, ledgers, unix, settings
        if classes is None:
            classes = {c.name: c.worker_kind for c in settings.classes} if settings is not None else {}
        self.classes = classes
        self.me = members.me.incarnation
        self.signals = Signals(members.me.site)
        self.held: Callable[[], float] = lambda: 0.0  # slots of the jobs that wait here
        self.listed: dict[str, Listed] = {}
        self.lead: _Lead | None = None
        self.last: RolloutChanged | None = None  # as this member knows it
        self._place: LedgerLocation | None = None
        self._writer: Incarnation | None = None
        self._dead_since: int | None = None
        self._leading_until = 0  # a call to lead is out until then at the latest
        self._starting: tuple[str, bytes, Plan] | None = None
        self._tell_at = self._tick_at = 0
        self._had_members: set[str] = set()  # sites that have had members

    @property
    def known(self) -> str:
        """The ledger of the rollout that this member knows of; "": none."""
        return self._place.ledger if self._place is not None else ""

    # Orders

    def start(self, now: int, text: bytes, where: str = "plan") -> list[Action]:
        """Begins a rollout; a PlanError, and nothing changed, if the plan can't be used now."""
        inventory = Inventory(tuple(one.target for one in self.listed.values()), self.classes)
        plan = parse(text, where, inventory)
        ledger = LEDGER + plan.name
        if self._starting is not None or (self.lead is not None and not self._over(self.lead.state.stage)):
            raise PlanError(f"{where}: expected no rollout under way, got one ({self._busy()})")
        if self._place is not None:
            same = self._place.ledger == ledger
            if same or not (self.lead is not None and self._over(self.lead.state.stage)):
                what = "a name that was not used" if same else "no rollout under way"
                raise PlanError(f"{where}: name: expected {what}, got {plan.name!r} ({self._busy()})")
        actions = self._ledgers.create(now, ledger)
        state = State(wave_began_at=self._unix(now))
        self._begin(now, LedgerLocation(ledger, 0, ()), plan, state, {})
        return [*actions, *self._append(now, [records.put_plan(text), records.put_state(state)])]

    def resume(self, now: int) -> list[Action]:
        """A person lets a stopped rollout go on; nothing where none is stopped here."""
        lead = self.lead
        if lead is None or lead.state.stage not in (Stage.STOPPED, Stage.HELD):
            return []
        lead.judge.pardon(now)
        lead.judge.wave_began(now, self._alive())
        return self._set(now, stage=Stage.RUNNING, rule="", figures="")

    def back(self, now: int) -> list[Action]:
        """A person sends the rollout back to the last good runtime."""
        lead = self.lead
        if lead is None or lead.state.stage in (Stage.BACK, Stage.WENT_BACK):
            return []
        return self._set(now, stage=Stage.BACK)

    def starvation(self, now: int, seen: StarvationSeen) -> list[Action]:
        """A verdict that this member knows of."""
        if self.lead is not None:
            self.lead.judge.starved(seen)
            return []
        return [Send(self._writer, seen)] if self._writer is not None else []

    def workers(self, now: int, listed: Iterable[Listed]) -> None:
        """The whole list of targets, as the discovery service or the list of members has it."""
        before, self.listed = self.listed, {one.target.name: one for one in listed}
        if self.lead is not None:
            for name, one in self.listed.items():
                old = self.lead.steps.get(name) is None and name in before
                if old and before[name].up and not one.up:
                    self.lead.judge.crashed(now, one.target)  # an old one went, and no step had it go
            for one in self.listed.values():
                self._know(self.lead, one)

    @staticmethod
    def _over(stage: Stage) -> bool:
        return stage in (Stage.DONE, Stage.WENT_BACK)

    def _busy(self) -> str:
        return self._place.ledger if self._place is not None else "being started"

    # News

    def told(self, now: int, news: FleetEvent) -> list[Action]:
        """News of this member's ledgers and members."""
        if isinstance(news, MemberChanged):
            self._member(now, news)
            return []
        if isinstance(news, Moved) and news.at.ledger.startswith(LEDGER):
            return self._moved(now, news)
        lead = self.lead
        if isinstance(news, ClaimFailed) and self._place is not None and news.ledger == self._place.ledger:
            self._leading_until = now + RETRY
            return []
        if lead is None or getattr(news, "ledger", "") != lead.ledger:
            return []
        if isinstance(news, Fenced):
            self.lead = None  # another leads it: nothing is sent or written any more
            self._dead_since = None
        elif isinstance(news, NoMajority):
            lead.majority = news.restored
        elif isinstance(news, Committed):
            return self._kept(now, lead, news.seq)
        return []

    def _member(self, now: int, news: MemberChanged) -> None:
        for at in news.member.card.ledgers:
            self._seen(at, news.member.card.incarnation)

    def _seen(self, at: LedgerLocation, writer: Incarnation) -> None:
        if not at.ledger.startswith(LEDGER):
            return
        known = self._place
        newer = known is None or at.ledger != known.ledger or at.segment > known.segment
        if (
            known is not None
            and at.ledger != known.ledger
            and self.lead is None
            and not self._old(at, writer)
        ):
            newer = True
        if newer and not self._old(at, writer):
            self._place, self._writer, self._dead_since = at, writer, None
        elif known is not None and at == known:
            self._writer = writer

    def _old(self, at: LedgerLocation, writer: Incarnation) -> bool:
        """Whether a card speaks of a rollout that another has followed: of two, the one that a living
        member writes counts."""
        known = self._place
        if known is None or known.ledger == at.ledger:
            return False
        alive = (Health.ALIVE, Health.SUSPECT)
        return (
            self._writer is not None
            and self._members.health(self._writer) in alive
            and self._members.health(writer) not in alive
        )

    def _moved(self, now: int, news: Moved) -> list[Action]:
        self._place, self._writer, self._dead_since = news.at, self.me, None
        if self.lead is not None and self.lead.ledger == news.at.ledger:
            if news.content is None:
                self.lead.epoch = max(self.lead.epoch, news.at.segment)
            return []
        if news.content is None:
            return []
        self._leading_until = 0
        content = records.read(news.content)
        try:
            plan = parse(content.plan, news.at.ledger)
        except PlanError:
            return []  # an order that never counted as a whole: there is nothing to go on with
        self._begin(now, news.at, plan, content.state, content.steps)
        return []

    def _begin(self, now: int, at: LedgerLocation, plan: Plan, state: State, steps: dict[str, Step]) -> None:
        cold_time = self._settings.cold_time if self._settings is not None else 0
        judge = Judge(plan, self.classes, cold_time, self._unix, self._runtime_of)
        lead = self.lead = _Lead(at.ledger, at.segment, plan, state, judge, dict(steps))
        self._place, self._writer = at, self.me
        lead.number = max((step.number for step in steps.values()), default=0)
        for one in self.listed.values():
            self._know(lead, one)
        for step in steps.values():
            target = self._target(step.target)
            if target is not None:
                judge.machine(target).new = step.runtime == plan.runtime
            if step.stage is StepStage.DONE:
                incarnation = (step.worker or step.target, step.started_at // MS)
                lead.incarnations[incarnation] = (step.target, step.runtime == plan.runtime)
                lead.unasked[step.target] = -NEVER
            else:
                lead.ways[step.target] = _Way(step, kept=True)
        judge.wave_began(now, self._alive())
        judge.first_at = min([self._unix(now), *(step.at for step in steps.values())])
        self.last = RolloutChanged(plan.name, state.stage, state.wave, state.rule, state.figures)

    def _know(self, lead: _Lead, one: Listed) -> None:
        """A target as listed: its process is of the old runtime unless a step has said otherwise."""
        name = one.target.name
        lead.judge.machine(one.target)
        step = lead.steps.get(name)
        if step is None:
            lead.incarnations.setdefault((name, one.since // MS), (name, False))

    def _runtime_of(self, worker: str, started_at: int) -> tuple[str, bool] | None:
        return self.lead.incarnations.get((worker, started_at // MS)) if self.lead is not None else None

    def _target(self, name: str) -> Target | None:
        found = self.listed.get(name)
        return found.target if found is not None else None

    def _alive(self) -> int:
        return sum(member.health is Health.ALIVE for member in self._members.alive())

    # Messages

    def received(self, now: int, sender: Incarnation, message: object) -> list[Action]:
        lead = self.lead
        if lead is None:
            return []
        if isinstance(message, Observed):
            lead.judge.observed(now, sender, message)
        elif isinstance(message, StarvationSeen):
            lead.judge.starved(message)
        elif isinstance(message, Answer):
            return self._answered(now, lead, message)
        return []

    def _answered(self, now: int, lead: _Lead, answer: Answer) -> list[Action]:
        if answer.rollout not in ("", lead.plan.name) or answer.epoch > lead.epoch:
            return []  # danger: a later coordinator is at work; what this one would write is void
        target = self._target(answer.target)
        step = lead.steps.get(answer.target)
        way = lead.ways.get(answer.target)
        if target is None:
            return []
        machine = lead.judge.machine(target)
        if answer.phase == Phase.UP and (step is None or answer.number == step.number):
            incarnation = (answer.worker or answer.target, answer.started_at // MS)
            lead.incarnations[incarnation] = (answer.target, answer.runtime == lead.plan.runtime)
            machine.up = True
        before = lead.last_crashes.get(answer.target, 0)
        if step is None or answer.number == step.number:
            for _ in range(max(0, min(8, answer.crashes - before))):
                lead.judge.crashed(now, target)
            lead.last_crashes[answer.target] = answer.crashes
        if answer.epoch == lead.epoch:
            lead.unasked.pop(answer.target, None)
        if way is None or answer.epoch != lead.epoch:
            return []
        way.answered = True
        if answer.number < way.step.number:
            return []
        way.begun = way.sent = True
        if answer.phase == Phase.FAILED and answer.starts > way.failed:
            for _ in range(min(8, answer.starts - way.failed)):
                lead.judge.start_failed(target)
            way.failed = answer.starts
        if answer.number == way.step.number and answer.phase == Phase.UP:
            return self._step_done(now, lead, way, target, answer)
        return []

    def _step_done(self, now: int, lead: _Lead, way: _Way, target: Target, answer: Answer) -> list[Action]:
        done = msgspec.structs.replace(way.step, stage=StepStage.DONE, epoch=lead.epoch, at=self._unix(now))
        if lead.ways.pop(target.name, None) is None:
            return []
        lead.steps[target.name] = done
        lead.judge.replaced(target)
        return self._append(now, [records.put_step(done)])

    # Writing

    def _append(
        self, now: int, changes: list[Change], then: Callable[[], None] | None = None
    ) -> list[Action]:
        lead = self.lead
        assert lead is not None
        seq, actions = self._ledgers.append(now, lead.ledger, changes)
        if not seq:
            self.lead = None
            return actions
        if then is not None:
            lead.waiting.append((seq, then))
        return actions

    def _kept(self, now: int, lead: _Lead, seq: int) -> list[Action]:
        lead.kept = max(lead.kept, seq)
        due = [then for number, then in lead.waiting if number <= lead.kept]
        lead.waiting = [entry for entry in lead.waiting if entry[0] > lead.kept]
        for then in due:
            then()
        return self._send_commands(now, lead) if due else []

    def _set(self, now: int, **changes: object) -> list[Action]:
        """Writes a changed state down and tells of it."""
        lead = self.lead
        assert lead is not None
        if changes.get("stage", lead.state.stage) is not lead.state.stage:
            changes.setdefault("since", self._unix(now))
        lead.state = msgspec.structs.replace(lead.state, **changes)
        state = lead.state
        actions = self._append(now, [records.put_state(state)])
        self.last = RolloutChanged(lead.plan.name, state.stage, state.wave, state.rule, state.figures)
        return [*actions, self.last]

    # Time

    def next_at(self) -> int:
        return self._tick_at

    def ticked(self, now: int) -> list[Action]:
        if now < self._tick_at:
            return []
        self._tick_at = now + LOOK
        for member in self._members.alive():
            for at in member.card.ledgers:
                self._seen(at, member.card.incarnation)
        actions: list[Action] = []
        if self._place is not None and now >= self._tell_at:
            self._tell_at = now + TELL
            seen = self.signals.take(self.held())
            if self.lead is not None:
                self.lead.judge.observed(now, self.me, seen)
            elif self._writer is not None:
                actions.append(Send(self._writer, seen))
        if self.lead is None:
            return [*actions, *self._follow(now)]
        return [*actions, *self._look(now, self.lead)]

    def _follow(self, now: int) -> list[Action]:
        """Leads the ledger if its writer is dead and it is this member's turn."""
        if self._place is None or self._writer is None or now < self._leading_until:
            return []
        if self._members.health(self._writer) in (Health.ALIVE, Health.SUSPECT) and self._writer != self.me:
            self._dead_since = None
            return []
        if self._dead_since is None:
            self._dead_since = now
        names = [m.card.incarnation.name for m in self._members.alive() if m.health is Health.ALIVE]
        names.sort(key=lambda name: rank(self._place.ledger if self._place else "", name), reverse=True)
        turn = names.index(self.me.name) if self.me.name in names else len(names)
        if now < self._dead_since + turn * TURN:
            return []
        self._leading_until = now + RETRY
        return self._ledgers.lead(now, self._place)

    def _look(self, now: int, lead: _Lead) -> list[Action]:
        """The coordinator's turn: what is wrong, what is due, what goes out."""
        unix = self._unix(now)
        lead.judge.members(self._alive())
        fleet = self._fleet(lead, unix)
        actions: list[Action] = []
        if lead.state.stage in (Stage.RUNNING, Stage.HELD):
            actions += self._judge(now, lead, fleet)
        if self.lead is not None and lead.state.stage is Stage.RUNNING:
            actions += self._go_on(now, lead, fleet)
        if self.lead is not None and lead.state.stage is Stage.BACK:
            actions += self._go_back(now, lead, fleet)
        if self.lead is not None:
            actions += self._send_commands(now, lead)
        return actions

    # Capacity

    def _fleet(self, lead: _Lead, unix: int) -> dict[str, Capacity]:
        """What each listed target adds now. One whose command may be out adds nothing."""
        found = {}
        for name, one in self.listed.items():
            way = lead.ways.get(name)
            out = way is not None and (way.sent or not way.answered or way.begun)
            part = 1.0 if one.up and not out else 0.0
            if part and one.since and self._settings is not None:
                part = slow_start.guaranteed_capacity(self._settings, one.since, unix)
            found[name] = Capacity(one.target, part, one.since if part < 1 else 0)
        return found

    def _judge(self, now: int, lead: _Lead, fleet: dict[str, Capacity]) -> list[Action]:
        unix = self._unix(now)
        lost = {
            n: c for n, c in fleet.items() if n not in lead.ways
        }  # what is out by the rollout's own steps is not lost
        own = {n: Capacity(fleet[n].target, 1.0) for n in lead.ways if n in fleet}
        warm = {n: Capacity(c.target, 1.0 if c.part > 0 else 0.0) for n, c in lost.items()}
        short = [
            (floor.text(), has, floor.slots)
            for floor, has in sizing.under_floor(lead.plan.floors, {**warm, **own}, self.classes)
        ]
        sites = {member.card.site for member in self._members.alive()}
        found = lead.judge.look(
            now,
            short=short,
            cold_used=self._cold_used(now, unix, lead, fleet),
            sites=self._watched(sites, lead),
        )
        stop = lead.judge.weigh(now, found)
        state = lead.state
        if stop is not None:
            back = lead.plan.on_pause == "back" and stop.blame is Blame.RUNTIME
            return self._set(
                now,
                stage=Stage.BACK if back else Stage.STOPPED,
                rule=stop.rule,
                figures=stop.figures,
                pauses=state.pauses + 1,
            )
        first = next(iter(lead.judge.holds.values()), None)
        if first is not None and state.stage is Stage.RUNNING:
            finding = first.finding
            return self._set(now, stage=Stage.HELD, rule=finding.rule, figures=finding.figures)
        if first is None and state.stage is Stage.HELD:
            return self._set(now, stage=Stage.RUNNING, rule="", figures="")
        return []

    def _watched(self, sites: set[str], lead: _Lead) -> list[str]:
        """The sites that must be in sight: those of the plan that have had members since it began."""
        self._had_members |= sites
        return [site for site in lead.plan.sites if site in self._had_members]

    def _cold_used(
        self, now: int, unix: int, lead: _Lead, fleet: dict[str, Capacity]
    ) -> list[tuple[str, float]]:
        rules = self._settings
        if rules is None or lead.plan.targets != "providers":
            return []
        used = []
        for name, one in fleet.items():
            if one.cold_since and 0 < one.part < 1:
                budget = rules.fall_multiple * one.part * rules.fall_window * one.target.slots
                used.append((name, lead.judge.sent_within(now, name, rules.fall_window) / budget))
        return used

    # Steps

    def _go_on(self, now: int, lead: _Lead, fleet: dict[str, Capacity]) -> list[Action]:
        plan, state, unix = lead.plan, lead.state, self._unix(now)
        groups = plan.groups()
        if state.group >= len(groups):
            return self._set(now, stage=Stage.DONE)
        sites = groups[state.group]
        wanted = self._wave_targets(plan, sites, state.wave)
        left = [t for t in wanted if lead.steps.get(t.name) is None or self._is_back(lead, t)]
        on_way = [t for t in wanted if t.name in lead.ways]
        if not left and not on_way:
            if not state.soak_from:
                return self._set(now, soak_from=unix)
            if unix - state.soak_from < plan.soak:
                lead.note = "soaks"
                return []
            if not plan.may_start(unix):
                lead.note = "quiet hours"
                return []
            last = state.wave + 1 >= len(plan.waves)
            group, wave = (state.group + 1, 0) if last else (state.group, state.wave + 1)
            lead.judge.wave_began(now, self._alive())
            if group >= len(groups):
                return self._set(now, stage=Stage.DONE, group=group, wave=0)
            return self._set(now, group=group, wave=wave, wave_began_at=unix, soak_from=0)
        if not plan.may_start(unix) or not lead.majority:
            lead.note = "quiet hours" if lead.majority else "no majority of replicas"
            return []
        chosen = self._batch(lead, left, fleet, unix)
        return self._order(now, lead, chosen, plan.runtime)

    def _wave_targets(self, plan: Plan, sites: list[str], wave: int) -> list[Target]:
        found: list[Target] = []
        for site in sites:
            of_site = plan.chosen((one.target for one in self.listed.values()), [site])
            of_site.sort(key=lambda target: rank(plan.name, target.name), reverse=True)
            found += of_site[: plan.waves[wave].size(len(of_site))]
        return found

    @staticmethod
    def _is_back(lead: _Lead, target: Target) -> bool:
        step = lead.steps[target.name]
        return step.stage is StepStage.DONE and step.runtime != lead.plan.runtime

    def _batch(
        self, lead: _Lead, left: list[Target], fleet: dict[str, Capacity], unix: int, *, back: bool = False
    ) -> list[Target]:
        """Which of these can go next: within what may be out at a time, above every floor, and so few that
        what the warm ones can't carry fits into the cold ones' budgets."""
        plan = lead.plan
        out = len(lead.ways)
        rest = dict(fleet)
        for way in lead.ways.values():
            if way.step.target in rest:
                rest[way.step.target] = Capacity(rest[way.step.target].target, 0.0)
        chosen: list[Target] = []
        mean, load = lead.judge.mean_time(), lead.judge.load()
        for target in left:
            if out + len(chosen) >= plan.most_out:
                lead.note = "most out"
                break
            trial = {**rest, target.name: Capacity(target, 0.0)}
            if rest[target.name].part > 0 and not self._above_floors(plan, trial):
                lead.note = "floor"
                continue
            rules = self._settings if plan.targets == "providers" and not back else None
            if rules is not None and sizing.carried(rules, trial.values(), mean, unix) < load:
                lead.note = f"load: {load:.1f} slots"
                break
            rest = trial
            chosen.append(target)
        return chosen

    def _above_floors(self, plan: Plan, fleet: dict[str, Capacity]) -> bool:
        return not sizing.under_floor(plan.floors, fleet, self.classes)

    def _order(self, now: int, lead: _Lead, targets: list[Target], runtime: str) -> list[Action]:
        """Writes steps down; their commands go out once the entries are kept."""
        if not targets:
            return []
        changes: list[Change] = []
        ways: list[_Way] = []
        for target in targets:
            before = lead.steps.get(target.name)
            check(
                "a step once",
                before is None or before.runtime != runtime,
                target=target.name,
                before=before,
                runtime=runtime,
            )
            check(
                "one site at a time",
                runtime != lead.plan.runtime or target.site in lead.plan.groups()[lead.state.group],
                target=target.name,
                site=target.site,
            )
            lead.number += 1
            step = Step(
                number=lead.number,
                target=target.name,
                runtime=runtime,
                stage=StepStage.ORDERED,
                epoch=lead.epoch,
                at=self._unix(now),
                group=lead.state.group,
                wave=lead.state.wave,
            )
            lead.steps[target.name] = step
            way = lead.ways[target.name] = _Way(step)
            way.answered = True  # no command of an older epoch is out for it
            ways.append(way)
            changes.append(records.put_step(step))

        def kept() -> None:
            for way in ways:
                way.kept = True

        return self._append(now, changes, kept)

    def _send_commands(self, now: int, lead: _Lead) -> list[Action]:
        """Sends what is due: first commands, repeats, and questions how far it is."""
        actions: list[Action] = []
        unix = self._unix(now)
        for name, asked_at in lead.unasked.items():
            if now >= asked_at + POLL:
                lead.unasked[name] = now
                runtime = lead.steps[name].runtime
                actions.append(
                    Send(Incarnation(AGENT + name), Command(lead.plan.name, lead.epoch, 0, name, runtime))
                )
        for name, way in lead.ways.items():
            due = way.asked_at + (POLL if way.begun else REPEAT)
            if not way.kept or now < due:
                continue
            number = way.step.number
            if not way.answered:
                number = 0  # danger: an older epoch's command may still be on its way; first it is fenced
            elif not way.begun and not way.sent:
                if not self._may_send(lead, way, unix):
                    continue
                way.sent, way.sent_at = True, now
                target = self._target(name)
                if target is not None:
                    lead.judge.machine(target).new = way.step.runtime == lead.plan.runtime
            elif way.begun:
                limit = lead.plan.drain + lead.plan.rules.start_within
                target = self._target(name)
                if target is not None and now - way.sent_at > limit * (way.failed + 1) and way.sent_at:
                    way.failed += 1
                    lead.judge.start_failed(target)
            way.asked_at = now
            command = Command(
                lead.plan.name, lead.epoch, number, name, way.step.runtime, int(lead.plan.drain)
            )
            actions.append(Send(Incarnation(AGENT + name), command))
        return actions

    def _may_send(self, lead: _Lead, way: _Way, unix: int) -> bool:
        """Whether the command may go out now: a loss since it was ordered may have used up what it would
        take. Danger: what is out, or may be, counts for nothing."""
        name = way.step.target
        if way.step.runtime == lead.plan.runtime and lead.state.stage is not Stage.RUNNING:
            return False  # written down, and then something spoke against it
        fleet = self._fleet(lead, unix)
        one = fleet.get(name)
        if one is None:
            return True  # it is not listed: it takes nothing away
        after = {**fleet, name: Capacity(one.target, 0.0)}
        if one.part > 0 and not self._above_floors(lead.plan, after):
            return False
        broken = sizing.under_floor(lead.plan.floors, after, self.classes) if one.part > 0 else []
        check("floor kept", not broken, target=name, broken=[(f.text(), f.slots, has) for f, has in broken])
        return True

    # Back

    def _go_back(self, now: int, lead: _Lead, fleet: dict[str, Capacity]) -> list[Action]:
        plan, unix = lead.plan, self._unix(now)
        new = [s for s in lead.steps.values() if s.runtime == plan.runtime]
        if not new and not lead.ways:
            return self._set(now, stage=Stage.WENT_BACK)
        if not lead.majority:
            return []
        stuck = [s for s in new if s.stage is StepStage.ORDERED]
        for step in stuck:  # what never came up is out already: it goes first, in its own place
            way = lead.ways.get(step.target)
            if way is not None and way.kept and (way.begun or (way.answered and not way.sent)):
                target = self._target(step.target)
                if target is not None:
                    del lead.ways[step.target]
                    return self._order(now, lead, [target], plan.last_good)
        done = sorted((s for s in new if s.stage is StepStage.DONE), key=lambda step: step.number)
        targets = [t for t in (self._target(step.target) for step in done) if t is not None]
        gone = [s for s in done if self._target(s.target) is None]
        if gone and not targets and not lead.ways:
            return self._set(now, stage=Stage.WENT_BACK)
        return self._order(now, lead, self._batch(lead, targets, fleet, unix, back=True), plan.last_good)


__all__ = ["Finding", "Listed", "RolloutChanged", "Rollouts"]
