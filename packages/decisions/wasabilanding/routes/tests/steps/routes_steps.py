"""Steps for the routing table."""

import behave

from wasabilanding import routes

FLAGS = {"yes": True, "no": False}


def _route(host, prefix, kind="safe", resumable=False):
    return routes.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=routes.RequestKind(kind),
        resumable=resumable,
        timeout_s=1.0,
        latency_goal_s=0.1,
        event_gap_s=0.0,
        priority=1,
        max_attempts=2,
        public=True,
        targets=(routes.Target("service"),),
    )


def _table(found=(), holders=None):
    limits = routes.CallerLimits()
    return routes.RoutingTable(1, tuple(found), (), limits, holders)


@behave.given(
    'routes "{a}", "{b}", "{c}" of host "{one}" and "{d}" of "{two}"'
)
def given_routes(context, a, b, c, one, d, two):
    """Create a table of four routes."""
    found = [_route(one, prefix) for prefix in (a, b, c)]
    context.routing = _table([*found, _route(two, d)])


@behave.when("the route of a request for {host} and {path} is looked up")
def look_up_route(context, host, path):
    """Look up the route."""
    context.found = context.routing.find_route(host, path)


@behave.then("it is {route}")
def check_found(context, route):
    """Compare the route's prefix."""
    prefix = context.found.prefix if context.found else "none"
    assert prefix == route, context.found


@behave.given("a route of kind {kind} that is resumable: {resumable}")
def given_route(context, kind, resumable):
    """Create a route."""
    context.route = _route("h", "/", kind, FLAGS[resumable])


@behave.then("its requests are idempotent: {idempotent}")
def check_idempotent(context, idempotent):
    """Compare whether requests may run more than once."""
    assert context.route.is_idempotent is FLAGS[idempotent]


@behave.given('customers "{a}" with keys "{keys}" and "{b}" with key "{key}"')
def given_holders(context, a, keys, b, key):
    """Create a table of two customers."""
    holders = (
        routes.KeyHolder(a, frozenset(keys.split(","))),
        routes.KeyHolder(b, frozenset((key,))),
    )
    context.routing = _table(holders=holders)


@behave.then("key {key} belongs to {customer}")
def check_holder(context, key, customer):
    """Compare the customer."""
    holder = context.routing.holder(key)
    assert (holder.customer if holder else "none") == customer
