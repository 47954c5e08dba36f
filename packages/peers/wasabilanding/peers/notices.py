"""Notices of suspected requests on the wire.

Explanation
===========

Ages cross the wire, not times; they are rounded up, so that a notice looks
no younger from node to node. Nodes tell what they heard lately, and
everything to a peer that has heard nothing from them yet.
"""

import collections.abc

from wasabilanding import knowledge
from wasabilanding.peers import exchange_pb2
from wasabilanding.peers import observations
from wasabilanding import poison


def told_notices(
    known: knowledge.ClusterState, everything: bool, now: float
) -> list[exchange_pb2.Notice]:
    """Return the notices for a peer.

    :param known: knowledge of this node.
    :param everything: whether the peer has heard nothing from this node.
    :param now: local monotonic time in seconds.
    """
    return [
        exchange_pb2.Notice(
            kind=notice.kind.value,
            key=notice.fingerprint,
            content=notice.replica,
            age_ms=observations.age_ms(notice.at, now),
        )
        for notice in known.suspicions.gossip_entries(now, everything)
    ]


def learn_notices(
    known: knowledge.ClusterState,
    received: collections.abc.Iterable[exchange_pb2.Notice],
    now: float,
) -> int:
    """Learn notices of a peer.

    :param known: knowledge of this node.
    :param received: the notices.
    :param now: local monotonic time from which their ages count, seconds.
    :returns: how many could not be used.
    """
    unusable = 0
    for notice in received:
        try:
            kind = poison.NoticeKind(notice.kind)
        except ValueError:
            unusable += 1
            continue
        at = now - notice.age_ms / observations.MS_PER_S
        known.suspicions.merge(
            poison.Notice(kind, notice.key, notice.content, at), now
        )
    return unusable
