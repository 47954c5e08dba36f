"""HTTP listeners on loopback."""

import signal

import hypercorn.config
import quart
import trio

from wasabilanding import listening

HOST = "127.0.0.1"
NO_LIMIT_S = 86_400.0


def _config(port: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [f"{HOST}:{port}"]
    config.accesslog = None
    config.errorlog = None
    return config


async def serve(application: quart.Quart, port: int) -> None:
    """Serve an application; never returns.

    :param application: the application.
    :param port: port on loopback.
    """
    listener = listening.HttpListener(application, _config(port), NO_LIMIT_S)
    await listener.serve(trio.Event())


async def end_on_signal(scope: trio.CancelScope) -> None:
    """Cancel a scope on SIGTERM or SIGINT.

    :param scope: scope to cancel.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for _ in received:
            scope.cancel()
            return


class Listeners:
    """Listeners that are opened and closed by name.

    :param nursery: runs the listeners.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}

    def open(self, name: str, application: quart.Quart, port: int) -> None:
        """Open a listener.

        :param name: name of the listener.
        :param application: application to serve.
        :param port: port on loopback.
        """
        self._nursery.start_soon(self._listen, name, application, port)

    async def _listen(
        self, name: str, application: quart.Quart, port: int
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            await serve(application, port)

    def close(self, name: str) -> None:
        """Close a listener and break its connections.

        :param name: name of the listener.
        """
        self._scopes[name].cancel()
