"""Decides which orders bring replicas up and take them down."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import load_scheduler
from wasabilanding.assembly import orders
from wasabilanding.assembly import preemption
from wasabilanding import fleet
from wasabilanding import routes

# An order without an effect is sent again after this time.
ORDER_RETRY_S = 1.0
# A join that has not brought all members together by then is given up; the
# time to load comes on top.
FORM_ALLOWANCE_S = 6.0
# A replica of another planner that is neither whole nor open is taken apart
# after standing still for so long.
ORPHAN_TIMEOUT_S = 2.5
PROBE_RESULT_TTL_S = 4.0
# Endpoints that come one after the other are planned together.
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

    It holds nothing that has to last: a new planner takes over from what
    the endpoints report.

    :param prefix: begin of the identities of replicas; no other planner, now
        or later, may use the same.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._last_epoch = 0
        self._forming: dict[fleet.ReplicaKey, _FormingReplica] = {}
        self._unchanged_since: dict[
            fleet.ReplicaKey, tuple[object, float]
        ] = {}
        self._closed: set[fleet.ReplicaKey] = set()
        self._heads_leaving: set[fleet.ReplicaKey] = set()
        self._sent: dict[tuple, float] = {}
        self._probe_results: dict[str, _ProbeResult] = {}
        self._free_since: dict[str, tuple[frozenset[str], float]] = {}
        self._preemptions = preemption.Preemptions()
        self._load_scheduler = load_scheduler.LoadScheduler()

    def record_probe_result(
        self, endpoint_id: str, is_alive: bool, is_open: bool, now: float
    ) -> None:
        """Learn what an endpoint answered that was asked whether it lives.

        :param endpoint_id: its identity.
        :param is_alive: whether it answered, or may live all the same.
        :param is_open: whether it may be taking requests.
        :param now: local monotonic time in seconds.
        """
        self._probe_results[endpoint_id] = _ProbeResult(now, is_alive, is_open)

    def plan(
        self, inputs: orders.PlannerInput, now: float
    ) -> list[orders.Order]:
        """Return the orders to send now.

        :param inputs: what is known.
        :param now: local monotonic time in seconds.
        """
        replicas = fleet.replicas_of(inputs.endpoints)
        self._drop_outdated(replicas, inputs, now)
        wanted: list[orders.Order] = []
        free = [e for e in inputs.endpoints if e.membership is None]
        vms_by_model: collections.Counter[str] = collections.Counter()
        for replica_key, replica in replicas.items():
            done, order = self._step(replica, inputs, now)
            wanted += order
            if done:
                free += replica.members
            else:
                vms_by_model[replica.model] += len(replica.members)
        busy = self._joining_endpoints(replicas, vms_by_model)
        usable = [
            one
            for one in free
            if not one.draining
            and one.endpoint_id not in busy
            and not self._is_dead(one, now)
        ]
        wanted += self._repeat_joins(replicas)
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
            staged, closing = self._preemptions.advance(
                self._load_scheduler, inputs, now
            )
            wanted += staged
            self._closed |= closing & set(replicas)
        wanted += self._form_replicas(settled, vms_by_model, inputs, now)
        if not self._forming and not self._preemptions:
            seconds = choice.choose_loads_to_stage(
                serving, vms_by_model, inputs.spec
            )
            wanted += self._load_scheduler.stage_extra(seconds, inputs, now)
        return [order for order in wanted if self._is_due(order, now)]

    def _drop_outdated(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        inputs: orders.PlannerInput,
        now: float,
    ) -> None:
        there = {
            one.endpoint_id for one in inputs.endpoints if not one.draining
        }
        for replica_key, forming in list(self._forming.items()):
            names = {one.endpoint_id for one in forming.members}
            if now >= forming.expires_at or not names <= there:
                del self._forming[replica_key]
        self._unchanged_since = {
            p: s for p, s in self._unchanged_since.items() if p in replicas
        }
        self._closed &= set(replicas)
        self._heads_leaving &= set(replicas)

    def _joining_endpoints(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        vms_by_model: collections.Counter[str],
    ) -> set[str]:
        """Endpoints that a join under way is meant for."""
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
        mark = replica.members
        seen = self._unchanged_since.get(replica_key)
        if seen is None or seen[0] != mark:
            self._unchanged_since[replica_key] = (mark, now)
            return 0.0
        return now - seen[1]

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
        if replica.is_leaving or replica.replica_key in self._closed:
            self._closed.add(replica.replica_key)
            if not replica.is_open:
                return False, [self._leave(replica)]
            return False, [orders.Close(replica.head, at_once=False)]
        if replica.is_open:
            return False, self._check_silent_head(replica, inputs, now)
        if inputs.has_later_join(replica):
            # A member would join the other replica while this one serves.
            self._closed.add(replica.replica_key)
            return False, [self._leave(replica)]
        return False, [orders.Open(replica.head)]

    def _check_silent_head(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Orders for a replica whose requests get no sign of work.

        The load pattern it answers: members die one after the other. Their
        registrations lapse seconds later; a replica that is silent and has a
        member that does not answer is taken apart at once.
        """
        if replica.head.endpoint_id not in inputs.silent_endpoints:
            return []
        answers = {
            one.endpoint_id: self._recent_probe_result(one.endpoint_id, now)
            for one in replica.members
        }
        if None in answers.values():
            return [
                orders.Probe(one)
                for one in replica.members
                if answers[one.endpoint_id] is None
            ]
        dead = [
            name for name, answer in answers.items() if not answer.is_alive
        ]
        if not dead:
            return []
        if replica.head.endpoint_id in dead:
            return [
                orders.Leave(one)
                for one in replica.members
                if one.endpoint_id not in dead
            ]
        self._closed.add(replica.replica_key)
        return [orders.Close(replica.head, at_once=True)]

    def _is_dead(self, endpoint: fleet.Endpoint, now: float) -> bool:
        """Tell whether an endpoint has not answered a short time ago."""
        answer = self._recent_probe_result(endpoint.endpoint_id, now)
        return answer is not None and not answer.is_alive

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
            and replica.replica_key not in self._closed
        ):
            return False, []
        return False, [self._leave(replica)]

    def _leave(self, replica: fleet.Replica) -> orders.Leave:
        """Take the head out first: an order to open may still be under way."""
        self._heads_leaving.add(replica.replica_key)
        return orders.Leave(replica.head)

    def _close_lost(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Orders for a head that takes requests while a member is missing."""
        if replica.is_leaving:
            return [orders.Close(replica.head, at_once=False)]
        if self._is_dead(replica.head, now):
            return []
        lost = [
            departure.endpoint
            for departure in inputs.recently_removed.values()
            if departure.endpoint.membership is not None
            and departure.endpoint.membership.replica_key
            == replica.replica_key
        ]
        asked = [
            self._recent_probe_result(one.endpoint_id, now) for one in lost
        ]
        asks: list[orders.Order] = [
            orders.Probe(one)
            for one, answer in zip(lost, asked, strict=True)
            if answer is None
        ]
        if asks:
            return asks
        if lost and all(answer.is_alive for answer in asked):
            # Only the registration lapsed: the replica goes on.
            return []
        self._closed.add(replica.replica_key)
        return [orders.Close(replica.head, at_once=True)]

    def _recent_probe_result(
        self, endpoint_id: str, now: float
    ) -> _ProbeResult | None:
        answer = self._probe_results.get(endpoint_id)
        if answer is None or now - answer.at > PROBE_RESULT_TTL_S:
            return None
        return answer

    def _step_headless(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Free the members of a head that is no longer registered.

        One that answers is closed first. From one that does not, they are
        taken away: if it should live behind a partition, it cannot run
        anything without them.
        """
        if replica.replica_key in self._heads_leaving:
            return True, self._leave_all(replica)
        head = self._lost_head(replica, inputs)
        if head is None:
            # It has left, or lapsed long ago.
            unchanged_s = self._unchanged_for_s(
                replica.replica_key, replica, now
            )
            return False, self._leave_all(replica) if unchanged_s else []
        answer = self._recent_probe_result(head.endpoint.endpoint_id, now)
        if answer is None:
            return False, [orders.Probe(head.endpoint)]
        if answer.is_open:
            return False, [orders.Close(head.endpoint, at_once=True)]
        return False, self._leave_all(replica)

    @staticmethod
    def _leave_all(replica: fleet.Replica) -> list[orders.Order]:
        return [orders.Leave(member) for member in replica.members]

    @staticmethod
    def _lost_head(
        replica: fleet.Replica, inputs: orders.PlannerInput
    ) -> fleet.RemovedEndpoint | None:
        for departure in inputs.recently_removed.values():
            member = departure.endpoint.membership
            if member is None or member.rank:
                continue
            if member.replica_key == replica.replica_key:
                return departure
        return None

    def _settled_endpoints(
        self, free: collections.abc.Iterable[fleet.Endpoint], now: float
    ) -> list[fleet.Endpoint]:
        """Free endpoints of fabric domains where no more have just come."""
        settled = []
        seen = {}
        for domain, members in choice.group_by_fabric_domain(free).items():
            names = frozenset(one.endpoint_id for one in members)
            before, since = self._free_since.get(domain, (frozenset(), now))
            # Fewer than before is no reason to wait.
            seen[domain] = names, since if names <= before else now
            if now - seen[domain][1] >= SETTLE_DELAY_S:
                settled += members
        self._free_since = seen
        return settled

    def _repeat_joins(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
    ) -> list[orders.Order]:
        """Send a join again to members that do not report it."""
        wanted: list[orders.Order] = []
        for replica_key, forming in self._forming.items():
            present = replicas.get(replica_key)
            found = present.members if present else ()
            names = {member.endpoint_id for member in found}
            missing = tuple(
                m for m in forming.members if m.endpoint_id not in names
            )
            if missing:
                wanted.append(
                    orders.Join(
                        *replica_key, forming.model, forming.members, missing
                    )
                )
        return wanted

    def _is_serving(
        self, replica: fleet.Replica, inputs: orders.PlannerInput
    ) -> bool:
        spec = inputs.spec.model(replica.model)
        if spec is None or not replica.is_whole(spec.size):
            return False
        leaving = replica.is_leaving or replica.replica_key in self._closed
        return replica.is_open and not leaving

    def _domains_in_transition(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
        free: collections.abc.Sequence[fleet.Endpoint],
        settled: collections.abc.Sequence[fleet.Endpoint],
        inputs: orders.PlannerInput,
    ) -> set[str]:
        """Fabric domains whose endpoints are on the way somewhere."""
        domains_in_transition = {
            one.fabric_domain for one in free if one not in settled
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
        vms_by_model: collections.Counter[str],
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        wanted: list[orders.Order] = []
        plans = choice.plan_replicas(
            free,
            vms_by_model,
            inputs.spec,
            self._preemptions.reserved_models,
            warm_only=not inputs.loads_are_unlimited,
        )
        used = set()
        for plan in plans:
            wanted.append(self._join(plan, inputs, now))
            used.update(one.endpoint_id for one in plan.members)
        if not inputs.loads_are_unlimited:
            idle = [one for one in free if one.endpoint_id not in used]
            wanted += self._load_missing_weights(
                idle, vms_by_model, inputs, now
            )
        return wanted

    def _load_missing_weights(
        self,
        idle: collections.abc.Sequence[fleet.Endpoint],
        vms_by_model: collections.Counter[str],
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Load what idle endpoints lack to form a replica."""
        reserved_models = self._preemptions.reserved_models
        chosen = choice.choose_loads_to_form(
            [one for one in idle if one.fabric_domain not in reserved_models],
            vms_by_model,
            inputs.spec,
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
            one.membership.epoch
            for one in inputs.endpoints
            if one.membership is not None
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
            return "ask", order.endpoint.endpoint_id
        case orders.Stage():
            return "stage", order.endpoint.endpoint_id, order.model
