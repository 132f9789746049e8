"""The basis of all parts of a fleet: the codec, the fleet file, the simulated network."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironbarrow.fleet.api import Incarnation, Message, Send
from ironbarrow.fleet.codec import MAX_FRAME_BYTES, Codec, FrameError, FrameSplitter
from ironbarrow.fleet.file import FleetError, parse
from ironbarrow.lab.fleet.net import LinkConditions, SimulatedNet
from ironbarrow.lab.sim.clock import SimulatedClock
from ironbarrow.runtime.clock import MS


class Note(Message, frozen=True, array_like=True):
    KIND = 120
    text: str


class NewerNote(Message, frozen=True, array_like=True):
    """The same message in a newer version of the program."""

    KIND = 120
    text: str
    more: int = 0


class Unknown(Message, frozen=True, array_like=True):
    KIND = 121


ME = Incarnation("a", 7)


@given(st.lists(st.text(max_size=50), max_size=8), st.integers(1, 40))
def test_frames_are_split_from_a_stream_cut_anywhere(texts: list[str], step: int) -> None:
    codec, splitter = Codec([Note]), FrameSplitter()
    stream = b"".join(codec.encode(ME, 0, Note(text)) for text in texts)
    frames = [f for i in range(0, len(stream), step) for f in splitter.feed(stream[i : i + step])]
    assert [codec.decode(frame) for frame in frames] == [(ME, 0, Note(text)) for text in texts]


@given(st.binary(max_size=80))
def test_malformed_frames_are_counted_and_dropped(data: bytes) -> None:
    codec = Codec([Note])
    assert codec.decode(data) is not None or codec.dropped.total() == 1


def test_two_versions_read_each_others_frames() -> None:
    old, new = Codec([Note]), Codec([NewerNote, Unknown])
    assert old.decode(new.encode(ME, 3, NewerNote("x", 5))[4:]) == (ME, 3, Note("x"))
    assert new.decode(old.encode(ME, 3, Note("x"))[4:]) == (ME, 3, NewerNote("x", 0))
    assert old.decode(new.encode(ME, 0, Unknown())[4:]) is None
    newer = msgspec.msgpack.encode([2, 120, ME, 0, ["x"]])
    assert old.decode(newer) is None
    assert old.dropped == {"kind": 1, "version": 1}
    for length in (0, MAX_FRAME_BYTES + 1):
        with pytest.raises(FrameError):
            FrameSplitter().feed(length.to_bytes(4, "big"))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "listen"),
        ('listen = "x"', "listen: expected host:port, got 'x'"),
        ('listen = "h:1"\nkeepers = 3', "unknown field `keepers`"),
        ('listen = "h:1"\n[ledgers]\nkeepers = 4', "ledgers.keepers"),
        ('listen = "h:1"\nseeds = ["b"]', "seeds: expected name=host:port, got 'b'"),
        ('listen = "h:1"\nseeds = ["b=h:2", "b=h:3"]', "'b' twice"),
        ('listen = "h:1"\nseeds = ["me=h:2"]', "expected other members"),
        ('listen = "h:1"\n[members]\nperiod = "1"', "expected a duration"),
        ('listen = "h:1"\n[members]\nmost = 100', "members.most"),
        ('listen = "h:1"\n[members]\nperiod = "100 ms"', "members.timeout"),
    ],
)
def test_an_error_in_a_fleet_file_names_key_and_value(text: str, expected: str) -> None:
    with pytest.raises(FleetError, match=r"^fleet\.toml: ") as error:
        parse(text.encode(), "fleet.toml", "me")
    assert expected in str(error.value)


class PeriodicSender:
    """Sends the time to the other member every 10 ms, and records the texts that it receives."""

    handles = (Note,)

    def __init__(self, other: str) -> None:
        self.other, self.due, self.received_texts = other, 0, []

    def received(self, now: int, sender: Incarnation, message: Note) -> list[Send]:
        self.received_texts.append(message.text)
        return []

    def ticked(self, now: int) -> list[Send]:
        self.due = now + 10 * MS
        return [Send(Incarnation(self.other), Note(str(now)))]

    def next_at(self) -> int:
        return self.due


def test_faults_of_the_simulated_network_lose_the_expected_messages() -> None:
    runs = []
    for _ in range(2):
        net = SimulatedNet(SimulatedClock(), Codec([Note]), seed=3)
        seen: dict[str, list[int]] = {"a": [], "b": []}
        senders: dict[str, PeriodicSender] = {}

        def build(seat, node, senders=senders):
            senders[seat.name] = PeriodicSender("b" if seat.name == "a" else "a")
            node.add([senders[seat.name]])

        for name in "ab":
            net.add(name, "x", build)
            net.start(name)

        def received_during(step, net=net, senders=senders, seen=seen):
            before = {name: len(senders[name].received_texts) for name in "ab"}
            step()
            net.run(1000 * MS)
            for name in "ab":
                seen[name].append(len(senders[name].received_texts) - before[name])

        received_during(lambda: None)
        received_during(lambda net=net: net.cut("a", "b", both=False))
        received_during(lambda net=net: (net.heal(), net.pause("b")))
        received_during(lambda net=net: net.resume("b"))
        received_during(lambda net=net: net.crash("a"))
        net.links["b", "a"] = LinkConditions(lost=0.5, doubled=0.5)
        net.start("a")
        net.run(1000 * MS)
        runs.append((seen, len(senders["a"].received_texts), net.lost))
        # b gets 200 after its pause: those of the pause are delivered then
        expected = {
            "a": (100, 100, 0, 100, 0),
            "b": (100, 0, 0, 200, 0),
        }
        for name in "ab":
            assert all(abs(n - count) <= 2 for n, count in zip(seen[name], expected[name], strict=True)), seen
        assert 50 < len(senders["a"].received_texts) < 105
    assert runs[0] == runs[1]
