"""A hollow process's side of its control pipes: reads commands and writes reports, one JSON line each."""

import os
from collections.abc import Callable

import msgspec

from ironbarrow.lab.scale.messages import AnyCommand, Stop
from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Wait

_INPUT, _OUTPUT = 0, 1
_READ_BYTES = 64 * 1024
_READ_TIMEOUT = 3600 * SECOND

Handler = Callable[[AnyCommand], msgspec.Struct | None]


class CommandReader:
    """Reads commands from standard input and passes them to ``handle``.

    The loop stops on ``Stop``, at the end of the input and after ``lifetime_s``, so that a killed run leaves
    no processes behind.
    """

    def __init__(self, loop: Loop, handle: Handler, lifetime_s: float) -> None:
        self._loop, self._handle = loop, handle
        self._decoder = msgspec.json.Decoder(AnyCommand)
        os.set_blocking(_INPUT, False)
        loop.spawn(self._read())
        loop.call_at(loop.now() + int(lifetime_s * SECOND), loop.stop)

    def _read(self) -> Coroutine[None]:
        buffer = bytearray()
        while True:
            yield Wait(_INPUT, READ, self._loop.now() + _READ_TIMEOUT)
            try:
                data = os.read(_INPUT, _READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                self._loop.stop()
                return
            *lines, rest = (buffer + data).split(b"\n")
            buffer = bytearray(rest)
            for line in lines:
                self._execute(self._decoder.decode(line))

    def _execute(self, command: AnyCommand) -> None:
        if isinstance(command, Stop):
            self._loop.stop()
            return
        answer = self._handle(command)
        if answer is not None:
            write_message(answer)


def write_message(message: msgspec.Struct) -> None:
    """Writes one complete line to standard output."""
    data = memoryview(msgspec.json.encode(message) + b"\n")
    while data:
        data = data[os.write(_OUTPUT, data) :]
