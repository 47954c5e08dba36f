"""Changes by operators: checked, accepted by the store, then applied."""

import collections.abc
import dataclasses
import functools
import typing

import quart

from wasabilanding import configuration
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding.model import codec
from wasabilanding.operators import responses
from wasabilanding.operators import status_source
from wasabilanding import placement

Change = collections.abc.Callable[
    [configuration.Configuration], configuration.Configuration
]
Accept = collections.abc.Callable[
    [Change], collections.abc.Awaitable[responses.Answer]
]


@dataclasses.dataclass(frozen=True)
class ChoiceBody:
    """Body of a choice.

    :param profile: name of the chosen profile.
    :param replaces: revision of the choice that it replaces, or null.
    """

    __pydantic_config__ = codec.STRICT

    profile: str
    replaces: int | None = None


async def accept(
    store: metadata.PlatformClient,
    learn: collections.abc.Callable[[configuration.Configuration], object],
    change: Change,
) -> responses.Answer:
    """Have a change accepted by the store and apply it on this node.

    :param store: client of the platform's service.
    :param learn: applies an accepted configuration on this node.
    :param change: function from the current document to the next.
    """
    try:
        result = await metadata.accept_change(store, change)
    except configuration.ChangeRefused as error:
        return responses.refusal(error)
    if isinstance(result, configuration.Configuration):
        learn(result)
        accepted = {"accepted": True, "revision": result.revision}
        return accepted, responses.HTTP_ACCEPTED
    if isinstance(result, metadata.Unknown):
        return responses.failure(
            "unknown", result.detail, responses.HTTP_UNKNOWN
        )
    return responses.failure(
        "unavailable", result.detail, responses.HTTP_UNAVAILABLE
    )


def _replaced(default: int | None) -> int:
    text = quart.request.args.get("replaces")
    if text is None and default is not None:
        return default
    if text is None:
        raise ValueError("replaces: a revision is needed")
    if not text.isdecimal():
        raise ValueError(f"replaces: {text!r} is not a revision")
    return int(text)


def _check_fit(
    document: configuration.Configuration,
    name: str,
    source: status_source.StatusSource,
) -> None:
    history = document.profiles.get(name)
    if history is None:
        return
    detail = placement.unplaceable_reason(
        history.current.profile, source.vms()
    )
    if detail:
        raise configuration.ChangeRefused(f"profile {name}: {detail}")


def _fitting(
    change: Change, name: str, source: status_source.StatusSource
) -> Change:
    def checked(
        document: configuration.Configuration,
    ) -> configuration.Configuration:
        changed = change(document)
        _check_fit(changed, name, source)
        return changed

    return checked


async def _body(kind: typing.Any) -> typing.Any:
    return model.decode(kind, await quart.request.get_data())


def add_profile_changes(
    app: quart.Quart, accept_change: Accept, source: status_source.StatusSource
) -> None:
    """Add the routes that write profiles.

    :param app: the application.
    :param accept_change: has a change accepted.
    :param source: what this node knows.
    """

    @app.put("/v1/profiles/<name>")
    async def put_profile(name: str) -> quart.ResponseReturnValue:
        try:
            profile = await _body(model.Profile)
            replaces = _replaced(0)
            if profile.name != name:
                raise ValueError(f"name: {profile.name!r} is not {name!r}")
        except ValueError as error:
            return responses.invalid(error)
        change = functools.partial(
            configuration.put_profile,
            profile=profile,
            expected_revision=replaces,
        )
        return await accept_change(_fitting(change, name, source))

    @app.post("/v1/profiles/<name>/rollback/<int:revision>")
    async def roll_back(name: str, revision: int) -> quart.ResponseReturnValue:
        try:
            replaces = _replaced(None)
        except ValueError as error:
            return responses.invalid(error)
        change = functools.partial(
            configuration.roll_back,
            name=name,
            to_revision=revision,
            expected_revision=replaces,
        )
        return await accept_change(_fitting(change, name, source))


def add_choices(
    app: quart.Quart, accept_change: Accept, source: status_source.StatusSource
) -> None:
    """Add the routes that choose profiles and set customers.

    :param app: the application.
    :param accept_change: has a change accepted.
    :param source: what this node knows.
    """

    @app.put("/v1/services/<name>")
    async def choose(name: str) -> quart.ResponseReturnValue:
        try:
            body = await _body(ChoiceBody)
            _check_name("service", name)
        except ValueError as error:
            return responses.invalid(error)
        change = functools.partial(
            configuration.choose_profile,
            service=name,
            profile=body.profile,
            expected_revision=body.replaces,
        )
        return await accept_change(_fitting(change, body.profile, source))

    @app.put("/v1/customers/<name>")
    async def set_customer(name: str) -> quart.ResponseReturnValue:
        try:
            customer = await _body(configuration.Customer)
            _check_name("customer", name)
        except ValueError as error:
            return responses.invalid(error)
        change = functools.partial(
            configuration.set_customer, name=name, customer=customer
        )
        return await accept_change(change)


def _check_name(what: str, name: str) -> None:
    try:
        model.decode(model.Name, model.encode(name))
    except model.InvalidDocument as error:
        allowed = error.mistakes[0].allowed
        raise ValueError(f"{what} {name!r}: {allowed}") from None
