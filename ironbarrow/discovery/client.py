"""The discovery service's list of workers: what is known at the start, then a watch that tells the changes.

A discovery service that pushes is followed from the start and after each loss. One that has to be asked is
one service for the whole fleet: there the decisions say when (``ask``), and hear of each call that failed.
"""

import json
import math
import re
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import h11
import structlog

from heathway import api
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address, parse_address, stream_socket
from ironbarrow.transport.http import Connection, connect

log = structlog.get_logger()

PATH = "/api/targets"
# danger: a change counts as told 6 s after the discovery service had it, also where the call that should have
# brought it hung, or the watch fell silent: a limit, a pause and one more call have to fit in there
_SILENCE_LIMIT = 2_750 * MS  # an empty line is due every 2 s; silent for longer, a watch is broken
# danger: a discovery service that pushes is on the own machine and answers at once, and what it has counts as
# told at once, with a second's grace; a call that it left unanswered while it was down must not hold up the
# next one
_PUSHED_ANSWER_LIMIT = 700 * MS  # from connecting to the answer's head
_PATIENT_AFTER = 30 * SECOND  # without any answer; danger: on a machine that is slow there would never be one
_ANSWER_LIMIT = 2_400 * MS  # likewise; the service that a fleet asks refuses what has waited for 2 s
_PAUSE = 120 * MS  # before one more call for what is pushed, in the mean
_SETTLED = 6 * SECOND  # after this two discovery services of one fleet say the same
_SIZE_LIMIT = 4 << 20
_GAP_LIMIT = 16 * 1024  # bytes between two braces

# up to the next brace outside of a string
_TO_BRACE = re.compile(rb'(?:[^"{}]++|"(?:[^"\\]++|\\.)*+")*+([{}])', re.DOTALL)

_STATES = {
    "up": api.WorkerState.UP,
    "draining": api.WorkerState.DRAINING,
    "removed": api.WorkerState.GONE,
}  # whatever else a worker may be said to be, it is not said to want new work


@dataclass(slots=True, eq=False)
class _Source:
    """One address of the discovery service, and how far its news have come."""

    address: Address
    version: int | None = None  # None: the whole list is needed first
    answered_at: int = 0  # when it last began to answer
    lost: str = ""  # why, since then
    task: Task | None = None


class _RefusedError(Exception):
    """The discovery service did not answer a call. What it has told stays whole: only later changes are
    missing.

    Danger: a whole list costs it many times what the changes do, and a fleet that asks for whole lists after
    each refusal keeps it too busy to answer anybody.
    """


class _Objects:
    """JSON objects out of a stream, each over any number of lines and cut into any pieces."""

    def __init__(self) -> None:
        self._text = bytearray()  # from the start of the object that is not whole yet
        self._scanned = self._depth = 0

    @property
    def unfinished(self) -> bool:
        return self._depth > 0

    def feed(self, data: bytes) -> list[bytes]:
        """The objects that are whole with these bytes; a ValueError where none can come of them."""
        text = self._text
        text += data
        found, start = [], 0
        while match := _TO_BRACE.match(text, self._scanned):
            brace, self._scanned = match[1], match.end()
            if brace == b"{" and self._depth:
                # danger: after an object that broke off, the next one would be taken for a part of it
                before = bytes(text[max(start, self._scanned - 65) : self._scanned - 1]).rstrip()
                if before and before[-1:] not in b"[,:":
                    raise ValueError("an object within another that broke off")
            self._depth += 1 if brace == b"{" else -1
            if self._depth < 0:
                raise ValueError("an object's end without its start")
            if self._depth == 0:
                found.append(bytes(text[start : self._scanned]))
                start = self._scanned
        # danger: what is kept is looked at again with each piece
        del text[:start]
        self._scanned -= start
        if not self._depth:
            if text.strip():
                raise ValueError("not an object")
            text.clear()
            self._scanned = 0
        elif len(text) > _SIZE_LIMIT:
            raise ConnectionEndedError(Ending.TOO_LARGE)
        elif len(text) - self._scanned > _GAP_LIMIT:
            raise ValueError("no object")
        return found


@dataclass(slots=True, eq=False)
class _Withdrawal:
    """A discovery service's word that a worker wants nothing new."""

    source: _Source
    at: int
    started_at: int  # of the worker's process that it is about
    held_back: api.WorkerEntry | None = None  # what another discovery service has said meanwhile


class Discovery:
    """Keeps the addresses of workers and passes each change on at once."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        listed: Callable[[api.WorkerList], None],
        *,
        on_request: bool = False,
        seed: int = 0,
    ) -> None:
        """``on_request``: the discovery service is called only when ``ask`` says so, once each time, and a
        call that fails or a watch that ends is passed on as a list of the kind LOST."""
        self._loop = loop
        self._listed = listed
        self._on_request = on_request
        self._random = Random(seed)
        self._source = _Source(address, answered_at=loop.now())
        self._left: _Source | None = None  # still listened to after a move
        self._withdrawals: dict[str, _Withdrawal] = {}  # of late
        self._addresses: dict[str, Address] = {}
        self._spare: socket.socket | None = None
        self._keep_spare()

    def address_of(self, worker: str) -> Address | None:
        return self._addresses.get(worker)

    def start(self, known: dict[str, Any]) -> None:
        """Danger: the discovery service may be down; with what was known the program can serve all the
        same."""
        if known:
            self._take(self._source, known, api.ListKind.LAST_KNOWN)
        if not self._on_request:
            self.ask()

    def ask(self, active: bool = True) -> None:
        """Follows the discovery service from now on, where it is not followed or called already; or stops
        that."""
        source = self._source
        if not active:
            if source.task is not None:
                self._loop.call_soon(source.task.cancel)
        elif source.task is None or source.task.done:
            source.task = self._loop.spawn(self._follow(source))

    def move(self, address: Address) -> None:
        """Follows the discovery service at another address from now on, and asks it for the whole list.

        Danger: the new one may be long in coming. Until it has told something the list stays, and
        the old one is listened to for as long as its connection lasts.
        """
        left, source = self._left, self._source
        if address == source.address:
            return
        if left is not None:
            # danger: what has told nothing yet must not, left once more, replace the list of the one that has
            self._end(source)
        if left is not None and left.address == address:
            self._source, self._left = left, None
        else:
            self._source, self._left = _Source(address, answered_at=self._loop.now()), left or source
        if self._on_request:
            # danger: a whole fleet is told to move in one instant, and all would ask for whole lists at once
            self._listed(api.WorkerList(api.ListKind.LOST))
        else:
            self.ask()

    @staticmethod
    def _end(source: _Source) -> None:
        if source.task is not None:
            source.task.cancel()

    def _take(self, source: _Source, raw: Any, kind: api.ListKind | None = None) -> None:
        """One object of a source's; a ValueError says what is wrong with it."""
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            raise ValueError("no object with endpoints")
        if kind is None:
            kind = api.ListKind.FULL if raw.get("snapshot") else api.ListKind.CHANGES
        version = raw.get("index")
        # danger: what comes in a wrong order may be older than what was told
        back = False
        if type(version) is int and version >= 0:  # true is no number
            back = kind is api.ListKind.CHANGES and version < (source.version or 0)
            source.version = version
        if source is self._source and self._left is not None:
            self._end(self._left)
            self._left = None
        entries = []
        for item in raw["endpoints"]:
            try:
                entries.append(self._entry(item))
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                # one bad entry must not hide a drain among the others
                log.warning("discovery entry ignored", error=repr(error), entry=str(item)[:200])
        if kind is not api.ListKind.CHANGES:
            listed = {entry.worker for entry in entries}
            now = self._loop.now()
            for name in self._addresses.keys() - listed:
                del self._addresses[name]
                self._withdrawals[name] = _Withdrawal(source, now, now)
        if back:
            entries = [entry for entry in entries if entry.state is not api.WorkerState.UP]
        entries = self._strictest(source, entries)
        self._listed(api.WorkerList(kind, tuple(entries), source.version or 0))
        if back:
            raise ValueError(f"changes from an older version, {version}")

    def _strictest(self, source: _Source, entries: list[api.WorkerEntry]) -> list[api.WorkerEntry]:
        """Danger: of two discovery services, the new one may be behind what the old one has told. For a while
        a withdrawal holds against the word of another discovery service, unless that is about a later
        process."""
        now = self._loop.now()
        late = [name for name, w in self._withdrawals.items() if now >= w.at + _SETTLED and not w.held_back]
        for name in late:
            del self._withdrawals[name]
        kept = []
        for entry in entries:
            said = self._withdrawals.get(entry.worker)
            if entry.state is not api.WorkerState.UP:
                self._withdrawals[entry.worker] = _Withdrawal(source, now, entry.started_at)
            elif said is not None and said.source is not source and entry.started_at <= said.started_at:
                if said.held_back is None:
                    self._loop.call_at(said.at + _SETTLED, self._release, entry.worker, said)
                said.held_back = entry
                entry = replace(entry, state=api.WorkerState.DRAINING)
            else:
                self._withdrawals.pop(entry.worker, None)
            kept.append(entry)
        return kept

    def _release(self, name: str, said: _Withdrawal) -> None:
        if self._withdrawals.get(name) is said and said.held_back is not None:
            del self._withdrawals[name]
            version = self._source.version or 0
            self._listed(api.WorkerList(api.ListKind.CHANGES, (said.held_back,), version))

    def _entry(self, item: dict[str, Any]) -> api.WorkerEntry:
        name, status = item["name"], item["status"]
        if not isinstance(name, str) or not name:
            raise ValueError("no name")
        state = _STATES.get(status if isinstance(status, str) else "", api.WorkerState.DRAINING)
        try:
            if state is api.WorkerState.GONE:
                self._addresses.pop(name, None)
            else:
                self._addresses[name] = parse_address(item["address"])
            return self._described(name, item, state)
        except (KeyError, TypeError, ValueError, OverflowError):
            if state is api.WorkerState.UP:
                raise
            # danger: whatever else is wrong with its line, it is said to want nothing new
            return api.WorkerEntry(name, state=state)

    @staticmethod
    def _described(name: str, item: dict[str, Any], state: api.WorkerState) -> api.WorkerEntry:
        cell, weight = item.get("group"), float(item.get("weight", 1.0))
        if not math.isfinite(weight):
            raise ValueError("no weight")
        return api.WorkerEntry(
            name,
            str(item.get("zone") or ""),
            None if cell is None else int(cell),
            str(item.get("type") or ""),
            weight,
            int(item.get("since_ms") or 0) * MS,
            state,
        )

    # The wire

    def _follow(self, source: _Source) -> Coroutine[None]:
        while source is self._source:  # else: its last connection has ended after a move
            try:
                if source.version is None:
                    yield from self._fetch(source)
                yield from self._watch(source)
            except (ConnectionEndedError, _RefusedError) as error:
                why = error.ending.name if isinstance(error, ConnectionEndedError) else str(error)
                if why != source.lost:  # danger: while it is down there is a call several times a second
                    log.info("discovery service lost", why=why)
                source.lost = why
            except (ValueError, RecursionError) as error:
                source.version = None  # changes may be missing: the whole list is needed again
                log.warning("discovery answer not understood", error=str(error)[:200])
            except Exception as error:
                source.version = None
                log.error("news not taken", exc_info=error)
            if self._on_request:
                if source is self._source:
                    self._listed(api.WorkerList(api.ListKind.LOST))
                return
            # danger: in step with all others that lost it in the same instant, it would jam it once more
            yield from sleep(self._loop.now() + int(_PAUSE * self._random.uniform(0.5, 1.5)))

    def _keep_spare(self) -> None:
        """Danger: clients and calls may take every descriptor, and none of them is given up for this."""
        if self._spare is None:
            with suppress(OSError):
                self._spare = stream_socket(("0.0.0.0", 0))

    def _connect(self, address: Address, until: int) -> Coroutine[Connection]:
        try:
            return (yield from connect(address, until))
        except ConnectionEndedError as error:
            if error.ending is not Ending.FAILED_HERE or self._spare is None:
                raise
        self._spare.close()
        self._spare = None
        try:
            return (yield from connect(address, until))
        except BaseException:
            self._keep_spare()
            raise

    def _close(self, connection: Connection) -> None:
        connection.close()
        self._keep_spare()

    def _call(self, source: _Source, target: str) -> Coroutine[Connection]:
        """A connection on which the discovery service has begun to answer."""
        now = self._loop.now()
        patient = self._on_request or now > source.answered_at + _PATIENT_AFTER
        until = now + (_ANSWER_LIMIT if patient else _PUSHED_ANSWER_LIMIT)
        connection = yield from self._connect(source.address, until)
        try:
            host = "{}:{}".format(*source.address)
            yield from connection.write(connection.request_bytes("GET", target, [("Host", host)]), until)
            head = yield from connection.event(until)
            while isinstance(head, h11.InformationalResponse):
                head = yield from connection.event(until)
            if not isinstance(head, h11.Response):
                raise ConnectionEndedError(Ending.CLOSED)
            source.answered_at = self._loop.now()
            if head.status_code != 200:
                raise _RefusedError(f"{target} was answered with {head.status_code}")
        except BaseException:
            self._close(connection)
            raise
        source.lost = ""
        return connection

    @staticmethod
    def _body(connection: Connection, until: int) -> Coroutine[bytes | None]:
        """The next bytes of an answer; None at its end."""
        event = yield from connection.event(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionEndedError(Ending.CLOSED)

    def _fetch(self, source: _Source) -> Coroutine[None]:
        connection = yield from self._call(source, PATH)
        body, until = bytearray(), self._loop.now() + _SILENCE_LIMIT
        try:
            while (data := (yield from self._body(connection, until))) is not None:
                body += data
                if len(body) > _SIZE_LIMIT:
                    raise ConnectionEndedError(Ending.TOO_LARGE)
        finally:
            self._close(connection)
        self._take(source, json.loads(body))

    def _watch(self, source: _Source) -> Coroutine[None]:
        connection = yield from self._call(source, f"{PATH}?follow=1&since={source.version or 0}")
        objects, unfinished, until = _Objects(), False, self._loop.now() + _SILENCE_LIMIT
        try:
            while (data := (yield from self._body(connection, until))) is not None:
                found = objects.feed(data)
                for text in found:
                    self._take(source, json.loads(text))
                # danger: empty lines after an object that broke off are no signs of life
                if found or not objects.unfinished or not unfinished:
                    until = self._loop.now() + _SILENCE_LIMIT
                unfinished = objects.unfinished
            raise ConnectionEndedError(Ending.CLOSED)
        finally:
            self._close(connection)
