"""Reference pages made from the code: settings, profiles and commands.

Explanation
===========

``bin/generate-docs`` writes the pages, and a test compares them with the
code, so that they cannot go stale.
"""

import collections.abc
import dataclasses
import json
import re
import typing

import typer.core
import typer.main

from wasabilanding.command import main
from wasabilanding import configuration
from wasabilanding import daemon
from wasabilanding import model

FOLDER = "docs/reference"
PARAMETER = re.compile(r":param (\w+): (.*?)(?=\n\s*:|\Z)", re.DOTALL)

Schema = dict[str, typing.Any]


def _descriptions(kind: type) -> dict[str, str]:
    found = PARAMETER.findall(kind.__doc__ or "")
    return {name: " ".join(text.split()) for name, text in found}


def _type_name(schema: Schema) -> str:
    if "$ref" in schema:
        return schema["$ref"].rpartition("/")[2]
    if "const" in schema:
        return json.dumps(schema["const"])
    if "enum" in schema:
        return ", ".join(json.dumps(value) for value in schema["enum"])
    if schema.get("type") == "array":
        return f"list of {_type_name(schema['items'])}"
    if schema.get("type") == "object":
        values = schema.get("additionalProperties", {})
        return f"map to {_type_name(values)}"
    return schema.get("type", "any")


def _allowed(schema: Schema) -> str:
    inner = schema.get("items", schema)
    words = []
    for key, word in (
        ("minimum", "at least"),
        ("exclusiveMinimum", "above"),
        ("maximum", "at most"),
        ("pattern", "matches"),
    ):
        if key in inner:
            words.append(f"{word} `{inner[key]}`")
    return ", ".join(words).replace("|", "\\|")


def _table(kind: type) -> str:
    schema = model.json_schema(kind)
    required = schema.get("required", [])
    descriptions = _descriptions(kind)
    lines = [
        "| key | type | allowed | default | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, field in schema["properties"].items():
        default = "required"
        if name not in required:
            default = f"`{json.dumps(field.get('default'))}`"
        cells = (
            f"`{name}`",
            _type_name(field),
            _allowed(field),
            default,
            descriptions.get(name, ""),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _section(title: str, kind: type) -> str:
    return f"## {title}\n\n{_table(kind)}\n"


def settings_page() -> str:
    """Return the reference of a node's settings."""
    parts = [
        "# Settings of a node\n",
        "`wasabilandingd --settings FILE` reads one JSON object. "
        "`wasabilanding settings check FILE` checks it without starting; "
        "the JSON Schema is `settings.schema.json` beside this page. A "
        "mistake ends the process with exit code 2 and is named with its "
        "path, its value and what is allowed.\n",
        _section("Settings", daemon.Settings),
        _section("Listener", daemon.Listener),
    ]
    return "\n".join(parts)


def profiles_page() -> str:
    """Return the reference of profiles and customers."""
    parts = [
        "# Profiles and customers\n",
        "`wasabilanding profile validate FILE` checks a profile; the JSON "
        "Schema is `profile.schema.json` beside this page.\n",
        _section("Profile of kind `replica`", model.ReplicaProfile),
        _section("Profile of kind `plain`", model.PlainProfile),
        _section("Customer", configuration.Customer),
    ]
    return "\n".join(parts)


def _commands(
    command: typer.core.TyperCommand, path: str
) -> collections.abc.Iterator[tuple[str, typer.core.TyperCommand]]:
    inner = getattr(command, "commands", None)
    if inner is None:
        yield path, command
        return
    for name, found in sorted(inner.items()):
        yield from _commands(found, f"{path} {name}")


def _usage(path: str, command: typer.core.TyperCommand) -> str:
    words = [path]
    for parameter in command.params:
        if parameter.param_type_name == "argument":
            words.append(parameter.metavar or parameter.name.upper())
        else:
            words.append(f"[{parameter.opts[-1]}]")
    return " ".join(words)


def commands_page() -> str:
    """Return the reference of the command line."""
    root = typer.main.get_command(main.application)
    lines = [
        "# Commands of `wasabilanding`",
        "",
        "Each command takes `--url`, or `WASABILANDING_URL`: the "
        "administration API of any entry VM. Exit codes: 0 done, 1 refused, "
        "2 invalid input, 3 another operator's change came first, 4 nothing "
        "was changed because the store or the entry VM was out of reach, "
        "5 it can't be told whether the change took effect.",
        "",
        "| command | what it does |",
        "| --- | --- |",
    ]
    for path, command in _commands(root, "wasabilanding"):
        help_text = (command.help or "").split("\n")[0]
        lines.append(f"| `{_usage(path, command)}` | {help_text} |")
    return "\n".join(lines) + "\n"


def _schema_text(kind: typing.Any) -> str:
    return json.dumps(model.json_schema(kind), indent=2) + "\n"


@dataclasses.dataclass(frozen=True)
class Page:
    """A generated page.

    :param path: path below the root of the repository.
    :param text: its text.
    """

    path: str
    text: str


def pages() -> tuple[Page, ...]:
    """Return all generated reference pages."""
    return (
        Page(f"{FOLDER}/settings.md", settings_page()),
        Page(f"{FOLDER}/profiles.md", profiles_page()),
        Page(f"{FOLDER}/commands.md", commands_page()),
        Page(f"{FOLDER}/settings.schema.json", _schema_text(daemon.Settings)),
        Page(f"{FOLDER}/profile.schema.json", _schema_text(model.Profile)),
    )
