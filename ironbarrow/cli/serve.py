"""``serve``: runs one dispatcher in the foreground. Imports are few and late, to save memory at the start."""

import os
import signal
import sys
from functools import partial
from types import ModuleType
from typing import TextIO, cast

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
    """Serves until SIGTERM, configured by the environment. Returns the exit status."""
    # A signal to stop or to reload during the start must neither be lost nor end the program, which would
    # reset the connections that the kernel has accepted for the listener.
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
    dispatcher.stop_on_signals()
    dispatcher.reload_on_signal(partial(load, os.environ, prefer_file=True))
    dispatcher.run()
    # Python removes its signal handlers before the process exits. A second signal to stop would then end it
    # with a status other than 0.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    return 0


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
