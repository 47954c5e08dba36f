"""Listeners of the stand-ins on loopback."""

import signal

import hypercorn.config
import hypercorn.trio
import quart_trio
import trio

HOST = "127.0.0.1"
NO_LIMIT_S = 86_400.0


def _config(port: int) -> hypercorn.config.Config:
    config = hypercorn.config.Config()
    config.bind = [f"{HOST}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = NO_LIMIT_S
    return config


async def serve(application: quart_trio.QuartTrio, port: int) -> None:
    """Serve an app; never returns.

    :param application: the app.
    :param port: port on loopback.
    """
    await hypercorn.trio.serve(
        application, _config(port), shutdown_trigger=trio.sleep_forever
    )


async def end_on_signal(scope: trio.CancelScope) -> None:
    """Cancel a scope when the process is told to end.

    :param scope: what is cancelled.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*signals) as received:
        async for _ in received:
            scope.cancel()
            return


class Listeners:
    """Listeners that open and close by name.

    :param nursery: runs them.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}

    def open(
        self, name: str, application: quart_trio.QuartTrio, port: int
    ) -> None:
        """Listen.

        :param name: name of the listener.
        :param application: the app.
        :param port: port on loopback.
        """
        self._nursery.start_soon(self._listen, name, application, port)

    async def _listen(
        self, name: str, application: quart_trio.QuartTrio, port: int
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            await serve(application, port)

    def close(self, name: str) -> None:
        """Break a listener and its connections.

        :param name: its name.
        """
        self._scopes[name].cancel()
