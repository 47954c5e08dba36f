"""Steps for the parsing of callers' requests."""

import json

import behave

from wasabilanding import callers

MESSAGE = {"role": "user", "content": "a"}


def _body(count, what):
    if what == "messages":
        messages = [MESSAGE] * count
        return json.dumps({"model": "m", "messages": messages}).encode()
    if what.endswith("in its text"):
        text = ("," if what.startswith("commas") else '",\\') * count
        messages = [{"role": "user", "content": text}]
        return json.dumps({"model": "m", "messages": messages}).encode()
    value = b"[]," if what == "empty lists" else b'{"a":'
    return b'{"model":"m","messages":[' + value * count


@behave.when("a request of {count:d} {what} is parsed")
def when_parsed(context, count, what):
    """Parse a request."""
    context.error = None
    try:
        callers.parse_request({}, _body(count, what))
    except callers.InvalidRequest as error:
        context.error = str(error)


@behave.then("it is {outcome}")
def then_outcome(context, outcome):
    """Check whether it was refused for its values."""
    if outcome == "accepted":
        assert context.error is None, context.error
    else:
        assert "exceed the limit" in context.error, context.error
