"""A request under way, and the answer that covers all its attempts."""

import dataclasses

from wasabilanding.gateway import answers
from wasabilanding.gateway import messages
from wasabilanding import model
from wasabilanding import routes

RETRY_AFTER_S = 0.5


@dataclasses.dataclass
class Work:
    """A request under way.

    :param head: its head as received.
    :param body: its body.
    :param request: what its head says.
    :param route: its route.
    :param service: service that takes it.
    :param customer: customer that its caller belongs to.
    :param urgency: rank in an endpoint's queue.
    :param due_at: local monotonic time in seconds at which the answer must
        have come.
    """

    head: messages.Head
    body: bytes
    request: messages.CallerRequest
    route: routes.Route
    service: routes.RoutedService
    customer: str
    urgency: int
    due_at: float
    runs: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    tried: list[str] = dataclasses.field(default_factory=list)

    @property
    def resumes_after(self) -> int | None:
        """Event after which the next attempt goes on."""
        if self.last_event is not None:
            return self.last_event
        return self.request.resumes_after


class Refused(Exception):
    """The node answers a request itself.

    :param answer: the answer.
    """

    def __init__(self, answer: answers.Answer) -> None:
        super().__init__(answer.detail)
        self.answer = answer


def final_answer(work: Work, outcome: model.Outcome) -> answers.Answer:
    """Return the answer that covers all attempts of a request.

    :param work: the request.
    :param outcome: what ended the last attempt, or kept one from being made.
    """
    if work.may_have_run:
        return answers.may_have_run(outcome.reason.value, outcome.detail)
    return answers.not_run(outcome.reason.value, outcome.detail, RETRY_AFTER_S)
