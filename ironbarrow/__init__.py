"""ironbarrow: a dispatcher on real sockets round the decisions of heathway."""

__version__ = "0.2.0"
