"""Admission of requests: immediately, after queueing, or refusal."""

import collections
import collections.abc
import dataclasses

from wasabilanding import configuration
from wasabilanding.limits import admission_request
from wasabilanding.limits import fair_queue
from wasabilanding.limits import slot_time
from wasabilanding.limits import wait_correction
from wasabilanding import model

# Fraction of the limit that is open to customers beyond their own share; the
# rest is kept free for customers within theirs.
MAX_FILL_BEYOND_SHARE = 0.8
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """Decision to run a request now.

    :param request_id: identity of the request.
    :param within_share: whether its customer runs no more than its share.
    """

    request_id: str
    within_share: bool = True


@dataclasses.dataclass(frozen=True)
class Shed:
    """Decision to refuse a request.

    :param request_id: identity of the request.
    :param outcome: outcome that is returned to the caller.
    """

    request_id: str
    outcome: model.Outcome


Decision = Admitted | Shed
Decisions = tuple[Decision, ...]


@dataclasses.dataclass(frozen=True)
class _Entry:
    request: admission_request.AdmissionRequest
    weight: float
    since: float
    predicted_s: float = 0.0


class _Service:
    """Slots and queue of one service."""

    def __init__(self) -> None:
        # Without a limit (None or 0), requests are admitted immediately.
        self.limit: int | None = None
        self.running = 0
        self.by_customer: collections.Counter[str] = collections.Counter()
        # Weights of customers that were considered since the last sweep.
        self.weights: dict[str, float] = {}
        self.queue = fair_queue.FairQueue()
        self.slot_time = slot_time.SlotTime()
        self.wait_correction = wait_correction.WaitCorrection()

    def has_room(self, within_share: bool) -> bool:
        """Tell whether a slot is free; always true without a limit.

        :param within_share: whether the request's customer runs no more
            than its share.
        """
        if not self.limit:
            return True
        fill = 1.0 if within_share else MAX_FILL_BEYOND_SHARE
        return self.running < max(1.0, self.limit * fill)

    def run_s(self, request: admission_request.AdmissionRequest) -> float:
        """Return the expected run time of a request in seconds."""
        return self.slot_time.expected_s(request.tokens)

    def predicted_s(
        self, request: admission_request.AdmissionRequest
    ) -> float:
        """Return the predicted wait of a queued request in seconds."""
        work = self.queue.work_before(request.request_id)
        held_s = work * self.slot_time.mean_per_token_s
        return held_s / max(1, self.limit or 1)

    def lateness_s(
        self,
        request: admission_request.AdmissionRequest,
        predicted_s: float,
        now: float,
    ) -> float:
        """Return by how many seconds a request would miss its deadline."""
        wait_s = self.wait_correction.corrected_s(
            request.customer, request.priority, predicted_s
        )
        return now + wait_s + self.run_s(request) - request.deadline

    def sweep(self, customers: collections.abc.Container[str]) -> None:
        """Discard the state of customers without requests."""
        self.queue.sweep()
        self.wait_correction.sweep(customers)
        self.weights = {
            name: weight
            for name, weight in self.weights.items()
            if name in customers
        }

    def observe_wait(self, entry: _Entry, now: float) -> None:
        """Update the wait correction when a request's wait ends."""
        self.wait_correction.observe(
            entry.request.customer,
            entry.request.priority,
            entry.predicted_s,
            now - entry.since,
        )


def _overloaded(
    request: admission_request.AdmissionRequest, late_s: float
) -> Shed:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, late_s))
    detail = (
        f"customer {request.customer} has too much work waiting for service "
        f"{request.service}: the deadline would be missed by {late_s:.1f} s"
    )
    outcome = model.not_run(model.Reason.OVERLOADED, detail, retry_after_s)
    return Shed(request.request_id, outcome)


class Admission:
    """Admission control of the requests on this node.

    :param max_in_flight: maximum number of requests that run or wait.
    """

    def __init__(self, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._services: dict[str, _Service] = {}
        self._running: dict[str, _Entry] = {}
        self._waiting: dict[str, _Entry] = {}
        self._by_customer: collections.Counter[str] = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def services(self) -> tuple[str, ...]:
        """Names of services with requests or a limit so far."""
        return tuple(self._services)

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())

    def offer(
        self,
        request: admission_request.AdmissionRequest,
        customer: configuration.Customer,
        now: float,
    ) -> Decisions:
        """Admit, queue or refuse a request.

        :param request: the request.
        :param customer: settings of its customer.
        :param now: local monotonic time in seconds.
        :returns: decisions about this request and others; without a decision
            about it, this request waits.
        """
        refusal = self._refusal(request, customer)
        if refusal:
            return (Shed(request.request_id, refusal),)
        self._by_customer[request.customer] += 1
        entry = _Entry(request, customer.weight, now)
        self._waiting[request.request_id] = entry
        service = self._service(request.service)
        service.queue.push(request, customer.weight)
        served = self._serve(service, now)
        return served + self._shed_late(service, request, now)

    def _refusal(
        self,
        request: admission_request.AdmissionRequest,
        customer: configuration.Customer,
    ) -> model.Outcome | None:
        own = self._by_customer[request.customer]
        if customer.max_in_flight and own >= customer.max_in_flight:
            return model.not_run(
                model.Reason.CUSTOMER_LIMIT,
                f"customer {request.customer} has {own} requests in flight",
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
        # A customer beyond its share does not block one within its share.
        for request in service.queue.heads():
            within_share = self._is_within_share(service, request)
            if service.has_room(within_share):
                return Admitted(request.request_id, within_share)
        return None

    def _decide(
        self, service: _Service, found: Admitted, now: float
    ) -> Decision:
        entry = self._waiting.pop(found.request_id)
        request = entry.request
        service.queue.serve(found.request_id)
        service.observe_wait(entry, now)
        late_s = now + service.run_s(request) - request.deadline
        if late_s > 0:
            return self._refuse_late(service, entry, late_s)
        self._start(service, entry, now)
        return found

    def _refuse_late(
        self, service: _Service, entry: _Entry, late_s: float
    ) -> Shed:
        request = entry.request
        service.queue.charge(request.customer, -request.tokens, entry.weight)
        self._decrement(request.customer)
        return _overloaded(request, late_s)

    def _start(self, service: _Service, entry: _Entry, now: float) -> None:
        service.running += 1
        service.by_customer[entry.request.customer] += 1
        self._running[entry.request.request_id] = dataclasses.replace(
            entry, since=now
        )

    def _is_within_share(
        self, service: _Service, request: admission_request.AdmissionRequest
    ) -> bool:
        """Tell whether a customer would run no more than its share."""
        if not service.limit:
            return True
        weight = self._waiting[request.request_id].weight
        service.weights[request.customer] = weight
        total = sum(service.weights.values())
        share = max(1.0, service.limit * weight / total)
        return service.by_customer[request.customer] + 1 <= share

    def _shed_late(
        self,
        service: _Service,
        request: admission_request.AdmissionRequest,
        now: float,
    ) -> Decisions:
        decisions = []
        if request.request_id in service.queue:
            predicted_s = service.predicted_s(request)
            entry = self._waiting[request.request_id]
            self._waiting[request.request_id] = dataclasses.replace(
                entry, predicted_s=predicted_s
            )
            late_s = service.lateness_s(request, predicted_s, now)
            if late_s > 0:
                decisions.append(self._shed(service, request, late_s))
        # The requests that this one delays have lower priority and are last.
        last = service.queue.last_of(request.customer)
        while last and last.priority < request.priority:
            predicted_s = service.predicted_s(last)
            late_s = service.lateness_s(last, predicted_s, now)
            if late_s <= 0:
                break
            decisions.append(self._shed(service, last, late_s))
            last = service.queue.last_of(request.customer)
        return tuple(decisions)

    def _shed(
        self,
        service: _Service,
        request: admission_request.AdmissionRequest,
        late_s: float,
    ) -> Shed:
        service.queue.remove(request.request_id)
        del self._waiting[request.request_id]
        self._decrement(request.customer)
        return _overloaded(request, late_s)

    def _decrement(self, customer: str) -> None:
        self._by_customer[customer] -= 1
        if not self._by_customer[customer]:
            del self._by_customer[customer]

    def give_up_at(self, request_id: str) -> float:
        """Return the latest start time at which a request meets its deadline.

        :param request_id: identity of the request.
        :returns: local monotonic time in seconds.
        """
        request = self._waiting[request_id].request
        return request.deadline - self._service(request.service).run_s(request)

    def give_up(self, request_id: str, now: float) -> Decisions:
        """Refuse a waiting request that cannot meet its deadline.

        :param request_id: identity of the request.
        :param now: local monotonic time in seconds.
        """
        entry = self._waiting.get(request_id)
        if entry is None:
            return ()
        request = entry.request
        service = self._service(request.service)
        service.observe_wait(entry, now)
        late_s = service.lateness_s(request, service.predicted_s(request), now)
        return (self._shed(service, request, late_s),)

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request whose caller has disconnected.

        :param request_id: identity of the request.
        """
        entry = self._waiting.pop(request_id, None)
        if entry is not None:
            self._service(entry.request.service).queue.remove(request_id)
            self._decrement(entry.request.customer)

    def finish(
        self, request_id: str, now: float, tokens: float | None = None
    ) -> Decisions:
        """Record the end of an admitted request.

        :param request_id: identity of the request.
        :param now: local monotonic time in seconds.
        :param tokens: its actual work if it completed, else None.
        :returns: decisions about waiting requests.
        """
        entry = self._running.pop(request_id)
        request = entry.request
        service = self._service(request.service)
        service.running -= 1
        service.by_customer[request.customer] -= 1
        if not service.by_customer[request.customer]:
            del service.by_customer[request.customer]
        self._decrement(request.customer)
        if tokens is not None:
            service.slot_time.observe(request.tokens, now - entry.since)
            excess = tokens - request.tokens
            service.queue.charge(request.customer, excess, entry.weight)
        return self._serve(service, now)

    def set_limit(self, service: str, limit: int, now: float) -> Decisions:
        """Set the maximum number of running requests of a service.

        :param service: name of the service.
        :param limit: the limit; 0 when no replica is usable. Requests are
            then admitted, so that routing refuses them with its own reason.
        :param now: local monotonic time in seconds.
        :returns: decisions about waiting requests.
        """
        state = self._service(service)
        state.limit = limit
        state.sweep(self._by_customer)
        return self._serve(state, now)
