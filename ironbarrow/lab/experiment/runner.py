"""Runs the cells of a plan in several processes. Each finished cell is saved, even if the run fails later."""

import json
import os
import subprocess
import sys
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from ironbarrow.lab.experiment.spec import ROOT, Cell, Plan
from ironbarrow.lab.experiment.store import CellStore

_MAX_ATTEMPTS = 2  # a cell fails when this many of its processes have died


@dataclass(slots=True)
class Outcome:
    """The result of a run: numbers of cells, and the error of each failed cell by its id."""

    finished: int = 0
    kept: int = 0  # finished by an earlier run
    failed: dict[str, str] = field(default_factory=dict)
    stopped: str = ""  # why the run was aborted; empty if it was completed


class Runner:
    """Runs cells in a pool of processes, each of which serves one variant at a time.

    ``on_cell_done`` is called with each cell and its error, which is empty if the cell is finished.
    """

    def __init__(self, plan: Plan, store: CellStore, max_processes: int) -> None:
        self._plan, self._store, self._max_processes = plan, store, max_processes
        self._lock = threading.Lock()
        self._pending: deque[Cell] = deque()
        self._attempts: dict[str, int] = {}
        self._processes: dict[int, subprocess.Popen[str]] = {}
        self._stopping = False
        self.outcome = Outcome()
        self.on_cell_done: Callable[[Cell, str], None] = lambda cell, error: None

    @property
    def total(self) -> int:
        return len(self._plan.cells)

    def pids(self) -> list[int]:
        """Ids of the cell processes that are running."""
        with self._lock:
            return [process.pid for process in self._processes.values() if process.poll() is None]

    def run(self) -> Outcome:
        """Runs the unfinished cells. A KeyboardInterrupt kills the cell processes and is raised again."""
        self._store.save_plan(
            {
                "name": self._plan.experiment.name,
                "axes": self._plan.experiment.axes,
                "variants": [variant.name for variant in self._plan.experiment.variants],
                "cells": [
                    {"cell": c.id, "variant": c.variant, "axes": c.axes, "seed": c.seed}
                    for c in self._plan.cells
                ],
            }
        )
        seen: set[str] = set()
        for cell in self._plan.cells:
            if self._store.contains(cell.id):
                self.outcome.kept += 1
                self.on_cell_done(cell, "")
            elif cell.id not in seen:  # two variants may have the same inputs, and so the same cell
                seen.add(cell.id)
                self._pending.append(cell)
        threads = [
            threading.Thread(target=self._run_cells, args=(thread_index,), daemon=True)
            for thread_index in range(min(self._max_processes, len(self._pending)))
        ]
        for thread in threads:
            thread.start()
        try:
            for thread in threads:
                while thread.is_alive():
                    thread.join(0.2)
        finally:
            self._stopping = True
            with self._lock:
                for process in self._processes.values():
                    process.kill()
            for thread in threads:
                thread.join(5)
        return self.outcome

    def _run_cells(self, thread_index: int) -> None:
        process: subprocess.Popen[str] | None = None
        variant = ""
        while True:
            with self._lock:
                if self._stopping or not self._pending:
                    break
                cell = self._pending.popleft()
            if process is None or variant != cell.variant or process.poll() is not None:
                self._stop_process(thread_index, process)
                process, variant = self._start_process(thread_index, cell.variant), cell.variant
            answer = self._request(process, cell)
            if self._stopping:
                break
            self._record(cell, answer)
        self._stop_process(thread_index, process)

    def _record(self, cell: Cell, answer: dict[str, object] | None) -> None:
        with self._lock:
            if answer is None:
                self._attempts[cell.id] = self._attempts.get(cell.id, 0) + 1
                if self._attempts[cell.id] < _MAX_ATTEMPTS:
                    self._pending.append(cell)
                    return
                error = f"the cell process died {_MAX_ATTEMPTS} times"
            else:
                error = str(answer["error"])
                if answer.get("disk"):
                    self._stopping = True  # writing the next cell would fail, too
                    self.outcome.stopped = error
            if error:
                self.outcome.failed[cell.id] = error
            else:
                self.outcome.finished += 1
        self.on_cell_done(cell, error)

    def _start_process(self, thread_index: int, variant: str) -> subprocess.Popen[str]:
        package = self._plan.packages[variant]
        # a simulated cell imports heathway from the variant's folder; a live cell starts the program in it
        live = self._plan.experiment.mode == "live"
        path = [str(package)] if package != ROOT and not live else []
        environment = dict(
            os.environ, PYTHONPATH=os.pathsep.join([*path, str(ROOT)]), PYTHONDONTWRITEBYTECODE="1"
        )
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "ironbarrow.lab.experiment.cell_process",
                str(self._store.folder.resolve()),
                str(package),
            ],
            env=environment,
            cwd=ROOT if live else package,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            start_new_session=True,  # Ctrl-C must reach the runner only, which then kills its cell processes
        )
        with self._lock:
            self._processes[thread_index] = process
        return process

    def _request(self, process: subprocess.Popen[str], cell: Cell) -> dict[str, object] | None:
        """Runs a cell in a process and returns its answer, or None if the process died."""
        assert process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(json.dumps(asdict(cell)) + "\n")
            process.stdin.flush()
            line = process.stdout.readline()
        except (OSError, ValueError):
            return None
        return dict(json.loads(line)) if line.endswith("\n") else None

    def _stop_process(self, thread_index: int, process: subprocess.Popen[str] | None) -> None:
        if process is not None:
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
            with self._lock:
                if self._processes.get(thread_index) is process:
                    del self._processes[thread_index]


def default_folder(plan_path: Path) -> Path:
    """The folder of an experiment's cells if none is given: ``results/NAME`` beside its file."""
    return plan_path.parent / "results" / plan_path.stem
