"""Exchange of documents: compressed, identified by revision, validated.

Explanation
===========

A request carries a digest of all revisions that its sender knows. Only when
the callee's digest differs does the caller list its revisions, and the callee
replies with the documents that are newer. A document that does not match its
type, as from a peer that runs another version, is refused and that revision
is not requested again.
"""

import collections.abc
import dataclasses
import hashlib
import zlib

from wasabilanding import configuration
from wasabilanding import knowledge
from wasabilanding import model
from wasabilanding.peers import exchange_pb2

CONFIGURATION = "configuration"
RECORD = "record"
LISTING = "listing"
DIGEST_BYTES = 8
MAX_CONTENT_BYTES = 4_000_000


class RefusedDocument(ValueError):
    """A peer's document can't be used.

    :param identity: kind, failure domain and revision.
    :param cause: why the document was refused.
    """

    def __init__(
        self, identity: exchange_pb2.DocumentRevision, cause: str
    ) -> None:
        super().__init__(
            f"{identity.kind} {identity.failure_domain} revision "
            f"{identity.revision} refused: {cause}"
        )
        self.identity = identity


def revisions(
    known: knowledge.ClusterState,
) -> collections.abc.Iterator[exchange_pb2.DocumentRevision]:
    """Yield the revision of each known document.

    :param known: cluster state of the node.
    """
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


def digest(known: knowledge.ClusterState) -> int:
    """Return a 64-bit digest of all known revisions.

    :param known: cluster state of the node.
    """
    listed = sorted(
        (d.kind, d.failure_domain, d.revision) for d in revisions(known)
    )
    text = repr(listed).encode()
    hashed = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed, "big")


def _encode(
    known: knowledge.ClusterState, identity: exchange_pb2.DocumentRevision
) -> str:
    if identity.kind == CONFIGURATION:
        return model.encode(known.configuration)
    if identity.kind == RECORD:
        return model.encode(known.record(identity.failure_domain))
    return model.encode(known.listing(identity.failure_domain))


def newer_documents(
    known: knowledge.ClusterState,
    peer_revisions: collections.abc.Iterable[exchange_pb2.DocumentRevision],
) -> collections.abc.Iterator[exchange_pb2.Document]:
    """Yield the documents that are newer than a peer's.

    :param known: cluster state of the node.
    :param peer_revisions: revisions that the peer knows.
    """
    held = {(d.kind, d.failure_domain): d.revision for d in peer_revisions}
    for identity in revisions(known):
        key = (identity.kind, identity.failure_domain)
        if identity.revision > held.get(key, 0):
            content = zlib.compress(_encode(known, identity).encode())
            yield exchange_pb2.Document(identity=identity, content=content)


def merge_document(
    known: knowledge.ClusterState, document: exchange_pb2.Document
) -> bool:
    """Replace a document by a peer's if that is newer.

    :param known: cluster state of the node.
    :param document: the document.
    :returns: whether it was applied.
    :raises RefusedDocument: if it does not match its type or identity.
    """
    identity = document.identity
    text = _decompress(document)
    try:
        if identity.kind == CONFIGURATION:
            return _merge_configuration(known, identity, text)
        if identity.kind == RECORD:
            decoded = model.decode(model.DomainRecord, text)
            _check_identity(identity, decoded.failure_domain, decoded.revision)
            return known.learn_record(decoded)
        if identity.kind == LISTING:
            decoded = model.decode(knowledge.VmListing, text)
            _check_identity(identity, decoded.failure_domain, decoded.revision)
            return known.learn_listing(decoded)
    except model.InvalidDocument as error:
        raise RefusedDocument(identity, str(error)) from None
    raise RefusedDocument(identity, f"unknown document kind {identity.kind!r}")


def _decompress(document: exchange_pb2.Document) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(document.content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise RefusedDocument(document.identity, str(error)) from None
    if not decompressor.eof:
        raise RefusedDocument(
            document.identity,
            f"content truncated or over {MAX_CONTENT_BYTES} bytes",
        )
    return text


def _merge_configuration(
    known: knowledge.ClusterState,
    identity: exchange_pb2.DocumentRevision,
    text: bytes,
) -> bool:
    decoded = model.decode(configuration.Configuration, text)
    _check_identity(identity, "", decoded.revision)
    return known.learn_configuration(decoded)


def _check_identity(
    identity: exchange_pb2.DocumentRevision, domain: str, revision: int
) -> None:
    if (identity.failure_domain, identity.revision) != (domain, revision):
        raise RefusedDocument(
            identity, f"content is for {domain!r} revision {revision}"
        )


@dataclasses.dataclass
class RefusedRevisions:
    """Refused revisions, which are not requested again."""

    _highest: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )

    def add(self, identity: exchange_pb2.DocumentRevision) -> None:
        """Record a refused revision.

        :param identity: kind, failure domain and revision.
        """
        key = (identity.kind, identity.failure_domain)
        known = self._highest.get(key, 0)
        self._highest[key] = max(known, identity.revision)

    def known_or_refused(
        self, known: knowledge.ClusterState
    ) -> list[exchange_pb2.DocumentRevision]:
        """Return the highest known or refused revision of each document.

        :param known: cluster state of the node.
        """
        highest = {
            (d.kind, d.failure_domain): d.revision for d in revisions(known)
        }
        for key, revision in self._highest.items():
            highest[key] = max(highest.get(key, 0), revision)
        return [
            exchange_pb2.DocumentRevision(
                kind=kind, failure_domain=domain, revision=revision
            )
            for (kind, domain), revision in sorted(highest.items())
        ]
