"""Bounded buffer of log lines."""

import collections
import dataclasses

from wasabilanding.logs import kinds


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line in the buffer.

    :param number: position in the order of all lines.
    :param kind: its kind.
    :param data: the line, which ends with a line feed.
    """

    number: int
    kind: kinds.Kind
    data: bytes


class LineBuffer:
    """Lines that wait to be written, in their order.

    If there are too many, the oldest line of the lowest value is dropped.

    :param max_lines: most lines.
    :param max_bytes: most bytes of all lines together.
    """

    def __init__(self, max_lines: int, max_bytes: int) -> None:
        self._max_lines = max_lines
        self._max_bytes = max_bytes
        self._lines: dict[kinds.Kind, collections.deque[Line]] = {}
        self._next_number = 0
        self._count = 0
        self._size = 0

    @property
    def is_empty(self) -> bool:
        """Whether no line waits."""
        return not self._count

    def put(self, kind: kinds.Kind, data: bytes) -> list[kinds.Kind]:
        """Add a line and return the kinds of the lines that are dropped.

        :param kind: kind of the line.
        :param data: the line.

        Examples
        ========

        >>> from wasabilanding import logs
        >>> low, high = logs.Kind("low", 0), logs.Kind("high", 1)
        >>> lines = logs.LineBuffer(max_lines=1, max_bytes=100)
        >>> lines.put(high, b"a")
        []
        >>> [kind.name for kind in lines.put(low, b"b")]
        ['low']
        """
        if len(data) > self._max_bytes:
            return [kind]
        line = Line(self._next_number, kind, data)
        self._next_number += 1
        if kind not in self._lines:
            self._lines[kind] = collections.deque()
        self._lines[kind].append(line)
        self._count += 1
        self._size += len(data)
        dropped = []
        while self._count > self._max_lines or self._size > self._max_bytes:
            dropped.append(self._drop())
        return dropped

    def _drop(self) -> kinds.Kind:
        waiting = [kind for kind, lines in self._lines.items() if lines]
        kind = min(waiting, key=lambda kind: kind.value)
        self._remove_oldest(kind)
        return kind

    def _remove_oldest(self, kind: kinds.Kind) -> Line:
        line = self._lines[kind].popleft()
        self._count -= 1
        self._size -= len(line.data)
        return line

    def take(self, max_bytes: int) -> list[Line]:
        """Remove and return the first lines.

        :param max_bytes: most bytes of all of them together; a longer line
            is returned alone.
        """
        taken: list[Line] = []
        size = 0
        while self._count:
            first = min(
                (lines[0] for lines in self._lines.values() if lines),
                key=lambda line: line.number,
            )
            size += len(first.data)
            if taken and size > max_bytes:
                break
            taken.append(self._remove_oldest(first.kind))
        return taken
