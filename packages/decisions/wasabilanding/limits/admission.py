"""Admission of requests: at once, after a wait, or not at all."""

import collections
import dataclasses

from wasabilanding import configuration
from wasabilanding.limits import asks
from wasabilanding.limits import fair_queue
from wasabilanding.limits import slot_time
from wasabilanding import model

COMEBACK_S = 1.0
MAX_COMEBACK_S = 60.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request may run now.

    :param ticket: identity of the request.
    """

    ticket: str


@dataclasses.dataclass(frozen=True)
class Shed:
    """A request is refused.

    :param ticket: identity of the request.
    :param outcome: what its caller is told.
    """

    ticket: str
    outcome: model.Outcome


Decision = Admitted | Shed
Decisions = tuple[Decision, ...]


@dataclasses.dataclass(frozen=True)
class _Holder:
    ask: asks.Ask
    weight: float
    since: float


class _Service:
    """Slots and queue of one service."""

    def __init__(self) -> None:
        # None until the first limit is known: then nothing waits.
        self.limit: int | None = None
        self.running = 0
        self.queue = fair_queue.FairQueue()
        self.slot_time = slot_time.SlotTime()

    @property
    def has_room(self) -> bool:
        """Whether a slot is free; without a limit, always."""
        return not self.limit or self.running < self.limit

    def run_s(self, ask: asks.Ask) -> float:
        """Return how long a request is expected to run, in seconds."""
        return ask.tokens * self.slot_time.per_token_s

    def lateness_s(self, ask: asks.Ask, now: float) -> float:
        """Return by how much a waiting request would miss its deadline."""
        work = self.queue.work_before(ask.ticket)
        per_slot = work * self.slot_time.per_token_s
        wait_s = per_slot / max(1, self.limit or 1)
        return now + wait_s + self.run_s(ask) - ask.deadline


def _overloaded(ask: asks.Ask, late_s: float) -> Shed:
    comeback_s = min(MAX_COMEBACK_S, max(COMEBACK_S, late_s))
    detail = (
        f"customer {ask.customer} has too much work waiting for service "
        f"{ask.service}: the deadline would be missed by {late_s:.1f} s"
    )
    outcome = model.not_run(model.Reason.OVERLOADED, detail, comeback_s)
    return Shed(ask.ticket, outcome)


class Admission:
    """Requests that run or wait on this node.

    :param max_in_flight: requests that may run or wait at a time.
    """

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._services: dict[str, _Service] = {}
        self._running: dict[str, _Holder] = {}
        self._waiting: dict[str, _Holder] = {}
        self._by_customer: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def services(self) -> tuple[str, ...]:
        """Services that were asked for or given a limit."""
        return tuple(self._services)

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())

    def offer(
        self, ask: asks.Ask, customer: configuration.Customer, now: float
    ) -> Decisions:
        """Take in a request.

        :param ask: the request.
        :param customer: how its customer shares the capacity.
        :param now: local monotonic time in seconds.
        :returns: decisions about it and about others; when there is none
            about it, it waits.
        """
        refusal = self._refusal(ask, customer)
        if refusal:
            return (Shed(ask.ticket, refusal),)
        self._by_customer[ask.customer] += 1
        holder = _Holder(ask, customer.weight, now)
        self._waiting[ask.ticket] = holder
        service = self._service(ask.service)
        service.queue.push(ask, customer.weight)
        served = self._serve(service, now)
        return served + self._shed_late(service, ask, now)

    def _refusal(
        self, ask: asks.Ask, customer: configuration.Customer
    ) -> model.Outcome | None:
        own = self._by_customer[ask.customer]
        if customer.max_in_flight and own >= customer.max_in_flight:
            return model.not_run(
                model.Reason.CUSTOMER_LIMIT,
                f"customer {ask.customer} has {own} requests in flight",
                COMEBACK_S,
            )
        if self.in_flight >= self._max_in_flight:
            return model.not_run(
                model.Reason.OVERLOADED,
                f"{self.in_flight} requests are in flight",
                COMEBACK_S,
            )
        return None

    def _serve(self, service: _Service, now: float) -> Decisions:
        decisions: list[Decision] = []
        while service.has_room:
            ask = service.queue.pop()
            if ask is None:
                break
            holder = self._waiting.pop(ask.ticket)
            late_s = now + service.run_s(ask) - ask.deadline
            if late_s > 0:
                service.queue.charge(ask.customer, -ask.tokens, holder.weight)
                self._leave(ask.customer)
                decisions.append(_overloaded(ask, late_s))
                continue
            service.running += 1
            holder = dataclasses.replace(holder, since=now)
            self._running[ask.ticket] = holder
            decisions.append(Admitted(ask.ticket))
        return tuple(decisions)

    def _shed_late(
        self, service: _Service, ask: asks.Ask, now: float
    ) -> Decisions:
        decisions = []
        if ask.ticket in service.queue:
            late_s = service.lateness_s(ask, now)
            if late_s > 0:
                decisions.append(self._shed(service, ask, late_s))
        # What the request pushed back is last: the lowest priority.
        last = service.queue.last_of(ask.customer)
        while last and last.priority < ask.priority:
            late_s = service.lateness_s(last, now)
            if late_s <= 0:
                break
            decisions.append(self._shed(service, last, late_s))
            last = service.queue.last_of(ask.customer)
        return tuple(decisions)

    def _shed(self, service: _Service, ask: asks.Ask, late_s: float) -> Shed:
        service.queue.remove(ask.ticket)
        del self._waiting[ask.ticket]
        self._leave(ask.customer)
        return _overloaded(ask, late_s)

    def _leave(self, customer: str) -> None:
        self._by_customer[customer] -= 1
        if not self._by_customer[customer]:
            del self._by_customer[customer]

    def give_up_at(self, ticket: str) -> float:
        """Return when a waiting request can no longer meet its deadline.

        :param ticket: identity of the request.
        :returns: local monotonic time in seconds.
        """
        ask = self._waiting[ticket].ask
        return ask.deadline - self._service(ask.service).run_s(ask)

    def give_up(self, ticket: str, now: float) -> Decisions:
        """Refuse a request that has waited too long.

        :param ticket: identity of the request.
        :param now: local monotonic time in seconds.
        """
        holder = self._waiting.get(ticket)
        if holder is None:
            return ()
        ask = holder.ask
        service = self._service(ask.service)
        late_s = service.lateness_s(ask, now)
        return (self._shed(service, ask, late_s),)

    def withdraw(self, ticket: str) -> None:
        """Drop a waiting request whose caller has gone.

        :param ticket: identity of the request.
        """
        holder = self._waiting.pop(ticket, None)
        if holder is not None:
            self._service(holder.ask.service).queue.remove(ticket)
            self._leave(holder.ask.customer)

    def finish(
        self, ticket: str, now: float, tokens: float | None = None
    ) -> Decisions:
        """Note the end of an admitted request.

        :param ticket: identity of the request.
        :param now: local monotonic time in seconds.
        :param tokens: work that it took when it completed, else None.
        :returns: decisions about requests that waited.
        """
        holder = self._running.pop(ticket)
        ask = holder.ask
        service = self._service(ask.service)
        service.running -= 1
        self._leave(ask.customer)
        if tokens is not None:
            service.slot_time.observe(ask.tokens, now - holder.since)
            excess = tokens - ask.tokens
            service.queue.charge(ask.customer, excess, holder.weight)
        return self._serve(service, now)

    def set_limit(self, service: str, limit: int, now: float) -> Decisions:
        """Set how many requests of a service run at a time.

        :param service: name of the service.
        :param limit: the limit; 0 when no replica is usable, which lets
            requests through to be refused with the right reason.
        :param now: local monotonic time in seconds.
        :returns: decisions about requests that waited.
        """
        state = self._service(service)
        state.limit = limit
        state.queue.sweep()
        return self._serve(state, now)
