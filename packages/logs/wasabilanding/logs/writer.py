"""Thread that writes log lines to a file descriptor."""

import collections.abc
import contextlib
import os
import select
import threading
import time

from wasabilanding.logs import drops as drops_module
from wasabilanding.logs import kinds
from wasabilanding.logs import line_buffer

MAX_LINES = 1000
MAX_BYTES = 512 * 1024
# A pipe takes this many bytes (PIPE_BUF) as a whole or not at all, so that
# no line is torn if the process ends while nobody reads.
BATCH_BYTES = select.PIPE_BUF
# Lines of this time are written together, as each wake-up costs processor
# time.
WRITE_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 0.3
LINE_FEED = b"\n"

# Formats the line on dropped lines from their counts by reason and kind.
FormatReport = collections.abc.Callable[[dict[str, dict[str, int]]], bytes]


class Writer:
    """Buffer of lines and the thread that writes them.

    The thread writes to the descriptor itself: the lock of a buffered file
    would be held while a write blocks, and the interpreter needs that lock
    in order to exit. It waits without a timeout while nothing is to be
    written.

    :param descriptor: file descriptor to write to.
    :param drops: counts dropped lines.
    :param report_kind: kind of the lines on dropped lines.
    :param format_report: formats such a line.
    """

    def __init__(
        self,
        descriptor: int,
        drops: drops_module.Drops,
        report_kind: kinds.Kind,
        format_report: FormatReport,
    ) -> None:
        self._descriptor = descriptor
        self._drops = drops
        self._report_kind = report_kind
        self._format_report = format_report
        self._lines = line_buffer.LineBuffer(MAX_LINES, MAX_BYTES)
        self._rest = b""
        self._lock = threading.RLock()
        self._condition = threading.Condition(self._lock)
        self._is_idle = False
        self._is_closing = False
        self._is_report_wanted = False
        self._report_at = time.monotonic()
        self._thread = threading.Thread(
            target=self._run, name="log writer", daemon=True
        )
        self._thread.start()

    def put(self, kind: kinds.Kind, data: bytes) -> None:
        """Add a line to the buffer; never waits for the reader.

        :param kind: kind of the line.
        :param data: the line, which ends with a line feed.
        """
        with self._lock:
            for dropped in self._lines.put(kind, data):
                self._count_dropped(drops_module.BUFFER, dropped)
            self._wake()

    def count_dropped(self, reason: str, kind: kinds.Kind) -> None:
        """Count a line that was dropped before it got here.

        :param reason: why it was dropped.
        :param kind: its kind.
        """
        with self._lock:
            self._count_dropped(reason, kind)

    def _count_dropped(self, reason: str, kind: kinds.Kind) -> None:
        self._drops.add(reason, kind)
        if not self._is_report_wanted:
            self._is_report_wanted = True
            self._wake()

    def _wake(self) -> None:
        if self._is_idle:
            self._is_idle = False
            self._condition.notify()

    def close(self) -> None:
        """Write the lines that wait, within a bounded time, and stop."""
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while self._wait_for_lines():
            self._write_lines()
            with self._condition:
                if not self._is_closing:
                    self._condition.wait(WRITE_INTERVAL_S)

    def _wait_for_lines(self) -> bool:
        """Return whether there are lines to write before the thread ends."""
        with self._condition:
            while True:
                wait_s = self._report_wait_s()
                if wait_s is not None and wait_s <= 0:
                    self._put_report()
                if not self._lines.is_empty:
                    return True
                if self._is_closing:
                    return False
                self._is_idle = True
                self._condition.wait(wait_s)
                self._is_idle = False

    def _report_wait_s(self) -> float | None:
        """Return the seconds until a report is due, or None for no report."""
        if not self._is_report_wanted:
            return None
        if self._is_closing:
            return 0.0
        return self._report_at - time.monotonic()

    def _put_report(self) -> None:
        self._is_report_wanted = False
        self._report_at = time.monotonic() + REPORT_INTERVAL_S
        counts = self._drops.take_unreported()
        data = self._format_report(counts)
        for dropped in self._lines.put(self._report_kind, data):
            self._drops.add(drops_module.BUFFER, dropped)

    def _write_lines(self) -> None:
        while True:
            with self._lock:
                lines = self._lines.take(BATCH_BYTES)
            if not lines:
                return
            self._write_batch(lines)

    def _write_batch(self, lines: list[line_buffer.Line]) -> None:
        """Write lines; after an error, drop those that were not begun.

        The rest of a line that was begun is written before the next batch.
        """
        data = self._rest + b"".join(line.data for line in lines)
        written = 0
        with contextlib.suppress(OSError):
            for size in self._write_parts(data):
                written += size
        unwritten = data[written:]
        is_torn = bool(self._rest)
        if written:
            is_torn = not data.endswith(LINE_FEED, 0, written)
        self._rest = b""
        if unwritten and is_torn:
            self._rest = unwritten[: unwritten.index(LINE_FEED) + 1]
        lost = unwritten.count(LINE_FEED, len(self._rest))
        for line in lines[len(lines) - lost :]:
            self._drops.add(drops_module.WRITE, line.kind)

    def _write_parts(self, data: bytes) -> collections.abc.Iterator[int]:
        """Yield the size of each part that the descriptor has taken."""
        remaining = memoryview(data)
        while remaining:
            try:
                size = os.write(self._descriptor, remaining)
            except BlockingIOError:
                self._wait_until_writable()
                continue
            yield size
            remaining = remaining[size:]

    def _wait_until_writable(self) -> None:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll()
