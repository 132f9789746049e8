"""The phases of a scale run: calm, and one of each kind of fault."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from ironbarrow.lab.scale.children import RealDispatcher
from ironbarrow.lab.scale.measuring import Measurement
from ironbarrow.lab.scale.messages import Begin, End, MemberNews, Pause
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.parties import Parties
from ironbarrow.lab.scale.result import Phase
from ironbarrow.lab.scale.target import ZONES, region_of, zone_of
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep

_LISTED_AFTER = SECOND  # until the list says that a worker is gone
_RACK_ZONE, _LOST_ZONE = ZONES[0], ZONES[-1]
_BATCHES = 12  # of a rolling restart
_DRAINING, _DOWN = SECOND // 2, SECOND // 2
_LOOKS_FOR_END = 20 * MS


@dataclass(frozen=True, slots=True)
class Lengths:
    """How long each phase lasts, s. A cut of regions stands for one of an hour: what grows with its length is
    extrapolated."""

    warm_up: float = 5.0  # from the first job to the first measurement
    calm: float = 20.0
    workers: float = 8.0
    rack: float = 10.0
    zone: float = 12.0
    zone_back: float = 12.0
    cut: float = 20.0
    heal: float = 15.0
    rolling: float = 20.0

    @property
    def whole(self) -> float:
        """All together."""
        faults = self.workers + self.rack + self.zone + self.zone_back + self.cut + self.heal + self.rolling
        return self.calm + faults


class Phases:
    """Plays them one after another. ``done`` is told of each."""

    def __init__(
        self, parties: Parties, lateness: LatenessMeter, lengths: Lengths, done: Callable[[Phase], None]
    ) -> None:
        self._parties, self._lateness, self._lengths, self._done = parties, lateness, lengths, done
        self._loop: Loop = parties.loop

    def play(self) -> Coroutine[None]:
        """All of them."""
        yield from self._calm()
        yield from self._workers_fail()
        yield from self._rack_lost()
        yield from self._zone_lost()
        yield from self._regions_apart()
        yield from self._rolling_restart()

    def _sleep(self, seconds: float) -> Coroutine[None]:
        yield from sleep(self._loop.now() + int(seconds * SECOND))

    def _measure(self, name: str) -> Coroutine[Measurement]:
        made = Measurement(self._parties, self._lateness, name)
        yield from made.begin()
        return made

    def _calm(self) -> Coroutine[None]:
        measured = yield from self._measure("calm")
        yield from self._sleep(self._lengths.calm)
        self._done((yield from measured.end()))

    # Workers

    def _workers_fail(self) -> Coroutine[None]:
        names = self._spread(self._parties.layout.size.failures)
        measured = yield from self._measure("workers fail")
        self._parties.tell_workers(End(names))
        yield from sleep(self._loop.now() + _LISTED_AFTER)
        self._parties.workers.mark(names, "removed")
        yield from self._sleep(self._lengths.workers - _LISTED_AFTER / SECOND)
        self._done((yield from measured.end()))
        self._workers_back(names)

    def _spread(self, count: int) -> list[str]:
        """So many workers, over all zones."""
        names = self._parties.layout.workers
        step = max(1, len(names) // count)
        return names[::step][:count]

    def _workers_back(self, names: list[str]) -> None:
        """New processes of these workers are listed."""
        self._parties.tell_workers(Begin(names))
        entry = self._parties.layout.entry
        self._parties.workers.change(*(entry(name, time.time_ns()) for name in names))

    def _rolling_restart(self) -> Coroutine[None]:
        names = self._spread(self._parties.layout.size.replaced)
        measured = yield from self._measure("rolling restart")
        batch = -(-len(names) // _BATCHES)
        pause = self._lengths.rolling / _BATCHES - (_DRAINING + _DOWN) / SECOND
        for start in range(0, len(names), batch):
            some = names[start : start + batch]
            self._parties.workers.mark(some, "draining")
            yield from sleep(self._loop.now() + _DRAINING)
            self._parties.tell_workers(End(some))
            self._parties.workers.mark(some, "removed")
            yield from sleep(self._loop.now() + _DOWN)
            self._workers_back(some)
            yield from self._sleep(max(0.0, pause))
        self._done((yield from measured.end()))

    # Dispatchers and workers together

    def _rack_lost(self) -> Coroutine[None]:
        layout = self._parties.layout
        workers = self._workers_of(_RACK_ZONE)[: layout.size.rack_workers]
        count = max(1, round(len(workers) * layout.size.dispatchers / layout.size.workers))
        dispatchers = self._hollow_of(_RACK_ZONE)[-count:]
        measured = yield from self._measure("rack lost")
        yield from self._lose(measured, dispatchers, workers, self._lengths.rack)
        yield from self._come_back("rack back", dispatchers, workers, 0.0)

    def _zone_lost(self) -> Coroutine[None]:
        dispatchers = self._hollow_of(_LOST_ZONE)
        workers = self._workers_of(_LOST_ZONE)
        measured = yield from self._measure("zone lost")
        for instance in self._real_of(_LOST_ZONE):
            instance.pause()
        yield from self._lose(measured, dispatchers, workers, self._lengths.zone)
        yield from self._come_back("zone back", dispatchers, workers, self._lengths.zone_back)

    def _lose(
        self, measured: Measurement, dispatchers: list[str], workers: list[str], seconds: float
    ) -> Coroutine[None]:
        """They stand still and say nothing, as machines without power or behind a dead switch."""
        parties = self._parties
        lost = frozenset(dispatchers) | {
            f"d{instance.number}" for instance in parties.real if instance.is_stopped
        }
        parties.load.excluded = {int(name[1:]) for name in lost}
        parties.tell_dispatchers(Pause(dispatchers))
        parties.tell_workers(Pause(workers))
        since = time.monotonic_ns()
        yield from sleep(self._loop.now() + _LISTED_AFTER)
        parties.workers.mark(workers, "removed")
        yield from self._sleep(seconds - _LISTED_AFTER / SECOND)
        phase = yield from measured.end(lost)
        deaths = [news for news in measured.deaths() if news.subject in lost and news.observer not in lost]
        observers = parties.layout.size.hollow - len(dispatchers)
        deaths = measured.first_of_each(deaths)
        phase.told.append(measured.told("deaths of members", deaths, since, observers * len(lost)))
        self._done(phase)

    def _come_back(
        self, name: str, dispatchers: list[str], workers: list[str], seconds: float
    ) -> Coroutine[None]:
        """New processes of all that were lost. ``seconds``: how long is measured; 0: that is no phase."""
        parties = self._parties
        measured = yield from self._measure(name)
        lost = frozenset(dispatchers) | {
            f"d{instance.number}" for instance in parties.real if instance.is_stopped
        }
        since = time.monotonic_ns()
        yield from self._start_again(dispatchers, workers)
        if not seconds:
            return
        yield from self._sleep(seconds)
        phase = yield from measured.end(lost)
        alive = [
            news
            for news in measured.member_news()
            if news.health == "alive" and news.subject in lost and news.observer not in lost
        ]
        observers = parties.layout.size.hollow - len(dispatchers)
        what = "members known that are back"
        alive = measured.first_of_each(alive)
        phase.told.append(measured.told(what, alive, since, observers * len(lost)))
        self._note_members(phase)
        self._done(phase)

    def _start_again(self, dispatchers: list[str], workers: list[str]) -> Coroutine[None]:
        parties = self._parties
        stopped = [instance for instance in parties.real if instance.is_stopped]
        for instance in stopped:
            instance.kill()
        parties.tell_dispatchers(End(dispatchers))
        parties.tell_dispatchers(Begin(dispatchers))
        parties.tell_workers(End(workers))
        self._workers_back(workers)
        for instance in stopped:
            while instance.pid is not None:
                yield from sleep(self._loop.now() + _LOOKS_FOR_END)
            instance.start()
        parties.load.excluded = set()

    def _note_members(self, phase: Phase) -> None:
        expected = self._parties.layout.size.dispatchers
        if phase.held.least_members < expected:
            phase.notes.append(f"at the end one knew {phase.held.least_members} of {expected} members")

    # Regions

    def _regions_apart(self) -> Coroutine[None]:
        measured = yield from self._measure("regions apart")
        self._parties.cut_regions(True)
        since = time.monotonic_ns()
        yield from self._sleep(self._lengths.cut)
        phase = yield from measured.end()
        deaths = measured.deaths()
        across = [news for news in deaths if self._is_across(news)]
        phase.false_deaths = len(deaths) - len(across)
        what = "members of the other region dead"
        across = measured.first_of_each(across)
        phase.told.append(measured.told(what, across, since, self._pairs_apart()))
        phase.notes.append(f"{self._lengths.cut:.0f} s stand for an hour: what grows with it is extrapolated")
        phase.notes.append("lists of workers stay whole in both regions")
        self._done(phase)
        yield from self._regions_together()

    def _regions_together(self) -> Coroutine[None]:
        measured = yield from self._measure("regions together again")
        self._parties.cut_regions(False)
        since = time.monotonic_ns()
        yield from self._sleep(self._lengths.heal)
        phase = yield from measured.end()
        news = list(measured.member_news())
        alive = [one for one in news if one.health == "alive" and self._is_across(one)]
        alive = measured.last_of_each(alive)
        phase.told.append(
            measured.told("members of the other region back", alive, since, self._pairs_apart())
        )
        phase.told.append(measured.told("deaths told after the cut", measured.deaths(), since, 0))
        self._note_members(phase)
        self._done(phase)

    def _is_across(self, news: MemberNews) -> bool:
        return self._region(news.subject) != self._region(news.observer)

    def _pairs_apart(self) -> int:
        """Views of members across regions, by hollow dispatchers."""
        layout = self._parties.layout
        regions = [region_of(zone_of(n)) for n in layout.numbers]
        return sum(sum(region != regions[observer] for region in regions) for observer in layout.hollow)

    # Who is where

    @staticmethod
    def _region(name: str) -> str:
        return region_of(zone_of(int(name[1:])))

    def _hollow_of(self, zone: str) -> list[str]:
        return [f"d{n}" for n in self._parties.layout.hollow if zone_of(n) == zone]

    def _workers_of(self, zone: str) -> list[str]:
        layout = self._parties.layout
        return [name for name in layout.workers if layout.worker_zone(name) == zone]

    def _real_of(self, zone: str) -> list[RealDispatcher]:
        return [instance for instance in self._parties.real if zone_of(instance.number) == zone]
