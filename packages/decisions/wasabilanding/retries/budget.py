"""Retry budget of one node.

Explanation
===========

All nodes together may send a service, in any span of 10 s, a share of its
requests as retries, and some more, the slack. Requests are those of that span
or of the one before, whichever has more. Each node keeps a token bucket for
each service. A request adds 0.9 of the ratio, and the bucket holds at most the
node's share of the slack. In a span, a node thus spends at most what its
bucket can hold at the beginning, and what the span's requests add: over all
nodes, the slack and 0.9 of the ratio.

Retries take whole tokens, so a bucket that holds less than one would allow
none at any load. Such a bucket holds more, by 0.1 of the ratio for each
request of the last 10 s, until it can hold a token. At the beginning of a span
this is, over all nodes, at most 0.1 of the ratio for each request of the span
before, so that all nodes stay within the slack and the ratio. Load on few of
the nodes changes nothing in this sum.
"""

import collections
import collections.abc
import dataclasses

# Assumed number of nodes while the actual number is unknown.
DEFAULT_NODES = 12
# Accounts for nodes that have joined but are not yet known to the others.
JOINING_MARGIN = 1.2
# Shares of the allowed ratio that a request adds to the tokens, and to the
# capacity where that is less than a token.
DEPOSIT_SHARE = 0.9
CAPACITY_SHARE = 0.1
# Span in which retries are compared with the allowance.
WINDOW_S = 10
WHOLE_TOKEN = 1.0


@dataclasses.dataclass(frozen=True)
class BucketParameters:
    """Parameters of a token bucket.

    :param deposit: tokens that each request adds.
    :param initial: initial tokens of a service.
    :param capacity: maximum tokens of a service.
    :param capacity_per_request: by how much each request of the last
        :data:`WINDOW_S` raises a capacity that is less than a token.
    """

    deposit: float = 0.1
    initial: float = 10.0
    capacity: float = 50.0
    capacity_per_request: float = 0.0


def node_budget(
    ratio: float, slack: float, nodes: int = 0, is_first_start: bool = True
) -> BucketParameters:
    """Return one node's share of a retry allowance of all nodes.

    A node earns tokens only from its own requests, and its capacity is its
    share of the slack. All nodes together therefore stay within the allowance
    without coordination. A node that starts later begins without tokens, as it
    may have spent its share just before it ended.

    :param ratio: retries allowed per request.
    :param slack: additional retries allowed over all nodes.
    :param nodes: number of nodes known to share the allowance; 0 if unknown.
    :param is_first_start: whether the whole system starts for the first time.

    Examples
    ========

    >>> from wasabilanding import retries
    >>> retries.node_budget(0.2, 120)  # doctest: +NORMALIZE_WHITESPACE
    BucketParameters(deposit=0.18, initial=10.0, capacity=10.0,
                     capacity_per_request=0.02)
    >>> retries.node_budget(
    ...     0.2, 120, nodes=100
    ... )  # doctest: +NORMALIZE_WHITESPACE
    BucketParameters(deposit=0.18, initial=1.0, capacity=1.0,
                     capacity_per_request=0.02)
    >>> retries.node_budget(
    ...     0.2, 120, nodes=100, is_first_start=False
    ... )  # doctest: +NORMALIZE_WHITESPACE
    BucketParameters(deposit=0.18, initial=0.0, capacity=1.0,
                     capacity_per_request=0.02)
    """
    share = slack / max(DEFAULT_NODES, nodes * JOINING_MARGIN)
    initial = share if is_first_start else 0.0
    return BucketParameters(
        round(ratio * DEPOSIT_SHARE, 6),
        initial,
        share,
        round(ratio * CAPACITY_SHARE, 6),
    )


class _RecentRequests:
    """Number of requests of the last :data:`WINDOW_S`, in slots of 1 s."""

    def __init__(self) -> None:
        self._slots: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count a request.

        :param now: local monotonic time in seconds.
        """
        second = int(now)
        if not self._slots or self._slots[-1][0] != second:
            self._slots.append([second, 0])
        self._slots[-1][1] += 1
        self._total += 1

    def count(self, now: float) -> int:
        """Return the number of requests.

        :param now: local monotonic time in seconds.
        """
        oldest = int(now) - WINDOW_S + 1
        while self._slots and self._slots[0][0] < oldest:
            self._total -= self._slots.popleft()[1]
        return self._total


class RetryBudget:
    """Token bucket for each service, filled by its requests.

    A retry takes one token and each request adds a fraction of a token, so
    that retries stay near a fixed fraction of the load when many endpoints
    fail. A service may start with a few tokens so that a service with few
    requests can retry too.

    :param parameters: parameters of the buckets.

    Examples
    ========

    >>> from wasabilanding import retries
    >>> budget = retries.RetryBudget()
    >>> [budget.spend("escriba", 0.0) for _ in range(11)].count(True)
    10
    """

    def __init__(
        self, parameters: BucketParameters = BucketParameters()
    ) -> None:
        self._parameters = parameters
        self._tokens: dict[str, float] = collections.defaultdict(
            lambda: self._parameters.initial
        )
        self._recent: dict[str, _RecentRequests] = collections.defaultdict(
            _RecentRequests
        )

    @property
    def parameters(self) -> BucketParameters:
        """Parameters of the buckets."""
        return self._parameters

    @parameters.setter
    def parameters(self, parameters: BucketParameters) -> None:
        self._parameters = parameters

    @property
    def tokens(self) -> collections.abc.Mapping[str, float]:
        """Tokens that the node has, by service."""
        return self._tokens

    def deposit(self, service: str, now: float) -> None:
        """Add the tokens of a request.

        :param service: name of the service.
        :param now: local monotonic time in seconds.
        """
        if self._parameters.capacity < WHOLE_TOKEN:
            self._recent[service].add(now)
        self._tokens[service] += self._parameters.deposit
        self._limit(service, now)

    def withdraw(self, service: str) -> bool:
        """Take the tokens of a request back, for the budget of another node.

        :param service: name of the service.
        :returns: whether they were there.
        """
        if self._tokens[service] < self._parameters.deposit:
            return False
        self._tokens[service] -= self._parameters.deposit
        return True

    def available(self, service: str, now: float) -> int:
        """Return the number of retries that may be made now.

        :param service: name of the service.
        :param now: local monotonic time in seconds.
        """
        self._limit(service, now)
        return int(self._tokens[service])

    def spend(self, service: str, now: float) -> bool:
        """Take a token for a retry.

        :param service: name of the service.
        :param now: local monotonic time in seconds.
        :returns: whether a token was available.
        """
        if not self.available(service, now):
            return False
        self._tokens[service] -= WHOLE_TOKEN
        return True

    def _limit(self, service: str, now: float) -> None:
        """Drop the tokens that the bucket cannot hold."""
        capacity = self._capacity(service, now)
        self._tokens[service] = min(self._tokens[service], capacity)

    def _capacity(self, service: str, now: float) -> float:
        parameters = self._parameters
        if parameters.capacity >= WHOLE_TOKEN:
            return parameters.capacity
        recent = self._recent[service].count(now)
        raised = parameters.capacity + parameters.capacity_per_request * recent
        # A request may add its tokens to a whole one that is not spent yet.
        return min(raised, WHOLE_TOKEN + parameters.deposit)
