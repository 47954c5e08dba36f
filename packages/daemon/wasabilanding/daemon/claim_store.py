"""Claims and answers in the platform's store.

Explanation
===========

Every key is attached to a lease that is never renewed, so that the store
deletes it when the lease expires. Keys written within a few minutes share a
lease: this costs each node one call per lease, and no calls to delete keys.
"""

import base64
import dataclasses
import hashlib
import zlib

import trio

from wasabilanding import claims
from wasabilanding import metadata
from wasabilanding import model

CLAIM_TTL_S = 24 * 3600.0
ANSWER_TTL_S = 900.0
LEASE_SHARING_PERIOD_S = 300.0
MAX_ANSWER_WRITES = 2
MAX_STORED_ANSWER_BYTES = 65_536


def claim_key(customer: str, idempotency_key: str) -> str:
    """Return the key of a claim in the store.

    :param customer: the customer; each has its own key space.
    :param idempotency_key: idempotency key given by the caller.
    """
    text = f"{customer}\0{idempotency_key}"
    return f"claims/{hashlib.blake2b(text.encode()).hexdigest()[:32]}"


def answer_key(token: str) -> str:
    """Return the key of an answer in the store.

    :param token: token of its claim.
    """
    return f"answers/{token}"


def pack_answer(payloads: list[bytes]) -> str:
    """Compress an answer to text.

    Payloads of one stream differ in a few words only, so they compress well.

    :param payloads: the answer.

    Examples
    ========

    >>> from wasabilanding.daemon import claim_store
    >>> claim_store.unpack_answer(claim_store.pack_answer([b"a", b"b"]))
    [b'a', b'b']
    """
    texts = [payload.decode() for payload in payloads]
    document = model.encode(texts, list[str]).encode()
    return base64.b85encode(zlib.compress(document)).decode()


def unpack_answer(packed: str) -> list[bytes]:
    """Decompress an answer that :func:`pack_answer` compressed.

    :param packed: the compressed text.
    """
    document = zlib.decompress(base64.b85decode(packed))
    return [text.encode() for text in model.decode(list[str], document)]


@dataclasses.dataclass(frozen=True)
class StoredClaim:
    """Claim and revision that the store holds for a key.

    :param claim: the claim, or None when the key does not exist.
    :param revision: its revision, or 0 when the key does not exist.
    """

    claim: claims.Claim | None
    revision: int


class SharedLease:
    """Lease shared by the keys written within a sharing period.

    :param store: client of the platform's service.
    :param min_ttl_s: minimum time to live of a key, in seconds.
    """

    def __init__(
        self, store: metadata.PlatformClient, min_ttl_s: float
    ) -> None:
        self._store = store
        self._min_ttl_s = min_ttl_s
        self._lock = trio.Lock()
        self._lease_id = ""
        self._use_until = float("-inf")

    async def current(self) -> str | metadata.Unavailable:
        """Return the identifier of the lease for a key written now."""
        async with self._lock:
            now = trio.current_time()
            if now < self._use_until:
                return self._lease_id
            granted = await self._store.grant_lease(
                self._min_ttl_s + LEASE_SHARING_PERIOD_S
            )
            if isinstance(granted, metadata.Unavailable):
                return granted
            self._lease_id = granted.lease_id
            self._use_until = now + LEASE_SHARING_PERIOD_S
            return self._lease_id

    def invalidate(self) -> None:
        """Request a new lease next time; this one may have expired."""
        self._use_until = float("-inf")


class ClaimStore:
    """Reads and writes claims and answers in the store.

    :param store: client of the platform's service.
    """

    def __init__(self, store: metadata.PlatformClient) -> None:
        self._store = store
        self._claim_lease = SharedLease(store, CLAIM_TTL_S)
        self._answer_lease = SharedLease(store, ANSWER_TTL_S)

    async def read(self, key: str) -> StoredClaim | metadata.Unavailable:
        """Read the claim under a key.

        :param key: the key.
        """
        found = await self._store.get(key)
        if isinstance(found, metadata.Unavailable):
            return found
        if isinstance(found, metadata.Missing):
            return StoredClaim(None, 0)
        claim = model.decode(claims.Claim, found.value)
        return StoredClaim(claim, found.revision)

    async def write(
        self, key: str, claim: claims.Claim, expected_revision: int
    ) -> (
        metadata.Written
        | metadata.Conflict
        | metadata.Unavailable
        | metadata.Unknown
    ):
        """Write a claim by compare-and-swap.

        :param key: the key.
        :param claim: the claim.
        :param expected_revision: revision that it replaces; 0 to create it.
        """
        lease = await self._claim_lease.current()
        if isinstance(lease, metadata.Unavailable):
            return lease
        result = await self._store.put(
            key, model.encode(claim), expected_revision, lease
        )
        if (
            isinstance(result, metadata.Conflict)
            and result.revision == expected_revision
        ):
            # The revision matched, so the lease has expired.
            self._claim_lease.invalidate()
        return result

    async def store_answer(self, token: str, payloads: list[bytes]) -> bool:
        """Store an answer for replays.

        :param token: token of its claim.
        :param payloads: the answer.
        :returns: whether the answer is known to be stored.
        """
        text = pack_answer(payloads)
        if len(text) > MAX_STORED_ANSWER_BYTES:
            return False
        lease = await self._answer_lease.current()
        if isinstance(lease, metadata.Unavailable):
            return False
        for _ in range(MAX_ANSWER_WRITES):
            result = await self._store.put(answer_key(token), text, 0, lease)
            if isinstance(result, metadata.Written):
                return True
            if isinstance(result, metadata.Conflict) and result.revision:
                # An earlier write of the same answer took effect.
                return True
        self._answer_lease.invalidate()
        return False

    async def answer(
        self, token: str
    ) -> list[bytes] | metadata.Missing | metadata.Unavailable:
        """Read a stored answer.

        :param token: token of its claim.
        """
        found = await self._store.get(answer_key(token))
        if isinstance(found, metadata.Entry):
            return unpack_answer(found.value)
        return found
