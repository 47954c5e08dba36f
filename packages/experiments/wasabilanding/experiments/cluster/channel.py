"""Connections between the nodes of a cluster."""

import typing

import trio

from wasabilanding.daemon import node as node_module
from wasabilanding.experiments import pausing
from wasabilanding import peers
from wasabilanding.peers import exchange_pb2
from wasabilanding import standins

PEER_TIMEOUT_S = 1.0


class ClusterProtocol(typing.Protocol):
    """The part of a cluster that a connection uses."""

    network: standins.MemoryNetwork
    peer_bytes: int
    peer_calls: int

    def node_at(self, address: str) -> node_module.Node | None:
        """Return the node that listens for peers at an address."""

    def is_paused(self, name: str) -> bool:
        """Return whether a node is paused."""


class MemoryChannel:
    """Connection to a peer in the same process, with serialised messages.

    :param cluster: the cluster that both nodes belong to.
    :param origin: failure domain of the node that calls.
    :param gate: gate that is closed while that node is paused.
    :param address: host and port of the peer.
    """

    def __init__(
        self,
        cluster: ClusterProtocol,
        origin: str,
        gate: pausing.PauseGate,
        address: str,
    ) -> None:
        self._cluster = cluster
        self._origin = origin
        self._gate = gate
        self._address = address

    async def exchange(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        """Exchange documents and reports with the peer."""
        await self._gate.wait_until_open()
        reply = await self._call(request)
        await self._gate.wait_until_open()
        return reply

    async def _call(
        self, request: exchange_pb2.ExchangeRequest
    ) -> exchange_pb2.ExchangeReply:
        target = self._cluster.node_at(self._address)
        network = self._cluster.network
        if target is None:
            raise self._unreachable("refused")
        location = target.context.failure_domain
        paused = self._cluster.is_paused(target.context.settings.node)
        if paused or network.is_cut(self._origin, location):
            await trio.sleep(PEER_TIMEOUT_S)
            raise self._unreachable("timed out")
        await network.wait_delay(self._origin, location)
        encoded_request = request.SerializeToString()
        reply = peers.answer_request(
            target.context.members,
            target.context.known,
            exchange_pb2.ExchangeRequest.FromString(encoded_request),
            trio.current_time(),
        )
        encoded_reply = reply.SerializeToString()
        self._cluster.peer_bytes += len(encoded_request) + len(encoded_reply)
        self._cluster.peer_calls += 1
        await network.wait_delay(location, self._origin)
        return exchange_pb2.ExchangeReply.FromString(encoded_reply)

    def _unreachable(self, detail: str) -> peers.PeerUnreachable:
        return peers.PeerUnreachable(self._address, OSError(detail))

    def close(self) -> None:
        """Close the connection."""
