"""Ends of connections, as they are reported."""

import dataclasses
import enum


class CloseCause(enum.Enum):
    """Why a connection ends.

    ``CALLER``: the caller has closed it, or it is broken. ``IDLE``: it was
    idle for too long. ``STOP``: the process stops. ``ANSWER``: an answer says
    so, or what arrived is no request. ``ERROR``: the server has failed on it.
    ``HEAD``: the head of a request took too long. ``LIMIT``: it was closed for
    a new connection, as too many are open. ``PARTS``: its request has many
    small parts, and no place was free for it in time.
    """

    CALLER = "caller"
    IDLE = "idle"
    STOP = "stop"
    ANSWER = "answer"
    ERROR = "error"
    HEAD = "head"
    LIMIT = "limit"
    PARTS = "parts"


@dataclasses.dataclass(frozen=True)
class Close:
    """The end of a connection.

    :param cause: why it ends.
    :param is_unanswered: whether the application handles a request of which
        no byte of an answer has been sent.
    :param idle_s: seconds for which it was idle before its latest bytes.
    :param received_s: seconds since these bytes were read.
    :param limit_s: limit on idle connections in seconds that applied to it.
    """

    cause: CloseCause
    is_unanswered: bool
    idle_s: float
    received_s: float
    limit_s: float
