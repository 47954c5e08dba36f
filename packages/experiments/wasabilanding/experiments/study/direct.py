"""Simulated system whose entry VMs call the engines without HTTP.

Explanation
===========

Admission and routing are those of the daemon. HTTP, control and the platform
are left out. Replicas are placed once, at the start. Reports and cache events
reach the entry VMs at fixed intervals.
"""

import collections.abc
import contextlib
import dataclasses
import random
import typing

import trio

from wasabilanding import callers
from wasabilanding import configuration
from wasabilanding.daemon import admission
from wasabilanding.daemon import cache_watch
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import poison_guard
from wasabilanding.daemon import selection
from wasabilanding.daemon import settings as settings_module
from wasabilanding.experiments.study import load
from wasabilanding.experiments.study import results
from wasabilanding.experiments.study import specification
from wasabilanding import knowledge
from wasabilanding import limits
from wasabilanding import membership
from wasabilanding import model
from wasabilanding import routing
from wasabilanding import standins

SERVICE = "drafts"
MAX_ATTEMPTS = 3
ONE_WAY_DELAY_S = 0.0015
MAX_IN_FLIGHT = 100_000
PORT = 9000


class _AttemptFailed(Exception):
    """Raised when an attempt does not complete.

    :param outcome: outcome of the attempt.
    """

    def __init__(self, outcome: model.Outcome) -> None:
        super().__init__(outcome.detail)
        self.outcome = outcome


def _settings(name: str, domain: str) -> settings_module.Settings:
    listeners = [settings_module.Listener(PORT + i, name) for i in range(3)]
    return settings_module.Settings(
        name,
        domain,
        *listeners,
        platform_url="http://platform",
        max_in_flight=MAX_IN_FLIGHT,
    )


def _no_limit(slots: int, entry_vms: int) -> int:
    return 0


def _configuration(
    experiment: specification.Experiment,
) -> configuration.Configuration:
    system = experiment.system
    profile = model.ReplicaProfile(
        name="draft",
        model="tarifa",
        version="v1",
        vms_per_replica=system.vms_per_replica,
        replicas_per_domain=system.replicas_per_domain,
        max_running=system.engine.max_running,
    )
    entry = configuration.ProfileRevision(1, profile)
    return configuration.Configuration(
        revision=1,
        profiles={"draft": configuration.ProfileHistory((entry,))},
        services={SERVICE: configuration.ServiceChoice("draft", 1)},
        customers={
            customer.name: configuration.Customer(
                customer.weight, customer.max_in_flight
            )
            for customer in experiment.load.customers
        },
    )


class EntryVm:
    """An entry VM with the daemon's admission and routing.

    :param experiment: experiment to run.
    :param name: name of the entry VM.
    :param domain: its failure domain.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        experiment: specification.Experiment,
        name: str,
        domain: str,
        rng: random.Random,
    ) -> None:
        self.known = knowledge.ClusterState()
        self.members = membership.MemberTable(
            membership.Node(name, 1, domain, f"{name}:{PORT}")
        )
        unused = typing.cast(typing.Any, None)
        context = context_module.Context(
            settings=_settings(name, domain),
            known=self.known,
            members=self.members,
            platform=unused,
            endpoints=unused,
            telemetry=unused,
            connect_peer=unused,
            rng=rng,
        )
        policies = experiment.policies
        choose_replica = routing.POLICIES[policies.routing]
        limit = limits.concurrency_limit
        if policies.admission == "none":
            limit = _no_limit
        self.failure_domain = domain
        guard = poison_guard.PoisonGuard(context)
        self.router = selection.Router(context, guard, choose_replica)
        self.gate = admission.AdmissionGate(context, self.router, limit)


class DirectSystem:
    """The system without HTTP, control and platform.

    :param experiment: experiment to run.
    :param nursery: nursery for the engines and background tasks.
    :param recorder: records the samples.
    """

    def __init__(
        self,
        experiment: specification.Experiment,
        nursery: trio.Nursery,
        recorder: results.Recorder,
    ) -> None:
        self._experiment = experiment
        self._nursery = nursery
        self._recorder = recorder
        self._rng = random.Random(f"{experiment.seed}/system")
        self._configuration = _configuration(experiment)
        self._fleets: dict[str, standins.Fleet] = {}
        self._records: dict[str, model.DomainRecord] = {}
        self._engines: dict[str, standins.Engine] = {}
        self._domains: dict[str, str] = {}
        self.entry_vms: list[EntryVm] = []

    @property
    def engines(self) -> collections.abc.Mapping[str, standins.Engine]:
        """Engines by name of their VM."""
        return self._engines

    async def start(self) -> None:
        """Place the replicas and start the entry VMs."""
        for domain in self._experiment.system.failure_domains:
            await self._start_domain(domain)
        for name in specification.node_names(self._experiment.system):
            self._start_entry_vm(name)
        self._exchange_reports()
        self._nursery.start_soon(self._exchange_reports_forever)

    async def _start_domain(self, domain: str) -> None:
        async def fetch(wanted: str) -> None:
            await trio.lowlevel.checkpoint()

        fleet = standins.Fleet(self._nursery, fetch)
        self._fleets[domain] = fleet
        for vm in specification.vm_names(self._experiment.system):
            if vm.startswith(f"{domain}-"):
                settings = self._experiment.system.engine
                self._engines[vm] = fleet.add(vm, settings)
                self._domains[vm] = domain
        replicas = tuple(self._replicas(domain))
        self._records[domain] = model.DomainRecord(
            domain, revision=1, replicas=replicas
        )
        for replica in replicas:
            await self._load_replica(replica)

    def _replicas(
        self, domain: str
    ) -> collections.abc.Iterator[model.ReplicaRecord]:
        system = self._experiment.system
        vms_per_replica = system.vms_per_replica
        positions = [
            (fabric, first)
            for first in range(
                0, system.vms_per_fabric - vms_per_replica + 1, vms_per_replica
            )
            for fabric in range(system.fabrics_per_domain)
        ]
        for epoch, (fabric, first) in enumerate(
            positions[: system.replicas_per_domain], 1
        ):
            yield model.ReplicaRecord(
                replica_id=f"{SERVICE}-{epoch}",
                epoch=epoch,
                service=SERVICE,
                profile="draft",
                profile_revision=1,
                model="tarifa",
                version="v1",
                fabric_domain=f"{domain}-{fabric}",
                members=tuple(
                    f"{domain}-{fabric}-{first + rank}"
                    for rank in range(vms_per_replica)
                ),
                max_running=system.engine.max_running,
            )

    async def _load_replica(self, replica: model.ReplicaRecord) -> None:
        order = {
            "replica_id": replica.replica_id,
            "epoch": replica.epoch,
            "members": replica.members,
            "model": replica.model,
            "version": replica.version,
        }
        for vm in replica.members:
            await self._engines[vm].load(order)

    def _start_entry_vm(self, name: str) -> None:
        domain = name.partition("-node-")[0]
        rng = random.Random(self._rng.random())
        entry_vm = EntryVm(self._experiment, name, domain, rng)
        entry_vm.known.learn_configuration(self._configuration)
        for record in self._records.values():
            entry_vm.known.learn_record(record)
        self.entry_vms.append(entry_vm)
        self._nursery.start_soon(entry_vm.gate.run)
        self._nursery.start_soon(self._poll_cache_events, entry_vm)

    def _exchange_reports(self) -> None:
        now = trio.current_time()
        for entry_vm in self.entry_vms:
            entry_vm.members.increment_heartbeat(now)
        nodes = [entry_vm.members.own for entry_vm in self.entry_vms]
        for entry_vm in self.entry_vms:
            for node in nodes:
                entry_vm.members.learn(node)
        for engine in self._engines.values():
            if not engine.alive or not engine.paused.is_set():
                continue
            report = _report(engine, now)
            for entry_vm in self.entry_vms:
                entry_vm.known.learn_report(report)

    async def _exchange_reports_forever(self) -> None:
        while True:
            await trio.sleep(self._experiment.system.observation_interval_s)
            self._exchange_reports()

    async def _poll_cache_events(self, entry_vm: EntryVm) -> None:
        cursor = routing.CacheCursor()
        while True:
            await trio.sleep(1 / cache_watch.POLLS_PER_S)
            index = entry_vm.router.refresh()
            key = cursor.next_key(index.keys)
            indexed = index.get(key) if key else None
            if key is not None and indexed is not None:
                engine = self._engines[indexed.replica.leader]
                self._read_cache_events(entry_vm, cursor, key, engine)

    def _read_cache_events(
        self,
        entry_vm: EntryVm,
        cursor: routing.CacheCursor,
        key: str,
        engine: standins.Engine,
    ) -> None:
        if engine.alive:
            events = engine.cache_events(cursor.after(key)).events
            cursor.note(key, events)
            entry_vm.router.prefixes.apply(key, events)

    async def serve(self, arrival: load.Arrival) -> None:
        """Serve one request and record its outcome.

        :param arrival: request to serve.
        """
        entry_vm = self._rng.choice(self.entry_vms)
        started_at = trio.current_time()
        request = _request(arrival)
        run = None
        outcome = model.completed()
        try:
            run = await self._run(entry_vm, request, started_at)
        except (callers.RequestFailed, _AttemptFailed) as error:
            outcome = error.outcome
        self._recorder.add_request_sample(
            _sample(arrival, started_at, outcome, run)
        )

    async def _run(
        self,
        entry_vm: EntryVm,
        request: callers.CallerRequest,
        started_at: float,
    ) -> standins.Run:
        deadline = started_at + request.deadline_s
        async with entry_vm.gate.admitted(request, deadline) as work:
            admitted_request = dataclasses.replace(
                request, priority=work.engine_priority
            )
            tried_replicas: frozenset[str] = frozenset()
            for number in range(MAX_ATTEMPTS):
                replica = entry_vm.router.select(request, tried_replicas)
                tried_replicas |= {routing.global_replica_key(replica)}
                try:
                    run = await self._attempt(
                        entry_vm, replica, admitted_request, number, deadline
                    )
                except _AttemptFailed as error:
                    if number == MAX_ATTEMPTS - 1 or _is_final(
                        error.outcome, request
                    ):
                        raise
                    continue
                work.generated = run.generated
                work.completed = True
                return run
        raise AssertionError("the last attempt returns or raises")

    async def _attempt(
        self,
        entry_vm: EntryVm,
        replica: model.ReplicaRecord,
        request: callers.CallerRequest,
        number: int,
        deadline: float,
    ) -> standins.Run:
        engine = self._engines[replica.leader]
        with entry_vm.router.track_attempt(replica) as timing:
            await self._delay_network(entry_vm, replica)
            if not engine.alive or not engine.is_whole() or engine.is_full:
                raise _AttemptFailed(
                    model.not_run(
                        model.Reason.REFUSED, f"refused by {engine.vm}"
                    )
                )
            run = engine.start(
                f"{request.request_id}/{number}",
                request.prompt,
                request.max_tokens,
                request.priority,
            )
            with _cancel_on_exit(run), trio.move_on_at(deadline):
                await run.ended.wait()
                await self._delay_network(entry_vm, replica)
            if run.first_part_at is not None:
                timing.note(1, run.first_part_at)
                timing.note(run.generated - 1, trio.current_time())
            _raise_if_unfinished(run)
            return run

    async def _delay_network(
        self, entry_vm: EntryVm, replica: model.ReplicaRecord
    ) -> None:
        if self._domains[replica.leader] != entry_vm.failure_domain:
            await trio.sleep(ONE_WAY_DELAY_S)

    async def apply(self, fault: specification.Fault) -> None:
        """Apply a fault.

        :param fault: fault to apply.
        """
        engine = self._engines[fault.target]
        if fault.kind == "kill_vm":
            engine.crash()
        elif fault.kind == "restart_vm":
            engine.restart()
        elif fault.kind == "pause_vm":
            engine.paused = trio.Event()
        elif fault.kind == "resume_vm":
            engine.paused.set()
        elif fault.kind == "slow_vm":
            engine.slow_down(fault.amount)

    def desired_replicas(self) -> int:
        """Return the total number of desired replicas."""
        return sum(len(r.replicas) for r in self._records.values())


def _report(engine: standins.Engine, now: float) -> model.VmReport:
    status = engine.status()
    return model.VmReport(
        vm=engine.vm,
        state=model.VmState(status["state"]),
        replica_id=engine.replica_id,
        epoch=engine.epoch,
        running=typing.cast(int, status["running"]),
        queued=typing.cast(int, status["queued"]),
        leaving=engine.leaving,
        observed_at=now,
    )


def _request(arrival: load.Arrival) -> callers.CallerRequest:
    return callers.CallerRequest(
        request_id=arrival.request_id,
        service=SERVICE,
        customer=arrival.customer,
        deadline_s=arrival.deadline_s,
        priority=arrival.priority,
        idempotent=arrival.idempotent,
        idempotency_key="",
        stream=True,
        body=b"",
        prompt=arrival.prompt,
        max_tokens=arrival.answer_tokens,
    )


def _is_final(outcome: model.Outcome, request: callers.CallerRequest) -> bool:
    if outcome.reason is model.Reason.DEADLINE:
        return True
    not_run = outcome.verdict is model.Verdict.NOT_RUN
    return not (not_run or request.idempotent)


@contextlib.contextmanager
def _cancel_on_exit(
    run: standins.Run,
) -> collections.abc.Iterator[None]:
    try:
        yield
    finally:
        run.end("cancelled")


def _raise_if_unfinished(run: standins.Run) -> None:
    if run.state == "finished":
        return
    reason = model.Reason.CONNECTION_LOST
    if run.state == "cancelled":
        reason = model.Reason.DEADLINE
    raise _AttemptFailed(model.may_have_run(reason, f"attempt {run.state}"))


def _sample(
    arrival: load.Arrival,
    started_at: float,
    outcome: model.Outcome,
    run: standins.Run | None,
) -> results.RequestSample:
    first_s = None
    if run is not None and run.first_part_at is not None:
        first_s = run.first_part_at - started_at
    return results.RequestSample(
        customer=arrival.customer,
        arrived_s=arrival.at_s,
        first_s=first_s,
        total_s=trio.current_time() - started_at,
        verdict=outcome.verdict.value,
        reason=outcome.reason.value,
        tokens=run.generated if run else 0,
        blocks=len(run.blocks) if run else 0,
        cached_blocks=run.cached_blocks if run else 0,
        replica=run.replica if run else "",
    )
