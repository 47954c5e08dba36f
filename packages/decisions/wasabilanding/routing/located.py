"""Replicas with their failure domain, and globally unique keys."""

import dataclasses

from wasabilanding import model


def global_replica_key(replica: model.ReplicaRecord) -> str:
    """Return a key of a replica that is unique over all failure domains.

    Replica identities are unique only within a failure domain. The key changes
    when the members change, because the replica's cache is then empty. It is
    neither the replica's ``replica_key`` nor the hash that nodes exchange.

    :param replica: the replica.
    """
    return f"{replica.leader}@{replica.epoch}"


@dataclasses.dataclass(frozen=True)
class LocatedReplica:
    """A replica and its failure domain.

    :param replica: the replica.
    :param failure_domain: its failure domain.
    """

    replica: model.ReplicaRecord
    failure_domain: str
