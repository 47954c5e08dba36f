"""Registrations in a store that was restored from a copy.

A registration in the copy may be older than the one that a node has. So what
a node knows of an endpoint stays until the endpoint has written again, except
where the copy is certainly newer.
"""

import dataclasses

from wasabilanding.fleet import endpoint as endpoint_module

Endpoint = endpoint_module.Endpoint


def merge_restored(known: Endpoint, listed: Endpoint) -> Endpoint:
    """Return the registration to use after a restore.

    :param known: registration known before the restore.
    :param listed: registration of the same identity in the restored store.

    Examples
    ========

    >>> import dataclasses
    >>> from wasabilanding import fleet
    >>> listed = fleet.Endpoint("e1", "s", "10.0.0.1", 80, "z1")
    >>> known = dataclasses.replace(listed, draining=True)
    >>> fleet.merge_restored(known, listed).draining
    True
    """
    if known.started_at_ms != listed.started_at_ms:
        return max(known, listed, key=lambda one: one.started_at_ms)
    draining = known.draining or listed.draining
    newer = listed if _epoch(listed) > _epoch(known) else known
    return dataclasses.replace(newer, draining=draining)


def _epoch(endpoint: Endpoint) -> int:
    return endpoint.membership.epoch if endpoint.membership else 0
