"""Random load and faults on dispatchers of a fleet, in virtual time.

``python -m ironbarrow.lab.fleet.random_takeovers FIRST LAST [KIND]`` plays seeds and ends with 1 at the first
that breaks a rule; with FIRST equal to LAST it replays that seed alone.
"""

import logging
import sys
from collections import Counter
from dataclasses import dataclass
from typing import Any

import structlog

from heathway.settings import read_settings
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.net import Way
from ironbarrow.lab.fleet.takeover_simulation import WorkWorld, ms

UNSAFE = ("book",)
_SETTINGS: dict[str, Any] = {
    "me": 0,
    "replicasOfMe": 1,
    "zone": "a",
    "zones": ["a"],
    "round": 4_000_000,
    "requestClasses": [
        {"name": "map", "effect": "pure", "promise": 1_000_000_000, "giveUp": 10_000_000_000},
        {"name": "book", "effect": "side_effect", "promise": 4_000_000_000, "giveUp": 25_000_000_000},
    ],
    "familyInfo": {"tellsStart": False},
    "limits": {"cancel": True, "retryAfter": True, "mostTries": 3, "maxRetryAfter": 2_000_000_000},
    "guarantees": {"answerSlack": 16_000_000, "drainGrace": 1_000_000_000, "cold": 1_000_000_000},
}
SETTINGS = read_settings(_SETTINGS)


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong in a play, each about once in so many jobs; 0: never."""

    kills: int = 0
    pauses: int = 0
    cuts: int = 0
    lost: float = 0.0  # part of all messages between members
    doubled: float = 0.0
    fails: float = 0.03  # part of the runs that workers say have failed
    refuses: float = 0.05  # part of the requests that workers prove not to have run
    dispatchers: int = 5


KINDS = {
    "calm": Faults(),
    "kills": Faults(kills=30),
    "pauses": Faults(pauses=30),
    "cuts": Faults(cuts=30, lost=0.03, doubled=0.03),
    "all": Faults(kills=40, pauses=40, cuts=40, lost=0.03, doubled=0.03, dispatchers=7),
}


def play(seed: int, faults: Faults, jobs: int = 80) -> WorkWorld:
    """Plays one seed to its end: all clients have their answers or are past their time."""
    world = WorkWorld(SETTINGS, faults.dispatchers, seed=seed, workers=8)
    world.net.usual = Way(lost=faults.lost, doubled=faults.doubled)
    world.fails, world.refuses = faults.fails, faults.refuses
    world.run(ms(1500))
    random, later = world.random, world.clock.call_at
    for number in range(jobs):
        world.run(ms(random.uniform(5, 60)))
        order = world.order(
            f"j{number}", random.choice(("map", "book")), ms(random.choice((3000, 6000, 9000)))
        )
        if random.random() < 0.05:  # a client that loses patience with its connection
            later(world.clock.now() + ms(random.uniform(5, 800)), world.again, order)
        if faults.kills and random.random() * faults.kills < 1 and len(world.up()) > 2:
            name = random.choice(world.up())
            world.kill(name)
            later(world.clock.now() + ms(random.uniform(300, 2500)), world.restart, name)
        if faults.pauses and random.random() * faults.pauses < 1:
            name = random.choice(world.up())
            world.net.pause(name)
            later(world.clock.now() + ms(random.uniform(300, 4000)), world.resume, name)
        if faults.cuts and random.random() * faults.cuts < 1:
            one, other = random.sample(sorted(world.net.seats), 2)
            world.net.cut(one, other, both=random.random() < 0.5)
            later(world.clock.now() + ms(random.uniform(300, 4000)), world.net.mend)
    world.run(ms(12_000))
    return world


def main() -> int:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    INVARIANTS.fatal = True
    first, last = int(sys.argv[1]), int(sys.argv[2])
    kinds = sys.argv[3:] or list(KINDS)
    for kind in kinds:
        ends: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        copies = unheard = 0
        after: list[int] = []
        for seed in range(first, last + 1):
            world = play(seed, KINDS[kind])
            broken = world.broken(UNSAFE)
            if broken:
                print(f"seed {seed} of {kind} breaks: {broken}; replay: {seed} {seed} {kind}")
                return 1
            ends += world.ends()
            copies += sum(world.workers.copies.values())
            unheard += world.workers.unheard
            after += [news.after for _, news in world.adoptions]
            for process in world.processes.values():
                counts += process.work.machine.counts
        after.sort()
        at = {p: after[min(len(after) - 1, len(after) * p // 100)] / 1e6 for p in (50, 99)} if after else {}
        print(f"{kind}: {last - first + 1} seeds; {dict(ends)}; second copies {copies}; unheard {unheard}")
        print(f"  from death known to adoption, ms: {at}; {dict(sorted(counts.items()))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
