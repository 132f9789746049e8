"""The discovery service's agents of all dispatchers: one list of workers, told to each region with the
addresses that count there. Each agent tells of a change after a time of its own, as a platform's agents do
that are not in step; told at once, all dispatchers of a process would be busy in the same instant, and wait
for each other.
"""

import json
import time
from dataclasses import replace
from urllib.parse import parse_qs

from ironbarrow.lab.live.http import Server, next_message
from ironbarrow.lab.model.discovery import Entry, ListUpdate
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
        self.regions: list[RegionLines] = []

    def whole(self) -> ListUpdate:
        """All of it."""
        return ListUpdate(self.version, True, tuple(self.entries.values()))

    def change(self, *entries: Entry) -> int:
        """Takes in new lines and tells them; ``removed`` ones leave the list. The new version."""
        self.version += 1
        for entry in entries:
            if entry.status == "removed":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        self.changed_at[self.version] = time.monotonic_ns()
        news = ListUpdate(self.version, False, entries)
        for region in self.regions:
            region.hear(news)
        return self.version

    def mark(self, names: list[str], status: str) -> int:
        """Another status for some lines, in one version."""
        return self.change(*(replace(self.entries[name], status=status) for name in names))


class RegionLines:
    """The list as a region's dispatchers are told it: each change is written out once for all of them."""

    def __init__(self, workers: WorkerList, addresses: dict[str, str]) -> None:
        self._workers, self._addresses = workers, addresses
        self.lines: list[bytes] = []
        self.agents: list[DispatcherAgent] = []
        workers.regions.append(self)

    @property
    def version(self) -> int:
        """The newest one."""
        return self._workers.version

    def known(self) -> dict[str, object]:
        """The list in the discovery service's form."""
        return list_object(self._workers.whole(), self._addresses)

    def whole_line(self) -> bytes:
        """The same as one line."""
        return _line(self.known())

    def hear(self, news: ListUpdate) -> None:
        """A change."""
        self.lines.append(_line(list_object(news, self._addresses)))
        for agent in self.agents:
            agent.hear(len(self.lines))


def _line(said: dict[str, object]) -> bytes:
    return json.dumps(said).encode() + b"\n"


class DispatcherAgent:
    """One dispatcher's agent. ``delay``: ns from a change until it tells of it."""

    def __init__(self, loop: Loop, region: RegionLines, delay: int, traffic: dict[str, Traffic]) -> None:
        self._loop, self._region, self.delay, self._traffic = loop, region, delay, traffic
        self._heard = 0  # lines of the region that may be told
        self._watches: dict[Task, None] = {}
        listener = listen(("127.0.0.1", 0))
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        region.agents.append(self)

    def close(self) -> None:
        """Refuses from now on."""
        self._server.close()

    def move(self) -> Address:
        """A scale run reloads nothing: it stays where it is."""
        return self.address

    def known(self) -> dict[str, object]:
        """The list in the discovery service's form."""
        return self._region.known()

    def hear(self, count: int) -> None:
        """The region has so many lines now."""
        self._loop.call_at(self._loop.now() + self.delay, self._release, count)

    def _release(self, count: int) -> None:
        self._heard = count
        for task in list(self._watches):
            task.wake()

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
                headers = [("Content-Type", "application/json")]
                data = connection.response_bytes(200, headers, self._region.whole_line())
                yield from self._write(connection, "whole lists", data)
            if not connection.next_cycle():
                return

    def _watch(self, connection: Connection, since: int) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        lines = self._region.lines
        place = len(lines)
        first = b"" if since == self._region.version else self._region.whole_line()
        yield from self._write(connection, "heads", connection.chunked_head_bytes(200))
        self._watches[task] = None
        try:
            if first:
                yield from self._write(connection, "whole lists", connection.chunk_bytes(first))
            while True:
                while place < self._heard:
                    line = lines[place]
                    place += 1
                    yield from self._write(connection, "changes", connection.chunk_bytes(line))
                if not (yield from sleep(self._loop.now() + _EMPTY_EVERY)):
                    yield from self._write(connection, "signs of life", connection.chunk_bytes(b"\n"))
        finally:
            self._watches.pop(task, None)

    def _write(self, connection: Connection, kind: str, data: bytes) -> Coroutine[None]:
        self._traffic[kind].add(len(data))
        yield from connection.write(data, self._loop.now() + _WRITE)
