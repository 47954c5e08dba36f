"""HTTP application for operators."""

import collections.abc
import functools

import quart_trio
import werkzeug.exceptions

from wasabilanding import configuration
from wasabilanding import metadata
from wasabilanding.operators import change_routes
from wasabilanding.operators import read_routes
from wasabilanding.operators import responses
from wasabilanding.operators import status_source

MAX_BODY_BYTES = 1_000_000


def operators_app(
    source: status_source.StatusSource,
    store: metadata.PlatformClient,
    learn: collections.abc.Callable[[configuration.Configuration], object],
) -> quart_trio.QuartTrio:
    """Return the HTTP application for operators.

    :param source: what this node knows.
    :param store: client of the platform's service.
    :param learn: applies an accepted configuration on this node.
    """
    app = quart_trio.QuartTrio("operators")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    accept = functools.partial(change_routes.accept, store, learn)
    read_routes.add_profiles(app, source)
    read_routes.add_status(app, source)
    change_routes.add_profile_changes(app, accept, source)
    change_routes.add_choices(app, accept, source)

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def failed(
        error: werkzeug.exceptions.HTTPException,
    ) -> responses.Answer:
        kind = error.name.lower().replace(" ", "_")
        return responses.failure(kind, error.description, error.code)

    return app
