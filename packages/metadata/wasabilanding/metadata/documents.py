"""The system's documents at the platform's service.

Explanation
===========

A write carries a writer token. When its answer is lost, the document is read
back: if the token is in it, the write took effect.
"""

import collections.abc
import dataclasses
import uuid

from wasabilanding import configuration
from wasabilanding.metadata import client
from wasabilanding.metadata import results
from wasabilanding import model

CONFIGURATION_KEY = "configuration"
MAX_CAS_ATTEMPTS = 8

Change = collections.abc.Callable[
    [configuration.Configuration], configuration.Configuration
]


def control_key(failure_domain: str) -> str:
    """Return the key of the lease holder of a failure domain.

    :param failure_domain: the failure domain.
    """
    return f"control/{failure_domain}"


def record_key(failure_domain: str) -> str:
    """Return the key of the record of a failure domain.

    :param failure_domain: the failure domain.
    """
    return f"record/{failure_domain}"


async def read_record(
    platform: client.PlatformClient, failure_domain: str
) -> model.DomainRecord | results.Unavailable:
    """Read the record of a failure domain.

    :param platform: client of the platform's service.
    :param failure_domain: the failure domain.
    """
    result = await platform.get(record_key(failure_domain))
    if isinstance(result, results.Missing):
        return model.DomainRecord(failure_domain)
    if isinstance(result, results.Unavailable):
        return result
    try:
        record = model.decode(model.DomainRecord, result.value)
    except model.InvalidDocument as error:
        return _malformed(result, error)
    if record.failure_domain != failure_domain:
        return results.Unavailable(
            f"{result.key} holds the record of {record.failure_domain!r}"
        )
    return dataclasses.replace(record, revision=result.revision)


def _malformed(
    entry: results.Entry, error: model.InvalidDocument
) -> results.Unavailable:
    return results.Unavailable(
        f"{entry.key} is malformed at revision {entry.revision}: {error}"
    )


async def write_record(
    platform: client.PlatformClient, record: model.DomainRecord
) -> model.DomainRecord | results.Conflict | results.Unavailable:
    """Write a record over the revision that it was made from.

    :param platform: client of the platform's service.
    :param record: the next record, with the revision that it replaces.
    :returns: the agreed record; :class:`Conflict` when another came first.
    """
    writer = uuid.uuid4().hex
    draft = dataclasses.replace(record, writer=writer)
    stored = dataclasses.replace(draft, revision=0)
    result = await platform.put(
        record_key(record.failure_domain),
        model.encode(stored),
        record.revision,
    )
    if isinstance(result, results.Written):
        return dataclasses.replace(draft, revision=result.revision)
    if isinstance(result, results.Unknown):
        return await _resolve_record(platform, draft)
    return result


async def _resolve_record(
    platform: client.PlatformClient, draft: model.DomainRecord
) -> model.DomainRecord | results.Conflict | results.Unavailable:
    found = await read_record(platform, draft.failure_domain)
    if isinstance(found, results.Unavailable):
        return found
    if found.writer == draft.writer:
        return found
    return results.Conflict(found.revision)


async def read_configuration(
    platform: client.PlatformClient,
) -> configuration.Configuration | results.Unavailable:
    """Read the operators' configuration.

    :param platform: client of the platform's service.
    """
    result = await platform.get(CONFIGURATION_KEY)
    if isinstance(result, results.Missing):
        return configuration.Configuration()
    if isinstance(result, results.Unavailable):
        return result
    return decode_configuration(result)


def decode_configuration(
    entry: results.Entry,
) -> configuration.Configuration | results.Unavailable:
    """Decode the stored configuration.

    :param entry: the stored value.
    :returns: the document; :class:`Unavailable` when the value does not fit.
    """
    try:
        document = model.decode(configuration.Configuration, entry.value)
    except model.InvalidDocument as error:
        return _malformed(entry, error)
    return dataclasses.replace(document, revision=entry.revision)


async def accept_change(
    platform: client.PlatformClient, change: Change
) -> configuration.Configuration | results.Unavailable | results.Unknown:
    """Apply an operator's change by compare-and-swap.

    :param platform: client of the platform's service.
    :param change: function from the current document to the next.
    :returns: the accepted document; :class:`Unavailable` when the change
        did not take effect; :class:`Unknown` when that can't be told.
    :raises wasabilanding.configuration.ChangeRefused: when the change does
        not apply to the document that stands.
    """
    writer = uuid.uuid4().hex
    # Revision that a write whose answer was lost may still replace, as it
    # may be on its way.
    unresolved: int | None = None
    for _ in range(MAX_CAS_ATTEMPTS):
        current = await read_configuration(platform)
        if isinstance(current, results.Unavailable):
            return _given_up(current, unresolved)
        if writer in current.writers:
            return current
        if unresolved != current.revision:
            unresolved = None
        result = await _write(platform, current, change, writer)
        if isinstance(result, configuration.Configuration):
            return result
        if isinstance(result, results.Unavailable):
            return _given_up(result, unresolved)
        if isinstance(result, results.Unknown):
            unresolved = current.revision
    return _given_up(
        results.Unavailable(f"{MAX_CAS_ATTEMPTS} writes lost the race"),
        unresolved,
    )


def _given_up(
    reason: results.Unavailable, unresolved: int | None
) -> results.Unavailable | results.Unknown:
    if unresolved is None:
        return reason
    return results.Unknown(
        f"the answer to a write was lost and then: {reason.detail}"
    )


async def _write(
    platform: client.PlatformClient,
    current: configuration.Configuration,
    change: Change,
    writer: str,
) -> configuration.Configuration | results.WriteResult:
    changed = change(current)
    writers = (*current.writers, writer)[-configuration.KEPT_WRITERS :]
    draft = dataclasses.replace(changed, writers=writers, revision=0)
    text = model.encode(draft)
    size = len(text.encode())
    if size > configuration.MAX_DOCUMENT_BYTES:
        raise configuration.ChangeRefused(
            f"the configuration would take {size} bytes; at most "
            f"{configuration.MAX_DOCUMENT_BYTES} are allowed"
        )
    result = await platform.put(CONFIGURATION_KEY, text, current.revision)
    if isinstance(result, results.Written):
        return dataclasses.replace(draft, revision=result.revision)
    return result
