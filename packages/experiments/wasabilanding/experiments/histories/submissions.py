"""Attempts of callers with their results, and starts by engines."""

import collections
import dataclasses
import json

import httpx
import trio

from wasabilanding.experiments import cluster

CALLERS = "callers"
CALL_TIMEOUT_S = 60.0
UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True)
class Submission:
    """One attempt of a caller to run a request.

    :param key: idempotency key, empty for none.
    :param prompt: text of the request; one request has one prompt.
    :param node: entry VM that received it.
    :param sent_at: time at which it was sent, in seconds.
    :param ended_at: time of the answer or of the failure, in seconds.
    :param status: HTTP status; 0 without an answer.
    :param verdict: completed, not_run, may_have_run, or unanswered.
    :param reason: reason of an answer that is not a success.
    :param retry_after: value of the Retry-After header, empty for none.
    :param text: generated text, empty unless the request completed.
    """

    key: str
    prompt: str
    node: str
    sent_at: float
    ended_at: float
    status: int = 0
    verdict: str = UNANSWERED
    reason: str = ""
    retry_after: str = ""
    text: str = ""


def _headers(key: str, customer: str) -> dict[str, str]:
    headers = {"X-Customer": customer}
    if key:
        headers |= {"X-Non-Idempotent": "true", "Idempotency-Key": key}
    return headers


def _with_response(
    submission: Submission, response: httpx.Response
) -> Submission:
    headers = response.headers
    answered = dataclasses.replace(
        submission,
        ended_at=trio.current_time(),
        status=response.status_code,
        verdict=headers.get("X-Outcome", "completed"),
        reason=headers.get("X-Reason", ""),
        retry_after=headers.get("Retry-After", ""),
    )
    if response.is_error:
        return answered
    text = response.json()["choices"][0]["message"]["content"]
    return dataclasses.replace(answered, text=text)


async def submit(
    system: cluster.Cluster,
    node: str,
    prompt: str,
    key: str = "",
    customer: str = "salon",
    service: str = "escriba",
    length: int = 8,
) -> Submission:
    """Send a request and wait; it is non-idempotent when it has a key.

    :param system: the cluster.
    :param node: entry VM that receives it.
    :param prompt: text of the request.
    :param key: idempotency key, empty for an idempotent request.
    :param customer: customer of the caller.
    :param service: name of the service.
    :param length: number of parts to generate.
    """
    now = trio.current_time()
    submission = Submission(key, prompt, node, now, now)
    body = {
        "model": service,
        "max_tokens": length,
        "messages": [{"role": "user", "content": prompt}],
    }
    url = f"http://{node}:{cluster.CALLERS_PORT}/v1/chat/completions"
    try:
        async with system.client(CALLERS) as http:
            response = await http.post(
                url,
                content=json.dumps(body),
                headers=_headers(key, customer),
                timeout=CALL_TIMEOUT_S,
            )
    except httpx.HTTPError:
        return dataclasses.replace(submission, ended_at=trio.current_time())
    return _with_response(submission, response)


def starts(system: cluster.Cluster) -> collections.Counter[str]:
    """Count the starts of each prompt in the logs of all engines.

    :param system: the cluster.
    """
    return collections.Counter(
        entry[1] for fleet in system.fleets.values() for entry in fleet.log
    )
