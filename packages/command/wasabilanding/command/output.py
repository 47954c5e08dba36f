"""Tables for people and JSON for programs."""

import collections.abc
import json

import rich.console
import rich.table
import typer


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
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    rich.console.Console().print(table)
