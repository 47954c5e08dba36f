"""Watch of the store that keeps a node's view of the cluster current.

Explanation
===========

One watch covers the whole store. It is a long poll that ends after
:data:`WATCH_WAIT_S` also without changes, so that each response confirms that
the view was current.

In a failure domain with many nodes, one of them sends the changes to the
others. A node that receives them watches the store itself only when it has
missed a change or the changes stop.
"""

import collections.abc
import dataclasses
import logging

import trio

from wasabilanding.gateway import cluster_view
from wasabilanding.gateway import messages
from wasabilanding import metadata

WATCH_WAIT_S = 1.6
# While the store fails, watches start at this interval and wait only briefly,
# so that its recovery is noticed early.
PROBE_INTERVAL_S = 0.6
PROBE_WAIT_S = 0.3
PLANNING_INTERVAL_S = 0.25
FEEDING_INTERVAL_S = 0.4
# Time for which a node relies on another one that confirms nothing any more.
FEED_MEMORY_S = 10.0
# Interval between watches as a fraction of the bound on changes. The rest of
# the bound is left for slow and lost calls.
INTERVAL_FRACTION = 0.4
RETRY_INTERVAL_S = 0.25
# A node that begins to plan or to feed others watches within this time.
WATCH_CHECK_INTERVAL_S = 0.5
# Timers of different clocks may differ by this much.
CLOCK_TOLERANCE_S = 0.001
ALL_KEYS = ""

_LOG = logging.getLogger(__name__)


def _watch_wait_s(view: cluster_view.ClusterView) -> float:
    """Return the seconds after which a watch ends without changes.

    It is short if other nodes rely on the answer, or if the other node on
    which this one has relied until now confirms nothing any more.
    """
    if view.feeds_peers or view.feed_age_s < FEED_MEMORY_S:
        return FEEDING_INTERVAL_S
    return WATCH_WAIT_S


def _fixed_interval_s(
    view: cluster_view.ClusterView, poll_interval_s: float
) -> float | None:
    """Return the time between two watches on which others depend, if any."""
    if view.is_planning:
        return PLANNING_INTERVAL_S
    if view.feeds_peers:
        return min(FEEDING_INTERVAL_S, poll_interval_s)
    return None


async def _read_all(
    view: cluster_view.ClusterView, store: messages.Store
) -> bool:
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
    continuously, so the interval is never below
    :data:`PLANNING_INTERVAL_S`.

    :param bounds_s: seconds within which changes must take effect.

    Examples
    ========

    >>> max_poll_interval_s([3.0, 2.0])
    0.8
    >>> max_poll_interval_s([0.0])
    0.25
    """
    return max(INTERVAL_FRACTION * min(bounds_s), PLANNING_INTERVAL_S)


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
    view: cluster_view.ClusterView,
    store: messages.Store,
    wait_s: float,
    is_probe: bool,
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
    view: cluster_view.ClusterView,
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
            report_store_reachable(
                view.staleness_s < cluster_view.UNREACHABLE_AFTER_S
            )
    return found[0]


async def _follow(
    view: cluster_view.ClusterView,
    store: messages.Store,
    report_store_reachable: collections.abc.Callable[[bool], None],
    poll_interval_s: float,
) -> bool:
    """Apply the changes of one watch; return whether to read all anew."""
    answer = await _watch(view, store, _watch_wait_s(view), False)
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
    view: cluster_view.ClusterView,
    last_watch_at: float,
    poll_interval_s: float,
) -> None:
    """Wait until this node must watch the store again.

    While another node sends all changes, the view stays current without.
    """
    while True:
        now = trio.current_time()
        interval_s = _fixed_interval_s(view, poll_interval_s)
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
    view: cluster_view.ClusterView,
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
        report_store_reachable(
            view.staleness_s < cluster_view.UNREACHABLE_AFTER_S
        )
