"""The workload: an open loop of arrivals, with the class, size, session and key of each request."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.lab.model.randomness import Streams, zipf_weights
from ironbarrow.lab.model.spec import World
from ironbarrow.lab.model.store import draw
from ironbarrow.runtime.clock import SECOND, Clock


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A job that a client requests, over all its tries. Times in ns; ``due`` is on the run's clock."""

    number: int
    due: int
    cls: int  # index of its class
    zone: str
    work: float  # ns on one core at speed 1
    slots: int
    session: int | None
    farm: int
    key: int | None  # must be loaded by the worker
    wanted: int  # from due
    deadline: int  # from due
    patience: int  # from due; the deadline unless the client is impatient
    honours_retry_after: bool  # whether it keeps to Retry-After


class Workload:
    """Creates requests when they are due and passes them to ``on_request``."""

    def __init__(
        self, clock: Clock, world: World, streams: Streams, on_request: Callable[[ClientRequest], None]
    ) -> None:
        self._clock, self._world, self._on_request = clock, world, on_request
        self._gap_stream = streams["arrivals"]
        self._rate_stream = streams["arrival shape"]
        self._content_stream = streams["orders"]
        self._work_streams = [streams[f"work {cls.name}"] for cls in world.classes]
        self._client_stream = streams["consumers"]
        self._rate = world.rate()
        self.flood_factor = 1.0  # multiplies the arrival rate
        self.flood_farm: int | None = None  # the farm that sends the requests of a flood; None: all farms
        self._flood_stream = streams["flood"]
        self._classes = _cumulative([cls.share for cls in world.classes])
        self._slots = [_cumulative(cls.slots) for cls in world.classes]
        zones = world.network.zones
        skew = world.arrivals.zone_skew
        self._zones = _cumulative([(1 - skew) / len(zones) + skew * (i == 0) for i in range(len(zones))])
        self._sessions = zipf_weights(world.sessions.count, world.sessions.zipf)
        self._keys = zipf_weights(world.store.keys, world.store.zipf)
        self.created = 0
        self.ended = False
        self._started_at = self._until = 0
        self._high_rate, self._rate_switch_at = False, 0

    def start(self) -> None:
        """Starts the arrivals, for the world's duration."""
        self._started_at = self._clock.now()
        self._until = self._started_at + self._world.duration
        self._rate_switch_at = self._started_at
        self._schedule_next(self._started_at)

    def end(self) -> None:
        """Ends the arrivals before the world's duration is over."""
        self._until = min(self._until, self._clock.now())

    # Arrival times

    def _schedule_next(self, after: int) -> None:
        due = after + self._gap(after)
        if due >= self._until:
            self._clock.call_at(self._until, self._on_end)
        else:
            self._clock.call_at(due, self._arrive, due)

    def _on_end(self) -> None:
        self.ended = True

    def _gap(self, at: int) -> int:
        arrivals = self._world.arrivals
        if arrivals.shape == "even":
            return int(SECOND / (self._rate * self.flood_factor))
        return max(1, int(self._gap_stream.exponential(SECOND / (self.rate_at(at) * self.flood_factor))))

    def rate_at(self, at: int) -> float:
        """The arrival rate at a time, requests/s, without floods."""
        arrivals = self._world.arrivals
        if arrivals.shape == "daily":
            part = (at - self._started_at) / arrivals.day
            return self._rate * (1 - arrivals.swing * math.cos(2 * math.pi * part))
        if arrivals.shape == "bursty":  # a Poisson process modulated by a two-state chain (MMPP)
            while at >= self._rate_switch_at:
                self._high_rate = not self._high_rate
                self._rate_switch_at += max(1, int(self._rate_stream.exponential(arrivals.dwell)))
            return self._rate * (1 + arrivals.swing * (1 if self._high_rate else -1))
        return self._rate

    # Requests

    def _arrive(self, due: int) -> None:
        # If the next arrival were scheduled only after this request, slow service would lower the
        # arrival rate (coordinated omission)
        self._schedule_next(due)
        self.created += 1
        self._on_request(self._make_request(due))

    def _make_request(self, due: int) -> ClientRequest:
        world, stream = self._world, self._content_stream
        number = stream.choose_index(self._classes)
        cls = world.classes[number]
        slots = stream.choose_index(self._slots[number]) + 1
        zone = world.network.zones[stream.choose_index(self._zones)]
        session = stream.choose_index(self._sessions) if self._sessions else None
        key = stream.choose_index(self._keys) if self._keys else None
        farms = world.sessions.farms
        farm = (session or 0) % farms
        if self.flood_farm is not None and self._flood_stream.chance(1 - 1 / self.flood_factor):
            farm = self.flood_farm
            session = farm + farms * self._flood_stream.randrange(max(1, world.sessions.count // farms))
        work = max(1.0, draw(cls.work, self._work_streams[number]))
        patience: int = cls.deadline
        if self._client_stream.chance(world.clients.impatient):
            patience = int(self._client_stream.uniform(0.1, 1.0) * cls.deadline)
        return ClientRequest(
            self.created,
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
            self._client_stream.chance(world.clients.honour),
        )


def _cumulative(weights: list[float]) -> list[float]:
    total, sums = 0.0, []
    for weight in weights:
        total += weight
        sums.append(total)
    return sums
