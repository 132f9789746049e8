"""Random load on ledgers over a simulated network with faults, and an observer who sees all of it.

Members put jobs into their ledgers, write an intent before they act on one, drop what has ended, and claim
the ledgers of members that are held for dead, rightly or not. Messages are lost, doubled, late, overtaken
and cut one way; members pause, crash and start again. The observer compares what was told to be kept with
what claimants get (*what counted is in the content*), who acts on a job (*one holder*), and at the end,
when all is quiet again, that each job that counted is with exactly one member, or counted as lost where a
majority of replicas has forgotten it.

    python -m ironbarrow.lab.fleet.random_ledgers --seeds 1000 --from 0
"""

import argparse
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from ironbarrow.fleet.api import (
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
    Moved,
    NoMajority,
    job_ledger,
    rank,
)
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import LedgerRules
from ironbarrow.fleet.invariants import INVARIANTS, check
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.node import Node
from ironbarrow.fleet.records import CLAIM, JOB
from ironbarrow.lab.fleet.net import Seat, SimulatedNet, Way
from ironbarrow.lab.fleet.perfect_members import Everyone, StillMembers
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS

LED = "led"  # a ledger that one leads after the other
INTENT, TAKEN = b"intent", b"taken"
_AT = msgspec.msgpack.Decoder(LedgerLocation)


@dataclass
class Run:
    """What one writer has put into one ledger, as the observer saw it."""

    incarnation: Incarnation
    base: dict[str, bytes]
    changes: list[Change] = field(default_factory=list)
    kept: int = 0
    taken: int | None = None  # the last change that is in what another got


class Observer:
    """Sees every order and all news."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = {}
        self.acted: dict[str, Incarnation] = {}
        self.counted: set[str] = set()  # jobs that were kept at some time
        self.ended: set[str] = set()  # jobs that somebody began to drop
        self.counts: Counter[str] = Counter()

    def opened(self, ledger: str, incarnation: Incarnation, base: dict[str, bytes]) -> None:
        self.runs.setdefault(ledger, []).append(Run(incarnation, base))

    def run(self, ledger: str, incarnation: Incarnation) -> Run:
        return next(run for run in reversed(self.runs[ledger]) if run.incarnation == incarnation)

    def kept(self, ledger: str, incarnation: Incarnation, seq: int) -> None:
        run = self.run(ledger, incarnation)
        for change in run.changes[run.kept : seq]:
            if change.key.startswith(JOB) and change.value is not None:
                self.counted.add(change.key)
        run.kept = max(run.kept, seq)
        # what another has got must hold all that is ever told to be kept
        check(
            "what counted is in the content",
            run.taken is None or seq <= run.taken,
            ledger=ledger,
            kept=seq,
            taken=run.taken,
        )

    def got(self, ledger: str, content: dict[str, bytes]) -> None:
        """Another has the ledger's content: it must be what some change at or after the last kept one
        left."""
        for run in reversed(self.runs[ledger]):
            table, found = dict(run.base), None
            for n in range(len(run.changes) + 1):
                if n:
                    change = run.changes[n - 1]
                    if change.value is None:
                        table.pop(change.key, None)
                    else:
                        table[change.key] = change.value
                if n >= run.kept and table == content:
                    found = n
            if found is not None:
                run.taken = found if run.taken is None else max(run.taken, found)
                return
            if run.kept:
                break
        check(
            "what counted is in the content",
            False,
            ledger=ledger,
            content=sorted(content),
            runs=[(r.incarnation, r.kept, len(r.changes)) for r in self.runs[ledger]],
        )

    def acts(self, job: str, incarnation: Incarnation) -> None:
        check("one holder", job not in self.acted, job=job, first=self.acted.get(job), second=incarnation)
        self.acted[job] = incarnation


class Watched(LedgerMachine):
    """The machine, with an observer of all that is appended, by its owner or by itself."""

    observer: Observer

    def _create(self, now: int, ledger: str) -> list[Action]:
        self.observer.opened(ledger, self.me, {})
        return super()._create(now, ledger)

    def _append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        if ledger in self.writers and self.writers[ledger].ready:
            self.observer.run(ledger, self.me).changes.extend(changes)
        return super()._append(now, ledger, changes)


class Owner:
    """One incarnation of a member as the rest of a dispatcher would use its ledgers."""

    def __init__(self, world: "World", seat: Seat, node: Node) -> None:
        self.world, self.seat, self.node, self.incarnation = world, seat, node, node.incarnation
        self.machine = Watched(node.incarnation, StillMembers(world.everyone, node.incarnation), world.rules)
        self.machine.observer = world.observer
        node.add([self.machine])
        self.ledgers: list[str] = []  # of jobs, that it writes
        self.waits: dict[str, list[tuple[int, str, str]]] = {}  # by ledger: number, what to do, on what
        self.jobs = 0
        self.lost: set[str] = set()  # ledgers that can't be had, as told to it

    def start(self) -> None:
        name = job_ledger(self.incarnation)
        self.create(name + (f"+{len(self.ledgers)}" if self.ledgers else ""))

    def create(self, ledger: str) -> None:
        if ledger != LED:
            self.ledgers.append(ledger)
        self.world.order(self, lambda now: self.machine.create(now, ledger))

    def append(self, ledger: str, changes: Sequence[Change], then: str = "", what: str = "") -> None:
        writer = self.machine.writers.get(ledger)
        if writer is None:
            return
        for change in changes:
            if change.key.startswith(JOB) and change.value is None:
                self.world.observer.ended.add(change.key)

        def order(now: int) -> list:  # type: ignore[type-arg]
            seq, actions = self.machine.append(now, ledger, changes)
            self.waits.setdefault(ledger, []).append((seq, then, what))
            return actions

        self.world.order(self, order)

    def work(self, rng: random.Random) -> None:
        """Does a little: takes a job, acts on one, or ends one."""
        ledger = self.writable()
        if ledger is None:
            return
        held = [
            (name, key, value)
            for name in self.ledgers
            if name in self.machine.writers
            for key, value in self.machine.writers[name].table.items()
            if key.startswith(JOB)
        ]
        if len(held) < 40 and rng.random() < 0.6:
            self.jobs += 1
            self.append(ledger, [Change(f"{JOB}{self.incarnation}/{self.jobs}", TAKEN)])
        elif held:
            name, key, value = rng.choice(held)
            if value == TAKEN:
                self.append(name, [Change(key, INTENT)], "act", key)
            else:
                self.append(name, [Change(key)])

    def writable(self) -> str | None:
        """The newest of its ledgers of jobs."""
        names = [name for name in self.ledgers if name in self.machine.writers]
        return names[-1] if names else None

    def hears(self, news: FleetEvent) -> None:
        observer, world = self.world.observer, self.world
        observer.counts[type(news).__name__] += 1
        match news:
            case Committed(ledger, seq):
                observer.kept(ledger, self.incarnation, seq)
                due = [w for w in self.waits.get(ledger, []) if w[0] <= seq]
                self.waits[ledger] = [w for w in self.waits.get(ledger, []) if w[0] > seq]
                for _, then, what in due:
                    if then == "act":
                        observer.acts(what, self.incarnation)
            case Claimed(ledger, content, into):
                observer.got(ledger, content)
                world.later(0, self, lambda: self.adopt(ledger, content, into))
            case ClaimFailed(ledger, by, _):
                if by is None:
                    self.lost.add(ledger)
            case Fenced(ledger):
                self.waits.pop(ledger, None)
                if ledger in self.ledgers and self.writable() in (None, ledger):
                    world.later(0, self, self.start)
            case Moved(at, content) if content is not None:
                observer.got(at.ledger, content)
                observer.opened(at.ledger, self.incarnation, dict(content))
            case NoMajority(ledger, False) if ledger == self.writable():
                world.later(3000 * MS, self, lambda: self.start_over(ledger))

    def start_over(self, ledger: str) -> None:
        """Without a majority for so long: new jobs go into another ledger, the old ones stay where they
        are."""
        writer = self.machine.writers.get(ledger)
        if (
            writer is not None
            and writer._without_majority
            and self.writable() == ledger
            and len(self.ledgers) < 8
        ):
            self.world.observer.counts["started over"] += 1
            self.start()

    def adopt(self, ledger: str, content: dict[str, bytes], into: str) -> None:
        """Replaces the key by what it stands for, in one append; claims by keys in it are gone on with."""
        if into not in self.ledgers:
            self.ledgers.insert(0, into)
        nested = [c for c in content.items() if c[0].startswith(CLAIM) and c[0] != CLAIM + ledger]
        puts = [Change(key, value) for key, value in content.items() if key.startswith(JOB)]
        puts += [Change(key, value) for key, value in nested]
        self.append(into, [*puts, Change(CLAIM + ledger)])
        for _, value in nested:
            self.claim(_AT.decode(value))

    def claim(self, at: LedgerLocation) -> None:
        self.world.order(self, lambda now: self.machine.claim(now, at))


class World:
    """One run, by its seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.net = SimulatedNet(self.clock, Codec(LedgerMachine.handles), seed)
        self.everyone, self.observer = Everyone(), Observer()
        self.rules = LedgerRules(replicas=5 if rng.random() < 0.25 else 3)
        self.owners: dict[str, Owner] = {}
        self.dead: dict[str, LedgerLocation] = {}  # where the ledgers of those held for dead are
        self.pardoned: set[str] = set()
        for i in range(rng.randint(3, 9)):
            seat = self.net.add(f"m{i}", f"s{i % rng.choice((1, 3))}", self._build)
            seat.on_news = lambda news, name=f"m{i}": self.owners[name].hears(news)
            self.net.start(f"m{i}")
        for name in self.net.seats:
            self.owners[name].start()
        self.owners["m0"].create(LED)

    def _build(self, seat: Seat, node: Node) -> None:
        self.everyone.started(node.incarnation, seat.site)
        self.owners[seat.name] = Owner(self, seat, node)

    def order(self, owner: Owner, what) -> None:  # type: ignore[no-untyped-def]
        """Has a member do something now, if that incarnation runs."""
        if owner.seat.node is owner.node:
            self.net.order(owner.seat.name, lambda node, now: node.carry_out(what(now)))

    def later(self, delay: int, owner: Owner, what) -> None:  # type: ignore[no-untyped-def]
        def do() -> None:
            if owner.seat.node is owner.node:
                if owner.seat.paused:
                    owner.seat.waiting.append(what)
                else:
                    what()

        self.clock.call_at(self.clock.now() + delay, do)

    def died(self, name: str) -> None:
        """A name's present incarnation is held for dead: those that follow stand in line for what it
        wrote."""
        member = self.everyone.members[name]
        self.everyone.ended(name)
        for at in member.card.ledgers:
            if at.ledger != LED and at.ledger not in self.dead:
                self.dead[at.ledger] = at
                self.line_up(at, name)

    def line_up(self, at: LedgerLocation, but: str) -> None:
        names = sorted((n for n in self.net.seats if n != but), key=lambda n: -rank(at.ledger, n))
        for place, name in enumerate(names):
            delay = place * self.rng.choice((0, 20, 150)) * MS
            self.later(delay, self.owners[name], lambda n=name: self.owners[n].claim(at))
            if self.rng.random() < 0.4:
                break

    def revived(self, name: str) -> None:
        """It was held for dead, and says that it is alive."""
        if self.net.seats[name].node is not None:
            self.everyone.ended(name, Health.ALIVE)

    def crash(self, name: str) -> None:
        if self.net.seats[name].node is None:
            return
        self.net.crash(name)
        self.clock.call_at(self.clock.now() + self.rng.randint(300, 1200) * MS, self._noticed, name)
        down = int(self.rng.choice((100, 1000, 3000)) * self.rng.uniform(0.5, 1.5)) * MS
        self.clock.call_at(self.clock.now() + down, self.restart, name)

    def _noticed(self, name: str) -> None:
        if self.net.seats[name].node is None:
            self.died(name)

    def restart(self, name: str) -> None:
        if self.net.seats[name].node is None:
            self.died(name)
            self.net.start(name)
            self.owners[name].start()

    def pause(self, name: str) -> None:
        """Stopped for a while; held for dead if that is long, or by mistake."""
        if self.net.seats[name].node is None or self.net.seats[name].paused:
            return
        self.net.pause(name)
        length = self.rng.choice((50, 800, 3000)) * MS
        if self.rng.random() < 0.6:
            self.clock.call_at(self.clock.now() + length // 2, self.died, name)
        self.clock.call_at(self.clock.now() + length, self._resumed, name)

    def _resumed(self, name: str) -> None:
        if self.net.seats[name].node is not None and self.net.seats[name].paused:
            self.net.resume(name)
        self.revived(name)

    def fault(self) -> None:
        """Something goes wrong, or is mended."""
        rng, names = self.rng, list(self.net.seats)
        a, b = rng.sample(names, 2)
        match rng.randrange(9):
            case 0 | 1:
                self.crash(a)
            case 2 | 3:
                self.pause(a)
            case 4:
                self.net.cut(a, b, both=rng.random() < 0.5)
            case 5:
                for other in names:
                    if other != a:
                        self.net.cut(a, other, both=rng.random() < 0.7)
                if rng.random() < 0.7:
                    self.clock.call_at(self.clock.now() + 900 * MS, self.died, a)
                    self.clock.call_at(self.clock.now() + 2500 * MS, self.revived, a)
            case 6:
                self.net.usual = Way(
                    jitter=rng.choice((0, 1, 20, 200)) * MS,
                    lost=rng.choice((0, 0.02, 0.2)),
                    doubled=rng.choice((0, 0.1, 0.3)),
                )
            case 7:
                self.net.mend()
            case 8:
                at = next((w.at for o in self.owners.values() for w in o.machine.writers.values()
                           if w.at.ledger == LED and w.opened), None)  # fmt: skip
                if at is not None:
                    owner = self.owners[a]
                    if LED not in owner.machine.writers:
                        self.order(owner, lambda now: owner.machine.lead(now, at))

    def run(self) -> Counter[str]:
        """Ten seconds of load and faults, then quiet; what came about. An InvariantError says what must
        never be."""
        rng = self.rng
        self.net.run(20 * MS)
        for _ in range(rng.randint(200, 500)):
            self.net.run(int(rng.expovariate(1 / (25 * MS))))
            name = rng.choice(list(self.net.seats))
            owner = self.owners[name]
            if self.net.seats[name].node is not None and not self.net.seats[name].paused:
                for _ in range(rng.choice((1, 1, 5))):
                    owner.work(rng)
                if LED in owner.machine.writers and rng.random() < 0.5:
                    owner.append(LED, [Change(f"step{rng.randrange(6)}", b"%d" % rng.randrange(99))])
            if rng.random() < 0.05:
                self.fault()
        self.quiet()
        self.verdict()
        return self.observer.counts

    def quiet(self) -> None:
        """No more faults: all run, all ledgers of the dead are claimed by somebody."""
        self.net.mend()
        self.net.usual = Way()
        self.net.run(8000 * MS)
        for name, seat in self.net.seats.items():
            if seat.paused:
                self.net.resume(name)
            self.restart(name)
            self.revived(name)
        for _ in range(4):
            self.net.run(6000 * MS)
            for at in list(self.dead.values()):
                for name in self.net.seats:
                    self.owners[name].claim(at)
                self.net.run(50 * MS)
        self.net.run(10_000 * MS)

    def verdict(self) -> None:
        """Each job that counted is with one member, or its ledger is lost."""
        where: dict[str, list[Incarnation]] = {}
        stuck: set[str] = set()
        for owner in self.owners.values():
            for name in owner.ledgers:
                writer = owner.machine.writers.get(name)
                if writer is not None and writer._without_majority:
                    stuck.update(writer.table)  # it can do nothing with them
                    continue
                for key in writer.table if writer is not None else ():
                    if key.startswith(JOB):
                        where.setdefault(key, []).append(owner.incarnation)
        self.observer.counts["stuck"] += len(stuck)
        lost_ledgers = {ledger for owner in self.owners.values() for ledger in owner.lost}
        forgotten = {
            change.key
            for ledger in lost_ledgers
            for run in self.observer.runs[ledger]
            for change in run.changes
        }
        for job, incarnations in where.items():
            check(
                "one holder",
                len(incarnations) == 1,
                job=job,
                incarnations=[str(incarnation) for incarnation in incarnations],
            )
        for job in self.observer.counted - self.observer.ended:
            if job not in where and job not in stuck:
                check("what counted is in the content", job in forgotten, job=job, holder=None)
                self.observer.counts["lost for want of replicas"] += 1
        self.observer.counts["jobs"] += len(self.observer.counted)
        self.observer.counts["acted"] += len(self.observer.acted)


def main() -> None:
    """Runs seeds; ends with 1 at the first that fails, and says how to run it again."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from", type=int, default=0, dest="first")
    options = parser.parse_args()
    INVARIANTS.fatal = True
    counts: Counter[str] = Counter()
    began = time.monotonic()
    for seed in range(options.first, options.first + options.seeds):
        try:
            counts += World(seed).run()
        except Exception:
            print(f"python -m ironbarrow.lab.fleet.random_ledgers --seeds 1 --from {seed}")
            raise
    print(f"{options.seeds} seeds in {time.monotonic() - began:.1f} s: {dict(counts)}")
    print(dict(INVARIANTS.checked))


if __name__ == "__main__":
    main()
