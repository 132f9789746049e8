"""Detection of starved tenants by comparing wait times across partitions, and moves of their waiting jobs.

A partition is one dispatcher with the jobs that it holds.
"""
