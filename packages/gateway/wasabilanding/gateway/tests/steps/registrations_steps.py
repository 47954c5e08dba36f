"""Steps for registrations by another writer."""

import dataclasses
import logging

import behave

from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway.tests import fakes
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import routes

PREFIX = plain_wire.registrations_prefix
BEGIN = 10
UNREADABLE = b"\xff"
DEEP = b"[" * 50_000 + b"]" * 50_000
DIGITS = b"9" * 5_000
# What stands in an odd entry in place of what.
ODD = {
    "deep": (b'"10.0.0.1"', DEEP),
    "deep-unknown-field": (b"{", b'{"unknown":' + DEEP + b",", 1),
    "many-digits": (b'"slots":1', b'"slots":' + DIGITS),
    "infinite-slots": (b'"slots":1', b'"slots":1e999'),
    "port-0": (b":80", b":0"),
    "port-65536": (b":80", b":65536"),
    "port-negative": (b":80", b":-1"),
    "port-huge": (b":80", b":" + DIGITS[:400]),
    "host-nul": (b"10.0.0.1", b"10.0.0\\u0000"),
    "host-newline": (b"10.0.0.1", b"10.0.0.1\\n"),
    "host-long": (b"10.0.0.1", b"x" * 300),
    "host-empty": (b"10.0.0.1", b""),
    "start-huge": (b'"started_at_ms":0', b'"started_at_ms":' + DIGITS[:400]),
    "epoch-huge": (
        b'"membership":null',
        b'"membership":{"replica":"g","epoch":%s,"rank":0,"state":"open"}'
        % DIGITS[:400],
    ),
    "half-surrogate": (b'"z1"', b'"\\ud800"'),
    "field-twice": (b"{", b'{"port":1,', 1),
}


def _entry(name, word, revision):
    """Return an entry, or its removal."""
    if word == "gone":
        return metadata.Removal(f"{PREFIX}{name}", revision)
    endpoint = fleet.Endpoint(name, "service", "10.0.0.1", 80, "z1")
    if word == "other":
        endpoint = dataclasses.replace(endpoint, service="later")
    value = model.encode(endpoint).encode()
    if word == "bytes":
        value = UNREADABLE
    elif word in ODD:
        value = value.replace(*ODD[word])
    return metadata.Item(f"{PREFIX}{name}", value, revision)


def _view(names):
    """Return a view that has read some endpoints."""
    view = cluster_view_module.ClusterView(plain_wire, lambda: 0.0)
    view.table = fakes.table("safe", False, 1)
    view.mark_current(0.0)
    entries = tuple(_entry(name, "ok", 1) for name in names.split())
    view.apply_listing(metadata.Listing(entries, BEGIN), 0.0)
    return view


def _write(context, entries, now=0.0):
    """Let a watch show entries, by key and word."""
    events = []
    for name, word in entries:
        context.revision += 1
        events.append(_entry(name, word, context.revision))
    changes = metadata.Changes(tuple(events), context.revision)
    context.view.apply_changes(changes, now)


def _known(view):
    return sorted(each.endpoint_id for each in view.registry.endpoints)


@behave.given('a view with endpoints "{names}"')
def given_view(context, names):
    """Read some endpoints."""
    context.names = names
    context.view = _view(names)
    context.view.cut_segment()
    context.revision = BEGIN


@behave.when('{name} is written as "{words}" and e3 follows, seen in a watch')
def write(context, name, words):
    """Write one entry several times, and another one."""
    written = [(name.strip("/") and name, word) for word in words.split()]
    _write(context, [*written, ("e3", "ok")])


@behave.when('{name} is written as "{word}" and e3 follows, seen in a listing')
def list_entries(context, name, word):
    """Read the store again."""
    words = dict.fromkeys([*context.names.split(), name, "e3"], "ok")
    words[name] = word
    _list(context, words)


@behave.when(
    '{name} is written as "{word}" and e3 follows, seen in a listing without '
    "e1"
)
def list_without(context, name, word):
    """Read the store again after a removal."""
    _list(context, {name: word, "e3": "ok"})


def _list(context, words):
    """Let the view read the store, which has entries by key and word."""
    context.revision += len(words)
    entries = tuple(
        _entry(key, each, context.revision) for key, each in words.items()
    )
    listing = metadata.Listing(entries, context.revision)
    context.view.apply_listing(listing, 0.0)


@behave.when('services "{names}" are configured')
def configure(context, names):
    """Write another configuration."""
    context.revision += 1
    services = tuple(
        routes.RoutedService(name, 100, None) for name in names.split()
    )
    table = dataclasses.replace(
        fakes.table("safe", False, 1),
        version=context.revision,
        services=services,
    )
    item = metadata.Item(
        plain_wire.configuration_key,
        model.encode(table).encode(),
        context.revision,
    )
    context.view.apply_changes(
        metadata.Changes((item,), context.revision), 0.0
    )


@behave.when(
    "{count:d} other entries are written each second for {seconds:d} s, {how}"
)
def write_often(context, count, seconds, how):
    """Write many entries with each heartbeat."""
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    logger = logging.getLogger("wasabilanding.gateway")
    logger.addHandler(handler)
    for now in range(seconds):
        is_valid = how == "invalid and valid" and now % 2
        word = "ok" if is_valid else "bytes"
        _write(context, [(f"x{i}", word) for i in range(count)], float(now))
    logger.removeHandler(handler)


@behave.then('its endpoints are "{names}"')
def check_known(context, names):
    """Compare the endpoints in use."""
    assert _known(context.view) == names.split(), _known(context.view)


@behave.then("{count:d} registrations name no endpoint")
def check_rejected(context, count):
    """Compare the number of entries without an endpoint."""
    found = context.view.rejected_registrations
    assert found == count, found


@behave.then("e1 is one of the recently removed: {expected}")
def check_removed(context, expected):
    """Check that a planner still finds its membership, and probes it."""
    found = "e1" in context.view.registry.recently_removed
    assert found is (expected == "yes")


@behave.then('a node that is fed by it has the endpoints "{names}"')
def check_fed(context, names):
    """Let another node apply what it is sent; a listing is not fed."""
    segment = context.view.cut_segment()
    fed = _view(context.names)
    if segment.covers(fed.revision):
        fed.apply_segment(segment, None, 0.0)
        assert _known(fed) == names.split(), _known(fed)


@behave.then("{count:d} log lines tell of {number:d} registrations")
def check_lines(context, count, number):
    """Compare the lines."""
    assert len(context.lines) == count, context.lines
    for line in context.lines:
        assert line.startswith(f"{number} registrations"), line


@behave.then("its next segment is whole and has {count:d} changes")
def check_segment(context, count):
    """Compare the size of the segment, which begins where it was cut."""
    segment = context.view.cut_segment()
    assert segment.after == BEGIN, segment
    changes = (*segment.endpoints, *segment.removed_endpoints)
    assert len(changes) == count, len(changes)
