"""The HTTP interface for operators: readiness, metrics, bans of workers."""
