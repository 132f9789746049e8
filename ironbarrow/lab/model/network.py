"""Zones, latencies and cuts."""

from collections.abc import Callable
from typing import Any

from ironbarrow.lab.model import spec
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.clock import Clock


class Network:
    """Carries things from zone to zone, one way, late, or not at all."""

    def __init__(self, clock: Clock, settings: spec.Network, streams: Streams) -> None:
        self._clock, self._set, self._streams = clock, settings, streams
        self._cut: dict[frozenset[str], int] = {}  # pairs of zones, and by how many faults
        self._last: dict[str, int] = {}

    def latency(self, source: str, target: str, who: str) -> int:
        """One way, ns. ``who`` names the stream, so that one party's draws shift no other's."""
        base = self._set.same_zone if source == target else self._set.cross_zone
        return self._jittered(base, who)

    def client_latency(self, who: str) -> int:
        """One way between a client and its front, ns."""
        return self._jittered(self._set.client, who)

    def _jittered(self, base: int, who: str) -> int:
        return base + int(self._streams[f"latency {who}"].exponential(self._set.jitter * base))

    def reaches(self, source: str, target: str) -> bool:
        return not self._cut or frozenset((source, target)) not in self._cut

    def send(self, source: str, target: str, who: str, call: Callable[..., None], *args: Any) -> bool:
        """Calls after the latency; False, and nothing arrives, if the way is cut."""
        if not self.reaches(source, target):
            return False
        self._clock.call_at(self._clock.now() + self.latency(source, target, who), call, *args)
        return True

    def cut(self, zones: list[str]) -> None:
        """The first zone and each of the others no longer reach each other."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cut[pair] = self._cut.get(pair, 0) + 1

    def mend(self, zones: list[str]) -> None:
        """Takes one such cut back."""
        for other in zones[1:]:
            pair = frozenset((zones[0], other))
            self._cut[pair] -= 1
            if not self._cut[pair]:
                del self._cut[pair]
