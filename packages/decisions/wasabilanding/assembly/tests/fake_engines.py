"""Engines that obey orders, in simulated time, with faults.

They check what must always hold: no head opens before each of its members
has been ready under the same identity, epoch and list; and no member joins
another replica while its head serves.
"""

import dataclasses
import random

from wasabilanding import assembly
from wasabilanding import fleet
from wasabilanding import routes

STEP_S = 0.05
PLAN_S = 0.25
JOIN_WARM_S = 0.4
JOIN_COLD_S = 3.0
FORM_S = 0.3
LAPSE_S = 3.6
STALL_S = 6.0
WORK_END_S = 1.5
DRAIN_S = 4.0
INTENT_S = 20.0

LARGE = routes.ModelSpec("large", 4, 0.5, 1.0, 3.0, 0.4)
SMALL = routes.ModelSpec("small", 2, 0.5, 0.6, 3.0, 0.4)
SPEC = routes.EngineSpec(9, (LARGE, SMALL), 5.0)
STATES = fleet.MemberState


@dataclasses.dataclass
class Engine:
    """One engine: what it holds now and what it registered."""

    name: str
    domain: str
    alive: bool = True
    born: int = 0
    silent_since: float | None = None
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
        """Return the registration as it stands."""
        return fleet.Endpoint(
            endpoint_id=self.name,
            service="writer",
            host="10.0.0.1",
            port=80,
            failure_domain="prov",
            draining=self.draining,
            started_at_ms=self.born,
            fabric_domain=self.domain,
            model=self.model,
            staged=(self.staged,) if self.staged else (),
            membership=self.membership,
        )


class World:
    """Engines, their registrations and a planner.

    :param seed: seed of all that is random.
    :param trouble: probability in a second of each kind of fault.
    """

    def __init__(self, seed: int, trouble: float) -> None:
        self.rng = random.Random(seed)
        self.trouble = trouble
        self.now = 0.0
        self.engines = {
            f"e{i:02}": Engine(f"e{i:02}", f"d{i // 10}") for i in range(20)
        }
        self.registry = fleet.Registry()
        self.revision = 1
        self.late: list[tuple[float, object]] = []
        self.been_ready: dict[fleet.Place, set[str]] = {}
        self.broken: list[str] = []
        self.intents: list[tuple[float, str, int]] = []
        self.new_planner()

    def new_planner(self) -> None:
        """Let another planner take over."""
        prefix = f"p{self.rng.randrange(10**6)}"
        self.planner = assembly.Planner(prefix)

    def run(self, seconds: float, trouble: float | None = None) -> None:
        """Let time pass.

        :param seconds: how much.
        :param trouble: probability in a second of each kind of fault.
        """
        if trouble is not None:
            self.trouble = trouble
        end = self.now + seconds
        next_plan = self.now
        while self.now < end:
            self.now += STEP_S
            self._fault()
            self._advance()
            self._register()
            due = [act for at, act in self.late if at <= self.now]
            self.late = [item for item in self.late if item[0] > self.now]
            for act in due:
                act()
            if self.now >= next_plan:
                next_plan = self.now + PLAN_S
                self._plan()

    def _happens(self) -> bool:
        return self.rng.random() < self.trouble * STEP_S

    def _fault(self) -> None:
        if self._happens():
            self._crash(self.rng.choice(list(self.engines.values())))
        if self._happens():
            leaving = self.rng.choice(list(self.engines.values()))
            if not leaving.draining:
                leaving.draining = True
                leaving.draining_since = self.now
        if self._happens():
            self.new_planner()

    def _crash(self, engine: Engine) -> None:
        if not engine.alive:
            return
        engine.alive = False
        engine.silent_since = self.now
        engine.membership = None
        engine.model = ""
        back_s = self.rng.uniform(0.5, 8.0)
        self.late.append((self.now + back_s, lambda: self._restart(engine)))

    def _restart(self, engine: Engine) -> None:
        engine.alive = True
        engine.resident = ""
        engine.silent_since = None
        engine.draining = False
        engine.born += 1
        engine.highest_epoch = 0

    def _head(self, engine: Engine) -> Engine | None:
        if not engine.members:
            return None
        head = self.engines[engine.members[0]]
        same = head.membership and engine.membership
        if same and head.membership.place == engine.membership.place:
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
        place = engine.membership.place
        if state is STATES.READY:
            if not engine.staged:
                engine.staged = engine.model
            self.been_ready.setdefault(place, set()).add(engine.name)
        if state is STATES.OPEN:
            missing = set(engine.members) - self.been_ready.get(place, set())
            if missing:
                self.broken.append(f"{place} opens without {missing}")
        engine.membership = dataclasses.replace(engine.membership, state=state)

    def _register(self) -> None:
        for engine in self.engines.values():
            known = self.registry.get(engine.name)
            if engine.alive:
                before = self.registry.version
                self.registry.put(engine.entry())
                self.revision += self.registry.version - before
            elif known and self.now - engine.silent_since > LAPSE_S:
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
                if not other.alive and self.now - other.silent_since > STALL_S
            ]
            if lost:
                self._enter(engine, STATES.BROKEN)

    def _plan(self) -> None:
        situation = assembly.Situation(
            service="writer",
            spec=SPEC,
            endpoints=tuple(self.registry.endpoints),
            departed=dict(self.registry.departed),
            revision=self.revision,
            loads_are_free=self.now < 4.0,
            silent=self._silent(),
            pending=self._pending(),
        )
        for order in self.planner.plan(situation, self.now):
            self._send(order)

    def _silent(self) -> frozenset[str]:
        """Heads that cannot work, because a member is gone."""
        silent = set()
        for endpoint in self.registry.endpoints:
            engine = self.engines[endpoint.endpoint_id]
            members = map(self.engines.get, engine.members)
            if not engine.alive or not all(one.alive for one in members):
                silent.add(endpoint.endpoint_id)
        return frozenset(silent)

    def _pending(self) -> dict[str, int]:
        pending: dict[str, int] = {}
        for until, name, epoch in self.intents:
            if until > self.now:
                pending[name] = max(pending.get(name, 0), epoch)
        return pending

    def _send(self, order: assembly.Order) -> None:
        delay_s = 0.0
        if isinstance(order, assembly.Join):
            until = self.now + INTENT_S
            self.intents += [
                (until, one.endpoint_id, order.epoch) for one in order.to
            ]
        if self.rng.random() < self.trouble:
            delay_s = self.rng.uniform(0.5, 6.0)
        planner = self.planner
        self.late.append(
            (self.now + delay_s, lambda: self._obey(order, planner))
        )

    def _obey(self, order: assembly.Order, planner: assembly.Planner) -> None:
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
                    engine.membership = None
                    engine.model = ""
            case assembly.Stage():
                engine = self.engines[order.endpoint.endpoint_id]
                if engine.alive:
                    engine.staged = order.model
            case assembly.Ask():
                self._answer(order.endpoint, planner)

    def _join(self, engine: Engine, order: assembly.Join) -> None:
        place = (order.replica, order.epoch)
        if not engine.alive or order.epoch < engine.highest_epoch:
            return
        if engine.membership and engine.membership.place == place:
            return
        self._check_head_serves_not(engine)
        engine.highest_epoch = order.epoch
        names = tuple(member.endpoint_id for member in order.members)
        engine.members = names
        engine.membership = fleet.Membership(
            *place, names.index(engine.name), STATES.JOINING
        )
        warm = order.model in (engine.staged, engine.resident)
        engine.model = order.model
        engine.resident = order.model
        engine.changes_to = "ready"
        engine.changes_at = self.now + (JOIN_WARM_S if warm else JOIN_COLD_S)

    def _check_head_serves_not(self, engine: Engine) -> None:
        head = self._head(engine)
        if head is None or not head.alive:
            return
        if head.membership.state in (STATES.OPEN, STATES.CLOSING):
            self.broken.append(
                f"{engine.name} leaves {engine.membership.place}, whose "
                f"head is {head.membership.state.value}"
            )

    def _current(self, seen: fleet.Endpoint) -> Engine | None:
        engine = self.engines[seen.endpoint_id]
        if not engine.alive or engine.membership is None:
            return None
        same = engine.membership.place == seen.membership.place
        return engine if same else None

    def _open(self, head: fleet.Endpoint) -> None:
        engine = self._current(head)
        if engine and engine.membership.state is STATES.READY:
            engine.changes_to = "open"
            engine.changes_at = self.now + FORM_S

    def _close(self, order: assembly.Close) -> None:
        engine = self._current(order.head)
        if engine is None or engine.membership.state is not STATES.OPEN:
            return
        if order.at_once:
            self._enter(engine, STATES.READY)
            return
        self._enter(engine, STATES.CLOSING)
        engine.changes_to = "ready"
        engine.changes_at = self.now + WORK_END_S

    def _answer(self, seen: fleet.Endpoint, planner: assembly.Planner) -> None:
        engine = self._current(seen)
        is_open = engine is not None and engine.membership.state in (
            STATES.OPEN,
            STATES.CLOSING,
        )
        planner.note_answer(
            seen.endpoint_id, engine is not None, is_open, self.now
        )

    def stranded(self) -> int:
        """Return the engines that belong to no whole, open replica."""
        replicas = fleet.replicas_of(
            engine.entry() for engine in self.engines.values()
        )
        serving = 0
        for replica in replicas.values():
            spec = SPEC.model(replica.model)
            if spec and replica.is_whole(spec.size) and replica.is_open:
                serving += len(replica.members)
        return len(self.engines) - serving

    def vms_of(self, model: str) -> int:
        """Return the engines in open replicas of a model.

        :param model: name of the model.
        """
        return sum(
            len(replica.members)
            for replica in fleet.replicas_of(
                engine.entry() for engine in self.engines.values()
            ).values()
            if replica.model == model and replica.is_open
        )

    def lose_for_good(self, model: str) -> None:
        """Remove a member of a replica of a model for good.

        :param model: name of the model.
        """
        victim = next(
            engine
            for engine in sorted(
                self.engines.values(), key=lambda one: one.name
            )
            if engine.model == model
            and engine.membership
            and engine.membership.rank == 1
        )
        victim.alive = False
        victim.membership = None
        victim.model = ""
        victim.silent_since = self.now
