"""Counts of the list of workers: bytes of a list and of a change, through the real client on a loopback
connection."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from heathway import api
from ironbarrow.discovery.client import DiscoveryClient as Client
from ironbarrow.lab.capacity.counting import zone_of
from ironbarrow.lab.live.discovery_server import DiscoveryAgent
from ironbarrow.lab.model import spec
from ironbarrow.lab.model.discovery import Discovery, Entry, ListUpdate
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.loop import SECOND, Loop

_GIVE_UP = 20 * SECOND
_KINDS = ("type-a", "type-b", "type-c")
_MOST_HELD = 5  # jobs by which a live weight falls


class CountingAgent(DiscoveryAgent):
    """An agent that counts the bytes of what it tells."""

    lines: list[int]

    @property
    def watched(self) -> bool:
        """Whether a client follows it."""
        return bool(self._followers)

    def _line(self, news: ListUpdate) -> bytes:
        line = super()._line(news)
        self.lines.append(len(line))
        return line


def worker_entries(size: int) -> list[Entry]:
    """So many workers over the target's zones, with weights that differ."""
    return [
        Entry(f"worker-{number:04d}", zone_of(number), _KINDS[number % 3], live_weight(number, 0), since=1)
        for number in range(size)
    ]


def live_weight(number: int, turn: int) -> float:
    """The weight of a worker by what it holds, as a discovery service with live weights tells it."""
    held = (number * 7 + turn * 3) % _MOST_HELD
    return round(4.0 / (1 + held / 4), 3)


def addresses_of(entries: list[Entry]) -> dict[str, str]:
    """An address for each."""
    return {entry.name: f"10.1.{n // 250}.{n % 250}:7001" for n, entry in enumerate(entries)}


@dataclass(frozen=True, slots=True)
class ListCount:
    """One size of list. Bytes are those of the objects, without HTTP's own."""

    workers: int
    whole_bytes: int
    weights_bytes: float  # of a change of all weights, on the average
    one_bytes: int  # of a change of one worker
    entries_told: int  # that reached the decisions in all
    entries_told_by_weights: int


def count_list(size: int, *, turns: int = 3) -> ListCount:
    """Counts a whole list, so many changes of all weights, and one of one worker. On the loop's own clock:
    what is counted does not depend on it."""
    errors: list[Exception] = []
    loop = Loop(errors.append)
    told: list[api.WorkerList] = []
    try:
        entries = worker_entries(size)
        model = Discovery(loop, spec.Discovery(soonest=0, latest=0, weights="live"), Streams(1))  # type: ignore[arg-type]
        model.start(entries)
        agent = CountingAgent(
            loop, model, "dispatcher", addresses_of(entries), lambda name, up: None, ("127.0.0.1", 0)
        )
        agent.lines = []
        client = Client(loop, agent.address, told.append)
        client.start({})
        _run_until(loop, lambda: bool(told) and agent.watched)
        for turn in range(1, turns + 1):
            before = len(told)
            weights = {e.name: live_weight(n, turn) for n, e in enumerate(entries)}
            model.set_weights(weights)
            _run_until(loop, lambda before=before: len(told) > before)  # type: ignore[misc]
        before = len(told)
        model.change(replace(model.entries[entries[0].name], status="draining"))
        _run_until(loop, lambda: len(told) > before)
        agent.close()
    finally:
        loop.close()
    if errors:
        raise errors[0]
    lines = agent.lines
    by_weights = told[-1 - turns : -1]
    return ListCount(
        size,
        max(lines),
        sum(lines[-1 - turns : -1]) / turns,
        lines[-1],
        sum(len(news.entries) for news in told),
        sum(len(news.entries) for news in by_weights),
    )


def _run_until(loop: Loop, holds: Callable[[], bool]) -> None:
    """Runs the loop until something holds."""
    until = loop.now() + _GIVE_UP
    while not holds():
        if loop.now() > until:
            raise RuntimeError("the list did not come in time")
        loop.call_at(loop.now() + SECOND // 100, lambda: None)
        loop.run_once()
