"""Conversion between a node's knowledge and the messages on the wire."""

import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import model
from wasabilanding.peers import exchange_pb2

CONFIGURATION = "configuration"
RECORD = "record"
LISTING = "listing"
MAX_AGE_S = 3.0
MS_PER_S = 1000


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * MS_PER_S))


def _node(node: membership.Node, now: float) -> exchange_pb2.NodeState:
    return exchange_pb2.NodeState(
        name=node.name,
        incarnation=node.incarnation,
        failure_domain=node.failure_domain,
        address=node.address,
        leaving=node.leaving,
        age_ms=_age_ms(node.heard_at, now),
    )


def _own(table: membership.MemberTable) -> exchange_pb2.NodeState:
    own = dataclasses.replace(table.own, heard_at=0.0)
    return _node(own, 0.0)


def _others(
    table: membership.MemberTable, now: float
) -> list[exchange_pb2.NodeState]:
    return [
        _node(node, now)
        for node in table.others
        if now - node.heard_at <= MAX_AGE_S
    ]


def _reports(
    known: knowledge.Knowledge, now: float
) -> list[exchange_pb2.Report]:
    return [
        exchange_pb2.Report(
            vm=report.vm,
            state=report.state.value,
            replica_id=report.replica_id,
            epoch=report.epoch,
            running=report.running,
            queued=report.queued,
            leaving=report.leaving,
            age_ms=_age_ms(report.observed_at, now),
        )
        for report in known.reports.values()
        if now - report.observed_at <= MAX_AGE_S
    ]


def _revisions(
    known: knowledge.Knowledge,
) -> collections.abc.Iterator[exchange_pb2.DocumentRevision]:
    yield exchange_pb2.DocumentRevision(
        kind=CONFIGURATION, revision=known.configuration.revision
    )
    for record in known.records.values():
        yield exchange_pb2.DocumentRevision(
            kind=RECORD,
            failure_domain=record.failure_domain,
            revision=record.revision,
        )
    for listing in known.listings.values():
        yield exchange_pb2.DocumentRevision(
            kind=LISTING,
            failure_domain=listing.failure_domain,
            revision=listing.revision,
        )


def _content(
    known: knowledge.Knowledge, identity: exchange_pb2.DocumentRevision
) -> str:
    if identity.kind == CONFIGURATION:
        return model.encode(known.configuration)
    if identity.kind == RECORD:
        return model.encode(known.record(identity.failure_domain))
    return model.encode(known.listing(identity.failure_domain))


def _newer_documents(
    known: knowledge.Knowledge, request: exchange_pb2.ExchangeRequest
) -> collections.abc.Iterator[exchange_pb2.Document]:
    theirs = {(d.kind, d.failure_domain): d.revision for d in request.known}
    for identity in _revisions(known):
        key = (identity.kind, identity.failure_domain)
        if identity.revision > theirs.get(key, 0):
            content = _content(known, identity).encode()
            yield exchange_pb2.Document(identity=identity, content=content)


def make_request(
    table: membership.MemberTable,
    known: knowledge.Knowledge,
    now: float,
) -> exchange_pb2.ExchangeRequest:
    """Return what a node tells a peer.

    :param table: the nodes that it knows of.
    :param known: its knowledge.
    :param now: local monotonic time in seconds.
    """
    return exchange_pb2.ExchangeRequest(
        sender=_own(table),
        members=_others(table, now),
        reports=_reports(known, now),
        known=list(_revisions(known)),
    )


def answer_request(
    table: membership.MemberTable,
    known: knowledge.Knowledge,
    request: exchange_pb2.ExchangeRequest,
    now: float,
) -> exchange_pb2.ExchangeReply:
    """Learn from a peer's request and return the answer.

    :param table: the nodes that this node knows of.
    :param known: its knowledge.
    :param request: the peer's request.
    :param now: local monotonic time in seconds.
    """
    _learn(table, known, request, now)
    return exchange_pb2.ExchangeReply(
        sender=_own(table),
        members=_others(table, now),
        reports=_reports(known, now),
        documents=list(_newer_documents(known, request)),
    )


def apply_reply(
    table: membership.MemberTable,
    known: knowledge.Knowledge,
    reply: exchange_pb2.ExchangeReply,
    sent_at: float,
) -> None:
    """Learn from a peer's answer.

    :param table: the nodes that this node knows of.
    :param known: its knowledge.
    :param reply: the answer.
    :param sent_at: local monotonic time at which the request was sent; the
        answer's observations are counted from it, so never as too young.
    """
    _learn(table, known, reply, sent_at)
    for document in reply.documents:
        _learn_document(known, document)


def _learn(
    table: membership.MemberTable,
    known: knowledge.Knowledge,
    message: exchange_pb2.ExchangeRequest | exchange_pb2.ExchangeReply,
    now: float,
) -> None:
    for state in (message.sender, *message.members):
        table.learn(
            membership.Node(
                name=state.name,
                incarnation=state.incarnation,
                failure_domain=state.failure_domain,
                address=state.address,
                leaving=state.leaving,
                heard_at=now - state.age_ms / MS_PER_S,
            )
        )
    for report in message.reports:
        known.learn_report(
            model.VmReport(
                vm=report.vm,
                state=model.VmState(report.state),
                replica_id=report.replica_id,
                epoch=report.epoch,
                running=report.running,
                queued=report.queued,
                leaving=report.leaving,
                observed_at=now - report.age_ms / MS_PER_S,
            )
        )


def _learn_document(
    known: knowledge.Knowledge, document: exchange_pb2.Document
) -> None:
    kind = document.identity.kind
    if kind == CONFIGURATION:
        known.learn_configuration(
            model.decode(configuration.Configuration, document.content)
        )
    elif kind == RECORD:
        known.learn_record(model.decode(model.DomainRecord, document.content))
    elif kind == LISTING:
        known.learn_listing(
            model.decode(knowledge.VmListing, document.content)
        )
