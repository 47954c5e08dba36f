"""Commands ``wasabilanding settings``."""

import json
import pathlib

import typer

from wasabilanding.command import output
from wasabilanding import daemon
from wasabilanding import model

app = typer.Typer(help="Validate settings of a node.", no_args_is_help=True)


@app.command()
def check(path: pathlib.Path) -> None:
    """Validate a settings file without starting the node."""
    settings = output.read_document(path, daemon.load_settings)
    typer.echo(f"settings of node {settings.node} are valid")


@app.command()
def schema() -> None:
    """Print the JSON Schema of the settings."""
    typer.echo(json.dumps(model.json_schema(daemon.Settings), indent=2))
