"""Answers of the administration API."""

import json
import typing

from wasabilanding import configuration
from wasabilanding import model

HTTP_ACCEPTED = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNKNOWN = 502
HTTP_UNAVAILABLE = 503

Answer = tuple[dict, int]


def plain(value: typing.Any, kind: typing.Any = None) -> typing.Any:
    """Return a data class as plain JSON values.

    :param value: the value.
    :param kind: its declared type, where it differs from the class.
    """
    return json.loads(model.encode(value, kind))


def failure(kind: str, message: str, status: int) -> Answer:
    """Return an answer that is not a success.

    :param kind: tag of the cause.
    :param message: explanation for people.
    :param status: HTTP status.
    """
    return {"error": {"type": kind, "message": message}}, status


def not_found(message: str) -> Answer:
    """Return the answer for something that does not exist.

    :param message: explanation that names it.
    """
    return failure("not_found", message, HTTP_NOT_FOUND)


def refusal(error: configuration.ChangeRefused) -> Answer:
    """Return the answer for a change that does not apply.

    :param error: why it does not.
    """
    if error.conflict:
        return failure("conflict", str(error), HTTP_CONFLICT)
    return failure("refused", str(error), HTTP_BAD_REQUEST)


def invalid(error: ValueError) -> Answer:
    """Return the answer for a document that does not fit.

    :param error: what is wrong with it.
    """
    body, status = failure("invalid", str(error), HTTP_BAD_REQUEST)
    if isinstance(error, model.InvalidDocument):
        body["error"]["mistakes"] = [str(m) for m in error.mistakes]
    return body, status
