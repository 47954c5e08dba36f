"""Takes and renews the lease of control of the failure domain.

Explanation
===========

Renewals run beside the decisions, so that a slow call of the decisions does
not let the lease lapse. A renewal that is not answered in a third of the
lease's time is tried anew.
"""

import dataclasses
import logging
import typing

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import metadata
from wasabilanding import placement

RENEWALS_PER_TTL = 3
RETRIES_PER_TTL = 10

_LOG = logging.getLogger(__name__)


class ControlLeaseManager:
    """The lease of control, while this node holds it; a context manager.

    :param context: what the loops share.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._lease: placement.ControlLease | None = None

    async def __aenter__(self) -> "ControlLeaseManager":
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        with trio.CancelScope(shield=True):
            if self._lease is not None and self.is_held:
                await self._context.platform.revoke_lease(self._lease.lease_id)

    @property
    def is_held(self) -> bool:
        """Whether this node may act for the failure domain."""
        lease = self._lease
        return lease is not None and lease.is_held(self._context.now())

    @property
    def has_lapsed(self) -> bool:
        """Whether the lease lapsed and the service has not said so yet."""
        return self._lease is not None and not self.is_held

    @property
    def fence(self) -> int:
        """Fencing number of the lease; 0 without one."""
        return self._lease.fence if self._lease else 0

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        ttl_s = self._context.settings.lease_ttl_s
        while True:
            if self._lease is None:
                await self._acquire()
                await trio.sleep(ttl_s / RETRIES_PER_TTL)
            elif await self._renew():
                await trio.sleep(ttl_s / RENEWALS_PER_TTL)
            else:
                await trio.sleep(ttl_s / RETRIES_PER_TTL)

    def _is_candidate(self) -> bool:
        context = self._context
        live = context.members.live(context.now(), context.failure_domain)
        names = [node.name for node in live]
        return placement.is_candidate(
            context.settings.node, names, context.failure_domain
        )

    async def _acquire(self) -> None:
        context = self._context
        key = metadata.control_key(context.failure_domain)
        if not self._is_candidate():
            return
        if not isinstance(await context.platform.get(key), metadata.Missing):
            return
        ttl_s = context.settings.lease_ttl_s
        sent_at = context.now()
        granted = await context.platform.grant_lease(ttl_s)
        if not isinstance(granted, metadata.LeaseGranted):
            return
        result = await context.platform.put(
            key, context.settings.node, 0, granted.lease_id
        )
        if not isinstance(result, metadata.Written):
            await context.platform.revoke_lease(granted.lease_id)
            return
        self._lease = placement.ControlLease(
            granted.lease_id, result.revision, ttl_s, sent_at
        )
        _LOG.info(
            "holds control of %s with fence %d",
            context.failure_domain,
            result.revision,
        )

    async def _renew(self) -> bool:
        context = self._context
        lease = self._lease
        sent_at = context.now()
        result = None
        with trio.move_on_after(lease.ttl_s / RENEWALS_PER_TTL):
            result = await context.platform.renew_lease(lease.lease_id)
        if isinstance(result, metadata.LeaseGranted):
            self._lease = dataclasses.replace(lease, renewed_at=sent_at)
            return True
        if isinstance(result, metadata.Missing):
            _LOG.warning(
                "lost control of %s with fence %d",
                context.failure_domain,
                lease.fence,
            )
            self._lease = None
        return False
