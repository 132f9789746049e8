"""Experiments: sweeps of a world over axes, seeds and variants; storage, comparison and plots of cells."""
