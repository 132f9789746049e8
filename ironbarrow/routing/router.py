"""Applies routes and limits to requests: each is admitted to the decision logic or rejected.

Nothing here picks a worker, decides on a retry or sheds load for lack of capacity: the decision logic does.
Limits only reject what the operators' file does not allow.
"""

from dataclasses import dataclass, field
from typing import Any

from heathway import api
from ironbarrow.routing.file import Limits
from ironbarrow.routing.limiters import AdaptiveLimit, ConcurrencyLimiter, RateLimiter, RetryBudget
from ironbarrow.routing.request import Request
from ironbarrow.routing.table import CompiledRoute, RoutingTable, combine_limits

_ALL_JOBS = ""  # the key of a rate limit by "all"
_DEFAULT_RETRY_AFTER = 100_000_000  # ns; where the file sets no retry_after and the limit gives no wait


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer to a request that is not admitted. ``retry_after`` in ns; 0: no Retry-After."""

    status: int
    reason: str
    route: str = ""
    retry_after: int = 0


@dataclass(slots=True)
class _LimitState:
    """One named table of limits and its counters. The counters outlive reloads, by name."""

    limits: Limits
    open: ConcurrencyLimiter
    held: ConcurrencyLimiter
    rate_limiter: RateLimiter | None = None
    retry_budget: RetryBudget | None = None
    adaptive: AdaptiveLimit | None = None
    rejected: int = 0

    @classmethod
    def make(cls, limits: Limits) -> "_LimitState":
        rate, budget, adapt = limits.rate, limits.retry_budget, limits.adaptive
        return cls(
            limits,
            ConcurrencyLimiter(limits.most_open or (adapt.least if adapt else 0)),
            ConcurrencyLimiter(limits.most_held or 0),
            RateLimiter(rate.per_second, rate.burst, rate.keys) if rate else None,
            RetryBudget(budget.share, budget.least) if budget else None,
            AdaptiveLimit(adapt.least, adapt.most, adapt.backoff) if adapt else None,
        )

    def inherit(self, old: "_LimitState") -> None:
        """Continues from the counters of the limits of the same name before a reload."""
        self.open.in_use, self.held.in_use, self.rejected = old.open.in_use, old.held.in_use, old.rejected
        if self.rate_limiter is not None and old.rate_limiter is not None:
            self.rate_limiter.inherit(old.rate_limiter)
        if self.retry_budget is not None and old.retry_budget is not None:
            self.retry_budget.inherit(old.retry_budget)
        if self.adaptive is not None and old.adaptive is not None:
            self.adaptive.limit = min(
                max(old.adaptive.limit, self.adaptive.min_limit), self.adaptive.max_limit
            )
            self.open.limit = int(self.adaptive.limit)


@dataclass(slots=True, eq=False)
class Ticket:
    """An admitted job's places in its limits. A reload does not change the limits of a ticket."""

    route: CompiledRoute
    limits: Limits
    limit_states: tuple[_LimitState, ...]
    key: str | None
    tenant: str | None
    sent: bool = False
    finished: bool = False
    _held: bool = field(default=True)

    def first_attempt(self, now: int) -> None:
        """Records that the first attempt is sent: the job is no longer held and adds to its retry budgets."""
        if not self.sent:
            self.sent = True
            self._release_held()
            for state in self.limit_states:
                if state.retry_budget is not None:
                    state.retry_budget.record_first_attempt(now)

    def may_retry(self, now: int) -> bool:
        """Takes one retry out of each of the job's budgets. False, and nothing is taken, if one is empty."""
        budgets = [state.retry_budget for state in self.limit_states if state.retry_budget is not None]
        spent: list[RetryBudget] = []
        for budget in budgets:
            if not budget.try_spend(now):
                for other in spent:
                    other.tokens += 1
                return False
            spent.append(budget)
        return True

    def ended(self, now: int, *, in_time: bool) -> None:
        """Releases the job's places: it has its final answer, or its client disconnected. Idempotent."""
        if self.finished:
            return
        self.finished = True
        self._release_held()
        for state in self.limit_states:
            if state.adaptive is not None:
                state.open.limit = state.adaptive.update(now, in_time=in_time, in_use=state.open.in_use)
            state.open.release()

    def _release_held(self) -> None:
        if self._held:
            self._held = False
            for state in self.limit_states:
                state.held.release()


class Router:
    """The routes of one dispatcher and the counters of their limits."""

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._limit_states = {name: _LimitState.make(limits) for name, limits in table.file.limits.items()}
        self._combined: dict[tuple[str, ...], tuple[Limits, tuple[_LimitState, ...]]] = {}
        self.requests_by_route: dict[str, int] = {}

    def replace_table(self, table: RoutingTable) -> None:
        """Replaces all routes. Jobs in progress keep their tickets; limits of the same name keep counters."""
        states = {name: _LimitState.make(limits) for name, limits in table.file.limits.items()}
        for name, state in states.items():
            if name in self._limit_states:
                state.inherit(self._limit_states[name])
                # tickets from before the reload release through their old state, so both share one limiter
                state.open, self._limit_states[name].open = _share_limiter(
                    self._limit_states[name].open, state.open
                )
                state.held, self._limit_states[name].held = _share_limiter(
                    self._limit_states[name].held, state.held
                )
        self.table, self._limit_states, self._combined = table, states, {}

    def _limits(self, names: tuple[str, ...]) -> tuple[Limits, tuple[_LimitState, ...]]:
        found = self._combined.get(names)
        if found is None:
            found = (
                combine_limits(self.table.file, names),
                tuple(self._limit_states[name] for name in names),
            )
            self._combined[names] = found
        return found

    def admit(self, request: Request, now: int) -> Ticket | Rejection:
        """Finds the first matching route and takes a place in each of its limits, or rejects the request."""
        route = self.table.find(request)
        if route is None:
            fallback = self.table.file.no_match
            return Rejection(fallback.answer, fallback.text)
        name = route.route.name
        self.requests_by_route[name] = self.requests_by_route.get(name, 0) + 1
        key = route.key(request) if route.key is not None else None
        tenant = route.tenant(request) if route.tenant is not None else None
        limits, states = self._limits(route.limits)
        if limits.body_size is not None and request.body_size > limits.body_size:
            return Rejection(413, f"over {limits.body_size} bytes", name)
        share = (route.route.priority + 1) / 9
        for index, state in enumerate(states):
            delay = state.limits.retry_after or _DEFAULT_RETRY_AFTER
            if not state.open.try_acquire(share):
                self._release_all(states[:index])
                state.rejected += 1
                return Rejection(429, "too many open", name, delay)
            if not state.held.try_acquire(share):
                state.open.release()
                self._release_all(states[:index])
                state.rejected += 1
                return Rejection(429, "too many held", name, delay)
        for state in states:
            if state.rate_limiter is not None and state.limits.rate is not None:
                rate_key = {"key": key or "", "tenant": tenant or "", "all": _ALL_JOBS}[state.limits.rate.by]
                wait = state.rate_limiter.reserve(rate_key, now)
                if wait:
                    self._release_all(states)
                    state.rejected += 1
                    return Rejection(429, "over its rate", name, state.limits.retry_after or wait)
        return Ticket(route, limits, states, key, tenant)

    @staticmethod
    def _release_all(states: tuple[_LimitState, ...]) -> None:
        for state in states:
            state.open.release()
            state.held.release()

    def counts(self) -> dict[str, dict[str, float]]:
        """The counters of each table of limits, by its name."""
        return {
            name: {
                "open": state.open.in_use,
                "most_open": state.open.limit,
                "held": state.held.in_use,
                "turned": state.rejected,
                "retries_left": state.retry_budget.tokens if state.retry_budget is not None else float("inf"),
                "keys": len(state.rate_limiter) if state.rate_limiter is not None else 0,
            }
            for name, state in self._limit_states.items()
        }


def _share_limiter(
    old: ConcurrencyLimiter, new: ConcurrencyLimiter
) -> tuple[ConcurrencyLimiter, ConcurrencyLimiter]:
    """Returns, for both states, the old limiter with the new limit."""
    old.limit = new.limit
    return old, old


def job_options(ticket: Ticket, settings: api.Settings) -> dict[str, Any]:
    """The limits of a ticket for one job, as fields of ``core.jobs.JobOptions``."""
    limits = ticket.limits
    return {
        "most_attempts": min(limits.attempts or settings.max_attempts, settings.max_attempts),
        "pause": int(limits.pause or 0),
        "resend": limits.resend != "never ran",
        "wanted": int(limits.wanted or 0),
        "timeout": int(limits.timeout or 0),
    }
