"""Runs many hollow dispatchers in one process, each the complete program as an object.

Each has its own event loop, so that it can be paused or ended like a process; one epoll over all loops runs
those that have work.

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
from ironbarrow.lab.scale.control import CommandReader
from ironbarrow.lab.scale.kinds import kind_of
from ironbarrow.lab.scale.messages import (
    AnyCommand,
    Begin,
    CutRegions,
    DispatcherSpec,
    DispatchersReport,
    DispatchersSpec,
    End,
    ListUpdate,
    MemberUpdate,
    Pause,
    Report,
    StateTotals,
    Traffic,
)
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.target import region_of, zone_of
from ironbarrow.runtime.loop import Loop


class Counters:
    """Messages and membership and list updates of this process's hollow dispatchers since the last report."""

    def __init__(self, real: list[str]) -> None:
        self._real = frozenset(real)
        self.cut = False  # whether the regions are partitioned
        self.reset()

    def reset(self) -> None:
        """Resets all counts."""
        self.sent: dict[str, Traffic] = defaultdict(Traffic)
        self.sent_by_type: dict[str, Traffic] = defaultdict(Traffic)
        self.received: dict[str, Traffic] = defaultdict(Traffic)
        self.from_real: dict[str, Traffic] = defaultdict(Traffic)
        self.member_news: list[MemberUpdate] = []
        self.list_news: list[ListUpdate] = []

    def count_sent(self, message: type[Message], size: int) -> None:
        """Counts an encoded message."""
        self.sent[kind_of(message)].add(size)
        self.sent_by_type[message.__name__].add(size)

    def count_received(self, sender: str, kind: str, size: int) -> None:
        """Counts a received message."""
        self.received[kind].add(size)
        if sender in self._real:
            self.from_real[kind].add(size)


class CountingCodec(Codec):
    """Counts messages and bytes by kind as they are encoded and decoded."""

    def __init__(self, counters: Counters) -> None:
        super().__init__(())
        self._counters = counters

    def encode(self, sender: Incarnation, to_start: int, message: Message) -> bytes:
        """Encodes and counts a message."""
        data = super().encode(sender, to_start, message)
        self._counters.count_sent(type(message), len(data))
        return data

    def decode(self, frame: bytes) -> tuple[Incarnation, int, Message] | None:
        """Decodes and counts a frame."""
        found = super().decode(frame)
        if found is not None:
            self._counters.count_received(found[0].name, kind_of(type(found[2])), len(frame))
        return found


def region_of_name(name: str) -> str:
    """The region of a dispatcher, by its name (``d17``)."""
    return region_of(zone_of(int(name[1:])))


class HollowMember(FleetService):
    """A member that drops messages to and from the other region while the regions are partitioned."""

    def __init__(
        self, loop: Loop, fleet: Fleet, name: str, site: str, front: str, *, counters: Counters
    ) -> None:
        self._counters = counters
        self._region = region_of_name(name)
        super().__init__(loop, fleet, name, site, front, codec=CountingCodec(counters))
        self.subscribe(self._on_event)

    def _is_cut_from(self, name: str) -> bool:
        return self._counters.cut and region_of_name(name) != self._region

    def _send(self, action: Send) -> None:
        if not self._is_cut_from(action.to.name):
            super()._send(action)

    def _on_message(self, sender: Incarnation, to_start: int, message: Message) -> None:
        if not self._is_cut_from(sender.name):
            super()._on_message(sender, to_start, message)

    def _on_event(self, event: FleetEvent) -> None:
        if isinstance(event, MemberChanged):
            subject, health = event.member.card.incarnation, event.member.health.value
            now = time.monotonic_ns()
            self._counters.member_news.append(
                MemberUpdate(now, self.name, subject.name, subject.start, health)
            )


class HollowDispatcher(Dispatcher):
    """The complete program with a ``HollowMember``, whose messages are counted and can be cut off."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self._counters, self._name = counters, config.name
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
            make_service=partial(HollowMember, counters=self._counters),
        )
        self.server.fleet_jobs = self.fleet.adapter

    def _on_worker_list(self, worker_list: api.WorkerList) -> None:
        super()._on_worker_list(worker_list)
        self._counters.list_news.append(ListUpdate(time.monotonic_ns(), self._name, worker_list.version))

    def add_states(self, states: StateTotals) -> None:
        """Adds the sizes of this dispatcher's state."""
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
    """Runs many loops in one thread until the leading one is stopped."""

    def __init__(self, leading: Loop) -> None:
        self._leading = leading
        self._epoll = select.epoll()
        self._loops: dict[int, Loop] = {}
        self.add(leading)

    def add(self, loop: Loop) -> None:
        """Adds a loop."""
        self._loops[loop.fileno()] = loop
        self._epoll.register(loop.fileno(), select.EPOLLIN)

    def remove(self, loop: Loop) -> None:
        """Removes a loop, which then no longer runs; does nothing if it is not in the group."""
        if self._loops.pop(loop.fileno(), None) is not None:
            self._epoll.unregister(loop.fileno())

    def run(self) -> None:
        """Runs the loops until the leading one is stopped."""
        while not self._leading.stopped:
            wait = min(loop.poll_timeout_s() for loop in self._loops.values())
            ready = {fd for fd, _ in self._epoll.poll(wait)}
            for fd, loop in list(self._loops.items()):
                if self._loops.get(fd) is not loop:
                    continue  # removed by a loop that ran before it in this pass
                if fd in ready or loop.poll_timeout_s() <= 0:
                    loop.run_once(wait=False)


class HollowDispatcherProcess:
    """The hollow dispatchers of this process, and their control."""

    def __init__(self, spec: DispatchersSpec) -> None:
        self._counters = Counters(spec.real)
        self._specs = {one.name: one for one in spec.dispatchers}
        self._running: dict[str, HollowDispatcher] = {}
        self._paused: set[str] = set()
        self._errors = 0
        self.loop = Loop(self._failed)
        self._group = LoopGroup(self.loop)
        self._lateness = LatenessMeter(self.loop)
        CommandReader(self.loop, self._execute, spec.lives_s)
        for one in spec.dispatchers:
            self._start(one)

    def _failed(self, error: Exception) -> None:
        self._errors += 1
        print(f"error in the control loop: {error!r}", file=sys.stderr, flush=True)

    def run(self) -> None:
        """Runs the dispatchers until the leading loop is stopped, then ends them."""
        self._group.run()
        for name in list(self._running):
            self._end(name)

    def _start(self, spec: DispatcherSpec) -> None:
        config = load({"BALANCER_CONFIG": spec.config, "BALANCER_FLEET": spec.fleet})
        dispatcher = HollowDispatcher(config, self._counters)
        self._running[spec.name] = dispatcher
        self._group.add(dispatcher.loop)

    def _end(self, name: str) -> None:
        self._paused.discard(name)
        ended = self._running.pop(name, None)
        if ended is not None:
            self._group.remove(ended.loop)
            ended.close()

    def _execute(self, command: AnyCommand) -> DispatchersReport | None:
        match command:
            case CutRegions():
                self._counters.cut = command.cut
            case Pause():
                for name in self._running_of(command.names):
                    self._group.remove(self._running[name].loop)
                    self._paused.add(name)
            case End():
                for name in self._running_of(command.names):
                    self._end(name)
            case Begin():
                for name in command.names:
                    if name in self._specs and name not in self._running:
                        self._start(self._specs[name])
            case Report():
                return self._report()
        return None

    def _running_of(self, names: list[str]) -> list[str]:
        return [name for name in names if name in self._running]

    def _report(self) -> DispatchersReport:
        lateness = self._lateness.take()
        states = StateTotals()
        for name, dispatcher in self._running.items():
            if name not in self._paused:
                dispatcher.add_states(states)
        counters = self._counters
        report = DispatchersReport(
            lateness,
            dict(counters.sent),
            dict(counters.received),
            dict(counters.from_real),
            counters.member_news,
            counters.list_news,
            states,
            self._errors,
            dict(counters.sent_by_type),
        )
        counters.reset()
        return report


def main() -> None:
    """Runs the hollow dispatchers of a specification file."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=DispatchersSpec)
    HollowDispatcherProcess(spec).run()


if __name__ == "__main__":
    main()
