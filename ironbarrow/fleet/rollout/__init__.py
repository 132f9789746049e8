"""Staged upgrades: plan, pause rules, one coordinator at a time, commands that may be repeated."""
