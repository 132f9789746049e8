"""Replacing a process: jobs, client connections and late call-backs are passed to its successor."""
