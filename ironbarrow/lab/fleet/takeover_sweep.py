"""All combinations of a crash during a take-over with a pause of other members, in virtual time.

A dispatcher is killed, the first one that reaches a fault point of the take-over crashes there, and others
stand still for a while. ``python -m ironbarrow.lab.fleet.takeover_sweep [START ...]`` plays every combination
for each start time and exits with 1 if one breaks a rule.
"""

import itertools
import logging
import multiprocessing
import sys
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

import structlog

from ironbarrow.config.units import Duration
from ironbarrow.fleet.api import Incarnation
from ironbarrow.fleet.file import Fleet, LedgerRules
from ironbarrow.fleet.invariants import INVARIANTS, InvariantError
from ironbarrow.fleet.takeover.steps import LedgerReport, LedgerStep, StepReport
from ironbarrow.lab.fleet.random_takeovers import SETTINGS, UNSAFE
from ironbarrow.lab.fleet.takeover_simulation import TakeoverSimulation
from ironbarrow.lab.sim.clock import EPOCH
from ironbarrow.runtime.clock import MS, SECOND

CRASH_POINTS = ("", "before-claim", "after-seal", "after-adoption")  # "": no crash
PAUSE_STARTS = (700 * MS, 1200 * MS, 1600 * MS, 2000 * MS)  # the kill is at 1.5 s
PAUSE_LENGTHS = (800 * MS, 1500 * MS, 2500 * MS, 3500 * MS)
MAJORITY_TIMEOUTS = (250 * MS, 2 * SECOND)
DISPATCHERS = tuple(f"d{number}" for number in range(5))
_WARM_UP = 1500 * MS
_KILLED_AT = 1500 * MS  # after the warm-up, as all times of a play
_DOWN_TIME = 500 * MS
_JOBS = 120
_JOB_INTERVAL = 33 * MS
_JOB_DEADLINE = 6 * SECOND
_SERVICE_TIMES = (400 * MS, 1300 * MS)
_PLAY_TIME = 14 * SECOND
_LEAST_LIFE = 1 * SECOND  # a shorter-lived incarnation may be unknown to all others
_DETECTION_TIME = 4 * SECOND  # after this time all members know of an end


@dataclass(frozen=True, slots=True)
class Play:
    """One combination of faults. Times in ns; ``start``: offset in ns of the first clock reading, from which
    the ranks of claimants and replicas follow."""

    crash_point: str = ""
    paused: tuple[str, ...] = ()
    pause_at: int = 0
    pause_for: int = 0
    majority_timeout: int = MAJORITY_TIMEOUTS[0]
    start: int = 0
    seed: int = 1
    killed: tuple[str, ...] = ("d0",)
    kill_interval: int = 0  # between two of the kills
    down_time: int = _DOWN_TIME  # of a killed dispatcher


@dataclass(slots=True)
class Accounts:
    """What has become of the ledgers of ended incarnations, as any member has reported it."""

    adopted: set[Incarnation] = field(default_factory=set)
    lost: set[Incarnation] = field(default_factory=set)
    claimants: dict[Incarnation, Incarnation] = field(default_factory=dict)
    copied: set[tuple[Incarnation, Incarnation]] = field(default_factory=set)  # ledger of, claimant
    # ledgers that members have closed for their claimant's sake: ledger of, claimant
    closed_with_claimant: set[tuple[Incarnation, Incarnation]] = field(default_factory=set)
    known_claimed: set[tuple[str, Incarnation]] = field(default_factory=set)  # at a member, ledger of
    held_by_member: set[tuple[str, Incarnation]] = field(default_factory=set)  # the same, by a live one
    closed_as_alive: list[str] = field(default_factory=list)  # although known to be claimed

    def observe(self, name: str, report: StepReport) -> None:
        """Notes a step; to be called for all steps of all members."""
        if not isinstance(report, LedgerReport):
            return
        self._note_closing(name, report)
        if report.step is LedgerStep.ADOPTED:
            (self.adopted if report.whole else self.lost).add(report.incarnation)
        elif report.step is LedgerStep.LOST_WITH_CLAIMANT:
            self.lost.add(report.incarnation)
        elif report.step is LedgerStep.COPIED and report.by is not None:
            self.copied.add((report.incarnation, report.by))
        elif report.by is not None:
            self.claimants[report.incarnation] = report.by

    def _note_closing(self, name: str, report: LedgerReport) -> None:
        known = (name, report.incarnation)
        if report.step is LedgerStep.CLAIMED_BY_MEMBER:
            self.held_by_member.add(known)
        if report.step is LedgerStep.CLAIMED_BY_ENDED:
            self.known_claimed.add(known)
        elif report.step is LedgerStep.CLOSED_MEMBER_ALIVE and known in self.known_claimed:
            self.closed_as_alive.append(f"{name} closed the claimed ledger of {report.incarnation}")
        # a live member that holds the claimant's ledger reports it as open until it has adopted it
        is_held = (name, report.by) in self.held_by_member
        if report.step is LedgerStep.CLOSED_CLAIMANT_TAKEN_OVER and report.by is not None and not is_held:
            self.closed_with_claimant.add((report.incarnation, report.by))

    def wrongly_closed(self) -> list[str]:
        """Ledgers that a member has closed without a proof that another one has their content."""
        return self.closed_as_alive + [
            f"the ledger of {ended} was closed with that of {claimant}, which nobody has adopted"
            for ended, claimant in sorted(self.closed_with_claimant)
            if claimant not in self.adopted
        ]

    def has(self, incarnation: Incarnation, open_ledgers: Collection[Incarnation]) -> bool:
        """Whether a ledger is adopted, or it or the ledger of its claimant is lost or open at a member."""
        copies = {claimant for ended, claimant in self.copied if ended == incarnation}
        if incarnation in self.adopted or copies & self.adopted:
            return True
        seen: set[Incarnation] = set()
        owner: Incarnation | None = incarnation
        while owner is not None and owner not in seen:
            if owner in self.lost or owner in open_ledgers:
                return True
            seen.add(owner)
            owner = self.claimants.get(owner)
        return False


def run_play(play: Play) -> tuple[TakeoverSimulation, list[str]]:
    """Plays one combination until all its jobs are over; returns the world and the rules that it broke."""
    fleet = Fleet(listen="127.0.0.1:0", ledgers=LedgerRules(wait=Duration(play.majority_timeout)))
    world = TakeoverSimulation(
        SETTINGS, len(DISPATCHERS), seed=play.seed, fleet=fleet, workers=6, start=EPOCH + play.start
    )
    accounts = Accounts()
    world.observers.append(accounts.observe)
    world.run(_WARM_UP)
    world.service_times = _SERVICE_TIMES
    begin, later = world.clock.now(), world.clock.call_at
    for number in range(_JOBS):
        job_class = "book" if world.random.random() < 0.5 else "map"
        later(begin + number * _JOB_INTERVAL, _submit, world, f"j{number}", job_class)
    world.first_crash_point = play.crash_point
    for number, name in enumerate(play.killed):
        killed_at = begin + _KILLED_AT + number * play.kill_interval
        later(killed_at, world.kill, name)
        later(killed_at + play.down_time, world.restart, name)
    for name in play.paused:
        later(begin + play.pause_at, world.net.pause, name)
        later(begin + play.pause_at + play.pause_for, world.resume, name)
    try:
        world.run(_PLAY_TIME)
    except InvariantError as error:
        return world, [str(error)]
    violations = [*world.violations(UNSAFE), *forgotten_ledgers(world, accounts)]
    return world, violations + accounts.wrongly_closed()


def _submit(world: TakeoverSimulation, job_id: str, job_class: str) -> None:
    world.submit(job_id, job_class, _JOB_DEADLINE)


def forgotten_ledgers(world: TakeoverSimulation, accounts: Accounts) -> list[str]:
    """Ledgers of ended incarnations that no member has adopted or given up as lost, or is to take over."""
    now = world.clock.now()
    open_ledgers: set[Incarnation] = set()
    for name in world.up():
        open_ledgers |= world.processes[name].adapter.machine.open_ledgers.keys()
    return [
        f"the ledger of {incarnation} was forgotten"
        for incarnation, ended_at in world.ended.items()
        if not accounts.has(incarnation, open_ledgers)
        and ended_at - incarnation.start >= _LEAST_LIFE
        and now - ended_at >= _DETECTION_TIME
    ]


def combinations(start: int) -> Iterator[Play]:
    """Every combination of crash point, paused members, begin and length of the pause, and time-out."""
    others = [name for name in DISPATCHERS if name != "d0"]
    pauses: list[tuple[str, ...]] = [(name,) for name in others]
    pauses += itertools.combinations(others, 2)
    for point, timeout in itertools.product(CRASH_POINTS, MAJORITY_TIMEOUTS):
        yield Play(point, majority_timeout=timeout, start=start, seed=start)
        for paused, at, lasts in itertools.product(pauses, PAUSE_STARTS, PAUSE_LENGTHS):
            yield Play(point, paused, at, lasts, timeout, start, start)


def _violations(play: Play) -> tuple[Play, list[str]]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    INVARIANTS.fatal = True
    return play, run_play(play)[1]


def main() -> int:
    """Plays all combinations for the start times of the command line; returns the exit status."""
    plays = [play for start in sys.argv[1:] or ("0",) for play in combinations(int(start))]
    broken = 0
    with multiprocessing.get_context("spawn").Pool() as pool:
        for play, violations in pool.imap_unordered(_violations, plays, chunksize=8):
            if violations:
                broken += 1
                print(play, violations[:3], flush=True)
    print(f"{len(plays)} plays, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
