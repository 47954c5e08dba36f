"""Steps for parts of prompts that are suspected of crashing endpoints."""

import itertools
import random

import behave

from wasabilanding import poison

SENT_BEFORE_S = 0.4
MASS_EVENT_INTERVAL_S = 2.0
REQUESTS_AT_ENDPOINT = 6
ORDERS = 20
# Code point of a part that only one request has.
FIRST_OWN_PART = 0x4E00


def _crash(part, endpoint, at, known, names):
    return poison.Notice(
        poison.NoticeKind.CRASH,
        part,
        endpoint,
        at,
        1,
        poison.Feature.PART,
        SENT_BEFORE_S,
        part in known,
        frozenset(names),
    )


def _answer(part, at):
    return poison.Notice(poison.NoticeKind.CLEARED, part, "", at)


def _record(context, events):
    """Record events in the given order."""
    context.requests = poison.Suspicions()
    context.parts = poison.PartSuspicions(context.requests)
    _add(context, events)
    _add(context, getattr(context, "other_reports", ()))


def _add(context, events):
    for number, event in events:
        at, sign, rest = event.partition("!")
        if not sign:
            at, _, rest = event.partition("+")
        names, _, request = rest.partition("#")
        notices = [
            _crash(part, f"e{number}", float(at), context.known, names)
            if sign
            else _answer(part, float(at))
            for part in names
        ]
        for notice in notices:
            context.parts.notices.merge(notice, notice.at)
        if sign:
            context.requests.record_crash(
                request or f"r{number}", f"e{number}", float(at)
            )


@behave.given('requests with "{known}" were answered before')
def given_known(context, known):
    """Name the known parts, a letter each."""
    context.known = known


@behave.given('requests with "" were answered before')
def given_none_known(context):
    """Name no known part."""
    context.known = ""


@behave.when("these events are known: {events}")
def record(context, events):
    """Record events as they happen."""
    context.orders = [list(enumerate(events.split()))]


@behave.when(
    'another node had a request with "{parts}" in flight at each crash'
)
def add_reports(context, parts):
    """Report each crash once more."""
    context.other_reports = [
        (number, f"{event.partition('!')[0]}!{parts}")
        for number, event in context.orders[0]
    ]


@behave.when("these events are known in any order: {events}")
def record_shuffled(context, events):
    """Record events in several orders."""
    rng = random.Random(1)
    listed = list(enumerate(events.split()))
    context.orders = [rng.sample(listed, len(listed)) for _ in range(ORDERS)]


@behave.when(
    "{count:d} endpoints crash {times:d} times within 1 s, each under "
    "6 requests with part f and others"
)
def crash_many(context, count, times):
    """Record mass events, in which requests are sent again meanwhile."""
    numbers = itertools.count()
    events = []
    for round_number in range(times):
        for index in range(count):
            at = round_number * MASS_EVENT_INTERVAL_S + index / count * 0.3
            own = chr(FIRST_OWN_PART + next(numbers))
            events.append((next(numbers), f"{at}!f{own}"))
    context.orders = [events]


def _refused_by_evidence(context, now):
    """Return the parts condemned at a node that has the evidence only."""
    parts = poison.PartSuspicions(poison.Suspicions())
    for part in context.parts.quarantined(now):
        for notice in context.parts.evidence(part, now):
            parts.notices.merge(notice, now)
    return "".join(sorted(parts.quarantined(now)))


def _refused(context, now):
    return "".join(sorted(context.parts.quarantined(now)))


@behave.then('at {now:g} s the condemned parts are "{parts}"')
def check_refused(context, now, parts):
    """Compare the condemned parts."""
    for events in context.orders:
        _record(context, events)
        assert _refused(context, now) == parts, _refused(context, now)
        found = _refused_by_evidence(context, now)
        assert found == parts, found


@behave.then('at {now:g} s a request with "{parts}" is {verdict}')
def check_request(context, now, parts, verdict):
    """Compare whether a request is refused."""
    for events in context.orders:
        _record(context, events)
        refused = any(
            context.parts.status(part, now).refuses(parts) for part in parts
        )
        assert refused == (verdict == "refused"), parts


@behave.then('at {now:g} s the condemned parts are ""')
def check_none_refused(context, now):
    """Check that no part is condemned."""
    check_refused(context, now, "")
