"""Keeps the bans of one dispatcher in a file, so that they outlast its process.

The file is shared by an old process and the one that replaces it: each writes it whole, by rename, under a
lock, and looks whether the other one has. A change that can't be written is kept and joined with all that is
read until it can be. A file that is torn, foreign or of a later version is passed over
with a line in the log and replaced by the next change.
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
_SIZE_LIMIT = 8 << 20


class BanFile:
    """The bans of the dispatcher ``name`` in ``folder``; without one they last as long as the process."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self._path = None if folder is None else folder / f"ironbarrow-bans-{crc32(name.encode()):08x}.json"
        self._seen: tuple[int, int, int] | None = None  # of the file as it was read last
        self._unread = False  # the last try to read it failed
        self._known: frozenset[str] = frozenset()
        self._unwritten: dict[str, bool] = {}  # workers and whether they are banned: not in the file yet
        if folder is None:
            log.warning("bans do not outlast this process: TMPDIR is not set")

    def changed(self) -> bool:
        """Whether the file is another one than when it was read last."""
        try:
            return self._path is not None and (self._unread or self._mark() != self._seen)
        except OSError:
            return True

    def _mark(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            found = os.stat(self._path)
        except FileNotFoundError:
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns

    def read(self) -> frozenset[str]:
        """The bans; the last ones known where the file can't be read, which is then tried again."""
        if self._path is None:
            return self._known
        try:
            self._load()
        except OSError as error:
            self._unread = True
            log.error("file of bans not read yet", file=str(self._path), error=str(error))
        return self._known

    def _load(self) -> None:
        """Takes in the file. Danger: an OSError may be a moment's; taken for an empty file, the next change
        would replace it without the bans that it holds."""
        assert self._path is not None
        self._seen = self._mark()
        if self._seen is not None:
            try:
                self._known = self._joined(_parsed(self._path))
            except ValueError as error:
                log.error("file of bans passed over", file=str(self._path), error=str(error))
        self._unread = False

    def change(self, worker: str, banned: bool) -> frozenset[str]:
        """Bans a worker or takes that back, on top of what the file holds now, and writes it; the bans after
        it. What can't be written holds in this process, ``is_stored`` tells of it, and ``settle`` tries
        again."""
        self._unwritten[worker] = banned
        self._known = self._joined(self._known)
        if not self.settle():
            log.error("bans do not outlast this process yet", file=str(self._path))
        return self._known

    @property
    def is_stored(self) -> bool:
        """Whether nothing waits to be written."""
        return not self._unwritten

    def settle(self) -> bool:
        """Writes what is not written yet; whether nothing is left of it.

        Danger: with the file locked by the other process, a change that is only known here would be lost as
        soon as that one's is read.
        """
        if self._path is None:
            self._unwritten.clear()
        if not self._unwritten:
            return True
        assert self._path is not None
        try:
            with open(self._path.with_suffix(".lock"), "w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self._load()
                self._write(self._known)
        except OSError:
            return False
        self._unwritten.clear()
        return True

    def _joined(self, banned: frozenset[str]) -> frozenset[str]:
        """Bans with the changes that are not written yet."""
        added = {worker for worker, is_banned in self._unwritten.items() if is_banned}
        return (banned - self._unwritten.keys()) | added

    def _write(self, banned: frozenset[str]) -> None:
        assert self._path is not None
        names = sorted(banned)
        text = json.dumps({"version": VERSION, "banned": names, "crc": _sum(names)})
        draft = self._path.with_suffix(f".{os.getpid()}")
        try:
            _write_whole(draft, text.encode())
            os.replace(draft, self._path)
        except OSError:
            with suppress(OSError):
                os.unlink(draft)
            raise
        self._seen = self._mark()


def _write_whole(path: Path, data: bytes) -> None:
    """Writes a file and has it on the disk; an OSError if any of that fails."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        while data:
            data = data[os.write(file, data) :]
        os.fsync(file)
    finally:
        os.close(file)


def _sum(names: list[str]) -> int:
    return crc32("\n".join(names).encode("utf-8", "surrogatepass"))


def _parsed(path: Path) -> frozenset[str]:
    with open(path, encoding="utf-8") as file:
        text = file.read(_SIZE_LIMIT + 1)
    found = json.loads(text) if len(text) <= _SIZE_LIMIT else None
    if not isinstance(found, dict) or found.get("version") != VERSION:
        raise ValueError(f"expected an object of version {VERSION}")
    names = found.get("banned")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValueError("expected names in `banned`")
    if found.get("crc") != _sum(names):
        raise ValueError("`crc` does not fit the names")
    return frozenset(names)
