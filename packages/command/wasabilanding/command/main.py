"""Command ``wasabilanding``."""

import typing

import typer

from wasabilanding.command import capacity
from wasabilanding.command import customer
from wasabilanding.command import experiment
from wasabilanding.command import explain
from wasabilanding.command import profile
from wasabilanding.command import service
from wasabilanding.command import settings
from wasabilanding.command import status

DEFAULT_URL = "http://127.0.0.1:7002"

application = typer.Typer(
    add_completion=False,
    help="Command line for operators of wasabilanding.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
application.add_typer(profile.app, name="profile")
application.add_typer(service.app, name="service")
application.add_typer(customer.app, name="customer")
application.add_typer(settings.app, name="settings")
application.add_typer(experiment.app, name="experiment")
application.command("status")(status.status)
application.command("explain")(explain.explain)
application.command("capacity")(capacity.capacity)


@application.callback()
def set_api_url(
    context: typer.Context,
    url: typing.Annotated[
        str,
        typer.Option(
            envvar="WASABILANDING_URL",
            help="Administration API of any entry VM.",
        ),
    ] = DEFAULT_URL,
) -> None:
    """Store the URL of the administration API for the command."""
    context.obj = url


def main() -> None:
    """Run the command."""
    application()
