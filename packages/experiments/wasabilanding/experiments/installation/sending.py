"""Sends a request and records what its caller sees."""

import time

import httpx
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation import load

REQUEST_WRITTEN = "http11.send_request_body.complete"


class Exchange:
    """Times and content of one exchange, as the caller sees it.

    Its attributes become those of :class:`load.Answer`.
    """

    def __init__(self) -> None:
        self.sent_at = trio.current_time()
        self.written_at: float | None = None
        self.last_part_at: float | None = None
        self.status = 0
        self.text = ""
        self.is_complete = False
        self.was_sent = True
        self.was_reset = False

    async def trace(self, event: str, info: object) -> None:
        """Record when the request was written; called by the HTTP client.

        :param event: name of the event.
        :param info: its details.
        """
        if event == REQUEST_WRITTEN:
            self.written_at = trio.current_time()

    async def read(self, response: httpx.Response, pause_s: float) -> None:
        """Read the body of the response, with one pause.

        :param response: the response.
        :param pause_s: length of the pause in seconds.
        """
        self.status = response.status_code
        async for part in response.aiter_text():
            if not self.text:
                await trio.sleep(pause_s)
            self.text += part
            self.last_part_at = trio.current_time()
        self.is_complete = True

    def answer(self, request: load.Request, gateway: str) -> load.Answer:
        """Return the answer or failure.

        :param request: the request.
        :param gateway: gateway that it was sent to.
        """
        return load.Answer(
            request,
            gateway,
            self.sent_at,
            trio.current_time(),
            self.status,
            self.is_complete,
            self.text,
            self.was_sent,
            self.written_at,
            self.last_part_at,
            self.was_reset,
            time.time(),
        )


def headers_of(request: load.Request) -> dict[str, str]:
    """Return the headers of a request.

    :param request: the request.
    """
    return {
        "host": launch.SITE,
        "x-request": request.request_id,
        "x-deadline-s": str(load.REQUEST_TIMEOUT_S),
        "x-key": request.key,
        "x-model": request.model,
        "x-events-wanted": str(request.events),
        "x-padding-bytes": str(request.padding_bytes),
    }


async def send(
    client: httpx.AsyncClient,
    gateway: launch.Gateway,
    request: load.Request,
    pause_s: float = 0.0,
) -> load.Answer:
    """Send a request on a keep-alive connection and read the answer.

    :param client: client that pools the connections.
    :param gateway: gateway to send it to.
    :param request: request to send.
    :param pause_s: pause in seconds after the first part of the answer.
    """
    exchange = Exchange()
    try:
        async with client.stream(
            "POST",
            f"{gateway.callers_url}{request.path}",
            headers=headers_of(request),
            content=request.body,
            timeout=load.REQUEST_TIMEOUT_S + 1.0,
            extensions={"trace": exchange.trace},
        ) as response:
            await exchange.read(response, pause_s)
    except (httpx.ConnectError, httpx.ConnectTimeout):
        exchange.was_sent = False
    except (httpx.ReadError, httpx.WriteError):
        exchange.was_reset = True
    except httpx.HTTPError:
        # An exchange counts as incomplete until its last byte was read.
        pass
    return exchange.answer(request, gateway.name)
