"""What a node believes: the routing table and the registered endpoints.

Explanation
===========

One watch of the whole store tells of the operators' configuration, of the
endpoints' registrations and of the nodes' own keys. It is asked anew every
:data:`WAIT_S`, so that each answer also proves that nothing was missed:
where keys of callers must be refused soon after they are revoked, a node
refuses all keyed requests when its last proof is too old.
"""

import collections.abc
import dataclasses
import logging

import trio

from wasabilanding import fleet
from wasabilanding.gateway import clocks
from wasabilanding.gateway import messages
from wasabilanding import metadata
from wasabilanding import routes

WAIT_S = 1.6
# While the store fails it is asked so often, and short waits tell early that
# it is back.
PROBE_S = 0.6
PROBE_WAIT_S = 0.3
PLANNING_INTERVAL_S = 0.25
# Part of the bound on a change that passes until the next call; the rest is
# for slow and lost calls.
INTERVAL_PART = 0.4
RETRY_S = 0.25
# Without an answer for so long the store counts as away.
AWAY_S = 3.5
EVERYTHING = ""

_LOG = logging.getLogger(__name__)


class Belief:
    """State of one node; loops change it and requests read it.

    :param wire: decodes what lies in the store.
    :param clock: seconds, counted also while the VM is suspended.
    """

    def __init__(
        self,
        wire: messages.Wire,
        clock: collections.abc.Callable[[], float] = clocks.suspend_time,
    ) -> None:
        self._wire = wire
        self._clock = clock
        self._changed = trio.Event()
        self._table_revision = 0
        self.table: routes.RoutingTable | None = None
        self.registry = fleet.Registry()
        self.own: dict[str, metadata.Item] = {}
        self.revision = 0
        self._proven_at = float("-inf")
        self.planners = 0
        self._rejected: dict[str, int] = {}

    @property
    def is_informed(self) -> bool:
        """Whether a configuration and the registrations are known."""
        return self.table is not None and self.revision > 0

    @property
    def proof_age_s(self) -> float:
        """Seconds since the last proof that nothing was missed."""
        return self._clock() - self._proven_at

    def clock_time(self) -> float:
        """Return the time of the clock that proofs are dated by."""
        return self._clock()

    def note_proof(self, age_s: float) -> None:
        """Note that nothing was missed up to some time ago.

        :param age_s: seconds ago.
        """
        self._proven_at = max(self._proven_at, self._clock() - age_s)

    @property
    def is_planning(self) -> bool:
        """Whether this node plans replicas and so needs changes early."""
        return self.planners > 0

    async def wait_changed(self) -> None:
        """Wait until something is learnt."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def learn_all(self, listing: metadata.Listing, now: float) -> None:
        """Learn everything that lies in the store.

        :param listing: all items.
        :param now: local monotonic time in seconds.
        """
        endpoints = []
        own = {}
        for item in listing.items:
            if item.key.startswith(self._wire.registrations_prefix):
                endpoint = self._registration(item)
                if endpoint is not None:
                    endpoints.append(endpoint)
            elif item.key == self._wire.configuration_key:
                self._learn_table(item)
            elif item.key.startswith(self._wire.own_prefix):
                own[item.key] = item
        self.registry.replace(endpoints, now)
        self.own = own
        self.revision = max(self.revision, listing.revision)
        self._notify()

    def learn(self, changes: metadata.Changes, now: float) -> None:
        """Learn changes.

        :param changes: what happened, in order.
        :param now: local monotonic time in seconds.
        """
        for event in changes.events:
            self._learn_event(event, now)
        self.revision = max(self.revision, changes.revision)
        self.registry.expire(now)
        if changes.events:
            self._notify()

    def _learn_event(
        self, event: metadata.Item | metadata.Removal, now: float
    ) -> None:
        key = event.key
        if key.startswith(self._wire.registrations_prefix):
            self._learn_registration(event, now)
        elif key == self._wire.configuration_key:
            if isinstance(event, metadata.Item):
                self._learn_table(event)
        elif key.startswith(self._wire.own_prefix):
            if isinstance(event, metadata.Item):
                self.own[key] = event
            else:
                self.own.pop(key, None)

    def _learn_registration(
        self, event: metadata.Item | metadata.Removal, now: float
    ) -> None:
        endpoint = None
        if isinstance(event, metadata.Item):
            endpoint = self._registration(event)
        if endpoint is not None:
            self.registry.put(endpoint)
            return
        name = event.key.removeprefix(self._wire.registrations_prefix)
        if self.registry.get(name) is not None:
            _LOG.info("endpoint %s is gone", name, extra={"endpoint": name})
        self.registry.remove(name, now)

    def _registration(self, item: metadata.Item) -> fleet.Endpoint | None:
        try:
            endpoint = self._wire.read_registration(item.key, item.value)
        except ValueError as error:
            if item.key not in self._rejected:
                _LOG.warning(
                    "registration %s is not used: %s", item.key, error
                )
            self._rejected[item.key] = item.revision
            return None
        self._rejected.pop(item.key, None)
        return endpoint

    def _learn_table(self, item: metadata.Item) -> None:
        if item.revision <= self._table_revision:
            return
        try:
            table = self._wire.read_table(item.value)
        except ValueError as error:
            _LOG.error(
                "configuration at revision %d is not used: %s",
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


async def _read_everything(belief: Belief, store: messages.Store) -> bool:
    asked_at = belief.clock_time()
    listing = await store.read_all(EVERYTHING)
    if isinstance(listing, metadata.Unavailable):
        _LOG.debug("the store was not read: %s", listing.detail)
        return False
    belief.learn_all(listing, trio.current_time())
    belief.note_proof(belief.clock_time() - asked_at)
    return True


def interval_s(bounds_s: collections.abc.Iterable[float]) -> float:
    """Return how long changes may gather until one call tells them all.

    The load pattern it answers: each endpoint writes its heartbeat, so that
    there always is a change, and each node watches all of them.

    :param bounds_s: seconds within which changes must be in force.

    Examples
    ========

    >>> interval_s([3.0, 2.0])
    0.8
    """
    return INTERVAL_PART * min(bounds_s)


@dataclasses.dataclass(frozen=True)
class _Answer:
    """An answer of the store to one watch.

    :param changes: the answer.
    :param asked_at: local monotonic time in seconds at which it was asked.
    :param age_s: seconds that have passed since the state that it proves.
    """

    changes: metadata.Changes | metadata.HistoryLost | metadata.Unavailable
    asked_at: float
    age_s: float


async def _ask(
    belief: Belief, store: messages.Store, wait_s: float, is_probe: bool
) -> _Answer:
    asked_at = trio.current_time()
    proof_asked_at = belief.clock_time()
    changes = await store.watch(EVERYTHING, belief.revision, wait_s, is_probe)
    took_s = belief.clock_time() - proof_asked_at
    # Without events the store has waited to the end of the time asked for.
    waited_s = 0.0
    if isinstance(changes, metadata.Changes) and not changes.events:
        waited_s = min(wait_s, trio.current_time() - asked_at)
    return _Answer(changes, asked_at, took_s - waited_s)


async def _probe(
    belief: Belief,
    store: messages.Store,
    note_store: collections.abc.Callable[[bool], None],
) -> _Answer:
    """Ask a store that fails until it answers.

    It is asked again while earlier calls still wait: a silent store keeps
    those waiting that it got before it came back, and a slow one answers
    the earlier calls.
    """
    found: list[_Answer] = []

    async def ask(scope: trio.CancelScope) -> None:
        answer = await _ask(belief, store, PROBE_WAIT_S, True)
        if not isinstance(answer.changes, metadata.Unavailable):
            found.append(answer)
            scope.cancel()

    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(ask, nursery.cancel_scope)
            await trio.sleep(PROBE_S)
            note_store(belief.proof_age_s < AWAY_S)
    return found[0]


async def _follow(
    belief: Belief,
    store: messages.Store,
    note_store: collections.abc.Callable[[bool], None],
    gather_s: float,
) -> bool:
    """Ask once for changes; tell whether a full read is needed."""
    answer = await _ask(belief, store, WAIT_S, False)
    if isinstance(answer.changes, metadata.Unavailable):
        await trio.sleep(RETRY_S)
        answer = await _probe(belief, store, note_store)
    now = trio.current_time()
    if isinstance(answer.changes, metadata.HistoryLost):
        _LOG.info("the store dropped its history: read anew")
        return True
    if belief.proof_age_s > AWAY_S:
        belief.registry.note_store_recovery(now)
    belief.learn(answer.changes, now)
    belief.note_proof(answer.age_s)
    pause_s = PLANNING_INTERVAL_S if belief.is_planning else gather_s
    await trio.sleep_until(answer.asked_at + pause_s)
    return False


async def keep_informed(
    belief: Belief,
    store: messages.Store,
    note_store: collections.abc.Callable[[bool], None],
    gather_s: float,
) -> None:
    """Keep a node's belief up to date; never returns.

    :param belief: what the node believes.
    :param store: the platform's store.
    :param note_store: told whether the store is in reach.
    :param gather_s: seconds in which changes gather, while nothing is
        planned here.
    """
    needs_all = True
    while True:
        if needs_all:
            needs_all = not await _read_everything(belief, store)
            if needs_all:
                await trio.sleep(RETRY_S)
        else:
            needs_all = await _follow(belief, store, note_store, gather_s)
        note_store(belief.proof_age_s < AWAY_S)
