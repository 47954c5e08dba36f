"""HTTP application for operators."""

import collections.abc
import functools

import quart_trio
import werkzeug.exceptions

from wasabilanding import configuration
from wasabilanding import metadata
from wasabilanding.operators import answers
from wasabilanding.operators import changes
from wasabilanding.operators import reading
from wasabilanding.operators import sources

MAX_BODY_BYTES = 1_000_000


def operators_app(
    source: sources.StatusSource,
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
    accept = functools.partial(changes.accept, store, learn)
    reading.add_profiles(app, source)
    reading.add_status(app, source)
    changes.add_profile_changes(app, accept, source)
    changes.add_choices(app, accept, source)

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def failed(
        error: werkzeug.exceptions.HTTPException,
    ) -> answers.Answer:
        kind = error.name.lower().replace(" ", "_")
        return answers.failure(kind, error.description, error.code)

    return app
