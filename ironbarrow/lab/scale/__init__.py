"""Scale runs: a few real dispatcher processes with many hollow dispatchers and workers, on loopback
sockets."""
