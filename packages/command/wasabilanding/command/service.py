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
        typer.Option(help="Revision of the replaced choice."),
    ] = None,
) -> None:
    """Choose the profile of a service."""
    with api_client.administration_client(context) as client:
        accepted = client.choose(service, name, replaces)
    typer.echo(
        f"service {service} uses profile {name} as of configuration "
        f"revision {accepted['revision']}"
    )


@app.command("list")
def list_services(
    context: typer.Context, as_json: output.JsonOption = False
) -> None:
    """List the services and their profiles."""
    with api_client.administration_client(context) as client:
        services = client.profiles()["services"]
    if as_json:
        output.print_json(services)
        return
    rows = [
        (name, choice["profile"], choice["revision"])
        for name, choice in sorted(services.items())
    ]
    output.print_table("services", ("service", "profile", "choice"), rows)


@app.command()
def explain(
    context: typer.Context, service: str, as_json: output.JsonOption = False
) -> None:
    """Explain the number of replicas of a service."""
    with api_client.administration_client(context) as client:
        explanations = client.explain(service)["explanations"]
    if as_json:
        output.print_json(explanations)
        return
    for explanation in explanations:
        _print_explanation(explanation)


def _print_explanation(explanation: dict) -> None:
    typer.echo(
        f"{explanation['failure_domain']}: {explanation['serving']} of "
        f"{explanation['wanted']} replicas of "
        f"{explanation['vms_per_replica']} VMs serve: {explanation['reason']}"
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
        for fabric in explanation["fabrics"]
    ]
    output.print_table(f"profile {explanation['profile']}", columns, rows)
