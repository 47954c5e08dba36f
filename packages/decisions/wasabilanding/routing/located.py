"""A replica, where it is, and a name that is unique everywhere."""

import dataclasses

from wasabilanding import model


def replica_key(replica: model.ReplicaRecord) -> str:
    """Return a name of a replica that is unique among failure domains.

    Replica identities are unique in one failure domain only. A replica whose
    members changed has an empty cache and counts as another one.

    :param replica: the replica.
    """
    return f"{replica.leader}@{replica.epoch}"


@dataclasses.dataclass(frozen=True)
class LocatedReplica:
    """A replica and where it is.

    :param replica: the replica.
    :param failure_domain: its failure domain.
    """

    replica: model.ReplicaRecord
    failure_domain: str
