"""Generates a soak run from a seed: a world, its faults, and the failing system calls of each process."""

import json
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from ironbarrow.lab.model.spec import World, convert

FAULT_FREE_S = 2.0  # at the start, before the first fault
_MAX_COUNTED_DEADLINE_S = 3.0  # the part of the longest deadline that the time until SIGKILL covers
_KILL_MARGIN_S = 0.7  # from that time until SIGKILL

# Errors from which a call recovers, according to the Linux manual pages
_TRANSIENT_ERRORS = {
    "accept": ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR"),
    "recv": ("ENOMEM", "EINTR"),
    "send": ("ENOBUFS", "ENOMEM", "EINTR"),
    "watch": ("ENOMEM", "ENOSPC"),
    "unwatch": ("ENOMEM",),
    "poll": ("ENOMEM", "EINTR"),
}
# as above, for processes with a folder that they share with their successors
_FOLDER_ERRORS = {
    "sendmsg": ("ENOBUFS", "ENOMEM", "EAGAIN"),
    "recvmsg": ("ENOMEM", "EINTR"),
    "dup": ("EMFILE",),
    "lock": ("ENOLCK", "EINTR"),
    "open": ("EIO", "ENOSPC"),
    "write": ("ENOSPC", "EIO"),
    "fsync": ("EIO",),
    "replace": ("EIO", "ENOSPC"),
}
_CONNECTION_ERRORS = ("ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET")
_LONGEST_FAILURE_S = 0.35  # of a call in a shutdown: no answer can be written meanwhile, nor be 0.5 s late
_LONGEST_FOLDER_FAILURE_S = 1.5
_HANG_AT_RESTART = 0.7  # probability that workers hang through a restart
_DEADLINES_S = ((0.6, 0.5), (1.0, 0.6), (3.0, 2.0), (6.0, 4.0), (10.0, 8.0))  # of safe jobs and bookings


class Deployment(Enum):
    """What takes over the jobs of a dispatcher that is told to stop."""

    ALONE = "nothing"
    SUCCESSORS = "a successor, for half of the restarts"
    FLEET = "the other members of its fleet"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """A soak run. ``fault_plans``: JSON for each dispatcher. ``idle_clients``: how many connect only."""

    seed: int
    world: World
    fault_plans: tuple[str, ...]
    idle_clients: int
    deployment: Deployment


def draw_plan(seed: int, dispatchers: int, duration_s: float) -> SoakPlan:
    """Generates the run of a seed. Equal arguments give equal plans."""
    rng = Random(seed)
    safe_s, booking_s = rng.choice(_DEADLINES_S)
    deployment = tuple(Deployment)[seed % len(Deployment)]
    raw_world = _world(rng, seed, dispatchers, duration_s, safe_s, booking_s)
    if deployment is Deployment.FLEET:
        raw_world["dispatchers"]["fleet"] = {}
    world = convert(raw_world, World, f"soak {seed}")
    folder = deployment is Deployment.SUCCESSORS
    plans = tuple(json.dumps(_fault_plan(rng, seed * 1000 + n, folder=folder)) for n in range(dispatchers))
    return SoakPlan(seed, world, plans, rng.choice((0, 0, 200)), deployment)


def _world(
    rng: Random, seed: int, dispatchers: int, duration_s: float, safe_s: float, booking_s: float
) -> dict[str, Any]:
    stop_s = min(_MAX_COUNTED_DEADLINE_S, max(safe_s, booking_s)) + _KILL_MARGIN_S
    return {
        "name": f"soak {seed}",
        "duration": f"{duration_s} s",
        "arrivals": {"rate": 5.0 * dispatchers},
        "network": {"zones": ["north", "south"]},
        "dispatchers": {"count": dispatchers, "stop_time": f"{stop_s * 1000:.0f} ms"},
        "clients": {"impatient": 0.1, "retries": 1},
        "cold": {"time": "6 s"},
        "classes": [
            _class("map", 2.0, 0.08, safe_s, "safe"),
            _class("book", 1.0, 0.12, booking_s, "unsafe"),
        ],
        "workers": [{"name": "w", "count": max(6, dispatchers // 2), "cores": 4, "slots": 4, "queue": 4}],
        "faults": _faults(rng, dispatchers, duration_s),
    }


def _class(name: str, share: float, work_s: float, deadline_s: float, effect: str) -> dict[str, Any]:
    return {
        "name": name,
        "share": share,
        "work": {"mean": f"{work_s * 1000:.0f} ms", "kind": "exp"},
        "wanted": f"{deadline_s * 500:.0f} ms",
        "deadline": f"{deadline_s * 1000:.0f} ms",
        "effect": effect,
    }


def _faults(rng: Random, dispatchers: int, duration_s: float) -> list[dict[str, Any]]:
    """Overlapping faults of all parties, and graceful restarts: one for every two dispatchers."""
    latest = max(FAULT_FREE_S, duration_s - 1)
    faults: list[dict[str, Any]] = []
    for _ in range(round(duration_s * 0.8)):
        kind = rng.choice(tuple(_FAULT_KINDS))
        faults.append(
            _fault(rng, kind, rng.uniform(FAULT_FREE_S, latest), rng.uniform(0.3, 2.5), dispatchers)
        )
    for _ in range(dispatchers // 2):
        at = rng.uniform(FAULT_FREE_S, latest)
        faults.append(_fault(rng, "dispatcher restarted", at, 0.3, dispatchers))
        if rng.random() < _HANG_AT_RESTART:
            hang = _fault(rng, "hang", at + rng.uniform(0, 1), rng.uniform(2, 4), dispatchers)
            faults.append({**hang, "part": rng.uniform(0.25, 0.6)})
    return faults


def _fault(rng: Random, kind: str, at_s: float, lasts_s: float, dispatchers: int) -> dict[str, Any]:
    times = {"kind": kind, "at": f"{at_s * 1000:.0f} ms", "lasts": f"{lasts_s * 1000:.0f} ms"}
    return {**times, **_FAULT_KINDS[kind](rng, dispatchers)}


_FAULT_KINDS: dict[str, Any] = {
    "hang": lambda rng, n: {"part": rng.uniform(0.1, 0.4)},
    "slow": lambda rng, n: {"part": 0.3, "size": rng.uniform(2, 8)},
    "fail fast": lambda rng, n: {"part": 0.2, "size": rng.uniform(0.3, 1.0)},
    "drain": lambda rng, n: {"part": rng.uniform(0.1, 0.4)},
    "deploy": lambda rng, n: {"part": 0.4, "batch": 0.2, "drain": "1 s"},
    "die": lambda rng, n: {"part": 0.1},
    "cut": lambda rng, n: {"zones": ["north", "south"]},
    "discovery outage": lambda rng, n: {},
    "dispatcher killed": lambda rng, n: {"dispatcher": rng.randrange(n), "down": "300 ms"},
    "dispatcher restarted": lambda rng, n: {"dispatcher": rng.randrange(n), "down": "300 ms"},
    "reload": lambda rng, n: {"dispatcher": rng.randrange(n)},
    "flood": lambda rng, n: {"size": 2.0},
}


def _fault_plan(rng: Random, seed: int, *, folder: bool) -> dict[str, Any]:
    """The fault plan of one process: failing calls, short reads and writes, and steps of the wall clock."""
    rules: list[dict[str, Any]] = []
    errors = {**_TRANSIENT_ERRORS, **(_FOLDER_ERRORS if folder else {})}
    for call in rng.sample(sorted(errors), 3):
        window = {"after_s": rng.uniform(1, 4), "every_s": rng.uniform(2, 6), "for_s": 0.25}
        error = rng.choice(errors[call])
        rules.append({"call": call, "error": error, "chance": rng.choice((0.3, 1.0)), **window})
    for call in rng.sample(sorted(errors), 2):  # during the shutdown
        longest_s = _LONGEST_FOLDER_FAILURE_S if call in _FOLDER_ERRORS else _LONGEST_FAILURE_S
        window = {"after_s": rng.uniform(0, 3), "for_s": rng.uniform(0.1, longest_s), "since_stop": True}
        rules.append({"call": call, "error": rng.choice(errors[call]), **window})
    rules.append(
        {
            "call": rng.choice(("recv", "send")),
            "side": "workers",
            "error": rng.choice(_CONNECTION_ERRORS),
            "chance": rng.uniform(0.0, 0.03),
            "breaks": True,
        }
    )
    if rng.random() < 0.3:
        rules += [{"call": "recv", "chance": 0.2}, {"call": "send", "chance": 0.2}]
    steps = [{"at_s": rng.uniform(2, 6), "by_s": rng.choice((-3600, -5, 5, 3600))}]
    offset = rng.choice((0, 0, 0, -3600, -7, 7, 3600))
    return {"seed": seed, "rules": rules, "clock_steps": steps, "clock_offset_s": offset}
