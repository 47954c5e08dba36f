"""Commands ``wasabilanding customer``."""

import typing

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output

app = typer.Typer(
    help="Set how customers share capacity.", no_args_is_help=True
)


@app.command("set")
def set_customer(
    context: typer.Context,
    name: str,
    weight: typing.Annotated[
        float, typer.Option(help="Share relative to other customers.")
    ] = 1.0,
    max_in_flight: typing.Annotated[
        int, typer.Option(help="Requests per entry VM; 0 for no limit.")
    ] = 0,
) -> None:
    """Set a customer's share and limit."""
    content = {"weight": weight, "max_in_flight": max_in_flight}
    with api_client.administration_client(context) as client:
        accepted = client.set_customer(name, content)
    typer.echo(
        f"customer {name} has weight {weight} from configuration revision "
        f"{accepted['revision']}"
    )


@app.command("list")
def list_customers(
    context: typer.Context, as_json: output.JsonOption = False
) -> None:
    """List the customers that have a share of their own."""
    with api_client.administration_client(context) as client:
        found = client.profiles()["customers"]
    if as_json:
        output.print_json(found)
        return
    rows = [
        (name, customer["weight"], customer["max_in_flight"])
        for name, customer in sorted(found.items())
    ]
    columns = ("customer", "weight", "max in flight")
    output.print_table("customers", columns, rows)
