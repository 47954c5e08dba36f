"""Routes of the administration API that change the configuration."""

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
CommitChange = collections.abc.Callable[
    [Change], collections.abc.Awaitable[responses.Response]
]


@dataclasses.dataclass(frozen=True)
class ChoiceBody:
    """Request body that chooses the profile of a service.

    :param profile: name of the chosen profile.
    :param replaces: revision of the replaced choice, or null if there is none.
    """

    __pydantic_config__ = codec.STRICT

    profile: str
    replaces: int | None = None


async def commit_change(
    store: metadata.PlatformClient,
    apply_configuration: collections.abc.Callable[
        [configuration.Configuration], object
    ],
    change: Change,
) -> responses.Response:
    """Commit a change to the store, then apply it on this node.

    :param store: client of the platform's metadata service.
    :param apply_configuration: applies an accepted configuration on this node.
    :param change: function from the current configuration to the next.
    """
    try:
        result = await metadata.accept_change(store, change)
    except configuration.ChangeRefused as error:
        return responses.change_refused_response(error)
    if isinstance(result, configuration.Configuration):
        apply_configuration(result)
        accepted = {"accepted": True, "revision": result.revision}
        return accepted, responses.HTTP_OK
    if isinstance(result, metadata.Unknown):
        return responses.error_response(
            "unknown", result.detail, responses.HTTP_BAD_GATEWAY
        )
    return responses.error_response(
        "unavailable", result.detail, responses.HTTP_UNAVAILABLE
    )


def _replaced_revision(default: int | None) -> int:
    text = quart.request.args.get("replaces")
    if text is None and default is not None:
        return default
    if text is None:
        raise ValueError("replaces: a revision is needed")
    if not text.isdecimal():
        raise ValueError(f"replaces: {text!r} is not a revision")
    return int(text)


def _check_placeable(
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


def _with_placement_check(
    change: Change, name: str, source: status_source.StatusSource
) -> Change:
    def checked(
        document: configuration.Configuration,
    ) -> configuration.Configuration:
        changed = change(document)
        _check_placeable(changed, name, source)
        return changed

    return checked


async def _decode_body(kind: typing.Any) -> typing.Any:
    return model.decode(kind, await quart.request.get_data())


def add_profile_routes(
    app: quart.Quart, commit: CommitChange, source: status_source.StatusSource
) -> None:
    """Add the routes that write profiles.

    :param app: the application.
    :param commit: commits a change to the store.
    :param source: this node's view of the system.
    """

    @app.put("/v1/profiles/<name>")
    async def put_profile(name: str) -> quart.ResponseReturnValue:
        try:
            profile = await _decode_body(model.Profile)
            replaces = _replaced_revision(0)
            if profile.name != name:
                raise ValueError(f"name: {profile.name!r} is not {name!r}")
        except ValueError as error:
            return responses.invalid_response(error)
        change = functools.partial(
            configuration.put_profile,
            profile=profile,
            expected_revision=replaces,
        )
        return await commit(_with_placement_check(change, name, source))

    @app.post("/v1/profiles/<name>/rollback/<int:revision>")
    async def roll_back(name: str, revision: int) -> quart.ResponseReturnValue:
        try:
            replaces = _replaced_revision(None)
        except ValueError as error:
            return responses.invalid_response(error)
        change = functools.partial(
            configuration.roll_back,
            name=name,
            to_revision=revision,
            expected_revision=replaces,
        )
        return await commit(_with_placement_check(change, name, source))


def add_service_and_customer_routes(
    app: quart.Quart, commit: CommitChange, source: status_source.StatusSource
) -> None:
    """Add the routes that choose services' profiles and set customers.

    :param app: the application.
    :param commit: commits a change to the store.
    :param source: this node's view of the system.
    """

    @app.put("/v1/services/<name>")
    async def choose(name: str) -> quart.ResponseReturnValue:
        try:
            body = await _decode_body(ChoiceBody)
            _check_name("service", name)
        except ValueError as error:
            return responses.invalid_response(error)
        change = functools.partial(
            configuration.choose_profile,
            service=name,
            profile=body.profile,
            expected_revision=body.replaces,
        )
        return await commit(
            _with_placement_check(change, body.profile, source)
        )

    @app.put("/v1/customers/<name>")
    async def set_customer(name: str) -> quart.ResponseReturnValue:
        try:
            customer = await _decode_body(configuration.Customer)
            _check_name("customer", name)
        except ValueError as error:
            return responses.invalid_response(error)
        change = functools.partial(
            configuration.set_customer, name=name, customer=customer
        )
        return await commit(change)


def _check_name(resource: str, name: str) -> None:
    try:
        model.decode(model.Name, model.encode(name))
    except model.InvalidDocument as error:
        allowed = error.mistakes[0].allowed
        raise ValueError(f"{resource} {name!r}: {allowed}") from None
