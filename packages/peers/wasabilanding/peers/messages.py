"""Building and handling of exchange requests and replies.

Explanation
===========

Each call uses these functions, which do no I/O: :func:`make_request` at the
caller, :func:`answer_request` at the callee and :func:`apply_reply` at the
caller. If the reply calls for it, a second call (:func:`make_followup`)
fetches the members that the caller can't resolve and newer documents.
"""

import collections.abc
import dataclasses
import re

from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding.peers import documents
from wasabilanding.peers import exchange_pb2
from wasabilanding.peers import notices
from wasabilanding.peers import observations

MEMBER_SAMPLE_SIZE = 3
ADDRESS_PATTERN = re.compile(r"^[^\s:/]+:[0-9]{1,5}$")


@dataclasses.dataclass(frozen=True)
class Cursor:
    """Position up to which this node has received a peer's journal.

    :param incarnation: incarnation of the peer; 0 before the first reply.
    :param position: position in the journal of that incarnation.
    """

    incarnation: int = 0
    position: int = 0


@dataclasses.dataclass(frozen=True)
class ReplyResult:
    """Result of applying a reply.

    :param peer: name of the peer.
    :param cursor: position up to which the peer's journal was received.
    :param informed: whether the peer has learned the current state.
    :param wanted_members: member keys that can't be resolved.
    :param documents_differ: whether the peer holds other revisions.
    :param refused: documents that can't be used.
    :param unusable: number of other entries that can't be used.
    """

    peer: str
    cursor: Cursor
    informed: bool = False
    wanted_members: tuple[int, ...] = ()
    documents_differ: bool = False
    refused: tuple[documents.RefusedDocument, ...] = ()
    unusable: int = 0

    @property
    def needs_followup(self) -> bool:
        """Whether a second call is needed for members or documents."""
        return self.documents_differ or bool(self.wanted_members)


def _encode_node(node: membership.Node, now: float) -> exchange_pb2.NodeState:
    return exchange_pb2.NodeState(
        name=node.name,
        incarnation=node.incarnation,
        failure_domain=node.failure_domain,
        address=node.address,
        leaving=node.leaving,
        age_ms=observations.age_ms(node.updated_at, now),
        heartbeat=node.heartbeat,
    )


def _encode_own_node(table: membership.MemberTable) -> exchange_pb2.NodeState:
    return _encode_node(table.own, table.own.updated_at)


def _encode_heartbeats(
    table: membership.MemberTable, now: float
) -> exchange_pb2.Heartbeats:
    own = table.own
    gossip_entries = [
        node
        for node in table.gossip_entries(now, own.failure_domain)
        if node.name != own.name
    ]
    return exchange_pb2.Heartbeats(
        keys=[membership.node_key(node) for node in gossip_entries],
        counts=[node.heartbeat for node in gossip_entries],
        ages_cs=[
            observations.age_cs(node.updated_at, now)
            for node in gossip_entries
        ],
    )


def make_request(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    now: float,
    cursor: Cursor = Cursor(),
) -> exchange_pb2.ExchangeRequest:
    """Return the request of a node to a peer.

    :param table: member table of the caller.
    :param known: cluster state of the caller.
    :param now: local monotonic time in seconds.
    :param cursor: position up to which it has the peer's journal.
    """
    return exchange_pb2.ExchangeRequest(
        sender=_encode_own_node(table),
        heartbeats=_encode_heartbeats(table, now),
        documents_digest=documents.digest(known),
        heard_position=cursor.position,
        heard_incarnation=cursor.incarnation,
        notices=notices.notices_for_peer(known, cursor.incarnation == 0, now),
    )


def make_followup(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    reply_result: ReplyResult,
    refused: documents.RefusedRevisions,
) -> exchange_pb2.ExchangeRequest:
    """Return the second request, for what the first reply lacked.

    :param table: member table of the caller.
    :param known: cluster state of the caller.
    :param reply_result: result of applying the first reply.
    :param refused: revisions that must not be requested again.
    """
    held = (
        refused.known_or_refused(known)
        if reply_result.documents_differ
        else []
    )
    return exchange_pb2.ExchangeRequest(
        sender=_encode_own_node(table),
        wanted_members=reply_result.wanted_members,
        documents_digest=documents.digest(known),
        known=held,
        heard_position=reply_result.cursor.position,
        heard_incarnation=reply_result.cursor.incarnation,
    )


def answer_request(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> exchange_pb2.ExchangeReply:
    """Merge a peer's request and return the reply.

    :param table: member table of this node.
    :param known: cluster state of this node.
    :param request: the peer's request.
    :param now: local monotonic time in seconds.
    """
    _merge_node(table, request.sender, now)
    _merge_heartbeats(table, request.heartbeats, now)
    notices.merge_notices(known, request.notices, now)
    own = table.own
    since = 0
    if request.heard_incarnation == own.incarnation:
        since = request.heard_position
    digest = documents.digest(known)
    vm_updates = observations.select_vm_updates(
        known, own.failure_domain, request.sender, since, now
    )
    reply = exchange_pb2.ExchangeReply(
        sender=_encode_own_node(table),
        heartbeats=_heartbeats_for_reply(table, request, now),
        members=_members_for_reply(table, request, now),
        reports=vm_updates.reports,
        whole_replicas=vm_updates.whole_replicas,
        documents_differ=digest != request.documents_digest,
        position=known.position,
        informed=known.informed,
        notices=notices.notices_for_peer(
            known, request.heard_incarnation != own.incarnation, now
        ),
    )
    if request.known:
        newer = documents.newer_documents(known, request.known)
        reply.documents.extend(newer)
    if known.last_store_contact is not None:
        reply.store_age_ms = observations.age_ms(known.last_store_contact, now)
    return reply


def _heartbeats_for_reply(
    table: membership.MemberTable,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> exchange_pb2.Heartbeats | None:
    if request.sender.failure_domain != table.own.failure_domain:
        return None
    return _encode_heartbeats(table, now)


def _members_for_reply(
    table: membership.MemberTable,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> list[exchange_pb2.NodeState]:
    own = table.own
    wanted = [table.resolve(key) for key in request.wanted_members]
    selected = {node.name: node for node in wanted if node}
    if request.sender.failure_domain != own.failure_domain:
        selected.update(_member_sample(table, own.failure_domain, now))
    else:
        selected.update(_remote_member_sample(table, now))
    selected.pop(own.name, None)
    return [_encode_node(node, now) for node in selected.values()]


def _member_sample(
    table: membership.MemberTable, failure_domain: str, now: float
) -> dict[str, membership.Node]:
    # The heartbeat counter rotates the sample, so that every member is
    # eventually sent without a source of randomness.
    nodes = [
        node
        for node in table.gossip_entries(now, failure_domain)
        if node.name != table.own.name
    ]
    start = table.own.heartbeat * MEMBER_SAMPLE_SIZE
    rotated = [
        nodes[(start + index) % len(nodes)]
        for index in range(min(MEMBER_SAMPLE_SIZE, len(nodes)))
    ]
    return {node.name: node for node in rotated}


def _remote_member_sample(
    table: membership.MemberTable, now: float
) -> dict[str, membership.Node]:
    own = table.own.failure_domain
    domains = sorted({n.failure_domain for n in table.live(now)} - {own})
    if not domains:
        return {}
    domain = domains[table.own.heartbeat % len(domains)]
    sample = _member_sample(table, domain, now)
    return dict(list(sample.items())[:1])


def apply_reply(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    reply: exchange_pb2.ExchangeReply,
    sent_at: float,
) -> ReplyResult:
    """Merge a peer's reply.

    :param table: member table of this node.
    :param known: cluster state of this node.
    :param reply: the reply.
    :param sent_at: local monotonic time at which the request was sent; the
        ages in the reply are subtracted from it, so that network delay does
        not make observations look newer than they are.
    :returns: the result.
    """
    unusable = 0
    for state in (reply.sender, *reply.members):
        unusable += not _merge_node(table, state, sent_at)
    wanted = _merge_heartbeats(table, reply.heartbeats, sent_at)
    # Decoding whole replicas needs the records, so documents come first.
    unusable += notices.merge_notices(known, reply.notices, sent_at)
    refused = tuple(_merge_documents(known, reply.documents))
    unusable += observations.merge_reports(known, reply, sent_at)
    if reply.HasField("store_age_ms"):
        age_s = reply.store_age_ms / observations.MS_PER_S
        known.record_store_contact(sent_at - age_s)
    return ReplyResult(
        peer=reply.sender.name,
        cursor=Cursor(reply.sender.incarnation, reply.position),
        informed=reply.informed,
        wanted_members=wanted,
        documents_differ=reply.documents_differ,
        refused=refused,
        unusable=unusable,
    )


def _merge_documents(
    known: knowledge.ClusterState,
    received: collections.abc.Iterable[exchange_pb2.Document],
) -> collections.abc.Iterator[documents.RefusedDocument]:
    for document in received:
        try:
            documents.merge_document(known, document)
        except documents.RefusedDocument as error:
            yield error


def _is_valid_address(text: str) -> bool:
    if not ADDRESS_PATTERN.match(text):
        return False
    return 0 < int(text.rpartition(":")[2]) <= model.MAX_PORT


def _merge_node(
    table: membership.MemberTable, state: exchange_pb2.NodeState, now: float
) -> bool:
    if not state.name or not _is_valid_address(state.address):
        return False
    table.learn(
        membership.Node(
            name=state.name,
            incarnation=state.incarnation,
            failure_domain=state.failure_domain,
            address=state.address,
            leaving=state.leaving,
            updated_at=now - state.age_ms / observations.MS_PER_S,
            heartbeat=state.heartbeat,
        )
    )
    return True


def _merge_heartbeats(
    table: membership.MemberTable,
    heartbeats: exchange_pb2.Heartbeats,
    now: float,
) -> tuple[int, ...]:
    columns = zip(heartbeats.keys, heartbeats.counts, heartbeats.ages_cs)
    return tuple(
        key
        for key, count, age in columns
        if not table.learn_heartbeat(
            key, count, now - age / observations.CS_PER_S
        )
    )
