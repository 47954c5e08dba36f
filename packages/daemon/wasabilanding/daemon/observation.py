"""Collects reports from the VMs assigned to this node."""

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import membership
from wasabilanding import model

FORGET_AFTER_S = 60.0


def assigned_vms(context: context_module.Context) -> list[model.Vm]:
    """Return the VMs that this node polls for reports.

    The VMs of a failure domain are distributed over its live nodes.

    :param context: state shared by the daemon's loops.
    """
    nodes = context.members.live(context.now(), context.failure_domain)
    names = tuple(node.name for node in nodes)
    listing = context.known.listing(context.failure_domain)
    own = membership.own_keys(
        context.settings.node, names, tuple(vm.vm for vm in listing.vms)
    )
    return [vm for vm in listing.vms if vm.vm in own]


async def _observe(context: context_module.Context, vm: model.Vm) -> None:
    report = await context.endpoints.report(vm, context.now())
    if report is not None:
        context.known.learn_report(report)


async def observe_endpoints(context: context_module.Context) -> None:
    """Poll the assigned VMs for reports until cancelled.

    :param context: state shared by the daemon's loops.
    """
    while True:
        with trio.move_on_after(context.settings.observation_interval_s):
            async with trio.open_nursery() as nursery:
                for vm in assigned_vms(context):
                    nursery.start_soon(_observe, context, vm)
            await trio.sleep_forever()
        context.known.forget_reports(context.now() - FORGET_AFTER_S)
