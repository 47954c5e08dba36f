"""Acquires and renews the control lease of the failure domain.

Explanation
===========

Renewals run concurrently with the control loop, so that a slow call of the
loop does not let the lease expire. A renewal that is not answered within a
third of the lease's time to live is retried.
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
    """Context manager that holds the control lease and revokes it on exit.

    :param context: state shared by the daemon's loops.
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
        """Whether this node holds control of the failure domain."""
        lease = self._lease
        return lease is not None and lease.is_held(self._context.now())

    @property
    def has_lapsed(self) -> bool:
        """Whether the lease expired locally but the store has not said so."""
        return self._lease is not None and not self.is_held

    @property
    def fence(self) -> int:
        """Fencing token of the lease, or 0 without a lease."""
        return self._lease.fence if self._lease else 0

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
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
            "acquired control of failure domain %s with fence %d",
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
                "lost control of failure domain %s with fence %d",
                context.failure_domain,
                lease.fence,
            )
            self._lease = None
        return False
