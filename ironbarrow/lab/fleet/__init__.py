"""Fleets in the laboratory: many members on a simulated network, or as processes with faults between them."""
