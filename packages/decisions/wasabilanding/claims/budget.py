"""Rate limit of claims, which leaves capacity for other store writes."""

CLAIMS_PER_S = 60.0
BURST_S = 2.0


class ClaimBudget:
    """Token bucket for one node's share of the rate of claims.

    Each claim needs up to three writes, and the store accepts several hundred
    writes per second, of which some are needed for the control leases.

    :param claims_per_s: maximum rate of claims of all nodes together.

    Examples
    ========

    >>> from wasabilanding import claims
    >>> budget = claims.ClaimBudget(claims_per_s=1.0)
    >>> [budget.spend(now=0.0, nodes=2) for _ in range(2)]
    [True, False]
    >>> budget.spend(now=2.0, nodes=2)
    True
    """

    def __init__(self, claims_per_s: float = CLAIMS_PER_S) -> None:
        self._claims_per_s = claims_per_s
        self._tokens: float | None = None
        self._updated_at = 0.0

    def spend(self, now: float, nodes: int) -> bool:
        """Take a token for one claim.

        :param now: local monotonic time in seconds.
        :param nodes: number of live nodes that share the rate.
        :returns: whether a token was available.
        """
        rate = self._claims_per_s / max(1, nodes)
        capacity = max(1.0, rate * BURST_S)
        if self._tokens is None:
            self._tokens = capacity
        else:
            earned = (now - self._updated_at) * rate
            self._tokens = min(capacity, self._tokens + earned)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
