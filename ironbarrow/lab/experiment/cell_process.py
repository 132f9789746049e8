"""A process that runs cells: takes cells by lines of JSON on standard input, runs each, says how it went.

A process of its own for each variant: the decisions come from the folder that comes first on its
path, and no cell can leave anything behind for one of another variant.
"""

import json
import logging
import sys
from pathlib import Path

import structlog

from ironbarrow.lab.experiment.spec import Cell
from ironbarrow.lab.experiment.store import Store
from ironbarrow.lab.live.processes import Program
from ironbarrow.lab.live.run import LiveError, LiveRun
from ironbarrow.lab.model.spec import World, WorldError, convert
from ironbarrow.lab.sim.run import Simulation


def run_cell(cell: Cell, store: Store, package: Path) -> None:
    """Runs a cell and keeps its result. ``package``: in live mode, the folder of the program."""
    world = convert(cell.world, World, cell.id)
    if cell.mode == "live":
        result = LiveRun(world, cell.seed, store.folder / "live" / cell.id, Program.in_folder(package)).run()
    else:
        result = Simulation(world, cell.seed).run()
    store.keep(cell, result)


def main() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    store, package = Store(Path(sys.argv[1])), Path(sys.argv[2])
    for line in sys.stdin:
        raw = json.loads(line)
        cell = Cell(**raw)
        answer: dict[str, object] = {"cell": cell.id, "error": ""}
        try:
            run_cell(cell, store, package)
        except OSError as error:  # no room for it, or no right to write it
            answer.update(error=f"{error.filename or store.folder}: {error.strerror}", disk=True)
        except (LiveError, WorldError, ValueError, AttributeError, TypeError) as error:
            answer["error"] = f"{type(error).__name__}: {error}"
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
