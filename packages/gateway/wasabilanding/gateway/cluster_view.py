"""Local view of the cluster: routing table and registered endpoints.

Explanation
===========

The store delivers the operators' configuration, the endpoints' registrations
and the nodes' internal keys (:mod:`wasabilanding.gateway.store_watch`), or
another node that watches the store sends their changes
(:mod:`wasabilanding.changefeed`). Revoked API keys must be refused soon after
their revocation, so the view knows when it was last confirmed to be current.

The store may be restored from a copy that is some seconds old, which begins a
new era. The view is then read anew. Until what was lost has been written
again, it keeps the newer configuration, endpoints and internal items that it
has.
"""

import collections.abc
import logging

import trio

from wasabilanding import changefeed
from wasabilanding import fleet
from wasabilanding.gateway import clocks
from wasabilanding.gateway import directory
from wasabilanding.gateway import evacuated_domains
from wasabilanding.gateway import lease as lease_module
from wasabilanding.gateway import messages
from wasabilanding.gateway import registrations
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import routes

# Limit on the age stated to other nodes; older states confirm nothing.
MAX_STATED_AGE_S = 3600.0
# The store counts as unreachable after this time without a response.
UNREACHABLE_AFTER_S = 3.5
# Internal items that a restore of the store has lost are kept for this time,
# in which their holders write them again or they would have expired.
LOST_ITEM_TTL_S = 20.0
PEERS_ANSWER_TIMEOUT_S = 1.0
# Time after the first listing of an era in which the store may still lack a
# configuration that other nodes have.
ERA_UNSETTLED_S = 10.0

_LOG = logging.getLogger(__name__)


class ClusterView:
    """One node's view of the cluster, updated by loops, read by requests.

    :param wire: decodes the store's items.
    :param clock: time in seconds, including time while the VM is suspended.
    """

    def __init__(
        self,
        wire: messages.WireFormat,
        clock: collections.abc.Callable[[], float] = clocks.boot_time,
    ) -> None:
        self._wire = wire
        self._clock = clock
        self._changed = trio.Event()
        self._table_revision = model.StoreRevision()
        self.table: routes.RoutingTable | None = None
        self.registry = fleet.Registry()
        self.evacuations = evacuated_domains.EvacuatedDomains(
            wire.evacuation_prefix, self.registry
        )
        self.internal_items: dict[str, metadata.Item] = {}
        # Local monotonic times in seconds at which lost items expire, by key.
        self._lost_items: dict[str, float] = {}
        self.revision = model.StoreRevision()
        self.eras = metadata.EraTracker()
        self.era_learned_at = float("-inf")
        self.restores = 0
        # Highest version of the configuration that another node has reported.
        self._peers_version = 0
        # Times of this view's clock at which that was reported, and at which
        # the present era of the store began for this view.
        self._told_at = float("-inf")
        self._era_began_at = float("-inf")
        # Time of this view's clock until which it asks other nodes for it.
        self._asks_until = float("-inf")
        self._is_answer_needed = False
        # Times of this view's clock at which the view was last known to be
        # current, from any source and from another node.
        self._current_as_of = float("-inf")
        self._fed_as_of = float("-inf")
        self.active_planners = 0
        # Whether this node sends changes to the other nodes.
        self.feeds_peers = False
        self._change_log = changefeed.ChangeLog()
        # Receives each registration as it is read, and the local monotonic
        # time in seconds.
        self.on_registration: collections.abc.Callable[
            [fleet.Endpoint, float], None
        ] = lambda endpoint, now: None
        # Receives each internal item as it is read.
        self.on_internal_item: collections.abc.Callable[
            [metadata.Item], None
        ] = lambda item: None
        self._registrations = registrations.Registrations(
            wire,
            self.registry,
            self._change_log,
            self._is_configured,
            lambda endpoint, now: self.on_registration(endpoint, now),
        )

    @property
    def is_initialized(self) -> bool:
        """Whether a configuration and the registrations are known."""
        return self.table is not None and self._is_read

    @property
    def _is_read(self) -> bool:
        return self.revision > model.StoreRevision()

    @property
    def is_outdated(self) -> bool:
        """Whether the store was restored since the view was read."""
        return self.eras.is_older(self.revision.era)

    @property
    def asks_peers(self) -> bool:
        """Whether other nodes are to be asked for their configuration."""
        return self._clock() < self._asks_until

    @property
    def lacks_configuration(self) -> bool:
        """Whether another node has told of a newer configuration."""
        version = self.table.version if self.table is not None else 0
        return version < self._peers_version

    @property
    def is_configuration_proven(self) -> bool:
        """Whether requests with keys may be admitted by the configuration.

        It is false while another node has a newer one that the store lacks,
        as after a restore, and while a node that has no view from before the
        present era of the store waits for the answer of one that may have. A
        newer one that the store has, but this view has not yet, is a change
        that is being rolled out.
        """
        if self._is_answer_needed and self.asks_peers:
            return False
        if not self.lacks_configuration:
            return True
        is_settled = self._clock() - self._era_began_at > ERA_UNSETTLED_S
        return is_settled and self._current_as_of <= self._told_at

    @property
    def staleness_s(self) -> float:
        """Seconds since the view was last known to be current."""
        return self._clock() - self._current_as_of

    def clock_time(self) -> float:
        """Return the time in seconds of the clock that staleness uses."""
        return self._clock()

    def note_era(self, era: model.Era) -> None:
        """Record an era that the store or another node has stated.

        :param era: the era.
        """
        if self.eras.note(era):
            self.era_learned_at = self._clock()
            self._notify()

    def note_peer_version(self, version: int) -> None:
        """Record the version of the configuration in force at another node.

        :param version: the version; 0 if it has none.
        """
        if version > self._peers_version:
            self._peers_version = version
            self._told_at = self._clock()
        if version:
            self._asks_until = float("-inf")

    def _ask_peers(self, is_answer_needed: bool) -> None:
        self._asks_until = self._clock() + PEERS_ANSWER_TIMEOUT_S
        self._is_answer_needed = is_answer_needed

    def mark_current(self, age_s: float) -> None:
        """Record that the view was current some time ago.

        :param age_s: seconds ago.
        """
        self._current_as_of = max(self._current_as_of, self._clock() - age_s)

    @property
    def is_planning(self) -> bool:
        """Whether this node plans replicas and thus needs changes early."""
        return self.active_planners > 0

    @property
    def feed_age_s(self) -> float:
        """Seconds since another node last confirmed the view."""
        return self._clock() - self._fed_as_of

    @property
    def rejected_registrations(self) -> int:
        """Number of registrations that name no endpoint to this node."""
        return self._registrations.rejected_count

    async def wait_changed(self) -> None:
        """Wait until the view changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether no requests may reach a failure domain.

        :param failure_domain: its name.
        """
        return failure_domain in self.evacuations.names

    def announce_shutdown(
        self, incarnation: fleet.Incarnation, now: float
    ) -> bool:
        """Record that an endpoint has announced its shutdown.

        :param incarnation: the endpoint.
        :param now: local monotonic time in seconds.
        :returns: whether this was not known.
        """
        is_new = self.registry.announce_shutdown(*incarnation, now)
        if is_new:
            self._notify()
        return is_new

    def apply_listing(self, listing: metadata.Listing, now: float) -> bool:
        """Replace the view by a full listing of the store.

        A listing that is older than the view adds nothing to it.

        :param listing: all items.
        :param now: local monotonic time in seconds.
        :returns: whether the listing is of the newest known era.
        """
        self.note_era(listing.era)
        if self.eras.is_older(listing.era):
            return False
        if listing.store_revision < self.revision:
            return True
        is_restored = listing.era > self.revision.era
        was_read = self._is_read
        if is_restored:
            self._era_began_at = self._clock()
        registered: list[metadata.Item] = []
        internal_items = {}
        for item in listing.items:
            if item.key.startswith(self._wire.registrations_prefix):
                registered.append(item)
            elif item.key == self._wire.configuration_key:
                self._apply_table(item, listing.era)
            elif item.key.startswith(self._wire.internal_prefix):
                internal_items[item.key] = item
        endpoints = self._registrations.read_all(registered)
        served = self._registrations.served(endpoints)
        is_kept = is_restored and was_read
        if is_kept:
            self._begin_era(listing, internal_items, now)
            self.registry.restore(served, now)
            endpoints = list(filter(self._registrations.is_in_use, endpoints))
        else:
            if is_restored and self._has_nodes(internal_items):
                self._ask_peers(True)
            self.registry.replace(served, now)
            self._lost_items.clear()
        lost_ttl_s = LOST_ITEM_TTL_S if is_kept else 0.0
        self.evacuations.apply_listing(listing, lost_ttl_s, now)
        self.internal_items = internal_items
        for item in internal_items.values():
            self.on_internal_item(item)
        for endpoint in endpoints:
            # The copy of a restored store may be too old to say that an
            # endpoint is not cold.
            if endpoint.cold_left_s or not is_restored:
                self.on_registration(endpoint, now)
        self.revision = listing.store_revision
        self._change_log.replace(endpoints, self.revision)
        self._registrations.follow_services(now)
        self._registrations.log_rejected(now)
        self._notify()
        return True

    def _is_configured(self, service: str) -> bool:
        """Return whether the configuration, if known, names a service."""
        return self.table is None or self.table.service(service) is not None

    def _begin_era(
        self,
        listing: metadata.Listing,
        internal_items: dict[str, metadata.Item],
        now: float,
    ) -> None:
        """Keep what a restore of the store has lost for a while.

        A planning lease is not kept: it has ended.
        """
        self.restores += 1
        self._ask_peers(self.staleness_s > UNREACHABLE_AFTER_S)
        _LOG.warning(
            "store was restored: era %d, revision %d",
            listing.era,
            listing.revision,
            extra={"era": listing.era, "revision": listing.revision},
        )
        control_prefix = lease_module.control_prefix(self._wire)
        for key, item in self.internal_items.items():
            if key in internal_items or key.startswith(control_prefix):
                self._lost_items.pop(key, None)
                continue
            internal_items[key] = item
            self._lost_items.setdefault(key, now + LOST_ITEM_TTL_S)

    def _has_nodes(self, items: dict[str, metadata.Item]) -> bool:
        """Return whether another node may be registered."""
        prefix = directory.address_prefix(self._wire)
        return directory.count_nodes(items, prefix) > 0

    def apply_changes(self, changes: metadata.Changes, now: float) -> bool:
        """Apply changes from a watch.

        The answer of a slow store may be older than what another node has
        sent meanwhile, so changes that the view contains are skipped.

        :param changes: the changes, in order.
        :param now: local monotonic time in seconds.
        :returns: whether the changes are of the view's era, which is the
            newest known one.
        """
        self.note_era(changes.era)
        if self.is_outdated or changes.era != self.revision.era:
            return False
        self._note_recovery(now)
        known = self.revision
        for event in changes.events:
            if model.StoreRevision(changes.era, event.revision) > known:
                self._apply_event(event, changes.era, now)
        self.revision = max(self.revision, changes.store_revision)
        self._change_log.advance(changes.store_revision)
        self._expire(now)
        if changes.events:
            self._notify()
        return True

    def _expire(self, now: float) -> None:
        self.registry.expire(now)
        self.evacuations.expire(now)
        self._registrations.log_rejected(now)
        for key, expires_at in list(self._lost_items.items()):
            if now >= expires_at:
                del self._lost_items[key]
                self.internal_items.pop(key, None)

    def is_lost(self, key: str) -> bool:
        """Return whether a restore of the store has lost an internal item.

        :param key: its key.
        """
        return key in self._lost_items

    def cut_segment(self) -> changefeed.Segment:
        """Return the latest changes, to be sent to other nodes."""
        return self._change_log.cut(min(self.staleness_s, MAX_STATED_AGE_S))

    def apply_segment(
        self, segment: changefeed.Segment, as_of: float | None, now: float
    ) -> None:
        """Apply changes that another node has sent.

        :param segment: the changes.
        :param as_of: time, of this view's clock, at which the segment was
            current; None if unknown.
        :param now: local monotonic time in seconds.
        """
        self.note_era(segment.era)
        if not self.is_initialized or self.is_outdated:
            return
        if not segment.covers(self.revision):
            return
        if segment.store_revision > self.revision:
            self._note_recovery(now)
            self._apply_states(segment, now)
        self._expire(now)
        if as_of is not None:
            self._fed_as_of = max(self._fed_as_of, as_of)
            self._current_as_of = max(self._current_as_of, as_of)

    def _apply_states(self, segment: changefeed.Segment, now: float) -> None:
        revision = segment.store_revision
        for endpoint in segment.endpoints:
            self._registrations.put(endpoint, revision, now)
        for name in segment.removed_endpoints:
            self._registrations.remove(name, revision, now)
        source = evacuated_domains.COLLECTOR
        for key, value in segment.items.items():
            item = metadata.Item(key, value.encode(), revision.number)
            self._apply_item(item, revision, source, now)
        for key in segment.removed_items:
            removal = metadata.Removal(key, revision.number)
            self._apply_item(removal, revision, source, now)
        self.revision = revision
        self._change_log.advance(revision)
        # Most segments follow heartbeats alone and change nothing but the
        # revision, which only a planner waits for.
        if segment.has_changes or self.is_planning:
            self._notify()

    def _note_recovery(self, now: float) -> None:
        """Spare the endpoints whose registrations lapsed in an outage."""
        if self.staleness_s > UNREACHABLE_AFTER_S:
            self.registry.note_store_recovery(now)

    def _apply_event(
        self,
        event: metadata.Item | metadata.Removal,
        era: model.Era,
        now: float,
    ) -> None:
        key = event.key
        revision = model.StoreRevision(era, event.revision)
        if key.startswith(self._wire.registrations_prefix):
            self._registrations.apply(event, revision, now)
        elif key == self._wire.configuration_key:
            # It may be too large for a datagram.
            self._change_log.reset(revision)
            if isinstance(event, metadata.Item):
                self._apply_table(event, era)
                self._registrations.follow_services(now)
        elif self._is_fed(key):
            source = evacuated_domains.STORE
            self._apply_item(event, revision, source, now)

    def _is_fed(self, key: str) -> bool:
        """Return whether collectors send an item to other nodes as it is."""
        return key.startswith(
            self._wire.internal_prefix
        ) or self.evacuations.has_key(key)

    def _apply_item(
        self,
        event: metadata.Item | metadata.Removal,
        revision: model.StoreRevision,
        source: str,
        now: float,
    ) -> None:
        """Apply the state of an evacuation's key or of an internal item."""
        key = event.key
        value = None
        if self.evacuations.has_key(key):
            is_present = isinstance(event, metadata.Item)
            self.evacuations.apply_key(key, is_present, revision, source, now)
            # The value has no meaning.
            value = "" if is_present else None
        else:
            self._lost_items.pop(key, None)
            if isinstance(event, metadata.Item):
                self.internal_items[key] = event
                self.on_internal_item(event)
                value = event.value.decode(errors="replace")
            else:
                self.internal_items.pop(key, None)
        self._change_log.record_item(key, value, revision)

    def _apply_table(self, item: metadata.Item, era: model.Era) -> None:
        """Put a configuration in force unless a newer one is."""
        revision = model.StoreRevision(era, item.revision)
        if revision <= self._table_revision:
            return
        try:
            table = self._wire.read_table(item.value)
        except ValueError as error:
            _LOG.error(
                "invalid configuration at revision %d ignored: %s",
                item.revision,
                error,
            )
            return
        self._table_revision = revision
        if self.table is not None and table.version < self.table.version:
            _LOG.warning(
                "configuration %d stays in force: the store has %d",
                self.table.version,
                table.version,
            )
            return
        self.table = table
        _LOG.info(
            "configuration %d is in force",
            table.version,
            extra={"version": table.version, "revision": item.revision},
        )
