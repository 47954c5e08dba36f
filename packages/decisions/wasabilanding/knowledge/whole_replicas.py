"""Combined reports of all members of a replica."""

import collections.abc
import dataclasses
import functools
import hashlib

from wasabilanding import model

KEY_BYTES = 8


@dataclasses.dataclass(frozen=True)
class WholeReplica:
    """Combined report of a replica whose members all report it as ready.

    :param key: hash of the failure domain, the replica and its epoch.
    :param observed_at: local monotonic time of each member's report by
        rank, in seconds.
    :param running: requests that the leader runs.
    :param queued: requests that wait at the leader.
    """

    key: int
    observed_at: tuple[float, ...]
    running: int = 0
    queued: int = 0

    @property
    def oldest(self) -> float:
        """Local monotonic time of the oldest report, in seconds."""
        return min(self.observed_at)


@functools.lru_cache(maxsize=100_000)
def _key(failure_domain: str, replica_id: str, epoch: int) -> int:
    text = f"{failure_domain}/{replica_id}/{epoch}".encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def replica_hash(failure_domain: str, replica: model.ReplicaRecord) -> int:
    """Return the 64-bit hash that identifies a replica at its epoch.

    :param failure_domain: its failure domain.
    :param replica: the replica.
    """
    return _key(failure_domain, replica.replica_id, replica.epoch)


def summarise(
    failure_domain: str,
    replica: model.ReplicaRecord,
    reports: collections.abc.Mapping[str, model.VmReport],
) -> WholeReplica | None:
    """Return the combined report of a replica.

    :param failure_domain: its failure domain.
    :param replica: the replica as recorded.
    :param reports: latest report of each VM.
    :returns: the combined report, or None if a member is not ready, is
        leaving or does not report the replica.
    """
    replica_key = (replica.replica_id, replica.epoch)
    observed_at = []
    for vm in replica.members:
        report = reports.get(vm)
        if report is None or report.state is not model.VmState.READY:
            return None
        if report.leaving or (report.replica_id, report.epoch) != replica_key:
            return None
        observed_at.append(report.observed_at)
    leader = reports[replica.leader]
    return WholeReplica(
        key=replica_hash(failure_domain, replica),
        observed_at=tuple(observed_at),
        running=leader.running,
        queued=leader.queued,
    )


def reports_of(
    whole: WholeReplica,
    replica: model.ReplicaRecord,
    vms: collections.abc.Container[str],
) -> collections.abc.Iterator[model.VmReport]:
    """Yield the members' reports of a combined report.

    :param whole: the combined report.
    :param replica: the replica as recorded, at the same epoch.
    :param vms: the members whose reports are returned.
    """
    for vm, observed_at in zip(replica.members, whole.observed_at):
        if vm not in vms:
            continue
        is_leader = vm == replica.leader
        yield model.VmReport(
            vm=vm,
            state=model.VmState.READY,
            replica_id=replica.replica_id,
            epoch=replica.epoch,
            running=whole.running if is_leader else 0,
            queued=whole.queued if is_leader else 0,
            observed_at=observed_at,
        )
