"""Steps for the exchange of reports on requests that end endpoints."""

import dataclasses

import behave
import trio
import trio.testing

from wasabilanding.gateway import crash_reports
from wasabilanding import poison

FINGERPRINT = "f"
PART = "dead"


def _report(fingerprint, endpoint, kind=poison.NoticeKind.CRASH):
    return crash_reports.CrashReport(kind, fingerprint, endpoint, 0.0)


def _tell(context, node, reports):
    """Let a node find out something, as if it had examined an endpoint."""

    def tell(network):
        now = trio.current_time()
        guard = context.nodes.guards[node]
        exchange = context.nodes.hints[node]
        for report in reports:
            guard.apply_report(node, report, now)
        exchange.report_crashes(reports[:8])

    context.plan.append(tell)


@behave.given("node {node} starts {seconds:g} s late")
def given_late_start(context, node, seconds):
    """Let a node start later than the others."""
    context.nodes.late_s[node] = seconds


@behave.when("{count:d} endpoints end under a request at node {node}")
def end_endpoints(context, count, node):
    """Let a node find endpoints that have ended."""
    if not hasattr(context, "plan"):
        context.plan = []
    reports = [_report(FINGERPRINT, f"e{i}@1") for i in range(count)]
    _tell(context, node, reports)


@behave.when(
    "{count:d} endpoints end one after the other under a part at node {node}"
)
def end_endpoints_under_part(context, count, node):
    """Let a node find endpoints that have ended under a part."""
    context.plan = []
    reports = [
        dataclasses.replace(
            _report(PART, f"e{i}@1"),
            feature=poison.Feature.PART,
            age_s=float(count - i),
            sent_before_s=0.5,
            companions=(PART,),
        )
        for i in range(count)
    ]
    _tell(context, node, reports)


@behave.then('the nodes that turn the part away are "{nodes}"')
def check_part_nodes(context, nodes):
    """Compare which nodes have quarantined the part."""

    async def run():
        await context.nodes.run(context.plan)
        now = trio.current_time()
        return [
            name
            for name, guard in context.nodes.guards.items()
            if PART in guard.quarantined_parts(now)
        ]

    clock = trio.testing.MockClock(autojump_threshold=0)
    _check_nodes(trio.run(run, clock=clock), nodes)


@behave.when(
    "{count:d} requests are in flight at an endpoint that ends at node {node}"
)
def end_busy_endpoint(context, count, node):
    """Let a node find a busy endpoint that has ended."""
    _tell(context, node, [_report(f"f{i}", "busy@1") for i in range(count)])


@behave.when("the request completes at node {node}")
def complete(context, node):
    """Let a node receive the answer to the request."""
    _tell(context, node, [_report(FINGERPRINT, "", poison.NoticeKind.CLEARED)])


def _statuses(context):
    if not hasattr(context, "statuses"):

        async def run():
            await context.nodes.run(context.plan)
            now = trio.current_time()
            return {
                name: guard.status_of(FINGERPRINT, now)
                for name, guard in context.nodes.guards.items()
                if name in context.nodes.hints
            }

        clock = trio.testing.MockClock(autojump_threshold=0)
        context.statuses = trio.run(run, clock=clock)
    return context.statuses


def _check_nodes(found, expected):
    assert sorted(found) == expected.split(), found


@behave.then('the nodes that turn the request away are "{nodes}"')
def check_nodes(context, nodes):
    """Compare which nodes have quarantined the request."""
    found = _statuses(context).items()
    _check_nodes([name for name, s in found if s.quarantined], nodes)


@behave.then('the nodes that turn the request away are ""')
def check_no_nodes(context):
    """Check that no node has quarantined the request."""
    check_nodes(context, "")


@behave.then('the nodes that suspect the request are ""')
def check_cleared(context):
    """Check that no node suspects the request."""
    found = _statuses(context).items()
    _check_nodes([name for name, s in found if s.suspected], "")


@behave.then("all nodes turn the request away")
def check_all(context):
    """Check that each node has quarantined the request."""
    left = [n for n, s in _statuses(context).items() if not s.quarantined]
    assert not left, left


@behave.then("no datagram has more than {count:d} bytes")
def check_size(context, count):
    """Compare the size of the largest datagram."""
    found = context.nodes.network.largest_bytes
    assert found <= count, found
