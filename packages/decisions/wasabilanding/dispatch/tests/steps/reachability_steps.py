"""Steps for a node that may be cut off from all endpoints."""

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
