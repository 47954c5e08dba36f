"""Checks of a request right before it is sent to an endpoint or a node.

Explanation
===========

A request waits before it is sent: for a slot, memory, a grant, a connection,
or for the process to run at all. What has allowed it may have changed
meanwhile, and the task that would be told of the change may not have run yet.
So each condition is asked again at the moment of sending, from where it is
known first: that a caller has left, from its socket.
"""

import collections.abc
import logging

import trio

from wasabilanding import fleet
from wasabilanding.gateway import metrics as metrics_module
from wasabilanding.gateway import relays
from wasabilanding.gateway import request_state as request_state_module
from wasabilanding.gateway import upstream as upstream_module
from wasabilanding import model

Check = collections.abc.Callable[
    [request_state_module.RequestState, fleet.Endpoint], None
]
CALLER_LEFT = model.not_run(
    model.Reason.CANCELLED, "the caller has closed its connection"
)
_LOG = logging.getLogger(__name__)


def combined(*checks: Check) -> Check:
    """Return a check that makes several others in turn.

    :param checks: the others.
    """

    def check(
        state: request_state_module.RequestState, endpoint: fleet.Endpoint
    ) -> None:
        for one in checks:
            one(state, endpoint)

    return check


def caller_check(metrics: metrics_module.Metrics) -> Check:
    """Return the check that the caller has not closed its connection.

    It ends the request otherwise, with all its other attempts.

    :param metrics: counts the closes that it finds.
    """

    def check(
        state: request_state_module.RequestState, endpoint: fleet.Endpoint
    ) -> None:
        if not state.caller.has_closed():
            return
        is_relay = relays.is_relay(endpoint.endpoint_id)
        metrics.count_close_at_send("node" if is_relay else "endpoint")
        _LOG.info(
            "not sent: the caller has closed its connection",
            extra={
                "request": state.request.request_id,
                "endpoint": endpoint.endpoint_id,
                "waited_s": round(trio.current_time() - state.arrived_at, 4),
            },
        )
        state.caller.end_request()
        raise upstream_module.AttemptFailed(CALLER_LEFT)

    return check
