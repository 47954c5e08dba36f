"""Reads the answers to calls, whichever form they come in."""

import typing

import httpx

from wasabilanding.metadata import results
from wasabilanding import model

Answer = httpx.Response | results.Unavailable | results.Unknown


def decoded(
    kind: typing.Any, answer: Answer
) -> typing.Any | results.Unavailable:
    """Decode the body of a success.

    :param kind: type of the body.
    :param answer: what came of the call.
    :returns: the body; :class:`wasabilanding.metadata.Unavailable` where the
        call failed or the body does not fit.
    """
    if not isinstance(answer, httpx.Response):
        return results.Unavailable(answer.detail)
    if answer.is_error:
        return results.Unavailable(f"{answer.status_code} {answer.text}")
    try:
        return model.decode(kind, answer.content)
    except model.InvalidDocument as error:
        return results.Unavailable(f"the answer is malformed: {error}")


def has_status(answer: Answer, status: int) -> bool:
    """Tell whether an answer came and bears a status.

    :param answer: what came of the call.
    :param status: HTTP status.
    """
    return isinstance(answer, httpx.Response) and answer.status_code == status
