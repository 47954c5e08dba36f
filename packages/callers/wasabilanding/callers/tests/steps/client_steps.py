"""Steps for the chat completions API."""

import json

import behave
import httpx
import trio

from wasabilanding import callers
from wasabilanding import model

MEGABYTE = 1_000_000
COMPLETIONS_PATH = "/v1/chat/completions"
CHAT_REQUEST = {"model": "escriba", "messages": [{"content": "a"}]}


def _chunk(index, delta, finish=None):
    choice = {"index": index, "delta": delta, "finish_reason": finish}
    return {"choices": [choice]}


def _tool_call_delta(index, **function):
    return {"tool_calls": [{"index": index, "function": function}]}


CHUNKS = {
    "two choices": [
        _chunk(0, {"role": "assistant", "content": "a"}),
        _chunk(1, {"role": "assistant", "content": "x"}),
        _chunk(0, {"content": "b"}, "stop"),
        _chunk(1, {"content": "y"}, "length"),
    ],
    "a tool call": [
        _chunk(
            0,
            {
                "tool_calls": [
                    {
                        "index": 0,
                        "id": "call-1",
                        "type": "function",
                        "function": {"name": "price", "arguments": ""},
                    }
                ]
            },
        ),
        _chunk(0, _tool_call_delta(0, arguments='{"nail"')),
        _chunk(0, _tool_call_delta(0, arguments=': "gel"}'), "tool_calls"),
    ],
    "usage": [
        _chunk(0, {"content": "a"}, "stop"),
        {"choices": [], "usage": {"prompt_tokens": 7, "total_tokens": 8}},
    ],
}


class _FakeRequestHandler:
    """Streams the given chunks, or fails with the given outcome."""

    ready = True
    services = ("escriba", "escaparate")

    def __init__(self, chunks=(), outcome=None):
        self._chunks = chunks
        self._outcome = outcome
        self.last_request = None

    async def run(self, request):
        self.last_request = request
        await trio.lowlevel.checkpoint()
        if self._outcome is not None:
            raise callers.RequestFailed(self._outcome)
        for chunk in self._chunks:
            yield [json.dumps(chunk).encode()]


def _send_request(service, method, path, **arguments):
    async def send_async():
        transport = httpx.ASGITransport(callers.callers_app(service))
        async with httpx.AsyncClient(
            transport=transport, base_url="http://entry"
        ) as http:
            return await http.request(method, path, **arguments)

    return trio.run(send_async)


@behave.when(
    'a client sends {method} {path} as "{content_type}" with body {body}'
)
def send(context, method, path, content_type, body):
    """Send a request."""
    if body == "large":
        body = json.dumps("a" * 9 * MEGABYTE)
    context.response = _send_request(
        _FakeRequestHandler(),
        method,
        path,
        content=body,
        headers={"Content-Type": content_type},
    )


@behave.then(
    "it gets status {status:d} and a typed error with outcome not_run"
)
def check_error(context, status):
    """Compare the status, the outcome header and the error body."""
    response = context.response
    assert response.status_code == status, (
        response.status_code,
        response.text,
    )
    assert response.headers["X-Outcome"] == "not_run", response.headers
    error = response.json()["error"]
    assert error["outcome"] == "not_run" and error["message"], error


@behave.when("a client lists the models")
def list_models(context):
    """List the models."""
    context.response = _send_request(
        _FakeRequestHandler(), "GET", "/v1/models"
    )


@behave.then("the list has the names of the services")
def check_models(context):
    """Compare the names."""
    names = [entry["id"] for entry in context.response.json()["data"]]
    assert names == ["escaparate", "escriba"], names


@behave.when(
    "an engine streams {what} to a client that did not request a stream"
)
def request_completion(context, what):
    """Request a completion without streaming."""
    context.service = _FakeRequestHandler(CHUNKS[what])
    response = _send_request(
        context.service, "POST", COMPLETIONS_PATH, json=CHAT_REQUEST
    )
    assert response.status_code == 200, response.text
    context.completion = response.json()


@behave.then("the client gets the texts of both choices and how each finished")
def check_choices(context):
    """Compare both choices."""
    seen = [
        (c["index"], c["message"]["content"], c["finish_reason"])
        for c in context.completion["choices"]
    ]
    assert seen == [(0, "ab", "stop"), (1, "xy", "length")], seen


@behave.then("the client gets the whole tool call and no text")
def check_tool_call(context):
    """Compare the tool call."""
    (choice,) = context.completion["choices"]
    (call,) = choice["message"]["tool_calls"]
    function = {"name": "price", "arguments": '{"nail": "gel"}'}
    expected = {"id": "call-1", "type": "function", "function": function}
    assert call == expected, call
    assert choice["message"]["content"] is None, choice
    assert choice["finish_reason"] == "tool_calls", choice


@behave.then("the client gets the usage that the engine counted")
def check_usage(context):
    """Compare the usage."""
    usage = context.completion["usage"]
    assert usage == {"prompt_tokens": 7, "total_tokens": 8}, usage


@behave.then("the engine request has streaming turned on")
def check_body(context):
    """Check the request body sent to the engine."""
    body = json.loads(context.service.last_request.body)
    assert body["stream"] is True, body
    assert body["stream_options"]["include_usage"] is True, body


@behave.when("a stream fails before its first event")
def fail(context):
    """Request a stream that fails."""
    outcome = model.not_run(
        model.Reason.NO_REPLICA, "no replica is serving", 2.0
    )
    body = {**CHAT_REQUEST, "stream": True}
    context.response = _send_request(
        _FakeRequestHandler((), outcome), "POST", COMPLETIONS_PATH, json=body
    )


@behave.then("it gets a Retry-After header")
def check_retry_after(context):
    """Compare the header."""
    assert context.response.headers["Retry-After"] == "2", (
        context.response.headers
    )
