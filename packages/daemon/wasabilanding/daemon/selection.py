"""Selects the replica of the next attempt from what the node knows."""

import collections.abc

from wasabilanding import callers
from wasabilanding.daemon import context as context_module
from wasabilanding import model
from wasabilanding import routing

NO_REPLICA_COMEBACK_S = 2.0


def _check_service(context: context_module.Context, service: str) -> None:
    if context.known.configuration.profile_of(service) is None:
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.UNKNOWN_SERVICE,
                f"service {service!r} does not exist",
            )
        )


def _local(
    context: context_module.Context,
    replicas: tuple[model.ReplicaRecord, ...],
) -> tuple[model.ReplicaRecord, ...]:
    record = context.known.record(context.failure_domain)
    own = {replica.replica_id for replica in record.replicas}
    return tuple(r for r in replicas if r.replica_id in own)


def select_replica(
    context: context_module.Context,
    request: callers.CallerRequest,
    in_flight: collections.abc.Mapping[str, int],
    tried: frozenset[str],
) -> model.ReplicaRecord:
    """Select the replica of the next attempt.

    :param context: what the loops share.
    :param request: the request.
    :param in_flight: own attempts in flight by replica.
    :param tried: replicas of earlier attempts.
    :raises wasabilanding.callers.RequestFailed: when there is none.
    """
    _check_service(context, request.service)
    known = context.known
    usable = routing.usable_replicas(
        known.replicas, request.service, known.reports, context.now()
    )
    # A retry leaves the failure domain rather than ask a replica again.
    fresh = tuple(r for r in usable if r.replica_id not in tried) or usable
    choice = routing.choose_replica(
        _local(context, fresh) or fresh,
        known.reports,
        in_flight,
        context.rng,
        tried,
    )
    if choice is None:
        raise callers.RequestFailed(
            model.not_run(
                model.Reason.NO_REPLICA,
                f"no replica of service {request.service} is whole",
                NO_REPLICA_COMEBACK_S,
            )
        )
    return choice
