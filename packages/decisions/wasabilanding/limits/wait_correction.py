"""Correction of predicted waits by those that were observed.

Explanation
===========

A wait is predicted from the work that is queued now. Work that comes later
and goes before, from other customers or of higher priority, makes the real
wait longer. The ratio of both is learned for each customer and priority,
also from requests that gave up waiting.
"""

import collections.abc

LEARNING_RATE = 0.1
MIN_PREDICTED_S = 0.02
MIN_RATIO = 0.5
MAX_RATIO = 50.0
# Predictions err to both sides; a request that is let in should make it.
SAFETY_FACTOR = 1.2


class WaitCorrection:
    """Ratio of observed to predicted waits by customer and priority."""

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._ratios)

    def corrected_s(
        self, customer: str, priority: int, predicted_s: float
    ) -> float:
        """Return a corrected wait, erring to the long side.

        :param customer: the customer.
        :param priority: priority of the request.
        :param predicted_s: the prediction in seconds.
        """
        ratio = self._ratios.get((customer, priority), 1.0)
        return predicted_s * ratio * SAFETY_FACTOR

    def observe(
        self,
        customer: str,
        priority: int,
        predicted_s: float,
        waited_s: float,
    ) -> None:
        """Learn from a request that was served or gave up.

        :param customer: the customer.
        :param priority: priority of the request.
        :param predicted_s: the uncorrected prediction in seconds.
        :param waited_s: how long it waited in seconds.
        """
        if predicted_s < MIN_PREDICTED_S:
            return
        observed = min(MAX_RATIO, max(MIN_RATIO, waited_s / predicted_s))
        key = (customer, priority)
        current = self._ratios.get(key, observed)
        self._ratios[key] = current + LEARNING_RATE * (observed - current)

    def sweep(self, customers: collections.abc.Container[str]) -> None:
        """Forget customers that are gone.

        :param customers: customers that run or wait.
        """
        self._ratios = {
            key: ratio
            for key, ratio in self._ratios.items()
            if key[0] in customers
        }
