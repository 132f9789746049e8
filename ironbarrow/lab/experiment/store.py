"""Storage of finished cells. Saving a cell is atomic: its JSON file is renamed into place last."""

import io
import json
import os
from dataclasses import asdict
from pathlib import Path
from typing import Any

import polars

from ironbarrow.lab.experiment.spec import Cell
from ironbarrow.lab.result import Result


class CellStore:
    """A folder of cells: ``ID.parquet`` with one row per job, ``ID.json`` with metrics and faults."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cells = folder / "cells"

    def contains(self, cell_id: str) -> bool:
        return (self.cells / f"{cell_id}.json").exists()

    def save(self, cell: Cell, result: Result) -> None:
        """Saves a finished cell. After an OSError, ``contains`` does not find the cell."""
        self.cells.mkdir(parents=True, exist_ok=True)
        rows = polars.DataFrame({name: list(column) for name, column in result.rows.items()}, strict=False)
        temporary = self.cells / f".{cell.id}.{os.getpid()}"
        buffer = io.BytesIO()
        try:
            # Python writes the file, not polars: its OSError tells a full disk from other errors
            rows.write_parquet(buffer)
            temporary.write_bytes(buffer.getvalue())
            temporary.replace(self.cells / f"{cell.id}.parquet")
            temporary.write_text(json.dumps(_cell_record(cell, result)))
            temporary.replace(self.cells / f"{cell.id}.json")
        finally:
            temporary.unlink(missing_ok=True)

    def load_cell(self, cell_id: str) -> dict[str, Any]:
        """The contents of a finished cell's JSON file."""
        return dict(json.loads((self.cells / f"{cell_id}.json").read_text()))

    def load_rows(self, cell_id: str) -> polars.DataFrame:
        """The jobs of a finished cell, one per row."""
        return polars.read_parquet(self.cells / f"{cell_id}.parquet")

    def save_plan(self, plan: dict[str, Any]) -> None:
        """Saves the plan of the latest run in this folder: its name, axes, variants and cells."""
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.folder / ".plan"
        temporary.write_text(json.dumps(plan))
        temporary.replace(self.folder / "plan.json")

    def load_plan(self) -> dict[str, Any]:
        return dict(json.loads((self.folder / "plan.json").read_text()))


def _cell_record(cell: Cell, result: Result) -> dict[str, Any]:
    return {
        "cell": cell.id,
        "variant": cell.variant,
        "axes": cell.axes,
        "seed": cell.seed,
        "mode": cell.mode,
        "world": cell.world,
        "summary": result.summary(),
        "breaches": dict(result.verdicts.breaches),
        "examples": result.verdicts.examples,
        "looked_at": dict(result.verdicts.looked_at),
        "faults": [asdict(fault) for fault in result.faults],
        "samples": asdict(result.samples),
        "digest": result.digest,
        "events": result.events,
        "wall_s": result.wall_s,
        "span_s": result.span_s,
        "notes": result.notes,
    }
