"""How late the event loop runs tasks that are due.

A process that lags reads requests, and the ends of connections, later than
they arrive. The lag is sampled: a delay that is shorter than the interval may
be missed.
"""

import collections.abc

import trio

INTERVAL_S = 0.25


async def observe(
    record: collections.abc.Callable[[float], None],
) -> None:
    """Record the lag of the event loop; never returns.

    :param record: receives the lag in seconds.
    """
    while True:
        due_at = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due_at)
        record(trio.current_time() - due_at)
