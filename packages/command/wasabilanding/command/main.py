"""Command ``wasabilanding``."""

import json
import pathlib
import typing

import typer

from wasabilanding.command import output
from wasabilanding.command import profile
from wasabilanding.command import session
from wasabilanding import daemon
from wasabilanding import model

DEFAULT_URL = "http://127.0.0.1:7002"
EXIT_INVALID = 2

_app = typer.Typer(
    add_completion=False,
    help="Operators' command line of wasabilanding.",
    no_args_is_help=True,
)
_settings_app = typer.Typer(help="Check settings of a node.")
_service_app = typer.Typer(help="Choose profiles for services.")
_app.add_typer(profile.app, name="profile")
_app.add_typer(_settings_app, name="settings")
_app.add_typer(_service_app, name="service")


@_app.callback()
def connect(
    context: typer.Context,
    url: typing.Annotated[
        str,
        typer.Option(
            envvar="WASABILANDING_URL",
            help="Administration API of any entry VM.",
        ),
    ] = DEFAULT_URL,
) -> None:
    """Note which node the command talks to."""
    context.obj = url


@_settings_app.command("check")
def check_settings(path: pathlib.Path) -> None:
    """Check a settings file without starting the node."""
    try:
        settings = daemon.load_settings(path)
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_INVALID) from error
    except model.InvalidDocument as error:
        for mistake in error.mistakes:
            typer.echo(f"{path}: {mistake}", err=True)
        raise typer.Exit(EXIT_INVALID) from error
    typer.echo(f"settings of node {settings.node} are valid")


@_settings_app.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of the settings."""
    typer.echo(json.dumps(model.json_schema(daemon.Settings), indent=2))


@_service_app.command("choose")
def choose(
    context: typer.Context,
    service: str,
    name: typing.Annotated[str, typer.Argument(metavar="PROFILE")],
    replaces: typing.Annotated[
        int | None,
        typer.Option(help="Revision of the choice that it replaces."),
    ] = None,
) -> None:
    """Choose the profile that a service runs under."""
    with session.administration(context) as client:
        accepted = client.choose(service, name, replaces)
    typer.echo(
        f"service {service} runs under profile {name} from configuration "
        f"revision {accepted['revision']}"
    )


@_app.command()
def status(context: typer.Context, as_json: profile.AsJson = False) -> None:
    """Show failure domains, replicas and VMs."""
    with session.administration(context) as client:
        found = client.status()
    if as_json:
        output.print_json(found)
        return
    _print_domains(found)
    _print_replicas(found)


def _print_domains(found: dict) -> None:
    columns = (
        "failure domain",
        "wanted",
        "serving",
        "accelerators",
        "stranded",
    )
    rows = [
        (
            name,
            domain["wanted"],
            domain["serving"],
            domain["accelerators"],
            domain["stranded"],
        )
        for name, domain in found["failure_domains"].items()
    ]
    output.print_table(
        f"configuration revision {found['configuration_revision']}",
        columns,
        rows,
    )


def _print_replicas(found: dict) -> None:
    columns = ("replica", "service", "profile", "state", "serving", "VMs")
    rows = [
        (
            replica["replica_id"],
            replica["service"],
            f"{replica['profile']} r{replica['profile_revision']}",
            replica["state"],
            "yes" if replica["serving"] else "no",
            " ".join(replica["members"]),
        )
        for domain in found["failure_domains"].values()
        for replica in domain["replicas"]
    ]
    output.print_table("replicas", columns, rows)


def main() -> None:
    """Run the command."""
    _app()
