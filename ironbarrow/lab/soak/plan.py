"""Draws one soak run from a seed: a world, its faults, and the failing system calls of each process."""

import json
from dataclasses import dataclass
from random import Random
from typing import Any

from ironbarrow.lab.model.spec import World, convert

QUIET_S = 2.0  # at the start, before the first fault
_LONGEST_COUNTED_S = 3.0  # of the longest deadline, for the time of SIGKILL
_KILLED_AFTER_S = 0.7

# Errors that a call shows for a moment, by the manual pages of Linux
_MOMENTARY = {
    "accept": ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR"),
    "recv": ("ENOMEM", "EINTR"),
    "send": ("ENOBUFS", "ENOMEM", "EINTR"),
    "watch": ("ENOMEM", "ENOSPC"),
}
_BREAKS = ("ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET")
_DEADLINES_S = ((1.0, 0.6), (3.0, 2.0), (6.0, 4.0))  # of safe jobs and bookings


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """All that a run is made of. ``fault_plans``: JSON for each dispatcher; ``crowd``: idle clients."""

    seed: int
    world: World
    fault_plans: tuple[str, ...]
    crowd: int


def draw(seed: int, dispatchers: int, duration_s: float) -> SoakPlan:
    """The run of that seed. Equal arguments give equal plans."""
    chance = Random(seed)
    safe_s, booking_s = chance.choice(_DEADLINES_S)
    world = convert(_world(chance, seed, dispatchers, duration_s, safe_s, booking_s), World, f"soak {seed}")
    plans = tuple(json.dumps(_fault_plan(chance, seed * 1000 + n)) for n in range(dispatchers))
    return SoakPlan(seed, world, plans, chance.choice((0, 0, 200)))


def _world(
    chance: Random, seed: int, dispatchers: int, duration_s: float, safe_s: float, booking_s: float
) -> dict[str, Any]:
    stop_s = min(_LONGEST_COUNTED_S, max(safe_s, booking_s)) + _KILLED_AFTER_S
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
        "faults": _faults(chance, dispatchers, duration_s),
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


def _faults(chance: Random, dispatchers: int, duration_s: float) -> list[dict[str, Any]]:
    """Overlapping troubles of workers, discovery and dispatchers, and restarts in order of one in four."""
    made: list[dict[str, Any]] = []
    kinds = [chance.choice(tuple(_KINDS)) for _ in range(round(duration_s * 0.8))]
    for kind in kinds + ["dispatcher restarted"] * (dispatchers // 4):
        at = chance.uniform(QUIET_S, max(QUIET_S, duration_s - 1))
        fault: dict[str, Any] = {
            "kind": kind,
            "at": f"{at * 1000:.0f} ms",
            "lasts": f"{chance.uniform(300, 2500):.0f} ms",
        }
        fault |= _KINDS[fault["kind"]](chance, dispatchers)
        made.append(fault)
    return made


_KINDS: dict[str, Any] = {
    "hang": lambda chance, n: {"part": chance.uniform(0.1, 0.4)},
    "slow": lambda chance, n: {"part": 0.3, "size": chance.uniform(2, 8)},
    "fail fast": lambda chance, n: {"part": 0.2, "size": chance.uniform(0.3, 1.0)},
    "drain": lambda chance, n: {"part": chance.uniform(0.1, 0.4)},
    "deploy": lambda chance, n: {"part": 0.4, "batch": 0.2, "drain": "1 s"},
    "die": lambda chance, n: {"part": 0.1},
    "cut": lambda chance, n: {"zones": ["north", "south"]},
    "discovery outage": lambda chance, n: {},
    "dispatcher killed": lambda chance, n: {"dispatcher": chance.randrange(n), "down": "300 ms"},
    "dispatcher restarted": lambda chance, n: {"dispatcher": chance.randrange(n), "down": "300 ms"},
    "reload": lambda chance, n: {"dispatcher": chance.randrange(n)},
    "flood": lambda chance, n: {"size": 2.0},
}


def _fault_plan(chance: Random, seed: int) -> dict[str, Any]:
    """Moments in which calls of one process fail, beside short reads and writes, and its wall clock."""
    rules: list[dict[str, Any]] = []
    for call in chance.sample(sorted(_MOMENTARY), 3):
        window = {"after_s": chance.uniform(1, 4), "every_s": chance.uniform(2, 6), "for_s": 0.25}
        error = chance.choice(_MOMENTARY[call])
        rules.append({"call": call, "error": error, "chance": chance.choice((0.3, 1.0)), **window})
    rules.append(
        {
            "call": chance.choice(("recv", "send")),
            "side": "workers",
            "error": chance.choice(_BREAKS),
            "chance": chance.uniform(0.0, 0.03),
            "breaks": True,
        }
    )
    if chance.random() < 0.3:
        rules += [{"call": "recv", "chance": 0.2}, {"call": "send", "chance": 0.2}]
    steps = [{"at_s": chance.uniform(2, 6), "by_s": chance.choice((-3600, -5, 5, 3600))}]
    offset = chance.choice((0, 0, 0, -3600, -7, 7, 3600))
    return {"seed": seed, "rules": rules, "clock_steps": steps, "clock_offset_s": offset}
