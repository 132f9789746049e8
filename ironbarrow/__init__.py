"""ironbarrow: a dispatcher on real sockets that runs the decisions of heathway."""

__version__ = "0.2.0"
