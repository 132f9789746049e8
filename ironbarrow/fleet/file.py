"""The fleet file: who this member is to the others, and under which rules. TOML, checked whole.

Without such a file a dispatcher shares nothing with anybody, and none of this package is imported.
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
    """What all tables of the file have in common: unknown keys are refused."""


class MemberRules(_Table, frozen=True):
    """How members watch each other. Each asks one other in every ``period``."""

    period: Duration = ms(300)
    timeout: Duration = ms(150)  # of a question asked directly; then ``helpers`` others ask for it
    helpers: PositiveInt = 3
    suspect_for: Duration = ms(900)  # from the first doubt to death, of a member that does not object
    keep_dead: Duration = ms(120_000)  # so long the card of a dead member is remembered
    most: Annotated[int, Meta(ge=1024)] = 4096  # members that are kept in the list


class LinkRules(_Table, frozen=True):
    """Bounds of what carries messages: connections, and what waits to be sent."""

    outgoing: Annotated[int, Meta(ge=16)] = 96  # connections that this member opens
    incoming: Annotated[int, Meta(ge=16)] = 160  # and those that others open to it
    idle: Duration = ms(20_000)  # an unused one is closed
    queue: Annotated[int, Meta(ge=64)] = 2048  # messages that wait for one peer
    queue_kb: Annotated[int, Meta(ge=1025)] = 2048  # and their size: one frame of 1 MiB at least
    memory_mb: Annotated[int, Meta(ge=2)] = 32  # of all that waits to be sent; as much for frames half read


class LedgerRules(_Table, frozen=True):
    """How many replicas keep what a dispatcher owes, and how long is waited for them."""

    replicas: Literal[3, 5] = msgspec.field(default=3, name="keepers")  # the key of users' files stays
    wait: Duration = ms(250)  # for a majority: then what waits for it fails
    resend: Duration = ms(60)  # what was not acknowledged goes out again
    replace_after: Duration = ms(600)  # a replica that is silent for so long gives way to another
    memory_mb: PositiveInt = 24  # for what is kept for others


class AnswerRules(_Table, frozen=True):
    """Answers kept for clients that come again with the same id."""

    keep_for: Duration = ms(60_000)
    most: PositiveInt = 4096
    # of jobs that may not run twice: which are asked for at all members before they are taken
    ask: Literal["marked", "all"] = "marked"  # those that say X-Retried: 1, or all


class StarvationRules(_Table, frozen=True):
    """Bounds of the tables of waits, and when a verdict is given."""

    window: Duration = ms(5_000)
    windows: PositiveInt = 6  # that are compared
    tenants: PositiveInt = 64  # in a table; what is beyond is counted
    table_bytes: PositiveInt = 16_384
    false_alarms: Annotated[float, Meta(gt=0, lt=0.5)] = 0.01  # chance a look over all pairs
    least_jobs: PositiveInt = 20
    least_effect: Annotated[float, Meta(gt=1)] = 2.0  # times as long a wait
    least_wait: Duration = ms(20)  # a shorter mean wait is nobody's trouble
    lasting: PositiveInt = 2  # windows in a row
    least_seen: Fraction = 0.5  # of the fleet's tables
    move: bool = False  # held jobs of a starved tenant go to where it waits least


class RolloutRules(_Table, frozen=True):
    """A part in rollouts of the workers' runtime."""

    plan: str = ""  # the path of one to start here; "": this member only takes part
    meet: Duration = ms(3_000)  # after the start of the process and before that of the rollout
    absent_for: Duration = ms(120_000)  # a worker that is no longer listed counts as down, then as gone


class Fleet(_Table, frozen=True):
    """All of it. ``routes``: where a member is reached, if not at the address that it tells."""

    listen: str
    address: str = ""  # how the others reach it; "": as it listens
    seeds: list[str] = msgspec.field(default_factory=list)  # "name=host:port"
    site: str = ""  # "": the zone of the settings
    members: MemberRules = MemberRules()
    links: LinkRules = LinkRules()
    ledgers: LedgerRules = LedgerRules()
    answers: AnswerRules = AnswerRules()
    starvation: StarvationRules | None = None  # None: waits are not compared
    rollout: RolloutRules | None = None  # None: it neither leads nor watches rollouts
    # a dispatcher without a majority of replicas, by class: what becomes of jobs that may not run twice
    without_majority: dict[str, Literal["turn away", "serve unprotected"]] = msgspec.field(
        default_factory=dict
    )
    routes: dict[str, str] = msgspec.field(default_factory=dict)

    @property
    def descriptors(self) -> int:
        """That a member needs at most for its links."""
        return self.links.outgoing + self.links.incoming + 2

    def seed_addresses(self) -> dict[str, Address]:
        """Seeds by name."""
        return {name: parse_address(address) for name, _, address in (s.partition("=") for s in self.seeds)}


def _decode(kind: type, value: Any) -> Any:
    if kind is Duration:
        return Duration.parse(value)
    raise NotImplementedError(kind)


def load(path: Path, name: str) -> Fleet:
    """The file of the member of that name; a FleetError if it can't be read or used."""
    try:
        return parse(path.read_bytes(), str(path), name)
    except OSError as error:
        raise FleetError(f"{path}: can't be read: {error.strerror}") from None


def parse(text: bytes, where: str, name: str) -> Fleet:
    """A fleet file's text; a FleetError names key, value and what was expected."""
    try:
        fleet = msgspec.toml.decode(text, type=Fleet, dec_hook=_decode)
        _check(fleet, name)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise FleetError(f"{where}: {str(error).replace('`$.', '`')}") from None
    return fleet


def _check(fleet: Fleet, name: str) -> None:
    """What no single key shows."""
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
