"""Age of a view that another node keeps up to date.

Explanation
===========

A datagram may wait in a queue, or its receiver may be suspended, so the time
at which it is received says nothing about its age. The receiver therefore
sends a number with each of its own datagrams and remembers when. An answer
that repeats the number was sent later than that, so the state in it is at
least as recent as that time, less the age that the sender states. All times
are of the receiver's clock, as with the request times by which a lease holder
bounds its lease [1]_.

References
==========

.. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
       for distributed file cache consistency", SOSP 1989.
"""

MAX_PENDING = 64


class Confirmations:
    """Numbers that this node has sent, with the times of sending.

    :param last_number: number before the first one. It must be drawn anew
        when the process starts: a late answer may repeat a number that the
        process sent before its restart.
    """

    def __init__(self, last_number: int) -> None:
        self._last_number = last_number
        self._sent_at: dict[int, float] = {}

    def issue(self, now: float) -> int:
        """Return the number for a datagram that is sent now.

        :param now: local time in seconds, including time while suspended.

        Examples
        ========

        >>> from wasabilanding import changefeed
        >>> sent = changefeed.Confirmations(last_number=7000)
        >>> number = sent.issue(10.0)
        >>> sent.current_as_of(number, age_s=0.5)
        9.5
        >>> sent.current_as_of(number + 1, age_s=0.5) is None
        True
        """
        self._last_number += 1
        self._sent_at[self._last_number] = now
        if len(self._sent_at) > MAX_PENDING:
            del self._sent_at[min(self._sent_at)]
        return self._last_number

    def current_as_of(self, number: int, age_s: float) -> float | None:
        """Return a time at which the answered state was still current.

        :param number: the number that the answer repeats.
        :param age_s: age in seconds of the sender's state.
        :returns: local time in seconds; None if the number is unknown.
        """
        sent_at = self._sent_at.get(number)
        return None if sent_at is None else sent_at - age_s
