"""Encoding and merging of notices about requests that may crash endpoints.

Explanation
===========

Messages carry ages instead of timestamps; they are rounded up, so that a
notice never gets newer as it passes from node to node. Nodes send recent
notices, and all notices to a peer that has received nothing from them yet.
"""

import collections.abc

from wasabilanding import knowledge
from wasabilanding.peers import exchange_pb2
from wasabilanding.peers import observations
from wasabilanding import poison


def notices_for_peer(
    known: knowledge.ClusterState, everything: bool, now: float
) -> list[exchange_pb2.Notice]:
    """Return the notices to send to a peer.

    :param known: cluster state of this node.
    :param everything: whether the peer has received nothing from this node.
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


def merge_notices(
    known: knowledge.ClusterState,
    received: collections.abc.Iterable[exchange_pb2.Notice],
    now: float,
) -> int:
    """Merge the notices of a peer.

    :param known: cluster state of this node.
    :param received: the notices.
    :param now: local monotonic time in seconds to which their ages refer.
    :returns: number of notices that could not be used.
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
