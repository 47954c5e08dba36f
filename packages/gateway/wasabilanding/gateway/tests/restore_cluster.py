"""Nodes that follow a store which is restored from a copy, for tests."""

import base64
import dataclasses
import random

import trio

from wasabilanding import dispatch
from wasabilanding import fleet
from wasabilanding.gateway import admission
from wasabilanding.gateway import cluster_view as cluster_view_module
from wasabilanding.gateway import control
from wasabilanding.gateway import crash_guard
from wasabilanding.gateway import directory
from wasabilanding.gateway import hints
from wasabilanding.gateway import messages
from wasabilanding.gateway import metrics
from wasabilanding.gateway import plain_wire
from wasabilanding.gateway import request_state
from wasabilanding.gateway import store_watch
from wasabilanding.gateway.tests import fakes
from wasabilanding.gateway.tests import memory_network
from wasabilanding.gateway.tests import memory_store
from wasabilanding import model
from wasabilanding import routes
from wasabilanding import standins

POLL_INTERVAL_S = 0.8
HEARTBEAT_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 0.02
FAILURE_DOMAIN = "z1"
NODES_PREFIX = directory.address_prefix(plain_wire)
JOINS_PREFIX = f"{plain_wire.internal_prefix}joins/"
KEPT_KEY = "kept"
REVOKED_KEY = "revoked"
# Time that a change takes to reach a node.
REVOCATION_BOUND_S = 2.0
# A node that was cut off from the store catches up within this time.
CUT_MEMORY_S = 3.0


def configuration(version, keys):
    """Return a configuration whose only route needs a key.

    :param version: its version.
    :param keys: the API keys of the customer.
    """
    holders = (routes.KeyHolder("c", frozenset(keys)),)
    table = fakes.table("safe", False, 1, holders=holders)
    return dataclasses.replace(table, version=version)


class Node:
    """A node that follows the store, exchanges hints and may plan."""

    def __init__(
        self, name, number, store, network, rng, answer_delay_s, view=None
    ):
        self.name = name
        # Stopped while the node is cut off from the store.
        self.path = memory_store.PausedClock()
        self.cut_until = float("-inf")
        self.store = memory_store.MemoryStore(store, self.path, answer_delay_s)
        self.view = view or cluster_view_module.ClusterView(
            plain_wire, trio.current_time
        )
        self.scope = trio.CancelScope()
        self.highest_version = 0
        self.known_endpoints = set()
        tracker = dispatch.EndpointTracker()
        settings = dataclasses.replace(
            fakes.SETTINGS, node=name, first_start=False
        )
        self.admission = admission.Admission(settings, self.view, rng)
        self.controller = control.Controller(
            settings,
            self.view,
            self.store,
            None,
            plain_wire,
            metrics.Metrics(name),
            tracker,
            FAILURE_DOMAIN,
            rng,
        )
        self._address = directory.NodeAddress(
            name, FAILURE_DOMAIN, f"10.0.1.{number}", 1
        )
        self._hints = hints.HintExchange(
            name,
            FAILURE_DOMAIN,
            self.view,
            tracker,
            crash_guard.CrashGuard(self.view, tracker, metrics.Metrics(name)),
            fakes.grants(),
            plain_wire,
        )
        self._network = network

    async def run(self):
        """Run until the node dies."""
        socket = self._network.socket((self._address.host, 1))
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    store_watch.follow_store,
                    self.view,
                    self.store,
                    lambda _: None,
                    POLL_INTERVAL_S,
                )
                nursery.start_soon(self.controller.run)
                nursery.start_soon(self._hints.run, socket)
                nursery.start_soon(
                    directory.keep_registered,
                    self.store,
                    NODES_PREFIX,
                    self._address,
                )

    def cut(self):
        """Cut the node off from the store."""
        self.path.stop()
        self.cut_until = float("inf")

    def reconnect(self):
        """Reconnect the node to the store."""
        self.path.resume()
        self.cut_until = trio.current_time()

    def revocation_bound_s(self):
        """Return the seconds within which it must refuse a revoked key."""
        if trio.current_time() - self.cut_until < CUT_MEMORY_S:
            return fakes.SETTINGS.key_revocation_s
        return REVOCATION_BOUND_S

    def decide(self, key, host=fakes.HOST):
        """Return "admitted", or the reason to reject a request.

        :param key: its API key.
        :param host: requested host.
        """
        headers = (
            *fakes.HEADERS,
            (b"host", host.encode()),
            (b"x-key", key.encode()),
        )
        head = messages.RequestHead("GET", b"/x", "/x", headers)
        request = plain_wire.read_request(head)
        try:
            self.admission.admit(head, b"", request, trio.current_time())
        except request_state.RequestRejected as rejected:
            return rejected.answer.reason
        return "admitted"


class Cluster:
    """A store, its operator, endpoints and nodes, with a checker.

    :param count: number of nodes at the start.
    :param seed: seed of all random choices.
    :param longest_delay_s: longest time in seconds that an answer takes.
    """

    def __init__(self, count, seed=1, longest_delay_s=0.0):
        self.seed = seed
        self.rng = random.Random(seed)
        self.count = count
        self.longest_delay_s = longest_delay_s
        self.endpoints = {f"e{i}" for i in range(4)}
        self.version = 0
        self.keys = ()
        self.rewrite_after_s = 1.0
        self.restored_at = float("-inf")
        # Time since which the store or a node holds the revocation.
        self.revoked_since = float("inf")
        self.violations = []
        self.decisions = []
        self.last_planners = []
        self.planners_before = []
        self.addresses = set()
        self.intents = set()
        self.nodes = []
        self.steps = []

    async def run(self):
        """Run all nodes and execute the steps in order."""
        random.seed(self.seed)
        self.store = standins.Store(trio.current_time)
        self.network = memory_network.Network()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.write(1, (KEPT_KEY, REVOKED_KEY))
            nursery.start_soon(self._write_registrations)
            nursery.start_soon(self._repeat_configuration)
            for _ in range(self.count):
                self.start_node()
            nursery.start_soon(self._check)
            for step in self.steps:
                await step()
            self.decisions = [node.decide(KEPT_KEY) for node in self.nodes]
            self.last_planners = [node.name for node in self.planners]
            self.intents = set(self.store.items(JOINS_PREFIX))
            self.addresses = set(self.store.items(NODES_PREFIX))
            nursery.cancel_scope.cancel()

    def start_node(self):
        """Start another node."""
        number = len(self.nodes) + 1
        node = Node(
            f"n{number:02}",
            number,
            self.store,
            self.network,
            random.Random(self.rng.random()),
            self._answer_delay_s,
        )
        self.nodes.append(node)
        self.nursery.start_soon(node.run)

    @property
    def alive(self):
        """Nodes that have not died."""
        return [n for n in self.nodes if not n.scope.cancel_called]

    @property
    def planners(self):
        """Nodes that plan."""
        return [n for n in self.alive if n.controller.is_planning]

    def write(self, version, keys):
        """Write a configuration, as the operator does."""
        self.version = version
        self.keys = keys
        text = model.encode(configuration(version, keys))
        self._put(plain_wire.configuration_key, text.encode())

    def restore(self, age_s):
        """Restore the store from a copy."""
        self.planners_before = [node.name for node in self.planners]
        self.store.restore(age_s)
        self.restored_at = trio.current_time()

    def _put(self, key, value):
        text = base64.b64encode(value).decode()
        self.store.write_all({key: text})

    def _answer_delay_s(self):
        if not self.longest_delay_s or self.rng.random() < 0.8:
            return 0.0
        return self.rng.uniform(0.0, self.longest_delay_s)

    async def _write_registrations(self):
        """Write each endpoint's registration periodically."""
        while True:
            for name in sorted(self.endpoints):
                endpoint = fleet.Endpoint(
                    name, "service", "10.0.0.1", 80, FAILURE_DOMAIN, slots=9
                )
                value = model.encode(endpoint).encode()
                self._put(f"{plain_wire.registrations_prefix}{name}", value)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def _repeat_configuration(self):
        """Write the configuration again that a restore has lost."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            due_at = self.restored_at + self.rewrite_after_s
            if trio.current_time() >= due_at:
                self.restored_at = float("inf")
                self.write(self.version, self.keys)

    def _is_revocation_known(self):
        """Return whether the store or a node has a table without the key."""
        stored = self.store.get(plain_wire.configuration_key)
        tables = [n.view.table for n in self.alive if n.view.table]
        if stored is not None:
            text = base64.b64decode(stored.value)
            tables.append(plain_wire.read_table(text))
        return any(table.holder(REVOKED_KEY) is None for table in tables)

    async def _check(self):
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._is_revocation_known():
                self.revoked_since = float("inf")
            elif self.revoked_since == float("inf"):
                self.revoked_since = trio.current_time()
            for node in self.alive:
                self._check_node(node)
            if len(self.planners) > 1:
                names = [node.name for node in self.planners]
                self.violations.append(f"{names} plan at once")

    def _check_node(self, node):
        view = node.view
        version = view.table.version if view.table else 0
        if version < node.highest_version:
            self.violations.append(f"{node.name} went back to {version}")
        node.highest_version = max(node.highest_version, version)
        if not view.is_initialized:
            return
        known = {e.endpoint_id for e in view.registry.endpoints}
        if node.known_endpoints - known:
            self.violations.append(f"{node.name} lost an endpoint")
        node.known_endpoints |= known
        since_s = trio.current_time() - self.revoked_since
        bound_s = node.revocation_bound_s()
        if self.longest_delay_s:
            # The view may be as old as the stated bound allows.
            bound_s = fakes.SETTINGS.key_revocation_s
        if since_s > bound_s:
            if node.decide(REVOKED_KEY) == "admitted":
                self.violations.append(f"{node.name} admits a revoked key")
