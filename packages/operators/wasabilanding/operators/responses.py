"""Responses of the administration API."""

import http
import json
import typing

from wasabilanding import configuration
from wasabilanding import listening
from wasabilanding import model

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503

Response = tuple[dict, int]


def to_json(value: typing.Any, kind: typing.Any = None) -> typing.Any:
    """Convert a data class to JSON-compatible values.

    :param value: the data class or a container of data classes.
    :param kind: declared type, if it differs from the class of the value.
    """
    return json.loads(model.encode(value, kind))


def error_response(kind: str, message: str, status: int) -> Response:
    """Return an error response.

    :param kind: error type, for programs.
    :param message: explanation, for people.
    :param status: HTTP status.
    """
    return {"error": {"type": kind, "message": message}}, status


def refused_request(status: int, detail: str) -> listening.RefusedAnswer:
    """Return the answer to a request that is refused as it arrives.

    :param status: HTTP status.
    :param detail: explanation.
    """
    kind = http.HTTPStatus(status).phrase.lower().replace(" ", "_")
    document, _ = error_response(kind, detail, status)
    headers = [(b"content-type", b"application/json")]
    return listening.RefusedAnswer(
        status, headers, json.dumps(document).encode()
    )


def not_found_response(message: str) -> Response:
    """Return the response for a resource that does not exist.

    :param message: explanation that names the resource.
    """
    return error_response("not_found", message, HTTP_NOT_FOUND)


def change_refused_response(error: configuration.ChangeRefused) -> Response:
    """Return the response for a change that was refused.

    :param error: reason of the refusal.
    """
    if error.conflict:
        return error_response("conflict", str(error), HTTP_CONFLICT)
    return error_response("refused", str(error), HTTP_BAD_REQUEST)


def invalid_response(error: ValueError) -> Response:
    """Return the response for an invalid request.

    :param error: the validation error.
    """
    body, status = error_response("invalid", str(error), HTTP_BAD_REQUEST)
    if isinstance(error, model.InvalidDocument):
        body["error"]["mistakes"] = [str(m) for m in error.mistakes]
    return body, status
