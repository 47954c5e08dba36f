"""Steps for endpoints that are cold."""

import behave
import trio

from wasabilanding.experiments.installation import launch
from wasabilanding.experiments.installation.tests import running

COLD_S = 3.0
# Between the end of an endpoint and its next start, or that of the next one.
INTERVAL_S = 0.7


@behave.given(
    "an installation of {nodes:d} gateways with plain endpoints that take "
    "{rate:g} requests a second while cold"
)
def given_installation(context, nodes, rate):
    """Start an installation; it ends with the scenario."""
    plan = launch.Plan(
        nodes_per_domain=nodes // 2, cold_per_s=rate, cold_s=COLD_S
    )
    running.start(context, plan)


def _pages(context):
    return [
        vm for vm in context.installation.vms if vm.service == launch.PAGES
    ]


@behave.when("all plain endpoints start again, one by one at {at:g} s")
def start_again(context, at):
    """Stop each endpoint and start it again."""

    async def restart():
        await trio.sleep(at)
        for vm in _pages(context):
            for action in ("kill", "restart"):
                await trio.to_thread.run_sync(
                    context.installation.control_vm, vm, action
                )
                await trio.sleep(INTERVAL_S)

    context.disturb = restart


@behave.when("all plain endpoints become cold at {at:g} s")
def become_cold(context, at):
    """Make all endpoints cold at the same moment."""

    async def cool():
        await trio.sleep(at)
        async with trio.open_nursery() as nursery:
            for vm in _pages(context):
                nursery.start_soon(
                    trio.to_thread.run_sync,
                    context.installation.make_cold,
                    vm,
                    COLD_S,
                )

    context.disturb = cool


@behave.then("no endpoint has ended as it got too many requests")
def check_alive(context):
    """Read what the endpoints have recorded."""
    found = context.installation.engine_violations()
    assert not found, found
