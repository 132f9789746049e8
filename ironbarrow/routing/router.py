"""Routes and limits at work: a request comes in, and goes on to the decisions or is turned away.

Nothing here picks a worker, decides on a retry or sheds load for want of room: that stays with the module
of the decisions. Limits only keep from it what the operators' file does not let in.
"""

from dataclasses import dataclass, field
from typing import Any

from heathway import api
from ironbarrow.routing.file import Limits
from ironbarrow.routing.limiters import Adaptive, Gate, Rates, RetryBudget
from ironbarrow.routing.request import Request
from ironbarrow.routing.table import CompiledRoute, Table, joined

_ALL = ""  # the key of a rate that counts all jobs together
_ADVICE = 100_000_000  # ns: where the file gives no retry_after, and the limit tells no time


@dataclass(frozen=True, slots=True)
class Turned:
    """A request that goes no further: what to answer, and when to come back (ns; 0: no advice)."""

    status: int
    reason: str
    route: str = ""
    retry_after: int = 0


@dataclass(slots=True)
class _Set:
    """What one set of limits has counted. Kept by name over reloads."""

    limits: Limits
    open: Gate
    held: Gate
    rates: Rates | None = None
    budget: RetryBudget | None = None
    adaptive: Adaptive | None = None
    turned: int = 0

    @classmethod
    def make(cls, limits: Limits) -> "_Set":
        rate, budget, adapt = limits.rate, limits.retry_budget, limits.adaptive
        return cls(
            limits,
            Gate(limits.most_open or (adapt.least if adapt else 0)),
            Gate(limits.most_held or 0),
            Rates(rate.per_second, rate.burst, rate.keys) if rate else None,
            RetryBudget(budget.share, budget.least) if budget else None,
            Adaptive(adapt.least, adapt.most, adapt.backoff) if adapt else None,
        )

    def take_over(self, old: "_Set") -> None:
        """Goes on from what the older set of this name has counted."""
        self.open.inside, self.held.inside, self.turned = old.open.inside, old.held.inside, old.turned
        if self.rates is not None and old.rates is not None:
            self.rates.take_over(old.rates)
        if self.budget is not None and old.budget is not None:
            self.budget.take_over(old.budget)
        if self.adaptive is not None and old.adaptive is not None:
            self.adaptive.limit = min(max(old.adaptive.limit, self.adaptive.least), self.adaptive.most)
            self.open.most = int(self.adaptive.limit)


@dataclass(slots=True, eq=False)
class Ticket:
    """An admitted job's place in its limits. Keeps the limits that it was taken under over reloads."""

    route: CompiledRoute
    limits: Limits
    sets: tuple[_Set, ...]
    key: str | None
    tenant: str | None
    sent: bool = False
    over: bool = False
    _held: bool = field(default=True)

    def first_attempt(self, now: int) -> None:
        """Its first attempt goes out: it is held no longer, and earns a part of a retry."""
        if not self.sent:
            self.sent = True
            self._leave_held()
            for each in self.sets:
                if each.budget is not None:
                    each.budget.first_attempt(now)

    def may_retry(self, now: int) -> bool:
        """Whether all its budgets let it try once more; takes that out of them."""
        budgets = [each.budget for each in self.sets if each.budget is not None]
        taken: list[RetryBudget] = []
        for budget in budgets:
            if not budget.may_retry(now):
                for other in taken:
                    other.level += 1
                return False
            taken.append(budget)
        return True

    def ended(self, now: int, *, in_time: bool) -> None:
        """It has its final answer, or its client is gone."""
        if self.over:
            return
        self.over = True
        self._leave_held()
        for each in self.sets:
            if each.adaptive is not None:
                each.open.most = each.adaptive.ended(now, in_time=in_time, inside=each.open.inside)
            each.open.leave()

    def _leave_held(self) -> None:
        if self._held:
            self._held = False
            for each in self.sets:
                each.held.leave()


class Router:
    """One instance's routes and what their limits have counted."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self._sets = {name: _Set.make(limits) for name, limits in table.file.limits.items()}
        self._joined: dict[tuple[str, ...], tuple[Limits, tuple[_Set, ...]]] = {}
        self.served: dict[str, int] = {}  # requests by route

    def replace(self, table: Table) -> None:
        """Takes a new file's routes whole. Jobs in hand keep their tickets; counts go on by name."""
        fresh = {name: _Set.make(limits) for name, limits in table.file.limits.items()}
        for name, made in fresh.items():
            if name in self._sets:
                made.take_over(self._sets[name])
                # tickets of before leave through their old gates: both names count in one place
                made.open, self._sets[name].open = _same(self._sets[name].open, made.open)
                made.held, self._sets[name].held = _same(self._sets[name].held, made.held)
        self.table, self._sets, self._joined = table, fresh, {}

    def _limits(self, names: tuple[str, ...]) -> tuple[Limits, tuple[_Set, ...]]:
        found = self._joined.get(names)
        if found is None:
            found = joined(self.table.file, names), tuple(self._sets[name] for name in names)
            self._joined[names] = found
        return found

    def admit(self, request: Request, now: int) -> Ticket | Turned:
        """The first route that matches, and whether its limits let the request in."""
        route = self.table.find(request)
        if route is None:
            nothing = self.table.file.no_match
            return Turned(nothing.answer, nothing.text)
        name = route.route.name
        self.served[name] = self.served.get(name, 0) + 1
        key = route.key(request) if route.key is not None else None
        tenant = route.tenant(request) if route.tenant is not None else None
        limits, sets = self._limits(route.limits)
        if limits.body_size is not None and request.body_size > limits.body_size:
            return Turned(413, f"over {limits.body_size} bytes", name)
        share = (route.route.priority + 1) / 9
        for place, each in enumerate(sets):
            advice = each.limits.retry_after or _ADVICE
            if not each.open.enter(share):
                self._undo(sets[:place])
                each.turned += 1
                return Turned(429, "too many open", name, advice)
            if not each.held.enter(share):
                each.open.leave()
                self._undo(sets[:place])
                each.turned += 1
                return Turned(429, "too many held", name, advice)
        for each in sets:
            if each.rates is not None and each.limits.rate is not None:
                by = {"key": key or "", "tenant": tenant or "", "all": _ALL}[each.limits.rate.by]
                wait = each.rates.wait(by, now)
                if wait:
                    self._undo(sets)
                    each.turned += 1
                    return Turned(429, "over its rate", name, each.limits.retry_after or wait)
        return Ticket(route, limits, sets, key, tenant)

    @staticmethod
    def _undo(sets: tuple[_Set, ...]) -> None:
        for each in sets:
            each.open.leave()
            each.held.leave()

    def counts(self) -> dict[str, dict[str, float]]:
        """What each set of limits has counted, by name."""
        return {
            name: {
                "open": each.open.inside,
                "most_open": each.open.most,
                "held": each.held.inside,
                "turned": each.turned,
                "retries_left": each.budget.level if each.budget is not None else float("inf"),
                "keys": len(each.rates) if each.rates is not None else 0,
            }
            for name, each in self._sets.items()
        }


def _same(old: Gate, new: Gate) -> tuple[Gate, Gate]:
    """One gate for both: the old one with the new limit."""
    old.most = new.most
    return old, old


def arrival(ticket: Ticket, settings: api.Settings) -> dict[str, Any]:
    """What a ticket's limits come to for one job, as fields of ``core.host.Terms``."""
    limits = ticket.limits
    return {
        "most_attempts": min(limits.attempts or settings.max_attempts, settings.max_attempts),
        "pause": int(limits.pause or 0),
        "resend": limits.resend != "never ran",
        "wanted": int(limits.wanted or 0),
        "timeout": int(limits.timeout or 0),
    }
