"""Commands ``wasabilanding profile``."""

import json
import pathlib
import typing

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output
from wasabilanding import model

app = typer.Typer(help="Write and read profiles.", no_args_is_help=True)


def _load(path: pathlib.Path) -> model.Profile:
    return model.decode(model.Profile, path.read_bytes())


@app.command("list")
def list_profiles(
    context: typer.Context, as_json: output.JsonOption = False
) -> None:
    """List the current profiles and the services that use them."""
    with api_client.administration_client(context) as client:
        configuration = client.profiles()
    if as_json:
        output.print_json(configuration)
        return
    chosen_by: dict[str, list[str]] = {}
    for service, choice in configuration["services"].items():
        chosen_by.setdefault(choice["profile"], []).append(service)
    rows = [
        (
            name,
            entry["revision"],
            entry["profile"]["kind"],
            ", ".join(chosen_by.get(name, [])),
        )
        for name, entry in configuration["profiles"].items()
    ]
    columns = ("profile", "revision", "kind", "chosen by")
    output.print_table(
        f"configuration revision {configuration['revision']}", columns, rows
    )


@app.command()
def show(context: typer.Context, name: str) -> None:
    """Show the current revision of a profile."""
    with api_client.administration_client(context) as client:
        profile_history = client.profile(name)
    output.print_json(profile_history["revisions"][-1])


@app.command()
def history(
    context: typer.Context, name: str, as_json: output.JsonOption = False
) -> None:
    """Show the stored revisions of a profile."""
    with api_client.administration_client(context) as client:
        profile_history = client.profile(name)
    if as_json:
        output.print_json(profile_history)
        return
    rows = [
        (entry["revision"], json.dumps(entry["profile"]))
        for entry in profile_history["revisions"]
    ]
    output.print_table(f"profile {name}", ("revision", "content"), rows)


@app.command()
def validate(path: pathlib.Path) -> None:
    """Validate a profile file without writing the profile."""
    profile = output.read_document(path, _load)
    typer.echo(f"profile {profile.name} is valid")


@app.command()
def put(
    context: typer.Context,
    path: pathlib.Path,
    replaces: typing.Annotated[
        int, typer.Option(help="Revision to replace; 0 if new.")
    ] = 0,
) -> None:
    """Write a profile from a file."""
    profile = output.read_document(path, _load)
    content = json.loads(path.read_bytes())
    with api_client.administration_client(context) as client:
        accepted = client.put_profile(profile.name, content, replaces)
    typer.echo(
        f"profile {profile.name} is accepted as of configuration revision "
        f"{accepted['revision']}"
    )


@app.command()
def rollback(
    context: typer.Context,
    name: str,
    to: typing.Annotated[int, typer.Option(help="Revision to restore.")],
    replaces: typing.Annotated[int, typer.Option(help="Revision to replace.")],
) -> None:
    """Restore an earlier revision of a profile as a new revision."""
    with api_client.administration_client(context) as client:
        accepted = client.roll_back(name, to, replaces)
    typer.echo(
        f"profile {name} is restored to the content of revision {to} as of "
        f"configuration revision {accepted['revision']}"
    )
