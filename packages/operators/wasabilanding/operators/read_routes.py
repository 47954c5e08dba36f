"""Routes of the administration API that change nothing."""

import quart

from wasabilanding import configuration
from wasabilanding.operators import responses
from wasabilanding.operators import status_source
from wasabilanding import placement


def add_profiles(app: quart.Quart, source: status_source.StatusSource) -> None:
    """Add the routes that show the configuration.

    :param app: the application.
    :param source: what this node knows.
    """

    @app.get("/v1/profiles")
    async def profiles() -> quart.ResponseReturnValue:
        document = source.configuration()
        return {
            "revision": document.revision,
            "profiles": {
                name: responses.plain(history.current)
                for name, history in sorted(document.profiles.items())
            },
            "services": responses.plain(
                document.services, dict[str, configuration.ServiceChoice]
            ),
            "customers": responses.plain(
                document.customers, dict[str, configuration.Customer]
            ),
        }

    @app.get("/v1/profiles/<name>")
    async def profile(name: str) -> quart.ResponseReturnValue:
        history = source.configuration().profiles.get(name)
        if history is None:
            return responses.not_found(f"profile {name} does not exist")
        return responses.plain(history)


def add_status(app: quart.Quart, source: status_source.StatusSource) -> None:
    """Add the routes that show the state of the system.

    :param app: the application.
    :param source: what this node knows.
    """

    @app.get("/v1/status")
    async def status() -> quart.ResponseReturnValue:
        return source.status()

    @app.get("/v1/services/<name>/explanation")
    async def explain(name: str) -> quart.ResponseReturnValue:
        entry = source.configuration().profile_of(name)
        if entry is None:
            return responses.not_found(f"service {name} does not exist")
        if entry.profile.kind != "replica":
            message = f"service {name} is plain and has no replicas"
            return responses.not_found(message)
        explanations = responses.plain(
            source.explain(name), tuple[placement.Explanation, ...]
        )
        return {"explanations": explanations}

    @app.get("/metrics")
    async def metrics() -> quart.ResponseReturnValue:
        return quart.Response(source.metrics(), content_type="text/plain")
