"""Requests of many small parts, of which only a few are read at a time.

Explanation
===========

The time and memory of a head depend on the number of its lines rather than on
its size, and those of a body in chunks on the number of chunks. A request of
more parts than ordinary ones have needs a place before more of it is passed to
the parser, and keeps the place to its end. What waits for a place stays in the
buffers of the kernel.
"""

import trio

# Lines of a head; ordinary requests have fewer.
ORDINARY_LINES = 128
# A read of a body has many small chunks with more lines and with fewer bytes
# for each of them.
CHUNK_LINES = 128
BYTES_PER_LINE = 32
END_OF_HEAD = b"\r\n\r\n"
DEFAULT_PLACES = 32


class ParsingShare:
    """Places for requests of many small parts.

    :param places: their number.
    """

    def __init__(self, places: int = DEFAULT_PLACES) -> None:
        self._places = trio.Semaphore(places, max_value=places)

    async def take(self, until: float) -> bool:
        """Wait for a place; return whether there was one in time.

        :param until: local monotonic time in seconds.
        """
        with trio.move_on_at(until) as scope:
            await self._places.acquire()
        return not scope.cancelled_caught

    def leave(self) -> None:
        """Give a place back."""
        self._places.release()


class RequestParts:
    """Parts of one request on a connection.

    :param share: places for requests of many parts.
    """

    def __init__(self, share: ParsingShare) -> None:
        self._share = share
        self._lines = 0
        self._tail = b""
        self._is_head_read = False
        self.has_place = False
        # Whether its body arrives in chunks.
        self.is_chunked = False
        # Whether it has been read to its end.
        self.is_complete = False

    def count(self, data: bytes) -> bool:
        """Count what has arrived; return whether a place is needed for it.

        :param data: bytes that have arrived.
        """
        if self.has_place:
            return False
        if self._is_head_read:
            lines = data.count(b"\n") if self.is_chunked else 0
            return lines > max(CHUNK_LINES, len(data) // BYTES_PER_LINE)
        seen = self._tail + data
        end = seen.find(END_OF_HEAD)
        self._is_head_read = end >= 0
        self._lines += data.count(b"\n", 0, end if end >= 0 else len(data))
        self._tail = seen[-len(END_OF_HEAD) + 1 :]
        return self._lines > ORDINARY_LINES

    async def take_place(self, until: float) -> bool:
        """Wait for a place; return whether there was one in time.

        :param until: local monotonic time in seconds.
        """
        self.has_place = await self._share.take(until)
        return self.has_place

    def end(self) -> None:
        """Give the place back."""
        if self.has_place:
            self._share.leave()
        self.has_place = False
