"""ASGI applications for the balancer's readiness checks and for metrics."""

import collections.abc
import dataclasses
import json

from wasabilanding.gateway import asgi

JSON_TYPE = b"application/json"
TEXT_TYPE = b"text/plain; charset=utf-8"
METRICS_PATH = "/metrics"


@dataclasses.dataclass(frozen=True)
class StatusResponse:
    """A short response.

    :param status: HTTP status.
    :param content_type: its type.
    :param body: its body.
    """

    status: int
    content_type: bytes
    body: bytes


def status_app(
    respond: collections.abc.Callable[[str], StatusResponse],
) -> asgi.App:
    """Return an application that answers each GET with a short response.

    :param respond: returns the response to a path.
    """

    async def app(
        scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
            return
        response = respond(scope["path"])
        headers = [
            (b"content-type", response.content_type),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    return app


def ready_app(is_ready: collections.abc.Callable[[], bool]) -> asgi.App:
    """Return the application that answers readiness checks on any path.

    :param is_ready: returns whether the balancer may send requests.
    """

    def respond(path: str) -> StatusResponse:
        ready = is_ready()
        body = json.dumps({"ready": ready}).encode()
        return StatusResponse(200 if ready else 503, JSON_TYPE, body)

    return status_app(respond)


def metrics_app(text: collections.abc.Callable[[], bytes]) -> asgi.App:
    """Return the application that serves metrics.

    :param text: returns all metrics as text.
    """

    def respond(path: str) -> StatusResponse:
        if path != METRICS_PATH:
            return StatusResponse(404, TEXT_TYPE, b"there is only /metrics\n")
        return StatusResponse(200, TEXT_TYPE, text())

    return status_app(respond)
