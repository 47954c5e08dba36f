"""Steps for allowed regions."""

import behave

from wasabilanding import routes

DOMAINS = ("z1", "z2", "z3")


def _allowed(text):
    return None if text == "-" else frozenset(text.split())


@behave.given(
    'a node in region "{own}" and failure domain z1, with regions "{pairs}"'
)
def given_node(context, own, pairs):
    """Make the node's map of regions."""
    words = [] if pairs == "-" else pairs.split()
    regions = dict(word.split("=") for word in words)
    context.regions = routes.RegionMap(own, "z1", regions)


@behave.given(
    'a node in region "" and failure domain z1, with regions "{pairs}"'
)
def given_unknown_node(context, pairs):
    """Make the map of a node whose region is not given."""
    given_node(context, "", pairs)


@behave.when('the route allows "{route}" and the customer "{customer}"')
def restrict(context, route, customer):
    """Decide what a request may use."""
    context.allowed = routes.effective_regions(
        _allowed(route), _allowed(customer)
    )


def _check(allows, context, names):
    found = [d for d in DOMAINS if allows(d, context.allowed)]
    assert found == names.split(), found


@behave.then('its endpoints may be in "{names}" of z1, z2 and z3')
def check_endpoints(context, names):
    """Compare the failure domains of endpoints."""
    _check(context.regions.allows, context, names)


@behave.then('its endpoints may be in "" of z1, z2 and z3')
def check_no_endpoints(context):
    """Check that no endpoint may be reached."""
    check_endpoints(context, "")


@behave.then('its body may be sent to nodes in "{names}" of z1, z2 and z3')
def check_nodes(context, names):
    """Compare the failure domains of nodes."""
    _check(context.regions.allows_node, context, names)


@behave.then('its body may be sent to nodes in "" of z1, z2 and z3')
def check_no_nodes(context):
    """Check that no node may be asked."""
    check_nodes(context, "")
