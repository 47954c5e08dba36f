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


async def _start_again(installation, vms):
    """Stop each endpoint and start it again."""
    for vm in vms:
        for action in ("kill", "restart"):
            await trio.to_thread.run_sync(installation.control_vm, vm, action)
            await trio.sleep(INTERVAL_S)


async def _become_cold(installation, vms):
    """Make all endpoints cold at the same moment."""
    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(
                trio.to_thread.run_sync, installation.make_cold, vm, COLD_S
            )


@behave.when("all plain endpoints {happen} from {at:g} s on")
def change_endpoints(context, happen, at):
    """Choose what happens to the endpoints."""
    change = _become_cold if happen == "become cold" else _start_again
    vms = [vm for vm in context.installation.vms if vm.service == launch.PAGES]

    async def disturb():
        await trio.sleep(at)
        await change(context.installation, vms)

    context.disturb = disturb


@behave.then("no endpoint has ended as it got too many requests")
def check_alive(context):
    """Read what the endpoints have recorded."""
    found = context.installation.engine_violations()
    assert not found, found
