"""Commands ``wasabilanding service``."""

import typing

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output

app = typer.Typer(help="Choose profiles for services.", no_args_is_help=True)


@app.command()
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
    with api_client.administration_client(context) as client:
        accepted = client.choose(service, name, replaces)
    typer.echo(
        f"service {service} runs under profile {name} from configuration "
        f"revision {accepted['revision']}"
    )


@app.command("list")
def list_services(
    context: typer.Context, as_json: output.JsonOption = False
) -> None:
    """List the services and the profiles that they chose."""
    with api_client.administration_client(context) as client:
        found = client.profiles()["services"]
    if as_json:
        output.print_json(found)
        return
    rows = [
        (name, choice["profile"], choice["revision"])
        for name, choice in sorted(found.items())
    ]
    output.print_table("services", ("service", "profile", "choice"), rows)


@app.command()
def explain(
    context: typer.Context, service: str, as_json: output.JsonOption = False
) -> None:
    """Explain why a service has the replicas that it has."""
    with api_client.administration_client(context) as client:
        found = client.explain(service)["explanations"]
    if as_json:
        output.print_json(found)
        return
    for explanation in found:
        _print_explanation(explanation)


def _print_explanation(found: dict) -> None:
    typer.echo(
        f"{found['failure_domain']}: {found['serving']} of "
        f"{found['wanted']} replicas of {found['vms_per_replica']} VMs "
        f"serve: {found['reason']}"
    )
    columns = ("fabric domain", "free", "placed", "silent", "leaving", "fits")
    rows = [
        (
            fabric["fabric_domain"],
            fabric["free"],
            fabric["placed"],
            fabric["silent"],
            fabric["leaving"],
            "yes" if fabric["fits"] else "no",
        )
        for fabric in found["fabrics"]
    ]
    output.print_table(f"profile {found['profile']}", columns, rows)
