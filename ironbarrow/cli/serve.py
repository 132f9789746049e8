"""``serve``: one dispatcher in the foreground, with as little in memory as it can start with."""

import os
import signal
import sys
from functools import partial
from types import ModuleType
from typing import TextIO, cast

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class _Log:
    """Standard error, for the lines of the log. Danger: its reader may be gone, in the last instants above
    all, and that must neither end the program nor show in its exit status."""

    def write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        try:
            while data:
                data = data[os.write(2, data) :]
        except OSError:
            return

    def flush(self) -> None:
        return


def serve() -> int:
    """Serves as the environment says, until SIGTERM; the exit status."""
    # danger: an order to stop or to reload during the start must neither end the program, with connections
    # that the listener has taken in, nor be forgotten
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    structlog = _import_structlog()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, _Log())),
        cache_logger_on_first_use=True,
    )
    from ironbarrow.config import ConfigError, load
    from ironbarrow.daemon import Dispatcher

    try:
        config = load(os.environ)
    except ConfigError as error:
        return _failed(str(error))
    structlog.contextvars.bind_contextvars(name=config.name)
    try:
        dispatcher = Dispatcher(config)
    except ConfigError as error:
        return _failed(str(error))
    except OSError as error:
        return _failed(f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error}")
    dispatcher.stop_on_signals()
    dispatcher.reload_on_signal(partial(load, os.environ, prefer_file=True))
    dispatcher.run()
    # danger: Python takes its handlers away before it is done, and a second order to stop would end it with
    # another status than 0
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    return 0


def _import_structlog() -> ModuleType:
    """structlog without what JSON lines have no use for.

    Danger: it takes in rich for its coloured console wherever that is installed, 8 MB, and asyncio with ssl
    for methods that nobody awaits here, a sixth of the CPU time of a start, which hundreds may make at once.
    A module of that name which is there already stays; else its place is taken for as long as this lasts.
    """
    places: dict[str, ModuleType | None] = {"rich": None, "asyncio": ModuleType("asyncio")}
    taken = [name for name in places if name not in sys.modules]
    for name in taken:
        sys.modules[name] = places[name]  # type: ignore[assignment]
    try:
        import structlog
    finally:
        for name in taken:
            del sys.modules[name]
    return structlog


def _failed(text: str) -> int:
    print(f"ironbarrow: {text}", file=sys.stderr)
    return 2
