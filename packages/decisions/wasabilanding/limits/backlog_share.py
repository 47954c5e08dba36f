"""Part of the intended backlog that endpoints accept.

Explanation
===========

Some endpoints have a queue, others refuse what exceeds their slots, and
nothing tells which. So the backlog is reduced by a fixed step with each send
that is refused and grows with each that is accepted, as the window of TCP
does [1]_. In balance, the share of refused sends is the ratio of both steps.
It may become negative: then slots are left free, as endpoints without a queue
refuse what other nodes have just sent there.

References
==========

.. [1] D. Chiu and R. Jain, "Analysis of the increase and decrease algorithms
       for congestion avoidance in computer networks", Computer Networks and
       ISDN Systems 17(1), 1989.
"""

MIN_SHARE = -1.0
MAX_SHARE = 1.0
# In simulated time, endpoints without a queue refuse about 0.14 of the sends
# with this step, and 0.88 to 0.92 of their capacity is used; with 0.07, they
# refuse 0.19, and 0.92 to 0.95 is used. The retry budget allows 0.18 for each
# request, and other retries need it too.
REFUSED_STEP = 0.1
ACCEPTED_STEP = 0.01


class BacklogShare:
    """Part of the intended backlog that the endpoints of a pool accept."""

    def __init__(self) -> None:
        self.share = MAX_SHARE

    def record(self, is_refused: bool) -> None:
        """Record a send to an endpoint.

        :param is_refused: whether the endpoint refused it.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> backlog = limits.BacklogShare()
        >>> for _ in range(10):
        ...     backlog.record(is_refused=True)
        >>> round(backlog.share, 2)
        0.0
        >>> backlog.record(is_refused=False)
        >>> round(backlog.share, 2)
        0.01
        """
        step = -REFUSED_STEP if is_refused else ACCEPTED_STEP
        self.share = min(MAX_SHARE, max(MIN_SHARE, self.share + step))
