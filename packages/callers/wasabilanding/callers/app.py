"""HTTP application that serves callers."""

import collections.abc
import contextlib
import dataclasses
import json
import logging
import typing

import quart
import quart_trio
import werkzeug.datastructures
import werkzeug.exceptions

from wasabilanding.callers import completions
from wasabilanding.callers import error_responses
from wasabilanding.callers import requests
from wasabilanding import listening
from wasabilanding import model

MAX_BODY_BYTES = 8 * 1024 * 1024
DEADLINE = b"x-deadline-ms"
MAX_DEADLINE_DIGITS = 9
END_OF_STREAM = b"data: [DONE]\n\n"
HTTP_BAD_REQUEST = 400
HTTP_CONTENT_TOO_LARGE = 413
HTTP_INTERNAL_ERROR = 500

_LOG = logging.getLogger(__name__)

Batches = collections.abc.AsyncIterator[list[bytes]]


class RequestHandler(typing.Protocol):
    """Interface of the daemon that runs the requests of callers."""

    def run(self, request: requests.CallerRequest) -> Batches:
        """Run a request and yield batches of event payloads."""

    async def forward(
        self, service: str, path: str, call: "PlainRequest"
    ) -> "PlainResponse":
        """Forward an HTTP request to a plain service."""

    @property
    def services(self) -> collections.abc.Iterable[str]:
        """Names of the services that serve models."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""


@dataclasses.dataclass(frozen=True)
class PlainRequest:
    """HTTP request to a plain service."""

    method: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """HTTP response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _error_response(outcome: model.Outcome) -> quart.Response:
    return quart.Response(
        json.dumps(error_responses.error_body(outcome)),
        status=error_responses.STATUS_BY_REASON[outcome.reason],
        headers=error_responses.error_headers(outcome),
    )


def _encode_events(batch: list[bytes]) -> bytes:
    return b"".join(b"data: " + payload + b"\n\n" for payload in batch)


async def _event_stream(
    first: list[bytes], rest: Batches
) -> collections.abc.AsyncIterator[bytes]:
    async with contextlib.aclosing(rest):
        yield _encode_events(first)
        try:
            async for batch in rest:
                yield _encode_events(batch)
        except requests.RequestFailed as error:
            yield error_responses.error_event(error.outcome)
            return
        yield END_OF_STREAM


async def _completion_response(
    request: requests.CallerRequest, batches: Batches
) -> quart.Response:
    chunks: list[bytes] = []
    async with contextlib.aclosing(batches):
        async for batch in batches:
            chunks.extend(batch)
    body = completions.assemble_completion(
        request.request_id, request.service, chunks
    )
    return quart.Response(
        json.dumps(body),
        content_type="application/json",
        headers={"X-Outcome": model.Verdict.COMPLETED.value},
    )


async def _stream_response(batches: Batches) -> quart.Response:
    first = await anext(batches, [])
    response = quart.Response(
        _event_stream(first, batches), content_type="text/event-stream"
    )
    response.timeout = None
    return response


def _add_completions_route(app: quart.Quart, handler: RequestHandler) -> None:
    @app.post("/v1/chat/completions")
    async def complete() -> quart.Response:
        try:
            content_type = quart.request.content_type
            if content_type and not quart.request.is_json:
                raise werkzeug.exceptions.UnsupportedMediaType()
            body = await quart.request.get_data()
            request = requests.parse_request(quart.request.headers, body)
            batches = handler.run(request)
            if request.stream:
                return await _stream_response(batches)
            return await _completion_response(request, batches)
        except requests.RequestFailed as error:
            return _error_response(error.outcome)


def _add_plain_service_route(
    app: quart.Quart, handler: RequestHandler
) -> None:
    methods = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]

    @app.route(
        "/services/<name>/<path:path>",
        methods=methods,
        provide_automatic_options=False,
    )
    async def forward(name: str, path: str) -> quart.Response:
        call = PlainRequest(
            quart.request.method,
            quart.request.query_string.decode(),
            dict(quart.request.headers),
            await quart.request.get_data(),
        )
        try:
            response = await handler.forward(name, path, call)
        except requests.RequestFailed as error:
            return _error_response(error.outcome)
        headers = werkzeug.datastructures.Headers(response.headers)
        headers["X-Outcome"] = model.Verdict.COMPLETED.value
        return quart.Response(
            response.body, status=response.status, headers=headers
        )


def _add_health_routes(app: quart.Quart, handler: RequestHandler) -> None:
    @app.get("/healthz")
    async def healthz() -> quart.ResponseReturnValue:
        return {"live": True}

    @app.get("/readyz")
    async def ready() -> quart.ResponseReturnValue:
        return {"ready": handler.ready}, 200 if handler.ready else 503


def _http_error_response(
    error: werkzeug.exceptions.HTTPException,
) -> quart.Response:
    detail = f"{quart.request.method} {quart.request.path}: {error.name}"
    if error.code == HTTP_CONTENT_TOO_LARGE:
        detail = f"request body exceeds the limit of {MAX_BODY_BYTES} bytes"
    outcome = model.not_run(model.Reason.INVALID_REQUEST, detail)
    response = _error_response(outcome)
    response.status_code = error.code or HTTP_BAD_REQUEST
    for name, text in error.get_headers():
        if name == "Allow":
            response.headers[name] = text
    return response


def _add_error_handlers(app: quart.Quart) -> None:
    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def handle_http_error(
        error: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return _http_error_response(error)

    @app.errorhandler(Exception)
    async def handle_exception(error: Exception) -> quart.Response:
        _LOG.exception(
            "unhandled error in %s", quart.request.path, exc_info=error
        )
        outcome = model.may_have_run(
            model.Reason.ENDPOINT_ERROR, "internal error of the entry VM"
        )
        response = _error_response(outcome)
        response.status_code = HTTP_INTERNAL_ERROR
        return response


def _add_models_route(app: quart.Quart, handler: RequestHandler) -> None:
    @app.get("/v1/models")
    async def models() -> quart.ResponseReturnValue:
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "wasabilanding",
            }
            for name in sorted(handler.services)
        ]
        return {"object": "list", "data": data}


def callers_app(handler: RequestHandler) -> quart_trio.QuartTrio:
    """Return the HTTP application for callers.

    :param handler: runs the requests.
    """
    app = quart_trio.QuartTrio("callers")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = None
    app.config["RESPONSE_TIMEOUT"] = None
    _add_completions_route(app, handler)
    _add_models_route(app, handler)
    _add_plain_service_route(app, handler)
    _add_health_routes(app, handler)

    @app.after_request
    async def close_if_not_ready(response: quart.Response) -> quart.Response:
        if not handler.ready:
            # Clients with keep-alive connections reconnect to another node.
            response.headers["Connection"] = "close"
        return response

    _add_error_handlers(app)
    return app


def _time_limit_s(scope: dict[str, typing.Any]) -> float:
    """Return the seconds within which a request must be answered."""
    text = dict(scope["headers"]).get(DEADLINE, b"")
    if not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return requests.DEFAULT_DEADLINE_MS / requests.MS_PER_S
    return int(text) / requests.MS_PER_S


def bounded(
    app: listening.App, account: listening.MemoryAccount
) -> listening.App:
    """Return the application with bodies that are counted and bounded.

    :param app: the application for callers.
    :param account: the account of the process.
    """
    return listening.bounded_app(
        app,
        account,
        MAX_BODY_BYTES,
        error_responses.refused_request,
        _time_limit_s,
    )
