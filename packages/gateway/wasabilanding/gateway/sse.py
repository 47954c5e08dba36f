"""Splits a stream of server-sent events into events.

The bytes of an event are kept unchanged, because the gateway relays them;
only the id is parsed. Lines may end in LF or CRLF.
"""

import collections.abc
import dataclasses
import re

from wasabilanding.gateway import reply_bounds

_END = re.compile(rb"\r?\n\r?\n")
_LINE = re.compile(rb"\n")
_ID = re.compile(rb"(?:^|\n)id: ?([0-9]{1,18})\r?(?:\n|$)")
_DATA = re.compile(rb"(?:^|\n)data")
# Lines that are handled before other tasks run.
MAX_LINES = 256
# Bytes of the end of an event that may be part of what was searched before.
_OVERLAP = len(b"\r\n\r\n") - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    :param data: its bytes, including the blank line.
    :param event_id: its id; None for none.
    """

    data: bytes
    event_id: int | None

    @property
    def has_data(self) -> bool:
        """Whether it is an event for the caller, not a comment."""
        return _DATA.search(self.data) is not None


def pieces(received: bytes) -> collections.abc.Iterator[bytes]:
    """Yield received bytes in pieces of a bounded number of lines.

    A read may hold thousands of tiny events, which would occupy the node if
    they were handled at once.

    :param received: bytes as read from the connection.

    Examples
    ========

    >>> from wasabilanding.gateway import sse
    >>> [len(piece) for piece in sse.pieces(b"a" + b"\\n" * 300)]
    [257, 44]
    """
    start = 0
    if received.count(b"\n") > MAX_LINES:
        for number, end in enumerate(_LINE.finditer(received), 1):
            if number % MAX_LINES == 0:
                yield received[start : end.end()]
                start = end.end()
    if start < len(received):
        yield received[start:]


class EventSplitter:
    """Buffers received bytes and returns the events that they complete.

    Each byte is searched once, however small the parts are in which an event
    arrives.

    :param max_event_bytes: greatest length of an event.

    Examples
    ========

    >>> from wasabilanding.gateway import sse
    >>> splitter = sse.EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n")
    []
    >>> splitter.feed(b"\\nid: 2")
    [Event(data=b'id: 1\\ndata: a\\n\\n', event_id=1)]
    >>> splitter.remainder
    b'id: 2'
    """

    def __init__(
        self, max_event_bytes: int = reply_bounds.DEFAULT.event_bytes
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def remaining_bytes(self) -> int:
        """Length of an incomplete event."""
        return len(self._buffer)

    def feed(self, received: bytes) -> list[Event]:
        """Return the events that the received bytes complete.

        :param received: bytes as read from the connection.
        :raises wasabilanding.gateway.reply_bounds.BoundExceeded: if an event
            is too long.
        """
        if not self._buffer:
            events, end = self._split(received, 0)
            self._buffer += received[end:]
        else:
            searched = max(len(self._buffer) - _OVERLAP, 0)
            self._buffer += received
            events, end = self._split(self._buffer, searched)
            del self._buffer[:end]
        self._check_length(len(self._buffer))
        return events

    def _split(
        self, buffer: bytes | bytearray, searched: int
    ) -> tuple[list[Event], int]:
        """Return the events in a buffer, and the end of the last one.

        :param buffer: begins with an event.
        :param searched: bytes that contain no end of an event.
        """
        events = []
        start = 0
        for end in _END.finditer(buffer, searched):
            data = bytes(buffer[start : end.end()])
            self._check_length(len(data))
            found = _ID.search(data)
            event_id = int(found.group(1)) if found else None
            events.append(Event(data, event_id))
            start = end.end()
        return events, start

    def _check_length(self, length: int) -> None:
        if length > self._max_event_bytes:
            raise reply_bounds.BoundExceeded("event", self._max_event_bytes)
