"""Costs of each part of the program by fleet size: counts, fitted slopes, and a comparison with the target's
budget."""
