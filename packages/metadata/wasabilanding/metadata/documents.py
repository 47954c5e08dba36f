"""Documents stored at the platform's service.

Explanation
===========

A write carries a writer token. If its response is lost, the document is read
back: if it contains the token, the write took effect.
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
    """Return the key of the control lease holder of a failure domain.

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
        return _malformed_entry(result, error)
    if record.failure_domain != failure_domain:
        return results.Unavailable(
            f"{result.key} contains the record of {record.failure_domain!r}"
        )
    return dataclasses.replace(record, revision=result.revision)


def _malformed_entry(
    entry: results.Entry, error: model.InvalidDocument
) -> results.Unavailable:
    return results.Unavailable(
        f"{entry.key} is malformed at revision {entry.revision}: {error}"
    )


async def write_record(
    platform: client.PlatformClient, record: model.DomainRecord
) -> model.DomainRecord | results.Conflict | results.Unavailable:
    """Write a record by compare-and-swap.

    :param platform: client of the platform's service.
    :param record: the new record, with the revision that it replaces.
    :returns: the stored record; :class:`Conflict` if that revision is no
        longer current.
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
    """Read the configuration set by the operators.

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
    :returns: the document; :class:`Unavailable` if the value is malformed.
    """
    try:
        document = model.decode(configuration.Configuration, entry.value)
    except model.InvalidDocument as error:
        return _malformed_entry(entry, error)
    return dataclasses.replace(document, revision=entry.revision)


async def accept_change(
    platform: client.PlatformClient, change: Change
) -> configuration.Configuration | results.Unavailable | results.Unknown:
    """Apply an operator's change by compare-and-swap.

    :param platform: client of the platform's service.
    :param change: function from the current document to the next.
    :returns: the accepted document; :class:`Unavailable` if the change did
        not take effect; :class:`Unknown` if it may have.
    :raises wasabilanding.configuration.ChangeRefused: if the change does
        not apply to the current document.
    """
    writer = uuid.uuid4().hex
    # Revision that a write without a response may still replace, as it may
    # still be in flight.
    unresolved_revision: int | None = None
    for _ in range(MAX_CAS_ATTEMPTS):
        current = await read_configuration(platform)
        if isinstance(current, results.Unavailable):
            return _failed_change(current, unresolved_revision)
        if writer in current.writers:
            return current
        if unresolved_revision != current.revision:
            unresolved_revision = None
        result = await _write(platform, current, change, writer)
        if isinstance(result, configuration.Configuration):
            return result
        if isinstance(result, results.Unavailable):
            return _failed_change(result, unresolved_revision)
        if isinstance(result, results.Unknown):
            unresolved_revision = current.revision
    return _failed_change(
        results.Unavailable(f"{MAX_CAS_ATTEMPTS} writes failed by conflict"),
        unresolved_revision,
    )


def _failed_change(
    reason: results.Unavailable, unresolved_revision: int | None
) -> results.Unavailable | results.Unknown:
    if unresolved_revision is None:
        return reason
    return results.Unknown(f"a write had no response; then: {reason.detail}")


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
