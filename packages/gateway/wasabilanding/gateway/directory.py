"""Directory of the nodes' addresses, stored under leases.

A node writes its address when it starts and renews the lease. Addresses are
used only for messages that may be lost, so a stale one does no harm.
"""

import collections.abc
import dataclasses
import logging

import trio

from wasabilanding.gateway import internal_documents
from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import model

# Long, to keep the load of renewals on the store low.
LEASE_TTL_S = 90.0
RENEW_INTERVAL_S = 30.0
RETRY_INTERVAL_S = 2.0
# Interval of the check whether the store was restored from a copy.
ERA_CHECK_INTERVAL_S = 1.0

# Messages that nodes of this build understand: 0 is all up to questions on
# limits that endpoints name, 1 also questions on cold endpoints. A message of
# a new kind that is to be answered needs a greater one.
PROTOCOL = 1

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """Address at which a node receives messages from other nodes.

    :param node: name of the node.
    :param failure_domain: its failure domain.
    :param host: IP address.
    :param port: UDP port.
    :param protocol: what the node understands, see :data:`PROTOCOL`; 0 is also
        that of builds that do not say it.
    """

    node: str
    failure_domain: str
    host: str
    port: int
    protocol: model.Count = 0


def address_prefix(wire: messages.WireFormat) -> str:
    """Return the key prefix of the addresses.

    :param wire: defines the store's key prefixes.
    """
    return f"{wire.internal_prefix}nodes/"


def count_nodes(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> int:
    """Return the number of nodes, including this one.

    :param items: the nodes' internal items.
    :param prefix: key prefix of the addresses.
    """
    return sum(key.startswith(prefix) for key in items)


def decode_addresses(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> list[NodeAddress]:
    """Return the valid addresses.

    :param items: the nodes' internal items.
    :param prefix: key prefix of the addresses.
    """
    return internal_documents.documents(items, prefix, NodeAddress)


async def keep_registered(
    store: messages.Store, prefix: str, address: NodeAddress
) -> None:
    """Keep an address in the store; never returns.

    :param store: the platform's store.
    :param prefix: key prefix of the addresses.
    :param address: address of this node.
    """
    lease = None
    while True:
        if lease is None:
            key = f"{prefix}{address.node}"
            lease = await internal_documents.write(
                store, {key: address}, LEASE_TTL_S
            )
            if lease is not None:
                _LOG.info("registered address: %s", address)
        else:
            renewed = await store.renew_lease(lease)
            if isinstance(renewed, metadata.Missing):
                lease = None
                continue
        if lease is None:
            await trio.sleep(RETRY_INTERVAL_S)
        elif await _was_restored(store, lease):
            lease = None


async def _was_restored(store: messages.Store, lease: metadata.Lease) -> bool:
    """Wait until a lease must be renewed or the store was restored.

    :returns: whether the store was restored since the lease was granted.
    """
    renew_at = trio.current_time() + RENEW_INTERVAL_S
    while trio.current_time() < renew_at:
        if store.latest_era > lease.era:
            return True
        await trio.sleep(ERA_CHECK_INTERVAL_S)
    return False
