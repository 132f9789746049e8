"""Reads a dispatcher's settings object, and the load reports that it configures. Every host uses this."""

from collections.abc import Iterable
from typing import Any

from heathway import api

# upper limits; a larger value is taken for a mistake
_MAX_DISPATCHERS = 1_000_000
_MAX_TIME = 1 << 62  # ns, more than a hundred years
_MAX_ROUND = 60_000_000_000  # ns; with longer rounds, almost no job is answered in time
_MAX_NUMBER = 1e15
_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
# fields of api.LoadReport, by the meaning that the settings give to the report values x0 and x1
_CONFIGURABLE_FIELDS = {"free slots": "free_slots", "free memory": "free_memory"}
# fields of api.LoadReport, by the names of report values
_REPORT_FIELDS = {
    "outstanding": "held",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "service_time",
    "throughput": "rate",
    "errors_per_s": "errors",
    # names in the load reports of workers on sockets
    "inflight": "held",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "service_time",
    "qps": "rate",
    "eps": "errors",
}


class ReportReader:
    """Turns the named values of a worker's load report into an ``api.LoadReport``."""

    def __init__(self, conf: dict[str, Any]) -> None:
        family_info = _Section(conf).section("familyInfo")
        self._fields = dict(_REPORT_FIELDS)
        for name, key in (("x0", "reportX0"), ("x1", "reportX1")):
            field = _CONFIGURABLE_FIELDS.get(family_info.text(key))
            if field is not None:
                self._fields[name] = field

    def read(self, pairs: Iterable[tuple[str, Any]]) -> api.LoadReport:
        """Raises a ValueError that names the pair whose value is not a number. Unknown names are ignored."""
        values: dict[str, Any] = {}
        for name, value in pairs:
            field = self._fields.get(name)
            if field is None:
                continue
            try:
                number = float(value)
            except (TypeError, ValueError):
                raise ValueError(f"not a number: {f'{name}:{value}'[:40]!r}") from None
            if field == "service_time":
                values[field] = int(number * 1e6) if abs(number) < 1e12 else None
            else:
                values[field] = number
        return api.LoadReport(**values)


class _Section:
    """One object of the settings, read key by key.

    Every method raises a ValueError for an invalid value, with the key, what was expected and the value. Null
    counts as absent; keys that are not read are ignored.
    """

    def __init__(self, values: dict[str, Any], prefix: str = "") -> None:
        self._values = values
        self._prefix = prefix  # path of this object in the settings, such as ``limits.``

    def invalid(self, name: str, expected: str) -> ValueError:
        value = self._values.get(name)
        return ValueError(f"settings: {self._prefix}{name}: expected {expected}, got {_abbreviated(value)}")

    def required(self, name: str) -> Any:
        """A value that must be present."""
        value = self._values.get(name)
        if value is None:
            raise ValueError(f"settings: {self._prefix}{name} is missing")
        return value

    def section(self, name: str) -> "_Section":
        """An object; empty if absent."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, dict):
            raise self.invalid(name, "an object")
        return _Section(value or {}, f"{self._prefix}{name}.")

    def sections(self, name: str) -> "list[_Section]":
        """A list of objects with unique names; empty if absent."""
        value = self._values.get(name)
        if value is not None and (not isinstance(value, list) or any(not isinstance(v, dict) for v in value)):
            raise self.invalid(name, "a list of objects")
        objects = [_Section(v, f"{self._prefix}{name}[{i}].") for i, v in enumerate(value or ())]
        names: set[str] = set()
        for section in objects:
            if section.required_text("name") in names:
                raise section.invalid("name", "a unique name")
            names.add(section.required_text("name"))
        return objects

    def number(
        self,
        name: str,
        minimum: float,
        maximum: float = _MAX_NUMBER,
        default: float | None = None,
        exclusive: bool = False,
    ) -> float:
        """A number in a range; ``exclusive``: the minimum is not in it.

        Without a default it must be present.
        """
        if default is not None and self._values.get(name) is None:
            return default
        value = self.required(name)
        if not _is_number(value, minimum, maximum) or (exclusive and value <= minimum):
            up_to = f" to {maximum}" if maximum < _MAX_NUMBER else ""
            raise self.invalid(name, f"a number {'above' if exclusive else 'from'} {minimum}{up_to}")
        return float(value)

    def count(self, name: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """A whole number in a range. Without a default it must be present."""
        if default is not None and self._values.get(name) is None:
            return default
        value = self.required(name)
        if not _is_number(value, minimum, maximum) or value != int(value):
            raise self.invalid(name, f"a number from {minimum} to {maximum}")
        return int(value)

    def time(self, name: str, minimum: int = 0, default: int | None = None, maximum: int = _MAX_TIME) -> int:
        """A time in ns. Without a default it must be present."""
        if default is not None and self._values.get(name) is None:
            return default
        if not _is_number(self.required(name), minimum, maximum):
            raise self.invalid(name, f"a number from {minimum} to {maximum}")
        return int(self._values[name])

    def flag(self, name: str) -> bool:
        """A boolean; False if absent."""
        value = self._values.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.invalid(name, "true or false")
        return bool(value)

    def text(self, name: str, *, of: tuple[str, ...] = (), default: str = "") -> str:
        """A string; with ``of``, one of these."""
        value = self._values.get(name)
        if value is None:
            return default
        if not isinstance(value, str) or (of and value not in of):
            raise self.invalid(name, f"one of {', '.join(of)}" if of else "a string")
        return value

    def required_text(self, name: str, *, of: tuple[str, ...] = ()) -> str:
        """A string that must be present and not empty; with ``of``, one of these."""
        self.required(name)
        text = self.text(name, of=of)
        if not text:
            raise self.invalid(name, "a string that is not empty")
        return text

    def texts(self, name: str) -> tuple[str, ...]:
        """A list of strings without duplicates; empty if absent."""
        value = self._values.get(name)
        valid = value is None or (isinstance(value, list) and all(isinstance(v, str) for v in value))
        if not valid or len(set(value or ())) < len(value or ()):
            raise self.invalid(name, "a list of strings without duplicates")
        return tuple(value or ())

    def item(self, name: str, index: int, minimum: float, maximum: float, default: float) -> float:
        """A number at an index of a list, which may be shorter or absent."""
        values = self._values.get(name)
        if values is not None and not isinstance(values, list):
            raise self.invalid(name, "a list of numbers")
        value = values[index] if values and index < len(values) else None
        if value is None:
            return default
        if not _is_number(value, minimum, maximum):
            up_to = f" to {maximum}" if maximum < _MAX_NUMBER else ""
            raise ValueError(
                f"settings: {self._prefix}{name}[{index}]: expected a number from {minimum}{up_to},"
                f" got {_abbreviated(value)}"
            )
        return float(value)


def _is_number(value: Any, minimum: float, maximum: float) -> bool:
    return not isinstance(value, bool) and isinstance(value, int | float) and minimum <= value <= maximum


def _abbreviated(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _job_class(entry: _Section, index: int, family_info: _Section, kinds: tuple[str, ...]) -> api.JobClass:
    effect = _EFFECTS[entry.required_text("effect", of=tuple(_EFFECTS))]
    kind = family_info.item("classKind", index, -1, len(kinds) - 1, -1)
    if kind != int(kind):
        raise family_info.invalid("classKind", "an index into kinds, or -1")
    stretch = entry.number("aimStretch", 0, default=0.0)
    group, window = api.Group.ALL, 0
    if effect is api.Effect.KEYED:  # the other effects ignore both
        group = api.Group(entry.required_text("group", of=tuple(g.value for g in api.Group)))
        window = entry.time("window")
    return api.JobClass(
        name=entry.required_text("name"),
        effect=effect,
        aim=entry.time("promise", 1),
        deadline=entry.time("giveUp", 1),
        stretch=family_info.item("classStretch", index, 0, _MAX_NUMBER, 0.0) or stretch,
        group=group,
        window=window,
        worth=entry.number("worth", 0, default=1.0),
        late_worth=entry.number("lateWorth", 0, 1, default=0.0),
        worker_kind=kinds[int(kind)] if kind >= 0 else None,
        priority=int(family_info.item("classPriority", index, -_MAX_NUMBER, _MAX_NUMBER, 0)),
        streaming=entry.flag("streaming"),
    )


def read_settings(conf: dict[str, Any]) -> api.Settings:
    """The settings in a configuration's settings object. Raises a ValueError that names the invalid key.

    An unknown word is an error where the decisions distinguish several (``effect``, ``discovery``). Where
    they compare with a single word, any other one has the same meaning as none (``weightSource``). Unknown
    keys are ignored.
    """
    root = _Section(conf)
    limits, guarantees, deductions = (
        root.section("limits"),
        root.section("guarantees"),
        root.section("deductions"),
    )
    family_info, report = root.section("familyInfo"), root.section("report")
    root.required("requestClasses")
    me = root.count("me", 0, _MAX_DISPATCHERS)
    dispatchers = root.count("replicasOfMe", 1, _MAX_DISPATCHERS)
    if me >= dispatchers:
        raise root.invalid("me", f"a number below replicasOfMe, which is {dispatchers}")
    zone, zones, kinds = root.text("zone"), root.texts("zones"), root.texts("kinds")
    if zone and zones and zone not in zones:
        raise root.invalid("zone", f"one of zones ({_abbreviated(list(zones))})")
    classes = root.sections("requestClasses")
    if not classes:
        raise root.invalid("requestClasses", "a list of at least one class")
    fields = report.texts("fields")
    return api.Settings(
        me=me,
        dispatchers=dispatchers,
        zone=zone,
        zones=zones,
        classes=tuple(_job_class(entry, i, family_info, kinds) for i, entry in enumerate(classes)),
        tenants=tuple(
            api.Tenant(
                tenant.required_text("name"),
                tenant.number("share", 0, default=0.0),
                tenant.number("allowancePerS", 0, default=0.0),
            )
            for tenant in root.sections("realms")
        ),
        worth_by_work=root.text("valueBy", of=("request", "work")) == "work",
        over_share_worth=root.number("overShareWorth", 0, 1, default=1.0),
        tick=root.time("round", 1, default=1_000_000, maximum=_MAX_ROUND),
        live_weights=root.text("weightSource") == "live",
        asks_for_list=root.text("discovery", of=("push", "ask")) == "ask",
        counts_memory="free memory" in (family_info.text("reportX0"), family_info.text("reportX1")),
        report_fields=fields if report.text("how") != "off" else (),
        may_cancel=limits.flag("cancel"),
        may_probe=limits.flag("probes"),
        may_tell_peers=limits.flag("peers"),
        may_send_second_copy=limits.flag("secondCopies"),
        gives_retry_after=limits.flag("retryAfter"),
        max_attempts=limits.count("mostTries", 1, _MAX_DISPATCHERS, default=1),
        max_retry_after=limits.time("maxRetryAfter", default=0),
        tells_start=family_info.flag("tellsStart"),
        answer_slack=guarantees.time("answerSlack", default=0),
        ask_within=guarantees.time("askWithin", default=10_000_000_000),
        drain_grace=guarantees.time("drainGrace", default=0),
        cold_time=guarantees.time("cold", default=0),
        start_capacity=guarantees.number("startCapacity", 0, 1, default=1.0, exclusive=True),
        fall_multiple=guarantees.number("fallMultiple", 0, default=2.0, exclusive=True),
        fall_window=guarantees.time("tipAfter", 1, default=1_000_000_000),
        cross_zone_price=deductions.number("crossZone", 0, default=0.0),
        waste_price=deductions.number("waste", 0, default=0.0),
        late_fail_price=deductions.number("lateFail", 0, default=0.0),
        probe_price=deductions.number("probe", 0, default=0.0),
    )
