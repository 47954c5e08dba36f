"""Keeps poison requests from crashing one endpoint after another.

Explanation
===========

An attempt whose stream is lost is counted as a crash of its replica
immediately, so that the next attempt is already restricted. The crash is
withdrawn if all VMs of the replica later report that they are still members
of it; a VM that restarted is not.
"""

import collections
import collections.abc
import contextlib
import dataclasses

import trio

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding import model
from wasabilanding import poison
from wasabilanding import routing

CHECK_INTERVAL_S = 1.0
CRASH_REVIEW_PERIOD_S = 60.0
RETRY_AFTER_S = 60.0
HOME_PREFIX_BLOCKS = 4
LOST_STREAM_REASONS = frozenset(
    (model.Reason.CONNECTION_LOST, model.Reason.STALLED)
)

# Service and failure domain.
_Group = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class _Crash:
    fingerprint: str
    replica: model.ReplicaRecord
    at: float


@dataclasses.dataclass(frozen=True)
class _HomeQuery:
    fingerprint: str
    prefix: str
    status: poison.SuspicionStatus
    tried: frozenset[str]
    index: routing.ReplicaIndex


def _prefix(request: callers.CallerRequest, fingerprint: str) -> str:
    blocks = routing.block_hashes(request.prompt)[:HOME_PREFIX_BLOCKS]
    return f"{blocks[-1]:x}" if blocks else fingerprint


class PoisonGuard:
    """Restricts, serializes and rejects requests suspected of crashes.

    :param context: state shared by the daemon's loops.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._home_candidates: dict[_Group, poison.HomeCandidates] = {}
        self._recently_usable: dict[_Group, poison.HomeCandidates] = {}
        self._crashes: list[_Crash] = []
        self._fingerprints: dict[str, str] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._lock_users: collections.Counter[str] = collections.Counter()

    def _fingerprint(self, request: callers.CallerRequest) -> str:
        found = self._fingerprints.get(request.request_id)
        return found or poison.fingerprint(request.service, request.prompt)

    def _suspicion_status(self, fingerprint: str) -> poison.SuspicionStatus:
        return self._context.known.suspicions.status(
            fingerprint, self._context.now()
        )

    def update_replicas(self, index: routing.ReplicaIndex) -> None:
        """Update the recorded replicas and the usable ones.

        Home replicas are chosen among the recorded ones, because all nodes
        agree on these but see them become usable at different times.

        :param index: the index, just refreshed.
        """
        usable: dict[_Group, set[str]] = collections.defaultdict(set)
        for located in index.all_usable_at_scan:
            group = (located.replica.service, located.failure_domain)
            usable[group].add(routing.global_replica_key(located.replica))
        recorded = self._recorded()
        now = self._context.now()
        for group in {*usable, *recorded, *self._home_candidates}:
            recently_usable = self._recently_usable.setdefault(
                group, poison.HomeCandidates()
            )
            candidates = self._home_candidates.setdefault(
                group, poison.HomeCandidates()
            )
            recently_usable.update(usable[group], now)
            candidates.update(usable[group] | recorded[group], now)

    def _recorded(self) -> dict[_Group, set[str]]:
        found: dict[_Group, set[str]] = collections.defaultdict(set)
        for domain, record in self._context.known.records.items():
            for replica in record.replicas:
                if replica.state is model.ReplicaState.ACTIVE:
                    key = routing.global_replica_key(replica)
                    found[replica.service, domain].add(key)
        return found

    def confine(
        self,
        request: callers.CallerRequest,
        index: routing.ReplicaIndex,
        tried: frozenset[str],
    ) -> frozenset[str]:
        """Return the keys of the replicas that may run a request.

        :param request: the request.
        :param index: usable replicas.
        :param tried: keys of the replicas of earlier attempts.
        :raises wasabilanding.callers.RequestFailed: when the request is
            rejected as poisoned.
        """
        fingerprint = self._fingerprint(request)
        status = self._suspicion_status(fingerprint)
        if status.quarantined:
            raise callers.RequestFailed(self._rejection(status))
        prefix = _prefix(request, fingerprint)
        local, *remote = self._domains(request.service, fingerprint)
        query = _HomeQuery(fingerprint, prefix, status, tried, index)
        allowed = self._homes(request.service, local, query)
        if allowed and status.suspected:
            return frozenset(allowed)
        for domain in remote:
            found = self._homes(request.service, domain, query)
            if found:
                return frozenset((*allowed, *found))
        return frozenset(allowed)

    def _domains(self, service: str, fingerprint: str) -> list[str]:
        own = self._context.failure_domain
        others = [
            d for s, d in self._home_candidates if s == service and d != own
        ]
        start = int(fingerprint, 16) % max(1, len(others))
        others.sort()
        return [own, *others[start:], *others[:start]]

    def _homes(
        self, service: str, domain: str, query: _HomeQuery
    ) -> tuple[str, ...]:
        candidates = self._home_candidates.get((service, domain))
        if candidates is None:
            return ()
        names = candidates.names
        homes = poison.home_names(query.prefix, query.fingerprint, names)
        recently_usable = self._recently_usable[service, domain]
        if (
            not recently_usable.is_warming_up
            and recently_usable.all_names.isdisjoint(homes)
        ):
            # No home has been usable lately; use the usable replicas rather
            # than reject the request.
            homes = poison.home_names(
                query.prefix, query.fingerprint, recently_usable.all_names
            )
        usable = [
            key
            for key in homes
            if key not in query.tried and self._is_usable(key, query.index)
        ]
        if query.status.suspected:
            return poison.trial_names(homes, query.status.crashed, usable)
        return tuple(usable)

    def _is_usable(self, key: str, index: routing.ReplicaIndex) -> bool:
        located = index.get(key)
        return located is not None and index.is_usable(
            located, self._context.known.reports, self._context.now()
        )

    def _rejection(self, status: poison.SuspicionStatus) -> model.Outcome:
        remaining_s = max(1.0, status.until - self._context.now())
        return model.not_run(
            model.Reason.POISONED,
            f"{len(status.crashed)} endpoints crashed while running "
            "this request; it is temporarily rejected",
            min(RETRY_AFTER_S, remaining_s),
        )

    @contextlib.asynccontextmanager
    async def serialized(
        self, request: callers.CallerRequest
    ) -> collections.abc.AsyncIterator[None]:
        """Run a suspected request only once at a time on this node.

        :param request: the request.
        """
        fingerprint = self._fingerprint(request)
        self._fingerprints[request.request_id] = fingerprint
        try:
            if not self._suspicion_status(fingerprint).suspected:
                yield
                return
            async with self._exclusive(fingerprint):
                yield
        finally:
            self._fingerprints.pop(request.request_id, None)

    @contextlib.asynccontextmanager
    async def isolated(
        self, request: callers.CallerRequest, replica: model.ReplicaRecord
    ) -> collections.abc.AsyncIterator[None]:
        """Run only one suspected request at a time at a replica.

        :param request: the request.
        :param replica: the replica.
        """
        if not self._suspicion_status(self._fingerprint(request)).suspected:
            yield
            return
        async with self._exclusive(routing.global_replica_key(replica)):
            yield

    @contextlib.asynccontextmanager
    async def _exclusive(
        self, name: str
    ) -> collections.abc.AsyncIterator[None]:
        lock = self._locks.setdefault(name, trio.Lock())
        self._lock_users[name] += 1
        try:
            async with lock:
                yield
        finally:
            self._lock_users[name] -= 1
            if not self._lock_users[name]:
                del self._lock_users[name]
                del self._locks[name]

    def note_completion(self, request: callers.CallerRequest) -> None:
        """Clear the suspicion of a request that has completed.

        :param request: the request.
        """
        fingerprint = self._fingerprint(request)
        if self._suspicion_status(fingerprint).suspected:
            now = self._context.now()
            self._context.known.suspicions.clear(fingerprint, now)

    def note_failure(
        self,
        request: callers.CallerRequest,
        replica: model.ReplicaRecord,
        outcome: model.Outcome,
    ) -> None:
        """Record a crash when a failed attempt has lost its stream.

        :param request: the request.
        :param replica: replica of the attempt.
        :param outcome: outcome of the attempt.
        """
        if outcome.verdict is not model.Verdict.MAY_HAVE_RUN:
            return
        if outcome.reason not in LOST_STREAM_REASONS:
            return
        crash = _Crash(
            self._fingerprint(request), replica, self._context.now()
        )
        self._crashes.append(crash)
        self._context.known.suspicions.record_crash(
            crash.fingerprint, routing.global_replica_key(replica), crash.at
        )

    async def run(self) -> None:
        """Withdraw false crashes until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = self._context.now()
            self._context.known.suspicions.forget(now)
            self._crashes = [
                x for x in self._crashes if self._needs_review(x, now)
            ]

    def _needs_review(self, crash: _Crash, now: float) -> bool:
        if now - crash.at > CRASH_REVIEW_PERIOD_S:
            return False
        reports = self._context.known.reports
        heard = all(
            vm in reports and reports[vm].observed_at > crash.at
            for vm in crash.replica.members
        )
        if not heard or not routing.is_usable(crash.replica, reports, now):
            return True
        self._context.known.suspicions.withdraw(
            crash.fingerprint, routing.global_replica_key(crash.replica), now
        )
        return False
