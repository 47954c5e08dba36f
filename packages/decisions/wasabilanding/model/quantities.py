"""Quantities in documents that others write.

Explanation
===========

A quantity may be whole or have a fraction, be 0, or be larger than on any
known deployment. What is counted in whole things is rounded where it is used:
an allowance or a capacity down, a demand up.
"""

import math
import typing

import pydantic

# Largest TCP port.
MAX_PORT = 65535
# JSON readers represent integers exactly up to it.
MAX_WHOLE_NUMBER = 2**53
Count = typing.Annotated[int, pydantic.Field(ge=0)]
Quantity = typing.Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


def rounded_down(quantity: float, at_least: int = 0) -> int:
    """Return the whole part of an allowance or a capacity.

    :param quantity: the quantity.
    :param at_least: minimum result.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.rounded_down(39.9), model.rounded_down(0.5, at_least=1)
    (39, 1)
    """
    return max(math.floor(quantity), at_least)


def rounded_up(quantity: float, at_least: int = 0) -> int:
    """Return the whole number that covers a demand.

    :param quantity: the quantity.
    :param at_least: minimum result.

    Examples
    ========

    >>> from wasabilanding import model
    >>> model.rounded_up(5.1), model.rounded_up(0, at_least=1)
    (6, 1)
    """
    return max(math.ceil(quantity), at_least)
