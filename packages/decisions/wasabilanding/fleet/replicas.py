"""Whole replicas among registered endpoints."""

import collections
import collections.abc
import dataclasses

from wasabilanding.fleet import endpoint as endpoint_module

Endpoint = endpoint_module.Endpoint
MemberState = endpoint_module.MemberState
STANDING = (MemberState.READY, MemberState.OPEN)


@dataclasses.dataclass(frozen=True)
class Replica:
    """Members that report the same replica and epoch.

    :param place: identity and epoch.
    :param members: registered members by rank.
    """

    place: endpoint_module.Place
    members: tuple[Endpoint, ...]

    @property
    def head(self) -> Endpoint | None:
        """The member that takes the requests, if it is registered."""
        first = self.members[0]
        return first if first.membership.rank == 0 else None

    @property
    def model(self) -> str:
        """Model that its members serve; empty while none says."""
        for member in self.members:
            if member.model:
                return member.model
        return ""

    def is_whole(self, size: int) -> bool:
        """Tell whether every member is registered and stands.

        :param size: VMs of a replica of its model.
        """
        ranks = [member.membership.rank for member in self.members]
        if ranks != list(range(size)):
            return False
        return all(
            member.membership.state in STANDING for member in self.members
        )

    @property
    def is_open(self) -> bool:
        """Whether its head says that it takes requests."""
        head = self.head
        return head is not None and head.membership.state is MemberState.OPEN

    @property
    def is_leaving(self) -> bool:
        """Whether any member has announced that it leaves."""
        return any(member.draining for member in self.members)


def _rank(endpoint: Endpoint) -> tuple[int, str]:
    return endpoint.membership.rank, endpoint.endpoint_id


def replicas_of(
    endpoints: collections.abc.Iterable[Endpoint],
) -> dict[endpoint_module.Place, Replica]:
    """Return the replicas that endpoints report, whole or not.

    :param endpoints: registered endpoints.
    """
    members = collections.defaultdict(list)
    for endpoint in endpoints:
        if endpoint.membership is not None:
            members[endpoint.membership.place].append(endpoint)
    return {
        place: Replica(place, tuple(sorted(found, key=_rank)))
        for place, found in members.items()
    }
