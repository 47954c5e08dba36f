"""Order and wholeness of the parts of one answer."""

MAX_OUT_OF_ORDER_PARTS = 1024
UNKNOWN = -1


class PartReassembler:
    """Lets each part through once, in the order of the offsets."""

    def __init__(self) -> None:
        self._next = 0
        self._buffered: dict[int, bytes] = {}
        self._length = UNKNOWN

    @property
    def next_offset(self) -> int:
        """Offset of the next part; a stream is resumed from it."""
        return self._next

    @property
    def is_complete(self) -> bool:
        """Whether the end was seen and no part before it is missing."""
        return self._length == self._next

    def accept(self, offset: int, data: bytes) -> list[bytes]:
        """Take a part and return those that can be passed on.

        A part far ahead of a gap is dropped: a resumed stream brings it
        again.

        :param offset: its place in the stream.
        :param data: its payload.
        """
        if offset != self._next:
            if (
                offset > self._next
                and len(self._buffered) < MAX_OUT_OF_ORDER_PARTS
            ):
                self._buffered[offset] = data
            return []
        ready = [data]
        self._next += 1
        while self._buffered and self._next in self._buffered:
            ready.append(self._buffered.pop(self._next))
            self._next += 1
        return ready

    def end(self, length: int = UNKNOWN) -> None:
        """Take the end of the stream.

        :param length: number of parts in the stream; without it, the parts
            that came so far are taken to be all.
        """
        if length == UNKNOWN:
            length = max(self._buffered, default=self._next - 1) + 1
        self._length = length
