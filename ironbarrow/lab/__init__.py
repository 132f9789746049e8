"""The laboratory: a model of clients and workers, runs in simulated time or over sockets, experiments."""
