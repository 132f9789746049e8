"""Replacing the process: jobs, their consumers' connections and stray call-backs pass to the next one."""
