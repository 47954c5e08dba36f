"""Restarts background loops that fail.

A fault in a loop that serves no caller, for example in the exchange of hints,
must not end the process and with it the answers in progress.
"""

import collections.abc
import logging

import trio

RESTART_DELAY_S = 1.0

_LOG = logging.getLogger(__name__)


async def keep_running(
    name: str,
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    count_failure: collections.abc.Callable[[str], None],
) -> None:
    """Run a loop, and run it again some time after it has failed.

    :param name: name of the loop, for logs and metrics.
    :param run: the loop; if it returns, it is not run again.
    :param count_failure: called with the name after each failure.
    """
    while True:
        try:
            await run()
        except Exception:
            count_failure(name)
            _LOG.exception(
                "%s failed; restarts in %g s", name, RESTART_DELAY_S
            )
        else:
            return
        await trio.sleep(RESTART_DELAY_S)
