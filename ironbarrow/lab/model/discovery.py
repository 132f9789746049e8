"""The discovery service: one true list of workers, pushed to each subscriber late and in order."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ironbarrow.lab.model import spec
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.clock import Clock


@dataclass(frozen=True, slots=True)
class Entry:
    """A worker's line. ``since``: its last start, ns of Unix time; 0: long ago."""

    name: str
    zone: str
    kind: str
    weight: float
    status: str = "up"  # up, draining, removed
    since: int = 0


@dataclass(frozen=True, slots=True)
class News:
    """What a subscriber is told: the entries that changed, or the whole list."""

    version: int
    whole: bool
    entries: tuple[Entry, ...]


Listener = Callable[[News], None]


class _Subscriber:
    __slots__ = ("last_at", "listener", "name", "open")

    def __init__(self, name: str, listener: Listener) -> None:
        self.name, self.listener, self.last_at, self.open = name, listener, 0, True


class Discovery:
    """Keeps the list and tells of its changes."""

    def __init__(self, clock: Clock, settings: spec.Discovery, streams: Streams) -> None:
        self._clock, self._set, self._streams = clock, settings, streams
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self._subscribers: list[_Subscriber] = []
        self._out_until = 0

    def start(self, entries: list[Entry]) -> None:
        """The list as it is at first, which everybody knows."""
        self.entries = {entry.name: entry for entry in entries}

    def whole(self) -> News:
        return News(self.version, True, tuple(self.entries.values()))

    def subscribe(self, name: str, listener: Listener) -> Callable[[], None]:
        """Tells the whole list soon and then each change; the result ends that."""
        subscriber = _Subscriber(name, listener)
        self._subscribers.append(subscriber)
        self._tell(subscriber, self.whole(), 0)

        def leave() -> None:
            subscriber.open = False
            if subscriber in self._subscribers:
                self._subscribers.remove(subscriber)

        return leave

    def change(self, *entries: Entry) -> None:
        """Takes in new lines; ``removed`` ones leave the list."""
        self.version += 1
        for entry in entries:
            if entry.status == "removed":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        news = News(self.version, False, entries)
        for subscriber in self._subscribers:
            stream = self._streams[f"directory {subscriber.name}"]
            self._tell(subscriber, news, int(stream.uniform(self._set.soonest, self._set.latest)))

    def mark(self, name: str, status: str) -> None:
        """Changes a worker's status, if it is listed."""
        entry = self.entries.get(name)
        if entry is not None and entry.status != status:
            self.change(replace(entry, status=status))

    def weigh(self, weights: dict[str, float]) -> None:
        """New weights; only those that differ are told."""
        changed = [
            replace(entry, weight=weights[name])
            for name, entry in self.entries.items()
            if name in weights and weights[name] != entry.weight
        ]
        if changed:
            self.change(*changed)

    def out(self, until: int) -> None:
        """Says nothing until then; what is due meanwhile comes at its end."""
        self._out_until = max(self._out_until, until)

    def _tell(self, subscriber: _Subscriber, news: News, delay: int) -> None:
        # one connection carries it: no news overtakes another
        due = max(self._clock.now() + delay, subscriber.last_at, self._out_until)
        subscriber.last_at = due
        self._clock.call_at(due, self._deliver, subscriber, news)

    def _deliver(self, subscriber: _Subscriber, news: News) -> None:
        if not subscriber.open:
            return
        if self._clock.now() < self._out_until:
            self._tell(subscriber, news, 0)
        else:
            subscriber.listener(news)
