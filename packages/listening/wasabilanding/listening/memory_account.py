"""Account of the bytes that a process holds for its clients.

Explanation
===========

Bodies of requests are held from their first byte until the request ends, and
parts of answers from their arrival until the caller's connection has taken
them. :class:`MemoryAccount` owns the number of bytes; only a context manager
(:meth:`MemoryAccount.reserve`) adds to it, and removes what is left when it
ends. Which requests are refused is decided in :mod:`wasabilanding.limits`.
"""

import collections.abc
import contextlib
import enum

import trio

from wasabilanding import limits

# Estimate of the tasks, buffers and connections of a request, without its
# body.
REQUEST_OVERHEAD_BYTES = 64 * 1024
DETAILS = {
    limits.MemoryCause.REQUEST: (
        "the request is larger than this node may hold"
    ),
    limits.MemoryCause.NODE: "the memory of this node is in use",
}


class Kind(enum.Enum):
    """What bytes are held for."""

    REQUEST = "request"
    RELAYED_REQUEST = "relayed_request"
    ANSWER = "answer"


class MemoryRefused(Exception):
    """A request is refused for lack of memory.

    :param cause: why.
    """

    def __init__(self, cause: limits.MemoryCause) -> None:
        super().__init__(DETAILS[cause])
        self.cause = cause


class Reservation:
    """Bytes held for one purpose; see :meth:`MemoryAccount.reserve`.

    :param change: adds a number of bytes to the account.
    """

    def __init__(self, change: collections.abc.Callable[[int], None]) -> None:
        self._change = change
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes held."""
        return self._size

    def resize(self, size: int) -> None:
        """Hold another number of bytes from now on.

        :param size: the number.
        """
        self._change(size - self._size)
        self._size = size

    def grow(self, more: int) -> None:
        """Hold more bytes.

        :param more: how many more.
        """
        self.resize(self._size + more)


class Arrival:
    """Body that has not arrived completely.

    :param held: what is held of it.
    """

    def __init__(self, held: Reservation) -> None:
        self.held = held
        # Ends the reading of the body.
        self.scope = trio.CancelScope()
        # Local monotonic time in seconds of its latest part.
        self.latest_at = trio.current_time()

    @property
    def is_ended(self) -> bool:
        """Whether it was ended for another request."""
        return self.scope.cancel_called

    def end(self) -> None:
        """End the body; its bytes are released at once."""
        self.scope.cancel()
        self.held.resize(0)


def ignore_change(kind: Kind, more: int) -> None:
    """Report nothing of a change of the account.

    :param kind: what the bytes are held for.
    :param more: how many more are held.
    """


class MemoryAccount:
    """Bytes that a process holds for others.

    :param budget: what it may hold; None for no bound.
    :param on_change: called with each change.
    """

    def __init__(
        self,
        budget: limits.MemoryBudget | None,
        on_change: collections.abc.Callable[[Kind, int], None] = ignore_change,
    ) -> None:
        self._budget = budget
        self._on_change = on_change
        self._held_bytes = 0
        self._arrivals: set[Arrival] = set()

    @property
    def is_bounded(self) -> bool:
        """Whether the node's memory is bounded."""
        return self._budget is not None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._held_bytes

    @contextlib.contextmanager
    def reserve(self, kind: Kind) -> collections.abc.Iterator[Reservation]:
        """Yield a reservation of no bytes; release it at the end.

        :param kind: what the bytes are held for.
        """

        def change(more: int) -> None:
            self._held_bytes += more
            self._on_change(kind, more)

        reservation = Reservation(change)
        try:
            yield reservation
        finally:
            reservation.resize(0)

    @contextlib.contextmanager
    def arriving(self, held: Reservation) -> collections.abc.Iterator[Arrival]:
        """Yield a body that may be ended for another request meanwhile.

        :param held: what is held of it.
        :raises MemoryRefused: if it was ended.
        """
        arrival = Arrival(held)
        self._arrivals.add(arrival)
        try:
            with arrival.scope:
                yield arrival
        finally:
            self._arrivals.discard(arrival)
        if arrival.is_ended:
            raise MemoryRefused(limits.MemoryCause.NODE)

    def check_declared(self, declared_bytes: int) -> None:
        """Check that a request may be accepted.

        :param declared_bytes: declared size of its body; 0 if not declared.
        :raises MemoryRefused: if not.
        """
        size = REQUEST_OVERHEAD_BYTES + declared_bytes
        self._check(size, size)

    def grow_request(self, held: Reservation, more: int) -> None:
        """Hold more of a request that has not arrived completely.

        :param held: what is held of it.
        :param more: bytes that have arrived.
        :raises MemoryRefused: if it may not hold them.
        """
        self._check(held.size + more, more)
        held.grow(more)

    def _check(self, request_bytes: int, more_bytes: int) -> None:
        while cause := limits.memory_obstacle(
            self._budget, self._held_bytes, request_bytes, more_bytes
        ):
            is_final = cause is not limits.MemoryCause.NODE
            if is_final or not self._end_stalled(request_bytes):
                raise MemoryRefused(cause)

    def _end_stalled(self, request_bytes: int) -> bool:
        """End a body for a request; return whether one was."""
        arrivals = [a for a in self._arrivals if not a.is_ended]
        index = limits.stalled_body(
            [(a.held.size, a.latest_at) for a in arrivals],
            request_bytes,
            trio.current_time(),
        )
        if index is None:
            return False
        arrivals[index].end()
        return True
