"""Steps for traces, logs, metrics and health."""

import json
import time
import uuid

import behave
import httpx

CALLER_SPAN = "00f067aa0ba902b7"
WAIT_S = 5.0
POLL_S = 0.05
LOG_FIELDS = ("node", "failure_domain", "request", "service", "customer")


def _json_lines(path):
    for line in path.read_text().splitlines():
        if line.startswith("{"):
            yield json.loads(line)


def _spans(context, trace):
    path = context.folder / f"{context.node.name}.spans.jsonl"
    return {
        span["name"]: span
        for span in _json_lines(path)
        if span["context"]["trace_id"] == f"0x{trace}"
    }


def _wait_until(condition):
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_S)
    return False


@behave.when("a caller sends a request {kind} with trace {trace}")
def send(context, kind, trace):
    """Send a request that belongs to a caller's trace."""
    headers = {
        "traceparent": f"00-{trace}-{CALLER_SPAN}-01",
        "X-Customer": "salon-maipu",
    }
    if kind == "non-idempotent":
        headers["X-Non-Idempotent"] = "true"
        headers["Idempotency-Key"] = uuid.uuid4().hex
    body = {
        "model": "escriba",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": f"trace {trace}"}],
    }
    url = f"{context.node.callers_url}/v1/chat/completions"
    response = httpx.post(url, json=body, headers=headers)
    assert response.status_code == 200, response.text


@behave.then(
    "the spans {names} are in trace {trace}, each a child of the previous"
)
def check_spans(context, names, trace):
    """Check the parents of the spans, from the caller's span down."""
    names = names.split()
    assert _wait_until(lambda: set(names) <= set(_spans(context, trace)))
    spans = _spans(context, trace)
    parent = f"0x{CALLER_SPAN}"
    for name in names:
        assert spans[name]["parent_id"] == parent, spans[name]
        parent = spans[name]["context"]["span_id"]


@behave.then(
    "a JSON log line has node, failure domain, request, service and customer"
)
def check_log(context):
    """Look for a log line with all these fields."""
    path = context.folder / f"{context.node.name}.log"

    def has_complete_line():
        return any(set(LOG_FIELDS) <= set(line) for line in _json_lines(path))

    assert _wait_until(has_complete_line)


@behave.when("{path} is read from the {port} port")
def fetch(context, path, port):
    """Fetch the path from the port."""
    urls = {
        "callers": context.node.callers_url,
        "administration": context.node.administration_url,
    }
    context.response = httpx.get(urls[port] + path)


@behave.then("it answers {status:d} with {text}")
def check_response(context, status, text):
    """Check the status and the body."""
    assert context.response.status_code == status
    assert text in context.response.text, context.response.text
