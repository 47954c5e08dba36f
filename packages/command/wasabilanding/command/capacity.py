"""Command ``wasabilanding capacity``: models that lacked replicas."""

import operator
import pathlib
import typing

import typer

from wasabilanding.command import explain
from wasabilanding.command import shortages

DEFAULT_AT_LEAST_S = 1.0


def capacity(
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of the nodes.")
    ],
    at_least: typing.Annotated[
        float,
        typer.Option(
            min=0.0, help="Seconds; shorter shortages are not listed."
        ),
    ] = DEFAULT_AT_LEAST_S,
) -> None:
    """Print which models lacked replicas, where, when and why, from logs."""
    report = shortages.find_shortages(explain.read_lines(files))
    if not report.observations:
        typer.echo("no line states the capacity of a model", err=True)
        raise typer.Exit(explain.EXIT_NOT_FOUND)
    for line in report.summary:
        typer.echo(line)
    found = (*report.shortages, *report.silences)
    for event in sorted(found, key=operator.attrgetter("began_at")):
        if event.lasted_s >= at_least:
            typer.echo(str(event))
    if not found:
        typer.echo("no model lacked replicas")
