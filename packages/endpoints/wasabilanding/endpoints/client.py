"""HTTP client of endpoints."""

import collections.abc
import contextlib
import dataclasses
import http.cookiejar
import typing

import httpx
import trio

from wasabilanding import delivery
from wasabilanding.endpoints import reply_bounds
from wasabilanding.endpoints import streams
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import replies
from wasabilanding import routing

CALL_TIMEOUT_S = 1.0
# Of a whole call, or of the body of a reply: the HTTP library's timeout holds
# for each read.
WHOLE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 1000
MAX_KEEPALIVE_CONNECTIONS = 100
JSON_HEADERS = {"Content-Type": "application/json"}


def _no_cookies() -> http.cookiejar.CookieJar:
    # A cookie set for one caller must not be sent with another's call.
    policy = http.cookiejar.DefaultCookiePolicy(allowed_domains=[])
    return http.cookiejar.CookieJar(policy)


def _client(
    transport: httpx.AsyncBaseTransport | None,
    max_connections: int | None,
    max_idle_connections: int,
    max_bytes: reply_bounds.MaxBytes = reply_bounds.of_answers,
) -> httpx.AsyncClient:
    """Return an HTTP client whose replies are bounded.

    :param transport: replaces the network in tests.
    :param max_connections: greatest number of connections; None for any.
    :param max_idle_connections: how many are kept for later requests.
    :param max_bytes: returns the bound of a reply's body.
    """
    found = transport or httpx.AsyncHTTPTransport(
        limits=httpx.Limits(
            max_connections=max_connections,
            max_keepalive_connections=max_idle_connections,
        )
    )
    return httpx.AsyncClient(
        timeout=CALL_TIMEOUT_S,
        transport=reply_bounds.BoundedTransport(
            replies.WholeReplies(found), max_bytes
        ),
        cookies=_no_cookies(),
    )


@contextlib.contextmanager
def _whole_timeout() -> collections.abc.Iterator[None]:
    """Limit the time of a block.

    :raises httpx.ReadTimeout: if it takes too long.
    """
    with trio.move_on_after(WHOLE_TIMEOUT_S) as scope:
        yield
    if scope.cancelled_caught:
        raise httpx.ReadTimeout(f"no whole reply within {WHOLE_TIMEOUT_S} s")


@dataclasses.dataclass(frozen=True)
class OrderResult:
    """Result of an order.

    :param accepted: whether the endpoint accepted it.
    :param detail: human-readable explanation.
    """

    accepted: bool
    detail: str = ""


class EndpointClient:
    """HTTP client of endpoints; a context manager.

    :param transport: replaces the network in tests.
    """

    def __init__(
        self, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self._http = _client(
            transport, MAX_CONNECTIONS, MAX_KEEPALIVE_CONNECTIONS
        )
        # A separate pool, so that reports and orders never wait for a
        # connection that a stream holds.
        self._streams_http = _client(
            transport,
            None,
            MAX_KEEPALIVE_CONNECTIONS,
            reply_bounds.of_streams,
        )
        # Each call opens its own connection: a reused one could have been
        # closed by the endpoint while idle.
        self._unshared_http = _client(transport, None, 0)
        self._unshared_streams_http = _client(
            transport, None, 0, reply_bounds.of_streams
        )
        self._stack = contextlib.AsyncExitStack()
        self._nursery: trio.Nursery | None = None
        self._open_attempts = 0

    async def __aenter__(self) -> "EndpointClient":
        await self._stack.enter_async_context(self._http)
        await self._stack.enter_async_context(self._streams_http)
        await self._stack.enter_async_context(self._unshared_http)
        await self._stack.enter_async_context(self._unshared_streams_http)
        self._nursery = await self._stack.enter_async_context(
            trio.open_nursery()
        )
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        await self._stack.__aexit__(*error)

    @property
    def http(self) -> httpx.AsyncClient:
        """HTTP client for plain calls that may be retried."""
        return self._http

    @property
    def unshared_http(self) -> httpx.AsyncClient:
        """HTTP client for calls that must not be retried."""
        return self._unshared_http

    def start_attempt(
        self, request: streams.AttemptRequest, deadline: float
    ) -> streams.Attempt:
        """Start an attempt; the caller must close it.

        :param request: the request.
        :param deadline: local monotonic time in seconds at which it ends.
        """
        client = self._unshared_streams_http
        if request.idempotent:
            client = self._streams_http
        attempt = streams.Attempt(
            client, request, deadline, self._read_delay_s
        )
        self._nursery.start_soon(self._run_attempt, attempt)
        return attempt

    async def _run_attempt(self, attempt: streams.Attempt) -> None:
        self._open_attempts += 1
        try:
            await attempt.run()
        finally:
            self._open_attempts -= 1

    def _read_delay_s(self, interval_s: float) -> float:
        return delivery.coalescing_delay_s(self._open_attempts, interval_s)

    async def _get(
        self, url: str, params: dict[str, int] | None = None
    ) -> httpx.Response:
        """Make a call that reads, and return the whole reply.

        :param url: URL of the call.
        :param params: query.
        :raises httpx.HTTPError: if no whole reply comes in time.
        """
        with _whole_timeout():
            return await self._http.get(url, params=params)

    async def _post(self, url: str, body: str) -> httpx.Response:
        """Make a call that gives an order, and return the whole reply.

        The time until the reply begins is not limited as a whole: a process
        that stood still sends the order that it was about to send, and its
        fencing token tells whether it is outdated.

        :param url: URL of the call.
        :param body: JSON body.
        :raises httpx.HTTPError: if no whole reply comes in time.
        """
        async with self._http.stream(
            "POST", url, content=body, headers=JSON_HEADERS
        ) as response:
            with _whole_timeout():
                await response.aread()
            return response

    async def report(self, vm: model.Vm, now: float) -> model.VmReport | None:
        """Request the report of a VM.

        :param vm: the VM.
        :param now: local monotonic time in seconds; the report is dated
            with the time of the request, so it never looks too new.
        :returns: the report, or None without a usable response.
        """
        try:
            response = await self._get(f"{vm.address}/v1/status")
            if response.is_error:
                return None
            report = model.decode(model.VmReport, response.content)
        except (httpx.HTTPError, model.InvalidDocument):
            return None
        if report.vm != vm.vm:
            return None
        return dataclasses.replace(report, observed_at=now)

    async def cache_events(
        self, vm: model.Vm, after: int
    ) -> routing.CacheEvents | None:
        """Request the published cache events of a VM.

        :param vm: the VM.
        :param after: sequence number that is already known.
        :returns: the events, or None without a usable response.
        """
        try:
            response = await self._get(
                f"{vm.address}/v1/cache-events", {"after": after}
            )
            if response.is_error:
                return None
            return model.decode(routing.CacheEvents, response.content)
        except (httpx.HTTPError, model.InvalidDocument):
            return None

    async def order(self, vm: model.Vm, order: placement.Order) -> OrderResult:
        """Send an order to a VM.

        :param vm: the VM.
        :param order: the order.
        """
        body = model.encode(order)
        name = type(order).__name__.lower()
        try:
            response = await self._post(f"{vm.address}/v1/orders/{name}", body)
        except httpx.HTTPError as error:
            return OrderResult(False, repr(error))
        return OrderResult(not response.is_error, response.text)
