"""Random load and faults on the dispatchers of a fleet, in virtual time.

``python -m ironbarrow.lab.fleet.random_takeovers FIRST LAST [KIND]`` runs these seeds and exits with 1 at the
first one that violates an invariant; with FIRST equal to LAST it replays one seed.
"""

import logging
import sys
from collections import Counter
from dataclasses import dataclass
from typing import Any

import structlog

from heathway.settings import read_settings
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.net import LinkConditions
from ironbarrow.lab.fleet.takeover_simulation import TakeoverSimulation, ms

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
    """The faults of a run. ``kills``, ``pauses`` and ``cuts`` come about once per so many jobs; 0: never."""

    kills: int = 0
    pauses: int = 0
    cuts: int = 0
    lost: float = 0.0  # share of the messages between members
    doubled: float = 0.0
    failure_rate: float = 0.03  # share of the runs that end as failed
    refusal_rate: float = 0.05  # share of the requests that workers reject without a run
    dispatchers: int = 5


KINDS = {
    "calm": Faults(),
    "kills": Faults(kills=30),
    "pauses": Faults(pauses=30),
    "cuts": Faults(cuts=30, lost=0.03, doubled=0.03),
    "all": Faults(kills=40, pauses=40, cuts=40, lost=0.03, doubled=0.03, dispatchers=7),
}


def run_seed(seed: int, faults: Faults, jobs: int = 80) -> TakeoverSimulation:
    """Runs one seed until each client has its answer or its deadline has passed."""
    world = TakeoverSimulation(SETTINGS, faults.dispatchers, seed=seed, workers=8)
    world.net.default_link = LinkConditions(lost=faults.lost, doubled=faults.doubled)
    world.failure_rate, world.refusal_rate = faults.failure_rate, faults.refusal_rate
    world.run(ms(1500))
    random, later = world.random, world.clock.call_at
    for number in range(jobs):
        world.run(ms(random.uniform(5, 60)))
        request = world.submit(
            f"j{number}", random.choice(("map", "book")), ms(random.choice((3000, 6000, 9000)))
        )
        if random.random() < 0.05:  # a client that disconnects and retries
            later(world.clock.now() + ms(random.uniform(5, 800)), world.reconnect, request)
        if faults.kills and random.random() * faults.kills < 1 and len(world.up()) > 2:
            name = random.choice(world.up())
            world.kill(name)
            later(world.clock.now() + ms(random.uniform(300, 2500)), world.restart, name)
        if faults.pauses and random.random() * faults.pauses < 1:
            name = random.choice(world.up())
            world.net.pause(name)
            later(world.clock.now() + ms(random.uniform(300, 4000)), world.resume, name)
        if faults.cuts and random.random() * faults.cuts < 1:
            one, other = random.sample(sorted(world.net.peers), 2)
            world.net.cut(one, other, both=random.random() < 0.5)
            later(world.clock.now() + ms(random.uniform(300, 4000)), world.net.heal)
    world.run(ms(12_000))
    return world


def main() -> int:
    """Runs the seeds and kinds of the command line; returns the exit status."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    INVARIANTS.fatal = True
    first, last = int(sys.argv[1]), int(sys.argv[2])
    kinds = sys.argv[3:] or list(KINDS)
    for kind in kinds:
        verdicts: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        duplicate_runs = lost_call_backs = 0
        delays: list[int] = []
        for seed in range(first, last + 1):
            world = run_seed(seed, KINDS[kind])
            violations = world.violations(UNSAFE)
            if violations:
                print(f"seed {seed} of {kind} violates: {violations}; replay: {seed} {seed} {kind}")
                return 1
            verdicts += world.verdict_counts()
            duplicate_runs += sum(world.workers.duplicate_runs.values())
            lost_call_backs += world.workers.lost_call_backs
            delays += [event.after for _, event in world.adoptions]
            for process in world.processes.values():
                counts += process.adapter.machine.counts
        delays.sort()
        percentiles = (
            {p: delays[min(len(delays) - 1, len(delays) * p // 100)] / 1e6 for p in (50, 99)}
            if delays
            else {}
        )
        print(
            f"{kind}: {last - first + 1} seeds; {dict(verdicts)}; duplicate runs {duplicate_runs};"
            f" lost call-backs {lost_call_backs}"
        )
        print(f"  time from detected death to adoption, ms: {percentiles}; {dict(sorted(counts.items()))}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
