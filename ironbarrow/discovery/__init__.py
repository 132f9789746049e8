"""The list of workers and the watch for its changes."""
