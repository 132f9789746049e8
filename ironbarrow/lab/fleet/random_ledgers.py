"""Random load and faults on ledgers over a simulated network, checked by an observer of all members.

Members append jobs to their ledgers, write an intent before they act on a job, remove ended jobs, and claim
the ledgers of members that they see as dead, rightly or wrongly. Messages are lost, duplicated, delayed,
reordered and blocked in one direction; members pause, crash and restart. The observer compares what was
reported as committed with what claimants get (*what counted is in the content*) and checks that only one
member acts on a job (*one holder*). At the end, after the faults have stopped, each committed job must be
with exactly one member, or in a ledger that was lost with the majority of its replicas.

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
from ironbarrow.lab.fleet.net import LinkConditions, SimulatedNet, SimulatedPeer
from ironbarrow.lab.fleet.perfect_members import PerfectMembers, TrueMembership
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS

LEADER_LEDGER = "led"  # a ledger that passes from leader to leader
INTENT, TAKEN = b"intent", b"taken"
_LOCATION_DECODER = msgspec.msgpack.Decoder(LedgerLocation)


@dataclass
class WriteHistory:
    """All changes that one writer appended to one ledger."""

    incarnation: Incarnation
    base: dict[str, bytes]  # the content before the first change
    changes: list[Change] = field(default_factory=list)
    committed: int = 0  # number of changes reported as committed
    claimed_index: int | None = None  # number of changes in the content that another member got


class Observer:
    """Records all appends and events of all members and checks the invariants."""

    def __init__(self) -> None:
        self.histories: dict[str, list[WriteHistory]] = {}
        self.acting: dict[str, Incarnation] = {}  # by job: who acted on it
        self.committed_jobs: set[str] = set()  # jobs that were ever committed
        self.removed_jobs: set[str] = set()  # jobs whose removal was requested
        self.counts: Counter[str] = Counter()

    def opened(self, ledger: str, incarnation: Incarnation, base: dict[str, bytes]) -> None:
        """Records a new writer of a ledger with its initial content."""
        self.histories.setdefault(ledger, []).append(WriteHistory(incarnation, base))

    def history(self, ledger: str, incarnation: Incarnation) -> WriteHistory:
        """Returns the newest history of a ledger by this writer."""
        return next(
            history for history in reversed(self.histories[ledger]) if history.incarnation == incarnation
        )

    def committed(self, ledger: str, incarnation: Incarnation, seq: int) -> None:
        """Records that a writer was told that its changes up to ``seq`` are committed."""
        history = self.history(ledger, incarnation)
        for change in history.changes[history.committed : seq]:
            if change.key.startswith(JOB) and change.value is not None:
                self.committed_jobs.add(change.key)
        history.committed = max(history.committed, seq)
        # content that another member got must include every change that is ever reported as committed
        check(
            "what counted is in the content",
            history.claimed_index is None or seq <= history.claimed_index,
            ledger=ledger,
            committed=seq,
            claimed_index=history.claimed_index,
        )

    def claimed(self, ledger: str, content: dict[str, bytes]) -> None:
        """Checks the content that another member got: it must be the state after some change, and not before
        the last committed one."""
        for history in reversed(self.histories[ledger]):
            table, found_index = dict(history.base), None
            for n in range(len(history.changes) + 1):
                if n:
                    change = history.changes[n - 1]
                    if change.value is None:
                        table.pop(change.key, None)
                    else:
                        table[change.key] = change.value
                if n >= history.committed and table == content:
                    found_index = n
            if found_index is not None:
                history.claimed_index = (
                    found_index if history.claimed_index is None else max(history.claimed_index, found_index)
                )
                return
            if history.committed:
                break
        check(
            "what counted is in the content",
            False,
            ledger=ledger,
            content=sorted(content),
            histories=[(r.incarnation, r.committed, len(r.changes)) for r in self.histories[ledger]],
        )

    def acts(self, job: str, incarnation: Incarnation) -> None:
        """Checks that no other member has acted on the job."""
        check("one holder", job not in self.acting, job=job, first=self.acting.get(job), second=incarnation)
        self.acting[job] = incarnation


class ObservedLedgers(LedgerMachine):
    """A member's ledgers; reports all changes to the observer, those that the machine itself appends too."""

    observer: Observer

    def _create(self, now: int, ledger: str) -> list[Action]:
        self.observer.opened(ledger, self.me, {})
        return super()._create(now, ledger)

    def _append(self, now: int, ledger: str, changes: Sequence[Change]) -> tuple[int, list[Action]]:
        if ledger in self.writers and self.writers[ledger].ready:
            self.observer.history(ledger, self.me).changes.extend(changes)
        return super()._append(now, ledger, changes)


class LedgerOwner:
    """One incarnation of a member; uses the ledgers as a dispatcher does."""

    def __init__(self, world: "LedgerSimulation", peer: SimulatedPeer, node: Node) -> None:
        self.world, self.peer, self.node, self.incarnation = world, peer, node, node.incarnation
        self.machine = ObservedLedgers(
            node.incarnation, PerfectMembers(world.membership, node.incarnation), world.rules
        )
        self.machine.observer = world.observer
        node.add([self.machine])
        self.ledgers: list[str] = []  # its ledgers of jobs, oldest first
        # by ledger: sequence number, action to take once it is committed, and its job
        self.pending_commits: dict[str, list[tuple[int, str, str]]] = {}
        self.jobs = 0
        self.failed_claims: set[str] = set()  # ledgers that no majority of their replicas remembers

    def start(self) -> None:
        """Creates a further ledger of jobs."""
        name = job_ledger(self.incarnation)
        self.create(name + (f"+{len(self.ledgers)}" if self.ledgers else ""))

    def create(self, ledger: str) -> None:
        if ledger != LEADER_LEDGER:
            self.ledgers.append(ledger)
        self.world.run_on(self, lambda now: self.machine.create(now, ledger))

    def append(self, ledger: str, changes: Sequence[Change], action: str = "", what: str = "") -> None:
        writer = self.machine.writers.get(ledger)
        if writer is None:
            return
        for change in changes:
            if change.key.startswith(JOB) and change.value is None:
                self.world.observer.removed_jobs.add(change.key)

        def append(now: int) -> list:  # type: ignore[type-arg]
            seq, actions = self.machine.append(now, ledger, changes)
            self.pending_commits.setdefault(ledger, []).append((seq, action, what))
            return actions

        self.world.run_on(self, append)

    def work(self, rng: random.Random) -> None:
        """Takes a job, writes the intent of one, or removes one, at random."""
        ledger = self.writable()
        if ledger is None:
            return
        owned = [
            (name, key, value)
            for name in self.ledgers
            if name in self.machine.writers
            for key, value in self.machine.writers[name].table.items()
            if key.startswith(JOB)
        ]
        if len(owned) < 40 and rng.random() < 0.6:
            self.jobs += 1
            self.append(ledger, [Change(f"{JOB}{self.incarnation}/{self.jobs}", TAKEN)])
        elif owned:
            name, key, value = rng.choice(owned)
            if value == TAKEN:
                self.append(name, [Change(key, INTENT)], "act", key)
            else:
                self.append(name, [Change(key)])

    def writable(self) -> str | None:
        """Returns the newest of its ledgers of jobs that it may write."""
        names = [name for name in self.ledgers if name in self.machine.writers]
        return names[-1] if names else None

    def on_event(self, event: FleetEvent) -> None:
        observer, world = self.world.observer, self.world
        observer.counts[type(event).__name__] += 1
        match event:
            case Committed(ledger, seq):
                observer.committed(ledger, self.incarnation, seq)
                due = [w for w in self.pending_commits.get(ledger, []) if w[0] <= seq]
                self.pending_commits[ledger] = [w for w in self.pending_commits.get(ledger, []) if w[0] > seq]
                for _, action, what in due:
                    if action == "act":
                        observer.acts(what, self.incarnation)
            case Claimed(ledger, content, into):
                observer.claimed(ledger, content)
                world.call_later(0, self, lambda: self.adopt(ledger, content, into))
            case ClaimFailed(ledger, by, _):
                if by is None:
                    self.failed_claims.add(ledger)
            case Fenced(ledger):
                self.pending_commits.pop(ledger, None)
                if ledger in self.ledgers and self.writable() in (None, ledger):
                    world.call_later(0, self, self.start)
            case Moved(at, content) if content is not None:
                observer.claimed(at.ledger, content)
                observer.opened(at.ledger, self.incarnation, dict(content))
            case NoMajority(ledger, False) if ledger == self.writable():
                world.call_later(3000 * MS, self, lambda: self.open_another_ledger(ledger))

    def open_another_ledger(self, ledger: str) -> None:
        """Opens a new ledger for new jobs, if this one still has no majority. Its jobs stay where they
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
        """Appends a claimed ledger's jobs and removes the claim's key in one append; resumes the claims in
        it."""
        if into not in self.ledgers:
            self.ledgers.insert(0, into)
        open_claims = [c for c in content.items() if c[0].startswith(CLAIM) and c[0] != CLAIM + ledger]
        changes = [Change(key, value) for key, value in content.items() if key.startswith(JOB)]
        changes += [Change(key, value) for key, value in open_claims]
        self.append(into, [*changes, Change(CLAIM + ledger)])
        for _, value in open_claims:
            self.claim(_LOCATION_DECODER.decode(value))

    def claim(self, at: LedgerLocation) -> None:
        self.world.run_on(self, lambda now: self.machine.claim(now, at))


class LedgerSimulation:
    """One run; all randomness comes from its seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.net = SimulatedNet(self.clock, Codec(LedgerMachine.handles), seed)
        self.membership, self.observer = TrueMembership(), Observer()
        self.rules = LedgerRules(replicas=5 if rng.random() < 0.25 else 3)
        self.owners: dict[str, LedgerOwner] = {}
        # location of each ledger of a member that was declared dead
        self.dead_ledgers: dict[str, LedgerLocation] = {}
        self.pardoned: set[str] = set()
        for i in range(rng.randint(3, 9)):
            peer = self.net.add(f"m{i}", f"s{i % rng.choice((1, 3))}", self._build)
            peer.on_event = lambda event, name=f"m{i}": self.owners[name].on_event(event)
            self.net.start(f"m{i}")
        for name in self.net.peers:
            self.owners[name].start()
        self.owners["m0"].create(LEADER_LEDGER)

    def _build(self, peer: SimulatedPeer, node: Node) -> None:
        self.membership.add(node.incarnation, peer.site)
        self.owners[peer.name] = LedgerOwner(self, peer, node)

    def run_on(self, owner: LedgerOwner, call) -> None:  # type: ignore[no-untyped-def]
        """Calls a function with the time and carries out the actions it returns, if this incarnation still
        runs."""
        if owner.peer.node is owner.node:
            self.net.run_on(owner.peer.name, lambda node, now: node.carry_out(call(now)))

    def call_later(self, delay: int, owner: LedgerOwner, call) -> None:  # type: ignore[no-untyped-def]
        """Calls a function after ``delay`` ns, if this incarnation runs then; a paused one defers the
        call."""

        def run() -> None:
            if owner.peer.node is owner.node:
                if owner.peer.paused:
                    owner.peer.deferred.append(call)
                else:
                    call()

        self.clock.call_at(self.clock.now() + delay, run)

    def declare_dead(self, name: str) -> None:
        """Marks a name's current incarnation as dead; other members will claim its ledgers."""
        member = self.membership.members[name]
        self.membership.set_health(name)
        for at in member.card.ledgers:
            if at.ledger != LEADER_LEDGER and at.ledger not in self.dead_ledgers:
                self.dead_ledgers[at.ledger] = at
                self.schedule_claims(at, name)

    def schedule_claims(self, at: LedgerLocation, exclude: str) -> None:
        """Has members claim a ledger, in the order of their rank for it and with random delays."""
        names = sorted((n for n in self.net.peers if n != exclude), key=lambda n: -rank(at.ledger, n))
        for position, name in enumerate(names):
            delay = position * self.rng.choice((0, 20, 150)) * MS
            self.call_later(delay, self.owners[name], lambda n=name: self.owners[n].claim(at))
            if self.rng.random() < 0.4:
                break

    def declare_alive(self, name: str) -> None:
        """Marks a running member that was declared dead as alive again."""
        if self.net.peers[name].node is not None:
            self.membership.set_health(name, Health.ALIVE)

    def crash(self, name: str) -> None:
        """Ends a member. Its crash is detected after 300 to 1200 ms; it restarts after a random time."""
        if self.net.peers[name].node is None:
            return
        self.net.crash(name)
        self.clock.call_at(self.clock.now() + self.rng.randint(300, 1200) * MS, self._detect_crash, name)
        down = int(self.rng.choice((100, 1000, 3000)) * self.rng.uniform(0.5, 1.5)) * MS
        self.clock.call_at(self.clock.now() + down, self.restart, name)

    def _detect_crash(self, name: str) -> None:
        if self.net.peers[name].node is None:
            self.declare_dead(name)

    def restart(self, name: str) -> None:
        """Starts a member that is down; its previous incarnation is dead then."""
        if self.net.peers[name].node is None:
            self.declare_dead(name)
            self.net.start(name)
            self.owners[name].start()

    def pause(self, name: str) -> None:
        """Pauses a member for a random time; with probability 0.6 it is declared dead meanwhile."""
        if self.net.peers[name].node is None or self.net.peers[name].paused:
            return
        self.net.pause(name)
        length = self.rng.choice((50, 800, 3000)) * MS
        if self.rng.random() < 0.6:
            self.clock.call_at(self.clock.now() + length // 2, self.declare_dead, name)
        self.clock.call_at(self.clock.now() + length, self._resume, name)

    def _resume(self, name: str) -> None:
        if self.net.peers[name].node is not None and self.net.peers[name].paused:
            self.net.resume(name)
        self.declare_alive(name)

    def fault(self) -> None:
        """Injects a random fault, or heals the network."""
        rng, names = self.rng, list(self.net.peers)
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
                    self.clock.call_at(self.clock.now() + 900 * MS, self.declare_dead, a)
                    self.clock.call_at(self.clock.now() + 2500 * MS, self.declare_alive, a)
            case 6:
                self.net.default_link = LinkConditions(
                    jitter=rng.choice((0, 1, 20, 200)) * MS,
                    lost=rng.choice((0, 0.02, 0.2)),
                    doubled=rng.choice((0, 0.1, 0.3)),
                )
            case 7:
                self.net.heal()
            case 8:
                at = next((w.at for o in self.owners.values() for w in o.machine.writers.values()
                           if w.at.ledger == LEADER_LEDGER and w.opened), None)  # fmt: skip
                if at is not None:
                    owner = self.owners[a]
                    if LEADER_LEDGER not in owner.machine.writers:
                        self.run_on(owner, lambda now: owner.machine.lead(now, at))

    def run(self) -> Counter[str]:
        """Runs about ten seconds of load and faults, then the final checks. Returns counts of what occurred.

        Raises InvariantError if an invariant is broken and INVARIANTS.fatal is set."""
        rng = self.rng
        self.net.run(20 * MS)
        for _ in range(rng.randint(200, 500)):
            self.net.run(int(rng.expovariate(1 / (25 * MS))))
            name = rng.choice(list(self.net.peers))
            owner = self.owners[name]
            if self.net.peers[name].node is not None and not self.net.peers[name].paused:
                for _ in range(rng.choice((1, 1, 5))):
                    owner.work(rng)
                if LEADER_LEDGER in owner.machine.writers and rng.random() < 0.5:
                    owner.append(
                        LEADER_LEDGER, [Change(f"step{rng.randrange(6)}", b"%d" % rng.randrange(99))]
                    )
            if rng.random() < 0.05:
                self.fault()
        self.settle()
        self.check_holders()
        return self.observer.counts

    def settle(self) -> None:
        """Ends all faults, restarts all members and has all of them claim the ledgers of the dead."""
        self.net.heal()
        self.net.default_link = LinkConditions()
        self.net.run(8000 * MS)
        for name, peer in self.net.peers.items():
            if peer.paused:
                self.net.resume(name)
            self.restart(name)
            self.declare_alive(name)
        for _ in range(4):
            self.net.run(6000 * MS)
            for at in list(self.dead_ledgers.values()):
                for name in self.net.peers:
                    self.owners[name].claim(at)
                self.net.run(50 * MS)
        self.net.run(10_000 * MS)

    def check_holders(self) -> None:
        """Checks that each committed job is with exactly one member, or in a lost ledger."""
        holders: dict[str, list[Incarnation]] = {}
        without_majority: set[str] = set()
        for owner in self.owners.values():
            for name in owner.ledgers:
                writer = owner.machine.writers.get(name)
                if writer is not None and writer._without_majority:
                    without_majority.update(writer.table)  # without a majority the writer can't act on them
                    continue
                for key in writer.table if writer is not None else ():
                    if key.startswith(JOB):
                        holders.setdefault(key, []).append(owner.incarnation)
        self.observer.counts["stuck"] += len(without_majority)
        lost_ledgers = {ledger for owner in self.owners.values() for ledger in owner.failed_claims}
        in_lost_ledgers = {
            change.key
            for ledger in lost_ledgers
            for history in self.observer.histories[ledger]
            for change in history.changes
        }
        for job, incarnations in holders.items():
            check(
                "one holder",
                len(incarnations) == 1,
                job=job,
                incarnations=[str(incarnation) for incarnation in incarnations],
            )
        for job in self.observer.committed_jobs - self.observer.removed_jobs:
            if job not in holders and job not in without_majority:
                check("what counted is in the content", job in in_lost_ledgers, job=job, holder=None)
                self.observer.counts["lost for want of replicas"] += 1
        self.observer.counts["jobs"] += len(self.observer.committed_jobs)
        self.observer.counts["acted"] += len(self.observer.acting)


def main() -> None:
    """Runs the seeds; at the first failure prints the command that replays it and raises the error."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from", type=int, default=0, dest="first")
    options = parser.parse_args()
    INVARIANTS.fatal = True
    counts: Counter[str] = Counter()
    started_at = time.monotonic()
    for seed in range(options.first, options.first + options.seeds):
        try:
            counts += LedgerSimulation(seed).run()
        except Exception:
            print(f"python -m ironbarrow.lab.fleet.random_ledgers --seeds 1 --from {seed}")
            raise
    print(f"{options.seeds} seeds in {time.monotonic() - started_at:.1f} s: {dict(counts)}")
    print(dict(INVARIANTS.checked))


if __name__ == "__main__":
    main()
