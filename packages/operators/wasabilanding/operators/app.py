"""HTTP application for operators."""

import collections.abc
import dataclasses
import functools
import json
import typing

import quart
import quart_trio

from wasabilanding import configuration
from wasabilanding import model
from wasabilanding import platform

HTTP_ACCEPTED = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNKNOWN = 502
HTTP_UNAVAILABLE = 503
MAX_BODY_BYTES = 1_000_000

Answer = tuple[dict, int]


class StatusSource(typing.Protocol):
    """What the application needs from the daemon."""

    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force on this node."""

    def status(self) -> dict:
        """Return the status of failure domains, replicas and VMs."""

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text form."""


@dataclasses.dataclass(frozen=True)
class ChoiceBody:
    """Body of a choice.

    :param profile: name of the chosen profile.
    :param replaces: revision of the choice that it replaces, or null.
    """

    __pydantic_config__ = {"extra": "forbid"}

    profile: str
    replaces: int | None = None


def _plain(value: typing.Any, kind: typing.Any = None) -> typing.Any:
    return json.loads(model.encode(value, kind))


def _refusal(error: configuration.ChangeRefused) -> Answer:
    status = HTTP_CONFLICT if error.conflict else HTTP_BAD_REQUEST
    kind = "conflict" if error.conflict else "refused"
    return {"error": {"type": kind, "message": str(error)}}, status


async def _accept(
    store: platform.PlatformClient,
    learn: collections.abc.Callable[[configuration.Configuration], object],
    change: collections.abc.Callable[
        [configuration.Configuration], configuration.Configuration
    ],
) -> Answer:
    try:
        result = await platform.accept_change(store, change)
    except configuration.ChangeRefused as error:
        return _refusal(error)
    if isinstance(result, configuration.Configuration):
        learn(result)
        return {"accepted": True, "revision": result.revision}, 200
    if isinstance(result, platform.Unknown):
        body = {"type": "unknown", "message": result.detail}
        return {"error": body}, HTTP_UNKNOWN
    body = {"type": "unavailable", "message": result.detail}
    return {"error": body}, HTTP_UNAVAILABLE


def _invalid(error: Exception) -> Answer:
    mistakes = [str(m) for m in getattr(error, "mistakes", ())]
    body = {
        "type": "invalid",
        "message": str(error),
        "mistakes": mistakes,
    }
    return {"error": body}, HTTP_BAD_REQUEST


def _replaced(default: int | None = None) -> int | None:
    text = quart.request.args.get("replaces")
    if text is None:
        return default
    if not text.isdecimal():
        raise ValueError(f"replaces: {text!r} is not a revision")
    return int(text)


def _add_reading(app: quart.Quart, source: StatusSource) -> None:
    @app.get("/v1/profiles")
    async def profiles() -> quart.ResponseReturnValue:
        document = source.configuration()
        return {
            "revision": document.revision,
            "profiles": {
                name: _plain(history.current)
                for name, history in sorted(document.profiles.items())
            },
            "services": _plain(
                document.services, dict[str, configuration.ServiceChoice]
            ),
        }

    @app.get("/v1/profiles/<name>")
    async def profile(name: str) -> quart.ResponseReturnValue:
        history = source.configuration().profiles.get(name)
        if history is None:
            message = f"profile {name} does not exist"
            return {
                "error": {"type": "not_found", "message": message}
            }, HTTP_NOT_FOUND
        return _plain(history)

    @app.get("/v1/status")
    async def status() -> quart.ResponseReturnValue:
        return source.status()

    @app.get("/metrics")
    async def metrics() -> quart.ResponseReturnValue:
        return quart.Response(source.metrics(), content_type="text/plain")


def _add_profile_changes(
    app: quart.Quart,
    accept: collections.abc.Callable[..., collections.abc.Awaitable[Answer]],
) -> None:
    @app.put("/v1/profiles/<name>")
    async def put_profile(name: str) -> quart.ResponseReturnValue:
        try:
            text = await quart.request.get_data()
            profile = model.decode(model.Profile, text)
            replaces = _replaced(0)
        except ValueError as error:
            return _invalid(error)
        if profile.name != name:
            return _invalid(
                ValueError(f"name: {profile.name!r} is not {name!r}")
            )
        return await accept(
            functools.partial(
                configuration.put_profile,
                profile=profile,
                expected_revision=replaces,
            )
        )

    @app.post("/v1/profiles/<name>/rollback/<int:revision>")
    async def roll_back(name: str, revision: int) -> quart.ResponseReturnValue:
        try:
            replaces = _replaced()
        except ValueError as error:
            return _invalid(error)
        if replaces is None:
            return _invalid(ValueError("replaces: a revision is needed"))
        return await accept(
            functools.partial(
                configuration.roll_back,
                name=name,
                to_revision=revision,
                expected_revision=replaces,
            )
        )


def _add_choices(
    app: quart.Quart,
    accept: collections.abc.Callable[..., collections.abc.Awaitable[Answer]],
) -> None:
    @app.put("/v1/services/<name>")
    async def choose(name: str) -> quart.ResponseReturnValue:
        try:
            text = await quart.request.get_data()
            body = model.decode(ChoiceBody, text)
        except ValueError as error:
            return _invalid(error)
        return await accept(
            functools.partial(
                configuration.choose_profile,
                service=name,
                profile=body.profile,
                expected_revision=body.replaces,
            )
        )

    @app.put("/v1/customers/<name>")
    async def set_customer(name: str) -> quart.ResponseReturnValue:
        try:
            text = await quart.request.get_data()
            customer = model.decode(configuration.Customer, text)
        except ValueError as error:
            return _invalid(error)
        return await accept(
            functools.partial(
                configuration.set_customer, name=name, customer=customer
            )
        )


def operators_app(
    source: StatusSource,
    store: platform.PlatformClient,
    learn: collections.abc.Callable[[configuration.Configuration], object],
) -> quart_trio.QuartTrio:
    """Return the HTTP application for operators.

    :param source: what this node knows.
    :param store: client of the platform's service.
    :param learn: applies an accepted configuration on this node.
    """
    app = quart_trio.QuartTrio("operators")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    accept = functools.partial(_accept, store, learn)
    _add_reading(app, source)
    _add_profile_changes(app, accept)
    _add_choices(app, accept)
    return app
