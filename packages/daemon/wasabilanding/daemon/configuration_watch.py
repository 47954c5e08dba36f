"""Follows the operators' configuration at the platform's service.

Explanation
===========

A few nodes of each failure domain, chosen by rendezvous hashing among the
live ones, watch the store; the others learn from their peers. A node that
hears neither the store nor a peer that has heard it watches by itself, so a
watcher that is cut off does not leave its failure domain behind.
"""

import logging

import trio

from wasabilanding.daemon import context as context_module
from wasabilanding import membership
from wasabilanding import metadata

WATCHERS_PER_DOMAIN = 2
WATCH_TIMEOUT_S = 5.0
MAX_STORE_SILENCE_S = 8.0
CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.5

_LOG = logging.getLogger(__name__)


def is_watcher(context: context_module.Context) -> bool:
    """Tell whether this node watches the store.

    :param context: what the loops share.
    """
    heard_at = context.known.store_heard_at
    if heard_at is None or context.now() - heard_at > MAX_STORE_SILENCE_S:
        return True
    domain = context.failure_domain
    live = context.members.live(context.now(), domain)
    names = [node.name for node in live]
    watchers = membership.owners_of(
        f"store/{domain}", names, WATCHERS_PER_DOMAIN
    )
    return context.settings.node in watchers


class ConfigurationWatch:
    """State of one node's watch.

    :param context: what the loops share.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._is_established = False
        self._refused_revision = 0

    async def run(self) -> None:
        """Apply each newer configuration until cancelled."""
        while True:
            if is_watcher(self._context):
                await self._watch_once()
            else:
                self._is_established = False
                await trio.sleep(CHECK_INTERVAL_S)

    async def _watch_once(self) -> None:
        result = await self._read_or_watch()
        if isinstance(result, metadata.Unavailable):
            self._is_established = False
            await trio.sleep(
                self._context.rng.uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S)
            )
            return
        self._is_established = True
        self._context.known.hear_store(self._context.now())
        if isinstance(result, metadata.Entry):
            self._apply(result)

    async def _read_or_watch(self) -> metadata.ReadResult:
        # A plain read comes first: it ends soon, so the back-off learns
        # early that the service is back.
        store = self._context.platform
        key = metadata.CONFIGURATION_KEY
        if not self._is_established:
            return await store.get(key)
        known = self._context.known.configuration.revision
        after = max(known, self._refused_revision)
        return await store.watch(key, after, WATCH_TIMEOUT_S)

    def _apply(self, entry: metadata.Entry) -> None:
        document = metadata.decode_configuration(entry)
        known = self._context.known
        if isinstance(document, metadata.Unavailable):
            self._refused_revision = entry.revision
            _LOG.error("configuration is not applied: %s", document.detail)
        elif known.learn_configuration(document):
            _LOG.info(
                "configuration revision %d is in force", document.revision
            )
        elif document.revision < known.configuration.revision:
            _LOG.error(
                "the store holds configuration revision %d, below revision "
                "%d in force",
                document.revision,
                known.configuration.revision,
            )
