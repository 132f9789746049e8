"""Job losses of experiments/kill-day.toml on real processes, with and without a fleet, paired by seed.

python benchmarks/kill_day.py --seeds 10 --at-once 2 --out rows.jsonl     # runs what is not in the file yet
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
BREACHES = {
    "run twice": "a booking run twice",
    "two answers": "more than one final answer",
    "second copy": "a second copy at the same time",
}


def run_once(world: Path, mode: str, seed: int) -> dict[str, Any]:
    """Runs one seed in a separate process and returns its row."""
    command = [sys.executable, "-m", "ironbarrow", "lab", "live", str(world), "--seed", str(seed), "--json"]
    completed = subprocess.run(command + MODES[mode], cwd=ROOT, capture_output=True, text=True, check=False)
    try:
        result = json.loads(completed.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        return {"mode": mode, "seed": seed, "error": completed.stderr[-300:]}
    notes = result["notes"]
    return {
        "mode": mode,
        "seed": seed,
        "classes": {
            name: {k: figures[k] for k in ("asked", "served", "in_time", "refused", "failed", "no_answer")}
            for name, figures in (*result["summary"]["classes"].items(), ("all", result["summary"]["all"]))
        },
        "without_dispatcher": notes["without_dispatcher"],
        "unheard": notes["unheard_call_backs"],
        "unheard_ends": notes["unheard_ends"],
        "came_again": notes["came_again"],
        "breaches": result["breaches"],
        "examples": result["examples"],
        "crashes": notes["crashes"],
        "wrong_results": notes["wrong_results"],
        "late_p99_ms": notes["late_p99_ms"],
        "service": result["summary"]["all"]["service"],
        "fleet": notes["fleet"],
        "folder": notes["folder"],
    }


def print_summary(rows: list[dict[str, Any]]) -> None:
    """Prints the sums over the seeds of each mode."""
    for mode in MODES:
        mode_rows = [row for row in rows if row["mode"] == mode and "error" not in row]
        if not mode_rows:
            continue
        print(f"{mode}: {len(mode_rows)} runs, seeds {sorted(row['seed'] for row in mode_rows)}")
        for name in mode_rows[0]["classes"]:
            asked, useless = (
                sum(row["classes"][name]["asked"] for row in mode_rows),
                sum(row["classes"][name]["asked"] - row["classes"][name]["served"] for row in mode_rows),
            )
            unrouted = sum(
                n for row in mode_rows for c, n in row["without_dispatcher"].items() if name in (c, "all")
            )
            ends = {
                k: sum(r["classes"][name][k] for r in mode_rows) for k in ("refused", "failed", "no_answer")
            }
            print(
                f"  {name:8} {asked:6} asked  {useless:5} without a useful answer ({useless / asked:6.2%})  "
                f"{unrouted:5} for want of a dispatcher ({unrouted / asked:6.2%})  {ends}"
            )
        for what, breach in BREACHES.items():
            print(f"  {what}: {sum(row['breaches'].get(breach, 0) for row in mode_rows)}")
        others = sorted({name for row in mode_rows for name in row["breaches"]} - set(BREACHES.values()))
        for name in others:
            print(f"  {name}: {sum(row['breaches'].get(name, 0) for row in mode_rows)}")
        unheard, ends = sum(r["unheard"] for r in mode_rows), sum(r["unheard_ends"] for r in mode_rows)
        print(f"  unheard call-backs: {unheard}, of ends {ends}")
        late = max(r["late_p99_ms"] for r in mode_rows)
        print(f"  crashes {sum(r['crashes'] for r in mode_rows)}, late p99 {late:.1f} ms")
        print(f"  service: {sum(r['service'] for r in mode_rows) / len(mode_rows):.3f}")
        times = sorted(t for r in mode_rows for t in r["fleet"].get("adopted_after_ms", {}).get("each", ()))
        if times:
            p50, p99 = (
                times[len(times) // 2],
                times[min(len(times) - 1, int(len(times) * 0.99))],
            )
            jobs = sum(r["fleet"]["jobs_adopted"] for r in mode_rows)
            print(
                f"  kill to adoption: {len(times)} adoptions, {jobs} jobs, p50 {p50:.0f} ms, p99 {p99:.0f} ms"
            )
        broken = [r["fleet"]["broken_invariants"] for r in mode_rows if r["fleet"].get("broken_invariants")]
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
    options = parser.parse_args()
    path = options.show or options.out
    rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
    if options.show is None:
        present = {(row["mode"], row["seed"]) for row in rows}
        cells = [(m, s) for s in range(1, options.seeds + 1) for m in options.modes if (m, s) not in present]
        with ThreadPoolExecutor(options.at_once) as pool, path.open("a") as out:
            for row in pool.map(lambda cell: run_once(options.world, *cell), cells):
                rows.append(row)
                out.write(json.dumps(row) + "\n")
                out.flush()
    print_summary(rows)


if __name__ == "__main__":
    main()
