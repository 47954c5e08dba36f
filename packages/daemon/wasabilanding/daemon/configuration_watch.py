"""Follows the operators' configuration at the platform's service."""

import logging

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import platform

WATCH_S = 10.0
PAUSE_S = 0.5

_LOG = logging.getLogger(__name__)


async def follow_configuration(context: context_module.Context) -> None:
    """Apply each newer configuration until cancelled.

    :param context: what the loops share.
    """
    while True:
        known = context.known.configuration.revision
        result = await context.platform.watch(
            platform.CONFIGURATION_KEY, known, WATCH_S
        )
        if isinstance(result, platform.Entry):
            document = platform.decode_configuration(result)
            if context.known.learn_configuration(document):
                _LOG.info(
                    "configuration revision %d is in force",
                    document.revision,
                )
        elif isinstance(result, platform.Unavailable):
            await trio.sleep(PAUSE_S)
