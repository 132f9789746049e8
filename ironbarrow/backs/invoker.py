"""Attempts over HTTP: requests to workers and their call-backs, DELETE, probes."""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import structlog

from heathway import api
from heathway.settings import ReportReader
from ironbarrow.backs.delete import TOLD_LIMIT, DeleteSender
from ironbarrow.backs.pool import Pools
from ironbarrow.core import trace
from ironbarrow.core.attempt import Observation, Progress, is_unreachable, proves_over
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.discovery.client import DiscoveryClient
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect
from ironbarrow.wire.http import Message

log = structlog.get_logger()

_DELETE_LIMIT = 500 * MS  # for the answer to a DELETE of which a proof is needed, in its first try
_DELETE_LIMIT_MOST = 2 * SECOND  # and in later ones: each try costs a hung worker a connection
_DELETE_TRIES = 3  # for an attempt that is over already: it may run on, but nothing waits for it
_DELETE_PAUSE = 50 * MS  # after the first try; doubled with each one
_DELETE_PAUSE_MOST = 400 * MS
_LAST_WORD = 1 * SECOND  # for DELETEs of an attempt at its deadline, where others go first
_PROBE_LIMIT = 1 * SECOND
_REST_LIMIT = 500 * MS  # for the rest of an answer whose head is in, or of one whose attempt is over already
_WHOLE_WITHIN = 100 * MS  # from a request's first byte to its last
_TIME_LEFT = re.compile(rb"X-Timeout-Ms: \d+\r\n")
_ACCEPTED = 202
_CONNECT_AGAIN = 20 * MS
_NO_WORD = frozenset((Ending.FAILED_HERE, Ending.UNREACHABLE))
_BY_PEER = frozenset((Ending.CLOSED, Ending.RESET))
_STATES = {"done": Ending.DONE, "failed": Ending.FAILED, "returned": Ending.RETURNED, "lost": Ending.LOST}


@dataclass(slots=True, eq=False)
class _Exchange:
    """An attempt's way over the sockets."""

    address: Address
    task: Task | None = None
    answered: bool = False  # the worker's 202 is in, or the connection has ended
    stopping: bool = False  # DELETEs go out until its end is proven
    connection: Connection | None = None  # the one that the request goes out on
    closed_by: Observation = Observation.CONNECTION_ENDED  # what the end of that connection is

    @property
    def has_unread_answer(self) -> bool:
        """Whether some of the worker's answer is in and was not looked at: it may be a 202."""
        return self.connection is not None and (
            self.connection.message_started or not self.connection.is_idle()
        )


class HttpInvoker:
    """Carries the host's attempts to the workers that the discovery service names."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        discovery: DiscoveryClient,
        reports: ReportReader,
        *,
        connect_timeout: int,
        idle_limit: int,
        most_idle: int,
        most: int,
    ) -> None:
        """``connect_timeout``, ``idle_limit``: ns; ``most_idle``, ``most``: connections, in the latter those
        that are in use, too."""
        self._loop = loop
        self._host = host
        self._discovery = discovery
        self._reports = reports
        self._connect_timeout = connect_timeout
        self._pools = Pools(loop, idle_limit=idle_limit, most=most_idle)
        self._exchanges: dict[Attempt, _Exchange] = {}
        self._deletes = DeleteSender(loop, self._pools, self._connect)
        self._most = most
        self._open = 0  # connections, those that come up and idle ones included

    # What the host asks for

    def start(self, attempt: Attempt) -> None:
        address = self._discovery.address_of(attempt.worker)
        if address is None:
            self._host.attempt_ended(attempt, Ending.DRAINED)
            return
        exchange = _Exchange(address)
        self._exchanges[attempt] = exchange
        exchange.task = self._loop.spawn(self._carry(attempt, exchange))

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        exchange = self._exchanges.get(attempt)
        if exchange is None:
            self._end(attempt, ending)
            return
        if not exchange.answered and exchange.task is not None:
            if exchange.has_unread_answer:
                # danger: closed over a 202, the job is not given up by the close
                exchange.closed_by = Observation.CONNECTION_FAILED
            exchange.task.cancel()  # and with it goes its connection
        self._stop(attempt, exchange, ending)

    def _stop(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        """Sees to it that an attempt whose connection is closed ends with a proof."""
        if exchange.stopping:
            return
        if attempt.written and self._host.settings.may_cancel:
            exchange.stopping = True
            self._loop.spawn(self._delete(attempt, exchange, ending))
        elif attempt.ended or attempt.is_over(exchange.closed_by):
            self._end(attempt, ending)

    def let_go(self, attempt: Attempt) -> None:
        """Another process has the attempt now; nothing is told to the worker, and what is not written yet
        never is."""
        exchange = self._exchanges.pop(attempt, None)
        if exchange is not None and exchange.task is not None and not exchange.answered:
            exchange.task.cancel()

    def call_off(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        """Calls a job off that another process had sent. ``done`` is told True once the worker has
        confirmed it, or False at ``until`` (ns)."""
        self._loop.spawn(self._call_off(job_id, worker, until, done))

    def probe(self, worker: str) -> None:
        self._loop.spawn(self._probe(worker))

    def close_idle(self, worker: str) -> None:
        address = self._discovery.address_of(worker)
        if address is not None:
            self._pools.close_to(address)

    def free_descriptors(self) -> None:
        """Closes every idle connection: this process has no descriptors left."""
        self._pools.close_all()

    # Call-backs

    def called_back(self, raw: Any) -> bool:
        """A worker's word on an attempt, and whether any is out that it is about; a ValueError if it is
        malformed."""
        if not isinstance(raw, dict):
            raise ValueError("not an object")
        job_id, worker, state = raw.get("id"), raw.get("from"), raw.get("state")
        if not isinstance(job_id, str) or not isinstance(worker, str) or not isinstance(state, str):
            raise ValueError("id, from and state must be text")
        if state not in _STATES and state not in ("started", "running"):
            raise ValueError(f"unknown state: {state[:40]!r}")
        result = raw.get("result", "")
        if state == "done" and not isinstance(result, str):
            raise ValueError("result must be text")
        share = raw.get("share", 0.0)
        if isinstance(share, bool) or not isinstance(share, int | float):
            raise ValueError("share must be a number")
        report = self._report(raw.get("load"))
        attempt = self._host.attempt_out(job_id, worker)
        if attempt is None or not attempt.written:
            return False  # late, sent again, for an attempt that was never made, or for another process
        if state == "started":
            self._host.attempt_started(attempt)
        elif state == "running":
            self._host.attempt_progressed(attempt, float(share))
        else:
            exchange = self._exchanges.get(attempt)
            self._end(attempt, _STATES[state], report, result.encode())
            if exchange is not None and exchange.task is not None and not exchange.task.done:
                # danger: an answer that never comes or never ends would hold its descriptor
                self._loop.call_at(self._loop.now() + _REST_LIMIT, exchange.task.cancel)
        return True

    def _report(self, load: Any) -> api.LoadReport | None:
        if load is None:
            return None
        if not isinstance(load, dict):
            raise ValueError("load must be an object")
        return self._reports.read(load.items())

    def _header_report(self, headers: Mapping[str, str]) -> api.LoadReport | None:
        text = headers.get("x-server-load")
        if text is None:
            return None
        pairs = [(name.strip(), value) for name, _, value in (p.partition("=") for p in text.split(","))]
        try:
            return self._reports.read(pairs)
        except ValueError as error:
            log.warning("load report ignored", error=str(error))
            return None

    # Coroutines

    def _carry(self, attempt: Attempt, exchange: _Exchange) -> Coroutine[None]:
        connection: Connection | None = None
        try:
            connection = yield from self._connection(exchange.address, attempt.worker, "attempt")
            exchange.connection = connection
            request = self._request(connection, attempt, exchange.address)
            yield from connection.write(
                request, self._host.send_by(attempt), lambda: self._begin(attempt, request)
            )
            self._host.attempt_written(attempt)
            answer = yield from connection.read_head(attempt.until)
            if answer.status == _ACCEPTED:
                # danger: the worker has the job from here on, whatever becomes of the rest of the answer
                exchange.answered = True
                attempt.reach(Progress.ACCEPTED)
            yield from connection.read_body(answer, min(attempt.until, self._loop.now() + _REST_LIMIT))
            exchange.answered = True
            if answer.status == _ACCEPTED or _is_final(answer):
                self._pools.put_back(exchange.address, connection, proof=_is_proof(answer))
            else:
                # danger: no answer of the protocol's, so the job may run; closed before a 202, it is given up
                connection.close()
            connection = exchange.connection = None
            self._answered(attempt, exchange, answer)
        except ConnectionEndedError as error:
            if connection is not None:
                connection.close()  # before the job may go elsewhere
            self._broke(attempt, exchange, error.ending)
        finally:
            exchange.connection = None
            if connection is not None:
                connection.close()

    def _begin(self, attempt: Attempt, request: bytes) -> tuple[bytes, int]:
        """Asked right before the first byte goes out: the request with the time that is left now, and until
        when all of it has to be out. Danger: a worker that takes it slowly would be told more time than the
        client has."""
        if (ending := self._host.barred(attempt)) is not None:
            raise ConnectionEndedError(ending)
        attempt.reach(Progress.WRITING)
        left = b"X-Timeout-Ms: %d\r\n" % self._milliseconds_left(attempt)
        return _TIME_LEFT.sub(left, request, count=1), self._loop.now() + _WHOLE_WITHIN

    def _milliseconds_left(self, attempt: Attempt) -> int:
        return max(1, (attempt.until - self._loop.now()) // MS)

    def _broke(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        """An attempt's connection has ended, or none came up."""
        accepted_there = exchange.answered and attempt.accepted
        if accepted_there or (ending is Ending.STALLED and self._loop.now() >= attempt.until):
            return  # a call-back tells, or the host's own time-out
        exchange.answered = True
        if ending is Ending.UNREACHABLE:
            exchange.closed_by = Observation.CONNECTION_FAILED
        if ending in _BY_PEER and attempt.written:
            # danger: its 202 may have been lost with the connection; so it is told, as after an own close
            self._stop(attempt, exchange, ending)
        elif attempt.is_over(exchange.closed_by):
            if ending is Ending.STALLED and not attempt.written:
                # the window for a repeat ended: no fault of the worker's
                ending = self._host.barred(attempt) or ending
            self._end(attempt, ending)
        else:
            # danger: it may have accepted the job, or has called back that it runs it
            self._stop(attempt, exchange, ending)

    def _answered(self, attempt: Attempt, exchange: _Exchange, answer: Message) -> None:
        if answer.status == _ACCEPTED:
            return
        # danger: without the proof, a 503 may come after the job has run
        ending = Ending.NOT_PROCESSED if _is_proof(answer) else Ending.ERROR_ANSWER
        final = _is_final(answer)
        if attempt.is_over(Observation.FINAL_ANSWER if final else Observation.CONNECTION_ENDED):
            self._end(attempt, ending, self._header_report(answer.headers))
        else:
            self._stop(attempt, exchange, ending)

    def _end(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        self._exchanges.pop(attempt, None)
        self._host.attempt_ended(attempt, ending, report, result)

    def _delete(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> Coroutine[None]:
        """Tells an attempt's worker to stop until something proves that it is over, or the host has ended it
        at the job's deadline."""
        over_before = attempt.ended
        until = max(attempt.until, self._loop.now() + _LAST_WORD)
        tries = 0
        for pause in _pauses():
            # danger: a 202 may have crossed the close; so it is told, but its arrival need not be proven
            only_told = attempt.is_over(exchange.closed_by) or over_before
            limit = TOLD_LIMIT if only_told else min(_DELETE_LIMIT << tries, _DELETE_LIMIT_MOST)
            observation = yield from self._deletes.send(
                exchange.address, attempt.job.payload.id, attempt.worker, limit, until
            )
            if self._host.traced:
                trace.told_to_stop(self._loop.now(), attempt.job.number, attempt.worker, observation)
            if attempt.is_over(observation) or (attempt.ended and not over_before):
                break
            only_told = attempt.is_over(exchange.closed_by) or over_before
            # danger: one that has not left this machine has told nobody
            tries += observation is not Observation.DELETE_FAILED_HERE
            if only_told and (
                tries >= _DELETE_TRIES or is_unreachable(observation) or self._loop.now() >= until
            ):
                break
            yield from sleep(self._loop.now() + pause)
        self._end(attempt, ending)

    def _call_off(
        self, job_id: str, worker: str, until: int, done: Callable[[bool], None]
    ) -> Coroutine[None]:
        stopped = False
        for pause in _pauses():
            address = self._discovery.address_of(worker)
            if address is not None:
                observation = yield from self._deletes.send(address, job_id, worker, _DELETE_LIMIT, until)
                stopped = proves_over(observation, Progress.ACCEPTED)
            if stopped or self._loop.now() >= until:
                break
            yield from sleep(self._loop.now() + pause)
        done(stopped)

    def _probe(self, worker: str) -> Coroutine[None]:
        started_at = self._loop.now()
        until = started_at + _PROBE_LIMIT
        ending, report = Ending.ERROR_ANSWER, None
        address = self._discovery.address_of(worker)
        connection: Connection | None = None
        try:
            if address is None:
                raise ConnectionEndedError(Ending.CONNECT_REFUSED)
            connection = yield from self._connection(address, worker, "probe")
            target = "/-/load" if self._host.settings.report_fields else "/-/healthy"
            headers = [("Host", "{}:{}".format(*address))]
            yield from connection.write(connection.request_bytes("GET", target, headers), until)
            answer = yield from connection.read_message(until)
            if answer.status == 200:
                ending = Ending.DONE
                report = self._header_report({"x-server-load": answer.body.decode("latin-1")})
            self._pools.put_back(address, connection)
            connection = None
        except ConnectionEndedError as error:
            ending = Ending.TIMED_OUT if error.ending is Ending.STALLED else error.ending
        finally:
            if connection is not None:
                connection.close()
        self._host.probe_ended(worker, ending, self._loop.now() - started_at, report)

    def _request(self, connection: Connection, attempt: Attempt, address: Address) -> bytes:
        payload = attempt.job.payload
        headers = [
            ("Host", "{}:{}".format(*address)),
            ("X-Request-ID", payload.id),
            ("X-Timeout-Ms", str(self._milliseconds_left(attempt))),
        ]
        if payload.content_type:
            headers.append(("Content-Type", payload.content_type))
        # danger: without it, no worker could drop the repeat of a keyed job that has run
        if payload.idempotency_key:
            headers.append(("Idempotency-Key", payload.idempotency_key))
        return connection.request_bytes(payload.method, payload.target, headers, payload.body)

    def _connection(self, address: Address, worker: str, purpose: str) -> Coroutine[Connection]:
        """An idle connection that is surely still open, or a new one."""
        # a late second answer can do no harm to a probe or a DELETE: it is no proof there
        connection = self._pools.take(address, settled=purpose == "attempt")
        if connection is not None:
            return connection
        return (yield from self._connect(address, worker, purpose))

    def _connect(self, address: Address, worker: str, purpose: str) -> Coroutine[Connection]:
        """A new connection."""
        if self._host.traced:
            trace.connected(self._loop.now(), worker, purpose)
        # danger: hundreds of attempts to hung workers would take clients' and the discovery service's
        # descriptors
        if self._open >= self._most and not self._pools.drop_oldest():
            raise ConnectionEndedError(Ending.FAILED_HERE, "all connections to workers are in use")
        self._open += 1
        try:
            connection = yield from self._connect_in_time(address)
        except BaseException:
            self._open -= 1
            raise
        connection.on_close = self._closed
        return connection

    def _connect_in_time(self, address: Address) -> Coroutine[Connection]:
        """Tries again, within the limit for a connection, what failed with no word of the worker's. Danger:
        a moment's lack of addresses would set aside every worker that it met."""
        until = self._loop.now() + self._connect_timeout
        dropped = False
        while True:
            try:
                return (yield from connect(address, until))
            except ConnectionEndedError as error:
                if error.ending not in _NO_WORD or self._loop.now() + _CONNECT_AGAIN >= until:
                    raise
                # danger: with idle connections holding the last descriptors, a DELETE could not be sent
                if error.ending is Ending.FAILED_HERE and not dropped and self._pools.drop_oldest():
                    dropped = True
                    continue
            yield from sleep(self._loop.now() + _CONNECT_AGAIN)

    def _closed(self) -> None:
        self._open -= 1


def _pauses() -> Iterator[int]:
    """Between two DELETEs of one job, ns; without end."""
    pause = _DELETE_PAUSE
    while True:
        yield pause
        pause = min(2 * pause, _DELETE_PAUSE_MOST)


def _is_final(answer: Message) -> bool:
    """Whether it ends the attempt by the protocol's table."""
    return answer.status == 500 or _is_proof(answer)


def _is_proof(answer: Message) -> bool:
    """Whether it proves that the request never ran."""
    name = "x-not-processed"
    told = answer.headers.get(name, "").strip() == "1" and name not in answer.repeated
    return told and answer.status in (503, 504)
