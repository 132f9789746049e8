"""The fleet file: addresses and rules of one member, TOML, checked completely when it is read.

Without such a file a dispatcher works alone, and nothing of this package is imported.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ironbarrow.config.units import Duration, ms
from ironbarrow.runtime.sockets import Address, parse_address

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9_.\-]+$")]
PositiveInt = Annotated[int, Meta(ge=1)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class FleetError(ValueError):
    """A fleet file that can't be used; the text names file, key, value and what was expected."""


class _Table(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all tables of the file: unknown keys are refused."""


class MemberRules(_Table, frozen=True):
    """Failure detection between members. Each member pings one other per ``period``."""

    period: Duration = ms(300)
    timeout: Duration = ms(150)  # of a direct ping; after that ``helpers`` other members ping for it
    helpers: PositiveInt = 3
    suspect_for: Duration = ms(900)  # from suspicion to death, unless the member refutes the suspicion
    keep_dead: Duration = ms(120_000)  # how long the card of a dead member is remembered
    most: Annotated[int, Meta(ge=1024)] = 4096  # members in the list at most


class LinkRules(_Table, frozen=True):
    """Limits of the connections between members and of their send queues."""

    outgoing: Annotated[int, Meta(ge=16)] = 96  # connections opened by this member, at most
    incoming: Annotated[int, Meta(ge=16)] = 160  # connections opened to it, at most
    idle: Duration = ms(20_000)  # an unused connection is closed after this time
    queue: Annotated[int, Meta(ge=64)] = 2048  # messages queued for one peer, at most
    queue_kb: Annotated[int, Meta(ge=1025)] = 2048  # KiB queued for one peer; at least one frame of 1 MiB
    memory_mb: Annotated[int, Meta(ge=2)] = 32  # MiB of all send queues, and as much of incomplete frames


class LedgerRules(_Table, frozen=True):
    """Replication of the ledgers of jobs."""

    replicas: Literal[3, 5] = msgspec.field(default=3, name="keepers")  # the key of users' files stays
    wait: Duration = ms(250)  # for a majority; after that the waiting operations fail
    resend: Duration = ms(60)  # unacknowledged appends are sent again after this time
    replace_after: Duration = ms(600)  # a replica silent for this time is replaced by another
    memory_mb: PositiveInt = 24  # MiB of replicas stored for other members, at most


class AnswerRules(_Table, frozen=True):
    """Cached answers for clients that retry with the same id."""

    keep_for: Duration = ms(60_000)
    most: PositiveInt = 4096
    # which bookings are looked up at all members before they start: those marked by X-Retried: 1, or all
    ask: Literal["marked", "all"] = "marked"


class StarvationRules(_Table, frozen=True):
    """Limits of the tables of waits, and thresholds of a starvation verdict."""

    window: Duration = ms(5_000)
    windows: PositiveInt = 6  # number of windows that are compared
    tenants: PositiveInt = 64  # in a table, at most; others are only counted
    table_bytes: PositiveInt = 16_384
    false_alarms: Annotated[float, Meta(gt=0, lt=0.5)] = 0.01  # probability per evaluation of all pairs
    least_jobs: PositiveInt = 20
    least_effect: Annotated[float, Meta(gt=1)] = 2.0  # factor by which the waits have to be longer
    least_wait: Duration = ms(20)  # shorter mean waits give no verdict
    lasting: PositiveInt = 2  # windows in a row in which the effect has to be seen
    least_seen: Fraction = 0.5  # share of the fleet's tables that have to be known
    move: bool = False  # move waiting jobs of a starved tenant to where it waits least


class RolloutRules(_Table, frozen=True):
    """Participation in rollouts of the workers' runtime."""

    plan: str = ""  # path of a plan to start here; "": this member only takes part
    meet: Duration = ms(3_000)  # from the start of the process to the start of the rollout
    absent_for: Duration = ms(120_000)  # a worker that is no longer listed counts as down, then as gone


class Fleet(_Table, frozen=True):
    """The whole file. ``routes``: addresses of members to use instead of those in their cards."""

    listen: str
    address: str = ""  # at which others reach it; "": the address of ``listen``
    seeds: list[str] = msgspec.field(default_factory=list)  # "name=host:port"
    site: str = ""  # "": the zone of the settings
    members: MemberRules = MemberRules()
    links: LinkRules = LinkRules()
    ledgers: LedgerRules = LedgerRules()
    answers: AnswerRules = AnswerRules()
    starvation: StarvationRules | None = None  # None: waits are not compared
    rollout: RolloutRules | None = None  # None: it neither leads nor watches rollouts
    # by job class: what a dispatcher without a majority of replicas does with bookings
    without_majority: dict[str, Literal["turn away", "serve unprotected"]] = msgspec.field(
        default_factory=dict
    )
    routes: dict[str, str] = msgspec.field(default_factory=dict)

    @property
    def descriptors(self) -> int:
        """File descriptors that a member needs for its links, at most."""
        return self.links.outgoing + self.links.incoming + 2

    def seed_addresses(self) -> dict[str, Address]:
        """Addresses of the seeds by name."""
        return {name: parse_address(address) for name, _, address in (s.partition("=") for s in self.seeds)}


def _decode(kind: type, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    raise NotImplementedError(kind)


def load(path: Path, name: str) -> Fleet:
    """Reads the file of the member of that name. Raises a FleetError if it can't be read or used."""
    try:
        return parse(path.read_bytes(), str(path), name)
    except OSError as error:
        raise FleetError(f"{path}: can't be read: {error.strerror}") from None


def parse(text: bytes, where: str, name: str) -> Fleet:
    """Parses a fleet file; ``where`` is its name for errors. Raises a FleetError that names key, value and
    what was expected."""
    try:
        fleet = msgspec.toml.decode(text, type=Fleet, dec_hook=_decode)
        _check(fleet, name)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise FleetError(f"{where}: {str(error).replace('`$.', '`')}") from None
    return fleet


def _check(fleet: Fleet, name: str) -> None:
    """Checks addresses, and rules that concern several keys."""
    _address("listen", fleet.listen, least_port=0)
    if fleet.address:
        _address("address", fleet.address)
    elif parse_address(fleet.listen, 0)[0] in ("0.0.0.0", "::"):
        raise ValueError(f"address: expected one that others can reach, since listen is {fleet.listen!r}")
    seen: set[str] = set()
    for seed in fleet.seeds:
        seed_name, equals, address = seed.partition("=")
        if not equals or not seed_name:
            raise ValueError(f"seeds: expected name=host:port, got {seed!r}")
        _address(f"seeds: {seed_name}", address)
        if seed_name in seen:
            raise ValueError(f"seeds: expected names that differ, got {seed_name!r} twice")
        if seed_name == name:
            raise ValueError(f"seeds: expected other members, got this one, {seed!r}")
        seen.add(seed_name)
    for other, address in fleet.routes.items():
        _address(f"routes.{other}", address)
    rules = fleet.members
    if not 0 < rules.timeout < rules.period:
        text = "expected more than 0 and less than members.period"
        raise ValueError(f"members.timeout: {text}, got {rules.timeout / 1e6} ms")
    for key, value, least in (
        ("members.suspect_for", rules.suspect_for, rules.period),
        ("members.keep_dead", rules.keep_dead, 10 * rules.suspect_for),
        ("links.idle", fleet.links.idle, 1_000_000_000),
    ):
        if value < least:
            raise ValueError(f"{key}: expected at least {least / 1e6:g} ms, got {value / 1e6:g} ms")


def _address(key: str, text: str, least_port: int = 1) -> None:
    try:
        parse_address(text, least_port)
    except ValueError as error:
        raise ValueError(f"{key}: expected host:port, got {text!r} ({error})") from None
