"""Access to the administration API from a command."""

import collections.abc
import contextlib

import typer

from wasabilanding import operators

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
EXIT_CODE_BY_ERROR_KIND = {
    "conflict": EXIT_CONFLICT,
    "unavailable": EXIT_UNAVAILABLE,
    "unreachable": EXIT_UNAVAILABLE,
    "unknown": EXIT_UNKNOWN,
}


@contextlib.contextmanager
def administration_client(
    context: typer.Context,
) -> collections.abc.Iterator[operators.AdministrationClient]:
    """Open an API client and convert its errors to exit codes.

    :param context: context of the command, which holds the API's URL.
    """
    try:
        with operators.AdministrationClient(context.obj) as client:
            yield client
    except operators.AdministrationError as error:
        typer.echo(f"{error.kind}: {error}", err=True)
        code = EXIT_CODE_BY_ERROR_KIND.get(error.kind, EXIT_REFUSED)
        raise typer.Exit(code) from error
