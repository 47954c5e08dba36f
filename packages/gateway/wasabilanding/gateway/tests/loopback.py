"""A forwarder before one endpoint that listens on loopback, for tests."""

import functools

import trio

from wasabilanding import fleet
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import reply_bounds
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway import upstream as upstream_module


class System(fakes.System):
    """A forwarder before one listener.

    :param port: port of the listener.
    :param table: routing table.
    :param bounds: bounds on replies.
    """

    def __init__(self, port, table, bounds=reply_bounds.DEFAULT):
        super().__init__({}, table)
        self._bounds = bounds
        self.endpoint = fleet.Endpoint(
            "e0", "service", "127.0.0.1", port, "z1", slots=9
        )
        self.view.registry.put(self.endpoint)
        self.crash_guard = crash_guard.CrashGuard(
            self.view, self.tracker, self.metrics
        )

    def upstream(self):
        """Return real connections."""
        found = upstream_module.Upstream(bounds=self._bounds)
        found.require_permits(self.guard.admit)
        return found


async def listen(nursery, serve):
    """Serve connections on loopback; return the port.

    :param nursery: runs the listener and its connections.
    :param serve: serves a connection.
    """
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(
        functools.partial(
            trio.serve_listeners, serve, [listener], handler_nursery=nursery
        )
    )
    return listener.socket.getsockname()[1]


async def system(
    nursery, endpoint, table, bounds=reply_bounds.DEFAULT, make=System
):
    """Return a system before an endpoint.

    :param nursery: runs the listener.
    :param endpoint: serves a connection.
    :param table: routing table.
    :param bounds: bounds on replies.
    :param make: class of the system.
    """
    return make(await listen(nursery, endpoint.serve), table, bounds)


async def call(system, upstream, purpose):
    """Call the control API of a system's endpoint.

    :param system: the system.
    :param upstream: its connections.
    :param purpose: name of the purpose.
    :returns: the reply, or the failure of the attempt.
    """
    try:
        return await upstream.call(
            system.endpoint,
            "GET",
            "/report",
            b"",
            upstream_module.Purpose(purpose),
        )
    except upstream_module.AttemptFailed as error:
        return error
