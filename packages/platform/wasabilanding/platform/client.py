"""HTTP client of the platform's service."""

import dataclasses
import typing

import httpx

from wasabilanding import model
from wasabilanding.platform import results

CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
NOT_TAKEN = (HTTP_TOO_MANY, HTTP_UNAVAILABLE)

WriteResult = (
    results.Written | results.Conflict | results.Unavailable | results.Unknown
)
ReadResult = results.Entry | results.Missing | results.Unavailable


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """A lease that the service granted.

    :param lease_id: identity of the lease.
    :param ttl_s: time to live in seconds.
    """

    lease_id: str
    ttl_s: float


@dataclasses.dataclass(frozen=True)
class VmList:
    """The platform's lagging list of VMs.

    :param vms: the VMs.
    """

    vms: tuple[model.Vm, ...]


class PlatformClient:
    """Client of the platform's service; a context manager.

    :param url: base URL of the service.
    :param transport: replaces the network in tests.
    """

    def __init__(
        self, url: str, transport: httpx.AsyncBaseTransport | None = None
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=url, timeout=CALL_TIMEOUT_S, transport=transport
        )

    async def __aenter__(self) -> "PlatformClient":
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._http.__aexit__(*error)

    async def get(self, key: str) -> ReadResult:
        """Read one key.

        :param key: the key.
        """
        try:
            response = await self._http.get(f"/v1/kv/{key}")
        except httpx.HTTPError as error:
            return results.Unavailable(repr(error))
        if response.status_code == HTTP_NOT_FOUND:
            return results.Missing(key)
        if response.is_error:
            return results.Unavailable(response.text)
        body = response.json()
        return results.Entry(key, body["value"], body["revision"])

    async def put(
        self,
        key: str,
        value: str,
        expected_revision: int,
        lease_id: str = "",
    ) -> WriteResult:
        """Write one key by compare-and-swap.

        :param key: the key.
        :param value: the new text.
        :param expected_revision: revision that it replaces; 0 for none.
        :param lease_id: lease whose end removes the key.
        """
        params = {"expected": expected_revision, "lease": lease_id}
        try:
            response = await self._http.put(
                f"/v1/kv/{key}", params=params, content=value.encode()
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return results.Unavailable(repr(error))
        except httpx.HTTPError as error:
            return results.Unknown(repr(error))
        return _write_result(response)

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> ReadResult:
        """Wait until a key has a revision above the given one.

        :param key: the key.
        :param after: revision that is already known.
        :param timeout_s: longest wait in seconds.
        :returns: the newer entry, or :class:`Missing` when none came.
        """
        params = {"after": after, "timeout": timeout_s}
        try:
            response = await self._http.get(
                f"/v1/watch/{key}",
                params=params,
                timeout=timeout_s + WATCH_MARGIN_S,
            )
        except httpx.HTTPError as error:
            return results.Unavailable(repr(error))
        if response.status_code == HTTP_NOT_FOUND:
            return results.Missing(key)
        if response.is_error:
            return results.Unavailable(response.text)
        body = response.json()
        return results.Entry(key, body["value"], body["revision"])

    async def grant_lease(
        self, ttl_s: float
    ) -> LeaseGranted | results.Unavailable:
        """Ask for a lease.

        :param ttl_s: time to live in seconds.
        """
        try:
            response = await self._http.post(
                "/v1/leases", json={"ttl_s": ttl_s}
            )
        except httpx.HTTPError as error:
            return results.Unavailable(repr(error))
        if response.is_error:
            return results.Unavailable(response.text)
        return LeaseGranted(response.json()["lease_id"], ttl_s)

    async def renew_lease(
        self, lease_id: str
    ) -> LeaseGranted | results.Missing | results.Unavailable:
        """Renew a lease.

        :param lease_id: identity of the lease.
        """
        try:
            response = await self._http.post(f"/v1/leases/{lease_id}/renew")
        except httpx.HTTPError as error:
            return results.Unavailable(repr(error))
        if response.status_code == HTTP_NOT_FOUND:
            return results.Missing(lease_id)
        if response.is_error:
            return results.Unavailable(response.text)
        return LeaseGranted(lease_id, response.json()["ttl_s"])

    async def revoke_lease(self, lease_id: str) -> None:
        """Give a lease back; without an answer it lapses by itself.

        :param lease_id: identity of the lease.
        """
        try:
            await self._http.delete(f"/v1/leases/{lease_id}")
        except httpx.HTTPError:
            return

    async def list_vms(
        self, failure_domain: str
    ) -> VmList | results.Unavailable:
        """Read the list of VMs of one failure domain.

        :param failure_domain: the failure domain.
        """
        try:
            response = await self._http.get(
                "/v1/vms", params={"failure_domain": failure_domain}
            )
        except httpx.HTTPError as error:
            return results.Unavailable(repr(error))
        if response.is_error:
            return results.Unavailable(response.text)
        try:
            vms = model.decode(tuple[model.Vm, ...], response.content)
        except model.InvalidDocument as error:
            return results.Unavailable(f"VM list is malformed: {error}")
        return VmList(vms)


def _write_result(response: httpx.Response) -> WriteResult:
    if response.status_code == HTTP_CONFLICT:
        return results.Conflict(response.json()["revision"])
    if response.status_code in NOT_TAKEN:
        return results.Unavailable(response.text)
    if response.is_error:
        return results.Unknown(response.text)
    return results.Written(response.json()["revision"])
