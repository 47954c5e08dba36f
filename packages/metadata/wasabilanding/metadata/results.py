"""Tagged results of calls to the platform's service."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Entry:
    """A stored value.

    :param key: its key.
    :param value: the text.
    :param revision: revision of the store at which it was written.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Missing:
    """There is no value under the key.

    :param key: the key.
    """

    key: str


@dataclasses.dataclass(frozen=True)
class Written:
    """A write took effect.

    :param revision: revision of the store that it made.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A write did not take effect: the expected revision was not met.

    :param revision: revision that stands; 0 for none.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The service did not take the call; a write did not take effect.

    :param detail: explanation for people.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The answer was lost; a write may have taken effect.

    :param detail: explanation for people.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Item:
    """A stored value of any bytes.

    :param key: its key.
    :param value: the bytes.
    :param revision: revision of the store at which it was written.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class Removal:
    """A key was removed.

    :param key: the key.
    :param revision: revision of the store at which it was removed.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """All items under a prefix.

    :param items: the items.
    :param revision: revision of the store from which a watch goes on.
    """

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """What happened after a revision.

    :param events: writes and removals, in order.
    :param revision: revision of the store from which a watch goes on.
    """

    events: tuple[Item | Removal, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the changes since a revision."""


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease that the service granted.

    :param lease_id: identity of the lease, as the service gave it.
    :param ttl_s: time to live in seconds.
    """

    lease_id: int | str
    ttl_s: float


WriteResult = Written | Conflict | Unavailable | Unknown
