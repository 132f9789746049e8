"""Client behaviour: retries and pauses after an answer, and the resources that each try needs."""

from dataclasses import dataclass

from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.worker import Demand
from ironbarrow.lab.model.workload import ClientRequest
from ironbarrow.runtime.clock import SECOND, Clock

_DEMAND_RETENTION = 30 * SECOND  # late DELETEs and call-backs still look up the demand of a try


@dataclass(frozen=True, slots=True)
class Finished:
    """The client makes no further try."""

    outcome: str


@dataclass(frozen=True, slots=True)
class Retry:
    """The client tries again after ``pause`` ns."""

    pause: int


class ClientBehaviour:
    """Retry policy of all clients of a world, and the demands of their tries by job id."""

    def __init__(self, clock: Clock, world: World, streams: Streams) -> None:
        self._clock, self._world = clock, world
        self._work_stream = streams["attempts"]
        self._client_stream = streams["retries"]
        self.demands: dict[str, Demand] = {}

    def start_try(self, request: ClientRequest, number: int) -> str:
        """The job id of the request's try ``number``; draws and stores its demand unless that exists."""
        job_id = f"{request.number:x}-{number}"
        if job_id in self.demands:  # repeated under the same id
            return job_id
        cls = self._world.classes[request.cls]
        work = (
            self._work_stream.lognormal(request.work, cls.attempt_noise)
            if cls.attempt_noise
            else request.work
        )
        self.demands[job_id] = Demand(work, request.slots, request.key, cls.work.mean)
        return job_id

    def forget(self, request: ClientRequest, tries: int) -> None:
        """The request has ended: deletes the demands of its tries after the retention time."""
        self._clock.call_at(self._clock.now() + _DEMAND_RETENTION, self._forget, request.number, tries)

    def _forget(self, number: int, tries: int) -> None:
        for n in range(1, tries + 1):
            self.demands.pop(f"{number:x}-{n}", None)

    def next_step(
        self, request: ClientRequest, result: str, tries: int, retry_after: int
    ) -> Finished | Retry:
        """What the client does after ``tries`` tries, the last of which had this ``result`` (served, refused,
        failed, or unreachable: no connection). ``retry_after`` is in ns. A failed unsafe job is not tried
        again, because it may have run."""
        rules = self._world.clients
        unsafe = self._world.classes[request.cls].effect == "unsafe"
        may_retry = result in ("refused", "unreachable") or (result == "failed" and not unsafe)
        finished = Finished("failed" if result == "unreachable" else result)
        if not may_retry or tries > rules.retries:
            return finished
        pause: int = rules.pause
        if rules.backoff == "exponential":
            pause <<= tries - 1
        pause = int(pause * self._client_stream.uniform(0.5, 1.5))
        if request.honours_retry_after:
            pause = max(pause, retry_after)
        return finished if self._clock.now() + pause >= request.due + request.patience else Retry(pause)

    def retry_same_id(self, request: ClientRequest, result: str) -> Retry | None:
        """The repetition under the same id after a connection was refused or broke before any answer, where
        another dispatcher may have taken the job over: at once, or after a pause if the connection was
        refused. None if no time is left or if clients do not repeat requests."""
        rules = self._world.clients
        if not rules.same_id or self._world.dispatchers.fleet is None:
            return None
        pause = int(rules.pause * self._client_stream.uniform(0.5, 1.5)) if result == "unreachable" else 0
        return None if self._clock.now() + pause >= request.due + request.patience else Retry(pause)

    @staticmethod
    def timeout_outcome(request: ClientRequest) -> str:
        """The outcome of a request whose client's patience has run out."""
        return "no answer" if request.patience >= request.deadline else "left"
