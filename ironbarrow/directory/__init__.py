"""The list of providers and the watch on it."""
