"""Decoding of a document whose parts may be invalid by themselves.

Explanation
===========

A node of a newer build may send a kind of message, or a value of a field, that
this one does not know. It must not hide the rest of what was sent. A document
is therefore decoded as a whole, which is fast. Only if that fails, the parts
that are listed as independent and contain a mistake are taken out, and what is
left is decoded. A mistake outside of them makes the document invalid.
"""

import collections.abc
import enum
import json
import typing

from wasabilanding.model import codec

T = typing.TypeVar("T")


class Each(enum.Enum):
    """Stands for any index in the path of a part."""

    INDEX = "*"


PartPath = tuple[str | Each, ...]
Location = tuple[str | int, ...]


def decode_parts(
    kind: type[T],
    text: bytes,
    parts: collections.abc.Iterable[PartPath],
) -> tuple[T, tuple[codec.Mistake, ...]]:
    """Decode JSON text without the parts of it that are invalid.

    :param kind: type of the document.
    :param text: JSON document.
    :param parts: paths of the parts that may be left out.
    :returns: the validated value, and why parts were left out.
    :raises InvalidDocument: if it is invalid outside of these parts.

    Examples
    ========

    >>> from wasabilanding import model
    >>> kind = dict[str, tuple[int, ...]]
    >>> parts = (("a", model.Each.INDEX),)
    >>> value, mistakes = model.decode_parts(kind, b'{"a": [1, "x"]}', parts)
    >>> value, [mistake.path for mistake in mistakes]
    ({'a': (1,)}, ['a.1'])
    """
    try:
        return codec.decode(kind, text), ()
    except codec.InvalidDocument as error:
        invalid = error
    locations = {_part_of(m.location, parts) for m in invalid.mistakes}
    if None in locations:
        raise invalid
    document = json.loads(text)
    # An inner part comes before the outer one, and a later index before an
    # earlier one, so that each location is still right.
    for location in sorted(locations, reverse=True):
        _remove(document, location)
    return codec.decode_value(kind, document), invalid.mistakes


def _part_of(
    location: Location, parts: collections.abc.Iterable[PartPath]
) -> Location | None:
    """Return the location of the innermost part that holds a mistake."""
    found = [part for part in parts if _is_within(location, part)]
    return location[: max(map(len, found))] if found else None


def _is_within(location: Location, part: PartPath) -> bool:
    if len(location) < len(part):
        return False
    return all(
        isinstance(key, int) if name is Each.INDEX else key == name
        for key, name in zip(location, part, strict=False)
    )


def _remove(document: typing.Any, location: Location) -> None:
    *parents, last = location
    for key in parents:
        document = document[key]
    del document[last]
