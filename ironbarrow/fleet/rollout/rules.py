"""What pauses a rollout, and what lets it go on. State and decisions, no input or output.

Three sorts of findings:

* ``RUNTIME``: the new runtime is to blame. The rollout stops: a person lets it go on, or it goes back.
* ``DOUBT``: it looks so, but on one machine alone, which may be sick itself. Nothing spreads: the rollout is
  held, goes on by itself once nothing has added to the doubt for ``clear_for``, and stops after
  ``hold_most``.
* ``SURROUNDINGS``: not the runtime, but no time to take anything out: held, and goes on by itself.

Evidence is kept in memory by the coordinator; one that takes over starts its tests anew, so the stated rate
of false pauses is one for each coordinator's term. That a rollout has stopped, and why, is in the ledger.
"""

import enum
import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.rollout.commands import Observed, StarvationSeen
from ironbarrow.fleet.rollout.plan import Plan, Target
from ironbarrow.fleet.rollout.sequential import Block, Comparison, log_mixture
from ironbarrow.runtime.clock import SECOND

STRETCH = 2 * SECOND  # of one block
_LEARNS = 0.2  # weight of a new figure of slots missing
_PAIRS_MOST = 64  # times of a site, class and side in one block
_REFERENCE_LEAST = 5  # jobs that a machine's usual time is known from


class Blame(enum.IntEnum):
    """What a finding says; the higher ones outweigh the lower ones."""

    SURROUNDINGS = 1
    DOUBT = 2
    RUNTIME = 3


@dataclass(frozen=True, slots=True)
class Finding:
    """One rule that speaks against going on, with its figures in words."""

    rule: str
    blame: Blame
    figures: str


@dataclass(slots=True)
class Machine:
    """A target as the rules see it. ``new``: it has, or is getting, the rollout's runtime."""

    target: Target
    new: bool = False
    up: bool = True
    failed_starts: int = 0
    crashes: deque[int] = field(default_factory=lambda: deque(maxlen=16))  # when, ns
    missing: float = 0.0  # slots that nobody uses and that are not free
    missing_since: int | None = None
    size: float = 0.0


class Hold:
    """A finding over time: there at once, gone only after it was away for a while."""

    __slots__ = ("began_at", "finding", "seen_at")

    def __init__(self, finding: Finding, now: int) -> None:
        self.finding, self.began_at, self.seen_at = finding, now, now


class Judge:
    """The rules of one rollout. Times in ns; ``unix``: Unix time of a time."""

    def __init__(
        self,
        plan: Plan,
        classes: Iterable[str],
        cold_time: int,
        unix: Callable[[int], int],
        runtime_of: Callable[[str, int], tuple[str, bool] | None],
    ) -> None:
        """``runtime_of``: of a worker's name and start the target, and whether it has the new runtime."""
        self._plan, self._rules, self._unix, self._runtime_of = plan, plan.rules, unix, runtime_of
        self._cold_time = cold_time
        self._classes = list(classes)
        self.machines: dict[str, Machine] = {}
        self._numbers: dict[str, tuple[int, int]] = {}  # incarnation and number of the last Observed
        self._sites: dict[str, int] = {}  # when a member of a site was last heard
        self._tests: dict[tuple[str, str, str], Comparison] = {}  # signal, site, class
        self._open: dict[tuple[str, str, str], Block] = {}
        self._times: dict[tuple[str, str, bool], list[tuple[str, float]]] = defaultdict(list)
        self._usual: dict[tuple[str, str], tuple[int, float]] = {}  # of target, class: jobs, mean of log time
        self._mine: dict[str, dict[str, float]] = {}  # by target: slots in use, by member
        self._sent: dict[str, deque[tuple[int, int]]] = defaultdict(lambda: deque(maxlen=1024))
        self._block_at = 0
        self._wave_at = 0
        self.first_at = 0  # when the first wave began, Unix ns
        self._members_then = self._members_now = 0
        self._starved: StarvationSeen | None = None
        self._doubt, self._doubt_at = 0.0, 0  # the most evidence so far, sick machines in it, and since when
        self._held: dict[str, float] = {}
        self._work: tuple[int, float] = (0, 0.0)  # jobs done, their time
        self.holds: dict[str, Hold] = {}
        self.pauses: list[Finding] = []

    # What happens

    def wave_began(self, now: int, members: int) -> None:
        self._wave_at, self._members_then = now, members
        self._members_now = members

    def members(self, count: int) -> None:
        """So many members are alive."""
        self._members_now = count

    def machine(self, target: Target) -> Machine:
        found = self.machines.get(target.name)
        if found is None:
            found = self.machines[target.name] = Machine(target)
        return found

    def start_failed(self, target: Target) -> None:
        self.machine(target).failed_starts += 1

    def crashed(self, now: int, target: Target) -> None:
        self.machine(target).crashes.append(now)

    def starved(self, seen: StarvationSeen) -> None:
        """A verdict; one that began before the first wave says nothing of the runtime."""
        if seen.began_at >= self.first_at:
            self._starved = seen

    def observed(self, now: int, incarnation: Incarnation, seen: Observed) -> None:
        """A member's figures. A repeat or a late one changes nothing."""
        sender, number = incarnation.name, (incarnation.start, seen.number)
        if number <= self._numbers.get(sender, (0, 0)):
            return
        self._numbers[sender] = number
        self._sites[seen.site] = now
        self._held[sender] = seen.held
        used: dict[str, float] = {}
        for load in seen.loads:
            found = self._runtime_of(load.worker, load.started_at)
            if found is not None:
                used[found[0]] = used.get(found[0], 0.0) + load.mine
                self._note_load(now, sender, found[0], load.mine, load.free)
        for target, by_member in self._mine.items():
            if target not in used:
                by_member.pop(sender, None)
        for counts in seen.counts:
            found = self._runtime_of(counts.worker, counts.started_at)
            machine = self.machines.get(found[0]) if found is not None else None
            if found is None or machine is None:
                continue
            target, new = found
            site = machine.target.site
            ended = counts.done + counts.failed + counts.reset
            for signal, bad in (("errors", counts.failed), ("resets", counts.reset)):
                block = self._block(signal, site, counts.job_class)
                if new:
                    n, a = block.new.get(target, (0, 0))
                    block.new[target] = (n + ended, a + bad)
                else:
                    block.old = (block.old[0] + ended, block.old[1] + bad)
            if counts.sent_work:
                self._sent[target].append((now, counts.sent_work))
            warm = self._unix(now) - counts.started_at > self._cold_time + self._cold_time // 2
            for time in counts.times:
                self._work = (self._work[0] + 1, self._work[1] + time)
                if warm or not counts.started_at:
                    self._note_time(site, counts.job_class, target, new, max(1, time))

    def _block(self, signal: str, site: str, job_class: str) -> Block:
        return self._open.setdefault((signal, site, job_class), Block())

    def _note_time(self, site: str, job_class: str, target: str, new: bool, time: int) -> None:
        """Danger: machines differ in speed. A job's time counts against what the same machine took under
        the old runtime."""
        log_time = math.log(time)
        jobs, mean = self._usual.get((target, job_class), (0, 0.0))
        if jobs >= _REFERENCE_LEAST:
            times = self._times[site, job_class, new]
            if len(times) < _PAIRS_MOST:
                times.append((target, log_time - mean))
        if not new:
            self._usual[target, job_class] = (min(jobs + 1, 500), mean + (log_time - mean) / (jobs + 1))

    def _note_load(self, now: int, sender: str, target: str, mine: float, free: float) -> None:
        machine = self.machines.get(target)
        if machine is None:
            return
        by_member = self._mine.setdefault(target, {})
        by_member[sender] = mine
        if free < 0:
            return
        used = sum(by_member.values())
        machine.size = machine.target.slots
        missing = max(0.0, machine.size - used - free)
        machine.missing += _LEARNS * (missing - machine.missing)

    def replaced(self, target: Target) -> None:
        """Its process is a new one: what was noted of the old one's slots and starts is over."""
        machine = self.machine(target)
        machine.missing, machine.missing_since, machine.failed_starts = 0.0, None, 0
        self._sent.pop(target.name, None)
        self._mine.pop(target.name, None)

    # What is known of the load

    def load(self) -> float:
        """Slots of work that the fleet has at hand: in use and waiting."""
        used = sum(sum(by_member.values()) for by_member in self._mine.values())
        return used + sum(self._held.values())

    def mean_time(self) -> float:
        """Of a job, ns; 1 s while nothing is known."""
        return self._work[1] / self._work[0] if self._work[0] else float(SECOND)

    def sent_within(self, now: int, target: str, window: int) -> int:
        """Usual work sent to a worker by all that tell, ns."""
        sent = self._sent.get(target, deque())
        return sum(work for at, work in sent if at > now - window)

    # Findings

    def look(
        self,
        now: int,
        *,
        short: Iterable[tuple[str, float, float]] = (),
        cold_used: Iterable[tuple[str, float]] = (),
        sites: Iterable[str] = (),
    ) -> list[Finding]:
        """What speaks against going on now. ``short``: floors that are broken, with what there is and what
        there should be; ``cold_used``: the part of its budget that each cold one was sent; ``sites``: those
        that have members."""
        if now >= self._block_at + STRETCH:
            self._close_blocks()
            self._block_at = now
        found = [*self._look_at_tests(now), *self._look_at_starts(now), *self._look_at_leaks(now)]
        if self._starved is not None:
            found.append(
                Finding(
                    "starvation",
                    Blame.RUNTIME,
                    f"tenant {self._starved.tenant!r} waits at {self._starved.partition} since the wave",
                )
            )
        for floor, has, wanted in short:
            text = f"{has:g} slots of {floor}, floor {wanted:g}"
            found.append(Finding("capacity", Blame.SURROUNDINGS, text))
        for target, part in cold_used:
            if part >= self._rules.cold_limit:
                text = f"{target}: {part:.2f} of its budget, limit {self._rules.cold_limit:g}"
                found.append(Finding("cold workers", Blame.SURROUNDINGS, text))
        for site in sites:
            silent = now - max(self._sites.get(site, 0), self._wave_at)
            if silent > self._rules.sight:
                text = f"site {site}: nothing for {silent / SECOND:.1f} s"
                found.append(Finding("site out of sight", Blame.SURROUNDINGS, text))
        lost = self._members_then - self._members_now
        if lost > 0 and lost > self._rules.members_lost * self._members_then:
            text = f"{lost} of {self._members_then} since the wave"
            found.append(Finding("members lost", Blame.SURROUNDINGS, text))
        return found

    def _close_blocks(self) -> None:
        for (site, job_class, new), times in list(self._times.items()):
            if new:
                old = self._times.get((site, job_class, False), [])
                old = old or [
                    t for at in self._plan.sites for t in self._times.get((at, job_class, False), [])
                ]
                block = self._block("waits", site, job_class)
                for (target, mine), (_, other) in zip(times, old, strict=False):
                    n, longer = block.new.get(target, (0, 0))
                    block.new[target] = (n + 1, longer + (mine > other))
        self._times.clear()
        elsewhere: dict[tuple[str, str], tuple[int, int]] = {}
        for (signal, _, job_class), block in self._open.items():
            m, b = elsewhere.get((signal, job_class), (0, 0))
            elsewhere[signal, job_class] = (m + block.old[0], b + block.old[1])
        for key, block in self._open.items():
            if block.new and not block.old[0]:
                # nothing of the old runtime is left in the site: that of the other sites, at the same time
                block.old = elsewhere[key[0], key[2]]
            test = self._tests.get(key)
            if test is None:
                pairs = key[0] == "waits"
                limit = self._rules.slower_odds if pairs else self._rules.worse_by
                test = self._tests[key] = Comparison(limit, pairs=pairs)
            test.add(block)
        self._open = {}

    def _look_at_tests(self, now: int) -> list[Finding]:
        if not self._tests:
            return []
        # danger: the stake is divided over all that may come, not over those that have been seen so far
        count = 3 * len(self._plan.sites) * max(1, len(self._classes))
        threshold = -math.log(self._rules.false_pauses)
        found = []
        for certain in (True, False):
            logs = {key: test.log_e if certain else test.log_all for key, test in self._tests.items()}
            total = log_mixture([*logs.values()]) - math.log(count)
            if not certain:
                if total > self._doubt:
                    self._doubt, self._doubt_at = total, now
                elif now - self._doubt_at >= self._rules.clear_for:
                    # danger: a machine that was sick for a while leaves its evidence behind; a runtime that
                    # is bad goes on adding to it
                    continue
            if total >= threshold:
                signal, site, job_class = key = max(logs, key=lambda k: (logs[k], k))
                n, a, m, b = self._tests[key].figures()
                what = (
                    "were slower" if signal == "waits" else "failed" if signal == "errors" else "were reset"
                )
                text = f"site {site}, class {job_class}: {a} of {n} {what}"
                text += "" if signal == "waits" else f", of the old runtime {b} of {m}"
                text += f"; evidence {math.exp(min(50.0, total)):.3g}, limit {math.exp(threshold):.3g}"
                found.append(Finding(signal, Blame.RUNTIME if certain else Blame.DOUBT, text))
                break
        return found

    def _look_at_starts(self, now: int) -> list[Finding]:
        found = []
        new = [m for m in self.machines.values() if m.new]
        failed = [m for m in new if m.failed_starts]
        if sum(m.failed_starts for m in failed) >= self._rules.failed_starts:
            text = f"{sum(m.failed_starts for m in failed)} starts failed, on {len(failed)} machines"
            found.append(Finding("starts", Blame.RUNTIME if len(failed) > 1 else Blame.DOUBT, text))
        after = now - self._rules.crash_window
        crashed = [m for m in new if any(at > after for at in m.crashes)]
        crashes = sum(sum(at > after for at in m.crashes) for m in crashed)
        old = [m for m in self.machines.values() if not m.new]
        others = sum(sum(at > after for at in m.crashes) for m in old)
        usual = others / len(old) * len(new) if old else 0.0
        if crashes - 3 * usual >= self._rules.crashes:
            text = f"{crashes} ends on {len(crashed)} of {len(new)} new ones, {others} on {len(old)} old ones"
            found.append(Finding("crashes", Blame.RUNTIME if len(crashed) > 1 else Blame.DOUBT, text))
        return found

    def _look_at_leaks(self, now: int) -> list[Finding]:
        old = [m for m in self.machines.values() if not m.new]
        new = [m for m in self.machines.values() if m.new]
        usual = sorted(m.missing for m in old)[len(old) // 2] if old else 0.0
        leaking = [m for m in new if self._leaks(now, m, usual)]
        others = [m for m in old if self._leaks(now, m, usual)]
        if not leaking:
            return []
        # of machines that run the old runtime not a third of that part may leak too
        certain = len(leaking) > 1 and len(leaking) * len(old) > 3 * len(others) * len(new)
        worst = max(leaking, key=lambda m: m.missing)
        text = f"{worst.missing:.1f} slots missing on {worst.target.name}, {usual:.1f} on old ones"
        text += f"; on {len(leaking)} of {len(new)} new and {len(others)} of {len(old)} old ones"
        return [Finding("leak", Blame.RUNTIME if certain else Blame.DOUBT, text)]

    def _leaks(self, now: int, machine: Machine, usual: float) -> bool:
        """Whether slots have been missing on a machine for long enough."""
        if machine.missing - usual < self._rules.leaked_slots:
            machine.missing_since = None
            return False
        if machine.missing_since is None:
            machine.missing_since = now
        return now - machine.missing_since >= self._rules.leak_for

    # Over time

    def weigh(self, now: int, findings: list[Finding]) -> Finding | None:
        """Takes in what was found, with hysteresis; what the rollout must stop for, if anything. ``holds``
        are what it waits for."""
        for finding in findings:
            hold = self.holds.get(finding.rule)
            if hold is None:
                self.holds[finding.rule] = Hold(finding, now)
                self.pauses.append(finding)
                del self.pauses[:-256]
            else:
                hold.finding, hold.seen_at = finding, now
            if finding.blame is Blame.RUNTIME:
                return finding
        for rule, hold in list(self.holds.items()):
            if now - hold.seen_at >= self._rules.clear_for:
                del self.holds[rule]
            elif hold.finding.blame is Blame.DOUBT and now - hold.began_at >= self._rules.hold_most:
                text = f"{hold.finding.figures}; in doubt for {(now - hold.began_at) / SECOND:.0f} s"
                return Finding(rule, Blame.RUNTIME, text)
        return None

    def pardon(self, now: int) -> None:
        """A person lets it go on: what was found so far counts no more."""
        self.holds.clear()
        self._tests.clear()
        self._open.clear()
        self._doubt = 0.0
        self._starved = None
        for machine in self.machines.values():
            machine.failed_starts, machine.missing, machine.missing_since = 0, 0.0, None
            machine.crashes.clear()
