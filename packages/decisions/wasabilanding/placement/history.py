"""What the holder of control remembers of the VMs' earlier reports.

Explanation
===========

A report says how a VM is; some decisions need to know how it was. From each
new set of reports :func:`advance` derives

- the place that a VM took last, so that a VM that comes back empty is
  recognised and its replica regrouped;
- how often it was lost lately, from which follows how long it is held down.
  The hold-down doubles with each loss, as in route flap damping [1]_, and is
  forgotten after a stable time;
- from when a replica is draining;
- which revisions of a profile were seen to serve, and where they failed;
- from when it has heard the VMs without a gap. After a gap, in which the
  holder itself may have been paused, silence says nothing about the VMs, so
  nothing is decided until they had time to be heard again.

The memory is local to the holder. A new holder starts without it and decides
no worse than on the reports alone.

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
class VmTrack:
    """How one VM was.

    :param alive: whether it reported lately.
    :param replica_epoch: last place that it reported, or the empty one.
    :param placed_at: local time at which it was first seen there, seconds.
    :param was_ready: whether it was seen ready there.
    :param has_failed: whether it was seen to fail there.
    :param refuses_from: local time from which it was seen to take no new
        request there, in seconds.
    :param weights: model, version and adapters that it holds.
    :param losses: how often it was lost lately.
    :param held_until: local time up to which it is not used, in seconds.
    :param stable_since: local time of its last return, in seconds.
    """

    alive: bool = True
    replica_epoch: model.ReplicaEpoch = model.NO_REPLICA_EPOCH
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
    """What the holder remembers.

    :param vms: track of each VM.
    :param draining_since: local time from which a replica drains, seconds.
    :param proved: name and revision of each profile that was seen to serve.
    :param failed: name and revision of a profile with each VM that failed to
        load it.
    :param heard_at: local time of the youngest report, in seconds.
    :param settled_from: local time from which the VMs were heard without a
        gap, in seconds.
    """

    vms: collections.abc.Mapping[str, VmTrack] = dataclasses.field(
        default_factory=dict
    )
    draining_since: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    proved: frozenset[tuple[str, int]] = frozenset()
    failed: frozenset[tuple[str, int, str]] = frozenset()
    heard_at: float = -math.inf
    settled_from: float = -math.inf

    def is_settling(self, now: float) -> bool:
        """Tell whether silence does not yet say that a VM is lost.

        :param now: local monotonic time in seconds.
        """
        return now - self.settled_from < SETTLE_S


def hold_down_s(losses: int) -> float:
    """Return how long a VM stays unused after its return.

    :param losses: how often it was lost lately.
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


def _lost(track: VmTrack) -> VmTrack:
    return dataclasses.replace(
        track, alive=False, losses=track.losses + 1, held_until=math.inf
    )


def _returned(track: VmTrack, now: float) -> VmTrack:
    return dataclasses.replace(
        track,
        alive=True,
        held_until=now + hold_down_s(track.losses),
        stable_since=now,
    )


def _emptied(track: VmTrack, now: float) -> VmTrack:
    counted = track if track.held_until > now else _lost(track)
    return dataclasses.replace(
        _returned(counted, now), weights=(), was_ready=False
    )


def _failed_to_load(track: VmTrack, now: float) -> VmTrack:
    losses = track.losses + 1
    return dataclasses.replace(
        track,
        has_failed=True,
        losses=losses,
        held_until=now + hold_down_s(losses + 1),
        stable_since=now,
    )


def _unplaced(
    track: VmTrack, report: model.VmReport, preloaded: Weights
) -> VmTrack:
    if report.state is model.VmState.LOADING:
        return dataclasses.replace(track, weights=())
    if report.state is model.VmState.PRELOADED and not track.weights:
        return dataclasses.replace(track, weights=preloaded)
    return track


def _placed(
    track: VmTrack, report: model.VmReport, weights: Weights, now: float
) -> VmTrack:
    if report.replica_epoch != track.replica_epoch:
        track = dataclasses.replace(
            track,
            replica_epoch=report.replica_epoch,
            placed_at=now,
            was_ready=False,
            has_failed=False,
            refuses_from=math.inf,
        )
    if report.state is model.VmState.DRAINING:
        refuses_from = min(now, track.refuses_from)
        track = dataclasses.replace(track, refuses_from=refuses_from)
    if report.state is model.VmState.FAILED and not track.has_failed:
        return _failed_to_load(track, now)
    if report.state is model.VmState.READY:
        track = dataclasses.replace(track, was_ready=True, weights=weights)
    return track


def _advance_vm(
    track: VmTrack,
    report: model.VmReport,
    expected: dict[model.ReplicaEpoch, Weights],
    preloaded: Weights,
    now: float,
) -> VmTrack:
    alive = now - report.observed_at <= LOST_AFTER_S
    if not alive:
        return _lost(track) if track.alive else track
    if not track.alive:
        track = _returned(track, now)
    elif track.losses and now - track.stable_since > FORGET_LOSSES_S:
        track = dataclasses.replace(track, losses=0)
    if report.replica_epoch == model.NO_REPLICA_EPOCH:
        if track.replica_epoch in expected and track.was_ready:
            return _emptied(track, now)
        return _unplaced(track, report, preloaded)
    if (
        report.replica_epoch not in expected
        and track.replica_epoch in expected
    ):
        # A stale order displaced it; its place is remembered until the
        # record gives it another.
        return track
    return _placed(track, report, expected.get(report.replica_epoch, ()), now)


def _served(record: model.DomainRecord, reports: Reports, now: float) -> set:
    return {
        (replica.profile, replica.profile_revision)
        for replica in record.replicas
        if routing.usable_variant(replica, reports, now)
    }


def _failed(record: model.DomainRecord, reports: Reports) -> set:
    return {
        (replica.profile, replica.profile_revision, vm)
        for replica in record.replicas
        for vm in replica.members
        if vm in reports
        and reports[vm].replica_epoch == replica.replica_epoch
        and reports[vm].state is model.VmState.FAILED
    }


def advance(
    history: History,
    record: model.DomainRecord,
    reports: Reports,
    now: float,
) -> History:
    """Return the memory after another look at the reports.

    :param history: the memory so far.
    :param record: the agreed record.
    :param reports: latest report of each VM.
    :param now: local monotonic time in seconds.
    """
    heard_at = max((r.observed_at for r in reports.values()), default=now)
    if max(heard_at - history.heard_at, now - heard_at) > MAX_GAP_S:
        history = dataclasses.replace(history, settled_from=now)
    history = dataclasses.replace(history, heard_at=heard_at)
    if history.is_settling(now):
        return history
    return _advance_settled(history, record, reports, now)


def _advance_settled(
    history: History,
    record: model.DomainRecord,
    reports: Reports,
    now: float,
) -> History:
    expected = {
        variant.replica_epoch: variant.weights
        for replica in record.replicas
        for variant in replica.variants
    }
    spares = {vm: r.weights for r in record.replicas for vm in r.spares}
    vms = {
        vm: _advance_vm(
            history.vms.get(vm, VmTrack()),
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
    proved = history.proved | _served(record, reports, now)
    failed = history.failed | _failed(record, reports)
    return dataclasses.replace(
        history,
        vms=vms,
        draining_since=draining,
        proved=proved,
        failed=failed,
    )
