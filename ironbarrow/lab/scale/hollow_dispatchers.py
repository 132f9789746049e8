"""A process with many hollow dispatchers: the whole program as an object each, without clients of its own.

Each has a loop of its own, so that one can be stopped or ended as a process would be; one poll over all loops
runs those that have something to do.

    python -m ironbarrow.lab.scale.hollow_dispatchers SPEC.json
"""

import logging
import select
import sys
import time
from collections import defaultdict
from functools import partial
from pathlib import Path

import msgspec
import structlog

from heathway import api
from ironbarrow.config import Config, load
from ironbarrow.daemon import Dispatcher
from ironbarrow.fleet.api import FleetEvent, Incarnation, MemberChanged, Message, Send
from ironbarrow.fleet.codec import Codec
from ironbarrow.fleet.file import Fleet
from ironbarrow.fleet.service import FleetService
from ironbarrow.fleet.takeover.participant import FleetParticipant
from ironbarrow.lab.scale.control import Control
from ironbarrow.lab.scale.kinds import kind_of
from ironbarrow.lab.scale.messages import (
    AnyCommand,
    Begin,
    CutRegions,
    DispatcherSpec,
    DispatchersReport,
    DispatchersSpec,
    End,
    ListNews,
    MemberNews,
    Pause,
    Report,
    States,
    Traffic,
)
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.target import region_of, zone_of
from ironbarrow.runtime.loop import Loop


class Counts:
    """What the hollow dispatchers of this process have sent, received and learnt since the last report."""

    def __init__(self, real: list[str]) -> None:
        self._real = frozenset(real)
        self.cut = False  # between regions
        self.clear()

    def clear(self) -> None:
        """Begins anew."""
        self.sent: dict[str, Traffic] = defaultdict(Traffic)
        self.sent_by_type: dict[str, Traffic] = defaultdict(Traffic)
        self.received: dict[str, Traffic] = defaultdict(Traffic)
        self.from_real: dict[str, Traffic] = defaultdict(Traffic)
        self.member_news: list[MemberNews] = []
        self.list_news: list[ListNews] = []

    def note_sent(self, message: type[Message], size: int) -> None:
        """A message was written out."""
        self.sent[kind_of(message)].add(size)
        self.sent_by_type[message.__name__].add(size)

    def note_received(self, sender: str, kind: str, size: int) -> None:
        """A message came in."""
        self.received[kind].add(size)
        if sender in self._real:
            self.from_real[kind].add(size)


class CountingCodec(Codec):
    """Counts messages and bytes by kind as they are encoded and decoded."""

    def __init__(self, counts: Counts) -> None:
        super().__init__(())
        self._counts = counts

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        """One frame, counted."""
        data = super().encode(sender, to_start, message)
        self._counts.note_sent(type(message), len(data))
        return data

    def decode(self, frame: bytes) -> tuple[Incarnation, int, Message] | None:
        """What a frame holds, counted."""
        found = super().decode(frame)
        if found is not None:
            self._counts.note_received(found[0].name, kind_of(type(found[2])), len(frame))
        return found


def region_of_name(name: str) -> str:
    """The region of a dispatcher, by its name (``d17``)."""
    return region_of(zone_of(int(name[1:])))


class HollowMember(FleetService):
    """A member whose messages to and from the other region are dropped while regions are apart."""

    def __init__(self, loop: Loop, fleet: Fleet, name: str, site: str, front: str, *, counts: Counts) -> None:
        self._counts = counts
        self._region = region_of_name(name)
        super().__init__(loop, fleet, name, site, front, codec=CountingCodec(counts))
        self.subscribe(self._note)

    def _is_cut_from(self, name: str) -> bool:
        return self._counts.cut and region_of_name(name) != self._region

    def _send(self, action: Send) -> None:
        if not self._is_cut_from(action.to.name):
            super()._send(action)

    def _received(self, sender: Incarnation, to_start: int, message: Message) -> None:
        if not self._is_cut_from(sender.name):
            super()._received(sender, to_start, message)

    def _note(self, news: FleetEvent) -> None:
        if isinstance(news, MemberChanged):
            life, health = news.member.card.incarnation, news.member.health.value
            now = time.monotonic_ns()
            self._counts.member_news.append(MemberNews(now, self.name, life.name, life.start, health))


class HollowDispatcher(Dispatcher):
    """The whole program, with a member that can be cut off and is counted."""

    def __init__(self, config: Config, counts: Counts) -> None:
        self._counts, self._name = counts, config.name
        super().__init__(config)

    def _join_fleet(self, config: Config, path: Path) -> None:
        self.fleet = FleetParticipant(
            self.loop,
            self.host,
            self.invoker,
            path,
            config.name,
            config.settings.zone,
            self.listener.getsockname()[:2],
            make_service=partial(HollowMember, counts=self._counts),
        )
        self.server.fleet_jobs = self.fleet.adapter

    def _on_worker_list(self, news: api.WorkerList) -> None:
        super()._on_worker_list(news)
        self._counts.list_news.append(ListNews(time.monotonic_ns(), self._name, news.version))

    def add_states(self, states: States) -> None:
        """Adds what this dispatcher holds."""
        members = len(self.fleet.service.members.alive())
        replica = self.fleet.ledgers.replica
        states.least_members = min(states.least_members, members) if states.dispatchers else members
        states.dispatchers += 1
        states.members += members
        states.workers += len(self.host.workers)
        states.segments += len(replica.segments)
        states.segment_entries += sum(len(segment.table) for segment in replica.segments.values())
        states.segment_bytes += replica.size


class LoopGroup:
    """Runs many loops in one thread, until the first one is stopped."""

    def __init__(self, leading: Loop) -> None:
        self._leading = leading
        self._epoll = select.epoll()
        self._loops: dict[int, Loop] = {}
        self.add(leading)

    def add(self, loop: Loop) -> None:
        """Runs this one too."""
        self._loops[loop.fileno()] = loop
        self._epoll.register(loop.fileno(), select.EPOLLIN)

    def remove(self, loop: Loop) -> None:
        """Runs this one no more; harmless if it was not run."""
        if self._loops.pop(loop.fileno(), None) is not None:
            self._epoll.unregister(loop.fileno())

    def run(self) -> None:
        """Until the leading loop is stopped."""
        while not self._leading.stopped:
            wait = min(loop.poll_timeout_s() for loop in self._loops.values())
            ready = {fd for fd, _ in self._epoll.poll(wait)}
            for fd, loop in list(self._loops.items()):
                if fd in ready or loop.poll_timeout_s() <= 0:
                    loop.run_once(wait=False)


class Party:
    """The hollow dispatchers of this process."""

    def __init__(self, spec: DispatchersSpec) -> None:
        self._counts = Counts(spec.real)
        self._specs = {one.name: one for one in spec.dispatchers}
        self._running: dict[str, HollowDispatcher] = {}
        self._paused: set[str] = set()
        self._errors = 0
        self.loop = Loop(self._failed)
        self._group = LoopGroup(self.loop)
        self._lateness = LatenessMeter(self.loop)
        Control(self.loop, self._carry_out, spec.lives_s)
        for one in spec.dispatchers:
            self._begin(one)

    def _failed(self, error: Exception) -> None:
        self._errors += 1
        print(f"control failed: {error!r}", file=sys.stderr, flush=True)

    def run(self) -> None:
        """Until the process is told to stop."""
        self._group.run()
        for name in list(self._running):
            self._end(name)

    def _begin(self, spec: DispatcherSpec) -> None:
        config = load({"BALANCER_CONFIG": spec.config, "BALANCER_FLEET": spec.fleet})
        made = HollowDispatcher(config, self._counts)
        self._running[spec.name] = made
        self._group.add(made.loop)

    def _end(self, name: str) -> None:
        self._paused.discard(name)
        ended = self._running.pop(name, None)
        if ended is not None:
            self._group.remove(ended.loop)
            ended.close()

    def _carry_out(self, command: AnyCommand) -> DispatchersReport | None:
        match command:
            case CutRegions():
                self._counts.cut = command.cut
            case Pause():
                for name in self._mine(command.names):
                    self._group.remove(self._running[name].loop)
                    self._paused.add(name)
            case End():
                for name in self._mine(command.names):
                    self._end(name)
            case Begin():
                for name in command.names:
                    if name in self._specs and name not in self._running:
                        self._begin(self._specs[name])
            case Report():
                return self._report()
        return None

    def _mine(self, names: list[str]) -> list[str]:
        return [name for name in names if name in self._running]

    def _report(self) -> DispatchersReport:
        lateness = self._lateness.take()
        states = States()
        for name, dispatcher in self._running.items():
            if name not in self._paused:
                dispatcher.add_states(states)
        counts = self._counts
        report = DispatchersReport(
            lateness,
            dict(counts.sent),
            dict(counts.received),
            dict(counts.from_real),
            counts.member_news,
            counts.list_news,
            states,
            self._errors,
            dict(counts.sent_by_type),
        )
        counts.clear()
        return report


def main() -> None:
    """The process of one party."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=DispatchersSpec)
    Party(spec).run()


if __name__ == "__main__":
    main()
