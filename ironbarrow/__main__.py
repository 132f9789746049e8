"""Runs the command line: ``python -m ironbarrow``."""

from ironbarrow.cli import app

app(prog_name="ironbarrow")
