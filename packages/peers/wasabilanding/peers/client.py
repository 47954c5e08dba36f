"""Client of the exchange service."""

import asyncio
import typing

import google.protobuf.message
import grpclib.client
import grpclib.exceptions
import trio_asyncio

from wasabilanding.peers import exchange_grpc
from wasabilanding.peers import exchange_pb2

CALL_TIMEOUT_S = 1.0


class PeerUnreachable(Exception):
    """A call to a peer failed.

    :param address: host and port of the peer.
    :param cause: the error of the call.
    """

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"call to peer {address} failed: {cause!r}")
        self.address = address


class Channel(typing.Protocol):
    """Connection to one peer."""

    async def exchange(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        """Exchange state with the peer; called from trio code."""

    def close(self) -> None:
        """Close the connection."""


class PeerChannel:
    """Connection to one peer; a context manager.

    :param address: host and port of the peer.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = address
        self._channel = grpclib.client.Channel(host, int(port))
        self._stub = exchange_grpc.PeersStub(self._channel)

    def __enter__(self) -> "PeerChannel":
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def exchange(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        """Exchange state with the peer; called from trio code.

        :param request: the request.
        :raises PeerUnreachable: if there is no valid reply in time.
        """
        return await trio_asyncio.aio_as_trio(self._exchange)(request)

    async def _exchange(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        try:
            return await self._stub.Exchange(request, timeout=CALL_TIMEOUT_S)
        except (
            asyncio.TimeoutError,
            google.protobuf.message.DecodeError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
            OSError,
        ) as error:
            raise PeerUnreachable(self._address, error) from error
