"""Staged upgrades (rollouts): plan, pause rules, one coordinator at a time, idempotent commands."""
