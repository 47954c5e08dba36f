"""Bounds on what is read of an endpoint's reply.

Explanation
===========

Load pattern: a faulty endpoint sends bytes without end, in a body, in an
event or between events, until the connection is closed. A reply that breaks a
bound is a failure of the endpoint, and its connection is closed. The HTTP
library bounds heads by itself.
"""

import dataclasses

KIB = 1024
MIB = 1024 * KIB


class BoundExceeded(ValueError):
    """A reply is larger than its bound.

    :param what: the part of the reply.
    :param max_bytes: the bound.
    """

    def __init__(self, what: str, max_bytes: int) -> None:
        super().__init__(f"{what} of more than {max_bytes} bytes")
        self.what = what
        self.max_bytes = max_bytes


@dataclasses.dataclass(frozen=True)
class ReplyBounds:
    """Largest parts of a reply that are read.

    :param answer_bytes: body of an answer that is no stream of events.
    :param event_bytes: one event of a stream.
    :param failure_bytes: body of a failure, or of a reply to a call.
    """

    answer_bytes: int = 64 * MIB
    event_bytes: int = 2 * MIB
    failure_bytes: int = 2 * MIB


DEFAULT = ReplyBounds()
