"""The plain front layer: deals clients out by zone, and notices a dead dispatcher late."""

from ironbarrow.config.units import Duration
from ironbarrow.runtime.clock import MS, Clock

_LEAVING = 300 * MS


class Front:
    """Which dispatcher a client's next try goes to. Dispatchers are told by number."""

    def __init__(self, clock: Clock, zones: list[str], notice: Duration) -> None:
        self._clock, self._zones, self._notice = clock, zones, notice  # zones: one for each dispatcher
        self._dealt: set[int] = set()
        self._incarnations = [0] * len(zones)
        self._turns: dict[str, int] = {}

    def ready(self, number: int) -> None:
        """It has told that it is ready."""
        self._incarnations[number] += 1
        self._dealt.add(number)

    def died(self, number: int) -> None:
        """It refuses or is gone; the front goes on dealing to it for a while."""
        self._clock.call_at(
            self._clock.now() + self._notice, self._noticed, number, self._incarnations[number]
        )

    def leaves(self, number: int) -> None:
        """It was told to stop: new connections go on coming to it for a short while only."""
        self._clock.call_at(self._clock.now() + _LEAVING, self._noticed, number, self._incarnations[number])

    def _noticed(self, number: int, incarnation: int) -> None:
        if self._incarnations[number] == incarnation:
            self._dealt.discard(number)

    def pick(self, zone: str) -> int | None:
        """The next dispatcher for a client of this zone; one of another zone if it has none."""
        own = sorted(n for n in self._dealt if self._zones[n] == zone) or sorted(self._dealt)
        if not own:
            return None
        turn = self._turns.get(zone, 0)
        self._turns[zone] = turn + 1
        return own[turn % len(own)]
