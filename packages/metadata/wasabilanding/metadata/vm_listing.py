"""Decodes the platform's list of VMs, entry by entry.

An entry that names no usable VM costs that entry alone. A list
without any usable entry is not believed: all VMs would seem to be gone.
"""

import collections.abc
import logging
import typing
import urllib.parse

from wasabilanding.metadata import answers
from wasabilanding.metadata import results
from wasabilanding import model

SCHEMES = ("http", "https")
MAX_SHOWN_CHARACTERS = 200
_LOG = logging.getLogger(__name__)


def decode_vms(
    outcome: answers.CallOutcome,
) -> tuple[model.Vm, ...] | results.Unavailable:
    """Return the usable VMs of a list.

    :param outcome: outcome of the call that requested it.
    """
    entries = answers.decode_body(tuple[typing.Any, ...], outcome)
    if isinstance(entries, results.Unavailable):
        return entries
    ignored: list[str] = []
    found = tuple(_vms(entries, ignored))
    if ignored:
        _LOG.warning(
            "%d VMs of the platform's list ignored; one is %s",
            len(ignored),
            ignored[0][:MAX_SHOWN_CHARACTERS],
        )
    if entries and not found:
        return results.Unavailable("malformed response: no usable VM")
    return found


def _vms(
    entries: collections.abc.Sequence[typing.Any], ignored: list[str]
) -> collections.abc.Iterator[model.Vm]:
    """Yield the usable VMs; add why the others are not to a list."""
    for index, value in enumerate(entries):
        entry = model.decode_entry(model.Vm, value, f"vms.{index}")
        if isinstance(entry, model.InvalidEntry):
            ignored.append(str(entry.mistakes[0]))
        elif not _is_usable(entry.address):
            ignored.append(f"vms.{index}: {entry.address!r} is no base URL")
        else:
            yield entry


def _is_usable(address: str) -> bool:
    """Return whether an address is a base URL that can be connected to."""
    if not (address.isascii() and address.isprintable()) or " " in address:
        return False
    try:
        url = urllib.parse.urlsplit(address)
        port = url.port
    except ValueError:
        # The port is no number or out of range, or an IPv6 address is invalid.
        return False
    return url.scheme in SCHEMES and bool(url.hostname) and port != 0
