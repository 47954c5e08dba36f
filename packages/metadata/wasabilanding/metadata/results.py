"""Result types of calls to the platform's service.

A revision counts within the era of the store that answered.
"""

import dataclasses

from wasabilanding import model


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

    :param revision: revision of the store that the write created.
    :param era: era of the store that answered.
    """

    revision: int
    era: model.Era = model.NO_ERA


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A write did not take effect because its condition was not met.

    :param revision: current revision; 0 if there is none or it is unknown.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The call failed; a write did not take effect.

    :param detail: human-readable explanation.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """There was no usable response; a write may have taken effect.

    :param detail: human-readable explanation.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class Item:
    """A stored binary value.

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
    :param revision: revision of the store from which to continue watching.
    :param era: era of the store that answered.
    """

    items: tuple[Item, ...]
    revision: int
    era: model.Era = model.NO_ERA

    @property
    def store_revision(self) -> model.StoreRevision:
        """Revision from which to continue watching, with its era."""
        return model.StoreRevision(self.era, self.revision)


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes after a revision.

    :param events: writes and removals, in order.
    :param revision: revision of the store from which to continue watching.
    :param era: era of the store that answered.
    """

    events: tuple[Item | Removal, ...]
    revision: int
    era: model.Era = model.NO_ERA

    @property
    def store_revision(self) -> model.StoreRevision:
        """Revision from which to continue watching, with its era."""
        return model.StoreRevision(self.era, self.revision)


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store does not have the changes since a revision.

    :param era: era of the store that answered.
    """

    era: model.Era = model.NO_ERA


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease that the service granted.

    Its ID may be given out again in a later era of the store, so it is used
    in its own era only.

    :param lease_id: ID of the lease, as returned by the service.
    :param ttl_s: time to live in seconds.
    :param era: era of the store that granted it.
    """

    lease_id: int | str
    ttl_s: float
    era: model.Era = model.NO_ERA


WriteResult = Written | Conflict | Unavailable | Unknown
