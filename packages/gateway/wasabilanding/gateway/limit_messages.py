"""Messages between nodes about endpoints that are cold or name limits."""

import dataclasses
import typing

import pydantic

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding import model

# First protocol with questions on cold endpoints; see
# :data:`wasabilanding.gateway.directory.PROTOCOL`.
COLD_PROTOCOL = 1

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
class ColdNotice:
    """For how long an endpoint stays cold.

    :param endpoint_id: identity of the endpoint.
    :param started_at_ms: Unix time in milliseconds of its start.
    :param left_s: seconds for which it stays cold.
    :param age_s: seconds since it stated that.
    :param per_s: requests a second that it takes while cold, by the sender's
        configuration; 0 if that has none.
    """

    endpoint_id: str
    started_at_ms: model.Count
    left_s: model.Quantity
    age_s: model.Quantity
    per_s: model.Quantity = 0.0

    @property
    def incarnation(self) -> fleet.Incarnation:
        """The endpoint and its start."""
        return fleet.Incarnation(self.endpoint_id, self.started_at_ms)

    def phase(self, now: float, is_from_reply: bool) -> dispatch.ColdPhase:
        """Return the statement that it passes on.

        :param now: local monotonic time in seconds.
        :param is_from_reply: whether a reply has stated it.
        """
        return dispatch.ColdPhase(
            now + self.left_s, now - self.age_s, is_from_reply
        )


@dataclasses.dataclass(frozen=True)
class SendQuestion:
    """Question of a node that wants to send a request to an endpoint.

    :param number: number of the question; a repetition has the same one.
    :param notice: the endpoint, and its limit as the node knows it; None if
        it has not named one.
    :param rank: place of the asked node in the order of the nodes.
    :param max_wait_s: seconds that the request may wait.
    :param cold: the endpoint, and for how long it stays cold; None if it is
        not cold.
    """

    number: model.Count
    notice: LimitNotice | None
    rank: Rank
    max_wait_s: MaxWait
    cold: ColdNotice | None = None

    def __post_init__(self) -> None:
        """Check that it names an endpoint.

        :raises ValueError: if not.
        """
        if self.notice is None and self.cold is None:
            raise ValueError("question about no endpoint")

    @property
    def incarnation(self) -> fleet.Incarnation:
        """The endpoint and its start."""
        found = self.notice or self.cold
        return found.incarnation

    @property
    def protocol(self) -> int:
        """What a node must understand to reply to it."""
        return 0 if self.cold is None else COLD_PROTOCOL


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


def cold_notice_of(
    endpoint: fleet.Incarnation,
    phase: dispatch.ColdPhase,
    per_s: float,
    now: float,
) -> ColdNotice:
    """Return the message about how long an endpoint stays cold.

    :param endpoint: the endpoint.
    :param phase: what is known of it.
    :param per_s: requests a second that it takes while cold; 0 if unknown.
    :param now: local monotonic time in seconds.
    """
    left_s = round(max(phase.until - now, 0.0), 3)
    age_s = round(max(now - phase.stated_at, 0.0), 3)
    return ColdNotice(*endpoint, left_s, age_s, per_s)
