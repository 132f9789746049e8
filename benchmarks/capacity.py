"""Resource use of each role of the program by fleet size: counts in simulated time, CPU and resident memory.

    PYTHONPATH=. python benchmarks/capacity.py [--only PART ...] [--missing]   # writes results/capacity.json
    PYTHONPATH=. python benchmarks/capacity.py --tables   # prints the tables of that file

Each size of each part runs in a separate process. Counts are the same on any machine; CPU times and memory
are not, so each result includes the machine's load average.
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
_SIZE_TIMEOUT_S = 1500
_RULES_FOR_ALL_TENANTS = StarvationRules(tenants=290, table_bytes=1 << 20, least_jobs=1 << 30)
_LONG_CUT_S = 3600.0


def _region_cut(size: int) -> dict[str, Any]:
    cut, heal = members.count_region_cut(size, seconds=60, cut_s=20)
    return {"cut": _to_plain(cut), "heal": _to_plain(heal)}


def _short_cut(size: int) -> dict[str, Any]:
    """A cut that ends while members are still disseminating deaths."""
    cut, heal = members.count_region_cut(size, seconds=30, cut_s=5)
    return {"cut": _to_plain(cut), "heal": _to_plain(heal)}


def _hour_cut(size: int) -> dict[str, Any]:
    cut, heal = members.count_region_cut(size, cut_s=_LONG_CUT_S, seconds=60)
    return {"cut": _to_plain(cut), "heal": _to_plain(heal)}


def _shares_without_majority(size: int) -> dict[str, Any]:
    return {f"k{k}": _to_plain(ledgers.share_without_majority(size, k)) for k in (3, 5)}


def _cold_shares(size: int) -> list[Any]:
    return [_to_plain(decisions.count_cold_share(size, mean, workers=20)) for mean in (0.2, 1.0, 10.0)]


def _moves_without_reports(jobs_per_s: int) -> dict[str, Any]:
    """Records of the dispatcher's own sends, with and without load reports and live weights."""
    with_reports = decisions.count_decisions(1, 100, jobs_per_s, seconds=20)
    without = decisions.count_decisions(1, 100, jobs_per_s, seconds=20, reports=False, lists=False)
    return {"jobs": without.jobs, "with": with_reports.records.moves, "without": without.records.moves}


def _cut_work(seed: int) -> list[dict[str, Any]]:
    """Jobs that run during a region cut of 30 s, safe and unsafe, compared with no cut."""
    return [
        _to_plain(ledgers.count_cut_work(effect, cut=cut, seed=seed))
        for effect in (Effect.SAFE, Effect.UNSAFE)
        for cut in (False, True)
    ]


@dataclasses.dataclass(frozen=True)
class Measurement:
    """A measurement at several sizes."""

    sizes: tuple[int, ...]
    run: Callable[[int], Any]


MEASUREMENTS: dict[str, Measurement] = {
    "region_cut": Measurement((7, 14, 28, 56, 115, 230), _region_cut),
    "short_cut": Measurement((14, 28, 56, 115, 230), _short_cut),
    "zone_loss": Measurement((14, 28, 56, 115, 230), members.count_zone_loss),
    "hour": Measurement((14, 28), _hour_cut),
    "calm": Measurement((8, 16, 28, 32, 56, 64, 115, 230), members.count_calm),
    "death": Measurement(
        (8, 16, 28, 32, 56, 64, 115, 230), lambda size: members.count_death(size, seconds=30)
    ),
    "waits_dispatchers": Measurement(
        (4, 8, 16, 28, 32, 56, 64, 115, 230), lambda size: waits.count_waits(size, 2, per_window=1)
    ),
    "waits_tenants": Measurement((8, 16, 32, 64, 128, 290), lambda size: waits.count_waits(4, size)),
    "waits_all_tenants": Measurement(
        (16, 32, 64, 128, 290), lambda size: waits.count_waits(4, size, rules=_RULES_FOR_ALL_TENANTS)
    ),
    "writer": Measurement((10, 40, 160, 640), ledgers.count_writer),
    "body": Measurement((0, 200, 1000, 4000), lambda size: ledgers.count_writer(50, body=size)),
    "running": Measurement((10, 40, 160, 640), lambda size: ledgers.count_writer(size, keep=True)),
    "move": Measurement((10, 40, 160, 640), ledgers.count_move),
    "starts": Measurement((20, 40, 80, 160, 320), ledgers.count_starts),
    "starts_dispatchers": Measurement((4, 7, 14, 28, 56), lambda size: ledgers.count_starts(60, size)),
    "majority": Measurement(TARGET_DISPATCHERS, _shares_without_majority),
    "cut_work": Measurement((1, 2, 3), _cut_work),  # by seed
    "rollout_members": Measurement((4, 8, 16, 32, 64), lambda size: rollouts.count_rollout(size, 8)),
    "rollout_workers": Measurement((8, 16, 32, 64, 128, 256), lambda size: rollouts.count_rollout(4, size)),
    "lists": Measurement((104, 208, 415, 830), lists.count_list),
    "probes_workers": Measurement((104, 208, 415, 830), lambda size: decisions.count_decisions(8, size, 2.0)),
    "probes_dispatchers": Measurement((4, 8, 16, 32), lambda size: decisions.count_decisions(size, 104, 2.0)),
    "records_jobs": Measurement((2, 8, 32, 64), lambda size: decisions.count_decisions(1, 830, size).records),
    "moves": Measurement((2, 8, 32), _moves_without_reports),
    "cold": Measurement((8, 28, 230), _cold_shares),
    "cold_agenda": Measurement((20, 40, 80, 119), lambda size: decisions.timers_after_cold_lists(size, 20)),
    "cpu_list": Measurement((104, 208, 415, 830), costs.list_cpu_ms),
    "cpu_turn": Measurement((104, 208, 415, 830), costs.turn_cost),
    "cpu_member": Measurement((8, 16, 32, 64), costs.member_cpu_ms),
    "cpu_start": Measurement((100, 200, 400), costs.start_cpu_ms),
    "cpu_look": Measurement((8, 16, 32, 64), costs.starvation_check_cost),
    "rss_workers": Measurement((104, 208, 415, 830), costs.workers_resident_kb),
    "rss_members": Measurement((16, 32, 64, 115), costs.members_resident_kb),
    "rss_replicas": Measurement((250, 500, 1000, 2000), costs.replicas_resident_kb),
}


def _to_plain(result: Any) -> Any:
    """Converts a dataclass to a dict; returns other results unchanged."""
    if dataclasses.is_dataclass(result) and not isinstance(result, type):
        return dataclasses.asdict(result)
    return result


def _measure(part: str, size: int) -> dict[str, Any]:
    """Measures one size in a separate process."""
    load, started = os.getloadavg()[0], time.monotonic()
    command = [sys.executable, __file__, "--here", part, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=_SIZE_TIMEOUT_S)
    row: dict[str, Any] = {"size": size, "load": round(load, 1)}
    row["wall_s"] = round(time.monotonic() - started, 1)
    if done.returncode:
        row["failed"] = done.stderr.strip().splitlines()[-1:] or ["?"]
    else:
        row["found"] = json.loads(done.stdout.splitlines()[-1])  # log lines precede it
    print(part, json.dumps(row)[:300], flush=True)
    return row


def run(names: list[str], parallel: int, path: Path, missing: bool) -> dict[str, Any]:
    """Runs measurements, the largest sizes first, and keeps earlier results of the others.

    ``missing``: runs only sizes that have no result.
    """
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    reused = {
        (name, row["size"]): row
        for name in (names if missing else ())
        for row in results.get(name, [])
        if "found" in row
    }
    with ThreadPoolExecutor(parallel) as pool:
        pending = {
            (name, size): pool.submit(_measure, name, size)
            for name in names
            for size in sorted(MEASUREMENTS[name].sizes, reverse=True)
            if (name, size) not in reused
        }
        for name in names:
            sizes = MEASUREMENTS[name].sizes
            try:
                results[name] = [reused.get((name, n)) or pending[name, n].result() for n in sizes]
            except subprocess.TimeoutExpired as error:
                results[name] = [{"failed": str(error)}]
            path.parent.mkdir(exist_ok=True)
            path.write_text(json.dumps(results, indent=1) + "\n")
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--only", nargs="+", choices=MEASUREMENTS, default=list(MEASUREMENTS))
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--missing", action="store_true", help="only sizes that have no result")
    parser.add_argument("--tables", action="store_true")
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--here", nargs=2, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.here:
        part, size = options.here
        result = msgspec.to_builtins(_to_plain(MEASUREMENTS[part].run(int(size))))
        print(json.dumps(result).replace("Infinity", "null"))  # infinite: it did not happen within the limit
    elif options.tables:
        print(tables.markdown(json.loads(options.results.read_text())))
    else:
        run(options.only, options.parallel, options.results, options.missing)


if __name__ == "__main__":
    main()
