"""Command ``wasabilanding explain``: the way of one request, from logs.

Logs of several nodes hold one JSON object a line; whatever stands before it,
such as a collector's time stamp, is passed over. The clocks of VMs differ,
so lines of one node stay in their order and nodes are merged by the time
that each wrote.
"""

import collections.abc
import dataclasses
import json
import pathlib
import typing

import typer

SHOWN_ELSEWHERE = frozenset(
    ("created", "node", "message", "levelname", "name", "failure_domain")
)
NOT_FOUND = 1
UNREADABLE = 2


@dataclasses.dataclass(frozen=True)
class Line:
    """A line of a log that names a request.

    :param created: Unix time in seconds at which it was written.
    :param node: node that wrote it.
    :param message: what happened.
    :param fields: what decided it.
    """

    created: float
    node: str
    message: str
    fields: dict[str, typing.Any]

    def __str__(self) -> str:
        inputs = " ".join(
            f"{name}={value}" for name, value in self.fields.items()
        )
        return f"{self.created:.3f} {self.node} {self.message} {inputs}"


def parse_line(text: str) -> dict[str, typing.Any] | None:
    """Return the fields of a line, or None where it holds no JSON object.

    :param text: the line.

    Examples
    ========

    >>> from wasabilanding.command import explain
    >>> explain.parse_line('-3.1 vm-1 {"request": "r1"}')
    {'request': 'r1'}
    >>> explain.parse_line("started") is None
    True
    """
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(text[begin:])
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def request_lines(
    texts: collections.abc.Iterable[str], request: str
) -> list[Line]:
    """Return the lines of a request in order.

    :param texts: lines of logs.
    :param request: identity of the request.
    """
    found = []
    for text in texts:
        if request not in text:
            continue
        fields = parse_line(text)
        if fields is None or fields.get("request") != request:
            continue
        shown = {
            name: value
            for name, value in fields.items()
            if name not in SHOWN_ELSEWHERE and value not in ("", None, [])
        }
        found.append(
            Line(
                float(fields.get("created", 0.0)),
                str(fields.get("node", "?")),
                str(fields.get("message", "")),
                shown,
            )
        )
    return sorted(found, key=lambda line: line.created)


def explain(
    request: typing.Annotated[
        str, typer.Argument(help="Identity of the request.")
    ],
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of the nodes.")
    ],
) -> None:
    """Print the way of one request through the nodes, from their logs."""
    texts: list[str] = []
    for path in files:
        try:
            texts += path.read_text(errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(UNREADABLE) from None
    lines = request_lines(texts, request)
    for line in lines:
        typer.echo(str(line))
    if not lines:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(NOT_FOUND)
