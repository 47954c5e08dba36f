"""Steps for replies that an endpoint sends once more, over loopback."""

import contextlib

import behave
import trio

from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import loopback

# Time in which bytes that were sent have arrived.
SETTLED_S = 0.02
TIMEOUT_S = 20.0
STATUSES = {"success": 200, "failure": 500, "refusal": 503}
# Exchanges after the first, counted from 1, in which a reply is repeated.
EXCHANGES = {
    "once the next request was sent": 1,
    "while the next body is being sent": 1,
    "once the second next was sent": 2,
}
LARGE_BODY = b"x" * 200_000


def _reply(status, request_id):
    """Return a reply to a request; one of an unknown request names none."""
    fields = [f"HTTP/1.1 {status} X", "Content-Length: 2"]
    if request_id is not None:
        fields.append(f"x-request: {request_id}")
    if status == STATUSES["refusal"]:
        fields.append("x-not-run: 1")
    return "\r\n".join((*fields, "", "ok")).encode()


class _Request:
    """A request that an endpoint has read.

    :param head: its head, without the blank line.
    """

    def __init__(self, head):
        lines = [line.partition(":") for line in head.decode().splitlines()]
        fields = {name.lower(): value.strip() for name, _, value in lines}
        self.request_id = fields["x-request"]
        self.length = int(fields.get("content-length", 0))


class Endpoint:
    """Endpoint that sends its first reply once more.

    :param first: kind of its first reply; the last one has another status.
    :param moment: when it sends it again; None for never.
    :param names_request: whether the repeated reply names its request.
    """

    def __init__(self, first, moment=None, names_request=True):
        self._first = STATUSES[first]
        self._moment = moment
        self._names_request = names_request
        self.connections = 0
        self.ids = []
        self.runs = []
        # Number of the last request, whose reply has another status.
        self.last = None

    async def serve(self, stream):
        """Reply to the requests on one connection."""
        self.connections += 1
        extra = None
        exchange = -1
        buffer = bytearray()
        with contextlib.suppress(trio.BrokenResourceError):
            while await self._read_until(stream, buffer, b"\r\n\r\n"):
                head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
                request = _Request(head)
                buffer[:] = rest
                exchange += 1
                if extra and EXCHANGES.get(self._moment) == exchange:
                    await stream.send_all(extra)
                    extra = None
                    await trio.sleep(SETTLED_S)
                while len(buffer) < request.length:
                    buffer += await stream.receive_some()
                del buffer[: request.length]
                is_first = not self.ids
                reply = _reply(self._status(), request.request_id)
                self.ids.append(request.request_id)
                if is_first:
                    named = request.request_id if self._names_request else None
                    extra = _reply(self._first, named)
                    if self._moment == "with the first":
                        reply += extra
                await stream.send_all(reply)
                if is_first and self._moment == "between two requests":
                    await trio.sleep(SETTLED_S)
                    await stream.send_all(extra)

    def _status(self):
        """Return the status of the next reply."""
        number = len(self.ids) + 1
        if number == 1:
            return self._first
        if number == self.last and self._first == STATUSES["success"]:
            return STATUSES["failure"]
        return STATUSES["success"]

    async def _read_until(self, stream, buffer, mark):
        while mark not in buffer:
            received = await stream.receive_some()
            if not received:
                return False
            buffer += received
        return True


@behave.given("an endpoint that repeats its first {first}, {moment}")
def given_repeating(context, first, moment):
    """Make an endpoint."""
    context.endpoint = Endpoint(first, moment)
    is_large = moment == "while the next body is being sent"
    context.body = LARGE_BODY if is_large else b"body"


@behave.given("an endpoint that repeats nothing")
def given_sound(context):
    """Make an endpoint."""
    context.endpoint = Endpoint("success")
    context.body = b"body"


@behave.when('{kind} requests with the ids "{ids}" are sent to it')
def send(context, kind, ids):
    """Send one request after the other."""
    table = fakes.table(
        kind.removeprefix("resumable "), kind.startswith("resumable "), 1
    )
    found = ids.split()
    context.endpoint.last = len(found)
    context.statuses = []

    async def run():
        async with trio.open_nursery() as nursery:
            system = await loopback.system(nursery, context.endpoint, table)
            async with system.forwarder():
                for request_id in found:
                    system.view.mark_current(0.0)
                    caller = await system.ask(
                        [(b"x-request", request_id.encode())],
                        body=context.body,
                    )
                    context.statuses.append(caller.status)
                    await trio.sleep(3 * SETTLED_S)
            nursery.cancel_scope.cancel()

    async def run_in_time():
        with trio.fail_after(TIMEOUT_S):
            await run()

    trio.run(run_in_time)


@behave.then('their callers get "{statuses}"')
def check_statuses(context, statuses):
    """Compare the answers."""
    assert context.statuses == [int(s) for s in statuses.split()], (
        context.statuses
    )


@behave.then("it has accepted {count:d} connections from the node")
def check_connections(context, count):
    """Compare the number of connections."""
    assert context.endpoint.connections == count, context.endpoint.connections
