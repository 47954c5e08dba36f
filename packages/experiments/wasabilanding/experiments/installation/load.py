"""Callers of an installation: what they send and what they get."""

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
    """One submission.

    :param request_id: its identity.
    :param kind: "drafts" (resumable streams), "pages" (safe) or "sheets"
        (at most once).
    :param key: key of the caller.
    :param model: model that is asked for.
    :param events: events that are asked for.
    """

    request_id: str
    kind: str
    key: str = "key-1"
    model: str = ""
    events: int = 0

    @property
    def path(self) -> str:
        """Its path."""
        return f"/{self.kind}/{self.request_id}?q=1"

    @property
    def body(self) -> str:
        """Its body."""
        return f"text of {self.request_id}"

    @property
    def expected_stream(self) -> str:
        """The whole stream that is due."""
        return "".join(
            f"id: {i}\ndata: {json.dumps({'piece': i})}\n\n"
            for i in range(self.events)
        )


@dataclasses.dataclass(frozen=True)
class Answer:
    """What became of a submission.

    :param request: the submission.
    :param gateway: gateway that it was sent to.
    :param sent_at: monotonic time in seconds.
    :param ended_at: monotonic time in seconds.
    :param status: HTTP status; 0 where no answer began.
    :param complete: whether an answer came and ended as its framing says.
    :param body: the body, as far as it came.
    :param was_sent: whether the request reached an open connection.
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
    :param number: makes its identity.
    :param key: key of the caller.
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
    """Send a request on a kept connection and read its answer.

    :param client: holds the connections.
    :param gateway: where it goes.
    :param request: the request.
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
