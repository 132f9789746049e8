"""The discovery service: one list of workers, whose updates reach each subscriber delayed and in order."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ironbarrow.lab.model import spec
from ironbarrow.lab.model.randomness import Streams
from ironbarrow.runtime.clock import Clock


@dataclass(frozen=True, slots=True)
class Entry:
    """A worker's entry. ``since``: its last start, ns of Unix time; 0: started long ago."""

    name: str
    zone: str
    kind: str
    weight: float
    status: str = "up"  # up, draining, removed
    since: int = 0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """An update for subscribers: the changed entries, or the full list."""

    version: int
    is_full: bool
    entries: tuple[Entry, ...]


UpdateListener = Callable[[ListUpdate], None]


class _Subscriber:
    __slots__ = ("last_delivery_at", "listener", "name", "open")

    def __init__(self, name: str, listener: UpdateListener) -> None:
        self.name, self.listener, self.last_delivery_at, self.open = name, listener, 0, True


class Discovery:
    """Keeps the list of workers and sends its changes to subscribers."""

    def __init__(self, clock: Clock, settings: spec.Discovery, streams: Streams) -> None:
        self._clock, self._settings, self._streams = clock, settings, streams
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self._subscribers: list[_Subscriber] = []
        self._outage_until = 0

    def start(self, entries: list[Entry]) -> None:
        """Sets the initial list, which every subscriber knows."""
        self.entries = {entry.name: entry for entry in entries}

    def full_list(self) -> ListUpdate:
        """The current list as one update."""
        return ListUpdate(self.version, True, tuple(self.entries.values()))

    def subscribe(self, name: str, listener: UpdateListener) -> Callable[[], None]:
        """Sends the full list without delay and then each change; the returned function unsubscribes."""
        subscriber = _Subscriber(name, listener)
        self._subscribers.append(subscriber)
        self._schedule_delivery(subscriber, self.full_list(), 0)

        def unsubscribe() -> None:
            subscriber.open = False
            if subscriber in self._subscribers:
                self._subscribers.remove(subscriber)

        return unsubscribe

    def change(self, *entries: Entry) -> None:
        """Adds or replaces entries, deletes those with status ``removed``, and notifies the subscribers."""
        self.version += 1
        for entry in entries:
            if entry.status == "removed":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
        update = ListUpdate(self.version, False, entries)
        for subscriber in self._subscribers:
            stream = self._streams[f"directory {subscriber.name}"]
            self._schedule_delivery(
                subscriber, update, int(stream.uniform(self._settings.soonest, self._settings.latest))
            )

    def set_status(self, name: str, status: str) -> None:
        """Changes a listed worker's status; does nothing for an unlisted one."""
        entry = self.entries.get(name)
        if entry is not None and entry.status != status:
            self.change(replace(entry, status=status))

    def set_weights(self, weights: dict[str, float]) -> None:
        """Sets weights; subscribers receive only those that changed."""
        changed = [
            replace(entry, weight=weights[name])
            for name, entry in self.entries.items()
            if name in weights and weights[name] != entry.weight
        ]
        if changed:
            self.change(*changed)

    def start_outage(self, until: int) -> None:
        """Delivers nothing before ``until``; updates that fall due earlier are delivered then."""
        self._outage_until = max(self._outage_until, until)

    def _schedule_delivery(self, subscriber: _Subscriber, update: ListUpdate, delay: int) -> None:
        # a subscriber has one connection, so updates cannot overtake each other
        due = max(self._clock.now() + delay, subscriber.last_delivery_at, self._outage_until)
        subscriber.last_delivery_at = due
        self._clock.call_at(due, self._deliver, subscriber, update)

    def _deliver(self, subscriber: _Subscriber, update: ListUpdate) -> None:
        if not subscriber.open:
            return
        if self._clock.now() < self._outage_until:
            self._schedule_delivery(subscriber, update, 0)
        else:
            subscriber.listener(update)
