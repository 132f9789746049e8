"""The laboratory: a model of the fleet, in simulated time and on live sockets, with experiments."""
