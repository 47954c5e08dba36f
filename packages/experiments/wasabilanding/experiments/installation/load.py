"""Requests to an installation and their answers."""

import dataclasses
import json
import random

import httpx
import trio

from wasabilanding.experiments.installation import launch

NOT_RUN_STATUSES = (429, 503)
MODELS = (launch.LARGE.name, launch.SMALL.name)
MAX_EVENTS = 40
REQUEST_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a caller.

    :param request_id: unique id.
    :param kind: "drafts" (resumable streams), "pages" (safe) or "sheets"
        (at most once).
    :param key: API key of the caller.
    :param model: requested model.
    :param events: number of events to stream.
    """

    request_id: str
    kind: str
    key: str = "key-1"
    model: str = ""
    events: int = 0

    @property
    def path(self) -> str:
        """Path and query of the URL."""
        return f"/{self.kind}/{self.request_id}?q=1"

    @property
    def body(self) -> str:
        """Request body."""
        return f"text of {self.request_id}"

    @property
    def expected_stream(self) -> str:
        """Complete event stream that is expected in the answer."""
        return "".join(
            f"id: {i}\ndata: {json.dumps({'piece': i})}\n\n"
            for i in range(self.events)
        )


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to a request, or its failure.

    :param request: the request.
    :param gateway: gateway that it was sent to.
    :param sent_at: monotonic time in seconds.
    :param ended_at: monotonic time in seconds.
    :param status: HTTP status; 0 if no response headers were received.
    :param complete: whether the whole response was received, as determined
        by its HTTP framing.
    :param body: response body, as far as it was received.
    :param was_sent: whether a connection was established for the request.
    """

    request: Request
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: str
    was_sent: bool


def random_request(
    rng: random.Random, number: int, key: str = "key-1"
) -> Request:
    """Return a random request.

    :param rng: source of randomness.
    :param number: number that makes the request id unique.
    :param key: API key of the caller.
    """
    kind = rng.choice(("drafts", "drafts", "pages", "sheets"))
    name = f"{kind}-{number}"
    if kind != "drafts":
        return Request(name, kind, key)
    return Request(
        name, kind, key, rng.choice(MODELS), rng.randint(1, MAX_EVENTS)
    )


async def send(
    client: httpx.AsyncClient, gateway: launch.Gateway, request: Request
) -> Answer:
    """Send a request on a keep-alive connection and read the answer.

    :param client: client that pools the connections.
    :param gateway: gateway to send it to.
    :param request: request to send.
    """
    headers = {
        "host": launch.SITE,
        "x-request": request.request_id,
        "x-deadline-s": str(REQUEST_TIMEOUT_S),
        "x-key": request.key,
        "x-model": request.model,
        "x-events-wanted": str(request.events),
    }
    sent_at = trio.current_time()
    status = 0
    text = ""
    complete = False
    was_sent = True
    try:
        async with client.stream(
            "POST",
            f"{gateway.callers_url}{request.path}",
            headers=headers,
            content=request.body,
            timeout=REQUEST_TIMEOUT_S + 1.0,
        ) as response:
            status = response.status_code
            async for part in response.aiter_text():
                text += part
            complete = True
    except (httpx.ConnectError, httpx.ConnectTimeout):
        was_sent = False
    except httpx.HTTPError:
        complete = False
    return Answer(
        request,
        gateway.name,
        sent_at,
        trio.current_time(),
        status,
        complete,
        text,
        was_sent,
    )
