"""The specification of a world: a TOML file, validated completely before a run starts.

Durations are strings with a unit ("250 ms", "1.5 s", "2 min"); sizes and shares are plain numbers.
"""

from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from ironbarrow.config.units import Duration, ms
from ironbarrow.fleet.file import AnswerRules, LedgerRules, LinkRules, MemberRules, StarvationRules

Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]


class WorldError(Exception):
    """An invalid file; the message names the file, the key and what was expected."""


class Table(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all tables of a world file: unknown keys are rejected."""


class Distribution(Table, frozen=True):
    """A random duration: distribution, mean and coefficient of variation (``cv``, lognormal only)."""

    mean: Duration
    kind: Literal["fixed", "exp", "lognormal"] = "exp"
    cv: Positive = 1.0


class Network(Table, frozen=True):
    """Zones and one-way latencies. ``jitter``: mean of an exponential addition, as a share of the latency."""

    zones: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["a"])
    same_zone: Duration = ms(0.2)
    cross_zone: Duration = ms(0.6)
    client: Duration = ms(0.9)
    jitter: Share = 0.1


class LoadReports(Table, frozen=True):
    """Load reports in answers: made every ``period``, visible ``delay`` later, with relative noise."""

    period: Duration = ms(1000)
    delay: Duration = ms(300)
    noise: Share = 0.03


class Fleet(Table, frozen=True):
    """Settings of a fleet that the dispatchers form (see ``ironbarrow.fleet.file``); the laboratory sets
    addresses, seeds and sites. Available in live runs only."""

    members: MemberRules = MemberRules()
    links: LinkRules = LinkRules()
    ledgers: LedgerRules = LedgerRules()
    answers: AnswerRules = AnswerRules()
    starvation: StarvationRules | None = None
    without_majority: dict[str, Literal["turn away", "serve unprotected"]] = msgspec.field(
        default_factory=dict
    )


class Dispatchers(Table, frozen=True):
    """The number of dispatchers and their settings (see ``heathway.api.Settings``)."""

    count: Count = 3
    tick: Duration = ms(4)
    max_attempts: Count = 3
    max_retry_after: Duration = ms(2000)
    answer_slack: Duration = ms(50)
    drain_grace: Duration = ms(1000)
    stop_time: Duration = ms(3700)  # from the request to stop until the process is killed
    probes: bool = True
    cancel: bool = True
    tells_start: bool = True
    reports: bool = True
    worth_by: Literal["job", "work"] = "job"  # a class's worth is per job or per unit of work
    routes: str = ""  # text of a file of routes and limits; "": none
    memory_mb: Count = 96
    sockets: Annotated[int, Meta(ge=64)] = 512
    fleet: Fleet | None = None  # None: independent dispatchers


class WorkerGroup(Table, frozen=True):
    """Identical workers. At speed 1, a core does one second of work per second."""

    name: str
    count: Count
    cores: Positive = 5
    slots: Positive = 5
    speed: Positive = 1.0
    speed_cv: Share = 0.0
    queue: Annotated[int, Meta(ge=0)] = 10
    order: Literal["in order", "first fit"] = "in order"
    overfull_at: NonNegative = 8.0  # number of jobs above which the worker slows down
    overfull: NonNegative = 0.0  # relative slowdown for each job above that
    keys_kept: Count = 8
    connections: Count = 4000
    error_rate: Share = 0.0
    drain_returns: bool = True
    kind: str = ""
    listed: bool = True


class ColdStart(Table, frozen=True):
    """Cold start: initial share of the capacity, time to full capacity, and the overload that crashes a
    worker: more work within ``fall_window`` than ``fall_multiple`` times what it can do in that time."""

    time: Duration = ms(15_000)
    start: Annotated[float, Meta(gt=0, le=1)] = 0.25
    fall_multiple: Positive = 2.5
    fall_window: Duration = ms(3000)


class Store(Table, frozen=True):
    """Keys that jobs need and workers cache, fetched from one store with limited concurrency."""

    fetch: Distribution = Distribution(mean=ms(200), kind="exp")
    at_once: Count = 8
    keys: Annotated[int, Meta(ge=0)] = 0  # 0: jobs need no key
    zipf: NonNegative = 0.9


class Discovery(Table, frozen=True):
    """The discovery service: pushes the list of workers, with a delay from ``soonest`` to ``latest``."""

    soonest: Duration = ms(500)
    latest: Duration = ms(2500)
    weights: Literal["fixed", "live"] = "fixed"
    weight_period: Duration = ms(1000)


class JobClass(Table, frozen=True):
    """A class of jobs; ``share`` is relative, by number of jobs."""

    name: str
    share: Positive
    work: Distribution
    wanted: Duration
    deadline: Duration
    effect: Literal["safe", "unsafe"] = "safe"
    stretch: NonNegative = 2.0
    # shares of jobs that need 1, 2, ... slots
    slots: list[Share] = msgspec.field(default_factory=lambda: [1.0])
    worth: Positive = 1.0
    attempt_noise: NonNegative = 0.0  # coefficient of variation of the work between tries of a job


class Arrivals(Table, frozen=True):
    """Arrivals, an open loop: ``rate`` in jobs/s, or ``load`` as a share of the workers' capacity."""

    rate: Positive | None = None
    load: Positive | None = None
    shape: Literal["poisson", "bursty", "daily", "even"] = "poisson"
    swing: Share = 0.3  # bursty, daily: relative deviation of the rate from its mean
    dwell: Duration = ms(4000)  # bursty: mean time in the high or the low state
    day: Duration = ms(60_000)  # daily: length of a day
    zone_skew: Share = 0.0  # 0: all zones alike; 1: all jobs arrive in the first zone


class Sessions(Table, frozen=True):
    """Sessions, chosen by Zipf's law; ``count`` 0: none. Session n belongs to farm n modulo ``farms``."""

    farms: Count = 20
    count: Annotated[int, Meta(ge=0)] = 200
    zipf: NonNegative = 0.8


class Clients(Table, frozen=True):
    """The behaviour of clients and of the load balancer in front of the dispatchers."""

    retries: Annotated[int, Meta(ge=0)] = 1
    backoff: Literal["fixed", "exponential"] = "fixed"
    pause: Duration = ms(150)
    honour: Share = 0.9  # share of clients that honour Retry-After
    impatient: Share = 0.0  # share of clients that leave before the deadline
    notice: Duration = ms(3000)  # until the load balancer detects a failed dispatcher
    same_id: bool = False  # with a fleet: after a broken connection, repeat the request under the same id


class Fault(Table, frozen=True):
    """A fault. It affects the named ``workers`` or a random share (``part``) of all, or ``dispatcher``."""

    kind: Literal[
        "slow",
        "hang",
        "fail fast",
        "late reports",
        "deploy",
        "shrink",
        "drain",
        "die",
        "vanish",
        "cut",
        "discovery outage",
        "dispatcher killed",
        "dispatcher restarted",
        "dispatcher stopped",
        "links",
        "links cut",
        "reload",
        "flood",
    ]
    at: Duration
    lasts: Duration = ms(0)
    part: Share = 0.2
    workers: list[str] = msgspec.field(default_factory=list)
    size: Positive = 4.0  # slow, flood: factor; fail fast: share of jobs; late reports: s
    batch: Share = 0.2  # deploy, shrink: share of the workers in a batch
    drain: Duration = ms(4000)  # deploy, shrink: from draining to the end of the process
    down: Duration = ms(1000)  # dispatcher killed, restarted: until it starts again
    dispatcher: Annotated[int, Meta(ge=0)] = 0
    farm: Annotated[int, Meta(ge=0)] | None = None  # flood: the farm that sends the additional jobs
    # cut, links: between the first zone and the others
    zones: list[str] = msgspec.field(default_factory=list)
    # links: between these two dispatchers; if empty, by ``zones`` or all links
    pair: list[int] = msgspec.field(default_factory=list)
    one_way: bool = False  # links: only messages from the first to the others
    lost: Share = 0.0  # links: probability that a message is lost
    doubled: Share = 0.0  # links: probability that a message arrives twice
    delay: Duration = ms(0)  # links: additional delay
    jitter: Duration = ms(0)  # links: uniform addition to the delay; messages may be reordered


class World(Table, frozen=True):
    """A world: everything that a run simulates."""

    name: str
    duration: Duration
    classes: Annotated[list[JobClass], Meta(min_length=1)]
    workers: Annotated[list[WorkerGroup], Meta(min_length=1)]
    arrivals: Arrivals
    network: Network = Network()
    dispatchers: Dispatchers = Dispatchers()
    reports: LoadReports = LoadReports()
    cold: ColdStart = ColdStart()
    store: Store = Store()
    discovery: Discovery = Discovery()
    sessions: Sessions = Sessions()
    clients: Clients = Clients()
    faults: list[Fault] = msgspec.field(default_factory=list)

    def check(self) -> None:
        """Checks conditions that involve several keys; a ValueError names the keys."""
        if (self.arrivals.rate is None) == (self.arrivals.load is None):
            raise ValueError("arrivals: expected exactly one of rate and load")
        for key, names in (
            ("classes", [c.name for c in self.classes]),
            ("workers", [g.name for g in self.workers]),
            ("network.zones", self.network.zones),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{key}: expected names that differ, got {names}")
        for cls in self.classes:
            if not cls.slots or not sum(cls.slots) > 0:
                raise ValueError(
                    f"classes {cls.name!r}: slots: expected shares, at least one of them above 0"
                )
            if len(cls.slots) > max(g.slots for g in self.workers):
                raise ValueError(f"classes {cls.name!r}: slots: expected no more than a worker has")
        for number, fault in enumerate(self.faults):
            where = f"faults[{number}]"
            if fault.dispatcher >= self.dispatchers.count:
                raise ValueError(f"{where}.dispatcher: expected less than {self.dispatchers.count}")
            if fault.pair and (
                len(set(fault.pair)) != 2 or not all(0 <= n < self.dispatchers.count for n in fault.pair)
            ):
                raise ValueError(f"{where}.pair: expected two dispatchers that differ, got {fault.pair}")
            if fault.kind in _LINK_FAULTS and self.dispatchers.fleet is None:
                raise ValueError(f"{where}.kind: {fault.kind!r} expects [dispatchers.fleet]")
            if fault.kind in _FAULTS_WITH_DURATION and not fault.lasts:
                raise ValueError(f"{where}.lasts: expected more than 0 for {fault.kind!r}")
            if fault.kind == "links cut" and not fault.pair and len(fault.zones) < 2:
                raise ValueError(f"{where}: expected a pair or two zones or more for 'links cut'")
            if not set(fault.zones) <= set(self.network.zones):
                raise ValueError(f"{where}.zones: expected some of {self.network.zones}, got {fault.zones}")
            if fault.kind == "cut" and len(fault.zones) < 2:
                raise ValueError(f"{where}.zones: expected two zones or more, got {fault.zones}")
            if fault.farm is not None and fault.farm >= self.sessions.farms:
                raise ValueError(f"{where}.farm: expected less than {self.sessions.farms}")
            known = {f"{g.name}-{i}" for g in self.workers for i in range(g.count)}
            if not set(fault.workers) <= known:
                unknown = sorted(set(fault.workers) - known)
                raise ValueError(f"{where}.workers: unknown: {unknown}; expected names such as gen1-0")
            if fault.kind == "fail fast" and fault.size > 1:
                raise ValueError(f"{where}.size: expected a share of at most 1 for 'fail fast'")

    def mean_work(self) -> float:
        """Mean work of a job, in core-seconds at speed 1."""
        shares = sum(c.share for c in self.classes)
        return sum(c.share * c.work.mean.seconds * _mean_slots(c) for c in self.classes) / shares

    def capacity(self) -> float:
        """Core-seconds at speed 1 that the listed workers do per second, without the time to fetch keys."""
        return sum(g.count * min(g.cores, g.slots) * g.speed for g in self.workers if g.listed)

    def rate(self) -> float:
        """Mean arrival rate, jobs/s."""
        if self.arrivals.rate is not None:
            return self.arrivals.rate
        assert self.arrivals.load is not None
        return self.arrivals.load * self.capacity() / self.mean_work()


_LINK_FAULTS = frozenset(("links", "links cut"))
_FAULTS_WITH_DURATION = frozenset(("links", "links cut", "dispatcher stopped"))


def _mean_slots(cls: JobClass) -> float:
    return sum(n * share for n, share in enumerate(cls.slots, 1)) / sum(cls.slots)


def _decode(kind: type, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    raise NotImplementedError(kind)


def _encode(value: Any) -> Any:
    if isinstance(value, Duration):
        return f"{value / 1e6:.6f}".rstrip("0").rstrip(".") + " ms"
    raise NotImplementedError(type(value))


# Former names of keys and values, which are still accepted.
_FORMER_KEYS = {"providers": "workers", "consumers": "clients", "directory": "discovery"}
_FORMER_FAULT_KEYS = {"providers": "workers"}
_FORMER_FAULT_KINDS = {"directory outage": "discovery outage"}


def current_path(path: str) -> str:
    """The path of a world's key, such as "workers.gen2.count", with a former name replaced."""
    first, dot, rest = path.partition(".")
    return _FORMER_KEYS.get(first, first) + dot + rest


def with_current_names(raw: Any, where: str) -> Any:
    """A world as plain data, with former names replaced; a WorldError if a key has both names."""
    if not isinstance(raw, dict):
        return raw
    world = _rename_keys(raw, _FORMER_KEYS, where)
    faults = world.get("faults")
    if isinstance(faults, list):
        world["faults"] = [
            _with_current_fault_names(fault, f"{where}: faults[{n}]") for n, fault in enumerate(faults)
        ]
    return world


def _with_current_fault_names(raw: Any, where: str) -> Any:
    if not isinstance(raw, dict):
        return raw
    fault = _rename_keys(raw, _FORMER_FAULT_KEYS, where)
    kind = fault.get("kind")
    if isinstance(kind, str):
        fault["kind"] = _FORMER_FAULT_KINDS.get(kind, kind)
    return fault


def _rename_keys(table: dict[str, Any], names: dict[str, str], where: str) -> dict[str, Any]:
    for former, current in names.items():
        if former in table and current in table:
            raise WorldError(f"{where}: `{former}`: the former name of `{current}`, which is there too")
    return {names.get(key, key): value for key, value in table.items()}


S = TypeVar("S")


def convert(raw: Any, kind: type[S], where: str) -> S:
    """Converts plain data to a validated object; a WorldError names the key and what was expected."""
    if kind is World:
        raw = with_current_names(raw, where)
    try:
        decoded = msgspec.convert(raw, kind, dec_hook=_decode)
        if isinstance(decoded, World):
            decoded.check()
        return decoded
    except (msgspec.ValidationError, ValueError) as error:
        raise WorldError(f"{where}: {str(error).replace('`$.', '`')}") from None


def read_toml(path: Path) -> dict[str, Any]:
    """The contents of a TOML file as plain data; a WorldError if it can't be read or parsed."""
    try:
        data = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        raise WorldError(f"{path}: can't be read: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WorldError(f"{path}: not TOML: {error}") from None
    return dict(data)


def load_world(path: Path) -> World:
    """Loads and validates a world; a WorldError if the file is invalid."""
    return convert(read_toml(path), World, str(path))


def with_fleet(world: World) -> World:
    """The world with a fleet of dispatchers; one with default settings if the world has none."""
    if world.dispatchers.fleet is not None:
        return world
    return msgspec.structs.replace(
        world, dispatchers=msgspec.structs.replace(world.dispatchers, fleet=Fleet())
    )


def to_plain_data(world: Any) -> Any:
    """The object as plain data with durations as text, the form that is hashed and stored."""
    return msgspec.to_builtins(world, enc_hook=_encode)
