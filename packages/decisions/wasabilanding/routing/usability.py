"""Whether a replica is usable according to its members' reports."""

import collections.abc

from wasabilanding import model

MAX_REPORT_AGE_S = 2.5

Reports = collections.abc.Mapping[str, model.VmReport]


def _confirms(
    report: model.VmReport | None,
    replica: model.ReplicaRecord,
    now: float,
    max_report_age_s: float,
) -> bool:
    if report is None or report.state is not model.VmState.READY:
        return False
    if report.leaving or now - report.observed_at > max_report_age_s:
        return False
    return (report.replica_id, report.epoch) == (
        replica.replica_id,
        replica.epoch,
    )


def is_usable(
    replica: model.ReplicaRecord,
    reports: Reports,
    now: float,
    max_report_age_s: float = MAX_REPORT_AGE_S,
) -> bool:
    """Tell whether a replica may receive new work.

    :param replica: the replica as recorded.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    :param max_report_age_s: maximum age of a report in seconds.
    """
    if replica.state is not model.ReplicaState.ACTIVE:
        return False
    return all(
        _confirms(reports.get(vm), replica, now, max_report_age_s)
        for vm in replica.members
    )


def usable_variant(
    replica: model.ReplicaRecord,
    reports: Reports,
    now: float,
    max_report_age_s: float = MAX_REPORT_AGE_S,
) -> model.ReplicaRecord | None:
    """Return the variant of a replica that may receive new work.

    :param replica: the replica as recorded.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    :param max_report_age_s: maximum age of a report in seconds.
    """
    for variant in replica.variants:
        if is_usable(variant, reports, now, max_report_age_s):
            return variant
    return None


def usable_replicas(
    replicas: collections.abc.Iterable[model.ReplicaRecord],
    service: str,
    reports: Reports,
    now: float,
    max_report_age_s: float = MAX_REPORT_AGE_S,
) -> tuple[model.ReplicaRecord, ...]:
    """Return the replicas of a service that may receive new work.

    :param replicas: recorded replicas of any service.
    :param service: name of the service.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    :param max_report_age_s: maximum age of a report in seconds.
    """
    variants = (
        usable_variant(replica, reports, now, max_report_age_s)
        for replica in replicas
        if replica.service == service
    )
    return tuple(variant for variant in variants if variant is not None)
