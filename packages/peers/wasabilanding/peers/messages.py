"""Requests and answers of the exchange, made and applied.

Explanation
===========

Each call goes through these pure functions, in the daemon as in tests:
:func:`make_request` at the caller, :func:`answer_request` at the callee,
:func:`apply_reply` at the caller again. When the answer says so, a second
call (:func:`make_followup`) fetches the members that the caller can't
resolve and the documents that are newer.
"""

import collections.abc
import dataclasses
import re

from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding.peers import documents
from wasabilanding.peers import exchange_pb2
from wasabilanding.peers import notices
from wasabilanding.peers import observations

TOLD_REMOTE_MEMBERS = 3
ADDRESS = re.compile(r"^[^\s:/]+:[0-9]{1,5}$")
MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class Cursor:
    """How far this node has heard a peer.

    :param incarnation: incarnation of the peer.
    :param position: position in its journal.
    """

    incarnation: int = 0
    position: int = 0


@dataclasses.dataclass(frozen=True)
class Learned:
    """What came of an answer.

    :param peer: name of the peer.
    :param cursor: how far the peer was heard.
    :param informed: whether the peer has heard what stands.
    :param wanted_members: keys that can't be resolved.
    :param documents_differ: whether the peer holds other revisions.
    :param refused: documents that can't be used.
    :param unusable: other entries that can't be used.
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
        """Whether a second call would bring more."""
        return self.documents_differ or bool(self.wanted_members)


def _state(node: membership.Node, now: float) -> exchange_pb2.NodeState:
    return exchange_pb2.NodeState(
        name=node.name,
        incarnation=node.incarnation,
        failure_domain=node.failure_domain,
        address=node.address,
        leaving=node.leaving,
        age_ms=observations.age_ms(node.updated_at, now),
        heartbeat=node.heartbeat,
    )


def _own_state(table: membership.MemberTable) -> exchange_pb2.NodeState:
    return _state(table.own, table.own.updated_at)


def _heartbeats(
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
    """Return what a node asks a peer.

    :param table: the nodes that it knows of.
    :param known: its knowledge.
    :param now: local monotonic time in seconds.
    :param cursor: how far it has heard the peer.
    """
    return exchange_pb2.ExchangeRequest(
        sender=_own_state(table),
        heartbeats=_heartbeats(table, now),
        documents_digest=documents.digest(known),
        heard_position=cursor.position,
        heard_incarnation=cursor.incarnation,
        notices=notices.told_notices(known, cursor.incarnation == 0, now),
    )


def make_followup(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    learned: Learned,
    refused: documents.RefusedRevisions,
) -> exchange_pb2.ExchangeRequest:
    """Return the second request, for what the first answer lacked.

    :param table: the nodes that the caller knows of.
    :param known: its knowledge.
    :param learned: what came of the first answer.
    :param refused: documents that it does not ask for again.
    """
    held = refused.held(known) if learned.documents_differ else []
    return exchange_pb2.ExchangeRequest(
        sender=_own_state(table),
        wanted_members=learned.wanted_members,
        documents_digest=documents.digest(known),
        known=held,
        heard_position=learned.cursor.position,
        heard_incarnation=learned.cursor.incarnation,
    )


def answer_request(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> exchange_pb2.ExchangeReply:
    """Learn from a peer's request and return the answer.

    :param table: the nodes that this node knows of.
    :param known: its knowledge.
    :param request: the peer's request.
    :param now: local monotonic time in seconds.
    """
    _learn_state(table, request.sender, now)
    _learn_heartbeats(table, request.heartbeats, now)
    notices.learn_notices(known, request.notices, now)
    own = table.own
    since = 0
    if request.heard_incarnation == own.incarnation:
        since = request.heard_position
    digest = documents.digest(known)
    told = observations.tell(
        known, own.failure_domain, request.sender, since, now
    )
    reply = exchange_pb2.ExchangeReply(
        sender=_own_state(table),
        heartbeats=_told_heartbeats(table, request, now),
        members=_told_members(table, request, now),
        reports=told.reports,
        whole_replicas=told.whole_replicas,
        documents_differ=digest != request.documents_digest,
        position=known.position,
        informed=known.informed,
        notices=notices.told_notices(
            known, request.heard_incarnation != own.incarnation, now
        ),
    )
    if request.known:
        newer = documents.newer_documents(known, request.known)
        reply.documents.extend(newer)
    if known.last_store_contact is not None:
        reply.store_age_ms = observations.age_ms(known.last_store_contact, now)
    return reply


def _told_heartbeats(
    table: membership.MemberTable,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> exchange_pb2.Heartbeats | None:
    if request.sender.failure_domain != table.own.failure_domain:
        return None
    return _heartbeats(table, now)


def _told_members(
    table: membership.MemberTable,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> list[exchange_pb2.NodeState]:
    own = table.own
    wanted = [table.resolve(key) for key in request.wanted_members]
    told = {node.name: node for node in wanted if node}
    if request.sender.failure_domain != own.failure_domain:
        told.update(_sample(table, own.failure_domain, now))
    else:
        told.update(_remote_sample(table, now))
    told.pop(own.name, None)
    return [_state(node, now) for node in told.values()]


def _sample(
    table: membership.MemberTable, failure_domain: str, now: float
) -> dict[str, membership.Node]:
    # The members that fall to this heartbeat; they change by turns, so all
    # are told in time without a source of randomness.
    nodes = [
        node
        for node in table.gossip_entries(now, failure_domain)
        if node.name != table.own.name
    ]
    start = table.own.heartbeat * TOLD_REMOTE_MEMBERS
    turn = [
        nodes[(start + index) % len(nodes)]
        for index in range(min(TOLD_REMOTE_MEMBERS, len(nodes)))
    ]
    return {node.name: node for node in turn}


def _remote_sample(
    table: membership.MemberTable, now: float
) -> dict[str, membership.Node]:
    own = table.own.failure_domain
    domains = sorted({n.failure_domain for n in table.live(now)} - {own})
    if not domains:
        return {}
    domain = domains[table.own.heartbeat % len(domains)]
    sample = _sample(table, domain, now)
    return dict(list(sample.items())[:1])


def apply_reply(
    table: membership.MemberTable,
    known: knowledge.ClusterState,
    reply: exchange_pb2.ExchangeReply,
    sent_at: float,
) -> Learned:
    """Learn from a peer's answer.

    :param table: the nodes that this node knows of.
    :param known: its knowledge.
    :param reply: the answer.
    :param sent_at: local monotonic time at which the request was sent; the
        answer's observations are counted from it, so never as too young.
    :returns: what came of it.
    """
    unusable = 0
    for state in (reply.sender, *reply.members):
        unusable += not _learn_state(table, state, sent_at)
    wanted = _learn_heartbeats(table, reply.heartbeats, sent_at)
    # Whole replicas are told apart by the records, so these come first.
    unusable += notices.learn_notices(known, reply.notices, sent_at)
    refused = tuple(_learn_documents(known, reply.documents))
    unusable += observations.learn_reports(known, reply, sent_at)
    if reply.HasField("store_age_ms"):
        age_s = reply.store_age_ms / observations.MS_PER_S
        known.record_store_contact(sent_at - age_s)
    return Learned(
        peer=reply.sender.name,
        cursor=Cursor(reply.sender.incarnation, reply.position),
        informed=reply.informed,
        wanted_members=wanted,
        documents_differ=reply.documents_differ,
        refused=refused,
        unusable=unusable,
    )


def _learn_documents(
    known: knowledge.ClusterState,
    received: collections.abc.Iterable[exchange_pb2.Document],
) -> collections.abc.Iterator[documents.RefusedDocument]:
    for document in received:
        try:
            documents.learn_document(known, document)
        except documents.RefusedDocument as error:
            yield error


def _is_address(text: str) -> bool:
    if not ADDRESS.match(text):
        return False
    return 0 < int(text.rpartition(":")[2]) <= MAX_PORT


def _learn_state(
    table: membership.MemberTable, state: exchange_pb2.NodeState, now: float
) -> bool:
    if not state.name or not _is_address(state.address):
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


def _learn_heartbeats(
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
