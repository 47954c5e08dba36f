"""Steps for the rules against poisonous requests."""

import collections

import behave
import poison_machine

from wasabilanding import poison

DEATH_INTERVAL_S = 2.0


def _note(suspicions: poison.Suspicions, deaths: str) -> float:
    now = 0.0
    for index, requests in enumerate(deaths.split(", ")):
        now += DEATH_INTERVAL_S
        for request in requests:
            suspicions.record_crash(request, f"vm-{index}", now)
    return now


def _told(suspicions: poison.Suspicions, request: str, now: float) -> str:
    status = suspicions.status(request, now)
    if status.quarantined:
        return "condemned"
    return "suspected" if status.suspected else "clean"


@behave.given("deaths with requests in flight {deaths}")
def given_deaths(context, deaths):
    """Note the deaths, one after another."""
    context.suspicions = poison.Suspicions()
    context.now = _note(context.suspicions, deaths)


@behave.given('requests that completed later "{completed}"')
@behave.given('requests that completed later ""')
def given_completed(context, completed=""):
    """Clear the requests."""
    for request in completed:
        context.suspicions.clear(request, context.now + 1)


@behave.then('request "{request}" is {status}')
def check_standing(context, request, status):
    """Compare the standing."""
    gossip_entries = _told(context.suspicions, request, context.now + 2)
    assert gossip_entries == status, gossip_entries


@behave.when("the notices reach a peer {order} and {seconds:d} seconds pass")
def reach_peer(context, order, seconds):
    """Tell a peer."""
    notices = context.suspicions.gossip_entries(context.now, everything=True)
    orders = {
        "in order": notices,
        "reversed": notices[::-1],
        "twice": notices + notices,
    }
    context.peer = poison.Suspicions()
    for notice in orders[order]:
        context.peer.learn(notice, context.now)
    context.now += seconds
    context.peer.forget(context.now)


@behave.when("the last death is withdrawn before its notice arrives")
def withdraw_first(context):
    """Tell a peer of the withdrawal first."""
    context.suspicions.withdraw("p", "vm-1", context.now + 1)
    context.now += 1
    notices = context.suspicions.gossip_entries(context.now, everything=True)
    context.peer = poison.Suspicions()
    for notice in reversed(notices):
        context.peer.learn(notice, context.now)


@behave.then('the peer holds request "{request}" for {status}')
def check_peer(context, request, status):
    """Compare the standing at the peer."""
    gossip_entries = _told(context.peer, request, context.now)
    assert gossip_entries == status, gossip_entries


@behave.when(
    "homes are chosen for {count:d} texts with one beginning among "
    "{replicas:d} replicas"
)
def choose_homes(context, count, replicas):
    """Count how often each replica is a home."""
    names = [f"vm-{index}" for index in range(replicas)]
    context.count = count
    context.homes = collections.Counter(
        name
        for text in range(count)
        for name in poison.home_names("beginning", f"text {text}", names)
    )


@behave.then("two replicas are a home of all texts")
def check_prefix_homes(context):
    """Check the homes by the beginning."""
    most = [count for _, count in context.homes.most_common(2)]
    assert most == [context.count, context.count], context.homes


@behave.then("each other replica is a home of {low:d} to {high:d} texts")
def check_text_homes(context, low, high):
    """Check the homes by the text."""
    others = [count for _, count in context.homes.most_common()[2:]]
    assert min(others) >= low and max(others) <= high, context.homes


@behave.given("a poison guard with {rules}")
def given_rules(context, rules):
    """Choose the rules."""
    context.rules = poison_machine.RULES[rules]


@behave.when("copies come through all nodes in any order")
def search(context):
    """Search for a broken bound."""
    context.found = poison_machine.search(context.rules)


@behave.then("the search finds {found}")
def check_found(context, found):
    """Compare what was found."""
    assert context.found == found, context.found
