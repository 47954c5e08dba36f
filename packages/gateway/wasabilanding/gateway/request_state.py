"""State of a request, and the final answer after all its attempts."""

import collections
import collections.abc
import dataclasses
import functools

import trio

from wasabilanding.gateway import answers
from wasabilanding.gateway import messages
from wasabilanding.gateway import prompt_parts
from wasabilanding import model
from wasabilanding import routes

RETRY_AFTER_S = 0.5


def _no_restriction() -> routes.AllowedRegions:
    """Allow all regions."""
    return None


@dataclasses.dataclass(frozen=True)
class CallerConnection:
    """The connection on which a caller waits for its answer.

    :param has_closed: returns whether the caller has closed it, read or not.
    :param end_request: ends the request, as its caller has left.
    """

    has_closed: collections.abc.Callable[[], bool] = lambda: False
    end_request: collections.abc.Callable[[], None] = lambda: None


@dataclasses.dataclass
class RequestState:
    """State of a request in progress.

    :param head: its head as received.
    :param body: its body.
    :param request: its decoded head.
    :param route: its route.
    :param service: service that handles it.
    :param customer: customer that its caller belongs to.
    :param priority: rank in an endpoint's queue, 0 first.
    :param deadline_at: local monotonic time in seconds by which the answer
        must be complete.
    """

    head: messages.RequestHead
    body: bytes
    request: messages.CallerRequest
    route: routes.Route
    service: routes.RoutedService
    customer: str
    priority: int
    deadline_at: float
    # Local monotonic time in seconds.
    arrived_at: float = 0.0
    runs: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    # Whether it has added to the retry budget of this node.
    has_deposit: bool = False
    # Attempts that brought it to an endpoint, and further attempts that were
    # taken from the retry budget.
    arrivals: int = 0
    repeats_charged: int = 0
    # Identifies its content; empty until it is computed.
    fingerprint: str = ""
    # Whether it tries a condemned part of a prompt again.
    is_trial: bool = False
    # Failed connections to endpoints.
    connect_failures: int = 0
    # Why this node cannot tell whether its API key is valid; None if it can.
    unproven: model.Outcome | None = None
    # Whether another node has handed it to this one.
    is_relayed: bool = False
    # Whether another node has rejected it, so that no third one is asked.
    is_rejected_elsewhere: bool = False
    # Whether a stream can resume after the last delivered event.
    is_position_known: bool = True
    tried_endpoint_ids: list[str] = dataclasses.field(default_factory=list)
    # Pool in which it counts as sent and is not in flight yet; empty if none.
    departing_pool: str = ""
    # Endpoints that refused it and may be tried again, once for each refusal.
    refused_endpoint_ids: list[str] = dataclasses.field(default_factory=list)
    # Local monotonic time in seconds at which the attempt was sent that an
    # endpoint has answered; None for none.
    answered_sent_at: float | None = None
    caller: CallerConnection = CallerConnection()
    # Returns the regions that it may use now; None for all.
    restriction: collections.abc.Callable[[], routes.AllowedRegions] = (
        _no_restriction
    )

    @property
    def allowed_regions(self) -> routes.AllowedRegions:
        """Regions that it may use now; None for all."""
        return self.restriction()

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """Parts of its prompt that other requests may share."""
        return prompt_parts.shared_parts(self.request.prompt_parts)

    @property
    def required_model(self) -> str:
        """Model that its endpoint must serve; empty for a plain service."""
        return self.request.model if self.service.engine else ""

    @property
    def tokens(self) -> int:
        """Tokens of its prompt and its longest answer; 0 if not given."""
        return self.request.prompt_tokens + self.request.max_output_tokens

    @property
    def spent_endpoint_ids(self) -> list[str]:
        """Endpoints that it was sent to and must not be sent to again."""
        if not self.refused_endpoint_ids:
            return self.tried_endpoint_ids
        spent = collections.Counter(self.tried_endpoint_ids)
        spent.subtract(self.refused_endpoint_ids)
        return list(spent.elements())

    @property
    def arrivals_uncharged(self) -> int:
        """Arrivals at endpoints beyond those that the retry budget covers."""
        return self.arrivals - self.repeats_charged

    @property
    def resumes_after(self) -> int | None:
        """Number of the event after which the next attempt resumes."""
        if self.last_event is not None:
            return self.last_event
        return self.request.resumes_after


@dataclasses.dataclass
class OpenRequest:
    """A request whose answer is not complete.

    :param arrived_at: local monotonic time in seconds of its arrival.
    :param state: its state; None until it is admitted.
    :param scope: ends its attempts; None until it is admitted.
    :param is_interrupted: whether the node, which stops, has ended them.
    """

    arrived_at: float
    state: RequestState | None = None
    scope: trio.CancelScope | None = None
    is_interrupted: bool = False


class RequestRejected(Exception):
    """The node answers a request itself, without an endpoint's reply.

    :param answer: the answer.
    """

    def __init__(self, answer: answers.Answer) -> None:
        super().__init__(answer.detail)
        self.answer = answer


class KeysNotProven(RequestRejected):
    """This node cannot tell whether an API key is valid; others may.

    :param state: the request, which may be handed to another node.
    :param outcome: why it cannot.
    """

    def __init__(self, state: RequestState, outcome: model.Outcome) -> None:
        super().__init__(final_answer(state, outcome))
        self.state = state


class RelayRefused(RequestRejected):
    """Another node's request is refused here; a third one may serve it."""


def rejection(
    state: RequestState, outcome: model.Outcome, obstacle: str
) -> RequestRejected:
    """Return the rejection of a request that is not retried.

    :param state: the request.
    :param outcome: outcome of the last attempt, or why none was made.
    :param obstacle: why there is no further attempt.
    """
    detail = f"{outcome.detail}; {obstacle}"
    explained = dataclasses.replace(outcome, detail=detail)
    return RequestRejected(final_answer(state, explained))


def final_answer(
    state: RequestState, outcome: model.Outcome
) -> answers.Answer:
    """Return the final answer to a request that no attempt completed.

    :param state: the request.
    :param outcome: outcome of the last attempt, or why none was made.
    """
    if state.may_have_run:
        return answers.may_have_run(outcome.reason.value, outcome.detail)
    retry_after_s = outcome.retry_after_s
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    return answers.not_run(outcome.reason.value, outcome.detail, retry_after_s)
