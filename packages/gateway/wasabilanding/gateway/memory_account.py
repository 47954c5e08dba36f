"""Account of what a node buffers for callers, endpoints and other nodes.

It adds to :class:`listening.MemoryAccount` what a gateway shows and answers.
"""

import logging
import random

from wasabilanding.gateway import answers
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding import limits
from wasabilanding import listening

# Callers are told to return after a random time in this range.
RETURN_AFTER_S = (0.5, 1.5)
# Refusals have ended when there was none for this time.
QUIET_S = 1.0
NEVER = float("-inf")
Kind = listening.MemoryKind
_LOG = logging.getLogger(__name__)


class MemoryAccount(listening.MemoryAccount):
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
        super().__init__(limits.memory_budget(memory_mb), self._show)
        self._metrics = metrics
        self._rng = rng
        self._refused = 0
        self._refused_at = NEVER

    def _show(self, kind: Kind, more: int) -> None:
        held = self._metrics.memory_held
        labels = (("kind", kind.value),)
        held[labels] = held.get(labels, 0) + more

    def refuse(
        self, refusal: listening.MemoryRefused, now: float
    ) -> answers.Answer:
        """Count a refusal and return its answer.

        :param refusal: the refusal.
        :param now: local monotonic time in seconds.
        """
        if not self._refused:
            _LOG.warning(
                "refuses requests for lack of memory: %s",
                refusal,
                extra={"held_bytes": self.held_bytes},
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
                    "held_bytes": self.held_bytes,
                },
            )
            self._refused = 0


def unbounded() -> MemoryAccount:
    """Return an account without a bound that nobody reads."""
    return MemoryAccount(0.0, metrics_module.Metrics(""), random.Random())
