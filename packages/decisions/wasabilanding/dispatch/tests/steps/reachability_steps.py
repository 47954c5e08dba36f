"""Steps for a node that may be cut off from all endpoints."""

import random
import re

import behave

from wasabilanding import dispatch

_EVENT = re.compile(r"([0-9.]+?)([><!=]|\.$)(.*)")


def _apply(monitor, event):
    at, sign, rest = _EVENT.fullmatch(event).groups()
    now = float(at)
    if sign == ">":
        monitor.begin(now)
    elif sign == ".":
        monitor.end()
    elif sign == "<":
        monitor.record_success(now)
    elif sign == "!":
        monitor.record_failure(rest)
    else:
        accepted, _, tried = rest.partition("/")
        monitor.begin_check(now)
        monitor.record_check(int(accepted), int(tried))


@behave.when("a node sees {events}")
def see(context, events):
    """Record the events in order."""
    context.monitor = dispatch.ReachabilityMonitor()
    for event in events.split():
        _apply(context.monitor, event)


@behave.then("at {at:g} s a check is {due}")
def check_due(context, at, due):
    """Compare whether a check is due."""
    assert context.monitor.is_check_due(at) == (due == "due")


@behave.then("the node {state}")
def check_state(context, state):
    """Compare whether the node is cut off."""
    assert context.monitor.is_cut_off == (state == "reaches none")


@behave.when("{count:d} random requests and replies are seen")
def see_random_events(context, count):
    """Compare, after each, when a check is due with the time until then."""
    rng = random.Random(count)
    monitor = dispatch.ReachabilityMonitor()
    context.early = []
    waiting = 0
    now = 0.0
    for _ in range(count):
        now += rng.choice((0.0, 0.1, 0.3, 0.7))
        kind = rng.choice((">", ".", "<") if waiting else (">",))
        waiting += {">": 1, ".": -1, "<": 0}[kind]
        _apply(monitor, f"{now:.1f}{kind}")
        quiet_s = monitor.quiet_s(now)
        for share in (0.0, 0.5, 0.99):
            if quiet_s and monitor.is_check_due(now + share * quiet_s):
                context.early.append((now, kind, share))


@behave.then("after each a check became due no sooner than the node was told")
def check_random_events(context):
    """Check that no check was due earlier."""
    assert not context.early, context.early[:3]
