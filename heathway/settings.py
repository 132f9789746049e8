"""Reads the start-up object of a dispatcher, for every host: its settings and its load reports."""

from collections.abc import Iterable
from typing import Any

from heathway import api

_MOST_DISPATCHERS = 1_000_000  # more can't be meant
_MOST_TIME = 1 << 62  # ns, a hundred years and more: what is over it can't be meant
_MOST_ROUND = 60_000_000_000  # ns: with rounds that are longer, next to nothing is answered in time
_MOST = 1e15  # of any other figure
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
        info = _Part(conf).part("familyInfo")
        self._names = dict(_REPORT_NAMES)
        for name, field in (("x0", "reportX0"), ("x1", "reportX1")):
            meaning = _REPORT_MEANINGS.get(info.text(field))
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


class _Part:
    """One object of the settings, read key by key. A ValueError names the key, what was expected and what it
    holds. Null counts as absent; keys that nobody asks for are passed over."""

    def __init__(self, values: dict[str, Any], place: str = "") -> None:
        self._values = values
        self._place = place  # the keys that lead to it, with a dot at the end

    def wrong(self, name: str, expected: str) -> ValueError:
        value = self._values.get(name)
        return ValueError(f"settings: {self._place}{name}: expected {expected}, got {_shown(value)}")

    def value(self, name: str) -> Any:
        """What has to be there."""
        value = self._values.get(name)
        if value is None:
            raise ValueError(f"settings: {self._place}{name} is missing")
        return value

    def part(self, name: str) -> "_Part":
        """An object that may be absent."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, dict):
            raise self.wrong(name, "an object")
        return _Part(value or {}, f"{self._place}{name}.")

    def parts(self, name: str) -> "list[_Part]":
        """A list of objects, each with a name of its own."""
        value = self._values.get(name)
        if value is not None and (not isinstance(value, list) or any(not isinstance(v, dict) for v in value)):
            raise self.wrong(name, "a list of objects")
        found = [_Part(v, f"{self._place}{name}[{i}].") for i, v in enumerate(value or ())]
        names: set[str] = set()
        for one in found:
            if one.needed_text("name") in names:
                raise one.wrong("name", "a name that no other one has")
            names.add(one.needed_text("name"))
        return found

    def number(
        self, name: str, least: float, most: float = _MOST, default: float | None = None, above: bool = False
    ) -> float:
        """A number in a range; ``above``: the least is not in it. Without a default it has to be there."""
        if default is not None and self._values.get(name) is None:
            return default
        value = self.value(name)
        if not _is_number(value, least, most) or (above and value <= least):
            upto = f" to {most}" if most < _MOST else ""
            raise self.wrong(name, f"a number {'above' if above else 'from'} {least}{upto}")
        return float(value)

    def count(self, name: str, least: int, most: int, default: int | None = None) -> int:
        """A whole number in a range."""
        if default is not None and self._values.get(name) is None:
            return default
        value = self.value(name)
        if not _is_number(value, least, most) or value != int(value):
            raise self.wrong(name, f"a number from {least} to {most}")
        return int(value)

    def time(self, name: str, least: int = 0, default: int | None = None, most: int = _MOST_TIME) -> int:
        """A time in ns."""
        if default is not None and self._values.get(name) is None:
            return default
        if not _is_number(self.value(name), least, most):
            raise self.wrong(name, f"a number from {least} to {most}")
        return int(self._values[name])

    def flag(self, name: str) -> bool:
        """True or false; absent: false."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.wrong(name, "true or false")
        return bool(value)

    def text(self, name: str, *, of: tuple[str, ...] = (), default: str = "") -> str:
        """A text, where ``of`` says so one of these."""
        value = self._values.get(name)
        if value is None:
            return default
        if not isinstance(value, str) or (of and value not in of):
            raise self.wrong(name, f"one of {', '.join(of)}" if of else "a text")
        return value

    def needed_text(self, name: str, *, of: tuple[str, ...] = ()) -> str:
        """A text that has to be there."""
        self.value(name)
        text = self.text(name, of=of)
        if not text:
            raise self.wrong(name, "a text that is not empty")
        return text

    def texts(self, name: str) -> tuple[str, ...]:
        """A list of texts, none of them twice."""
        value = self._values.get(name)
        good = value is None or (isinstance(value, list) and all(isinstance(v, str) for v in value))
        if not good or len(set(value or ())) < len(value or ()):
            raise self.wrong(name, "a list of texts, none of them twice")
        return tuple(value or ())

    def at(self, name: str, index: int, least: float, most: float, default: float) -> float:
        """One number of a list that may be shorter, or absent."""
        values = self._values.get(name)
        if values is not None and not isinstance(values, list):
            raise self.wrong(name, "a list of numbers")
        value = values[index] if values and index < len(values) else None
        if value is None:
            return default
        if not _is_number(value, least, most):
            upto = f" to {most}" if most < _MOST else ""
            raise ValueError(
                f"settings: {self._place}{name}[{index}]: expected a number from {least}{upto},"
                f" got {_shown(value)}"
            )
        return float(value)


def _is_number(value: Any, least: float, most: float) -> bool:
    return not isinstance(value, bool) and isinstance(value, int | float) and least <= value <= most


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _job_class(entry: _Part, index: int, info: _Part, kinds: tuple[str, ...]) -> api.JobClass:
    effect = _EFFECTS[entry.needed_text("effect", of=tuple(_EFFECTS))]
    kind = info.at("classKind", index, -1, len(kinds) - 1, -1)
    if kind != int(kind):
        raise info.wrong("classKind", "places in kinds, or -1")
    stretch = entry.number("aimStretch", 0, default=0.0)
    group, window = api.Group.ALL, 0
    if effect is api.Effect.KEYED:  # of others, both say nothing
        group = api.Group(entry.needed_text("group", of=tuple(g.value for g in api.Group)))
        window = entry.time("window")
    return api.JobClass(
        name=entry.needed_text("name"),
        effect=effect,
        aim=entry.time("promise", 1),
        deadline=entry.time("giveUp", 1),
        stretch=info.at("classStretch", index, 0, _MOST, 0.0) or stretch,
        group=group,
        window=window,
        worth=entry.number("worth", 0, default=1.0),
        late_worth=entry.number("lateWorth", 0, 1, default=0.0),
        worker_kind=kinds[int(kind)] if kind >= 0 else None,
        priority=int(info.at("classPriority", index, -_MOST, _MOST, 0)),
        streaming=entry.flag("streaming"),
    )


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """Settings from the wire's start-up object; a ValueError names the key that is wrong.

    Where the decisions need a word, one that nobody knows is wrong (``effect``, ``discovery``); where they
    ask for a certain one alone, all others are taken alike (``weightSource``). Unknown keys are passed over.
    """
    top = _Part(conf)
    limits, rules, prices = top.part("limits"), top.part("guarantees"), top.part("deductions")
    info, report = top.part("familyInfo"), top.part("report")
    top.value("requestClasses")
    me = top.count("me", 0, _MOST_DISPATCHERS)
    dispatchers = top.count("replicasOfMe", 1, _MOST_DISPATCHERS)
    if me >= dispatchers:
        raise top.wrong("me", f"a number under replicasOfMe, which is {dispatchers}")
    zone, zones, kinds = top.text("zone"), top.texts("zones"), top.texts("kinds")
    if zone and zones and zone not in zones:
        raise top.wrong("zone", f"one of zones ({_shown(list(zones))})")
    classes = top.parts("requestClasses")
    if not classes:
        raise top.wrong("requestClasses", "a list of classes, one at least")
    fields = report.texts("fields")
    return api.Settings(
        me=me,
        dispatchers=dispatchers,
        zone=zone,
        zones=zones,
        classes=tuple(_job_class(entry, i, info, kinds) for i, entry in enumerate(classes)),
        tenants=tuple(
            api.Tenant(
                one.needed_text("name"),
                one.number("share", 0, default=0.0),
                one.number("allowancePerS", 0, default=0.0),
            )
            for one in top.parts("realms")
        ),
        worth_by_work=top.text("valueBy", of=("request", "work")) == "work",
        over_share_worth=top.number("overShareWorth", 0, 1, default=1.0),
        tick=top.time("round", 1, default=1_000_000, most=_MOST_ROUND),
        live_weights=top.text("weightSource") == "live",
        asks_for_list=top.text("discovery", of=("push", "ask")) == "ask",
        counts_memory="free memory" in (info.text("reportX0"), info.text("reportX1")),
        report_fields=fields if report.text("how") != "off" else (),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probes"),
        may_tell_peers=limits.flag("peers"),
        may_send_second_copy=limits.flag("secondCopies"),
        gives_retry_after=limits.flag("retryAfter"),
        max_attempts=limits.count("mostTries", 1, _MOST_DISPATCHERS, default=1),
        max_retry_after=limits.time("maxRetryAfter", default=0),
        tells_start=info.flag("tellsStart"),
        answer_slack=rules.time("answerSlack", default=0),
        ask_within=rules.time("askWithin", default=10_000_000_000),
        drain_grace=rules.time("drainGrace", default=0),
        cold_time=rules.time("cold", default=0),
        start_capacity=rules.number("startCapacity", 0, 1, default=1.0, above=True),
        fall_multiple=rules.number("fallMultiple", 0, default=2.0, above=True),
        fall_window=rules.time("tipAfter", 1, default=1_000_000_000),
        cross_zone_price=prices.number("crossZone", 0, default=0.0),
        waste_price=prices.number("waste", 0, default=0.0),
        late_fail_price=prices.number("lateFail", 0, default=0.0),
        probe_price=prices.number("probe", 0, default=0.0),
    )
