"""Ledgers: tables of keys that one member writes, others keep, and one that follows can have for itself."""

from ironbarrow.fleet.ledgers.machine import LedgerMachine

__all__ = ["LedgerMachine"]
