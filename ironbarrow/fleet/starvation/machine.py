"""Starvation as one machine of a member: it closes windows, has them collected, looks, and gives verdicts.

So that traffic of a member stays flat as the fleet grows, tables are not sent to all. Tenants fall into
shards; two members for each shard, by rendezvous hashing, collect it: every partition sends them its rows of
these tenants, also none, and each is answered with the sums of all others for its own tenants. What was not
acknowledged goes again with the next window. No input or output.
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
    Health,
    Incarnation,
    Ledgers,
    Members,
    Message,
    News,
    Send,
    job_ledger,
    rank,
)
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.starvation.job_moves import Mover, Transfer
from ironbarrow.fleet.starvation.tables import (
    REST,
    SHARDS,
    Collected,
    Elsewhere,
    Key,
    Spot,
    Tally,
    Waits,
    Window,
    read,
    row_of,
    shard_of,
    together,
)
from ironbarrow.fleet.starvation.verdict import (
    Elsewheres,
    Evidence,
    Look,
    StarvationBegan,
    StarvationEnded,
    Verdicts,
    horizon,
    look,
    mean_wait,
)
from ironbarrow.fleet.starvation.waits import WaitBook, rows_to_send
from ironbarrow.runtime.clock import SECOND

log = structlog.get_logger()

COPIES = 2  # members that collect a shard
OVER = 1.25  # times its share: so much more is within what chance brings
_SPOTS = 4  # partitions named to a tenant that starves


@dataclass(frozen=True, slots=True)
class Shares:
    """What tenants may send to one partition, jobs a second. A tenant that is not named is beyond its share
    where its part of a partition's jobs is more than twice its part elsewhere, and more than an even part."""

    per_s: Mapping[str, float] = field(default_factory=dict)

    def beyond(
        self, rows: Mapping[Key, Tally], seconds: float, elsewhere: Mapping[str, Elsewheres]
    ) -> set[str]:
        """The tenants that brought more than their share to a partition in that time."""
        taken: Counter[str] = Counter()
        for (tenant, _, _), tally in rows.items():
            taken[tenant] += tally.taken
        everything, tenants = taken.total(), sum(tenant != REST for tenant in taken)
        found = set[str]()
        for tenant, jobs in taken.items():
            if tenant == REST or not jobs:
                continue
            share = self.per_s.get(tenant, 0.0) * seconds
            if not share:
                known = elsewhere.get(tenant)
                outside = sum(t.taken for k, t in known.rows.items() if k[0] == tenant) if known else 0
                part = outside / known.taken if known and known.taken else 0.0
                share = max(2 * part, 1 / tenants) * everything
            if jobs > OVER * share + 2 * share**0.5:
                found.add(tenant)
        return found


class VerdictRecord(Struct, frozen=True, array_like=True):
    """A verdict as the partition's ledger has it, under ``records.VERDICT`` and the tenant."""

    tenant: str
    began_at: int
    evidence: Evidence


@dataclass(slots=True)
class _Answer:
    """A collector's newest answer on a shard."""

    asked: int
    heard: int
    taken: int
    rows: dict[Key, Tally]
    spots: tuple[Spot, ...]


class StarvationMachine:
    """One member's part in it. ``book`` is told of jobs by the host."""

    handles: tuple[type[Message], ...] = (Waits, Elsewhere)

    def __init__(
        self,
        me: Card,
        members: Members,
        ledgers: Ledgers,
        rules: StarvationRules,
        shares: Shares,
        now: int,
        transfer: Transfer | None = None,
        book: WaitBook | None = None,
    ) -> None:
        """``book``: that of an earlier incarnation of the same process, whose jobs still wait."""
        self._me, self._members, self._ledgers = me, members, ledgers
        self._rules, self._shares, self._transfer = rules, shares, transfer
        self.book = book or WaitBook(rules, now)
        self.collected = Collected(rules.windows, rules.window)
        self.verdicts = Verdicts(me.incarnation.name, rules)
        self.mover = Mover(rules.window, rules.windows)
        self.looks: dict[str, Look] = {}  # the last one at each tenant
        self.dropped: Counter[str] = Counter()
        self._asked = 0
        self._answers: dict[tuple[int, Incarnation], _Answer] = {}
        self._acknowledged: dict[Incarnation, tuple[tuple[int, ...], frozenset[int]]] = {}
        self._names: tuple[Incarnation, ...] = ()
        self._collectors: dict[Incarnation, tuple[int, ...]] = {}
        self._unwritten: dict[str, StarvationBegan] = {}
        self._close_at, self._look_at, self._move_at = now + rules.window, NEVER, NEVER

    def next_at(self) -> int:
        return min(self._close_at, self._look_at, self._move_at)

    def ticked(self, now: int) -> list[Action]:
        actions: list[Action] = []
        if now >= self._close_at:
            actions += self._close(now)
        if now >= self._look_at:
            self._look_at = NEVER
            actions += self._look(now)
        if now >= self._move_at:
            actions += self._move(now)
        return actions

    def came(self, now: int, tenant: str) -> None:
        """A job of that tenant was moved here from where it starves."""
        self.mover.came(now, tenant)

    @staticmethod
    def log(news: News) -> None:
        """Writes a verdict's news into the program's log, for people at night."""
        if isinstance(news, StarvationBegan):
            figures = msgspec.to_builtins(msgspec.structs.asdict(news.evidence))
            log.warning("a tenant starves here", tenant=news.tenant, **figures)
        elif isinstance(news, StarvationEnded):
            lasted = (news.ended_at - news.began_at) // SECOND
            log.warning("a tenant starves no more", tenant=news.tenant, lasted_s=lasted, why=news.why)

    # Tables

    def _close(self, now: int) -> list[Action]:
        self.book.close(now)
        # danger: after a pause of the process one window is long; many empty ones would say nothing
        self._close_at = max(self._close_at + self._rules.window, now + self._rules.window // 2)
        self._look_at = now + self._rules.window // 4
        self._asked += 1
        self.collected.expire(now)
        return self._send_round(now)

    def _map(self) -> dict[Incarnation, tuple[int, ...]]:
        """Who collects which shards."""
        names = tuple(member.card.incarnation for member in self._members.alive())
        if names != self._names:
            self._names = names
            shards: dict[Incarnation, list[int]] = {}
            for shard in range(SHARDS):
                for incarnation in sorted(names, key=lambda n: -rank(f"waits/{shard}", n.name))[:COPIES]:
                    shards.setdefault(incarnation, []).append(shard)
            self._collectors = {incarnation: tuple(some) for incarnation, some in shards.items()}
            self._acknowledged = {n: a for n, a in self._acknowledged.items() if n in shards}
            self._answers = {key: a for key, a in self._answers.items() if key[1] in shards}
        return self._collectors

    def _send_round(self, now: int) -> list[Action]:
        actions: list[Action] = []
        tables = [
            (w.number, w.taken, [(shard_of(r.tenant), r) for r in rows_to_send(w)]) for w in self.book.closed
        ]
        spots_of = tuple(self.verdicts.open()) if self._rules.move else ()
        for incarnation, shards in self._map().items():
            before, has = self._acknowledged.get(incarnation, ((), frozenset()))
            if before != shards:
                has = frozenset()
            some = set(shards)
            windows = tuple(
                Window(number, 1, taken, tuple(row for shard, row in rows if shard in some))
                for number, taken, rows in tables
                if number not in has
            )
            asks = tuple(tenant for tenant in spots_of if shard_of(tenant) in some)
            message = Waits(self._me.site, self._asked, shards, windows, asks)
            if incarnation == self._me.incarnation:
                self.collected.take(now, incarnation, message)
                self._acknowledged[incarnation] = (shards, frozenset(number for number, _, _ in tables))
            else:
                actions.append(Send(incarnation, message))
        return actions

    def received(self, now: int, sender: Incarnation, message: Any) -> list[Action]:
        # danger: a late copy from a dead partition must not bring it back
        if self._members.health(sender) not in (Health.ALIVE, Health.SUSPECT):
            self.dropped["stranger"] += 1
            return []
        if isinstance(message, Waits):
            self.collected.take(now, sender, message)
            return [Send(sender, self._answer(sender, message.asked, message.shards, message.spots_of))]
        self._answered(sender, message)
        return []

    def _answer(
        self, incarnation: Incarnation, asked: int, shards: Sequence[int], spots_of: Iterable[str]
    ) -> Elsewhere:
        shards = tuple(shard for shard in shards if 0 <= shard < SHARDS)
        kept = [set(self.collected.kept(shard, incarnation)) for shard in shards]
        heard = min((len({n.name for n in self.collected.heard(shard)}) for shard in shards), default=0)
        taken = max((self.collected.taken_by_others(shard, incarnation) for shard in shards), default=0)
        rows = [
            row_of(k, t) for shard in shards for k, t in self.collected.others(shard, incarnation).items()
        ]
        return Elsewhere(
            asked,
            shards,
            tuple(sorted(set.intersection(*kept))) if kept else (),
            heard,
            taken,
            tuple(rows),
            tuple(spot for tenant in spots_of for spot in self._spots(incarnation, tenant)),
        )

    def _spots(self, asker: Incarnation, tenant: str) -> list[Spot]:
        """Where a tenant waits least, the askers' own partition left out."""
        found = []
        for incarnation, site, rows in self.collected.by_partition(shard_of(tenant), tenant):
            jobs = sum(tally.entered for tally in rows.values())
            if incarnation == asker or jobs < self._rules.least_jobs:
                continue
            wait = 0.0
            for tally in rows.values():
                curve = tally.at_risk()
                wait += tally.entered / jobs * mean_wait(curve, int(min(horizon(curve), len(curve[0]))))
            found.append(Spot(tenant, incarnation, site, jobs, int(wait / 1000)))
        return sorted(found, key=lambda spot: (spot.wait, spot.incarnation))[:_SPOTS]

    def _answered(self, sender: Incarnation, message: Elsewhere) -> None:
        mine = self._collectors.get(sender)
        if mine != message.shards or not self._asked - self._rules.windows < message.asked <= self._asked:
            self.dropped["not asked for"] += 1
            return
        by_shard: dict[int, dict[Key, Tally]] = {shard: {} for shard in mine}
        for row in message.rows:
            part, tally = by_shard.get(shard_of(row.tenant)), read(row)
            if part is None or tally is None:
                self.dropped["unsound"] += 1
                return
            part[row.tenant, row.job_class, row.size] = tally
        for shard, rows in by_shard.items():
            old = self._answers.get((shard, sender))
            if old is None or old.asked <= message.asked:
                self._answers[shard, sender] = _Answer(
                    message.asked, message.heard, message.taken, rows, message.spots
                )
        before, has = self._acknowledged.get(sender, (mine, frozenset()))
        self._acknowledged[sender] = (
            mine,
            frozenset(message.kept) | (has if before == mine else frozenset()),
        )

    def _newest(self, now: int) -> dict[int, _Answer]:
        """The answer on each shard that has heard most, of this look or the one before."""
        found: dict[int, _Answer] = {}
        own = self._collectors.get(self._me.incarnation, ())
        known = [(shard, answer) for (shard, _), answer in self._answers.items()]
        for shard in own:
            asks = self.verdicts.open()
            mine = self._answer(
                self._me.incarnation, self._asked, (shard,), [t for t in asks if shard_of(t) == shard]
            )
            rows = self.collected.others(shard, self._me.incarnation)
            known.append((shard, _Answer(self._asked, mine.heard, mine.taken, rows, mine.spots)))
        for shard, answer in known:
            best = found.get(shard)
            if answer.asked < self._asked - 1:
                continue
            if best is None or (answer.heard, answer.asked) > (best.heard, best.asked):
                found[shard] = answer
        return found

    # Verdicts

    def _look(self, now: int) -> list[Action]:
        fleet = max(1, len(self._members.alive()))
        answers = self._newest(now)
        closed = list(self.book.closed)
        whole = together(window.rows for window in closed)
        elsewhere: dict[str, Elsewheres] = {}
        for tenant in {key[0] for key in whole} - {REST}:
            answer = answers.get(shard_of(tenant))
            if answer is not None and fleet > 1:
                rows = {key: tally for key, tally in answer.rows.items() if key[0] == tenant}
                elsewhere[tenant] = Elsewheres(rows, answer.taken, min(1.0, answer.heard / fleet))
        seconds = (closed[-1].ended - closed[0].began) / SECOND
        over = self._shares.beyond(whole, seconds, elsewhere)
        self.looks = look(self._rules, closed, whole, elsewhere, over, fleet)
        actions: list[Action] = []
        for news in self.verdicts.looked(now, self.looks):
            if isinstance(news, StarvationBegan):
                self._unwritten[news.tenant] = news
            elif self._unwritten.pop(news.tenant, None) is None:
                actions += self._write(now, Change(records.VERDICT + news.tenant))[1]
                actions.append(news)
        for tenant, began in list(self._unwritten.items()):
            record = msgspec.msgpack.encode(VerdictRecord(tenant, began.began_at, began.evidence))
            written, more = self._write(now, Change(records.VERDICT + tenant, record))
            if written:  # else again at the next look
                del self._unwritten[tenant]
                actions += [*more, began]
        if self._rules.move and self._transfer is not None and self.verdicts.open():
            self._move_at = min(self._move_at, now)
        return actions

    def _write(self, now: int, change: Change) -> tuple[int, list[Action]]:
        return self._ledgers.append(now, job_ledger(self._me.incarnation), [change])

    def _move(self, now: int) -> list[Action]:
        """The remedy, once a second while a tenant starves."""
        starving = self.verdicts.open()
        self._move_at = now + SECOND if starving else NEVER
        actions: list[Action] = []
        if self._transfer is None:
            return actions
        answers = self._newest(now)
        for tenant in starving:
            seen, answer = self.looks.get(tenant), answers.get(shard_of(tenant))
            if seen is None or seen.evidence is None or answer is None:
                continue
            spots = [spot for spot in answer.spots if spot.tenant == tenant]
            held = self._transfer.held(tenant)
            for move in self.mover.decide(now, tenant, seen.evidence.wait * 1000, held, spots):
                actions += self._transfer.transfer(now, move.id, move.to)
        return actions
