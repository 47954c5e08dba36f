"""Steps for datagrams that are not wholly understood."""

import logging

import behave

from wasabilanding.gateway import datagrams

CONTENTS = {
    "a new kind": b'{"sender": "n9", "hints": [], "replies": [{"kind": 1}]}',
    "no JSON": b"\xff",
    "known fields": b'{"sender": "n9", "hints": []}',
}


class _Records(logging.Handler):
    """Keeps the logged records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


@behave.when(
    "{senders:d} nodes send {count:d} datagrams with {content} each, "
    "{interval:g} s apart"
)
def send(context, senders, count, content, interval):
    """Read the datagrams of all nodes in turn."""
    handler = _Records()
    logger = logging.getLogger(datagrams.__name__)
    logger.addHandler(handler)
    reader = datagrams.DatagramReader()
    for number in range(count):
        for sender in range(senders):
            address = (f"10.0.0.{sender}", 1)
            reader.read(CONTENTS[content], address, number * interval)
    logger.removeHandler(handler)
    context.records = handler.records


@behave.then(
    "{lines:d} lines are logged, the last of which counts {unlogged:d} others"
)
def check_lines(context, lines, unlogged):
    """Compare the lines."""
    texts = [record.getMessage() for record in context.records]
    assert len(texts) == lines, texts
    if texts:
        assert f" {unlogged} others" in texts[-1], texts
