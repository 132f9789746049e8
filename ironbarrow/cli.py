"""The command line."""

import os
import signal
import sys
from functools import partial
from typing import NoReturn

import structlog
import typer

from ironbarrow import __version__
from ironbarrow.config import Config, ConfigError, load
from ironbarrow.dispatcher import Dispatcher

app = typer.Typer(add_completion=False, no_args_is_help=True, help="A dispatcher of telematics jobs.")


@app.command()
def serve() -> None:
    """Serve as the environment says (BALANCER_NAME, _LISTEN, _DISCOVERY, _CONFIG), until SIGTERM."""
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
    # danger: a reload asked for during the start must neither end the program nor be forgotten
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    config = _config()
    structlog.contextvars.bind_contextvars(name=config.name)
    try:
        dispatcher = Dispatcher(config)
    except OSError as error:
        _quit(f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error}")
    dispatcher.stop_on_signals()
    dispatcher.reload_on_signal(partial(load, os.environ, replaced=True))
    dispatcher.run()


@app.command("check-config")
def check_config() -> None:
    """Check the configuration that serve would use, and say in short what it holds."""
    config = _config()
    classes = ", ".join(cls.name for cls in config.settings.classes)
    typer.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}; classes: {classes}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"ironbarrow {__version__}")


def _config() -> Config:
    try:
        return load(os.environ)
    except ConfigError as error:
        _quit(str(error))


def _quit(text: str) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(2)
