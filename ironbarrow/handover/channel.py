"""Messages between the processes of one dispatcher, through Unix sockets in a shared folder.

Each process has a datagram socket there, named after the dispatcher and the process id. A message carries at
most one descriptor. Messages without one are queued here, up to a limit, if they can't be sent at once.
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

_MAX_MESSAGE_BYTES = 160 * 1024  # a body of 64 KiB in base64, and the other fields
_MAX_QUEUED_MESSAGES = 256  # that could not be sent at once
_RETRY_DELAY = 5 * MS
_READ_BATCH = 32


class Channel:
    """This process's socket. Raises an OSError if it can't be created in the folder.

    ``on_message`` gets the sender's path, the data and the received descriptors, which it has to close."""

    def __init__(
        self, loop: Loop, folder: Path, name: str, on_message: Callable[[str, bytes, list[int]], None]
    ) -> None:
        self._loop = loop
        self._on_message = on_message
        self._path_prefix = str(folder / f"ironbarrow-{crc32(name.encode()):08x}.")
        self._folder = folder
        self.path = f"{self._path_prefix}{os.getpid()}.{id(self):x}"
        self._queue: deque[tuple[str, bytes]] = deque()
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind(self.path)
        except OSError:
            self._sock.close()
            raise
        try:
            os.chmod(self.path, 0o600)
            self.predecessors = self.others()  # processes that open their channel later find this one
        except OSError:
            self.close()
            raise
        loop.spawn(self._read())

    def others(self) -> list[str]:
        """Returns the socket paths of this dispatcher's other processes; some may have ended.

        Raises an OSError if the folder can't be read."""
        # not Path.glob, which takes a folder that must not be read for an empty one
        paths = (self._folder / name for name in os.listdir(self._folder))
        return sorted(
            str(path)
            for path in paths
            if str(path).startswith(self._path_prefix) and str(path) != self.path and path.is_socket()
        )

    @staticmethod
    def may_run(path: str) -> bool:
        """Whether the process with the socket at ``path`` may run, also if it is stopped or busy.

        False only if the system says that no process has this socket open."""
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
                sock.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            return False
        except OSError:
            return True  # that can't be told now, for example for lack of a descriptor
        return True

    def send(self, to: str, data: bytes, fd: int | None = None) -> bool:
        """Sends a message or queues it; False if neither is possible.

        A message with a descriptor is never queued."""
        if fd is None and self._queue:
            return self._enqueue(to, data)
        try:
            ancillary = [] if fd is None else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))]
            self._sock.sendmsg([data], ancillary, 0, to)
        except (ConnectionRefusedError, FileNotFoundError):
            self._remove_socket(to)
            return False
        except OSError as error:
            if origin_of(error) is ErrorOrigin.LOCAL:
                return fd is None and self._enqueue(to, data)
            log.warning("message to the other process could not be sent", error=str(error))
            return False
        return True

    def _remove_socket(self, path: str) -> None:
        try:
            os.unlink(path)  # otherwise the dead process would be taken for a running one
        except OSError:
            return

    def _enqueue(self, to: str, data: bytes) -> bool:
        if len(self._queue) >= _MAX_QUEUED_MESSAGES:
            return False
        if not self._queue:
            self._loop.call_at(self._loop.now() + _RETRY_DELAY, self._flush)
        self._queue.append((to, data))
        return True

    def _flush(self) -> None:
        while self._queue:
            to, data = self._queue[0]
            try:
                self._sock.sendto(data, to)
            except (ConnectionRefusedError, FileNotFoundError):
                self._remove_socket(to)
            except OSError as error:
                if origin_of(error) is ErrorOrigin.LOCAL:
                    self._loop.call_at(self._loop.now() + _RETRY_DELAY, self._flush)
                    return
                log.warning("message to the other process could not be sent", error=str(error))
            self._queue.popleft()

    def _read(self) -> Coroutine[None]:
        while True:
            yield Wait(self._sock.fileno(), READ, self._loop.now() + 3600 * SECOND)
            if not self.receive():
                yield from sleep(self._loop.now() + _RETRY_DELAY)

    def receive(self, limit: int = _READ_BATCH) -> bool:
        """Handles the messages that have arrived, ``limit`` at most; False if a read failed."""
        for _ in range(limit):
            try:
                data, fds, _, sender = socket.recv_fds(self._sock, _MAX_MESSAGE_BYTES, 4)
            except BlockingIOError:
                return True
            except OSError as error:
                # not raised: that would end the task, and later messages would never be read
                log.warning("message of the other process could not be read", error=str(error))
                return False
            self._on_message(str(sender), data, list(fds))
        return True

    def close(self) -> None:
        self._sock.close()
        self._remove_socket(self.path)
