"""The program as an object, for the command line and for programs that embed it."""

from ironbarrow.daemon.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
