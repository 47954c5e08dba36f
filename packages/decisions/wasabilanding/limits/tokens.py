"""Whether requests fit into the memory of an endpoint.

Explanation
===========

An endpoint of a model reserves memory for the tokens of a request's prompt
and answer, and crashes if its requests together exceed it. A node knows the
tokens of its own requests, but only the number of those of other nodes. They
are taken to be as large as its own on average.
"""

import dataclasses

# Requests over which the mean is taken, so that it follows the load.
MEAN_OF_REQUESTS = 100


@dataclasses.dataclass(frozen=True)
class MeanTokens:
    """Mean size of recent requests.

    :param tokens: the mean; 0 if none is known.
    :param count: requests that it is taken over.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.MeanTokens().after(300).after(100)
    MeanTokens(tokens=200.0, count=2)
    """

    tokens: float = 0.0
    count: int = 0

    def after(self, tokens: int) -> "MeanTokens":
        """Return the mean after another request.

        :param tokens: size of the request.
        """
        count = min(self.count + 1, MEAN_OF_REQUESTS)
        return MeanTokens(self.tokens + (tokens - self.tokens) / count, count)


def free_tokens(
    capacity: int, own_tokens: int, other_requests: int, mean_tokens: float
) -> float:
    """Return the tokens that an endpoint can take; negative if it is over.

    :param capacity: tokens that it can hold.
    :param own_tokens: tokens of this node's requests there.
    :param other_requests: requests of other nodes there.
    :param mean_tokens: mean size of this node's requests.

    Examples
    ========

    >>> from wasabilanding import limits
    >>> limits.free_tokens(1000, 300, 2, 200.0)
    300.0
    """
    return capacity - own_tokens - other_requests * mean_tokens
