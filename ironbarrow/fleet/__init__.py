"""Cooperation of several dispatchers: membership, replicated ledgers, take-over, rollouts, starvation.

Unused unless a fleet file is configured.
"""
