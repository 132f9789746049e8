"""Live scale runs: a few real processes beside many hollow dispatchers and workers, on loopback sockets."""
