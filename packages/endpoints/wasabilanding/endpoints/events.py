"""Parser of server-sent events with offsets."""

import dataclasses

from wasabilanding.endpoints import reply_bounds

END_OF_EVENT = b"\n\n"
DONE = b"[DONE]"
NO_OFFSET = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One event of a stream.

    :param offset: position in the stream, from 0; -1 if there is no valid one.
    :param data: payload of the event.
    """

    offset: int
    data: bytes

    @property
    def is_last(self) -> bool:
        """Whether this event marks the end of the stream."""
        return self.data == DONE


def _field_value(line: bytes, name: bytes) -> bytes | None:
    if not line.startswith(name):
        return None
    value = line[len(name) :]
    return value[1:] if value.startswith(b" ") else value


def _parse_offset(text: bytes) -> int:
    # bytes.isdigit is true for ASCII digits only.
    return int(text) if text.isdigit() else NO_OFFSET


def _parse_event(event: bytes) -> Part | None:
    # Fast path: nearly all events have one id line and one data line. The
    # general parser costs three times as much.
    head, _, data = event.partition(b"\ndata: ")
    if head.startswith(b"id: ") and data and b"\n" not in data:
        if head[4:].isdigit():
            return Part(int(head[4:]), data)
    return _parse_fields(event)


def _parse_fields(event: bytes) -> Part | None:
    offset = NO_OFFSET
    data = []
    for line in event.split(b"\n"):
        if (value := _field_value(line, b"data:")) is not None:
            data.append(value)
        elif (value := _field_value(line, b"id:")) is not None:
            offset = _parse_offset(value)
    if not data:
        # Comments and events without data serve as keep-alives.
        return None
    return Part(offset, b"\n".join(data))


class EventParser:
    """Incremental parser of server-sent events.

    Examples
    ========

    >>> from wasabilanding import endpoints
    >>> parser = endpoints.EventParser()
    >>> parser.feed(b"id: 0\\ndata: a\\n")
    []
    >>> parser.feed(b"\\n")
    [Part(offset=0, data=b'a')]
    """

    def __init__(self) -> None:
        self._incomplete_event = b""
        self._pending_return = b""

    def feed(self, received: bytes) -> list[Part]:
        """Return the events that the received bytes complete.

        :param received: bytes as read from the connection.
        :raises wasabilanding.endpoints.reply_bounds.ReplyTooLarge: if an
            event does not end.
        """
        if self._pending_return or b"\r" in received:
            received = self._normalize(received)
        *events, self._incomplete_event = (
            self._incomplete_event + received
        ).split(END_OF_EVENT)
        if len(self._incomplete_event) > reply_bounds.MAX_EVENT_BYTES:
            raise reply_bounds.ReplyTooLarge(
                "an event", reply_bounds.MAX_EVENT_BYTES
            )
        parsed = [_parse_event(event) for event in events]
        return [part for part in parsed if part is not None]

    def _normalize(self, received: bytes) -> bytes:
        received = self._pending_return + received
        self._pending_return = b""
        if received.endswith(b"\r"):
            # The next read may start with the line feed of this line end.
            self._pending_return = b"\r"
            received = received[:-1]
        return received.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
