"""Counts of the replicated ledgers by job start, running job and dispatcher, and during a region cut."""

from dataclasses import dataclass

from heathway import api
from ironbarrow.fleet.api import job_ledger
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.ledgers import LedgerMachine
from ironbarrow.fleet.ledgers.messages import Append, AppendReply
from ironbarrow.fleet.ledgers.proposal import majority
from ironbarrow.fleet.members import MemberMachine
from ironbarrow.fleet.records import JobRecord, Stage, drop, put
from ironbarrow.fleet.takeover.machine import Takeover
from ironbarrow.lab.capacity.counting import ZONES, SentTotals, meter_traffic, region_of, zone_of
from ironbarrow.lab.fleet.ledger_costs import LedgerFleet
from ironbarrow.lab.fleet.takeover_simulation import TakeoverSimulation
from ironbarrow.runtime.clock import MS, SECOND

_MEMBER_COUNT = 9  # of a fleet in which one writer is measured
_TURN_INTERVAL = 20 * MS  # of a writer
_BODY_BYTES = 200  # of a job
_WORK_MESSAGES = (*LedgerMachine.handles, *Takeover.handles)
_CLASS = api.JobClass("task", api.Effect.UNSAFE, aim=10 * SECOND, deadline=60 * SECOND)


def record(number: int, stage: Stage = Stage.TAKEN, body: int = _BODY_BYTES) -> JobRecord:
    """A job's ledger record with a body of ``body`` bytes."""
    return JobRecord(
        id=f"job-{number:012d}",
        job_class="task",
        method="POST",
        target="/task",
        body=b"x" * body,
        content_type="application/json",
        taken_at=1_700_000_000 * SECOND,
        until=1_700_003_600 * SECOND,
        stage=stage,
        attempts=int(stage is Stage.INTENT),
        worker="worker-0123" if stage is Stage.INTENT else "",
        tenant="team-123",
    )


@dataclass(frozen=True, slots=True)
class WriterCount:
    """What one writer and its replicas send for ``jobs`` jobs, and what a replica holds at the end."""

    jobs: int
    appends: SentTotals  # from the writer to its replicas
    acknowledgements: SentTotals  # from the replicas to the writer
    replica_bytes: int  # size of a replica's table
    replica_rows: int


def count_writer(jobs: int, *, keep: bool = False, replicas: int = 3, body: int = _BODY_BYTES) -> WriterCount:
    """Counts jobs that one writer records one after another: taken, sent and ended, or with ``keep`` left
    running."""
    fleet = LedgerFleet(_MEMBER_COUNT, replicas)
    traffic = meter_traffic(fleet.net, LedgerMachine.handles)
    fleet.create()
    fleet.net.run(SECOND)
    ledger = job_ledger(fleet.machines["m0"].me)
    traffic.clear()
    for number in range(jobs):
        changes = [put(record(number, stage, body)) for stage in (Stage.TAKEN, Stage.INTENT)]
        if not keep:
            changes.append(drop(record(number).id))
        for change in changes:
            fleet.append("m0", ledger, [change])
            fleet.net.run(_TURN_INTERVAL)
    fleet.net.run(SECOND)
    writer = fleet.machines["m0"].writers[ledger]
    segment = fleet.machines[writer.at.replicas[0].name].replica.segments[ledger, writer.at.segment]
    return WriterCount(
        jobs, traffic.of_kinds(Append), traffic.of_kinds(AppendReply), segment.size, len(segment.table)
    )


@dataclass(frozen=True, slots=True)
class StartCount:
    """What the dispatchers of a fleet send for the jobs that they accept, start and end."""

    dispatchers: int
    jobs: int
    ledgers: SentTotals
    acknowledged: int  # acknowledgement messages
    changes: int
    takeover: SentTotals
    members: SentTotals


def count_starts(jobs: int, dispatchers: int = 7, *, seconds: int = 10, seed: int = 1) -> StartCount:
    """Counts ``jobs`` jobs over ``seconds`` seconds with the real hosts, decisions and state machines."""
    settings = api.Settings(
        me=0, dispatchers=dispatchers, zone="a", zones=("a",), classes=(_CLASS,), tells_start=True
    )
    world = TakeoverSimulation(settings, dispatchers, seed=seed, fleet=Fleet(listen="127.0.0.1:0"), workers=8)
    traffic = meter_traffic(world.net, (*MemberMachine.handles, *_WORK_MESSAGES))
    world.run(3 * SECOND)
    traffic.clear()
    for number in range(jobs):
        world.submit(f"job-{number:012d}", "task", 30 * SECOND)
        world.run(seconds * SECOND // jobs)
    world.run(2 * SECOND)
    appends = traffic.of_kinds(Append)
    return StartCount(
        dispatchers,
        jobs,
        traffic.of_kinds(*LedgerMachine.handles),
        traffic.of_kinds(AppendReply).messages,
        appends.items,
        traffic.of_kinds(*Takeover.handles),
        traffic.of_kinds(*MemberMachine.handles),
    )


@dataclass(frozen=True, slots=True)
class MoveCount:
    """The cost of replacing one replica of a ledger with ``running`` running jobs."""

    running: int
    sent: SentTotals
    seconds: float  # until the ledger is open at its new replicas


def count_move(running: int) -> MoveCount:
    """Counts the replacement of one lost replica; raises RuntimeError if it takes more than 30 s."""
    fleet = LedgerFleet(_MEMBER_COUNT)
    fleet.create()
    ledger = job_ledger(fleet.machines["m0"].me)
    for number in range(running):
        fleet.append("m0", ledger, [put(record(number, Stage.INTENT))])
    fleet.net.run(SECOND)
    writer = fleet.machines["m0"].writers[ledger]
    segment = writer.at.segment
    traffic = meter_traffic(fleet.net, LedgerMachine.handles)
    began = fleet.net.clock.now()
    fleet.kill(writer.at.replicas[0].name)
    while writer.at.segment == segment or not writer.opened:
        fleet.net.run(MS)
        if fleet.net.clock.now() - began > 30 * SECOND:
            raise RuntimeError("lost ledger replica not replaced within 30 s")
    took = (fleet.net.clock.now() - began) / SECOND
    fleet.net.run(SECOND)
    return MoveCount(running, traffic.total(), took)


@dataclass(frozen=True, slots=True)
class CutShare:
    """Ledgers whose writer cannot reach a majority of its replicas while the regions are partitioned."""

    dispatchers: int
    ledgers: int
    without_majority: int


def share_without_majority(dispatchers: int, replicas: int = 3) -> CutShare:
    """Counts them for the replicas that the ledger machines choose over the target's zones."""
    fleet = LedgerFleet(0, replicas)
    fleet.names = [f"dispatcher-{number}" for number in range(dispatchers)]
    for number, name in enumerate(fleet.names):
        fleet.net.add(name, zone_of(number), fleet._build)
        fleet.net.start(name)
    zones = {name: zone_of(number) for number, name in enumerate(fleet.names)}
    lost = 0
    for name in fleet.names:
        chosen = fleet.machines[name].choose_replicas(job_ledger(fleet.machines[name].me))
        near = sum(region_of(zones[replica.name]) == region_of(zones[name]) for replica in chosen)
        lost += near < majority(chosen)
    return CutShare(dispatchers, dispatchers, lost)


@dataclass(frozen=True, slots=True)
class CutWork:
    """What happens to running jobs in a network partition between regions. Workers stay reachable by all."""

    dispatchers: int
    effect: str
    running: int  # jobs that ran when the cut began
    cut_s: int  # 0: no cut
    second_copies: int  # runs of a job while another copy of it was running
    ends: dict[str, int]  # outcomes that clients received
    renewed: int  # dispatchers that began a new incarnation
    ledgers: SentTotals
    takeover: SentTotals


def count_cut_work(
    effect: api.Effect,
    dispatchers: int = 14,
    *,
    cut: bool = True,
    running: int = 56,
    cut_s: int = 30,
    seed: int = 1,
) -> CutWork:
    """Counts jobs that run for longer than the cut lasts, or the same jobs without a cut if ``cut`` is
    False."""
    long = api.JobClass("long", effect, aim=60 * SECOND, deadline=200 * SECOND, stretch=2.0)
    settings = api.Settings(me=0, dispatchers=dispatchers, zone="a", zones=("a",), classes=(long,))
    world = TakeoverSimulation(
        settings,
        dispatchers,
        seed=seed,
        fleet=Fleet(listen="127.0.0.1:0"),
        sites=len(ZONES),
        workers=4 * running,
    )
    traffic = meter_traffic(world.net, (*MemberMachine.handles, *_WORK_MESSAGES))
    world.run(5 * SECOND)
    world.service_times = ((cut_s + 10) * SECOND, (cut_s + 20) * SECOND)
    for number in range(running):
        world.submit(f"long-{number:06d}", "long", 150 * SECOND, at=f"d{number % dispatchers}")
        world.run(
            2 * MS
        )  # almost at once: few new sessions are admitted later, while worker sizes are unknown
    world.run(2 * SECOND)
    out = sum(len(worker.running) for worker in world.workers.all.values())
    traffic.clear()
    zones = {name: zone_of(number) for number, name in enumerate(world.net.peers)}
    for one in zones:
        for other in zones:
            if cut and region_of(zones[one]) != region_of(zones[other]):
                world.net.cut(one, other, both=False)
    world.run(cut_s * SECOND)
    ledgers, takeover = traffic.of_kinds(*LedgerMachine.handles), traffic.of_kinds(*Takeover.handles)
    world.net.heal()
    world.run(80 * SECOND)
    return CutWork(
        dispatchers,
        effect.name,
        out,
        cut_s if cut else 0,
        sum(world.workers.duplicate_runs.values()),
        dict(world.verdict_counts()),
        world.counts["renewed"],
        ledgers,
        takeover,
    )
