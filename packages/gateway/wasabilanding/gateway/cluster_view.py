"""Local view of the cluster: routing table and registered endpoints.

Explanation
===========

One watch of the whole store delivers the operators' configuration, the
endpoints' registrations and the nodes' internal keys. It is a long poll that
ends after :data:`WATCH_WAIT_S` also without changes, so that each response
confirms that the view was current. Revoked API keys must be refused soon
after their revocation, so a node refuses all requests with a key when the
last confirmation is too old.

In a failure domain with many nodes, one of them sends the changes to the
others (:mod:`wasabilanding.changefeed`). A node that receives them watches the
store itself only when it has missed a change or the changes stop.
"""

import collections.abc
import dataclasses
import logging

import trio

from wasabilanding import changefeed
from wasabilanding import fleet
from wasabilanding.gateway import clocks
from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import routes

WATCH_WAIT_S = 1.6
# While the store fails, watches start at this interval and wait only briefly,
# so that its recovery is noticed early.
PROBE_INTERVAL_S = 0.6
PROBE_WAIT_S = 0.3
PLANNING_INTERVAL_S = 0.25
FEEDING_INTERVAL_S = 0.4
FEED_MEMORY_S = 10.0
# Interval between watches as a fraction of the bound on changes. The rest of
# the bound is left for slow and lost calls.
INTERVAL_FRACTION = 0.4
RETRY_INTERVAL_S = 0.25
# A node that begins to plan or to feed others watches within this time.
WATCH_CHECK_INTERVAL_S = 0.5
# Timers of different clocks may differ by this much.
CLOCK_TOLERANCE_S = 0.001
# Limit on the age stated to other nodes; older states confirm nothing.
MAX_STATED_AGE_S = 3600.0
# The store counts as unreachable after this time without a response.
UNREACHABLE_AFTER_S = 3.5
ALL_KEYS = ""

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
        self._table_revision = 0
        self.table: routes.RoutingTable | None = None
        self.registry = fleet.Registry()
        self.internal_items: dict[str, metadata.Item] = {}
        self.revision = 0
        self._current_as_of = float("-inf")
        # Part of it that another node has confirmed.
        self._fed_as_of = float("-inf")
        self.active_planners = 0
        # Whether this node sends changes to the other nodes.
        self.feeds_peers = False
        self._change_log = changefeed.ChangeLog()
        self._rejected_revisions: dict[str, int] = {}

    @property
    def is_initialized(self) -> bool:
        """Whether a configuration and the registrations are known."""
        return self.table is not None and self.revision > 0

    @property
    def staleness_s(self) -> float:
        """Seconds since the view was last known to be current."""
        return self._clock() - self._current_as_of

    def clock_time(self) -> float:
        """Return the time in seconds of the clock that staleness uses."""
        return self._clock()

    def mark_current(self, age_s: float) -> None:
        """Record that the view was current some time ago.

        :param age_s: seconds ago.
        """
        self._current_as_of = max(self._current_as_of, self._clock() - age_s)

    @property
    def is_planning(self) -> bool:
        """Whether this node plans replicas and thus needs changes early."""
        return self.active_planners > 0

    def watch_interval_s(self, poll_interval_s: float) -> float | None:
        """Return the time between two watches that others depend on.

        :param poll_interval_s: interval for a node on which none depends.
        :returns: seconds; None if no other node depends on the watches.
        """
        if self.is_planning:
            return PLANNING_INTERVAL_S
        if self.feeds_peers:
            return min(FEEDING_INTERVAL_S, poll_interval_s)
        return None

    @property
    def watch_wait_s(self) -> float:
        """Seconds after which a watch ends without changes.

        It is short if other nodes rely on the answer, or if the other node on
        which this one has relied until now confirms nothing any more.
        """
        if self.feeds_peers or self.feed_age_s < FEED_MEMORY_S:
            return FEEDING_INTERVAL_S
        return WATCH_WAIT_S

    @property
    def feed_age_s(self) -> float:
        """Seconds since another node last confirmed the view."""
        return self._clock() - self._fed_as_of

    async def wait_changed(self) -> None:
        """Wait until the view changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def apply_listing(self, listing: metadata.Listing, now: float) -> None:
        """Replace the view by a full listing of the store.

        A listing that is older than the view adds nothing to it.

        :param listing: all items.
        :param now: local monotonic time in seconds.
        """
        if listing.revision < self.revision:
            return
        endpoints = []
        internal_items = {}
        for item in listing.items:
            if item.key.startswith(self._wire.registrations_prefix):
                endpoint = self._decode_registration(item)
                if endpoint is not None:
                    endpoints.append(endpoint)
            elif item.key == self._wire.configuration_key:
                self._apply_table(item)
            elif item.key.startswith(self._wire.internal_prefix):
                internal_items[item.key] = item
        self.registry.replace(endpoints, now)
        self.internal_items = internal_items
        self.revision = max(self.revision, listing.revision)
        self._change_log.replace(endpoints, listing.revision)
        self._notify()

    def apply_changes(self, changes: metadata.Changes, now: float) -> None:
        """Apply changes from a watch.

        The answer of a slow store may be older than what another node has
        sent meanwhile, so changes that the view contains are skipped.

        :param changes: the changes, in order.
        :param now: local monotonic time in seconds.
        """
        self._note_recovery(now)
        known_revision = self.revision
        for event in changes.events:
            if event.revision > known_revision:
                self._apply_event(event, now)
        self.revision = max(self.revision, changes.revision)
        self._change_log.advance(changes.revision)
        self.registry.expire(now)
        if changes.events:
            self._notify()

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
        if not self.is_initialized or not segment.covers(self.revision):
            return
        if segment.until > self.revision:
            self._note_recovery(now)
            self._apply_states(segment, now)
        self.registry.expire(now)
        if as_of is not None:
            self._fed_as_of = max(self._fed_as_of, as_of)
            self._current_as_of = max(self._current_as_of, as_of)

    def _apply_states(self, segment: changefeed.Segment, now: float) -> None:
        revision = segment.until
        for endpoint in segment.endpoints:
            self._put_endpoint(endpoint, revision)
        for name in segment.removed_endpoints:
            self._remove_endpoint(name, revision, now)
        for key, value in segment.items.items():
            self._put_internal(metadata.Item(key, value.encode(), revision))
        for key in segment.removed_items:
            self._remove_internal(key, revision)
        self.revision = revision
        self._change_log.advance(revision)
        self._notify()

    def _note_recovery(self, now: float) -> None:
        """Spare the endpoints whose registrations lapsed in an outage."""
        if self.staleness_s > UNREACHABLE_AFTER_S:
            self.registry.note_store_recovery(now)

    def _apply_event(
        self, event: metadata.Item | metadata.Removal, now: float
    ) -> None:
        key = event.key
        if key.startswith(self._wire.registrations_prefix):
            self._apply_registration(event, now)
        elif key == self._wire.configuration_key:
            # It may be too large for a datagram.
            self._change_log.reset(event.revision)
            if isinstance(event, metadata.Item):
                self._apply_table(event)
        elif key.startswith(self._wire.internal_prefix):
            if isinstance(event, metadata.Item):
                self._put_internal(event)
            else:
                self._remove_internal(key, event.revision)

    def _put_internal(self, item: metadata.Item) -> None:
        self.internal_items[item.key] = item
        self._change_log.record_item(
            item.key, item.value.decode(errors="replace"), item.revision
        )

    def _remove_internal(self, key: str, revision: int) -> None:
        self.internal_items.pop(key, None)
        self._change_log.record_item(key, None, revision)

    def _apply_registration(
        self, event: metadata.Item | metadata.Removal, now: float
    ) -> None:
        endpoint = None
        if isinstance(event, metadata.Item):
            endpoint = self._decode_registration(event)
        if endpoint is not None:
            self._put_endpoint(endpoint, event.revision)
            return
        name = event.key.removeprefix(self._wire.registrations_prefix)
        self._remove_endpoint(name, event.revision, now)

    def _put_endpoint(self, endpoint: fleet.Endpoint, revision: int) -> None:
        self.registry.put(endpoint)
        self._change_log.record_endpoint(
            endpoint.endpoint_id, endpoint, revision
        )

    def _remove_endpoint(self, name: str, revision: int, now: float) -> None:
        if self.registry.get(name) is not None:
            _LOG.info(
                "registration of endpoint %s was removed",
                name,
                extra={"endpoint": name},
            )
        self.registry.remove(name, now)
        self._change_log.record_endpoint(name, None, revision)

    def _decode_registration(
        self, item: metadata.Item
    ) -> fleet.Endpoint | None:
        try:
            endpoint = self._wire.read_registration(item.key, item.value)
        except ValueError as error:
            if item.key not in self._rejected_revisions:
                _LOG.warning(
                    "invalid registration %s ignored: %s", item.key, error
                )
            self._rejected_revisions[item.key] = item.revision
            return None
        self._rejected_revisions.pop(item.key, None)
        return endpoint

    def _apply_table(self, item: metadata.Item) -> None:
        if item.revision <= self._table_revision:
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
        self._table_revision = item.revision
        self.table = table
        _LOG.info(
            "configuration %d is in force",
            table.version,
            extra={"version": table.version, "revision": item.revision},
        )


async def _read_all(view: ClusterView, store: messages.Store) -> bool:
    sent_at = view.clock_time()
    listing = await store.read_all(ALL_KEYS)
    if isinstance(listing, metadata.Unavailable):
        _LOG.debug("could not read the store: %s", listing.detail)
        return False
    view.apply_listing(listing, trio.current_time())
    view.mark_current(view.clock_time() - sent_at)
    return True


def max_poll_interval_s(bounds_s: collections.abc.Iterable[float]) -> float:
    """Return the interval between watches, in which changes accumulate.

    Each endpoint writes heartbeats and each node watches all of them, so a
    change is always pending. Without a pause, nodes would call the store
    continuously.

    :param bounds_s: seconds within which changes must take effect.

    Examples
    ========

    >>> max_poll_interval_s([3.0, 2.0])
    0.8
    """
    return INTERVAL_FRACTION * min(bounds_s)


@dataclasses.dataclass(frozen=True)
class _WatchResult:
    """Result of one watch.

    :param changes: the store's response.
    :param sent_at: local monotonic time in seconds at which it was requested.
    :param age_s: age in seconds of the state that the response reflects.
    """

    changes: metadata.Changes | metadata.HistoryLost | metadata.Unavailable
    sent_at: float
    age_s: float


async def _watch(
    view: ClusterView, store: messages.Store, wait_s: float, is_probe: bool
) -> _WatchResult:
    sent_at = trio.current_time()
    clock_sent_at = view.clock_time()
    changes = await store.watch(ALL_KEYS, view.revision, wait_s, is_probe)
    elapsed_s = view.clock_time() - clock_sent_at
    # Without events, the store has waited for the whole requested time.
    waited_s = 0.0
    if isinstance(changes, metadata.Changes) and not changes.events:
        waited_s = min(wait_s, trio.current_time() - sent_at)
    return _WatchResult(changes, sent_at, elapsed_s - waited_s)


async def _probe(
    view: ClusterView,
    store: messages.Store,
    report_store_reachable: collections.abc.Callable[[bool], None],
) -> _WatchResult:
    """Watch a failing store repeatedly until it responds.

    New calls start while earlier ones are still pending: after a hang, the
    store never answers the calls that it received before its recovery; a
    slow store answers the earlier calls.
    """
    found: list[_WatchResult] = []

    async def watch_once(scope: trio.CancelScope) -> None:
        answer = await _watch(view, store, PROBE_WAIT_S, True)
        if not isinstance(answer.changes, metadata.Unavailable):
            found.append(answer)
            scope.cancel()

    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(watch_once, nursery.cancel_scope)
            await trio.sleep(PROBE_INTERVAL_S)
            report_store_reachable(view.staleness_s < UNREACHABLE_AFTER_S)
    return found[0]


async def _follow(
    view: ClusterView,
    store: messages.Store,
    report_store_reachable: collections.abc.Callable[[bool], None],
    poll_interval_s: float,
) -> bool:
    """Apply the changes of one watch; return whether to read all anew."""
    answer = await _watch(view, store, view.watch_wait_s, False)
    if isinstance(answer.changes, metadata.Unavailable):
        await trio.sleep(RETRY_INTERVAL_S)
        answer = await _probe(view, store, report_store_reachable)
    now = trio.current_time()
    if isinstance(answer.changes, metadata.HistoryLost):
        _LOG.info("history lost in the store; reading all items")
        return True
    view.apply_changes(answer.changes, now)
    view.mark_current(answer.age_s)
    await _wait_watch_due(view, answer.sent_at, poll_interval_s)
    return False


async def _wait_watch_due(
    view: ClusterView, last_watch_at: float, poll_interval_s: float
) -> None:
    """Wait until this node must watch the store again.

    While another node sends all changes, the view stays current without.
    """
    while True:
        now = trio.current_time()
        interval_s = view.watch_interval_s(poll_interval_s)
        if interval_s is not None:
            left_s = last_watch_at + interval_s - now
        else:
            left_s = max(
                last_watch_at + poll_interval_s - now,
                poll_interval_s - view.feed_age_s,
            )
        if left_s <= CLOCK_TOLERANCE_S:
            return
        await trio.sleep(min(left_s, WATCH_CHECK_INTERVAL_S))


async def follow_store(
    view: ClusterView,
    store: messages.Store,
    report_store_reachable: collections.abc.Callable[[bool], None],
    poll_interval_s: float,
) -> None:
    """Keep a node's view up to date; never returns.

    :param view: the node's view of the cluster.
    :param store: the platform's store.
    :param report_store_reachable: called with whether the store is reachable.
    :param poll_interval_s: interval in seconds between watches while this
        node does not plan.
    """
    needs_full_read = True
    while True:
        if needs_full_read:
            needs_full_read = not await _read_all(view, store)
            if needs_full_read:
                await trio.sleep(RETRY_INTERVAL_S)
        else:
            needs_full_read = await _follow(
                view, store, report_store_reachable, poll_interval_s
            )
        report_store_reachable(view.staleness_s < UNREACHABLE_AFTER_S)
