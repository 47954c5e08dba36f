"""Silence of an endpoint during one attempt of a request.

Explanation
===========

Load pattern: an endpoint, its link or the node itself stands still for some
tenths of a second to some seconds while streams are open, and goes on.
Silence is only a suspicion: it makes the node try another endpoint beside the
silent one, as a hedged request [1]_, and never ends the attempt.

Time during which the node could not have received an event is no silence of
the endpoint: while the node waits for a slow caller, and while the node itself
did not run.

References
==========

.. [1] J. Dean and L. A. Barroso, "The tail at scale", Communications of the
       ACM, 2013.
"""

# An attempt is silent after the first time without an event if the endpoint
# shows no other progress either, and in any case after the second.
SILENCE_TIMEOUT_S = 0.6
MAX_SILENCE_TIMEOUT_S = 1.6
# A timer that expires later than this shows that the node did not run.
MAX_TIMER_DELAY_S = 0.1
# Time in which a node reads what arrived while it did not run.
CATCH_UP_S = 0.3
# Result while the node waits for the caller.
WAITS_FOR_CALLER = float("inf")


class SilenceMonitor:
    """Decides from when on the endpoint of one attempt counts as silent.

    :param now: local monotonic time in seconds at which the attempt starts.
    """

    def __init__(self, now: float) -> None:
        self._active_at = now
        self._not_before = now
        self._is_extended = False
        self._is_suspended = False

    @property
    def active_at(self) -> float:
        """Local monotonic time in seconds of the last sign of the attempt."""
        return self._active_at

    def record_activity(self, now: float) -> None:
        """Record that something was received.

        :param now: local monotonic time in seconds.
        """
        self._active_at = now
        self._is_extended = False

    def suspend(self) -> None:
        """Stop the time while the node waits for the caller."""
        self._is_suspended = True

    def resume(self, now: float) -> None:
        """Wait for the endpoint again.

        :param now: local monotonic time in seconds.
        """
        self._is_suspended = False
        self.record_activity(now)

    def record_timer(self, due_at: float, now: float) -> None:
        """Record when a timer of the node has expired.

        A late one delays the silence once: a node whose timers are always
        late must still try another endpoint.

        :param due_at: local monotonic time in seconds for which it was set.
        :param now: local monotonic time in seconds.
        """
        if now - due_at > MAX_TIMER_DELAY_S and not self._is_extended:
            self._is_extended = True
            self._not_before = now + CATCH_UP_S

    def silent_at(self, progress_at: float) -> float:
        """Return the time from which on the endpoint counts as silent.

        :param progress_at: local monotonic time in seconds of the endpoint's
            last progress on any request.
        :returns: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import dispatch
        >>> monitor = dispatch.SilenceMonitor(10.0)
        >>> monitor.silent_at(progress_at=0.0)
        10.6
        >>> monitor.silent_at(progress_at=10.5)
        11.1
        >>> monitor.silent_at(progress_at=13.0)
        11.6
        """
        if self._is_suspended:
            return WAITS_FOR_CALLER
        latest = max(self._active_at, progress_at)
        timeout_at = min(
            latest + SILENCE_TIMEOUT_S,
            self._active_at + MAX_SILENCE_TIMEOUT_S,
        )
        return max(timeout_at, self._not_before)
