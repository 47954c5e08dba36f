"""Planner of the orders that form, open, close and dissolve replicas."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import load_scheduler
from wasabilanding.assembly import orders
from wasabilanding.assembly import preemption
from wasabilanding.assembly import spares
from wasabilanding.assembly import upkeep
from wasabilanding import fleet
from wasabilanding import model as model_module
from wasabilanding import routes

# Minimum time between two sends of the same order.
ORDER_RETRY_S = 1.0
# Time in which all members must join, in addition to the model's load time.
FORM_ALLOWANCE_S = 6.0
# Endpoints that become free shortly after each other are planned together.
SETTLE_DELAY_S = 0.5

MAX_SENT_ORDERS = 2000
SENT_ORDER_TTL_S = 60.0
# Epochs of an era of the store begin above those of the one before, as long
# as its revisions are fewer; beyond, above those that the planner knows.
EPOCHS_PER_ERA = 100_000_000
# A larger epoch is not counted: no planner gives it, so that another writer
# has. Counted, it would be given to all replicas that are formed later.
MAX_EPOCH = 10**15


def first_epoch(revision: model_module.StoreRevision) -> int:
    """Return the number that the next epoch must exceed.

    :param revision: newest known revision of the store.

    Examples
    ========

    >>> from wasabilanding import assembly
    >>> from wasabilanding import model
    >>> assembly.first_epoch(model.StoreRevision(2, 34))
    200000034
    """
    return revision.era * EPOCHS_PER_ERA + revision.number


@dataclasses.dataclass
class _FormingReplica:
    members: tuple[fleet.Endpoint, ...]
    model: str
    expires_at: float


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
        self._upkeep = upkeep.ReplicaUpkeep()
        self._sent: dict[tuple, float] = {}
        self._free_since: dict[str, tuple[frozenset[str], float]] = {}
        self._preemptions = preemption.Preemptions()
        self._load_scheduler = load_scheduler.LoadScheduler()

    def record_probe_result(
        self, endpoint: fleet.Incarnation, result: upkeep.ProbeResult
    ) -> None:
        """Record the result of a probe that the planner has ordered.

        :param endpoint: the probed endpoint.
        :param result: the result.
        """
        self._upkeep.record_probe_result(endpoint, result)

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
            done, order = self._step(replica_key, replica, inputs, now)
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
            and endpoint.endpoint_id not in inputs.held_endpoints
            and not self._upkeep.is_dead(endpoint, now)
        ]
        planned += self._repeat_joins(replicas)
        settled = self._settled_endpoints(usable, now)
        serving = [
            r for r in replicas.values() if self._upkeep.is_serving(r, inputs)
        ]
        if not inputs.loads_are_unlimited:
            domains_in_transition = self._domains_in_transition(
                replicas, usable, settled, inputs, now
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
            self._upkeep.close(closing & set(replicas))
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
        registered = {
            fleet.incarnation_of(endpoint)
            for endpoint in inputs.endpoints
            if not endpoint.draining
        }
        for replica_key, forming in list(self._forming.items()):
            starts = set(map(fleet.incarnation_of, forming.members))
            if now >= forming.expires_at or not starts <= registered:
                del self._forming[replica_key]
        self._upkeep.drop_outdated(replicas)

    def _step(
        self,
        replica_key: fleet.ReplicaKey,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Return whether the members are free, and the orders to send."""
        spec = inputs.spec.model(replica.model)
        whole = spec is not None and replica.is_whole(spec.size)
        if whole:
            self._forming.pop(replica_key, None)
        return self._upkeep.step(
            replica, whole, replica_key in self._forming, inputs, now
        )

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

    def _domains_in_transition(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        free: collections.abc.Sequence[fleet.Endpoint],
        settled: collections.abc.Sequence[fleet.Endpoint],
        inputs: orders.PlannerInput,
        now: float,
    ) -> set[str]:
        """Return fabric domains whose endpoints are still changing.

        What is left of a replica after its survivors have been freed, until
        the registrations of the lost members lapse, changes no more.
        """
        domains_in_transition = {
            endpoint.fabric_domain
            for endpoint in free
            if endpoint not in settled
        }
        for replica in replicas.values():
            ended = self._upkeep.head_has_left(replica) or all(
                self._upkeep.is_dead(member, now) for member in replica.members
            )
            if not ended and not self._upkeep.is_serving(replica, inputs):
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
        epochs += [
            removed.endpoint.membership.epoch
            for removed in inputs.recently_removed.values()
            if removed.endpoint.membership is not None
        ]
        epochs += inputs.pending_epochs.values()
        lowest = first_epoch(inputs.revision)
        known = [epoch for epoch in epochs if epoch <= MAX_EPOCH]
        epoch = max(self._last_epoch, lowest, *known) + 1
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
        key = orders.order_key(order)
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
