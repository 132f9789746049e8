"""Zones, latencies and cuts."""

from collections.abc import Callable
from typing import Any

from ironbarrow.lab.model import spec
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.clock import Clock


class Network:
    """Carries things from zone to zone, one way, late, or not at all."""

    def __init__(self, clock: Clock, settings: spec.Network, streams: Streams) -> None:
        self._clock, self._settings, self._streams = clock, settings, streams
        self._cuts: dict[frozenset[str], int] = {}  # pairs of zones, and by how many faults
        self._last: dict[str, int] = {}

    def latency(self, source: str, target: str, stream_name: str) -> int:
        """One way, ns. ``stream_name`` names the stream, so that one party's draws shift no other's."""
        base = self._settings.same_zone if source == target else self._settings.cross_zone
        return self._with_jitter(base, stream_name)

    def client_latency(self, stream_name: str) -> int:
        """One way between a client and its front, ns."""
        return self._with_jitter(self._settings.client, stream_name)

    def _with_jitter(self, base: int, stream_name: str) -> int:
        return base + int(self._streams[f"latency {stream_name}"].exponential(self._settings.jitter * base))

    def reaches(self, source: str, target: str) -> bool:
        return not self._cuts or frozenset((source, target)) not in self._cuts

    def send(self, source: str, target: str, stream_name: str, call: Callable[..., None], *args: Any) -> bool:
        """Calls after the latency; False, and nothing arrives, if the way is cut."""
        if not self.reaches(source, target):
            return False
        self._clock.call_at(self._clock.now() + self.latency(source, target, stream_name), call, *args)
        return True

    def cut(self, zones: list[str]) -> None:
        """The first zone and each of the others no longer reach each other."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def heal(self, zones: list[str]) -> None:
        """Takes one such cut back."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cuts[pair] -= 1
            if not self._cuts[pair]:
                del self._cuts[pair]
