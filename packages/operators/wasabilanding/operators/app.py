"""HTTP application that serves the administration API."""

import collections.abc
import functools

import quart_trio
import werkzeug.exceptions

from wasabilanding import configuration
from wasabilanding import listening
from wasabilanding import metadata
from wasabilanding.operators import change_routes
from wasabilanding.operators import read_routes
from wasabilanding.operators import responses
from wasabilanding.operators import status_source

MAX_BODY_BYTES = 1_000_000
# Seconds within which a request must arrive.
MAX_REQUEST_S = 30.0


def operators_app(
    source: status_source.StatusSource,
    store: metadata.PlatformClient,
    apply_configuration: collections.abc.Callable[
        [configuration.Configuration], object
    ],
) -> quart_trio.QuartTrio:
    """Return the HTTP application for operators.

    :param source: this node's view of the system.
    :param store: client of the platform's metadata service.
    :param apply_configuration: applies an accepted configuration on this node.
    """
    app = quart_trio.QuartTrio("operators")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    commit = functools.partial(
        change_routes.commit_change, store, apply_configuration
    )
    read_routes.add_configuration_routes(app, source)
    read_routes.add_status_routes(app, source)
    change_routes.add_profile_routes(app, commit, source)
    change_routes.add_service_and_customer_routes(app, commit, source)

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def handle_http_error(
        error: werkzeug.exceptions.HTTPException,
    ) -> responses.Response:
        kind = error.name.lower().replace(" ", "_")
        return responses.error_response(kind, error.description, error.code)

    return app


def bounded(
    app: listening.App, account: listening.MemoryAccount
) -> listening.App:
    """Return the application with bodies that are counted and bounded.

    :param app: the application for operators.
    :param account: the account of the process.
    """
    return listening.bounded_app(
        app,
        account,
        MAX_BODY_BYTES,
        responses.refused_request,
        lambda scope: MAX_REQUEST_S,
    )
