"""Admits, queues or sheds requests."""

import collections.abc
import contextlib
import dataclasses
import typing

import trio

from wasabilanding import callers
from wasabilanding import configuration
from wasabilanding.daemon import context as context_module
from wasabilanding.daemon import selection
from wasabilanding import limits
from wasabilanding import routing

LIMIT_INTERVAL_S = 0.25

ConcurrencyLimit = collections.abc.Callable[[int, int], int]


@dataclasses.dataclass
class AdmittedRequest:
    """Progress of an admitted request.

    :param engine_priority: priority sent to its engine.
    :param generated: number of tokens generated.
    :param completed: whether its complete answer was delivered.
    """

    engine_priority: int
    generated: int = 0
    completed: bool = False


@dataclasses.dataclass
class _Waiter:
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    decision: limits.Decision | None = None


class AdmissionGate:
    """Admission control for the requests of this node.

    :param context: state shared by the daemon's loops.
    :param router: provides the batch slots of each service.
    :param limit: computes the concurrency limit from the number of batch
        slots and of entry VMs that share them.
    """

    def __init__(
        self,
        context: context_module.Context,
        router: selection.Router,
        limit: ConcurrencyLimit = limits.concurrency_limit,
    ) -> None:
        self._context = context
        self._limit = limit
        self._router = router
        self._admission = limits.Admission(context.settings.max_in_flight)
        self._waiters: dict[str, _Waiter] = {}
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """Number of running and waiting requests."""
        return self._admission.in_flight

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._admission.waiting

    async def wait_idle(self) -> None:
        """Wait until no request runs or waits."""
        while self.in_flight:
            self._idle = trio.Event()
            await self._idle.wait()

    async def run(self) -> None:
        """Update the concurrency limits until cancelled."""
        while True:
            for service in self._admission.services:
                self._refresh_limit(service)
            await trio.sleep(LIMIT_INTERVAL_S)

    def _refresh_limit(self, service: str) -> None:
        context = self._context
        entry_vms = len(context.members.live(context.now()))
        slots = self._router.slots(service)
        limit = self._limit(slots, entry_vms)
        self._apply_decisions(
            self._admission.set_limit(service, limit, context.now())
        )

    def _apply_decisions(self, decisions: limits.Decisions) -> None:
        for decision in decisions:
            waiter = self._waiters.get(decision.request_id)
            if waiter is not None:
                waiter.decision = decision
                waiter.decided.set()

    def _admission_request(
        self, request: callers.CallerRequest, deadline: float
    ) -> limits.AdmissionRequest:
        tokens = limits.estimated_tokens(
            routing.token_count(request.prompt), request.max_tokens
        )
        return limits.AdmissionRequest(
            request.request_id,
            request.service,
            request.customer,
            tokens,
            request.priority,
            deadline,
        )

    @contextlib.asynccontextmanager
    async def admitted(
        self, request: callers.CallerRequest, deadline: float
    ) -> collections.abc.AsyncIterator[AdmittedRequest]:
        """Admit a request and hold its slot while the block runs.

        :param request: the request.
        :param deadline: local monotonic time in seconds.
        :raises wasabilanding.callers.RequestFailed: when the request is shed.
        """
        admitted = await self._acquire_slot(request, deadline)
        admitted_request = AdmittedRequest(
            limits.engine_priority(request.priority, admitted.within_share)
        )
        try:
            yield admitted_request
        finally:
            self._release_slot(request, admitted_request)

    async def _acquire_slot(
        self, request: callers.CallerRequest, deadline: float
    ) -> limits.Admitted:
        context = self._context
        if request.service not in self._admission.services:
            self._refresh_limit(request.service)
        customers = context.known.configuration.customers
        customer = customers.get(request.customer, configuration.Customer())
        request_id = request.request_id
        waiter = self._waiters[request_id] = _Waiter()
        admission_request = self._admission_request(request, deadline)
        try:
            self._apply_decisions(
                self._admission.offer(
                    admission_request, customer, context.now()
                )
            )
            if waiter.decision is None:
                await self._wait_for_decision(request_id, waiter)
        finally:
            del self._waiters[request_id]
            if waiter.decision is None:
                self._admission.withdraw(request_id)
            self._signal_if_idle()
        if isinstance(waiter.decision, limits.Shed):
            raise callers.RequestFailed(waiter.decision.outcome)
        return typing.cast(limits.Admitted, waiter.decision)

    async def _wait_for_decision(
        self, request_id: str, waiter: _Waiter
    ) -> None:
        try:
            with trio.move_on_at(self._admission.give_up_at(request_id)):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._release_if_admitted(request_id, waiter)
            raise
        if waiter.decision is None:
            now = self._context.now()
            self._apply_decisions(self._admission.give_up(request_id, now))

    def _release_if_admitted(self, request_id: str, waiter: _Waiter) -> None:
        # The request was admitted and cancelled in the same scheduler step,
        # so its slot has to be released here.
        if isinstance(waiter.decision, limits.Admitted):
            now = self._context.now()
            self._apply_decisions(self._admission.finish(request_id, now))

    def _release_slot(
        self, request: callers.CallerRequest, admitted_request: AdmittedRequest
    ) -> None:
        tokens = None
        if admitted_request.completed:
            tokens = limits.estimated_tokens(
                routing.token_count(request.prompt),
                max(1, admitted_request.generated),
            )
        now = self._context.now()
        self._apply_decisions(
            self._admission.finish(request.request_id, now, tokens)
        )
        self._signal_if_idle()

    def _signal_if_idle(self) -> None:
        if not self.in_flight:
            self._idle.set()
