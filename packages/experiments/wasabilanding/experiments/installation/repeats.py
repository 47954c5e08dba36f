"""Compares the repeats that endpoints get with what a service is allowed.

Explanation
===========

A repeat is an arrival beyond the first of its request, at any endpoint of the
service. In each span of :data:`WINDOW_S` a service may get a share of its
requests, and a number beyond that, as repeats. Requests are what callers sent
in that span, in the one before it, or in the one half a span before it,
whichever has most.
"""

import bisect
import collections.abc
import dataclasses

WINDOW_S = 10.0
# By how much earlier the other spans begin in which requests count.
EARLIER_S = (0.0, WINDOW_S / 2, WINDOW_S)


@dataclasses.dataclass(frozen=True)
class Use:
    """Repeats in a span of :data:`WINDOW_S`.

    :param repeats: their number.
    :param allowed: how many are allowed.
    """

    repeats: int
    allowed: float


def repeat_times(
    arrivals: collections.abc.Iterable[tuple[float, str]],
) -> list[float]:
    """Return the times of the arrivals beyond the first of each request.

    :param arrivals: time in seconds and identifier of the request of each
        arrival.
    :returns: in ascending order.

    Examples
    ========

    >>> from wasabilanding.experiments.installation import repeats
    >>> repeats.repeat_times([(2.0, "a"), (1.0, "a"), (1.5, "b")])
    [2.0]
    """
    seen = set()
    found = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            found.append(at)
        seen.add(request_id)
    return found


def uses(
    sent: collections.abc.Iterable[float],
    repeated: collections.abc.Iterable[float],
    ratio: float,
    slack: float,
) -> list[Use]:
    """Return the use of the span that ends at each repeat.

    :param sent: times in seconds at which callers sent requests.
    :param repeated: times in seconds of the repeats.
    :param ratio: repeats allowed per request.
    :param slack: repeats allowed beyond these.

    Examples
    ========

    >>> from wasabilanding.experiments.installation import repeats
    >>> repeats.uses([0.0, 1.0], [2.0, 3.0], 0.5, 0)
    [Use(repeats=1, allowed=1.0), Use(repeats=2, allowed=1.0)]
    """
    sent = sorted(sent)
    repeated = sorted(repeated)
    found = []
    for ends_at in repeated:
        begins_at = ends_at - WINDOW_S
        requests = max(
            _count(sent, begins_at - earlier_s) for earlier_s in EARLIER_S
        )
        allowed = ratio * requests + slack
        found.append(Use(_count(repeated, begins_at), allowed))
    return found


def _count(times: list[float], begins_at: float) -> int:
    """Return how many times lie in the span that begins at a time."""
    first = bisect.bisect_right(times, begins_at)
    return bisect.bisect_right(times, begins_at + WINDOW_S) - first
