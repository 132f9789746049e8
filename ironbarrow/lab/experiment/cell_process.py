"""A process that runs cells: reads a cell per line of JSON from standard input, answers with a line of JSON.

Each variant has processes of its own, because heathway is imported from the first folder of PYTHONPATH and
stays imported: a process shared by two variants would run the second one with the code of the first.
"""

import json
import logging
import sys
from pathlib import Path

import structlog

from ironbarrow.lab.experiment.spec import Cell
from ironbarrow.lab.experiment.store import CellStore
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.spec import World, WorldError, convert
from ironbarrow.lab.sim.run import Simulation


def run_cell(cell: Cell, store: CellStore, package: Path) -> None:
    """Runs a cell and saves its result. ``package``: the folder of the program that live mode starts."""
    world = convert(cell.world, World, cell.id)
    if cell.mode == "live":
        result = LiveRun(world, cell.seed, store.folder / "live" / cell.id, Program.in_folder(package)).run()
    else:
        result = Simulation(world, cell.seed).run()
    store.save(cell, result)


def main() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    store, package = CellStore(Path(sys.argv[1])), Path(sys.argv[2])
    for line in sys.stdin:
        raw = json.loads(line)
        cell = Cell(**raw)
        answer: dict[str, object] = {"cell": cell.id, "error": ""}
        try:
            run_cell(cell, store, package)
        except OSError as error:  # the disk is full or the folder is not writable
            answer.update(error=f"{error.filename or store.folder}: {error.strerror}", disk=True)
        except (LiveError, WorldError, ValueError, AttributeError, TypeError) as error:
            answer["error"] = f"{type(error).__name__}: {error}"
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
