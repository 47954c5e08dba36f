"""HTTP client of endpoints."""

import contextlib
import dataclasses
import http.cookiejar
import typing

import httpx
import trio

from wasabilanding import delivery
from wasabilanding.endpoints import streams
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import routing

CALL_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 1000
MAX_KEEPALIVE_CONNECTIONS = 100
JSON_HEADERS = {"Content-Type": "application/json"}


def _no_cookies() -> http.cookiejar.CookieJar:
    # A cookie set for one caller must not be sent with another's call.
    policy = http.cookiejar.DefaultCookiePolicy(allowed_domains=[])
    return http.cookiejar.CookieJar(policy)


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
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_KEEPALIVE_CONNECTIONS,
        )
        self._http = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S,
            limits=limits,
            transport=transport,
            cookies=_no_cookies(),
        )
        # A separate pool, so that reports and orders never wait for a
        # connection that a stream holds.
        self._streams_http = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=MAX_KEEPALIVE_CONNECTIONS,
            ),
            transport=transport,
            cookies=_no_cookies(),
        )
        # Each call opens its own connection: a reused one could have been
        # closed by the endpoint while idle.
        self._unshared_http = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=0
            ),
            transport=transport,
            cookies=_no_cookies(),
        )
        self._stack = contextlib.AsyncExitStack()
        self._nursery: trio.Nursery | None = None
        self._open_attempts = 0

    async def __aenter__(self) -> "EndpointClient":
        await self._stack.enter_async_context(self._http)
        await self._stack.enter_async_context(self._streams_http)
        await self._stack.enter_async_context(self._unshared_http)
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
        shared = self._streams_http
        client = shared if request.idempotent else self._unshared_http
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

    async def report(self, vm: model.Vm, now: float) -> model.VmReport | None:
        """Request the report of a VM.

        :param vm: the VM.
        :param now: local monotonic time in seconds; the report is dated
            with the time of the request, so it never looks too new.
        :returns: the report, or None without a usable response.
        """
        try:
            response = await self._http.get(f"{vm.address}/v1/status")
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
            response = await self._http.get(
                f"{vm.address}/v1/cache-events", params={"after": after}
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
            response = await self._http.post(
                f"{vm.address}/v1/orders/{name}",
                content=body,
                headers=JSON_HEADERS,
            )
        except httpx.HTTPError as error:
            return OrderResult(False, repr(error))
        return OrderResult(not response.is_error, response.text)
