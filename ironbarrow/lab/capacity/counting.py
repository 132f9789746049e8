"""Counts what members send on the simulated network: messages, bytes and items, by sender and kind."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ironbarrow.fleet.api import Incarnation, Message
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.ledgers.messages import Append
from ironbarrow.fleet.members.messages import Ack, Ping, PingRequest, RumourBatch, Sync
from ironbarrow.fleet.rollout.commands import DispatcherReport
from ironbarrow.fleet.starvation.tables import WaitReport, WaitReportReply
from ironbarrow.lab.fleet.net import SimulatedNet

REGIONS = ("north", "south")
ZONES = ("north-1", "north-2", "north-3", "north-4", "south-1", "south-2", "south-3")


def zone_of(number: int) -> str:
    """The zone of the member with that number: all zones in turn."""
    return ZONES[number % len(ZONES)]


def region_of(zone: str) -> str:
    """The region that a zone belongs to."""
    return zone.partition("-")[0]


@dataclass(slots=True)
class Sent:
    """What was sent: ``items`` are the rumours, changes or rows that the messages carried."""

    messages: int = 0
    bytes: int = 0
    items: int = 0

    def add(self, other: "Sent") -> None:
        """Adds another count to this one."""
        self.messages += other.messages
        self.bytes += other.bytes
        self.items += other.items


def items_of(message: Message) -> int:
    """How many entries a message carries."""
    if isinstance(message, Ping | Ack | PingRequest):
        return len(message.piggybacked)
    if isinstance(message, RumourBatch):
        return len(message.rumours)
    if isinstance(message, Sync):
        return len(message.states)
    if isinstance(message, Append):
        return len(message.changes)
    if isinstance(message, WaitReport):
        return sum(len(window.rows) for window in message.windows)
    if isinstance(message, WaitReportReply):
        return len(message.rows)
    if isinstance(message, DispatcherReport):
        return len(message.counts) + len(message.loads)
    return 0


class Traffic:
    """Counts by sender and kind."""

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], Sent] = defaultdict(Sent)

    def note(self, sender: str, kind: str, frame_bytes: int, items: int) -> None:
        """Counts one message."""
        self._sent[sender, kind].add(Sent(1, frame_bytes, items))

    def clear(self) -> None:
        """Counts from zero again."""
        self._sent.clear()

    def total(self) -> Sent:
        """Everything."""
        return self._sum(self._sent.values())

    def of_sender(self, sender: str) -> Sent:
        """Everything that one member sent."""
        return self._sum(sent for (name, _), sent in self._sent.items() if name == sender)

    def of_kinds(self, *kinds: type[Message]) -> Sent:
        """Everything of these kinds."""
        names = {kind.__name__ for kind in kinds}
        return self._sum(sent for (_, name), sent in self._sent.items() if name in names)

    def by_kind(self) -> dict[str, Sent]:
        """Everything, by the name of the kind."""
        found: dict[str, Sent] = defaultdict(Sent)
        for (_, kind), sent in sorted(self._sent.items()):
            found[kind].add(sent)
        return dict(found)

    def most_of_a_sender(self) -> Sent:
        """What the member with most bytes sent."""
        senders = {sender for sender, _ in self._sent}
        return max((self.of_sender(sender) for sender in senders), key=lambda s: s.bytes, default=Sent())

    @staticmethod
    def _sum(counts: Iterable[Sent]) -> Sent:
        total = Sent()
        for count in counts:
            total.add(count)
        return total


class CountingCodec(Codec):
    """A codec that counts each frame it encodes."""

    def __init__(self, kinds: Iterable[type[Message]]) -> None:
        super().__init__(kinds)
        self.traffic = Traffic()

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        frame = super().encode(sender, to_start, message)
        self.traffic.note(sender.name, type(message).__name__, len(frame), items_of(message))
        return frame


def metered(net: SimulatedNet, kinds: Iterable[type[Message]]) -> Traffic:
    """Has a simulated network count from now on; what it counts."""
    codec = CountingCodec(kinds)
    net.codec = codec
    return codec.traffic


@dataclass(frozen=True, slots=True)
class Rate:
    """What one member sends a second, on the average over the members; a member receives as much."""

    messages: float
    bytes: float
    bytes_most: float  # of the member that sends most

    @classmethod
    def of(cls, traffic: Traffic, members: int, seconds: float) -> "Rate":
        """The rate of a count over so many members and seconds."""
        total = traffic.total()
        return cls(
            total.messages / members / seconds,
            total.bytes / members / seconds,
            traffic.most_of_a_sender().bytes / seconds,
        )
