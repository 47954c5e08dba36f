"""The rest of a request's body that the application does not read.

Explanation
===========

The server hands parts of a body to the application through a queue of fixed
length. If the queue is full when the application stops reading, the task that
reads the connection waits for the application, and the end of the answer waits
for that task: neither ever ends, and the connection stays open for good. So
once the application has ended its answer, or has failed, the rest is read and
discarded.
"""

import collections.abc
import typing

import trio

from wasabilanding.listening import connection as connection_module

Message = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
App = collections.abc.Callable[
    [Message, Receive, Send], collections.abc.Awaitable[None]
]


class _Body:
    """Body of a request as the application reads it.

    :param receive: the server's ASGI callable.
    :param nursery: discards the rest of the body.
    :param connection: its connection.
    """

    def __init__(
        self,
        receive: Receive,
        nursery: trio.Nursery,
        connection: connection_module.Connection,
    ) -> None:
        self._connection = connection
        self._receive = receive
        self._nursery = nursery
        self._is_read = False
        self._is_discarded = False

    async def receive(self) -> Message:
        """Return the next message to the application.

        The server does not say that the caller has closed the connection while
        bytes behind the request are not read.
        """
        message = await self._connection.unless_closed(self._receive)
        if message is None:
            return {"type": "http.disconnect"}
        if not message.get("more_body"):
            self._is_read = True
            self._connection.record_request_complete()
        return message

    def discard_rest(self) -> None:
        """Discard what the application has not read."""
        if not self._is_read and not self._is_discarded:
            self._is_discarded = True
            self._nursery.start_soon(self._discard)

    async def _discard(self) -> None:
        # The server's last message says that the request has ended.
        while (await self._receive())["type"] != "http.disconnect":
            pass


async def run(
    app: App,
    scope: Message,
    receive: Receive,
    send: Send,
    nursery: trio.Nursery,
    connection: connection_module.Connection,
) -> None:
    """Run an application; discard what it has not read when it ends.

    :param app: the application.
    :param scope: scope of the request.
    :param receive: ASGI callable.
    :param send: ASGI callable.
    :param nursery: nursery of the connection.
    :param connection: the connection.
    """
    body = _Body(receive, nursery, connection)

    async def send_part(message: Message) -> None:
        is_body = message["type"] == "http.response.body"
        if is_body and not message.get("more_body"):
            body.discard_rest()
        await send(message)

    try:
        await app(scope, body.receive, send_part)
    finally:
        body.discard_rest()
