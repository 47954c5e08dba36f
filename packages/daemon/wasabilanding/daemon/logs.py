"""Structured logging with one JSON object per line."""

import logging
import sys

import pythonjsonlogger.json


def configure_logging(node: str, failure_domain: str, level: str) -> None:
    """Send logs to standard error as JSON.

    :param node: name of the node, in every line.
    :param failure_domain: its failure domain, in every line.
    :param level: lowest level that is logged.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        pythonjsonlogger.json.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={
                "node": node,
                "failure_domain": failure_domain,
            },
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in ("httpx", "httpcore", "hpack", "trio-asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)
