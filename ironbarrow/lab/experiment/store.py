"""Finished cells on disk. A cell is there whole or not at all: its JSON file is put in place last."""

import io
import json
import os
from dataclasses import asdict
from pathlib import Path
from typing import Any

import polars

from ironbarrow.lab.experiment.spec import Cell
from ironbarrow.lab.result import Result


class Store:
    """A folder of cells: ``ID.parquet`` with one row a job and ``ID.json`` with figures and faults."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cells = folder / "cells"

    def has(self, cell_id: str) -> bool:
        return (self.cells / f"{cell_id}.json").exists()

    def keep(self, cell: Cell, result: Result) -> None:
        """Writes a finished cell; an OSError leaves nothing that ``has`` would find."""
        self.cells.mkdir(parents=True, exist_ok=True)
        rows = polars.DataFrame({name: list(column) for name, column in result.rows.items()}, strict=False)
        fresh = self.cells / f".{cell.id}.{os.getpid()}"
        buffer = io.BytesIO()
        try:
            # through Python's own files, whose errors tell a full disk from anything else
            rows.write_parquet(buffer)
            fresh.write_bytes(buffer.getvalue())
            fresh.replace(self.cells / f"{cell.id}.parquet")
            fresh.write_text(json.dumps(_described(cell, result)))
            fresh.replace(self.cells / f"{cell.id}.json")
        finally:
            fresh.unlink(missing_ok=True)

    def described(self, cell_id: str) -> dict[str, Any]:
        """A finished cell's figures."""
        return dict(json.loads((self.cells / f"{cell_id}.json").read_text()))

    def rows(self, cell_id: str) -> polars.DataFrame:
        """A finished cell's jobs."""
        return polars.read_parquet(self.cells / f"{cell_id}.parquet")

    def remember(self, plan: dict[str, Any]) -> None:
        """Which cells the newest run of this folder is made of."""
        self.folder.mkdir(parents=True, exist_ok=True)
        fresh = self.folder / ".plan"
        fresh.write_text(json.dumps(plan))
        fresh.replace(self.folder / "plan.json")

    def plan(self) -> dict[str, Any]:
        return dict(json.loads((self.folder / "plan.json").read_text()))


def _described(cell: Cell, result: Result) -> dict[str, Any]:
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
