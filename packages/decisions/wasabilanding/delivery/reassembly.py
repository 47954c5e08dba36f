"""Reassembly of the parts of one answer."""

MAX_OUT_OF_ORDER_PARTS = 1024
UNKNOWN = -1


class PartReassembler:
    """Passes on each part once, in the order of the offsets."""

    def __init__(self) -> None:
        self._next = 0
        self._buffered: dict[int, bytes] = {}
        self._length = UNKNOWN

    @property
    def next_offset(self) -> int:
        """Offset of the next part, from which a stream is resumed."""
        return self._next

    @property
    def is_complete(self) -> bool:
        """Whether the stream has ended and no part is missing."""
        return self._length == self._next

    def accept(self, offset: int, data: bytes) -> list[bytes]:
        """Add a part and return the parts that can be passed on.

        While the buffer is full, parts after a gap are dropped; the resumed
        stream sends them again.

        :param offset: offset of the part in the stream.
        :param data: payload of the part.
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
        """Record the end of the stream.

        :param length: number of parts in the stream; without it, the parts
            received so far are assumed to be all.
        """
        if length == UNKNOWN:
            length = max(self._buffered, default=self._next - 1) + 1
        self._length = length
