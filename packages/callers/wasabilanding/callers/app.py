"""HTTP application for callers."""

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
from wasabilanding import model

MAX_BODY_BYTES = 8 * 1024 * 1024
END_OF_STREAM = b"data: [DONE]\n\n"
BAD_REQUEST = 400
TOO_LARGE = 413
INTERNAL_ERROR = 500

_LOG = logging.getLogger(__name__)

Batches = collections.abc.AsyncIterator[list[bytes]]


class RequestHandler(typing.Protocol):
    """What the application needs from the daemon."""

    def run(self, request: requests.CallerRequest) -> Batches:
        """Run a request and yield payloads, a batch at a time."""

    async def forward(
        self, service: str, path: str, call: "PlainRequest"
    ) -> "PlainResponse":
        """Forward a call to a plain service."""

    @property
    def services(self) -> collections.abc.Iterable[str]:
        """Names of the services that models answer."""

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests."""


@dataclasses.dataclass(frozen=True)
class PlainRequest:
    """A call to a plain service."""

    method: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """The answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _error(outcome: model.Outcome) -> quart.Response:
    return quart.Response(
        json.dumps(error_responses.error_body(outcome)),
        status=error_responses.STATUS_BY_REASON[outcome.reason],
        headers=error_responses.error_headers(outcome),
    )


def _frame(batch: list[bytes]) -> bytes:
    return b"".join(b"data: " + part + b"\n\n" for part in batch)


async def _events(
    first: list[bytes], rest: Batches
) -> collections.abc.AsyncIterator[bytes]:
    async with contextlib.aclosing(rest):
        yield _frame(first)
        try:
            async for batch in rest:
                yield _frame(batch)
        except requests.RequestFailed as error:
            yield error_responses.error_event(error.outcome)
            return
        yield END_OF_STREAM


async def _whole(
    request: requests.CallerRequest, batches: Batches
) -> quart.Response:
    chunks: list[bytes] = []
    async with contextlib.aclosing(batches):
        async for batch in batches:
            chunks.extend(batch)
    body = completions.whole_completion(
        request.request_id, request.service, chunks
    )
    return quart.Response(
        json.dumps(body),
        content_type="application/json",
        headers={"X-Outcome": model.Verdict.COMPLETED.value},
    )


async def _streamed(batches: Batches) -> quart.Response:
    first = await anext(batches, [])
    response = quart.Response(
        _events(first, batches), content_type="text/event-stream"
    )
    response.timeout = None
    return response


def _add_completions(app: quart.Quart, service: RequestHandler) -> None:
    @app.post("/v1/chat/completions")
    async def complete() -> quart.Response:
        try:
            sent_as = quart.request.content_type
            if sent_as and not quart.request.is_json:
                raise werkzeug.exceptions.UnsupportedMediaType()
            body = await quart.request.get_data()
            request = requests.parse_request(quart.request.headers, body)
            batches = service.run(request)
            if request.stream:
                return await _streamed(batches)
            return await _whole(request, batches)
        except requests.RequestFailed as error:
            return _error(error.outcome)


def _add_plain(app: quart.Quart, service: RequestHandler) -> None:
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
            answer = await service.forward(name, path, call)
        except requests.RequestFailed as error:
            return _error(error.outcome)
        headers = werkzeug.datastructures.Headers(answer.headers)
        headers["X-Outcome"] = model.Verdict.COMPLETED.value
        return quart.Response(
            answer.body, status=answer.status, headers=headers
        )


def _add_health(app: quart.Quart, service: RequestHandler) -> None:
    @app.get("/healthz")
    async def live() -> quart.ResponseReturnValue:
        return {"live": True}

    @app.get("/readyz")
    async def ready() -> quart.ResponseReturnValue:
        return {"ready": service.ready}, 200 if service.ready else 503


def _http_error(error: werkzeug.exceptions.HTTPException) -> quart.Response:
    detail = f"{quart.request.method} {quart.request.path}: {error.name}"
    if error.code == TOO_LARGE:
        detail = f"body is larger than {MAX_BODY_BYTES} bytes"
    outcome = model.not_run(model.Reason.INVALID_REQUEST, detail)
    response = _error(outcome)
    response.status_code = error.code or BAD_REQUEST
    for name, text in error.get_headers():
        if name == "Allow":
            response.headers[name] = text
    return response


def _add_error_handlers(app: quart.Quart) -> None:
    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def refuse(
        error: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return _http_error(error)

    @app.errorhandler(Exception)
    async def fail(error: Exception) -> quart.Response:
        _LOG.exception("%s failed", quart.request.path, exc_info=error)
        outcome = model.may_have_run(
            model.Reason.ENDPOINT_ERROR, "the entry VM failed"
        )
        response = _error(outcome)
        response.status_code = INTERNAL_ERROR
        return response


def _add_models(app: quart.Quart, service: RequestHandler) -> None:
    @app.get("/v1/models")
    async def models() -> quart.ResponseReturnValue:
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "wasabilanding",
            }
            for name in sorted(service.services)
        ]
        return {"object": "list", "data": data}


def callers_app(service: RequestHandler) -> quart_trio.QuartTrio:
    """Return the HTTP application for callers.

    :param service: runs the requests.
    """
    app = quart_trio.QuartTrio("callers")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = None
    app.config["RESPONSE_TIMEOUT"] = None
    _add_completions(app, service)
    _add_models(app, service)
    _add_plain(app, service)
    _add_health(app, service)

    @app.after_request
    async def leave(response: quart.Response) -> quart.Response:
        if not service.ready:
            # Callers on kept connections go elsewhere with their next request.
            response.headers["Connection"] = "close"
        return response

    _add_error_handlers(app)
    return app
