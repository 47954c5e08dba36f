"""The limit on idle connections while it changes."""

import dataclasses

# A caller may go by an earlier configuration for this time.
SETTLING_S = 20.0


@dataclasses.dataclass(frozen=True)
class _Earlier:
    """A limit that has been replaced by a lower one.

    :param limit_s: the limit in seconds.
    :param until: local monotonic time in seconds until which it applies.
    """

    limit_s: float
    until: float


class IdleLimit:
    """Seconds for which a connection is kept while it is idle.

    A higher limit applies at once. A lower one applies once all callers know
    of it: until then some of them use connections for as long as before.

    :param limit_s: the limit in seconds.

    Examples
    ========

    >>> from wasabilanding import listening
    >>> limit = listening.IdleLimit(15.0)
    >>> limit.set(5.0, now=100.0)
    >>> limit.current(now=101.0), limit.current(now=121.0)
    (15.0, 5.0)
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._earlier: list[_Earlier] = []

    def set(self, limit_s: float, now: float) -> None:
        """Change the limit.

        :param limit_s: the limit in seconds.
        :param now: local monotonic time in seconds.
        """
        if limit_s < self._limit_s:
            self._earlier.append(_Earlier(self._limit_s, now + SETTLING_S))
        self._limit_s = limit_s

    def current(self, now: float) -> float:
        """Return the limit in seconds that applies.

        :param now: local monotonic time in seconds.
        """
        if self._earlier:
            self._earlier = [e for e in self._earlier if e.until > now]
        return max([self._limit_s, *(e.limit_s for e in self._earlier)])
