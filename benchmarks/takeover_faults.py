"""Live plays of five dispatchers with drawn stops or kills around a take-over, judged by the lab's auditor.

python benchmarks/takeover_faults.py stops --plays 100 --at-once 3 --out rows.jsonl
python benchmarks/takeover_faults.py kills --plays 30 --first 7 --logs folder

``stops``: dispatcher 0 is killed and the first dispatcher that reaches ``--point`` crashes, while one or two
of the others stand still for a drawn time. ``kills``: three to five dispatchers are killed at drawn moments.
A play is drawn from its number alone. The exit status is 1 if a play broke a rule.
"""

import argparse
import json
import multiprocessing
import random
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from ironbarrow.config.units import ms  # noqa: E402
from ironbarrow.lab.live.run import LiveRun  # noqa: E402
from ironbarrow.lab.model.spec import Fault, World, convert, to_plain_data  # noqa: E402
from tests.test_fleet_rig import FORBIDDEN_BREACHES, LIVE_WORLD, kill  # noqa: E402

DISPATCHERS = 5


def draw_stops(draw: random.Random) -> list[Fault]:
    """Dispatcher 0 is killed; one or two others are stopped."""
    stopped = draw.sample(range(1, DISPATCHERS), draw.choice((1, 2)))
    stops = [
        Fault(
            kind="dispatcher stopped",
            at=ms(draw.uniform(1000, 3500)),
            lasts=ms(draw.uniform(300, 3000)),
            dispatcher=number,
        )
        for number in stopped
    ]
    return [kill(0, 1500), *stops]


def draw_kills(draw: random.Random) -> list[Fault]:
    """Three to five dispatchers are killed at drawn moments."""
    killed = draw.sample(range(DISPATCHERS), draw.randint(3, DISPATCHERS))
    return [kill(number, draw.uniform(1000, 3000), draw.uniform(300, 3000)) for number in killed]


def play(kind: str, number: int, point: str, folder: Path) -> dict[str, Any]:
    """Plays one draw; called in a process of its own."""
    draw = random.Random(f"{kind} {number}")
    faults = draw_stops(draw) if kind == "stops" else draw_kills(draw)
    raw = {**msgspec.toml.decode(LIVE_WORLD), "faults": to_plain_data(faults)}
    run = LiveRun(convert(raw, World, f"{kind} {number}"), draw.randrange(1, 1000), folder)
    if kind == "stops" and point:
        run.inject_first_exit(point, ms(500))
    result = run.run()
    notes = result.notes
    return {
        "play": f"{kind} {number}",
        "breaches": {b.name: n for b in FORBIDDEN_BREACHES if (n := result.verdicts.breaches[b.value])},
        "broken_invariants": notes["fleet"]["broken_invariants"],
        "crashes": notes["crashes"],
        "adoptions": notes["fleet"]["adoptions"],
        "served": result.summary()["all"]["served"],
        "asked": result.summary()["all"]["asked"],
        "examples": result.verdicts.examples,
        "faults": [(f.kind, f.dispatcher, f.at / 1e9, (f.lasts or f.down) / 1e9) for f in faults],
        "folder": str(folder),
    }


def main() -> int:
    """Plays the draws of the command line; prints one row each and the number that broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("kind", choices=("stops", "kills"))
    parser.add_argument("--plays", type=int, default=30)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--point", default="after-seal:1", help="fault point; empty: none")
    parser.add_argument("--logs", type=Path, help="folder for the dispatchers' logs")
    parser.add_argument("--out", type=Path, help="file to which the rows are added as JSON lines")
    chosen = parser.parse_args()
    logs = chosen.logs or Path(tempfile.mkdtemp(prefix="takeover-faults-"))
    broken = 0
    with ProcessPoolExecutor(chosen.at_once, mp_context=multiprocessing.get_context("spawn")) as pool:
        plays = [
            pool.submit(play, chosen.kind, number, chosen.point, logs / f"{chosen.kind}-{number}")
            for number in range(chosen.first, chosen.first + chosen.plays)
        ]
        for found in plays:
            row = found.result()
            is_broken = bool(row["breaches"] or row["broken_invariants"] or row["crashes"])
            broken += is_broken
            if chosen.out is not None:
                with chosen.out.open("a") as file:
                    file.write(json.dumps(row) + "\n")
            print(json.dumps(row if is_broken else {"play": row["play"], "kept": True}), flush=True)
    print(f"{chosen.plays} plays, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
