"""The list of workers and the watch on it."""
