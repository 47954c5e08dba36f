"""Encoding and merging of reports of VMs and of whole replicas.

Explanation
===========

Messages carry ages instead of timestamps. Observations are sent in replies
only: the caller subtracts their age from the time at which it sent its
request, so that network delay never makes them look newer than they are.

Nodes of one failure domain exchange the reports of single VMs that are new
since the last exchange, and one entry for each whole replica. A node of
another failure domain receives only the whole replicas of the callee's
failure domain. Within a failure domain, whole replicas of other failure
domains are also sent for services that have no whole replica there.
"""

import collections.abc
import dataclasses
import math

from wasabilanding import knowledge
from wasabilanding import model
from wasabilanding.peers import exchange_pb2

MAX_REPORT_AGE_S = 3.0
# An observation that arrives over two paths has slightly different ages.
DUPLICATE_TOLERANCE_S = 0.05
MS_PER_S = 1000
CS_PER_S = 100


@dataclasses.dataclass(frozen=True)
class VmUpdates:
    """Observations of VMs to send to a peer.

    :param reports: reports of single VMs.
    :param whole_replicas: whole replicas.
    """

    reports: tuple[exchange_pb2.Report, ...]
    whole_replicas: tuple[exchange_pb2.WholeReplica, ...]


def age_ms(at: float, now: float) -> int:
    """Return an age in milliseconds, rounded up.

    :param at: local monotonic time in seconds.
    :param now: the same, later.
    """
    return max(0, math.ceil((now - at) * MS_PER_S))


def age_cs(at: float, now: float) -> int:
    """Return an age in hundredths of a second, rounded up.

    :param at: local monotonic time in seconds.
    :param now: the same, later.
    """
    return max(0, int((now - at) * CS_PER_S) + 1)


def _is_recent(report: model.VmReport, now: float) -> bool:
    return now - report.observed_at <= MAX_REPORT_AGE_S


def _encode_report(report: model.VmReport, now: float) -> exchange_pb2.Report:
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


def _encode_whole_replica(
    whole: knowledge.WholeReplica, now: float
) -> exchange_pb2.WholeReplica:
    return exchange_pb2.WholeReplica(
        key=whole.key,
        ages_cs=[age_cs(at, now) for at in whole.observed_at],
        running=whole.running,
        queued=whole.queued,
    )


class _UpdateSelector:
    """Selects observations for a peer; summarizes each replica only once.

    :param known: cluster state of this node.
    :param domain: failure domain of this node.
    :param peer: name of the peer.
    :param since: position up to which the peer has this node's journal.
    :param now: local monotonic time in seconds.
    """

    def __init__(
        self,
        known: knowledge.ClusterState,
        domain: str,
        peer: str,
        since: int,
        now: float,
    ) -> None:
        self._known = known
        self._domain = domain
        self._peer = peer
        self._since = since
        self._now = now
        self._whole_replicas = {
            replica.replica_id: whole
            for replica in known.record(domain).replicas
            if (whole := self._summarise(domain, replica))
        }

    def _summarise(
        self, domain: str, replica: model.ReplicaRecord
    ) -> knowledge.WholeReplica | None:
        # If any report is too old, the recent ones are sent individually.
        whole = knowledge.summarise(domain, replica, self._known.reports)
        if whole is None or self._now - whole.oldest > MAX_REPORT_AGE_S:
            return None
        return whole

    def local_replicas(
        self,
    ) -> collections.abc.Iterator[exchange_pb2.WholeReplica]:
        """Yield new whole replicas of this failure domain."""
        for replica in self._known.record(self._domain).replicas:
            whole = self._whole_replicas.get(replica.replica_id)
            if whole and self._may_be_new(replica):
                yield _encode_whole_replica(whole, self._now)

    def remote_replicas(
        self,
    ) -> collections.abc.Iterator[exchange_pb2.WholeReplica]:
        """Yield remote whole replicas of services that have none here."""
        known = self._known
        served = {
            replica.service
            for replica in known.record(self._domain).replicas
            if replica.replica_id in self._whole_replicas
        }
        for domain, record in sorted(known.records.items()):
            for replica in record.replicas:
                if domain == self._domain or replica.service in served:
                    continue
                whole = self._summarise(domain, replica)
                if whole and self._may_be_new(replica):
                    yield _encode_whole_replica(whole, self._now)

    def _may_be_new(self, replica: model.ReplicaRecord) -> bool:
        return any(
            self._known.may_be_new_to(vm, self._peer, self._since)
            for vm in replica.members
        )

    def single_reports(self) -> collections.abc.Iterator[exchange_pb2.Report]:
        """Yield new reports of VMs that are in no whole replica."""
        known = self._known
        for vm in self._vms_reported_singly():
            report = known.reports.get(vm)
            if report is None or not _is_recent(report, self._now):
                continue
            if known.may_be_new_to(vm, self._peer, self._since):
                yield _encode_report(report, self._now)

    def _vms_reported_singly(self) -> collections.abc.Iterable[str]:
        record = self._known.record(self._domain)
        vms = dict.fromkeys(
            vm.vm for vm in self._known.listing(self._domain).vms
        )
        for replica in record.replicas:
            if replica.replica_id not in self._whole_replicas:
                vms.update(dict.fromkeys(replica.members))
        for replica in record.replicas:
            if replica.replica_id in self._whole_replicas:
                for vm in replica.members:
                    vms.pop(vm, None)
        return vms


def select_vm_updates(
    known: knowledge.ClusterState,
    domain: str,
    peer: exchange_pb2.NodeState,
    since: int,
    now: float,
) -> VmUpdates:
    """Return the observations to send to a peer.

    :param known: cluster state of this node.
    :param domain: failure domain of this node.
    :param peer: the peer.
    :param since: position up to which the peer has this node's journal.
    :param now: local monotonic time in seconds.
    """
    selector = _UpdateSelector(known, domain, peer.name, since, now)
    if peer.failure_domain != domain:
        return VmUpdates((), tuple(selector.local_replicas()))
    whole_replicas = (*selector.local_replicas(), *selector.remote_replicas())
    return VmUpdates(tuple(selector.single_reports()), whole_replicas)


def merge_reports(
    known: knowledge.ClusterState,
    reply: exchange_pb2.ExchangeReply,
    sent_at: float,
) -> int:
    """Merge the observations of a reply.

    :param known: cluster state of this node.
    :param reply: the reply.
    :param sent_at: local monotonic time at which the request was sent.
    :returns: number of entries that could not be used.
    """
    source = reply.sender.name
    unusable = 0
    for entry in reply.reports:
        report = _decode_report(entry, sent_at)
        if report is None:
            unusable += 1
        elif _is_newer(known, report.vm, report.observed_at):
            known.learn_report(report, source)
    for entry in reply.whole_replicas:
        for report in _decode_whole_replica(known, entry, sent_at):
            known.learn_report(report, source)
    return unusable


def _is_newer(
    known: knowledge.ClusterState, vm: str, observed_at: float
) -> bool:
    held = known.reports.get(vm)
    if held is None:
        return True
    return observed_at - held.observed_at > DUPLICATE_TOLERANCE_S


def _decode_report(
    entry: exchange_pb2.Report, sent_at: float
) -> model.VmReport | None:
    try:
        state = model.VmState(entry.state)
    except ValueError:
        # A peer that runs another version may use additional states.
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


def _decode_whole_replica(
    known: knowledge.ClusterState,
    entry: exchange_pb2.WholeReplica,
    sent_at: float,
) -> collections.abc.Iterator[model.VmReport]:
    replica = known.replica_by_hash(entry.key)
    if replica is None or len(entry.ages_cs) != len(replica.members):
        return
    whole = knowledge.WholeReplica(
        key=entry.key,
        observed_at=tuple(sent_at - age / CS_PER_S for age in entry.ages_cs),
        running=entry.running,
        queued=entry.queued,
    )
    newer = {
        vm
        for vm, at in zip(replica.members, whole.observed_at)
        if _is_newer(known, vm, at)
    }
    yield from knowledge.reports_of(whole, replica, newer)
