"""A scale run at one size, from the first process to the result."""

import os
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from ironbarrow.lab.scale.fleet import ScaleFleet
from ironbarrow.lab.scale.layout import Layout
from ironbarrow.lab.scale.limits import LimitError, Limits
from ironbarrow.lab.scale.meters import LatenessMeter
from ironbarrow.lab.scale.phases import Lengths, Phases
from ironbarrow.lab.scale.result import Phase, ScaleResult
from ironbarrow.lab.scale.target import Size
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep

_READY_LIMIT = 60 * SECOND
_MEET_LIMIT = 45 * SECOND
_LOOK_EVERY = 500 * MS
_CHECK_EVERY = SECOND
_MOST_ERRORS = 20
_SLACK_S = 180.0  # to start, to meet, to end

Progress = Callable[[str], None]


class StartError(Exception):
    """ScaleFleet that did not come up."""


class ScaleRun:
    """One size, played once. ``folder``: takes configurations and logs."""

    def __init__(
        self,
        size: Size,
        *,
        lengths: Lengths | None = None,
        limits: Limits | None = None,
        folder: Path | None = None,
        progress: Progress = lambda text: None,
    ) -> None:
        self._lengths = lengths or Lengths()
        self._limits = limits or Limits.of_machine()
        self._progress = progress
        self._layout = Layout(size, folder or Path(tempfile.mkdtemp(prefix="ironbarrow-scale-")))
        self._layout.folder.mkdir(parents=True, exist_ok=True)
        self._loop = Loop(self._failed)
        self._fatal: Exception | None = None
        self._fleet = ScaleFleet(self._loop, self._layout, self._lengths.whole + _SLACK_S)
        self._lateness = LatenessMeter(self._loop)
        self._result = ScaleResult(
            size.name,
            size.workers,
            size.dispatchers,
            size.real,
            size.teams,
            size.starts_per_second,
            all_met_after_s=-1.0,
            peak_memory_mb=0.0,
            processes=ScaleFleet.process_count(self._layout),
            took_s=0.0,
            phases=[],
        )

    def run(self) -> ScaleResult:
        """Plays it. A run over its bounds ends itself and says so in ``stopped``; a LimitError if it would be
        over them from the start, a StartError if not all parties come up."""
        self._limits.check_plan(self._result.processes)
        begun = time.monotonic()
        earlier = signal.signal(signal.SIGTERM, self._told_to_stop)
        try:
            self._fleet.start()
            self._loop.spawn(self._watch_limits())
            self._loop.spawn(self._play())
            self._loop.run()
        finally:
            self._fleet.close()
            self._loop.close()
            signal.signal(signal.SIGTERM, earlier)
        self._result.took_s = time.monotonic() - begun
        if self._fatal is not None:
            raise self._fatal
        return self._result

    def _failed(self, error: Exception) -> None:
        """A coroutine of the leader's has failed."""
        self._result.errors += 1
        self._progress(f"error: {error!r}")
        if self._result.errors > _MOST_ERRORS:
            self._stop(f"{self._result.errors} errors, the last one {error!r}")

    def _told_to_stop(self, number: int, frame: FrameType | None) -> None:
        """Danger: ended by the signal, real dispatchers would be left behind."""
        self._stop("told to stop")

    def _stop(self, why: str) -> None:
        self._result.stopped = self._result.stopped or why
        self._loop.stop()

    def _watch_limits(self) -> Coroutine[None]:
        while True:
            try:
                held_mb = self._limits.check([os.getpid(), *self._fleet.pids()])
            except LimitError as error:
                self._stop(str(error))
                return
            self._result.peak_memory_mb = max(self._result.peak_memory_mb, held_mb)
            yield from sleep(self._loop.now() + _CHECK_EVERY)

    def _play(self) -> Coroutine[None]:
        try:
            yield from self._until_ready()
            yield from self._until_met()
            self._fleet.load.start()
            self._fleet.weights.start()
            yield from sleep(self._loop.now() + int(self._lengths.warm_up * SECOND))
            phases = Phases(self._fleet, self._lateness, self._lengths, self._phase_done)
            yield from phases.play()
        except Exception as error:
            self._fatal = error
            raise
        finally:
            self._loop.stop()

    def _phase_done(self, phase: Phase) -> None:
        self._result.phases.append(phase)
        mark = ", late" if phase.late else ""
        self._progress(f"{self._result.size}: {phase.name}: late by {phase.late_p99_ms:.1f} ms (p99){mark}")

    def _until_ready(self) -> Coroutine[None]:
        limit = self._loop.now() + _READY_LIMIT
        while len(self._fleet.ready) < len(self._fleet.real):
            if self._loop.now() > limit:
                raise StartError(f"not all real dispatchers are ready; see {self._layout.folder}")
            yield from sleep(self._loop.now() + _LOOK_EVERY)

    def _until_met(self) -> Coroutine[None]:
        """Waits until each hollow dispatcher knows all members, or for so long as that may take."""
        begun = self._loop.now()
        while self._loop.now() < begun + _MEET_LIMIT:
            reports = (yield from self._fleet.collect()).dispatchers
            states = [report.states for report in reports]
            running = sum(one.dispatchers for one in states)
            least = min((one.least_members for one in states), default=0)
            if running == self._layout.size.hollow and least >= self._layout.size.dispatchers:
                self._result.all_met_after_s = (self._loop.now() - begun) / SECOND
                return
            yield from sleep(self._loop.now() + _LOOK_EVERY)
