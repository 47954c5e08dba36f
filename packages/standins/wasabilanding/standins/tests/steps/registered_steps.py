"""Steps for engines that register themselves."""

import behave
import httpx
import trio
import trio.testing

from wasabilanding import metadata
from wasabilanding.standins import platform_http
from wasabilanding.standins import registered_engine
from wasabilanding.standins import registered_engine_http
from wasabilanding.standins import store as store_module

SETTLE_DELAY_S = 3.0
CHECK_S = 0.1
# Method, path and body of what an engine receives.
CALLS = {
    "request": ("POST", "/a", b""),
    "report": ("GET", "/v1/report", b""),
    "order": ("POST", "/v1/orders", b'{"kind": "stage", "model": "large"}'),
}


class _Simulation:
    """Engines and the steps that are applied to them in order."""

    def __init__(self, names):
        self.names = names
        self.steps = []
        self.statuses = []
        self.fabric = None

    async def run(self, check):
        """Run the steps and then a check."""
        async with trio.open_nursery() as nursery:
            settings = registered_engine.RegisteredSettings()
            self.fabric = registered_engine.Fabric("prov", settings, nursery)
            for name in self.names:
                self.fabric.add(name, "writer", "prov-0")
            for step in self.steps:
                await step()
            result = await check()
            nursery.cancel_scope.cancel()
        return result

    def engine(self, name):
        """Return an engine."""
        return self.fabric.engines[name]

    def order(self, name, text):
        """Send an order to an engine and return its status."""
        kind, *words = text.split()
        engine = self.engine(name)
        if kind == "stage":
            return engine.stage(words[0])
        place = words[0], int(words[1])
        if kind == "join":
            return engine.join(*place, "large", tuple(words[2:]))
        if kind == "close":
            return engine.close(*place, at_once=False)
        return getattr(engine, kind)(*place)


def _run(context, check):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(context.simulation.run, check, clock=clock)


@behave.given("engines a, b and c of one fabric domain")
def given_engines(context):
    """Set the names of the engines."""
    context.simulation = _Simulation(("a", "b", "c"))


@behave.when('engine {name} receives the orders "{orders}"')
def tell(context, name, orders):
    """Send orders one after the other and record their statuses."""

    async def step():
        for order in orders.split("; "):
            if order == "wait":
                await trio.sleep(SETTLE_DELAY_S)
            else:
                status = context.simulation.order(name, order)
                context.simulation.statuses.append(str(status))

    context.simulation.steps.append(step)


@behave.given("engines a and b serve as one replica")
def given_replica(context):
    """Let two engines join one replica and open it."""

    async def step():
        for name in ("a", "b"):
            context.simulation.order(name, "join r1 5 a b")
        await trio.sleep(SETTLE_DELAY_S)
        context.simulation.order("a", "open r1 5")
        await trio.sleep(SETTLE_DELAY_S)

    context.simulation.steps.append(step)


@behave.when("engine b {fault}")
def inject_fault(context, fault):
    """Inject a fault into a member."""

    async def step():
        engine = context.simulation.engine("b")
        if fault == "is killed":
            engine.kill()
        elif fault == "is paused":
            engine.paused = True
        elif fault == "is stalled":
            engine.stalled = True
        elif fault == "is told to leave":
            engine.leave("r1", 5)

    context.simulation.steps.append(step)


@behave.when("{seconds:g} s pass in the fabric")
def wait(context, seconds):
    """Wait."""

    async def step():
        await trio.sleep(seconds)

    context.simulation.steps.append(step)


@behave.then('the statuses are "{statuses}"')
def check_statuses(context, statuses):
    """Run the orders and compare the statuses."""

    async def check():
        engine = context.simulation.engine("a")
        found = engine.membership
        return found.state.value if found else "none"

    context.state = _run(context, check)
    assert context.simulation.statuses == statuses.split(), (
        context.simulation.statuses
    )


@behave.then("engine a is in state {state}")
def check_state(context, state):
    """Compare the state of engine a."""
    if not context.simulation.statuses:

        async def check():
            engine = context.simulation.engine("a")
            return engine.membership.state.value, engine.can_run

        context.state, context.can_run = _run(context, check)
    assert context.state == state, context.state


@behave.then("engine a makes progress: {expected}")
def check_works(context, expected):
    """Compare whether engine a can run."""
    assert context.can_run is (expected == "yes")


@behave.then("the fabric reports a violation")
def check_violation(context):
    """Run the orders and count the violations."""

    async def check():
        return list(context.simulation.fabric.violations)

    assert len(_run(context, check)) == 1


@behave.when(
    "the platform is down from {start:g} s to {end:g} s and engines change: "
    "{change}"
)
def record_outage(context, start, end, change):
    """Record the outage and whether engines change during it."""
    context.outage = start, end, change == "yes"


async def _registered_after(simulation, start, end, changes, later_s):
    state = platform_http.PlatformState(store_module.Store())
    transport = httpx.ASGITransport(platform_http.platform_app(state))
    async with (
        metadata.ItemStore("http://platform", transport) as items,
        trio.open_nursery() as nursery,
    ):
        for engine in simulation.fabric.engines.values():
            nursery.start_soon(
                registered_engine_http.keep_registered, engine, items, "h", 1
            )
        await trio.sleep(start)
        state.faults.down = True
        await trio.sleep(end - start)
        if changes:
            for engine in simulation.fabric.engines.values():
                engine.staged = "large"
        state.faults.down = False
        await trio.sleep(later_s)
        found = state.store.items("endpoints/")
        nursery.cancel_scope.cancel()
    return len(found)


@behave.then("all engines are registered {seconds:g} s later")
def check_registered(context, seconds):
    """Run the outage and count the registrations."""

    async def check():
        return await _registered_after(
            context.simulation, *context.outage, seconds
        )

    found = _run(context, check)
    assert found == len(context.simulation.names), found


@behave.when("the replies of engine a change: {change}")
def change_notices(context, change):
    """Change what the replies of engine a say about it."""

    async def step():
        engine = context.simulation.engine("a")
        engine.announces_leaving = change == "announces its shutdown"
        if change.startswith("refuses"):
            engine.retry_after = "2"
        if change.endswith("restarts"):
            engine.restart()

    context.simulation.steps.append(step)


@behave.when("a {request} is sent to engine a")
def receive(context, request):
    """Send a request, an order or a request for a report to engine a."""

    async def step():
        fabric = context.simulation.fabric
        app = registered_engine_http.registered_app(
            fabric.engines["a"], fabric, lambda endpoint_id: None
        )
        method, path, body = CALLS[request]
        async with httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://a"
        ) as client:
            context.reply = await client.request(
                method, path, content=body, headers={"x-request": "r1"}
            )

    context.simulation.steps.append(step)


@behave.then(
    'the reply has status {status:d} and the headers "{name}: {value}"'
)
def check_reply(context, status, name, value):
    """Run the steps and compare the reply."""

    async def check():
        return list(context.simulation.fabric.arrivals)

    context.arrivals = _run(context, check)
    assert context.reply.status_code == status, context.reply
    assert str(context.reply.headers.get(name)) == value


@behave.then("the fabric records its arrival")
def check_arrival(context):
    """Compare the arrival with the reply."""
    (arrival,) = context.arrivals
    headers = context.reply.headers
    assert arrival.request_id == "r1"
    assert arrival.is_leaving is ("x-leaving" in headers)
    assert arrival.retry_after == headers.get("retry-after", "")
