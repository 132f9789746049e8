"""The load balancer in front of the dispatchers: round-robin by zone, with delayed failure detection."""

from ironbarrow.config.units import Duration
from ironbarrow.runtime.clock import MS, Clock

_STOP_DETECTION_TIME = 300 * MS


class LoadBalancer:
    """Chooses the dispatcher for a client's next try. Dispatchers are identified by number.

    ``zones``: the zone of each dispatcher; ``detection_delay``: time until a failed one is removed, ns.
    """

    def __init__(self, clock: Clock, zones: list[str], detection_delay: Duration) -> None:
        self._clock, self._zones, self._detection_delay = clock, zones, detection_delay
        self._targets: set[int] = set()
        self._incarnations = [0] * len(zones)
        self._turns: dict[str, int] = {}

    def mark_ready(self, number: int) -> None:
        """Adds a dispatcher that has reported ready."""
        self._incarnations[number] += 1
        self._targets.add(number)

    def mark_failed(self, number: int) -> None:
        """Removes a failed dispatcher after the detection delay; until then clients are still sent to it."""
        self._clock.call_at(
            self._clock.now() + self._detection_delay, self._remove_target, number, self._incarnations[number]
        )

    def mark_stopping(self, number: int) -> None:
        """Removes a dispatcher that is shutting down, after a short delay with new connections."""
        self._clock.call_at(
            self._clock.now() + _STOP_DETECTION_TIME, self._remove_target, number, self._incarnations[number]
        )

    def _remove_target(self, number: int, incarnation: int) -> None:
        if self._incarnations[number] == incarnation:
            self._targets.discard(number)

    def choose(self, zone: str) -> int | None:
        """The next dispatcher of the zone, or of any zone if it has none; None if there is no dispatcher."""
        candidates = sorted(n for n in self._targets if self._zones[n] == zone) or sorted(self._targets)
        if not candidates:
            return None
        turn = self._turns.get(zone, 0)
        self._turns[zone] = turn + 1
        return candidates[turn % len(candidates)]
