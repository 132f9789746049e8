"""One process of a dispatcher and the one beside it: who succeeds whom, what passes between them."""

import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Protocol

import structlog

from heathway import api
from ironbarrow.core.host import Host
from ironbarrow.core.jobs import Answer, Attempt, Job, JobOptions, Payload
from ironbarrow.handover import records
from ironbarrow.handover.channel import Channel
from ironbarrow.handover.keeper import Keeper, Kept
from ironbarrow.handover.records import Record
from ironbarrow.runtime.loop import MS, Loop, Task
from ironbarrow.transport.http import Connection

log = structlog.get_logger()

_STEP = 20 * MS  # between two looks at what can be handed over, or at what has run out
_TAKEN_WITHIN = 500 * MS  # the next process says by then that it could not take a job
_LEAST_LEFT = 50 * MS  # a job with less time left is not worth moving

_Begin = Callable[[Callable[[Answer], None]], Callable[[], None]]


class Front(Protocol):
    """What has the clients' connections."""

    awaiting_answer: dict[Job, tuple[Connection, Task]]

    def adopt(self, sock: socket.socket, begin: _Begin) -> Task:
        """Answers a client whose request another process has read; ended early, the task lets go of it."""


class Back(Protocol):
    """What has the attempts."""

    def detach(self, attempt: Attempt) -> None:
        """Another process has the attempt now."""

    def called_back(self, raw: Any) -> bool:
        """A worker's word on an attempt, and whether any is out that it is about; a ValueError if it is
        malformed."""


@dataclass(slots=True)
class _Adopted:
    """A job of the old process: its client, what was told of it, the host's job once taken anew."""

    sock: socket.socket
    task: Task
    record: Record
    job: Job | None = None


@dataclass(slots=True)
class _HandedOver:
    """A job that was given to the next process, which may still say that it could not take it."""

    record: Record
    sock: socket.socket  # a copy of its client's connection
    at: int  # ns


class Upgrade:
    """The channel, the kept jobs, and the handing over. An OSError if the folder can't hold a socket."""

    def __init__(self, loop: Loop, host: Host, front: Front, back: Back, folder: Path, name: str) -> None:
        self._loop, self._host, self._front, self._back = loop, host, front, back
        rules = host.settings
        self._safe = {cls.name: cls.effect is api.Effect.SAFE for cls in rules.classes}
        self._classes = {cls.name: cls for cls in rules.classes}
        advice = min(200 * MS, rules.max_retry_after) if rules.gives_retry_after else 0
        self.keeper = Keeper(rules.max_attempts, advice)
        self.successor: str | None = None
        self._adopted: dict[str, _Adopted] = {}  # by id
        self._handed_over: dict[str, _HandedOver] = {}  # by id
        self._handing = False
        self._told_ready = False
        self._channel = Channel(loop, folder, name, self._received)
        loop.call_at(loop.now() + _STEP, self._step)

    @property
    def owed(self) -> int:
        """Jobs of the other process that wait here for their answer."""
        return len(self.keeper.jobs)

    @property
    def handed_over(self) -> int:
        """Jobs that were given to the next process and may still come back."""
        return len(self._handed_over)

    def announce(self) -> bool:
        """Tells the process beside this one, once, that this one can serve; whether it has been told.
        Danger: told only after whoever waits for the readiness has seen it, the old one may be ordered to
        stop while it knows of no successor."""
        if not self._told_ready and self._host.has_worker_list:
            self._told_ready = True
            for other in self._channel.others():
                self._channel.send(other, records.message("ready", process=os.getpid()))
        return self._told_ready

    def hand_over(self) -> bool:
        """From now on all that can be passes to the successor; False if there is none."""
        # danger: the order to stop may overtake the word that the successor is ready
        self._channel.take_in()
        self._handing = self.successor is not None
        return self._handing

    def close(self) -> None:
        for handed_over in self._handed_over.values():
            handed_over.sock.close()
        self._handed_over.clear()
        self._channel.close()

    def stray(self, raw: dict[str, Any]) -> None:
        """A call-back for no attempt of this process: for a job kept here, or for the process beside it."""
        if not self._kept_called_back(raw):
            data = records.message("call-back", call_back=raw)
            for other in self._channel.others():
                self._channel.send(other, data)

    def _kept_called_back(self, raw: dict[str, Any]) -> bool:
        result = raw.get("result", "")
        data = result.encode() if isinstance(result, str) else b""
        return self.keeper.called_back(raw["id"], raw["from"], raw["state"], data, self._loop.now())

    def _step(self) -> None:
        self.keeper.run_out(self._loop.now())
        self._adopted = {
            job_id: adopted for job_id, adopted in self._adopted.items() if not adopted.task.done
        }
        self._forget_handed_over(self._loop.now() - _TAKEN_WITHIN)
        self.announce()
        if self._handing:
            self._pass_on()
        self._loop.call_at(self._loop.now() + _STEP, self._step)

    # The old process

    def _pass_on(self) -> None:
        for job, (connection, task) in list(self._front.awaiting_answer.items()):
            record = self._record(job) if not connection.has_unread else None
            if record is None or not self._give(record, connection.sock):
                continue
            self._let_go(job)
            task.cancel()
        self._pass_on_adopted()

    def _pass_on_adopted(self) -> None:
        for job_id, adopted in list(self._adopted.items()):
            kept, taken = self.keeper.jobs.get(job_id), adopted.job
            record: Record | None = None
            if kept is not None:
                record = replace(kept.record, time_left=max(1, kept.until - self._loop.now()))
            elif taken is not None:
                record = self._record(taken, adopted.record)
            if record is None or not self._give(record, adopted.sock):
                continue
            del self._adopted[job_id]
            if taken is not None:
                self._let_go(taken)
            adopted.task.cancel()

    def _let_go(self, job: Job) -> None:
        for attempt in job.attempts:
            self._back.detach(attempt)
        self._host.detach(job)

    def _give(self, record: Record, sock: socket.socket) -> bool:
        assert self.successor is not None
        try:
            copy = sock.dup()
        except OSError:
            return False  # no descriptor left: it stays here for now
        if not self._channel.send(self.successor, records.job_message(record), sock.fileno()):
            copy.close()
            return False
        self._handed_over[record.id] = _HandedOver(record, copy, self._loop.now())
        return True

    def _forget_handed_over(self, since: int) -> None:
        for job_id in [
            job_id for job_id, handed_over in self._handed_over.items() if handed_over.at <= since
        ]:
            self._handed_over.pop(job_id).sock.close()

    def _not_taken(self, job_id: str) -> None:
        """Danger: a process without a free descriptor gets the job's message, but not the connection; nobody
        would answer its client."""
        handed_over = self._handed_over.pop(job_id, None)
        if handed_over is None:
            log.error("a job handed over came back too late", id=job_id)
            return
        left = max(1, handed_over.record.time_left - (self._loop.now() - handed_over.at))
        self._adopt(replace(handed_over.record, time_left=left), handed_over.sock)

    def _record(self, job: Job, earlier: Record | None = None) -> Record | None:
        """What the successor has to know of a job, ``earlier`` being what this process was told of it; None
        while it can't be moved: an attempt is on its way to a worker or being called off, or its repeats
        are bound to where it may have run."""
        left = job.deadline - self._loop.now()
        out = [attempt for attempt in job.attempts if not attempt.ended]
        if job.finished or left < _LEAST_LEFT or any(not c.accepted or c.given_up for c in out):
            return None
        risky = any(attempt.ended and not attempt.never_ran for attempt in job.attempts)
        if risky and not self._safe.get(job.arrival.job_class, False):
            return None
        payload, arrival = job.payload, job.arrival
        return Record(
            id=payload.id,
            job_class=arrival.job_class,
            method=payload.method,
            target=payload.target,
            body=payload.body,
            content_type=payload.content_type,
            time_left=left,
            attempts=len(job.attempts) + (earlier.attempts if earlier is not None else 0),
            worker=out[0].worker if out else "",
            may_have_run=risky
            or any(attempt.started for attempt in out)
            or (earlier is not None and earlier.may_have_run),
            key=arrival.key,
            tenant=arrival.tenant,
            slots=arrival.slots,
            memory=arrival.memory,
            idempotency_key=payload.idempotency_key,
            tried=(
                *(earlier.tried if earlier is not None else ()),
                *(attempt.worker for attempt in job.attempts if attempt.ended and attempt.written),
            ),
        )

    # The new process

    def _received(self, sender: str, data: bytes, fds: list[int]) -> None:
        socks = [socket.socket(fileno=fd) for fd in fds]
        try:
            found = records.parse(data)
        except records.RecordError as error:
            log.error("message of the other process passed over", error=str(error))
            found = {"kind": ""}
        if found["kind"] == "ready":
            self.successor = sender
        elif found["kind"] == "call-back":
            self._forwarded(found.get("call_back"))
        elif found["kind"] == records.NOT_TAKEN:
            self._not_taken(found["id"])
        elif found["kind"] == "job" and socks and self._can_adopt(found["job"]):
            self._adopt(found["job"], socks.pop())
        elif found["kind"] == "job":
            log.error("job of the other process not taken", id=found["job"].id, connections=len(socks))
            self._channel.send(sender, records.message(records.NOT_TAKEN, id=found["job"].id))
        for sock in socks:
            sock.close()

    def _forwarded(self, raw: Any) -> None:
        """Danger: a call-back that neither process knows would go to and fro for ever."""
        try:
            if not self._back.called_back(raw):
                self._kept_called_back(raw)
        except ValueError as error:
            log.error("forwarded call-back passed over", error=str(error))

    def _can_adopt(self, record: Record) -> bool:
        return record.job_class in self._classes and not self._host.has_job(record.id)

    def _adopt(self, record: Record, sock: socket.socket) -> None:
        until = self._loop.now() + record.time_left
        begin = self._keep if record.worker else self._take
        task = self._front.adopt(sock, lambda answer: begin(record, until, answer))
        self._adopted[record.id] = _Adopted(sock, task, record)

    def _keep(self, record: Record, until: int, answer: Callable[[Answer], None]) -> Callable[[], None]:
        left: list[Callable[[], None]] = [lambda: self.keeper.gone(record.id)]

        def counted(final: Answer) -> None:
            self._host.count_answer(record.job_class, final.verdict)
            answer(final)

        def again(later: Record) -> None:
            left[0] = self._take(later, until, answer)

        safe = self._safe[record.job_class]
        self.keeper.keep(Kept(record, safe, until, counted, again), self._loop.now())
        return lambda: left[0]()

    def _take(self, record: Record, until: int, answer: Callable[[Answer], None]) -> Callable[[], None]:
        """Takes a job as if it had come now, with the attempts that are left."""
        job = self._host.submit(
            Payload(
                record.id,
                record.method,
                record.target,
                record.body,
                record.content_type,
                record.idempotency_key,
            ),
            answer,
            job_class=record.job_class,
            time_left=max(1, until - self._loop.now()),
            key=record.key,
            tenant=record.tenant,
            slots=record.slots,
            memory=record.memory,
            options=JobOptions(most_attempts=max(1, self._host.settings.max_attempts - record.attempts)),
            tried=record.tried,
        )
        if (adopted := self._adopted.get(record.id)) is not None:
            adopted.job, adopted.record = job, record
        return lambda: self._host.withdraw(job)
