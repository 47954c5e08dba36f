"""The lease by which one node controls a failure domain."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ControlLease:
    """A lease as its holder sees it.

    :param lease_id: identity at the platform's service.
    :param fence: fencing number; revision at which the lease was taken.
    :param ttl_s: time to live in seconds.
    :param renewed_at: local monotonic time at which the last successful
        renewal was sent.
    """

    lease_id: str
    fence: int
    ttl_s: float
    renewed_at: float

    def is_held(self, now: float) -> bool:
        """Tell whether the holder may still act.

        The time counts from the sending of the renewal, so the holder stops
        no later than the platform's service lets go.

        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import placement
        >>> lease = placement.ControlLease("l", 7, 3.0, renewed_at=10.0)
        >>> lease.is_held(12.9), lease.is_held(13.0)
        (True, False)
        """
        return now - self.renewed_at < self.ttl_s
