"""Parser of server-sent events with offsets."""

import dataclasses

END_OF_EVENT = b"\n\n"
DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class Part:
    """One event of a stream.

    :param offset: place in the stream, from 0; -1 where the event has none.
    :param data: payload of the event.
    """

    offset: int
    data: bytes

    @property
    def is_last(self) -> bool:
        """Whether the event ends the stream."""
        return self.data == DONE


def _parse(event: bytes) -> Part:
    offset = -1
    data = b""
    for line in event.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
        elif line.startswith(b"id: "):
            offset = int(line[4:])
    return Part(offset, data)


class EventParser:
    """Cuts received bytes into events.

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
        self._rest = b""

    def feed(self, received: bytes) -> list[Part]:
        """Return the events that the received bytes complete.

        :param received: bytes as read from the connection.
        """
        *events, self._rest = (self._rest + received).split(END_OF_EVENT)
        return [_parse(event) for event in events]
