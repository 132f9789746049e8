"""Experiments: a world swept over axes, seeds and variants, kept cell by cell, compared and drawn."""
