"""Watches the configuration in the platform's store.

Explanation
===========

A few nodes of each failure domain, chosen by rendezvous hashing among the
live ones, watch the store; the others learn the configuration from their
peers. A node that has heard neither from the store nor from a peer in contact
with it watches the store itself, so that its failure domain stays up to date
when the chosen watchers are partitioned from the store.
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

    :param context: state shared by the daemon's loops.
    """
    heard_at = context.known.last_store_contact
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
    """Watches the configuration and applies newer revisions.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._is_established = False
        self._refused_revision = 0

    async def run(self) -> None:
        """Watch and apply newer revisions until cancelled."""
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
        self._context.known.record_store_contact(self._context.now())
        if isinstance(result, metadata.Entry):
            self._apply(result)

    async def _read_or_watch(self) -> metadata.ReadResult:
        # The first request is a plain read: it returns at once, while a watch
        # would show only late that the store is available again.
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
            _LOG.error("configuration was rejected: %s", document.detail)
        elif known.learn_configuration(document):
            _LOG.info("applied configuration revision %d", document.revision)
        elif document.revision < known.configuration.revision:
            _LOG.error(
                "the store holds configuration revision %d, older than the "
                "applied revision %d",
                document.revision,
                known.configuration.revision,
            )
