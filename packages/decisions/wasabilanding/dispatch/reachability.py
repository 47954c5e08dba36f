"""Whether a node is cut off from all endpoints, as its own requests show.

Explanation
===========

Load pattern: the links of a node to all endpoints fail at once, while callers
and other nodes still reach it. Its connections hang, are reset, or live on
while new ones are refused. One endpoint that falls silent for a second, or
ends, looks the same to its requests; so failures are only a reason to connect
to several endpoints anew, and the node is cut off if none accepts.
"""

import collections.abc

# Endpoints that fail, without a reply of any other, before a check.
SUSPECT_ENDPOINTS = 2
# Time for which requests wait, without a reply of any endpoint, before a
# check.
SUSPECT_SILENCE_S = 0.6
# Interval between checks while requests fail, and while the node is cut off.
CHECK_INTERVAL_S = 0.5
NEVER = float("-inf")


class ReachabilityMonitor:
    """What a node's own requests and checks tell of its links."""

    def __init__(self) -> None:
        self._failed: set[str] = set()
        # Requests that wait for endpoints, and since when there are any.
        self._waiting = 0
        self._waiting_since = NEVER
        self._succeeded_at = NEVER
        self._checked_at = NEVER
        self._is_cut_off = False
        # Called with each failure.
        self.on_failure: collections.abc.Callable[[], None] = lambda: None

    @property
    def is_cut_off(self) -> bool:
        """Whether the node reaches no endpoint."""
        return self._is_cut_off

    def has_recent_success(self, now: float) -> bool:
        """Return whether an endpoint has replied lately.

        :param now: local monotonic time in seconds.
        """
        return now - self._succeeded_at < SUSPECT_SILENCE_S

    def begin(self, now: float) -> None:
        """Count a request that is sent to an endpoint.

        :param now: local monotonic time in seconds.
        """
        if not self._waiting:
            self._waiting_since = now
        self._waiting += 1

    def end(self) -> None:
        """Remove a request from the count."""
        self._waiting -= 1

    def record_success(self, now: float) -> None:
        """Record that something was received of an endpoint.

        :param now: local monotonic time in seconds.
        """
        self._succeeded_at = now
        if self._failed:
            self._failed.clear()

    def record_failure(self, endpoint_id: str) -> None:
        """Record that an endpoint did not reply to a request.

        :param endpoint_id: its identity.
        """
        self._failed.add(endpoint_id)
        self.on_failure()

    def is_check_due(self, now: float) -> bool:
        """Return whether to connect to some endpoints.

        :param now: local monotonic time in seconds.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return False
        if self._is_cut_off or len(self._failed) >= SUSPECT_ENDPOINTS:
            return True
        silent_since = max(self._waiting_since, self._succeeded_at)
        return self._waiting > 0 and now - silent_since > SUSPECT_SILENCE_S

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits for an endpoint."""
        return self._waiting > 0

    def quiet_s(self, now: float) -> float:
        """Return for how long no check can become due without a failure.

        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> monitor = dispatch.ReachabilityMonitor()
        >>> monitor.begin(10.0)
        >>> round(monitor.quiet_s(10.25), 3)
        0.35
        >>> monitor.record_failure("e1")
        >>> monitor.quiet_s(10.25)
        0.0
        """
        if self._is_cut_off or self._failed:
            return 0.0
        silent_since = now
        if self._waiting:
            silent_since = max(self._waiting_since, self._succeeded_at)
        return max(silent_since + SUSPECT_SILENCE_S - now, 0.0)

    def is_checked_since(self, at: float) -> bool:
        """Return whether a check has begun after some time.

        :param at: local monotonic time in seconds.
        """
        return self._checked_at > at

    def begin_check(self, now: float) -> None:
        """Record that a check begins.

        :param now: local monotonic time in seconds.
        """
        self._checked_at = now

    def record_check(self, accepted: int, tried: int) -> bool:
        """Record how many endpoints have accepted a connection.

        :param accepted: their number.
        :param tried: number of endpoints that were tried.
        :returns: whether the node was cut off, or is no longer.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> monitor = dispatch.ReachabilityMonitor()
        >>> monitor.record_check(accepted=0, tried=3), monitor.is_cut_off
        (True, True)
        >>> monitor.record_check(accepted=1, tried=3), monitor.is_cut_off
        (True, False)
        """
        was_cut_off = self._is_cut_off
        if tried:
            self._is_cut_off = not accepted
        if accepted:
            self._failed.clear()
        return was_cut_off != self._is_cut_off
