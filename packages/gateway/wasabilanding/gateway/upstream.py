"""Connections to endpoints.

Each endpoint has its own connection pool, which is closed when the endpoint
is removed. A reply is read as it arrives. A body that ends before its framing
says so raises an error, so that a truncated reply never counts as complete.

Each request needs a permit. It is checked before the request is sent, also
after a new connection has been established, and records the reply's head.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import functools
import logging
import socket
import typing

import httpx
import trio

from wasabilanding import fleet
from wasabilanding.gateway import endpoint_connection
from wasabilanding.gateway import endpoint_transport
from wasabilanding.gateway import messages
from wasabilanding.gateway import reply_bounds
from wasabilanding import limits
from wasabilanding import model

CONNECT_TIMEOUT_S = 0.4
WRITE_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 0.6
CLOSE_TIMEOUT_S = 1.0
# Parsed base URLs of endpoints that are kept.
CACHED_URLS = 1024
# Lets the kernel detect dead connections.
TCP_KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
TIMEOUT = httpx.Timeout(
    None, connect=CONNECT_TIMEOUT_S, write=WRITE_TIMEOUT_S
).as_dict()
CALL_TIMEOUT = httpx.Timeout(
    CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
).as_dict()
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
JSON_HEADERS = [(b"content-type", b"application/json")]
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# An endpoint whose reply has waited for its share for longer is avoided.
MAX_WAITED_S = 0.25
# Reasons of attempts whose endpoint may be unreachable.
UNREACHABLE_REASONS = (
    model.Reason.CONNECT_FAILED,
    model.Reason.CONNECTION_LOST,
)
_LOG = logging.getLogger(__name__)


@functools.lru_cache(maxsize=CACHED_URLS)
def _url(text: str) -> httpx.URL:
    try:
        return httpx.URL(text)
    except httpx.InvalidURL as error:
        raise AttemptFailed(
            model.not_run(model.Reason.CONNECT_FAILED, repr(error))
        ) from None


class AttemptFailed(Exception):
    """An attempt did not yield a complete reply.

    :param outcome: its outcome.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


def _failure(error: httpx.HTTPError) -> AttemptFailed:
    if isinstance(error, NOT_SENT_ERRORS):
        return AttemptFailed(
            model.not_run(model.Reason.CONNECT_FAILED, repr(error))
        )
    return AttemptFailed(
        model.may_have_run(model.Reason.CONNECTION_LOST, repr(error))
    )


def bound_failure(error: reply_bounds.BoundExceeded) -> AttemptFailed:
    """Log that a reply is too large; return the failure of its attempt.

    :param error: the bound that it breaks.
    """
    _LOG.warning("reply is given up: %s", error)
    return AttemptFailed(
        model.may_have_run(model.Reason.CONNECTION_LOST, str(error))
    )


class Purpose(enum.Enum):
    """What a request to an endpoint is for.

    A caller's request and an order that begins something are not sent to an
    endpoint that leaves; a report, or an order that ends its service, may be.
    A caller's request to an endpoint with a limit needs a grant. One that is
    relayed goes to another node instead of an endpoint.
    """

    CALLER = "caller"
    RELAY = "relay"
    GRANTED = "granted"
    PLACEMENT = "placement"
    CONTROL = "control"


class Permit:
    """Permission to send one request to an endpoint; this one always lasts."""

    def check(self) -> None:
        """Check that the request may still be sent.

        :raises AttemptFailed: if not.
        """

    def record_reply(
        self, status: int, headers: list[messages.Header]
    ) -> messages.EndpointNotice:
        """Record the head of the reply and return what it says.

        :param status: HTTP status.
        :param headers: headers, names in lower case.
        """
        return messages.EndpointNotice()

    def record_excess(self, waited_s: float) -> None:
        """Record that the reply takes more than the endpoint's share.

        :param waited_s: seconds for which it had to wait.
        """


@contextlib.contextmanager
def admit_all(
    endpoint: fleet.Endpoint, purpose: Purpose
) -> collections.abc.Iterator[Permit]:
    """Yield a permit without conditions.

    :param endpoint: endpoint to send a request to.
    :param purpose: what the request is for.
    """
    yield Permit()


Admit = collections.abc.Callable[
    [fleet.Endpoint, Purpose], contextlib.AbstractContextManager[Permit]
]


@dataclasses.dataclass(frozen=True)
class CallReply:
    """Reply to a call of an endpoint's control API.

    :param status: HTTP status.
    :param body: the body.
    :param notice: what its head says about the endpoint.
    :param ends_with_connection: whether nothing but the end of the connection
        marks the end of the body, which may then be cut.
    """

    status: int
    body: bytes
    notice: messages.EndpointNotice
    ends_with_connection: bool = False


class Reply:
    """A reply whose body has not been read yet.

    :param response: the HTTP response.
    :param permit: permit of the request; records the reply's head.
    :param sent_at: local monotonic time in seconds from which the request
        was sent, on a connection that was established; infinite if unknown.
    """

    def __init__(
        self,
        response: httpx.Response,
        permit: Permit,
        sent_at: float = float("inf"),
    ) -> None:
        self._response = response
        self._permit = permit
        self._is_excessive = False
        # None for transports of tests.
        self._connection: endpoint_connection.EndpointConnection | None = (
            response.extensions.get(endpoint_transport.CONNECTION)
        )
        self.sent_at = sent_at
        self.status = response.status_code
        self.headers = [
            (name.lower(), value) for name, value in response.headers.raw
        ]
        self.notice = permit.record_reply(self.status, self.headers)
        names = {name for name, _ in self.headers}
        # Nothing but the end of the connection marks the end of its body.
        self.ends_with_connection = names.isdisjoint(FRAMING_HEADERS)

    @property
    def is_first(self) -> bool:
        """Whether it is the first reply on its connection."""
        return self._connection is None or self._connection.is_first_exchange

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives.

        :raises AttemptFailed: if it is truncated.
        """
        stream = typing.cast(httpx.AsyncByteStream, self._response.stream)
        try:
            async for chunk in stream:
                self._check_excess()
                yield chunk
        except httpx.HTTPError as error:
            raise _failure(error) from None

    def _check_excess(self) -> None:
        """Record once that the reply takes more than the endpoint's share."""
        if self._connection is None or self._is_excessive:
            return
        waited_s = self._connection.waited_s
        if waited_s > MAX_WAITED_S:
            self._is_excessive = True
            self._permit.record_excess(waited_s)

    async def pace(self, parts: int) -> None:
        """Let other tasks run; wait if the endpoint's share is exceeded.

        :param parts: parts of the reply that have been handled.
        """
        if self._connection is not None:
            await self._connection.pace(parts)
        await trio.lowlevel.checkpoint()

    async def bounded_chunks(
        self, what: str, max_bytes: int
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives, up to a bound.

        :param what: what the body is, for messages.
        :param max_bytes: greatest number of bytes.
        :raises AttemptFailed: if it is truncated or larger.
        """
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise bound_failure(
                    reply_bounds.BoundExceeded(what, max_bytes)
                )
            yield chunk

    async def read(self, what: str, max_bytes: int) -> bytes:
        """Return the whole body.

        :param what: what the body is, for messages.
        :param max_bytes: greatest number of bytes.
        :raises AttemptFailed: if it is truncated or larger.
        """
        chunks = self.bounded_chunks(what, max_bytes)
        return b"".join([chunk async for chunk in chunks])


class _Pool:
    """Connections to one start of an endpoint, and their requests.

    :param transport: the connections.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self.transport = transport
        self._in_flight = 0
        self._is_retired = False

    def begin(self) -> None:
        """Count a request that is sent."""
        self._in_flight += 1

    async def end(self) -> None:
        """Count a request that has ended; close the retired pool if unused."""
        self._in_flight -= 1
        await self._close_if_unused()

    async def retire(self) -> None:
        """Close the connections once no request is in flight on them."""
        self._is_retired = True
        await self._close_if_unused()

    async def _close_if_unused(self) -> None:
        if not self._is_retired or self._in_flight:
            return
        with _closing_scope():
            await self.transport.aclose()


async def _request(
    transport: httpx.AsyncBaseTransport, request: httpx.Request
) -> httpx.Response:
    try:
        return await transport.handle_async_request(request)
    except httpx.HTTPError as error:
        raise _failure(error) from None


def _closing_scope() -> trio.CancelScope:
    return trio.CancelScope(
        shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S
    )


def _do_nothing() -> None:
    """Allow a request to be sent, and record nothing of it."""


class _SendCheck:
    """Checks a permit once a connection is ready; records when it was.

    :param permit: permit of the request.
    :param check: checks the request itself.
    :param on_send: called once it is sent.
    """

    def __init__(
        self,
        permit: Permit,
        check: collections.abc.Callable[[], None],
        on_send: collections.abc.Callable[[], None],
    ) -> None:
        self._permit = permit
        self._check = check
        self._on_send = on_send
        # Local monotonic time in seconds.
        self.sent_at = float("inf")

    def __call__(self) -> None:
        """Check that the request may still be sent."""
        self._check()
        self._permit.check()
        self._on_send()
        self.sent_at = trio.current_time()


class Upstream:
    """Connection pools of the endpoints; a context manager.

    :param make_transport: creates the pool of an endpoint; tests replace it.
    :param bounds: bounds on replies.
    """

    def __init__(
        self,
        make_transport: collections.abc.Callable[[], httpx.AsyncBaseTransport]
        | None = None,
        bounds: reply_bounds.ReplyBounds = reply_bounds.DEFAULT,
    ) -> None:
        self.bounds = bounds
        self._read_shares = limits.ReadShares()
        self._make_pool = make_transport or self._make_transport
        # Connections to an earlier start may be dead without a reset.
        self._pools: dict[fleet.Incarnation, _Pool] = {}
        self._admit: Admit = admit_all

    def require_permits(self, admit: Admit) -> None:
        """Set what admits the requests; until then all are admitted.

        :param admit: yields a permit, or raises :class:`AttemptFailed`.
        """
        self._admit = admit

    async def __aenter__(self) -> "Upstream":
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        for endpoint in list(self._pools):
            await self.close_pool(endpoint)

    def _make_transport(self) -> httpx.AsyncBaseTransport:
        return endpoint_transport.EndpointTransport(
            self._read_shares.endpoint(), TCP_KEEPALIVE
        )

    @property
    def endpoints(self) -> collections.abc.Iterable[fleet.Incarnation]:
        """Endpoints that have a pool."""
        return tuple(self._pools)

    async def close_pool(self, endpoint: fleet.Incarnation) -> None:
        """Close an endpoint's connection pool once it is unused.

        Requests in flight go on to their end; later ones use a new pool.

        :param endpoint: the endpoint.
        """
        pool = self._pools.pop(endpoint, None)
        if pool is not None:
            await pool.retire()

    def _pool(self, endpoint: fleet.Endpoint) -> _Pool:
        incarnation = fleet.incarnation_of(endpoint)
        pool = self._pools.get(incarnation)
        if pool is None:
            pool = _Pool(self._make_pool())
            self._pools[incarnation] = pool
        return pool

    @contextlib.asynccontextmanager
    async def send(
        self,
        endpoint: fleet.Endpoint,
        method: str,
        target: bytes,
        headers: list[messages.Header],
        body: bytes,
        timeout: dict[str, float | None] = TIMEOUT,
        purpose: Purpose = Purpose.CALLER,
        check: collections.abc.Callable[[], None] = _do_nothing,
        on_send: collections.abc.Callable[[], None] = _do_nothing,
        request_id: str = "",
    ) -> collections.abc.AsyncIterator[Reply]:
        """Send a request and yield its reply.

        :param endpoint: endpoint to send it to.
        :param method: HTTP method.
        :param target: path and query, byte for byte.
        :param headers: all headers except the content length.
        :param body: body; the content length is derived from it.
        :param timeout: httpx timeouts of connect, read, write and pool.
        :param purpose: what the request is for.
        :param check: raises :class:`AttemptFailed` if this request may not be
            sent to the endpoint any more, like a permit.
        :param on_send: called in the step in which it is sent.
        :param request_id: identity of a caller's request; empty for none.
        :raises AttemptFailed: if no reply is received, or if nothing may be
            sent to the endpoint now.
        """
        check()
        with self._admit(endpoint, purpose) as permit:
            before_send = _SendCheck(permit, check, on_send)
            request = httpx.Request(
                method,
                _url(endpoint.base_url),
                headers=headers,
                content=body or None,
                extensions={
                    "target": target,
                    "timeout": timeout,
                    endpoint_transport.BEFORE_SEND: before_send,
                    endpoint_connection.REQUEST_ID: request_id,
                },
            )
            async with self._replied(endpoint, request) as response:
                yield Reply(response, permit, before_send.sent_at)

    @contextlib.asynccontextmanager
    async def _replied(
        self, endpoint: fleet.Endpoint, request: httpx.Request
    ) -> collections.abc.AsyncIterator[httpx.Response]:
        pool = self._pool(endpoint)
        pool.begin()
        try:
            response = await _request(pool.transport, request)
            try:
                yield response
            finally:
                with _closing_scope():
                    await response.aclose()
        finally:
            await pool.end()

    async def call(
        self,
        endpoint: fleet.Endpoint,
        method: str,
        path: str,
        body: bytes,
        purpose: Purpose,
    ) -> CallReply:
        """Call an endpoint's control API and return the reply.

        :param endpoint: the endpoint.
        :param method: HTTP method.
        :param path: path of the call.
        :param body: JSON body.
        :param purpose: what the call is for.
        :raises AttemptFailed: if no complete reply is received, or if nothing
            may be sent to the endpoint now.
        """
        with trio.move_on_after(CALL_TIMEOUT_S):
            sent = self.send(
                endpoint,
                method,
                path.encode(),
                JSON_HEADERS,
                body,
                CALL_TIMEOUT,
                purpose,
            )
            async with sent as reply:
                if reply.notice.names_request:
                    raise AttemptFailed(
                        model.may_have_run(
                            model.Reason.CONNECTION_LOST,
                            f"{path}: the reply is to a caller's request",
                        )
                    )
                text = await reply.read(
                    f"reply to {path}", self.bounds.failure_bytes
                )
                return CallReply(
                    reply.status,
                    text,
                    reply.notice,
                    reply.ends_with_connection,
                )
        raise AttemptFailed(
            model.may_have_run(
                model.Reason.STALLED,
                f"{path}: no reply within {CALL_TIMEOUT_S} s",
            )
        )


IsReachable = collections.abc.Callable[
    [fleet.Endpoint], collections.abc.Awaitable[bool]
]


async def is_reachable(endpoint: fleet.Endpoint) -> bool:
    """Return whether an endpoint's address accepts a new connection.

    The kernel of a VM accepts it also for a process that stands still.

    :param endpoint: the endpoint.
    """
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        except endpoint_connection.ADDRESS_ERRORS:
            return False
        await stream.aclose()
        return True
    return False
