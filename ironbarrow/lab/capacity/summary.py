"""Fits slopes to the results of ``benchmarks/capacity.py``."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ironbarrow.fleet.file import StarvationRules
from ironbarrow.lab.capacity.budget import DISPATCHERS, Slopes
from ironbarrow.lab.capacity.fit import Fit, fit
from ironbarrow.runtime.clock import SECOND

Results = dict[str, list[dict[str, Any]]]
SizeResult = Any  # the decoded JSON result of a part at one size


@dataclass(frozen=True, slots=True)
class Series:
    """A value of a benchmark part as a function of its size. ``unit`` is what the slope is for each of."""

    name: str
    unit: str
    part: str
    value: Callable[[SizeResult], float]
    min_size: int = 0  # sizes outside of these bounds are left out of the fit
    max_size: int = 1 << 30


def waits_bytes_per_member_s(found: SizeResult) -> float:
    """Bytes per second that one member sends for tables of waits."""
    window_s = StarvationRules().window / SECOND
    sent = found["tables"]["bytes"] + found["answers"]["bytes"]
    return float(sent / found["dispatchers"] / found["windows"] / window_s)


def event_bytes_per_member_s(found: SizeResult) -> float:
    """Bytes per second and member in addition to those without events."""
    return float(found["beyond"]["bytes"] / found["members"] / found["seconds"])


def _sum(*names: str) -> Callable[[SizeResult], float]:
    def value(found: SizeResult) -> float:
        return float(sum(found[name]["bytes"] for name in names))

    return value


SERIES = (
    Series(
        "members, calm: messages of the fleet a second",
        "a member",
        "calm",
        lambda f: f["rate"]["messages"] * f["members"],
    ),
    Series(
        "members, calm: bytes a second of one member, up to 64",
        "a member",
        "calm",
        lambda f: f["rate"]["bytes"],
        max_size=64,
    ),
    Series(
        "members, calm: the same from 64 on", "a member", "calm", lambda f: f["rate"]["bytes"], min_size=64
    ),
    Series(
        "a death: bytes beyond calm, a member and second (30 s), up to 64",
        "a member",
        "death",
        event_bytes_per_member_s,
        max_size=64,
    ),
    Series("the same after a death, from 64 on", "a member", "death", event_bytes_per_member_s, min_size=64),
    Series("a death: messages beyond calm", "a member", "death", lambda f: f["beyond"]["messages"]),
    Series(
        "regions cut: bytes beyond calm, a member and second (first 20 s)",
        "a member",
        "region_cut",
        lambda f: event_bytes_per_member_s(f["cut"]),
    ),
    Series(
        "a zone lost: bytes beyond calm, a member and second (30 s)",
        "a member",
        "zone_loss",
        event_bytes_per_member_s,
    ),
    Series("a zone lost: seconds to the last member", "a member", "zone_loss", lambda f: f["known_s"]),
    Series(
        "regions together: bytes beyond calm, a member and second (first 60 s)",
        "a member",
        "region_cut",
        lambda f: event_bytes_per_member_s(f["heal"]),
    ),
    Series(
        "ledger: messages of a writer and its replicas",
        "a job",
        "writer",
        lambda f: f["appends"]["messages"] + f["acknowledgements"]["messages"],
    ),
    Series(
        "ledger: bytes of a writer and its replicas", "a job", "writer", _sum("appends", "acknowledgements")
    ),
    Series(
        "ledger: bytes of a writer and its replicas for a job",
        "a byte of body",
        "body",
        lambda f: (f["appends"]["bytes"] + f["acknowledgements"]["bytes"]) / f["jobs"],
    ),
    Series("ledger: bytes of whole dispatchers", "a job", "starts", lambda f: f["ledgers"]["bytes"]),
    Series("ledger: messages of whole dispatchers", "a job", "starts", lambda f: f["ledgers"]["messages"]),
    Series(
        "take-over: messages for a job (call-backs reach any dispatcher)",
        "a dispatcher",
        "starts_dispatchers",
        lambda f: f["takeover"]["messages"] / f["jobs"],
    ),
    Series("ledger: bytes held by a replica", "a running task", "running", lambda f: f["replica_bytes"]),
    Series("ledger: bytes to replace one replica", "a running task", "move", lambda f: f["sent"]["bytes"]),
    Series(
        "tables of waits: bytes a second of one member, 3 jobs a window",
        "a tenant",
        "waits_tenants",
        waits_bytes_per_member_s,
        max_size=64,
    ),
    Series("the same with room for 290 tenants", "a tenant", "waits_all_tenants", waits_bytes_per_member_s),
    Series(
        "tables of waits at two jobs a window: bytes a second of one member",
        "a dispatcher",
        "waits_dispatchers",
        waits_bytes_per_member_s,
        max_size=64,
    ),
    Series("the same from 64 on", "a dispatcher", "waits_dispatchers", waits_bytes_per_member_s, min_size=64),
    Series(
        "rollout: bytes a second to the coordinator, 8 workers used",
        "a member",
        "rollout_members",
        lambda f: f["observed"]["bytes"] / f["seconds"],
    ),
    Series(
        "rollout: bytes a second of one member's report",
        "a worker used",
        "rollout_workers",
        lambda f: f["observed"]["bytes"] / f["seconds"] / (f["members"] - 1),
    ),
    Series("list: bytes of a list of live weights", "a worker", "lists", lambda f: f["weights_bytes"]),
    Series("probes of 8 dispatchers, 88 jobs", "a worker", "probes_workers", lambda f: f["probes"]),
    Series("probes, 11 jobs each", "a dispatcher", "probes_dispatchers", lambda f: f["probes"]),
    Series("planned by 20 lists of cold workers", "a cold worker", "cold_agenda", lambda f: f),
    Series("records of own sends, 20 s, with reports", "a job", "moves", lambda f: f["with"]),
    Series(
        "records of own sends, 20 s, neither reports nor live weights",
        "a job",
        "moves",
        lambda f: f["without"],
    ),
    Series("CPU of a list of live weights, ms", "a worker", "cpu_list", lambda f: f),
    Series("CPU of a turn that places a job, ms", "a worker", "cpu_turn", lambda f: f["placed_ms"]),
    Series(
        "CPU of a turn with nine jobs waiting and no room, ms", "a worker", "cpu_turn", lambda f: f["full_ms"]
    ),
    Series("looks at a worker in that turn", "a worker", "cpu_turn", lambda f: f["full_looks"]),
    Series(
        "CPU of a member and second, calm, ms (with the simulated network)",
        "a member",
        "cpu_member",
        lambda f: f,
    ),
    Series(
        "CPU of a turn that looks at waits, ms: the longest",
        "a tenant",
        "cpu_look",
        lambda f: f["longest_ms"],
    ),
    Series("resident memory of the list, KiB", "a worker", "rss_workers", lambda f: f),
    Series("resident memory of a member's list, KiB", "a member", "rss_members", lambda f: f),
    Series("resident memory of a replica, KiB", "a running task", "rss_replicas", lambda f: f),
)


def points(results: Results, series: Series) -> list[tuple[float, float]]:
    """Measured sizes with their values; sizes whose run failed are left out."""
    return [
        (float(_size(series, one)), series.value(one["found"]))
        for one in results.get(series.part, [])
        if "found" in one and series.min_size <= one["size"] <= series.max_size
    ]


def _size(series: Series, one: dict[str, Any]) -> float:
    """The size of a result. For ``moves`` it is the number of jobs that arrived, since the size is only a
    rate."""
    found = one["found"]
    return float(found["jobs"]) if series.part == "moves" else float(one["size"])


def fit_series(results: Results, series: Series) -> Fit | None:
    """The fit of a series; None with fewer than three sizes."""
    found = points(results, series)
    if len({size for size, _ in found}) < 3:
        return None
    return fit([size for size, _ in found], [value for _, value in found])


def result_at(results: Results, part: str, size: int) -> SizeResult:
    """The result at one size; raises KeyError if it was not measured."""
    for one in results.get(part, []):
        if one.get("size") == size and "found" in one:
            return one["found"]
    raise KeyError(f"{part} at {size}")


def _fit_named(results: Results, name: str) -> Fit:
    series = next(series for series in SERIES if series.name == name)
    found = fit_series(results, series)
    if found is None:
        raise KeyError(name)
    return found


def slopes_of(results: Results, idle_mb: float, dispatchers: int = DISPATCHERS) -> Slopes:
    """The costs for the budget at that many dispatchers; raises KeyError for a missing result."""
    cut = result_at(results, "region_cut", dispatchers)
    share = result_at(results, "majority", dispatchers)["k3"]
    starts = result_at(results, "starts_dispatchers", 56)
    return Slopes(
        member_bytes=result_at(results, "calm", dispatchers)["rate"]["bytes"],
        death_bytes=event_bytes_per_member_s(result_at(results, "death", dispatchers)),
        heal_bytes=event_bytes_per_member_s(cut["heal"]),
        list_bytes=_fit_named(results, "list: bytes of a list of live weights"),
        change_bytes=result_at(results, "lists", 830)["one_bytes"],
        start_bytes=_fit_named(results, "ledger: bytes of whole dispatchers"),
        callback_lookup_bytes=starts["takeover"]["bytes"] / starts["jobs"] / (starts["dispatchers"] - 1),
        waits_bytes=waits_bytes_per_member_s(result_at(results, "waits_dispatchers", dispatchers)),
        observed_bytes=_fit_named(results, "rollout: bytes a second of one member's report"),
        replica_row_bytes=_fit_named(results, "ledger: bytes held by a replica"),
        cut_share=share["without_majority"] / share["ledgers"],
        list_cpu_ms=_fit_named(results, "CPU of a list of live weights, ms"),
        member_cpu_ms=result_at(results, "cpu_member", 64),
        start_cpu_ms=result_at(results, "cpu_start", 400),
        full_turn_ms=_fit_named(results, "CPU of a turn with nine jobs waiting and no room, ms"),
        idle_mb=idle_mb,
        worker_kb=_fit_named(results, "resident memory of the list, KiB"),
        member_kb=_fit_named(results, "resident memory of a member's list, KiB"),
    )
