"""Replacing the process: jobs, their clients' connections and stray call-backs pass to the next one."""
