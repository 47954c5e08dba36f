"""Replicas and the versioned record of one failure domain."""

import dataclasses
import enum
import functools


ReplicaEpoch = tuple[str, int]
NO_REPLICA_EPOCH: ReplicaEpoch = ("", 0)


class ReplicaState(enum.Enum):
    """What the holder of control intends with a replica."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class ReplicaRecord:
    """One replica as agreed in the record of its failure domain.

    :param replica_id: identity, unique within the failure domain.
    :param epoch: number that changes with every change of members.
    :param service: service that it serves.
    :param profile: name of the profile that it runs under.
    :param profile_revision: revision of that profile.
    :param model: model to load.
    :param version: version of the model.
    :param fabric_domain: fabric domain of all its members.
    :param members: VMs by rank; rank 0 takes the requests.
    :param state: what is intended with it.
    :param max_running: requests that it runs at a time.
    :param adapters: adapters loaded beside the model.
    :param spares: VMs of the same fabric domain that hold the weights and
        may replace a member.
    :param substitute_epoch: first of the epochs that are set apart for the
        first spare in place of each member; 0 for none.
    """

    replica_id: str
    epoch: int
    service: str
    profile: str
    profile_revision: int
    model: str
    version: str
    fabric_domain: str
    members: tuple[str, ...]
    state: ReplicaState = ReplicaState.ACTIVE
    max_running: int = 32
    adapters: tuple[str, ...] = ()
    spares: tuple[str, ...] = ()
    substitute_epoch: int = 0

    def is_substitute_epoch(self, replica_epoch: ReplicaEpoch) -> bool:
        """Tell whether a place belongs to a form other than the first.

        :param replica_epoch: identity and epoch as a VM reports them.
        """
        replica_id, epoch = replica_epoch
        if replica_id != self.replica_id or not self.substitute_epoch:
            return False
        return 0 <= epoch - self.substitute_epoch < len(self.members)

    @functools.cached_property
    def variants(self) -> tuple["ReplicaRecord", ...]:
        """The replica, then with its first spare in place of each member.

        The forms are agreed beforehand, so that a lost member can be
        replaced while nothing can be written. Any two of them share a VM,
        and a VM reports one epoch, so at most one form is whole.
        """
        if not self.substitute_epoch:
            return (self,)
        return (self, *map(self._variant, range(len(self.members))))

    def _variant(self, rank: int) -> "ReplicaRecord":
        members = list(self.members)
        members[rank] = self.spares[0]
        return dataclasses.replace(
            self,
            epoch=self.substitute_epoch + rank,
            members=tuple(members),
            spares=(),
            substitute_epoch=0,
        )

    @property
    def replica_epoch(self) -> ReplicaEpoch:
        """Identity and epoch, as its members report them."""
        return self.replica_id, self.epoch

    @property
    def weights(self) -> tuple[str, ...]:
        """What its members load: model, version and adapters."""
        return self.model, self.version, *self.adapters

    @property
    def leader(self) -> str:
        """VM that takes the requests."""
        return self.members[0]


@dataclasses.dataclass(frozen=True)
class DomainRecord:
    """What is agreed about one failure domain.

    :param failure_domain: the failure domain.
    :param revision: revision of the platform's store; 0 before the first
        write. It is not part of the stored value.
    :param fence: fencing number of the holder that wrote it.
    :param next_epoch: lowest epoch that was never used.
    :param replicas: the agreed replicas.
    :param writer: token of the write, to resolve a lost answer.
    """

    failure_domain: str
    revision: int = 0
    fence: int = 0
    next_epoch: int = 1
    replicas: tuple[ReplicaRecord, ...] = ()
    writer: str = ""
