"""Runs of a scenario that give the same result every time."""

import collections.abc
import typing

import trio
import trio.testing

T = typing.TypeVar("T")


def run_seeded(
    scenario: collections.abc.Callable[..., collections.abc.Awaitable[T]],
    *arguments: object,
    seed: int = 1,
) -> T:
    """Run a scenario on the mock clock with a deterministic schedule.

    :param scenario: asynchronous function.
    :param arguments: its arguments.
    :param seed: seed of trio's scheduler.
    :returns: what the scenario returns.
    """
    # trio has no public switch for this; hypothesis-trio sets the same one.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(scenario, *arguments, clock=clock)
