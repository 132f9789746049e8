"""What the dispatchers' own logs tell of a fleet's run: adoptions and broken invariants."""

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
    """The lines of a log that can be read; one may be torn by a kill."""
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
    """When a line was written, Unix ns."""
    return int(datetime.fromisoformat(str(line["timestamp"])).timestamp() * 1e9)


def read_logs(logs: dict[str, Path], ended_at: dict[str, list[int]]) -> dict[str, Any]:
    """Sums over all logs, by dispatcher's name. ``ended_at``: when its processes ended, ns.

    Adoptions are counted from the last end of the dispatcher that is meant; ``adopted_after_ms`` holds one
    time for each, as p50 and p99."""
    broken: Counter[str] = Counter()
    events: Counter[str] = Counter()
    after: list[float] = []
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
                before = [end for end in ended_at.get(name, ()) if end <= at]
                if before:
                    after.append((at - before[-1]) / 1e6)
    said: dict[str, Any] = {
        "broken_invariants": dict(broken),
        "events": dict(events),
        "adoptions": events[_ADOPTED],
        "adopted_in_part": partial,
        "jobs_adopted": jobs,
    }
    if after:
        said["adopted_after_ms"] = {
            "number": len(after),
            "p50": round(float(np.percentile(after, 50)), 1),
            "p99": round(float(np.percentile(after, 99)), 1),
            "each": [round(value, 1) for value in after],
        }
    return said
