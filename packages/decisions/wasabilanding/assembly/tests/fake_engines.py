"""Simulated engines that execute orders, with faults.

They check three invariants: no head opens before all of its members have been
ready under the same identity, epoch and member list; no member joins another
replica while its head serves; and nothing is placed on an engine that has
announced its shutdown or wants no requests.
"""

import dataclasses
import random

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding import model
from wasabilanding import routes

STEP_S = 0.05
PLAN_INTERVAL_S = 0.25
WARM_JOIN_S = 0.4
COLD_JOIN_S = 3.0
OPEN_S = 0.3
REGISTRATION_TTL_S = 3.6
STALL_TIMEOUT_S = 6.0
CLOSE_S = 1.5
DRAIN_S = 4.0
PENDING_JOIN_TTL_S = 20.0
PROBE_TIMEOUT_S = 0.6
SILENT_AFTER_S = 0.5

LARGE = routes.ModelSpec("large", 4, 0.5, 1.0, 3.0, 0.4)
SMALL = routes.ModelSpec("small", 2, 0.5, 0.6, 3.0, 0.4)
SMALL_OF_FOUR = dataclasses.replace(SMALL, size=4)
SPEC = routes.EngineSpec(9, (LARGE, SMALL), 5.0)
# Replicas of four times as many VMs as those of the other model.
UNEQUAL_SPEC = routes.EngineSpec(
    9, (dataclasses.replace(LARGE, size=16), SMALL_OF_FOUR), 5.0
)
STATES = fleet.MemberState


@dataclasses.dataclass
class Engine:
    """State of one engine."""

    name: str
    domain: str
    alive: bool = True
    incarnation: int = 0
    silent_since: float | None = None
    paused_until: float = 0.0
    draining: bool = False
    draining_since: float = 0.0
    membership: fleet.Membership | None = None
    members: tuple[str, ...] = ()
    model: str = ""
    resident: str = ""
    staged: str = ""
    highest_epoch: int = 0
    changes_at: float = 0.0
    changes_to: str = ""

    def entry(self) -> fleet.Endpoint:
        """Return the current registration."""
        return fleet.Endpoint(
            endpoint_id=self.name,
            service="writer",
            host="10.0.0.1",
            port=80,
            failure_domain="prov",
            draining=self.draining,
            started_at_ms=self.incarnation,
            fabric_domain=self.domain,
            model=self.model,
            staged=(self.staged,) if self.staged else (),
            membership=self.membership,
        )


class SimulatedCluster:
    """Engines, their registrations and a planner, in simulated time.

    :param seed: seed of the random number generator.
    :param fault_rate: probability per second of each kind of fault.
    :param domain_size: number of engines in each of two fabric domains.
    :param spec: the models.
    """

    def __init__(
        self,
        seed: int,
        fault_rate: float,
        domain_size: int = 10,
        spec: routes.EngineSpec = SPEC,
    ) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.now = 0.0
        self.engines = {
            f"e{i:02}": Engine(f"e{i:02}", f"d{i // domain_size}")
            for i in range(2 * domain_size)
        }
        self.registry = fleet.Registry()
        self.revision = 1
        self.delayed: list[tuple[float, object]] = []
        self.ready_members: dict[fleet.ReplicaKey, set[str]] = {}
        self.violations: list[str] = []
        self.cut_replicas: list[fleet.ReplicaKey] = []
        self.pending_joins: list[tuple[float, str, int]] = []
        self.held: frozenset[str] = frozenset()
        self.new_planner()

    def new_planner(self) -> None:
        """Replace the planner by a new one."""
        prefix = f"p{self.rng.randrange(10**6)}"
        self.planner = assembly.Planner(prefix)

    def run(self, seconds: float, fault_rate: float | None = None) -> None:
        """Simulate a period of time.

        :param seconds: its length.
        :param fault_rate: probability per second of each kind of fault; None
            to keep the current one.
        """
        if fault_rate is not None:
            self.fault_rate = fault_rate
        end = self.now + seconds
        next_plan = self.now
        while self.now < end:
            self.now += STEP_S
            self._inject_faults()
            self._advance()
            self._register()
            due = [action for at, action in self.delayed if at <= self.now]
            self.delayed = [
                item for item in self.delayed if item[0] > self.now
            ]
            for action in due:
                action()
            if self.now >= next_plan:
                next_plan = self.now + PLAN_INTERVAL_S
                self._plan()

    def _fault_occurs(self) -> bool:
        return self.rng.random() < self.fault_rate * STEP_S

    def _inject_faults(self) -> None:
        if self._fault_occurs():
            self._crash(self.rng.choice(list(self.engines.values())))
        if self._fault_occurs():
            leaving = self.rng.choice(list(self.engines.values()))
            if not leaving.draining:
                leaving.draining = True
                leaving.draining_since = self.now
        if self._fault_occurs():
            self.new_planner()

    def _crash(self, engine: Engine) -> None:
        if not engine.alive:
            return
        engine.alive = False
        engine.silent_since = self.now
        engine.membership = None
        engine.model = ""
        restart_s = self.rng.uniform(0.5, 8.0)
        self.delayed.append(
            (self.now + restart_s, lambda: self._restart(engine))
        )

    def _restart(self, engine: Engine) -> None:
        engine.alive = True
        engine.resident = ""
        engine.silent_since = None
        engine.draining = False
        engine.incarnation += 1
        engine.highest_epoch = 0

    def _head(self, engine: Engine) -> Engine | None:
        if not engine.members:
            return None
        head = self.engines[engine.members[0]]
        same = head.membership and engine.membership
        if (
            same
            and head.membership.replica_key == engine.membership.replica_key
        ):
            return head
        return None

    def _advance(self) -> None:
        for engine in self.engines.values():
            drained = self.now - engine.draining_since > DRAIN_S
            if engine.draining and engine.alive and drained:
                self._crash(engine)
            if not engine.changes_to or self.now < engine.changes_at:
                continue
            state = STATES(engine.changes_to)
            engine.changes_to = ""
            if not engine.alive or engine.membership is None:
                continue
            self._enter(engine, state)

    def _enter(self, engine: Engine, state: fleet.MemberState) -> None:
        replica_key = engine.membership.replica_key
        if state is STATES.READY:
            if not engine.staged:
                engine.staged = engine.model
            self.ready_members.setdefault(replica_key, set()).add(engine.name)
        if state is STATES.OPEN:
            missing = set(engine.members) - self.ready_members.get(
                replica_key, set()
            )
            if missing:
                self.violations.append(
                    f"{replica_key} opens without {missing}"
                )
        engine.membership = dataclasses.replace(engine.membership, state=state)

    def _register(self) -> None:
        for engine in self.engines.values():
            known = self.registry.get(engine.name)
            if engine.alive and self.now >= engine.paused_until:
                before = self.registry.version
                self.registry.put(engine.entry())
                self.revision += self.registry.version - before
            elif known and self.now - engine.silent_since > REGISTRATION_TTL_S:
                self.registry.remove(engine.name, self.now)
        self.registry.expire(self.now)
        self._break_stalled()

    def _break_stalled(self) -> None:
        for engine in self.engines.values():
            if not engine.alive or engine.membership is None:
                continue
            if engine.membership.rank or not engine.members:
                continue
            if engine.membership.state is not STATES.OPEN:
                continue
            lost = [
                other
                for other in map(self.engines.get, engine.members)
                if not other.alive
                and self.now - other.silent_since > STALL_TIMEOUT_S
            ]
            if lost:
                self._enter(engine, STATES.BROKEN)

    def _plan(self) -> None:
        inputs = assembly.PlannerInput(
            service="writer",
            spec=self.spec,
            endpoints=tuple(self.registry.endpoints),
            recently_removed=dict(self.registry.recently_removed),
            revision=model.StoreRevision(number=self.revision),
            loads_are_unlimited=self.now < 4.0,
            silent_endpoints=self._silent(),
            held_endpoints=self.held,
            pending_epochs=self._pending(),
        )
        for order in self.planner.plan(inputs, self.now):
            self._send(order)

    def _silent(self) -> frozenset[fleet.Incarnation]:
        """Return heads that make no progress because a member is down."""
        silent = set()
        for endpoint in self.registry.endpoints:
            engine = self.engines[endpoint.endpoint_id]
            members = list(map(self.engines.get, engine.members))
            if not engine.alive or not all(one.alive for one in members):
                silent.add(fleet.incarnation_of(endpoint))
            elif any(map(self._is_paused, (engine, *members))):
                silent.add(fleet.incarnation_of(endpoint))
        return frozenset(silent)

    def _is_paused(self, engine: Engine) -> bool:
        return (
            self.now < engine.paused_until
            and self.now - engine.silent_since > SILENT_AFTER_S
        )

    def _pending(self) -> dict[str, int]:
        pending: dict[str, int] = {}
        for until, name, epoch in self.pending_joins:
            if until > self.now:
                pending[name] = max(pending.get(name, 0), epoch)
        return pending

    def _check_placement(self, order: assembly.Order) -> None:
        match order:
            case assembly.Join():
                endpoints = order.to
            case assembly.Stage():
                endpoints = (order.endpoint,)
            case _:
                return
        closed = self.held | self.registry.announced_since().keys()
        for endpoint in endpoints:
            if endpoint.endpoint_id in closed:
                self.violations.append(f"{order} to {endpoint.endpoint_id}")

    def _send(self, order: assembly.Order) -> None:
        self._check_placement(order)
        delay_s = 0.0
        if isinstance(order, assembly.Join):
            until = self.now + PENDING_JOIN_TTL_S
            self.pending_joins += [
                (until, one.endpoint_id, order.epoch) for one in order.to
            ]
        if self.rng.random() < self.fault_rate:
            delay_s = self.rng.uniform(0.5, 6.0)
        planner = self.planner
        self.delayed.append(
            (self.now + delay_s, lambda: self._deliver(order, planner))
        )

    def _deliver(
        self, order: assembly.Order, planner: assembly.Planner
    ) -> None:
        """Execute an order, for a paused engine as it goes on."""
        paused_until = max(
            (self.engines[name].paused_until for name in _receivers(order)),
            default=0.0,
        )
        if paused_until <= self.now:
            self._execute(order, planner)
        elif isinstance(order, assembly.Probe):
            self.delayed.append(
                (
                    self.now + PROBE_TIMEOUT_S,
                    lambda: self._record_no_answer(order, planner),
                )
            )
        else:
            self.delayed.append(
                (paused_until, lambda: self._execute(order, planner))
            )

    def _record_no_answer(
        self, order: assembly.Probe, planner: assembly.Planner
    ) -> None:
        planner.record_probe_result(
            fleet.incarnation_of(order.endpoint),
            assembly.ProbeResult(
                self.now,
                assembly.ProbeAnswer.NONE,
                unanswered_s=PROBE_TIMEOUT_S,
            ),
        )

    def pause(self, model: str, rank: int, seconds: float) -> None:
        """Let one member of each replica of a model stand still.

        :param model: name of the model.
        :param rank: rank of the member, 0 for the head.
        :param seconds: how long.
        """
        for engine in self.engines.values():
            if engine.model == model and engine.membership.rank == rank:
                engine.paused_until = self.now + seconds
                engine.silent_since = self.now

    def _execute(
        self, order: assembly.Order, planner: assembly.Planner
    ) -> None:
        match order:
            case assembly.Join():
                for member in order.to:
                    self._join(self.engines[member.endpoint_id], order)
            case assembly.Open():
                self._open(order.head)
            case assembly.Close():
                self._close(order)
            case assembly.Leave():
                engine = self._current(order.endpoint)
                if engine:
                    self._record_cut(engine)
                    engine.membership = None
                    engine.model = ""
            case assembly.Stage():
                engine = self.engines[order.endpoint.endpoint_id]
                if engine.alive:
                    engine.staged = order.model
            case assembly.Probe():
                self._probe(order.endpoint, planner)

    def _join(self, engine: Engine, order: assembly.Join) -> None:
        replica_key = (order.replica, order.epoch)
        if not engine.alive or order.epoch < engine.highest_epoch:
            return
        if engine.membership and engine.membership.replica_key == replica_key:
            return
        self._check_head_not_serving(engine)
        engine.highest_epoch = order.epoch
        names = tuple(member.endpoint_id for member in order.members)
        engine.members = names
        engine.membership = fleet.Membership(
            *replica_key, names.index(engine.name), STATES.JOINING
        )
        warm = order.model in (engine.staged, engine.resident)
        engine.model = order.model
        engine.resident = order.model
        engine.changes_to = "ready"
        engine.changes_at = self.now + (WARM_JOIN_S if warm else COLD_JOIN_S)

    def _check_head_not_serving(self, engine: Engine) -> None:
        head = self._head(engine)
        if head is None or not head.alive:
            return
        if head.membership.state in (STATES.OPEN, STATES.CLOSING):
            self.violations.append(
                f"{engine.name} leaves {engine.membership.replica_key}, whose "
                f"head is {head.membership.state.value}"
            )

    def _current(self, seen: fleet.Endpoint) -> Engine | None:
        engine = self.engines[seen.endpoint_id]
        if not engine.alive or engine.membership is None:
            return None
        same = engine.membership.replica_key == seen.membership.replica_key
        return engine if same else None

    def _open(self, head: fleet.Endpoint) -> None:
        engine = self._current(head)
        if engine and engine.membership.state is STATES.READY:
            engine.changes_to = "open"
            engine.changes_at = self.now + OPEN_S

    def _close(self, order: assembly.Close) -> None:
        engine = self._current(order.head)
        if engine is None or engine.membership.state is not STATES.OPEN:
            return
        if order.at_once:
            self._record_cut(engine)
            self._enter(engine, STATES.READY)
            return
        self._enter(engine, STATES.CLOSING)
        engine.changes_to = "ready"
        engine.changes_at = self.now + CLOSE_S

    def _record_cut(self, engine: Engine) -> None:
        """Record a replica whose requests an order has cut."""
        head = self._head(engine)
        if head is not None and head.membership.state is STATES.OPEN:
            self.cut_replicas.append(engine.membership.replica_key)

    def _probe(self, seen: fleet.Endpoint, planner: assembly.Planner) -> None:
        engine = self._current(seen)
        is_open = engine is not None and engine.membership.state in (
            STATES.OPEN,
            STATES.CLOSING,
        )
        planner.record_probe_result(
            fleet.incarnation_of(seen),
            assembly.ProbeResult(
                self.now,
                assembly.ProbeAnswer.MEMBER
                if engine is not None
                else assembly.ProbeAnswer.GONE,
                is_open,
            ),
        )

    def stranded(self) -> int:
        """Return the number of engines in no whole, open replica."""
        replicas = fleet.replicas_of(
            engine.entry() for engine in self.engines.values()
        )
        serving = 0
        for replica in replicas.values():
            spec = self.spec.model(replica.model)
            if spec and replica.is_whole(spec.size) and replica.is_open:
                serving += len(replica.members)
        return len(self.engines) - serving

    def vms_of(self, model: str) -> int:
        """Return the number of engines in open replicas of a model.

        :param model: name of the model.
        """
        return sum(
            len(replica.members)
            for replica in fleet.replicas_of(
                engine.entry() for engine in self.engines.values()
            ).values()
            if replica.model == model and replica.is_open
        )

    def lose_member_permanently(self, model: str, rank: int = 1) -> None:
        """Remove a member of a replica of a model permanently.

        :param model: name of the model.
        :param rank: rank of the member.
        """
        victim = self._member(model, rank)
        victim.alive = False
        victim.membership = None
        victim.model = ""
        victim.silent_since = self.now

    def _member(self, model: str, rank: int) -> Engine:
        """Return the first engine by name that has a rank in a replica."""
        return next(
            engine
            for engine in sorted(
                self.engines.values(), key=lambda one: one.name
            )
            if engine.model == model
            and engine.membership
            and engine.membership.rank == rank
        )

    def announce_shutdown(self, model: str, rank: int) -> Engine:
        """Let a member of a replica announce its shutdown, and stay.

        :param model: model of the replica.
        :param rank: rank of the member.
        :returns: the member.
        """
        leaving = self._member(model, rank)
        self.registry.announce_shutdown(
            leaving.name, leaving.incarnation, self.now
        )
        return leaving

    def hold_spares(self) -> list[Engine]:
        """Let the engines without a replica want no requests.

        :returns: these engines.
        """
        spares = [e for e in self.engines.values() if e.membership is None]
        self.held = frozenset(engine.name for engine in spares)
        return spares


def _receivers(order: assembly.Order) -> list[str]:
    """Return the engines that an order is sent to."""
    match order:
        case assembly.Join():
            return [member.endpoint_id for member in order.to]
        case assembly.Open() | assembly.Close():
            return [order.head.endpoint_id]
    return [order.endpoint.endpoint_id]
