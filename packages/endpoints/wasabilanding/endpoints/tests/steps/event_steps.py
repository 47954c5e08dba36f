"""Steps for the parser of server-sent events."""

import json

import behave
import hypothesis
from hypothesis import strategies

from wasabilanding import endpoints

COUNT = 5
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, database=None, deadline=None
)


@behave.when("the parser is fed {text}")
def feed(context, text):
    """Feed the text byte by byte."""
    parser = endpoints.EventParser()
    context.parts = []
    for byte in json.loads(text).encode():
        context.parts += parser.feed(bytes([byte]))


@behave.then("it finds offset {offset:d} with data {data}")
def check_event(context, offset, data):
    """Compare the only event."""
    expected = endpoints.Part(offset, json.loads(data).encode())
    assert context.parts == [expected], context.parts


@behave.when("streams with any line ends are split at random positions")
def split(context):
    """Define the check; the next step runs it."""
    ends = strategies.sampled_from([b"\n", b"\r\n", b"\r"])
    cuts = strategies.lists(strategies.integers(0, 80))

    @SETTINGS
    @hypothesis.given(ends, cuts)
    def check(end, places):
        lines = [b"id: %d", b"data: part", b"", b""]
        stream = b"".join(end.join(lines) % n for n in range(COUNT))
        parser = endpoints.EventParser()
        found = []
        bounds = sorted({0, *places, len(stream)})
        for start, stop in zip(bounds, bounds[1:]):
            found += parser.feed(stream[start:stop])
        # A final carriage return may be the first half of a line end.
        found += parser.feed(b":")
        expected = [endpoints.Part(n, b"part") for n in range(COUNT)]
        assert found == expected, (end, places, found)

    context.check = check


@behave.then("the parser finds the same events")
def check_splits(context):
    """Run the examples."""
    context.check()
