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
import dataclasses
import math

from wasabilanding import knowledge
from wasabilanding import model
from wasabilanding.peers import exchange_pb2

MAX_AGE_S = 3.0
# Two paths tell of one observation with slightly different ages.
SAME_OBSERVATION_S = 0.05
MS_PER_S = 1000
CS_PER_S = 100


@dataclasses.dataclass(frozen=True)
class Told:
    """What a peer is told of VMs.

    :param reports: reports of single VMs.
    :param whole_replicas: whole replicas.
    """

    reports: tuple[exchange_pb2.Report, ...]
    whole_replicas: tuple[exchange_pb2.WholeReplica, ...]


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
    return max(0, int((now - at) * CS_PER_S) + 1)


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


class _Teller:
    """What one peer is told, from one summary of each replica.

    :param known: knowledge of this node.
    :param domain: failure domain of this node.
    :param peer: name of the peer.
    :param since: journal position up to which it has heard this node.
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
        self._whole = {
            replica.replica_id: whole
            for replica in known.record(domain).replicas
            if (whole := self._summarise(domain, replica))
        }

    def _summarise(
        self, domain: str, replica: model.ReplicaRecord
    ) -> knowledge.WholeReplica | None:
        # With one old report, the young ones are told one by one.
        whole = knowledge.summarise(domain, replica, self._known.reports)
        if whole is None or self._now - whole.oldest > MAX_AGE_S:
            return None
        return whole

    def local(
        self,
    ) -> collections.abc.Iterator[exchange_pb2.WholeReplica]:
        """Yield the whole replicas of this failure domain."""
        for replica in self._known.record(self._domain).replicas:
            whole = self._whole.get(replica.replica_id)
            if whole and self._is_news(replica):
                yield _whole(whole, self._now)

    def needed(
        self,
    ) -> collections.abc.Iterator[exchange_pb2.WholeReplica]:
        """Yield whole replicas elsewhere of services that have none here."""
        known = self._known
        served = {
            replica.service
            for replica in known.record(self._domain).replicas
            if replica.replica_id in self._whole
        }
        for domain, record in sorted(known.records.items()):
            for replica in record.replicas:
                if domain == self._domain or replica.service in served:
                    continue
                whole = self._summarise(domain, replica)
                if whole and self._is_news(replica):
                    yield _whole(whole, self._now)

    def _is_news(self, replica: model.ReplicaRecord) -> bool:
        return any(
            self._known.may_be_new_to(vm, self._peer, self._since)
            for vm in replica.members
        )

    def single(self) -> collections.abc.Iterator[exchange_pb2.Report]:
        """Yield the reports of VMs that are in no whole replica."""
        known = self._known
        for vm in self._single_vms():
            report = known.reports.get(vm)
            if report is None or not _is_young(report, self._now):
                continue
            if known.may_be_new_to(vm, self._peer, self._since):
                yield _report(report, self._now)

    def _single_vms(self) -> collections.abc.Iterable[str]:
        record = self._known.record(self._domain)
        vms = dict.fromkeys(
            vm.vm for vm in self._known.listing(self._domain).vms
        )
        for replica in record.replicas:
            if replica.replica_id not in self._whole:
                vms.update(dict.fromkeys(replica.members))
        for replica in record.replicas:
            if replica.replica_id in self._whole:
                for vm in replica.members:
                    vms.pop(vm, None)
        return vms


def tell(
    known: knowledge.ClusterState,
    domain: str,
    peer: exchange_pb2.NodeState,
    since: int,
    now: float,
) -> Told:
    """Return what a peer is told of VMs.

    :param known: knowledge of this node.
    :param domain: failure domain of this node.
    :param peer: the peer.
    :param since: journal position up to which the peer has heard this node.
    :param now: local monotonic time in seconds.
    """
    teller = _Teller(known, domain, peer.name, since, now)
    if peer.failure_domain != domain:
        return Told((), tuple(teller.local()))
    whole_replicas = (*teller.local(), *teller.needed())
    return Told(tuple(teller.single()), whole_replicas)


def learn_reports(
    known: knowledge.ClusterState,
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
        elif _is_younger(known, report.vm, report.observed_at):
            known.learn_report(report, source)
    for entry in reply.whole_replicas:
        for report in _decode_whole(known, entry, sent_at):
            known.learn_report(report, source)
    return unusable


def _is_younger(
    known: knowledge.ClusterState, vm: str, observed_at: float
) -> bool:
    held = known.reports.get(vm)
    if held is None:
        return True
    return observed_at - held.observed_at > SAME_OBSERVATION_S


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
    known: knowledge.ClusterState,
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
    younger = {
        vm
        for vm, at in zip(replica.members, whole.observed_at)
        if _is_younger(known, vm, at)
    }
    yield from knowledge.reports_of(whole, replica, younger)
