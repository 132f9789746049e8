"""Discovery agents of all dispatchers: one worker list, published to each region with the addresses valid
there.

Each agent publishes a change after a delay of its own, as independent agents of a platform do. If all
published at once, all dispatchers of a process would have work at the same instant and wait for each other.
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
_KEEPALIVE_PERIOD = 2 * SECOND
_WRITE_TIMEOUT = 5 * SECOND
_IDLE_TIMEOUT, _REQUEST_TIMEOUT = 60 * SECOND, 5 * SECOND


class WorkerList:
    """The authoritative worker list. ``changed_at``: the time of each version, ns on the machine's monotonic
    clock."""

    def __init__(self, entries: list[Entry]) -> None:
        self.version = 1
        self.entries = {entry.name: entry for entry in entries}
        self.changed_at: dict[int, int] = {}
        self.regions: list[RegionFeed] = []

    def snapshot(self) -> ListUpdate:
        """The full list."""
        return ListUpdate(self.version, True, tuple(self.entries.values()))

    def change(self, *entries: Entry) -> int:
        """Applies and publishes new entries; those with status ``removed`` leave the list. Returns the new
        version."""
        self.version += 1
        for entry in entries:
            if entry.status == "removed":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        self.changed_at[self.version] = time.monotonic_ns()
        update = ListUpdate(self.version, False, entries)
        for region in self.regions:
            region.publish(update)
        return self.version

    def set_status(self, names: list[str], status: str) -> int:
        """Changes the status of some workers in one version; returns that."""
        return self.change(*(replace(self.entries[name], status=status) for name in names))


class RegionFeed:
    """The list as published to a region's dispatchers; each change is encoded once for all of them."""

    def __init__(self, workers: WorkerList, addresses: dict[str, str]) -> None:
        self._workers, self._addresses = workers, addresses
        self.lines: list[bytes] = []
        self.agents: list[DispatcherAgent] = []
        workers.regions.append(self)

    @property
    def version(self) -> int:
        """The newest version."""
        return self._workers.version

    def known(self) -> dict[str, object]:
        """The list in the discovery service's form."""
        return list_object(self._workers.snapshot(), self._addresses)

    def snapshot_line(self) -> bytes:
        """The full list as one JSON line."""
        return _line(self.known())

    def publish(self, update: ListUpdate) -> None:
        """Encodes a change and notifies the agents."""
        self.lines.append(_line(list_object(update, self._addresses)))
        for agent in self.agents:
            agent.lines_available(len(self.lines))


def _line(list_value: dict[str, object]) -> bytes:
    return json.dumps(list_value).encode() + b"\n"


class DispatcherAgent:
    """One dispatcher's discovery agent. ``delay``: ns from a change until it is published."""

    def __init__(self, loop: Loop, region: RegionFeed, delay: int, traffic: dict[str, Traffic]) -> None:
        self._loop, self._region, self.delay, self._traffic = loop, region, delay, traffic
        self._released = 0  # number of the region's lines that may be sent
        self._watchers: dict[Task, None] = {}
        listener = listen(("127.0.0.1", 0))
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        region.agents.append(self)

    def close(self) -> None:
        """Closes the server."""
        self._server.close()

    def move(self) -> Address:
        """Returns the address unchanged: a scale run does not move its agents."""
        return self.address

    def known(self) -> dict[str, object]:
        """The list in the discovery service's form."""
        return self._region.known()

    def lines_available(self, count: int) -> None:
        """Releases the region's first ``count`` lines after the delay."""
        self._loop.call_at(self._loop.now() + self.delay, self._release, count)

    def _release(self, count: int) -> None:
        self._released = count
        for task in list(self._watchers):
            task.wake()

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            _, request = yield from next_message(self._loop, connection, _IDLE_TIMEOUT, _REQUEST_TIMEOUT)
            path, _, query = request.target.partition("?")
            if path != _PATH or request.method != "GET":
                yield from self._write(connection, "refused", connection.response_bytes(404))
            elif parse_qs(query).get("follow") == ["1"]:
                since = parse_qs(query).get("since", ["0"])[0]
                yield from self._watch(connection, int(since) if since.isdigit() else 0)
                return
            else:
                headers = [("Content-Type", "application/json")]
                data = connection.response_bytes(200, headers, self._region.snapshot_line())
                yield from self._write(connection, "whole lists", data)
            if not connection.next_cycle():
                return

    def _watch(self, connection: Connection, since: int) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        lines = self._region.lines
        position = len(lines)
        first = b"" if since == self._region.version else self._region.snapshot_line()
        yield from self._write(connection, "heads", connection.chunked_head_bytes(200))
        self._watchers[task] = None
        try:
            if first:
                yield from self._write(connection, "whole lists", connection.chunk_bytes(first))
            while True:
                while position < self._released:
                    line = lines[position]
                    position += 1
                    yield from self._write(connection, "changes", connection.chunk_bytes(line))
                if not (yield from sleep(self._loop.now() + _KEEPALIVE_PERIOD)):
                    yield from self._write(connection, "signs of life", connection.chunk_bytes(b"\n"))
        finally:
            self._watchers.pop(task, None)

    def _write(self, connection: Connection, kind: str, data: bytes) -> Coroutine[None]:
        self._traffic[kind].add(len(data))
        yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
