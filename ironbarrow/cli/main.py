"""The command line: its root and the commands without a group. Each group has a module of its own."""

import os
from typing import NoReturn

import typer

from ironbarrow import __version__
from ironbarrow.cli import config as config_commands
from ironbarrow.cli import lab
from ironbarrow.cli import serve as serve_command
from ironbarrow.config import Config, ConfigError, load

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A dispatcher of telematics jobs.",
)
app.add_typer(config_commands.app, name="config")
app.add_typer(lab.app, name="lab")


@app.command()
def serve() -> None:
    """Serve until SIGTERM, configured by BALANCER_CONFIG, _NAME, _LISTEN and _DISCOVERY."""
    raise typer.Exit(serve_command.serve())


@app.command("check-config")
def check_config() -> None:
    """Check the configuration that serve would use, and print a summary."""
    config = _load_config()
    classes = ", ".join(cls.name for cls in config.settings.classes)
    typer.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}; classes: {classes}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"ironbarrow {__version__}")


def _load_config() -> Config:
    try:
        return load(os.environ)
    except ConfigError as error:
        _exit_with_error(str(error))


def _exit_with_error(text: str) -> NoReturn:
    typer.echo(f"ironbarrow: {text}", err=True)
    raise typer.Exit(2)
