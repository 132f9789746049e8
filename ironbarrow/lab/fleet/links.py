"""Stand-ins for the links between dispatchers: a relay on the laboratory's loop for each ordered pair.

A relay takes the place of the way from one dispatcher to another. It cuts what passes into frames, so that
it can lose, double, delay and reorder whole messages, or pass nothing at all while the connection stays open,
and never leaves half a message behind. What comes back on a connection travels by the other pair's rules.
"""

import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ironbarrow.core.endings import ConnectionEndedError
from ironbarrow.fleet.codec import FrameError, FrameSplitter
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import connect

_CONNECT_LIMIT = 2 * SECOND
_HELD_BYTES = 4 << 20  # that one direction of a connection holds for a reader that takes nothing
_CHUNK = 64 * 1024
_AGAIN = 2 * MS  # until a full socket is tried again
_LOOKS_FOR_MEND = 20 * MS
_LENGTH = 4


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happens to frames from one dispatcher to another. Chances from 0 to 1, times in ns. ``jitter``:
    uniform, on top of the delay: frames overtake each other where it is large."""

    delay: int = 0
    jitter: int = 0
    lost: float = 0.0
    doubled: float = 0.0
    cut: bool = False


CALM = Trouble()
CUT = Trouble(cut=True)


class LinkStandIns:
    """All relays of a fleet. Members are told by name; ``troubles`` may be changed at any time and counts
    for what comes in from then on."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self._loop, self._random = loop, random.Random(seed)
        self._troubles: dict[tuple[str, str], Trouble] = {}
        self._relays: dict[tuple[str, str], _Relay] = {}
        self.frames: Counter[str] = Counter()  # by what became of them
        self.bytes: Counter[tuple[str, str]] = Counter()  # that came in, by pair

    def add(self, sender: str, target: str, address: Address, goes_to: Address) -> Address:
        """Opens the way of an ordered pair; where ``sender`` finds ``target`` from now on."""
        relay = self._relays[sender, target] = _Relay(self, self._loop, sender, target, address, goes_to)
        return relay.address

    def trouble(self, sender: str, target: str) -> Trouble:
        return self._troubles.get((sender, target), CALM)

    def set(self, pairs: Iterable[tuple[str, str]], trouble: Trouble = CALM) -> None:
        """From now on these ordered pairs have that trouble."""
        for pair in pairs:
            if trouble == CALM:
                self._troubles.pop(pair, None)
            else:
                self._troubles[pair] = trouble

    def mend(self) -> None:
        """All ways are usual again."""
        self._troubles.clear()

    def close(self) -> None:
        for relay in self._relays.values():
            relay.close()

    def fate(self, sender: str, target: str) -> list[int]:
        """After which times (ns) a frame that comes in now goes out: none, one or two."""
        trouble = self.trouble(sender, target)
        if trouble is CALM:
            self.frames["passed"] += 1
            return [0]
        if trouble.cut or self._random.random() < trouble.lost:
            self.frames["cut off" if trouble.cut else "lost"] += 1
            return []
        doubled = self._random.random() < trouble.doubled
        self.frames["doubled" if doubled else "passed"] += 1
        draws = range(2 if doubled else 1)
        return [trouble.delay + int(self._random.random() * trouble.jitter) for _ in draws]


class _Relay:
    """The way of one ordered pair."""

    def __init__(
        self,
        links: LinkStandIns,
        loop: Loop,
        sender: str,
        target: str,
        address: Address,
        goes_to: Address,
    ) -> None:
        self._links, self._loop = links, loop
        self._sender, self._target, self._goes_to = sender, target, goes_to
        self._listener = sockets.listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self._tasks: dict[Task, None] = {}
        self._accepting = loop.spawn(self._accept())

    def close(self) -> None:
        self._accepting.cancel()
        self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            while (sock := sockets.accept(self._listener)) is not None:
                self._spawn(self._join(sock))

    def _spawn(self, coroutine: Coroutine[None]) -> None:
        tasks = self._tasks

        def watched() -> Coroutine[None]:
            task = self._loop.current
            assert task is not None
            tasks[task] = None
            try:
                yield from coroutine
            finally:
                tasks.pop(task, None)

        self._loop.spawn(watched())

    def _join(self, near: socket.socket) -> Coroutine[None]:
        """One connection: opens its other half and lets both directions pass until one side ends.

        A way that is cut lets no end of a connection pass either: neither side learns of it before it is
        mended."""
        far: socket.socket | None = None
        back: Task | None = None
        try:
            far = (yield from connect(self._goes_to, self._loop.now() + _CONNECT_LIMIT)).sock
            there, here = _Out(self._loop, far), _Out(self._loop, near)
            this = self._loop.current
            assert this is not None
            back = self._loop.spawn(self._pass(far, here, self._target, self._sender, this.wake))
            yield from self._pass(near, there, self._sender, self._target, lambda: None, back)
        except ConnectionEndedError:
            yield from self._until_open(self._target, self._sender)
        finally:
            if back is not None:
                back.cancel()
            if far is not None:
                far.close()
            near.close()

    def _until_open(self, sender: str, target: str) -> Coroutine[None]:
        while self._links.trouble(sender, target).cut:
            yield from sleep(self._loop.now() + _LOOKS_FOR_MEND)

    def _pass(
        self,
        source: socket.socket,
        out: "_Out",
        sender: str,
        target: str,
        ended: Callable[[], None],
        other: Task | None = None,
    ) -> Coroutine[None]:
        """Lets one direction pass until its source ends, or (``other``) the other direction has ended."""
        splitter = FrameSplitter()
        while not (other is not None and other.done):
            if out.held > _HELD_BYTES:
                yield from sleep(self._loop.now() + _AGAIN)
                continue
            yield Wait(source.fileno(), READ, self._loop.now() + 3600 * SECOND)
            try:
                data = source.recv(_CHUNK)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                break
            if not data:
                break
            self._links.bytes[sender, target] += len(data)
            try:
                frames = splitter.feed(data)
            except FrameError:
                self._links.frames["foreign"] += 1
                break
            for frame in frames:
                whole = len(frame).to_bytes(_LENGTH, "big") + frame
                for after in self._links.fate(sender, target):
                    out.put(whole, after)
        yield from self._until_open(sender, target)
        self._loop.call_soon(ended)


class _Out:
    """Writes frames to a socket, each at its time, as fast as the reader takes them."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self._loop, self._sock = loop, sock
        self._waiting: deque[memoryview] = deque()
        self._planned = False
        self._gone = False  # the reader
        self.held = 0  # bytes

    def put(self, data: bytes, after: int) -> None:
        if self._gone:
            return
        self.held += len(data)
        if after:
            self._loop.call_at(self._loop.now() + after, self._due, data)
        else:
            self._due(data)

    def _due(self, data: bytes) -> None:
        self._waiting.append(memoryview(data))
        if not self._planned:
            self._flush()

    def _flush(self) -> None:
        self._planned = False
        while self._waiting:
            try:
                sent = self._sock.send(self._waiting[0])
            except (BlockingIOError, InterruptedError):
                self._planned = True
                self._loop.call_at(self._loop.now() + _AGAIN, self._flush)
                return
            except OSError:  # the reader has gone: its end is told by the other direction
                self._gone = True
                self._waiting.clear()
                return
            self.held -= sent
            rest = self._waiting.popleft()[sent:]
            if rest:
                self._waiting.appendleft(rest)
