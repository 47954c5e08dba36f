"""HTTP client of the platform's key-value service."""

import dataclasses
import random
import typing

import httpx

from wasabilanding.metadata import answers
from wasabilanding.metadata import calls
from wasabilanding.metadata import results
from wasabilanding.metadata import vm_listing
from wasabilanding import model

WATCH_MARGIN_S = 2.0
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404

ReadResult = results.Entry | results.Missing | results.Unavailable


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """A lease that the service granted.

    :param lease_id: ID of the lease.
    :param ttl_s: time to live in seconds.
    """

    lease_id: str
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class VmList:
    """The platform's list of VMs, which may be out of date.

    :param vms: the VMs.
    """

    vms: tuple[model.Vm, ...]


@dataclasses.dataclass(frozen=True)
class _ValueBody:
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class _RevisionBody:
    revision: int


@dataclasses.dataclass(frozen=True)
class _LeaseBody:
    lease_id: str


class PlatformClient:
    """Client of the platform's service; a context manager.

    All calls share one back-off: while the service fails, calls return
    :class:`wasabilanding.metadata.Unavailable` without being sent.

    :param url: base URL of the service.
    :param transport: replaces the network in tests.
    :param rng: random number generator of the back-off.
    :param count: counts each call by operation and result.
    """

    def __init__(
        self,
        url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        rng: random.Random | None = None,
        count: calls.Count = calls.count_nothing,
    ) -> None:
        self._calls = calls.BackoffSession(url, transport, rng, count)

    async def __aenter__(self) -> "PlatformClient":
        await self._calls.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._calls.__aexit__(*error)

    async def get(self, key: str) -> ReadResult:
        """Read one key.

        :param key: the key.
        """
        response = await self._calls.send("get", "GET", f"/v1/kv/{key}")
        return _read_result(key, response)

    async def put(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str = "",
    ) -> results.WriteResult:
        """Write one key by compare-and-swap.

        :param key: the key.
        :param value: the new text.
        :param expected_revision: revision to replace; 0 if the key must not
            exist.
        :param lease_id: lease whose end removes the key; empty for none.
        """
        response = await self._calls.send(
            "put",
            "PUT",
            f"/v1/kv/{key}",
            params={"expected": expected_revision, "lease": lease_id},
            content=value.encode(),
        )
        return _write_result(response)

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> ReadResult:
        """Wait until a key has a revision above the given one.

        :param key: the key.
        :param after: revision that is already known.
        :param timeout_s: longest wait in seconds.
        :returns: the newer entry, or :class:`Missing` if there was none.
        """
        response = await self._calls.send(
            "watch",
            "GET",
            f"/v1/watch/{key}",
            params={"after": after, "timeout": timeout_s},
            timeout=timeout_s + WATCH_MARGIN_S,
        )
        return _read_result(key, response)

    async def grant_lease(
        self, ttl_s: float
    ) -> LeaseGranted | results.Unavailable:
        """Request a lease.

        :param ttl_s: time to live in seconds.
        """
        response = await self._calls.send(
            "grant_lease", "POST", "/v1/leases", json={"ttl_s": ttl_s}
        )
        body = answers.decode_body(_LeaseBody, response)
        if isinstance(body, results.Unavailable):
            return body
        return LeaseGranted(body.lease_id, ttl_s)

    async def renew_lease(
        self, lease_id: str
    ) -> LeaseGranted | results.Missing | results.Unavailable:
        """Renew a lease.

        :param lease_id: ID of the lease.
        """
        response = await self._calls.send(
            "renew_lease", "POST", f"/v1/leases/{lease_id}/renew"
        )
        if answers.has_status(response, HTTP_NOT_FOUND):
            return results.Missing(lease_id)
        body = answers.decode_body(dict[str, float], response)
        if isinstance(body, results.Unavailable):
            return body
        if "ttl_s" not in body:
            return results.Unavailable(f"response has no ttl_s: {body}")
        return LeaseGranted(lease_id, body["ttl_s"])

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease; if the call fails, the lease expires by itself.

        :param lease_id: ID of the lease.
        """
        await self._calls.send(
            "revoke_lease", "DELETE", f"/v1/leases/{lease_id}"
        )

    async def list_vms(
        self, failure_domain: str
    ) -> VmList | results.Unavailable:
        """Read the list of VMs of one failure domain.

        :param failure_domain: the failure domain.
        """
        response = await self._calls.send(
            "list_vms",
            "GET",
            "/v1/vms",
            params={"failure_domain": failure_domain},
        )
        vms = vm_listing.decode_vms(response)
        if isinstance(vms, results.Unavailable):
            return vms
        return VmList(vms)


def _read_result(key: str, outcome: answers.CallOutcome) -> ReadResult:
    if answers.has_status(outcome, HTTP_NOT_FOUND):
        return results.Missing(key)
    body = answers.decode_body(_ValueBody, outcome)
    if isinstance(body, results.Unavailable):
        return body
    return results.Entry(key, body.value, body.revision)


def _write_result(
    response: answers.CallOutcome,
) -> results.WriteResult:
    if not isinstance(response, httpx.Response):
        return response
    if response.status_code in answers.REJECTED_STATUSES:
        return results.Unavailable(response.text)
    if response.status_code == HTTP_CONFLICT:
        return results.Conflict(_revision(response) or 0)
    revision = None if response.is_error else _revision(response)
    if revision is None:
        return results.Unknown(response.text)
    return results.Written(revision)


def _revision(response: httpx.Response) -> int | None:
    try:
        return model.decode(_RevisionBody, response.content).revision
    except model.InvalidDocument:
        return None
