"""Addresses of the nodes, kept in the store under leases.

A node writes its own address when it starts and renews its lease. The
addresses serve messages that may be lost, so an old one does no harm.
"""

import collections.abc
import dataclasses
import logging

import trio

from wasabilanding.gateway import internal_documents
from wasabilanding.gateway import messages
from wasabilanding import metadata

# Long, so that renewals cost the store little.
LEASE_TTL_S = 90.0
RENEW_INTERVAL_S = 30.0
RETRY_INTERVAL_S = 5.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """Where a node takes messages from other nodes.

    :param node: name of the node.
    :param failure_domain: its failure domain.
    :param host: IP address.
    :param port: UDP port.
    """

    node: str
    failure_domain: str
    host: str
    port: int


def address_prefix(wire: messages.WireFormat) -> str:
    """Return the begin of the keys that hold addresses.

    :param wire: names what lies in the store.
    """
    return f"{wire.internal_prefix}nodes/"


def count_nodes(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> int:
    """Return the number of nodes, this one included.

    :param items: the nodes' own keys.
    :param prefix: begin of the keys that hold addresses.
    """
    return sum(key.startswith(prefix) for key in items)


def decode_addresses(
    items: collections.abc.Mapping[str, metadata.Item], prefix: str
) -> list[NodeAddress]:
    """Return the addresses that can be read.

    :param items: the nodes' own keys.
    :param prefix: begin of the keys that hold addresses.
    """
    return internal_documents.documents(items, prefix, NodeAddress)


async def keep_registered(
    store: messages.Store, prefix: str, address: NodeAddress
) -> None:
    """Keep an address in the store; never returns.

    :param store: the platform's store.
    :param prefix: begin of the keys that hold addresses.
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
                _LOG.info("registered its address: %s", address)
        else:
            renewed = await store.renew_lease(lease)
            if isinstance(renewed, metadata.Missing):
                lease = None
                continue
        await trio.sleep(RENEW_INTERVAL_S if lease else RETRY_INTERVAL_S)
