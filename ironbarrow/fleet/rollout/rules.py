"""The rules that pause a rollout and let it continue. State and decisions, no input or output.

A finding has one of three causes:

* ``RUNTIME``: the new runtime. The rollout stops until an operator resumes it, or is rolled back.
* ``UNCERTAIN``: the new runtime or a single sick machine. The rollout is held, so that the runtime does not
  spread. It continues by itself once no evidence has been added for ``clear_for``, and stops after
  ``hold_most``.
* ``ENVIRONMENT``: not the runtime, but a bad time to take targets out of use. The rollout is held and
continues
  by itself.

The evidence is in the coordinator's memory. A coordinator that takes over starts the tests again, so the
stated rate of false pauses holds for each coordinator's term. That a rollout has stopped, and why, is in the
ledger.
"""

import enum
import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.rollout.commands import DispatcherReport, StarvationReport
from ironbarrow.fleet.rollout.plan import Plan, Target
from ironbarrow.fleet.rollout.sequential import Block, Comparison, log_mixture
from ironbarrow.runtime.clock import SECOND

BLOCK_DURATION = 2 * SECOND  # of a block of the sequential tests
_MISSING_SLOTS_SMOOTHING = 0.2  # weight of a new value in the moving average of missing slots
_MAX_PAIRS = 64  # durations of a site, class and runtime (old or new) in one block
_MIN_REFERENCE_JOBS = 5  # before a machine's usual duration of a job class counts as known


class Cause(enum.IntEnum):
    """The cause of a finding; higher values take precedence."""

    ENVIRONMENT = 1
    UNCERTAIN = 2
    RUNTIME = 3


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that calls for a pause, with the measured values as text."""

    rule: str
    cause: Cause
    details: str


@dataclass(slots=True)
class TargetState:
    """What the rules know of a target. ``new``: it has the rollout's runtime, or is being started with it."""

    target: Target
    new: bool = False
    up: bool = True
    failed_starts: int = 0
    crashes: deque[int] = field(default_factory=lambda: deque(maxlen=16))  # times, ns
    missing_slots: float = 0.0  # moving average of slots that no dispatcher uses and that are not free
    missing_since: int | None = None
    size: float = 0.0


class Hold:
    """A pause for a finding: it begins at once and ends after the finding has been absent for a while."""

    __slots__ = ("began_at", "finding", "seen_at")

    def __init__(self, finding: Finding, now: int) -> None:
        self.finding, self.began_at, self.seen_at = finding, now, now


class RolloutEvaluator:
    """Evaluates the pause rules of one rollout. Times in ns; ``to_unix`` converts a time to Unix time."""

    def __init__(
        self,
        plan: Plan,
        classes: Iterable[str],
        cold_time: int,
        to_unix: Callable[[int], int],
        identify: Callable[[str, int], tuple[str, bool] | None],
    ) -> None:
        """``identify`` returns, for a worker's name and start, its target and whether it has the new
        runtime."""
        self._plan, self._rules, self._to_unix, self._identify = plan, plan.rules, to_unix, identify
        self._cold_time = cold_time
        self._classes = list(classes)
        self.target_states: dict[str, TargetState] = {}
        self._last_reports: dict[
            str, tuple[int, int]
        ] = {}  # by member: start of its incarnation, number of the report
        self._site_last_seen: dict[str, int] = {}  # time of the last report of a member there
        self._tests: dict[tuple[str, str, str], Comparison] = {}  # by signal, site, class
        self._open_blocks: dict[tuple[str, str, str], Block] = {}
        # by site, class, new runtime or not: target, log of the duration relative to the usual one
        self._relative_durations: dict[tuple[str, str, bool], list[tuple[str, float]]] = defaultdict(list)
        # with the old runtime, by target and class: number of jobs, mean of the log duration
        self._reference_durations: dict[tuple[str, str], tuple[int, float]] = {}
        self._used_slots: dict[str, dict[str, float]] = {}  # by target and member
        # by target: time and ns of usual work
        self._sent_work: dict[str, deque[tuple[int, int]]] = defaultdict(lambda: deque(maxlen=1024))
        self._block_began_at = 0
        self._wave_began_at = 0
        self.first_wave_at = 0  # when the first wave began, Unix ns
        self._members_at_wave_start = self._members_now = 0
        self._starvation: StarvationReport | None = None
        # the highest log evidence so far over all machines, and when it was reached
        self._peak_evidence, self._peak_evidence_at = 0.0, 0
        self._waiting_slots: dict[str, float] = {}  # by member
        self._completed_jobs: tuple[int, float] = (0, 0.0)  # number, sum of their durations
        self.holds: dict[str, Hold] = {}
        self.pauses: list[Finding] = []

    # Input

    def begin_wave(self, now: int, members: int) -> None:
        """Notes the begin of a wave, with the number of members that are alive."""
        self._wave_began_at, self._members_at_wave_start = now, members
        self._members_now = members

    def set_member_count(self, count: int) -> None:
        """Sets the number of members that are alive."""
        self._members_now = count

    def target_state(self, target: Target) -> TargetState:
        """Returns the state of a target, a new one for an unknown target."""
        found = self.target_states.get(target.name)
        if found is None:
            found = self.target_states[target.name] = TargetState(target)
        return found

    def record_failed_start(self, target: Target) -> None:
        """Counts a start after which the target's process did not come up."""
        self.target_state(target).failed_starts += 1

    def record_crash(self, now: int, target: Target) -> None:
        """Counts an unexpected exit of the target's process."""
        self.target_state(target).crashes.append(now)

    def record_starvation(self, report: StarvationReport) -> None:
        """Records a verdict. Starvation that began before the first wave is not caused by the runtime."""
        if report.began_at >= self.first_wave_at:
            self._starvation = report

    def record_report(self, now: int, incarnation: Incarnation, report: DispatcherReport) -> None:
        """Adds a member's report; repeated and late ones are ignored."""
        sender, number = incarnation.name, (incarnation.start, report.number)
        if number <= self._last_reports.get(sender, (0, 0)):
            return
        self._last_reports[sender] = number
        self._site_last_seen[report.site] = now
        self._waiting_slots[sender] = report.waiting_slots
        used: dict[str, float] = {}
        for load in report.loads:
            found = self._identify(load.worker, load.started_at)
            if found is not None:
                used[found[0]] = used.get(found[0], 0.0) + load.own_slots
                self._record_load(now, sender, found[0], load.own_slots, load.free_slots)
        for target, by_member in self._used_slots.items():
            if target not in used:
                by_member.pop(sender, None)
        for counts in report.counts:
            found = self._identify(counts.worker, counts.started_at)
            target_state = self.target_states.get(found[0]) if found is not None else None
            if found is None or target_state is None:
                continue
            target, new = found
            site = target_state.target.site
            ended = counts.done + counts.failed + counts.reset
            for signal, bad in (("errors", counts.failed), ("resets", counts.reset)):
                block = self._block(signal, site, counts.job_class)
                if new:
                    n, a = block.new.get(target, (0, 0))
                    block.new[target] = (n + ended, a + bad)
                else:
                    block.old = (block.old[0] + ended, block.old[1] + bad)
            if counts.sent_work:
                self._sent_work[target].append((now, counts.sent_work))
            warm = self._to_unix(now) - counts.started_at > self._cold_time + self._cold_time // 2
            for time in counts.durations:
                self._completed_jobs = (self._completed_jobs[0] + 1, self._completed_jobs[1] + time)
                if warm or not counts.started_at:
                    self._record_duration(site, counts.job_class, target, new, max(1, time))

    def _block(self, signal: str, site: str, job_class: str) -> Block:
        return self._open_blocks.setdefault((signal, site, job_class), Block())

    def _record_duration(self, site: str, job_class: str, target: str, new: bool, time: int) -> None:
        """Records a job's duration, relative to the durations on the same machine under the old runtime, as
        machines differ in speed."""
        log_time = math.log(time)
        jobs, mean = self._reference_durations.get((target, job_class), (0, 0.0))
        if jobs >= _MIN_REFERENCE_JOBS:
            times = self._relative_durations[site, job_class, new]
            if len(times) < _MAX_PAIRS:
                times.append((target, log_time - mean))
        if not new:
            self._reference_durations[target, job_class] = (
                min(jobs + 1, 500),
                mean + (log_time - mean) / (jobs + 1),
            )

    def _record_load(self, now: int, sender: str, target: str, own_slots: float, free_slots: float) -> None:
        target_state = self.target_states.get(target)
        if target_state is None:
            return
        by_member = self._used_slots.setdefault(target, {})
        by_member[sender] = own_slots
        if free_slots < 0:
            return
        used = sum(by_member.values())
        target_state.size = target_state.target.slots
        missing_slots = max(0.0, target_state.size - used - free_slots)
        target_state.missing_slots += _MISSING_SLOTS_SMOOTHING * (missing_slots - target_state.missing_slots)

    def record_replacement(self, target: Target) -> None:
        """Clears what was recorded of the slots and starts of a target's former process."""
        target_state = self.target_state(target)
        target_state.missing_slots, target_state.missing_since, target_state.failed_starts = 0.0, None, 0
        self._sent_work.pop(target.name, None)
        self._used_slots.pop(target.name, None)

    # Load

    def load(self) -> float:
        """Returns the fleet's load in slots: in use, and wanted by waiting jobs."""
        used = sum(sum(by_member.values()) for by_member in self._used_slots.values())
        return used + sum(self._waiting_slots.values())

    def mean_duration(self) -> float:
        """Returns the mean duration of a job, ns; 1 s as long as none is known."""
        return self._completed_jobs[1] / self._completed_jobs[0] if self._completed_jobs[0] else float(SECOND)

    def sent_work_within(self, now: int, target: str, window: int) -> int:
        """Returns the usual work (ns) that all reporting members sent to a worker within ``window`` (ns)."""
        sent = self._sent_work.get(target, deque())
        return sum(work for at, work in sent if at > now - window)

    # Findings

    def evaluate(
        self,
        now: int,
        *,
        floor_shortfalls: Iterable[tuple[str, float, float]] = (),
        cold_budget_use: Iterable[tuple[str, float]] = (),
        sites: Iterable[str] = (),
    ) -> list[Finding]:
        """Returns what calls for a pause now.

        ``floor_shortfalls``: the floors that do not hold, with available and wanted slots;
        ``cold_budget_use``: the used part of each cold worker's budget; ``sites``: those that members have to
        report from."""
        if now >= self._block_began_at + BLOCK_DURATION:
            self._close_blocks()
            self._block_began_at = now
        found = [*self._evaluate_tests(now), *self._evaluate_starts(now), *self._evaluate_leaks(now)]
        if self._starvation is not None:
            found.append(
                Finding(
                    "starvation",
                    Cause.RUNTIME,
                    f"tenant {self._starvation.tenant!r} waits at {self._starvation.partition}"
                    " since the wave",
                )
            )
        for floor, available, wanted in floor_shortfalls:
            text = f"{available:g} slots of {floor}, floor {wanted:g}"
            found.append(Finding("capacity", Cause.ENVIRONMENT, text))
        for target, part in cold_budget_use:
            if part >= self._rules.cold_limit:
                text = f"{target}: {part:.2f} of its budget, limit {self._rules.cold_limit:g}"
                found.append(Finding("cold workers", Cause.ENVIRONMENT, text))
        for site in sites:
            silent = now - max(self._site_last_seen.get(site, 0), self._wave_began_at)
            if silent > self._rules.sight:
                text = f"site {site}: nothing for {silent / SECOND:.1f} s"
                found.append(Finding("site out of sight", Cause.ENVIRONMENT, text))
        lost = self._members_at_wave_start - self._members_now
        if lost > 0 and lost > self._rules.members_lost * self._members_at_wave_start:
            text = f"{lost} of {self._members_at_wave_start} since the wave"
            found.append(Finding("members lost", Cause.ENVIRONMENT, text))
        return found

    def _close_blocks(self) -> None:
        for (site, job_class, new), times in list(self._relative_durations.items()):
            if new:
                old = self._relative_durations.get((site, job_class, False), [])
                old = old or [
                    t
                    for at in self._plan.sites
                    for t in self._relative_durations.get((at, job_class, False), [])
                ]
                block = self._block("waits", site, job_class)
                for (target, new_duration), (_, old_duration) in zip(times, old, strict=False):
                    n, longer = block.new.get(target, (0, 0))
                    block.new[target] = (n + 1, longer + (new_duration > old_duration))
        self._relative_durations.clear()
        elsewhere: dict[tuple[str, str], tuple[int, int]] = {}
        for (signal, _, job_class), block in self._open_blocks.items():
            m, b = elsewhere.get((signal, job_class), (0, 0))
            elsewhere[signal, job_class] = (m + block.old[0], b + block.old[1])
        for key, block in self._open_blocks.items():
            if block.new and not block.old[0]:
                # No target of the site has the old runtime any more: compare with all sites in the same
                # period.
                block.old = elsewhere[key[0], key[2]]
            test = self._tests.get(key)
            if test is None:
                pairs = key[0] == "waits"
                limit = self._rules.slower_odds if pairs else self._rules.worse_by
                test = self._tests[key] = Comparison(limit, pairs=pairs)
            test.add(block)
        self._open_blocks = {}

    def _evaluate_tests(self, now: int) -> list[Finding]:
        if not self._tests:
            return []
        # The stake has to be divided among all tests that may come, not just those seen so far. Otherwise a
        # good runtime would be stopped more often than ``false_pauses`` allows.
        count = 3 * len(self._plan.sites) * max(1, len(self._classes))
        threshold = -math.log(self._rules.false_pauses)
        found = []
        for certain in (True, False):
            logs = {key: test.log_e if certain else test.log_all for key, test in self._tests.items()}
            total = log_mixture([*logs.values()]) - math.log(count)
            if not certain:
                if total > self._peak_evidence:
                    self._peak_evidence, self._peak_evidence_at = total, now
                elif now - self._peak_evidence_at >= self._rules.clear_for:
                    # A machine that was sick for a while leaves its evidence behind, which would hold the
                    # rollout for ever. A bad runtime keeps adding evidence.
                    continue
            if total >= threshold:
                signal, site, job_class = key = max(logs, key=lambda k: (logs[k], k))
                n, a, m, b = self._tests[key].totals()
                what = (
                    "were slower" if signal == "waits" else "failed" if signal == "errors" else "were reset"
                )
                text = f"site {site}, class {job_class}: {a} of {n} {what}"
                text += "" if signal == "waits" else f", of the old runtime {b} of {m}"
                text += f"; evidence {math.exp(min(50.0, total)):.3g}, limit {math.exp(threshold):.3g}"
                found.append(Finding(signal, Cause.RUNTIME if certain else Cause.UNCERTAIN, text))
                break
        return found

    def _evaluate_starts(self, now: int) -> list[Finding]:
        found = []
        new = [m for m in self.target_states.values() if m.new]
        failed = [m for m in new if m.failed_starts]
        if sum(m.failed_starts for m in failed) >= self._rules.failed_starts:
            text = f"{sum(m.failed_starts for m in failed)} starts failed, on {len(failed)} machines"
            found.append(Finding("starts", Cause.RUNTIME if len(failed) > 1 else Cause.UNCERTAIN, text))
        after = now - self._rules.crash_window
        crashed = [m for m in new if any(at > after for at in m.crashes)]
        crashes = sum(sum(at > after for at in m.crashes) for m in crashed)
        old = [m for m in self.target_states.values() if not m.new]
        others = sum(sum(at > after for at in m.crashes) for m in old)
        usual = others / len(old) * len(new) if old else 0.0
        if crashes - 3 * usual >= self._rules.crashes:
            text = f"{crashes} ends on {len(crashed)} of {len(new)} new ones, {others} on {len(old)} old ones"
            found.append(Finding("crashes", Cause.RUNTIME if len(crashed) > 1 else Cause.UNCERTAIN, text))
        return found

    def _evaluate_leaks(self, now: int) -> list[Finding]:
        old = [m for m in self.target_states.values() if not m.new]
        new = [m for m in self.target_states.values() if m.new]
        usual = sorted(m.missing_slots for m in old)[len(old) // 2] if old else 0.0
        leaking = [m for m in new if self._is_leaking(now, m, usual)]
        others = [m for m in old if self._is_leaking(now, m, usual)]
        if not leaking:
            return []
        # Only certain if the part of leaking machines is more than three times that with the old runtime.
        certain = len(leaking) > 1 and len(leaking) * len(old) > 3 * len(others) * len(new)
        worst = max(leaking, key=lambda m: m.missing_slots)
        text = f"{worst.missing_slots:.1f} slots missing on {worst.target.name}, {usual:.1f} on old ones"
        text += f"; on {len(leaking)} of {len(new)} new and {len(others)} of {len(old)} old ones"
        return [Finding("leak", Cause.RUNTIME if certain else Cause.UNCERTAIN, text)]

    def _is_leaking(self, now: int, target_state: TargetState, usual: float) -> bool:
        """Whether slots have been missing on a machine for at least ``leak_for``."""
        if target_state.missing_slots - usual < self._rules.leaked_slots:
            target_state.missing_since = None
            return False
        if target_state.missing_since is None:
            target_state.missing_since = now
        return now - target_state.missing_since >= self._rules.leak_for

    # Holds

    def update_holds(self, now: int, findings: list[Finding]) -> Finding | None:
        """Updates ``holds``, for which the rollout waits, from the present findings, with hysteresis.

        Returns the finding for which the rollout has to stop; None if there is none."""
        for finding in findings:
            hold = self.holds.get(finding.rule)
            if hold is None:
                self.holds[finding.rule] = Hold(finding, now)
                self.pauses.append(finding)
                del self.pauses[:-256]
            else:
                hold.finding, hold.seen_at = finding, now
            if finding.cause is Cause.RUNTIME:
                return finding
        for rule, hold in list(self.holds.items()):
            if now - hold.seen_at >= self._rules.clear_for:
                del self.holds[rule]
            elif hold.finding.cause is Cause.UNCERTAIN and now - hold.began_at >= self._rules.hold_most:
                text = f"{hold.finding.details}; in doubt for {(now - hold.began_at) / SECOND:.0f} s"
                return Finding(rule, Cause.RUNTIME, text)
        return None

    def reset(self, now: int) -> None:
        """Discards all findings and evidence when an operator resumes the rollout."""
        self.holds.clear()
        self._tests.clear()
        self._open_blocks.clear()
        self._peak_evidence = 0.0
        self._starvation = None
        for target_state in self.target_states.values():
            target_state.failed_starts, target_state.missing_slots, target_state.missing_since = 0, 0.0, None
            target_state.crashes.clear()
