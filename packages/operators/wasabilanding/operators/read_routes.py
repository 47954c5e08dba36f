"""Read-only routes of the administration API."""

import quart

from wasabilanding import configuration
from wasabilanding.operators import responses
from wasabilanding.operators import status_source
from wasabilanding import placement


def add_configuration_routes(
    app: quart.Quart, source: status_source.StatusSource
) -> None:
    """Add the routes that return the configuration.

    :param app: the application.
    :param source: this node's view of the system.
    """

    @app.get("/v1/profiles")
    async def profiles() -> quart.ResponseReturnValue:
        document = source.configuration()
        return {
            "revision": document.revision,
            "profiles": {
                name: responses.to_json(history.current)
                for name, history in sorted(document.profiles.items())
            },
            "services": responses.to_json(
                document.services, dict[str, configuration.ServiceChoice]
            ),
            "customers": responses.to_json(
                document.customers, dict[str, configuration.Customer]
            ),
        }

    @app.get("/v1/profiles/<name>")
    async def profile(name: str) -> quart.ResponseReturnValue:
        history = source.configuration().profiles.get(name)
        if history is None:
            return responses.not_found_response(
                f"profile {name} does not exist"
            )
        return responses.to_json(history)


def add_status_routes(
    app: quart.Quart, source: status_source.StatusSource
) -> None:
    """Add the routes that return the state of the system.

    :param app: the application.
    :param source: this node's view of the system.
    """

    @app.get("/v1/status")
    async def status() -> quart.ResponseReturnValue:
        return source.status()

    @app.get("/v1/services/<name>/explanation")
    async def explain(name: str) -> quart.ResponseReturnValue:
        entry = source.configuration().profile_of(name)
        if entry is None:
            return responses.not_found_response(
                f"service {name} does not exist"
            )
        if entry.profile.kind != "replica":
            message = f"service {name} is plain and has no replicas"
            return responses.not_found_response(message)
        explanations = responses.to_json(
            source.explain(name), tuple[placement.Explanation, ...]
        )
        return {"explanations": explanations}

    @app.get("/metrics")
    async def metrics() -> quart.ResponseReturnValue:
        return quart.Response(source.metrics(), content_type="text/plain")
