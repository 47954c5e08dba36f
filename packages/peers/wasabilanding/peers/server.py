"""Server of the exchange service."""

import collections.abc

import grpclib.server
import trio
import trio_asyncio

from wasabilanding.peers import exchange_grpc
from wasabilanding.peers import exchange_pb2

RequestHandler = collections.abc.Callable[
    [exchange_pb2.ExchangeRequest], exchange_pb2.ExchangeReply
]
ExchangeStream = grpclib.server.Stream[
    exchange_pb2.ExchangeRequest, exchange_pb2.ExchangeReply
]


class _PeersService(exchange_grpc.PeersBase):
    def __init__(self, handler: RequestHandler) -> None:
        self._handle_request = handler

    async def Exchange(self, stream: ExchangeStream) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._handle_request(request))


async def serve_exchange(
    host: str, port: int, handler: RequestHandler
) -> None:
    """Serve exchange requests until cancelled.

    :param host: address to listen on.
    :param port: port to listen on.
    :param handler: synchronous function that returns the reply to a request.
    """
    server = grpclib.server.Server([_PeersService(handler)])
    await trio_asyncio.aio_as_trio(server.start)(host, port)
    try:
        await trio.sleep_forever()
    finally:
        server.close()
