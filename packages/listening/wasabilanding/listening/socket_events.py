"""What has happened at a socket, without reading from it."""

import select

import trio


def _has_event(sock: trio.socket.SocketType, event: int) -> bool:
    """Return whether a socket has an event, or is broken or closed.

    :param sock: the socket.
    :param event: event of :func:`select.poll`.
    """
    poll = select.poll()
    try:
        poll.register(sock.fileno(), event)
    except (OSError, ValueError):
        return True
    return bool(poll.poll(0))


def is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether bytes, or the end of a connection, have arrived.

    :param sock: socket of the connection.
    """
    return _has_event(sock, select.POLLIN)


def is_closed_by_peer(sock: trio.socket.SocketType) -> bool:
    """Return whether the other side has closed a connection.

    Nothing is read: the end is also seen while bytes wait in front of it.

    :param sock: socket of the connection.
    """
    return _has_event(sock, select.POLLRDHUP)
