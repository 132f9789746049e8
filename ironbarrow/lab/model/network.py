"""The network between zones: one-way latencies and cut connections."""

from collections.abc import Callable
from typing import Any

from ironbarrow.lab.model import spec
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.clock import Clock


class Network:
    """Delivers calls between zones after a random latency, unless the two zones are cut off."""

    def __init__(self, clock: Clock, settings: spec.Network, streams: Streams) -> None:
        self._clock, self._settings, self._streams = clock, settings, streams
        self._cuts: dict[frozenset[str], int] = {}  # number of faults that cut each pair of zones
        self._last: dict[str, int] = {}

    def latency(self, source: str, target: str, stream_name: str) -> int:
        """One-way latency, ns. Each ``stream_name`` has its own random stream, so that the draws
        of one party do not change another's."""
        base = self._settings.same_zone if source == target else self._settings.cross_zone
        return self._with_jitter(base, stream_name)

    def client_latency(self, stream_name: str) -> int:
        """One-way latency between a client and the load balancer, ns."""
        return self._with_jitter(self._settings.client, stream_name)

    def _with_jitter(self, base: int, stream_name: str) -> int:
        return base + int(self._streams[f"latency {stream_name}"].exponential(self._settings.jitter * base))

    def reaches(self, source: str, target: str) -> bool:
        """Whether the two zones are connected."""
        return not self._cuts or frozenset((source, target)) not in self._cuts

    def send(self, source: str, target: str, stream_name: str, call: Callable[..., None], *args: Any) -> bool:
        """Makes the call after the latency; if the two zones are cut off, makes none and returns False."""
        if not self.reaches(source, target):
            return False
        self._clock.call_at(self._clock.now() + self.latency(source, target, stream_name), call, *args)
        return True

    def cut(self, zones: list[str]) -> None:
        """Cuts the connections between the first zone and each of the others."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def heal(self, zones: list[str]) -> None:
        """Undoes one such cut; a connection works again once all its cuts are undone."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cuts[pair] -= 1
            if not self._cuts[pair]:
                del self._cuts[pair]
