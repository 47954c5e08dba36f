"""Steps for what an ordinary client sees."""

import json

import behave
import httpx
import trio

from wasabilanding import callers
from wasabilanding import model

MEGABYTE = 1_000_000
CHAT = "/v1/chat/completions"
QUESTION = {"model": "escriba", "messages": [{"content": "a"}]}


def _delta(index, delta, finish=None):
    choice = {"index": index, "delta": delta, "finish_reason": finish}
    return {"choices": [choice]}


def _call(index, **function):
    return {"tool_calls": [{"index": index, "function": function}]}


CHUNKS = {
    "two choices": [
        _delta(0, {"role": "assistant", "content": "a"}),
        _delta(1, {"role": "assistant", "content": "x"}),
        _delta(0, {"content": "b"}, "stop"),
        _delta(1, {"content": "y"}, "length"),
    ],
    "a tool call": [
        _delta(
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
        _delta(0, _call(0, arguments='{"nail"')),
        _delta(0, _call(0, arguments=': "gel"}'), "tool_calls"),
    ],
    "usage": [
        _delta(0, {"content": "a"}, "stop"),
        {"choices": [], "usage": {"prompt_tokens": 7, "total_tokens": 8}},
    ],
}


class _Service:
    """Streams given chunks, or fails."""

    ready = True
    services = ("escriba", "escaparate")

    def __init__(self, chunks=(), outcome=None):
        self._chunks = chunks
        self._outcome = outcome
        self.seen = None

    async def run(self, request):
        self.seen = request
        await trio.lowlevel.checkpoint()
        if self._outcome is not None:
            raise callers.RequestFailed(self._outcome)
        for chunk in self._chunks:
            yield [json.dumps(chunk).encode()]


def _ask(service, method, path, **arguments):
    async def act():
        transport = httpx.ASGITransport(callers.callers_app(service))
        async with httpx.AsyncClient(
            transport=transport, base_url="http://entry"
        ) as http:
            return await http.request(method, path, **arguments)

    return trio.run(act)


@behave.when('a client sends {method} {path} as "{kind}" with body {body}')
def send(context, method, path, kind, body):
    """Send a request."""
    if body == "large":
        body = json.dumps("a" * 9 * MEGABYTE)
    context.answer = _ask(
        _Service(), method, path, content=body, headers={"Content-Type": kind}
    )


@behave.then(
    "it gets status {status:d} and a typed error that nothing was run"
)
def check_error(context, status):
    """Compare the status and the body."""
    answer = context.answer
    assert answer.status_code == status, (answer.status_code, answer.text)
    assert answer.headers["X-Outcome"] == "not_run", answer.headers
    error = answer.json()["error"]
    assert error["outcome"] == "not_run" and error["message"], error


@behave.when("a client lists the models")
def list_models(context):
    """List the models."""
    context.answer = _ask(_Service(), "GET", "/v1/models")


@behave.then("it sees the services")
def check_models(context):
    """Compare the names."""
    names = [entry["id"] for entry in context.answer.json()["data"]]
    assert names == ["escaparate", "escriba"], names


@behave.when("an engine streams {what} to a client that wants no stream")
def answer_whole(context, what):
    """Ask for a whole answer."""
    context.service = _Service(CHUNKS[what])
    answer = _ask(context.service, "POST", CHAT, json=QUESTION)
    assert answer.status_code == 200, answer.text
    context.completion = answer.json()


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
    due = {"id": "call-1", "type": "function", "function": function}
    assert call == due, call
    assert choice["message"]["content"] is None, choice
    assert choice["finish_reason"] == "tool_calls", choice


@behave.then("the client gets the usage that the engine counted")
def check_usage(context):
    """Compare the usage."""
    usage = context.completion["usage"]
    assert usage == {"prompt_tokens": 7, "total_tokens": 8}, usage


@behave.then("the engine was asked for a stream")
def check_body(context):
    """Compare the body that goes to the engine."""
    body = json.loads(context.service.seen.body)
    assert body["stream"] is True, body
    assert body["stream_options"]["include_usage"] is True, body


@behave.when("a stream fails before its first part")
def fail(context):
    """Ask for a stream that fails."""
    outcome = model.not_run(model.Reason.NO_REPLICA, "none is whole", 2.0)
    body = {**QUESTION, "stream": True}
    context.answer = _ask(_Service((), outcome), "POST", CHAT, json=body)


@behave.then("it is told when to come back")
def check_comeback(context):
    """Compare the header."""
    assert context.answer.headers["Retry-After"] == "2", context.answer.headers
