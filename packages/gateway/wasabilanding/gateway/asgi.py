"""Types of the ASGI interface, and the part that all applications share."""

import collections.abc
import typing

Message = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
App = collections.abc.Callable[
    [Message, Receive, Send], collections.abc.Awaitable[None]
]


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Confirm the server's start and stop, which need no work.

    :param receive: ASGI callable.
    :param send: ASGI callable.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
