"""A caller's request, checked."""

import collections.abc
import dataclasses
import json
import math
import uuid

from wasabilanding.callers import completions
from wasabilanding import model

DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 3_600_000
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_KEY_LENGTH = 200
MS_PER_S = 1000


class RequestFailed(Exception):
    """A request ended without a whole answer.

    :param outcome: its outcome.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class InvalidRequest(RequestFailed):
    """A request is malformed.

    :param detail: explanation that names the offending value.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(model.not_run(model.Reason.INVALID_REQUEST, detail))


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as its caller sent it.

    :param request_id: identity given to this submission.
    :param service: service that is asked for.
    :param customer: customer that the caller belongs to.
    :param deadline_s: seconds from arrival in which the answer is wanted.
    :param priority: from 0, shed first, to 9.
    :param idempotent: whether it may run more than once.
    :param idempotency_key: key that is the same on every try, or empty.
    :param stream: whether the caller wants server-sent events.
    :param body: JSON body for the engine; it asks for a stream.
    :param prompt: text that decides which prefix caches help.
    :param trace: headers of the W3C trace context.
    :param max_tokens: bound on the answer's length; 0 when unknown.
    """

    request_id: str
    service: str
    customer: str
    deadline_s: float
    priority: int
    idempotent: bool
    idempotency_key: str
    stream: bool
    body: bytes
    prompt: str
    trace: dict[str, str] = dataclasses.field(default_factory=dict)
    max_tokens: int = 0


Headers = collections.abc.Mapping[str, str]


def _integer(
    headers: Headers, name: str, default: int, low: int, high: int
) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdecimal() or not low <= int(text) <= high:
        raise InvalidRequest(
            f"header {name}: {text!r} is not an integer from {low} to {high}"
        )
    return int(text)


def _flag(headers: Headers, name: str) -> bool:
    text = headers.get(name, "false").lower()
    if text not in ("true", "false"):
        raise InvalidRequest(
            f"header {name}: {text!r} is neither true nor false"
        )
    return text == "true"


def _document(body: bytes) -> dict:
    try:
        document = json.loads(body)
    except ValueError as error:
        raise InvalidRequest(f"body is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise InvalidRequest("body is not a JSON object")
    return document


def _prompt(document: dict) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest(f"messages: {messages!r} is not a non-empty list")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not (
            "content" in message or "tool_calls" in message
        ):
            raise InvalidRequest(f"messages.{index}: has no content")
    return "\n".join(str(message.get("content")) for message in messages)


def _check_numbers(document: dict) -> None:
    length = document.get("max_tokens")
    if length is not None and (type(length) is not int or length < 1):
        raise InvalidRequest(
            f"max_tokens: {length!r} is not a positive integer"
        )
    temperature = document.get("temperature")
    if temperature is None:
        return
    if not isinstance(temperature, (int, float)) or not math.isfinite(
        temperature
    ):
        raise InvalidRequest(f"temperature: {temperature!r} is not a number")


def _key(headers: Headers) -> str:
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidRequest(
            f"header Idempotency-Key: {len(key)} characters, at most "
            f"{MAX_KEY_LENGTH} are allowed"
        )
    return key


def parse_request(headers: Headers, body: bytes) -> CallerRequest:
    """Check a request in the chat-completions form.

    :param headers: HTTP headers, looked up without regard to case.
    :param body: HTTP body.
    :raises InvalidRequest: when it is malformed; nothing was run.
    """
    document = _document(body)
    service = document.get("model")
    if not isinstance(service, str) or not service:
        raise InvalidRequest(f"model: {service!r} is not a service name")
    prompt = _prompt(document)
    _check_numbers(document)
    deadline_ms = _integer(
        headers,
        "X-Deadline-Ms",
        DEFAULT_DEADLINE_MS,
        1,
        MAX_DEADLINE_MS,
    )
    trace = {
        name: headers[name]
        for name in ("traceparent", "tracestate")
        if name in headers
    }
    stream = document.get("stream") is True
    return CallerRequest(
        request_id=uuid.uuid4().hex,
        service=service,
        customer=headers.get("X-Customer", "default"),
        deadline_s=deadline_ms / MS_PER_S,
        priority=_integer(
            headers, "X-Priority", DEFAULT_PRIORITY, 0, MAX_PRIORITY
        ),
        idempotent=not _flag(headers, "X-Non-Idempotent"),
        idempotency_key=_key(headers),
        stream=stream,
        body=body if stream else completions.streaming_body(body),
        prompt=prompt,
        trace=trace,
        max_tokens=document.get("max_tokens") or 0,
    )
