"""Runs the cells of a plan in several processes; what is finished stays, whatever happens to the rest."""

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
from ironbarrow.lab.experiment.store import Store

_TRIES = 2  # of a cell whose process died


@dataclass(slots=True)
class Outcome:
    """How a run ended. ``failed``: cell ids and why."""

    finished: int = 0
    kept: int = 0  # that were there already
    failed: dict[str, str] = field(default_factory=dict)
    stopped: str = ""  # why it was not taken to its end


class Runner:
    """A pool of cell processes, each for one variant at a time."""

    def __init__(self, plan: Plan, store: Store, jobs: int) -> None:
        self._plan, self._store, self._jobs = plan, store, jobs
        self._lock = threading.Lock()
        self._todo: deque[Cell] = deque()
        self._tries: dict[str, int] = {}
        self._processes: dict[int, subprocess.Popen[str]] = {}
        self._stop = False
        self.outcome = Outcome()
        self.on_cell: Callable[[Cell, str], None] = lambda cell, error: None

    @property
    def total(self) -> int:
        return len(self._plan.cells)

    def pids(self) -> list[int]:
        """The cell processes that run now."""
        with self._lock:
            return [process.pid for process in self._processes.values() if process.poll() is None]

    def run(self) -> Outcome:
        """Runs what is missing. A KeyboardInterrupt ends the cell processes and passes on."""
        self._store.remember(
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
            if self._store.has(cell.id):
                self.outcome.kept += 1
                self.on_cell(cell, "")
            elif cell.id not in seen:  # two variants may come to the same cell
                seen.add(cell.id)
                self._todo.append(cell)
        threads = [
            threading.Thread(target=self._work, args=(slot,), daemon=True)
            for slot in range(min(self._jobs, len(self._todo)))
        ]
        for thread in threads:
            thread.start()
        try:
            for thread in threads:
                while thread.is_alive():
                    thread.join(0.2)
        finally:
            self._stop = True
            with self._lock:
                for process in self._processes.values():
                    process.kill()
            for thread in threads:
                thread.join(5)
        return self.outcome

    def _work(self, slot: int) -> None:
        process: subprocess.Popen[str] | None = None
        variant = ""
        while True:
            with self._lock:
                if self._stop or not self._todo:
                    break
                cell = self._todo.popleft()
            if process is None or variant != cell.variant or process.poll() is not None:
                self._end(slot, process)
                process, variant = self._start(slot, cell.variant), cell.variant
            answer = self._ask(process, cell)
            if self._stop:
                break
            self._note(cell, answer)
        self._end(slot, process)

    def _note(self, cell: Cell, answer: dict[str, object] | None) -> None:
        with self._lock:
            if answer is None:
                self._tries[cell.id] = self._tries.get(cell.id, 0) + 1
                if self._tries[cell.id] < _TRIES:
                    self._todo.append(cell)
                    return
                error = f"its process died {_TRIES} times"
            else:
                error = str(answer["error"])
                if answer.get("disk"):
                    self._stop = True  # the next cell would find no room either
                    self.outcome.stopped = error
            if error:
                self.outcome.failed[cell.id] = error
            else:
                self.outcome.finished += 1
        self.on_cell(cell, error)

    def _start(self, slot: int, variant: str) -> subprocess.Popen[str]:
        package = self._plan.packages[variant]
        # live, the variant is the program that is started; simulated, it is what is imported
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
            start_new_session=True,  # an interrupt at the terminal comes to the runner alone
        )
        with self._lock:
            self._processes[slot] = process
        return process

    def _ask(self, process: subprocess.Popen[str], cell: Cell) -> dict[str, object] | None:
        """The process's answer, or None if it died."""
        assert process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(json.dumps(asdict(cell)) + "\n")
            process.stdin.flush()
            line = process.stdout.readline()
        except (OSError, ValueError):
            return None
        return dict(json.loads(line)) if line.endswith("\n") else None

    def _end(self, slot: int, process: subprocess.Popen[str] | None) -> None:
        if process is not None:
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
            with self._lock:
                if self._processes.get(slot) is process:
                    del self._processes[slot]


def default_folder(plan_path: Path) -> Path:
    """Where an experiment's cells go unless it is said."""
    return plan_path.parent / "results" / plan_path.stem
