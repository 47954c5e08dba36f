"""Back-off of one node from the platform's service.

Explanation
===========

All calls of a node share one back-off, so that its load on a service that
is down or overloaded does not depend on how many of its loops want to call.
After the first failure one call is let through at once, so that a write whose
answer was lost is read back without a wait. After each further failure in a
row the time to the next call is drawn uniformly from an interval that doubles
up to a bound [1]_; the random share keeps nodes that failed together from
returning together. Until then calls end at once, without being sent. After
the time one call is let through as a probe, and the others wait for what it
finds.

References
==========

.. [1] M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
       2015.
"""

import random

FIRST_S = 0.25
MAX_S = 4.0
MAX_DOUBLINGS = 10
# A probe that never ends, as when its task was cancelled, does not block the
# next one for longer.
PROBE_S = 2.5


class Backoff:
    """Failures in a row and the time of the next call.

    :param rng: source of randomness.
    :param max_s: bound on the time to the next call in seconds.
    """

    def __init__(self, rng: random.Random, max_s: float = MAX_S) -> None:
        self._rng = rng
        self._max_s = max_s
        self._failures = 0
        self._not_before = float("-inf")
        self._is_probing = False

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    def try_begin(self, now: float) -> bool:
        """Tell whether a call may be sent now, and count it as the probe.

        :param now: monotonic time in seconds.

        Examples
        ========

        >>> import random
        >>> from wasabilanding.metadata import backoff
        >>> state = backoff.Backoff(random.Random(1))
        >>> state.try_begin(0.0)
        True
        >>> state.fail(0.0)
        >>> state.try_begin(0.0)
        True
        >>> state.fail(0.0)
        >>> state.try_begin(0.0), state.try_begin(backoff.FIRST_S)
        (False, True)
        """
        if now < self._not_before:
            return False
        if self._failures:
            self._not_before = now + PROBE_S
            self._is_probing = True
        return True

    def fail(self, now: float) -> None:
        """Note that the service did not take a call.

        Calls that were sent together fail together and count once.

        :param now: monotonic time in seconds.
        """
        if self._failures and not self._is_probing:
            return
        self._is_probing = False
        self._failures += 1
        self._not_before = now + self._wait_s()

    def _wait_s(self) -> float:
        if self._failures == 1:
            return 0.0
        doublings = min(self._failures - 2, MAX_DOUBLINGS)
        bound_s = min(self._max_s, FIRST_S * 2**doublings)
        return self._rng.uniform(bound_s / 2, bound_s)

    def succeed(self) -> None:
        """Note that the service answered."""
        self._is_probing = False
        self._failures = 0
        self._not_before = float("-inf")
