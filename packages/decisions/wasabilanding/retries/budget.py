"""Budget of retries on one node."""

import collections
import dataclasses

# Nodes that share the allowance of all while their number is not known.
DEFAULT_NODES = 12
# For nodes that come before the others know of them.
JOINING_MARGIN = 1.2


@dataclasses.dataclass(frozen=True)
class BucketParameters:
    """How a budget fills.

    :param deposit: tokens that each request adds.
    :param initial: tokens that a service starts with.
    :param capacity: tokens that a service holds at most.
    """

    deposit: float = 0.1
    initial: float = 10.0
    capacity: float = 50.0


def node_budget(
    ratio: float, slack: float, nodes: int = 0
) -> BucketParameters:
    """Return one node's part of an allowance that all nodes share.

    A node's tokens come from its own requests, and what it holds at most is
    its part of the slack, so that all nodes together stay within the
    allowance without telling each other.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed on top, over all nodes.
    :param nodes: nodes that are known to share it; 0 for unknown.

    Examples
    ========

    >>> from wasabilanding import retries
    >>> retries.node_budget(0.2, 120)
    Rates(deposit=0.18, initial=10.0, most=10.0)
    >>> retries.node_budget(0.2, 120, nodes=100)
    Rates(deposit=0.18, initial=1.0, most=1.0)
    """
    share = slack / max(DEFAULT_NODES, nodes * JOINING_MARGIN)
    return BucketParameters(round(ratio * 0.9, 6), share, share)


class RetryBudget:
    """Token bucket for each service, filled by its requests.

    A retry takes a whole token and each request adds a part of one, so that
    retries stay near a fixed share of the load when endpoints fail on a
    large scale. A service starts with a few tokens, because one that is
    asked seldom needs its retries too.

    :param parameters: how it fills.

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
        """How it fills."""
        return self._parameters

    @parameters.setter
    def parameters(self, parameters: BucketParameters) -> None:
        self._parameters = parameters
        for service, tokens in self._tokens.items():
            self._tokens[service] = min(tokens, parameters.capacity)

    def deposit(self, service: str) -> None:
        """Note a request.

        :param service: name of the service.
        """
        tokens = self._tokens[service] + self._parameters.deposit
        self._tokens[service] = min(tokens, self._parameters.capacity)

    def spend(self, service: str) -> bool:
        """Take the token of a retry.

        :param service: name of the service.
        :returns: whether there was one.
        """
        if self._tokens[service] < 1.0:
            return False
        self._tokens[service] -= 1.0
        return True
