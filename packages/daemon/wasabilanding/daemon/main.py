"""Command ``wasabilandingd``."""

import pathlib
import typing

import trio
import typer

from wasabilanding.daemon import logs
from wasabilanding.daemon import node
from wasabilanding.daemon import settings as settings_module
from wasabilanding import model

EXIT_BAD_SETTINGS = 2

_app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def _load(path: pathlib.Path) -> settings_module.Settings:
    try:
        return settings_module.load_settings(path)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except model.InvalidDocument as error:
        for mistake in error.mistakes:
            typer.echo(f"{path}: {mistake}", err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)


@_app.command()
def run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option(help="JSON file with the settings.")
    ],
) -> None:
    """Run one node of wasabilanding."""
    checked = _load(settings)
    handler = logs.configure_logging(
        checked.node, checked.failure_domain, checked.log_level
    )
    trio.run(node.run_node, checked, handler.dropped)


def main() -> None:
    """Run the command."""
    _app()
