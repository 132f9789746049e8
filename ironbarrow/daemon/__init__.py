"""The program as an object, for the command line and for whoever embeds it."""

from ironbarrow.daemon.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
