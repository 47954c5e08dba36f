"""Sockets for callers whose answers take a bounded amount of memory.

Explanation
===========

A node reads an answer from its endpoint only as fast as the caller's
connection takes it: the HTTP server's write waits while the connection's
buffer is full, and the next part is read after the write. So the kernel's
buffers are all that an answer takes beyond one part. By default they grow to
several MB for each connection. Here the send buffer has a fixed size, which
still takes a whole usual answer at once, so that a caller that stalls for a
moment does not stop the endpoint. The receive buffer is fixed too: what waits
unread in it counts towards the memory of the machine.

The server does not end a write that waits. The kernel does: it closes a
connection whose peer neither takes nor acknowledges data for
:data:`UNREAD_TIMEOUT_S`. The options of a listening socket pass to its
connections.
"""

import socket

import hypercorn.config

# A caller that reads nothing for this time is given up.
UNREAD_TIMEOUT_S = 10.0
MS_PER_S = 1000
# The largest usual answer has 30 KB. The kernel doubles the value for its own
# records.
SEND_BUFFER_BYTES = 128 * 1024
RECEIVE_BUFFER_BYTES = 32 * 1024
OPTIONS = (
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(UNREAD_TIMEOUT_S * MS_PER_S),
    ),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)


class BoundedConfig(hypercorn.config.Config):
    """Configuration of a server whose connections have these options."""

    def create_sockets(self) -> hypercorn.config.Sockets:
        """Return listening sockets."""
        found = super().create_sockets()
        for listening in found.insecure_sockets:
            for option in OPTIONS:
                listening.setsockopt(*option)
        return found
