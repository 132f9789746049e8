"""Twenty dispatchers' processes on one machine, and what is lost, by phase and cause.

    python benchmarks/fleet20.py [--seed 1] [--rate 40] [--json]

Three rounds of restarts in turn under load, then one of them killed at random every 2 s for 60 s, then each
site cut off from the others for 5 s at a time, both ways and one way. Takes about 240 s.
"""

import argparse
import json
import random
import sys
from collections import Counter
from typing import Any

from ironbarrow.config.units import ms
from ironbarrow.lab.live.run import LiveRun
from ironbarrow.lab.model import spec
from ironbarrow.lab.model.spec import Fault

COUNT = 20
ZONES = ["north", "middle", "south"]
QUIET_MS = 5_000
RESTART_EVERY_MS = 1_500
KILL_EVERY_MS, KILLS_FOR_MS = 2_000, 60_000
CUT_MS, BETWEEN_MS = 5_000, 5_000
OUTCOMES = ("served", "refused", "failed", "no answer", "left")


def timeline(seed: int) -> tuple[list[Fault], list[tuple[str, float]], float]:
    """Faults, phases with when they begin (s), and the whole length (ms)."""
    draws, at = random.Random(seed), float(QUIET_MS)
    faults, phases = [], [("quiet", 0.0), ("restarts in turn", at / 1000)]
    for number in range(3 * COUNT):
        faults.append(Fault(kind="dispatcher restarted", at=ms(at), dispatcher=number % COUNT, down=ms(0)))
        at += RESTART_EVERY_MS
    at += QUIET_MS
    phases.append(("killed at random", at / 1000))
    for _ in range(KILLS_FOR_MS // KILL_EVERY_MS):
        who = draws.randrange(COUNT)
        faults.append(Fault(kind="dispatcher killed", at=ms(at), dispatcher=who, down=ms(1000)))
        at += KILL_EVERY_MS
    at += QUIET_MS
    phases.append(("sites cut off", at / 1000))
    for one_way in (False, True):
        for zone in ZONES:
            zones = [zone, *(z for z in ZONES if z != zone)]
            faults.append(Fault(kind="links cut", at=ms(at), lasts=ms(CUT_MS), zones=zones, one_way=one_way))
            at += CUT_MS + BETWEEN_MS
    return faults, phases, at


def world(seed: int, rate: float) -> tuple[spec.World, list[tuple[str, float]]]:
    faults, phases, length = timeline(seed)
    classes = [
        spec.JobClass(
            name="map", share=0.7, work=spec.Distribution(mean=ms(200)), wanted=ms(2000), deadline=ms(10_000)
        ),
        spec.JobClass(
            name="booking",
            share=0.3,
            work=spec.Distribution(mean=ms(1500)),
            wanted=ms(5000),
            deadline=ms(15_000),
            effect="unsafe",
        ),
    ]
    made = spec.World(
        name="fleet20",
        duration=ms(length),
        classes=classes,
        workers=[spec.WorkerGroup(name="p", count=12, slots=8, cores=8)],
        arrivals=spec.Arrivals(rate=rate),
        network=spec.Network(zones=ZONES),
        dispatchers=spec.Dispatchers(count=COUNT, fleet=spec.Fleet()),
        clients=spec.Clients(retries=0, notice=ms(1000), same_id=True),
        faults=faults,
    )
    made.check()
    return made, phases


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=40.0, help="jobs a second in all")
    parser.add_argument("--json", action="store_true")
    asked = parser.parse_args()
    of, phases = world(asked.seed, asked.rate)

    def progress(elapsed: float, made: int, over: int) -> None:
        print(f"\r{elapsed:5.0f} s, {made} asked, {over} over", end="", file=sys.stderr)

    run = LiveRun(of, asked.seed, progress=progress)
    result = run.run()
    began = run.recorder.started_at
    lost: Counter[tuple[str, str]] = Counter()

    def phase_of(due_s: float) -> str:
        return [name for name, begins in phases if begins <= due_s][-1]

    for order in run.clients.without_dispatcher:
        lost[phase_of((order.due - began) / 1e9), of.classes[order.cls].name] += 1
    rows: dict[tuple[str, str], Counter[str]] = {}
    columns = result.rows
    for due, cls, outcome in zip(columns["due"], columns["cls"], columns["outcome"], strict=True):
        key = phase_of(due / 1e9), of.classes[cls].name
        rows.setdefault(key, Counter())[OUTCOMES[outcome]] += 1
    notes = result.notes
    found: dict[str, Any] = {
        "phases": [
            {"phase": phase, "class": cls, **ends, "for want of a dispatcher": lost[phase, cls]}
            for (phase, cls), ends in rows.items()
        ],
        "breaches": dict(result.verdicts.breaches),
        "examples": result.verdicts.examples,
        "looked_at": dict(result.verdicts.looked_at),
        "fleet": notes["fleet"],
        "notes": {k: v for k, v in notes.items() if k != "fleet" and not k.endswith("per_s")},
    }
    if asked.json:
        print(json.dumps(found))
        return
    for row in found["phases"]:
        print(row)
    for name in ("breaches", "examples", "looked_at", "fleet", "notes"):
        print(f"{name}: {found[name]}")


if __name__ == "__main__":
    main()
