"""Input files, and output as tables or JSON."""

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
    """Read and validate a file, or print its errors and exit.

    :param path: path of the file.
    :param load: reads and validates the file.
    :raises typer.Exit: if the file is unreadable or invalid.
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

    :param value: dictionaries, lists and scalars.
    """
    typer.echo(json.dumps(value, indent=2))


def print_table(
    title: str,
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print a table.

    :param title: title of the table.
    :param columns: column names.
    :param rows: cells of each row.
    """
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    rich.console.Console().print(table)
