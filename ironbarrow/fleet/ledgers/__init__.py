"""Replicated ledgers: key-value tables with one writer, replicated to other members and recovered by another
member when the writer fails."""

from ironbarrow.fleet.ledgers.machine import LedgerMachine

__all__ = ["LedgerMachine"]
