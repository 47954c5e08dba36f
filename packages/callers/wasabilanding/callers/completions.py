"""Whole completions made of the chunks of a stream.

Explanation
===========

Engines are always asked for a stream. A caller that wants no stream gets one
completion: texts are joined, entries with an index, such as choices and tool
calls, are merged by it, and anything else takes its last value.
"""

import collections.abc
import json
import time
import typing

DEFAULT_FINISH = "stop"
# Deltas repeat these whole; other texts are pieces to be joined.
WHOLE_TEXTS = frozenset(("role", "id", "type", "name"))

Document = dict[str, typing.Any]


def streaming_body(body: bytes) -> bytes:
    """Return the body that asks an engine for a stream.

    :param body: JSON body of a caller that wants none.
    """
    document = json.loads(body)
    options = document.get("stream_options") or {}
    document["stream"] = True
    document["stream_options"] = {**options, "include_usage": True}
    return json.dumps(document).encode()


def _merge_value(name: str, old: typing.Any, new: typing.Any) -> typing.Any:
    if new is None or old is None:
        return old if new is None else new
    if isinstance(new, str) and name not in WHOLE_TEXTS:
        return old + new
    if isinstance(new, list):
        return _merge_list(old, new)
    if isinstance(new, dict):
        return _merge(old, new)
    return new


def _merge_list(old: list, new: list) -> list:
    if not all(isinstance(item, dict) and "index" in item for item in new):
        return old + new
    by_index = {item["index"]: item for item in old}
    for item in new:
        before = by_index.get(item["index"], {})
        by_index[item["index"]] = _merge(before, item)
    return [by_index[index] for index in sorted(by_index)]


def _merge(old: Document, new: Document) -> Document:
    merged = dict(old)
    for name, value in new.items():
        merged[name] = _merge_value(name, merged.get(name), value)
    return merged


def _plain_calls(message: Document) -> Document:
    calls = message.get("tool_calls")
    if not calls:
        return message
    cleaned = [
        {name: value for name, value in call.items() if name != "index"}
        for call in calls
    ]
    return {**message, "tool_calls": cleaned}


class _Choices:
    """Choices as far as they have come."""

    def __init__(self) -> None:
        self._deltas: dict[int, Document] = {}
        self._finish: dict[int, str] = {}
        self._logprobs: dict[int, Document] = {}

    def add(self, choice: Document) -> None:
        """Add what a chunk says of a choice."""
        index = choice.get("index", 0)
        before = self._deltas.get(index, {})
        self._deltas[index] = _merge(before, choice.get("delta") or {})
        if choice.get("finish_reason"):
            self._finish[index] = choice["finish_reason"]
        if choice.get("logprobs"):
            known = self._logprobs.get(index, {})
            self._logprobs[index] = _merge(known, choice["logprobs"])

    def render(self) -> list[Document]:
        """Return the choices, at least one."""
        return [self._render(i) for i in sorted(self._deltas or {0: {}})]

    def _render(self, index: int) -> Document:
        delta = self._deltas.get(index, {})
        text = None if delta.get("tool_calls") else ""
        message = {"role": "assistant", "content": text, **delta}
        choice = {
            "index": index,
            "message": _plain_calls(message),
            "finish_reason": self._finish.get(index, DEFAULT_FINISH),
        }
        if index in self._logprobs:
            choice["logprobs"] = self._logprobs[index]
        return choice


def whole_completion(
    request_id: str,
    service: str,
    payloads: collections.abc.Sequence[bytes],
) -> Document:
    """Return one completion made of the chunks of a stream.

    :param request_id: identity of the submission.
    :param service: service that answered.
    :param payloads: payloads of the stream's events, in order.
    """
    choices = _Choices()
    usage = None
    created = int(time.time())
    for payload in payloads:
        chunk = json.loads(payload)
        for choice in chunk.get("choices") or ():
            choices.add(choice)
        usage = chunk.get("usage") or usage
        created = chunk.get("created") or created
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion",
        "created": created,
        "model": service,
        "choices": choices.render(),
        "usage": usage or {"completion_tokens": len(payloads)},
    }
