"""Steps for the limits that endpoints name."""

import bisect
import dataclasses
import random

import behave
import trio
import trio.testing

from wasabilanding import fleet
from wasabilanding.gateway import limit_messages
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import hints_steps
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding import membership

MAX_WAIT_S = 0.1
START_S = 0.5
E1 = dataclasses.replace(
    fakes.FakeEndpoints({"e1": ""}).endpoint("e1"), failure_domain="z0"
)
NAMED = fleet.incarnation_of(E1)


class Senders:
    """Nodes that want to send requests to one endpoint."""

    def __init__(self, nodes, domains, limit):
        self.names = [
            f"z{domain}-{number:03}"
            for domain in range(domains)
            for number in range(nodes)
        ]
        self.nodes = hints_steps.Nodes(
            {name: name.partition("-")[0] for name in self.names}
        )
        self.limit = limit
        self.loss = 0.0
        self.dead = {}
        self.learnt = []
        self.sent_at = []

    @property
    def owner(self):
        """Name of the node that keeps the limit."""
        own = [name for name in self.names if name.startswith("z0")]
        return membership.owner_of("e1", own)

    async def _want(self, name, interval_s, rng):
        await trio.sleep(START_S + rng.uniform(0, interval_s))
        while True:
            if trio.current_time() < self.dead.get(name, float("inf")):
                self._nursery.start_soon(self._acquire, name)
            await trio.sleep(rng.expovariate(1 / interval_s))

    async def _acquire(self, name):
        grants = self.nodes.grants[name]
        if not grants.is_limited(E1) or await grants.acquire(E1, MAX_WAIT_S):
            self.sent_at.append(trio.current_time())

    async def _learn(self, at, per_s):
        await trio.sleep(at)
        grants = self.nodes.grants[self.names[1]]
        grants.record_limit(NAMED, per_s, trio.current_time())

    def _begin(self, network):
        network.loss = self.loss
        network.dead_from = {
            self.nodes.address(name): at for name, at in self.dead.items()
        }
        for grants in self.nodes.grants.values():
            grants.record_limit(NAMED, self.limit, 0.0)
        for name in self.names:
            interval_s = len(self.names) / self._rate
            rng = random.Random(name)
            self._nursery.start_soon(self._want, name, interval_s, rng)
        for at, per_s in self.learnt:
            self._nursery.start_soon(self._learn, at, per_s)

    def run(self, rate, seconds):
        """Run all nodes for some time."""
        self._rate = rate
        self.seconds = seconds

        async def run():
            async with trio.open_nursery() as self._nursery:
                await self.nodes.run([self._begin, lambda network: seconds])
                self._nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.sent_at.sort()

    def rate_from(self, at):
        """Return the requests sent a second from a time on."""
        count = len(self.sent_at) - bisect.bisect_left(self.sent_at, at)
        return count / (self.seconds - at)


@behave.given(
    "{nodes:d} nodes in each of {domains:d} failure domains that know limit "
    "{limit:g} of e1"
)
def given_senders(context, nodes, domains, limit):
    """Make nodes that know a limit."""
    context.senders = Senders(nodes, domains, limit)


@behave.given("a share of {loss:g} of the datagrams is lost")
def given_loss(context, loss):
    """Lose datagrams."""
    context.senders.loss = loss


@behave.given(
    "{count:d} of the nodes of each failure domain are dead from {at:g} s on"
)
def given_dead(context, count, at):
    """Let nodes die, first the one that keeps the limit."""
    names = sorted(context.senders.names, key=_is_other(context.senders))
    for name in names[:count]:
        context.senders.dead[name] = at


def _is_other(senders):
    return lambda name: name != senders.owner


@behave.given("one node learns limit {limit} of e1 at {at:g} s")
def given_change(context, limit, at):
    """Change the limit that one node observes."""
    per_s = None if limit == "none" else float(limit)
    context.senders.learnt.append((at, per_s))


@behave.when(
    "together they want to send {rate:g} requests a second for {seconds:g} s"
)
def run_senders(context, rate, seconds):
    """Run the nodes."""
    context.senders.run(rate, seconds)


@behave.then(
    "in any {window:g} s from {since:g} s on at most {factor:g} x {limit:g} x "
    "{seconds:g} + {slack:d} are sent"
)
def check_windows(context, window, since, factor, limit, seconds, slack):
    """Compare all windows."""
    times = [at for at in context.senders.sent_at if at >= since]
    largest = max(
        bisect.bisect_left(times, at + window) - index
        for index, at in enumerate(times)
    )
    assert largest <= factor * limit * seconds + slack, largest


@behave.then("from {since:g} s on at least {least:g} a second are sent")
def check_least(context, since, least):
    """Compare the rate."""
    found = context.senders.rate_from(since)
    assert found >= least, found


@behave.then(
    "from {since:g} s on at least {least:g} and at most {most:g} a second are "
    "sent"
)
def check_rate(context, since, least, most):
    """Compare the rate."""
    found = context.senders.rate_from(since)
    assert least <= found <= most, found


@behave.when("the owner of e1 is asked twice under one number")
def ask_twice(context):
    """Repeat a question."""
    grants = context.senders.nodes.grants[context.senders.owner]
    notice = limit_messages.LimitNotice(*NAMED, 2.0, 0.0)

    def asked(number, now):
        question = limit_messages.SendQuestion(number, notice, 0, 0.0)
        return grants.answer(question, now)

    asked(1, 10.0)
    context.replies = [asked(2, 11.0), asked(2, 11.1)]
    context.next_reply = asked(3, 11.15)


@behave.then("both replies are the same")
def check_same(context):
    """Compare the replies."""
    first, second = context.replies
    assert first == second and first.is_granted, context.replies


@behave.then("one time is reserved")
def check_reserved(context):
    """Compare the wait until the next time."""
    assert not context.next_reply.is_granted
    assert 0 < context.next_reply.wait_s < 0.5, context.next_reply


@behave.given("e0 is known to take {limit:g} requests a second at {at:g} s")
def given_known_limit(context, limit, at):
    """Let the node learn a limit from another node."""

    async def learn():
        context.system.grants.record_limit(
            ("e0", 0), limit, trio.current_time()
        )

    notices_steps.timeline_of(context).add(at, learn)


@behave.then("e0 has a limit")
def check_limited(context):
    """Check that the endpoint is still limited."""
    endpoint = context.system.endpoints.endpoint("e0")
    assert context.system.grants.is_limited(endpoint)
