"""Decoding of the outcomes of calls to the platform's service."""

import typing

import httpx

from wasabilanding.metadata import results
from wasabilanding import model

CallOutcome = httpx.Response | results.Unavailable | results.Unknown


def decode_body(
    kind: typing.Any, answer: CallOutcome
) -> typing.Any | results.Unavailable:
    """Decode the body of a successful response.

    :param kind: type of the body.
    :param answer: outcome of the call.
    :returns: the body; :class:`wasabilanding.metadata.Unavailable` if the
        call failed or the body does not match the type.
    """
    if not isinstance(answer, httpx.Response):
        return results.Unavailable(answer.detail)
    if answer.is_error:
        return results.Unavailable(f"{answer.status_code} {answer.text}")
    try:
        return model.decode(kind, answer.content)
    except model.InvalidDocument as error:
        return results.Unavailable(f"malformed response: {error}")


def has_status(answer: CallOutcome, status: int) -> bool:
    """Return whether a call was answered with a status.

    :param answer: outcome of the call.
    :param status: HTTP status.
    """
    return isinstance(answer, httpx.Response) and answer.status_code == status
