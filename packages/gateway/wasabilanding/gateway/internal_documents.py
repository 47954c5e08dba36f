"""What the nodes keep for themselves in the store, as JSON documents."""

import collections.abc
import functools
import logging
import typing

from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import model

# Documents that are read again and again are decoded once.
CACHED_DOCUMENTS = 4096

_LOG = logging.getLogger(__name__)


@functools.lru_cache(maxsize=CACHED_DOCUMENTS)
def _document(
    kind: type[typing.Any], key: str, value: bytes
) -> typing.Any | None:
    try:
        return model.decode(kind, value)
    except model.InvalidDocument as error:
        _LOG.warning("%s is not used: %s", key, error)
        return None


def documents(
    items: collections.abc.Mapping[str, metadata.Item],
    prefix: str,
    kind: type[typing.Any],
) -> list[typing.Any]:
    """Return the documents under a prefix that can be read.

    :param items: the nodes' own keys.
    :param prefix: begin of the keys.
    :param kind: type of the documents.
    """
    found = [
        _document(kind, key, item.value)
        for key, item in items.items()
        if key.startswith(prefix)
    ]
    return [document for document in found if document is not None]


async def write(
    store: messages.Store,
    documents_by_key: collections.abc.Mapping[str, typing.Any],
    ttl_s: float,
) -> metadata.Lease | None:
    """Write documents under a new lease, and return it if they are written.

    :param store: the platform's store.
    :param documents_by_key: the documents.
    :param ttl_s: time to live in seconds.
    """
    lease = await store.grant_lease(ttl_s)
    if not isinstance(lease, metadata.Lease):
        _LOG.info("not written: %s: %s", list(documents_by_key), lease.detail)
        return None
    values = {
        key: model.encode(document).encode()
        for key, document in documents_by_key.items()
    }
    written = await store.put_all(values, lease)
    if not isinstance(written, metadata.Written):
        _LOG.info("not written: %s: %s", list(documents_by_key), written)
        return None
    return lease
