"""Upkeep of replicas: opens whole ones, dissolves those that lost a member."""

import collections.abc
import dataclasses
import enum

from wasabilanding.assembly import orders
from wasabilanding import fleet

# A replica formed by another planner that is neither whole nor open is
# dissolved when its members have not changed for this long.
ORPHAN_TIMEOUT_S = 2.5
PROBE_RESULT_TTL_S = 4.0
# An endpoint that answers no probe for this long counts as lost. Callers end
# their requests after a gap of two seconds or somewhat more; until then an
# endpoint that goes on serves them.
UNANSWERED_TIMEOUT_S = 2.4
# Probes of a node that runs follow each other within this time; in a longer
# one the node itself may have stood still.
MAX_PROBE_INTERVAL_S = 1.5

MemberState = fleet.MemberState
SERVING_STATES = (MemberState.OPEN, MemberState.CLOSING)


class ProbeAnswer(enum.Enum):
    """What a probe has shown of an endpoint.

    ``MEMBER``: it belongs to the replica of its last registration.
    ``GONE``: it belongs to none or another one, or no connection to it can be
    established.
    ``NONE``: it has not answered, but its VM accepts connections; it may be
    about to end, or pause and go on.
    """

    MEMBER = "member"
    GONE = "gone"
    NONE = "none"

    @property
    def is_reply(self) -> bool:
        """Whether the endpoint itself has answered."""
        return self is ProbeAnswer.MEMBER


@dataclasses.dataclass(frozen=True)
class ProbeResult:
    """Result of a probe of an endpoint.

    :param at: local monotonic time in seconds.
    :param answer: what the probe has shown.
    :param is_open: whether it may be accepting requests.
    :param unanswered_s: seconds for which probes have not been answered; of
        a single probe, since it was sent.
    """

    at: float
    answer: ProbeAnswer
    is_open: bool = False
    unanswered_s: float = 0.0

    @property
    def is_alive(self) -> bool:
        """Whether it has answered as a member of its replica."""
        return self.answer is ProbeAnswer.MEMBER

    @property
    def is_lost(self) -> bool:
        """Whether it is lost even if its registration has not lapsed."""
        if self.answer is ProbeAnswer.NONE:
            return self.unanswered_s >= UNANSWERED_TIMEOUT_S
        return self.answer is ProbeAnswer.GONE

    def following(self, before: "ProbeResult") -> "ProbeResult":
        """Return this unanswered probe with those before it.

        :param before: result of the previous probe.
        """
        if before.answer is not ProbeAnswer.NONE:
            return self
        elapsed_s = min(self.at - before.at, MAX_PROBE_INTERVAL_S)
        unanswered_s = before.unanswered_s + elapsed_s
        return dataclasses.replace(self, unanswered_s=unanswered_s)


class ReplicaUpkeep:
    """Decides the next orders for each replica that endpoints report.

    The members of a replica are free only when its head can no longer serve.
    """

    def __init__(self) -> None:
        self._unchanged_since: dict[
            fleet.ReplicaKey, tuple[object, float]
        ] = {}
        self._closing: set[fleet.ReplicaKey] = set()
        self._heads_leaving: set[fleet.ReplicaKey] = set()
        self._probe_results: dict[fleet.Incarnation, ProbeResult] = {}

    def record_probe_result(
        self, endpoint: fleet.Incarnation, result: ProbeResult
    ) -> None:
        """Record the result of a probe.

        :param endpoint: the probed endpoint.
        :param result: the result.
        """
        before = self._recent_probe_result(endpoint, result.at)
        if before is not None and result.answer is ProbeAnswer.NONE:
            result = result.following(before)
        self._probe_results = {
            start: known
            for start, known in self._probe_results.items()
            if result.at - known.at <= PROBE_RESULT_TTL_S
        }
        self._probe_results[endpoint] = result

    def drop_outdated(
        self,
        replicas: collections.abc.Mapping[fleet.ReplicaKey, fleet.Replica],
    ) -> None:
        """Forget replicas that no endpoint reports any more.

        :param replicas: all reported replicas.
        """
        self._unchanged_since = {
            k: s for k, s in self._unchanged_since.items() if k in replicas
        }
        self._closing &= set(replicas)
        self._heads_leaving &= set(replicas)

    def close(
        self, replica_keys: collections.abc.Iterable[fleet.ReplicaKey]
    ) -> None:
        """Close replicas when their requests have ended.

        :param replica_keys: the replicas.
        """
        self._closing.update(replica_keys)

    def head_has_left(self, replica: fleet.Replica) -> bool:
        """Tell whether a replica's head has obeyed the order to leave.

        :param replica: the replica.
        """
        return (
            replica.head is None and replica.replica_key in self._heads_leaving
        )

    def is_serving(
        self, replica: fleet.Replica, inputs: orders.PlannerInput
    ) -> bool:
        """Tell whether a whole replica accepts requests and will stay.

        :param replica: the replica.
        :param inputs: current state of the cluster.
        """
        spec = inputs.spec.model(replica.model)
        if spec is None or not replica.is_whole(spec.size):
            return False
        leaving = replica.is_leaving or replica.replica_key in self._closing
        return replica.is_open and not leaving

    def _unchanged_for_s(
        self, replica_key: fleet.ReplicaKey, replica: fleet.Replica, now: float
    ) -> float:
        members = replica.members
        last = self._unchanged_since.get(replica_key)
        if last is None or last[0] != members:
            self._unchanged_since[replica_key] = (members, now)
            return 0.0
        return now - last[1]

    def step(
        self,
        replica: fleet.Replica,
        is_whole: bool,
        is_forming: bool,
        inputs: orders.PlannerInput,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Return whether a replica's members are free, and orders for it.

        :param replica: the replica.
        :param is_whole: whether all its members are in service.
        :param is_forming: whether the planner is still forming it.
        :param inputs: current state of the cluster.
        :param now: local monotonic time in seconds.
        """
        unchanged_s = self._unchanged_for_s(replica.replica_key, replica, now)
        if is_whole:
            return False, self._step_whole(replica, inputs, now)
        if is_forming:
            return False, []
        return self._step_partial(replica, inputs, unchanged_s, now)

    def _step_whole(
        self, replica: fleet.Replica, inputs: orders.PlannerInput, now: float
    ) -> list[orders.Order]:
        if replica.is_leaving or replica.replica_key in self._closing:
            self._closing.add(replica.replica_key)
            if not replica.is_open:
                return [self._leave(replica)]
            return [orders.Close(replica.head, at_once=False)]
        if replica.is_open:
            return self._check_silent_head(replica, inputs, now)
        if inputs.has_later_join(replica):
            # Once open, the replica could serve while a member leaves it
            # to join the other one.
            self._closing.add(replica.replica_key)
            return [self._leave(replica)]
        return [orders.Open(replica.head)]

    def _check_silent_head(
        self,
        replica: fleet.Replica,
        inputs: orders.PlannerInput,
        now: float,
    ) -> list[orders.Order]:
        """Return orders for a replica whose requests make no progress.

        The registration of a member that dies lapses only seconds later.
        When members die one after the other, waiting for that is too slow:
        a silent replica is dissolved at once if a member refuses its probe,
        and after :data:`UNANSWERED_TIMEOUT_S` if one does not answer. Sooner,
        the requests of a replica that only pauses would be cut.
        """
        starts = {fleet.incarnation_of(m): m for m in replica.members}
        head = fleet.incarnation_of(replica.head)
        if head not in inputs.silent_endpoints:
            return []
        results = {
            start: self._recent_probe_result(start, now) for start in starts
        }
        probes: list[orders.Order] = [
            orders.Probe(endpoint)
            for start, endpoint in starts.items()
            if _is_inconclusive(results[start])
        ]
        dead = [
            start
            for start, result in results.items()
            if result is not None and result.is_lost
        ]
        if probes or not dead:
            return probes
        if head in dead:
            return [
                orders.Leave(endpoint)
                for start, endpoint in starts.items()
                if start not in dead
            ]
        self._closing.add(replica.replica_key)
        return [orders.Close(replica.head, at_once=True)]

    def is_dead(self, endpoint: fleet.Endpoint, now: float) -> bool:
        """Tell whether an endpoint failed a recent probe.

        :param endpoint: the endpoint.
        :param now: local monotonic time in seconds.
        """
        result = self._recent_probe_result(fleet.incarnation_of(endpoint), now)
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
        if self.is_dead(replica.head, now):
            return []
        lost = [
            removed.endpoint
            for removed in inputs.recently_removed.values()
            if removed.endpoint.membership is not None
            and removed.endpoint.membership.replica_key == replica.replica_key
        ]
        results = [
            self._recent_probe_result(fleet.incarnation_of(endpoint), now)
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
        self, endpoint: fleet.Incarnation, now: float
    ) -> ProbeResult | None:
        result = self._probe_results.get(endpoint)
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
        result = self._recent_probe_result(
            fleet.incarnation_of(head.endpoint), now
        )
        if result is None:
            return False, [orders.Probe(head.endpoint)]
        if result.is_open:
            # It may serve on without a registration, and complete its work.
            return False, [orders.Close(head.endpoint, at_once=False)]
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


def _is_inconclusive(result: ProbeResult | None) -> bool:
    """Return whether an endpoint must be probed again."""
    return result is None or not (result.is_alive or result.is_lost)
