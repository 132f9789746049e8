"""The end of a hollow process at which it is told what to do: commands in by lines, reports out by lines."""

import os
from collections.abc import Callable

import msgspec

from ironbarrow.lab.scale.messages import AnyCommand, Stop
from ironbarrow.runtime.loop import READ, SECOND, Coroutine, Loop, Wait

_INPUT, _OUTPUT = 0, 1
_CHUNK = 64 * 1024
_LONG = 3600 * SECOND

Handler = Callable[[AnyCommand], msgspec.Struct | None]


class Control:
    """Reads commands from standard input on a loop. The process stops at the end of the input, on ``Stop``
    and once its time is over, so that nothing is left behind by a run that was killed."""

    def __init__(self, loop: Loop, handle: Handler, lives_s: float) -> None:
        self._loop, self._handle = loop, handle
        self._decoder = msgspec.json.Decoder(AnyCommand)
        os.set_blocking(_INPUT, False)
        loop.spawn(self._read())
        loop.call_at(loop.now() + int(lives_s * SECOND), loop.stop)

    def _read(self) -> Coroutine[None]:
        waiting = bytearray()
        while True:
            yield Wait(_INPUT, READ, self._loop.now() + _LONG)
            try:
                data = os.read(_INPUT, _CHUNK)
            except BlockingIOError:
                continue
            if not data:
                self._loop.stop()
                return
            *lines, rest = (waiting + data).split(b"\n")
            waiting = bytearray(rest)
            for line in lines:
                self._carry_out(self._decoder.decode(line))

    def _carry_out(self, command: AnyCommand) -> None:
        if isinstance(command, Stop):
            self._loop.stop()
            return
        answer = self._handle(command)
        if answer is not None:
            write_line(answer)


def write_line(message: msgspec.Struct) -> None:
    """Writes one line to standard output, whole."""
    data = memoryview(msgspec.json.encode(message) + b"\n")
    while data:
        data = data[os.write(_OUTPUT, data) :]
