"""Kinds of log lines."""

import collections.abc
import dataclasses
import logging


@dataclasses.dataclass(frozen=True)
class Rate:
    """Limit on the number of lines.

    :param per_s: lines per second.
    :param burst: lines in a burst.
    """

    per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, eq=False)
class Kind:
    """Lines that share a rate limit and a value.

    Kinds are compared by identity, as they are looked up for every line.

    :param name: name of the kind.
    :param value: lines of the lowest value are dropped first.
    :param rate: limit on its lines; None for no limit.
    """

    name: str
    value: int
    rate: Rate | None = None


# Returns the kind of a line.
KindOf = collections.abc.Callable[[logging.LogRecord], Kind]
