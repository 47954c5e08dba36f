"""Waiting requests of one customer, by kind."""

import collections
import collections.abc
import dataclasses

# One of so many turns goes to the kind that was served the longest time ago,
# whatever its priority, so that no priority starves another.
LOW_PRIORITY_TURN = 8

MayServe = collections.abc.Callable[[str], bool]


@dataclasses.dataclass(frozen=True)
class Kind:
    """Kind of requests: those of a route and priority.

    :param route: name of the route.
    :param rank: priority; the lowest number comes first.
    """

    route: str
    rank: int


class CustomerQueue:
    """Waiting requests of one customer.

    Higher priorities come first. Kinds of one priority take turns, as their
    time limits differ: in a single queue, the requests with the longest time
    limit would lengthen the wait up to that limit, and all others would be
    refused.
    Requests of one kind are in the order of their arrival.
    """

    def __init__(self) -> None:
        self._lines: dict[Kind, collections.deque[str]] = {}
        self._kinds: dict[str, Kind] = {}
        self._turns = 0
        self._served_at: dict[Kind, int] = {}

    def __len__(self) -> int:
        return len(self._kinds)

    def push(
        self, request_id: str, kind: Kind, is_first: bool = False
    ) -> None:
        """Add a request.

        :param request_id: its identity.
        :param kind: its kind.
        :param is_first: whether it precedes the others of its kind.
        """
        line = self._lines.setdefault(kind, collections.deque())
        if is_first:
            line.appendleft(request_id)
        else:
            line.append(request_id)
        self._kinds[request_id] = kind

    def remove(self, request_id: str) -> None:
        """Remove a request.

        :param request_id: its identity.
        """
        kind = self._kinds.pop(request_id)
        self._lines[kind].remove(request_id)
        if not self._lines[kind]:
            del self._lines[kind]

    def serve(self, request_id: str) -> None:
        """Remove a request and count its turn.

        :param request_id: its identity.
        """
        self._turns += 1
        self._served_at[self._kinds[request_id]] = self._turns
        self.remove(request_id)

    def next(self, may_serve: MayServe) -> str | None:
        """Return the request whose turn it is; None if there is none.

        :param may_serve: returns whether a request may be served now.
        """
        for kind in sorted(self._lines, key=self._order):
            for request_id in self._lines[kind]:
                if may_serve(request_id):
                    return request_id
        return None

    def _order(self, kind: Kind) -> tuple[int, int]:
        served_at = self._served_at.get(kind, 0)
        is_low_turn = self._turns % LOW_PRIORITY_TURN == LOW_PRIORITY_TURN - 1
        return (0 if is_low_turn else kind.rank, served_at)

    def ahead_of(self, request_id: str) -> int:
        """Return how many of the requests are served before one of them.

        :param request_id: its identity.
        """
        kind = self._kinds[request_id]
        position = self._lines[kind].index(request_id)
        ahead = position
        for other, line in self._lines.items():
            if other.rank < kind.rank:
                ahead += len(line)
            elif other.rank == kind.rank and other != kind:
                ahead += min(len(line), position + 1)
        return min(ahead, (position + 1) * LOW_PRIORITY_TURN - 1)
