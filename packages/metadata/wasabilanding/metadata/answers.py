"""Decoding of the outcomes of calls to the platform's service."""

import logging
import typing

import httpx

from wasabilanding.metadata import results
from wasabilanding import model

_LOG = logging.getLogger(__name__)

HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503
# The service has not executed the call.
REJECTED_STATUSES = (HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE)

CallOutcome = httpx.Response | results.Unavailable | results.Unknown


def decode_body(
    kind: typing.Any, outcome: CallOutcome
) -> typing.Any | results.Unavailable:
    """Decode the body of a successful response.

    :param kind: type of the body.
    :param outcome: outcome of the call.
    :returns: the body; :class:`wasabilanding.metadata.Unavailable` if the
        call failed or the body does not match the type.
    """
    if not isinstance(outcome, httpx.Response):
        return results.Unavailable(outcome.detail)
    if outcome.is_error:
        return results.Unavailable(f"{outcome.status_code} {outcome.text}")
    try:
        return _decode(kind, outcome.content)
    except model.InvalidDocument as error:
        return results.Unavailable(f"malformed response: {error}")


def decode_written(
    kind: typing.Any, outcome: CallOutcome
) -> typing.Any | results.Unavailable | results.Unknown:
    """Decode the body of the response to a write.

    :param kind: type of the body.
    :param outcome: outcome of the call.
    :returns: the body; :class:`wasabilanding.metadata.Unavailable` if the
        write did not take effect; :class:`wasabilanding.metadata.Unknown` if
        it may have, as after a success whose body is unreadable or cut.
    """
    if not isinstance(outcome, httpx.Response):
        return outcome
    body = decode_body(kind, outcome)
    if not isinstance(body, results.Unavailable):
        return body
    if outcome.status_code in REJECTED_STATUSES or outcome.is_client_error:
        return body
    return results.Unknown(body.detail)


def _decode(kind: typing.Any, content: bytes) -> typing.Any:
    """Decode a body, if need be without the parts that are unreadable."""
    try:
        return model.decode(kind, content)
    except model.InvalidDocument as invalid:
        readable = model.readable(content)
        if readable == content:
            raise
        _LOG.warning("unreadable parts of a response ignored: %s", invalid)
        return model.decode(kind, readable)


def has_status(outcome: CallOutcome, status: int) -> bool:
    """Return whether a call was answered with a status.

    :param outcome: outcome of the call.
    :param status: HTTP status.
    """
    return (
        isinstance(outcome, httpx.Response) and outcome.status_code == status
    )
