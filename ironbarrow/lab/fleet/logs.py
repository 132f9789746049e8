"""Reads adoptions and broken invariants of a fleet's run from the dispatchers' logs."""

import json
from collections import Counter
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import numpy as np

_ADOPTED = "ledger taken over"  # fields: of (an incarnation, "name/start"), jobs, whole
_BROKEN = "invariant broken"


def lines_of(path: Path) -> Iterator[dict[str, Any]]:
    """Yields a log's valid lines. A killed process may have left an incomplete line, which is skipped."""
    if not path.exists():
        return
    for line in path.read_bytes().splitlines():
        try:
            found = json.loads(line)
        except ValueError:
            continue
        if isinstance(found, dict):
            yield found


def unix_ns(line: dict[str, Any]) -> int:
    """Returns the time at which a line was written (Unix ns)."""
    return int(datetime.fromisoformat(str(line["timestamp"])).timestamp() * 1e9)


def read_logs(logs: dict[str, Path], ended_at: dict[str, list[int]]) -> dict[str, Any]:
    """Returns totals over all logs. ``logs`` and ``ended_at`` (times in Unix ns at which processes ended) are
    keyed by dispatcher name.

    The time to adopt a ledger counts from the last end of its dispatcher's process before the adoption;
    ``adopted_after_ms`` has each of these times, their p50 and their p99."""
    broken: Counter[str] = Counter()
    events: Counter[str] = Counter()
    adoption_delays: list[float] = []
    jobs = partial = 0
    for path in logs.values():
        for line in lines_of(path):
            event = str(line.get("event"))
            if line.get("level") in ("warning", "error"):
                events[event] += 1
            if event == _BROKEN:
                broken[str(line.get("invariant"))] += 1
            elif event == _ADOPTED:
                jobs += int(line.get("jobs", 0))
                partial += not line.get("whole", True)
                events[event] += 1
                at = unix_ns(line)
                name = str(line.get("of", "")).partition("/")[0]
                ends_before = [end for end in ended_at.get(name, ()) if end <= at]
                if ends_before:
                    adoption_delays.append((at - ends_before[-1]) / 1e6)
    summary: dict[str, Any] = {
        "broken_invariants": dict(broken),
        "events": dict(events),
        "adoptions": events[_ADOPTED],
        "adopted_in_part": partial,
        "jobs_adopted": jobs,
    }
    if adoption_delays:
        summary["adopted_after_ms"] = {
            "number": len(adoption_delays),
            "p50": round(float(np.percentile(adoption_delays, 50)), 1),
            "p99": round(float(np.percentile(adoption_delays, 99)), 1),
            "each": [round(value, 1) for value in adoption_delays],
        }
    return summary
