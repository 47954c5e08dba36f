"""Decides which orders bring replicas up and take them down."""

import collections
import collections.abc
import dataclasses

from wasabilanding.assembly import ceiling
from wasabilanding.assembly import choice
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

# A load under way is not ordered again.
STAGE_RETRY_S = 20.0
EXCHANGE_SLACK_S = 14.0
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


@dataclasses.dataclass
class _Exchanging:
    domain: str
    model: routes.ModelSpec
    members: tuple[str, ...]
    victims: tuple[fleet.Place, ...]
    gives_up_at: float


class Planner:
    """Plans the replicas of one service in one failure domain.

    It holds nothing that has to last: a new planner takes over from what
    the endpoints report.

    :param prefix: begin of the identities of replicas; no other planner, now
        or later, may use the same.
    :param stall_s: seconds after which a head that lost a member is broken.
    """

    def __init__(self, prefix: str, stall_s: float) -> None:
        self._prefix = prefix
        self._stall_s = stall_s
        self._ceiling = ceiling.LoadCeiling()
        self._last_epoch = 0
        self._forming: dict[fleet.Place, _Forming] = {}
        self._seen: dict[fleet.Place, tuple[object, float]] = {}
        self._closed: set[fleet.Place] = set()
        self._left: set[fleet.Place] = set()
        self._sent: dict[tuple, float] = {}
        self._answers: dict[str, _Answer] = {}
        self._free: dict[str, tuple[frozenset[str], float]] = {}
        self._exchange: _Exchanging | None = None

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
        self._forget_gone(replicas, now)
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
            if not one.draining and one.endpoint_id not in busy
        ]
        wanted += self._rejoins(replicas)
        settled = self._settled(usable, now)
        serving = [r for r in replicas.values() if self._serves(r, situation)]
        wanted += self._exchanges(settled, serving, held, situation, now)
        wanted += self._formations(settled, held, situation, now)
        if not self._forming and self._exchange is None:
            wanted += self._spares(serving, situation, now)
        return [order for order in wanted if self._is_due(order, now)]

    def _forget_gone(
        self,
        replicas: collections.abc.Mapping[fleet.Place, fleet.Replica],
        now: float,
    ) -> None:
        for place, forming in list(self._forming.items()):
            if now >= forming.gives_up_at:
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
            return self._step_whole(replica, situation)
        if replica.place in self._forming:
            return False, []
        return self._step_partial(replica, situation, still_s, now)

    def _step_whole(
        self, replica: fleet.Replica, situation: orders.Situation
    ) -> tuple[bool, list[orders.Order]]:
        self._forming.pop(replica.place, None)
        if replica.is_leaving or replica.place in self._closed:
            self._closed.add(replica.place)
            if not replica.is_open:
                return False, [self._leave(replica)]
            return False, [orders.Close(replica.head, at_once=False)]
        if replica.is_open:
            return False, []
        if situation.is_claimed_beyond(replica):
            # A member would join the other replica while this one serves.
            self._closed.add(replica.place)
            return False, [self._leave(replica)]
        return False, [orders.Open(replica.head)]

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
            return True, []
        head = self._lost_head(replica, situation)
        if head is None:
            return self._still_for(replica.place, replica, now) >= (
                self._stall_s + ORPHAN_S
            ), []
        answer = self._fresh_answer(head.endpoint.endpoint_id, now)
        if answer is None:
            return False, [orders.Ask(head.endpoint)]
        if answer.is_open:
            return False, [orders.Close(head.endpoint, at_once=True)]
        return False, [orders.Leave(member) for member in replica.members]

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

    def _exchanges(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        serving: collections.abc.Sequence[fleet.Replica],
        held: collections.Counter[str],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Orders that turn VMs of one model over to another."""
        if situation.loads_are_free:
            return []
        if self._exchange is not None and now > self._exchange.gives_up_at:
            self._exchange = None
        if self._exchange is None:
            self._begin_exchange(free, serving, held, situation, now)
        if self._exchange is None:
            return []
        return self._go_on_exchange(serving, situation, now)

    def _begin_exchange(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        serving: collections.abc.Sequence[fleet.Replica],
        held: collections.Counter[str],
        situation: orders.Situation,
        now: float,
    ) -> None:
        found = choice.choose_exchange(free, serving, held, situation.spec)
        if found is None:
            return
        self._exchange = _Exchanging(
            domain=found.victims[0].head.fabric_domain,
            model=found.model,
            members=tuple(one.endpoint_id for one in found.members),
            victims=tuple(victim.place for victim in found.victims),
            gives_up_at=now + found.model.load_s + EXCHANGE_SLACK_S,
        )

    def _go_on_exchange(
        self,
        serving: collections.abc.Sequence[fleet.Replica],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        """Stage the weights first; close the victims when all hold them."""
        exchange = self._exchange
        present = [
            one
            for one in situation.endpoints
            if one.endpoint_id in exchange.members and not one.draining
        ]
        if len(present) < len(exchange.members):
            self._exchange = None
            return []
        cold = [
            one for one in present if exchange.model.name not in one.staged
        ]
        if cold:
            return [
                orders.Stage(one, exchange.model.name)
                for one in cold
                if self._may_stage(one, exchange.model, situation, now)
            ]
        victims = [r for r in serving if r.place in exchange.victims]
        self._closed.update(victim.place for victim in victims)
        return []

    def _spares(
        self,
        serving: collections.abc.Sequence[fleet.Replica],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        wanted = choice.spares_to_stage(serving, situation.spec)
        return [
            orders.Stage(endpoint, spec.name)
            for endpoint, spec in wanted
            if self._may_stage(endpoint, spec, situation, now)
        ]

    def _may_stage(
        self,
        endpoint: fleet.Endpoint,
        spec: routes.ModelSpec,
        situation: orders.Situation,
        now: float,
    ) -> bool:
        key = _order_key(orders.Stage(endpoint, spec.name))
        if now - self._sent.get(key, float("-inf")) < STAGE_RETRY_S:
            return False
        if situation.loads_are_free:
            return True
        per_s = situation.spec.load_starts_per_s
        return self._ceiling.take(1, per_s, now)

    def _promised(self) -> dict[str, str]:
        if self._exchange is None:
            return {}
        return {self._exchange.domain: self._exchange.model.name}

    def _formations(
        self,
        free: collections.abc.Sequence[fleet.Endpoint],
        held: collections.Counter[str],
        situation: orders.Situation,
        now: float,
    ) -> list[orders.Order]:
        wanted: list[orders.Order] = []
        formations = choice.choose_formations(
            free, held, situation.spec, self._promised()
        )
        for formation in formations:
            if self._may_load(formation, situation, now):
                wanted.append(self._join(formation, situation, now))
        return wanted

    def _may_load(
        self,
        formation: choice.Formation,
        situation: orders.Situation,
        now: float,
    ) -> bool:
        if situation.loads_are_free:
            return True
        name = formation.model.name
        cold = sum(name not in member.staged for member in formation.members)
        per_s = situation.spec.load_starts_per_s
        return self._ceiling.take(cold, per_s, now)

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
        if formation.model.name in self._promised().values():
            self._exchange = None
        place = (f"{self._prefix}-{epoch}", epoch)
        model: routes.ModelSpec = formation.model
        self._forming[place] = _Forming(
            formation.members,
            model.name,
            now + model.load_s + FORM_SLACK_S,
        )
        return orders.Join(
            *place, model.name, formation.members, formation.members
        )

    def _is_due(self, order: orders.Order, now: float) -> bool:
        key = _order_key(order)
        retry_s = ORDER_RETRY_S
        if isinstance(order, orders.Stage):
            retry_s = STAGE_RETRY_S
        if now - self._sent.get(key, float("-inf")) < retry_s:
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
