"""``serve``: one dispatcher in the foreground, with as little in memory as it can start with."""

import os
import signal
import sys
from functools import partial


def serve() -> int:
    """Serves as the environment says, until SIGTERM; the exit status."""
    absent = "rich" not in sys.modules
    if absent:
        # danger: structlog takes in rich for its coloured console wherever that is installed, 8 MB that JSON
        # lines have no use for; a None here makes it do without
        sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog

    if absent:
        del sys.modules["rich"]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    from ironbarrow.config import ConfigError, load
    from ironbarrow.daemon import Dispatcher

    # danger: a reload asked for during the start must neither end the program nor be forgotten
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
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
    dispatcher.reload_on_signal(partial(load, os.environ, replaced=True))
    dispatcher.run()
    return 0


def _failed(text: str) -> int:
    print(f"ironbarrow: {text}", file=sys.stderr)
    return 2
