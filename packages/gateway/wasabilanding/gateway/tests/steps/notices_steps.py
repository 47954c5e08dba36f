"""Steps for what endpoints say about themselves in their replies."""

import contextlib
import dataclasses
import random

import behave
import trio
import trio.testing

from wasabilanding import fleet
from wasabilanding.gateway import control
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import loopback
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model

# Requests arrive within this time in seconds of being sent.
SOON_S = 0.01
MAX_REPLY_BYTES = 1000
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class _Planner:
    """Records the results of probes."""

    def __init__(self):
        self.results = []

    def record_probe_result(self, endpoint_id, result):
        """Record a result."""
        self.results.append((endpoint_id, result))


class _Timeline:
    """Changes of endpoints and requests, each at its time."""

    def __init__(self, system):
        self.system = system
        self._events = []
        self.callers = []
        self.call_sent = None
        self.planner = _Planner()

    def add(self, at, action):
        """Add an asynchronous action at a time in seconds."""
        self._events.append((at, action))

    async def ask(self, target=b"/a", body=b"body", headers=()):
        """Send a request."""
        index = len(self.callers)
        self.callers.append(None)
        self.callers[index] = await self.system.ask(headers, target, body)

    async def call(self, purpose):
        """Call the control API of the first endpoint."""
        async with self.system.upstream() as upstream:
            try:
                await upstream.call(
                    self.endpoint, "GET", "/report", b"", purpose
                )
            except upstream_module.AttemptFailed as error:
                reason = error.outcome.reason
                assert reason is model.Reason.ENDPOINT_HELD, error
                # Orders are counted by the first three characters.
                assert error.outcome.detail.startswith("held"), error
                self.call_sent = False
            else:
                self.call_sent = True

    async def query(self):
        """Query the membership of the first endpoint."""
        async with self.system.upstream() as upstream:
            controller = control.Controller(
                fakes.SETTINGS,
                self.system.view,
                None,
                upstream,
                plain_wire,
                self.system.metrics,
                self.system.tracker,
                "z1",
                random.Random(1),
            )
            await controller.query_membership(self.planner, self.endpoint)

    @property
    def endpoint(self):
        """The first endpoint's registration."""
        return self.system.endpoints.endpoint("e0")

    async def _act(self, at, action):
        await trio.sleep(at)
        await action()

    async def _run(self):
        self.system.view.mark_current(0.0)
        async with trio.open_nursery() as nursery:
            for at, action in self._events:
                nursery.start_soon(self._act, at, action)
        self.system.guard.observe()

    def run(self):
        """Run all actions on a mock clock, once."""
        if self._events:
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(self._run, clock=clock)
            self._events = []


def timeline_of(context):
    """Return the timeline, created at its first step."""
    if not hasattr(context, "timeline"):
        context.timeline = _Timeline(context.system)
    return context.timeline


def _times(text):
    return [] if text == "-" else [float(word) for word in text.split()]


@behave.given("a connection takes {seconds:g} s")
def given_connect_time(context, seconds):
    """Delay requests until they are sent."""
    context.system.endpoints.connect_s = seconds


@behave.given("e0 does nothing at {at:g} s")
def given_nothing(context, at):
    """Change nothing."""
    timeline_of(context)


@behave.given("e0 starts again at {at:g} s")
def given_restart(context, at):
    """Register another start of the endpoint."""
    timeline = timeline_of(context)

    async def restart():
        changed = dataclasses.replace(timeline.endpoint, started_at_ms=1)
        context.system.view.registry.put(changed)

    timeline.add(at, restart)


@behave.given("e0 turns {script} at {at:g} s")
def given_script(context, script, at):
    """Change the behaviour of the endpoint."""

    async def change():
        context.system.endpoints.scripts["e0"] = script

    timeline_of(context).add(at, change)


@behave.given("e0 announces its shutdown at {at:g} s")
def given_leaving(context, at):
    """Let the node learn of the shutdown."""

    async def announce():
        context.system.view.announce_shutdown(
            fleet.Incarnation("e0", 0), trio.current_time()
        )

    timeline_of(context).add(at, announce)


@behave.given("e0 is held for {seconds:g} s at {at:g} s")
def given_hold(context, seconds, at):
    """Hold the endpoint."""

    async def hold():
        now = trio.current_time()
        context.system.tracker.holds.hold("e0", now, seconds)

    timeline_of(context).add(at, hold)


@behave.given("the node observes its endpoints at {at:g} s")
def given_observation(context, at):
    """Let the node observe, as its clean-up does."""

    async def observe():
        context.system.guard.observe()

    timeline_of(context).add(at, observe)


@behave.when("requests are sent at {times} s")
def send(context, times):
    """Send requests and run the timeline."""
    timeline = timeline_of(context)
    for at in _times(times):
        timeline.add(at, timeline.ask)
    timeline.run()


@behave.when("a call for {purpose} is made at {at:g} s")
def call(context, purpose, at):
    """Call the endpoint's control API."""
    timeline = timeline_of(context)
    kind = upstream_module.Purpose(purpose)
    timeline.add(at, lambda: timeline.call(kind))


@behave.when("its membership is queried at {at:g} s")
def query(context, at):
    """Query the membership of the endpoint."""
    timeline = timeline_of(context)
    timeline.add(at, timeline.query)
    timeline.run()


@behave.then("the call is sent: {expected}")
def check_call(context, expected):
    """Check whether the call was sent."""
    context.timeline.run()
    assert context.timeline.call_sent is (expected == "yes")


@behave.then("the planner receives {count:d} results")
def check_results(context, count):
    """Compare the number of probe results."""
    results = context.timeline.planner.results
    assert len(results) == count, results


@behave.then("e0 receives requests at {times} s")
def check_arrivals(context, times):
    """Compare when the endpoint received requests or calls."""
    found = [
        at
        for name, at in context.system.endpoints.arrival_times
        if name == "e0"
    ]
    expected = _times(times)
    assert len(found) == len(expected), found
    for at, wanted in zip(found, expected, strict=True):
        assert wanted <= at <= wanted + SOON_S, found


@behave.then("the shutdown of e0 is reported to other nodes once")
def check_reported(context):
    """Compare the reports."""
    found = context.system.reported_leaving
    assert found == [("e0", 0)], found


@behave.then("no shutdown is reported to other nodes")
def check_not_reported(context):
    """Compare the reports."""
    assert not context.system.reported_leaving


@behave.then("e0 counts as leaving for {seconds:d} s")
def check_leaving(context, seconds):
    """Compare the metric."""
    found = context.system.metrics.longest_leaving_s
    assert found == {(): seconds}, found


@behave.then("the answer to the first is whole")
def check_whole(context):
    """Check that the answer is complete."""
    first = context.timeline.callers[0]
    assert first.status == 200 and first.is_whole, first.body


@behave.then("the last request gets {status:d} within {bound:g} s")
def check_last(context, status, bound):
    """Compare the status and the time of the last answer."""
    last = context.timeline.callers[-1]
    assert last.status == status, (last.status, last.body)
    assert last.took_s <= bound, last.took_s


@behave.then("it is told to return after {least:g} to {most:g} s")
def check_return(context, least, most):
    """Compare the Retry-After header of the last answer."""
    text = context.timeline.callers[-1].headers[b"retry-after"]
    assert least <= float(text) <= most, text


@behave.then('the metrics say "{line}"')
def check_metrics(context, line):
    """Compare one metric."""
    name, value = line.split()
    name, _, labels = name.rstrip("}").partition("{")
    key, _, label = labels.partition("=")
    wanted = f'{key}="{label}"' if labels else ""
    found = [
        text
        for text in context.system.metrics.text().decode().splitlines()
        if text.startswith(f"wasabilanding_{name}") and wanted in text
    ]
    assert [text.split()[-1] for text in found] == [value], found


@behave.given("an endpoint on loopback")
def given_listener(context):
    """Use a listener instead of a fake endpoint."""


class _LapsingPermit(upstream_module.Permit):
    """A permit that may lapse while a connection is established."""

    def __init__(self, lasts):
        self._lasts = lasts

    def check(self):
        """Fail if the permit lapses."""
        if not self._lasts:
            outcome = model.not_run(model.Reason.ENDPOINT_HELD, "lapsed")
            raise upstream_module.AttemptFailed(outcome)


async def _send_over_loopback(lasts):
    """Send a request and return what the endpoint received."""
    received = []

    async def serve(stream):
        received.append(await stream.receive_some())
        if received[-1]:
            await stream.send_all(RESPONSE)

    async with trio.open_nursery() as nursery:
        port = await loopback.listen(nursery, serve)
        endpoint = fleet.Endpoint("e0", "service", "127.0.0.1", port, "z1")
        async with upstream_module.Upstream() as upstream:
            upstream.require_permits(
                lambda endpoint, purpose: contextlib.nullcontext(
                    _LapsingPermit(lasts)
                )
            )
            with contextlib.suppress(upstream_module.AttemptFailed):
                async with upstream.send(
                    endpoint, "GET", b"/a", [(b"host", b"h")], b""
                ) as reply:
                    await reply.read("reply", MAX_REPLY_BYTES)
        # The connection was closed: the endpoint has read all there is.
        while not received:
            await trio.sleep(SOON_S)
        nursery.cancel_scope.cancel()
    return b"".join(received)


@behave.when("a request is sent to it whose permit {state} while it connects")
def send_over_loopback(context, state):
    """Send a request over a real connection."""
    context.received = trio.run(_send_over_loopback, state == "lasts")


@behave.then("it has received something: {expected}")
def check_received(context, expected):
    """Check whether any byte arrived."""
    assert bool(context.received) is (expected == "yes"), context.received
