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
