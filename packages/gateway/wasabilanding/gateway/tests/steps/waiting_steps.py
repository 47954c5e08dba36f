"""Steps for the waiting of requests at a node."""

import dataclasses

import behave
import trio
import trio.testing

from wasabilanding.gateway.tests import fakes

HTTP_OK = 200
NOT_RUN = 503
ENDED_S = 30.0
POOL = "service/"


class _Run:
    """A node and the requests that are sent to it."""

    def __init__(self, scripts):
        names = [part.strip() for part in scripts.split(",")]
        self._scripts = {f"e{i}": part for i, part in enumerate(names)}
        self.system = fakes.System({}, fakes.table("safe", False, 3, 30.0))
        self.system.settings = dataclasses.replace(
            self.system.settings, admission=True
        )
        self.system.endpoints = fakes.FakeEndpoints(self._scripts)
        self.system.endpoints.slots = 1
        for name in self._scripts:
            endpoint = self.system.endpoints.endpoint(name)
            self.system.view.registry.put(endpoint)
        self.warm_up = 0
        self.report = None
        self.interrupt = None
        self.callers = []
        self.waiting_at_end = None

    async def run(self, count, limit_s):
        """Send requests at once; wait until all have ended."""
        self.system.view.mark_current(0.0)
        async with (
            self.system.forwarder() as forwarder,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(forwarder.waiting_room.run)
            for _ in range(self.warm_up):
                await self._ask(30.0, [])
            if self.report is not None:
                self.report()
            with trio.move_on_after(ENDED_S):
                async with trio.open_nursery() as callers:
                    for _ in range(count):
                        callers.start_soon(self._ask, limit_s, self.callers)
                    if self.interrupt is not None:
                        await self.interrupt(forwarder, callers)
            self.waiting_at_end = forwarder.waiting_room.waiting
            nursery.cancel_scope.cancel()

    async def _ask(self, limit_s, callers):
        header = (b"x-deadline-s", str(limit_s).encode())
        caller = await self.system.ask((header,), target=fakes.LATE)
        callers.append(caller)


@behave.given('a node with admission control and endpoints that "{scripts}"')
def given_node(context, scripts):
    """Make the node."""
    context.run = _Run(scripts)


@behave.given("{count:d} requests have been answered")
def given_warm_up(context, count):
    """Let the node learn how long requests take."""
    context.run.warm_up = count


@behave.given("each endpoint refuses {count:d} requests first")
def given_refusals(context, count):
    """Set the number of refusals."""
    endpoints = context.run.system.endpoints
    for name in endpoints.scripts:
        endpoints.refusals[name] = count


@behave.given("a retry budget of {tokens:d}")
def given_budget(context, tokens):
    """Set the retries that are allowed."""
    context.run.system.settings = dataclasses.replace(
        context.run.system.settings, retry_ratio=0.0, retry_slack=12 * tokens
    )


@behave.given(
    "another node reports {count:d} waiting requests of each of "
    "{customers:d} customers"
)
def given_report(context, count, customers):
    """Record the report of another node when the requests are sent."""
    waiting = {POOL: {f"c{i}": count for i in range(customers)}}
    reports = context.run.system.waiting_reports

    def report():
        reports.update("n2", waiting, {POOL: 0.1}, trio.current_time())

    context.run.report = report


@behave.given(
    "another node reported {count:d} waiting requests of each of "
    "{customers:d} customers {ago:g} s ago"
)
def given_old_report(context, count, customers, ago):
    """Record an outdated report of another node."""
    waiting = {POOL: {f"c{i}": count for i in range(customers)}}
    reports = context.run.system.waiting_reports

    def report():
        reports.update("n2", waiting, {}, trio.current_time() - ago)

    context.run.report = report


@behave.when(
    "{count:d} requests with a time limit of {limit:g} s are sent at once"
)
def plan_requests(context, count, limit):
    """Remember the requests; the first check sends them."""
    context.count = count
    context.limit_s = limit
    context.is_sent = False


@behave.when("the callers disconnect after {seconds:g} s")
def plan_disconnects(context, seconds):
    """Cancel all requests, as the listener does."""

    async def interrupt(forwarder, callers):
        await trio.sleep(seconds)
        assert sum(forwarder.waiting_room.waiting[POOL].values()) > 0
        callers.cancel_scope.cancel()

    context.run.interrupt = interrupt


@behave.when("the node {does} after {seconds:g} s")
def plan_stop(context, does, seconds):
    """Let the node begin to stop, or not."""

    async def interrupt(forwarder, callers):
        await trio.sleep(seconds)
        if does == "begins to stop":
            forwarder.waiting_room.close()

    context.run.interrupt = interrupt


def _callers(context):
    """Send the requests, once; return the callers with their answers."""
    if not context.is_sent:
        context.is_sent = True
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(context.run.run, context.count, context.limit_s, clock=clock)
    return context.run.callers


@behave.then(
    "{served:d} of them or more are served, none after its time limit"
)
def check_served(context, served):
    """Count the answers."""
    callers = _callers(context)
    assert len(callers) == context.count, len(callers)
    found = [c for c in callers if c.status == HTTP_OK]
    assert len(found) >= served, len(found)
    assert max(c.took_s for c in found) <= context.limit_s


@behave.then(
    "the others are refused within {bound:g} s, to return within {after:g} s"
)
def check_refused(context, bound, after):
    """Check the answers to the others."""
    for caller in _callers(context):
        if caller.status != HTTP_OK:
            assert caller.status == NOT_RUN, caller.status
            assert caller.took_s <= bound, caller.took_s
            assert 0 < float(caller.headers[b"retry-after"]) <= after


@behave.then("no endpoint had more than {most:d} requests at a time")
def check_present(context, most):
    """Check the requests at the endpoints."""
    found = context.run.system.endpoints.most_present
    assert found <= most, found


@behave.then("the metrics show {most:d} refusals or fewer by forecast")
def check_metrics(context, most):
    """Compare the counter with the answers."""
    refused = [c for c in context.run.callers if c.status == NOT_RUN]
    counts = context.run.system.metrics.refusals
    labels = (("service", "service"), ("cause", "forecast"))
    assert counts[labels] == len(refused) <= most, counts


@behave.then("no request waits")
def check_none_waits(context):
    """Check the queue at the end."""
    _callers(context)
    assert context.run.waiting_at_end == {}, context.run.waiting_at_end


@behave.then(
    "{count:d} requests have been refused after {least:g} to {most:g} s, for "
    '"{reason}"'
)
def check_refused_late(context, count, least, most, reason):
    """Check the refusals of requests that waited."""
    found = [c for c in _callers(context) if c.status == NOT_RUN]
    assert len(found) == count, [c.status for c in context.run.callers]
    for caller in found:
        assert least <= caller.took_s <= most, caller.took_s
        assert reason.encode() in caller.body, caller.body


@behave.then("it gets {status:d} after {least:g} to {most:g} s")
def check_answer(context, status, least, most):
    """Check the answer to the only request."""
    (caller,) = _callers(context)
    assert caller.status == status, (caller.status, caller.body)
    assert least <= caller.took_s <= most, caller.took_s


@behave.then("the endpoints got {count:d} requests")
def check_arrivals(context, count):
    """Count what reached the endpoints."""
    found = len(context.run.system.endpoints.arrivals)
    assert found == count, found
