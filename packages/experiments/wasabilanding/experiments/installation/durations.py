"""Random durations of faults and planned changes."""

import random

import trio

FAULT_DURATION_RANGE_S = (0.3, 3.0)


async def wait(rng: random.Random, range_s: tuple[float, float]) -> None:
    """Wait for a random time, also if the run ends meanwhile.

    A fault that has begun is thus always removed.

    :param rng: source of randomness.
    :param range_s: shortest and longest time in seconds.
    """
    with trio.CancelScope(shield=True):
        await trio.sleep(rng.uniform(*range_s))
