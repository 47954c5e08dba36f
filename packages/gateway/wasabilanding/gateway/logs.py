"""Structured logs: which lines of a gateway have which limit and value."""

import logging
import sys

from wasabilanding import logs

RATE = logs.Rate(per_s=60, burst=200)
# Requests that were answered, and lines for debugging.
ANSWERED = logs.Kind("answered", 0, RATE)
# Orders, reports and hints.
DETAIL = logs.Kind("detail", 1, RATE)
# Other lines on requests: attempts that failed, ends with another answer.
FAILED = logs.Kind("failed", 1, RATE)
# Requests whose caller did not get a complete answer.
INCOMPLETE = logs.Kind("incomplete", 2, RATE)
# State of the process, of the store and of leases.
STATE = logs.Kind("state", 2, RATE)
WARNING = logs.Kind("warning", 3)
KINDS = (ANSWERED, DETAIL, FAILED, INCOMPLETE, STATE, WARNING)
STATE_LOGGERS = frozenset(
    f"wasabilanding.gateway.{name}"
    for name in ("cluster_view", "lease", "node", "store_watch")
)
QUIET_LOGGERS = ("httpx", "httpcore", "hypercorn.error")
SERVER_ERROR_STATUS = 500


def kind_of(record: logging.LogRecord) -> logs.Kind:
    """Return the kind of a line.

    :param record: the line.
    """
    if record.levelno >= logging.WARNING:
        return WARNING
    if record.levelno < logging.INFO:
        return ANSWERED
    if "request" not in vars(record):
        return STATE if record.name in STATE_LOGGERS else DETAIL
    if vars(record).get("whole") is False:
        return INCOMPLETE
    return ANSWERED if _is_success(record) else FAILED


def _is_success(record: logging.LogRecord) -> bool:
    if vars(record).get("reason") != "answered":
        return False
    # The message of an end has the status as its only argument.
    match record.args:
        case (int(status),):
            return status < SERVER_ERROR_STATUS
    return True


def configure_logging(
    node: str, failure_domain: str, level: str
) -> logs.LineHandler:
    """Write logs to standard output as JSON.

    :param node: name of the node, added to every line.
    :param failure_domain: its failure domain, added to every line.
    :param level: lowest level that is logged.
    :returns: the handler, which counts dropped lines.
    """
    formatter = logs.LineFormatter(
        "%(created)f %(levelname)s %(name)s %(message)s",
        {"node": node, "failure_domain": failure_domain},
    )
    handler = logs.LineHandler(
        logs.descriptor_of(sys.stdout), formatter, KINDS, kind_of
    )
    logs.install(handler, level, QUIET_LOGGERS)
    return handler
