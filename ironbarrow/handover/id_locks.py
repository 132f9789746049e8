"""Locks on job ids between the processes of one dispatcher.

Each id is one byte of an empty file in the shared folder, at an offset that is a hash of the id. A process
locks the bytes of the ids that it uses or retains (``F_OFD_SETLK``, see fcntl(2)). The kernel searches all
locks of a file one by one, so the ids are spread over a few files. It decides between two processes that
claim an id at the same instant, and removes the locks of a process that ends. A process that is stopped or
busy keeps them. No message is needed, so none can be lost, late or outdated.

While a job passes from one process to the next, both hold a read lock on its id, so that there is no gap.
"""

import errno
import fcntl
import io
import os
import struct
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from zlib import crc32

import structlog

from ironbarrow.core.job_ids import IdState

log = structlog.get_logger()

_FLOCK = struct.Struct("hhqqi4x")  # struct flock: type, whence, start, length, pid
_FILES = 4  # a power of two, so that an offset has two bits less than the hash
_HELD_ELSEWHERE = frozenset((errno.EAGAIN, errno.EACCES))


class FileIdLocks:
    """This process's locks. Raises an OSError if the file can't be opened in the folder.

    ``others_may_run``: whether another process of the dispatcher may run; where none does, an id whose lock
    fails is free. ``receive_messages`` handles the messages of other processes that have arrived: a process
    that ends tells of its retained ids before its locks are removed."""

    def __init__(
        self,
        folder: Path,
        name: str,
        others_may_run: Callable[[], bool],
        receive_messages: Callable[[], None],
    ) -> None:
        prefix = f"ironbarrow-ids-{crc32(name.encode()):08x}"
        self._files: list[io.FileIO] = []
        try:
            for number in range(_FILES):
                path = folder / f"{prefix}-{number}.lock"
                self._files.append(io.FileIO(path, "a+", opener=_open_private))
        except OSError:
            self.close()
            raise
        self._others_may_run = others_may_run
        self._receive_messages = receive_messages

    def acquire(self, job_id: str) -> IdState:
        """As ``IdLocks.acquire``."""
        try:
            self._lock(fcntl.F_WRLCK, job_id)
        except OSError as error:
            if error.errno in _HELD_ELSEWHERE:
                return IdState.IN_USE
            log.warning("job id could not be locked", id=job_id, error=str(error))
            return IdState.UNKNOWN if self._others_may_run() else IdState.FREE
        self._receive_messages()
        return IdState.FREE

    def share(self, job_id: str) -> None:
        """As ``IdLocks.share``. A failure is logged: the id is then known to this process alone."""
        try:
            self._lock(fcntl.F_RDLCK, job_id)
        except OSError as error:
            log.error("job id could not be locked", id=job_id, error=str(error))

    def release(self, job_id: str) -> None:
        """As ``IdLocks.release``."""
        try:
            self._lock(fcntl.F_UNLCK, job_id)
        except OSError as error:
            log.error("job id could not be unlocked", id=job_id, error=str(error))

    def close(self) -> None:
        """Removes all locks of this process."""
        for file in self._files:
            file.close()

    def _lock(self, lock_type: int, job_id: str) -> None:
        digest = int.from_bytes(blake2b(job_id.encode(), digest_size=8).digest(), "big")
        offset, number = divmod(digest, _FILES)
        request = _FLOCK.pack(lock_type, os.SEEK_SET, offset, 1, 0)
        fcntl.fcntl(self._files[number], fcntl.F_OFD_SETLK, request)


def _open_private(path: str, flags: int) -> int:
    return os.open(path, flags, 0o600)
