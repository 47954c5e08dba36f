"""JSON documents that the nodes keep in the store for internal use."""

import collections.abc
import functools
import logging
import typing

from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import model

# Unchanged documents are read repeatedly but decoded only once.
CACHED_DOCUMENTS = 4096

_LOG = logging.getLogger(__name__)


@functools.lru_cache(maxsize=CACHED_DOCUMENTS)
def _document(
    kind: type[typing.Any], key: str, value: bytes
) -> typing.Any | None:
    try:
        return model.decode(kind, value)
    except model.InvalidDocument as error:
        _LOG.warning("invalid document %s ignored: %s", key, error)
        return None


def documents(
    items: collections.abc.Mapping[str, metadata.Item],
    prefix: str,
    kind: type[typing.Any],
) -> list[typing.Any]:
    """Return the valid documents under a key prefix.

    :param items: the nodes' internal items.
    :param prefix: key prefix of the documents.
    :param kind: type of the documents.
    """
    found = [
        _document(kind, key, item.value)
        for key, item in items.items()
        if key.startswith(prefix)
    ]
    return [document for document in found if document is not None]


def encode(document: typing.Any) -> bytes:
    """Return a document as it is stored.

    :param document: the document.
    """
    return model.encode(document).encode()


async def write(
    store: messages.Store,
    documents_by_key: collections.abc.Mapping[str, typing.Any],
    ttl_s: float,
) -> metadata.Lease | None:
    """Write documents under a new lease.

    :param store: the platform's store.
    :param documents_by_key: the documents.
    :param ttl_s: time to live in seconds of the lease.
    :returns: the lease; None if the documents were not written.
    """
    lease = await store.grant_lease(ttl_s)
    if not isinstance(lease, metadata.Lease):
        _LOG.info(
            "could not write %s: %s", list(documents_by_key), lease.detail
        )
        return None
    values = {
        key: encode(document) for key, document in documents_by_key.items()
    }
    written = await store.put_all(values, lease)
    if not isinstance(written, metadata.Written):
        _LOG.info("could not write %s: %s", list(documents_by_key), written)
        return None
    return lease
