"""How clients go on after an answer, and what each of their tries takes of a worker."""

from dataclasses import dataclass

from ironbarrow.lab.model.randomness import Streams
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.worker import Need
from ironbarrow.lab.model.workload import Order
from ironbarrow.runtime.clock import SECOND, Clock

_FORGET_AFTER = 30 * SECOND  # a late DELETE or call-back still asks for a try's needs


@dataclass(frozen=True, slots=True)
class Ended:
    """The client goes no further."""

    outcome: str


@dataclass(frozen=True, slots=True)
class Again:
    """The client tries again after a pause, ns."""

    pause: int


class Habits:
    """Retries, pauses and needs of all clients of a world."""

    def __init__(self, clock: Clock, world: World, streams: Streams) -> None:
        self._clock, self._world = clock, world
        self._noise = streams["attempts"]
        self._people = streams["retries"]
        self.needs: dict[str, Need] = {}

    def new_try(self, order: Order, number: int) -> str:
        """The id of an order's next try; what it needs is known from now on."""
        job_id = f"{order.number:x}-{number}"
        if job_id in self.needs:  # it comes again under the same id
            return job_id
        cls = self._world.classes[order.cls]
        work = self._noise.lognormal(order.work, cls.attempt_noise) if cls.attempt_noise else order.work
        self.needs[job_id] = Need(work, order.slots, order.key, cls.work.mean)
        return job_id

    def forget(self, order: Order, tries: int) -> None:
        """The order is over: after a while nobody asks for its tries any more."""
        self._clock.call_at(self._clock.now() + _FORGET_AFTER, self._forget, order.number, tries)

    def _forget(self, number: int, tries: int) -> None:
        for n in range(1, tries + 1):
            self.needs.pop(f"{number:x}-{n}", None)

    def next_step(self, order: Order, how: str, tries: int, retry_after: int) -> Ended | Again:
        """What a client does who heard ``how`` (served, refused, failed, or unreachable: no connection)
        after so many tries. What may have run and must not run twice is never tried again."""
        people = self._world.clients
        unsafe = self._world.classes[order.cls].effect == "unsafe"
        again = how in ("refused", "unreachable") or (how == "failed" and not unsafe)
        ended = Ended("failed" if how == "unreachable" else how)
        if not again or tries > people.retries:
            return ended
        pause: int = people.pause
        if people.backoff == "exponential":
            pause <<= tries - 1
        pause = int(pause * self._people.uniform(0.5, 1.5))
        if order.honours:
            pause = max(pause, retry_after)
        return ended if self._clock.now() + pause >= order.due + order.patience else Again(pause)

    def comes_again(self, order: Order, how: str) -> Again | None:
        """What a client does whose connection was refused or broke before any answer, where the job may
        have been taken over: it asks for the same job again, at once or, refused, after a pause. None if
        its time is over, or if it does not do so."""
        people = self._world.clients
        if not people.same_id or self._world.dispatchers.fleet is None:
            return None
        pause = int(people.pause * self._people.uniform(0.5, 1.5)) if how == "unreachable" else 0
        return None if self._clock.now() + pause >= order.due + order.patience else Again(pause)

    @staticmethod
    def gives_up(order: Order) -> str:
        """The outcome of an order whose client has waited long enough."""
        return "no answer" if order.patience >= order.deadline else "left"
