"""Planner of the orders that form, open, close and dissolve replicas."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import load_scheduler
from wasabilanding.assembly import orders
from wasabilanding.assembly import preemption
from wasabilanding.assembly import spares
from wasabilanding import fleet
from wasabilanding import routes

# Minimum time between two sends of the same order.
ORDER_RETRY_S = 1.0
# Time in which all members must join, in addition to the model's load time.
FORM_ALLOWANCE_S = 6.0
# A replica formed by another planner that is neither whole nor open is
# dissolved when its members have not changed for this long.
ORPHAN_TIMEOUT_S = 2.5
PROBE_RESULT_TTL_S = 4.0
# Endpoints that become free shortly after each other are planned together.
SETTLE_DELAY_S = 0.5

MAX_SENT_ORDERS = 2000
SENT_ORDER_TTL_S = 60.0

MemberState = fleet.MemberState
SERVING_STATES = (MemberState.OPEN, MemberState.CLOSING)


@dataclasses.dataclass
class _FormingReplica:
    members: tuple[fleet.Endpoint, ...]
    model: str
    expires_at: float


@dataclasses.dataclass(frozen=True)
class _ProbeResult:
    at: float
    is_alive: bool
    is_open: bool


class Planner:
    """Plans the replicas of one service in one failure domain.

    It has no persistent state: a new planner takes over from what the
    endpoints report.

    :param prefix: prefix of the identities of its replicas; must be unique
        among all present and future planners.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._last_epoch = 0
        self._forming: dict[fleet.ReplicaKey, _FormingReplica] = {}
        self._unchanged_since: dict[
            fleet.ReplicaKey, tuple[object, float]
        ] = {}
        self._closing: set[fleet.ReplicaKey] = set()
        self._heads_leaving: set[fleet.ReplicaKey] = set()
        self._sent: dict[tuple, float] = {}
        self._probe_results: dict[str, _ProbeResult] = {}
        self._free_since: dict[str, tuple[frozenset[str], float]] = {}
        self._preemptions = preemption.Preemptions()
        self._load_scheduler = load_scheduler.LoadScheduler()

    def record_probe_result(
        self, endpoint_id: str, is_alive: bool, is_open: bool, now: float
    ) -> None:
        """Record the result of a probe.

        :param endpoint_id: identity of the probed endpoint.
        :param is_alive: whether it still belongs to the replica of its last
            registration.
        :param is_open: whether it may be accepting requests.
        :param now: local monotonic time in seconds.
        """
        self._probe_results[endpoint_id] = _ProbeResult(now, is_alive, is_open)

    def plan(
        self, inputs: orders.PlannerInput, now: float
    ) -> list[orders.Order]:
        """Return the orders to send now.

        :param inputs: current state of the cluster.
        :param now: local monotonic time in seconds.
        """
        replicas = fleet.replicas_of(inputs.endpoints)
        self._drop_outdated(replicas, inputs, now)
        planned: list[orders.Order] = []
        free = [e for e in inputs.endpoints if e.membership is None]
        vms_by_model: collections.Counter[str] = collections.Counter()
        for replica_key, replica in replicas.items():
            done, order = self._step(replica, inputs, now)
            planned += order
            if done:
                free += replica.members
            else:
                vms_by_model[replica.model] += len(replica.members)
        busy = self._joining_endpoints(replicas, vms_by_model)
        usable = [
            endpoint
            for endpoint in free
            if not endpoint.draining
            and endpoint.endpoint_id not in busy
            and not self._is_dead(endpoint, now)
        ]
        planned += self._repeat_joins(replicas)
        settled = self._settled_endpoints(usable, now)
        serving = [r for r in replicas.values() if self._is_serving(r, inputs)]
        if not inputs.loads_are_unlimited:
            domains_in_transition = self._domains_in_transition(
                replicas, usable, settled, inputs
            )
            self._preemptions.start(
                settled,
                serving,
                vms_by_model,
                inputs.spec,
                domains_in_transition,
                now,
            )
            staged, closing = self._preemptions.next_orders(
                self._load_scheduler, inputs, now
            )
            planned += staged
            self._closing |= closing & set(replicas)
        planned += self._form_replicas(
            settled, replicas, vms_by_model, inputs, now
        )
        if not self._forming and not self._preemptions:
            extra_loads = choice.choose_loads_to_stage(
                serving, vms_by_model, inputs.spec
            )
            planned += self._load_scheduler.stage_extra(
                extra_loads, inputs, now
            )
        return [order for order in planned if self._is_due(order, now)]

    def _drop_outdated(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        inputs: orders.PlannerInput,
        now: float,
    ) -> None:
        registered_ids = {
            endpoint.endpoint_id
            for endpoint in inputs.endpoints
            if not endpoint.draining
        }
        for replica_key, forming in list(self._forming.items()):
            ids = {endpoint.endpoint_id for endpoint in forming.members}
            if now >= forming.expires_at or not ids <= registered_ids:
                del self._forming[replica_key]
        self._unchanged_since = {
            k: s for k, s in self._unchanged_since.items() if k in replicas
        }
        self._closing &= set(replicas)
        self._heads_leaving &= set(replicas)

    def _joining_endpoints(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        vms_by_model: collections.Counter[str],
    ) -> set[str]:
        """Return endpoints with a pending join; count their VMs by model."""
        busy = set()
        for replica_key, forming in self._forming.items():
            present = replicas.get(replica_key)
            count = len(present.members) if present else 0
            vms_by_model[forming.model] += len(forming.members) - count
            busy.update(member.endpoint_id for member in forming.members)
        return busy

    def _unchanged_for_s(
        self, replica_key: fleet.ReplicaKey, replica: fleet.Replica, now: float
    ) -> float:
        members = replica.members
        last = self._unchanged_since.get(replica_key)
        if last is None or last[0] != members:
            self._unchanged_since[replica_key] = (members, now)
            return 0.0
        return now - last[1]

    def _step(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Return whether the members are free, and the orders to send."""
        unchanged_s = self._unchanged_for_s(replica.replica_key, replica, now)
        spec = inputs.spec.model(replica.model)
        whole = spec is not None and replica.is_whole(spec.size)
        if whole:
            return self._step_whole(replica, inputs, now)
        if replica.replica_key in self._forming:
            return False, []
        return self._step_partial(replica, inputs, unchanged_s, now)

    def _step_whole(
        self, replica: fleet.Replica, inputs: orders.PlannerInput, now: float
    ) -> tuple[bool, list[orders.Order]]:
        self._forming.pop(replica.replica_key, None)
        if replica.is_leaving or replica.replica_key in self._closing:
            self._closing.add(replica.replica_key)
            if not replica.is_open:
                return False, [self._leave(replica)]
            return False, [orders.Close(replica.head, at_once=False)]
        if replica.is_open:
            return False, self._check_silent_head(replica, inputs, now)
        if inputs.has_later_join(replica):
            # Once open, the replica could serve while a member leaves it
            # to join the other one.
            self._closing.add(replica.replica_key)
            return False, [self._leave(replica)]
        return False, [orders.Open(replica.head)]

    def _check_silent_head(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return orders for a replica whose requests make no progress.

        The registration of a member that dies lapses only seconds later.
        When members die one after the other, waiting for that is too slow:
        a silent replica with a member that fails its probe is dissolved at
        once.
        """
        if replica.head.endpoint_id not in inputs.silent_endpoints:
            return []
        results = {
            endpoint.endpoint_id: self._recent_probe_result(
                endpoint.endpoint_id, now
            )
            for endpoint in replica.members
        }
        if None in results.values():
            return [
                orders.Probe(endpoint)
                for endpoint in replica.members
                if results[endpoint.endpoint_id] is None
            ]
        dead = [
            name for name, result in results.items() if not result.is_alive
        ]
        if not dead:
            return []
        if replica.head.endpoint_id in dead:
            return [
                orders.Leave(endpoint)
                for endpoint in replica.members
                if endpoint.endpoint_id not in dead
            ]
        self._closing.add(replica.replica_key)
        return [orders.Close(replica.head, at_once=True)]

    def _is_dead(self, endpoint: fleet.Endpoint, now: float) -> bool:
        """Tell whether an endpoint failed a recent probe."""
        result = self._recent_probe_result(endpoint.endpoint_id, now)
        return result is not None and not result.is_alive

    def _step_partial(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        unchanged_s: float,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        head = replica.head
        if head is None:
            return self._step_headless(replica, inputs, now)
        state = head.membership.state
        if state is MemberState.BROKEN:
            return True, []
        if state in SERVING_STATES:
            return False, self._close_lost(replica, inputs, now)
        if (
            unchanged_s < ORPHAN_TIMEOUT_S
            and replica.replica_key not in self._closing
        ):
            return False, []
        return False, [self._leave(replica)]

    def _leave(self, replica: fleet.Replica) -> orders.Leave:
        """Remove the head first: an order to open it may still be pending."""
        self._heads_leaving.add(replica.replica_key)
        return orders.Leave(replica.head)

    def _close_lost(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return orders for a serving head with missing members."""
        if replica.is_leaving:
            return [orders.Close(replica.head, at_once=False)]
        if self._is_dead(replica.head, now):
            return []
        lost = [
            removed.endpoint
            for removed in inputs.recently_removed.values()
            if removed.endpoint.membership is not None
            and removed.endpoint.membership.replica_key == replica.replica_key
        ]
        results = [
            self._recent_probe_result(endpoint.endpoint_id, now)
            for endpoint in lost
        ]
        probes: list[orders.Order] = [
            orders.Probe(endpoint)
            for endpoint, result in zip(lost, results, strict=True)
            if result is None
        ]
        if probes:
            return probes
        if lost and all(result.is_alive for result in results):
            # Only the registrations lapsed; the replica keeps serving.
            return []
        self._closing.add(replica.replica_key)
        return [orders.Close(replica.head, at_once=True)]

    def _recent_probe_result(
        self, endpoint_id: str, now: float
    ) -> _ProbeResult | None:
        result = self._probe_results.get(endpoint_id)
        if result is None or now - result.at > PROBE_RESULT_TTL_S:
            return None
        return result

    def _step_headless(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Free the members of a head that is no longer registered.

        A head that reports it is open is closed first. If the head does not
        answer, its members leave it: should it still run behind a network
        partition, it cannot execute requests without them.
        """
        if replica.replica_key in self._heads_leaving:
            return True, self._leave_all(replica)
        head = self._lost_head(replica, inputs)
        if head is None:
            # The head left the replica, or its registration lapsed long ago.
            unchanged_s = self._unchanged_for_s(
                replica.replica_key, replica, now
            )
            return False, self._leave_all(replica) if unchanged_s else []
        result = self._recent_probe_result(head.endpoint.endpoint_id, now)
        if result is None:
            return False, [orders.Probe(head.endpoint)]
        if result.is_open:
            return False, [orders.Close(head.endpoint, at_once=True)]
        return False, self._leave_all(replica)

    @staticmethod
    def _leave_all(replica: fleet.Replica) -> list[orders.Order]:
        return [orders.Leave(member) for member in replica.members]

    @staticmethod
    def _lost_head(
        replica: fleet.Replica, inputs: orders.PlannerInput
    ) -> fleet.RemovedEndpoint | None:
        for removed in inputs.recently_removed.values():
            member = removed.endpoint.membership
            if member is None or member.rank:
                continue
            if member.replica_key == replica.replica_key:
                return removed
        return None

    def _settled_endpoints(
        self, free: collections.abc.Iterable[fleet.Endpoint], now: float
    ) -> list[fleet.Endpoint]:
        """Return free endpoints of domains that gained none recently."""
        settled = []
        seen = {}
        for domain, members in choice.group_by_fabric_domain(free).items():
            ids = frozenset(endpoint.endpoint_id for endpoint in members)
            before, since = self._free_since.get(domain, (frozenset(), now))
            # Only additional free endpoints restart the delay.
            seen[domain] = ids, since if ids <= before else now
            if now - seen[domain][1] >= SETTLE_DELAY_S:
                settled += members
        self._free_since = seen
        return settled

    def _repeat_joins(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
    ) -> list[orders.Order]:
        """Return joins for members that do not report them yet."""
        planned: list[orders.Order] = []
        for replica_key, forming in self._forming.items():
            present = replicas.get(replica_key)
            found = present.members if present else ()
            ids = {member.endpoint_id for member in found}
            missing = tuple(
                m for m in forming.members if m.endpoint_id not in ids
            )
            if missing:
                planned.append(
                    orders.Join(
                        *replica_key, forming.model, forming.members, missing
                    )
                )
        return planned

    def _is_serving(
        self, replica: fleet.Replica, inputs: orders.PlannerInput
    ) -> bool:
        spec = inputs.spec.model(replica.model)
        if spec is None or not replica.is_whole(spec.size):
            return False
        leaving = replica.is_leaving or replica.replica_key in self._closing
        return replica.is_open and not leaving

    def _domains_in_transition(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        free: collections.abc.Sequence[fleet.Endpoint],
        settled: collections.abc.Sequence[fleet.Endpoint],
        inputs: orders.PlannerInput,
    ) -> set[str]:
        """Return fabric domains whose endpoints are still changing."""
        domains_in_transition = {
            endpoint.fabric_domain
            for endpoint in free
            if endpoint not in settled
        }
        for replica in replicas.values():
            left = (
                replica.head is None
                and replica.replica_key in self._heads_leaving
            )
            if not left and not self._is_serving(replica, inputs):
                domains_in_transition.add(replica.members[0].fabric_domain)
        for forming in self._forming.values():
            domains_in_transition.add(forming.members[0].fabric_domain)
        return domains_in_transition

    def _form_replicas(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        vms_by_model: collections.Counter[str],
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        planned: list[orders.Order] = []
        plans = choice.plan_replicas(
            free,
            vms_by_model,
            inputs.spec,
            self._preemptions.reserved_models,
            warm_only=not inputs.loads_are_unlimited,
        )
        used = set()
        for plan in plans:
            planned.append(self._join(plan, inputs, now))
            used.update(endpoint.endpoint_id for endpoint in plan.members)
        idle = [
            endpoint for endpoint in free if endpoint.endpoint_id not in used
        ]
        planned += self._load_missing_weights(
            idle, replicas, vms_by_model, inputs, now
        )
        return planned

    def _vms_by_domain(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
    ) -> dict[str, collections.Counter[str]]:
        """Return the VMs in replicas of each model, by fabric domain."""
        vms: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        for replica_key, replica in replicas.items():
            if replica_key not in self._forming:
                domain = replica.members[0].fabric_domain
                vms[domain][replica.model] += len(replica.members)
        for forming in self._forming.values():
            domain = forming.members[0].fabric_domain
            vms[domain][forming.model] += len(forming.members)
        return vms

    def _load_missing_weights(
        self,
        idle: collections.abc.Sequence[fleet.Endpoint],
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        vms_by_model: collections.Counter[str],
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return orders to load the weights that idle endpoints lack."""
        reserved_models = self._preemptions.reserved_models
        smallest = min(model.size for model in inputs.spec.models)
        to_form: list[fleet.Endpoint] = []
        spare: list[fleet.Endpoint] = []
        for domain, own in choice.group_by_fabric_domain(idle).items():
            if domain in reserved_models:
                continue
            if len(own) < smallest:
                spare += own
            else:
                to_form += own
        chosen = choice.choose_loads_to_form(
            to_form, vms_by_model, inputs.spec
        )
        chosen += spares.choose_spare_loads(
            spare, self._vms_by_domain(replicas), vms_by_model, inputs.spec
        )
        return [
            order
            for endpoint, spec in chosen
            for order in self._load_scheduler.stage(
                endpoint, spec, inputs, now
            )
        ]

    def _join(
        self,
        plan: choice.ReplicaPlan,
        inputs: orders.PlannerInput,
        now: float,
    ) -> orders.Join:
        epochs = [
            endpoint.membership.epoch
            for endpoint in inputs.endpoints
            if endpoint.membership is not None
        ]
        epochs += inputs.pending_epochs.values()
        epoch = max(self._last_epoch, inputs.revision, *epochs, 0) + 1
        self._last_epoch = epoch
        self._preemptions.complete(plan)
        replica_key = (f"{self._prefix}-{epoch}", epoch)
        model: routes.ModelSpec = plan.model
        cold = choice.count_cold_members(plan.members, model)
        self._forming[replica_key] = _FormingReplica(
            plan.members,
            model.name,
            now + (model.load_s if cold else model.warm_s) + FORM_ALLOWANCE_S,
        )
        return orders.Join(
            *replica_key, model.name, plan.members, plan.members
        )

    def _is_due(self, order: orders.Order, now: float) -> bool:
        key = _order_key(order)
        if now - self._sent.get(key, float("-inf")) < ORDER_RETRY_S:
            return False
        self._sent[key] = now
        if len(self._sent) > MAX_SENT_ORDERS:
            self._sent = {
                k: at
                for k, at in self._sent.items()
                if now - at < SENT_ORDER_TTL_S
            }
        return True


def _order_key(order: orders.Order) -> tuple:
    match order:
        case orders.Join():
            return "join", order.replica
        case orders.Open():
            return "open", order.head.membership.replica_key
        case orders.Close():
            return "close", order.head.membership.replica_key, order.at_once
        case orders.Leave():
            member = order.endpoint
            return "leave", member.endpoint_id, member.membership.replica_key
        case orders.Probe():
            return "probe", order.endpoint.endpoint_id
        case orders.Stage():
            return "stage", order.endpoint.endpoint_id, order.model
