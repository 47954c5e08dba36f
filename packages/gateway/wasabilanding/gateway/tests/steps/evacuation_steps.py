"""Steps for evacuated failure domains."""

import dataclasses
import logging

import behave
import trio

from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import evacuation_monitor
from wasabilanding.gateway import hint_messages
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests.steps import notices_steps
from wasabilanding import metadata
from wasabilanding import model

NOW_S = 1000.0
PREFIX = plain_wire.evacuation_prefix


class _Lines(logging.Handler):
    """Keeps the logged texts."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        """Keep a line."""
        self.texts.append(record.getMessage())


def keep_log(context):
    """Keep the lines that the gateway logs.

    :param context: receives them.
    """
    context.lines = _Lines()
    logger = logging.getLogger("wasabilanding.gateway")
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)


def _configuration(revision):
    value = model.encode(fakes.table("safe", False, 1)).encode()
    return metadata.Item(plain_wire.configuration_key, value, revision)


def _registration(revision):
    endpoint = fakes.FakeEndpoints({"e0": ""}).endpoint("e0")
    key = f"{plain_wire.registrations_prefix}e0"
    return metadata.Item(key, model.encode(endpoint).encode(), revision)


def _words(text):
    return [] if text == "-" else text.split()


def _listing(names, era, revision):
    items = [_configuration(revision), _registration(revision)]
    items += [metadata.Item(f"{PREFIX}{n}", b"{}", revision) for n in names]
    return metadata.Listing(tuple(items), revision, model.Era(era))


def _changes(words, era, revision):
    events = tuple(
        metadata.Item(f"{PREFIX}{word[1:]}", b"{}", revision)
        if word[0] == "+"
        else metadata.Removal(f"{PREFIX}{word[1:]}", revision)
        for word in words
    )
    return metadata.Changes(events, revision, model.Era(era))


def _view():
    return cluster_view_module.ClusterView(plain_wire, lambda: NOW_S)


def _read_view(names, era=2, revision=100):
    view = _view()
    view.apply_listing(_listing(names, era, revision), NOW_S)
    view.mark_current(0.0)
    return view


@behave.given("a view that has not read the store")
def given_new_view(context):
    """Make a view."""
    context.view = _view()


@behave.given('a view of era 2 at revision 100 with evacuations "{names}"')
def given_view(context, names):
    """Make a view that has read the store."""
    keep_log(context)
    context.names = _words(names)
    context.view = _read_view(context.names)
    context.follower = None


@behave.given("another view that follows it")
def given_follower(context):
    """Make a view to which all changes are fed."""
    context.follower = _read_view(context.names)


@behave.given(
    "another view that follows it, as a collector of the previous build"
)
def given_old_collector(context):
    """Make a view that is fed by a node which knows no evacuations."""
    context.follower = _read_view(context.names)
    context.is_previous_build = True


@behave.then("the other view is at revision {number:d}")
def check_revision(context, number):
    """Compare the revision up to which the view knows all changes."""
    assert context.follower.revision.number == number


@behave.when(
    'it receives the evacuation {source} "{changes}" of era {era:d} at '
    "revision {at:d}"
)
def receive(context, source, changes, era, at):
    """Give a view a listing, changes, or those that a collector sends."""
    words = _words(changes)
    if source == "listing":
        context.view.apply_listing(_listing(words, era, at), NOW_S)
    elif source == "changes":
        context.view.apply_changes(_changes(words, era, at), NOW_S)
    else:
        collector = _read_view(context.names, era, at - 1)
        collector.apply_changes(_changes(words, era, at), NOW_S)
        context.view.apply_segment(collector.cut_segment(), NOW_S, NOW_S)
    if getattr(context, "follower", None) is not None:
        segment = context.view.cut_segment()
        if getattr(context, "is_previous_build", False):
            segment = dataclasses.replace(segment, content=0)
        context.follower.apply_segment(segment, NOW_S, NOW_S)


def _check(view, names):
    found = " ".join(sorted(view.evacuations.names)) or "-"
    assert found == names, found


@behave.then('it knows the evacuations "{names}"')
def check_view(context, names):
    """Compare the evacuated failure domains."""
    _check(context.view, names)


@behave.then('the other view knows the evacuations "{names}"')
def check_follower(context, names):
    """Compare the evacuated failure domains."""
    _check(context.follower, names)


@behave.then("it is not initialized")
def check_not_initialized(context):
    """Check that the node is not ready."""
    assert not context.view.is_initialized


@behave.then('it is initialized and knows the evacuations "{names}"')
def check_initialized(context, names):
    """Check that the node is ready and knows the evacuations."""
    assert context.view.is_initialized
    _check(context.view, names)


@behave.then('the log has {count:d} lines with "{text}"')
def check_log(context, count, text):
    """Count the lines with a text."""
    found = [line for line in context.lines.texts if text in line]
    assert len(found) == count, context.lines.texts


@behave.given("e1 is in failure domain z2")
def given_remote(context):
    """Move an endpoint."""
    registry = context.system.view.registry
    registry.put(dataclasses.replace(registry.get("e1"), failure_domain="z2"))


@behave.given("{name} is evacuated from {begin:g} s to {end:g} s")
def given_evacuation(context, name, begin, end):
    """Let the node learn of the evacuation and its end from the store."""
    if not hasattr(context, "lines"):
        keep_log(context)
    timeline = notices_steps.timeline_of(context)
    context.system.relays.is_evacuated = context.system.view.is_evacuated

    def learn(is_present, number):
        async def apply():
            context.system.view.evacuations.apply_key(
                f"{PREFIX}{name}",
                is_present,
                model.StoreRevision(number=number),
                "the store",
                trio.current_time(),
            )

        return apply

    timeline.add(begin, learn(True, 2))
    timeline.add(end, learn(False, 3))


@behave.given("relay {node} is in failure domain {domain}")
def given_relay_domain(context, node, domain):
    """Move a node that takes requests."""
    local = dict(context.system.relays.nodes()["z1"])
    moved = {node: local.pop(node)}
    context.system.relays.nodes = lambda: {"z1": local, domain: moved}


@behave.then('its answer names the reason "{reason}"')
def check_reason(context, reason):
    """Compare the reason in the last answer."""
    body = context.timeline.callers[-1].body.decode()
    assert f'"reason": "{reason}"' in body, body


@behave.when("the node observes its evacuations at {times} s")
def observe(context, times):
    """Let the node log what is unserved."""
    system = context.system
    monitor = evacuation_monitor.EvacuationMonitor(system.view, system.metrics)

    async def look():
        monitor.observe()

    timeline = notices_steps.timeline_of(context)
    for at in times.split():
        timeline.add(float(at), look)
    timeline.run()


@behave.when('{node} learns of the evacuation changes "{changes}"')
def learn_changes(context, node, changes):
    """Let one node learn of changes from the store."""

    def learn(network):
        view = context.nodes.views[node]
        for number, word in enumerate(changes.split(), 1):
            view.evacuations.apply_key(
                f"{PREFIX}{word[1:]}",
                word[0] == "+",
                model.StoreRevision(number=number),
                "the store",
                trio.current_time(),
            )

    context.plan = [*getattr(context, "plan", []), learn]


@behave.then('each node knows the evacuations "{names}"')
def check_all(context, names):
    """Compare the evacuated failure domains of all nodes."""
    for view in context.nodes.views.values():
        _check(view, names)


@behave.then("a datagram mentions evacuations: {expected}")
def check_mentioned(context, expected):
    """Search the text of a datagram that node n1 would send."""
    notices = context.nodes.views["n1"].evacuations.due_notices(0.0)
    batch = hint_messages.HintBatch("n1", (), evacuations=notices)
    is_mentioned = "evacuations" in model.encode(batch)
    assert is_mentioned is (expected == "yes")
