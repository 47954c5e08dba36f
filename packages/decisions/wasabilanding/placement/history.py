"""State that the controller derives from earlier VM reports.

Explanation
===========

A report gives the current state of a VM; some decisions depend on earlier
states. From each new set of reports :func:`update_history` derives

- the last replica and epoch that each VM reported, so that a VM that
  restarted empty is detected and its replica regrouped;
- how often each VM was lost recently, which sets its hold-down time. The
  hold-down doubles with each loss, as in route flap damping [1]_, and the
  count is reset after a stable period;
- when each replica started to drain;
- which profile revisions were seen serving, and on which VMs they failed;
- since when reports have arrived without a gap. During a gap the controller
  itself may have been paused, so missing reports don't prove that VMs are
  lost. Nothing is decided until the VMs have had time to report again.

The history is local to the controller. A new controller starts with an empty
one and decides from the reports alone.

References
==========

.. [1] C. Villamizar, R. Chandra and R. Govindan, "BGP Route Flap Damping",
       RFC 2439, 1998.
"""

import collections.abc
import dataclasses
import math

from wasabilanding import model
from wasabilanding import routing

LOST_AFTER_S = 2.0
MAX_GAP_S = 1.5
SETTLE_S = 2.5
HOLD_DOWN_S = 4.0
MAX_HOLD_DOWN_S = 256.0
FORGET_LOSSES_S = 600.0

Reports = collections.abc.Mapping[str, model.VmReport]
Weights = tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class VmHistory:
    """State derived from the earlier reports of one VM.

    Times are local monotonic times in seconds.

    :param alive: whether it reported within ``LOST_AFTER_S``.
    :param replica_key: last replica and epoch that it reported, or
        ``NO_REPLICA_KEY``.
    :param placed_at: when it first reported that replica and epoch.
    :param was_ready: whether it then reported that it was ready.
    :param has_failed: whether it then failed to load.
    :param refuses_from: when it then first reported that it was draining.
    :param weights: model, version and adapters that it holds.
    :param losses: recent losses and failed loads.
    :param held_until: end of its hold-down.
    :param stable_since: when it last returned or failed to load.
    """

    alive: bool = True
    replica_key: model.ReplicaKey = model.NO_REPLICA_KEY
    placed_at: float = -math.inf
    was_ready: bool = False
    has_failed: bool = False
    refuses_from: float = math.inf
    weights: Weights = ()
    losses: int = 0
    held_until: float = -math.inf
    stable_since: float = -math.inf


@dataclasses.dataclass(frozen=True)
class History:
    """History of a failure domain.

    Times are local monotonic times in seconds.

    :param vms: history of each VM.
    :param draining_since: when each draining replica was first seen draining.
    :param known_good: name and revision of each profile that was seen
        serving.
    :param failed: name and revision of a profile with each VM that failed to
        load it.
    :param last_report_at: time of the latest report.
    :param settled_from: time from which reports arrived without a gap.
    """

    vms: collections.abc.Mapping[str, VmHistory] = dataclasses.field(
        default_factory=dict
    )
    draining_since: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    known_good: frozenset[tuple[str, int]] = frozenset()
    failed: frozenset[tuple[str, int, str]] = frozenset()
    last_report_at: float = -math.inf
    settled_from: float = -math.inf

    def is_settling(self, now: float) -> bool:
        """Tell whether it is too early to take a silent VM for lost.

        :param now: local monotonic time in seconds.
        """
        return now - self.settled_from < SETTLE_S


def hold_down_s(losses: int) -> float:
    """Return the hold-down time of a VM after its return.

    :param losses: its recent losses.
    :returns: time in seconds.

    Examples
    ========

    >>> from wasabilanding.placement import history
    >>> [history.hold_down_s(n) for n in (1, 2, 3, 9, 99)]
    [0.0, 4.0, 8.0, 256.0, 256.0]
    """
    if losses < 2:
        return 0.0
    doublings = min(losses - 2, math.log2(MAX_HOLD_DOWN_S / HOLD_DOWN_S))
    return HOLD_DOWN_S * 2**doublings


def _mark_lost(vm_history: VmHistory) -> VmHistory:
    return dataclasses.replace(
        vm_history,
        alive=False,
        losses=vm_history.losses + 1,
        held_until=math.inf,
    )


def _mark_returned(vm_history: VmHistory, now: float) -> VmHistory:
    return dataclasses.replace(
        vm_history,
        alive=True,
        held_until=now + hold_down_s(vm_history.losses),
        stable_since=now,
    )


def _mark_restarted(vm_history: VmHistory, now: float) -> VmHistory:
    counted = (
        vm_history if vm_history.held_until > now else _mark_lost(vm_history)
    )
    return dataclasses.replace(
        _mark_returned(counted, now), weights=(), was_ready=False
    )


def _mark_failed(vm_history: VmHistory, now: float) -> VmHistory:
    losses = vm_history.losses + 1
    return dataclasses.replace(
        vm_history,
        has_failed=True,
        losses=losses,
        held_until=now + hold_down_s(losses + 1),
        stable_since=now,
    )


def _update_unplaced(
    vm_history: VmHistory, report: model.VmReport, preloaded: Weights
) -> VmHistory:
    if report.state is model.VmState.LOADING:
        return dataclasses.replace(vm_history, weights=())
    if report.state is model.VmState.PRELOADED and not vm_history.weights:
        return dataclasses.replace(vm_history, weights=preloaded)
    return vm_history


def _update_placed(
    vm_history: VmHistory, report: model.VmReport, weights: Weights, now: float
) -> VmHistory:
    if report.replica_key != vm_history.replica_key:
        vm_history = dataclasses.replace(
            vm_history,
            replica_key=report.replica_key,
            placed_at=now,
            was_ready=False,
            has_failed=False,
            refuses_from=math.inf,
        )
    if report.state is model.VmState.DRAINING:
        refuses_from = min(now, vm_history.refuses_from)
        vm_history = dataclasses.replace(vm_history, refuses_from=refuses_from)
    if report.state is model.VmState.FAILED and not vm_history.has_failed:
        return _mark_failed(vm_history, now)
    if report.state is model.VmState.READY:
        vm_history = dataclasses.replace(
            vm_history, was_ready=True, weights=weights
        )
    return vm_history


def _update_vm(
    vm_history: VmHistory,
    report: model.VmReport,
    expected: dict[model.ReplicaKey, Weights],
    preloaded: Weights,
    now: float,
) -> VmHistory:
    alive = now - report.observed_at <= LOST_AFTER_S
    if not alive:
        return _mark_lost(vm_history) if vm_history.alive else vm_history
    if not vm_history.alive:
        vm_history = _mark_returned(vm_history, now)
    elif vm_history.losses and now - vm_history.stable_since > FORGET_LOSSES_S:
        vm_history = dataclasses.replace(vm_history, losses=0)
    if report.replica_key == model.NO_REPLICA_KEY:
        if vm_history.replica_key in expected and vm_history.was_ready:
            return _mark_restarted(vm_history, now)
        return _update_unplaced(vm_history, report, preloaded)
    if (
        report.replica_key not in expected
        and vm_history.replica_key in expected
    ):
        # A stale order moved the VM. Its recorded replica is kept in the
        # history until the record assigns it to another one.
        return vm_history
    return _update_placed(
        vm_history, report, expected.get(report.replica_key, ()), now
    )


def _serving_revisions(
    record: model.DomainRecord, reports: Reports, now: float
) -> set:
    return {
        (replica.profile, replica.profile_revision)
        for replica in record.replicas
        if routing.usable_variant(replica, reports, now)
    }


def _failed_revisions(record: model.DomainRecord, reports: Reports) -> set:
    return {
        (replica.profile, replica.profile_revision, vm)
        for replica in record.replicas
        for vm in replica.members
        if vm in reports
        and reports[vm].replica_key == replica.replica_key
        and reports[vm].state is model.VmState.FAILED
    }


def update_history(
    history: History,
    record: model.DomainRecord,
    reports: Reports,
    now: float,
) -> History:
    """Return the history updated with the latest reports.

    :param history: the history so far.
    :param record: the committed record.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    last_report_at = max(
        (r.observed_at for r in reports.values()), default=now
    )
    if (
        max(last_report_at - history.last_report_at, now - last_report_at)
        > MAX_GAP_S
    ):
        history = dataclasses.replace(history, settled_from=now)
    history = dataclasses.replace(history, last_report_at=last_report_at)
    if history.is_settling(now):
        return history
    return _update_settled(history, record, reports, now)


def _update_settled(
    history: History,
    record: model.DomainRecord,
    reports: Reports,
    now: float,
) -> History:
    expected = {
        variant.replica_key: variant.weights
        for replica in record.replicas
        for variant in replica.variants
    }
    spares = {vm: r.weights for r in record.replicas for vm in r.spares}
    vms = {
        vm: _update_vm(
            history.vms.get(vm, VmHistory()),
            report,
            expected,
            spares.get(vm, ()),
            now,
        )
        for vm, report in reports.items()
    }
    draining = {
        r.replica_id: history.draining_since.get(r.replica_id, now)
        for r in record.replicas
        if r.state is model.ReplicaState.DRAINING
    }
    known_good = history.known_good | _serving_revisions(record, reports, now)
    failed = history.failed | _failed_revisions(record, reports)
    return dataclasses.replace(
        history,
        vms=vms,
        draining_since=draining,
        known_good=known_good,
        failed=failed,
    )
