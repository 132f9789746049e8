"""Counts the lines of a message's head while it arrives in pieces. No input or output."""

import re

_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_END_BYTES = 3  # length of the longest match of _HEAD_END


class HeadLineCounter:
    """Counts the lines of one head, however its bytes are divided, and not those of the body behind it."""

    def __init__(self) -> None:
        self.lines = 0
        self._tail = b""  # the last bytes received, in which the head's end may begin
        self._ended = False

    def receive(self, data: bytes) -> None:
        """Counts the lines that ``data`` adds to the head."""
        if self._ended:
            return
        known = len(self._tail)
        joined = self._tail + data
        end = _HEAD_END.search(joined)
        self.lines += joined.count(b"\n", known, len(joined) if end is None else max(known, end.start() + 1))
        self._ended = end is not None
        self._tail = joined[1 - _MAX_END_BYTES :]
