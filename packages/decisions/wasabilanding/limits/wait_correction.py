"""Correction of predicted waits by observed waits.

Explanation
===========

A wait is predicted from the work that is currently queued. Later requests
that are served earlier, from other customers or of higher priority, make the
actual wait longer. The ratio of actual to predicted wait is averaged for each
customer and priority, including requests that were refused after waiting.
"""

import collections.abc

LEARNING_RATE = 0.1
MIN_PREDICTED_S = 0.02
MIN_RATIO = 0.5
MAX_RATIO = 50.0
# Margin for prediction errors, so that an admitted request meets its deadline.
SAFETY_FACTOR = 1.2


class WaitCorrection:
    """Average ratio of observed to predicted waits.

    One ratio is kept for each customer and priority.
    """

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._ratios)

    def corrected_s(
        self, customer: str, priority: int, predicted_s: float
    ) -> float:
        """Return a corrected wait, including the safety margin.

        :param customer: the customer.
        :param priority: priority of the request.
        :param predicted_s: the predicted wait in seconds.
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
        """Add the observation of a request whose wait has ended.

        :param customer: the customer.
        :param priority: priority of the request.
        :param predicted_s: the uncorrected predicted wait in seconds.
        :param waited_s: the actual wait in seconds.
        """
        if predicted_s < MIN_PREDICTED_S:
            return
        observed = min(MAX_RATIO, max(MIN_RATIO, waited_s / predicted_s))
        key = (customer, priority)
        current = self._ratios.get(key, observed)
        self._ratios[key] = current + LEARNING_RATE * (observed - current)

    def relax(self, customer: str, priority: int, share: float) -> None:
        """Move a ratio towards 1.

        A ratio above 1 that causes refusals is not observed any more.

        :param customer: the customer.
        :param priority: priority of the requests.
        :param share: part of the difference that is removed.
        """
        ratio = self._ratios.get((customer, priority), 1.0)
        if ratio > 1.0:
            self._ratios[customer, priority] = ratio + share * (1.0 - ratio)

    def sweep(self, customers: collections.abc.Container[str]) -> None:
        """Discard the ratios of customers without requests.

        :param customers: customers with running or waiting requests.
        """
        self._ratios = {
            key: ratio
            for key, ratio in self._ratios.items()
            if key[0] in customers
        }
