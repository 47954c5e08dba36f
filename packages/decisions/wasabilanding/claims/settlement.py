"""Decision on how to store the final state of a claim."""

import dataclasses

from wasabilanding.claims import record


@dataclasses.dataclass(frozen=True)
class WriteClaim:
    """The claim is to be written by compare-and-swap."""


@dataclasses.dataclass(frozen=True)
class NothingToWrite:
    """Nothing is to be written."""


def settle(
    existing: record.Claim | None, final: record.Claim
) -> WriteClaim | NothingToWrite:
    """Decide whether to write the final state of a claim.

    An open claim that has not been found in the store may still arrive late.
    Writing over an absent or released claim changes the revision, so that the
    late write conflicts.

    :param existing: the stored claim, or None.
    :param final: the finished or released claim.
    """
    if existing is None:
        return WriteClaim()
    if existing.token == final.token:
        is_open = existing.state is record.ClaimState.OPEN
        return WriteClaim() if is_open else NothingToWrite()
    # An open or finished claim of another submission already has a higher
    # revision than the late write expects.
    if existing.state is record.ClaimState.RELEASED:
        return WriteClaim()
    return NothingToWrite()
