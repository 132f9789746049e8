"""Client of the discovery service: fetches the list of workers, then watches it for changes.

A discovery service that pushes is watched from the start and again after each failure. One that has to be
asked serves the whole fleet: the decision logic says when to call it (``subscribe``) and learns of each
call that failed.
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

TARGETS_PATH = "/api/targets"
# A change counts as known to this dispatcher 6 s after the discovery service had it, even if the call that
# should have brought it hung or the watch fell silent: a time-out, a retry delay and a call fit into 6 s.
_SILENCE_TIMEOUT = 2_750 * MS  # a watch sends an empty line every 2 s at the latest
# A discovery service that pushes runs on the same machine and answers at once; its changes count as known at
# once, with a second's grace. A call that it left unanswered while it was down must not delay the next one.
_PUSH_RESPONSE_TIMEOUT = 700 * MS  # from connecting to the head of the response
# without any response for so long, the longer time-out is used: on a slow machine every call might time out
_SLOW_SERVICE_AFTER = 30 * SECOND
# likewise from connecting; the discovery service of a whole fleet rejects calls that have waited for 2 s
_RESPONSE_TIMEOUT = 2_400 * MS
_RETRY_DELAY = 120 * MS  # mean delay before the next call to a service that pushes
_CONVERGENCE_TIME = 6 * SECOND  # two discovery services of one fleet have the same list after this
_MAX_LIST_BYTES = 4 << 20
_MAX_BRACE_GAP = 16 * 1024  # bytes between two braces

# everything up to the next brace outside a string
_UP_TO_BRACE = re.compile(rb'(?:[^"{}]++|"(?:[^"\\]++|\\.)*+")*+([{}])', re.DOTALL)

_STATES = {
    "up": api.WorkerState.UP,
    "draining": api.WorkerState.DRAINING,
    "removed": api.WorkerState.GONE,
}  # a worker in any other state is treated as draining


@dataclass(slots=True, eq=False)
class _Source:
    """One address of the discovery service, and the version of the list received from it."""

    address: Address
    version: int | None = None  # None: the full list has to be fetched first
    answered_at: int = 0  # ns; when its last response began
    last_error: str = ""  # since then
    task: Task | None = None


class _ErrorStatusError(Exception):
    """The discovery service answered a call with an error status. The list received so far stays valid; only
    later changes are missing.

    A full list costs the service many times more than the changes. If a fleet fetched full lists after each
    error, the service would stay too busy to answer anyone.
    """


class _ObjectSplitter:
    """Splits a byte stream into JSON objects, which may span lines and arrive in pieces of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()  # from the start of the incomplete object
        self._scanned_to = self._depth = 0

    @property
    def incomplete(self) -> bool:
        """Whether the end of an object is still missing."""
        return self._depth > 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the objects that are complete with these bytes. ValueError if the input can't be JSON
        objects, ConnectionEndedError (TOO_LARGE) if an object is too large."""
        text = self._buffer
        text += data
        found, start = [], 0
        while match := _UP_TO_BRACE.match(text, self._scanned_to):
            brace, self._scanned_to = match[1], match.end()
            if brace == b"{" and self._depth:
                # after a truncated object, the next one would otherwise be parsed as a part of it
                before = bytes(text[max(start, self._scanned_to - 65) : self._scanned_to - 1]).rstrip()
                if before and before[-1:] not in b"[,:":
                    raise ValueError("an object inside a truncated one")
            self._depth += 1 if brace == b"{" else -1
            if self._depth < 0:
                raise ValueError("end of an object without its start")
            if self._depth == 0:
                found.append(bytes(text[start : self._scanned_to]))
                start = self._scanned_to
        # whatever stays in the buffer is scanned again with the next piece
        del text[:start]
        self._scanned_to -= start
        if not self._depth:
            if text.strip():
                raise ValueError("not a JSON object")
            text.clear()
            self._scanned_to = 0
        elif len(text) > _MAX_LIST_BYTES:
            raise ConnectionEndedError(Ending.TOO_LARGE)
        elif len(text) - self._scanned_to > _MAX_BRACE_GAP:
            raise ValueError("no brace within the limit")
        return found


@dataclass(slots=True, eq=False)
class _Withdrawal:
    """A discovery service's report that a worker takes no new jobs: draining, removed or not listed."""

    source: _Source
    at: int  # ns
    started_at: int  # of the worker's process that is meant
    held_back: api.WorkerEntry | None = None  # the latest entry of another discovery service


class DiscoveryClient:
    """Keeps the addresses of workers and passes each change of the list on at once."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_list: Callable[[api.WorkerList], None],
        *,
        on_request: bool = False,
        seed: int = 0,
    ) -> None:
        """``on_request``: the discovery service is called only by ``subscribe``, once each time, and a call
        that failed or a watch that ended is reported as a list of the kind LOST."""
        self._loop = loop
        self._on_list = on_list
        self._on_request = on_request
        self._random = Random(seed)
        self._source = _Source(address, answered_at=loop.now())
        self._previous: _Source | None = None  # after a switch, followed until the new one has sent a list
        self._withdrawals: dict[str, _Withdrawal] = {}  # recent ones, by worker
        self._addresses: dict[str, Address] = {}
        self._reserved_socket: socket.socket | None = None
        self._reserve_descriptor()

    def address_of(self, worker: str) -> Address | None:
        """The address of a worker; None if it is not listed."""
        return self._addresses.get(worker)

    def start(self, known: dict[str, Any]) -> None:
        """Starts with the last known list, if there is one: with it, jobs can be served even while the
        discovery service is down."""
        if known:
            self._apply(self._source, known, api.ListKind.LAST_KNOWN)
        if not self._on_request:
            self.subscribe()

    def subscribe(self, active: bool = True) -> None:
        """Starts to follow the discovery service if it is not followed yet; ``active=False`` stops that."""
        source = self._source
        if not active:
            if source.task is not None:
                self._loop.call_soon(source.task.cancel)
        elif source.task is None or source.task.done:
            source.task = self._loop.spawn(self._follow(source))

    def switch_to(self, address: Address) -> None:
        """Follows the discovery service at another address from now on, and fetches the full list from it.

        The new one may take long to answer. Until it has sent a list, the current list stays, and the old
        service is followed for as long as its connection lasts.
        """
        previous, source = self._previous, self._source
        if address == source.address:
            return
        if previous is not None:
            # this one has sent no list yet: if it became the previous source, its first list could replace
            # the list of the service that is still followed
            self._stop(source)
        if previous is not None and previous.address == address:
            self._source, self._previous = previous, None
        else:
            self._source, self._previous = _Source(address, answered_at=self._loop.now()), previous or source
        if self._on_request:
            # the whole fleet switches at the same instant, and all of it would fetch full lists at once
            self._on_list(api.WorkerList(api.ListKind.LOST))
        else:
            self.subscribe()

    @staticmethod
    def _stop(source: _Source) -> None:
        if source.task is not None:
            source.task.cancel()

    def _apply(self, source: _Source, raw: Any, kind: api.ListKind | None = None) -> None:
        """Applies a list or changes from a source; ValueError if it is malformed or outdated."""
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            raise ValueError("no object with a list of endpoints")
        if kind is None:
            kind = api.ListKind.FULL if raw.get("snapshot") else api.ListKind.CHANGES
        version = raw.get("index")
        # changes that arrive out of order may be older than what is known
        outdated = False
        if type(version) is int and version >= 0:  # excludes bool
            outdated = kind is api.ListKind.CHANGES and version < (source.version or 0)
            source.version = version
        if source is self._source and self._previous is not None:
            self._stop(self._previous)
            self._previous = None
        entries = []
        for item in raw["endpoints"]:
            try:
                entries.append(self._parse_entry(item))
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                # one malformed entry must not hide a drain among the others
                log.warning("malformed discovery entry ignored", error=repr(error), entry=str(item)[:200])
        if kind is not api.ListKind.CHANGES:
            listed = {entry.worker for entry in entries}
            now = self._loop.now()
            for name in self._addresses.keys() - listed:
                del self._addresses[name]
                self._withdrawals[name] = _Withdrawal(source, now, now)
        if outdated:
            entries = [entry for entry in entries if entry.state is not api.WorkerState.UP]
        entries = self._apply_withdrawals(source, entries)
        self._on_list(api.WorkerList(kind, tuple(entries), source.version or 0))
        if outdated:
            raise ValueError(f"changes from an older version, {version}")

    def _apply_withdrawals(self, source: _Source, entries: list[api.WorkerEntry]) -> list[api.WorkerEntry]:
        """Replaces entries that would undo a recent withdrawal by entries in the state DRAINING.

        After a switch, the new discovery service may be behind the old one. For _CONVERGENCE_TIME a
        withdrawal overrides entries of another discovery service, unless they are of a later process of the
        worker.
        """
        now = self._loop.now()
        expired = [
            name
            for name, w in self._withdrawals.items()
            if now >= w.at + _CONVERGENCE_TIME and not w.held_back
        ]
        for name in expired:
            del self._withdrawals[name]
        kept = []
        for entry in entries:
            withdrawal = self._withdrawals.get(entry.worker)
            if entry.state is not api.WorkerState.UP:
                self._withdrawals[entry.worker] = _Withdrawal(source, now, entry.started_at)
            elif (
                withdrawal is not None
                and withdrawal.source is not source
                and entry.started_at <= withdrawal.started_at
            ):
                if withdrawal.held_back is None:
                    self._loop.call_at(
                        withdrawal.at + _CONVERGENCE_TIME, self._reinstate, entry.worker, withdrawal
                    )
                withdrawal.held_back = entry
                entry = replace(entry, state=api.WorkerState.DRAINING)
            else:
                self._withdrawals.pop(entry.worker, None)
            kept.append(entry)
        return kept

    def _reinstate(self, name: str, withdrawal: _Withdrawal) -> None:
        if self._withdrawals.get(name) is withdrawal and withdrawal.held_back is not None:
            del self._withdrawals[name]
            version = self._source.version or 0
            self._on_list(api.WorkerList(api.ListKind.CHANGES, (withdrawal.held_back,), version))

    def _parse_entry(self, item: dict[str, Any]) -> api.WorkerEntry:
        name, status = item["name"], item["status"]
        if not isinstance(name, str) or not name:
            raise ValueError("no name")
        state = _STATES.get(status if isinstance(status, str) else "", api.WorkerState.DRAINING)
        try:
            if state is api.WorkerState.GONE:
                self._addresses.pop(name, None)
            else:
                self._addresses[name] = parse_address(item["address"])
            return self._entry_with_attributes(name, item, state)
        except (KeyError, TypeError, ValueError, OverflowError):
            if state is api.WorkerState.UP:
                raise
            # whatever is wrong with the rest of the entry, the worker takes no new jobs
            return api.WorkerEntry(name, state=state)

    @staticmethod
    def _entry_with_attributes(name: str, item: dict[str, Any], state: api.WorkerState) -> api.WorkerEntry:
        cell, weight = item.get("group"), float(item.get("weight", 1.0))
        if not math.isfinite(weight):
            raise ValueError("weight is not finite")
        return api.WorkerEntry(
            name,
            str(item.get("zone") or ""),
            None if cell is None else int(cell),
            str(item.get("type") or ""),
            weight,
            int(item.get("since_ms") or 0) * MS,
            state,
        )

    # Calls

    def _follow(self, source: _Source) -> Coroutine[None]:
        while source is self._source:  # otherwise the last connection has ended after a switch
            try:
                if source.version is None:
                    yield from self._fetch_list(source)
                yield from self._watch(source)
            except (ConnectionEndedError, _ErrorStatusError) as error:
                reason = error.ending.name if isinstance(error, ConnectionEndedError) else str(error)
                # logged once, since calls are repeated several times a second while the service is down
                if reason != source.last_error:
                    log.info("discovery service unavailable", reason=reason)
                source.last_error = reason
            except (ValueError, RecursionError) as error:
                source.version = None  # changes may be missing: fetch the full list
                log.warning("malformed response from the discovery service", error=str(error)[:200])
            except Exception as error:
                source.version = None
                log.error("list of workers not applied", exc_info=error)
            if self._on_request:
                if source is self._source:
                    self._on_list(api.WorkerList(api.ListKind.LOST))
                return
            # jitter: clients that lost the service at the same instant would otherwise overload it in step
            yield from sleep(self._loop.now() + int(_RETRY_DELAY * self._random.uniform(0.5, 1.5)))

    def _reserve_descriptor(self) -> None:
        """Keeps one socket open, so that a descriptor is left for the discovery service when connections of
        clients and to workers use all the others."""
        if self._reserved_socket is None:
            with suppress(OSError):
                self._reserved_socket = stream_socket(("0.0.0.0", 0))

    def _connect(self, address: Address, until: int) -> Coroutine[Connection]:
        try:
            return (yield from connect(address, until))
        except ConnectionEndedError as error:
            if error.ending is not Ending.FAILED_HERE or self._reserved_socket is None:
                raise
        self._reserved_socket.close()
        self._reserved_socket = None
        try:
            return (yield from connect(address, until))
        except BaseException:
            self._reserve_descriptor()
            raise

    def _close(self, connection: Connection) -> None:
        connection.close()
        self._reserve_descriptor()

    def _request(self, source: _Source, target: str) -> Coroutine[Connection]:
        """Sends a GET; returns the connection once a response with status 200 has begun."""
        now = self._loop.now()
        slow = self._on_request or now > source.answered_at + _SLOW_SERVICE_AFTER
        until = now + (_RESPONSE_TIMEOUT if slow else _PUSH_RESPONSE_TIMEOUT)
        connection = yield from self._connect(source.address, until)
        try:
            host = "{}:{}".format(*source.address)
            yield from connection.write(connection.request_bytes("GET", target, [("Host", host)]), until)
            head = yield from connection.next_event(until)
            while isinstance(head, h11.InformationalResponse):
                head = yield from connection.next_event(until)
            if not isinstance(head, h11.Response):
                raise ConnectionEndedError(Ending.CLOSED)
            source.answered_at = self._loop.now()
            if head.status_code != 200:
                raise _ErrorStatusError(f"{target} was answered with {head.status_code}")
        except BaseException:
            self._close(connection)
            raise
        source.last_error = ""
        return connection

    @staticmethod
    def _next_chunk(connection: Connection, until: int) -> Coroutine[bytes | None]:
        """The next bytes of a response body; None at its end."""
        event = yield from connection.next_event(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionEndedError(Ending.CLOSED)

    def _fetch_list(self, source: _Source) -> Coroutine[None]:
        connection = yield from self._request(source, TARGETS_PATH)
        body, until = bytearray(), self._loop.now() + _SILENCE_TIMEOUT
        try:
            while (data := (yield from self._next_chunk(connection, until))) is not None:
                body += data
                if len(body) > _MAX_LIST_BYTES:
                    raise ConnectionEndedError(Ending.TOO_LARGE)
        finally:
            self._close(connection)
        self._apply(source, json.loads(body))

    def _watch(self, source: _Source) -> Coroutine[None]:
        connection = yield from self._request(source, f"{TARGETS_PATH}?follow=1&since={source.version or 0}")
        objects, incomplete, until = _ObjectSplitter(), False, self._loop.now() + _SILENCE_TIMEOUT
        try:
            while (data := (yield from self._next_chunk(connection, until))) is not None:
                found = objects.feed(data)
                for text in found:
                    self._apply(source, json.loads(text))
                # empty lines after a truncated object don't count as signs of life
                if found or not objects.incomplete or not incomplete:
                    until = self._loop.now() + _SILENCE_TIMEOUT
                incomplete = objects.incomplete
            raise ConnectionEndedError(Ending.CLOSED)
        finally:
            self._close(connection)
