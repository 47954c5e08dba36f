"""Validation of requests from callers."""

import collections.abc
import dataclasses
import json
import math
import re
import uuid

from wasabilanding.callers import completions
from wasabilanding import model

DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 3_600_000
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_IDEMPOTENCY_KEY_CHARS = 200
MS_PER_S = 1000
# A parsed object takes over 200 bytes, however short its text is. The largest
# body of the shortest messages has fewer values.
MAX_VALUES = 1_000_000
VALUE_MARKS = (b",", b"[", b"{")
JSON_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)


class RequestFailed(Exception):
    """A request ended without a complete answer.

    :param outcome: outcome of the request.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


class InvalidRequest(RequestFailed):
    """A request is malformed.

    :param detail: explanation that names the invalid value.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(model.not_run(model.Reason.INVALID_REQUEST, detail))


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A validated request from a caller.

    :param request_id: ID generated for this submission.
    :param service: requested service.
    :param customer: customer that the caller belongs to.
    :param deadline_s: deadline, in seconds after arrival.
    :param priority: priority from 0 to 9; 0 is shed first.
    :param idempotent: whether it may run more than once.
    :param idempotency_key: key that is the same on every retry, or empty.
    :param stream: whether the caller requested server-sent events.
    :param body: JSON body for the engine, always with streaming turned on.
    :param prompt: prompt text, used to match prefix caches.
    :param trace: W3C trace context headers.
    :param max_tokens: maximum length of the answer; 0 if unknown.
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


def _integer_header(
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


def _boolean_header(headers: Headers, name: str) -> bool:
    text = headers.get(name, "false").lower()
    if text not in ("true", "false"):
        raise InvalidRequest(
            f"header {name}: {text!r} is neither true nor false"
        )
    return text == "true"


def _count_values(text: bytes) -> int:
    return sum(text.count(mark) for mark in VALUE_MARKS)


def _check_values(body: bytes) -> None:
    """Check that a document has not too many values to be parsed.

    Texts are left out only if there may be too many: a table in a text has
    more commas than any request has values.
    """
    if _count_values(body) <= MAX_VALUES:
        return
    values = _count_values(JSON_TEXT.sub(b"", body))
    if values > MAX_VALUES:
        raise InvalidRequest(
            f"body: {values} values exceed the limit of {MAX_VALUES}"
        )


def _parse_document(body: bytes) -> dict:
    _check_values(body)
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequest(f"body is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise InvalidRequest("body is not a JSON object")
    return document


def _parse_prompt(document: dict) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest(f"messages: {messages!r} is not a non-empty list")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not (
            "content" in message or "tool_calls" in message
        ):
            raise InvalidRequest(
                f"messages.{index}: needs content or tool_calls"
            )
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
        raise InvalidRequest(
            f"temperature: {temperature!r} is not a finite number"
        )


def _idempotency_key(headers: Headers) -> str:
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise InvalidRequest(
            f"header Idempotency-Key: {len(key)} characters exceed the limit "
            f"of {MAX_IDEMPOTENCY_KEY_CHARS}"
        )
    return key


def parse_request(headers: Headers, body: bytes) -> CallerRequest:
    """Parse a request in the OpenAI chat completions format.

    :param headers: HTTP headers; lookup must be case-insensitive.
    :param body: HTTP body.
    :raises InvalidRequest: if it is malformed; nothing was run.
    """
    document = _parse_document(body)
    service = document.get("model")
    if not isinstance(service, str) or not service:
        raise InvalidRequest(f"model: {service!r} is not a service name")
    prompt = _parse_prompt(document)
    _check_numbers(document)
    deadline_ms = _integer_header(
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
        priority=_integer_header(
            headers, "X-Priority", DEFAULT_PRIORITY, 0, MAX_PRIORITY
        ),
        idempotent=not _boolean_header(headers, "X-Non-Idempotent"),
        idempotency_key=_idempotency_key(headers),
        stream=stream,
        body=body if stream else completions.enable_streaming(body),
        prompt=prompt,
        trace=trace,
        max_tokens=document.get("max_tokens") or 0,
    )
