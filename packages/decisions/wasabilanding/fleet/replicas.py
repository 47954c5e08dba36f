"""Replicas that registered endpoints form."""

import collections
import collections.abc
import dataclasses

from wasabilanding.fleet import endpoint as endpoint_module

Endpoint = endpoint_module.Endpoint
MemberState = endpoint_module.MemberState
IN_SERVICE_STATES = (MemberState.READY, MemberState.OPEN)


@dataclasses.dataclass(frozen=True)
class Replica:
    """Members that report the same replica and epoch.

    :param replica_key: identity and epoch of the replica.
    :param members: registered members by rank.
    """

    replica_key: endpoint_module.ReplicaKey
    members: tuple[Endpoint, ...]

    @property
    def head(self) -> Endpoint | None:
        """Member of rank 0, which accepts the requests, if registered."""
        first = self.members[0]
        return first if first.membership.rank == 0 else None

    @property
    def model(self) -> str:
        """Model that its members serve; empty while none reports one."""
        for member in self.members:
            if member.model:
                return member.model
        return ""

    def is_whole(self, size: int) -> bool:
        """Tell whether every rank is registered and in service.

        :param size: number of VMs in a replica of its model.
        """
        ranks = [member.membership.rank for member in self.members]
        # The configured size may be any number, also a very large one.
        if len(ranks) != size or ranks != list(range(len(ranks))):
            return False
        return all(
            member.membership.state in IN_SERVICE_STATES
            for member in self.members
        )

    @property
    def is_open(self) -> bool:
        """Whether its head reports that it accepts requests."""
        head = self.head
        return head is not None and head.membership.state is MemberState.OPEN

    @property
    def is_leaving(self) -> bool:
        """Whether any member is draining."""
        return any(member.draining for member in self.members)


def replicas_of(
    endpoints: collections.abc.Iterable[Endpoint],
) -> dict[endpoint_module.ReplicaKey, Replica]:
    """Return the replicas that endpoints report, whole or not.

    :param endpoints: registered endpoints.
    """
    # Tuples sort several times faster than endpoints with a key function.
    members: dict[
        endpoint_module.ReplicaKey, list[tuple[int, str, Endpoint]]
    ] = collections.defaultdict(list)
    for endpoint in endpoints:
        member = endpoint.membership
        if member is not None:
            members[member.replica, member.epoch].append(
                (member.rank, endpoint.endpoint_id, endpoint)
            )
    return {
        replica_key: Replica(
            replica_key, tuple(endpoint for _, _, endpoint in sorted(found))
        )
        for replica_key, found in members.items()
    }
