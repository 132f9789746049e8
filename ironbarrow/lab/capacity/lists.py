"""Counts of the worker list: bytes of a full list and of updates, received by the real client over a loopback
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

_TIMEOUT = 20 * SECOND
_KINDS = ("type-a", "type-b", "type-c")
_MAX_HELD_JOBS = 5  # the weight falls with the jobs held, from 0 to one less than this


class CountingAgent(DiscoveryAgent):
    """A discovery agent that records the size of each line it sends, in bytes."""

    line_sizes: list[int]

    @property
    def has_follower(self) -> bool:
        """Whether a client is subscribed."""
        return bool(self._followers)

    def _line(self, news: ListUpdate) -> bytes:
        line = super()._line(news)
        self.line_sizes.append(len(line))
        return line


def worker_entries(size: int) -> list[Entry]:
    """``size`` workers over the target's zones, with differing weights."""
    return [
        Entry(f"worker-{number:04d}", zone_of(number), _KINDS[number % 3], live_weight(number, 0), since=1)
        for number in range(size)
    ]


def live_weight(number: int, turn: int) -> float:
    """A worker's weight by the number of jobs it holds, as a discovery service with live weights reports
    it."""
    held = (number * 7 + turn * 3) % _MAX_HELD_JOBS
    return round(4.0 / (1 + held / 4), 3)


def addresses_of(entries: list[Entry]) -> dict[str, str]:
    """A distinct address for each worker, by name."""
    return {entry.name: f"10.1.{n // 250}.{n % 250}:7001" for n, entry in enumerate(entries)}


@dataclass(frozen=True, slots=True)
class ListCount:
    """Counts at one list size. Bytes are those of the JSON lines, without HTTP framing."""

    workers: int
    whole_bytes: int
    weights_bytes: float  # of an update of all weights, the mean
    one_bytes: int  # of an update of one worker
    entries_told: int  # passed to the decisions, in total
    entries_told_by_weights: int


def count_list(size: int, *, turns: int = 3) -> ListCount:
    """Counts a full list, ``turns`` updates of all weights, and one update of one worker. It runs in real
    time; the counts do not depend on timing."""
    errors: list[Exception] = []
    loop = Loop(errors.append)
    received: list[api.WorkerList] = []
    try:
        entries = worker_entries(size)
        model = Discovery(loop, spec.Discovery(soonest=0, latest=0, weights="live"), Streams(1))  # type: ignore[arg-type]
        model.start(entries)
        agent = CountingAgent(
            loop, model, "dispatcher", addresses_of(entries), lambda name, up: None, ("127.0.0.1", 0)
        )
        agent.line_sizes = []
        client = Client(loop, agent.address, received.append)
        client.start({})
        _run_until(loop, lambda: bool(received) and agent.has_follower)
        for turn in range(1, turns + 1):
            before = len(received)
            weights = {e.name: live_weight(n, turn) for n, e in enumerate(entries)}
            model.set_weights(weights)
            _run_until(loop, lambda before=before: len(received) > before)  # type: ignore[misc]
        before = len(received)
        model.change(replace(model.entries[entries[0].name], status="draining"))
        _run_until(loop, lambda: len(received) > before)
        agent.close()
    finally:
        loop.close()
    if errors:
        raise errors[0]
    line_sizes = agent.line_sizes
    by_weights = received[-1 - turns : -1]
    return ListCount(
        size,
        max(line_sizes),
        sum(line_sizes[-1 - turns : -1]) / turns,
        line_sizes[-1],
        sum(len(news.entries) for news in received),
        sum(len(news.entries) for news in by_weights),
    )


def _run_until(loop: Loop, condition: Callable[[], bool]) -> None:
    """Runs the loop until ``condition`` holds; raises RuntimeError after 20 s."""
    until = loop.now() + _TIMEOUT
    while not condition():
        if loop.now() > until:
            raise RuntimeError("worker list update not received within 20 s")
        loop.call_at(loop.now() + SECOND // 100, lambda: None)
        loop.run_once()
