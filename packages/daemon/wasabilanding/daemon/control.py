"""Control loop that reconciles the VMs of a failure domain."""

import logging

import trio

from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import control_lease
from wasabilanding import knowledge
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import placement
from wasabilanding import routing

LISTING_INTERVAL_S = 1.0
# Each fence has its own range of listing revisions, so that those of a new
# holder are higher than those of its predecessors.
LISTINGS_PER_FENCE = 1_000_000

_LOG = logging.getLogger(__name__)


class Controller:
    """Controls one failure domain while this node holds its control lease.

    :param context: state shared by the daemon's loops.
    :ivar spare_policy: policy for VMs that no wanted replica needs.
    """

    def __init__(self, context: context_module.Context) -> None:
        self.spare_policy: placement.SparePolicy = (
            placement.assign_spares_and_extras
        )
        self._context = context
        self._lease = control_lease.ControlLeaseManager(context)
        self._history = placement.History()
        self._fence = 0
        self._is_record_confirmed = False
        self._listed_at = float("-inf")

    @property
    def is_holder(self) -> bool:
        """Whether this node holds control of the failure domain."""
        return self._lease.is_held

    async def run(self) -> None:
        """Run the control loop until cancelled, then revoke the lease."""
        interval_s = self._context.settings.control_interval_s
        async with self._lease, trio.open_nursery() as nursery:
            nursery.start_soon(self._lease.run)
            while True:
                await self._tick_safely()
                await trio.sleep(interval_s)

    async def _tick_safely(self) -> None:
        try:
            await self._tick()
        except Exception:
            # An error here must not abort the requests running on this node.
            _LOG.exception(
                "control loop of failure domain %s failed",
                self._context.failure_domain,
            )

    async def _tick(self) -> None:
        if self._lease.has_lapsed:
            await self._send_substitution_orders()
        if not self.is_holder:
            return
        if self._fence != self._lease.fence:
            self._start_term(self._lease.fence)
        if not self._is_record_confirmed and not await self._read_record():
            await self._send_substitution_orders()
            return
        await self._refresh_listing()
        self._observe()
        await self._decide()
        await self._send_orders()
        await self._roll_back()

    def _start_term(self, fence: int) -> None:
        self._fence = fence
        self._is_record_confirmed = False
        self._history = placement.History()

    async def _read_record(self) -> bool:
        context = self._context
        record = await metadata.read_record(
            context.platform, context.failure_domain
        )
        if not isinstance(record, model.DomainRecord):
            return False
        context.known.learn_record(record)
        self._is_record_confirmed = True
        return True

    async def _refresh_listing(self) -> None:
        context = self._context
        if context.now() - self._listed_at < LISTING_INTERVAL_S:
            return
        self._listed_at = context.now()
        listed = await context.platform.list_vms(context.failure_domain)
        if not isinstance(listed, metadata.VmList) or not self.is_holder:
            return
        known = context.known.listing(context.failure_domain)
        if known.vms == listed.vms:
            return
        floor = self._fence * LISTINGS_PER_FENCE
        context.known.learn_listing(
            knowledge.VmListing(
                context.failure_domain,
                max(known.revision, floor) + 1,
                listed.vms,
            )
        )

    def _vms(self) -> dict[str, model.Vm]:
        listing = self._context.known.listing(self._context.failure_domain)
        return {vm.vm: vm for vm in listing.vms}

    def _reports(self) -> dict[str, model.VmReport]:
        context = self._context
        record = context.known.record(context.failure_domain)
        members = {vm for r in record.replicas for vm in r.members}
        own = members | self._vms().keys()
        reports = context.known.reports
        return {vm: report for vm, report in reports.items() if vm in own}

    def _observe(self) -> None:
        context = self._context
        self._history = placement.update_history(
            self._history,
            context.known.record(context.failure_domain),
            self._reports(),
            context.now(),
        )

    def _snapshot(self) -> placement.DomainSnapshot:
        context = self._context
        domain = context.failure_domain
        return placement.DomainSnapshot(
            record=context.known.record(domain),
            configuration=context.known.configuration,
            vms=context.known.listing(domain).vms,
            reports=self._reports(),
            now=context.now(),
            fence=self._fence,
            observing_since=self._history.settled_from,
            history=self._history,
        )

    async def _decide(self) -> None:
        context = self._context
        if not self.is_holder:
            return
        snapshot = self._snapshot()
        planned = placement.plan(snapshot, self.spare_policy)
        if planned == snapshot.record:
            return
        # Until the result of the write is known, the local record may be
        # outdated and no orders are sent from it.
        self._is_record_confirmed = False
        result = await metadata.write_record(context.platform, planned)
        if isinstance(result, model.DomainRecord):
            context.known.learn_record(result)
            self._is_record_confirmed = True
            _log_changes(snapshot.record, result)

    async def _send_orders(self) -> None:
        context = self._context
        record = context.known.record(context.failure_domain)
        if not self._is_record_confirmed or record.fence != self._fence:
            return
        vms = self._vms()
        now = context.now()
        reports = {
            vm: report
            for vm, report in self._reports().items()
            if vm in vms
            and now - report.observed_at < routing.MAX_REPORT_AGE_S
        }
        shortfall = placement.service_shortfall(
            context.known.configuration, record, reports, now
        )
        orders = placement.orders_for(
            record, reports, self._history.vms, shortfall
        )
        async with trio.open_nursery() as nursery:
            for order in orders:
                nursery.start_soon(self._send_if_holder, vms[order.vm], order)

    async def _send_substitution_orders(self) -> None:
        record = self._context.known.record(self._context.failure_domain)
        if record.fence != self._fence:
            return
        self._observe()
        vms = self._vms()
        async with trio.open_nursery() as nursery:
            for order in placement.substitution_orders(self._snapshot()):
                if order.vm in vms:
                    nursery.start_soon(self._send_order, vms[order.vm], order)

    async def _send_if_holder(
        self, vm: model.Vm, order: placement.Order
    ) -> None:
        if self.is_holder:
            await self._send_order(vm, order)

    async def _send_order(self, vm: model.Vm, order: placement.Order) -> None:
        result = await self._context.endpoints.order(vm, order)
        if not result.accepted:
            _LOG.warning(
                "VM %s did not accept an order: %s", vm.vm, result.detail
            )

    async def _roll_back(self) -> None:
        context = self._context
        if not self.is_holder or self._history.is_settling(context.now()):
            return
        for rollback in placement.find_rollbacks(self._snapshot()):
            await self._apply_rollback(rollback)

    async def _apply_rollback(self, rollback: placement.Rollback) -> None:
        context = self._context
        try:
            result = await metadata.accept_change(
                context.platform, rollback.apply
            )
        except configuration.ChangeRefused as error:
            _LOG.info("rollback was refused: %s", error)
            return
        if isinstance(result, configuration.Configuration):
            context.known.learn_configuration(result)
            _LOG.error(
                "revision %d of profile %s is faulty; service %s was rolled "
                "back to revision %d of profile %s",
                rollback.revision,
                rollback.profile,
                rollback.service,
                rollback.good_revision,
                rollback.good_profile,
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
                "replica %s was removed",
                replica.replica_id,
                extra={"replica": replica.replica_id},
            )
