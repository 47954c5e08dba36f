"""Structured, rate-limited logs: one JSON object per line."""

import logging
import sys
import time

import pythonjsonlogger.json

LINES_PER_S = 60
BURST_LINES = 200


class RateLimitFilter(logging.Filter):
    """Drops lines above a rate and records how many were dropped.

    Warnings and errors always pass.

    :param per_s: allowed lines per second.
    :param burst: allowed lines in a burst.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
        clock=time.monotonic,
    ) -> None:
        super().__init__()
        self._per_s = per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_at = clock()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line.

        :param record: the line.
        """
        if record.levelno >= logging.WARNING:
            return True
        now = self._clock()
        tokens = self._tokens + (now - self._filled_at) * self._per_s
        self._tokens = min(self._burst, tokens)
        self._filled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            record.dropped_before = self._dropped
            self._dropped = 0
        return True


def configure_logging(node: str, failure_domain: str, level: str) -> None:
    """Write logs to standard output as JSON.

    :param node: name of the node, added to every line.
    :param failure_domain: its failure domain, added to every line.
    :param level: lowest level that is logged.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        pythonjsonlogger.json.JsonFormatter(
            "%(created)f %(levelname)s %(name)s %(message)s",
            static_fields={"node": node, "failure_domain": failure_domain},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("httpx", "httpcore", "hypercorn.error"):
        logging.getLogger(name).setLevel(logging.WARNING)
