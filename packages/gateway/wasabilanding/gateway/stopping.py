"""Requests of a node that shuts down."""

import trio

from wasabilanding.gateway import request_state as request_state_module
from wasabilanding import limits
from wasabilanding import model

OBSTACLE = "this node stops"
REFUSAL = model.not_run(
    model.Reason.SHUTTING_DOWN,
    OBSTACLE,
    request_state_module.RETRY_AFTER_S,
)


def _kind_of(
    state: request_state_module.RequestState,
) -> tuple[str, str, str]:
    """Return what distinguishes requests by their usual run times."""
    return state.route.name, state.service.name, state.required_model


class StopGuard:
    """Decides which requests are sent to endpoints while the node stops."""

    def __init__(self) -> None:
        self._recent = limits.RecentRuns()
        self._grace: limits.GracePeriod | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the node stops."""
        return self._grace is not None

    def begin(self, grace: limits.GracePeriod) -> None:
        """Record that the node stops.

        :param grace: its grace period.
        """
        self._grace = grace

    def record_completed(
        self, state: request_state_module.RequestState
    ) -> None:
        """Record a request whose answer is complete.

        :param state: the request.
        """
        if state.answered_sent_at is not None:
            seconds = trio.current_time() - state.answered_sent_at
            self._recent.observe(_kind_of(state), seconds)

    def refusal(
        self, state: request_state_module.RequestState
    ) -> model.Outcome | None:
        """Return why no attempt of a request may begin; None if it may.

        :param state: the request.
        """
        if self._grace is None:
            return None
        can_end = limits.can_end(
            self._grace,
            trio.current_time(),
            state.arrived_at,
            state.deadline_at,
            self._recent.of_kind(_kind_of(state)),
        )
        return None if can_end else REFUSAL
