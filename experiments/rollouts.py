"""Rollouts in a simulated world: twelve kinds of bad runtime, false pauses of good runtimes, and their cost.

    python experiments/rollouts.py bad --seeds 3         # twelve kinds on rollout.toml
    python experiments/rollouts.py clean --seeds 200     # smaller world with unrelated faults: false pauses
    python experiments/rollouts.py service --seeds 6     # with a rollout, without, and uncoordinated
    python experiments/rollouts.py clean --first 17 --seeds 1   # repeats one seed

Prints one line of JSON for each run, then the sums.
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

FOLDER = Path(__file__).parent
PLAN = (FOLDER / "plans" / "rollout.toml").read_text()
SMALL_PLAN = (
    PLAN.replace('"14 s"', '"8 s"')
    .replace("[[waves]]\nshare = 0.5\n", "")
    .replace("slots = 36", "slots = 16")
    .replace("slots = 11", "slots = 4")
)


def random_faults(seed: int, until: float) -> list[Fault]:
    """Four of eight usual faults at random times; none comes from the runtime, so no rollout should pause."""
    rng = random.Random(seed)
    kinds = [
        Fault(kind="slow", at=ms(0), lasts=ms(10_000), part=0.1, size=3),
        Fault(kind="fail fast", at=ms(0), lasts=ms(8_000), part=0.1, size=0.7),
        Fault(kind="hang", at=ms(0), lasts=ms(6_000), part=0.05),
        Fault(kind="late reports", at=ms(0), lasts=ms(10_000), part=1.0, size=2),
        Fault(kind="die", at=ms(0), part=0.05),
        Fault(kind="dispatcher killed", at=ms(0), dispatcher=rng.randrange(3)),
        Fault(kind="cut", at=ms(0), lasts=ms(6_000), zones=["north", "middle"]),
        Fault(kind="flood", at=ms(0), lasts=ms(10_000), size=1.6),
    ]
    return [
        msgspec.structs.replace(fault, at=ms(1000 * rng.uniform(8, until))) for fault in rng.sample(kinds, 4)
    ]


def make_world(*, small: bool, faults: list[Fault], seconds: float | None = None) -> World:
    world = load_world(FOLDER / "rollout.toml")
    if small:
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


def run_once(job: tuple[str, str, int]) -> dict[str, Any]:
    """Runs one seed and returns its row."""
    mode, kind, seed = job
    INVARIANTS.fatal = True
    if mode == "clean":
        world, plan = make_world(small=True, faults=random_faults(seed, 75)), SMALL_PLAN
    elif mode == "service" and kind == "deploy":
        deploy = Fault(kind="deploy", at=ms(8_000), lasts=ms(60_000), part=1.0, batch=0.17, drain=ms(1_500))
        world, plan = make_world(small=False, faults=[deploy], seconds=120), None
    elif mode == "service":
        plan = PLAN.replace('"14 s"', '"8 s"') if kind == "rollout" else None
        world = make_world(small=False, faults=[], seconds=120)
    else:
        world, plan = make_world(small=False, faults=[]), PLAN
    run = RolloutRun(world, seed, plan, BAD_RUNTIMES.get(kind))
    result, outcome = run.run_rollout()
    figures = result.summary()["all"]
    return {
        "what": mode,
        "kind": kind,
        "seed": seed,
        **{name: getattr(outcome, name) for name in outcome.__slots__},
        **{name: figures[name] for name in ("asked", "served", "in_time", "failed", "refused", "service")},
        "breaches": dict(result.verdicts.breaches),
        "checked": {name: INVARIANTS.checked[name] for name in ("floor kept", "a step once")},
        "faults": [f"{fault.kind} {fault.at / 1e9:.0f}" for fault in world.faults],
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["bad", "clean", "service"])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    kinds = {"bad": ["none", *BAD_RUNTIMES], "clean": [""], "service": ["none", "rollout", "deploy"]}
    seeds = range(options.first, options.first + options.seeds)
    jobs = [(options.what, kind, seed) for seed in seeds for kind in kinds[options.what]]
    rows = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for row in pool.map(run_once, jobs):
            print(json.dumps(row), flush=True)
            rows.append(row)
    for kind in kinds[options.what]:
        runs = [row for row in rows if row["kind"] == kind]
        stopped = [row for row in runs if row["stopped_at"] >= 0]
        fewer_served = [
            next(r["served"] for r in rows if r["kind"] == "none" and r["seed"] == row["seed"])
            - row["served"]
            for row in runs
            if options.what == "bad"
        ]
        print(
            f"{kind or options.what}: stopped {len(stopped)} of {len(runs)},"
            f" held {sum(bool(r['holds']) for r in runs)},"
            f" had it {[round(r['had_it'], 2) for r in stopped]},"
            f" held after {[round(r['held_at'] - r['first_up'], 1) for r in runs if r['held_at'] >= 0]} s,"
            f" stopped after {[round(r['stopped_at'] - r['first_up'], 1) for r in stopped]} s,"
            f" by {sorted({r['rule'] for r in stopped})}, fewer served {fewer_served},"
            f" service {[round(r['service'], 4) for r in runs]}"
        )


if __name__ == "__main__":
    main()
