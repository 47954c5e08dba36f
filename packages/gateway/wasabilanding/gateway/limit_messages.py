"""Messages between nodes about endpoints with limits."""

import dataclasses
import typing

import pydantic

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding import model

Rank = typing.Annotated[int, pydantic.Field(ge=0, lt=len(dispatch.SHARES))]
MaxWait = typing.Annotated[
    float,
    pydantic.Field(ge=0, le=dispatch.MAX_WAIT_S, allow_inf_nan=False),
]


@dataclasses.dataclass(frozen=True)
class LimitNotice:
    """What a reply of an endpoint said about its limit.

    :param endpoint_id: identity of the endpoint.
    :param started_at_ms: Unix time in milliseconds of its start.
    :param per_s: requests a second; None if the reply named no limit.
    :param age_s: seconds since the reply.
    """

    endpoint_id: str
    started_at_ms: model.Count
    per_s: model.Quantity | None
    age_s: model.Quantity

    @property
    def incarnation(self) -> fleet.Incarnation:
        """The endpoint and its start."""
        return fleet.Incarnation(self.endpoint_id, self.started_at_ms)


@dataclasses.dataclass(frozen=True)
class SendQuestion:
    """Question of a node that wants to send a request to an endpoint.

    :param number: number of the question; a repetition has the same one.
    :param notice: the endpoint, and its limit as the node knows it.
    :param rank: place of the asked node in the order of the nodes.
    :param max_wait_s: seconds that the request may wait.
    """

    number: model.Count
    notice: LimitNotice
    rank: Rank
    max_wait_s: MaxWait


@dataclasses.dataclass(frozen=True)
class SendReply:
    """Reply to such a question.

    :param number: its number.
    :param is_granted: whether the request may be sent.
    :param wait_s: seconds until it may be sent, or until the next one may.
    """

    number: model.Count
    is_granted: bool
    wait_s: model.Quantity


def notice_of(
    endpoint: fleet.Incarnation, known: dispatch.NamedLimit, now: float
) -> LimitNotice:
    """Return the message about an observation.

    :param endpoint: the endpoint.
    :param known: the observation.
    :param now: local monotonic time in seconds.
    """
    age_s = round(max(now - known.at, 0.0), 3)
    return LimitNotice(*endpoint, known.per_s, age_s)
