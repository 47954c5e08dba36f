"""Client side of the exchange."""

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
    """A peer did not answer.

    :param address: host and port of the peer.
    :param cause: what was seen.
    """

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"peer {address} did not answer: {cause!r}")
        self.address = address


class Channel(typing.Protocol):
    """Connection to one peer."""

    async def exchange(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        """Exchange knowledge with the peer, from trio code."""

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
        """Exchange knowledge with the peer, from trio code.

        :param request: what this node tells.
        :raises PeerUnreachable: when no answer comes in time.
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
