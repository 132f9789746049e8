"""Soak tests: real dispatchers under random, overlapping faults, checked against the rules of service."""
