"""A dispatcher's part in rollouts: its list of workers and its attempts for the rollouts' machine."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from heathway import api
from ironbarrow.core.endings import Ending, outcome_of
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.fleet.api import Ledgers, MemberChanged, News
from ironbarrow.fleet.file import FleetError, RolloutRules
from ironbarrow.fleet.rollout.commands import StarvationSeen
from ironbarrow.fleet.rollout.coordinator import Listed, RolloutChanged, Rollouts
from ironbarrow.fleet.rollout.plan import Inventory, Plan, PlanError, Target, parse
from ironbarrow.fleet.rollout.records import LEDGER, Stage
from ironbarrow.fleet.rollout.signals import End
from ironbarrow.fleet.service import FleetService
from ironbarrow.runtime.loop import MS, Loop

log = structlog.get_logger()

_LOOK = 200 * MS  # whether a plan can be started
_LEARNT_OVER = 16  # jobs
_ENDS = {
    api.Outcome.OK: End.DONE,
    api.Outcome.ERROR: End.FAILED,
    api.Outcome.RESET: End.RESET,
}
_WRONG = (Stage.STOPPED, Stage.HELD, Stage.BACK, Stage.WENT_BACK)


def _unix(now: int) -> int:
    """The loop's time is Unix time."""
    return now


class Rolling:
    """It lasts as long as the process; ``machine`` is another in each incarnation of the member. A FleetError
    for a plan that can't be used."""

    machine: Rollouts

    def __init__(
        self,
        loop: Loop,
        host: Host,
        service: FleetService,
        rules: RolloutRules,
        ledgers: Callable[[], Ledgers],
    ) -> None:
        """``ledgers``: those of the incarnation that the service is in."""
        self._loop, self._host, self._service, self._rules = loop, host, service, rules
        self._targets: dict[str, Listed] = {}
        self._absent: dict[str, int] = {}  # targets that are no longer listed: since when, ns
        # attempts that are out: their workers' starts, and (0: not yet) their own, ns
        self._sent: dict[Attempt, tuple[int, int]] = {}
        self._usual: dict[str, float] = {}  # ns that a job of a class takes, as learnt here
        self._plan: tuple[bytes, Plan] | None = None
        self._list()
        if rules.plan:
            self._plan = self._read(Path(rules.plan))
            loop.call_at(loop.now() + rules.meet, self._start)
        host.attempt_observer, host.on_worker_list = self, self._news
        self._ledgers = ledgers
        self._verdict: type[News] | None = None
        if service.fleet.starvation is not None:
            from ironbarrow.fleet.starvation.verdict import StarvationBegan

            self._verdict = StarvationBegan
        self._begin(service)
        service.on_renewed(self._begin)
        service.on_news(self._told)

    def _begin(self, service: FleetService) -> None:
        """Another incarnation of the member."""
        self.machine = Rollouts(service.members, self._ledgers(), _unix, self._host.settings)
        self.machine.held = lambda: self._host.slots_waiting
        self.machine.workers(self._loop.now(), self._targets.values())
        service.add(self.machine)

    # The plan

    def _read(self, path: Path) -> tuple[bytes, Plan]:
        """It is held against the workers as far as some are known."""
        try:
            text = path.read_bytes()
            settings = self._host.settings
            classes = {cls.name: cls.worker_kind for cls in settings.classes}
            known = Inventory(tuple(one.target for one in self._targets.values()), classes)
            return text, parse(text, str(path), known if self._targets else None)
        except OSError as error:
            raise FleetError(f"rollout.plan: {path}: can't be read: {error.strerror}") from None

    def _start(self) -> None:
        """Once workers are listed. Danger: a process that starts again must not begin anew what goes on or
        has been done; the cards of its writers, which all members keep, tell."""
        if self._plan is None:
            return
        if not self._targets or len(self._service.members.alive()) < 2:
            self._loop.call_at(self._loop.now() + _LOOK, self._start)
            return
        (text, plan), self._plan = self._plan, None
        if self.machine.known == LEDGER + plan.name:
            log.info("rollout goes on already", plan=plan.name)
            return
        try:
            self._service.order(self.machine.start(self._loop.now(), text, self._rules.plan))
            log.info("rollout begins", plan=plan.name, runtime=plan.runtime)
        except PlanError as error:
            log.error("rollout not started", error=str(error))

    # News

    def _told(self, news: News) -> None:
        """News of this member's machines."""
        if isinstance(news, RolloutChanged):
            say = log.warning if news.stage in _WRONG else log.info
            say(
                "rollout",
                plan=news.name,
                stage=news.stage.name.lower(),
                wave=news.wave,
                rule=news.rule,
                figures=news.figures,
            )
        elif self._verdict is not None and isinstance(news, self._verdict):
            self._starved(news)
        else:
            self._service.order(self.machine.told(self._loop.now(), news))
            if isinstance(news, MemberChanged):
                self._drop_absent()

    def _starved(self, news: Any) -> None:
        """A verdict of this member."""
        seen = StarvationSeen(news.tenant, news.partition, news.began_at)
        self._service.order(self.machine.starvation(self._loop.now(), seen))

    # The list

    def _news(self) -> None:
        self._list()
        self.machine.workers(self._loop.now(), self._targets.values())

    def _list(self) -> None:
        """Slots are the most that a worker was ever listed with: live weights fall with its load."""
        now, listed = self._loop.now(), set()
        for entry in self._host.workers:
            if entry.state is api.WorkerState.GONE:
                continue
            listed.add(entry.worker)
            known = self._targets.get(entry.worker)
            slots = max(entry.weight, known.target.slots if known is not None else 0.0)
            target = Target(entry.worker, entry.zone, entry.kind, slots)
            self._targets[entry.worker] = Listed(target, entry.state is api.WorkerState.UP, entry.started_at)
            self._absent.pop(entry.worker, None)
        for name, one in self._targets.items():
            if name not in listed and name not in self._absent:
                self._absent[name] = now
                self._targets[name] = Listed(one.target, False, one.since)
        self._drop_absent()

    def _drop_absent(self) -> None:
        """Danger: a worker that is being replaced is not listed for a while, and stays a target."""
        now = self._loop.now()
        for name in [n for n, since in self._absent.items() if now > since + self._rules.absent_for]:
            del self._absent[name], self._targets[name]

    # Attempts, for the host

    def sent(self, attempt: Attempt) -> None:
        if not self.machine.known:
            return
        listed = self._targets.get(attempt.worker)
        since = listed.since if listed is not None else 0
        self._sent[attempt] = since, 0
        made = attempt.job.arrival
        usual = int(self._usual.get(made.job_class, 0.0))
        self.machine.signals.sent(attempt.worker, since, made.job_class, usual, made.slots)

    def started(self, attempt: Attempt) -> None:
        noted = self._sent.get(attempt)
        if noted is not None:
            self._sent[attempt] = noted[0], self._loop.now()

    def ended(self, attempt: Attempt, ending: Ending, report: api.LoadReport | None) -> None:
        """What was never whole at its worker says nothing of that one's runtime."""
        since, started = self._sent.pop(attempt, (-1, 0))
        if since < 0:
            return
        end = _ENDS.get(outcome_of(ending, attempt.written)) if attempt.written else None
        made = attempt.job.arrival
        elapsed = self._loop.now() - started if end is End.DONE and started else 0
        if elapsed:
            before = self._usual.get(made.job_class, float(elapsed))
            self._usual[made.job_class] = before + (elapsed - before) / _LEARNT_OVER
        free = report.free_slots if report is not None else None
        worker, name = attempt.worker, made.job_class
        self.machine.signals.ended(worker, since, name, made.slots, end, elapsed, free)
