"""Admission of requests: at once, after a wait, or not at all."""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding.limits import asks
from wasabilanding.limits import fair_queue
from wasabilanding.limits import slot_time
from wasabilanding.limits import stretch
from wasabilanding import model

# Share of the limit that customers beyond their own share may fill.
SHARED_FILL = 0.8
RETRY_AFTER_S = 1.0
MAX_COMEBACK_S = 60.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request may run now.

    :param ticket: identity of the request.
    :param within_share: whether its customer runs no more than its share.
    """

    ticket: str
    within_share: bool = True


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
    predicted_s: float = 0.0


class _Service:
    """Slots and queue of one service."""

    def __init__(self) -> None:
        # None until the first limit is known: then nothing waits.
        self.limit: int | None = None
        self.running = 0
        self.by_customer: collections.Counter[str] = collections.Counter()
        # Of customers that ran something since the last sweep.
        self.weights: dict[str, float] = {}
        self.queue = fair_queue.FairQueue()
        self.slot_time = slot_time.SlotTime()
        self.stretch = stretch.Stretch()

    def has_room(self, within_share: bool) -> bool:
        """Tell whether a slot is free; without a limit, always.

        :param within_share: whether the request's customer runs no more
            than its share.
        """
        if not self.limit:
            return True
        fill = 1.0 if within_share else SHARED_FILL
        return self.running < max(1.0, self.limit * fill)

    def run_s(self, ask: asks.Ask) -> float:
        """Return how long a request is expected to run, in seconds."""
        return self.slot_time.expected_s(ask.tokens)

    def predicted_s(self, ask: asks.Ask) -> float:
        """Return how long the work before a waiting request takes."""
        work = self.queue.work_before(ask.ticket)
        held_s = work * self.slot_time.mean_per_token_s
        return held_s / max(1, self.limit or 1)

    def lateness_s(
        self, ask: asks.Ask, predicted_s: float, now: float
    ) -> float:
        """Return by how much a waiting request would miss its deadline."""
        wait_s = self.stretch.corrected_s(
            ask.customer, ask.priority, predicted_s
        )
        return now + wait_s + self.run_s(ask) - ask.deadline

    def sweep(self, customers: collections.abc.Container[str]) -> None:
        """Forget customers that neither run nor wait."""
        self.queue.sweep()
        self.stretch.sweep(customers)
        self.weights = {
            name: weight
            for name, weight in self.weights.items()
            if name in customers
        }

    def learn(self, holder: _Holder, now: float) -> None:
        """Learn from the wait of a request that is served or gives up."""
        self.stretch.observe(
            holder.ask.customer,
            holder.ask.priority,
            holder.predicted_s,
            now - holder.since,
        )


def _overloaded(ask: asks.Ask, late_s: float) -> Shed:
    comeback_s = min(MAX_COMEBACK_S, max(RETRY_AFTER_S, late_s))
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
                RETRY_AFTER_S,
            )
        if self.in_flight >= self._max_in_flight:
            return model.not_run(
                model.Reason.OVERLOADED,
                f"{self.in_flight} requests are in flight",
                RETRY_AFTER_S,
            )
        return None

    def _serve(self, service: _Service, now: float) -> Decisions:
        decisions: list[Decision] = []
        while service.has_room(True):
            found = self._next(service)
            if found is None:
                break
            decisions.append(self._decide(service, found, now))
        return tuple(decisions)

    def _next(self, service: _Service) -> Admitted | None:
        # A customer beyond its share does not hold up one within it.
        for ask in service.queue.heads():
            within_share = self._is_within_share(service, ask)
            if service.has_room(within_share):
                return Admitted(ask.ticket, within_share)
        return None

    def _decide(
        self, service: _Service, found: Admitted, now: float
    ) -> Decision:
        holder = self._waiting.pop(found.ticket)
        ask = holder.ask
        service.queue.serve(found.ticket)
        service.learn(holder, now)
        late_s = now + service.run_s(ask) - ask.deadline
        if late_s > 0:
            return self._refuse_late(service, holder, late_s)
        self._start(service, holder, now)
        return found

    def _refuse_late(
        self, service: _Service, holder: _Holder, late_s: float
    ) -> Shed:
        ask = holder.ask
        service.queue.charge(ask.customer, -ask.tokens, holder.weight)
        self._leave(ask.customer)
        return _overloaded(ask, late_s)

    def _start(self, service: _Service, holder: _Holder, now: float) -> None:
        service.running += 1
        service.by_customer[holder.ask.customer] += 1
        self._running[holder.ask.ticket] = dataclasses.replace(
            holder, since=now
        )

    def _is_within_share(self, service: _Service, ask: asks.Ask) -> bool:
        """Tell whether a customer would run no more than its share."""
        if not service.limit:
            return True
        weight = self._waiting[ask.ticket].weight
        service.weights[ask.customer] = weight
        total = sum(service.weights.values())
        share = max(1.0, service.limit * weight / total)
        return service.by_customer[ask.customer] + 1 <= share

    def _shed_late(
        self, service: _Service, ask: asks.Ask, now: float
    ) -> Decisions:
        decisions = []
        if ask.ticket in service.queue:
            predicted_s = service.predicted_s(ask)
            holder = self._waiting[ask.ticket]
            self._waiting[ask.ticket] = dataclasses.replace(
                holder, predicted_s=predicted_s
            )
            late_s = service.lateness_s(ask, predicted_s, now)
            if late_s > 0:
                decisions.append(self._shed(service, ask, late_s))
        # What the request pushed back is last: the lowest priority.
        last = service.queue.last_of(ask.customer)
        while last and last.priority < ask.priority:
            predicted_s = service.predicted_s(last)
            late_s = service.lateness_s(last, predicted_s, now)
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
        service.learn(holder, now)
        late_s = service.lateness_s(ask, service.predicted_s(ask), now)
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
        service.by_customer[ask.customer] -= 1
        if not service.by_customer[ask.customer]:
            del service.by_customer[ask.customer]
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
        state.sweep(self._by_customer)
        return self._serve(state, now)
