"""Steps for the protection against requests that crash endpoints."""

import collections

import behave
import poison_machine

from wasabilanding import poison

CRASH_INTERVAL_S = 2.0


def _note(suspicions: poison.Suspicions, crashes: str) -> float:
    now = 0.0
    for index, requests in enumerate(crashes.split(", ")):
        now += CRASH_INTERVAL_S
        for request in requests:
            suspicions.record_crash(request, f"vm-{index}", now)
    return now


def _status_name(
    suspicions: poison.Suspicions, request: str, now: float
) -> str:
    status = suspicions.status(request, now)
    if status.quarantined:
        return "condemned"
    return "suspected" if status.suspected else "clean"


@behave.given("crashes with requests in flight {crashes}")
def given_crashes(context, crashes):
    """Record the crashes one after another."""
    context.suspicions = poison.Suspicions()
    context.now = _note(context.suspicions, crashes)


@behave.given(
    "{count:d} other replicas crash at the same moment as each crash {numbers}"
)
def given_mass_event(context, count, numbers):
    """Record crashes without the request."""
    context.suspicions = poison.Suspicions()
    for number in numbers.split():
        for index in range(count):
            name = f"other-{number}-{index}"
            at = int(number) * CRASH_INTERVAL_S
            context.suspicions.record_crash(f"by-{name}", name, at)


@behave.given(
    "crashes with request p in flight at {numbers}, and {beside:d} others each"
)
def given_own_crashes(context, numbers, beside):
    """Record crashes with the request."""
    for number in numbers.split():
        context.now = int(number) * CRASH_INTERVAL_S
        name = f"vm-{number}"
        context.suspicions.record_crash("p", name, context.now)
        for index in range(beside):
            other = f"beside-{number}-{index}"
            context.suspicions.record_crash(other, name, context.now)


@behave.given(
    "{replicas:d} replicas that crash at once, each with {share:d} of "
    "{count:d} requests in flight"
)
def given_fleet_event(context, replicas, share, count):
    """Record one mass event under many requests."""
    context.suspicions = poison.Suspicions()
    context.requests = [f"r{i}" for i in range(count)]
    for index, request in enumerate(context.requests):
        name = f"vm-{index % replicas}"
        context.suspicions.record_crash(request, name, CRASH_INTERVAL_S)
    assert share * replicas == count


@behave.when("each request runs again beside one that ends replicas")
def run_beside(context):
    """Let one request end two more replicas, with others in flight there."""
    for number in (1, 2, 3):
        context.now = CRASH_INTERVAL_S * (1 + number)
        first = (number - 1) * 8
        for request in ("p", *context.requests[first : first + 8]):
            context.suspicions.record_crash(
                request, f"next-{number}", context.now
            )


@behave.then("no request but that one is condemned")
def check_only_one(context):
    """Compare the condemned requests."""
    found = context.suspicions.quarantined(context.now)
    assert found == ("p",), found


@behave.given(
    "{count:d} replicas have presumed crashes at 0 s that are withdrawn"
)
def given_presumed(context, count):
    """Record crashes under other requests, and withdraw them."""
    context.others = [(f"r{i}", f"other-{i}") for i in range(count)]
    for request, replica in context.others:
        context.suspicions.record_crash(request, replica, 0.0)
        context.suspicions.withdraw(request, replica, 0.5)


@behave.when("those replicas crash at the time of the last crash")
def crash_others(context):
    """Record the crashes of the same replicas."""
    for request, replica in context.others:
        context.suspicions.record_crash(request, replica, context.now)


@behave.given('requests that complete later "{completed}"')
@behave.given('requests that complete later ""')
def given_completed(context, completed=""):
    """Clear the requests."""
    for request in completed:
        context.suspicions.clear(request, context.now + 1)


@behave.then('request "{request}" is {status}')
def check_status(context, request, status):
    """Compare the status; the evidence alone condemns at another node."""
    now = context.now + 2
    found = _status_name(context.suspicions, request, now)
    assert found == status, found
    if status != "condemned":
        return
    other = poison.Suspicions()
    for notice in context.suspicions.evidence(request, now):
        other.merge(notice, now)
    assert _status_name(other, request, now) == status


@behave.when(
    "a peer receives the notices {order} and {seconds:d} seconds pass"
)
def reach_peer(context, order, seconds):
    """Merge the notices at a peer and advance the time."""
    notices = context.suspicions.gossip_entries(context.now, everything=True)
    orders = {
        "in order": notices,
        "reversed": notices[::-1],
        "twice": notices + notices,
    }
    context.peer = poison.Suspicions()
    for notice in orders[order]:
        context.peer.merge(notice, context.now)
    context.now += seconds
    context.peer.forget(context.now)


@behave.when("the last crash is withdrawn before its notice arrives")
def withdraw_first(context):
    """Merge the withdrawal at a peer before the other notices."""
    context.suspicions.withdraw("p", "vm-1", context.now + 1)
    context.now += 1
    notices = context.suspicions.gossip_entries(context.now, everything=True)
    context.peer = poison.Suspicions()
    for notice in reversed(notices):
        context.peer.merge(notice, context.now)


@behave.then('at the peer request "{request}" is {status}')
def check_peer(context, request, status):
    """Compare the status at the peer."""
    found = _status_name(context.peer, request, context.now)
    assert found == status, found


@behave.when(
    "homes are chosen among {replicas:d} replicas for {count:d} texts with "
    "one prefix"
)
def choose_homes(context, count, replicas):
    """Count how often each replica is chosen as a home."""
    names = [f"vm-{index}" for index in range(replicas)]
    context.count = count
    context.homes = collections.Counter(
        name
        for text in range(count)
        for name in poison.home_names("beginning", f"text {text}", names)
    )


@behave.then("two replicas are homes of all texts")
def check_prefix_homes(context):
    """Check the homes that depend on the prefix."""
    most = [count for _, count in context.homes.most_common(2)]
    assert most == [context.count, context.count], context.homes


@behave.then("each other replica is a home of {low:d} to {high:d} texts")
def check_text_homes(context, low, high):
    """Check the homes that depend on the text."""
    others = [count for _, count in context.homes.most_common()[2:]]
    assert min(others) >= low and max(others) <= high, context.homes


@behave.given("a poison guard with {rules}")
def given_rules(context, rules):
    """Select the rules."""
    context.rules = poison_machine.RULES[rules]


@behave.when("copies arrive through all nodes in any order")
def search(context):
    """Search for an exceeded bound."""
    context.found = poison_machine.search(context.rules)


@behave.then("the search finds {found}")
def check_found(context, found):
    """Compare the result of the search."""
    assert context.found == found, context.found
