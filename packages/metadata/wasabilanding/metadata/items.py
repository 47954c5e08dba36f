"""HTTP client of the platform's items: prefixes, watches, batches of writes.

It uses this project's own HTTP API. Values are encoded as text; all calls
share the back-off of :mod:`wasabilanding.metadata.calls`.
"""

import dataclasses
import random
import typing

import httpx
import trio

from wasabilanding.metadata import answers
from wasabilanding.metadata import calls
from wasabilanding.metadata import results
from wasabilanding import model

WATCH_MARGIN_S = 1.0
MAX_BACKOFF_S = 0.8
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
ERA_HEADER = "X-Store-Era"


@dataclasses.dataclass(frozen=True)
class ItemBody:
    """An item or its removal.

    :param key: the key.
    :param revision: revision that the change created.
    :param value: the text; None when the key was removed.
    """

    key: str
    revision: int
    value: str | None = None


@dataclasses.dataclass(frozen=True)
class ItemsBody:
    """Items, or changes in order.

    :param items: the items.
    :param revision: revision of the store that they reflect.
    """

    items: tuple[ItemBody, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class WritesBody:
    """An atomic batch of writes.

    :param values: texts by key.
    :param lease_id: lease whose end removes the keys; empty for none.
    :param absent: keys that must not exist.
    :param expected: revisions that keys must have.
    :param removed: keys to remove.
    """

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    lease_id: str = ""
    absent: tuple[str, ...] = ()
    expected: dict[str, int] = dataclasses.field(default_factory=dict)
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class _LeaseBody:
    lease_id: str


@dataclasses.dataclass(frozen=True)
class _RevisionBody:
    revision: int


def _decode_event(body: ItemBody) -> results.Item | results.Removal:
    if body.value is None:
        return results.Removal(body.key, body.revision)
    return results.Item(body.key, body.value.encode(), body.revision)


class ItemStore:
    """Client of the platform's items; a context manager.

    :param url: base URL of the service.
    :param transport: replaces the network in tests.
    :param rng: random number generator of the back-off.
    :param count: counts each call by operation and result.
    :param note_era: called with each newer era of the store.
    """

    def __init__(
        self,
        url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        rng: random.Random | None = None,
        count: calls.Count = calls.count_nothing,
        note_era: calls.NoteEra = calls.ignore_era,
    ) -> None:
        # Plain HTTP needs no CA certificates, which are slow to load.
        network = transport or httpx.AsyncHTTPTransport(verify=False)
        self._calls = calls.BackoffSession(
            url, network, rng, count, MAX_BACKOFF_S, ERA_HEADER, note_era
        )

    async def __aenter__(self) -> "ItemStore":
        await self._calls.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._calls.__aexit__(*error)

    @property
    def latest_era(self) -> model.Era:
        """Newest era of the store that an answer has stated."""
        return self._calls.latest_era

    async def read_all(
        self, prefix: str
    ) -> results.Listing | results.Unavailable:
        """Read all items under a prefix.

        :param prefix: the prefix.
        """
        outcome = await self._calls.send(
            "items", "GET", "/v1/items", params={"prefix": prefix}
        )
        body = answers.decode_body(ItemsBody, outcome)
        if isinstance(body, results.Unavailable):
            return body
        return results.Listing(
            tuple(map(_decode_event, body.items)),
            body.revision,
            self._calls.era_of(outcome),
        )

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        is_probe: bool = False,
    ) -> results.Changes | results.HistoryLost | results.Unavailable:
        """Wait for changes under a prefix.

        :param prefix: the prefix.
        :param after: revision that is already known.
        :param wait_s: longest wait in seconds.
        :param is_probe: whether the call is sent in spite of the back-off,
            as the caller limits its own rate while the store fails.
        """
        outcome = await self._calls.send(
            "changes",
            "GET",
            "/v1/changes",
            is_probe=is_probe,
            params={"prefix": prefix, "after": after, "timeout": wait_s},
            timeout=wait_s + WATCH_MARGIN_S,
        )
        if answers.has_status(outcome, HTTP_GONE):
            return results.HistoryLost(self._calls.era_of(outcome))
        body = answers.decode_body(ItemsBody, outcome)
        if isinstance(body, results.Unavailable):
            return body
        return results.Changes(
            tuple(map(_decode_event, body.items)),
            body.revision,
            self._calls.era_of(outcome),
        )

    async def create(
        self, key: str, value: bytes, lease: results.Lease
    ) -> results.WriteResult:
        """Create a key; a conflict if it exists.

        :param key: the key.
        :param value: its value.
        :param lease: lease whose end removes it.
        """
        body = WritesBody(
            {key: value.decode()}, str(lease.lease_id), absent=(key,)
        )
        return await self._write_under(lease, body)

    async def replace(
        self, key: str, value: bytes, revision: int, lease: results.Lease
    ) -> results.WriteResult:
        """Replace a key; a conflict if it has changed.

        :param key: the key.
        :param value: its value.
        :param revision: revision that it has.
        :param lease: lease whose end removes it.
        """
        body = WritesBody(
            {key: value.decode()},
            str(lease.lease_id),
            expected={key: revision},
        )
        return await self._write_under(lease, body)

    async def remove(self, key: str, revision: int) -> results.WriteResult:
        """Remove a key; a conflict if it has changed.

        :param key: the key.
        :param revision: revision that it has.
        """
        return await self._write(
            WritesBody(expected={key: revision}, removed=(key,))
        )

    async def put_all(
        self, items: dict[str, bytes], lease: results.Lease
    ) -> results.WriteResult:
        """Write keys unconditionally.

        :param items: values by key.
        :param lease: lease whose end removes them.
        """
        values = {key: value.decode() for key, value in items.items()}
        return await self._write_under(
            lease, WritesBody(values, str(lease.lease_id))
        )

    async def _write_under(
        self, lease: results.Lease, body: WritesBody
    ) -> results.WriteResult:
        """Write under a lease, which must be of the store's present era."""
        if self._calls.is_lapsed(lease):
            await trio.lowlevel.checkpoint()
            return results.Unavailable(calls.LAPSED)
        written = await self._write(body)
        if isinstance(written, results.Written) and written.era != lease.era:
            return results.Unknown(calls.LAPSED)
        return written

    async def _write(self, body: WritesBody) -> results.WriteResult:
        outcome = await self._calls.send(
            "writes", "POST", "/v1/writes", content=model.encode(body)
        )
        if answers.has_status(outcome, HTTP_CONFLICT):
            return results.Conflict(0)
        written = answers.decode_written(_RevisionBody, outcome)
        if not isinstance(written, _RevisionBody):
            return written
        return results.Written(written.revision, self._calls.era_of(outcome))

    async def grant_lease(
        self, ttl_s: float
    ) -> results.Lease | results.Unavailable:
        """Request a lease.

        :param ttl_s: time to live in seconds.
        """
        outcome = await self._calls.send(
            "grant_lease", "POST", "/v1/leases", json={"ttl_s": ttl_s}
        )
        body = answers.decode_body(_LeaseBody, outcome)
        if isinstance(body, results.Unavailable):
            return body
        era = self._calls.era_of(outcome)
        return results.Lease(body.lease_id, ttl_s, era)

    async def renew_lease(
        self, lease: results.Lease
    ) -> results.Lease | results.Missing | results.Unavailable:
        """Renew a lease; a lease of another era of the store is missing.

        :param lease: the lease.
        """
        if self._calls.is_lapsed(lease):
            await trio.lowlevel.checkpoint()
            return results.Missing(str(lease.lease_id))
        outcome = await self._calls.send(
            "renew_lease", "POST", f"/v1/leases/{lease.lease_id}/renew"
        )
        if answers.has_status(outcome, HTTP_NOT_FOUND):
            return results.Missing(str(lease.lease_id))
        body = answers.decode_body(dict[str, float], outcome)
        if isinstance(body, results.Unavailable):
            return body
        if self._calls.era_of(outcome) != lease.era:
            return results.Missing(str(lease.lease_id))
        return lease

    async def end_lease(self, lease: results.Lease) -> None:
        """End a lease; if the call fails, the lease expires by itself.

        :param lease: the lease.
        """
        if self._calls.is_lapsed(lease):
            await trio.lowlevel.checkpoint()
            return
        await self._calls.send(
            "end_lease", "DELETE", f"/v1/leases/{lease.lease_id}"
        )
