"""Encoding of messages into frames. Does no input or output.

A frame is a length (4 bytes, big-endian) and a MessagePack list: version, kind, the sender's incarnation, the
start of the receiver's incarnation (0: any), the body. Malformed frames and those of an unknown version or
kind are counted and dropped, so that different versions of the program work side by side.
"""

import struct
from collections import Counter
from collections.abc import Iterable

import msgspec

from ironbarrow.fleet.api import Incarnation, Message

VERSION = 1
_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 20  # enough for several jobs of 64 KiB and their fields


class FrameError(ValueError):
    """Bytes that are not frames: the rest of the connection's data can't be read either."""


class _Frame(msgspec.Struct, array_like=True):
    version: int
    kind: int
    sender: Incarnation
    to_start: int
    body: msgspec.Raw


class Codec:
    """Encodes and decodes registered types of messages. Raises a ValueError if two have the same kind."""

    def __init__(self, kinds: Iterable[type[Message]]) -> None:
        self._decoders: dict[int, msgspec.msgpack.Decoder[Message]] = {}
        self.register(kinds)
        self._encoder = msgspec.msgpack.Encoder()
        self._frame = msgspec.msgpack.Decoder(_Frame)
        self.dropped: Counter[str] = Counter()  # by cause: "version", "kind", "malformed"

    def register(self, kinds: Iterable[type[Message]]) -> None:
        """Adds types of messages. Raises a ValueError if a kind is out of range or registered already."""
        for kind in kinds:
            if kind.KIND in self._decoders or not 1 <= kind.KIND < 128:
                raise ValueError(f"{kind.__name__}: kind in use or out of range: {kind.KIND}")
            self._decoders[kind.KIND] = msgspec.msgpack.Decoder(kind)

    def clear(self) -> None:
        """Removes all types of messages; the counts stay."""
        self._decoders.clear()

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        """Encodes a message as one frame. Raises a ValueError if that exceeds ``MAX_FRAME_BYTES``."""
        body = msgspec.Raw(self._encoder.encode(message))
        data = self._encoder.encode(_Frame(VERSION, message.KIND, sender, to_start, body))
        if len(data) > MAX_FRAME_BYTES:
            raise ValueError(f"{type(message).__name__}: {len(data)} bytes exceed {MAX_FRAME_BYTES}")
        return _LENGTH.pack(len(data)) + data

    def decode(self, frame: bytes) -> tuple[Incarnation, int, Message] | None:
        """The sender, the start of the incarnation that is meant, and the message.

        None for a frame of an unknown version or kind or a malformed one, which is counted in ``dropped``."""
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
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def buffered(self) -> int:
        """Number of buffered bytes of an incomplete frame."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now, without their lengths. Raises a FrameError for a length out of
        range."""
        self._data += data
        frames: list[bytes] = []
        while len(self._data) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data)
            if not 0 < size <= MAX_FRAME_BYTES:
                raise FrameError(f"invalid frame length: {size} bytes")
            if len(self._data) < _LENGTH.size + size:
                break
            frames.append(bytes(self._data[_LENGTH.size : _LENGTH.size + size]))
            del self._data[: _LENGTH.size + size]
        return frames
