"""Messages as bytes. No input or output.

A frame is a length (4 bytes, big-endian) and a MessagePack list: version, kind, the sender's incarnation, the
start of the incarnation that is meant (0: any), the body. What is foreign is counted and dropped, never
guessed and never fatal: an unknown kind is passed over, so that an older program and a newer one work side by
side."""

import struct
from collections import Counter
from collections.abc import Iterable

import msgspec

from ironbarrow.fleet.api import Incarnation, Message

VERSION = 1
_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 20  # bytes of a frame: some jobs of 64 KiB and their fields


class FrameError(ValueError):
    """Bytes that are no frames: what follows on the connection can't be read either."""


class _Frame(msgspec.Struct, array_like=True):
    version: int
    kind: int
    sender: Incarnation
    to_start: int
    body: msgspec.Raw


class Codec:
    """Knows the messages of some parts. A ValueError if two of them have the same number."""

    def __init__(self, kinds: Iterable[type[Message]]) -> None:
        self._decoders: dict[int, msgspec.msgpack.Decoder[Message]] = {}
        self.register(kinds)
        self._encoder = msgspec.msgpack.Encoder()
        self._frame = msgspec.msgpack.Decoder(_Frame)
        self.dropped: Counter[str] = Counter()  # by cause: "version", "kind", "malformed"

    def register(self, kinds: Iterable[type[Message]]) -> None:
        """Adds the messages of another part; a ValueError as above."""
        for kind in kinds:
            if kind.KIND in self._decoders or not 1 <= kind.KIND < 128:
                raise ValueError(f"{kind.__name__}: its number is taken or out of range: {kind.KIND}")
            self._decoders[kind.KIND] = msgspec.msgpack.Decoder(kind)

    def clear(self) -> None:
        """Knows no messages any more; what was counted stays."""
        self._decoders.clear()

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        """One frame; a ValueError if it is over ``MAX_FRAME_BYTES``."""
        body = msgspec.Raw(self._encoder.encode(message))
        data = self._encoder.encode(_Frame(VERSION, message.KIND, sender, to_start, body))
        if len(data) > MAX_FRAME_BYTES:
            raise ValueError(f"{type(message).__name__}: {len(data)} bytes are over {MAX_FRAME_BYTES}")
        return _LENGTH.pack(len(data)) + data

    def decode(self, frame: bytes) -> tuple[Incarnation, int, Message] | None:
        """Sender, the start of the incarnation that is meant, message; None, and counted, for what is
        foreign."""
        try:
            fields = self._frame.decode(frame)
            if fields.version != VERSION:
                self.dropped["version"] += 1
                return None
            decoder = self._decoders.get(fields.kind)
            if decoder is None:
                self.dropped["kind"] += 1
                return None
            return fields.sender, fields.to_start, decoder.decode(fields.body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            self.dropped["malformed"] += 1
            return None


class FrameSplitter:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def buffered(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, without their lengths; a FrameError for a length out of range."""
        self._data += data
        frames: list[bytes] = []
        while len(self._data) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data)
            if not 0 < size <= MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {size} bytes")
            if len(self._data) < _LENGTH.size + size:
                break
            frames.append(bytes(self._data[_LENGTH.size : _LENGTH.size + size]))
            del self._data[: _LENGTH.size + size]
        return frames
