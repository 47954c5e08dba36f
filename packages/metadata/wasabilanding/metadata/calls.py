"""HTTP session of the platform's service with one shared back-off."""

import collections.abc
import random
import typing

import httpx
import trio

from wasabilanding.metadata import backoff
from wasabilanding.metadata import results

CALL_TIMEOUT_S = 2.0
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503
HTTP_SERVER_ERROR = 500
REJECTED_STATUSES = (HTTP_TOO_MANY_REQUESTS, HTTP_SERVICE_UNAVAILABLE)
CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Count = collections.abc.Callable[[str, str], None]


def count_nothing(operation: str, result: str) -> None:
    """Count nothing.

    :param operation: name of the call.
    :param result: result of the call.
    """


def _is_failure(response: httpx.Response) -> bool:
    if response.status_code in REJECTED_STATUSES:
        return True
    return response.status_code >= HTTP_SERVER_ERROR


class BackoffSession:
    """HTTP session whose calls share one back-off; a context manager.

    :param url: base URL of the service.
    :param transport: replaces the network in tests.
    :param rng: random number generator of the back-off.
    :param count: counts each call by operation and result.
    :param max_backoff_s: maximum time in seconds between calls while the
        service fails.
    """

    def __init__(
        self,
        url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        rng: random.Random | None = None,
        count: Count = count_nothing,
        max_backoff_s: float = backoff.MAX_WAIT_S,
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=url, timeout=CALL_TIMEOUT_S, transport=transport
        )
        self._backoff = backoff.Backoff(rng or random.Random(), max_backoff_s)
        self._count = count

    async def __aenter__(self) -> "BackoffSession":
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._http.__aexit__(*error)

    async def send(
        self,
        operation: str,
        method: str,
        url: str,
        is_probe: bool = False,
        **arguments: typing.Any,
    ) -> httpx.Response | results.Unavailable | results.Unknown:
        """Send a call unless the back-off holds it back.

        :param operation: name of the call, for counters.
        :param method: HTTP method.
        :param url: path, relative to the base URL.
        :param is_probe: whether the call is sent in spite of the back-off,
            as the caller limits its own rate while the service fails.
        :param arguments: arguments of :meth:`httpx.AsyncClient.request`.
        """
        if not is_probe and not self._backoff.try_begin(trio.current_time()):
            await trio.lowlevel.checkpoint()
            self._count(operation, "not_sent")
            return results.Unavailable(
                "not sent: backing off after a failed call"
            )
        try:
            response = await self._http.request(method, url, **arguments)
        except CONNECT_ERRORS as error:
            self._record_failure(operation, "not_sent")
            return results.Unavailable(repr(error))
        except httpx.HTTPError as error:
            self._record_failure(operation, "no_answer")
            return results.Unknown(repr(error))
        except trio.Cancelled:
            if not is_probe:
                # The caller stopped waiting, as at its own timeout.
                self._record_failure(operation, "cancelled")
            raise
        if _is_failure(response):
            self._record_failure(operation, str(response.status_code))
        else:
            self._backoff.succeed()
            self._count(operation, "answered")
        return response

    def _record_failure(self, operation: str, result: str) -> None:
        self._backoff.fail(trio.current_time())
        self._count(operation, result)
