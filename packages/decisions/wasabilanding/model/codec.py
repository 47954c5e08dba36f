"""JSON encoding and validated decoding of the frozen data classes.

Explanation
===========

Pydantic validates data classes where documents enter the system. A document
that does not match its type raises :class:`InvalidDocument`, which lists each
invalid field with its path, its value and what is allowed.
"""

import dataclasses
import functools
import typing

import pydantic

T = typing.TypeVar("T")

MAX_SHOWN_CHARACTERS = 80
# Path of a mistake that concerns the document as a whole.
WHOLE_DOCUMENT = "(document)"
MISSING_TYPES = frozenset(("missing", "missing_argument"))
UNKNOWN_KEY_TYPES = frozenset(
    ("extra_forbidden", "unexpected_keyword_argument")
)
STRICT = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True)
class Mistake:
    """One invalid field of a document.

    :param path: dotted path of the field.
    :param value: the invalid value, shortened.
    :param allowed: what the field accepts.
    :param location: names and indices that lead to the field.
    """

    path: str
    value: str
    allowed: str
    location: tuple[str | int, ...] = ()

    def __str__(self) -> str:
        return f"{self.path}: {self.value} is not allowed: {self.allowed}"


class InvalidDocument(ValueError):
    """A document does not match its type.

    :param mistakes: all invalid fields, in document order.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__("; ".join(str(m) for m in mistakes))
        self.mistakes = mistakes


@functools.cache
def _adapter(kind: typing.Any) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(kind)


def _shortened(value: typing.Any) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[: MAX_SHOWN_CHARACTERS - 3] + "..."
    return text


def _mistake(error: typing.Any) -> Mistake:
    path = ".".join(str(part) for part in error["loc"]) or WHOLE_DOCUMENT
    location = tuple(error["loc"])
    if error["type"] in MISSING_TYPES:
        return Mistake(path, "nothing", "a value is required", location)
    value = _shortened(error["input"])
    if error["type"] in UNKNOWN_KEY_TYPES:
        return Mistake(path, value, "there is no such key", location)
    return Mistake(path, value, error["msg"], location)


def decode(kind: type[T], text: str | bytes) -> T:
    """Decode JSON text into a value of the given type.

    :param kind: data class or annotated type to decode into.
    :param text: JSON document.
    :returns: the validated value.
    :raises InvalidDocument: when the text is malformed or does not match.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.decode(int, "7")
    7
    """
    try:
        return _adapter(kind).validate_json(text)
    except pydantic.ValidationError as error:
        raise _invalid(error) from None


def decode_value(kind: type[T], value: typing.Any) -> T:
    """Decode parsed JSON into a value of the given type.

    :param kind: data class or annotated type to decode into.
    :param value: the parsed JSON.
    :returns: the validated value.
    :raises InvalidDocument: when the value does not match.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.decode_value(tuple[float, ...], [1, 2.5])
    (1.0, 2.5)
    """
    try:
        return _adapter(kind).validate_python(value)
    except pydantic.ValidationError as error:
        raise _invalid(error) from None


@dataclasses.dataclass(frozen=True)
class InvalidEntry:
    """A part of a document that does not match its type.

    :param value: the parsed JSON of the part.
    :param mistakes: all invalid fields, with their paths in the document.
    """

    value: typing.Any
    mistakes: tuple[Mistake, ...]


def decode_entry(
    kind: type[T], value: typing.Any, path: str
) -> T | InvalidEntry:
    """Decode a part of a document that may be invalid by itself.

    :param kind: its type.
    :param value: its parsed JSON.
    :param path: its dotted path in the document.
    :returns: the validated part, or what is wrong with it.

    Examples
    ========

    >>> from wasabilanding import model
    >>> entry = model.decode_entry(float, "x", "weights.1")
    >>> str(entry.mistakes[0]).partition(" is")[0]
    "weights.1: 'x'"
    """
    try:
        return decode_value(kind, value)
    except InvalidDocument as error:
        mistakes = tuple(
            dataclasses.replace(mistake, path=_joined(path, mistake.path))
            for mistake in error.mistakes
        )
        return InvalidEntry(value, mistakes)


def _joined(path: str, inner: str) -> str:
    return path if inner == WHOLE_DOCUMENT else f"{path}.{inner}"


def _invalid(error: pydantic.ValidationError) -> InvalidDocument:
    return InvalidDocument(tuple(_mistake(e) for e in error.errors()))


def encode(value: typing.Any, kind: typing.Any = None) -> str:
    """Encode a data class as compact JSON.

    :param value: the value to encode.
    :param kind: its declared type, where it differs from the class.
    :returns: JSON text.
    """
    return _adapter(kind or type(value)).dump_json(value).decode()


def json_schema(kind: typing.Any) -> dict[str, typing.Any]:
    """Return the JSON Schema of a type.

    :param kind: data class or annotated type.
    :returns: the schema as plain dictionaries.
    """
    return _adapter(kind).json_schema()
