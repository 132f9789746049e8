"""``serve``: runs one dispatcher in the foreground. Imports are few and late, to save memory at the start."""

import os
import signal
import sys
from contextlib import suppress
from functools import partial
from types import ModuleType
from typing import NoReturn, TextIO, cast

from ironbarrow.runtime.early_signals import EarlySignals

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class _StandardError:
    """Standard error as a file for log lines.

    The process that reads it may have ended, most likely during the shutdown. A failed write must neither
    end the program nor change its exit status.
    """

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
    """Serves until SIGTERM, configured by the environment, and then ends the process with status 0. Returns
    the exit status if it can't start."""
    # A signal to stop or to reload during the start must neither be lost nor end the program, which would
    # reset the connections that the kernel has accepted for the listener.
    early_signals = EarlySignals(_SIGNALS)
    structlog = _import_structlog()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, _StandardError())),
        cache_logger_on_first_use=True,
    )
    from ironbarrow.config import ConfigError, load
    from ironbarrow.daemon import Dispatcher

    try:
        config = load(os.environ)
    except ConfigError as error:
        return _report_failure(str(error))
    structlog.contextvars.bind_contextvars(name=config.name)
    try:
        dispatcher = Dispatcher(config)
    except ConfigError as error:
        return _report_failure(str(error))
    except OSError as error:
        return _report_failure(f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error}")
    dispatcher.stop_on_signals(early_signals)
    dispatcher.reload_on_signal(partial(load, os.environ, prefer_file=True), early_signals)
    dispatcher.run()
    return _end_process()


def _end_process() -> NoReturn:
    """Ends the process with status 0, without the clean-up of the interpreter.

    SIGKILL may come soon after the last answer, and that clean-up takes long on a busy machine. During it a
    second signal would also end the process with another status, as its handlers are removed by then."""
    for stream in (sys.stdout, sys.stderr):
        with suppress(OSError, ValueError):
            stream.flush()
    os._exit(0)


def _import_structlog() -> ModuleType:
    """Imports structlog without rich and asyncio, which JSON log lines do not need.

    structlog imports rich, if it is installed, for its coloured console (8 MB), and asyncio with ssl
    for its async methods, which are not used here (a sixth of the CPU time of a start; hundreds of processes
    may start at once). While structlog is imported, stubs stand in for them, unless they are loaded already.
    """
    stubs: dict[str, ModuleType | None] = {"rich": None, "asyncio": ModuleType("asyncio")}
    stubbed = [name for name in stubs if name not in sys.modules]
    for name in stubbed:
        sys.modules[name] = stubs[name]  # type: ignore[assignment]
    try:
        import structlog
    finally:
        for name in stubbed:
            del sys.modules[name]
    return structlog


def _report_failure(text: str) -> int:
    print(f"ironbarrow: {text}", file=sys.stderr)
    return 2
