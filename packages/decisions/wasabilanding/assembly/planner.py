"""Decides which orders bring replicas up and take them down."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import choice
from wasabilanding.assembly import exchanges
from wasabilanding.assembly import loads
from wasabilanding.assembly import orders
from wasabilanding import fleet
from wasabilanding import routes

# An order without an effect is sent again after this time.
ORDER_RETRY_S = 1.0
# A join that has not brought all members together by then is given up; the
# time to load comes on top.
FORM_SLACK_S = 6.0
# A replica of another planner that is neither whole nor open is taken apart
# after standing still for so long.
ORPHAN_S = 2.5
ANSWER_FRESH_S = 4.0
# Endpoints that come one after the other are planned together.
SETTLE_S = 0.5

MAX_REMEMBERED = 2000
FORGET_S = 60.0

MemberState = fleet.MemberState
TAKING = (MemberState.OPEN, MemberState.CLOSING)


@dataclasses.dataclass
class _Forming:
    members: tuple[fleet.Endpoint, ...]
    model: str
    gives_up_at: float


@dataclasses.dataclass(frozen=True)
class _Answer:
    at: float
    lives: bool
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
        self._forming: dict[fleet.Place, _Forming] = {}
        self._seen: dict[fleet.Place, tuple[object, float]] = {}
        self._closed: set[fleet.Place] = set()
        self._left: set[fleet.Place] = set()
        self._sent: dict[tuple, float] = {}
        self._answers: dict[str, _Answer] = {}
        self._free: dict[str, tuple[frozenset[str], float]] = {}
        self._exchanges = exchanges.Exchanges()
        self._loads = loads.Loads()

    def note_answer(
        self, endpoint_id: str, lives: bool, is_open: bool, now: float
    ) -> None:
        """Learn what an endpoint answered that was asked whether it lives.

        :param endpoint_id: its identity.
        :param lives: whether it answered, or may live all the same.
        :param is_open: whether it may be taking requests.
        :param now: local monotonic time in seconds.
        """
        self._answers[endpoint_id] = _Answer(now, lives, is_open)

    def plan(
        self, situation: orders.Situation, now: float
    ) -> list[orders.Order]:
        """Return the orders to send now.

        :param situation: what is known.
        :param now: local monotonic time in seconds.
        """
        replicas = fleet.replicas_of(situation.endpoints)
        self._forget_gone(replicas, situation, now)
        wanted: list[orders.Order] = []
        free = [e for e in situation.endpoints if e.membership is None]
        held: collections.Counter[str] = collections.Counter()
        for place, replica in replicas.items():
            done, order = self._step(replica, situation, now)
            wanted += order
            if done:
                free += replica.members
            else:
                held[replica.model] += len(replica.members)
        busy = self._busy(replicas, held)
        usable = [
            one
            for one in free
            if not one.draining
            and one.endpoint_id not in busy
            and not self._is_dead(one, now)
        ]
        wanted += self._rejoins(replicas)
        settled = self._settled(usable, now)
        serving = [r for r in replicas.values() if self._serves(r, situation)]
        if not situation.loads_are_free:
            moving = self._moving(replicas, usable, settled, situation)
            self._exchanges.begin(
                settled, serving, held, situation.spec, moving, now
            )
            staged, closing = self._exchanges.go_on(
                self._loads, situation, now
            )
            wanted += staged
            self._closed |= closing & set(replicas)
        wanted += self._formations(settled, held, situation, now)
        if not self._forming and not self._exchanges:
            seconds = choice.weights_to_stage(serving, held, situation.spec)
            wanted += self._loads.stage_second(seconds, situation, now)
        return [order for order in wanted if self._is_due(order, now)]

    def _forget_gone(
        self,
        replicas: collections.abc.Mapping[fleet.Place, fleet.Replica],
        situation: orders.Situation,
        now: float,
    ) -> None:
        there = {
            one.endpoint_id for one in situation.endpoints if not one.draining
        }
        for place, forming in list(self._forming.items()):
            names = {one.endpoint_id for one in forming.members}
            if now >= forming.gives_up_at or not names <= there:
                del self._forming[place]
        self._seen = {p: s for p, s in self._seen.items() if p in replicas}
        self._closed &= set(replicas)
        self._left &= set(replicas)

    def _busy(
        self,
        replicas: collections.abc.Mapping[fleet.Place, fleet.Replica],
        held: collections.Counter[str],
    ) -> set[str]:
        """Endpoints that a join under way is meant for."""
        busy = set()
        for place, forming in self._forming.items():
            present = replicas.get(place)
            count = len(present.members) if present else 0
            held[forming.model] += len(forming.members) - count
            busy.update(member.endpoint_id for member in forming.members)
        return busy

    def _still_for(
        self, place: fleet.Place, replica: fleet.Replica, now: float
    ) -> float:
        mark = replica.members
        seen = self._seen.get(place)
        if seen is None or seen[0] != mark:
            self._seen[place] = (mark, now)
            return 0.0
        return now - seen[1]

    def _step(
        self,
        replica: fleet.Replica,
        situation: orders.Situation,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Return whether the members are free, and the orders to send."""
        still_s = self._still_for(replica.place, replica, now)
        spec = situation.spec.model(replica.model)
        whole = spec is not None and replica.is_whole(spec.size)
        if whole:
            return self._step_whole(replica, situation, now)
        if replica.place in self._forming:
            return False, []
        return self._step_partial(replica, situation, still_s, now)

    def _step_whole(
        self, replica: fleet.Replica, situation: orders.Situation, now: float
    ) -> tuple[bool, list[orders.Order]]:
        self._forming.pop(replica.place, None)
        if replica.is_leaving or replica.place in self._closed:
            self._closed.add(replica.place)
            if not replica.is_open:
                return False, [self._leave(replica)]
            return False, [orders.Close(replica.head, at_once=False)]
        if replica.is_open:
            return False, self._check_silent(replica, situation, now)
        if situation.is_claimed_beyond(replica):
            # A member would join the other replica while this one serves.
            self._closed.add(replica.place)
            return False, [self._leave(replica)]
        return False, [orders.Open(replica.head)]

    def _check_silent(
        self,
        replica: fleet.Replica,
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Orders for a replica whose requests get no sign of work.

        The load pattern it answers: members die one after the other. Their
        registrations lapse seconds later; a replica that is silent and has a
        member that does not answer is taken apart at once.
        """
        if replica.head.endpoint_id not in situation.silent:
            return []
        answers = {
            one.endpoint_id: self._fresh_answer(one.endpoint_id, now)
            for one in replica.members
        }
        if None in answers.values():
            return [
                orders.Ask(one)
                for one in replica.members
                if answers[one.endpoint_id] is None
            ]
        dead = [name for name, answer in answers.items() if not answer.lives]
        if not dead:
            return []
        if replica.head.endpoint_id in dead:
            return [
                orders.Leave(one)
                for one in replica.members
                if one.endpoint_id not in dead
            ]
        self._closed.add(replica.place)
        return [orders.Close(replica.head, at_once=True)]

    def _is_dead(self, endpoint: fleet.Endpoint, now: float) -> bool:
        """Tell whether an endpoint has not answered a short time ago."""
        answer = self._fresh_answer(endpoint.endpoint_id, now)
        return answer is not None and not answer.lives

    def _step_partial(
        self,
        replica: fleet.Replica,
        situation: orders.Situation,
        still_s: float,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        head = replica.head
        if head is None:
            return self._step_headless(replica, situation, now)
        state = head.membership.state
        if state is MemberState.BROKEN:
            return True, []
        if state in TAKING:
            return False, self._close_lost(replica, situation, now)
        if still_s < ORPHAN_S and replica.place not in self._closed:
            return False, []
        return False, [self._leave(replica)]

    def _leave(self, replica: fleet.Replica) -> orders.Leave:
        """Take the head out first: an order to open may still be under way."""
        self._left.add(replica.place)
        return orders.Leave(replica.head)

    def _close_lost(
        self,
        replica: fleet.Replica,
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Orders for a head that takes requests while a member is missing."""
        if replica.is_leaving:
            return [orders.Close(replica.head, at_once=False)]
        if self._is_dead(replica.head, now):
            return []
        lost = [
            departure.endpoint
            for departure in situation.departed.values()
            if departure.endpoint.membership is not None
            and departure.endpoint.membership.place == replica.place
        ]
        asked = [self._fresh_answer(one.endpoint_id, now) for one in lost]
        asks: list[orders.Order] = [
            orders.Ask(one)
            for one, answer in zip(lost, asked, strict=True)
            if answer is None
        ]
        if asks:
            return asks
        if lost and all(answer.lives for answer in asked):
            # Only the registration lapsed: the replica goes on.
            return []
        self._closed.add(replica.place)
        return [orders.Close(replica.head, at_once=True)]

    def _fresh_answer(self, endpoint_id: str, now: float) -> _Answer | None:
        answer = self._answers.get(endpoint_id)
        if answer is None or now - answer.at > ANSWER_FRESH_S:
            return None
        return answer

    def _step_headless(
        self,
        replica: fleet.Replica,
        situation: orders.Situation,
        now: float,
    ) -> tuple[bool, list[orders.Order]]:
        """Free the members of a head that is no longer registered.

        One that answers is closed first. From one that does not, they are
        taken away: if it should live behind a partition, it cannot run
        anything without them.
        """
        if replica.place in self._left:
            return True, self._leave_all(replica)
        head = self._lost_head(replica, situation)
        if head is None:
            # It has left, or lapsed long ago.
            still_s = self._still_for(replica.place, replica, now)
            return False, self._leave_all(replica) if still_s else []
        answer = self._fresh_answer(head.endpoint.endpoint_id, now)
        if answer is None:
            return False, [orders.Ask(head.endpoint)]
        if answer.is_open:
            return False, [orders.Close(head.endpoint, at_once=True)]
        return False, self._leave_all(replica)

    @staticmethod
    def _leave_all(replica: fleet.Replica) -> list[orders.Order]:
        return [orders.Leave(member) for member in replica.members]

    @staticmethod
    def _lost_head(
        replica: fleet.Replica, situation: orders.Situation
    ) -> fleet.Departure | None:
        for departure in situation.departed.values():
            member = departure.endpoint.membership
            if member is None or member.rank:
                continue
            if member.place == replica.place:
                return departure
        return None

    def _settled(
        self, free: collections.abc.Iterable[fleet.Endpoint], now: float
    ) -> list[fleet.Endpoint]:
        """Free endpoints of fabric domains where no more have just come."""
        settled = []
        seen = {}
        for domain, members in choice.by_domain(free).items():
            names = frozenset(one.endpoint_id for one in members)
            before, since = self._free.get(domain, (frozenset(), now))
            # Fewer than before is no reason to wait.
            seen[domain] = names, since if names <= before else now
            if now - seen[domain][1] >= SETTLE_S:
                settled += members
        self._free = seen
        return settled

    def _rejoins(
        self,
        replicas: collections.abc.Mapping[fleet.Place, fleet.Replica],
    ) -> list[orders.Order]:
        """Send a join again to members that do not report it."""
        wanted: list[orders.Order] = []
        for place, forming in self._forming.items():
            present = replicas.get(place)
            found = present.members if present else ()
            names = {member.endpoint_id for member in found}
            missing = tuple(
                m for m in forming.members if m.endpoint_id not in names
            )
            if missing:
                wanted.append(
                    orders.Join(
                        *place, forming.model, forming.members, missing
                    )
                )
        return wanted

    def _serves(
        self, replica: fleet.Replica, situation: orders.Situation
    ) -> bool:
        spec = situation.spec.model(replica.model)
        if spec is None or not replica.is_whole(spec.size):
            return False
        leaving = replica.is_leaving or replica.place in self._closed
        return replica.is_open and not leaving

    def _moving(
        self,
        replicas: collections.abc.Mapping[fleet.Place, fleet.Replica],
        free: collections.abc.Sequence[fleet.Endpoint],
        settled: collections.abc.Sequence[fleet.Endpoint],
        situation: orders.Situation,
    ) -> set[str]:
        """Fabric domains whose endpoints are on the way somewhere."""
        moving = {one.fabric_domain for one in free if one not in settled}
        for replica in replicas.values():
            left = replica.head is None and replica.place in self._left
            if not left and not self._serves(replica, situation):
                moving.add(replica.members[0].fabric_domain)
        for forming in self._forming.values():
            moving.add(forming.members[0].fabric_domain)
        return moving

    def _formations(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        held: collections.Counter[str],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        wanted: list[orders.Order] = []
        formations = choice.choose_formations(
            free,
            held,
            situation.spec,
            self._exchanges.promised,
            warm_only=not situation.loads_are_free,
        )
        used = set()
        for formation in formations:
            wanted.append(self._join(formation, situation, now))
            used.update(one.endpoint_id for one in formation.members)
        if not situation.loads_are_free:
            idle = [one for one in free if one.endpoint_id not in used]
            wanted += self._missing_weights(idle, held, situation, now)
        return wanted

    def _missing_weights(
        self,
        idle: collections.abc.Sequence[fleet.Endpoint],
        held: collections.Counter[str],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Load what idle endpoints lack to form a replica."""
        promised = self._exchanges.promised
        chosen = choice.weights_to_form(
            [one for one in idle if one.fabric_domain not in promised],
            held,
            situation.spec,
        )
        return [
            order
            for endpoint, spec in chosen
            for order in self._loads.stage(endpoint, spec, situation, now)
        ]

    def _join(
        self,
        formation: choice.Formation,
        situation: orders.Situation,
        now: float,
    ) -> orders.Join:
        epochs = [
            one.membership.epoch
            for one in situation.endpoints
            if one.membership is not None
        ]
        epochs += situation.pending.values()
        epoch = max(self._last_epoch, situation.revision, *epochs, 0) + 1
        self._last_epoch = epoch
        self._exchanges.fulfil(formation)
        place = (f"{self._prefix}-{epoch}", epoch)
        model: routes.ModelSpec = formation.model
        cold = choice.cold_members(formation.members, model)
        self._forming[place] = _Forming(
            formation.members,
            model.name,
            now + (model.load_s if cold else model.warm_s) + FORM_SLACK_S,
        )
        return orders.Join(
            *place, model.name, formation.members, formation.members
        )

    def _is_due(self, order: orders.Order, now: float) -> bool:
        key = _order_key(order)
        if now - self._sent.get(key, float("-inf")) < ORDER_RETRY_S:
            return False
        self._sent[key] = now
        if len(self._sent) > MAX_REMEMBERED:
            self._sent = {
                k: at for k, at in self._sent.items() if now - at < FORGET_S
            }
        return True


def _order_key(order: orders.Order) -> tuple:
    match order:
        case orders.Join():
            return "join", order.replica
        case orders.Open():
            return "open", order.head.membership.place
        case orders.Close():
            return "close", order.head.membership.place, order.at_once
        case orders.Leave():
            member = order.endpoint
            return "leave", member.endpoint_id, member.membership.place
        case orders.Ask():
            return "ask", order.endpoint.endpoint_id
        case orders.Stage():
            return "stage", order.endpoint.endpoint_id, order.model
