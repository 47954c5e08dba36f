"""Requests to an installation and their answers."""

import dataclasses
import random

from wasabilanding.experiments.installation import launch
from wasabilanding.standins import registered_engine_http

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
    :param padding_bytes: bytes by which each event is made larger.
    """

    request_id: str
    kind: str
    key: str = "key-1"
    model: str = ""
    events: int = 0
    padding_bytes: int = 0

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
        padding = registered_engine_http.PADDING * self.padding_bytes
        return "".join(
            registered_engine_http.event_text(number, padding)
            for number in range(self.events)
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
    :param written_at: monotonic time in seconds at which the last byte of the
        request was sent; None if it was not.
    :param last_part_at: monotonic time in seconds at which the last part of
        the response was received; None if there was none.
    :param was_reset: whether the connection was reset. A connection that a
        process closes is reset if bytes were not read, and ended otherwise.
    :param ended_time_of_day: time of day in seconds at which it ended, as in
        the logs.
    """

    request: Request
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: str
    was_sent: bool
    written_at: float | None = None
    last_part_at: float | None = None
    was_reset: bool = False
    ended_time_of_day: float = 0.0


def random_request(
    rng: random.Random,
    number: int,
    key: str = "key-1",
    max_events: int = MAX_EVENTS,
    padding_bytes: int = 0,
) -> Request:
    """Return a random request.

    :param rng: source of randomness.
    :param number: number that makes the request id unique.
    :param key: API key of the caller.
    :param max_events: longest stream in events.
    :param padding_bytes: bytes by which each event is made larger.
    """
    kind = rng.choice(("drafts", "drafts", "pages", "sheets"))
    name = f"{kind}-{number}"
    if kind != "drafts":
        return Request(name, kind, key)
    model = rng.choice(MODELS)
    events = rng.randint(1, max_events)
    return Request(name, kind, key, model, events, padding_bytes)
