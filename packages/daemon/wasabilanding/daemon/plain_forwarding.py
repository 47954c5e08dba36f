"""Forwards calls to plain services.

Explanation
===========

A call is sent to the addresses of its own failure domain first. It is retried
at the next address when connecting failed, and, for an idempotent method,
also when the connection broke before the answer. A non-idempotent call uses a
new connection: the service may close a reused one while the call is being
sent, which leaves unknown whether the call ran.

An answer without a length ends with its connection. It looks the same if the
service ends within it, so it counts as complete only if the service still
accepts connections.
"""

import collections
import collections.abc
import contextlib

import httpx
import trio

from wasabilanding import callers
from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import selection
from wasabilanding import model
from wasabilanding import retries

DEFAULT_DEADLINE_MS = 30_000
MAX_DEADLINE_MS = 3_600_000
MS_PER_S = 1000
CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 2.0
TIMEOUT = httpx.Timeout(None, connect=CONNECT_TIMEOUT_S, pool=1.0)
IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
)
# RFC 9110, section 7.6.1, and headers that the HTTP libraries set.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-encoding",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "remote-addr",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding"))
DEFAULT_PORTS = {"http": 80, "https": 443}
# RFC 9110: their responses have no body.
BODILESS_STATUSES = (204, 304)

Header = tuple[str, str]


def _end_to_end(
    headers: collections.abc.Iterable[Header],
) -> tuple[Header, ...]:
    pairs = tuple(headers)
    named = {
        option.strip().lower()
        for name, text in pairs
        if name.lower() == "connection"
        for option in text.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _addresses(profile: model.PlainProfile, failure_domain: str) -> list[str]:
    own = profile.addresses.get(failure_domain, ())
    others = [
        address
        for domain, addresses in sorted(profile.addresses.items())
        if domain != failure_domain
        for address in addresses
    ]
    return [*own, *others]


def _header(call: callers.PlainRequest, wanted: str, default: str) -> str:
    for name, text in call.headers.items():
        if name.lower() == wanted:
            return text
    return default


def deadline_s(call: callers.PlainRequest) -> float:
    """Return the time limit of a call in seconds.

    :param call: the call.
    :raises wasabilanding.callers.InvalidRequest: when its header is invalid.
    """
    text = _header(call, "x-deadline-ms", str(DEFAULT_DEADLINE_MS))
    if not text.isdecimal() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise callers.InvalidRequest(
            f"header X-Deadline-Ms: {text!r} is not an integer from 1 to "
            f"{MAX_DEADLINE_MS}"
        )
    return int(text) / MS_PER_S


def _failure(error: httpx.HTTPError) -> model.Outcome:
    if isinstance(
        error, (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
    ):
        return model.not_run(model.Reason.CONNECT_FAILED, repr(error))
    return model.may_have_run(model.Reason.CONNECTION_LOST, repr(error))


def _ends_with_connection(method: str, response: httpx.Response) -> bool:
    """Return whether nothing else marks the end of an answer's body."""
    if method == "HEAD" or response.status_code in BODILESS_STATUSES:
        return False
    return FRAMING_HEADERS.isdisjoint(response.headers)


async def _accepts_connections(url: httpx.URL) -> bool:
    """Return whether a new connection to a service is accepted."""
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(
                url.host, url.port or DEFAULT_PORTS[url.scheme]
            )
        except OSError:
            return False
        await stream.aclose()
        return True
    return False


class PlainForwarder:
    """Forwards calls and limits those in flight by customer.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._budget = retries.RetryBudget()
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """Number of calls in flight."""
        return self._in_flight.total()

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    async def forward(
        self, service: str, path: str, call: callers.PlainRequest
    ) -> callers.PlainResponse:
        """Forward a call to a plain service.

        :param service: name of the service.
        :param path: path below its base URL.
        :param call: the call.
        :raises wasabilanding.callers.RequestFailed: when no answer was
            received.
        """
        profile = self._profile(service)
        if ".." in path.split("/"):
            raise callers.InvalidRequest(f"path: {path!r} contains '..'")
        deadline = self._context.now() + deadline_s(call)
        customer = _header(call, "x-customer", "default")
        with self._admitted(customer):
            self._budget.deposit(service, self._context.now())
            attempts = _Attempts(self._context, self._budget, service, call)
            addresses = _addresses(profile, self._context.failure_domain)
            return await attempts.run(addresses, path, deadline)

    def _profile(self, service: str) -> model.PlainProfile:
        selection.check_configured(self._context)
        entry = self._context.known.configuration.profile_of(service)
        if entry is None or entry.profile.kind != "plain":
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.UNKNOWN_SERVICE,
                    f"plain service {service!r} does not exist",
                )
            )
        return entry.profile

    @contextlib.contextmanager
    def _admitted(self, name: str) -> collections.abc.Iterator[None]:
        customers = self._context.known.configuration.customers
        limit = customers.get(name, configuration.Customer()).max_in_flight
        own = self._in_flight[name]
        if limit and own >= limit:
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.CUSTOMER_LIMIT,
                    f"customer {name} has {own} calls in flight",
                    RETRY_AFTER_S,
                )
            )
        if self.in_flight >= self._context.settings.max_in_flight:
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.OVERLOADED,
                    f"{self.in_flight} calls are in flight",
                    RETRY_AFTER_S,
                )
            )
        self._in_flight[name] += 1
        try:
            yield
        finally:
            self._in_flight[name] -= 1
            if not self.in_flight:
                self._idle.set()


class _Attempts:
    """Attempts of one call."""

    def __init__(
        self,
        context: context_module.Context,
        budget: retries.RetryBudget,
        service: str,
        call: callers.PlainRequest,
    ) -> None:
        self._context = context
        self._budget = budget
        self._service = service
        self._call = call
        self._may_have_run = False
        marker = _header(call, "x-non-idempotent", "false").lower()
        self._idempotent = (
            call.method in IDEMPOTENT_METHODS and marker != "true"
        )

    async def run(
        self, addresses: list[str], path: str, deadline: float
    ) -> callers.PlainResponse:
        """Send the call to one address after another until it is answered."""
        outcome = model.not_run(
            model.Reason.NO_REPLICA,
            f"service {self._service} has no endpoint",
            RETRY_AFTER_S,
        )
        for count, address in enumerate(addresses, start=1):
            answer = await self._attempt(f"{address}/{path}", deadline)
            if isinstance(answer, callers.PlainResponse):
                return answer
            outcome = answer
            if not self._should_retry(outcome, count, deadline):
                break
        raise callers.RequestFailed(
            retries.final_outcome(outcome, self._may_have_run)
        )

    def _should_retry(
        self, outcome: model.Outcome, count: int, deadline: float
    ) -> bool:
        made = retries.Attempts(
            count, deadline, self._idempotent, may_have_run=self._may_have_run
        )
        if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
            self._may_have_run = True
        step = retries.next_step(outcome, made, self._context.now())
        if isinstance(step, retries.GiveUp):
            return False
        return self._budget.spend(self._service, self._context.now())

    async def _attempt(
        self, url: str, deadline: float
    ) -> callers.PlainResponse | model.Outcome:
        with trio.move_on_at(deadline):
            try:
                return await self._send(url)
            except httpx.HTTPError as error:
                return _failure(error)
        return model.may_have_run(
            model.Reason.DEADLINE, "the deadline has passed"
        )

    async def _send(self, url: str) -> callers.PlainResponse:
        client = self._context.endpoints
        http = client.http if self._idempotent else client.unshared_http
        call = self._call
        response = await http.request(
            call.method,
            url,
            params=call.query,
            headers=_end_to_end(call.headers.items()),
            content=call.body,
            timeout=TIMEOUT,
        )
        if _ends_with_connection(call.method, response):
            if not await _accepts_connections(response.url):
                raise httpx.RemoteProtocolError(
                    "the answer ended together with its service"
                )
        return callers.PlainResponse(
            response.status_code,
            _end_to_end(response.headers.multi_items()),
            response.content,
        )
