"""Commands ``wasabilanding customer``."""

import typing

import typer

from wasabilanding.command import api_client
from wasabilanding.command import output

app = typer.Typer(
    help="Set weights and limits of customers.", no_args_is_help=True
)


@app.command("set")
def set_customer(
    context: typer.Context,
    name: str,
    weight: typing.Annotated[
        float,
        typer.Option(help="Share of capacity relative to other customers."),
    ] = 1.0,
    max_in_flight: typing.Annotated[
        int,
        typer.Option(help="Concurrent requests per entry VM; 0 for no limit."),
    ] = 0,
) -> None:
    """Set a customer's weight and limit."""
    content = {"weight": weight, "max_in_flight": max_in_flight}
    with api_client.administration_client(context) as client:
        accepted = client.set_customer(name, content)
    typer.echo(
        f"customer {name} has weight {weight} as of configuration revision "
        f"{accepted['revision']}"
    )


@app.command("list")
def list_customers(
    context: typer.Context, as_json: output.JsonOption = False
) -> None:
    """List the customers with an explicit weight or limit."""
    with api_client.administration_client(context) as client:
        customers = client.profiles()["customers"]
    if as_json:
        output.print_json(customers)
        return
    rows = [
        (name, customer["weight"], customer["max_in_flight"])
        for name, customer in sorted(customers.items())
    ]
    columns = ("customer", "weight", "max in flight")
    output.print_table("customers", columns, rows)
