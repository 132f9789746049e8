"""Simulated mode: the real host and decisions on a simulated clock, many dispatchers in one process."""
