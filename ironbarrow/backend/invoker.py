"""Attempts over HTTP: requests to workers, their call-backs, DELETEs and probes."""

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import structlog

from heathway import api
from heathway.settings import ReportReader
from ironbarrow.backend.delete import SHORT_DELETE_TIMEOUT, DeleteSender
from ironbarrow.backend.pool import ConnectionPools
from ironbarrow.core import trace
from ironbarrow.core.attempt import Observation, Progress, is_unreachable, proves_end
from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Attempt
from ironbarrow.discovery.client import DiscoveryClient
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, Task, sleep
from ironbarrow.runtime.sockets import Address
from ironbarrow.transport.http import Connection, connect
from ironbarrow.wire.http import Message

log = structlog.get_logger()

# for the answer to the first DELETE if it is needed as a proof; doubled for each further one
_DELETE_TIMEOUT = 500 * MS
_MAX_DELETE_TIMEOUT = 2 * SECOND  # limits the doubling: each try costs a hung worker a connection
_DELETE_TRIES = 3  # for an attempt that is over already: it may still be running, but nothing waits for it
_DELETE_PAUSE = 50 * MS  # after the first try; doubled after each further one
_MAX_DELETE_PAUSE = 400 * MS
# for the DELETEs of an attempt that is given up at its deadline; other DELETEs may have to be sent first
_DELETE_TIME_AT_DEADLINE = 1 * SECOND
_PROBE_TIMEOUT = 1 * SECOND
_BODY_TIMEOUT = 500 * MS  # for the rest of an answer once its head was read, or once its attempt is over
_REQUEST_WRITE_TIMEOUT = 100 * MS  # from the first byte of a request to its last
_TIMEOUT_HEADER = re.compile(rb"X-Timeout-Ms: \d+\r\n")
_ACCEPTED = 202
_CONNECT_RETRY_PAUSE = 20 * MS
_NOT_BY_PEER = frozenset((Ending.FAILED_HERE, Ending.UNREACHABLE))
_BY_PEER = frozenset((Ending.CLOSED, Ending.RESET))
_CALL_BACK_ENDINGS = {
    "done": Ending.DONE,
    "failed": Ending.FAILED,
    "returned": Ending.RETURNED,
    "lost": Ending.LOST,
}


@dataclass(slots=True, eq=False)
class _Exchange:
    """The HTTP exchange of an attempt with its worker."""

    address: Address
    task: Task | None = None
    answered: bool = False  # the worker has answered 202, or the connection has ended
    stopping: bool = False  # DELETEs are sent until the attempt is proven to be over
    connection: Connection | None = None  # the connection of the request
    closed_by: Observation = Observation.CONNECTION_ENDED  # what the end of that connection is observed as

    @property
    def has_unread_answer(self) -> bool:
        """Whether part of the worker's answer has arrived and was not handled. It may be a 202."""
        return self.connection is not None and (
            self.connection.message_started or not self.connection.is_idle()
        )


class HttpInvoker:
    """Sends the host's attempts over HTTP to the workers that the discovery service lists."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        discovery: DiscoveryClient,
        reports: ReportReader,
        *,
        connect_timeout: int,
        idle_limit: int,
        max_idle: int,
        max_connections: int,
    ) -> None:
        """``connect_timeout``, ``idle_limit``: ns; ``max_idle``: idle connections in all;
        ``max_connections``: idle and busy connections in all."""
        self._loop = loop
        self._host = host
        self._discovery = discovery
        self._reports = reports
        self._connect_timeout = connect_timeout
        self._pools = ConnectionPools(loop, idle_limit=idle_limit, max_idle=max_idle)
        self._exchanges: dict[Attempt, _Exchange] = {}
        self._delete_sender = DeleteSender(loop, self._pools, self._connect)
        self._max_connections = max_connections
        self._open_connections = 0  # including those being established and idle ones

    # Called by the host

    def start(self, attempt: Attempt) -> None:
        """As ``Invoker.start``."""
        address = self._discovery.address_of(attempt.worker)
        if address is None:
            self._host.attempt_ended(attempt, Ending.DRAINED)
            return
        exchange = _Exchange(address)
        self._exchanges[attempt] = exchange
        exchange.task = self._loop.spawn(self._run_attempt(attempt, exchange))

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """As ``Invoker.give_up``."""
        exchange = self._exchanges.get(attempt)
        if exchange is None:
            self._finish(attempt, ending)
            return
        if not exchange.answered and exchange.task is not None:
            if exchange.has_unread_answer:
                # The unread answer may be a 202: then closing the connection does not give the job up.
                exchange.closed_by = Observation.CONNECTION_FAILED
            exchange.task.cancel()  # this also closes its connection
        self._ensure_ended(attempt, exchange, ending)

    def _ensure_ended(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        """Ends an attempt whose connection is closed. Unless that is proof enough, DELETEs are sent until the
        attempt is proven to be over."""
        if exchange.stopping:
            return
        if attempt.written and self._host.settings.may_cancel:
            exchange.stopping = True
            self._loop.spawn(self._delete_until_over(attempt, exchange, ending))
        elif attempt.ended or attempt.is_ended_by(exchange.closed_by):
            self._finish(attempt, ending)

    def detach(self, attempt: Attempt) -> None:
        """As ``Invoker.detach``. A request that has not been written completely never will be."""
        exchange = self._exchanges.pop(attempt, None)
        if exchange is not None and exchange.task is not None and not exchange.answered:
            exchange.task.cancel()

    def cancel_job(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        """Cancels a job that another process has sent. ``done`` is called with True once the worker has
        confirmed that it does not run the job, or with False at ``until`` (ns)."""
        self._loop.spawn(self._cancel_job(job_id, worker, until, done))

    def probe(self, worker: str) -> None:
        """As ``Invoker.probe``."""
        self._loop.spawn(self._run_probe(worker))

    def close_idle(self, worker: str) -> None:
        """As ``Invoker.close_idle``."""
        address = self._discovery.address_of(worker)
        if address is not None:
            self._pools.close_address(address)

    def free_descriptors(self) -> None:
        """Closes all idle connections, as this process has no descriptors left."""
        self._pools.close_all()

    # Call-backs

    def handle_call_back(self, raw: Any) -> bool:
        """Handles a worker's call-back. Returns whether it concerns a live attempt. Raises ValueError if it
        is malformed."""
        if not isinstance(raw, dict):
            raise ValueError("not an object")
        job_id, worker, state = raw.get("id"), raw.get("from"), raw.get("state")
        if not isinstance(job_id, str) or not isinstance(worker, str) or not isinstance(state, str):
            raise ValueError("id, from and state must be text")
        if state not in _CALL_BACK_ENDINGS and state not in ("started", "running"):
            raise ValueError(f"unknown state: {state[:40]!r}")
        result = raw.get("result", "")
        if state == "done" and not isinstance(result, str):
            raise ValueError("result must be text")
        share = raw.get("share", 0.0)
        if isinstance(share, bool) or not isinstance(share, int | float):
            raise ValueError("share must be a number")
        report = self._read_report(raw.get("load"))
        attempt = self._host.live_attempt(job_id, worker)
        if attempt is None or not attempt.written:
            return False  # late, repeated, for an attempt that was never made, or for another process
        if state == "started":
            self._host.attempt_started(attempt)
        elif state == "running":
            self._host.attempt_progressed(attempt, float(share))
        else:
            exchange = self._exchanges.get(attempt)
            self._finish(attempt, _CALL_BACK_ENDINGS[state], report, result.encode())
            if exchange is not None and exchange.task is not None and not exchange.task.done:
                # An answer that never comes or never ends would keep its descriptor open.
                self._loop.call_at(self._loop.now() + _BODY_TIMEOUT, exchange.task.cancel)
        return True

    def _read_report(self, load: Any) -> api.LoadReport | None:
        if load is None:
            return None
        if not isinstance(load, dict):
            raise ValueError("load must be an object")
        return self._reports.read(load.items())

    def _read_header_report(self, headers: Mapping[str, str]) -> api.LoadReport | None:
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

    def _run_attempt(self, attempt: Attempt, exchange: _Exchange) -> Coroutine[None]:
        connection: Connection | None = None
        try:
            connection = yield from self._get_connection(exchange.address, attempt.worker, "attempt")
            exchange.connection = connection
            yield from self._write_request(connection, attempt, exchange.address)
            self._host.attempt_written(attempt)
            answer = yield from connection.read_head(attempt.expires_at)
            if answer.status == _ACCEPTED:
                # From here on the worker has the job, whatever happens to the rest of the answer.
                exchange.answered = True
                attempt.advance_to(Progress.ACCEPTED)
            yield from connection.read_body(answer, min(attempt.expires_at, self._loop.now() + _BODY_TIMEOUT))
            exchange.answered = True
            if answer.status == _ACCEPTED or _is_final(answer):
                self._pools.release(exchange.address, connection, proof=_proves_never_ran(answer))
            else:
                # The protocol does not define this answer, so the job may be running. Closing the connection
                # before a 202 gives it up.
                connection.close()
            connection = exchange.connection = None
            self._handle_answer(attempt, exchange, answer)
        except ConnectionEndedError as error:
            if connection is not None:
                connection.close()  # before the job may be sent to another worker
            self._connection_failed(attempt, exchange, error.ending)
        finally:
            exchange.connection = None
            if connection is not None:
                connection.close()

    def _write_request(self, connection: Connection, attempt: Attempt, address: Address) -> Coroutine[None]:
        """Writes an attempt's request. A coroutine of its own: the copy of the body that the request holds is
        freed when it ends, while the job may run for long."""
        request = self._request(connection, attempt, address)
        yield from connection.write(
            request, self._host.write_deadline(attempt), lambda: self._before_first_byte(attempt, request)
        )

    def _before_first_byte(self, attempt: Attempt, request: bytes) -> tuple[bytes, int]:
        """Called right before the first byte is written. Returns the request with the time left now, and the
        time (ns) by which all of it has to be written: a worker that reads it slowly would otherwise get a
        time-out that exceeds the client's remaining time. Raises ConnectionEndedError if the attempt must not
        be sent."""
        if (ending := self._host.reason_not_to_send(attempt)) is not None:
            raise ConnectionEndedError(ending)
        attempt.advance_to(Progress.WRITING)
        left = b"X-Timeout-Ms: %d\r\n" % self._milliseconds_left(attempt)
        return _TIMEOUT_HEADER.sub(left, request, count=1), self._loop.now() + _REQUEST_WRITE_TIMEOUT

    def _milliseconds_left(self, attempt: Attempt) -> int:
        return max(1, (attempt.expires_at - self._loop.now()) // MS)

    def _connection_failed(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> None:
        """Handles the end of an attempt's connection, or the failure to establish one."""
        worker_has_job = exchange.answered and attempt.accepted
        if worker_has_job or (ending is Ending.STALLED and self._loop.now() >= attempt.expires_at):
            return  # a call-back or the host's time-out ends the attempt
        exchange.answered = True
        if ending is Ending.UNREACHABLE:
            exchange.closed_by = Observation.CONNECTION_FAILED
        if ending in _BY_PEER and attempt.written:
            # Its 202 may have been lost with the connection, so a DELETE is sent, as after a close by this
            # side.
            self._ensure_ended(attempt, exchange, ending)
        elif attempt.is_ended_by(exchange.closed_by):
            if ending is Ending.STALLED and not attempt.written:
                # The window for repeats may have ended; then the worker is not to blame.
                ending = self._host.reason_not_to_send(attempt) or ending
            self._finish(attempt, ending)
        else:
            # The worker may have accepted the job, or has called back that it is running it.
            self._ensure_ended(attempt, exchange, ending)

    def _handle_answer(self, attempt: Attempt, exchange: _Exchange, answer: Message) -> None:
        if answer.status == _ACCEPTED:
            return
        # Without the header that proves otherwise, a 503 may have been sent after the job has run.
        ending = Ending.NOT_PROCESSED if _proves_never_ran(answer) else Ending.ERROR_ANSWER
        final = _is_final(answer)
        if attempt.is_ended_by(Observation.FINAL_ANSWER if final else Observation.CONNECTION_ENDED):
            self._finish(attempt, ending, self._read_header_report(answer.headers))
        else:
            self._ensure_ended(attempt, exchange, ending)

    def _finish(
        self, attempt: Attempt, ending: Ending, report: api.LoadReport | None = None, result: bytes = b""
    ) -> None:
        self._exchanges.pop(attempt, None)
        self._host.attempt_ended(attempt, ending, report, result)

    def _delete_until_over(self, attempt: Attempt, exchange: _Exchange, ending: Ending) -> Coroutine[None]:
        """Sends DELETEs to an attempt's worker until the attempt is proven to be over, or the host has ended
        it at the job's deadline."""
        ended_before = attempt.ended
        until = max(attempt.expires_at, self._loop.now() + _DELETE_TIME_AT_DEADLINE)
        tries = 0
        for pause in _delete_pauses():
            # A 202 may have crossed the close, so a DELETE is sent, but its arrival need not be proven.
            proof_not_needed = attempt.is_ended_by(exchange.closed_by) or ended_before
            limit = (
                SHORT_DELETE_TIMEOUT
                if proof_not_needed
                else min(_DELETE_TIMEOUT << tries, _MAX_DELETE_TIMEOUT)
            )
            observation = yield from self._delete_sender.send(
                exchange.address, attempt.job.payload.id, attempt.worker, limit, until
            )
            if self._host.traced:
                trace.log_delete(self._loop.now(), attempt.job.number, attempt.worker, observation)
            if attempt.is_ended_by(observation) or (attempt.ended and not ended_before):
                break
            proof_not_needed = attempt.is_ended_by(exchange.closed_by) or ended_before
            # A DELETE that failed on this machine has not reached the worker and does not count as a try.
            tries += observation is not Observation.DELETE_FAILED_HERE
            if proof_not_needed and (
                tries >= _DELETE_TRIES or is_unreachable(observation) or self._loop.now() >= until
            ):
                break
            yield from sleep(self._loop.now() + pause)
        self._finish(attempt, ending)

    def _cancel_job(
        self, job_id: str, worker: str, until: int, done: Callable[[bool], None]
    ) -> Coroutine[None]:
        stopped = False
        for pause in _delete_pauses():
            address = self._discovery.address_of(worker)
            if address is not None:
                observation = yield from self._delete_sender.send(
                    address, job_id, worker, _DELETE_TIMEOUT, until
                )
                stopped = proves_end(observation, Progress.ACCEPTED)
            if stopped or self._loop.now() >= until:
                break
            yield from sleep(self._loop.now() + pause)
        done(stopped)

    def _run_probe(self, worker: str) -> Coroutine[None]:
        started_at = self._loop.now()
        until = started_at + _PROBE_TIMEOUT
        ending, report = Ending.ERROR_ANSWER, None
        address = self._discovery.address_of(worker)
        connection: Connection | None = None
        try:
            if address is None:
                raise ConnectionEndedError(Ending.CONNECT_REFUSED)
            connection = yield from self._get_connection(address, worker, "probe")
            target = "/-/load" if self._host.settings.report_fields else "/-/healthy"
            headers = [("Host", "{}:{}".format(*address))]
            yield from connection.write(connection.request_bytes("GET", target, headers), until)
            answer = yield from connection.read_message(until)
            if answer.status == 200:
                ending = Ending.DONE
                report = self._read_header_report({"x-server-load": answer.body.decode("latin-1")})
            self._pools.release(address, connection)
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
        # Workers need the key to drop the repeat of a keyed job that has already run.
        if payload.idempotency_key:
            headers.append(("Idempotency-Key", payload.idempotency_key))
        return connection.request_bytes(payload.method, payload.target, headers, payload.body)

    def _get_connection(self, address: Address, worker: str, purpose: str) -> Coroutine[Connection]:
        """Returns an idle connection that is still open, or a new one."""
        # Only an attempt needs a settled connection: a late duplicate of an earlier answer does no harm to a
        # probe or a DELETE, as it proves nothing there.
        connection = self._pools.take(address, settled=purpose == "attempt")
        if connection is not None:
            return connection
        return (yield from self._connect(address, worker, purpose))

    def _connect(self, address: Address, worker: str, purpose: str) -> Coroutine[Connection]:
        """Opens a new connection. Raises ConnectionEndedError if that fails or the limit is reached."""
        if self._host.traced:
            trace.log_connect(self._loop.now(), worker, purpose)
        # Hundreds of attempts at hung workers would use up the descriptors that clients and the discovery
        # service need.
        if self._open_connections >= self._max_connections and not self._pools.drop_oldest():
            raise ConnectionEndedError(Ending.FAILED_HERE, "all connections to workers are in use")
        self._open_connections += 1
        try:
            connection = yield from self._connect_with_retries(address)
        except BaseException:
            self._open_connections -= 1
            raise
        connection.on_close = self._on_close
        return connection

    def _connect_with_retries(self, address: Address) -> Coroutine[Connection]:
        """Connects; retries, within the connect time-out, failures that the worker did not cause. Otherwise a
        temporary lack of local addresses would eject every worker that an attempt is sent to meanwhile."""
        until = self._loop.now() + self._connect_timeout
        dropped = False
        while True:
            try:
                return (yield from connect(address, until))
            except ConnectionEndedError as error:
                if error.ending not in _NOT_BY_PEER or self._loop.now() + _CONNECT_RETRY_PAUSE >= until:
                    raise
                # If idle connections held the last descriptors, a DELETE could not be sent.
                if error.ending is Ending.FAILED_HERE and not dropped and self._pools.drop_oldest():
                    dropped = True
                    continue
            yield from sleep(self._loop.now() + _CONNECT_RETRY_PAUSE)

    def _on_close(self) -> None:
        self._open_connections -= 1


def _delete_pauses() -> Iterator[int]:
    """The pauses between the DELETEs of one job, ns. Infinite."""
    pause = _DELETE_PAUSE
    while True:
        yield pause
        pause = min(2 * pause, _MAX_DELETE_PAUSE)


def _is_final(answer: Message) -> bool:
    """Whether the protocol defines this answer as the end of the attempt."""
    return answer.status == 500 or _proves_never_ran(answer)


def _proves_never_ran(answer: Message) -> bool:
    """Whether this answer proves that the job never ran."""
    name = "x-not-processed"
    not_processed = answer.headers.get(name, "").strip() == "1" and name not in answer.repeated
    return not_processed and answer.status in (503, 504)
