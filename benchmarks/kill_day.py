"""experiments/kill-day.toml on real processes, with and without a fleet, in pairs by seed: what was lost.

python benchmarks/kill_day.py --seeds 10 --at-once 2 --out rows.jsonl     # plays what is not in the file yet
python benchmarks/kill_day.py --show rows.jsonl
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
MODES: dict[str, list[str]] = {"off": [], "fleet": ["--fleet"]}
BAD = {
    "run twice": "a booking run twice",
    "two answers": "more than one final answer",
    "second copy": "a second copy at the same time",
}


def play(world: Path, mode: str, seed: int) -> dict[str, Any]:
    """One run in a process of its own, as one row."""
    command = [sys.executable, "-m", "ironbarrow", "lab", "live", str(world), "--seed", str(seed), "--json"]
    done = subprocess.run(command + MODES[mode], cwd=ROOT, capture_output=True, text=True, check=False)
    try:
        found = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        return {"mode": mode, "seed": seed, "error": done.stderr[-300:]}
    notes = found["notes"]
    return {
        "mode": mode,
        "seed": seed,
        "classes": {
            name: {k: figures[k] for k in ("asked", "served", "in_time", "refused", "failed", "no_answer")}
            for name, figures in (*found["summary"]["classes"].items(), ("all", found["summary"]["all"]))
        },
        "without_dispatcher": notes["without_dispatcher"],
        "unheard": notes["unheard_call_backs"],
        "unheard_ends": notes["unheard_ends"],
        "came_again": notes["came_again"],
        "breaches": found["breaches"],
        "examples": found["examples"],
        "crashes": notes["crashes"],
        "wrong_results": notes["wrong_results"],
        "late_p99_ms": notes["late_p99_ms"],
        "service": found["summary"]["all"]["service"],
        "fleet": notes["fleet"],
        "folder": notes["folder"],
    }


def show(rows: list[dict[str, Any]]) -> None:
    """Sums over the seeds of each mode."""
    for mode in MODES:
        mine = [row for row in rows if row["mode"] == mode and "error" not in row]
        if not mine:
            continue
        print(f"{mode}: {len(mine)} runs, seeds {sorted(row['seed'] for row in mine)}")
        for name in mine[0]["classes"]:
            asked, useless = (
                sum(row["classes"][name]["asked"] for row in mine),
                sum(row["classes"][name]["asked"] - row["classes"][name]["served"] for row in mine),
            )
            wanting = sum(
                n for row in mine for c, n in row["without_dispatcher"].items() if name in (c, "all")
            )
            ends = {k: sum(r["classes"][name][k] for r in mine) for k in ("refused", "failed", "no_answer")}
            print(
                f"  {name:8} {asked:6} asked  {useless:5} without a useful answer ({useless / asked:6.2%})  "
                f"{wanting:5} for want of a dispatcher ({wanting / asked:6.2%})  {ends}"
            )
        for what, breach in BAD.items():
            print(f"  {what}: {sum(row['breaches'].get(breach, 0) for row in mine)}")
        others = sorted({name for row in mine for name in row["breaches"]} - set(BAD.values()))
        for name in others:
            print(f"  {name}: {sum(row['breaches'].get(name, 0) for row in mine)}")
        unheard, ends = sum(r["unheard"] for r in mine), sum(r["unheard_ends"] for r in mine)
        print(f"  unheard call-backs: {unheard}, of ends {ends}")
        late = max(r["late_p99_ms"] for r in mine)
        print(f"  crashes {sum(r['crashes'] for r in mine)}, late p99 {late:.1f} ms")
        print(f"  service: {sum(r['service'] for r in mine) / len(mine):.3f}")
        each = sorted(t for r in mine for t in r["fleet"].get("adopted_after_ms", {}).get("each", ()))
        if each:
            p50, p99 = each[len(each) // 2], each[min(len(each) - 1, int(len(each) * 0.99))]
            jobs = sum(r["fleet"]["jobs_adopted"] for r in mine)
            print(
                f"  kill to adoption: {len(each)} adoptions, {jobs} jobs, p50 {p50:.0f} ms, p99 {p99:.0f} ms"
            )
        broken = [r["fleet"]["broken_invariants"] for r in mine if r["fleet"].get("broken_invariants")]
        if broken:
            print(f"  broken invariants: {broken}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--world", type=Path, default=ROOT / "experiments" / "kill-day.toml")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--modes", nargs="+", choices=list(MODES), default=list(MODES))
    parser.add_argument("--out", type=Path, default=Path("kill-day.jsonl"))
    parser.add_argument("--show", type=Path)
    asked = parser.parse_args()
    path = asked.show or asked.out
    rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
    if asked.show is None:
        there = {(row["mode"], row["seed"]) for row in rows}
        cells = [(m, s) for s in range(1, asked.seeds + 1) for m in asked.modes if (m, s) not in there]
        with ThreadPoolExecutor(asked.at_once) as pool, path.open("a") as out:
            for row in pool.map(lambda cell: play(asked.world, *cell), cells):
                rows.append(row)
                out.write(json.dumps(row) + "\n")
                out.flush()
    show(rows)


if __name__ == "__main__":
    main()
