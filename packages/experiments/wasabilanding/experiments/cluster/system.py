"""A cluster of stand-ins and nodes, with methods that inject faults."""

import collections.abc
import contextlib
import dataclasses
import functools
import random

import httpx
import trio

from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import node as node_module
from wasabilanding.daemon import settings as settings_module
from wasabilanding.daemon import telemetry
from wasabilanding import endpoints
from wasabilanding.experiments.cluster import channel
from wasabilanding.experiments.cluster import plan as plan_module
from wasabilanding.experiments import pausing
from wasabilanding import knowledge
from wasabilanding import membership
from wasabilanding import metadata
from wasabilanding import model
from wasabilanding import standins

PLATFORM_ADDRESS = "platform:80"
PLATFORM_LOCATION = "platform"
CALLERS_PORT = 7001
ADMINISTRATION_PORT = 7002
PEERS_PORT = 7003


class RunningNode:
    """A running node of the cluster.

    :param node: the node.
    :param scope: cancel scope of its loops, cancelled when the node is killed.
    :param gate: gate that is closed while the node is paused.
    """

    def __init__(
        self,
        node: node_module.Node,
        scope: trio.CancelScope,
        gate: pausing.PauseGate,
    ) -> None:
        self.node = node
        self.scope = scope
        self.gate = gate

    @property
    def context(self) -> context_module.Context:
        """State that the loops of the node share."""
        return self.node.context


class Cluster:
    """A complete system inside one process.

    :param plan: parameters of the cluster.
    :param nursery: nursery that runs its tasks.
    """

    def __init__(self, plan: plan_module.Plan, nursery: trio.Nursery) -> None:
        self._plan = plan
        self._nursery = nursery
        self._rng = random.Random(plan.seed)
        self._starts = 0
        self.network = standins.MemoryNetwork(nursery)
        self.platform = standins.PlatformState(standins.Store())
        self.fleets: dict[str, standins.Fleet] = {}
        self.nodes: dict[str, RunningNode] = {}
        self.peer_bytes = 0
        self.peer_calls = 0

    @property
    def plan(self) -> plan_module.Plan:
        """Parameters of the cluster."""
        return self._plan

    async def start(self) -> None:
        """Start the stand-ins and all nodes."""
        app = standins.platform_app(self.platform)
        self.network.listen(PLATFORM_ADDRESS, app, PLATFORM_LOCATION)
        self.list_vms(self._plan.vms)
        for domain in self._plan.failure_domains:
            self._start_fleet(domain)
        for domain in self._plan.failure_domains:
            for index in range(self._plan.nodes_per_domain):
                await self.start_node(f"{domain}-node-{index}", domain)

    def list_vms(self, vms: collections.abc.Iterable[model.Vm]) -> None:
        """Set the platform's list of VMs from now on.

        :param vms: the VMs.
        """
        documents = [dataclasses.asdict(vm) for vm in vms]
        self.platform.vms.append((trio.current_time(), documents))

    def _start_fleet(self, domain: str) -> None:
        fetch = functools.partial(self._fetch_weights, domain)
        fleet = standins.Fleet(self._nursery, fetch)
        fleet.on_kill = self._on_kill
        self.fleets[domain] = fleet
        for vm in self._plan.vms:
            if vm.failure_domain == domain:
                fleet.add(vm.vm, self._plan.engine)
                self._listen_engine(domain, vm.vm)

    def _listen_engine(self, domain: str, vm: str) -> None:
        app = standins.engine_app(self.fleets[domain].engines[vm])
        self.network.listen(f"{vm}:{plan_module.ENGINE_PORT}", app, domain)

    async def _fetch_weights(self, domain: str, weights: str) -> None:
        async with self.client(domain) as http:
            url = f"http://{PLATFORM_ADDRESS}/v1/weights/{weights}"
            await http.get(url, timeout=None)

    def client(self, origin: str) -> httpx.AsyncClient:
        """Return an HTTP client.

        :param origin: location of the client in the network.
        """
        return httpx.AsyncClient(transport=self.network.transport(origin))

    def _on_kill(self, vm: str) -> None:
        self.network.refuse(f"{vm}:{plan_module.ENGINE_PORT}")

    def _fleet_of(self, vm: str) -> standins.Fleet:
        found = {v.vm: v.failure_domain for v in self._plan.vms}
        return self.fleets[found[vm]]

    def engine(self, vm: str) -> standins.Engine:
        """Return the engine on a VM.

        :param vm: identity of the VM.
        """
        return self._fleet_of(vm).engines[vm]

    def kill_vm(self, vm: str) -> None:
        """Kill a VM immediately.

        :param vm: identity of the VM.
        """
        self._fleet_of(vm).kill(vm)

    def restart_vm(self, vm: str) -> None:
        """Restart a VM without its state.

        :param vm: identity of the VM.
        """
        self.engine(vm).restart()
        domain = {v.vm: v.failure_domain for v in self._plan.vms}[vm]
        self._listen_engine(domain, vm)

    def settings(self, name: str, domain: str) -> settings_module.Settings:
        """Return the settings of a node.

        :param name: name of the node.
        :param domain: its failure domain.
        """
        return settings_module.Settings(
            node=name,
            failure_domain=domain,
            callers=settings_module.Listener(CALLERS_PORT, name),
            administration=settings_module.Listener(ADMINISTRATION_PORT, name),
            peers=settings_module.Listener(PEERS_PORT, name),
            platform_url=f"http://{PLATFORM_ADDRESS}",
            seeds=tuple(
                f"{d}-node-{i}:{PEERS_PORT}"
                for d in self._plan.failure_domains
                for i in range(self._plan.nodes_per_domain)
            ),
        )

    async def start_node(self, name: str, domain: str) -> RunningNode:
        """Start a node or its next incarnation.

        :param name: name of the node.
        :param domain: its failure domain.
        """
        return await self._nursery.start(self._run_node, name, domain)

    async def _run_node(
        self,
        name: str,
        domain: str,
        task_status: trio.TaskStatus[RunningNode],
    ) -> None:
        self._starts += 1
        settings = self.settings(name, domain)
        gate = pausing.PauseGate()
        transport = pausing.PausableTransport(
            gate, self.network.transport(domain)
        )
        rng = random.Random(self._rng.random())
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(
                metadata.PlatformClient(settings.platform_url, transport, rng)
            )
            engines = await stack.enter_async_context(
                endpoints.EndpointClient(transport)
            )
            context = context_module.Context(
                settings=settings,
                known=knowledge.ClusterState(),
                members=membership.MemberTable(
                    node_module.own_node(settings, self._starts)
                ),
                platform=store,
                endpoints=engines,
                telemetry=telemetry.Telemetry(name),
                connect_peer=functools.partial(
                    channel.MemoryChannel, self, domain, gate
                ),
                rng=rng,
            )
            await self._serve_node(context, gate, task_status)

    async def _serve_node(
        self,
        context: context_module.Context,
        gate: pausing.PauseGate,
        task_status: trio.TaskStatus[RunningNode],
    ) -> None:
        node = node_module.Node(context)
        name = context.settings.node
        domain = context.failure_domain
        callers_address = context.settings.callers.address
        operators_address = context.settings.administration.address
        for address, app in (
            (callers_address, node.callers_app()),
            (operators_address, node.operators_app()),
        ):
            gated = pausing.pausable_app(gate, app)
            self.network.listen(address, gated, domain)
        async with trio.open_nursery() as nursery:
            running = RunningNode(node, nursery.cancel_scope, gate)
            self.nodes[name] = running
            node.start_loops(nursery)
            task_status.started(running)
        self.network.refuse(callers_address)
        self.network.refuse(operators_address)
        if self.nodes.get(name) is running:
            del self.nodes[name]

    def kill_node(self, name: str) -> None:
        """Kill an entry VM immediately, with all its connections.

        :param name: name of the node.
        """
        running = self.nodes.pop(name)
        settings = running.context.settings
        self.network.refuse(settings.callers.address)
        self.network.refuse(settings.administration.address)
        running.scope.cancel()

    def pause_node(self, name: str) -> None:
        """Pause a node, which keeps its memory and connections.

        :param name: name of the node.
        """
        self.nodes[name].gate.close()

    def resume_node(self, name: str) -> None:
        """Resume a paused node.

        :param name: name of the node.
        """
        self.nodes[name].gate.open()

    def is_paused(self, name: str) -> bool:
        """Return whether a node is paused.

        :param name: name of the node.
        """
        return self.nodes[name].gate.is_closed

    def node_at(self, address: str) -> node_module.Node | None:
        """Return the node that listens for peers at an address.

        :param address: host and port.
        """
        running = self.nodes.get(address.rpartition(":")[0])
        return running.node if running else None

    async def configure(
        self, service: str, profile: model.Profile, node: str = ""
    ) -> None:
        """Write a profile and assign it to a service.

        :param service: name of the service.
        :param profile: the profile.
        :param node: name of the node that receives the change; the first one
            when empty.
        """
        running = self.nodes[node or next(iter(self.nodes))]
        url = f"http://{running.context.settings.administration.address}"
        known = running.context.known.configuration.profiles
        history = known.get(profile.name)
        replaces = history.current.revision if history else 0
        async with self.client(running.context.failure_domain) as http:
            response = await http.put(
                f"{url}/v1/profiles/{profile.name}",
                content=model.encode(profile),
                params={"replaces": replaces},
            )
            response.raise_for_status()
            response = await http.put(
                f"{url}/v1/services/{service}",
                json={"profile": profile.name},
            )
            response.raise_for_status()

    async def wait_serving(
        self, domain: str, count: int, timeout_s: float = 60.0
    ) -> float:
        """Wait until all nodes of a failure domain see enough replicas serve.

        :param domain: the failure domain.
        :param count: number of replicas.
        :param timeout_s: timeout in seconds.
        :returns: time until the replicas served, in seconds.
        :raises TimeoutError: when fewer replicas serve after this time.
        """
        started_at = trio.current_time()
        while trio.current_time() - started_at < timeout_s:
            serving = [
                running.node.status.summary(domain).serving
                for running in self.nodes.values()
                if running.context.failure_domain == domain
            ]
            if serving and min(serving) >= count:
                return trio.current_time() - started_at
            await trio.sleep(0.05)
        raise TimeoutError(f"fewer than {count} replicas of {domain} serve")


@contextlib.asynccontextmanager
async def open_cluster(
    plan: plan_module.Plan,
) -> collections.abc.AsyncIterator[Cluster]:
    """Run a cluster for the duration of the block.

    :param plan: parameters of the cluster.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(plan, nursery)
        await cluster.start()
        yield cluster
        nursery.cancel_scope.cancel()
