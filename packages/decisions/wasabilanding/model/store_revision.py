"""Eras and revisions of the platform's store.

Explanation
===========

The store may be restored from a copy that is some seconds old. Its revisions
then go back and are given out again for other changes, and its era rises by
one. So a revision has a meaning only together with its era.
"""

import dataclasses
import typing

Era = typing.NewType("Era", int)

# Era of a store that states none.
NO_ERA = Era(0)
MAX_ERA_DIGITS = 15


@dataclasses.dataclass(frozen=True, order=True)
class StoreRevision:
    """A state of the store; a later era is newer at any number.

    :param era: era of the store.
    :param number: revision within the era.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.StoreRevision(2, 90) > model.StoreRevision(1, 140)
    True
    """

    era: Era = NO_ERA
    number: int = 0


def read_era(text: str | None) -> Era:
    """Return the era that an answer of the store states.

    :param text: value of its header; None if it has none.
    :returns: the era; :data:`NO_ERA` if it is missing or malformed.
    """
    if text is None:
        return NO_ERA
    digits = text.strip()
    is_number = digits.isascii() and digits.isdigit()
    if not is_number or len(digits) > MAX_ERA_DIGITS:
        return NO_ERA
    return Era(int(digits))
