"""Steps for the lease on planning."""

import random

import behave
import trio
import trio.testing

from wasabilanding import dispatch
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import control
from wasabilanding.gateway import lease
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import memory_store
from wasabilanding import standins

GATHER_S = 1.2
BEAT_S = 0.05
SEED = 5


class _Node:
    """One node that follows the store and wants to plan."""

    def __init__(self, store, clock, rng):
        self.store = memory_store.MemoryStore(store, clock)
        self.view = cluster_view_module.ClusterView(
            plain_wire, trio.current_time
        )
        self.view.table = fakes.table("safe", False, 1)
        self.scope = trio.CancelScope()
        self.controller = control.Controller(
            fakes.SETTINGS,
            self.view,
            self.store,
            None,
            plain_wire,
            metrics.Metrics("n"),
            dispatch.Board(),
            fakes.SETTINGS.failure_domain,
            rng,
        )

    async def run(self):
        """Run until the node dies."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    cluster_view_module.follow_store,
                    self.view,
                    self.store,
                    lambda _: None,
                    GATHER_S,
                )
                nursery.start_soon(self.controller.run)


async def _beat(store):
    """Change the store often, as the heartbeats of endpoints do."""
    while True:
        await trio.sleep(BEAT_S)
        standing = store.get("own/beat")
        store.put("own/beat", "", standing.revision if standing else 0)


class _Play:
    """What happens, in order, on the mock clock."""

    def __init__(self, count):
        self.count = count
        self.steps = []
        self.planning = 0
        self.calls = []

    async def run(self):
        """Run all nodes and the steps."""
        self.clock = memory_store.PausedClock()
        store = standins.Store(self.clock)
        rng = random.Random(SEED)
        self.nodes = [_Node(store, self.clock, rng) for _ in range(self.count)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_beat, store)
            for node in self.nodes:
                nursery.start_soon(node.run)
            for step in self.steps:
                await step()
            self.last = [n for n in self.nodes if n.controller.is_planning]
            alive = [n for n in self.nodes if not n.scope.cancel_called]
            self.planning = sum(n.controller.is_planning for n in alive)
            self.calls = [
                n.store.calls for n in alive if not n.view.active_planners
            ]
            nursery.cancel_scope.cancel()

    def planner(self):
        """Return the node that plans."""
        return next(n for n in self.nodes if n.view.active_planners)


@behave.given("{count:d} nodes of a failure domain that start at once")
def given_nodes(context, count):
    """Make nodes."""
    context.play = _Play(count)


@behave.when("{seconds:g} s pass")
def wait(context, seconds):
    """Wait."""

    async def step():
        await trio.sleep(seconds)

    context.play.steps.append(step)


@behave.when("the node that plans {ends}")
def end_planner(context, ends):
    """Stop the node, or let it die."""

    async def step():
        context.before = context.play.planner()
        if ends != "dies without a word":
            await context.before.controller.release()
        if ends != "gives notice and answers on":
            context.before.scope.cancel()

    context.play.steps.append(step)


@behave.when("the store is away for {seconds:g} s and keeps its leases")
def lose_store(context, seconds):
    """Let the store go away and come back."""

    async def step():
        context.before = context.play.planner()
        context.play.clock.stop()
        await trio.sleep(seconds)
        context.play.clock.go_on()

    context.play.steps.append(step)


@behave.then("it is another node than before")
def check_other(context):
    """Compare the nodes."""
    assert context.before not in context.play.last


@behave.then("it is the node that planned before")
def check_same(context):
    """Compare the nodes."""
    assert context.play.last == [context.before], context.play.last


@behave.then("{count:d} node plans")
def check_planning(context, count):
    """Run the nodes and count those that plan."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    suspended = lease.clocks.boot_time
    lease.clocks.boot_time = trio.current_time
    try:
        trio.run(context.play.run, clock=clock)
    finally:
        lease.clocks.boot_time = suspended
    assert context.play.planning == count, context.play.planning


@behave.then("the other nodes made at most {most:d} calls each on their way")
def check_calls(context, most):
    """Compare the calls."""
    assert max(context.play.calls) <= most, context.play.calls
