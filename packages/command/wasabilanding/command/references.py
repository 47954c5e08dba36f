"""Reference pages generated from the code.

Explanation
===========

The pages cover settings, profiles and commands. ``bin/generate-docs`` writes
them, and a test checks that the committed pages match the code.
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

REFERENCE_FOLDER = "docs/reference"
PARAMETER_FIELD = re.compile(r":param (\w+): (.*?)(?=\n\s*:|\Z)", re.DOTALL)

Schema = dict[str, typing.Any]


def _parameter_descriptions(kind: type) -> dict[str, str]:
    matches = PARAMETER_FIELD.findall(kind.__doc__ or "")
    return {name: " ".join(text.split()) for name, text in matches}


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


def _constraints(schema: Schema) -> str:
    constrained_schema = schema.get("items", schema)
    constraints = []
    for key, label in (
        ("minimum", "at least"),
        ("exclusiveMinimum", "above"),
        ("maximum", "at most"),
        ("pattern", "matches"),
    ):
        if key in constrained_schema:
            constraints.append(f"{label} `{constrained_schema[key]}`")
    return ", ".join(constraints).replace("|", "\\|")


def _field_table(kind: type) -> str:
    schema = model.json_schema(kind)
    required = schema.get("required", [])
    descriptions = _parameter_descriptions(kind)
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
            _constraints(field),
            default,
            descriptions.get(name, ""),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _section(title: str, kind: type) -> str:
    return f"## {title}\n\n{_field_table(kind)}\n"


def settings_page() -> str:
    """Return the reference page of a node's settings."""
    parts = [
        "# Settings of a node\n",
        "`wasabilandingd --settings FILE` reads one JSON object. "
        "`wasabilanding settings check FILE` checks it without starting; "
        "the JSON Schema is `settings.schema.json` beside this page. An "
        "invalid setting ends the process with exit code 2; the message "
        "names its path, its value and the allowed values.\n",
        _section("Settings", daemon.Settings),
        _section("Listener", daemon.Listener),
    ]
    return "\n".join(parts)


def profiles_page() -> str:
    """Return the reference page of profiles and customers."""
    parts = [
        "# Profiles and customers\n",
        "`wasabilanding profile validate FILE` checks a profile; the JSON "
        "Schema is `profile.schema.json` beside this page.\n",
        _section("Profile of kind `replica`", model.ReplicaProfile),
        _section("Profile of kind `plain`", model.PlainProfile),
        _section("Customer", configuration.Customer),
    ]
    return "\n".join(parts)


def _walk_commands(
    command: typer.core.TyperCommand, path: str
) -> collections.abc.Iterator[tuple[str, typer.core.TyperCommand]]:
    subcommands = getattr(command, "commands", None)
    if subcommands is None:
        yield path, command
        return
    for name, subcommand in sorted(subcommands.items()):
        yield from _walk_commands(subcommand, f"{path} {name}")


def _usage(path: str, command: typer.core.TyperCommand) -> str:
    words = [path]
    for parameter in command.params:
        if parameter.param_type_name == "argument":
            words.append(parameter.metavar or parameter.name.upper())
        else:
            words.append(f"[{parameter.opts[-1]}]")
    return " ".join(words)


def commands_page() -> str:
    """Return the reference page of the command line."""
    root = typer.main.get_command(main.application)
    lines = [
        "# Commands of `wasabilanding`",
        "",
        "Each command takes `--url`, or `WASABILANDING_URL`: the "
        "administration API of any entry VM. Exit codes: 0 success, "
        "1 refused, 2 invalid input, 3 conflict with another operator's "
        "change, 4 nothing was changed because the store or the entry VM was "
        "unreachable, 5 unknown whether the change took effect.",
        "",
        "| command | what it does |",
        "| --- | --- |",
    ]
    for path, command in _walk_commands(root, "wasabilanding"):
        help_text = (command.help or "").split("\n")[0]
        lines.append(f"| `{_usage(path, command)}` | {help_text} |")
    return "\n".join(lines) + "\n"


def _schema_text(kind: typing.Any) -> str:
    return json.dumps(model.json_schema(kind), indent=2) + "\n"


@dataclasses.dataclass(frozen=True)
class Page:
    """A generated page.

    :param path: path relative to the root of the repository.
    :param text: content of the page.
    """

    path: str
    text: str


def pages() -> tuple[Page, ...]:
    """Return all generated reference pages."""
    return (
        Page(f"{REFERENCE_FOLDER}/settings.md", settings_page()),
        Page(f"{REFERENCE_FOLDER}/profiles.md", profiles_page()),
        Page(f"{REFERENCE_FOLDER}/commands.md", commands_page()),
        Page(
            f"{REFERENCE_FOLDER}/settings.schema.json",
            _schema_text(daemon.Settings),
        ),
        Page(
            f"{REFERENCE_FOLDER}/profile.schema.json",
            _schema_text(model.Profile),
        ),
    )
