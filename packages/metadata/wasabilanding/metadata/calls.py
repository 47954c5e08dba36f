"""HTTP session of the platform's service with one shared back-off.

An answer of an older era than one that the session has received before is
late: what it tells was lost when the store was restored from a copy.
"""

import collections.abc
import random
import typing

import httpx
import trio

from wasabilanding.metadata import answers
from wasabilanding.metadata import backoff
from wasabilanding.metadata import eras
from wasabilanding.metadata import results
from wasabilanding import model
from wasabilanding import replies

CALL_TIMEOUT_S = 2.0
HTTP_SERVER_ERROR = 500
LAPSED = "the lease was granted in another era of the store"
CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

Count = collections.abc.Callable[[str, str], None]
NoteEra = collections.abc.Callable[[model.Era], None]


def count_nothing(operation: str, result: str) -> None:
    """Count nothing.

    :param operation: name of the call.
    :param result: result of the call.
    """


def ignore_era(era: model.Era) -> None:
    """Ignore the era of the store.

    :param era: the era.
    """


def _is_failure(response: httpx.Response) -> bool:
    if response.status_code in answers.REJECTED_STATUSES:
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
    :param era_header: header in which answers state the store's era; empty
        for none.
    :param note_era: called with the first era, and with each newer one.
    """

    def __init__(
        self,
        url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        rng: random.Random | None = None,
        count: Count = count_nothing,
        max_backoff_s: float = backoff.MAX_WAIT_S,
        era_header: str = "",
        note_era: NoteEra = ignore_era,
    ) -> None:
        network = transport or httpx.AsyncHTTPTransport()
        self._http = httpx.AsyncClient(
            base_url=url,
            timeout=CALL_TIMEOUT_S,
            transport=replies.WholeReplies(network),
        )
        self._backoff = backoff.Backoff(rng or random.Random(), max_backoff_s)
        self._count = count
        self._era_header = era_header
        self._note_era = note_era
        self._eras = eras.EraTracker()
        self._is_answered = False

    async def __aenter__(self) -> "BackoffSession":
        await self._http.__aenter__()
        return self

    async def __aexit__(self, *error: typing.Any) -> None:
        await self._http.__aexit__(*error)

    @property
    def latest_era(self) -> model.Era:
        """Newest era of the store that an answer has stated."""
        return self._eras.latest

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
        return self._checked(operation, response)

    def _checked(
        self, operation: str, response: httpx.Response
    ) -> httpx.Response | results.Unknown:
        """Record an answer; a late one of an older era tells nothing."""
        era = self.era_of(response)
        is_first = not self._is_answered
        self._is_answered = True
        if self._eras.note(era) or is_first:
            self._note_era(era)
        if _is_failure(response):
            self._record_failure(operation, str(response.status_code))
            return response
        self._backoff.succeed()
        if self._eras.is_older(era):
            self._count(operation, "older_era")
            return results.Unknown("answer of an older era of the store")
        self._count(operation, "answered")
        return response

    def era_of(
        self, outcome: httpx.Response | results.Unavailable | results.Unknown
    ) -> model.Era:
        """Return the era that an answer states.

        :param outcome: outcome of the call.
        """
        if not self._era_header or not isinstance(outcome, httpx.Response):
            return model.NO_ERA
        return model.read_era(outcome.headers.get(self._era_header))

    def is_lapsed(self, lease: results.Lease) -> bool:
        """Return whether the store has been restored since a lease began.

        :param lease: the lease.
        """
        return self._eras.is_older(lease.era)

    def _record_failure(self, operation: str, result: str) -> None:
        self._backoff.fail(trio.current_time())
        self._count(operation, result)
