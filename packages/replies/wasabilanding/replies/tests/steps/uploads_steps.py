"""Steps for replies that are cut or not valid, over loopback."""

import contextlib
import socket
import struct

import behave
import httpx
import trio

from wasabilanding import endpoints
from wasabilanding import gateway
from wasabilanding import limits
from wasabilanding import metadata
from wasabilanding import operators

RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65536
# From the reply to the reset, so that the client writes meanwhile.
RESET_AFTER_S = 0.05
TIMEOUT_S = 5.0
END = b"\r\n\r\n"
PART = b"a part of a reply"
HEADS = {
    "without length": b"HTTP/1.1 200 OK\r\n\r\n",
    "with a length": b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
}


def _reply(start, *lines, body=b"whole"):
    return b"\r\n".join([start, *lines, b"", body])


LENGTH = b"content-length: 5"
OK = b"HTTP/1.1 200 OK"
FORMS = {
    "status 000": _reply(b"HTTP/1.1 000 OK", LENGTH),
    "status 099": _reply(b"HTTP/1.1 099 OK", LENGTH),
    "status 600": _reply(b"HTTP/1.1 600 OK", LENGTH),
    "status 999": _reply(b"HTTP/1.1 999 OK", LENGTH),
    "status 2000": _reply(b"HTTP/1.1 2000 OK", LENGTH),
    "204 with a body": _reply(b"HTTP/1.1 204 OK", LENGTH),
    "204 in chunks": _reply(
        b"HTTP/1.1 204 OK",
        b"transfer-encoding: chunked",
        body=b"5\r\nwhole\r\n0\r\n\r\n",
    ),
    "version 1.2": _reply(b"HTTP/1.2 200 OK", LENGTH),
    "version 2.0": _reply(b"HTTP/2.0 200 OK", LENGTH),
    "control byte in the reason": _reply(b"HTTP/1.1 200 O\x01K", LENGTH),
    "control byte in a value": _reply(OK, LENGTH, b"x: a\x01b"),
    "blank in a name": _reply(OK, LENGTH, b"x y: a"),
    "control byte in a name": _reply(OK, LENGTH, b"x\x01y: a"),
    "blank before the colon": _reply(OK, LENGTH, b"x : a"),
    "blank in a trailer's name": _reply(
        OK,
        b"transfer-encoding: chunked",
        body=b"5\r\nwhole\r\n0\r\nx y: a\r\n\r\n",
    ),
    "with a length": _reply(OK, LENGTH),
    "without length": _reply(OK),
    "204 of length 0": _reply(
        b"HTTP/1.1 204 OK", b"content-length: 0", body=b""
    ),
    "status 599": _reply(b"HTTP/1.1 599 X", LENGTH),
    "version 1.0": _reply(b"HTTP/1.0 200 OK", LENGTH),
}


async def _read_reply(client, url, body):
    """Return the status and body of a reply, or the error."""
    try:
        async with client.stream("POST", url, content=body) as response:
            return response.status_code, await response.aread()
    except httpx.HTTPError as error:
        return error


async def _endpoints(url, body):
    transport = gateway.EndpointTransport(
        limits.ReadShares().endpoint(), gateway.TCP_KEEPALIVE
    )
    async with httpx.AsyncClient(transport=transport) as client:
        return await _read_reply(client, url, body)


async def _reports(url, body):
    async with endpoints.EndpointClient() as client:
        return await _read_reply(client.http, url, body)


async def _orders(url, body):
    async with endpoints.EndpointClient() as client:
        return await _read_reply(client.unshared_http, url, body)


async def _store(url, body):
    session = metadata.BackoffSession(url)
    async with session:
        response = await session._http.post("/", content=body)
        return response.status_code, response.content


async def _operators(url, body):
    def call():
        with operators.AdministrationClient(url) as client:
            response = client._http.post("/", content=body)
            return response.status_code, response.content

    return await trio.to_thread.run_sync(call)


CLIENTS = {
    "endpoints": _endpoints,
    "reports": _reports,
    "orders": _orders,
    "the store": _store,
    "operators": _operators,
}


class _Server:
    """A server that replies in one way.

    :param reply: what it sends.
    :param read: bytes of the body that it reads before; negative for a whole
        head alone.
    :param is_reset: whether it resets the connection then.
    """

    def __init__(self, reply, read, is_reset):
        self._reply = reply
        self._read = read
        self._is_reset = is_reset

    async def serve(self, stream):
        """Serve one connection."""
        with contextlib.suppress(trio.BrokenResourceError):
            data = b""
            while END not in data:
                data += await stream.receive_some(READ_BYTES)
            rest = self._read - len(data.partition(END)[2])
            while rest > 0:
                rest -= len(await stream.receive_some(min(rest, READ_BYTES)))
            await stream.send_all(self._reply)
            if self._is_reset:
                await trio.sleep(RESET_AFTER_S)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                stream.socket.close()
            else:
                await stream.aclose()


async def _exchange(call, server, body):
    """Return the reply to a request, or the error."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        try:
            with trio.fail_after(TIMEOUT_S):
                return await call(f"http://127.0.0.1:{port}", body)
        except (httpx.HTTPError, trio.TooSlowError) as error:
            return error
        finally:
            nursery.cancel_scope.cancel()


@behave.given("a client of {kind}")
def given_client(context, kind):
    """Choose the client."""
    context.call = CLIENTS[kind]


@behave.when(
    "{count:d} uploads of {size:d} bytes get a part of a reply {framing} and "
    "a reset after {read:d} bytes"
)
def when_uploads(context, count, size, framing, read):
    """Exchange one request after the other."""
    server = _Server(HEADS[framing] + PART, read, True)
    context.results = [
        trio.run(_exchange, context.call, server, bytes(size))
        for _ in range(count)
    ]


@behave.when('a server replies with the form "{form}"')
def when_form(context, form):
    """Exchange one request."""
    server = _Server(FORMS[form], 0, False)
    context.results = [trio.run(_exchange, context.call, server, b"")]


def _whole(context):
    return [r for r in context.results if not isinstance(r, Exception)]


@behave.then("none of them has a whole reply")
def then_none_whole(context):
    """Check that each is an error."""
    whole = _whole(context)
    assert not whole, f"{len(whole)} of {len(context.results)}: {whole[0]}"


@behave.then("there is no reply")
def then_no_reply(context):
    """Check that it is an error of the protocol."""
    assert not _whole(context), context.results
    (error,) = context.results
    assert isinstance(error, httpx.HTTPError), repr(error)


@behave.then("there is a whole reply")
def then_reply(context):
    """Check that it is a reply."""
    (found,) = context.results
    assert not isinstance(found, Exception), repr(found)
    status, body = found
    assert body == (b"" if status == 204 else b"whole"), found
