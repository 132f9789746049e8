"""The hand-over of jobs from a dispatcher's old process to its successor, which runs beside it."""

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Protocol

import structlog

from heathway import api
from ironbarrow.core.host import Host
from ironbarrow.core.job_ids import IdState
from ironbarrow.core.jobs import Answer, Attempt, Job, JobOptions, default_retry_after
from ironbarrow.core.recent_ids import RETENTION
from ironbarrow.handover import records
from ironbarrow.handover.channel import Channel
from ironbarrow.handover.id_locks import FileIdLocks
from ironbarrow.handover.job_records import payload_of, record_of
from ironbarrow.handover.pending import AttemptEnd, PendingJob, PendingJobs
from ironbarrow.handover.predecessors import RunningPredecessors
from ironbarrow.handover.records import Record
from ironbarrow.runtime.loop import MS, SECOND, Loop, Task
from ironbarrow.transport.http import Connection

log = structlog.get_logger()

_CHECK_INTERVAL = 20 * MS  # for jobs that can be handed over or have expired
_REJECTION_TIMEOUT = 500 * MS  # by then the successor has reported a job that it could not adopt
_CANCEL_TIME_AT_DEADLINE = 1 * SECOND  # for the DELETEs of an attempt that is still out at its deadline
_MAX_MESSAGES_BEFORE_CLAIM = 4096  # more than one process can have sent in its last moments

# gets the callback for the final answer; returns what is called when the client disconnects before it
_StartJob = Callable[[Callable[[Answer], None]], Callable[[], None]]


class Front(Protocol):
    """Serves the clients' connections."""

    awaiting_answer: dict[Job, tuple[Connection, Task]]

    def adopt(self, sock: socket.socket, job_id: str, start_job: _StartJob) -> Task:
        """Answers a client whose request another process has read."""

    def handed_over(self, task: Task) -> None:
        """Closes the connection of a client whose job another process has taken over."""


class Invoker(Protocol):
    """Runs the attempts."""

    def detach(self, attempt: Attempt) -> None:
        """Drops an attempt that another process now has, without cancelling it at its worker."""

    def handle_call_back(self, raw: Any) -> bool:
        """Handles a worker's call-back; False if it is for no running attempt. Raises a ValueError if it is
        malformed."""

    def cancel_job(self, job_id: str, worker: str, until: int, done: Callable[[bool], None]) -> None:
        """Cancels a job that another process has sent. ``done`` is called once, with whether the worker has
        confirmed that it does not run the job, at ``until`` (ns) at the latest."""


@dataclass(slots=True)
class _AdoptedJob:
    """A job received from the old process: its client, its record, and the host's job once it is started
    here."""

    sock: socket.socket
    task: Task
    record: Record
    job: Job | None = None


@dataclass(slots=True)
class _HandedOverJob:
    """A job sent to the successor, which may still report that it could not adopt it."""

    record: Record
    sock: socket.socket  # a duplicate of its client's connection
    sent_at: int  # ns


class Upgrade:
    """Hands jobs over to a successor, and adopts those of the process that this one replaces.

    Raises an OSError if the channel's socket can't be created in the folder."""

    def __init__(
        self, loop: Loop, host: Host, front: Front, invoker: Invoker, folder: Path, name: str
    ) -> None:
        self._loop, self._host, self._front, self._invoker = loop, host, front, invoker
        host_settings = host.settings
        self._classes = {cls.name: cls for cls in host_settings.classes}
        retry_after = default_retry_after(host_settings)
        self.pending = PendingJobs(host_settings.max_attempts, retry_after)
        self.successor: str | None = None
        self._adopted: dict[str, _AdoptedJob] = {}  # by id
        self._handed_over: dict[str, _HandedOverJob] = {}  # by id
        self._handing_over = False
        self._ready_announced = False
        self._retained_ids_sent: set[str] = set()
        self._id_locks = FileIdLocks(folder, name, self._others_may_run, self._receive_from_predecessors)
        try:
            self._channel = Channel(loop, folder, name, self._on_message)
        except OSError:
            self._id_locks.close()
            raise
        host.job_ids.set_locks(self._id_locks)
        self._predecessors = RunningPredecessors(
            self._channel.predecessors, self._channel.may_run, host.set_predecessor_running
        )
        loop.call_at(loop.now() + _CHECK_INTERVAL, self._run_checks)

    @property
    def jobs_pending(self) -> int:
        """Number of adopted jobs that wait for a call-back."""
        return len(self.pending.jobs)

    @property
    def jobs_handed_over(self) -> int:
        """Number of jobs sent to the successor that it may still reject."""
        return len(self._handed_over)

    @property
    def successor_runs(self) -> bool:
        """Whether a process has announced itself as the successor of this one and has not ended since."""
        return self.successor is not None and self._channel.may_run(self.successor)

    def announce(self) -> bool:
        """Announces to the old process, once, that this one can serve; returns whether that is done.

        It has to come before this process reports itself as ready. The old process is stopped once that is
        seen, and must know its successor by then."""
        if not self._ready_announced and self._host.has_worker_list:
            try:
                others = self._channel.others()
            except OSError:
                return False  # for lack of a descriptor, for example; the next check tries again
            self._ready_announced = True
            for other in others:
                self._channel.send(other, records.message("ready", process=os.getpid()))
        return self._ready_announced

    def hand_over(self) -> bool:
        """Starts to hand over all jobs that can be; False if no successor runs."""
        # the stop signal may arrive before the successor's announcement has been read
        self._channel.receive()
        self._handing_over = self.successor_runs
        self._host.shutdown.jobs_are_taken_over = self._handing_over
        self._send_retained_ids()
        return self._handing_over

    def close(self) -> None:
        """Closes the channel and the connections of jobs handed over, and removes the locks on ids."""
        self._send_retained_ids()  # before the locks are removed: see FileIdLocks
        self._handing_over = False
        for handed_over in self._handed_over.values():
            handed_over.sock.close()
        self._handed_over.clear()
        self._channel.close()
        self._id_locks.close()

    def on_unmatched_call_back(self, raw: dict[str, Any]) -> None:
        """Handles a call-back for no attempt of this process: for a pending job here, or for another
        process."""
        if not self._deliver_to_pending(raw):
            data = records.message("call-back", call_back=raw)
            for other in self._channel.others():
                self._channel.send(other, data)

    def _deliver_to_pending(self, raw: dict[str, Any]) -> bool:
        result = raw.get("result", "")
        data = result.encode() if isinstance(result, str) else b""
        return self.pending.on_call_back(raw["id"], raw["from"], raw["state"], data, self._loop.now())

    def _run_checks(self) -> None:
        # first, so that no error below ends the checks for good
        self._loop.call_at(self._loop.now() + _CHECK_INTERVAL, self._run_checks)
        self._predecessors.check()
        self.pending.expire(self._loop.now())
        self._adopted = {
            job_id: adopted for job_id, adopted in self._adopted.items() if not adopted.task.done
        }
        self._drop_handed_over(self._loop.now() - _REJECTION_TIMEOUT)
        self._host.job_ids.drop_expired()
        self._send_retained_ids()
        self.announce()
        if self._handing_over:
            self._host.shutdown.jobs_are_taken_over = self.successor_runs
            self._hand_over_jobs()

    # The old process

    def _hand_over_jobs(self) -> None:
        for job, (connection, task) in list(self._front.awaiting_answer.items()):
            if connection.has_unread:
                self._count_kept("its client has sent more")
                continue
            record = self._make_record(job)
            if record is None:
                self._count_kept("an attempt is being sent or stopped, or it may have run")
                continue
            if not self._send_job(record, connection.sock):
                self._count_kept("it could not be sent to the successor")
                continue
            self._detach(job)
            self._front.handed_over(task)
        self._hand_over_adopted()

    def _hand_over_adopted(self) -> None:
        for job_id, adopted in list(self._adopted.items()):
            pending_job, host_job = self.pending.jobs.get(job_id), adopted.job
            record: Record | None = None
            if pending_job is not None:
                record = replace(
                    pending_job.record, time_left=max(1, pending_job.deadline - self._loop.now())
                )
            elif host_job is not None:
                record = self._make_record(host_job, adopted.record)
            if record is None or not self._send_job(record, adopted.sock):
                continue
            del self._adopted[job_id]
            self.pending.discard(job_id)
            if host_job is not None:
                self._detach(host_job)
            self._front.handed_over(adopted.task)

    def _count_kept(self, reason: str) -> None:
        """Counts a check at which a job could not be handed over."""
        self._host.event_log.count("not handed over yet", reason)

    def _detach(self, job: Job) -> None:
        """Drops a job that was handed over. Its id stays in use here: this process ends soon, and until then
        the successor may report that it could not adopt the job."""
        for attempt in job.attempts:
            self._invoker.detach(attempt)
        self._host.detach(job, keep_id=True)

    def _send_retained_ids(self) -> None:
        """Tells the successor, while jobs are handed over, of the ids that must not run again."""
        if not self._handing_over or self.successor is None:
            return
        retained = self._host.job_ids.retained()
        unsent = {job_id: left for job_id, left in retained.items() if job_id not in self._retained_ids_sent}
        for ids, data in records.retained_ids_messages(unsent):
            if not self._channel.send(self.successor, data):
                return
            self._retained_ids_sent.update(ids)

    def _send_job(self, record: Record, sock: socket.socket) -> bool:
        assert self.successor is not None
        try:
            copy = sock.dup()
        except OSError:
            return False  # no descriptor left: the job stays here for now
        self._host.job_ids.share(record.id)
        if not self._channel.send(self.successor, records.job_message(record), sock.fileno()):
            copy.close()
            return False
        self._handed_over[record.id] = _HandedOverJob(record, copy, self._loop.now())
        return True

    def _drop_handed_over(self, before: int) -> None:
        for job_id in [
            job_id for job_id, handed_over in self._handed_over.items() if handed_over.sent_at <= before
        ]:
            self._handed_over.pop(job_id).sock.close()

    def _on_not_taken(self, job_id: str) -> None:
        """Takes a rejected job back. A successor without a free descriptor gets the message but not the
        connection, and without this nobody would answer the client."""
        handed_over = self._handed_over.pop(job_id, None)
        if handed_over is None:
            log.error("job rejected by the successor too late", id=job_id)
            return
        remaining = max(1, handed_over.record.time_left - (self._loop.now() - handed_over.sent_at))
        self._adopt(replace(handed_over.record, time_left=remaining), handed_over.sock)

    def _make_record(self, job: Job, received: Record | None = None) -> Record | None:
        safe = self._has_effect(job.arrival.job_class, api.Effect.SAFE)
        return record_of(job, self._loop.now(), safe=safe, received=received)

    # The new process

    def _on_message(self, sender: str, data: bytes, fds: list[int]) -> None:
        socks = _open_sockets(fds)
        try:
            fields = records.parse(data)
        except records.RecordError as error:
            log.error("invalid message of the other process ignored", error=str(error))
            fields = {"kind": ""}
        if fields["kind"] == "ready":
            self.successor = sender
        elif fields["kind"] == "call-back":
            self._on_forwarded_call_back(fields.get("call_back"))
        elif fields["kind"] == records.NOT_TAKEN:
            self._on_not_taken(fields["id"])
        elif fields["kind"] == records.RETAINED_IDS:
            for job_id, retention in fields["ids"].items():
                self._host.job_ids.retain(job_id, min(retention, RETENTION))
        elif fields["kind"] == "job" and socks and self._can_adopt(fields["job"]):
            self._adopt(fields["job"], socks.pop())
        elif fields["kind"] == "job":
            log.error("job of the other process rejected", id=fields["job"].id, connections=len(socks))
            self._channel.send(sender, records.message(records.NOT_TAKEN, id=fields["job"].id))
        for sock in socks:
            sock.close()

    def _on_forwarded_call_back(self, raw: Any) -> None:
        """Handles a call-back that another process could not match. It is not forwarded again: two processes
        that both can't match it would forward it to each other for ever."""
        try:
            if not self._invoker.handle_call_back(raw):
                self._deliver_to_pending(raw)
        except ValueError as error:
            log.error("malformed forwarded call-back ignored", error=str(error))

    def _can_adopt(self, record: Record) -> bool:
        return record.job_class in self._classes and self._host.job_ids.state(record.id) is not IdState.IN_USE

    def _adopt(self, record: Record, sock: socket.socket) -> None:
        self._host.job_ids.hold(record.id)
        deadline = self._host.shutdown.limit(self._loop.now() + record.time_left)
        start_job = self._await_call_back if record.worker else self._start_job
        task = self._front.adopt(sock, record.id, lambda answer: start_job(record, deadline, answer))
        self._adopted[record.id] = _AdoptedJob(sock, task, record)

    def _await_call_back(
        self, record: Record, deadline: int, answer: Callable[[Answer], None]
    ) -> Callable[[], None]:
        on_disconnect: list[Callable[[], None]] = [lambda: self._abandon(record.id)]

        def count_and_answer(final: Answer) -> None:
            self._host.count_answer(record.job_class, final.verdict)
            answer(final)

        def retry(retry_record: Record) -> None:
            on_disconnect[0] = self._start_job(retry_record, deadline, answer)

        def on_end(end: AttemptEnd, never_ran: bool) -> None:
            self._on_pending_job_ended(record, end, never_ran)

        safe = self._has_effect(record.job_class, api.Effect.SAFE)
        self.pending.add(
            PendingJob(record, safe, deadline, count_and_answer, retry, on_end), self._loop.now()
        )
        return lambda: on_disconnect[0]()

    def _on_pending_job_ended(self, record: Record, end: AttemptEnd, never_ran: bool) -> None:
        """Frees or retains the id of a job that gets its answer now."""
        if end is AttemptEnd.EXPIRED:
            self._cancel_at_worker(record, self._loop.now() + _CANCEL_TIME_AT_DEADLINE)
        else:
            unsafe = self._has_effect(record.job_class, api.Effect.UNSAFE)
            self._host.job_ids.release(record.id, may_have_run=unsafe and not never_ran)

    def _abandon(self, job_id: str) -> None:
        """Cancels a pending job, as its client has disconnected."""
        pending_job = self.pending.jobs.get(job_id)
        if pending_job is not None:
            self.pending.discard(job_id)
            self._cancel_at_worker(pending_job.record, pending_job.deadline)

    def _cancel_at_worker(self, record: Record, until: int) -> None:
        """Cancels an attempt that has not ended. Its id stays in use until the worker has confirmed that, or
        until ``until`` (ns)."""
        unsafe = self._has_effect(record.job_class, api.Effect.UNSAFE)

        def release(confirmed: bool = False) -> None:
            self._host.job_ids.release(record.id, may_have_run=unsafe)

        if unsafe:
            release()  # retained at once, so that a successor is told of it
        if self._host.settings.may_cancel:
            self._invoker.cancel_job(record.id, record.worker, until, release)
        else:
            self._loop.call_at(until, release)

    def _has_effect(self, job_class: str, effect: api.Effect) -> bool:
        known = self._classes.get(job_class)
        return known is not None and known.effect is effect

    def _others_may_run(self) -> bool:
        try:
            return any(self._channel.may_run(path) for path in self._channel.others())
        except OSError:
            return True

    def _receive_from_predecessors(self) -> None:
        if self._channel.predecessors:
            self._channel.receive(_MAX_MESSAGES_BEFORE_CLAIM)

    def _start_job(
        self, record: Record, deadline: int, answer: Callable[[Answer], None]
    ) -> Callable[[], None]:
        """Starts a job as if it had just arrived, with the remaining attempts and time."""
        job = self._host.submit(
            payload_of(record),
            answer,
            job_class=record.job_class,
            time_left=max(1, deadline - self._loop.now()),
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


def _open_sockets(fds: list[int]) -> list[socket.socket]:
    """The sockets of received descriptors. One that the system can't inspect now is closed and left out: an
    error here would end the task that reads the messages."""
    socks = []
    for fd in fds:
        try:
            socks.append(socket.socket(fileno=fd))
        except OSError as error:
            log.warning("connection of the other process could not be opened", error=str(error))
            with suppress(OSError):
                os.close(fd)
    return socks
