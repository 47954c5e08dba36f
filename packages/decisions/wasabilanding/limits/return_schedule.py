"""Times at which refused callers are told to return."""

MIN_RETRY_AFTER_S = 0.1
# Callers ignore a time to return that is a larger part of their time left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


class ReturnSchedule:
    """Schedule of the returns of refused callers.

    Each refusal takes the next place, and places follow each other at the
    rate at which the pool completes requests. So callers that were refused
    first return first, and no more of them at once than can be served.
    """

    def __init__(self) -> None:
        self._last = float("-inf")

    def next_s(
        self, now: float, backlog_s: float, per_s: float, time_left_s: float
    ) -> float:
        """Return the time in seconds after which a caller should return.

        :param now: local monotonic time in seconds.
        :param backlog_s: predicted seconds until a request as this one can
            be served.
        :param per_s: returns per second; 0 if unknown.
        :param time_left_s: seconds until the caller's deadline.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> schedule = limits.ReturnSchedule()
        >>> [schedule.next_s(0.0, 1.0, 4.0, 6.0) for _ in range(6)]
        [1.0, 1.25, 1.5, 1.75, 2.0, 2.0]
        """
        earliest = now + max(backlog_s, MIN_RETRY_AFTER_S)
        place = max(earliest, self._last + (1 / per_s if per_s > 0 else 0.0))
        latest_s = max(time_left_s * MAX_SHARE_OF_TIME_LEFT, MIN_RETRY_AFTER_S)
        self._last = min(place, now + latest_s)
        return self._last - now
