"""Estimate of how long a request occupies a batch slot.

Explanation
===========

The slot time has a fixed part, until the first token, and a part proportional
to the estimated work in tokens. Both are fitted by least squares over
exponentially weighted observations [1]_.

References
==========

.. [1] P. Young, "Recursive Estimation and Time-Series Analysis", 2nd ed.,
       Springer, 2011.
"""

LEARNING_RATE = 0.02


class SlotTime:
    """Linear model of the slot time.

    :param learning_rate: weight of each new observation.
    """

    def __init__(self, learning_rate: float = LEARNING_RATE) -> None:
        self._learning_rate = learning_rate
        self._count = 0
        self._tokens = 0.0
        self._held_s = 0.0
        self._tokens_squared = 0.0
        self._tokens_held_s = 0.0

    @property
    def mean_per_token_s(self) -> float:
        """Mean slot time divided by mean tokens; 0 without observations."""
        return self._held_s / self._tokens if self._tokens else 0.0

    def observe(self, tokens: float, held_s: float) -> None:
        """Add the observation of a completed request.

        :param tokens: its estimated work in tokens.
        :param held_s: time for which it occupied its slot, in seconds.
        """
        self._count += 1
        rate = max(self._learning_rate, 1 / self._count)
        self._tokens += rate * (tokens - self._tokens)
        self._held_s += rate * (held_s - self._held_s)
        squared = tokens * tokens
        self._tokens_squared += rate * (squared - self._tokens_squared)
        product = tokens * held_s
        self._tokens_held_s += rate * (product - self._tokens_held_s)

    def expected_s(self, tokens: float) -> float:
        """Return the expected slot time of a request.

        :param tokens: its estimated work in tokens.
        :returns: time in seconds; 0 without observations.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> times = limits.SlotTime()
        >>> for tokens in (10, 20, 30):
        ...     times.observe(tokens, 0.1 + 0.01 * tokens)
        >>> round(times.expected_s(100), 3)
        1.1
        """
        variance = self._tokens_squared - self._tokens**2
        if variance <= 0:
            return self.mean_per_token_s * tokens
        covariance = self._tokens_held_s - self._tokens * self._held_s
        slope_s = max(0.0, covariance / variance)
        fixed_s = max(0.0, self._held_s - slope_s * self._tokens)
        return fixed_s + slope_s * tokens
