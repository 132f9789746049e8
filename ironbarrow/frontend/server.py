"""The HTTP server of a dispatcher: jobs and final answers, call-backs of workers, readiness."""

import json
import socket
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import structlog

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.host import Host
from ironbarrow.core.job_ids import IdState
from ironbarrow.core.jobs import Answer, Job, JobOptions, Payload
from ironbarrow.frontend.connection_slots import LINGER_TIMEOUT, NEW_CONNECTION_GRACE, ConnectionSlots
from ironbarrow.frontend.owed_answers import AnswerEnd, OwedAnswers
from ironbarrow.frontend.request_start import MAX_REQUEST_LINE, RequestStart, request_start
from ironbarrow.frontend.requests import (
    JSON_HEADER,
    RequestRejectedError,
    class_from_path,
    error_body,
    final_response,
    hash_key,
    key_from_cookie,
    parse_job,
    require_method,
    retry_after_headers,
)
from ironbarrow.frontend.turn_queue import TurnQueue
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import HANGUP, MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.transport.http import Connection, accept, adopt
from ironbarrow.wire.http import Message

log = structlog.get_logger()


class Router(Protocol):
    """The operators' routes. A protocol, so that a dispatcher without routes doesn't import their package."""

    def admit(self, request: Any, now: int) -> Any:
        """The ticket of an admitted request, or the rejection."""


class FleetJobs(Protocol):
    """Takes the jobs of a dispatcher in a fleet, whose members take over each other's jobs."""

    def submit(
        self, payload: Payload, on_answer: "Callable[[Answer | None], None]", **placement: Any
    ) -> Callable[[], None]:
        """As ``Host.submit``, but ``on_answer`` is called with None if another request has the same id.
        Returns the function to call when the client disconnects or has its answer."""

    def readiness(self) -> str:
        """The state of the fleet as one line of text, for the header X-Fleet."""


_IDLE_TIMEOUT = 120 * SECOND
_FIRST_BYTE_TIMEOUT = 2 * SECOND  # from accepting a connection to the first byte on it
_REQUEST_TIMEOUT = 2500 * MS  # from a request's first byte, or from accepting, to its last byte
_WRITE_TIMEOUT = 5 * SECOND
_ANSWER_GRACE = 500 * MS  # after a job's deadline, its answer may still be written for so long
_MAX_WRITE_TIMEOUT = 120 * SECOND  # a client that reads nothing holds its slot no longer than this
_ACCEPT_RETRY_DELAY = 20 * MS  # when there is no slot or no descriptor left
_FLOOD_READ_INTERVAL = 1 * MS  # between reads from a client that sends without end while its job is running
# without a limit, a burst of connections would delay call-backs and the messages of the discovery service
_ACCEPTS_PER_TURN = 16
# in a turn that reads hundreds of requests, disconnects of their senders would go unnoticed
_REQUESTS_PER_TURN = 32
_BODIES_PER_TURN = 4  # of those in very many chunks
_CLIENT_LEFT = frozenset((Ending.CLOSED, Ending.RESET))  # endings of a connection while it is written to
_FULL_RETRY_AFTER = 200 * MS  # for a job that is rejected as no slot is left, or as the process ends
_LAST_READ_TIMEOUT = 20 * MS  # for a request, once the process accepts no more jobs
_REQUEST_START_TIMEOUT = SECOND  # for input after a request to tell whether it begins another one


class HttpServer:
    """Serves the connections accepted from one listener."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        listener: socket.socket,
        on_call_back: Callable[[Any], object],
        release_descriptors: Callable[[], None],
        *,
        max_connections: int,
        max_buffered_bytes: int,
    ) -> None:
        self._loop = loop
        self._host = host
        self._listener = listener
        self._on_call_back = on_call_back
        self._release_descriptors = release_descriptors
        self._classes = {cls.name for cls in host.settings.classes}
        self._tenants = {tenant.name for tenant in host.settings.tenants}
        self._slots = ConnectionSlots(loop, max_connections, max_buffered_bytes)
        self._read_turns = TurnQueue(loop, _REQUESTS_PER_TURN)
        self._body_turns = TurnQueue(loop, _BODIES_PER_TURN)
        self._undecided: set[Task] = set()  # with a request that waits for the input after it
        self._accept_waiting_since: int | None = None  # ns; since when connections wait to be accepted
        self._closing_since: int | None = None  # ns; from then on no connection is kept alive
        self.awaiting_answer: dict[Job, tuple[Connection, Task]] = {}  # clients that wait
        self._owed = OwedAnswers(loop, host.event_log, host.shutdown)
        # the operators' routes; without them, the first segment of the path is the job's class
        self.router: Router | None = None
        self.fleet_jobs: FleetJobs | None = None  # without a fleet, jobs go to the host
        self._ending = False  # no more jobs are accepted, as the process ends
        self._accepting = True
        self._accept_task = loop.spawn(self._accept_loop())

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open or waits to be accepted."""
        if self._slots.in_use > 0:
            return True
        return not self._accept_task.done and sockets.has_pending_connection(self._listener)

    @property
    def unwritten_answers(self) -> int:
        """Number of answers that are known and not written to their clients yet."""
        return self._owed.unwritten

    def check_late_answers(self) -> None:
        """Counts the late jobs of a shutdown that have no answer when the process may end."""
        self._owed.check_late()

    def end_incomplete_requests(self) -> None:
        """Refuses the requests that are not complete, and from now on each one that takes long. Their
        connections would end with the process, and their clients could not tell whether they were taken."""
        self._ending = True
        for task in list(self._undecided):
            task.wake()
        for connection, task in list(self._slots.reading.items()):
            if connection.message_started:
                connection.read_limit = self._loop.now() + _LAST_READ_TIMEOUT
                task.wake()

    def stop_accepting(self) -> None:
        """Accepts the connections that wait, then closes the listener. Later ones reach the other processes
        that listen on the address."""
        self._accepting = False
        self._accept_task.wake()

    def close_idle(self) -> None:
        """Stops keep-alive: closes idle connections now, new ones that send no request soon, and the others
        after their next response."""
        if self._closing_since is None:
            self._closing_since = self._loop.now()
            self._loop.call_at(self._closing_since + NEW_CONNECTION_GRACE, self.close_idle)
        # the first request on a new connection may be on its way
        grace_start = self._loop.now() - NEW_CONNECTION_GRACE
        unused = [c for c in self._slots.reading if not c.message_started and c.last_used_at <= grace_start]
        for connection in unused + list(self._slots.idle):
            self._slots.evict(connection)

    # Connections

    def _accept_loop(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPTS_PER_TURN):
                # without this check, ``make_room`` would evict a connection though no other one waits, and a
                # request that is on its way on it would be lost
                if not sockets.has_pending_connection(self._listener):
                    self._accept_waiting_since = None
                    if not self._accepting:
                        self._listener.close()
                        return
                    break
                if not self._slots.make_room():
                    self._note_waiting_connections()
                    yield from sleep(self._loop.now() + _ACCEPT_RETRY_DELAY)
                    continue
                try:
                    connection = accept(self._listener)
                except OSError as error:
                    self._note_waiting_connections()
                    yield from self._handle_descriptor_shortage(error)
                    continue
                if connection is None:
                    break
                self._start_serving(connection)
            else:
                self._note_waiting_connections()

    def _note_waiting_connections(self) -> None:
        """Connections may wait to be accepted from now on, until none is left."""
        if self._accept_waiting_since is None:
            self._accept_waiting_since = self._loop.now()

    def _start_serving(self, connection: Connection) -> None:
        """Serves a connection that was just accepted."""
        last_input_at = None
        connection.may_wait_since = self._accept_waiting_since
        if self._accept_waiting_since is not None:
            age = connection.input_age()
            if age is not None:
                # a connection that has waited to be accepted and said nothing has had that time to speak
                last_input_at = max(self._accept_waiting_since, self._loop.now() - age)
            elif connection.is_idle():
                connection.may_wait_since = None  # its first request is still to come
        self._slots.acquire(connection, last_input_at)
        connection.await_turn = self._body_turns.wait
        # the task itself enters the connection in ``reading`` once it runs: if it was evicted before that,
        # its ``finally`` would not run and its slot would never be freed
        self._loop.spawn(self._serve_connection(connection))

    def _handle_descriptor_shortage(self, error: OSError) -> Coroutine[None]:
        """Frees descriptors and waits: accept keeps failing at once without one, and the loop would spin."""
        log.warning("no descriptor left", error=str(error), connections=self._slots.in_use)
        self._release_descriptors()
        self._slots.release_descriptors()
        yield from sleep(self._loop.now() + _ACCEPT_RETRY_DELAY)

    def _serve_connection(self, connection: Connection) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        self._slots.reading[connection] = task
        try:
            while (request := (yield from self._next_request(connection, task))) is not None:
                keep = yield from self._respond(connection, task, request)
                del request  # its body would take memory until the next one is read
                self._slots.end_job(connection)
                if not keep or not connection.next_cycle():
                    break
                if (
                    self._closing_since is not None
                    and not connection.message_started
                    and connection.is_idle()
                ):
                    break
                connection.last_used_at = self._loop.now()
                if connection.message_started:
                    # yield to the others: one client may have sent hundreds of requests at once
                    yield from sleep(self._loop.now())
            connection.shutdown_write()
        except ConnectionEndedError as error:
            self._owed.end(task, _answer_end(error))
            yield from self._answer_malformed(connection, error)
        finally:
            self._owed.connection_closed(task)
            self._slots.release(connection)

    def _next_request(self, connection: Connection, task: Task) -> Coroutine[Message | None]:
        """The next request, or None if the connection ended before it began."""
        slots = self._slots
        first = connection in slots.reading
        if not connection.message_started:
            limit = _FIRST_BYTE_TIMEOUT if first else _IDLE_TIMEOUT
            if self._closing_since is not None:  # a client that sends nothing would delay the shutdown
                limit = LINGER_TIMEOUT
            if not first:
                slots.idle[connection] = task
            ready = yield Wait(connection.sock.fileno(), READ, connection.last_used_at + limit)
            # a request may have arrived in the same turn in which the time-out expired
            if (not ready and connection.is_idle()) or connection.is_closed():
                return None
            slots.idle.pop(connection, None)
        if not first:
            connection.last_used_at = self._loop.now()
            slots.reading[connection] = task
        yield from self._read_turns.wait(self._loop.now() + _REQUEST_TIMEOUT)
        limit = connection.last_used_at + _REQUEST_TIMEOUT
        if self._ending:
            limit = min(limit, self._loop.now() + _LAST_READ_TIMEOUT)
        request = yield from connection.read_message(limit)
        slots.reading.pop(connection, None)
        slots.request_complete(connection)
        return request

    def _answer_malformed(self, connection: Connection, error: ConnectionEndedError) -> Coroutine[None]:
        if error.ending not in (Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED):
            return
        if not connection.can_answer():
            return
        # not to be evicted before its response is written
        self._slots.reading.pop(connection, None)
        try:
            status, text = error.status, str(error)
            if self._ending and error.ending is Ending.STALLED:
                status, text = 503, "this process ends"  # nothing was sent to a worker
            headers = [JSON_HEADER, ("Connection", "close")]
            data = connection.response_bytes(status, headers, error_body(text))
            yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
            connection.shutdown_write()
        except ConnectionEndedError:
            return

    # Requests

    def _respond(self, connection: Connection, task: Task, request: Message) -> Coroutine[bool]:
        """Answers one request; returns whether the connection is kept alive."""
        headers: list[tuple[str, str]] = []
        due = 0
        try:
            path = request.target.partition("?")[0]
            if path == "/-/ready":
                require_method(request, "GET")
                status, body = (
                    (200, b"ready") if self._host.has_worker_list else (503, b"no list of workers yet")
                )
                if self.fleet_jobs is not None:
                    headers.append(("X-Fleet", self.fleet_jobs.readiness()))
            elif path == "/callback":
                require_method(request, "POST")
                status, body = self._handle_call_back(request)
            elif self._is_job_path(path):
                require_method(request, "POST")
                payload, placement = parse_job(request)
                # the client's time-out was already running while its connection could not be accepted
                placement["time_left"] -= self._accept_delay(connection)
                due = self._loop.now() + placement["time_left"] + _ANSWER_GRACE
                answer = yield from self._handle_job(connection, task, request, payload, placement)
                if answer is None:
                    return False
                status, body = final_response(answer, headers)
            else:
                raise RequestRejectedError(404, "no such path")
        except RequestRejectedError as error:
            status, body = error.status, error_body(str(error))
            headers = [JSON_HEADER, *error.headers]
        keep = (
            request.keep_alive and not connection.discarded_bytes and not self._is_last_response(connection)
        )
        if not keep:
            headers.append(("Connection", "close"))
        data = connection.response_bytes(status, headers, body)
        now = self._loop.now()
        # a client that reads slowly may take until its deadline; cut off earlier, it would lose its answer
        until = max(now + _WRITE_TIMEOUT, min(due, now + _MAX_WRITE_TIMEOUT))
        yield from connection.write(data, until)
        self._owed.end(task, AnswerEnd.WRITTEN)
        return keep

    def _accept_delay(self, connection: Connection) -> int:
        """How long the request that was just read may have waited for its connection to be accepted, ns."""
        since, connection.may_wait_since = connection.may_wait_since, None
        if since is None:
            return 0
        delay = self._loop.now() - since
        age = connection.input_age()
        # input beyond the request has arrived after it, and its age says nothing of the request's
        return delay if age is None or connection.has_unread else min(delay, age)

    def _is_last_response(self, connection: Connection) -> bool:
        """Whether the connection ends after the next response, because the server is closing.

        Requests that have already arrived are still served, but only for LINGER_TIMEOUT: a client that always
        has another request pending would never let the process end.
        """
        if self._closing_since is None:
            return False
        quiet = not connection.has_unread and connection.is_idle()
        return quiet or self._loop.now() > self._closing_since + LINGER_TIMEOUT

    def _is_job_path(self, path: str) -> bool:
        return self.router is not None or class_from_path(path) in self._classes

    def _handle_call_back(self, request: Message) -> tuple[int, bytes]:
        try:
            self._on_call_back(json.loads(request.body))
        except (ValueError, RecursionError) as error:
            raise RequestRejectedError(400, f"malformed call-back: {error}") from None
        return 204, b""

    def _handle_job(
        self,
        connection: Connection,
        task: Task,
        request: Message,
        payload: Payload,
        placement: dict[str, Any],
    ) -> Coroutine[Answer | None]:
        """Submits a job and waits for its final answer; None if the client disconnected first."""
        deadline = self._loop.now() + placement["time_left"]
        if not (yield from self._read_behind_job(connection, request, payload, deadline)):
            return None
        placement["time_left"] = deadline - self._loop.now()
        answers: list[Answer | None] = []

        def on_answer(answer: Answer | None) -> None:
            answers.append(answer)
            task.wake()

        finish = self._submit(connection, task, request, payload, placement, on_answer)
        request.headers.clear()  # not needed while the job runs
        self._owed.begin(task, payload.id)
        try:
            client_present = yield from self._await_answer(connection, answers, request)
        finally:
            finish()
        if not client_present:
            self._owed.end(task, AnswerEnd.CLIENT_LEFT)
            return None
        self._owed.decided(task)
        if answers[0] is None:
            raise RequestRejectedError(409, "another request is under this X-Request-ID")
        return answers[0]

    def _read_behind_job(
        self, connection: Connection, request: Message, payload: Payload, deadline: int
    ) -> Coroutine[bool]:
        """Reads what has arrived behind a job, which counts as a job meanwhile; returns False if the client
        disconnected. Raises ConnectionEndedError if it is the rest of the body. The wait is part of the job's
        time, which ends at ``deadline`` (ns)."""
        if not self._slots.has_room_for_job(payload):
            return True  # it is refused next
        self._slots.begin_job(connection, payload)
        try:
            return (yield from self._read_to_end_of_input(connection)) and (
                yield from self._await_request_start(connection, request, deadline)
            )
        finally:
            self._slots.end_job(connection)

    def _read_to_end_of_input(self, connection: Connection) -> Coroutine[bool]:
        """Reads ahead until no input is left, or the client has sent more than one that has disconnected can
        leave behind. Returns False if it has disconnected: that is only seen behind all of its input."""
        while connection.read_ahead(self._slots.read_ahead_budget()):
            if not connection.may_have_input or connection.is_flooding:
                return True
            yield from sleep(self._loop.now())
        return False

    def _await_request_start(
        self, connection: Connection, request: Message, deadline: int
    ) -> Coroutine[bool]:
        """Waits while the input after a job is too short to tell whether it belongs to the body; returns
        False if the client disconnected first. Raises ConnectionEndedError if it does, or remains too short.
        ``deadline``: of the job, ns."""
        now = self._loop.now()
        until = now + min(_REQUEST_START_TIMEOUT, (deadline - now) // 2)
        task = self._loop.current
        assert task is not None
        self._undecided.add(task)
        try:
            while _check_request_start(connection, request) is RequestStart.UNDECIDED:
                if self._ending:
                    raise RequestRejectedError(503, "this process ends")
                if self._loop.now() >= until:
                    raise _longer_body_error()
                yield Wait(connection.sock.fileno(), READ, until)
                if not connection.read_ahead(self._slots.read_ahead_budget()):
                    return False
        finally:
            self._undecided.discard(task)
        return True

    def _await_answer(
        self, connection: Connection, answers: "list[Answer | None]", request: Message | None = None
    ) -> Coroutine[bool]:
        """Waits for a job's answer; returns False if the client disconnected first. Raises
        ConnectionEndedError if input that arrives meanwhile belongs to the body of ``request``."""
        settled = request is None
        while True:
            if not settled:
                assert request is not None
                settled = _check_request_start(connection, request) is RequestStart.LINE
            if answers:
                return True
            now = self._loop.now()
            if not connection.is_flooding:
                # any job is answered long before that
                yield Wait(connection.sock.fileno(), READ, now + 3600 * SECOND)
            else:
                yield Wait(connection.sock.fileno(), HANGUP, now + _FLOOD_READ_INTERVAL)
            # with an answer, too: the rest of the body may have arrived in the same turn
            if not connection.read_ahead(self._slots.read_ahead_budget()) and not answers:
                return False

    def _withdraw(self, job: Job) -> None:
        self.awaiting_answer.pop(job, None)
        self._host.withdraw(job)

    def handed_over(self, task: Task) -> None:
        """Ends the task of a client whose job another process has taken over."""
        self._owed.end(task, AnswerEnd.HANDED_OVER)
        task.cancel()

    def adopt(
        self,
        sock: socket.socket,
        job_id: str,
        begin: Callable[[Callable[[Answer], None]], Callable[[], None]],
    ) -> Task:
        """Answers a client whose request was read by another process.

        ``begin`` is called with the function that takes the one final answer. It returns the function to call
        if the client disconnects before that.
        """
        return self._loop.spawn(self._serve_adopted(adopt(sock), job_id, begin))

    def _serve_adopted(
        self,
        connection: Connection,
        job_id: str,
        begin: Callable[[Callable[[Answer], None]], Callable[[], None]],
    ) -> Coroutine[None]:
        answers: list[Answer | None] = []
        task = self._loop.current
        assert task is not None
        self._slots.acquire(connection)
        cancel: Callable[[], None] | None = None
        self._owed.begin(task, job_id)

        def on_answer(answer: Answer) -> None:
            answers.append(answer)
            task.wake()

        try:
            cancel = begin(on_answer)
            if not (yield from self._await_answer(connection, answers)):
                self._owed.end(task, AnswerEnd.CLIENT_LEFT)
                return
            self._owed.decided(task)
            headers: list[tuple[str, str]] = [("Connection", "close")]
            assert answers[0] is not None
            status, body = final_response(answers[0], headers)
            data = connection.response_bytes(status, headers, body)
            yield from connection.write(data, self._loop.now() + _WRITE_TIMEOUT)
            self._owed.end(task, AnswerEnd.WRITTEN)
            connection.shutdown_write()
        except ConnectionEndedError as error:
            self._owed.end(task, _answer_end(error))
        finally:
            self._owed.connection_closed(task)
            if cancel is not None and not answers:
                cancel()
            self._slots.release(connection)

    def _submit(
        self,
        connection: Connection,
        task: Task,
        request: Message,
        payload: Payload,
        placement: dict[str, Any],
        on_answer: Callable[[Answer | None], None],
    ) -> Callable[[], None]:
        """Submits a job. Returns the function to call when the client disconnects or has its answer; raises
        RequestRejectedError if the job is not accepted."""
        if self.fleet_jobs is not None:
            # the fleet decides about ids of live jobs
            if self._host.job_ids.state(payload.id) is IdState.MAY_HAVE_RUN:
                raise _taken_id_error(IdState.MAY_HAVE_RUN)
            placement |= self._placement(request, payload, placement["time_left"])
            self._slots.begin_job(connection, payload)
            return self.fleet_jobs.submit(payload, on_answer, **placement)
        state = self._host.job_ids.claim(payload.id)
        if state is not IdState.FREE:
            raise _taken_id_error(state)
        try:
            placement |= self._placement(request, payload, placement["time_left"])
        except BaseException:
            self._host.job_ids.release(payload.id, may_have_run=False)
            raise
        self._slots.begin_job(connection, payload)
        job = self._host.submit(payload, on_answer, **placement)
        self.awaiting_answer[job] = connection, task
        return partial(self._withdraw, job)

    def _placement(self, request: Message, payload: Payload, time_left: int) -> dict[str, Any]:
        """Class, key, tenant and options of a job, or RequestRejectedError."""
        if not self._host.shutdown.accepts_jobs:
            raise RequestRejectedError(503, "this process ends", self._retry_after_headers(_FULL_RETRY_AFTER))
        if time_left <= 0:
            raise RequestRejectedError(503, "its time was over before it was read")
        if not self._slots.has_room_for_job(payload):
            # nothing was sent to a worker, so a retry is harmless
            raise RequestRejectedError(
                503, "too many jobs wait here", self._retry_after_headers(_FULL_RETRY_AFTER)
            )
        if self.router is not None:
            return self._route(request, time_left)
        placement: dict[str, Any] = {
            "job_class": class_from_path(request.target.partition("?")[0]),
            "key": key_from_cookie(request.headers.get("cookie", "")),
        }
        if (tenant := request.headers.get("x-tenant-id", "").strip()) in self._tenants:
            placement["tenant"] = tenant
        return placement

    def _retry_after_headers(self, delay: int) -> list[tuple[str, str]]:
        settings = self._host.settings
        return retry_after_headers(min(delay, settings.max_retry_after) if settings.gives_retry_after else 0)

    def _route(self, request: Message, time_left: int) -> dict[str, Any]:
        """Class, key, tenant and terms of a job by the operators' routes, or RequestRejectedError.

        Must be the last check: once a ticket is issued, the job has to be submitted.
        """
        from ironbarrow.routing.request import PathError, make_request
        from ironbarrow.routing.router import Ticket, job_options

        settings = self._host.settings
        try:
            routed_request = make_request(
                request.method,
                request.target,
                request.headers,
                repeated=request.repeated,
                body_size=len(request.body),
                time_left=time_left,
                zone=settings.zone,
            )
        except PathError as error:
            raise RequestRejectedError(400, str(error)) from None
        assert self.router is not None
        ticket = self.router.admit(routed_request, self._loop.now())
        if not isinstance(ticket, Ticket):
            raise RequestRejectedError(
                ticket.status, ticket.reason, self._retry_after_headers(ticket.retry_after)
            )
        return {
            "job_class": ticket.route.cls.name,
            "key": hash_key(ticket.key) if ticket.key else None,
            "tenant": ticket.tenant or None,
            "options": JobOptions(**job_options(ticket, settings), limiter=ticket),
        }


def _check_request_start(connection: Connection, request: Message) -> RequestStart:
    """What the input after a request is; raises ConnectionEndedError if it belongs to the request's body."""
    start = request_start(connection.unread(MAX_REQUEST_LINE))
    if start is RequestStart.IMPOSSIBLE or (not request.keep_alive and start is not RequestStart.NOTHING):
        raise _longer_body_error()
    return start


def _longer_body_error() -> ConnectionEndedError:
    return ConnectionEndedError(Ending.MALFORMED, "the body is longer than its length")


def _answer_end(error: ConnectionEndedError) -> AnswerEnd:
    """How an answer that was owed ends with its connection."""
    if error.ending is Ending.MALFORMED:
        return AnswerEnd.MALFORMED
    return AnswerEnd.CLIENT_LEFT if error.ending in _CLIENT_LEFT else AnswerEnd.NOT_WRITTEN


def _taken_id_error(state: IdState) -> RequestRejectedError:
    """The response to a request whose id is not free."""
    if state is IdState.IN_USE:
        return RequestRejectedError(409, "a job with this X-Request-ID is under way")
    if state is IdState.MAY_HAVE_RUN:
        # the client may have lost the answer and sent the request again
        return RequestRejectedError(500, "a job with this X-Request-ID may have run")
    # 503 would tell the client that another try is harmless
    return RequestRejectedError(500, "a job with this X-Request-ID may be under way")
