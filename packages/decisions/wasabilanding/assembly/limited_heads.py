"""Supply that a model lacks since heads of its replicas are limited.

Explanation
===========

The head of a replica may be cold for some seconds, or name a limit in its
replies for long. A replica that is formed in its place serves only after a
load of the model. So a limit counts only once it has lasted for longer than
that, and a head that is cold for 3 s changes nothing.

By Little's law, what a replica supplies shows in its requests in flight. A
limited head lacks the difference to the mean of the heads of its model that
have no limit. These requests are counted with the demand for the model, whose
share of the VMs grows by what the replica does not supply.
"""

import collections.abc
import dataclasses
import statistics

from wasabilanding import fleet
from wasabilanding import routes


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of an open replica.

    :param endpoint: the endpoint.
    :param model: the model of its replica.
    :param requests: its requests in flight, from all nodes.
    :param is_limited: whether it takes fewer requests than its slots hold.
    """

    endpoint: fleet.Incarnation
    model: str
    requests: float
    is_limited: bool


def missing_requests(
    heads: collections.abc.Sequence[Head],
    is_long: collections.abc.Callable[[Head], bool],
    slots: int,
) -> dict[str, float]:
    """Return the requests that limited heads lack, by model.

    :param heads: heads of all open replicas of a service.
    :param is_long: tells whether a limited head has been so for long.
    :param slots: slots of a replica.
    :returns: requests; none for a model all of whose heads are limited, as
        there is nothing to compare with.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> from wasabilanding import fleet
    >>> def head(name, requests, is_limited):
    ...     start = fleet.Incarnation(name, 1)
    ...     return assembly.Head(start, "large", requests, is_limited)
    >>> heads = [head("e1", 8, False), head("e2", 2, True)]
    >>> assembly.missing_requests(heads, lambda head: True, 10)
    {'large': 6}
    >>> assembly.missing_requests(heads, lambda head: False, 10)
    {}
    """
    free: dict[str, list[float]] = {}
    for head in heads:
        if not head.is_limited:
            free.setdefault(head.model, []).append(min(head.requests, slots))
    missing: dict[str, float] = {}
    for head in heads:
        if not head.is_limited or head.model not in free or not is_long(head):
            continue
        lacks = max(statistics.mean(free[head.model]) - head.requests, 0)
        missing[head.model] = missing.get(head.model, 0) + lacks
    return missing


class LimitedHeads:
    """Since when heads of replicas are limited."""

    def __init__(self) -> None:
        # Local monotonic times in seconds.
        self._since: dict[fleet.Incarnation, float] = {}

    def observe(
        self,
        heads: collections.abc.Sequence[Head],
        spec: routes.EngineSpec,
        now: float,
    ) -> dict[str, float]:
        """Return the requests that heads limited for long lack, by model.

        :param heads: heads of all open replicas of a service.
        :param spec: the models of the service.
        :param now: local monotonic time in seconds.
        """
        self._since = {
            head.endpoint: self._since.get(head.endpoint, now)
            for head in heads
            if head.is_limited
        }

        def is_long(head: Head) -> bool:
            model = spec.model(head.model)
            since = self._since[head.endpoint]
            return model is not None and now - since > model.load_s

        return missing_requests(heads, is_long, spec.slots)
