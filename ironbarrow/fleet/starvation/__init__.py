"""Starvation of a tenant, seen across partitions: tables of waits, verdicts, and what is done about one."""
