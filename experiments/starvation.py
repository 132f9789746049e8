"""Starvation detection on worlds with known ground truth, with lost tables, compared with a naive rule.

python experiments/starvation.py --worlds 44 --jobs 4     # 44 of each of eight kinds
python experiments/starvation.py --size 3 10 30 100 230   # bytes and messages per second by fleet size
python experiments/starvation.py --only "too few/3"        # one world with all its evidence
"""

import argparse
import json
import random
import statistics
import sys
import time
from collections import Counter
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from ironbarrow.fleet.file import StarvationRules
from ironbarrow.fleet.invariants import INVARIANTS
from ironbarrow.lab.fleet.starvation import (
    KINDS,
    STARVED_KINDS,
    StarvationFleet,
    generate,
    run_detection,
    run_naive_rule,
)
from ironbarrow.runtime.clock import SECOND

LOSS_RATES = (0.0, 0.2, 0.4)
LOSS_SAMPLE_INTERVAL = 3  # one world in this many is also evaluated with lost tables
RULES = StarvationRules()


def evaluate_world(task: tuple[str, int]) -> dict:
    """Evaluates a world with each loss rate of the tables, and by the naive rule."""
    INVARIANTS.fatal = True
    kind, seed = task
    world = generate(kind, seed)
    row = {"kind": kind, "seed": seed, "hours": world.length / 3600, "partitions": len(world.sites)}
    loss_rates = LOSS_RATES if seed % LOSS_SAMPLE_INTERVAL == 0 else LOSS_RATES[:1]
    for name, seen in [
        *((str(lost), run_detection(world, RULES, lost)) for lost in loss_rates),
        ("naive", run_naive_rule(world)),
    ]:
        found = seen.detected_at(world)
        row[name] = {
            "found": None if found is None else found - world.onset,
            "false": seen.false_alarms(world),
            "bytes": seen.bytes_per_second,
            "most": seen.max_bytes_per_second,
            "messages": seen.messages_per_second,
        }
    return row


def print_table(rows: list[dict]) -> None:
    """Prints a table by kind and rule, then the traffic by loss rate."""
    print("| kind | worlds | rule | found | time to find p50 / p90 s | false alarms | a fleet-hour |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for kind in (*KINDS, "all"):
        for name in [*map(str, LOSS_RATES), "naive"]:
            worlds = [row for row in rows if kind in (row["kind"], "all") and name in row]
            if not worlds:
                continue
            times = sorted(row[name]["found"] for row in worlds if row[name]["found"] is not None)
            starved = sum(row["kind"] in STARVED_KINDS for row in worlds)
            false, hours = (
                sum(row[name]["false"] for row in worlds),
                sum(row["hours"] for row in worlds),
            )
            p90 = times[int(0.9 * (len(times) - 1))] if times else 0
            when = f"{statistics.median(times):.0f} / {p90:.0f}" if times else "-"
            rule = name if name == "naive" else f"{float(name):.0%} lost"
            found = f"{len(times)} of {starved}" if starved else "-"
            print(f"| {kind} | {len(worlds)} | {rule} | {found} | {when} | {false} | {false / hours:.2f} |")
    for name in map(str, LOSS_RATES):
        mean = statistics.mean(row[name]["bytes"] for row in rows if name in row)
        most = max(row[name]["most"] for row in rows if name in row)
        messages = statistics.mean(row[name]["messages"] for row in rows if name in row)
        traffic = f"{mean:.0f} bytes/s a member (most {most:.0f}), {messages:.1f} messages/s"
        print(f"{float(name):.0%} lost: {traffic}")


def print_traffic(counts: list[int]) -> None:
    """Prints a member's traffic by fleet size, with 12 tenants, 3 classes and 20 jobs/s per partition."""
    print("| members | bytes/s mean | bytes/s most | messages/s mean | messages/s most | CPU ms/s a member |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in counts:
        rng = random.Random(count)
        sites = {f"p{i}": "abc"[i % 3] for i in range(count)}
        fleet = StarvationFleet(sites, {}, RULES, 1)
        length = 40
        for name in sites:
            events = []
            for number in range(20 * length):
                at = rng.randrange(length * SECOND)
                job = (number, f"t{rng.randrange(12)}", rng.choice(["map", "decode", "booking"]), 1.0)
                events += [(at, 0, *job), (at + int(rng.expovariate(5) * SECOND), 1, *job)]
            fleet.replay(name, sorted(events))
        fleet.net.run(30 * SECOND)
        bytes_before, messages_before = Counter(fleet.net.bytes), Counter(fleet.net.messages)
        started = time.process_time()
        fleet.net.run(10 * SECOND)
        cpu_ms = (time.process_time() - started) / 10 / count * 1000
        sent = [(fleet.net.bytes[n] - bytes_before[n]) / 10 for n in sites]
        messages = [(fleet.net.messages[n] - messages_before[n]) / 10 for n in sites]
        mean, mean_m = statistics.mean(sent), statistics.mean(messages)
        print(
            f"| {count} | {mean:.0f} | {max(sent):.0f} | {mean_m:.1f} | {max(messages):.1f} | {cpu_ms:.1f} |",
            flush=True,
        )


def print_world(name: str) -> None:
    """Prints the detections and the evidence of one world."""
    kind, _, seed = name.rpartition("/")
    world = generate(kind, int(seed))
    print(f"{world.tenant} in {world.partition} from {world.onset:.0f} s on: {kind}")
    for lost in LOSS_RATES:
        seen = run_detection(world, RULES, lost)
        print(f"{lost:.0%} lost:", "began", seen.began, "ended", seen.ended)
        for update in seen.evidence:
            print("   ", update.tenant, update.partition, update.evidence)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--worlds", type=int, default=44, help="of each kind")
    parser.add_argument("--first", type=int, default=0, help="seed of the first")
    parser.add_argument("--jobs", type=int, default=4, help="processes")
    parser.add_argument("--out", type=Path, help="file to append each world's result to, as a line of JSON")
    parser.add_argument("--size", type=int, nargs="+", help="of the fleets whose traffic is measured")
    parser.add_argument("--only", help="KIND/SEED")
    parser.add_argument("--read", type=Path, help="file of --out to print the table of")
    options = parser.parse_args()
    if options.size:
        print_traffic(options.size)
    elif options.read:
        print_table([json.loads(line) for line in options.read.read_text().splitlines()])
    elif options.only:
        print_world(options.only)
    else:
        tasks = [(k, s) for s in range(options.first, options.first + options.worlds) for k in KINDS]
        rows = []
        with Pool(options.jobs) as pool:
            for row in pool.imap_unordered(evaluate_world, tasks):
                rows.append(row)
                if options.out:
                    with options.out.open("a") as file:
                        file.write(json.dumps(row) + "\n")
        print_table(rows)


if __name__ == "__main__":
    main()
