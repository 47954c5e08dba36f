"""Client of the administration API, for scripts and the command line."""

import typing

import httpx

from wasabilanding import replies

CALL_TIMEOUT_S = 30.0


class AdministrationError(Exception):
    """A call of the administration API failed.

    :param kind: error type: invalid, conflict, refused, not_found,
        unavailable, unknown or unreachable.
    :param message: explanation, for people.
    """

    def __init__(self, kind: str, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class AdministrationClient:
    """Client of one node's administration API; a context manager.

    :param url: base URL of the API.
    :param transport: HTTP transport to use instead of the network, for tests.
    """

    def __init__(
        self, url: str, transport: httpx.BaseTransport | None = None
    ) -> None:
        network = transport or httpx.HTTPTransport()
        self._http = httpx.Client(
            base_url=url,
            timeout=CALL_TIMEOUT_S,
            transport=replies.WholeRepliesSync(network),
        )

    def __enter__(self) -> "AdministrationClient":
        return self

    def __exit__(self, *error: object) -> None:
        self._http.close()

    def profiles(self) -> dict:
        """Return the current profiles, service choices and customers."""
        return self._call("GET", "/v1/profiles")

    def profile(self, name: str) -> dict:
        """Return the stored revisions of a profile.

        :param name: name of the profile.
        """
        return self._call("GET", f"/v1/profiles/{name}")

    def put_profile(self, name: str, content: dict, replaces: int) -> dict:
        """Write a new revision of a profile.

        :param name: name of the profile.
        :param content: content of the profile.
        :param replaces: revision that it replaces; 0 for a new profile.
        :raises AdministrationError: if the change is not known to be accepted.
        """
        return self._call(
            "PUT",
            f"/v1/profiles/{name}",
            json=content,
            params={"replaces": replaces},
        )

    def roll_back(self, name: str, revision: int, replaces: int) -> dict:
        """Restore an earlier revision of a profile as a new revision.

        :param name: name of the profile.
        :param revision: revision to restore.
        :param replaces: revision that it replaces.
        :raises AdministrationError: if the change is not known to be accepted.
        """
        return self._call(
            "POST",
            f"/v1/profiles/{name}/rollback/{revision}",
            params={"replaces": replaces},
        )

    def choose(self, service: str, profile: str, replaces: int | None) -> dict:
        """Choose the profile of a service.

        :param service: name of the service.
        :param profile: name of the profile.
        :param replaces: revision of the replaced choice, or None.
        :raises AdministrationError: if the change is not known to be accepted.
        """
        body = {"profile": profile, "replaces": replaces}
        return self._call("PUT", f"/v1/services/{service}", json=body)

    def set_customer(self, name: str, content: dict) -> dict:
        """Set a customer's weight and limit.

        :param name: name of the customer.
        :param content: weight and max_in_flight of the customer.
        :raises AdministrationError: if the change is not known to be accepted.
        """
        return self._call("PUT", f"/v1/customers/{name}", json=content)

    def status(self) -> dict:
        """Return the status of failure domains, replicas and VMs."""
        return self._call("GET", "/v1/status")

    def explain(self, service: str) -> dict:
        """Explain a service's replica count in each failure domain.

        :param service: name of the service.
        """
        return self._call("GET", f"/v1/services/{service}/explanation")

    def _call(self, method: str, path: str, **options: typing.Any) -> dict:
        try:
            response = self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise AdministrationError("unreachable", repr(error)) from error
        try:
            body = response.json()
        except ValueError:
            body = {}
        if response.is_error:
            error = body.get("error", {})
            raise AdministrationError(
                error.get("type", "failed"),
                error.get("message", response.text),
            )
        return body
