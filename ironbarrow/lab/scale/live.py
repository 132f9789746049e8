"""Runs a fleet of one size, from the start of its processes to the result."""

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
from ironbarrow.lab.scale.phases import PhaseDurations, Phases
from ironbarrow.lab.scale.result import Phase, ScaleResult
from ironbarrow.lab.scale.target import Size
from ironbarrow.runtime.loop import MS, SECOND, Coroutine, Loop, sleep

_READY_TIMEOUT = 60 * SECOND
_MEMBERSHIP_TIMEOUT = 45 * SECOND
_POLL_INTERVAL = 500 * MS
_LIMIT_CHECK_INTERVAL = SECOND
_MAX_ERRORS = 20
_OVERHEAD_S = 180.0  # beyond the phases: start, membership, shutdown

Progress = Callable[[str], None]


class StartError(Exception):
    """Not all dispatchers became ready in time."""


class ScaleRun:
    """One run at one size. ``folder``: for configurations and logs."""

    def __init__(
        self,
        size: Size,
        *,
        durations: PhaseDurations | None = None,
        limits: Limits | None = None,
        folder: Path | None = None,
        progress: Progress = lambda text: None,
    ) -> None:
        self._durations = durations or PhaseDurations()
        self._limits = limits or Limits.of_machine()
        self._progress = progress
        self._layout = Layout(size, folder or Path(tempfile.mkdtemp(prefix="ironbarrow-scale-")))
        self._layout.folder.mkdir(parents=True, exist_ok=True)
        self._loop = Loop(self._on_error)
        self._fatal: Exception | None = None
        self._fleet = ScaleFleet(self._loop, self._layout, self._durations.total + _OVERHEAD_S)
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
        """Runs all phases. A run that exceeds its limits ends early with the reason in ``stopped``.

        Raises LimitError, before starting anything, if the planned processes exceed the limit, and StartError
        if not all real dispatchers become ready.
        """
        self._limits.check_plan(self._result.processes)
        started_at = time.monotonic()
        previous_handler = signal.signal(signal.SIGTERM, self._on_sigterm)
        try:
            self._fleet.start()
            self._loop.spawn(self._watch_limits())
            self._loop.spawn(self._run_phases())
            self._loop.run()
        finally:
            self._fleet.close()
            self._loop.close()
            signal.signal(signal.SIGTERM, previous_handler)
        self._result.took_s = time.monotonic() - started_at
        if self._fatal is not None:
            raise self._fatal
        return self._result

    def _on_error(self, error: Exception) -> None:
        """Counts an error of a coroutine in the leader; stops the run after too many."""
        self._result.errors += 1
        self._progress(f"error: {error!r}")
        if self._result.errors > _MAX_ERRORS:
            self._stop(f"{self._result.errors} errors, the last one {error!r}")

    def _on_sigterm(self, number: int, frame: FrameType | None) -> None:
        """Stops the run: if the signal killed the leader, the real dispatchers would keep running."""
        self._stop("told to stop")

    def _stop(self, reason: str) -> None:
        self._result.stopped = self._result.stopped or reason
        self._loop.stop()

    def _watch_limits(self) -> Coroutine[None]:
        while True:
            try:
                held_mb = self._limits.check([os.getpid(), *self._fleet.pids()])
            except LimitError as error:
                self._stop(str(error))
                return
            self._result.peak_memory_mb = max(self._result.peak_memory_mb, held_mb)
            yield from sleep(self._loop.now() + _LIMIT_CHECK_INTERVAL)

    def _run_phases(self) -> Coroutine[None]:
        try:
            yield from self._wait_until_ready()
            yield from self._wait_for_membership()
            self._fleet.load.start()
            self._fleet.weights.start()
            yield from sleep(self._loop.now() + int(self._durations.warm_up * SECOND))
            phases = Phases(self._fleet, self._lateness, self._durations, self._phase_done)
            yield from phases.run()
        except Exception as error:
            self._fatal = error
            raise
        finally:
            self._loop.stop()

    def _phase_done(self, phase: Phase) -> None:
        self._result.phases.append(phase)
        suffix = ", late" if phase.late else ""
        self._progress(f"{self._result.size}: {phase.name}: late by {phase.late_p99_ms:.1f} ms (p99){suffix}")

    def _wait_until_ready(self) -> Coroutine[None]:
        limit = self._loop.now() + _READY_TIMEOUT
        while len(self._fleet.ready) < len(self._fleet.real):
            if self._loop.now() > limit:
                raise StartError(
                    f"not all real dispatchers became ready within 60 s; see {self._layout.folder}"
                )
            yield from sleep(self._loop.now() + _POLL_INTERVAL)

    def _wait_for_membership(self) -> Coroutine[None]:
        """Waits until every hollow dispatcher knows all members, but no longer than 45 s."""
        started_at = self._loop.now()
        while self._loop.now() < started_at + _MEMBERSHIP_TIMEOUT:
            reports = (yield from self._fleet.collect()).dispatchers
            states = [report.states for report in reports]
            running = sum(one.dispatchers for one in states)
            least = min((one.least_members for one in states), default=0)
            if running == self._layout.size.hollow and least >= self._layout.size.dispatchers:
                self._result.all_met_after_s = (self._loop.now() - started_at) / SECOND
                return
            yield from sleep(self._loop.now() + _POLL_INTERVAL)
