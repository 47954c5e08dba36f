"""Structured logging with one JSON object per line."""

import logging
import sys

from wasabilanding import logs

DEBUG = logs.Kind("debug", 0)
INFO = logs.Kind("info", 1)
WARNING = logs.Kind("warning", 2)
KINDS = (DEBUG, INFO, WARNING)
QUIET_LOGGERS = ("httpx", "httpcore", "hpack", "trio-asyncio")


def kind_of(record: logging.LogRecord) -> logs.Kind:
    """Return the kind of a line.

    :param record: the line.
    """
    if record.levelno >= logging.WARNING:
        return WARNING
    return INFO if record.levelno >= logging.INFO else DEBUG


def configure_logging(
    node: str, failure_domain: str, level: str
) -> logs.LineHandler:
    """Send logs to standard error as JSON.

    :param node: name of the node, in every line.
    :param failure_domain: its failure domain, in every line.
    :param level: lowest level that is logged.
    :returns: the handler, which counts dropped lines.
    """
    formatter = logs.LineFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        {"node": node, "failure_domain": failure_domain},
    )
    handler = logs.LineHandler(
        logs.descriptor_of(sys.stderr), formatter, KINDS, kind_of
    )
    logs.install(handler, level, QUIET_LOGGERS)
    return handler
