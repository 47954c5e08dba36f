"""Limit on the rate of log lines."""

import collections.abc
import time

from wasabilanding.logs import kinds


class RateLimit:
    """Token bucket.

    :param rate: lines per second and in a burst.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        rate: kinds.Rate,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate.burst
        self._filled_at = clock()

    def allow(self) -> bool:
        """Return whether a line may be written, and count it if so.

        Examples
        ========

        >>> from wasabilanding import logs
        >>> limit = logs.RateLimit(logs.Rate(1, 2), clock=lambda: 0.0)
        >>> [limit.allow() for _ in range(3)]
        [True, True, False]
        """
        now = self._clock()
        added = (now - self._filled_at) * self._rate.per_s
        self._tokens = min(self._rate.burst, self._tokens + added)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
