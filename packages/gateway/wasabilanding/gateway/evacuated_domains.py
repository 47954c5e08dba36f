"""Evacuated failure domains, from the store and from other nodes.

Explanation
===========

A failure domain is evacuated while the store has a key of its name under
:attr:`~wasabilanding.gateway.messages.WireFormat.evacuation_prefix`, whatever
the value. Which of several statements counts is decided in
:class:`wasabilanding.dispatch.Evacuations`; here keys and messages are
translated, and each change is logged once.
"""

import collections.abc
import contextlib
import logging

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import evacuation_messages
from wasabilanding import metadata
from wasabilanding import model

# Statements in one datagram at most; further ones are left out.
MAX_TOLD = 64
STORE = "the store"
COLLECTOR = "the collector"

_LOG = logging.getLogger(__name__)


class EvacuatedDomains:
    """One node's knowledge of evacuated failure domains.

    :param prefix: prefix of the keys, which a failure domain's name follows.
    :param registry: the registered endpoints.
    """

    def __init__(self, prefix: str, registry: fleet.Registry) -> None:
        self._prefix = prefix
        self._registry = registry
        self._evacuations = dispatch.Evacuations()
        self._rejected_keys: set[str] = set()

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        return self._evacuations.evacuated

    @property
    def version(self) -> int:
        """Number that changes with :attr:`names`."""
        return self._evacuations.version

    def has_key(self, key: str) -> bool:
        """Return whether a key of the store is about an evacuation.

        :param key: the key.
        """
        return key.startswith(self._prefix)

    def apply_listing(
        self,
        listing: metadata.Listing,
        lost_ttl_s: float,
        now: float,
    ) -> None:
        """Apply a listing of the store.

        :param listing: all items.
        :param lost_ttl_s: if the store was restored from a copy, seconds for
            which failure domains stay evacuated whose keys the copy lacks.
        :param now: local monotonic time in seconds.
        """
        listed = {}
        for item in listing.items:
            name = self._name_of(item.key) if self.has_key(item.key) else None
            if name is not None:
                listed[name] = model.StoreRevision(listing.era, item.revision)
        revision = listing.store_revision
        with self._logging_changes(STORE, now):
            before = self.names - listed.keys()
            self._evacuations.replace(listed, revision, now, lost_ttl_s)
        for name in sorted(before & self.names):
            if lost_ttl_s:
                _LOG.warning(
                    "the restored store lacks the evacuation of failure "
                    "domain %s, which stays for %g s",
                    name,
                    lost_ttl_s,
                    extra={"failure_domain": name},
                )

    def apply_key(
        self,
        key: str,
        is_present: bool,
        revision: model.StoreRevision,
        source: str,
        now: float,
    ) -> None:
        """Apply the state of a key.

        :param key: the key.
        :param is_present: whether the store has it.
        :param revision: revision as of which that is known.
        :param source: where it was learned, for the log.
        :param now: local monotonic time in seconds.
        """
        name = self._name_of(key)
        if name is None:
            return
        statement = dispatch.EvacuationStatement(is_present, revision, now)
        with self._logging_changes(source, now):
            self._evacuations.note(name, statement, now)

    def apply_notice(
        self,
        notice: evacuation_messages.EvacuationNotice,
        node: str,
        now: float,
    ) -> None:
        """Apply what another node says.

        :param notice: what it says.
        :param node: name of the node.
        :param now: local monotonic time in seconds.
        """
        with self._logging_changes(node, now):
            self._evacuations.note(
                notice.failure_domain, notice.statement(now), now
            )

    def due_notices(
        self, now: float
    ) -> tuple[evacuation_messages.EvacuationNotice, ...]:
        """Return what other nodes are to be told.

        :param now: local monotonic time in seconds.
        """
        due = list(self._evacuations.due(now).items())[:MAX_TOLD]
        return tuple(
            evacuation_messages.notice_of(name, statement, now)
            for name, statement in due
        )

    def expire(self, now: float) -> None:
        """End the evacuations that a restore has lost some time ago.

        :param now: local monotonic time in seconds.
        """
        with self._logging_changes("nothing in the restored store", now):
            self._evacuations.expire(now)

    def _name_of(self, key: str) -> str | None:
        """Return the failure domain that a key names; None if malformed."""
        name = key.removeprefix(self._prefix)
        if name and "/" not in name:
            return name
        if key not in self._rejected_keys:
            _LOG.warning("key %s names no failure domain; ignored", key)
        self._rejected_keys.add(key)
        return None

    @contextlib.contextmanager
    def _logging_changes(
        self, source: str, now: float
    ) -> collections.abc.Iterator[None]:
        """Log which evacuations begin and end meanwhile."""
        before = self.names
        yield
        if self.names is before:
            return
        for name in sorted(self.names ^ before):
            self._log_change(name, source, now)

    def _log_change(self, name: str, source: str, now: float) -> None:
        statement = self._evacuations.get(name)
        fields = {
            "failure_domain": name,
            "era": statement.revision.era,
            "revision": statement.revision.number,
            "source": source,
            "seen_ago_s": round(max(now - statement.seen_at, 0.0), 3),
        }
        if not statement.is_evacuated:
            _LOG.warning(
                "evacuation of failure domain %s ends", name, extra=fields
            )
            return
        count = sum(
            endpoint.failure_domain == name
            for endpoint in self._registry.endpoints
        )
        _LOG.warning(
            "evacuation of failure domain %s begins: %s",
            name,
            f"{count} endpoints" if count else "no endpoint belongs to it",
            extra=fields,
        )
