"""Messages between the processes of one dispatcher, through Unix sockets in a folder that they share.

Each has a datagram socket there, named after the dispatcher and its process id. A message carries at most one
descriptor. What a full queue does not take waits here, up to a bound.
"""

import array
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path
from zlib import crc32

import structlog

from ironbarrow.runtime.errors import ErrorOrigin, origin_of
from ironbarrow.runtime.loop import MS, READ, SECOND, Coroutine, Loop, Wait, sleep

log = structlog.get_logger()

_SIZE_MOST = 160 * 1024  # bytes of a message: a body of 64 KiB in base64 and its fields
_WAITING_MOST = 256  # messages that a full queue did not take
_AGAIN = 5 * MS
_READS_AT_ONCE = 32


class Channel:
    """The own socket, and sends to others. An OSError if the folder can't hold a socket."""

    def __init__(
        self, loop: Loop, folder: Path, name: str, received: Callable[[str, bytes, list[int]], None]
    ) -> None:
        self._loop = loop
        self._received = received
        self._stem = str(folder / f"ironbarrow-{crc32(name.encode()):08x}.")
        self._folder = folder
        self.path = f"{self._stem}{os.getpid()}.{id(self):x}"
        self._waiting: deque[tuple[str, bytes]] = deque()
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind(self.path)
        except OSError:
            self._sock.close()
            raise
        os.chmod(self.path, 0o600)
        loop.spawn(self._read())

    def others(self) -> list[str]:
        """The sockets of this dispatcher's other processes; one that has died may still be among them."""
        stem = Path(self._stem).name
        found = (str(path) for path in self._folder.glob(f"{stem}[0-9]*") if path.is_socket())
        return sorted(path for path in found if path != self.path)

    def send(self, to: str, data: bytes, fd: int | None = None) -> bool:
        """Whether the other process has it, or will: one that goes with a descriptor is not kept waiting."""
        if fd is None and self._waiting:
            return self._keep(to, data)
        try:
            ancillary = [] if fd is None else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))]
            self._sock.sendmsg([data], ancillary, 0, to)
        except (ConnectionRefusedError, FileNotFoundError):
            self._forget(to)
            return False
        except OSError as error:
            if origin_of(error) is ErrorOrigin.LOCAL:
                return fd is None and self._keep(to, data)
            log.warning("message to the other process failed", error=str(error))
            return False
        return True

    def _forget(self, path: str) -> None:
        try:
            os.unlink(path)  # danger: the next process would take a dead one for its neighbour
        except OSError:
            return

    def _keep(self, to: str, data: bytes) -> bool:
        if len(self._waiting) >= _WAITING_MOST:
            return False
        if not self._waiting:
            self._loop.call_at(self._loop.now() + _AGAIN, self._flush)
        self._waiting.append((to, data))
        return True

    def _flush(self) -> None:
        while self._waiting:
            to, data = self._waiting[0]
            try:
                self._sock.sendto(data, to)
            except (ConnectionRefusedError, FileNotFoundError):
                self._forget(to)
            except OSError as error:
                if origin_of(error) is ErrorOrigin.LOCAL:
                    self._loop.call_at(self._loop.now() + _AGAIN, self._flush)
                    return
                log.warning("message to the other process failed", error=str(error))
            self._waiting.popleft()

    def _read(self) -> Coroutine[None]:
        while True:
            yield Wait(self._sock.fileno(), READ, self._loop.now() + 3600 * SECOND)
            if not self.take_in():
                yield from sleep(self._loop.now() + _AGAIN)

    def take_in(self) -> bool:
        """Takes in what has come, some of it if it is much; False where a read has failed."""
        for _ in range(_READS_AT_ONCE):
            try:
                data, fds, _, sender = socket.recv_fds(self._sock, _SIZE_MOST, 4)
            except BlockingIOError:
                return True
            except OSError as error:
                # danger: ended by one failed read, it would be deaf to all that still comes
                log.warning("message of the other process not read", error=str(error))
                return False
            self._received(str(sender), data, list(fds))
        return True

    def close(self) -> None:
        self._sock.close()
        self._forget(self.path)
