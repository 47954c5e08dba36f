"""Faults on a timeline."""

import collections.abc
import typing

import trio

from wasabilanding.experiments.study import specification


class FaultTarget(typing.Protocol):
    """A system that can be told to fail."""

    async def apply(self, fault: specification.Fault) -> None:
        """Let a fault happen."""


async def apply_faults(
    faults: collections.abc.Iterable[specification.Fault],
    system: FaultTarget,
    started_at: float,
) -> None:
    """Let faults happen at their times.

    :param faults: the faults, in any order.
    :param system: the system that they happen to.
    :param started_at: local monotonic time of the start in seconds.
    """
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        await trio.sleep_until(started_at + fault.at_s)
        await system.apply(fault)
