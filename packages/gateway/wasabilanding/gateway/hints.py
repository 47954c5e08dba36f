"""Exchange of endpoint observations between nodes of a failure domain.

Explanation
===========

Silent endpoints: if a VM dies without resetting its connections, the first
requests to it wait until their node times out. With more nodes, more requests
are affected. So the first node that times out notifies the other nodes of its
failure domain, which reach the endpoint over the same links.

Load: each node sends its requests in flight by endpoint, complete each time,
so that the next datagram makes up for a lost one. It also sends which
endpoints have shown progress recently, so that a long queue is not mistaken
for silence. A few nodes send to each other directly. Many nodes send to one
of them, the collector, which forwards all hints to all nodes. So the number of
datagrams grows linearly with the number of nodes, not quadratically. A node
that receives nothing from its collector chooses the next one.

The collector also sends the changes of the store that it has seen
(:mod:`wasabilanding.changefeed`). Each hint to it has a number, which its next
datagram repeats, so that the receiver knows how old the changes are at most.

Collectors send the load of their failure domain to those of the other failure
domains; where there is no collector, each node sends its load there. Progress
and silence are not sent there: other failure domains reach an endpoint over
other links, which may be cut in one direction.

Shutdowns: an endpoint that announces its shutdown in a reply tells one node.
This one notifies the others at once, and for some time repeats it in the hints
on load, which also reach other failure domains.

Crashes: reports on requests under which endpoints have ended take the same
ways (:mod:`wasabilanding.gateway.crash_reports`). The first batches of a node
ask for them.

Limits: limits that endpoints name are told to all nodes with the hints on
load, and so is what replies say about how long endpoints stay cold; that an
endpoint is cold is also told at once. A node asks another one directly before
it sends a request to such an endpoint
(:mod:`wasabilanding.gateway.send_grants`).

Waiting requests: where a service has admission control, a node sends its
waiting requests by pool and customer with its load. While some wait anywhere,
each node reports its load, so that a node that hears nothing knows that it is
cut off from the others.

Links: a node that reaches no endpoint says so in its hints on load, so that
no other one hands requests to it (:mod:`wasabilanding.gateway.relays`).

Evacuations: all datagrams state which failure domains the sender knows to be
evacuated, and recent ends, with the revisions of the store as of which it
knows, so that a node without the store learns of them.

Datagrams may be lost. Hints are advisory. They move requests to other
endpoints, make the planner query the members of a replica or replace the
replica of an endpoint that announced its shutdown, and make nodes reject
requests that end endpoints. No hint makes a node use an endpoint again. A node
that loses changes reads them from the store.

Each datagram states the version of the sender's configuration. A node whose
view begins in a newer era of the store asks other nodes for theirs, since the
store may have lost newer versions.
"""

import collections.abc
import dataclasses
import logging
import random
import typing

import trio

from wasabilanding import changefeed
from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import compression
from wasabilanding.gateway import crash_guard as crash_guard_module
from wasabilanding.gateway import crash_reports
from wasabilanding.gateway import datagrams as datagrams_module
from wasabilanding.gateway import hint_messages
from wasabilanding.gateway import limit_messages
from wasabilanding.gateway import messages
from wasabilanding.gateway import peer_nodes
from wasabilanding.gateway import remote_reports
from wasabilanding.gateway import send_grants
from wasabilanding import limits
from wasabilanding import model

MAX_DATAGRAM_BYTES = 65_535
# Interval between load hints; it grows with the number of peers.
MIN_LOAD_PERIOD_S = 0.05
LOAD_PERIOD_PER_NODE_S = 0.008
MAX_LOAD_PERIOD_S = 0.4
# Each hint repeats some of the previous hint's progress, in case its datagram
# was lost.
PROGRESS_OVERLAP_S = 0.1
# Greatest age at which reported progress must still count when the next report
# is due. Otherwise a busy endpoint would seem silent between two reports.
MAX_REPORT_AGE_S = 0.3
PEER_REFRESH_INTERVAL_S = 0.5
BIND_RETRY_INTERVAL_S = 2.0
# The first number of a process differs from those of its earlier runs.
NUMBER_BITS = 48
# Queued urgent reports; further ones are dropped.
MAX_QUEUED_REPORTS = 64
# Queued datagrams to single nodes; further ones are dropped.
MAX_QUEUED_DATAGRAMS = 256
# Time for which an announced shutdown is repeated in the hints on load.
LEAVING_REPEAT_S = 5.0
# Nodes that are asked for their version, and the interval between questions.
ASKED_NODES = 6
ASK_INTERVAL_S = 0.1
# Number of first batches by which a node asks for reports of crashes.
CRASH_QUESTIONS = 10
NEVER_AGO_S = float("inf")

LOCAL = crash_reports.Scope.LOCAL
REMOTE = crash_reports.Scope.REMOTE

_LOG = logging.getLogger(__name__)
Address = peer_nodes.Address


class Datagrams(typing.Protocol):
    """A datagram socket."""

    async def sendto(self, data: bytes, address: Address) -> int:
        """Send a datagram."""

    async def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        """Receive a datagram."""


class HintExchange:
    """Sends and receives hints of one node.

    :param node: name of the node.
    :param failure_domain: its failure domain.
    :param view: the node's view of the cluster.
    :param tracker: receives other nodes' observations.
    :param crash_guard: gives and receives reports of crashes.
    :param grants: asks, and answers, for endpoints with limits.
    :param wire: defines the store's key prefixes.
    :param waiting_reports: receives other nodes' waiting requests.
    """

    def __init__(
        self,
        node: str,
        failure_domain: str,
        view: cluster_view_module.ClusterView,
        tracker: dispatch.EndpointTracker,
        crash_guard: crash_guard_module.CrashGuard,
        grants: send_grants.SendGrants,
        wire: messages.WireFormat,
        waiting_reports: limits.WaitingReports | None = None,
    ) -> None:
        self._waiting_reports = waiting_reports or limits.WaitingReports()
        self._node = node
        self._domain = failure_domain
        self._view = view
        self._tracker = tracker
        self._crash_guard = crash_guard
        self._grants = grants
        # Hints to forward, with the local monotonic time in seconds at which
        # each was received.
        self._collected: dict[str, tuple[hint_messages.Hint, float]] = {}
        self._reader = datagrams_module.DatagramReader()
        self._confirmations = changefeed.Confirmations(
            random.getrandbits(NUMBER_BITS)
        )
        self.nodes = peer_nodes.PeerNodes(node, failure_domain, view, wire)
        # Last waiting requests that were reported to other failure domains.
        self._remote_waiting: dict[str, dict[str, int]] = {}
        self._remote_reports = remote_reports.RemoteReports()
        self._crash_questions = CRASH_QUESTIONS
        # Returns whether this node reaches no endpoint.
        self.is_cut_off: collections.abc.Callable[[], bool] = lambda: False
        # Receives the names of nodes that reach none.
        self.report_cut_off: collections.abc.Callable[[str, float], None] = (
            lambda node, now: None
        )
        # Returns this node's waiting requests, by customer, by pool.
        self.waiting: collections.abc.Callable[
            [], dict[str, dict[str, int]]
        ] = lambda: {}
        # Returns the slot times in seconds that this node observes, by pool.
        self.slot_times_s: collections.abc.Callable[[], dict[str, float]] = (
            lambda: {}
        )
        # Called when other nodes have reported their load.
        self.note_load: collections.abc.Callable[[], None] = lambda: None
        # Local monotonic times in seconds until which announced shutdowns are
        # repeated.
        self._leaving: dict[hint_messages.LeavingEndpoint, float] = {}
        self._urgent_sender, self._urgent_receiver = trio.open_memory_channel[
            hint_messages.Hint
        ](MAX_QUEUED_REPORTS)
        self._direct_sender, self._direct_receiver = trio.open_memory_channel[
            tuple[hint_messages.HintBatch, Address]
        ](MAX_QUEUED_DATAGRAMS)

    def report_silent(self, endpoint: fleet.Incarnation) -> None:
        """Report a silent endpoint to the other nodes.

        Nothing is reported unless another endpoint shows progress: otherwise
        the cause may be this node's own network.

        :param endpoint: the endpoint.
        """
        now = trio.current_time()
        if not self._tracker.is_silent_unlike_others(endpoint, now):
            return
        if not self._tracker.record_silence(endpoint, now):
            return
        self._queue(
            hint_messages.Hint(
                self._node,
                endpoint.endpoint_id,
                silent_started_at_ms=endpoint.started_at_ms,
            ),
            f"{endpoint.endpoint_id} is silent",
        )

    def report_leaving(self, incarnation: fleet.Incarnation) -> None:
        """Report that an endpoint has announced its shutdown to this node.

        :param incarnation: the endpoint.
        """
        leaving = hint_messages.LeavingEndpoint(*incarnation)
        self._repeat_leaving(leaving)
        self._queue(
            hint_messages.Hint(self._node, leaving=(leaving,)),
            f"{leaving.endpoint_id} announces its shutdown",
        )

    def report_cold(self, notice: limit_messages.ColdNotice) -> None:
        """Report that an endpoint is cold to all other nodes.

        :param notice: the endpoint, and for how long it stays cold.
        """
        self._queue(
            hint_messages.Hint(self._node, cold=(notice,)),
            f"{notice.endpoint_id} is cold",
        )

    def report_crashes(
        self,
        reports: collections.abc.Collection[crash_reports.CrashReport],
    ) -> None:
        """Report requests under which endpoints have ended to other nodes.

        :param reports: the reports.
        """
        self._queue(
            hint_messages.Hint(self._node, crashes=tuple(reports)),
            f"the suspicion against {len(reports)} requests has changed",
        )

    def _repeat_leaving(self, leaving: hint_messages.LeavingEndpoint) -> None:
        self._leaving[leaving] = trio.current_time() + LEAVING_REPEAT_S

    def _recently_leaving(
        self, now: float
    ) -> tuple[hint_messages.LeavingEndpoint, ...]:
        for leaving, until in list(self._leaving.items()):
            if now >= until:
                del self._leaving[leaving]
        return tuple(self._leaving)

    def _queue(self, hint: hint_messages.Hint, content: str) -> None:
        try:
            self._urgent_sender.send_nowait(hint)
        except trio.WouldBlock:
            _LOG.info("queue full; report that %s is dropped", content)
        else:
            _LOG.info("reporting to other nodes that %s", content)

    def ask_to_send(
        self, node: str, question: limit_messages.SendQuestion
    ) -> None:
        """Ask another node for the permission to send a request.

        :param node: name of the node.
        :param question: the question.
        """
        address = self.nodes.address_of(node)
        if address is not None:
            batch = hint_messages.HintBatch(
                self._node, (), questions=(question,)
            )
            self._send_directly(batch, address)

    def _send_directly(
        self, batch: hint_messages.HintBatch, address: Address
    ) -> None:
        try:
            self._direct_sender.send_nowait((batch, address))
        except trio.WouldBlock:
            _LOG.info("queue full; a datagram to %s:%d is dropped", *address)

    async def _send_queued(self, datagrams: Datagrams) -> None:
        async for batch, address in self._direct_receiver:
            await self._send(datagrams, batch, [address])

    async def run(self, datagrams: Datagrams) -> None:
        """Send and receive hints; never returns.

        :param datagrams: the socket.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_urgent, datagrams)
            nursery.start_soon(self._send_queued, datagrams)
            nursery.start_soon(self._send_load, datagrams)
            nursery.start_soon(self._receive, datagrams)
            nursery.start_soon(self._ask_versions, datagrams)

    async def _ask_versions(self, datagrams: Datagrams) -> None:
        """Ask other nodes for the version of their configuration."""
        batch = hint_messages.HintBatch(self._node, (), asks_version=True)
        while True:
            if not self._view.asks_peers:
                await self._view.wait_changed()
                continue
            self.nodes.refresh()
            addresses = [
                address
                for nodes in self.nodes.by_domain().values()
                for address in nodes.values()
            ]
            count = min(ASKED_NODES, len(addresses))
            asked = random.sample(addresses, count)
            await self._send(datagrams, batch, asked)
            await trio.sleep(ASK_INTERVAL_S)

    async def _answer(
        self,
        datagrams: Datagrams,
        question: hint_messages.HintBatch,
        address: Address,
    ) -> None:
        if question.questions:
            now = trio.current_time()
            replies = tuple(
                self._grants.answer(asked, now) for asked in question.questions
            )
            batch = hint_messages.HintBatch(self._node, (), replies=replies)
            await self._send(datagrams, batch, [address])
        if question.asks_version and self._view.is_configuration_proven:
            await self._send(
                datagrams, hint_messages.HintBatch(self._node, ()), [address]
            )
        if not question.asks_crashes:
            return
        reports = self._crash_guard.quarantine_reports(trio.current_time())
        if reports:
            hint = hint_messages.Hint(self._node, crashes=reports)
            batch = hint_messages.HintBatch(self._node, (hint,))
            await self._send(datagrams, batch, [address])

    async def _send_urgent(self, datagrams: Datagrams) -> None:
        async for hint in self._urgent_receiver:
            self.nodes.refresh()
            batch = hint_messages.HintBatch(self._node, (hint,))
            addresses = list(self.nodes.local.values())
            if hint.cold:
                # Until a node knows of it, it sends as before.
                for nodes in self.nodes.remote.values():
                    addresses += nodes.values()
            await self._send(datagrams, batch, addresses)

    @property
    def _load_period_s(self) -> float:
        """Seconds between two hints on load."""
        period_s = len(self.nodes.local) * LOAD_PERIOD_PER_NODE_S
        return min(max(MIN_LOAD_PERIOD_S, period_s), MAX_LOAD_PERIOD_S)

    @property
    def report_age_s(self) -> float:
        """Usual age in seconds of what other nodes report on their load."""
        age_s = self._load_period_s
        if self.nodes.uses_collector:
            age_s *= 2
        if self.nodes.remote:
            age_s += remote_reports.PERIOD_S / 2
        return age_s

    def _due_slot_times_s(
        self, waiting: dict[str, dict[str, int]], now: float
    ) -> dict[str, float]:
        """Return the slot times to report; none while no request waits."""
        if waiting or self._waiting_reports.has_any(now):
            return self.slot_times_s()
        return {}

    async def _send_load(self, datagrams: Datagrams) -> None:
        last_load: dict[str, int] = {}
        was_waiting = False
        refreshed_at = float("-inf")
        while True:
            period_s = self._load_period_s
            await trio.sleep(period_s)
            now = trio.current_time()
            if now - refreshed_at > PEER_REFRESH_INTERVAL_S:
                self.nodes.refresh()
                refreshed_at = now
            if not self.nodes.uses_collector:
                self._view.feeds_peers = False
            load = self._tracker.local_load
            notices = self._due_notices(LOCAL, now)
            waiting = limits.bounded(self.waiting())
            has_news = notices.has_notices or self._crash_questions > 0
            has_news |= bool(waiting) or was_waiting
            has_news |= self._waiting_reports.has_any(now)
            has_news |= self._has_evacuations(now)
            if load or last_load or has_news or self.nodes.uses_collector:
                worked = self._tracker.worked_ago_s(
                    now, period_s + PROGRESS_OVERLAP_S
                )
                hint = dataclasses.replace(
                    notices,
                    in_flight=load,
                    worked_ago_s=worked,
                    waiting=waiting,
                    slot_times_s=self._due_slot_times_s(waiting, now),
                )
                await self._send_load_hint(datagrams, hint, now)
            if self._collected:
                await self._forward_collected(datagrams, now)
            await self._send_remote(datagrams, now)
            last_load = load
            was_waiting = bool(waiting)

    def _due_notices(
        self, scope: crash_reports.Scope, now: float
    ) -> hint_messages.Hint:
        """Return a hint with all that is to be repeated to some nodes."""
        return hint_messages.Hint(
            self._node,
            leaving=self._recently_leaving(now),
            crashes=self._crash_guard.due_reports(scope, now),
            limits=self._grants.due_notices(now),
            is_cut_off=self.is_cut_off(),
            cold=self._grants.cold.due_notices(now),
        )

    def _has_evacuations(self, now: float) -> bool:
        return bool(self._view.evacuations.due_notices(now))

    async def _send_remote(self, datagrams: Datagrams, now: float) -> None:
        """Report load, shutdowns and crashes to other failure domains."""
        if self.nodes.uses_collector and not self._view.feeds_peers:
            return
        if not self._remote_reports.is_due(now):
            return
        load = self._tracker.local_load
        waiting = self.waiting()
        if self.nodes.uses_collector:
            load = self._tracker.load_of_nodes(self.nodes.local)
            waiting = self._waiting_reports.of_nodes(
                self.nodes.local, waiting, now
            )
        notices = self._due_notices(REMOTE, now)
        waiting = limits.bounded(waiting)
        has_news = notices.has_notices or self._has_evacuations(now)
        has_news |= self._waiting_reports.has_any(now)
        # The end of all waiting is reported once.
        has_waited = bool(self._remote_waiting)
        is_begun = self._remote_reports.try_begin(
            load, has_news or bool(waiting) or has_waited, now
        )
        if not is_begun:
            return
        self._remote_waiting = waiting
        hint = dataclasses.replace(
            notices,
            in_flight=load,
            waiting=waiting,
            slot_times_s=self._due_slot_times_s(waiting, now),
        )
        for domain, nodes in self.nodes.remote.items():
            has_collector = peer_nodes.needs_collector(len(nodes))
            batch = hint_messages.HintBatch(
                self._node, (hint,), not has_collector, domain=self._domain
            )
            addresses = list(nodes.values())
            if has_collector:
                name = self._remote_reports.collector(domain, nodes, now)
                addresses = [nodes[name]]
            await self._send(datagrams, batch, addresses)

    async def _send_load_hint(
        self, datagrams: Datagrams, hint: hint_messages.Hint, now: float
    ) -> None:
        """Send to all peers or to the collector, which may be this node."""
        if not self.nodes.uses_collector:
            batch = hint_messages.HintBatch(self._node, (hint,))
            await self._send(datagrams, batch, self.nodes.local.values())
            return
        collector = self.nodes.collector(now)
        self._view.feeds_peers = collector == self._node
        if collector == self._node:
            self._collected[self._node] = (hint, now)
            return
        number = self._confirmations.issue(self._view.clock_time())
        hint = dataclasses.replace(hint, number=number)
        batch = hint_messages.HintBatch(self._node, (hint,), is_for_all=False)
        await self._send(datagrams, batch, (self.nodes.local[collector],))

    async def _forward_collected(
        self, datagrams: Datagrams, now: float
    ) -> None:
        batch = hint_messages.HintBatch(
            self._node,
            tuple(
                hint_messages.aged(hint, now - received_at)
                for hint, received_at in self._collected.values()
            ),
            changes=self._view.cut_segment(),
        )
        self._collected.clear()
        await self._send(datagrams, batch, self.nodes.local.values())

    async def _send(
        self,
        datagrams: Datagrams,
        batch: hint_messages.HintBatch,
        addresses: collections.abc.Iterable[Address],
    ) -> None:
        addresses = tuple(addresses)
        if not addresses:
            return
        table = self._view.table
        if table is not None:
            batch = dataclasses.replace(batch, version=table.version)
        evacuations = self._view.evacuations.due_notices(trio.current_time())
        if evacuations:
            batch = dataclasses.replace(batch, evacuations=evacuations)
        if self._crash_questions:
            self._crash_questions -= 1
            batch = dataclasses.replace(batch, asks_crashes=True)
        data = compression.compress(model.encode(batch).encode())
        for address in addresses:
            try:
                await datagrams.sendto(data, address)
            except OSError as error:
                _LOG.debug("cannot send hint to %s:%d: %s", *address, error)

    async def _receive(self, datagrams: Datagrams) -> None:
        while True:
            try:
                data, sender = await datagrams.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The peer's port was closed when a datagram was sent to it.
                _LOG.debug("cannot receive datagram: %s", error)
                continue
            batch = self._apply_datagram(data, sender)
            if batch is not None:
                await self._answer(datagrams, batch, sender)

    def _apply_datagram(
        self, data: bytes, sender: Address
    ) -> hint_messages.HintBatch | None:
        """Apply a datagram and return its content; None if it is invalid."""
        now = trio.current_time()
        batch = self._reader.read(data, sender, now)
        if batch is None:
            return None
        self._view.note_peer_version(batch.version)
        for notice in batch.evacuations:
            self._view.note_era(notice.store_revision.era)
            self._view.evacuations.apply_notice(notice, batch.sender, now)
        for reply in batch.replies:
            self._grants.apply_reply(reply)
        if batch.domain:
            self._remote_reports.note_sender(batch.domain, batch.sender, now)
        elif batch.changes is not None:
            self.nodes.note_collector(batch.sender, now)
        repeated = 0
        self._apply_progress(batch, now)
        for hint in batch.hints:
            if hint.node == self._node:
                repeated = hint.number
                continue
            self._apply_hint(hint, now)
            if not batch.is_for_all:
                self._collected[hint.node] = (hint, now)
        if batch.hints:
            self.note_load()
        if batch.changes is not None:
            as_of = self._confirmations.current_as_of(
                repeated, batch.changes.age_s
            )
            self._view.apply_segment(batch.changes, as_of, now)
        return batch

    def _apply_progress(
        self, batch: hint_messages.HintBatch, now: float
    ) -> None:
        """Record the latest progress that other nodes have seen.

        Through a collector, the next report follows after up to two periods.
        So progress is dated later by the time by which two periods exceed
        :data:`MAX_REPORT_AGE_S`.
        """
        latest: dict[str, float] = {}
        for hint in batch.hints:
            if hint.node == self._node:
                continue
            for name, ago_s in hint.worked_ago_s.items():
                if ago_s < latest.get(name, NEVER_AGO_S):
                    latest[name] = ago_s
        excess_s = max(2 * self._load_period_s - MAX_REPORT_AGE_S, 0.0)
        for name, ago_s in latest.items():
            found = self._view.registry.get(name)
            if found is not None:
                start = fleet.incarnation_of(found)
                at = now - max(ago_s - excess_s, 0.0)
                self._tracker.record_peer_progress(start, at)

    def _apply_hint(self, hint: hint_messages.Hint, now: float) -> None:
        if hint.in_flight is not None:
            self._tracker.update_peer_load(hint.node, hint.in_flight, now)
            self._waiting_reports.update(
                hint.node, hint.waiting, hint.slot_times_s, now
            )
        if hint.is_cut_off:
            self.report_cut_off(hint.node, now)
        silent = self._view.registry.get(hint.silent)
        if silent is not None:
            self._apply_silent(hint, silent, now)
        for leaving in hint.leaving:
            self._apply_leaving(hint, leaving, now)
        for report in hint.crashes:
            self._crash_guard.apply_report(hint.node, report, now)
        for notice in hint.limits:
            self._grants.apply_notice(notice, now)
        for cold_notice in hint.cold:
            self._grants.cold.apply_notice(cold_notice, now)

    def _apply_silent(
        self, hint: hint_messages.Hint, found: fleet.Endpoint, now: float
    ) -> None:
        start = fleet.incarnation_of(found)
        if hint.silent_started_at_ms is not None:
            start = start._replace(started_at_ms=hint.silent_started_at_ms)
        if self._tracker.record_silence(start, now):
            _LOG.info(
                "%s reports that %s is silent",
                hint.node,
                hint.silent,
                extra={"endpoint": hint.silent},
            )

    def _apply_leaving(
        self,
        hint: hint_messages.Hint,
        leaving: hint_messages.LeavingEndpoint,
        now: float,
    ) -> None:
        incarnation = fleet.Incarnation(
            leaving.endpoint_id, leaving.started_at_ms
        )
        if not self._view.announce_shutdown(incarnation, now):
            return
        # A collector repeats it to the other failure domains.
        self._repeat_leaving(leaving)
        _LOG.info(
            "%s reports that %s announces its shutdown",
            hint.node,
            leaving.endpoint_id,
            extra={"endpoint": leaving.endpoint_id},
        )


async def bind_socket(address: Address) -> trio.socket.SocketType:
    """Return a datagram socket, bound once the address is free.

    :param address: IP address and port.
    """
    while True:
        found = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        try:
            await found.bind(address)
        except OSError as error:
            found.close()
            _LOG.warning("cannot bind to %s:%d: %s", *address, error)
            await trio.sleep(BIND_RETRY_INTERVAL_S)
        else:
            return found
