"""Selects the replica for the next attempt of a request."""

import collections.abc
import contextlib
import dataclasses

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import poison_guard
from wasabilanding import model
from wasabilanding import routing

NO_REPLICA_RETRY_AFTER_S = 2.0


def check_configured(context: context_module.Context) -> None:
    """Check that the node has learned a configuration.

    Until then it can't tell whether a service exists.

    :param context: state shared by the daemon's loops.
    :raises wasabilanding.callers.RequestFailed: when it has not.
    """
    if context.known.configuration.revision == 0:
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.NO_REPLICA,
                "this node has not received a configuration yet",
                NO_REPLICA_RETRY_AFTER_S,
            )
        )


def _check_service(context: context_module.Context, service: str) -> None:
    check_configured(context)
    if context.known.configuration.profile_of(service) is None:
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.UNKNOWN_SERVICE,
                f"service {service!r} does not exist",
            )
        )


@dataclasses.dataclass
class StreamTiming:
    """Arrival times of the payloads of one attempt.

    :param first_at: local monotonic time of the first payload in seconds.
    :param last_at: local monotonic time of the last payload in seconds.
    :param parts: number of payloads received.
    """

    first_at: float = 0.0
    last_at: float = 0.0
    parts: int = 0

    def note(self, parts: int, now: float) -> None:
        """Record received payloads.

        :param parts: number of payloads.
        :param now: local monotonic time in seconds.
        """
        if not self.parts:
            self.first_at = now
        self.last_at = now
        self.parts += parts

    @property
    def interval_s(self) -> float | None:
        """Mean time between payloads in seconds, or None for less than 2."""
        if self.parts < 2:
            return None
        return (self.last_at - self.first_at) / (self.parts - 1)


class Router:
    """Selects replicas for requests on this node.

    :param context: state shared by the daemon's loops.
    :param guard: restricts each request to a few replicas.
    :param choose: policy that chooses the replica.
    """

    def __init__(
        self,
        context: context_module.Context,
        guard: poison_guard.PoisonGuard,
        choose: routing.Policy = routing.choose_by_cost,
    ) -> None:
        self._context = context
        self._guard = guard
        self._choose = choose
        self._index = routing.ReplicaIndex(context.failure_domain)
        self._loads = routing.LoadView()
        self._stream_intervals = routing.StreamIntervals()
        self._prefixes = routing.PrefixView()
        self._entry_vms = 1

    @property
    def prefixes(self) -> routing.PrefixView:
        """Estimated prefix cache contents of each replica."""
        return self._prefixes

    def refresh(self) -> routing.ReplicaIndex:
        """Update and return the index of usable replicas."""
        known = self._context.known
        now = self._context.now()
        if self._index.refresh(known.records, known.reports, now):
            self._loads.sweep(self._index.keys)
            self._stream_intervals.sweep(self._index.keys)
            self._entry_vms = len(self._context.members.live(now))
            self._guard.update_replicas(self._index)
        return self._index

    def slots(self, service: str) -> int:
        """Return the number of batch slots of a service's usable replicas.

        :param service: name of the service.
        """
        return self.refresh().slots(service)

    def select(
        self, request: callers.CallerRequest, tried: frozenset[str]
    ) -> model.ReplicaRecord:
        """Select the replica for the next attempt.

        :param request: the request.
        :param tried: keys of the replicas of earlier attempts.
        :raises wasabilanding.callers.RequestFailed: when there is none.
        """
        context = self._context
        _check_service(context, request.service)
        state = routing.RoutingState(
            self.refresh(),
            context.known.reports,
            self._loads,
            self._stream_intervals,
            self._prefixes,
            context.now(),
            self._entry_vms,
        )
        blocks = routing.block_hashes(request.prompt)
        allowed = self._guard.confine(request, state.index, tried)
        routing_request = routing.RoutingRequest(
            request.service, blocks, tried, allowed
        )
        choice = self._choose(state, routing_request, context.rng)
        if choice is None:
            raise callers.RequestFailed(
                model.not_run(
                    model.Reason.NO_REPLICA,
                    f"no replica of service {request.service} is usable",
                    NO_REPLICA_RETRY_AFTER_S,
                )
            )
        self._prefixes.store(
            routing.global_replica_key(choice.replica), blocks
        )
        return choice.replica

    @contextlib.contextmanager
    def track_attempt(
        self, replica: model.ReplicaRecord
    ) -> collections.abc.Iterator[StreamTiming]:
        """Track the load and pace of an attempt while the block runs.

        :param replica: replica of the attempt.
        """
        context = self._context
        timing = StreamTiming()
        self._loads.send(replica, context.now())
        try:
            yield timing
        finally:
            self._loads.finish(replica, context.now())
            interval_s = timing.interval_s
            if interval_s is not None:
                self._stream_intervals.observe(
                    replica, interval_s, context.now()
                )
