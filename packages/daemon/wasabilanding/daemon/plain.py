"""Forwards calls to plain services."""

import collections.abc

import httpx

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding import model

CALL_TIMEOUT_S = 30.0
COMEBACK_S = 2.0
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-encoding",
        "content-length",
        "host",
        "transfer-encoding",
    )
)


def _end_to_end(
    headers: collections.abc.Mapping[str, str],
) -> dict[str, str]:
    return {k: v for k, v in headers.items() if k.lower() not in HOP_HEADERS}


def _addresses(profile: model.PlainProfile, failure_domain: str) -> list[str]:
    own = profile.addresses.get(failure_domain, ())
    others = [
        address
        for domain, addresses in sorted(profile.addresses.items())
        if domain != failure_domain
        for address in addresses
    ]
    return [*own, *others]


def _profile(
    context: context_module.Context, service: str
) -> model.PlainProfile:
    entry = context.known.configuration.profile_of(service)
    if entry is None or entry.profile.kind != "plain":
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.UNKNOWN_SERVICE,
                f"plain service {service!r} does not exist",
            )
        )
    return entry.profile


async def forward(
    context: context_module.Context,
    service: str,
    path: str,
    call: callers.PlainCall,
) -> callers.PlainAnswer:
    """Forward a call to a plain service.

    :param context: what the loops share.
    :param service: name of the service.
    :param path: path below its base URL.
    :param call: the call.
    :raises wasabilanding.callers.RequestFailed: without an answer.
    """
    profile = _profile(context, service)
    failure = model.not_run(
        model.Reason.NO_REPLICA,
        f"service {service} has no endpoint",
        COMEBACK_S,
    )
    for address in _addresses(profile, context.failure_domain):
        try:
            return await _call(context, f"{address}/{path}", call)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            failure = model.not_run(model.Reason.CONNECT_FAILED, repr(error))
        except httpx.HTTPError as error:
            failure = model.may_have_run(
                model.Reason.CONNECTION_LOST, repr(error)
            )
            break
    raise callers.RequestFailed(failure)


async def _call(
    context: context_module.Context, url: str, call: callers.PlainCall
) -> callers.PlainAnswer:
    response = await context.endpoints.http.request(
        call.method,
        url,
        params=call.query,
        headers=_end_to_end(call.headers),
        content=call.body,
        timeout=CALL_TIMEOUT_S,
    )
    return callers.PlainAnswer(
        response.status_code,
        _end_to_end(response.headers),
        response.content,
    )
