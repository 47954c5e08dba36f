"""One attempt to run a request at a replica.

Explanation
===========

A separate task reads the attempt's stream, so that the caller never waits
for the clean-up of a connection, and parts that arrive together are
delivered together. A connection that makes no progress may be dead while new
connections work: the stream is then resumed on a new one, at the first
missing part.

The outcome is "not run" in two cases only: no connection was established, so
nothing was sent; or the endpoint refused the request and, when asked for the
stream of the attempt, reported that it does not exist. If the stream exists
in spite of the refusal, it is read.
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
INTERVAL_SMOOTHING = 0.3
BURST_WINDOW_S = 0.001
NO_DEADLINE = float("inf")
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
INVALID_STATUSES = (400, 413, 415, 422)
REFUSAL_STATUSES = (HTTP_NOT_FOUND, 409, 429, HTTP_UNAVAILABLE)
STREAM_TIMEOUT = httpx.Timeout(
    None, connect=CONNECT_TIMEOUT_S, write=WRITE_TIMEOUT_S, pool=1.0
)

_LOG = logging.getLogger(__name__)

ReadDelay = collections.abc.Callable[[float], float]


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """Request of an attempt.

    :param address: base URL of the replica's leader.
    :param attempt_id: ID of the attempt, by which its stream is resumed.
    :param replica_id: expected replica.
    :param epoch: expected epoch of the replica.
    :param body: JSON body of the request.
    :param headers: additional headers, such as the trace context.
    :param idempotent: whether it may run more than once; if not, it is sent
        on a new connection.
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
        """URL to resume or cancel the stream."""
        return f"{self.address}/v1/streams/{self.attempt_id}"


class AttemptFailed(Exception):
    """An attempt did not complete.

    :param outcome: its outcome.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class _FinalOutcome(Exception):
    """Ends the attempt with an outcome that a resume would not change."""

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class Attempt:
    """One attempt, whose stream is read by a task that runs :meth:`run`.

    :param http: HTTP client.
    :param request: the request.
    :param deadline: local monotonic time in seconds at which it ends.
    :param read_delay_s: maps the time between parts to the delay before a
        read, both in seconds.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        request: AttemptRequest,
        deadline: float,
        read_delay_s: ReadDelay,
    ) -> None:
        self._http = http
        self._request = request
        self._deadline = deadline
        self._read_delay_s = read_delay_s
        self._reassembler = delivery.PartReassembler()
        self._ready: list[bytes] = []
        self._changed = trio.Event()
        self._consumed = trio.Event()
        self._outcome: model.Outcome | None = None
        self._attempt_scope = trio.CancelScope(deadline=deadline)
        self._connection_scope = trio.CancelScope()
        self._closed = False
        self._interval_s = 0.0
        self._delayed_last_read = False
        self._burst_ends_at = 0.0
        self._measured_at = 0.0
        self._measured_offset = 0
        self._resumes = 0
        self._stream_confirmed = False
        self._confirmations = 0

    async def receive(self) -> list[bytes]:
        """Return the next parts; an empty list at the end of the stream.

        :raises AttemptFailed: if the attempt ends without completing.
        """
        while not self._ready:
            if self._outcome is not None:
                return self._end(self._outcome)
            self._changed = trio.Event()
            await self._changed.wait()
            if self._delayed_last_read:
                # Lets the reading task process what arrived during its
                # delay, so that it is returned in the same call.
                await trio.lowlevel.checkpoint()
        ready = self._ready
        self._ready = []
        self._consumed.set()
        return ready

    @staticmethod
    def _end(outcome: model.Outcome) -> list[bytes]:
        if outcome.verdict is model.Verdict.COMPLETED:
            return []
        raise AttemptFailed(outcome)

    def close(self) -> None:
        """Stop reading; cancels the run unless the stream is complete."""
        self._closed = True
        self._attempt_scope.cancel()

    async def run(self) -> None:
        """Read the stream; if it stays incomplete, cancel the run."""
        outcome = model.may_have_run(
            model.Reason.CANCELLED, "the attempt was cancelled"
        )
        try:
            with self._attempt_scope:
                outcome = await self._run_connections()
        except Exception as error:
            _LOG.exception("attempt %s failed", self._request.attempt_id)
            outcome = model.may_have_run(
                model.Reason.ENDPOINT_ERROR, repr(error)
            )
        if self._attempt_scope.cancelled_caught and not self._closed:
            outcome = model.may_have_run(
                model.Reason.DEADLINE, "the deadline has passed"
            )
        self._outcome = outcome
        self._changed.set()
        if outcome.verdict is model.Verdict.MAY_HAVE_RUN:
            await self._cancel_at_endpoint()

    async def _cancel_at_endpoint(self) -> None:
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                await self._http.delete(self._request.stream_url)
            except httpx.HTTPError as error:
                _LOG.debug(
                    "cancelling attempt %s failed: %r",
                    self._request.attempt_id,
                    error,
                )

    async def _run_connections(self) -> model.Outcome:
        resume = False
        while True:
            offset_before = self._reassembler.next_offset
            try:
                failure = await self._run_connection(resume)
            except _FinalOutcome as error:
                return error.outcome
            if self._reassembler.is_complete:
                return model.completed()
            if failure.verdict is model.Verdict.NOT_RUN:
                return failure
            if self._reassembler.next_offset > offset_before:
                self._resumes = 0
                self._confirmations = 0
            if self._resumes >= MAX_RESUMES:
                return failure
            resume = True
            await trio.sleep(self._resumes * RESUME_BACKOFF_S)
            self._resumes += 1

    async def _run_connection(self, resume: bool) -> model.Outcome:
        self._stream_confirmed = False
        with trio.CancelScope() as self._connection_scope:
            self._reset_stall_timeout()
            try:
                await self._read(resume)
            except httpx.HTTPError as error:
                return _connection_failure(error, resume)
        if self._connection_scope.cancelled_caught:
            if self._stream_confirmed:
                # The engine confirmed that it has the stream, so it is slow.
                self._confirmations += 1
                self._resumes = 0
            return model.may_have_run(
                model.Reason.STALLED,
                f"stream of attempt {self._request.attempt_id} made no "
                f"progress after {self._reassembler.next_offset} parts",
            )
        return model.may_have_run(
            model.Reason.CONNECTION_LOST,
            f"stream of attempt {self._request.attempt_id} ended after "
            f"{self._reassembler.next_offset} parts",
        )

    def _reset_stall_timeout(self) -> None:
        bound_s = delivery.stall_timeout_s(
            self._interval_s, self._confirmations
        )
        self._connection_scope.deadline = trio.current_time() + bound_s

    async def _read(self, resume: bool) -> None:
        parser = events.EventParser()
        async with self._open(resume) as response:
            if response.is_error:
                await self._handle_error_status(response, resume)
                return
            self._stream_confirmed = resume
            self._reset_stall_timeout()
            async for received in response.aiter_raw():
                self._accept_parts(parser.feed(received))
                if self._reassembler.is_complete:
                    return
                now = trio.current_time()
                if now < self._burst_ends_at:
                    # Part of the same burst as the previous read.
                    self._changed.set()
                else:
                    await self._start_burst(now)

    def _open(
        self, resume: bool
    ) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
        request = self._request
        if resume:
            return self._http.stream(
                "GET",
                request.stream_url,
                params={"offset": self._reassembler.next_offset},
                timeout=STREAM_TIMEOUT,
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
            timeout=STREAM_TIMEOUT,
        )

    async def _handle_error_status(
        self, response: httpx.Response, resume: bool
    ) -> None:
        await response.aread()
        detail = response.text[:MAX_DETAIL_LENGTH]
        status = response.status_code
        if resume:
            if status != HTTP_UNAVAILABLE:
                raise _FinalOutcome(
                    model.may_have_run(model.Reason.CONNECTION_LOST, detail)
                )
            return
        if status not in REFUSAL_STATUSES and status not in INVALID_STATUSES:
            raise _FinalOutcome(
                model.may_have_run(model.Reason.ENDPOINT_ERROR, detail)
            )
        if await self._is_unknown_to_endpoint():
            invalid = status in INVALID_STATUSES
            reason = model.Reason.INVALID_REQUEST
            raise _FinalOutcome(
                model.not_run(
                    reason if invalid else model.Reason.REFUSED, detail
                )
            )

    async def _is_unknown_to_endpoint(self) -> bool:
        with trio.move_on_after(CONFIRM_TIMEOUT_S):
            async with self._open(True) as response:
                return response.status_code == HTTP_NOT_FOUND
        return False

    def _accept_parts(self, parts: list[events.Part]) -> None:
        for part in parts:
            if part.is_last:
                self._reassembler.end(part.offset)
            elif part.offset == events.NO_OFFSET:
                detail = part.data[:MAX_DETAIL_LENGTH].decode(errors="replace")
                raise _FinalOutcome(
                    model.may_have_run(
                        model.Reason.ENDPOINT_ERROR,
                        f"event without a valid offset: {detail}",
                    )
                )
            else:
                self._ready += self._reassembler.accept(part.offset, part.data)

    async def _start_burst(self, now: float) -> None:
        pause_s = self._update_interval(now)
        self._delayed_last_read = pause_s > 0.0
        if self._delayed_last_read:
            await trio.sleep(pause_s)
            now += pause_s
        self._burst_ends_at = now + BURST_WINDOW_S
        self._reset_stall_timeout()
        self._changed.set()
        if len(self._ready) >= MAX_BUFFERED_PARTS:
            await self._wait_until_consumed()

    def _update_interval(self, now: float) -> float:
        offset = self._reassembler.next_offset
        parts = offset - self._measured_offset
        if self._measured_at and parts > 0:
            interval_s = (now - self._measured_at) / parts
            weight = INTERVAL_SMOOTHING if self._interval_s else 1.0
            self._interval_s += weight * (interval_s - self._interval_s)
        self._measured_at = now
        self._measured_offset = offset
        return self._read_delay_s(self._interval_s)

    async def _wait_until_consumed(self) -> None:
        self._connection_scope.deadline = NO_DEADLINE
        self._consumed = trio.Event()
        await self._consumed.wait()
        self._reset_stall_timeout()


def _connection_failure(error: httpx.HTTPError, resume: bool) -> model.Outcome:
    connecting = isinstance(
        error, (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
    )
    if connecting and not resume:
        return model.not_run(model.Reason.CONNECT_FAILED, repr(error))
    return model.may_have_run(model.Reason.CONNECTION_LOST, repr(error))
