"""Reads datagrams of nodes whose build may be older or newer than this one.

Explanation
===========

A field that this build does not know is ignored. A message of a kind that it
does not know, or with a value that it does not accept, is left out, and the
others of the datagram are applied. Changes of the store are left out as a
whole, as a view that misses one of them would be wrong; the node reads the
store then.
"""

import collections
import dataclasses
import logging

from wasabilanding.gateway import compression
from wasabilanding.gateway import hint_messages
from wasabilanding import model

EACH = model.Each.INDEX
INDEPENDENT_PARTS = (
    ("hints", EACH),
    ("hints", EACH, "leaving", EACH),
    ("hints", EACH, "crashes", EACH),
    ("hints", EACH, "limits", EACH),
    ("hints", EACH, "cold", EACH),
    ("changes",),
    ("questions", EACH),
    ("replies", EACH),
    ("evacuations", EACH),
)
# Nodes of another build may send such datagrams many times a second for as
# long as an upgrade takes.
LOG_INTERVAL_S = 10.0
# Senders whose last line is remembered.
MAX_SENDERS = 1024

_LOG = logging.getLogger(__name__)
Address = tuple[str, int]


@dataclasses.dataclass
class _IgnoredDatagrams:
    """Invalid datagrams of one sender.

    :param logged_at: local monotonic time in seconds of the last line.
    :param count: datagrams since then.
    """

    logged_at: float
    count: int = 0


class DatagramReader:
    """Decodes datagrams, and logs what it leaves out."""

    def __init__(self) -> None:
        self._ignored: collections.OrderedDict[Address, _IgnoredDatagrams] = (
            collections.OrderedDict()
        )

    def read(
        self, data: bytes, sender: Address, now: float
    ) -> hint_messages.HintBatch | None:
        """Return the content of a datagram; None if it is invalid.

        :param data: the datagram.
        :param sender: address of its sender.
        :param now: local monotonic time in seconds.
        """
        try:
            batch, mistakes = model.decode_parts(
                hint_messages.HintBatch,
                compression.decompress(data),
                INDEPENDENT_PARTS,
            )
        except (compression.InvalidData, model.InvalidDocument) as error:
            self._log("datagram", sender, str(error), now)
            return None
        if mistakes:
            text = "; ".join(map(str, mistakes))
            self._log("part of a datagram", sender, text, now)
        return batch

    def _log(self, what: str, sender: Address, text: str, now: float) -> None:
        known = self._ignored.get(sender)
        if known is not None and now - known.logged_at < LOG_INTERVAL_S:
            known.count += 1
            return
        unlogged = known.count if known is not None else 0
        self._ignored[sender] = _IgnoredDatagrams(now)
        self._ignored.move_to_end(sender)
        if len(self._ignored) > MAX_SENDERS:
            self._ignored.popitem(last=False)
        _LOG.info(
            "invalid %s from %s:%d ignored, %d others since the last line: %s",
            what,
            *sender,
            unlogged,
            text,
        )
