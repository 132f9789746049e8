"""Stores the bans of one dispatcher in a file, so that they outlast its process.

During a hand-over the old and the new process share the file. Each replaces it atomically (by a rename, under
a lock) and checks whether the other one has changed it. Changes that can't be written yet are kept in memory
and applied on top of what is read. A file that is corrupt or of another version is logged and ignored; the
next change replaces it.
"""

import fcntl
import json
import os
from contextlib import suppress
from pathlib import Path
from zlib import crc32

import structlog

log = structlog.get_logger()

VERSION = 1
_MAX_CHARACTERS = 8 << 20


class BanFile:
    """The file with the bans of the dispatcher ``name`` in ``folder``.

    Without a folder (None) bans last only as long as the process."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self._path = None if folder is None else folder / f"ironbarrow-bans-{crc32(name.encode()):08x}.json"
        self._stat_at_read: tuple[int, int, int] | None = None  # inode, size, mtime (ns)
        self._read_failed = False  # the last attempt to read the file
        self._banned: frozenset[str] = frozenset()  # as last read, with the pending changes
        self._pending: dict[str, bool] = {}  # changes that are not in the file yet: worker, banned or not
        if folder is None:
            log.warning("bans do not outlast this process: TMPDIR is not set")

    def has_changed(self) -> bool:
        """Whether the file has changed since it was last read, or could not be read."""
        try:
            return self._path is not None and (self._read_failed or self._stat() != self._stat_at_read)
        except OSError:
            return True

    def _stat(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            file_stat = os.stat(self._path)
        except FileNotFoundError:
            return None
        return file_stat.st_ino, file_stat.st_size, file_stat.st_mtime_ns

    def read(self) -> frozenset[str]:
        """Reads the file and returns the bans.

        If that fails, returns the last known ones, and ``has_changed`` stays true until a read succeeds."""
        if self._path is None:
            return self._banned
        try:
            self._load()
        except OSError as error:
            self._read_failed = True
            log.error(
                "ban file not readable; using the last known bans", file=str(self._path), error=str(error)
            )
        return self._banned

    def _load(self) -> None:
        """Reads the file; raises an OSError if that fails.

        The error may be temporary. If the file were taken for empty, the next change would overwrite
        the bans that it holds."""
        assert self._path is not None
        self._stat_at_read = self._stat()
        if self._stat_at_read is not None:
            try:
                self._banned = self._with_pending(_parse(self._path))
            except ValueError as error:
                log.error("invalid ban file ignored", file=str(self._path), error=str(error))
        self._read_failed = False

    def set_banned(self, worker: str, banned: bool) -> frozenset[str]:
        """Bans a worker or lifts its ban, writes the file and returns the resulting bans.

        A change that can't be written applies to this process; ``is_stored`` is then False, and ``flush``
        tries again."""
        self._pending[worker] = banned
        self._banned = self._with_pending(self._banned)
        if not self.flush():
            log.error("ban file not written; bans do not outlast this process yet", file=str(self._path))
        return self._banned

    @property
    def is_stored(self) -> bool:
        """Whether no change waits to be written."""
        return not self._pending

    def flush(self) -> bool:
        """Writes the pending changes; returns whether none is left.

        While the other process has the file locked, a change made here can't be written. It stays pending, as
        it would otherwise be lost when the other process's version is read.
        """
        if self._path is None:
            self._pending.clear()
        if not self._pending:
            return True
        assert self._path is not None
        try:
            with open(self._path.with_suffix(".lock"), "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self._load()
                self._write(self._banned)
        except OSError:
            return False
        self._pending.clear()
        return True

    def _with_pending(self, banned: frozenset[str]) -> frozenset[str]:
        """Returns ``banned`` with the pending changes applied."""
        added = {worker for worker, is_banned in self._pending.items() if is_banned}
        return (banned - self._pending.keys()) | added

    def _write(self, banned: frozenset[str]) -> None:
        assert self._path is not None
        names = sorted(banned)
        text = json.dumps({"version": VERSION, "banned": names, "crc": _checksum(names)})
        temporary = self._path.with_suffix(f".{os.getpid()}")
        try:
            _write_synced(temporary, text.encode())
            os.replace(temporary, self._path)
        except OSError:
            with suppress(OSError):
                os.unlink(temporary)
            raise
        self._stat_at_read = self._stat()


def _write_synced(path: Path, data: bytes) -> None:
    """Writes a file and syncs it to the disk. Raises an OSError if any of that fails."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        while data:
            data = data[os.write(file, data) :]
        os.fsync(file)
    finally:
        os.close(file)


def _checksum(names: list[str]) -> int:
    return crc32("\n".join(names).encode("utf-8", "surrogatepass"))


def _parse(path: Path) -> frozenset[str]:
    with open(path, encoding="utf-8") as file:
        text = file.read(_MAX_CHARACTERS + 1)
    content = json.loads(text) if len(text) <= _MAX_CHARACTERS else None
    if not isinstance(content, dict) or content.get("version") != VERSION:
        raise ValueError(f"expected an object of version {VERSION}")
    names = content.get("banned")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError("banned: expected a list of names")
    if content.get("crc") != _checksum(names):
        raise ValueError("crc: expected the checksum of the names")
    return frozenset(names)
