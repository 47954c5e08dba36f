"""Claims of non-idempotent requests at the platform's service."""

import hashlib

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import telemetry
from wasabilanding import model
from wasabilanding import platform

CLAIM_COMEBACK_S = 2.0


def claim_key(request: callers.CallerRequest) -> str:
    """Return the key under which a non-idempotent request is claimed.

    :param request: the request.
    """
    text = f"{request.customer}\0{request.idempotency_key}"
    return f"claims/{hashlib.blake2b(text.encode()).hexdigest()[:32]}"


async def claim(
    context: context_module.Context,
    request: callers.CallerRequest,
    span: telemetry.Span,
) -> None:
    """Claim a request, so that it runs at most once.

    :param context: what the loops share.
    :param request: the request.
    :param span: span of the request.
    :raises wasabilanding.callers.RequestFailed: when the claim is not had.
    """
    if request.idempotent or not request.idempotency_key:
        return
    token = context.new_id()
    key = claim_key(request)
    claim_span = context.telemetry.start_span("claim", parent=span)
    with telemetry.span_ended(claim_span):
        result = await context.platform.put(key, token, 0)
        if isinstance(result, platform.Unknown):
            result = await _resolve(context, key, token)
    if isinstance(result, platform.Written):
        return
    if isinstance(result, platform.Conflict):
        raise callers.RequestFailed(
            model.may_have_run(
                model.Reason.DUPLICATE,
                f"key {request.idempotency_key!r} was used before",
            )
        )
    raise callers.RequestFailed(
        model.not_run(
            model.Reason.CLAIM_UNAVAILABLE,
            f"no claim could be had: {result.detail}",
            CLAIM_COMEBACK_S,
        )
    )


async def _resolve(
    context: context_module.Context, key: str, token: str
) -> platform.Written | platform.Conflict | platform.Unavailable:
    found = await context.platform.get(key)
    if isinstance(found, platform.Entry):
        if found.value == token:
            return platform.Written(found.revision)
        return platform.Conflict(found.revision)
    return platform.Unavailable("the claim's answer was lost")
