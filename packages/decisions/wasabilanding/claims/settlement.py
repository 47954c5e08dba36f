"""How the end of a request gets into the store, whatever is found there."""

import dataclasses

from wasabilanding.claims import record


@dataclasses.dataclass(frozen=True)
class Put:
    """Write the claim by compare-and-swap over what was found."""


@dataclasses.dataclass(frozen=True)
class Settled:
    """Nothing is left to write."""


def settle(
    existing: record.Claim | None, final: record.Claim
) -> Put | Settled:
    """Decide what to write, so that the store holds a claim's end.

    A claim that was never seen to stand may still arrive late. Writing over
    an absent or released claim changes its revision, after which the late
    write conflicts.

    :param existing: the claim that stands, or None.
    :param final: the finished or released claim.
    """
    if existing is None:
        return Put()
    if existing.token == final.token:
        is_open = existing.state is record.ClaimState.OPEN
        return Put() if is_open else Settled()
    # An open or finished claim of another stands at a higher revision than
    # the late write expects.
    if existing.state is record.ClaimState.RELEASED:
        return Put()
    return Settled()
