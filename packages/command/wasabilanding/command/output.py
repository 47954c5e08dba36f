"""Reading of files, tables for people and JSON for programs."""

import collections.abc
import json
import pathlib
import typing

import rich.console
import rich.table
import typer

from wasabilanding import model

EXIT_INVALID = 2

JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON for programs.")
]
T = typing.TypeVar("T")


def read_document(
    path: pathlib.Path, load: collections.abc.Callable[[pathlib.Path], T]
) -> T:
    """Read a checked document, or end the command with its mistakes.

    :param path: the file.
    :param load: reads and checks it.
    """
    try:
        return load(path)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except model.InvalidDocument as error:
        for mistake in error.mistakes:
            typer.echo(f"{path}: {mistake}", err=True)
    raise typer.Exit(EXIT_INVALID)


def print_json(value: object) -> None:
    """Print a value as JSON.

    :param value: plain dictionaries, lists and scalars.
    """
    typer.echo(json.dumps(value, indent=2))


def print_table(
    title: str,
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print a table.

    :param title: its title.
    :param columns: names of its columns.
    :param rows: its rows.
    """
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    rich.console.Console().print(table)
