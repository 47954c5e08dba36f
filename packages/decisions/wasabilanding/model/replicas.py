"""Replicas and the versioned record of one failure domain."""

import dataclasses
import enum
import functools


ReplicaKey = tuple[str, int]
NO_REPLICA_KEY: ReplicaKey = ("", 0)


class ReplicaState(enum.Enum):
    """Intended state of a replica, set by the control lease's holder."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class ReplicaRecord:
    """One replica as recorded for its failure domain.

    :param replica_id: identity, unique within the failure domain.
    :param epoch: number that changes whenever the members change.
    :param service: name of the service that it provides.
    :param profile: name of its profile.
    :param profile_revision: revision of that profile.
    :param model: model to load.
    :param version: version of the model.
    :param fabric_domain: fabric domain of all its members.
    :param members: VMs by rank; rank 0 receives the requests.
    :param state: intended state.
    :param max_running: maximum number of requests that it runs at a time.
    :param adapters: adapters loaded with the model.
    :param spares: VMs of the same fabric domain that hold the weights and
        may replace a member.
    :param substitute_epoch: first of the epochs reserved for the variants in
        which the first spare replaces one member; 0 for none.
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

    def is_substitute_epoch(self, replica_key: ReplicaKey) -> bool:
        """Tell whether a key is that of a variant with a spare as a member.

        :param replica_key: identity and epoch as a VM reports them.
        """
        replica_id, epoch = replica_key
        if replica_id != self.replica_id or not self.substitute_epoch:
            return False
        return 0 <= epoch - self.substitute_epoch < len(self.members)

    @functools.cached_property
    def variants(self) -> tuple["ReplicaRecord", ...]:
        """The replica, then one variant per member replaced by the spare.

        The variants are recorded in advance so that a lost member can be
        replaced while the store cannot be written. Any two variants share a
        VM, and a VM reports one epoch, so at most one of them has all its
        members at a time.
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
    def replica_key(self) -> ReplicaKey:
        """Identity and epoch, as its members report them."""
        return self.replica_id, self.epoch

    @property
    def weights(self) -> tuple[str, ...]:
        """Weights that its members load: model, version and adapters."""
        return self.model, self.version, *self.adapters

    @property
    def leader(self) -> str:
        """VM that receives the requests."""
        return self.members[0]


@dataclasses.dataclass(frozen=True)
class DomainRecord:
    """Versioned record of the replicas of one failure domain.

    :param failure_domain: name of the failure domain.
    :param revision: revision in the platform's store; 0 before the first
        write. It is not part of the stored value.
    :param fence: fencing token of the lease holder that wrote the record.
    :param next_epoch: lowest epoch that has never been used.
    :param replicas: the recorded replicas.
    :param writer: identity of the write, by which a writer whose answer was
        lost finds out whether the write took effect.
    """

    failure_domain: str
    revision: int = 0
    fence: int = 0
    next_epoch: int = 1
    replicas: tuple[ReplicaRecord, ...] = ()
    writer: str = ""
