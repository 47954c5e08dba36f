"""Back-off of a node's calls to the platform's service.

Explanation
===========

All calls of a node share one back-off, so that its load on a service that
is down or overloaded does not depend on the number of its calling tasks.
After the first failure one call is allowed immediately, so that a write whose
response was lost can be read back without delay. After each further
consecutive failure the wait is drawn uniformly from an interval that doubles
up to a limit [1]_; the jitter keeps nodes that failed together from retrying
together. During the wait, calls fail immediately without being sent. After
the wait one call is sent as a probe, and calls are held back until it ends.

References
==========

.. [1] M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
       2015.
"""

import random

FIRST_WAIT_S = 0.25
MAX_WAIT_S = 4.0
MAX_DOUBLINGS = 10
# Limits how long a probe that never reports a result, for example because its
# task was cancelled, blocks the next one.
PROBE_TIMEOUT_S = 2.5


class Backoff:
    """Exponential back-off with jitter.

    :param rng: random number generator.
    :param max_s: maximum wait in seconds.
    """

    def __init__(self, rng: random.Random, max_s: float = MAX_WAIT_S) -> None:
        self._rng = rng
        self._max_s = max_s
        self._failures = 0
        self._not_before = float("-inf")
        self._is_probing = False

    @property
    def failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    def try_begin(self, now: float) -> bool:
        """Return whether a call may be sent now, after failures as a probe.

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
        >>> state.try_begin(0.0), state.try_begin(backoff.FIRST_WAIT_S)
        (False, True)
        """
        if now < self._not_before:
            return False
        if self._failures:
            self._not_before = now + PROBE_TIMEOUT_S
            self._is_probing = True
        return True

    def fail(self, now: float) -> None:
        """Record a failed call.

        Concurrent calls that fail together count once.

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
        bound_s = min(self._max_s, FIRST_WAIT_S * 2**doublings)
        return self._rng.uniform(bound_s / 2, bound_s)

    def succeed(self) -> None:
        """Record an answered call and reset the back-off."""
        self._is_probing = False
        self._failures = 0
        self._not_before = float("-inf")
