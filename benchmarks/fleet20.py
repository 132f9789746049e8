"""A fleet of 20 dispatcher processes on one machine under faults: lost jobs by phase and cause.

    python benchmarks/fleet20.py [--seed 1] [--rate 40] [--json]

Under load, all dispatchers are restarted in turn, three times. Then a random one is killed every 2 s for
60 s. Then each site is cut off from the others for 5 s, first in both directions and then in one. Takes
about 240 s.
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
KILL_EVERY_MS, KILL_PHASE_MS = 2_000, 60_000
CUT_DURATION_MS, PAUSE_BETWEEN_CUTS_MS = 5_000, 5_000
OUTCOMES = ("served", "refused", "failed", "no answer", "left")


def plan_faults(seed: int) -> tuple[list[Fault], list[tuple[str, float]], float]:
    """Returns the faults, the phases with their start (s), and the duration (ms)."""
    rng, at = random.Random(seed), float(QUIET_MS)
    faults, phases = [], [("quiet", 0.0), ("restarts in turn", at / 1000)]
    for number in range(3 * COUNT):
        faults.append(Fault(kind="dispatcher restarted", at=ms(at), dispatcher=number % COUNT, down=ms(0)))
        at += RESTART_EVERY_MS
    at += QUIET_MS
    phases.append(("killed at random", at / 1000))
    for _ in range(KILL_PHASE_MS // KILL_EVERY_MS):
        victim = rng.randrange(COUNT)
        faults.append(Fault(kind="dispatcher killed", at=ms(at), dispatcher=victim, down=ms(1000)))
        at += KILL_EVERY_MS
    at += QUIET_MS
    phases.append(("sites cut off", at / 1000))
    for one_way in (False, True):
        for zone in ZONES:
            zones = [zone, *(z for z in ZONES if z != zone)]
            faults.append(
                Fault(kind="links cut", at=ms(at), lasts=ms(CUT_DURATION_MS), zones=zones, one_way=one_way)
            )
            at += CUT_DURATION_MS + PAUSE_BETWEEN_CUTS_MS
    return faults, phases, at


def build_world(seed: int, rate: float) -> tuple[spec.World, list[tuple[str, float]]]:
    faults, phases, length = plan_faults(seed)
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
    built = spec.World(
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
    built.check()
    return built, phases


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=40.0, help="jobs a second in all")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    simulated_world, phases = build_world(options.seed, options.rate)

    def progress(elapsed: float, sent: int, finished: int) -> None:
        print(f"\r{elapsed:5.0f} s, {sent} sent, {finished} finished", end="", file=sys.stderr)

    run = LiveRun(simulated_world, options.seed, progress=progress)
    result = run.run()
    run_start = run.recorder.started_at
    jobs_without_dispatcher: Counter[tuple[str, str]] = Counter()

    def phase_of(due_s: float) -> str:
        return [name for name, phase_start in phases if phase_start <= due_s][-1]

    for request in run.clients.without_dispatcher:
        jobs_without_dispatcher[
            phase_of((request.due - run_start) / 1e9), simulated_world.classes[request.cls].name
        ] += 1
    rows: dict[tuple[str, str], Counter[str]] = {}
    columns = result.rows
    for due, cls, outcome in zip(columns["due"], columns["cls"], columns["outcome"], strict=True):
        key = phase_of(due / 1e9), simulated_world.classes[cls].name
        rows.setdefault(key, Counter())[OUTCOMES[outcome]] += 1
    notes = result.notes
    report: dict[str, Any] = {
        "phases": [
            {
                "phase": phase,
                "class": cls,
                **outcomes,
                "for want of a dispatcher": jobs_without_dispatcher[phase, cls],
            }
            for (phase, cls), outcomes in rows.items()
        ],
        "breaches": dict(result.verdicts.breaches),
        "examples": result.verdicts.examples,
        "looked_at": dict(result.verdicts.looked_at),
        "fleet": notes["fleet"],
        "notes": {k: v for k, v in notes.items() if k != "fleet" and not k.endswith("per_s")},
    }
    if options.json:
        print(json.dumps(report))
        return
    for row in report["phases"]:
        print(row)
    for name in ("breaches", "examples", "looked_at", "fleet", "notes"):
        print(f"{name}: {report[name]}")


if __name__ == "__main__":
    main()
