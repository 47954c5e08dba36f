"""Loads the configuration and the record from the store at startup."""

import trio

from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding import metadata
from wasabilanding import model

RETRY_DELAY_S = 0.5


async def _read(context: context_module.Context) -> bool:
    document = await metadata.read_configuration(context.platform)
    if not isinstance(document, configuration.Configuration):
        return False
    context.known.learn_configuration(document)
    record = await metadata.read_record(
        context.platform, context.failure_domain
    )
    if not isinstance(record, model.DomainRecord):
        return False
    context.known.learn_record(record)
    context.known.record_store_contact(context.now())
    return True


async def join(context: context_module.Context) -> None:
    """Read the store until this node has learned the current state.

    It stops early when peers have provided the state first.

    :param context: state shared by the daemon's loops.
    """
    while not context.known.informed:
        if await _read(context):
            context.joining.record_store_answer()
            context.update_informed()
        else:
            await trio.sleep(
                context.rng.uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S)
            )
