"""Conversion of streamed chunks to a single completion.

Explanation
===========

Engines are always asked for a stream. A caller that did not request a stream
gets a single completion: strings are concatenated, list items with an index,
such as choices and tool calls, are merged by index, and any other field takes
its last value.
"""

import collections.abc
import json
import time
import typing

DEFAULT_FINISH_REASON = "stop"
# Each delta has the full value of these; other strings are concatenated.
REPLACED_FIELDS = frozenset(("role", "id", "type", "name"))

Document = dict[str, typing.Any]


def enable_streaming(body: bytes) -> bytes:
    """Return the request body with streaming turned on.

    :param body: JSON body of a request without streaming.
    """
    document = json.loads(body)
    options = document.get("stream_options") or {}
    document["stream"] = True
    document["stream_options"] = {**options, "include_usage": True}
    return json.dumps(document).encode()


def _merge_value(name: str, old: typing.Any, new: typing.Any) -> typing.Any:
    if new is None or old is None:
        return old if new is None else new
    if isinstance(new, str) and name not in REPLACED_FIELDS:
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
        previous = by_index.get(item["index"], {})
        by_index[item["index"]] = _merge(previous, item)
    return [by_index[index] for index in sorted(by_index)]


def _merge(old: Document, new: Document) -> Document:
    merged = dict(old)
    for name, value in new.items():
        merged[name] = _merge_value(name, merged.get(name), value)
    return merged


def _without_tool_call_index(message: Document) -> Document:
    calls = message.get("tool_calls")
    if not calls:
        return message
    without_index = [
        {name: value for name, value in call.items() if name != "index"}
        for call in calls
    ]
    return {**message, "tool_calls": without_index}


class _ChoiceAccumulator:
    """Merges the deltas of choices."""

    def __init__(self) -> None:
        self._deltas: dict[int, Document] = {}
        self._finish_reasons: dict[int, str] = {}
        self._logprobs: dict[int, Document] = {}

    def add(self, choice: Document) -> None:
        """Merge the delta of a choice from one chunk."""
        index = choice.get("index", 0)
        previous = self._deltas.get(index, {})
        self._deltas[index] = _merge(previous, choice.get("delta") or {})
        if choice.get("finish_reason"):
            self._finish_reasons[index] = choice["finish_reason"]
        if choice.get("logprobs"):
            previous_logprobs = self._logprobs.get(index, {})
            self._logprobs[index] = _merge(
                previous_logprobs, choice["logprobs"]
            )

    def render(self) -> list[Document]:
        """Return the merged choices, at least one."""
        return [self._render(i) for i in sorted(self._deltas or {0: {}})]

    def _render(self, index: int) -> Document:
        delta = self._deltas.get(index, {})
        text = None if delta.get("tool_calls") else ""
        message = {"role": "assistant", "content": text, **delta}
        choice = {
            "index": index,
            "message": _without_tool_call_index(message),
            "finish_reason": self._finish_reasons.get(
                index, DEFAULT_FINISH_REASON
            ),
        }
        if index in self._logprobs:
            choice["logprobs"] = self._logprobs[index]
        return choice


def assemble_completion(
    request_id: str,
    service: str,
    payloads: collections.abc.Sequence[bytes],
) -> Document:
    """Return one completion assembled from the chunks of a stream.

    :param request_id: ID of the request.
    :param service: service that answered.
    :param payloads: payloads of the stream's events, in order.
    """
    choices = _ChoiceAccumulator()
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
