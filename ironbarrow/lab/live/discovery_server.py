"""The discovery agent on a dispatcher's machine: serves the worker list over HTTP, as last received."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs

from ironbarrow.lab.live.http import Server, next_message
from ironbarrow.lab.model.discovery import Discovery, ListUpdate
from ironbarrow.lab.settings import list_object
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection

_TARGETS_PATH = "/api/targets"
_KEEP_ALIVE_INTERVAL = 2 * SECOND
_WRITE_TIMEOUT = 5 * SECOND


class DiscoveryAgent:
    """One dispatcher's discovery agent. ``move`` changes its address, as a reload of the dispatcher needs."""

    def __init__(
        self,
        loop: Loop,
        discovery: Discovery,
        name: str,
        addresses: dict[str, str],
        on_status: Callable[[str, bool], None],
        address: Address,
    ) -> None:
        """``addresses``: the workers' addresses by name. ``on_status``: called with a worker's name, and
        whether it is up, each time its entry is sent to the dispatcher."""
        self._loop, self._addresses, self._on_status = loop, addresses, on_status
        self._host = address[0]
        self._known = discovery.full_list()
        self._updates: list[ListUpdate] = []
        self._followers: dict[Task, None] = {}
        listener = listen(address)
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        discovery.subscribe(name, self._on_update)

    def close(self) -> None:
        self._server.close()

    def move(self) -> Address:
        """Listens at another port from now on; the old listener and its connections close after 1.5 s."""
        old = self._server
        listener = listen((self._host, 0))
        self.address = listener.getsockname()[:2]
        self._server = Server(self._loop, listener, self._serve)
        self._loop.call_at(self._loop.now() + 3 * SECOND // 2, old.close)
        return self.address

    def known(self) -> dict[str, object]:
        """The current list, in the discovery service's format, for the configuration of a process: the
        dispatcher counts as told of it."""
        for entry in self._known.entries:
            self._on_status(entry.name, entry.status == "up")
        return list_object(self._known, self._addresses)

    def _on_update(self, list_update: ListUpdate) -> None:
        if not list_update.is_full:
            merged = {e.name: e for e in self._known.entries}
            merged.update((e.name, e) for e in list_update.entries)
            self._known = ListUpdate(
                list_update.version, True, tuple(e for e in merged.values() if e.status != "removed")
            )
        elif list_update.version >= self._known.version:
            self._known = list_update
        self._updates.append(list_update)
        for task in list(self._followers):
            task.wake()

    def _line(self, list_update: ListUpdate) -> bytes:
        for entry in list_update.entries:
            self._on_status(entry.name, entry.status == "up")
        return json.dumps(list_object(list_update, self._addresses)).encode() + b"\n"

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            _, request = yield from next_message(self._loop, connection, 60 * SECOND, 5 * SECOND)
            path, _, query = request.target.partition("?")
            if path != _TARGETS_PATH or request.method != "GET":
                yield from connection.write(connection.response_bytes(404), self._loop.now() + _WRITE_TIMEOUT)
            elif parse_qs(query).get("follow") == ["1"]:
                since = parse_qs(query).get("since", ["0"])[0]
                yield from self._follow(connection, int(since) if since.isdigit() else 0)
                return
            else:
                body = self._line(self._known)
                data = connection.response_bytes(200, [("Content-Type", "application/json")], body)
                yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
            if not connection.next_cycle():
                return

    def _follow(self, connection: Connection, since: int) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        yield from connection.write(connection.chunked_head_bytes(200), self._loop.now() + _WRITE_TIMEOUT)
        position = len(self._updates)
        if since != self._known.version:
            line = self._line(self._known)
            yield from connection.write(connection.chunk_bytes(line), self._loop.now() + _WRITE_TIMEOUT)
        self._followers[task] = None
        try:
            while True:
                while position < len(self._updates):
                    line = self._line(self._updates[position])
                    position += 1
                    yield from connection.write(
                        connection.chunk_bytes(line), self._loop.now() + _WRITE_TIMEOUT
                    )
                if not (yield from sleep(self._loop.now() + _KEEP_ALIVE_INTERVAL)):
                    yield from connection.write(
                        connection.chunk_bytes(b"\n"), self._loop.now() + _WRITE_TIMEOUT
                    )
        finally:
            self._followers.pop(task, None)
