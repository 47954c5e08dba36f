"""Nodes of a failure domain tell each other of silent endpoints.

Explanation
===========

A replica whose VM died without a reset lets the first requests wait until
their node gives the silence up. The more nodes there are, the more requests
meet it; so the first node tells the others of its failure domain, which see
the endpoint over the same links. A hint is one datagram that may be lost; it
moves requests elsewhere and lets the planner ask the replica's members, and
nothing is done on its word alone.
"""

import collections.abc
import dataclasses
import logging
import typing

import trio

from wasabilanding import dispatch
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import directory
from wasabilanding import model

MAX_DATAGRAM_BYTES = 1024
# Hints that wait to be sent; more are dropped.
QUEUE = 64

_LOG = logging.getLogger(__name__)
Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Hint:
    """What one node tells others.

    :param node: name of the node that found it.
    :param silent: identity of the endpoint that gives no sign of work.
    """

    node: str
    silent: str


class Datagrams(typing.Protocol):
    """A socket for datagrams."""

    async def sendto(self, data: bytes, address: Address) -> int:
        """Send a datagram."""

    async def recvfrom(self, most: int) -> tuple[bytes, Address]:
        """Wait for a datagram."""


class Hints:
    """Hints of one node.

    :param node: name of the node.
    :param failure_domain: its failure domain.
    :param belief: knows the nodes and the endpoints.
    :param board: learns what other nodes have found.
    :param prefix: begin of the keys that hold addresses.
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        belief: belief_module.Belief,
        board: dispatch.Board,
        prefix: str,
    ) -> None:
        self._node = node
        self._domain = failure_domain
        self._belief = belief
        self._board = board
        self._prefix = prefix
        self._put, self._get = trio.open_memory_channel[str](QUEUE)

    def tell_silent(self, endpoint_id: str) -> None:
        """Tell the other nodes, if the silence is the endpoint's own.

        :param endpoint_id: identity of the endpoint.
        """
        if not self._board.is_alone_silent(endpoint_id, trio.current_time()):
            return
        try:
            self._put.send_nowait(endpoint_id)
        except trio.WouldBlock:
            _LOG.info("a hint on %s is dropped: too many", endpoint_id)

    async def run(self, datagrams: Datagrams) -> None:
        """Send and receive hints; never returns.

        :param datagrams: the socket.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, datagrams)
            nursery.start_soon(self._receive, datagrams)

    def _others(self) -> collections.abc.Iterable[Address]:
        for one in directory.nodes_in(self._belief.own, self._prefix):
            if one.node != self._node and one.failure_domain == self._domain:
                yield one.host, one.port

    async def _send(self, datagrams: Datagrams) -> None:
        async for endpoint_id in self._get:
            data = model.encode(Hint(self._node, endpoint_id)).encode()
            others = list(self._others())
            _LOG.info(
                "tells %d nodes that %s is silent", len(others), endpoint_id
            )
            for address in others:
                try:
                    await datagrams.sendto(data, address)
                except OSError as error:
                    _LOG.info("no hint to %s:%d: %s", *address, error)

    async def _receive(self, datagrams: Datagrams) -> None:
        while True:
            try:
                data, sender = await datagrams.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # An earlier datagram met a closed port.
                _LOG.debug("no datagram: %s", error)
                continue
            self._learn(data, sender)

    def _learn(self, data: bytes, sender: Address) -> None:
        try:
            hint = model.decode(Hint, data)
        except model.InvalidDocument as error:
            _LOG.info("datagram of %s:%d is not used: %s", *sender, error)
            return
        if self._belief.registry.get(hint.silent) is None:
            return
        now = trio.current_time()
        believed = self._board.note_told_silent(hint.silent, now)
        _LOG.info(
            "%s tells that %s is silent",
            hint.node,
            hint.silent,
            extra={"endpoint": hint.silent, "believed": believed},
        )


async def bound_socket(address: Address) -> trio.socket.SocketType:
    """Return a socket that takes datagrams.

    :param address: IP address and port.
    :raises OSError: when the address is taken.
    """
    found = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await found.bind(address)
    return found
