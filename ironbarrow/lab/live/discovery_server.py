"""The discovery service's agent on a dispatcher's machine: answers at once with what it has been sent."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs

from ironbarrow.lab.live.wire import Server, next_message
from ironbarrow.lab.model.discovery import Discovery, ListUpdate
from ironbarrow.lab.settings import list_object
from ironbarrow.runtime.loop import SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address, listen
from ironbarrow.transport.http import Connection

_PATH = "/api/targets"
_EMPTY_EVERY = 2 * SECOND
_WRITE = 5 * SECOND


class Agent:
    """One dispatcher's agent, at one address or two: a reload moves the dispatcher to the other."""

    def __init__(
        self,
        loop: Loop,
        discovery: Discovery,
        name: str,
        addresses: dict[str, str],
        told: Callable[[str, bool], None],
        address: Address,
    ) -> None:
        self._loop, self._addresses, self._told = loop, addresses, told
        self._host = address[0]
        self._known = discovery.full_list()
        self._news: list[ListUpdate] = []
        self._watches: dict[Task, None] = {}
        listener = listen(address)
        self.address: Address = listener.getsockname()[:2]
        self._server = Server(loop, listener, self._serve)
        discovery.subscribe(name, self._hear)

    def close(self) -> None:
        self._server.close()

    def move(self) -> Address:
        """Listens at another port from now on; the old connections go on for a while (1.5 s)."""
        old = self._server
        listener = listen((self._host, 0))
        self.address = listener.getsockname()[:2]
        self._server = Server(self._loop, listener, self._serve)
        self._loop.call_at(self._loop.now() + 3 * SECOND // 2, old.close)
        return self.address

    def known(self) -> dict[str, object]:
        """The list as it has it now, in the discovery service's form."""
        return list_object(self._known, self._addresses)

    def _hear(self, news: ListUpdate) -> None:
        if not news.is_full:
            kept = {e.name: e for e in self._known.entries}
            kept.update((e.name, e) for e in news.entries)
            self._known = ListUpdate(
                news.version, True, tuple(e for e in kept.values() if e.status != "removed")
            )
        elif news.version >= self._known.version:
            self._known = news
        self._news.append(news)
        for task in list(self._watches):
            task.wake()

    def _line(self, news: ListUpdate) -> bytes:
        for entry in news.entries:
            self._told(entry.name, entry.status == "up")
        return json.dumps(list_object(news, self._addresses)).encode() + b"\n"

    def _serve(self, connection: Connection) -> Coroutine[None]:
        while True:
            _, request = yield from next_message(self._loop, connection, 60 * SECOND, 5 * SECOND)
            path, _, query = request.target.partition("?")
            if path != _PATH or request.method != "GET":
                yield from connection.write(connection.response_bytes(404), self._loop.now() + _WRITE)
            elif parse_qs(query).get("follow") == ["1"]:
                since = parse_qs(query).get("since", ["0"])[0]
                yield from self._watch(connection, int(since) if since.isdigit() else 0)
                return
            else:
                body = self._line(self._known)
                data = connection.response_bytes(200, [("Content-Type", "application/json")], body)
                yield from connection.write(data, self._loop.now() + _WRITE)
            if not connection.next_cycle():
                return

    def _watch(self, connection: Connection, since: int) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        yield from connection.write(connection.chunked_head_bytes(200), self._loop.now() + _WRITE)
        place = len(self._news)
        if since != self._known.version:
            line = self._line(self._known)
            yield from connection.write(connection.chunk_bytes(line), self._loop.now() + _WRITE)
        self._watches[task] = None
        try:
            while True:
                while place < len(self._news):
                    line = self._line(self._news[place])
                    place += 1
                    yield from connection.write(connection.chunk_bytes(line), self._loop.now() + _WRITE)
                if not (yield from sleep(self._loop.now() + _EMPTY_EVERY)):
                    yield from connection.write(connection.chunk_bytes(b"\n"), self._loop.now() + _WRITE)
        finally:
            self._watches.pop(task, None)
