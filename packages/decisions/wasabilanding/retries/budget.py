"""Retry budget of one node."""

import collections
import collections.abc
import dataclasses

# Assumed number of nodes while the actual number is unknown.
DEFAULT_NODES = 12
# Accounts for nodes that have joined but are not yet known to the others.
JOINING_MARGIN = 1.2


@dataclasses.dataclass(frozen=True)
class BucketParameters:
    """Parameters of a token bucket.

    :param deposit: tokens that each request adds.
    :param initial: initial tokens of a service.
    :param capacity: maximum tokens of a service.
    """

    deposit: float = 0.1
    initial: float = 10.0
    capacity: float = 50.0


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
    >>> retries.node_budget(0.2, 120)
    BucketParameters(deposit=0.18, initial=10.0, capacity=10.0)
    >>> retries.node_budget(0.2, 120, nodes=100)
    BucketParameters(deposit=0.18, initial=1.0, capacity=1.0)
    >>> retries.node_budget(0.2, 120, nodes=100, is_first_start=False)
    BucketParameters(deposit=0.18, initial=0.0, capacity=1.0)
    """
    share = slack / max(DEFAULT_NODES, nodes * JOINING_MARGIN)
    initial = share if is_first_start else 0.0
    return BucketParameters(round(ratio * 0.9, 6), initial, share)


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
    >>> [budget.spend("escriba") for _ in range(11)].count(True)
    10
    """

    def __init__(
        self, parameters: BucketParameters = BucketParameters()
    ) -> None:
        self._parameters = parameters
        self._tokens: dict[str, float] = collections.defaultdict(
            lambda: self._parameters.initial
        )

    @property
    def parameters(self) -> BucketParameters:
        """Parameters of the buckets."""
        return self._parameters

    @parameters.setter
    def parameters(self, parameters: BucketParameters) -> None:
        self._parameters = parameters
        for service, tokens in self._tokens.items():
            self._tokens[service] = min(tokens, parameters.capacity)

    @property
    def tokens(self) -> collections.abc.Mapping[str, float]:
        """Tokens that the node has, by service."""
        return self._tokens

    def deposit(self, service: str) -> None:
        """Add the tokens of a request.

        :param service: name of the service.
        """
        tokens = self._tokens[service] + self._parameters.deposit
        self._tokens[service] = min(tokens, self._parameters.capacity)

    def withdraw(self, service: str) -> bool:
        """Take the tokens of a request back, for the budget of another node.

        :param service: name of the service.
        :returns: whether they were there.
        """
        if self._tokens[service] < self._parameters.deposit:
            return False
        self._tokens[service] -= self._parameters.deposit
        return True

    def available(self, service: str) -> int:
        """Return the number of retries that may be made now.

        :param service: name of the service.
        """
        return int(self._tokens[service])

    def spend(self, service: str) -> bool:
        """Take a token for a retry.

        :param service: name of the service.
        :returns: whether a token was available.
        """
        if self._tokens[service] < 1.0:
            return False
        self._tokens[service] -= 1.0
        return True
