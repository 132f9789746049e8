"""Fault plans: which system calls fail, when, and how. Does no input or output.

A plan is a JSON object: ``seed``, ``clock_offset_s`` and ``clock_steps`` of the wall clock, and ``rules``.
Each rule names one call and the error with which it fails, as Linux documents it for that call.
"""

import errno
import json
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

PLAN_VARIABLE = "IRONBARROW_FAULTS"  # environment variable: the plan of the process, as JSON


class Call(Enum):
    """The calls that can be made to fail."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SEND = "send"
    RECV = "recv"
    SENDMSG = "sendmsg"
    RECVMSG = "recvmsg"
    WATCH = "watch"  # epoll_ctl with EPOLL_CTL_ADD
    UNWATCH = "unwatch"  # epoll_ctl with EPOLL_CTL_DEL
    POLL = "poll"
    DUP = "dup"  # of a socket
    LOCK = "lock"  # fcntl with a lock
    WAKE_UP = "wake-up"  # the byte that a signal writes, to end the wait of the event loop
    WRITE = "write"  # to a file
    FSYNC = "fsync"
    REPLACE = "replace"  # os.replace
    OPEN = "open"  # a file for writing


class Side(Enum):
    """The connections to which a rule applies."""

    ANY = "any"
    WORKERS = "workers"  # those that this process opened
    CLIENTS = "clients"  # those that it accepted


class FaultPlanError(ValueError):
    """An invalid plan; the message names the key."""


@dataclass(slots=True)
class FaultRule:
    """One kind of failure. Times are in s since the start of the process, or since its first SIGTERM."""

    call: Call
    error: int = 0  # errno; 0: the call succeeds, but is cut short
    side: Side = Side.ANY
    chance: float = 1.0
    after_s: float = 0.0
    for_s: float = 1e9
    every_s: float = 0.0  # period at which the time window repeats; 0: it does not repeat
    most: int = 0  # maximum number of failures; 0: no limit
    skip: int = 0  # number of calls that succeed first
    since_stop: bool = False  # times count from the first SIGTERM; before it no call fails
    breaks: bool = False  # every later call on the same connection fails with the same error
    count: int = field(default=0, compare=False)  # failures so far
    seen: int = field(default=0, compare=False)  # calls in the time window so far

    def should_fail(self, at_s: float, random: Random) -> bool:
        """Whether a call at that time fails. Counts the call, and the failure."""
        since = at_s - self.after_s
        if since < 0 or (since % self.every_s if self.every_s else since) >= self.for_s:
            return False
        self.seen += 1
        if self.seen <= self.skip or (self.most and self.count >= self.most):
            return False
        if self.chance < 1.0 and random.random() >= self.chance:
            return False
        self.count += 1
        return True


@dataclass(frozen=True, slots=True)
class ClockStep:
    """The wall clock jumps by ``by_s`` seconds, ``at_s`` seconds after the start of the process."""

    at_s: float
    by_s: float


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """All injected faults of one process."""

    seed: int = 0
    clock_offset_s: float = 0.0  # error of the wall clock from the start
    clock_steps: tuple[ClockStep, ...] = ()
    rules: tuple[FaultRule, ...] = ()

    @staticmethod
    def parse(text: str) -> "FaultPlan":
        """Reads a plan from JSON; raises FaultPlanError if it is invalid."""
        try:
            raw = json.loads(text)
        except ValueError as error:
            raise FaultPlanError(f"not JSON: {error}") from None
        if not isinstance(raw, dict):
            raise FaultPlanError("expected an object")
        steps = tuple(ClockStep(float(s["at_s"]), float(s["by_s"])) for s in raw.get("clock_steps", ()))
        rules = tuple(_rule(item, f"rules[{n}]") for n, item in enumerate(raw.get("rules", ())))
        return FaultPlan(int(raw.get("seed", 0)), float(raw.get("clock_offset_s", 0.0)), steps, rules)


def _rule(raw: Any, place: str) -> FaultRule:
    if not isinstance(raw, dict):
        raise FaultPlanError(f"{place}: expected an object")
    fields = dict(raw)
    try:
        fields["call"] = Call(fields.get("call"))
        fields["side"] = Side(fields.get("side", Side.ANY.value))
        name = fields.get("error", "")
        fields["error"] = getattr(errno, name) if name else 0
        return FaultRule(**fields)
    except (ValueError, TypeError, AttributeError) as error:
        raise FaultPlanError(f"{place}: {error}") from None
