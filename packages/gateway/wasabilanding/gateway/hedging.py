"""Decisions about an attempt beside silent ones.

Explanation
===========

Load pattern: the endpoints of all open attempts of a request are silent. Each
attempt may still become a run of the request, so all of them count against
the route's limit on runs. If the limit is reached, an attempt is replaced only
if its endpoint accepts no connections: it has ended or is cut off. One that
accepts them may have run the request and hang, which nothing tells from an
endpoint that will go on.
"""

import collections.abc

from wasabilanding.gateway import attempt as attempt_module
from wasabilanding.gateway import request_state as request_state_module

Attempts = collections.abc.Collection[attempt_module.Attempt]


def are_unresponsive(attempts: Attempts) -> bool:
    """Return whether no endpoint has replied or made progress meanwhile.

    :param attempts: open attempts.
    """
    return not any(
        attempt.is_run_counted or attempt.endpoint_makes_progress
        for attempt in attempts
    )


def replaceable(
    state: request_state_module.RequestState, attempts: Attempts
) -> list[attempt_module.Attempt]:
    """Return the attempts that end when another one starts.

    They do not count as runs.

    :param state: the request.
    :param attempts: its open attempts.
    """
    if possible_runs(state, attempts, ()) < state.route.max_attempts:
        return []
    return [a for a in attempts if _is_lost(a)][:1]


def unexamined(
    state: request_state_module.RequestState, attempts: Attempts
) -> list[attempt_module.Attempt]:
    """Return the attempts whose endpoints should be examined.

    They are examined one attempt before the limit on runs is reached, so that
    the result is known when an attempt has to make room.

    :param state: the request.
    :param attempts: its open attempts, all silent.
    """
    if possible_runs(state, attempts, ()) + 1 < state.route.max_attempts:
        return []
    return [
        attempt
        for attempt in attempts
        if attempt.is_unreachable is None and are_unresponsive([attempt])
    ]


def _is_lost(attempt: attempt_module.Attempt) -> bool:
    """Return whether an endpoint has ended, or is cut off from this node."""
    return bool(attempt.is_unreachable) and are_unresponsive([attempt])


def possible_runs(
    state: request_state_module.RequestState,
    attempts: Attempts,
    replaced: Attempts,
) -> int:
    """Return the runs, with those that open attempts may become.

    :param state: the request.
    :param attempts: its open attempts.
    :param replaced: those that end.
    """
    pending = [
        attempt
        for attempt in attempts
        if not attempt.is_run_counted and attempt not in replaced
    ]
    return state.runs + len(pending)
