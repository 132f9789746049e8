"""Reads the start-up object of a dispatcher, for every host: its settings and its load reports."""

from collections.abc import Iterable
from typing import Any

from heathway import api

_MOST_DISPATCHERS = 1_000_000  # more can't be meant
_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
_REPORT_MEANINGS = {"free slots": "free_slots", "free memory": "free_memory"}
_REPORT_NAMES = {
    "outstanding": "held",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "service_time",
    "throughput": "rate",
    "errors_per_s": "errors",
    # the same on sockets
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_time",
    "qps": "rate",
    "eps": "errors",
}


class ReportReader:
    """Turns the named values of a load report into what the module takes."""

    def __init__(self, conf: dict[str, Any]) -> None:
        info = conf.get("familyInfo") or {}
        self._names = dict(_REPORT_NAMES)
        for name, field in (("x0", "reportX0"), ("x1", "reportX1")):
            meaning = _REPORT_MEANINGS.get(info.get(field, ""))
            if meaning is not None:
                self._names[name] = meaning

    def read(self, pairs: Iterable[tuple[str, Any]]) -> api.LoadReport:
        """A ValueError names the pair that is not a number; names nobody knows are passed over."""
        values: dict[str, Any] = {}
        for name, value in pairs:
            meaning = self._names.get(name)
            if meaning is None:
                continue
            try:
                number = float(value)
            except (TypeError, ValueError):
                raise ValueError(f"not a number: {f'{name}:{value}'[:40]!r}") from None
            if meaning == "service_time":
                values[meaning] = int(number * 1e6) if abs(number) < 1e12 else None
            else:
                values[meaning] = number
        return api.LoadReport(**values)


def _need(conf: dict[str, Any], path: str) -> Any:
    value: Any = conf
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            raise ValueError(f"settings: {path} is missing")
        value = value[name]
    return value


_MOST_TIME = 1 << 62  # ns, a hundred years and more: what is over it can't be meant


def _whole(conf: dict[str, Any], name: str, least: int, most: int = _MOST_TIME, place: str = "") -> int:
    """The whole number of that name; a ValueError says where, what it is and what was expected."""
    value, path = _need(conf, name), place + name
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ValueError(f"settings: {path}: expected a number from {least} to {most}, got {value!r}")
    return int(value)


def _at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and index < len(values) else default


def _job_class(entry: dict[str, Any], index: int, conf: dict[str, Any]) -> api.JobClass:
    info = conf.get("familyInfo") or {}
    kinds = conf.get("kinds") or []
    kind = _at(info.get("classKind"), index, -1)
    effect = _need(entry, "effect")
    if effect not in _EFFECTS:
        raise ValueError(f"settings: requestClasses[{index}].effect is unknown: {effect!r}")
    return api.JobClass(
        name=_need(entry, "name"),
        effect=_EFFECTS[effect],
        aim=_whole(entry, "promise", 1, place=f"requestClasses[{index}]."),
        deadline=_whole(entry, "giveUp", 1, place=f"requestClasses[{index}]."),
        stretch=float(_at(info.get("classStretch"), index, None) or entry.get("aimStretch") or 0.0),
        group=api.Group(entry.get("group") or "all"),
        window=int(entry.get("window") or 0),
        worth=float(entry.get("worth", 1.0)),
        late_worth=float(entry.get("lateWorth", 0.0)),
        worker_kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        priority=int(_at(info.get("classPriority"), index, 0)),
        streaming=bool(entry.get("streaming", False)),
    )


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Settings from the wire's start-up object; a ValueError names the key that is wrong."""
    limits = conf.get("limits") or {}
    rules = conf.get("guarantees") or {}
    prices = conf.get("deductions") or {}
    info = conf.get("familyInfo") or {}
    report = conf.get("report") or {}
    classes = _need(conf, "requestClasses")
    tenants = conf.get("realms") or []
    try:
        return api.Settings(
            me=_whole(conf, "me", 0, _MOST_DISPATCHERS),
            dispatchers=_whole(conf, "replicasOfMe", 1, _MOST_DISPATCHERS),
            zone=str(conf.get("zone") or ""),
            zones=tuple(conf.get("zones") or ()),
            classes=tuple(_job_class(entry, i, conf) for i, entry in enumerate(classes)),
            tenants=tuple(
                api.Tenant(t["name"], float(t.get("share", 0)), float(t.get("allowancePerS", 0)))
                for t in tenants
            ),
            worth_by_work=conf.get("valueBy") == "work",
            over_share_worth=float(conf.get("overShareWorth", 1.0)),
            tick=int(conf.get("round", 1_000_000)),
            live_weights=conf.get("weightSource") == "live",
            asks_for_list=conf.get("discovery") == "ask",
            counts_memory="free memory" in (info.get("reportX0"), info.get("reportX1")),
            report_fields=tuple(report.get("fields") or ()) if report.get("how") != "off" else (),
            may_cancel=bool(limits.get("cancel", False)),
            may_probe=bool(limits.get("probes", False)),
            may_tell_peers=bool(limits.get("peers", False)),
            may_send_second_copy=bool(limits.get("secondCopies", False)),
            gives_retry_after=bool(limits.get("retryAfter", False)),
            max_attempts=int(limits.get("mostTries", 1)),
            max_retry_after=int(limits.get("maxRetryAfter", 0)),
            tells_start=bool(info.get("tellsStart", False)),
            answer_slack=int(rules.get("answerSlack", 0)),
            ask_within=int(rules.get("askWithin", 10_000_000_000)),
            drain_grace=int(rules.get("drainGrace", 0)),
            cold_time=int(rules.get("cold", 0)),
            start_capacity=float(rules.get("startCapacity", 1.0)),
            fall_multiple=float(rules.get("fallMultiple", 2.0)),
            fall_window=int(rules.get("tipAfter", 1_000_000_000)),
            cross_zone_price=float(prices.get("crossZone", 0.0)),
            waste_price=float(prices.get("waste", 0.0)),
            late_fail_price=float(prices.get("lateFail", 0.0)),
            probe_price=float(prices.get("probe", 0.0)),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"settings: wrong form: {error}") from None
