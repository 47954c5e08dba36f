"""Answers whose end only the end of their connection marks.

Explanation
===========

A caller of HTTP/1.0 understands no chunks. An answer without a length ends
for it with the connection, so that a part of the answer would look complete
if the connection were closed. Therefore such a connection is set to be reset
when its socket is closed, by the process or, if the process ends, by the
kernel. The option is removed before the answer ends.
"""

import socket
import struct

from wasabilanding.listening import connection as connection_module
from wasabilanding.listening import request_body

HTTP_10 = "1.0"
# Values of SO_LINGER: whether it is set, and the time in seconds.
_RESET = struct.pack("ii", 1, 0)
_DEFAULT = struct.pack("ii", 0, 0)


def _has_length(message: request_body.Message) -> bool:
    return any(
        name.lower() == b"content-length"
        for name, _ in message.get("headers", ())
    )


class CutAnswer:
    """Resets a connection unless the answer on it is complete.

    :param connection: the connection.
    :param send: ASGI callable that sends the answer.
    """

    def __init__(
        self, connection: connection_module.Connection, send: request_body.Send
    ) -> None:
        self._connection = connection
        self._send = send
        self._is_open = False

    async def send(self, message: request_body.Message) -> None:
        """Send a part of the answer.

        :param message: ASGI message.
        """
        kind = message["type"]
        if kind == "http.response.start" and not _has_length(message):
            self._is_open = True
            self._set_linger(_RESET)
        elif self._is_open and not message.get("more_body", False):
            # The connection is closed within the call that ends the answer;
            # until all of its bytes are sent, a reset must be possible.
            await self._send({**message, "more_body": True})
            self._is_open = False
            self._set_linger(_DEFAULT)
            message = {**message, "body": b""}
        await self._send(message)

    def close(self) -> None:
        """Reset the connection if the answer has begun and has not ended."""
        if self._is_open:
            self._connection.reset()

    def _set_linger(self, value: bytes) -> None:
        found = self._connection.socket
        if found.fileno() >= 0:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
