"""Counts messages, bytes and items on the simulated network, by sender and kind of message."""

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
    """The zone of a member by its number: members are distributed round-robin over the zones."""
    return ZONES[number % len(ZONES)]


def region_of(zone: str) -> str:
    """The region of a zone."""
    return zone.partition("-")[0]


@dataclass(slots=True)
class SentTotals:
    """Totals of sent messages; ``items`` are the rumours, changes or rows that they carried."""

    messages: int = 0
    bytes: int = 0
    items: int = 0

    def add(self, other: "SentTotals") -> None:
        """Adds other totals to these."""
        self.messages += other.messages
        self.bytes += other.bytes
        self.items += other.items


def item_count(message: Message) -> int:
    """The number of entries that a message carries; 0 for kinds without entries."""
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
    """Totals by sender and kind of message."""

    def __init__(self) -> None:
        self._sent: dict[tuple[str, str], SentTotals] = defaultdict(SentTotals)

    def record(self, sender: str, kind: str, frame_bytes: int, items: int) -> None:
        """Counts one message."""
        self._sent[sender, kind].add(SentTotals(1, frame_bytes, items))

    def clear(self) -> None:
        """Resets all totals."""
        self._sent.clear()

    def total(self) -> SentTotals:
        """Totals of all messages."""
        return self._sum(self._sent.values())

    def of_sender(self, sender: str) -> SentTotals:
        """Totals of one member's messages."""
        return self._sum(sent for (name, _), sent in self._sent.items() if name == sender)

    def of_kinds(self, *kinds: type[Message]) -> SentTotals:
        """Totals of messages of these kinds."""
        names = {kind.__name__ for kind in kinds}
        return self._sum(sent for (_, name), sent in self._sent.items() if name in names)

    def by_kind(self) -> dict[str, SentTotals]:
        """Totals by the class name of the message."""
        found: dict[str, SentTotals] = defaultdict(SentTotals)
        for (_, kind), sent in sorted(self._sent.items()):
            found[kind].add(sent)
        return dict(found)

    def busiest_sender(self) -> SentTotals:
        """Totals of the member that sent most bytes."""
        senders = {sender for sender, _ in self._sent}
        return max(
            (self.of_sender(sender) for sender in senders), key=lambda s: s.bytes, default=SentTotals()
        )

    @staticmethod
    def _sum(counts: Iterable[SentTotals]) -> SentTotals:
        total = SentTotals()
        for count in counts:
            total.add(count)
        return total


class CountingCodec(Codec):
    """A codec that counts the frames that it encodes."""

    def __init__(self, kinds: Iterable[type[Message]]) -> None:
        super().__init__(kinds)
        self.traffic = Traffic()

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        frame = super().encode(sender, to_start, message)
        self.traffic.record(sender.name, type(message).__name__, len(frame), item_count(message))
        return frame


def meter_traffic(net: SimulatedNet, kinds: Iterable[type[Message]]) -> Traffic:
    """Makes a simulated network count the messages of these kinds; returns the totals, which keep growing."""
    codec = CountingCodec(kinds)
    net.codec = codec
    return codec.traffic


@dataclass(frozen=True, slots=True)
class Rate:
    """What one member sends per second, the mean over all members, which is also what a member receives."""

    messages: float
    bytes: float
    bytes_most: float  # of the member that sends the most bytes

    @classmethod
    def of(cls, traffic: Traffic, members: int, seconds: float) -> "Rate":
        """The rate from totals of ``members`` members over ``seconds`` seconds."""
        total = traffic.total()
        return cls(
            total.messages / members / seconds,
            total.bytes / members / seconds,
            traffic.busiest_sender().bytes / seconds,
        )
