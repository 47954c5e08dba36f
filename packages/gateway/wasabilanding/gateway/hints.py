"""Nodes of a failure domain tell each other what they see of the endpoints.

Explanation
===========

Silence. A replica whose VM died without a reset lets the first requests wait
until their node gives the silence up. The more nodes there are, the more
requests meet it; so the first node tells the others of its failure domain,
which see the endpoint over the same links.

Load. Each node tells its requests in flight by endpoint, whole each time, so
that a lost datagram is made good by the next; and which endpoints have
worked lately, so that a long queue is not taken for silence. A few nodes
tell each other. Many nodes tell one of them, the collector, which passes what
it has got on to all, so that the datagrams grow with the number of nodes and
not with its square. A node that does not hear from its collector takes the
next one.

A hint is part of one datagram that may be lost. It moves requests elsewhere
and lets the planner ask the replica's members; nothing is done on its word
alone.
"""

import collections.abc
import dataclasses
import logging
import typing

import pydantic
import trio

from wasabilanding import dispatch
from wasabilanding.gateway import belief as belief_module
from wasabilanding.gateway import directory
from wasabilanding.gateway import messages
from wasabilanding import model

MAX_DATAGRAM_BYTES = 65_535
# Load is told so often, less often where there are many nodes.
LOAD_PERIOD_S = 0.05
PERIOD_PER_NODE_S = 0.008
MAX_PERIOD_S = 0.4
# Up to so many other nodes are told directly.
MESH_NODES = 40
# A collector that passes nothing on for so long is not told for a while.
COLLECTOR_SILENT_S = 1.0
COLLECTOR_REST_S = 10.0
# Signs of work since the last time are told, and some that are older, as a
# datagram may be lost.
WORKED_MARGIN_S = 0.1
# New nodes are looked for so often.
LOOK_S = 0.5
# An address that another process holds is tried again after this.
BIND_RETRY_S = 2.0
# Hints that wait to be sent; more are dropped.
QUEUE = 64

Count = typing.Annotated[int, pydantic.Field(ge=0)]
Seconds = typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]

_LOG = logging.getLogger(__name__)
Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Hint:
    """What one node tells others.

    :param node: name of the node that tells it.
    :param silent: identity of an endpoint that gives no sign of work; empty
        for none.
    :param in_flight: all its requests in flight, by endpoint; None when not
        told.
    :param worked_ago_s: seconds since an endpoint's last sign of work there,
        for those that have worked lately.
    """

    node: str
    silent: str = ""
    in_flight: dict[str, Count] | None = None
    worked_ago_s: dict[str, Seconds] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Batch:
    """Content of one datagram.

    :param sender: name of the node that sends it.
    :param hints: hints of one or more nodes.
    :param is_for_all: whether all nodes get it, so that nobody needs to pass
        it on.
    """

    sender: str
    hints: tuple[Hint, ...]
    is_for_all: bool = True


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
    :param tracker: learns what other nodes have found.
    :param wire: names what lies in the store.
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        belief: belief_module.Belief,
        tracker: dispatch.EndpointTracker,
        wire: messages.Wire,
    ) -> None:
        self._node = node
        self._domain = failure_domain
        self._belief = belief
        self._tracker = tracker
        self._prefix = directory.prefix_of(wire)
        self._collected: dict[str, Hint] = {}
        # Local monotonic times in seconds, by node.
        self._told_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._others: dict[str, Address] = {}
        self._put, self._get = trio.open_memory_channel[str](QUEUE)

    def tell_silent(self, endpoint_id: str) -> None:
        """Tell the other nodes, if the silence is the endpoint's own.

        :param endpoint_id: identity of the endpoint.
        """
        now = trio.current_time()
        if not self._tracker.is_silent_unlike_others(endpoint_id, now):
            return
        if not self._tracker.record_silence(endpoint_id, now):
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
            nursery.start_soon(self._send_silent, datagrams)
            nursery.start_soon(self._send_load, datagrams)
            nursery.start_soon(self._receive, datagrams)

    def _look_for_others(self) -> None:
        nodes = directory.nodes_in(self._belief.own, self._prefix)
        self._others = {
            one.node: (one.host, one.port)
            for one in nodes
            if one.node != self._node and one.failure_domain == self._domain
        }

    async def _send_silent(self, datagrams: Datagrams) -> None:
        async for endpoint_id in self._get:
            self._look_for_others()
            _LOG.info(
                "tells %d nodes that %s is silent",
                len(self._others),
                endpoint_id,
            )
            batch = Batch(self._node, (Hint(self._node, endpoint_id),))
            await self._send(datagrams, batch, self._others.values())

    async def _send_load(self, datagrams: Datagrams) -> None:
        told: dict[str, int] = {}
        looked_at = float("-inf")
        while True:
            period_s = min(
                max(LOAD_PERIOD_S, len(self._others) * PERIOD_PER_NODE_S),
                MAX_PERIOD_S,
            )
            await trio.sleep(period_s)
            now = trio.current_time()
            if now - looked_at > LOOK_S:
                self._look_for_others()
                looked_at = now
            load = self._tracker.local_load
            if load or told:
                worked = self._tracker.worked_ago_s(
                    now, period_s + WORKED_MARGIN_S
                )
                hint = Hint(self._node, in_flight=load, worked_ago_s=worked)
                await self._tell_load(datagrams, hint, now)
            if self._collected:
                await self._pass_on(datagrams)
            told = load

    async def _tell_load(
        self, datagrams: Datagrams, hint: Hint, now: float
    ) -> None:
        """Tell all, or the collector, which may be this node."""
        if len(self._others) <= MESH_NODES:
            batch = Batch(self._node, (hint,))
            await self._send(datagrams, batch, self._others.values())
            return
        collector = self._collector(now)
        if collector == self._node:
            self._collected[self._node] = hint
            return
        batch = Batch(self._node, (hint,), is_for_all=False)
        await self._send(datagrams, batch, (self._others[collector],))

    def _collector(self, now: float) -> str:
        """Return the first node by name that passes on what it is told."""
        for name in sorted((*self._others, self._node)):
            if name == self._node:
                break
            since = self._told_since.get(name, now)
            if now - since > COLLECTOR_REST_S:
                since = now
            self._told_since[name] = since
            heard_at = self._heard_at.get(name, since)
            if now - max(since, heard_at) < COLLECTOR_SILENT_S:
                return name
        return self._node

    async def _pass_on(self, datagrams: Datagrams) -> None:
        batch = Batch(self._node, tuple(self._collected.values()))
        self._collected.clear()
        await self._send(datagrams, batch, self._others.values())

    async def _send(
        self,
        datagrams: Datagrams,
        batch: Batch,
        addresses: collections.abc.Iterable[Address],
    ) -> None:
        data = model.encode(batch).encode()
        for address in addresses:
            try:
                await datagrams.sendto(data, address)
            except OSError as error:
                _LOG.debug("no hint to %s:%d: %s", *address, error)

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
            batch = model.decode(Batch, data)
        except model.InvalidDocument as error:
            _LOG.info("datagram of %s:%d is not used: %s", *sender, error)
            return
        now = trio.current_time()
        if batch.is_for_all:
            self._heard_at[batch.sender] = now
        for hint in batch.hints:
            if hint.node == self._node:
                continue
            self._learn_hint(hint, now)
            if not batch.is_for_all:
                self._collected[hint.node] = hint

    def _learn_hint(self, hint: Hint, now: float) -> None:
        if hint.in_flight is not None:
            self._tracker.update_peer_load(hint.node, hint.in_flight, now)
        for name, ago_s in hint.worked_ago_s.items():
            if self._belief.registry.get(name) is not None:
                self._tracker.record_progress(name, now - ago_s)
        if self._belief.registry.get(hint.silent) is not None:
            self._learn_silent(hint, now)

    def _learn_silent(self, hint: Hint, now: float) -> None:
        if self._tracker.record_silence(hint.silent, now):
            _LOG.info(
                "%s tells that %s is silent",
                hint.node,
                hint.silent,
                extra={"endpoint": hint.silent},
            )


async def bound_socket(address: Address) -> trio.socket.SocketType:
    """Return a socket that takes datagrams, once the address is free.

    :param address: IP address and port.
    """
    while True:
        found = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        try:
            await found.bind(address)
        except OSError as error:
            found.close()
            _LOG.warning("takes no hints at %s:%d: %s", *address, error)
            await trio.sleep(BIND_RETRY_S)
        else:
            return found
