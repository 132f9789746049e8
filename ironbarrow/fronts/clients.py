"""The listener: jobs in and final answers out, call-backs of workers, readiness."""

import json
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import structlog

from ironbarrow.core.endings import ConnectionEndedError, Ending
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Answer, Job, JobOptions, Payload
from ironbarrow.fronts.places import FRESH, LINGER_LIMIT, Places
from ironbarrow.fronts.requests import (
    JSON,
    BadRequestError,
    class_in,
    cookie_key,
    error_body,
    expect_method,
    final_answer,
    key_number,
    may_follow,
    read_job,
    retry_after,
)
from ironbarrow.runtime import sockets
from ironbarrow.runtime.loop import HANGUP, MS, READ, SECOND, Coroutine, Loop, Task, Wait, sleep
from ironbarrow.transport.http import Connection, accept, adopt
from ironbarrow.wire.http import Message

log = structlog.get_logger()


class Router(Protocol):
    """An operators' routes. Kept as a protocol: whoever has no routes does not import them."""

    def admit(self, request: Any, now: int) -> Any:
        """The ticket of an admitted request, or how it is turned away."""


class Shared(Protocol):
    """Where jobs go where several processes answer for each other's."""

    def take(
        self, payload: Payload, answered: "Callable[[Answer | None], None]", **placed: Any
    ) -> Callable[[], None]:
        """As ``Host.submit``; ``answered`` may be told None: another request is under that id. Gives back
        what is called when the client leaves, or has its answer."""

    def readiness(self) -> str:
        """One line of text: who answers for whom at present."""


_IDLE_LIMIT = 120 * SECOND
_FIRST_LIMIT = 2 * SECOND  # from accepting a connection to the first byte on it
_REQUEST_LIMIT = 2500 * MS  # from a request's first byte, or from accepting, to its last byte
_WRITE_LIMIT = 5 * SECOND
_AFTER_DEADLINE = 500 * MS  # an answer is due so long after the time of its request
_UNREAD_LIMIT = 120 * SECOND  # and no longer than this: one that reads nothing holds a place
_PAUSE = 20 * MS  # before accepting again when no descriptor is left
_FLOOD_PAUSE = 1 * MS  # between two reads from one that sends without end while its job is out
# danger: a burst of connections would keep call-backs and the discovery service waiting
_ACCEPTS_AT_ONCE = 16
_REQUESTS_AT_ONCE = 32  # danger: in a turn that reads hundreds, their senders leave and are not noticed
_FULL_ADVICE = 200 * MS  # for one that is turned away because all places have jobs


class Clients:
    """Serves every connection that comes in at the listening address."""

    def __init__(
        self,
        loop: Loop,
        host: Host,
        listener: socket.socket,
        called_back: Callable[[Any], object],
        free_descriptors: Callable[[], None],
        *,
        most: int,
        most_buffered: int,
    ) -> None:
        self._loop = loop
        self._host = host
        self._listener = listener
        self._called_back = called_back
        self._free_descriptors = free_descriptors
        self._classes = {cls.name for cls in host.settings.classes}
        self._tenants = {tenant.name for tenant in host.settings.tenants}
        self._places = Places(loop, most, most_buffered)
        self._read_now = 0  # requests in this turn of the loop
        self._in_line: deque[Task] = deque()  # who has a request to be read in a later turn
        self._next_planned = False  # their next ones are woken at this turn's end
        self._not_accepted_since = 0  # ns; from then on connections have waited that could not be accepted
        self._closing_at: int | None = None  # from when on no connection is kept
        self.asking: dict[Job, tuple[Connection, Task]] = {}  # who waits for a job's answer
        self.router: Router | None = (
            None  # the operators' routes; without them the path's first part is the class
        )
        self.shared: Shared | None = None  # without it every job is the host's
        loop.spawn(self._accept())

    @property
    def busy(self) -> bool:
        """Whether any connection is open or waits to be accepted."""
        return self._places.taken > 0 or sockets.has_pending_connection(self._listener)

    def close_idle(self) -> None:
        """From now on no connection is kept: the idle ones end at once, the others after their answer, and
        new ones that bring no request soon."""
        if self._closing_at is None:
            self._closing_at = self._loop.now()
            self._loop.call_at(self._closing_at + FRESH, self.close_idle)
        # danger: on one that has just come up, the request is on its way
        fresh_since = self._loop.now() - FRESH
        silent = [c for c in self._places.reading if not c.started and c.used_at <= fresh_since]
        for connection in silent + list(self._places.idle):
            self._places.drop(connection)

    # Connections

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(self._listener.fileno(), READ, self._loop.now() + 3600 * SECOND)
            for _ in range(_ACCEPTS_AT_ONCE):
                # danger: room made for nobody ends a connection on which the next request is on its way
                if not sockets.has_pending_connection(self._listener):
                    self._not_accepted_since = 0
                    break
                if not self._places.make_room():
                    yield from sleep(self._loop.now() + _PAUSE)
                    continue
                try:
                    connection = accept(self._listener)
                except OSError as error:
                    self._not_accepted_since = self._not_accepted_since or self._loop.now()
                    yield from self._out_of_descriptors(error)
                    continue
                if connection is None:
                    break
                if self._not_accepted_since:
                    connection.waited = self._loop.now() - self._not_accepted_since
                self._places.take(connection)
                # danger: noted only by its own first line, it could be ended before that line has run;
                # the lines at its end would not run either, and its place would stay taken
                self._loop.spawn(self._serve(connection))

    def _out_of_descriptors(self, error: OSError) -> Coroutine[None]:
        """Danger: with no descriptor left, accept fails at once for ever and the loop would spin."""
        log.warning("no descriptor left", error=str(error), connections=self._places.taken)
        self._free_descriptors()
        self._places.free_descriptors()
        yield from sleep(self._loop.now() + _PAUSE)

    def _serve(self, connection: Connection) -> Coroutine[None]:
        task = self._loop.current
        assert task is not None
        self._places.reading[connection] = task
        try:
            while (request := (yield from self._next_request(connection, task))) is not None:
                keep = yield from self._respond(connection, task, request)
                self._places.end_job(connection)
                if not keep or not connection.next_cycle():
                    break
                if self._closing_at is not None and not connection.started and connection.is_silent():
                    break
                connection.used_at = self._loop.now()
                if connection.started:
                    # danger: hundreds of requests that came at once would keep all others waiting
                    yield from sleep(self._loop.now())
            connection.shut_down()
        except ConnectionEndedError as error:
            yield from self._answer_malformed(connection, error)
        finally:
            self._places.leave(connection)

    def _next_request(self, connection: Connection, task: Task) -> Coroutine[Message | None]:
        """The next request, or None if the connection ended between two."""
        places = self._places
        first = connection in places.reading
        if not connection.started:
            limit = _FIRST_LIMIT if first else _IDLE_LIMIT
            if self._closing_at is not None:  # danger: one that says nothing would hold up the end
                limit = LINGER_LIMIT
            if not first:
                places.idle[connection] = task
            ready = yield Wait(connection.sock.fileno(), READ, connection.used_at + limit)
            # danger: a request may come in the very turn in which the time is over
            if (not ready and connection.is_silent()) or connection.is_closed():
                return None
            places.idle.pop(connection, None)
        if not first:
            connection.used_at = self._loop.now()
            places.reading[connection] = task
        yield from self._turn_to_read(task)
        request = yield from connection.read_message(connection.used_at + _REQUEST_LIMIT)
        places.reading.pop(connection, None)
        places.release(connection)
        return request

    def _turn_to_read(self, task: Task) -> Coroutine[None]:
        """Waits until few enough have been read in this turn of the loop; first come, first read."""
        if self._in_line or self._read_now >= _REQUESTS_AT_ONCE:
            self._in_line.append(task)
            if not (yield Wait(-1, 0, self._loop.now() + _REQUEST_LIMIT)):
                self._in_line.remove(task)  # danger: woken later, it would end another wait
        self._read_now += 1
        self._plan_next()

    def _plan_next(self) -> None:
        if not self._next_planned:
            self._next_planned = True
            self._loop.call_soon(self._wake_next)

    def _wake_next(self) -> None:
        self._next_planned = False
        self._read_now = 0
        for _ in range(min(len(self._in_line), _REQUESTS_AT_ONCE)):
            self._in_line.popleft().wake()
        if self._in_line:
            self._plan_next()

    def _answer_malformed(self, connection: Connection, error: ConnectionEndedError) -> Coroutine[None]:
        if error.ending not in (Ending.MALFORMED, Ending.TOO_LARGE, Ending.STALLED):
            return
        if not connection.can_answer():
            return
        # what is not HTTP makes no room for others before its answer is out
        self._places.reading.pop(connection, None)
        try:
            body = error_body(str(error))
            data = connection.response_bytes(error.status, [JSON, ("Connection", "close")], body)
            yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
            connection.shut_down()
        except ConnectionEndedError:
            return

    # Requests

    def _respond(self, connection: Connection, task: Task, request: Message) -> Coroutine[bool]:
        """Answers one request; whether the connection may carry another."""
        headers: list[tuple[str, str]] = []
        due = 0
        try:
            path = request.target.partition("?")[0]
            if path == "/-/ready":
                expect_method(request, "GET")
                status, body = (
                    (200, b"ready") if self._host.has_worker_list else (503, b"no list of workers yet")
                )
                if self.shared is not None:
                    headers.append(("X-Fleet", self.shared.readiness()))
            elif path == "/callback":
                expect_method(request, "POST")
                status, body = self._call_back(request)
            elif self._is_job(path):
                expect_method(request, "POST")
                payload, placed = read_job(request)
                # danger: the client's time ran on while nobody could accept its connection
                placed["time_left"] = max(MS, placed["time_left"] - connection.waited)
                connection.waited = 0
                due = self._loop.now() + placed["time_left"] + _AFTER_DEADLINE
                answer = yield from self._job(connection, task, request, payload, placed)
                if answer is None:
                    return False
                status, body = final_answer(answer, headers)
            else:
                raise BadRequestError(404, "no such path")
        except BadRequestError as error:
            status, body = error.status, error_body(str(error))
            headers = [JSON, *error.headers]
        keep = request.keep and not connection.thrown_away and not self._ends(connection)
        if not keep:
            headers.append(("Connection", "close"))
        data = connection.response_bytes(status, headers, body)
        now = self._loop.now()
        # danger: ended before its time, a client that reads slowly loses a whole answer
        until = max(now + _WRITE_LIMIT, min(due, now + _UNREAD_LIMIT))
        yield from connection.write(data, until)
        return keep

    def _ends(self, connection: Connection) -> bool:
        """Whether the next answer is the connection's last. Danger: a request that has come in already was
        taken; but one that always has another in would never let the program end."""
        if self._closing_at is None:
            return False
        rests = not connection.has_unread and connection.is_silent()
        return rests or self._loop.now() > self._closing_at + LINGER_LIMIT

    def _is_job(self, path: str) -> bool:
        return self.router is not None or class_in(path) in self._classes

    def _call_back(self, request: Message) -> tuple[int, bytes]:
        try:
            self._called_back(json.loads(request.body))
        except (ValueError, RecursionError) as error:
            raise BadRequestError(400, f"malformed call-back: {error}") from None
        return 204, b""

    def _job(
        self, connection: Connection, task: Task, request: Message, payload: Payload, placed: dict[str, Any]
    ) -> Coroutine[Answer | None]:
        """Hands in a job and waits for its final answer; None if the client left first."""
        # danger: in a burst, its sender may have left before its turn came
        if not connection.look_ahead(self._places.room_ahead()):
            return None
        if not may_follow(connection.unread):
            raise ConnectionEndedError(Ending.MALFORMED, "the body is longer than its length")
        answers: list[Answer | None] = []

        def answered(answer: Answer | None) -> None:
            answers.append(answer)
            task.wake()

        left = self._take(connection, task, request, payload, placed, answered)
        try:
            there = yield from self._wait(connection, answers)
        finally:
            left()
        if not there:
            return None
        if answers[0] is None:
            raise BadRequestError(409, "another request is under this X-Request-ID")
        return answers[0]

    def _wait(self, connection: Connection, answers: "list[Answer | None]") -> Coroutine[bool]:
        """Waits for a job's answer; whether it came before the client left."""
        while not answers:
            now = self._loop.now()
            if not connection.floods:
                # it is answered long before
                yield Wait(connection.sock.fileno(), READ, now + 3600 * SECOND)
            else:
                yield Wait(connection.sock.fileno(), HANGUP, now + _FLOOD_PAUSE)
            if not answers and not connection.look_ahead(self._places.room_ahead()):
                return False
        return True

    def _withdraw(self, job: Job) -> None:
        self.asking.pop(job, None)
        self._host.withdraw(job)

    def adopt(
        self, sock: socket.socket, begin: Callable[[Callable[[Answer], None]], Callable[[], None]]
    ) -> Task:
        """Answers a client whose request another process has read. ``begin`` is given where the one final
        answer goes, and gives back what is called when the client leaves before it."""
        return self._loop.spawn(self._serve_adopted(adopt(sock), begin))

    def _serve_adopted(
        self, connection: Connection, begin: Callable[[Callable[[Answer], None]], Callable[[], None]]
    ) -> Coroutine[None]:
        answers: list[Answer | None] = []
        task = self._loop.current
        assert task is not None
        self._places.take(connection)
        left: Callable[[], None] | None = None

        def answered(answer: Answer) -> None:
            answers.append(answer)
            task.wake()

        try:
            left = begin(answered)
            if not (yield from self._wait(connection, answers)):
                return
            headers: list[tuple[str, str]] = [("Connection", "close")]
            assert answers[0] is not None
            status, body = final_answer(answers[0], headers)
            data = connection.response_bytes(status, headers, body)
            yield from connection.write(data, self._loop.now() + _WRITE_LIMIT)
            connection.shut_down()
        except ConnectionEndedError:
            return
        finally:
            if left is not None and not answers:
                left()
            self._places.leave(connection)

    def _take(
        self,
        connection: Connection,
        task: Task,
        request: Message,
        payload: Payload,
        placed: dict[str, Any],
        answered: Callable[[Answer | None], None],
    ) -> Callable[[], None]:
        """Hands in a job; gives back what is called at the end, or when the client leaves before it."""
        if self.shared is None and self._host.has_job(payload.id):
            raise BadRequestError(409, "a job with this X-Request-ID is under way")
        if self._host.must_not_run_again(payload.id):
            # danger: its client may not have read the answer, and asks once more
            raise BadRequestError(500, "a job with this X-Request-ID may have run")
        if not self._places.has_room_for_job(len(payload.body)):
            # nothing of it was sent: another try is harmless
            raise BadRequestError(503, "too many jobs wait here", self._advice(_FULL_ADVICE))
        if self.router is not None:
            placed |= self._routed(request, placed["time_left"])
        else:
            path = request.target.partition("?")[0]
            placed |= {"job_class": class_in(path), "key": cookie_key(request.headers.get("cookie", ""))}
            if (tenant := request.headers.get("x-tenant-id", "").strip()) in self._tenants:
                placed["tenant"] = tenant
        self._places.begin_job(connection, len(payload.body))
        if self.shared is not None:
            return self.shared.take(payload, answered, **placed)
        taken = self._host.submit(payload, answered, **placed)
        self.asking[taken] = connection, task
        return partial(self._withdraw, taken)

    def _advice(self, wanted: int) -> list[tuple[str, str]]:
        settings = self._host.settings
        return retry_after(min(wanted, settings.max_retry_after) if settings.gives_retry_after else 0)

    def _routed(self, request: Message, time_left: int) -> dict[str, Any]:
        """Class, key, tenant and terms by the operators' routes; a BadRequestError if they turn it away.
        Last of all checks: whoever holds a ticket takes the job."""
        from ironbarrow.routing.request import PathError, make_request
        from ironbarrow.routing.router import Ticket, arrival

        settings = self._host.settings
        try:
            seen = make_request(
                request.method,
                request.target,
                request.headers,
                repeated=request.repeated,
                body_size=len(request.body),
                time_left=time_left,
                zone=settings.zone,
            )
        except PathError as error:
            raise BadRequestError(400, str(error)) from None
        assert self.router is not None
        found = self.router.admit(seen, self._loop.now())
        if not isinstance(found, Ticket):
            raise BadRequestError(found.status, found.reason, self._advice(found.retry_after))
        return {
            "job_class": found.route.cls.name,
            "key": key_number(found.key) if found.key else None,
            "tenant": found.tenant or None,
            "options": JobOptions(**arrival(found, settings), limiter=found),
        }
