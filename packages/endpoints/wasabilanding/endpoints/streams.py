"""One attempt of a request at a replica.

Explanation
===========

The attempt is resumed on a new connection when no byte came for a while:
the connection may have gone silent while new ones work. Parts are taken in
the order of their offsets; a part that comes twice is dropped.
"""

import collections.abc
import contextlib
import dataclasses

import httpx
import trio

from wasabilanding.endpoints import events
from wasabilanding import model

CONNECT_TIMEOUT_S = 1.0
PROGRESS_TIMEOUT_S = 2.0
MAX_RESUMES = 3
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
REFUSALS = (HTTP_CONFLICT, HTTP_NOT_FOUND, HTTP_UNAVAILABLE)


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """What is sent to the endpoint.

    :param address: base URL of the replica's leader.
    :param attempt_id: identity of the attempt; the stream is resumed by it.
    :param replica_id: replica that is meant.
    :param epoch: epoch that is meant.
    :param body: JSON body of the request.
    :param headers: further headers, such as the trace context.
    """

    address: str
    attempt_id: str
    replica_id: str
    epoch: int
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class AttemptFailed(Exception):
    """An attempt did not complete.

    :param outcome: its outcome.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


@dataclasses.dataclass
class _Progress:
    next_offset: int = 0
    done: bool = False
    resumes: int = 0


def _timeout() -> httpx.Timeout:
    return httpx.Timeout(PROGRESS_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)


def _open(
    http: httpx.AsyncClient, request: AttemptRequest, offset: int | None
) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
    if offset is not None:
        return http.stream(
            "GET",
            f"{request.address}/v1/streams/{request.attempt_id}",
            params={"offset": offset},
            timeout=_timeout(),
        )
    headers = {
        **request.headers,
        "Content-Type": "application/json",
        "X-Attempt-Id": request.attempt_id,
        "X-Replica-Id": request.replica_id,
        "X-Replica-Epoch": str(request.epoch),
    }
    return http.stream(
        "POST",
        f"{request.address}/v1/chat/completions",
        content=request.body,
        headers=headers,
        timeout=_timeout(),
    )


def _accept(
    received: list[events.Part], progress: _Progress
) -> list[events.Part]:
    accepted = []
    for part in received:
        if part.is_last:
            progress.done = True
        elif part.offset == progress.next_offset:
            progress.next_offset += 1
            accepted.append(part)
    return accepted


async def _check(response: httpx.Response) -> None:
    if not response.is_error:
        return
    await response.aread()
    detail = response.text[:200]
    if response.status_code in REFUSALS:
        outcome = model.not_run(model.Reason.REFUSED, detail)
    else:
        outcome = model.may_have_run(model.Reason.ENDPOINT_ERROR, detail)
    raise AttemptFailed(outcome)


async def _read(
    http: httpx.AsyncClient,
    request: AttemptRequest,
    progress: _Progress,
    resume: bool,
) -> collections.abc.AsyncIterator[list[events.Part]]:
    offset = progress.next_offset if resume else None
    parser = events.EventParser()
    async with _open(http, request, offset) as response:
        await _check(response)
        async for received in response.aiter_raw():
            accepted = _accept(parser.feed(received), progress)
            if accepted:
                yield accepted
            if progress.done:
                return


def _failure(error: httpx.HTTPError, resume: bool) -> model.Outcome:
    connecting = isinstance(
        error, (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
    )
    if connecting and not resume:
        return model.not_run(model.Reason.CONNECT_FAILED, repr(error))
    if isinstance(error, httpx.TimeoutException):
        return model.may_have_run(model.Reason.STALLED, repr(error))
    return model.may_have_run(model.Reason.CONNECTION_LOST, repr(error))


async def stream_attempt(
    http: httpx.AsyncClient, request: AttemptRequest
) -> collections.abc.AsyncIterator[list[events.Part]]:
    """Run an attempt and yield its parts in order, each exactly once.

    :param http: HTTP client.
    :param request: what is sent.
    :returns: parts, as many at a time as one read brought.
    :raises AttemptFailed: when the stream does not end whole.
    """
    progress = _Progress()
    resume = False
    while not progress.done:
        before = progress.next_offset
        failure = model.may_have_run(
            model.Reason.CONNECTION_LOST,
            f"stream of attempt {request.attempt_id} ended early",
        )
        reader = _read(http, request, progress, resume)
        try:
            async with contextlib.aclosing(reader) as parts:
                async for accepted in parts:
                    yield accepted
        except httpx.HTTPError as error:
            failure = _failure(error, resume)
        except AttemptFailed as error:
            if not resume:
                raise
            failure = dataclasses.replace(
                error.outcome, verdict=model.Verdict.MAY_HAVE_RUN
            )
        if progress.done:
            return
        if failure.verdict is model.Verdict.NOT_RUN:
            raise AttemptFailed(failure)
        moved = progress.next_offset > before
        progress.resumes = 0 if moved else progress.resumes + 1
        if progress.resumes >= MAX_RESUMES:
            raise AttemptFailed(failure)
        resume = True
        await trio.lowlevel.checkpoint()


async def cancel_attempt(
    http: httpx.AsyncClient, request: AttemptRequest
) -> None:
    """Tell the endpoint to stop an attempt; errors are left to it.

    :param http: HTTP client.
    :param request: the attempt.
    """
    with contextlib.suppress(httpx.HTTPError):
        await http.delete(f"{request.address}/v1/streams/{request.attempt_id}")
