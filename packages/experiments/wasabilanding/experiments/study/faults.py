"""Applies the faults of an experiment at their times."""

import collections.abc
import typing

import trio

from wasabilanding.experiments.study import specification


class FaultTarget(typing.Protocol):
    """A system to which faults can be applied."""

    async def apply(self, fault: specification.Fault) -> None:
        """Apply a fault."""


async def apply_faults(
    faults: collections.abc.Iterable[specification.Fault],
    system: FaultTarget,
    started_at: float,
) -> None:
    """Apply faults at their times.

    :param faults: faults in any order.
    :param system: system to which they are applied.
    :param started_at: monotonic time of the start of the run in seconds.
    """
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        await trio.sleep_until(started_at + fault.at_s)
        await system.apply(fault)
