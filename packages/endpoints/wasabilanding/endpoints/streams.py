"""One attempt of a request at a replica.

Explanation
===========

A task of its own reads the attempt's stream, so that an answer never waits
for the clean-up of a connection, and several parts that came together are
passed on together. A connection that makes no progress may have gone silent
while new ones work: the stream is then resumed on a new one, at the first
part that is missing.

"Not run" is said in two cases only. No connection was had, so nothing was
sent; or the endpoint answered with a refusal and then, asked for the stream
of the attempt, said that it knows none. An endpoint that does know it, in
spite of the refusal, goes on with it.
"""

import collections.abc
import contextlib
import dataclasses
import logging

import httpx
import trio

from wasabilanding import delivery
from wasabilanding.endpoints import events
from wasabilanding import model

CONNECT_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 1.0
MAX_RESUMES = 3
RESUME_BACKOFF_S = 0.2
MAX_BUFFERED_PARTS = 2048
MAX_DETAIL_LENGTH = 200
SMOOTHING = 0.3
BURST_S = 0.001
NO_LIMIT = float("inf")
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
INVALID = (400, 413, 415, 422)
REFUSALS = (HTTP_NOT_FOUND, 409, 429, HTTP_UNAVAILABLE)
TIMEOUT = httpx.Timeout(
    None, connect=CONNECT_TIMEOUT_S, write=WRITE_TIMEOUT_S, pool=1.0
)

_LOG = logging.getLogger(__name__)

Pace = collections.abc.Callable[[float], float]


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """What is sent to the endpoint.

    :param address: base URL of the replica's leader.
    :param attempt_id: identity of the attempt; the stream is resumed by it.
    :param replica_id: replica that is meant.
    :param epoch: epoch that is meant.
    :param body: JSON body of the request.
    :param headers: further headers, such as the trace context.
    :param idempotent: whether it may run more than once; if not, it is sent
        on a connection of its own.
    """

    address: str
    attempt_id: str
    replica_id: str
    epoch: int
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    idempotent: bool = True

    @property
    def stream_url(self) -> str:
        """URL by which the stream is resumed and cancelled."""
        return f"{self.address}/v1/streams/{self.attempt_id}"


class AttemptFailed(Exception):
    """An attempt did not complete.

    :param outcome: its outcome.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class _Ended(Exception):
    """The attempt ends with an outcome that no resume changes."""

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class Attempt:
    """One attempt, read by a task that runs :meth:`run`.

    :param http: HTTP client.
    :param request: what is sent.
    :param deadline: local monotonic time in seconds at which it ends.
    :param pace: maps the time between parts to the pause before a read, both
        in seconds.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        request: AttemptRequest,
        deadline: float,
        pace: Pace,
    ) -> None:
        self._http = http
        self._request = request
        self._deadline = deadline
        self._pace = pace
        self._order = delivery.PartReassembler()
        self._ready: list[bytes] = []
        self._changed = trio.Event()
        self._taken = trio.Event()
        self._outcome: model.Outcome | None = None
        self._scope = trio.CancelScope(deadline=deadline)
        self._connection = trio.CancelScope()
        self._closed = False
        self._interval_s = 0.0
        self._paused = False
        self._burst_ends_at = 0.0
        self._measured_at = 0.0
        self._measured_offset = 0
        self._resumes = 0
        self._confirmed = False
        self._confirmations = 0

    async def receive(self) -> list[bytes]:
        """Return the next parts; none at the end of a whole answer.

        :raises AttemptFailed: when the answer does not become whole.
        """
        while not self._ready:
            if self._outcome is not None:
                return self._end(self._outcome)
            self._changed = trio.Event()
            await self._changed.wait()
            if self._paused:
                # The reader takes what came during its pause in this turn.
                await trio.lowlevel.checkpoint()
        ready = self._ready
        self._ready = []
        self._taken.set()
        return ready

    @staticmethod
    def _end(outcome: model.Outcome) -> list[bytes]:
        if outcome.verdict is model.Verdict.COMPLETED:
            return []
        raise AttemptFailed(outcome)

    def close(self) -> None:
        """Stop reading; the endpoint is told unless the answer is whole."""
        self._closed = True
        self._scope.cancel()

    async def run(self) -> None:
        """Read the stream to its end and tell the endpoint when cut short."""
        outcome = model.may_have_run(
            model.Reason.CANCELLED, "the attempt was given up"
        )
        try:
            with self._scope:
                outcome = await self._run_connections()
        except Exception as error:
            _LOG.exception("attempt %s failed", self._request.attempt_id)
            outcome = model.may_have_run(
                model.Reason.ENDPOINT_ERROR, repr(error)
            )
        if self._scope.cancelled_caught and not self._closed:
            outcome = model.may_have_run(
                model.Reason.DEADLINE, "the deadline has passed"
            )
        self._outcome = outcome
        self._changed.set()
        if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
            await self._cancel()

    async def _cancel(self) -> None:
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                await self._http.delete(self._request.stream_url)
            except httpx.HTTPError as error:
                _LOG.debug(
                    "attempt %s was not cancelled: %r",
                    self._request.attempt_id,
                    error,
                )

    async def _run_connections(self) -> model.Outcome:
        resume = False
        while True:
            before = self._order.next_offset
            try:
                failure = await self._run_connection(resume)
            except _Ended as error:
                return error.outcome
            if self._order.is_complete:
                return model.completed()
            if failure.verdict is model.Verdict.NOT_RUN:
                return failure
            if self._order.next_offset > before:
                self._resumes = 0
                self._confirmations = 0
            if self._resumes >= MAX_RESUMES:
                return failure
            resume = True
            await trio.sleep(self._resumes * RESUME_BACKOFF_S)
            self._resumes += 1

    async def _run_connection(self, resume: bool) -> model.Outcome:
        self._confirmed = False
        with trio.CancelScope() as self._connection:
            self._note_progress()
            try:
                await self._read(resume)
            except httpx.HTTPError as error:
                return _failure(error, resume)
        if self._connection.cancelled_caught:
            if self._confirmed:
                # The engine holds the stream and keeps it open: it is slow.
                self._confirmations += 1
                self._resumes = 0
            return model.may_have_run(
                model.Reason.STALLED,
                f"stream of attempt {self._request.attempt_id} made no "
                f"progress after {self._order.next_offset} parts",
            )
        return model.may_have_run(
            model.Reason.CONNECTION_LOST,
            f"stream of attempt {self._request.attempt_id} ended after "
            f"{self._order.next_offset} parts",
        )

    def _note_progress(self) -> None:
        bound_s = delivery.stall_timeout_s(
            self._interval_s, self._confirmations
        )
        self._connection.deadline = trio.current_time() + bound_s

    async def _read(self, resume: bool) -> None:
        parser = events.EventParser()
        async with self._open(resume) as response:
            if response.is_error:
                await self._refused(response, resume)
                return
            self._confirmed = resume
            self._note_progress()
            async for received in response.aiter_raw():
                self._take(parser.feed(received))
                if self._order.is_complete:
                    return
                now = trio.current_time()
                if now < self._burst_ends_at:
                    # It came together with the part before.
                    self._changed.set()
                else:
                    await self._between_bursts(now)

    def _open(
        self, resume: bool
    ) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
        request = self._request
        if resume:
            return self._http.stream(
                "GET",
                request.stream_url,
                params={"offset": self._order.next_offset},
                timeout=TIMEOUT,
            )
        headers = {
            **request.headers,
            "Content-Type": "application/json",
            "X-Attempt-Id": request.attempt_id,
            "X-Replica-Id": request.replica_id,
            "X-Replica-Epoch": str(request.epoch),
        }
        return self._http.stream(
            "POST",
            f"{request.address}/v1/chat/completions",
            content=request.body,
            headers=headers,
            timeout=TIMEOUT,
        )

    async def _refused(self, response: httpx.Response, resume: bool) -> None:
        await response.aread()
        detail = response.text[:MAX_DETAIL_LENGTH]
        status = response.status_code
        if resume:
            if status != HTTP_UNAVAILABLE:
                raise _Ended(
                    model.may_have_run(model.Reason.CONNECTION_LOST, detail)
                )
            return
        if status not in REFUSALS and status not in INVALID:
            raise _Ended(
                model.may_have_run(model.Reason.ENDPOINT_ERROR, detail)
            )
        if await self._is_unknown():
            invalid = status in INVALID
            reason = model.Reason.INVALID_REQUEST
            raise _Ended(
                model.not_run(
                    reason if invalid else model.Reason.REFUSED, detail
                )
            )

    async def _is_unknown(self) -> bool:
        with trio.move_on_after(CONFIRM_TIMEOUT_S):
            async with self._open(True) as response:
                return response.status_code == HTTP_NOT_FOUND
        return False

    def _take(self, parts: list[events.Part]) -> None:
        for part in parts:
            if part.is_last:
                self._order.end(part.offset)
            elif part.offset == events.NO_OFFSET:
                detail = part.data[:MAX_DETAIL_LENGTH].decode(errors="replace")
                raise _Ended(
                    model.may_have_run(
                        model.Reason.ENDPOINT_ERROR,
                        f"event without an offset: {detail}",
                    )
                )
            else:
                self._ready += self._order.accept(part.offset, part.data)

    async def _between_bursts(self, now: float) -> None:
        pause_s = self._measure(now)
        self._paused = pause_s > 0.0
        if self._paused:
            await trio.sleep(pause_s)
            now += pause_s
        self._burst_ends_at = now + BURST_S
        self._note_progress()
        self._changed.set()
        if len(self._ready) >= MAX_BUFFERED_PARTS:
            await self._wait_for_caller()

    def _measure(self, now: float) -> float:
        offset = self._order.next_offset
        parts = offset - self._measured_offset
        if self._measured_at and parts > 0:
            interval_s = (now - self._measured_at) / parts
            weight = SMOOTHING if self._interval_s else 1.0
            self._interval_s += weight * (interval_s - self._interval_s)
        self._measured_at = now
        self._measured_offset = offset
        return self._pace(self._interval_s)

    async def _wait_for_caller(self) -> None:
        self._connection.deadline = NO_LIMIT
        self._taken = trio.Event()
        await self._taken.wait()
        self._note_progress()


def _failure(error: httpx.HTTPError, resume: bool) -> model.Outcome:
    connecting = isinstance(
        error, (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
    )
    if connecting and not resume:
        return model.not_run(model.Reason.CONNECT_FAILED, repr(error))
    return model.may_have_run(model.Reason.CONNECTION_LOST, repr(error))
