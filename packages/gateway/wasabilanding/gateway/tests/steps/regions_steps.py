"""Steps for allowed regions."""

import dataclasses
import random

import behave
import trio

from wasabilanding.gateway import region_restrictions
from wasabilanding.gateway import relays
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import evacuation_steps
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding import routes

KEY = b"k1"
OTHER_KEY = b"k2"
# Longer than any request of a scenario.
EXAMINED_S = 30.0
HTTP_OK = 200


def _allowed(text):
    return None if text == "-" else frozenset(text.split())


def _restricted(table, route, customer):
    """Return a table whose route and customer allow some regions.

    Only a request of a customer with a restriction needs the key.
    """
    keys = frozenset((KEY.decode(),))
    holder = routes.KeyHolder("c", keys, None, _allowed(customer))
    other = routes.KeyHolder("d", frozenset((OTHER_KEY.decode(),)))
    changed = dataclasses.replace(
        table.routes[0],
        allowed_regions=_allowed(route),
        public=customer == "-",
    )
    return dataclasses.replace(
        table, routes=(changed,), key_holders=(holder, other)
    )


@behave.given('the failure domains are in the regions "{pairs}"')
def given_regions(context, pairs):
    """Give the node its settings; it is in failure domain z1."""
    system = context.system
    regions = dict(pair.split("=") for pair in pairs.split())
    system.settings = dataclasses.replace(system.settings, regions=regions)
    system.relays = relays.Relays(
        "z1", system.tracker, random.Random(1), system.settings.region_map
    )


@behave.given('the route allows "{route}" and the customer "{customer}"')
def given_allowed(context, route, customer):
    """Restrict requests."""
    view = context.system.view
    view.table = _restricted(view.table, route, customer)


@behave.given(
    'the route allows "{route}" and the customer "{customer}" from {at:g} s'
)
def given_change(context, route, customer, at):
    """Let another configuration come into force."""

    async def change():
        given_allowed(context, route, customer)

    notices_steps.timeline_of(context).add(at, change)


@behave.given("{name} is lost from {at:g} s")
def given_loss(context, name, at):
    """Let the registration of an endpoint be removed."""

    async def lose():
        context.system.view.registry.remove(name, trio.current_time())

    notices_steps.timeline_of(context).add(at, lose)


@behave.given("requests wait for the one slot of each endpoint")
def given_waiting_room(context):
    """Let the node examine waiting requests, as its loop does."""
    system = context.system
    system.settings = dataclasses.replace(system.settings, admission=True)
    for endpoint in list(system.view.registry.endpoints):
        system.view.registry.put(dataclasses.replace(endpoint, slots=1))

    async def examine():
        async with system.forwarder() as forwarder:
            with trio.move_on_after(EXAMINED_S):
                await forwarder.waiting_room.run()

    notices_steps.timeline_of(context).add(0.0, examine)


def _send(context, times, target):
    timeline = notices_steps.timeline_of(context)

    async def ask():
        await timeline.ask(target, headers=((b"x-key", KEY),))

    for at in times.split():
        timeline.add(float(at), ask)
    timeline.run()


@behave.when("the customer's request is sent at {at} s")
def send(context, at):
    """Send a request with the customer's key."""
    _send(context, at, b"/a")


@behave.when("the customer's late requests are sent at {times} s")
def send_late(context, times):
    """Send requests that an endpoint answers after a while."""
    _send(context, times, fakes.LATE)


@behave.given('a node that knows the regions "{names}"')
def given_monitor(context, names):
    """Make what observes the configuration."""
    evacuation_steps.keep_log(context)
    regions = {name: name for name in names.split()}
    context.system = fakes.System({}, None)
    context.monitor = region_restrictions.RegionMonitor(
        context.system.view, routes.RegionMap("", "", regions)
    )


@behave.when(
    'it observes the versions "{versions}" with a route that allows "{names}"'
)
def observe(context, versions, names):
    """Put versions of the configuration in force, each twice observed."""
    for version in versions.split():
        table = _restricted(fakes.table("safe", False, 1), names, "-")
        context.system.view.table = dataclasses.replace(
            table, version=int(version)
        )
        context.monitor.observe()
        context.monitor.observe()


def _send_often(context, count, period_s, key):
    """Add requests with a key; keep their callers by the key."""
    timeline = notices_steps.timeline_of(context)
    callers = context.callers = getattr(context, "callers", {})
    found = callers[key] = []

    async def ask():
        context.system.view.mark_current(0.0)
        headers = ((b"x-key", key), (b"x-deadline-s", b"6"))
        found.append(await context.system.ask(headers, fakes.LATE))

    for number in range(count):
        timeline.add(number * period_s, ask)
    return timeline


@behave.given(
    "the other customer sends {count:d} late requests, one each {period:g} s"
)
def given_others(context, count, period):
    """Plan the requests of a customer without a restriction."""
    _send_often(context, count, period, OTHER_KEY)


@behave.when(
    "the customer sends {count:d} late requests, one each {period:g} s"
)
def send_often(context, count, period):
    """Send the requests of both customers."""
    _send_often(context, count, period, KEY).run()


@behave.then(
    "the customer gets {own:d} answers or more, the other one {other:d} or "
    "more"
)
def check_shares(context, own, other):
    """Count the answers of both."""
    for key, least in ((KEY, own), (OTHER_KEY, other)):
        callers = context.callers[key]
        found = sum(caller.status == HTTP_OK for caller in callers)
        assert found >= least, (key, found, len(callers))
