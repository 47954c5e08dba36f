"""Command line of the gateway with the project's own wire format.

The entry point is in :mod:`wasabilanding.gatewayd`.
"""

import pathlib
import typing

import typer

from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import process
from wasabilanding import metadata

app = typer.Typer(add_completion=False)


def _open_store(
    address: str, count: metadata.Count, note_era: metadata.NoteEra
) -> metadata.ItemStore:
    return metadata.ItemStore(
        f"http://{address}", count=count, note_era=note_era
    )


@app.command()
def run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option(help="JSON file with the settings.")
    ],
) -> None:
    """Serve callers until SIGTERM."""
    raise typer.Exit(process.run_process(settings, _open_store, plain_wire))
