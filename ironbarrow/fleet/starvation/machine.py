"""Starvation detection of one member: exchanges wait reports, assesses tenants and gives verdicts.

Tables of waits are not sent to all members, so that the traffic of each stays flat as the fleet grows.
Tenants are divided into shards, and two members per shard, chosen by rendezvous hashing, collect it. Every
partition reports its rows of these tenants to them, even if it has none, and receives the sums of all other
partitions for its own tenants. Windows that were not acknowledged are sent again in the next round. The
machine does no I/O itself.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import structlog
from msgspec import Struct

from ironbarrow.fleet import records
from ironbarrow.fleet.api import (
    NEVER,
    Action,
    Card,
    Change,
    FleetEvent,
    Health,
    Incarnation,
    Ledgers,
    Members,
    Message,
    Send,
    job_ledger,
    rank,
)
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.starvation.job_moves import JobTransfer, MovePlanner
from ironbarrow.fleet.starvation.tables import (
    SHARD_COUNT,
    UNTRACKED_TENANT,
    PartitionWait,
    RowKey,
    Tally,
    WaitCollector,
    WaitReport,
    WaitReportReply,
    Window,
    merge_windows,
    parse_row,
    row_from_tally,
    shard_of,
)
from ironbarrow.fleet.starvation.verdict import (
    Assessment,
    Evidence,
    RemoteWaits,
    StarvationBegan,
    StarvationEnded,
    Verdicts,
    assess_tenants,
    horizon,
    restricted_mean_wait,
)
from ironbarrow.fleet.starvation.waits import WaitRecorder, rows_to_send
from ironbarrow.runtime.clock import SECOND

log = structlog.get_logger()

COLLECTORS_PER_SHARD = 2
SHARE_TOLERANCE = 1.25  # factor by which chance may exceed a share
MAX_PARTITION_WAITS = 4  # partitions with the shortest waits that a reply lists per tenant


@dataclass(frozen=True, slots=True)
class TenantShares:
    """The job rates that tenants are entitled to in one partition, jobs/s.

    A tenant without a configured rate is over its share if its fraction of the partition's jobs is more than
    twice its fraction elsewhere and more than an equal division among the tenants.
    """

    jobs_per_s: Mapping[str, float] = field(default_factory=dict)

    def tenants_over_share(
        self, rows: Mapping[RowKey, Tally], seconds: float, elsewhere: Mapping[str, RemoteWaits]
    ) -> set[str]:
        """The tenants that sent more than their share to a partition within ``seconds``."""
        taken: Counter[str] = Counter()
        for (tenant, _, _), tally in rows.items():
            taken[tenant] += tally.taken
        all_jobs, tenants = taken.total(), sum(tenant != UNTRACKED_TENANT for tenant in taken)
        found = set[str]()
        for tenant, jobs in taken.items():
            if tenant == UNTRACKED_TENANT or not jobs:
                continue
            share = self.jobs_per_s.get(tenant, 0.0) * seconds
            if not share:
                remote = elsewhere.get(tenant)
                outside = sum(t.taken for k, t in remote.rows.items() if k[0] == tenant) if remote else 0
                fraction = outside / remote.taken if remote and remote.taken else 0.0
                share = max(2 * fraction, 1 / tenants) * all_jobs
            # 2 * sqrt(share): two standard deviations of a Poisson count
            if jobs > SHARE_TOLERANCE * share + 2 * share**0.5:
                found.add(tenant)
        return found


class VerdictRecord(Struct, frozen=True, array_like=True):
    """A verdict in the partition's ledger, under ``records.VERDICT`` plus the tenant. ``began_at`` in ns."""

    tenant: str
    began_at: int
    evidence: Evidence


@dataclass(slots=True)
class _CollectorReply:
    """The newest reply of a collector for one shard."""

    round_number: int
    partition_count: int
    taken: int
    rows: dict[RowKey, Tally]
    partition_waits: tuple[PartitionWait, ...]


class StarvationMachine:
    """The starvation detection of one member. The host reports the waits of jobs to ``recorder``."""

    handles: tuple[type[Message], ...] = (WaitReport, WaitReportReply)

    def __init__(
        self,
        me: Card,
        members: Members,
        ledgers: Ledgers,
        rules: StarvationRules,
        shares: TenantShares,
        now: int,
        transfer: JobTransfer | None = None,
        recorder: WaitRecorder | None = None,
    ) -> None:
        """``recorder``: that of an earlier incarnation of the same process, whose jobs still wait."""
        self._me, self._members, self._ledgers = me, members, ledgers
        self._rules, self._shares, self._transfer = rules, shares, transfer
        self.recorder = recorder or WaitRecorder(rules, now)
        self.collector = WaitCollector(rules.windows, rules.window)
        self.verdicts = Verdicts(me.incarnation.name, rules)
        self.move_planner = MovePlanner(rules.window, rules.windows)
        self.assessments: dict[str, Assessment] = {}  # the latest of each tenant
        self.dropped: Counter[str] = Counter()  # ignored messages, by cause
        self._round_number = 0
        self._replies: dict[tuple[int, Incarnation], _CollectorReply] = {}  # by shard and collector
        # by collector: its shards, and the numbers of the windows that it has acknowledged for these
        self._acknowledged: dict[Incarnation, tuple[tuple[int, ...], frozenset[int]]] = {}
        self._alive_incarnations: tuple[Incarnation, ...] = ()
        self._collectors: dict[Incarnation, tuple[int, ...]] = {}  # shards by collector
        self._unrecorded: dict[str, StarvationBegan] = {}  # verdicts that are not in the ledger yet
        self._close_at, self._assess_at, self._move_at = now + rules.window, NEVER, NEVER

    def next_at(self) -> int:
        """When ``ticked`` is due next, ns; NEVER if no timer is set."""
        return min(self._close_at, self._assess_at, self._move_at)

    def ticked(self, now: int) -> list[Action]:
        """Runs all due timers."""
        actions: list[Action] = []
        if now >= self._close_at:
            actions += self._close(now)
        if now >= self._assess_at:
            self._assess_at = NEVER
            actions += self._assess(now)
        if now >= self._move_at:
            actions += self._move(now)
        return actions

    def on_job_received(self, now: int, tenant: str) -> None:
        """Records that a job of a tenant was moved here from a partition where the tenant starves."""
        self.move_planner.on_job_received(now, tenant)

    @staticmethod
    def log(event: FleetEvent) -> None:
        """Logs the start or the end of a verdict, for operators."""
        if isinstance(event, StarvationBegan):
            figures = msgspec.to_builtins(msgspec.structs.asdict(event.evidence))
            log.warning("a tenant starves here", tenant=event.tenant, **figures)
        elif isinstance(event, StarvationEnded):
            lasted = (event.ended_at - event.began_at) // SECOND
            log.warning("a tenant starves no more", tenant=event.tenant, lasted_s=lasted, why=event.reason)

    # Tables

    def _close(self, now: int) -> list[Action]:
        self.recorder.close(now)
        # after a pause of the process there is one long window; many empty ones would contain no information
        self._close_at = max(self._close_at + self._rules.window, now + self._rules.window // 2)
        self._assess_at = now + self._rules.window // 4
        self._round_number += 1
        self.collector.expire(now)
        return self._send_round(now)

    def _collector_map(self) -> dict[Incarnation, tuple[int, ...]]:
        """The shards of each collector."""
        names = tuple(member.card.incarnation for member in self._members.alive())
        if names != self._alive_incarnations:
            self._alive_incarnations = names
            shards: dict[Incarnation, list[int]] = {}
            for shard in range(SHARD_COUNT):
                for incarnation in sorted(names, key=lambda n: -rank(f"waits/{shard}", n.name))[
                    :COLLECTORS_PER_SHARD
                ]:
                    shards.setdefault(incarnation, []).append(shard)
            self._collectors = {
                incarnation: tuple(owned_shards) for incarnation, owned_shards in shards.items()
            }
            self._acknowledged = {n: a for n, a in self._acknowledged.items() if n in shards}
            self._replies = {key: a for key, a in self._replies.items() if key[1] in shards}
        return self._collectors

    def _send_round(self, now: int) -> list[Action]:
        actions: list[Action] = []
        tables = [
            (w.number, w.taken, [(shard_of(r.tenant), r) for r in rows_to_send(w)])
            for w in self.recorder.closed
        ]
        waits_wanted_for = tuple(self.verdicts.open_tenants()) if self._rules.move else ()
        for incarnation, shards in self._collector_map().items():
            acknowledged_shards, acknowledged_windows = self._acknowledged.get(incarnation, ((), frozenset()))
            if acknowledged_shards != shards:
                acknowledged_windows = frozenset()
            owned_shards = set(shards)
            windows = tuple(
                Window(number, 1, taken, tuple(row for shard, row in rows if shard in owned_shards))
                for number, taken, rows in tables
                if number not in acknowledged_windows
            )
            starving_tenants = tuple(
                tenant for tenant in waits_wanted_for if shard_of(tenant) in owned_shards
            )
            message = WaitReport(self._me.site, self._round_number, shards, windows, starving_tenants)
            if incarnation == self._me.incarnation:
                self.collector.add_report(now, incarnation, message)
                self._acknowledged[incarnation] = (shards, frozenset(number for number, _, _ in tables))
            else:
                actions.append(Send(incarnation, message))
        return actions

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        """Handles a report of another partition, or a collector's reply."""
        # a delayed message of a dead partition must not add its windows again
        if self._members.health(sender) not in (Health.ALIVE, Health.SUSPECT):
            self.dropped["unknown sender"] += 1
            return []
        if isinstance(message, WaitReport):
            self.collector.add_report(now, sender, message)
            return [
                Send(
                    sender,
                    self._build_reply(sender, message.round_number, message.shards, message.waits_wanted_for),
                )
            ]
        self._on_reply(sender, message)
        return []

    def _build_reply(
        self,
        incarnation: Incarnation,
        round_number: int,
        shards: Sequence[int],
        waits_wanted_for: Iterable[str],
    ) -> WaitReportReply:
        shards = tuple(shard for shard in shards if 0 <= shard < SHARD_COUNT)
        stored_windows = [set(self.collector.window_numbers(shard, incarnation)) for shard in shards]
        partition_count = min(
            (len({n.name for n in self.collector.reporting_partitions(shard)}) for shard in shards), default=0
        )
        taken = max((self.collector.taken_by_others(shard, incarnation) for shard in shards), default=0)
        rows = [
            row_from_tally(k, t)
            for shard in shards
            for k, t in self.collector.sums_of_others(shard, incarnation).items()
        ]
        return WaitReportReply(
            round_number,
            shards,
            tuple(sorted(set.intersection(*stored_windows))) if stored_windows else (),
            partition_count,
            taken,
            tuple(rows),
            tuple(
                partition_wait
                for tenant in waits_wanted_for
                for partition_wait in self._shortest_waits(incarnation, tenant)
            ),
        )

    def _shortest_waits(self, requester: Incarnation, tenant: str) -> list[PartitionWait]:
        """The partitions where a tenant waits least, except the requester's own."""
        found = []
        for incarnation, site, rows in self.collector.by_partition(shard_of(tenant), tenant):
            jobs = sum(tally.entered for tally in rows.values())
            if incarnation == requester or jobs < self._rules.least_jobs:
                continue
            wait = 0.0
            for tally in rows.values():
                curve = tally.at_risk()
                wait += (
                    tally.entered
                    / jobs
                    * restricted_mean_wait(curve, int(min(horizon(curve), len(curve[0]))))
                )
            found.append(PartitionWait(tenant, incarnation, site, jobs, int(wait / 1000)))
        return sorted(found, key=lambda partition_wait: (partition_wait.wait, partition_wait.incarnation))[
            :MAX_PARTITION_WAITS
        ]

    def _on_reply(self, sender: Incarnation, message: WaitReportReply) -> None:
        own_shards = self._collectors.get(sender)
        if (
            own_shards != message.shards
            or not self._round_number - self._rules.windows < message.round_number <= self._round_number
        ):
            self.dropped["unexpected reply"] += 1
            return
        by_shard: dict[int, dict[RowKey, Tally]] = {shard: {} for shard in own_shards}
        for row in message.rows:
            shard_rows, tally = by_shard.get(shard_of(row.tenant)), parse_row(row)
            if shard_rows is None or tally is None:
                self.dropped["malformed"] += 1
                return
            shard_rows[row.tenant, row.job_class, row.size] = tally
        for shard, rows in by_shard.items():
            previous = self._replies.get((shard, sender))
            if previous is None or previous.round_number <= message.round_number:
                self._replies[shard, sender] = _CollectorReply(
                    message.round_number,
                    message.partition_count,
                    message.taken,
                    rows,
                    message.partition_waits,
                )
        acknowledged_shards, acknowledged_windows = self._acknowledged.get(sender, (own_shards, frozenset()))
        self._acknowledged[sender] = (
            own_shards,
            frozenset(message.stored_windows)
            | (acknowledged_windows if acknowledged_shards == own_shards else frozenset()),
        )

    def _best_replies(self, now: int) -> dict[int, _CollectorReply]:
        """The reply for each shard that covers most partitions, from this round or the previous one."""
        found: dict[int, _CollectorReply] = {}
        own = self._collectors.get(self._me.incarnation, ())
        candidates = [(shard, reply) for (shard, _), reply in self._replies.items()]
        for shard in own:
            starving_tenants = self.verdicts.open_tenants()
            own_reply = self._build_reply(
                self._me.incarnation,
                self._round_number,
                (shard,),
                [t for t in starving_tenants if shard_of(t) == shard],
            )
            rows = self.collector.sums_of_others(shard, self._me.incarnation)
            candidates.append(
                (
                    shard,
                    _CollectorReply(
                        self._round_number,
                        own_reply.partition_count,
                        own_reply.taken,
                        rows,
                        own_reply.partition_waits,
                    ),
                )
            )
        for shard, reply in candidates:
            current = found.get(shard)
            if reply.round_number < self._round_number - 1:
                continue
            if current is None or (reply.partition_count, reply.round_number) > (
                current.partition_count,
                current.round_number,
            ):
                found[shard] = reply
        return found

    # Verdicts

    def _assess(self, now: int) -> list[Action]:
        fleet = max(1, len(self._members.alive()))
        replies = self._best_replies(now)
        closed = list(self.recorder.closed)
        all_rows = merge_windows(window.rows for window in closed)
        elsewhere: dict[str, RemoteWaits] = {}
        for tenant in {key[0] for key in all_rows} - {UNTRACKED_TENANT}:
            reply = replies.get(shard_of(tenant))
            if reply is not None and fleet > 1:
                rows = {key: tally for key, tally in reply.rows.items() if key[0] == tenant}
                elsewhere[tenant] = RemoteWaits(rows, reply.taken, min(1.0, reply.partition_count / fleet))
        seconds = (closed[-1].ended_at - closed[0].began_at) / SECOND
        over_share = self._shares.tenants_over_share(all_rows, seconds, elsewhere)
        self.assessments = assess_tenants(self._rules, closed, all_rows, elsewhere, over_share, fleet)
        actions: list[Action] = []
        for event in self.verdicts.update(now, self.assessments):
            if isinstance(event, StarvationBegan):
                self._unrecorded[event.tenant] = event
            elif self._unrecorded.pop(event.tenant, None) is None:
                actions += self._append_verdict(now, Change(records.VERDICT + event.tenant))[1]
                actions.append(event)
        for tenant, began in list(self._unrecorded.items()):
            record = msgspec.msgpack.encode(VerdictRecord(tenant, began.began_at, began.evidence))
            written, more = self._append_verdict(now, Change(records.VERDICT + tenant, record))
            if written:  # otherwise retried at the next assessment
                del self._unrecorded[tenant]
                actions += [*more, began]
        if self._rules.move and self._transfer is not None and self.verdicts.open_tenants():
            self._move_at = min(self._move_at, now)
        return actions

    def _append_verdict(self, now: int, change: Change) -> tuple[int, list[Action]]:
        return self._ledgers.append(now, job_ledger(self._me.incarnation), [change])

    def _move(self, now: int) -> list[Action]:
        """Moves waiting jobs, once per second while a tenant starves."""
        starving = self.verdicts.open_tenants()
        self._move_at = now + SECOND if starving else NEVER
        actions: list[Action] = []
        if self._transfer is None:
            return actions
        replies = self._best_replies(now)
        for tenant in starving:
            assessment, reply = self.assessments.get(tenant), replies.get(shard_of(tenant))
            if assessment is None or assessment.evidence is None or reply is None:
                continue
            partition_waits = [
                partition_wait for partition_wait in reply.partition_waits if partition_wait.tenant == tenant
            ]
            waiting_jobs = self._transfer.waiting_jobs(tenant)
            for move in self.move_planner.plan(
                now, tenant, assessment.evidence.wait * 1000, waiting_jobs, partition_waits
            ):
                actions += self._transfer.transfer(now, move.id, move.to)
        return actions
