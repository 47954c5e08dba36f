"""Command ``wasabilanding explain``: traces one request through the logs.

Logs of several nodes have one JSON object per line; any prefix, such as a
log collector's timestamp, is skipped. Lines are sorted by the timestamp that
each node wrote. As the clocks of VMs differ, the order of lines from
different nodes is approximate.
"""

import collections.abc
import dataclasses
import json
import pathlib
import typing

import typer

OMITTED_FIELDS = frozenset(
    ("created", "node", "message", "levelname", "name", "failure_domain")
)
EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 2


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A log line that belongs to a request.

    :param created: Unix time in seconds at which it was written.
    :param node: node that wrote it.
    :param message: the log message.
    :param fields: the other fields of the line.
    """

    created: float
    node: str
    message: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        field_text = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        return f"{self.created:.3f} {self.node} {self.message} {field_text}"


def parse_line(text: str) -> dict[str, typing.Any] | None:
    """Return the fields of a line, or None if it has no JSON object.

    :param text: the line.

    Examples
    ========

    >>> from wasabilanding.command import explain
    >>> explain.parse_line('-3.1 vm-1 {"request": "r1"}')
    {'request': 'r1'}
    >>> explain.parse_line("started") is None
    True
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def request_lines(
    texts: collections.abc.Iterable[str], request: str
) -> list[LogLine]:
    """Return the log lines of a request, sorted by time.

    :param texts: lines of all logs.
    :param request: ID of the request.
    """
    matching = []
    for text in texts:
        if request not in text:
            continue
        fields = parse_line(text)
        if fields is None or fields.get("request") != request:
            continue
        fields_shown = {
            name: value
            for name, value in fields.items()
            if name not in OMITTED_FIELDS and value not in ("", None, [])
        }
        matching.append(
            LogLine(
                float(fields.get("created", 0.0)),
                str(fields.get("node", "?")),
                str(fields.get("message", "")),
                fields_shown,
            )
        )
    return sorted(matching, key=lambda line: line.created)


def read_lines(files: collections.abc.Iterable[pathlib.Path]) -> list[str]:
    """Return the lines of all files; end the command if one is unreadable.

    :param files: log files of the nodes.
    """
    log_lines: list[str] = []
    for path in files:
        try:
            log_lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_UNREADABLE) from None
    return log_lines


def explain(
    request: typing.Annotated[str, typer.Argument(help="ID of the request.")],
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of the nodes.")
    ],
) -> None:
    """Print the log lines of one request from the logs of all nodes."""
    matching_lines = request_lines(read_lines(files), request)
    for line in matching_lines:
        typer.echo(str(line))
    if not matching_lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)
