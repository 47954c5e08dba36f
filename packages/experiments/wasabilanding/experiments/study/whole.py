"""Complete system in one process, to which any fault can be applied."""

import collections
import collections.abc
import dataclasses
import json
import random

import trio

from wasabilanding import callers
from wasabilanding.experiments import cluster
from wasabilanding.experiments.study import load
from wasabilanding.experiments.study import results
from wasabilanding.experiments.study import specification
from wasabilanding import model
from wasabilanding import standins

SERVICE = "drafts"
PLATFORM = "platform"
ASSEMBLY_TIMEOUT_S = 60.0


def _plan(experiment: specification.Experiment) -> cluster.Plan:
    system = experiment.system
    return cluster.Plan(
        failure_domains=system.failure_domains,
        nodes_per_domain=system.nodes_per_domain,
        fabrics_per_domain=system.fabrics_per_domain,
        vms_per_fabric=system.vms_per_fabric,
        engine=system.engine,
        seed=experiment.seed,
    )


@dataclasses.dataclass(frozen=True)
class _Answer:
    outcome: model.Outcome
    first_s: float | None = None
    parts: int = 0


class WholeSystem:
    """The complete system in one process.

    :param experiment: experiment to run.
    :param nursery: nursery for all tasks of the system.
    :param recorder: records the samples.
    """

    def __init__(
        self,
        experiment: specification.Experiment,
        nursery: trio.Nursery,
        recorder: results.Recorder,
    ) -> None:
        self._experiment = experiment
        self._recorder = recorder
        self._nursery = nursery
        self._rng = random.Random(f"{experiment.seed}/system")
        self._cluster = cluster.Cluster(_plan(experiment), nursery)
        self._requests: dict[str, set[trio.CancelScope]] = (
            collections.defaultdict(set)
        )

    @property
    def engines(self) -> collections.abc.Mapping[str, standins.Engine]:
        """Engines by name of their VM."""
        return {
            vm: engine
            for fleet in self._cluster.fleets.values()
            for vm, engine in fleet.engines.items()
        }

    async def start(self) -> None:
        """Start the system and wait until all replicas serve."""
        system = self._experiment.system
        profile = model.ReplicaProfile(
            name="draft",
            model="tarifa",
            version="v1",
            vms_per_replica=system.vms_per_replica,
            replicas_per_domain=system.replicas_per_domain,
            max_running=system.engine.max_running,
        )
        await self._cluster.start()
        await self._cluster.configure(SERVICE, profile)
        await self._set_customers()
        for domain in system.failure_domains:
            await self._cluster.wait_serving(
                domain, system.replicas_per_domain, ASSEMBLY_TIMEOUT_S
            )

    async def _set_customers(self) -> None:
        running = next(iter(self._cluster.nodes.values()))
        settings = running.context.settings
        url = f"http://{settings.administration.address}/v1/customers"
        async with self._cluster.client(settings.failure_domain) as http:
            for customer in self._experiment.load.customers:
                body = {
                    "weight": customer.weight,
                    "max_in_flight": customer.max_in_flight,
                }
                response = await http.put(f"{url}/{customer.name}", json=body)
                response.raise_for_status()

    async def serve(self, arrival: load.Arrival) -> None:
        """Serve one request and record its outcome.

        :param arrival: request to serve.
        """
        started_at = trio.current_time()
        answer = await self._serve_on_random_node(arrival, started_at)
        self._recorder.add_request_sample(
            results.RequestSample(
                customer=arrival.customer,
                arrived_s=arrival.at_s,
                first_s=answer.first_s,
                total_s=trio.current_time() - started_at,
                verdict=answer.outcome.verdict.value,
                reason=answer.outcome.reason.value,
                tokens=answer.parts,
            )
        )

    async def _serve_on_random_node(
        self, arrival: load.Arrival, started_at: float
    ) -> _Answer:
        ready_nodes = [
            name
            for name, running in sorted(self._cluster.nodes.items())
            if running.node.service.ready
        ]
        if not ready_nodes:
            return _Answer(
                model.not_run(
                    model.Reason.SHUTTING_DOWN, "no entry VM is ready"
                )
            )
        name = self._rng.choice(ready_nodes)
        answer = _Answer(
            model.may_have_run(
                model.Reason.CONNECTION_LOST, f"entry VM {name} was killed"
            )
        )
        with trio.CancelScope() as scope:
            self._requests[name].add(scope)
            node = self._cluster.nodes[name]
            answer = await _collect_answer(node, _request(arrival), started_at)
        self._requests[name].discard(scope)
        return answer

    async def apply(self, fault: specification.Fault) -> None:
        """Apply a fault.

        :param fault: fault to apply.
        """
        actions = {
            "kill_vm": self._kill_vm,
            "restart_vm": self._restart_vm,
            "pause_vm": self._pause_vm,
            "resume_vm": self._resume_vm,
            "slow_vm": self._slow_vm,
            "silence_vm": self._silence_vm,
            "kill_node": self._kill_node,
            "start_node": self._start_node,
            "drain_node": self._drain_node,
            "platform_down": self._set_platform,
            "platform_up": self._set_platform,
            "platform_slow": self._set_platform,
            "cut": self._cut,
            "heal": self._heal,
        }
        actions[fault.kind](fault)
        await trio.lowlevel.checkpoint()

    def _kill_vm(self, fault: specification.Fault) -> None:
        self._cluster.kill_vm(fault.target)

    def _restart_vm(self, fault: specification.Fault) -> None:
        self._cluster.restart_vm(fault.target)

    def _pause_vm(self, fault: specification.Fault) -> None:
        self._cluster.engine(fault.target).paused = trio.Event()

    def _resume_vm(self, fault: specification.Fault) -> None:
        self._cluster.engine(fault.target).paused.set()

    def _slow_vm(self, fault: specification.Fault) -> None:
        self._cluster.engine(fault.target).slow_down(fault.amount)

    def _silence_vm(self, fault: specification.Fault) -> None:
        address = f"{fault.target}:{cluster.ENGINE_PORT}"
        self._cluster.network.silence(address)

    def _kill_node(self, fault: specification.Fault) -> None:
        if fault.target in self._cluster.nodes:
            self._cluster.kill_node(fault.target)
            for scope in self._requests.pop(fault.target, ()):
                scope.cancel()

    def _start_node(self, fault: specification.Fault) -> None:
        domain = fault.target.partition("-node-")[0]
        if fault.target not in self._cluster.nodes:
            self._nursery.start_soon(
                self._cluster.start_node, fault.target, domain
            )

    def _drain_node(self, fault: specification.Fault) -> None:
        self._nursery.start_soon(self._drain, fault.target)

    async def _drain(self, name: str) -> None:
        running = self._cluster.nodes.get(name)
        if running is None:
            return
        await running.node.drain()
        if self._cluster.nodes.get(name) is running:
            self._cluster.kill_node(name)

    def _set_platform(self, fault: specification.Fault) -> None:
        faults = self._cluster.platform.faults
        faults.down = fault.kind == "platform_down"
        slow = fault.kind == "platform_slow"
        faults.delay_s = fault.amount if slow else 0.0

    def _cut(self, fault: specification.Fault) -> None:
        self._cluster.network.cut(fault.target, fault.other)

    def _heal(self, fault: specification.Fault) -> None:
        self._cluster.network.heal(fault.target, fault.other)

    def desired_replicas(self) -> int:
        """Return the total number of desired replicas."""
        system = self._experiment.system
        return len(system.failure_domains) * system.replicas_per_domain


async def _collect_answer(
    running: cluster.RunningNode,
    request: callers.CallerRequest,
    started_at: float,
) -> _Answer:
    first_s = None
    parts = 0
    outcome = model.completed()
    try:
        async for batch in running.node.service.run(request):
            if first_s is None:
                first_s = trio.current_time() - started_at
            parts += len(batch)
    except callers.RequestFailed as error:
        outcome = error.outcome
    return _Answer(outcome, first_s, parts)


def _request(arrival: load.Arrival) -> callers.CallerRequest:
    body = {
        "model": SERVICE,
        "messages": [{"role": "user", "content": arrival.prompt}],
        "max_tokens": arrival.answer_tokens,
        "stream": True,
    }
    key = "" if arrival.idempotent else arrival.request_id
    return callers.CallerRequest(
        request_id=arrival.request_id,
        service=SERVICE,
        customer=arrival.customer,
        deadline_s=arrival.deadline_s,
        priority=arrival.priority,
        idempotent=arrival.idempotent,
        idempotency_key=key,
        stream=True,
        body=json.dumps(body).encode(),
        prompt=arrival.prompt,
        max_tokens=arrival.answer_tokens,
    )
