"""Log handler that never waits for the reader of the log."""

import collections.abc
import logging
import os
import time
import typing

from wasabilanding.logs import drops as drops_module
from wasabilanding.logs import formatting
from wasabilanding.logs import kinds
from wasabilanding.logs import rate_limit
from wasabilanding.logs import writer


class LineHandler(logging.Handler):
    """Formats lines and passes those within their rate limit to a thread.

    :func:`logging.shutdown`, which runs when the interpreter exits, closes
    it and with it the thread.

    :param descriptor: file descriptor to write to.
    :param formatter: formats the lines.
    :param line_kinds: all kinds of lines; lines on dropped lines have the
        kind of the highest value.
    :param kind_of: returns the kind of a line; must not raise an exception.
    :param clock: returns monotonic time in seconds, for the rate limits.
    """

    def __init__(
        self,
        descriptor: int,
        formatter: formatting.LineFormatter,
        line_kinds: collections.abc.Sequence[kinds.Kind],
        kind_of: kinds.KindOf,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._formatter = formatter
        self._kind_of = kind_of
        self._limits = {
            kind: rate_limit.RateLimit(kind.rate, clock)
            for kind in line_kinds
            if kind.rate is not None
        }
        self._dropped_by_rate = 0
        self._drops = drops_module.Drops(line_kinds)
        self._writer = writer.Writer(
            descriptor,
            self._drops,
            max(line_kinds, key=lambda kind: kind.value),
            self._format_report,
        )

    @property
    def dropped(self) -> dict[drops_module.Labels, int]:
        """Number of dropped lines by reason and kind."""
        return self._drops.counts

    def emit(self, record: logging.LogRecord) -> None:
        """Put a line into the buffer, or count it as dropped.

        :param record: the line.
        """
        kind = self._kind_of(record)
        limit = self._limits.get(kind)
        if limit is not None:
            if not limit.allow():
                self._dropped_by_rate += 1
                self._writer.count_dropped(drops_module.RATE, kind)
                return
            if self._dropped_by_rate:
                record.dropped_before = self._dropped_by_rate
                self._dropped_by_rate = 0
        self._writer.put(kind, self._formatter.format_line(record))

    def close(self) -> None:
        """Write the lines that wait, within a bounded time, and stop."""
        self._writer.close()
        super().close()

    def _format_report(self, counts: dict[str, dict[str, int]]) -> bytes:
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": logging.getLevelName(logging.WARNING),
                "msg": "log lines were dropped",
                "dropped": counts,
            }
        )
        return self._formatter.format_line(record)


def descriptor_of(stream: typing.TextIO | None) -> int:
    """Return a stream's file descriptor.

    :param stream: the stream; None if it was closed when the process
        started, in which case lines are discarded.
    """
    if stream is None:
        return os.open(os.devnull, os.O_WRONLY)
    return stream.fileno()


def install(
    handler: LineHandler,
    level: str,
    quiet_loggers: collections.abc.Iterable[str],
) -> None:
    """Send the lines of all loggers to a handler.

    Parts of a record that no line shows are not collected.

    :param handler: the handler, which replaces all others.
    :param level: lowest level that is logged.
    :param quiet_loggers: loggers of which only warnings are logged.
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in quiet_loggers:
        logging.getLogger(name).setLevel(logging.WARNING)
