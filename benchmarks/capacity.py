"""What each role of the program costs as the fleet grows: counts in virtual time, CPU and resident memory.

    PYTHONPATH=. python benchmarks/capacity.py [--only PART ...] [--missing]   # writes results/capacity.json
    PYTHONPATH=. python benchmarks/capacity.py --tables   # prints the page's tables from that file

Each size of each part runs in a process of its own. Counts are the same on any machine; CPU times and memory
are not, and stand beside the machine's load.
"""

import argparse
import dataclasses
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from heathway.api import Effect
from ironbarrow.fleet.file import StarvationRules
from ironbarrow.lab.capacity import costs, decisions, ledgers, lists, members, rollouts, tables, waits

RESULTS = Path(__file__).parent / "results" / "capacity.json"
TARGET_DISPATCHERS = (14, 28, 56, 115, 230)
_LONGEST_S = 1500  # of one size
_ALL_TENANTS = StarvationRules(tenants=290, table_bytes=1 << 20, least_jobs=1 << 30)
_HOUR_S = 3600.0


def _region_cut(size: int) -> dict[str, Any]:
    cut, heal = members.count_region_cut(size, seconds=60, cut_s=20)
    return {"cut": _plain(cut), "heal": _plain(heal)}


def _short_cut(size: int) -> dict[str, Any]:
    """A cut that ends while deaths are still being told."""
    cut, heal = members.count_region_cut(size, seconds=30, cut_s=5)
    return {"cut": _plain(cut), "heal": _plain(heal)}


def _hour(size: int) -> dict[str, Any]:
    cut, heal = members.count_region_cut(size, cut_s=_HOUR_S, seconds=60)
    return {"cut": _plain(cut), "heal": _plain(heal)}


def _majority(size: int) -> dict[str, Any]:
    return {f"k{k}": _plain(ledgers.share_without_majority(size, k)) for k in (3, 5)}


def _cold(size: int) -> list[Any]:
    return [_plain(decisions.count_cold_share(size, mean, workers=20)) for mean in (0.2, 1.0, 10.0)]


def _moves_without_reports(jobs_per_s: int) -> dict[str, Any]:
    """Records of own sends where workers neither report nor have live weights."""
    with_reports = decisions.count_decisions(1, 100, jobs_per_s, seconds=20)
    without = decisions.count_decisions(1, 100, jobs_per_s, seconds=20, reports=False, lists=False)
    return {"jobs": without.jobs, "with": with_reports.records.moves, "without": without.records.moves}


def _cut_work(seed: int) -> list[dict[str, Any]]:
    """Running jobs in a region cut of 30 s, safe and unsafe, beside the same without a cut."""
    return [
        _plain(ledgers.count_cut_work(effect, cut=cut, seed=seed))
        for effect in (Effect.SAFE, Effect.UNSAFE)
        for cut in (False, True)
    ]


@dataclasses.dataclass(frozen=True)
class Part:
    """One thing that is measured, at several sizes."""

    sizes: tuple[int, ...]
    run: Callable[[int], Any]


PARTS: dict[str, Part] = {
    "region_cut": Part((7, 14, 28, 56, 115, 230), _region_cut),
    "short_cut": Part((14, 28, 56, 115, 230), _short_cut),
    "zone_loss": Part((14, 28, 56, 115, 230), members.count_zone_loss),
    "hour": Part((14, 28), _hour),
    "calm": Part((8, 16, 28, 32, 56, 64, 115, 230), members.count_calm),
    "death": Part((8, 16, 28, 32, 56, 64, 115, 230), lambda size: members.count_death(size, seconds=30)),
    "waits_dispatchers": Part(
        (4, 8, 16, 28, 32, 56, 64, 115, 230), lambda size: waits.count_waits(size, 2, per_window=1)
    ),
    "waits_tenants": Part((8, 16, 32, 64, 128, 290), lambda size: waits.count_waits(4, size)),
    "waits_all_tenants": Part(
        (16, 32, 64, 128, 290), lambda size: waits.count_waits(4, size, rules=_ALL_TENANTS)
    ),
    "writer": Part((10, 40, 160, 640), ledgers.count_writer),
    "body": Part((0, 200, 1000, 4000), lambda size: ledgers.count_writer(50, body=size)),
    "running": Part((10, 40, 160, 640), lambda size: ledgers.count_writer(size, keep=True)),
    "move": Part((10, 40, 160, 640), ledgers.count_move),
    "starts": Part((20, 40, 80, 160, 320), ledgers.count_starts),
    "starts_dispatchers": Part((4, 7, 14, 28, 56), lambda size: ledgers.count_starts(60, size)),
    "majority": Part(TARGET_DISPATCHERS, _majority),
    "cut_work": Part((1, 2, 3), _cut_work),  # by seed
    "rollout_members": Part((4, 8, 16, 32, 64), lambda size: rollouts.count_rollout(size, 8)),
    "rollout_workers": Part((8, 16, 32, 64, 128, 256), lambda size: rollouts.count_rollout(4, size)),
    "lists": Part((104, 208, 415, 830), lists.count_list),
    "probes_workers": Part((104, 208, 415, 830), lambda size: decisions.count_decisions(8, size, 2.0)),
    "probes_dispatchers": Part((4, 8, 16, 32), lambda size: decisions.count_decisions(size, 104, 2.0)),
    "records_jobs": Part((2, 8, 32, 64), lambda size: decisions.count_decisions(1, 830, size).records),
    "moves": Part((2, 8, 32), _moves_without_reports),
    "cold": Part((8, 28, 230), _cold),
    "cold_agenda": Part((20, 40, 80, 119), lambda size: decisions.timers_after_cold_lists(size, 20)),
    "cpu_list": Part((104, 208, 415, 830), costs.list_cpu_ms),
    "cpu_turn": Part((104, 208, 415, 830), costs.turn_cost),
    "cpu_member": Part((8, 16, 32, 64), costs.member_cpu_ms),
    "cpu_start": Part((100, 200, 400), costs.start_cpu_ms),
    "cpu_look": Part((8, 16, 32, 64), costs.starvation_check_cost),
    "rss_workers": Part((104, 208, 415, 830), costs.workers_resident_kb),
    "rss_members": Part((16, 32, 64, 115), costs.members_resident_kb),
    "rss_replicas": Part((250, 500, 1000, 2000), costs.replicas_resident_kb),
}


def _plain(found: Any) -> Any:
    """A result as plain data."""
    if dataclasses.is_dataclass(found) and not isinstance(found, type):
        return dataclasses.asdict(found)
    return found


def _measure(part: str, size: int) -> dict[str, Any]:
    """One size in a process of its own."""
    load, began = os.getloadavg()[0], time.monotonic()
    command = [sys.executable, __file__, "--here", part, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=_LONGEST_S)
    found: dict[str, Any] = {"size": size, "load": round(load, 1)}
    found["wall_s"] = round(time.monotonic() - began, 1)
    if done.returncode:
        found["failed"] = done.stderr.strip().splitlines()[-1:] or ["?"]
    else:
        found["found"] = json.loads(done.stdout.splitlines()[-1])  # logs come before
    print(part, json.dumps(found)[:300], flush=True)
    return found


def run(names: list[str], parallel: int, path: Path, missing: bool) -> dict[str, Any]:
    """Runs parts, the largest sizes first; what earlier runs found of other parts stays. ``missing``: only
    sizes of which nothing was found."""
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    kept = {
        (name, one["size"]): one
        for name in (names if missing else ())
        for one in results.get(name, [])
        if "found" in one
    }
    with ThreadPoolExecutor(parallel) as pool:
        waiting = {
            (name, size): pool.submit(_measure, name, size)
            for name in names
            for size in sorted(PARTS[name].sizes, reverse=True)
            if (name, size) not in kept
        }
        for name in names:
            sizes = PARTS[name].sizes
            try:
                results[name] = [kept.get((name, n)) or waiting[name, n].result() for n in sizes]
            except subprocess.TimeoutExpired as error:
                results[name] = [{"failed": str(error)}]
            path.parent.mkdir(exist_ok=True)
            path.write_text(json.dumps(results, indent=1) + "\n")
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--only", nargs="+", choices=PARTS, default=list(PARTS))
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--missing", action="store_true", help="only sizes that were not measured yet")
    parser.add_argument("--tables", action="store_true")
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--here", nargs=2, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.here:
        part, size = given.here
        found = msgspec.to_builtins(_plain(PARTS[part].run(int(size))))
        print(json.dumps(found).replace("Infinity", "null"))  # never within the limit
    elif given.tables:
        print(tables.markdown(json.loads(given.results.read_text())))
    else:
        run(given.only, given.parallel, given.results, given.missing)


if __name__ == "__main__":
    main()
