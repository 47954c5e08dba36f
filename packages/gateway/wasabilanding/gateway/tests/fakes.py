"""In-memory endpoints, caller and system for tests."""

import collections
import contextlib
import logging
import logging.handlers
import random

import httpx
import trio

from wasabilanding import dispatch
from wasabilanding.dispatch import silence
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import endpoint_guard
from wasabilanding.gateway import endpoint_transport
from wasabilanding.gateway import forwarding
from wasabilanding.gateway import inbound
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import reachability
from wasabilanding.gateway import relays
from wasabilanding.gateway import send_grants
from wasabilanding.gateway import settings as settings_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import limits
from wasabilanding import model
from wasabilanding import routes

HOST = "h.example"
HEADERS = (
    (b"host", HOST.encode()),
    (b"x-request", b"r1"),
    (b"x-deadline-s", b"10"),
    (b"x-model", b"large"),
)
TOKEN_S = 0.05
CONNECT_S = 0.002
# Longer than any silence after which another endpoint is tried.
PAUSE_S = 2.0
EVENTS_BEFORE_PAUSE = 2
# Longer than the silence after which another endpoint is tried.
QUEUED_S = 2.2
# Status and verdict of a node that does not have a request answered.
RELAY_VERDICTS = {
    "elsewhere": (503, relays.ELSEWHERE),
    "rejected": (503, relays.NOT_RUN),
    "perhaps": (502, relays.MAY_HAVE_RUN),
    # An endpoint has got the request and refused it.
    "stopping": (503, relays.ELSEWHERE),
}
# Requests for this path are never answered.
SLOW = b"/slow"
# Requests for this path are answered after a while, LATE_S by default.
LATE = b"/late"
LATE_S = 0.5
# More than a node holds back of an answer that is no stream.
LARGE_BYTES = 300_000
ODD_SCRIPTS = (
    *("cuthead", "cutlarge", "failtext", "large", "restart"),
    *("skip", "untitled"),
)
SETTINGS = settings_module.Settings(
    node="n1",
    failure_domain="z1",
    callers_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    store_address="127.0.0.1:3",
    retry_slack=120,
    # It has its share of the additional retries at once.
    first_start=True,
)


class _Body(httpx.AsyncByteStream):
    """A body that is sent part by part, and may break or go silent."""

    def __init__(self, parts, end, on_close=lambda: None):
        self._parts = parts
        self._end = end
        self._on_close = on_close

    async def aclose(self):
        """Record that the reply is not read any more."""
        self._on_close()

    async def __aiter__(self):
        if self._end == "late":
            await self._arrive_late()
        for number, part in enumerate(self._parts):
            if self._end != "late":
                await trio.sleep(TOKEN_S)
            if self._end == "pause" and number == EVENTS_BEFORE_PAUSE:
                await trio.sleep(PAUSE_S)
            yield part
        if self._end == "comment":
            yield b": still here\n\n"
            raise httpx.ReadError("reset")
        if self._end == "silent":
            await trio.sleep_forever()
        if self._end == "reset":
            raise httpx.ReadError("reset")

    async def _arrive_late(self):
        """Wait for bytes that arrive exactly at the silence timeout."""
        arrived = trio.Event()

        async def arrive():
            await trio.sleep(silence.SILENCE_TIMEOUT_S)
            arrived.set()

        trio.lowlevel.spawn_system_task(arrive)
        await arrived.wait()


def _odd_reply(script, count, request, headers):
    """Return a reply that does not go on where a stream broke off.

    :param script: "failtext" (a failure with events as its body), "untitled"
        (an event without an id), "skip N" (without the next event),
        "restart N" (from the beginning), "large" (a body of
        :data:`LARGE_BYTES` that is no stream), "cutlarge" (the same, cut),
        "cuthead" (the connection ends in the head).
    :param count: number of events.
    :param request: the request.
    :param headers: headers of a reply.
    """
    if script == "cuthead":
        raise httpx.RemoteProtocolError("cut in the head")
    if script in ("large", "cutlarge"):
        end = "reset" if script == "cutlarge" else ""
        return httpx.Response(
            200, headers=headers, stream=_Body([b"x" * LARGE_BYTES], end)
        )
    headers["x-events"] = "1"
    text = b"data: error\n\n"
    first = int(request.headers.get("x-resumes-after", "-1")) + 1
    parts = {
        "failtext": [b"id: %d\n" % first + text],
        "untitled": [text],
        "skip": _events(request, count)[1:],
        "restart": [_event(number) for number in range(count)],
    }[script]
    status = 500 if script == "failtext" else 200
    return httpx.Response(status, headers=headers, stream=_Body(parts, ""))


def _split_notice(script):
    """Return the headers of a notice, and the script without it."""
    word, _, rest = script.partition(" ")
    if word == "leaving":
        return {"x-leaving": "1"}, rest
    if word == "limit":
        text, _, rest = rest.partition(" ")
        return {"x-limit": text}, rest
    if word == "cold":
        text, _, rest = rest.partition(" ")
        return {"x-cold-s": text}, rest
    if word == "busy":
        text, _, rest = rest.partition(" ")
        return {"retry-after": text}, rest
    return {}, script


async def _end_late():
    """Wait forever; end some time after a cancellation."""
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            await trio.sleep(0.001)


def _event(number):
    return f"id: {number}\ndata: {number}\n\n".encode()


def _spaced_events(request, count):
    """Return the events of a stream whose numbers are even."""
    first = int(request.headers.get("x-resumes-after", "-2")) + 2
    return [_event(number) for number in range(first, 2 * count, 2)]


def _events(request, count):
    """Return the events of a stream that a request asks for."""
    first = int(request.headers.get("x-resumes-after", "-1")) + 1
    return [_event(number) for number in range(first, count)]


class FakeEndpoints:
    """Endpoints with scripted behaviour that count the requests they run.

    :param scripts: behaviour of each endpoint, by identity: "answer",
        "events N" (N events), "reset N" or "silent N" (after N events),
        "late N" (N events, the first exactly at the silence timeout),
        "closing N" (N events, then the connection ends without a mark of
        the end), "dying N" (the same, and the endpoint ends),
        "queued N" (N events after :data:`QUEUED_S`), "pause N" (N events, a
        pause of :data:`PAUSE_S` before the third), "comment" (one comment,
        then a reset), "refuse", "decline" (the same, after the time of an
        answer), "fail", "foreign" (a reply to another request),
        "unreachable", "crash" (the endpoint ends when it has run a request),
        "mute" (no reply), "hang" (it runs a request and does not reply),
        "dark" (it neither replies nor accepts connections), "clinging" (no
        reply, and a cancelled request ends some time later). In front of it,
        "leaving" announces the endpoint's shutdown, "busy TEXT" asks to
        receive nothing, "limit TEXT" names a limit, and "cold TEXT" states for
        how long it stays cold.
    """

    def __init__(self, scripts):
        self.scripts = scripts
        # Requests that an endpoint runs concurrently, as it registers them.
        self.slots = 9
        # Requests at an endpoint now, and the most so far.
        self.present = collections.Counter()
        self.most_present = 0
        # Refusals by each endpoint before it follows its script.
        self.refusals = collections.Counter()
        # Time in seconds until a connection is established.
        self.connect_s = 0.0
        # Time in seconds that requests for the path LATE take.
        self.late_s = LATE_S
        self.draw_late_s = lambda: self.late_s
        self.runs = collections.Counter()
        self.arrivals = []
        self.closed_at = {}
        self.arrival_times = []
        # Endpoints that have ended, by the target and body of the request.
        self.ended = collections.Counter()
        # A request for one of these paths ends each endpoint that runs it.
        self.ending_paths = set()
        # An answer on one of these parts of a prompt ends its endpoint.
        self.ending_parts = set()

    def endpoint(self, name):
        """Return an endpoint's registration.

        :param name: its identity.
        """
        number = list(self.scripts).index(name) + 1
        return fleet.Endpoint(
            name, "service", f"10.0.0.{number}", 80, "z1", slots=self.slots
        )

    async def is_reachable(self, endpoint):
        """Return whether an endpoint accepts connections.

        :param endpoint: its registration.
        """
        if self.scripts[endpoint.endpoint_id] == "dark":
            await trio.sleep(upstream_module.CONNECT_TIMEOUT_S)
            return False
        await trio.sleep(CONNECT_S)
        return self.scripts[endpoint.endpoint_id] != "unreachable"

    async def handle(self, request):
        """Reply to a request.

        :param request: the request.
        """
        number = int(request.url.host.rpartition(".")[2]) - 1
        name = list(self.scripts)[number]
        self.present[name] += 1
        self.most_present = max(self.most_present, self.present[name])
        try:
            return await self._handle(name, request)
        finally:
            self.present[name] -= 1

    async def _handle(self, name, request):
        notice, script = _split_notice(self.scripts[name])
        if self.refusals[name]:
            self.refusals[name] -= 1
            script = "refuse"
        script, _, count = script.partition(" ")
        if self.connect_s:
            await trio.sleep(self.connect_s)
        request.extensions[endpoint_transport.BEFORE_SEND]()
        self.arrivals.append((name, dict(request.headers)))
        self.arrival_times.append((name, trio.current_time()))
        if script == "unreachable":
            raise httpx.ConnectError("refused")
        if script == "hang":
            self.runs[name] += 1
        is_mute = script in ("mute", "hang", "dark")
        if is_mute or request.extensions["target"] == SLOW:
            await trio.sleep_forever()
        if request.extensions["target"] == LATE and script != "refuse":
            await trio.sleep(self.draw_late_s())
        if script == "decline":
            script = "refuse"
        if script == "queued":
            await trio.sleep(QUEUED_S)
        if request.extensions["target"] in self.ending_paths:
            script = "crash"
        names = request.headers.get(plain_wire.PARTS.decode(), "").split(",")
        parts = {name.partition(":")[0].strip() for name in names}
        if self.ending_parts & parts:
            script = "crash"
        if script == "crash":
            await self._crash(name, request)
        if script == "clinging":
            await _end_late()
        if script not in ("refuse", "foreign", *RELAY_VERDICTS):
            self.runs[name] += 1
        if script == "dying":
            self.scripts[name] = "unreachable"
        response = self._response(
            script, int(count or 0), request, lambda: self._note_close(name)
        )
        response.headers.update(notice)
        return response

    async def _crash(self, name, request):
        self.runs[name] += 1
        body = await request.aread()
        await trio.sleep(TOKEN_S)
        if self.scripts[name] != "unreachable":
            self.ended[request.extensions["target"], body] += 1
        self.scripts[name] = "unreachable"
        raise httpx.ReadError("reset")

    def _note_close(self, name):
        self.closed_at[name] = trio.current_time()

    def _response(self, script, count, request, on_close):
        sent = request.headers.get("x-request", "")
        headers = {"x-request": sent, "x-endpoint": "yes"}
        if script in ("closing", "dying"):
            headers["x-events"] = "1"
            return httpx.Response(
                200,
                headers=headers,
                stream=_Body(_events(request, count), script, on_close),
            )
        headers["transfer-encoding"] = "chunked"
        if script in RELAY_VERDICTS:
            status, verdict = RELAY_VERDICTS[script]
            headers[relays.VERDICT.decode()] = verdict.decode()
            if script == "stopping":
                headers[relays.REACHED.decode()] = "1"
            return httpx.Response(
                status, headers=headers, stream=_Body([], "")
            )
        if script == "answer":
            return httpx.Response(
                200, headers=headers, stream=_Body([b"ok"], "")
            )
        if script == "refuse":
            headers["x-not-run"] = "1"
            return httpx.Response(503, headers=headers, stream=_Body([], ""))
        if script == "fail":
            return httpx.Response(500, headers=headers, stream=_Body([], ""))
        if script == "foreign":
            headers["x-request"] = "another"
            return httpx.Response(200, headers=headers, stream=_Body([], ""))
        if script in ODD_SCRIPTS:
            return _odd_reply(script, count, request, headers)
        headers["x-events"] = "1"
        parts = _events(request, count)
        if script.startswith("spaced"):
            parts = _spaced_events(request, count)
            script = "reset" if script == "spacedreset" else "events"
        if script == "comment":
            parts = []
        elif script not in ("events", "late", "pause", "queued"):
            parts.append(b"id: 99\ndata: cut")
        return httpx.Response(
            200, headers=headers, stream=_Body(parts, script, on_close)
        )


class Caller:
    """Records the answer to one request.

    :param read_s: seconds until it has read a part of the body.
    """

    def __init__(self, read_s=0.0):
        self._read_s = read_s
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.took_s = 0.0
        self.ended_at = 0.0

    async def send(self, message):
        """Record a part of the answer.

        :param message: ASGI message.
        """
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        await trio.sleep(self._read_s)
        self.body += message["body"]
        self.is_whole = not message["more_body"]


def table(kind, resumable, attempts, timeout_s=8.0, holders=None):
    """Return a routing table of one route.

    :param kind: kind of its requests.
    :param resumable: whether streams may resume at another endpoint.
    :param attempts: number of endpoints that may run one request.
    :param timeout_s: the route's timeout in seconds.
    :param holders: customers with their keys.
    """
    route = routes.Route(
        name="r",
        host=HOST,
        prefix="/",
        kind=routes.RequestKind(kind),
        resumable=resumable,
        timeout_s=timeout_s,
        latency_goal_s=0.3,
        event_gap_s=0.2,
        priority=1,
        max_attempts=attempts,
        public=holders is None,
        targets=(routes.Target("service"),),
    )
    service = routes.RoutedService("service", 100, None)
    limits = routes.CallerLimits()
    return routes.RoutingTable(1, (route,), (service,), limits, holders)


@contextlib.contextmanager
def log_of(module):
    """Collect the log records of a module.

    :param module: its name.
    """
    logger = logging.getLogger(module)
    handler = logging.handlers.BufferingHandler(1000)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler.buffer
    finally:
        logger.removeHandler(handler)


def grants(node="n1"):
    """Return grants of a node that knows no other node.

    :param node: name of the node.
    """
    return send_grants.SendGrants(metrics.Metrics(node), random.Random(node))


class FirstRandom(random.Random):
    """Draws the first of several, so that attempts follow the scripts."""

    def choices(self, population, weights=None, *, cum_weights=None, k=1):
        """Return the first item repeatedly."""
        return [population[0]] * k


class System:
    """A forwarder in front of fake endpoints.

    :param scripts: behaviour of each endpoint.
    :param found: routing table; None for none.
    :param settings: settings of the node.
    """

    wire = plain_wire
    # Of each request.
    headers = HEADERS

    def __init__(self, scripts, found, settings=SETTINGS):
        self.settings = settings
        self.waiting_reports = limits.WaitingReports()
        # The node's memory; None for no bound.
        self.account = None
        self._forwarder = None
        self.caller_read_s = 0.0
        # Time in seconds at which callers close; only their sockets tell.
        self.callers_close_at = float("inf")
        self.endpoints = FakeEndpoints(scripts)
        self.view = cluster_view_module.ClusterView(
            self.wire, trio.current_time
        )
        self.view.table = found
        self.view.revision = model.StoreRevision(number=1)
        self.tracker = dispatch.EndpointTracker()
        self.reported = []
        self.reported_leaving = []
        self.metrics = metrics.Metrics("n1")
        self.grants = grants()
        self.grants.cold.follow(self.view)
        self.grants.cold.was_used = self.tracker.was_used
        self.guard = endpoint_guard.EndpointGuard(
            self.view,
            self.tracker,
            self.wire,
            self.metrics,
            self.grants,
            self.reported_leaving.append,
            random.Random(1),
        )
        self.crash_guard = crash_guard.CrashGuard(
            self.view,
            self.tracker,
            self.metrics,
            self.endpoints.is_reachable,
        )
        self.reachability = reachability.Reachability(
            self.view,
            self.metrics,
            random.Random(1),
            self.endpoints.is_reachable,
        )
        self.relays = relays.Relays("z1", self.tracker, random.Random(1))
        for name in scripts:
            self.view.registry.put(self.endpoints.endpoint(name))

    def upstream(self):
        """Return connections to the endpoints."""
        found = upstream_module.Upstream(
            lambda: httpx.MockTransport(self.endpoints.handle)
        )
        found.require_permits(self.guard.admit)
        return found

    @contextlib.asynccontextmanager
    async def forwarder(self):
        """Yield the forwarder; all requests inside the context share it."""
        if self._forwarder is not None:
            yield self._forwarder
            return
        async with self.upstream() as upstream:
            self._forwarder = forwarding.Forwarder(
                self.settings,
                self.view,
                upstream,
                self.wire,
                self.metrics,
                self.tracker,
                self.reported.append,
                self.crash_guard,
                self.grants,
                self.reachability,
                self.relays,
                FirstRandom(1),
                self.waiting_reports,
                self.account,
            )
            try:
                yield self._forwarder
            finally:
                self._forwarder = None

    async def ask(
        self, headers=(), target=b"/a", body=b"body", is_relayed=False
    ):
        """Send a request and return the caller with its answer.

        :param headers: additional headers.
        :param target: path and query.
        :param body: body of the request.
        :param is_relayed: whether another node hands it to this one.
        """
        caller = Caller(self.caller_read_s)
        path = target.decode().partition("?")[0]
        head = messages.RequestHead(
            "POST", target, path, (*self.headers, *headers)
        )
        response = inbound.ResponseWriter(
            caller.send,
            lambda: False,
            has_caller_closed=lambda: (
                trio.current_time() >= self.callers_close_at
            ),
        )
        begun_at = trio.current_time()
        async with self.forwarder() as forwarder:
            handle = forwarder.handle
            if is_relayed:
                handle = forwarder.handle_relayed
            with trio.CancelScope() as scope:
                response.end_request = scope.cancel
                await handle(head, body, response)
        caller.ended_at = trio.current_time()
        caller.took_s = caller.ended_at - begun_at
        return caller
