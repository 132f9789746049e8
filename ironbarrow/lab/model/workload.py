"""What clients ask for, and when: arrivals as an open loop, classes, sizes, sessions, keys."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.lab.model.randomness import Streams, zipf_weights
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.store import draw
from ironbarrow.runtime.clock import SECOND, Clock


@dataclass(frozen=True, slots=True)
class Order:
    """A job as its client wants it, before any try. Times in ns; ``due`` on the run's clock."""

    number: int
    due: int
    cls: int  # index of its class
    zone: str
    work: float  # ns on one core at speed 1
    slots: int
    session: int | None
    farm: int
    key: int | None  # what a worker needs for it
    wanted: int  # from due
    deadline: int  # from due
    patience: int  # from due; the deadline unless the client is impatient
    honours: bool  # whether it keeps to Retry-After


class Workload:
    """Makes orders, one after another, when they are due."""

    def __init__(self, clock: Clock, world: World, streams: Streams, take: Callable[[Order], None]) -> None:
        self._clock, self._world, self._take = clock, world, take
        self._gaps = streams["arrivals"]
        self._shape = streams["arrival shape"]
        self._what = streams["orders"]
        self._work = [streams[f"work {cls.name}"] for cls in world.classes]
        self._people = streams["consumers"]
        self._rate = world.rate()
        self.flood = 1.0  # times the usual rate
        self.flooding_farm: int | None = None  # whose all that comes beyond it is
        self._flooding = streams["flood"]
        self._classes = _cumulative([cls.share for cls in world.classes])
        self._slots = [_cumulative(cls.slots) for cls in world.classes]
        zones = world.network.zones
        skew = world.arrivals.zone_skew
        self._zones = _cumulative([(1 - skew) / len(zones) + skew * (i == 0) for i in range(len(zones))])
        self._sessions = zipf_weights(world.sessions.count, world.sessions.zipf)
        self._keys = zipf_weights(world.store.keys, world.store.zipf)
        self.made = 0
        self.ended = False
        self._started_at = self._until = 0
        self._busy, self._turn_at = False, 0

    def start(self) -> None:
        self._started_at = self._clock.now()
        self._until = self._started_at + self._world.duration
        self._turn_at = self._started_at
        self._plan(self._started_at)

    def end(self) -> None:
        """No more jobs come, though the world's time is not over."""
        self._until = min(self._until, self._clock.now())

    # Times

    def _plan(self, after: int) -> None:
        due = after + self._gap(after)
        if due >= self._until:
            self._clock.call_at(self._until, self._end)
        else:
            self._clock.call_at(due, self._arrive, due)

    def _end(self) -> None:
        self.ended = True

    def _gap(self, at: int) -> int:
        arrivals = self._world.arrivals
        if arrivals.shape == "even":
            return int(SECOND / (self._rate * self.flood))
        return max(1, int(self._gaps.exponential(SECOND / (self.rate_at(at) * self.flood))))

    def rate_at(self, at: int) -> float:
        """Jobs a second at a time, before any flood."""
        arrivals = self._world.arrivals
        if arrivals.shape == "daily":
            part = (at - self._started_at) / arrivals.day
            return self._rate * (1 - arrivals.swing * math.cos(2 * math.pi * part))
        if arrivals.shape == "bursty":  # a Poisson process whose rate a two-state chain sets (MMPP)
            while at >= self._turn_at:
                self._busy = not self._busy
                self._turn_at += max(1, int(self._shape.exponential(arrivals.dwell)))
            return self._rate * (1 + arrivals.swing * (1 if self._busy else -1))
        return self._rate

    # Orders

    def _arrive(self, due: int) -> None:
        # danger: planned before it is served, the next one is due whatever becomes of this one
        self._plan(due)
        self.made += 1
        self._take(self._order(due))

    def _order(self, due: int) -> Order:
        world, what = self._world, self._what
        number = what.pick(self._classes)
        cls = world.classes[number]
        slots = what.pick(self._slots[number]) + 1
        zone = world.network.zones[what.pick(self._zones)]
        session = what.pick(self._sessions) if self._sessions else None
        key = what.pick(self._keys) if self._keys else None
        farms = world.sessions.farms
        farm = (session or 0) % farms
        if self.flooding_farm is not None and self._flooding.chance(1 - 1 / self.flood):
            farm = self.flooding_farm
            session = farm + farms * self._flooding.below(max(1, world.sessions.count // farms))
        work = max(1.0, draw(cls.work, self._work[number]))
        patience: int = cls.deadline
        if self._people.chance(world.clients.impatient):
            patience = int(self._people.uniform(0.1, 1.0) * cls.deadline)
        return Order(
            self.made,
            due,
            number,
            zone,
            work,
            slots,
            session,
            farm,
            key,
            int(cls.wanted + cls.stretch * work),
            cls.deadline,
            patience,
            self._people.chance(world.clients.honour),
        )


def _cumulative(weights: list[float]) -> list[float]:
    total, made = 0.0, []
    for weight in weights:
        total += weight
        made.append(total)
    return made
