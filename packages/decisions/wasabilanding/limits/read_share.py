"""Shares of a node's time that reading the replies of endpoints may take.

Explanation
===========

Load pattern: an endpoint sends replies in very many small parts, perhaps
without end. Each part costs the node about the same time, however small it
is, so that one such endpoint could occupy the node's event loop.

Each endpoint has a share of parts a second, kept by the generic cell rate
algorithm (ITU-T I.371): every part moves the endpoint's due time by the
interval between two parts, and a reader waits until the due time once it lies
ahead. A burst within :data:`BURST_S` is not delayed. Nothing is cut: while a
reader waits, the kernel's buffers fill and the endpoint cannot send.

Endpoints that exceed their shares at the same time divide
:data:`EXCESS_PARTS_PER_S` among them, so that many of them do not occupy the
node either. Other endpoints keep their shares.
"""

# Far above the rate at which an endpoint sends events to one node.
ENDPOINT_PARTS_PER_S = 2000.0
EXCESS_PARTS_PER_S = 4000.0
BURST_S = 1.0
# An endpoint has kept its share again if it has been below it for so long.
CALM_S = 0.5


class ReadShare:
    """Share of one endpoint.

    :param shares: the shares of all endpoints.
    """

    def __init__(self, shares: "ReadShares") -> None:
        self._shares = shares
        # Local monotonic time in seconds at which all parts are paid for.
        self._due_at = float("-inf")

    @property
    def due_at(self) -> float:
        """Local monotonic time in seconds until which it is spent."""
        return self._due_at

    def spend(self, parts: int, now: float) -> float:
        """Count parts; return the seconds for which to read nothing more.

        :param parts: number of parts that have been read.
        :param now: local monotonic time in seconds.

        Examples
        ========

        >>> from wasabilanding import limits
        >>> share = limits.ReadShares().endpoint()
        >>> share.spend(2000, now=10.0)
        0.0
        >>> share.spend(1000, now=10.0)
        0.5
        """
        rate = self._shares.rate_of(self, now)
        begun_at = max(self._due_at, now - BURST_S)
        self._due_at = begun_at + parts / rate
        if self._due_at <= now:
            return 0.0
        self._shares.record_excess(self)
        return self._due_at - now


class ReadShares:
    """Shares of all endpoints of a node."""

    def __init__(self) -> None:
        self._exceeded: set[ReadShare] = set()

    def endpoint(self) -> ReadShare:
        """Return the share of another endpoint."""
        return ReadShare(self)

    def record_excess(self, share: ReadShare) -> None:
        """Record that an endpoint has exceeded its share.

        :param share: the endpoint's share.
        """
        self._exceeded.add(share)

    def rate_of(self, share: ReadShare, now: float) -> float:
        """Return the parts a second that an endpoint may send now.

        :param share: the endpoint's share.
        :param now: local monotonic time in seconds.
        """
        if share not in self._exceeded:
            return ENDPOINT_PARTS_PER_S
        calm = {s for s in self._exceeded if s.due_at <= now - CALM_S}
        self._exceeded -= calm
        if share in calm:
            return ENDPOINT_PARTS_PER_S
        divided = EXCESS_PARTS_PER_S / len(self._exceeded)
        return min(ENDPOINT_PARTS_PER_S, divided)
