"""Observations on the wire: reports of VMs and of whole replicas.

Explanation
===========

Ages cross the wire, not times. Observations travel in answers only: the
caller counts their age from the sending of its request, so that they never
look younger than they are, however slow the network is.

Between nodes of one failure domain go the reports of single VMs that are new
since the last exchange, and whole replicas as one entry each. Between
failure domains go only the whole replicas of the callee's failure domain.
Whole replicas of other failure domains are repeated inside a failure domain
for the services that have no whole replica there.
"""

import collections.abc
import math

from wasabilanding import knowledge
from wasabilanding import model
from wasabilanding.peers import exchange_pb2

MAX_AGE_S = 3.0
# Two paths tell of one observation with slightly different ages.
SAME_OBSERVATION_S = 0.05
MS_PER_S = 1000
CS_PER_S = 100

Replicas = collections.abc.Iterator[tuple[str, model.ReplicaRecord]]


def age_ms(at: float, now: float) -> int:
    """Return an age for the wire, rounded up.

    :param at: local monotonic time in seconds.
    :param now: the same, later.
    """
    return max(0, math.ceil((now - at) * MS_PER_S))


def age_cs(at: float, now: float) -> int:
    """Return an age in hundredths of a second for the wire, rounded up.

    :param at: local monotonic time in seconds.
    :param now: the same, later.
    """
    return max(0, math.ceil((now - at) * CS_PER_S))


def _is_young(report: model.VmReport, now: float) -> bool:
    return now - report.observed_at <= MAX_AGE_S


def _report(report: model.VmReport, now: float) -> exchange_pb2.Report:
    return exchange_pb2.Report(
        vm=report.vm,
        state=report.state.value,
        replica_id=report.replica_id,
        epoch=report.epoch,
        running=report.running,
        queued=report.queued,
        leaving=report.leaving,
        age_ms=age_ms(report.observed_at, now),
    )


def _whole(
    whole: knowledge.WholeReplica, now: float
) -> exchange_pb2.WholeReplica:
    return exchange_pb2.WholeReplica(
        key=whole.key,
        ages_cs=[age_cs(at, now) for at in whole.observed_at],
        running=whole.running,
        queued=whole.queued,
    )


def _local_replicas(known: knowledge.Knowledge, domain: str) -> Replicas:
    for replica in known.record(domain).replicas:
        yield domain, replica


def _needed_replicas(known: knowledge.Knowledge, domain: str) -> Replicas:
    served = {
        replica.service
        for replica in known.record(domain).replicas
        if knowledge.summarise(domain, replica, known.reports)
    }
    for other, record in sorted(known.records.items()):
        for replica in record.replicas:
            if other != domain and replica.service not in served:
                yield other, replica


def whole_replicas(
    known: knowledge.Knowledge,
    domain: str,
    peer: exchange_pb2.NodeState,
    since: int,
    now: float,
) -> collections.abc.Iterator[exchange_pb2.WholeReplica]:
    """Yield what a peer is told of whole replicas.

    :param known: knowledge of this node.
    :param domain: failure domain of this node.
    :param peer: the peer.
    :param since: journal position up to which the peer has heard this node.
    :param now: local monotonic time in seconds.
    """
    told = list(_local_replicas(known, domain))
    if peer.failure_domain == domain:
        told += _needed_replicas(known, domain)
    for failure_domain, replica in told:
        whole = knowledge.summarise(failure_domain, replica, known.reports)
        if whole is None or now - whole.oldest > MAX_AGE_S:
            continue
        if any(
            known.is_news_for(vm, peer.name, since) for vm in replica.members
        ):
            yield _whole(whole, now)


def single_reports(
    known: knowledge.Knowledge,
    domain: str,
    peer: exchange_pb2.NodeState,
    since: int,
    now: float,
) -> collections.abc.Iterator[exchange_pb2.Report]:
    """Yield the reports that a peer is told of beside the whole replicas.

    :param known: knowledge of this node.
    :param domain: failure domain of this node.
    :param peer: the peer.
    :param since: journal position up to which the peer has heard this node.
    :param now: local monotonic time in seconds.
    """
    if peer.failure_domain != domain:
        return
    for vm in _single_vms(known, domain):
        report = known.reports.get(vm)
        if report is None or not _is_young(report, now):
            continue
        if known.is_news_for(vm, peer.name, since):
            yield _report(report, now)


def _single_vms(
    known: knowledge.Knowledge, domain: str
) -> collections.abc.Iterator[str]:
    record = known.record(domain)
    whole = {
        vm
        for replica in record.replicas
        if knowledge.summarise(domain, replica, known.reports)
        for vm in replica.members
    }
    recorded = (vm for replica in record.replicas for vm in replica.members)
    listed = (vm.vm for vm in known.listing(domain).vms)
    for vm in dict.fromkeys((*listed, *recorded)):
        if vm not in whole:
            yield vm


def learn_reports(
    known: knowledge.Knowledge,
    reply: exchange_pb2.ExchangeReply,
    sent_at: float,
) -> int:
    """Learn the observations in an answer.

    :param known: knowledge of this node.
    :param reply: the answer.
    :param sent_at: local monotonic time at which it was asked for.
    :returns: how many entries could not be used.
    """
    source = reply.sender.name
    unusable = 0
    for entry in reply.reports:
        report = _decode_report(entry, sent_at)
        if report is None:
            unusable += 1
        else:
            _learn_report(known, report, source)
    for entry in reply.whole_replicas:
        for report in _decode_whole(known, entry, sent_at):
            _learn_report(known, report, source)
    return unusable


def _learn_report(
    known: knowledge.Knowledge, report: model.VmReport, source: str
) -> None:
    held = known.reports.get(report.vm)
    gained_s = report.observed_at - held.observed_at if held else math.inf
    if gained_s > SAME_OBSERVATION_S:
        known.learn_report(report, source)


def _decode_report(
    entry: exchange_pb2.Report, sent_at: float
) -> model.VmReport | None:
    try:
        state = model.VmState(entry.state)
    except ValueError:
        # A peer of another version may know further states.
        return None
    return model.VmReport(
        vm=entry.vm,
        state=state,
        replica_id=entry.replica_id,
        epoch=entry.epoch,
        running=entry.running,
        queued=entry.queued,
        leaving=entry.leaving,
        observed_at=sent_at - entry.age_ms / MS_PER_S,
    )


def _decode_whole(
    known: knowledge.Knowledge,
    entry: exchange_pb2.WholeReplica,
    sent_at: float,
) -> collections.abc.Iterator[model.VmReport]:
    replica = known.replica_by_key(entry.key)
    if replica is None or len(entry.ages_cs) != len(replica.members):
        return
    whole = knowledge.WholeReplica(
        key=entry.key,
        observed_at=tuple(sent_at - age / CS_PER_S for age in entry.ages_cs),
        running=entry.running,
        queued=entry.queued,
    )
    yield from knowledge.reports_of(whole, replica)
