"""The directory's agents of all dispatchers at once: one list of workers, told to each region with the
addresses that count there. It tells of a change at once; how late a platform's own directory is, is no part
of what is measured."""

import json
import time
from collections import defaultdict
from dataclasses import replace
from urllib.parse import parse_qs

from ironbarrow.lab.live.wire import Server, next_message
from ironbarrow.lab.model.directory import Entry, News
from ironbarrow.lab.scale.messages import Traffic
from ironbarrow.lab.settings import list_object
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection

_PATH = "/api/targets"
_EMPTY_EVERY = 2 * SECOND
_WRITE = 5 * SECOND
_IDLE, _WHOLE = 60 * SECOND, 5 * SECOND


class WorkerList:
    """The one true list. ``changed_at``: when each version began, ns on the machine's monotonic clock."""

    def __init__(self, entries: list[Entry]) -> None:
        self.version = 1
        self.entries = {entry.name: entry for entry in entries}
        self.changed_at: dict[int, int] = {}
        self.agents: list[RegionAgent] = []

    def whole(self) -> News:
        """All of it."""
        return News(self.version, True, tuple(self.entries.values()))

    def change(self, *entries: Entry) -> int:
        """Takes in new lines and tells them; ``removed`` ones leave the list. The new version."""
        self.version += 1
        for entry in entries:
            if entry.status == "removed":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        self.changed_at[self.version] = time.monotonic_ns()
        news = News(self.version, False, entries)
        for agent in self.agents:
            agent.hear(news)
        return self.version

    def mark(self, names: list[str], status: str) -> int:
        """Another status for some lines, in one version."""
        return self.change(*(replace(self.entries[name], status=status) for name in names))


class RegionAgent:
    """What all dispatchers of a region ask."""

    def __init__(self, loop: Loop, workers: WorkerList, addresses: dict[str, str], address: Address) -> None:
        self._loop, self._workers, self._addresses = loop, workers, addresses
        self._lines: list[bytes] = []
        self._watches: dict[Task, None] = {}
        self.traffic: dict[str, Traffic] = defaultdict(Traffic)
        listener = listen(address)
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        workers.agents.append(self)

    @property
    def watches(self) -> int:
        """Dispatchers that follow it now."""
        return len(self._watches)

    def close(self) -> None:
        """Refuses from now on."""
        self._server.close()

    def move(self) -> Address:
        """A scale run reloads nothing: it stays where it is."""
        return self.address

    def known(self) -> dict[str, object]:
        """The list in the directory's form."""
        return list_object(self._workers.whole(), self._addresses)

    def hear(self, news: News) -> None:
        """A change: it is written once, for all that follow."""
        self._lines.append(self._line(list_object(news, self._addresses)))
        for task in list(self._watches):
            task.wake()

    @staticmethod
    def _line(said: dict[str, object]) -> bytes:
        return json.dumps(said).encode() + b"\n"

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            _, request = yield from next_message(self._loop, connection, _IDLE, _WHOLE)
            path, _, query = request.target.partition("?")
            if path != _PATH or request.method != "GET":
                yield from self._write(connection, "refused", connection.response_bytes(404))
            elif parse_qs(query).get("follow") == ["1"]:
                since = parse_qs(query).get("since", ["0"])[0]
                yield from self._watch(connection, int(since) if since.isdigit() else 0)
                return
            else:
                body = self._line(self.known())
                data = connection.response_bytes(200, [("Content-Type", "application/json")], body)
                yield from self._write(connection, "whole lists", data)
            if not connection.next_cycle():
                return

    def _watch(self, connection: Connection, since: int) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        place = len(self._lines)
        first = b"" if since == self._workers.version else self._line(self.known())
        yield from self._write(connection, "heads", connection.chunked_bytes(200))
        self._watches[task] = None
        try:
            if first:
                yield from self._write(connection, "whole lists", connection.chunk_bytes(first))
            while True:
                while place < len(self._lines):
                    line = self._lines[place]
                    place += 1
                    yield from self._write(connection, "changes", connection.chunk_bytes(line))
                if not (yield from sleep(self._loop.now() + _EMPTY_EVERY)):
                    yield from self._write(connection, "signs of life", connection.chunk_bytes(b"\n"))
        finally:
            self._watches.pop(task, None)

    def _write(self, connection: Connection, kind: str, data: bytes) -> Coroutine[None]:
        self.traffic[kind].add(len(data))
        yield from connection.write(data, self._loop.now() + _WRITE)

    def take_traffic(self) -> dict[str, Traffic]:
        """What was written since the last call, by kind."""
        taken = dict(self.traffic)
        self.traffic.clear()
        return taken
