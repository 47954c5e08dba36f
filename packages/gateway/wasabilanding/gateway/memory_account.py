"""Account of what a node buffers for callers, endpoints and other nodes.

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
import logging
import random

from wasabilanding.gateway import answers
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding import limits

# Estimate of the tasks, buffers and connections of a request, without its
# body.
REQUEST_OVERHEAD_BYTES = 64 * 1024
# Callers are told to return after a random time in this range.
RETURN_AFTER_S = (0.5, 1.5)
# Refusals have ended when there was none for this time.
QUIET_S = 1.0
NEVER = float("-inf")
DETAILS = {
    limits.MemoryCause.REQUEST: (
        "the request is larger than this node may hold"
    ),
    limits.MemoryCause.NODE: "the memory of this node is in use",
}
_LOG = logging.getLogger(__name__)


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


class MemoryAccount:
    """Bytes that a node holds for others.

    :param memory_mb: memory of the process in MB; 0 for no bound.
    :param metrics: shows the bytes and counts refusals.
    :param rng: random number generator.
    """

    def __init__(
        self,
        memory_mb: float,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._budget = limits.memory_budget(memory_mb)
        self._metrics = metrics
        self._rng = rng
        self._held_bytes = 0
        self._refused = 0
        self._refused_at = NEVER

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
        by_kind = self._metrics.memory_held
        labels = (("kind", kind.value),)

        def change(more: int) -> None:
            self._held_bytes += more
            by_kind[labels] = by_kind.get(labels, 0) + more

        reservation = Reservation(change)
        try:
            yield reservation
        finally:
            reservation.resize(0)

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
        cause = limits.memory_obstacle(
            self._budget, self._held_bytes, request_bytes, more_bytes
        )
        if cause is not None:
            raise MemoryRefused(cause)

    def refuse(self, refusal: MemoryRefused, now: float) -> answers.Answer:
        """Count a refusal and return its answer.

        :param refusal: the refusal.
        :param now: local monotonic time in seconds.
        """
        if not self._refused:
            _LOG.warning(
                "refuses requests for lack of memory: %s",
                refusal,
                extra={"held_bytes": self._held_bytes},
            )
        self._refused += 1
        self._refused_at = now
        self._metrics.count_memory_refusal(refusal.cause.value)
        return answers.not_run(
            "node_memory",
            str(refusal),
            self._rng.uniform(*RETURN_AFTER_S),
        )

    def count_body_not_sent(self) -> None:
        """Count a request whose body is abandoned."""
        self._metrics.count_memory_refusal("body_not_sent")

    def observe(self, now: float) -> None:
        """Log the end of refusals; call it periodically.

        :param now: local monotonic time in seconds.
        """
        if self._refused and now - self._refused_at >= QUIET_S:
            _LOG.info(
                "refuses no requests for lack of memory any more",
                extra={
                    "refused": self._refused,
                    "held_bytes": self._held_bytes,
                },
            )
            self._refused = 0


def unbounded() -> MemoryAccount:
    """Return an account without a bound that nobody reads."""
    return MemoryAccount(0.0, metrics_module.Metrics(""), random.Random())
