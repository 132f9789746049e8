"""Rollouts on a simulated world: the twelve kinds of bad runtime, false pauses of clean ones, what they cost.

    python experiments/rollouts.py bad --seeds 3         # twelve kinds on rollout.toml
    python experiments/rollouts.py clean --seeds 200     # thinned world, usual troubles: false pauses
    python experiments/rollouts.py service --seeds 6     # with, without, and the uncoordinated deploy
    python experiments/rollouts.py clean --first 17 --seeds 1   # one seed again

One line of JSON for each run, then the sums.
"""

import argparse
import json
import random
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from ironbarrow.config.units import ms
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.rollouts import BAD_RUNTIMES, RolloutRun
from ironbarrow.lab.model.spec import Fault, World, load_world

HERE = Path(__file__).parent
PLAN = (HERE / "plans" / "rollout.toml").read_text()
THIN_PLAN = (
    PLAN.replace('"14 s"', '"8 s"')
    .replace("[[waves]]\nshare = 0.5\n", "")
    .replace("slots = 36", "slots = 16")
    .replace("slots = 11", "slots = 4")
)


def troubles(seed: int, until: float) -> list[Fault]:
    """Four of eight usual troubles, at any time: none of them is the runtime's."""
    draws = random.Random(seed)
    kinds = [
        Fault(kind="slow", at=ms(0), lasts=ms(10_000), part=0.1, size=3),
        Fault(kind="fail fast", at=ms(0), lasts=ms(8_000), part=0.1, size=0.7),
        Fault(kind="hang", at=ms(0), lasts=ms(6_000), part=0.05),
        Fault(kind="late reports", at=ms(0), lasts=ms(10_000), part=1.0, size=2),
        Fault(kind="die", at=ms(0), part=0.05),
        Fault(kind="dispatcher killed", at=ms(0), dispatcher=draws.randrange(3)),
        Fault(kind="cut", at=ms(0), lasts=ms(6_000), zones=["north", "middle"]),
        Fault(kind="flood", at=ms(0), lasts=ms(10_000), size=1.6),
    ]
    return [
        msgspec.structs.replace(fault, at=ms(1000 * draws.uniform(8, until)))
        for fault in draws.sample(kinds, 4)
    ]


def world_of(*, thin: bool, faults: list[Fault], seconds: float | None = None) -> World:
    world = load_world(HERE / "rollout.toml")
    if thin:
        groups = [msgspec.structs.replace(group, count=6) for group in world.workers]
        world = msgspec.structs.replace(
            world,
            workers=groups,
            arrivals=msgspec.structs.replace(world.arrivals, load=0.4),
            dispatchers=msgspec.structs.replace(world.dispatchers, count=3),
            duration=ms(85_000),
        )
    if seconds is not None:
        world = msgspec.structs.replace(world, duration=ms(1000 * seconds))
    return msgspec.structs.replace(world, faults=faults)


def play(job: tuple[str, str, int]) -> dict[str, Any]:
    """One run, as plain figures."""
    what, kind, seed = job
    INVARIANTS.fatal = True
    if what == "clean":
        world, plan = world_of(thin=True, faults=troubles(seed, 75)), THIN_PLAN
    elif what == "service" and kind == "deploy":
        deploy = Fault(kind="deploy", at=ms(8_000), lasts=ms(60_000), part=1.0, batch=0.17, drain=ms(1_500))
        world, plan = world_of(thin=False, faults=[deploy], seconds=120), None
    elif what == "service":
        plan = PLAN.replace('"14 s"', '"8 s"') if kind == "rollout" else None
        world = world_of(thin=False, faults=[], seconds=120)
    else:
        world, plan = world_of(thin=False, faults=[]), PLAN
    run = RolloutRun(world, seed, plan, BAD_RUNTIMES.get(kind))
    result, outcome = run.run_rollout()
    figures = result.summary()["all"]
    return {
        "what": what,
        "kind": kind,
        "seed": seed,
        **{name: getattr(outcome, name) for name in outcome.__slots__},
        **{name: figures[name] for name in ("asked", "served", "in_time", "failed", "refused", "service")},
        "breaches": dict(result.verdicts.breaches),
        "checked": {name: INVARIANTS.checked[name] for name in ("floor kept", "a step once")},
        "faults": [f"{fault.kind} {fault.at / 1e9:.0f}" for fault in world.faults],
    }


def main() -> None:
    args = argparse.ArgumentParser()
    args.add_argument("what", choices=["bad", "clean", "service"])
    args.add_argument("--seeds", type=int, default=3)
    args.add_argument("--first", type=int, default=1)
    args.add_argument("--jobs", type=int, default=4)
    given = args.parse_args()
    kinds = {"bad": ["none", *BAD_RUNTIMES], "clean": [""], "service": ["none", "rollout", "deploy"]}
    seeds = range(given.first, given.first + given.seeds)
    jobs = [(given.what, kind, seed) for seed in seeds for kind in kinds[given.what]]
    rows = []
    with ProcessPoolExecutor(given.jobs) as pool:
        for row in pool.map(play, jobs):
            print(json.dumps(row), flush=True)
            rows.append(row)
    for kind in kinds[given.what]:
        some = [row for row in rows if row["kind"] == kind]
        stopped = [row for row in some if row["stopped_at"] >= 0]
        lost = [
            next(r["served"] for r in rows if r["kind"] == "none" and r["seed"] == row["seed"])
            - row["served"]
            for row in some
            if given.what == "bad"
        ]
        print(
            f"{kind or given.what}: stopped {len(stopped)} of {len(some)},"
            f" held {sum(bool(r['holds']) for r in some)},"
            f" had it {[round(r['had_it'], 2) for r in stopped]},"
            f" held after {[round(r['held_at'] - r['first_up'], 1) for r in some if r['held_at'] >= 0]} s,"
            f" stopped after {[round(r['stopped_at'] - r['first_up'], 1) for r in stopped]} s,"
            f" by {sorted({r['rule'] for r in stopped})}, fewer served {lost},"
            f" service {[round(r['service'], 4) for r in some]}"
        )


if __name__ == "__main__":
    main()
