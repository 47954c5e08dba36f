"""Holds control of the failure domain and brings its VMs in line."""

import dataclasses
import logging

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import knowledge
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import platform
from wasabilanding import routing

RENEWALS_PER_TTL = 3
LISTING_INTERVAL_S = 1.0
LISTINGS_PER_FENCE = 1_000_000

_LOG = logging.getLogger(__name__)


class Controller:
    """Control of one failure domain, while this node holds its lease.

    :param context: what the loops share.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._lease: placement.ControlLease | None = None
        self._since = 0.0
        self._listed_at = float("-inf")

    @property
    def is_holder(self) -> bool:
        """Whether this node may act for the failure domain."""
        lease = self._lease
        return lease is not None and lease.is_held(self._context.now())

    async def run(self) -> None:
        """Decide and act until cancelled; then give the lease back."""
        try:
            while True:
                await self._tick()
                await trio.sleep(self._context.settings.control_interval_s)
        finally:
            with trio.CancelScope(shield=True):
                await self._give_back()

    async def _give_back(self) -> None:
        if self._lease is not None and self.is_holder:
            await self._context.platform.revoke_lease(self._lease.lease_id)

    async def _tick(self) -> None:
        if self._lease is None:
            await self._acquire()
        else:
            await self._renew()
        if not self.is_holder:
            return
        await self._refresh_listing()
        await self._decide()
        await self._carry_out()

    async def _acquire(self) -> None:
        context = self._context
        ttl_s = context.settings.lease_ttl_s
        key = platform.control_key(context.failure_domain)
        if isinstance(await context.platform.get(key), platform.Entry):
            return
        sent_at = context.now()
        granted = await context.platform.grant_lease(ttl_s)
        if not isinstance(granted, platform.LeaseGranted):
            return
        result = await context.platform.put(
            key, context.settings.node, 0, granted.lease_id
        )
        if not isinstance(result, platform.Written):
            await context.platform.revoke_lease(granted.lease_id)
            return
        await self._take_over(granted.lease_id, result.revision, sent_at)

    async def _take_over(
        self, lease_id: str, fence: int, sent_at: float
    ) -> None:
        context = self._context
        record = await platform.read_record(
            context.platform, context.failure_domain
        )
        if not isinstance(record, model.DomainRecord):
            await context.platform.revoke_lease(lease_id)
            return
        context.known.learn_record(record)
        ttl_s = context.settings.lease_ttl_s
        self._lease = placement.ControlLease(lease_id, fence, ttl_s, sent_at)
        self._since = context.now()
        _LOG.info(
            "holds control of %s with fence %d",
            context.failure_domain,
            fence,
        )

    async def _renew(self) -> None:
        context = self._context
        lease = self._lease
        due_at = lease.renewed_at + lease.ttl_s / RENEWALS_PER_TTL
        if context.now() < due_at:
            return
        sent_at = context.now()
        result = await context.platform.renew_lease(lease.lease_id)
        if isinstance(result, platform.LeaseGranted):
            self._lease = dataclasses.replace(lease, renewed_at=sent_at)
        elif isinstance(result, platform.Missing) or not self.is_holder:
            _LOG.warning(
                "lost control of %s with fence %d",
                context.failure_domain,
                lease.fence,
            )
            self._lease = None

    async def _refresh_listing(self) -> None:
        context = self._context
        if context.now() - self._listed_at < LISTING_INTERVAL_S:
            return
        self._listed_at = context.now()
        listed = await context.platform.list_vms(context.failure_domain)
        if not isinstance(listed, platform.VmList) or not self._lease:
            return
        known = context.known.listing(context.failure_domain)
        if known.vms == listed.vms:
            return
        floor = self._lease.fence * LISTINGS_PER_FENCE
        context.known.learn_listing(
            knowledge.VmListing(
                context.failure_domain,
                max(known.revision, floor) + 1,
                listed.vms,
            )
        )

    def _situation(self) -> placement.Situation:
        context = self._context
        domain = context.failure_domain
        return placement.Situation(
            record=context.known.record(domain),
            configuration=context.known.configuration,
            vms=context.known.listing(domain).vms,
            reports=context.known.reports,
            now=context.now(),
            fence=self._lease.fence,
            since=self._since,
        )

    async def _decide(self) -> None:
        context = self._context
        if not self.is_holder or self._is_settling():
            return
        situation = self._situation()
        planned = placement.plan(situation)
        if planned == situation.record:
            return
        result = await platform.write_record(context.platform, planned)
        if isinstance(result, model.DomainRecord):
            context.known.learn_record(result)
            _log_changes(situation.record, result)
        elif isinstance(result, platform.Conflict):
            await self._reread()

    def _is_settling(self) -> bool:
        # A new holder first hears of the VMs before it calls any of them
        # lost.
        return self._context.now() - self._since < routing.FRESHNESS_S

    async def _reread(self) -> None:
        record = await platform.read_record(
            self._context.platform, self._context.failure_domain
        )
        if isinstance(record, model.DomainRecord):
            self._context.known.learn_record(record)

    async def _carry_out(self) -> None:
        context = self._context
        record = context.known.record(context.failure_domain)
        if self._lease is None or record.fence != self._lease.fence:
            return
        listing = context.known.listing(context.failure_domain)
        vms = {vm.vm: vm for vm in listing.vms}
        reports = {
            vm: report
            for vm, report in context.known.reports.items()
            if vm in vms
            and context.now() - report.observed_at < routing.FRESHNESS_S
        }
        async with trio.open_nursery() as nursery:
            for order in placement.orders_for(record, reports):
                nursery.start_soon(self._send, vms[order.vm], order)

    async def _send(
        self, vm: model.Vm, order: placement.Load | placement.Release
    ) -> None:
        if not self.is_holder:
            return
        result = await self._context.endpoints.order(vm, order)
        if not result.taken:
            _LOG.warning(
                "order to VM %s was not taken: %s", vm.vm, result.detail
            )


def _log_changes(
    before: model.DomainRecord, after: model.DomainRecord
) -> None:
    known = {(r.replica_id, r.epoch, r.state) for r in before.replicas}
    for replica in after.replicas:
        if (replica.replica_id, replica.epoch, replica.state) in known:
            continue
        _LOG.info(
            "replica %s is %s at epoch %d on %s",
            replica.replica_id,
            replica.state.value,
            replica.epoch,
            ", ".join(replica.members),
            extra={"replica": replica.replica_id},
        )
    kept = {r.replica_id for r in after.replicas}
    for replica in before.replicas:
        if replica.replica_id not in kept:
            _LOG.info(
                "replica %s is dissolved",
                replica.replica_id,
                extra={"replica": replica.replica_id},
            )
